//! How reports, resets and latencies open and close one gate.

use admit::slot::{CapacityReport, Completion, Ending, Gate, Ownership, Permit, Timing};
use clock::Moment;
use name::{Incarnation, Node, Offset};
use state::{Epoch, Peer};
use std::time::Duration;
use uuid::Uuid;

fn gate() -> Gate {
    let mut gate = gate_with_epoch(Some(Offset::ZERO), Moment::START);
    gate.confirm_log_view(Moment::from_millis(60_000));
    gate
}

/// Returns a gate of the only node in an epoch that replaced `base`.
fn gate_with_epoch(base: Option<Offset>, at: Moment) -> Gate {
    let node: Node = "node".try_into().expect("a name");
    let incarnation = Incarnation(Uuid::nil());
    let address = "127.0.0.1:1".parse().expect("an address");
    let peers = vec![Peer {
        node: node.clone(),
        incarnation,
        domain: "domain".try_into().expect("a name"),
        peer_address: address,
        caller_address: address,
    }];
    let revision = Offset(1);
    let mut gate = Gate::new("server", (node, incarnation), 16, Timing::default());
    let ownership = Ownership::from(&Epoch { revision, peers });
    gate.apply_epoch(&ownership, base, at);
    gate
}

fn report(boot: u128, warm: bool, at: u64) -> CapacityReport {
    CapacityReport {
        boot: Uuid::from_u128(boot),
        warm,
        warm_limit: 16,
        cold_limit: 2,
        idle: false,
        at: Moment::from_millis(at),
    }
}

/// Returns a gate that reports up to 50 ms have opened fully.
fn open_gate() -> Gate {
    let mut gate = gate();
    (1..=5).for_each(|n| gate.observe(report(1, true, n * 10)));
    gate
}

fn release(gate: &mut Gate, permit: Permit, ending: Ending, first_token: u64) {
    let first_token = Some(Duration::from_millis(first_token));
    let completion = Completion {
        ending,
        first_token,
    };
    gate.release(permit, completion, Moment::from_millis(60));
}

#[test]
fn warm_reports_double_open_slots() {
    let mut gate = gate();
    let now = Moment::from_millis(60);
    assert_eq!(gate.open_slots(now), 0, "without a report");
    for (at, open) in [(10, 2), (20, 4), (30, 8), (40, 16), (50, 16)] {
        gate.observe(report(1, true, at));
        assert_eq!(gate.open_slots(now), open, "at {at} ms");
    }
}

// Guards against full load on a server that has restarted or slowed down.
#[test]
fn cold_evidence_closes_to_cold_limit() {
    let now = Moment::from_millis(60);
    let latency_spike = |gate: &mut Gate| {
        for _ in 0..3 {
            let permit = gate.try_acquire(now).expect("open");
            release(gate, permit, Ending::Whole, 20);
        }
        assert_eq!(
            gate.open_slots(now),
            16,
            "usual latencies keep the gate open"
        );
        let permit = gate.try_acquire(now).expect("open");
        release(gate, permit, Ending::Whole, 90);
    };
    let reset = |gate: &mut Gate| {
        let permit = gate.try_acquire(now).expect("open");
        release(gate, permit, Ending::Reset, 0);
    };
    type Case<'a> = (&'a str, &'a dyn Fn(&mut Gate), u64, usize);
    let cases: [Case<'_>; 7] = [
        ("none", &|_| {}, 60, 16),
        (
            "another boot id",
            &|g| g.observe(report(2, true, 55)),
            60,
            2,
        ),
        (
            "report of a cold server",
            &|g| g.observe(report(1, false, 55)),
            60,
            2,
        ),
        (
            "late report of a cold server",
            &|g| g.observe(report(1, false, 45)),
            60,
            16,
        ),
        ("reset connection", &reset, 60, 2),
        ("spike of the first-token time", &latency_spike, 60, 2),
        ("lease expired", &|_| {}, 1_050, 2),
    ];
    for (name, event, at, open) in cases {
        let mut gate = open_gate();
        event(&mut gate);
        assert_eq!(gate.open_slots(Moment::from_millis(at)), open, "{name}");
    }
}

