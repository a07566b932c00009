//! Following a log that is down, stalled, expiring or losing answers.

use clock::{Clock, WallTime};
use log::{Backoff, Faults, Memory, Tail, follow};
use name::Offset;
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

const SHORT: Duration = Duration::from_millis(1);

fn log_in_memory() -> Memory {
    Memory::new(Clock::new(clock::Moment::default, || WallTime(5)))
}

fn tail() -> Tail {
    Tail {
        max_records: 2,
        wait: SHORT,
        backoff: Backoff::new(SHORT, SHORT, 1),
    }
}

#[tokio::test]
async fn an_append_is_lost_before_or_after_its_effect() {
    let log = log_in_memory();
    let store = log.store();
    let down = Faults {
        is_down: true,
        ..Faults::default()
    };
    let lost = Faults {
        lost_appends: 1,
        ..Faults::default()
    };
    let unanswered = Faults {
        lost_answers: 1,
        ..Faults::default()
    };
    // The faults, whether the failure is certain, and the tail after it.
    for (faults, certain, tail) in [(down, true, 1), (lost, false, 1), (unanswered, false, 2)] {
        log.set(faults.clone());
        let error = store.append(&["a".into()]).await.expect_err("a fault");
        assert_eq!(
            (error.is_not_appended(), log.tail().0),
            (certain, tail),
            "{faults:?}"
        );
    }
    assert_eq!(
        store.append(&["b".into(), "c".into()]).await.ok(),
        Some(Offset(2))
    );
}

#[tokio::test]
async fn an_expired_record_shows_in_the_first_offset() {
    let log = log_in_memory();
    let store = log.store();
    for data in ["a", "b", "c"] {
        store.append(&[data.into()]).await.expect("appended");
    }
    log.expire(Offset(3));
    let page = store.read(Offset(1), 9, SHORT).await.expect("a page");
    assert_eq!((page.first, page.tail), (Offset(3), Offset(4)));
    assert_eq!(
        page.entries.iter().map(|e| &*e.data).collect::<Vec<_>>(),
        ["c"]
    );
}

#[tokio::test]
async fn following_survives_an_outage_and_misses_nothing() {
    let log = log_in_memory();
    let store = log.store();
    let all: Vec<Arc<str>> = (0..7).map(|n| n.to_string().into()).collect();
    store.append(&all[..3]).await.expect("appended");
    log.set(Faults {
        is_down: true,
        ..Faults::default()
    });
    let seen: Mutex<Vec<Arc<str>>> = Mutex::default();
    let failures = Mutex::new(0);
    let mut from = Offset(1);
    let sink = |read: Result<log::Read, log::Error>| {
        match read {
            Ok(read) => {
                assert!(read.asked <= read.answered);
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
    let drive = async {
        while *failures.lock().expect("no panic") < 3 {
            tokio::task::yield_now().await;
        }
        log.set(Faults {
            is_stalled: true,
            ..Faults::default()
        });
        tokio::task::yield_now().await;
        log.set(Faults::default());
        store.append(&all[3..]).await.expect("appended");
        while seen.lock().expect("no panic").len() < all.len() {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        () = follow(&store, tail(), &clock, Offset(1), sink) => panic!("following ended"),
        () = drive => {}
    }
    assert_eq!(*seen.lock().expect("no panic"), all);
}
