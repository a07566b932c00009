//! Retries, hedging, cancellation, affinity and shares before real nodes.

use crate::fixture::{
    ACCOUNT, MODEL, OTHER_ACCOUNT, check_draft, deployment, draft, ledger, set_faults, verdict,
    within,
};
use bench::{Answer, Deployment, Kind, Options, StreamedAnswer, api_key};
use futures_util::future::join_all;
use serde_json::json;
use slog::{Logger, o};
use standin::{Command, Faults, Shape};
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};
use tokio::task::JoinHandle;

/// How long anything here may take before it counts as stuck.
const PATIENCE: Duration = Duration::from_secs(40);

/// Returns the attempts that the stand-ins began.
fn begun(deployment: &Deployment) -> usize {
    deployment.world().inspect(|counters| counters.begun.len())
}

/// Warms every backend server up.
fn warm_all(deployment: &Deployment) {
    for server in deployment.world().servers() {
        let instance = server.listed().instance.clone();
        deployment.world().apply(&Command::Warm {
            instance,
            warm: true,
        });
    }
}

/// Asks for a balance.
async fn balance(deployment: &Deployment, address: SocketAddr, account: &str, n: usize) -> Answer {
    ledger(
        deployment,
        address,
        "balance",
        account,
        &[],
        &json!({"n": n}),
    )
    .await
}

/// Checks that an answer is the call's own, or an error with its verdict.
fn check_balance(name: &str, n: usize, answer: &Answer) -> bool {
    let is_whole = answer.status.is_success();
    if is_whole {
        let right = json!({"call": "balance", "done": {"n": n}});
        assert_eq!(answer.body, right, "{name}");
    } else {
        let verdict = verdict(answer);
        assert!(
            ["not-run", "may-have-run"].contains(&verdict),
            "{name}: {answer:?}"
        );
    }
    is_whole
}

/// A fault of half of the backend servers.
struct Storm {
    name: &'static str,
    faults: Faults,
}

/// Rounds of a storm, and the drafts and calls in each.
const ROUNDS: usize = 12;
const AT_ONCE: usize = 8;

#[tokio::test(flavor = "multi_thread")]
async fn attempts_stay_below_a_fifth_more_than_requests_while_half_of_the_servers_fail() {
    let storms = [
        Storm {
            name: "streams break off, and answers of calls are lost",
            faults: Faults {
                cut_after: Some(1),
                lose_answers: true,
                ..Faults::default()
            },
        },
        Storm {
            name: "answers are of another attempt",
            faults: Faults {
                cross_answers: true,
                ..Faults::default()
            },
        },
    ];
    for storm in storms {
        let mut shape = Shape::demo();
        let mut fourth = shape.domains[0].clone();
        fourth.name = "conwy".try_into().unwrap();
        shape.domains.push(fourth);
        let options = Options {
            kind: Kind::HafodTegid,
            shape,
            nodes: 3,
            seed: 5,
            settings: "timings = { entries_ttl_ms = 500 }".into(),
        };
        let log = Logger::root(slog::Discard, o!());
        let mut deployment = Deployment::start(options, &log).await.unwrap();
        deployment.wait_until_ready(4, PATIENCE).await.unwrap();
        for half in ["teifi", "conwy"] {
            set_faults(&deployment, half, &storm.faults);
        }
        let callers = deployment.caller_addresses();
        let (mut requests, mut whole) = (0, 0);
        for round in 0..ROUNDS {
            let at = |n: usize| callers[n % callers.len()];
            let numbers = (round * AT_ONCE..).take(AT_ONCE);
            let drafts = numbers
                .clone()
                .map(|n| draft(&deployment, at(n), n as u64, 4));
            let calls = numbers
                .clone()
                .map(|n| balance(&deployment, at(n), ACCOUNT, n));
            for (streamed, right) in join_all(drafts).await {
                check_draft(storm.name, &streamed, &right);
                whole += usize::from(streamed.is_complete);
            }
            for (n, answer) in numbers.zip(join_all(calls).await) {
                whole += usize::from(check_balance(storm.name, n, &answer));
            }
            requests += 2 * AT_ONCE;
        }
        let attempts = begun(&deployment);
        println!(
            "{}: {requests} requests, {attempts} attempts, {whole} whole",
            storm.name
        );
        assert!(
            attempts * 10 < requests * 12,
            "{}: {attempts} of {requests}",
            storm.name
        );
        assert!(
            whole * 3 > requests,
            "{}: {whole} of {requests}",
            storm.name
        );
        assert_eq!(
            deployment.world().counters().cold_overloads,
            0,
            "{}",
            storm.name
        );
        deployment.stop().await;
    }
}

