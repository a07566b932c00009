//! An operator's record from its queue to its decision, through faults.

use clock::{Clock, WallTime};
use log::{Backoff, Decision, Faults, Full, Memory, Outbox, Submitted, Tail, Writer, follow};
use name::{Incarnation, Offset, Sequence};
use state::{Change, Event, Follower, Operation, Outcome, Record, Scope, encode};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

const SHORT: Duration = Duration::from_millis(1);

fn own(number: u128) -> state::Writer {
    state::Writer(Incarnation(uuid::Uuid::from_u128(number)))
}

fn outbox() -> Outbox<Outcome> {
    let backoff = Backoff::new(SHORT, SHORT, 1);
    Outbox::new(Writer::new(log::Limits::default(), backoff))
}

/// Queues the order to take out the failure domain `domain` for the first time.
fn take_out(outbox: &Outbox<Outcome>, by: state::Writer, domain: &str) -> Submitted<Outcome> {
    let encoded = |sequence: Sequence| {
        let change = Change::Operation {
            base: Offset::ZERO,
            scope: Scope::Domain(domain.try_into().expect("a name")),
            operation: Operation::TakeOut,
            by: "eira".into(),
        };
        let record = Record {
            writer: by,
            sequence,
            change,
        };
        Ok::<_, Full>(encode(&record).expect("a short record"))
    };
    outbox.submit(encoded).expect("room")
}

/// Runs a node that appends, follows and decides.
async fn run(log: &Memory, by: state::Writer, outbox: &Outbox<Outcome>) {
    let (store, clock) = (log.store(), Clock::system());
    let tail = Tail {
        max_records: 8,
        wait: SHORT,
        backoff: Backoff::new(SHORT, SHORT, 2),
    };
    let follower = Mutex::new(Follower::new(by, state::Limits::default()));
    let sink = |read: Result<log::Read, log::Error>| {
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
                // A repeat's first copy was decided before it.
                if outcome != Outcome::Repeated {
                    outbox.decide(record.sequence, outcome);
                }
            }
        }
        follower.next_read()
    };
    tokio::join!(
        outbox.run(&store, &clock),
        follow(&store, tail, &clock, Offset(1), sink),
    );
}

#[tokio::test]
async fn a_record_is_decided_once_it_is_read_back() {
    let whole = Faults::default();
    let cases = [
        whole.clone(),
        Faults {
            lost_answers: 2,
            ..whole.clone()
        },
        Faults {
            lost_appends: 2,
            ..whole.clone()
        },
        Faults {
            lost_answers: 1,
            lost_appends: 1,
            ..whole
        },
    ];
    for faults in cases {
        let log = Memory::new(Clock::new(clock::Moment::default, || WallTime(5)));
        log.set(faults.clone());
        let (first, second) = (outbox(), outbox());
        let race = async {
            let ours = take_out(&first, own(1), "teifi").decision;
            let theirs = take_out(&second, own(2), "teifi").decision;
            let other = take_out(&second, own(2), "tywi").decision;
            [ours.await, theirs.await, other.await].map(|d| d.expect("decided"))
        };
        let [ours, theirs, other] = tokio::select! {
            decisions = race => decisions,
            () = run(&log, own(1), &first) => panic!("the node ended"),
            () = run(&log, own(2), &second) => panic!("the node ended"),
        };
        let won = Decision::Read(Outcome::Accepted);
        assert_eq!(
            [&ours, &theirs].iter().filter(|d| ***d == won).count(),
            1,
            "{faults:?}"
        );
        assert_eq!(other, won, "{faults:?}");
        assert!(first.is_empty() && second.is_empty(), "{faults:?}");
    }
}

#[tokio::test]
async fn a_record_that_never_left_can_be_withdrawn_in_an_outage() {
    let log = Memory::new(Clock::new(clock::Moment::default, || WallTime(5)));
    log.set(Faults {
        is_down: true,
        ..Faults::default()
    });
    let outbox = outbox();
    let first = take_out(&outbox, own(1), "teifi");
    assert!(outbox.withdraw(first.sequence));
    assert!(!outbox.withdraw(first.sequence));
    let second = take_out(&outbox, own(1), "tywi");
    log.set(Faults::default());
    tokio::select! {
        decision = second.decision => assert_eq!(decision.ok(), Some(Decision::Read(Outcome::Accepted))),
        () = run(&log, own(1), &outbox) => panic!("the node ended"),
    }
    assert!(first.decision.await.is_err());
    assert_eq!(log.entries().len(), 1);
}

#[tokio::test]
async fn a_record_in_an_adopted_state_has_an_unknown_outcome() {
    let outbox = outbox();
    let first = take_out(&outbox, own(1), "teifi");
    let second = take_out(&outbox, own(1), "tywi");
    outbox.pass(first.sequence);
    assert_eq!(first.decision.await.ok(), Some(Decision::Passed));
    outbox.decide(second.sequence, Outcome::Accepted);
    assert_eq!(
        second.decision.await.ok(),
        Some(Decision::Read(Outcome::Accepted))
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_callers_at_once_are_each_told_their_own_decision() {
    const CALLERS: usize = 8;
    const RECORDS: usize = 40;
    let log = Memory::new(Clock::new(clock::Moment::default, || WallTime(5)));
    log.set(Faults {
        lost_answers: 3,
        lost_appends: 3,
        ..Faults::default()
    });
    let outbox = Arc::new(outbox());
    let node = tokio::spawn({
        let (log, outbox) = (log.clone(), Arc::clone(&outbox));
        async move { run(&log, own(1), &outbox).await }
    });
    let callers = (0..CALLERS).map(|caller| {
        let outbox = Arc::clone(&outbox);
        tokio::spawn(async move {
            let mut won = 0;
            for record in 0..RECORDS {
                // Two callers order the same; the base lets one of them win.
                let domain = format!("d{}-{record}", caller / 2);
                let decision = take_out(&outbox, own(1), &domain).decision.await;
                won += usize::from(decision.ok() == Some(Decision::Read(Outcome::Accepted)));
            }
            won
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut won = 0;
    for caller in callers {
        won += caller.await.expect("no panic");
    }
    assert_eq!(won, CALLERS / 2 * RECORDS);
    assert!(outbox.is_empty());
    node.abort();
}
