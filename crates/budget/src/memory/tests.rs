//! Reservations never exceed the budget, and are given back.

use super::{BLOCK_BYTES, DEFAULT_CAPACITY, Memory, SHORT_BODY_BYTES};
use std::time::Duration;
use tokio::time::timeout;

#[test]
fn reservations_share_the_capacity() {
    let memory = Memory::new(None);
    let mut first = memory.reserve();
    let mut second = memory.reserve();
    assert!(first.resize(DEFAULT_CAPACITY - 10));
    assert!(second.resize(10));
    assert!(!second.resize(11));
    assert!(first.resize(0));
    assert!(second.resize(DEFAULT_CAPACITY));
    drop(second);
    assert!(first.resize(DEFAULT_CAPACITY));
}

/// Guards against bodies that take a machine over its memory: it is then killed with all
/// that it has accepted.
#[test]
fn budget_leaves_memory_for_the_program_and_short_bodies() {
    struct Case {
        what: &'static str,
        limit: u64,
        /// Megabytes in use.
        used: usize,
        length: usize,
        is_refused: bool,
    }
    let cases = [
        Case {
            what: "long bodies of usual traffic",
            limit: 260 << 20,
            used: 90,
            length: 4_000_000,
            is_refused: false,
        },
        Case {
            what: "a long body in a burst of them",
            limit: 260 << 20,
            used: 112,
            length: 4_000_000,
            is_refused: true,
        },
        Case {
            what: "a short body in such a burst",
            limit: 260 << 20,
            used: 132,
            length: 21,
            is_refused: false,
        },
        Case {
            what: "a long body at a small machine",
            limit: 160_000_000,
            used: 50,
            length: 4_000_000,
            is_refused: true,
        },
    ];
    for case in cases {
        let memory = Memory::new(Some(case.limit));
        let mut reservation = memory.reserve();
        assert!(reservation.resize(case.used << 20), "{}", case.what);
        assert_eq!(
            memory.refuses_body(case.length),
            case.is_refused,
            "{}",
            case.what
        );
        assert!(memory.capacity() as u64 + (64 << 20) < case.limit);
    }
}

/// Guards against failing a body that is being read while others are about to end.
#[tokio::test]
async fn body_waits_for_memory_that_another_gives_back() {
    let memory = Memory::new(None);
    let mut held = memory.reserve();
    assert!(held.resize(DEFAULT_CAPACITY - SHORT_BODY_BYTES / 2));
    let mut waiting = memory.reserve();
    let growing = waiting.grow_body(BLOCK_BYTES);
    tokio::pin!(growing);
    assert!(
        timeout(Duration::from_millis(20), growing.as_mut())
            .await
            .is_err()
    );
    drop(held);
    assert!(growing.await);
    let mut rest = memory.reserve();
    assert!(!rest.resize(DEFAULT_CAPACITY));
}

/// Guards against connections and bodies that together use more than the process has.
#[test]
fn connections_and_bodies_share_what_neither_needs() {
    const LIMIT: u64 = 160_000_000;
    struct Case {
        what: &'static str,
        /// The connections, in units of [`UNIT`].
        connections: usize,
        /// The bodies, in the same units.
        bodies: usize,
        has_room_for_connection: bool,
        has_room_for_body: bool,
    }
    /// A hundredth of what the reserve leaves.
    const UNIT: usize = (LIMIT as usize - (64 << 20)) / 100;
    let case = |what, connections, bodies, has_room_for_connection, has_room_for_body| Case {
        what,
        connections,
        bodies,
        has_room_for_connection,
        has_room_for_body,
    };
    let cases = [
        case("nothing in use", 0, 0, true, true),
        case("connections use what no body needs", 90, 0, true, true),
        case("connections use all", 94, 0, false, false),
        case("bodies use their part", 0, 69, true, false),
        case("connections have a part beside them", 23, 69, true, false),
        case("both parts are used", 25, 69, false, false),
    ];
    for case in cases {
        let memory = Memory::new(Some(LIMIT));
        let mut bodies = memory.reserve();
        assert!(bodies.resize(case.bodies * UNIT), "{}", case.what);
        memory.charge_connection(case.connections * UNIT);
        let has_room = memory.has_room_for(2 * UNIT);
        assert_eq!(has_room, case.has_room_for_connection, "{}", case.what);
        let has_room = memory.reserve().resize(2 * UNIT);
        assert_eq!(has_room, case.has_room_for_body, "{}", case.what);
    }
}

/// Guards against refusing a single request for good.
#[tokio::test]
async fn longest_body_finds_room_in_the_smallest_budget() {
    for limit in [0, 64 << 20, 72 << 20] {
        let memory = Memory::new(Some(limit));
        assert!(!memory.refuses_body(4 << 20), "{limit} bytes");
        assert!(memory.reserve().grow_body(4 << 20).await, "{limit} bytes");
    }
}
