//! Tests of keys, records, tables and batches.

use clock::{Moment, WallTime};
use name::{Account, Incarnation, Offset};
use once::{
    Batch, Bounds, ClaimId, Digest, Key, KeyState, Position, Record, Response, Table, Window,
    partition,
};
use proptest::{collection, prelude::*, test_runner::RngSeed};
use std::time::Duration;
use uuid::Uuid;
use verdict::{Kind, Verdict};

const NOW: WallTime = WallTime(10_000_000);

fn account() -> Account {
    "lena".try_into().expect("a name")
}

/// Returns a key with the timestamp `millis` and the random bits `tail`.
fn key(millis: u64, tail: u128) -> Key {
    let id = Uuid::from_u128((u128::from(millis) << 80) | (7 << 76) | (2 << 62) | tail);
    Key::parse(&account(), Some(&id.to_string())).expect("a UUIDv7")
}

fn claim(key: &Key, number: u128) -> Record {
    Record::Claim {
        key: key.clone(),
        digest: Digest::new("POST /b", b"body"),
        incarnation: Incarnation(Uuid::from_u128(1)),
        claim: ClaimId(Uuid::from_u128(number)),
    }
}

fn void(key: &Key) -> Record {
    Record::Void {
        key: key.clone(),
        incarnation: Incarnation(Uuid::from_u128(2)),
    }
}

fn outcome(key: &Key, number: u128, response: Response) -> Record {
    Record::Outcome {
        key: key.clone(),
        claim: ClaimId(Uuid::from_u128(number)),
        response,
    }
}

/// Returns a table that has folded `records` and covers the window.
fn table(bounds: Bounds, records: &[Record]) -> Table {
    let mut table = Table::new(Window::default(), bounds);
    table.set_target(Offset(records.len() as u64));
    for (index, record) in records.iter().enumerate() {
        table.fold(Offset(index as u64 + 1), Some(record), NOW);
    }
    table
}

#[test]
fn invalid_key_is_rejected_as_not_run() {
    struct Case {
        text: Option<&'static str>,
        is_key: bool,
    }
    let cases = [
        Case {
            text: None,
            is_key: false,
        },
        Case {
            text: Some(""),
            is_key: false,
        },
        Case {
            text: Some("booking-17"),
            is_key: false,
        },
        Case {
            text: Some("6f1b0f6e-5a3c-4a1e-9b1c-0d3f6a1b2c3d"),
            is_key: false,
        },
        Case {
            text: Some("01890a5d-ac96-774b-1cce-b302099a8057"),
            is_key: false,
        },
        Case {
            text: Some("01890a5d-ac96-774b-bcce-b302099a8057"),
            is_key: true,
        },
        Case {
            text: Some("\u{0}\u{fffd}"),
            is_key: false,
        },
    ];
    for case in cases {
        match Key::parse(&account(), case.text) {
            Ok(key) => {
                assert!(case.is_key, "{:?}", case.text);
                assert_eq!(key.time(), WallTime(0x0189_0a5d_ac96));
            }
            Err(error) => {
                assert!(!case.is_key, "{:?}", case.text);
                assert_eq!(error.kind(), Kind::Malformed);
                assert_eq!(error.verdict(), Verdict::NotRun);
            }
        }
    }
}

#[test]
fn window_position_follows_key_time() {
    let cases = [
        (NOW.0 - 600_001, Position::TooOld),
        (NOW.0 - 600_000, Position::Inside),
        (NOW.0 + 5_000, Position::Inside),
        (NOW.0 + 5_001, Position::Ahead),
        (NOW.0 + 600_000, Position::Ahead),
        (NOW.0 + 600_001, Position::FarAhead),
    ];
    let window = Window::default();
    for (millis, position) in cases {
        assert_eq!(window.position(&key(millis, 1), NOW), position, "{millis}");
    }
    assert!(window.fits(Duration::from_secs(611)));
    assert!(!window.fits(Duration::from_secs(610)));
}

