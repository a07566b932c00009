//! Reads of a log that is down or stalled, expires records or loses responses.

use clock::{Clock, WallTime};
use log::{Backoff, Faults, Memory, TailOptions, follow};
use name::Offset;
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

const SHORT_DELAY: Duration = Duration::from_millis(1);

fn memory_log() -> Memory {
    Memory::new(Clock::new(clock::Moment::default, || WallTime(5)))
}

fn tail_options() -> TailOptions {
    TailOptions {
        max_records: 2,
        wait: SHORT_DELAY,
        backoff: Backoff::new(SHORT_DELAY, SHORT_DELAY, 1),
    }
}

#[tokio::test]
async fn injected_faults_determine_effect() {
    let log = memory_log();
    let store = log.store();
    let down = Faults {
        is_down: true,
        ..Faults::default()
    };
    let append_lost = Faults {
        lost_appends: 1,
        ..Faults::default()
    };
    let response_lost = Faults {
        lost_responses: 1,
        ..Faults::default()
    };
    // The faults, the expected `is_not_appended`, and the tail after the append.
    for (faults, is_not_appended, tail) in [
        (down, true, 1),
        (append_lost, false, 1),
        (response_lost, false, 2),
    ] {
        log.set_faults(faults.clone());
        let error = store.append(&["a".into()]).await.expect_err("a fault");
        assert_eq!(
            (error.is_not_appended(), log.tail().0),
            (is_not_appended, tail),
            "{faults:?}"
        );
    }
    assert_eq!(
        store.append(&["b".into(), "c".into()]).await.ok(),
        Some(Offset(2))
    );
}

#[tokio::test]
async fn expired_records_advance_first_offset() {
    let log = memory_log();
    let store = log.store();
    for data in ["a", "b", "c"] {
        store.append(&[data.into()]).await.expect("appended");
    }
    log.expire(Offset(3));
    let page = store.read(Offset(1), 9, SHORT_DELAY).await.expect("a page");
    assert_eq!((page.first, page.tail), (Offset(3), Offset(4)));
    assert_eq!(
        page.entries.iter().map(|e| &*e.data).collect::<Vec<_>>(),
        ["c"]
    );
}

#[tokio::test]
async fn follow_resumes_after_outage_without_gaps() {
    let log = memory_log();
    let store = log.store();
    let records: Vec<Arc<str>> = (0..7).map(|n| n.to_string().into()).collect();
    store.append(&records[..3]).await.expect("appended");
    log.set_faults(Faults {
        is_down: true,
        ..Faults::default()
    });
    let seen: Mutex<Vec<Arc<str>>> = Mutex::default();
    let failures = Mutex::new(0);
    let mut from = Offset(1);
    let sink = |read: Result<log::TimedPage, log::Error>| {
        match read {
            Ok(read) => {
                assert!(read.requested_at <= read.received_at);
                let mut seen = seen.lock().expect("no panic");
                for entry in read.page.entries {
                    assert_eq!(entry.offset, from);
                    from = from.next();
                    seen.push(entry.data);
                }
            }
            Err(_) => *failures.lock().expect("no panic") += 1,
        }
        from
    };
    let clock = Clock::system();
    let scenario = async {
        while *failures.lock().expect("no panic") < 3 {
            tokio::task::yield_now().await;
        }
        log.set_faults(Faults {
            is_stalled: true,
            ..Faults::default()
        });
        tokio::task::yield_now().await;
        log.set_faults(Faults::default());
        store.append(&records[3..]).await.expect("appended");
        while seen.lock().expect("no panic").len() < records.len() {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        () = follow(&store, tail_options(), &clock, Offset(1), sink) => panic!("following ended"),
        () = scenario => {}
    }
    assert_eq!(*seen.lock().expect("no panic"), records);
}
