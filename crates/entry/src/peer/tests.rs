//! Tests decoding of arbitrary peer messages, and rejection of forged proofs.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use super::{
    Authenticator, Observation, ObservationQuery, decode_heartbeat, decode_heartbeat_reply,
};
use clock::{Clock, WallTime};
use name::{Domain, Node, Offset};
use proptest::prelude::*;
use settings::Secret;
use std::collections::BTreeMap;
use wire::{BeatReply, BeatRequest, FreeSlots, InProgress, ObserveReply, ObserveRequest};

/// Returns bytes that are sometimes JSON.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let json = prop_oneof![
        Just("[]".to_owned()),
        Just("{}".to_owned()),
        Just("null".to_owned()),
        "[\\[{\":a-z0-9,}\\]]{0,60}",
        Just("[".repeat(2_000)),
    ];
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..200),
        json.prop_map(String::into_bytes),
    ]
}

proptest! {
    #[test]
    fn arbitrary_messages_decode_or_fail(
        node in ".{0,40}",
        first in bytes(),
        second in bytes(),
        third in bytes(),
        fourth in bytes(),
        offset in any::<u64>(),
        count in any::<u32>(),
    ) {
        let beat = BeatRequest { node: node.clone(), incarnation: first.clone(), member: second.clone() };
        prop_assert!(decode_heartbeat(&beat).is_err());
        let answer = BeatReply { member: first.clone() };
        prop_assert!(decode_heartbeat_reply(&answer).is_err());
        let request = ObserveRequest { node: node.clone(), demands: first.clone() };
        if let Ok(query) = ObservationQuery::try_from(request) {
            prop_assert_eq!(query.node.as_str(), node.as_str());
        }
        let reply = ObserveReply {
            node: node.clone(),
            reports: first,
            votes: second,
            free: vec![FreeSlots { target: node.clone(), count }],
            control_offset: offset,
            grants: third,
            in_progress: vec![InProgress { domain: node.clone(), count }],
            evidence: fourth,
        };
        if let Ok(observation) = Observation::try_from(reply) {
            prop_assert_eq!(observation.control_offset, Offset(offset));
        }
    }

    #[test]
    fn observation_survives_encoding(offset in any::<u64>(), count in any::<u32>()) {
        let observation = Observation {
            node: Node::try_from("entry-1").unwrap(),
            reports: Vec::new(),
            votes: Vec::new(),
            free: vec![FreeSlots { target: "replica".into(), count }],
            control_offset: Offset(offset),
            in_progress: BTreeMap::from([(Domain::try_from("teifi").unwrap(), count)]),
            grants: Vec::new(),
            evidence: vec![quarantine::Record {
                part: quarantine::Part::Prompt(offset),
                crashes: vec![quarantine::CrashRecord {
                    server: quarantine::Server(offset),
                    age_ms: u64::from(count),
                    run_ms: u64::from(count),
                    is_cleared: true,
                }],
            }],
        };
        let message = ObserveReply::from(observation.clone());
        prop_assert_eq!(Observation::try_from(message), Ok(observation));
    }

    #[test]
    fn arbitrary_proofs_are_rejected(text in ".{0,120}", millis in any::<u64>()) {
        let authenticator = Authenticator::new(&secret("00"), Clock::system());
        prop_assert!(!authenticator.is_valid(&text));
        let timed = format!("{millis}.{text}");
        prop_assert!(!authenticator.is_valid(&timed));
    }
}

/// Returns the secret of 16 equal bytes.
fn secret(byte: &str) -> Secret {
    Secret::try_from(byte.repeat(16)).unwrap()
}

#[test]
fn proof_is_valid_for_same_secret_within_clock_skew() {
    let clock = Clock::system();
    let own = Authenticator::new(&secret("01"), clock.clone());
    let other = Authenticator::new(&secret("02"), clock.clone());
    let now = clock.wall().0;
    let cases = [
        ("current time", now, &own, true),
        ("30 s earlier", now - 30_000, &own, true),
        ("30 s later", now + 30_000, &own, true),
        ("120 s earlier", now - 120_000, &own, false),
        ("120 s later", now + 120_000, &own, false),
        ("minimum time", 0, &own, false),
        ("maximum time", u64::MAX, &own, false),
        ("another secret", now, &other, false),
    ];
    for (name, millis, signer, is_valid) in cases {
        let text = signer.create_proof(WallTime(millis));
        assert_eq!(own.is_valid(&text), is_valid, "{name}");
        let mut cut = text.clone();
        cut.pop();
        assert!(!own.is_valid(&cut), "{name}, truncated");
        assert!(!own.is_valid(&format!("{text}00")), "{name}, extended");
    }
}

#[test]
fn debug_output_redacts_secret() {
    let authenticator = Authenticator::new(&secret("a7"), Clock::system());
    let output = format!("{authenticator:?}");
    assert!(output.contains("redacted"), "{output}");
    assert!(
        !output.contains("a7a7") && !output.contains("167"),
        "{output}"
    );
}