// Guards against a report from before a reset that opens the gate again.
#[test]
fn report_requested_before_reset_is_ignored() {
    let mut gate = open_gate();
    gate.record_connection_reset(Moment::from_millis(60));
    let now = Moment::from_millis(100);
    for (at, open) in [(60, 2), (61, 2), (70, 4)] {
        gate.observe(report(1, true, at));
        assert_eq!(gate.open_slots(now), open, "requested at {at} ms");
    }
}

// Guards against new requests at a server that became cold with many in progress.
#[test]
fn cold_server_gets_no_permit_above_cold_limit() {
    let mut gate = open_gate();
    let now = Moment::from_millis(60);
    let mut permits: Vec<Permit> = (0..8).filter_map(|_| gate.try_acquire(now)).collect();
    assert_eq!(permits.len(), 8);
    gate.observe(report(1, false, 60));
    // The cold slots are released first, and still must not be granted.
    while permits.len() >= 2 {
        assert_eq!((gate.try_acquire(now), gate.available(now)), (None, 0));
        let permit = permits.remove(0);
        release(&mut gate, permit, Ending::Whole, 20);
    }
    let permit = gate.try_acquire(now).expect("one of two is in use");
    assert!(permit.is_cold());
}

// Guards against unowned slots, and slots owned by two incarnations of one node.
#[test]
fn ownership_covers_all_slots_and_uses_last_incarnation() {
    let address = "127.0.0.1:1".parse().expect("an address");
    let peer = |name: &str, incarnation: u128| Peer {
        node: name.try_into().expect("a name"),
        incarnation: Incarnation(Uuid::from_u128(incarnation)),
        domain: "domain".try_into().expect("a name"),
        peer_address: address,
        caller_address: address,
    };
    let peers = vec![peer("a", 1), peer("b", 2), peer("c", 3), peer("a", 4)];
    let epoch = Epoch {
        revision: Offset(1),
        peers: peers.clone(),
    };
    let ownership = Ownership::from(&epoch);
    let owned = |p: &Peer| ownership.owned_slots("server", &p.node, p.incarnation, 300);
    assert!(owned(&peers[0]).is_empty(), "an earlier incarnation");
    let mut all: Vec<u32> = peers[1..].iter().flat_map(owned).collect();
    assert!(peers[1..].iter().all(|p| owned(p).len() > 70), "even");
    all.sort_unstable();
    assert_eq!(all, (0..300).collect::<Vec<u32>>());
}

/// A report after a change of epoch, and the expected number of open slots.
struct IdleCase {
    name: &'static str,
    idle: bool,
    at: u64,
    open: usize,
}

// Guards against a slot granted while requests of its previous owner may run.
#[test]
fn idle_report_after_settle_ends_rest() {
    // The epoch is applied at 100 ms without a base, so every slot gets a rest period.
    let settle = u64::try_from(Timing::default().settle.as_millis()).expect("short");
    let rest = u64::try_from(Timing::default().rest.as_millis()).expect("short");
    let cases = [
        IdleCase {
            name: "idle too early",
            idle: true,
            at: 100 + settle - 1,
            open: 0,
        },
        IdleCase {
            name: "idle after settling",
            idle: true,
            at: 100 + settle,
            open: 2,
        },
        IdleCase {
            name: "busy after settling",
            idle: false,
            at: 100 + settle,
            open: 0,
        },
        IdleCase {
            name: "busy after the rest period",
            idle: false,
            at: 100 + rest,
            open: 2,
        },
    ];
    for case in cases {
        let mut gate = gate_with_epoch(None, Moment::from_millis(100));
        gate.confirm_log_view(Moment::from_millis(1_000_000));
        let idle = case.idle;
        gate.observe(CapacityReport {
            idle,
            ..report(1, false, case.at)
        });
        let open = gate.open_slots(Moment::from_millis(case.at));
        assert_eq!(open, case.open, "{}", case.name);
    }
}
