//! Completion of submitted records while the log injects faults.

use clock::{Clock, WallTime};
use log::{
    Backoff, Completion, Faults, Memory, Outbox, QueueFull, Submitted, TailOptions, Writer, follow,
};
use name::{Incarnation, Offset, Sequence};
use state::{Change, Event, Follower, Operation, Outcome, Record, Scope, encode};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

const SHORT_DELAY: Duration = Duration::from_millis(1);

fn writer(number: u128) -> state::Writer {
    state::Writer(Incarnation(uuid::Uuid::from_u128(number)))
}

fn outbox() -> Outbox<Outcome> {
    let backoff = Backoff::new(SHORT_DELAY, SHORT_DELAY, 1);
    Outbox::new(Writer::new(log::Limits::default(), backoff))
}

/// Submits a first record that takes the failure domain `domain` out of service.
fn submit_take_out(
    outbox: &Outbox<Outcome>,
    writer_id: state::Writer,
    domain: &str,
) -> Submitted<Outcome> {
    let encoded = |sequence: Sequence| {
        let change = Change::Operation {
            base: Offset::ZERO,
            scope: Scope::Domain(domain.try_into().expect("a name")),
            operation: Operation::TakeOut,
            by: "eira".into(),
        };
        let record = Record {
            writer: writer_id,
            sequence,
            change,
        };
        Ok::<_, QueueFull>(encode(&record).expect("a short record"))
    };
    outbox.submit(encoded).expect("room")
}

/// Runs a node that appends its records, follows the log and completes them.
async fn run_node(log: &Memory, writer_id: state::Writer, outbox: &Outbox<Outcome>) {
    let (store, clock) = (log.store(), Clock::system());
    let options = TailOptions {
        max_records: 8,
        wait: SHORT_DELAY,
        backoff: Backoff::new(SHORT_DELAY, SHORT_DELAY, 2),
    };
    let follower = Mutex::new(Follower::new(writer_id, state::Limits::default()));
    let sink = |read: Result<log::TimedPage, log::Error>| {
        let mut follower = follower.lock().expect("no panic");
        let events = read.map_or_else(|_| Vec::new(), |read| follower.offer_page(read.page));
        for event in events {
            if let Event::Folded {
                record: Some(record),
                is_own: true,
                outcome,
                ..
            } = event
            {
                // The first copy of a repeated record has completed it already.
                if outcome != Outcome::Repeated {
                    outbox.complete(record.sequence, outcome);
                }
            }
        }
        follower.next_read()
    };
    tokio::join!(
        outbox.run(&store, &clock),
        follow(&store, options, &clock, Offset(1), sink),
    );
}

#[tokio::test]
async fn record_completes_when_read_back() {
    let no_faults = Faults::default();
    let cases = [
        no_faults.clone(),
        Faults {
            lost_responses: 2,
            ..no_faults.clone()
        },
        Faults {
            lost_appends: 2,
            ..no_faults.clone()
        },
        Faults {
            lost_responses: 1,
            lost_appends: 1,
            ..no_faults
        },
    ];
    for faults in cases {
        let log = Memory::new(Clock::new(clock::Moment::default, || WallTime(5)));
        log.set_faults(faults.clone());
        let (first, second) = (outbox(), outbox());
        let all_submitted = async {
            let ours = submit_take_out(&first, writer(1), "teifi").completion;
            let theirs = submit_take_out(&second, writer(2), "teifi").completion;
            let other = submit_take_out(&second, writer(2), "tywi").completion;
            [ours.await, theirs.await, other.await].map(|d| d.expect("completed"))
        };
        let [ours, theirs, other] = tokio::select! {
            completions = all_submitted => completions,
            () = run_node(&log, writer(1), &first) => panic!("the node ended"),
            () = run_node(&log, writer(2), &second) => panic!("the node ended"),
        };
        let accepted = Completion::Confirmed(Outcome::Accepted);
        assert_eq!(
            [&ours, &theirs].iter().filter(|d| ***d == accepted).count(),
            1,
            "{faults:?}"
        );
        assert_eq!(other, accepted, "{faults:?}");
        assert!(first.is_empty() && second.is_empty(), "{faults:?}");
    }
}

#[tokio::test]
async fn unsent_record_can_be_withdrawn_during_outage() {
    let log = Memory::new(Clock::new(clock::Moment::default, || WallTime(5)));
    log.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let outbox = outbox();
    let first = submit_take_out(&outbox, writer(1), "teifi");
    assert!(outbox.withdraw(first.sequence));
    assert!(!outbox.withdraw(first.sequence));
    let second = submit_take_out(&outbox, writer(1), "tywi");
    log.set_faults(Faults::default());
    tokio::select! {
        completion = second.completion => assert_eq!(completion.ok(), Some(Completion::Confirmed(Outcome::Accepted))),
        () = run_node(&log, writer(1), &outbox) => panic!("the node ended"),
    }
    assert!(first.completion.await.is_err());
    assert_eq!(log.entries().len(), 1);
}

#[tokio::test]
async fn record_in_installed_snapshot_has_unknown_outcome() {
    let outbox = outbox();
    let first = submit_take_out(&outbox, writer(1), "teifi");
    let second = submit_take_out(&outbox, writer(1), "tywi");
    outbox.complete_through(first.sequence);
    assert_eq!(
        first.completion.await.ok(),
        Some(Completion::OutcomeUnknown)
    );
    outbox.complete(second.sequence, Outcome::Accepted);
    assert_eq!(
        second.completion.await.ok(),
        Some(Completion::Confirmed(Outcome::Accepted))
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_callers_receive_their_own_completion() {
    const CALLERS: usize = 8;
    const RECORDS: usize = 40;
    let log = Memory::new(Clock::new(clock::Moment::default, || WallTime(5)));
    log.set_faults(Faults {
        lost_responses: 3,
        lost_appends: 3,
        ..Faults::default()
    });
    let outbox = Arc::new(outbox());
    let node = tokio::spawn({
        let (log, outbox) = (log.clone(), Arc::clone(&outbox));
        async move { run_node(&log, writer(1), &outbox).await }
    });
    let callers = (0..CALLERS).map(|caller| {
        let outbox = Arc::clone(&outbox);
        tokio::spawn(async move {
            let mut accepted = 0;
            for record in 0..RECORDS {
                // Two callers submit the same operation on the same base, so that only
                // one of them is accepted.
                let domain = format!("d{}-{record}", caller / 2);
                let completion = submit_take_out(&outbox, writer(1), &domain)
                    .completion
                    .await;
                accepted +=
                    usize::from(completion.ok() == Some(Completion::Confirmed(Outcome::Accepted)));
            }
            accepted
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut accepted = 0;
    for caller in callers {
        accepted += caller.await.expect("no panic");
    }
    assert_eq!(accepted, CALLERS / 2 * RECORDS);
    assert!(outbox.is_empty());
    node.abort();
}