#[test]
fn first_claim_or_void_wins() {
    let key = key(NOW.0, 1);
    let other = other_account_key(1);
    let ran = Response::ran(201, "text/plain", b"booked");
    let claimed = |number| KeyState::Claimed {
        digest: Digest::new("POST /b", b"body"),
        incarnation: Incarnation(Uuid::from_u128(1)),
        claim: ClaimId(Uuid::from_u128(number)),
    };
    let done = |response: &Response| KeyState::Done {
        digest: Digest::new("POST /b", b"body"),
        response: response.clone(),
    };
    struct Case {
        name: &'static str,
        records: Vec<Record>,
        key_state: KeyState,
    }
    let cases = [
        Case {
            name: "no record",
            records: vec![],
            key_state: KeyState::Free,
        },
        Case {
            name: "claim of the same UUID by another account",
            records: vec![claim(&other, 1)],
            key_state: KeyState::Free,
        },
        Case {
            name: "two claims",
            records: vec![claim(&key, 1), claim(&key, 2)],
            key_state: claimed(1),
        },
        Case {
            name: "a claim, then a void",
            records: vec![claim(&key, 1), void(&key)],
            key_state: claimed(1),
        },
        Case {
            name: "a void, then a claim with an outcome",
            records: vec![void(&key), claim(&key, 1), outcome(&key, 1, ran.clone())],
            key_state: KeyState::Voided,
        },
        Case {
            name: "an outcome without a claim",
            records: vec![outcome(&key, 1, ran.clone())],
            key_state: KeyState::Free,
        },
        Case {
            name: "the outcome of a claim that lost",
            records: vec![claim(&key, 1), outcome(&key, 2, ran.clone())],
            key_state: claimed(1),
        },
        Case {
            name: "two outcomes",
            records: vec![
                claim(&key, 1),
                outcome(&key, 1, ran.clone()),
                outcome(&key, 1, Response::without_body(Verdict::NotRun)),
            ],
            key_state: done(&ran),
        },
    ];
    for case in cases {
        let table = table(Bounds::default(), &case.records);
        assert_eq!(table.key_state(&key), case.key_state, "{}", case.name);
    }
}

/// Returns the key with the same UUID as `key(NOW.0, tail)` of another account.
fn other_account_key(tail: u128) -> Key {
    let account: Account = "tegid".try_into().expect("a name");
    Key {
        account,
        id: key(NOW.0, tail).id,
    }
}

#[test]
fn key_is_unknown_until_target_is_read() {
    let key = key(NOW.0, 1);
    let mut table = Table::new(Window::default(), Bounds::default());
    assert_eq!(table.key_state(&key), KeyState::Unknown);
    table.set_target(Offset(2));
    table.fold(Offset(1), None, NOW);
    assert_eq!(table.key_state(&key), KeyState::Unknown);
    table.fold(Offset(2), None, NOW);
    assert_eq!(table.key_state(&key), KeyState::Free);
    // A later target must not make a ready table unready.
    table.set_target(Offset(9));
    assert!(table.is_ready());
}

#[test]
fn offset_gap_makes_older_keys_unknown() {
    let mut table = table(Bounds::default(), &[claim(&key(NOW.0, 1), 1)]);
    table.fold(Offset(9), None, NOW);
    assert_eq!(table.key_state(&key(NOW.0, 2)), KeyState::Unknown);
    assert_eq!(table.key_state(&key(NOW.0 + 5_000, 2)), KeyState::Unknown);
    assert_eq!(table.key_state(&key(NOW.0 + 5_001, 2)), KeyState::Free);
}

#[test]
fn repeated_offset_is_ignored() {
    let key = key(NOW.0, 1);
    let mut table = table(Bounds::default(), &[void(&key)]);
    assert!(!table.fold(Offset(1), Some(&claim(&key, 1)), NOW));
    assert_eq!(table.key_state(&key), KeyState::Voided);
}

#[test]
fn expired_key_stays_unknown() {
    let old = key(NOW.0, 1);
    let mut table = table(Bounds::default(), &[claim(&old, 1)]);
    let later = WallTime(NOW.0 + 600_001);
    table.expire(later);
    assert!(table.is_empty());
    // After the clock steps back, a discarded key must not be free again.
    assert_eq!(table.window_position(&old, NOW), Position::TooOld);
    assert_eq!(table.key_state(&old), KeyState::Unknown);
    assert!(!table.fold(Offset(2), Some(&claim(&old, 2)), NOW));
    assert!(table.is_empty());
}

