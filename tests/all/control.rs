//! Taking out, bringing back, outages of the log, and lost members.

use crate::fixture::{check_draft, deployment, draft, set_log, within};
use bench::Deployment;
use name::{Domain, Instance};
use standin::{Command, Faults, Mode};
use std::{sync::Arc, time::Duration};

/// The time within which an operation is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Streams drafts through every node until `rounds` are done.
async fn load(deployment: &Deployment, rounds: u64, first_seed: u64) {
    let callers = deployment.caller_addresses();
    for round in 0..rounds {
        for (number, address) in callers.iter().enumerate() {
            if deployment.is_running(number) {
                let (streamed, right) = draft(deployment, *address, first_seed + round, 4).await;
                check_draft("load", &streamed, &right);
            }
        }
    }
}

/// Returns the time on the stand-ins' clock, in milliseconds.
fn now_ms(deployment: &Deployment) -> u64 {
    deployment.world().now_ms()
}

/// What happens around the order to take a failure domain out.
struct Case {
    name: &'static str,
    /// Kills the node that took the order, right after it was accepted.
    kill_orderer: bool,
    /// Takes the log down right after the order was accepted.
    log_down: bool,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_domain_that_is_taken_out_gets_no_new_work() {
    let cases = [
        Case {
            name: "no fault",
            kill_orderer: false,
            log_down: false,
        },
        Case {
            name: "the node that took the order dies",
            kill_orderer: true,
            log_down: false,
        },
        Case {
            name: "the log goes down after the order",
            kill_orderer: false,
            log_down: true,
        },
    ];
    for case in cases {
        let mut deployment = deployment("").await;
        load(&deployment, 4, 1).await;
        let out = Domain::try_from("tywi").unwrap();
        deployment
            .operate(1, "domain", "tywi", "take_out")
            .await
            .unwrap();
        let since = now_ms(&deployment) + u64::try_from(IN_FORCE.as_millis()).unwrap();
        if case.kill_orderer {
            deployment.end_entry(1, false).await;
        }
        if case.log_down {
            set_log(&deployment, Mode::Hang, 0, 0);
        }
        tokio::time::sleep(IN_FORCE).await;
        load(&deployment, 10, 100).await;
        let late = deployment.world().counters().started_requests(&out, since);
        assert_eq!(late, 0, "{}: work began in the failure domain", case.name);
        set_log(&deployment, Mode::Up, 0, 0);
        deployment
            .operate(0, "domain", "tywi", "bring_back")
            .await
            .unwrap();
        within(
            "the failure domain serves again",
            Duration::from_secs(20),
            async || {
                let before = now_ms(&deployment);
                load(&deployment, 2, 200).await;
                deployment.world().counters().started_requests(&out, before) > 0
            },
        )
        .await;
        assert_eq!(
            deployment.world().counters().cold_overloads,
            0,
            "{}",
            case.name
        );
        deployment.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn taking_out_cuts_off_nothing_in_progress() {
    let deployment = Arc::new(deployment("").await);
    let callers = deployment.caller_addresses();
    let drafts: Vec<_> = (0..12u64)
        .map(|seed| {
            let deployment = Arc::clone(&deployment);
            let address = callers[seed as usize % 3];
            tokio::spawn(async move { draft(&deployment, address, seed, 300).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    for domain in ["teifi", "tywi", "dyfi"] {
        deployment
            .operate(0, "domain", domain, "take_out")
            .await
            .unwrap();
    }
    let mut whole = 0;
    for task in drafts {
        let (streamed, right) = task.await.unwrap();
        check_draft("in progress", &streamed, &right);
        // One that still waited for a slot may be refused; none that began is cut.
        assert!(
            streamed.is_complete || streamed.tokens == 0,
            "cut off: {streamed:?}"
        );
        whole += usize::from(streamed.is_complete);
    }
    assert!(whole >= 6, "too few were in progress: {whole}");
    assert_eq!(deployment.world().counters().abandoned, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn drafts_go_on_while_the_log_is_down() {
    let mut deployment = deployment("").await;
    set_log(&deployment, Mode::Hang, 0, 0);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let callers = deployment.caller_addresses();
    for seed in 0..9 {
        let (streamed, right) = draft(&deployment, callers[seed as usize % 3], seed, 4).await;
        check_draft("log down", &streamed, &right);
        assert!(streamed.is_complete, "{streamed:?}");
    }
    set_log(&deployment, Mode::Up, 0, 0);
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_with_a_lost_member_takes_no_requests() {
    let mut deployment = deployment("").await;
    load(&deployment, 14, 1).await;
    // The engines do not check by themselves.
    let lax = Faults {
        checks_members: false,
        ..Faults::default()
    };
    crate::fixture::set_faults(&deployment, "-e", &lax);
    let lost = Instance::try_from("teifi-f0-e2").unwrap();
    deployment.world().apply(&Command::Mode {
        instance: lost,
        mode: Mode::Refuse,
    });
    // The bound on the age of reports, and a survey.
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let before = deployment.world().counters().served_with_missing_member;
    load(&deployment, 10, 100).await;
    let after = deployment.world().counters().served_with_missing_member;
    assert_eq!(after, before, "a replica served with a member missing");
    deployment.stop().await;
}