/// Calls before one service straggles, and after.
const USUAL_CALLS: usize = 100;
const SLOW_CALLS: usize = 40;

#[tokio::test(flavor = "multi_thread")]
async fn a_straggling_service_is_hedged_within_the_budget() {
    let mut deployment = deployment("").await;
    warm_all(&deployment);
    let near = deployment.caller_addresses()[0];
    for n in 0..USUAL_CALLS {
        let answer = balance(&deployment, near, ACCOUNT, n).await;
        assert!(check_balance("usual", n, &answer), "{answer:?}");
    }
    // The node's own failure domain, so that it goes there first.
    let slow = Faults {
        slow_percent: 5_000,
        ..Faults::default()
    };
    set_faults(&deployment, "teifi-ledger", &slow);
    let before = begun(&deployment);
    for n in 0..SLOW_CALLS {
        let answer = balance(&deployment, near, ACCOUNT, n).await;
        assert!(check_balance("slow", n, &answer), "{answer:?}");
    }
    let attempts = begun(&deployment);
    let hedges = attempts - before - SLOW_CALLS;
    println!("{SLOW_CALLS} slow calls, {hedges} hedges, {attempts} attempts in all");
    assert!(hedges > 0, "no hedge");
    assert!(
        attempts * 10 < (USUAL_CALLS + SLOW_CALLS) * 12,
        "{attempts}"
    );
    assert_eq!(deployment.world().counters().cold_overloads, 0);
    deployment.stop().await;
}

