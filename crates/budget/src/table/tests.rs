//! What is closed so that others find room.

use super::{STALL_TIME, Snapshot, closable, finishable};
use crate::connection::Phase;
use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

/// Guards against closing requests that proceed, and against a crowd that keeps its place
/// while ordinary clients lose theirs.
#[test]
fn stalled_requests_are_closed_before_idle_connections() {
    struct Case {
        what: &'static str,
        /// The last byte of each client's address, its phase, and the times in
        /// milliseconds since the phase began and since the last byte.
        connections: &'static [(u8, Phase, u64, u64)],
        count: usize,
        closed: &'static [usize],
        finished: &'static [usize],
    }
    use Phase::{Body, Busy, Head, Idle, New, Waiting};
    let cases = [
        Case {
            what: "nothing is open",
            connections: &[],
            count: 3,
            closed: &[],
            finished: &[],
        },
        Case {
            what: "complete requests, however old, and bodies that wait for memory",
            connections: &[(1, Busy, 60_000, 60_000), (1, Waiting, 900, 5_000)],
            count: 2,
            closed: &[],
            finished: &[0],
        },
        Case {
            what: "a body that makes progress and one that has stalled",
            connections: &[(1, Body, 4_000, 10), (1, Body, 1_500, 1_400)],
            count: 2,
            closed: &[1],
            finished: &[],
        },
        Case {
            what: "a head that has just begun after a long pause",
            connections: &[(1, Head, 10, 10), (1, Body, 10, 5_000)],
            count: 2,
            closed: &[],
            finished: &[],
        },
        Case {
            what: "stalled before idle, the longest first",
            connections: &[
                (1, Idle, 9_000, 9_000),
                (1, Head, 1_100, 1_100),
                (1, Body, 3_000, 2_000),
                (1, Idle, 10, 10),
            ],
            count: 3,
            closed: &[2, 1, 0],
            finished: &[],
        },
        Case {
            what: "an address with many before another with one",
            connections: &[
                (2, Idle, 9_000, 9_000),
                (1, New, 20, 20),
                (1, Idle, 30, 30),
                (3, Head, 5_000, 5_000),
            ],
            count: 3,
            closed: &[3, 2, 1],
            finished: &[],
        },
        Case {
            what: "complete requests of an address with many",
            connections: &[
                (2, Busy, 9_000, 9_000),
                (1, Busy, 20, 20),
                (1, Busy, 30, 30),
                (1, Body, 30, 30),
            ],
            count: 2,
            closed: &[],
            finished: &[2, 1],
        },
        Case {
            what: "the time since the last response counts, not since the last request",
            connections: &[(1, Idle, 10, 8_000), (1, Idle, 500, 700)],
            count: 1,
            closed: &[1],
            finished: &[],
        },
    ];
    assert_eq!(STALL_TIME, Duration::from_secs(1));
    let now = Instant::now() + Duration::from_secs(100);
    let ago = |ms| now - Duration::from_millis(ms);
    for case in cases {
        let snapshot = |(host, phase, since, received): &(u8, Phase, u64, u64)| Snapshot {
            peer: IpAddr::from([10, 0, 0, *host]),
            phase: *phase,
            since: ago(*since),
            received_at: ago(*received),
            is_unsent: false,
        };
        let connections: Vec<Snapshot> = case.connections.iter().map(snapshot).collect();
        let closed = closable(&connections, now, case.count);
        assert_eq!(closed, case.closed, "{}", case.what);
        let finished = finishable(&connections, case.count);
        assert_eq!(finished, case.finished, "{}", case.what);
    }
}

/// Guards against cutting off the end of a response that a client reads slowly.
#[test]
fn connection_with_unsent_response_is_not_closed() {
    let now = Instant::now();
    let idle = |is_unsent| Snapshot {
        peer: IpAddr::from([10, 0, 0, 1]),
        phase: Phase::Idle,
        since: now,
        received_at: now,
        is_unsent,
    };
    assert_eq!(closable(&[idle(true), idle(false)], now, 2), [1]);
}