#[test]
fn discarded_key_is_never_free() {
    let bounds = Bounds {
        keys: 8,
        response_bytes: 10,
    };
    let keys: Vec<Key> = (0..40).map(|n| key(NOW.0 - 100 + n, 1)).collect();
    let records: Vec<Record> = keys.iter().map(|key| claim(key, 1)).collect();
    let table = table(bounds, &records);
    assert!(table.is_full());
    assert_eq!(table.len(), 10);
    for key in &keys {
        assert_ne!(table.key_state(key), KeyState::Free, "{key}");
    }
}

#[test]
fn response_beyond_bound_loses_body_and_stays_ran() {
    let (first, second) = (key(NOW.0, 1), key(NOW.0 + 1, 1));
    let ran = Response::ran(200, "text/plain", b"123456");
    let records = [
        claim(&first, 1),
        outcome(&first, 1, ran.clone()),
        claim(&second, 2),
        outcome(&second, 2, ran.clone()),
    ];
    let table = table(
        Bounds {
            keys: 8,
            response_bytes: 10,
        },
        &records,
    );
    assert_eq!(table.response_bytes(), 6);
    let response = |key: &Key| match table.key_state(key) {
        KeyState::Done { response, .. } => response,
        other => panic!("{other:?}"),
    };
    assert_eq!(response(&second).replay(), Ok(ran));
    let error = response(&first).replay().expect_err("the body was dropped");
    assert_eq!(error.verdict(), Verdict::Ran);
}

#[test]
fn record_round_trips_within_bound() {
    let key = key(NOW.0, 1);
    let large = Response::ran(200, "text/plain", &[7; 5_000]);
    let small = Response::ran(200, "application/json", &[0xff; 4_096]);
    for record in [claim(&key, 1), void(&key), outcome(&key, 1, small)] {
        let bytes = record.encode();
        assert!(bytes.len() <= 8_192);
        assert_eq!(Record::decode(&bytes).expect("a record"), record);
    }
    let cut = Record::decode(&outcome(&key, 1, large).encode()).expect("a record");
    assert!(matches!(cut, Record::Outcome { response, .. } if response.body.is_none()));
    let long = Record::decode(&[b' '; 9_000]).expect_err("too long");
    assert!(long.is_too_large());
}

#[test]
fn batch_is_taken_when_full_or_due() {
    let mut batch = Batch::new(3, Duration::from_millis(5));
    let millis = Moment::from_millis;
    assert_eq!(batch.push(1, millis(0)), None);
    assert_eq!(batch.take_due(millis(4)), None);
    assert_eq!(batch.deadline(), Some(millis(5)));
    assert_eq!(batch.take_due(millis(5)), Some(vec![1]));
    assert_eq!(batch.take_due(millis(50)), None);
    assert_eq!(batch.push(2, millis(50)), None);
    assert_eq!(batch.push(3, millis(51)), None);
    assert_eq!(batch.push(4, millis(52)), Some(vec![2, 3, 4]));
    assert!(batch.is_empty());
}

#[test]
fn keys_spread_evenly_over_partitions() {
    let mut counts = [0; 4];
    for tail in 0..4_000 {
        counts[partition(&key(NOW.0, tail), 4) as usize] += 1;
    }
    assert!(
        counts.iter().all(|count| (900..1_100).contains(count)),
        "{counts:?}"
    );
    assert_eq!(partition(&key(NOW.0, 1), 0), 0);
}

/// Returns a configuration with a fixed seed.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in collection::vec(any::<u8>(), 0..300)) {
        let _ = Record::decode(&bytes);
    }

    #[test]
    fn decoding_corrupt_record_does_not_panic(index in 0_usize..400, byte in any::<u8>()) {
        let mut bytes = outcome(&key(NOW.0, 1), 1, Response::ran(200, "a/b", b"x")).encode();
        let index = index % bytes.len();
        bytes[index] = byte;
        let _ = Record::decode(&bytes);
    }

    #[test]
    fn later_records_do_not_replace_first(claim_numbers in collection::vec(0_u128..4, 1..30)) {
        let key = key(NOW.0, 1);
        let record = |number: &u128| if *number == 0 { void(&key) } else { claim(&key, *number) };
        let records: Vec<Record> = claim_numbers.iter().map(record).collect();
        let first = table(Bounds::default(), &records[..1]).key_state(&key);
        prop_assert_eq!(table(Bounds::default(), &records).key_state(&key), first);
    }
}