/// Returns the requests of an account in progress at all nodes.
async fn in_progress(deployment: &Deployment, account: &str) -> u64 {
    let mut sum = 0;
    for number in 0..deployment.caller_addresses().len() {
        let answer = deployment
            .query(number, "/admin/v1/accounts")
            .await
            .unwrap();
        let rows = answer["accounts"].as_array().unwrap();
        let own = rows.iter().filter(|row| row["account"] == account);
        sum += own
            .map(|row| row["in_progress_here"].as_u64().unwrap())
            .sum::<u64>();
    }
    sum
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_cancels_its_work() {
    let mut deployment = deployment("").await;
    warm_all(&deployment);
    let callers = deployment.caller_addresses();
    let stuck = Faults {
        stall_after: Some(1),
        slow_percent: 100_000,
        ..Faults::default()
    };
    set_faults(&deployment, "ledger", &stuck);
    let stalls = Faults {
        stall_after: Some(1),
        ..Faults::default()
    };
    set_faults(&deployment, "-e", &stalls);
    // An answer of a single token would be whole before the engine falls silent.
    let long = (0..).find(|seed| standin::engine::answer_tokens(*seed, "p", 8).len() > 4);
    // One after the other, so that each finds the slot of the one before.
    for round in 0..12 {
        let before = deployment.world().counters();
        let (client, address) = (deployment.client().clone(), callers[round % 3]);
        let is_draft = round % 2 == 0;
        let left = tokio::spawn(async move {
            let key = api_key(ACCOUNT);
            let body = json!({"model": MODEL, "stream": true, "max_tokens": 8, "seed": long, "prompt": "p"});
            if is_draft {
                let path = "/v1/completions";
                let _ = client.stream(address, path, &key, &[], &body).await;
            } else {
                let path = "/v1/services/ledger/balance";
                let _ = client
                    .call(http::Method::POST, address, path, &key, &[], &body)
                    .await;
            }
        });
        within("the work begins", PATIENCE, async || {
            begun(&deployment) > before.begun.len()
        })
        .await;
        left.abort();
        within("the work is cancelled", PATIENCE, async || {
            deployment.world().inspect(|c| c.abandoned) > before.abandoned
        })
        .await;
        within("the account's request ends", PATIENCE, async || {
            in_progress(&deployment, ACCOUNT).await == 0
        })
        .await;
    }
    for part in ["ledger", "-e"] {
        set_faults(&deployment, part, &Faults::default());
    }
    for n in 0..30 {
        let (streamed, right) = draft(&deployment, callers[n % 3], n as u64, 4).await;
        check_draft("after", &streamed, &right);
        assert!(streamed.is_complete, "{streamed:?}");
        let answer = balance(&deployment, callers[n % 3], ACCOUNT, n).await;
        assert!(check_balance("after", n, &answer), "{answer:?}");
    }
    assert_eq!(deployment.world().counters().cold_overloads, 0);
    deployment.stop().await;
}

/// Callers that leave a cold deployment, several at once.
const LEAVING_ROUNDS: usize = 10;
const LEAVING_AT_ONCE: usize = 12;

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_go_away_never_overload_a_cold_server() {
    let mut deployment = deployment("").await;
    for server in deployment.world().servers() {
        let instance = server.listed().instance.clone();
        deployment.world().apply(&Command::Warm {
            instance,
            warm: false,
        });
    }
    let callers = deployment.caller_addresses();
    for round in 0..LEAVING_ROUNDS {
        let before = begun(&deployment);
        let streams = (0..LEAVING_AT_ONCE).map(|n| {
            let (client, address) = (deployment.client().clone(), callers[n % 3]);
            tokio::spawn(async move {
                let key = api_key(ACCOUNT);
                let body = json!({"model": MODEL, "stream": true, "max_tokens": 200, "seed": n, "prompt": "p"});
                let path = "/v1/completions";
                let _ = client.stream(address, path, &key, &[], &body).await;
            })
        });
        let calls = (0..LEAVING_AT_ONCE).map(|n| {
            let (client, address) = (deployment.client().clone(), callers[n % 3]);
            tokio::spawn(async move {
                let key = api_key(ACCOUNT);
                let path = "/v1/services/ledger/balance";
                let body = json!({"n": n});
                let _ = client
                    .call(http::Method::POST, address, path, &key, &[], &body)
                    .await;
            })
        });
        let all: Vec<_> = streams.chain(calls).collect();
        within("some work begins", PATIENCE, async || {
            begun(&deployment) > before + 2 || all.iter().all(JoinHandle::is_finished)
        })
        .await;
        for one in &all {
            one.abort();
        }
        assert_eq!(
            deployment.world().counters().cold_overloads,
            0,
            "round {round}"
        );
    }
    deployment.stop().await;
}

/// Common beginnings of prompts, and the drafts with each.
const FAMILIES: usize = 10;
const MEMBERS: usize = 6;

/// Returns the sum over the families of the engines that got their drafts.
async fn leads(settings: &str) -> usize {
    let mut deployment = deployment(settings).await;
    warm_all(&deployment);
    let near = deployment.caller_addresses()[0];
    for n in 0..30 {
        let (streamed, right) = draft(&deployment, near, n, 2).await;
        check_draft("earlier", &streamed, &right);
    }
    let mut sum = 0;
    for family in 0..FAMILIES {
        let common = format!("Family {family}. ").repeat(60);
        let before = begun(&deployment);
        for member in 0..MEMBERS {
            let prompt = format!("{common} Question {member}.");
            let body = json!({"model": MODEL, "stream": true, "max_tokens": 2, "seed": 1, "prompt": prompt});
            let key = api_key(ACCOUNT);
            let streamed: StreamedAnswer = deployment
                .client()
                .stream(near, "/v1/completions", &key, &[], &body)
                .await
                .unwrap();
            let right = standin::engine::answer_tokens(1, &prompt, 2).concat();
            check_draft("family", &streamed, &right);
            assert!(streamed.is_complete, "{streamed:?}");
        }
        let engines: BTreeSet<String> = deployment.world().inspect(|counters| {
            let late = counters.begun[before..].iter();
            late.map(|begun| begun.instance.to_string()).collect()
        });
        sum += engines.len();
    }
    deployment.stop().await;
    sum
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_with_a_common_beginning_go_to_fewer_replicas_than_at_random() {
    let affinity = leads("").await;
    let random = leads("policies = { route = \"random\" }").await;
    println!("{FAMILIES} families: {affinity} engines by affinity, {random} at random");
    assert!(affinity < random, "{affinity} {random}");
}

/// Drafts of the small account, and those of the large one beside each.
const SMALL: usize = 20;
const LARGE_EACH: usize = 24;

#[tokio::test(flavor = "multi_thread")]
async fn an_account_far_above_its_share_does_not_fail_another() {
    let mut deployment = deployment("").await;
    warm_all(&deployment);
    let callers = deployment.caller_addresses();
    let mut served = 0;
    for n in 0..SMALL {
        let large = (0..LARGE_EACH).map(|m| {
            let seed = (n * LARGE_EACH + m) as u64;
            draft(&deployment, callers[m % 3], seed, 8)
        });
        let small = async {
            let answer = balance(&deployment, callers[n % 3], OTHER_ACCOUNT, n).await;
            let prompt = format!("Small {n}.");
            let body = json!({"model": MODEL, "stream": true, "max_tokens": 4, "seed": 1, "prompt": prompt});
            let key = api_key(OTHER_ACCOUNT);
            let client = deployment.client();
            let streamed = client
                .stream(callers[n % 3], "/v1/completions", &key, &[], &body)
                .await
                .unwrap();
            (
                answer,
                streamed,
                standin::engine::answer_tokens(1, &prompt, 4).concat(),
            )
        };
        let (large, (answer, streamed, right)) = tokio::join!(join_all(large), small);
        for (streamed, right) in large {
            check_draft("large", &streamed, &right);
            served += usize::from(streamed.is_complete);
        }
        assert!(check_balance("small", n, &answer), "{answer:?}");
        check_draft("small", &streamed, &right);
        assert!(streamed.is_complete, "{streamed:?}");
    }
    println!(
        "small: {SMALL} of {SMALL}; large: {served} of {}",
        SMALL * LARGE_EACH
    );
    assert_eq!(deployment.world().counters().cold_overloads, 0);
    deployment.stop().await;
}

/// The length of the beginning that crashing prompts share.
const SHARED_BYTES: usize = 512;

#[tokio::test(flavor = "multi_thread")]
async fn drafts_that_crash_servers_are_withheld_by_all_nodes() {
    /// Three ends at different times suffice, and five may come together.
    const MAX_RUNS: usize = 8;
    const DRAFTS: usize = 60;
    let mut deployment = deployment("").await;
    let text = "Strata of the estuary. ";
    let crashing = text.repeat(SHARED_BYTES / text.len() + 1);
    let faults = Faults {
        crash_prompts: Some(text.into()),
        ..Faults::default()
    };
    set_faults(&deployment, "", &faults);
    let callers = deployment.caller_addresses();
    let before = begun(&deployment);
    for n in 0..DRAFTS {
        let body = json!({"model": MODEL, "stream": true, "max_tokens": 40, "seed": n,
            "prompt": format!("{crashing} Question {n}.")});
        let address = callers[n % callers.len()];
        let key = api_key(ACCOUNT);
        let answer = deployment
            .client()
            .stream(address, "/v1/completions", &key, &[], &body)
            .await;
        assert!(!answer.unwrap().is_complete);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let runs = begun(&deployment) - before;
    assert!(runs <= MAX_RUNS, "{runs} runs of {DRAFTS} drafts");
    let (streamed, right) = draft(&deployment, callers[0], 1, 4).await;
    check_draft("another prompt", &streamed, &right);
    assert!(streamed.is_complete, "{streamed:?}");
    deployment.stop().await;
}

/// Guards against sending a call that ends each server that runs it again and again.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_crash_servers_are_withheld_by_all_nodes() {
    /// Three ends suffice; copies may run at other servers at the same time.
    const MAX_RUNS: usize = 6;
    const CALLS: usize = 60;
    let mut deployment = deployment("").await;
    let faults = Faults {
        crash_calls: Some("poison".into()),
        ..Faults::default()
    };
    set_faults(&deployment, "", &faults);
    let callers = deployment.caller_addresses();
    let before = begun(&deployment);
    for n in 0..CALLS {
        let body = json!({"memo": "poison"});
        let address = callers[n % callers.len()];
        let answer = ledger(&deployment, address, "balance", ACCOUNT, &[], &body).await;
        assert!(!answer.status.is_success(), "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let runs = begun(&deployment) - before;
    assert!(runs <= MAX_RUNS, "{runs} runs of {CALLS} calls");
    let answer = balance(&deployment, callers[0], ACCOUNT, 7).await;
    assert!(check_balance("another call", 7, &answer), "{answer:?}");
    deployment.stop().await;
}
