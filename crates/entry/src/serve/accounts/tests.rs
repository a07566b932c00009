//! Tests when an account's first request on a node is admitted.

use super::Accounts;
use admit::slot::Ownership;
use clock::Moment;
use name::{Account, Domain, Incarnation, Node, Offset};
use state::{Epoch, Peer};
use std::time::Duration;
use uuid::Uuid;

/// A small account: 18 requests per second give each of nine nodes one per second.
const LISTS: &str = r#"
[[account]]
name = "rhyd-farm"
plan = "small"
keys = ["fd0c6d1637d236ae18346356b42b60f0e881329c20806de4a8fcf58bea526819"]

[[plan]]
name = "small"
tokens_per_s = 18000
requests_per_s = 18
concurrency = 36
classes = ["interactive"]
"#;

fn peer(number: u128) -> Peer {
    let domain: Domain = "teifi".try_into().expect("a name");
    Peer {
        node: format!("entry-{number}").try_into().expect("a name"),
        incarnation: Incarnation(Uuid::from_u128(number)),
        domain,
        peer_address: ([127, 0, 0, 1], 1).into(),
        caller_address: ([127, 0, 0, 1], 2).into(),
    }
}

/// Guards against a first request that waits for one full unit because the node's
/// limit accrues only from that request on.
#[test]
fn node_limit_accrues_before_first_request() {
    struct Case {
        /// Milliseconds from the epoch to the first request.
        after_ms: u64,
        is_admitted: bool,
    }
    let cases = [
        Case {
            after_ms: 500,
            is_admitted: false,
        },
        Case {
            after_ms: 1_500,
            is_admitted: true,
        },
        Case {
            after_ms: 60_000,
            is_admitted: true,
        },
    ];
    for case in cases {
        let node: Node = "entry-0".try_into().expect("a name");
        let account: Account = "rhyd-farm".try_into().expect("a name");
        let mut accounts = Accounts::new((node, Incarnation(Uuid::from_u128(0))));
        let lists = plan::parse(LISTS).expect("valid lists");
        let epoch = Epoch {
            revision: Offset(2),
            peers: (0..9).map(peer).collect(),
        };
        let applied_at = Moment::from_millis(10_000);
        accounts.set_lists(&lists, applied_at);
        accounts.apply_epoch(&Ownership::from(&epoch), Some(Offset::ZERO), applied_at);
        for polled_ms in (250..=case.after_ms).step_by(250) {
            accounts.demands(applied_at + Duration::from_millis(polled_ms));
        }
        let now = applied_at + Duration::from_millis(case.after_ms);
        let started = accounts.start(&account, 100, now);
        assert_eq!(started.is_ok(), case.is_admitted, "{started:?}");
    }
}
