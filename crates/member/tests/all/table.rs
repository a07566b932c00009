//! Heartbeats, suspicion, refutation and bandwidth, over simulated networks of
//! member tables.

use crate::network::{Network, node};
use clock::Moment;
use member::{Beat, Exchange, Health, LogReport, Role, Settings};
use name::Node;
use proptest::{collection, prelude::*, test_runner::RngSeed};

/// Returns the health of node `of` in the table of node `at`.
fn health(network: &Network, at: usize, of: usize) -> Option<Health> {
    let table = network.tables[at].as_ref().expect("the node runs");
    table.member(&node(of)).map(|member| member.health)
}

/// Returns whether all running nodes list exactly the running nodes as alive.
fn is_converged(network: &Network) -> bool {
    let running: Vec<usize> = network.running().collect();
    running.iter().all(|at| {
        (0..network.tables.len()).all(|of| {
            let is_alive = health(network, *at, of) == Some(Health::Alive);
            is_alive == running.contains(&of)
        })
    })
}

#[test]
fn nodes_discover_each_other_from_one_seed() {
    for count in [1, 2, 3, 9, 40] {
        let mut network = Network::from_seed(count, Settings::default());
        network.run(30);
        assert!(is_converged(&network), "{count} nodes");
    }
}

#[test]
fn silent_node_is_suspected_then_dead() {
    for count in [3, 9, 40] {
        let mut network = Network::from_epoch(count, Settings::default());
        network.run(5);
        network.stop(1);
        network.run(4);
        let suspected = network
            .running()
            .filter(|at| health(&network, *at, 1) != Some(Health::Alive));
        assert!(suspected.count() > 0, "{count} nodes: no node suspects it");
        network.run(12);
        assert!(is_converged(&network), "{count} nodes");
    }
}

#[test]
fn restart_replaces_previous_incarnation() {
    let mut network = Network::from_epoch(9, Settings::default());
    network.run(5);
    let old = network.incarnation(4);
    network.stop(4);
    network.start(4);
    network.run(2);
    for at in network.running() {
        let table = network.tables[at].as_ref().expect("the node runs");
        assert!(!table.is_member(&node(4), old), "node {at}");
        assert!(
            table.is_member(&node(4), network.incarnation(4)),
            "node {at}"
        );
    }
}

/// Guards against a restarted node being ignored after its wall clock stepped back.
#[test]
fn restart_with_earlier_wall_clock_supersedes() {
    let mut network = Network::from_epoch(9, Settings::default());
    network.run(5);
    network.stop(4);
    network.start_with_clock(4, 1);
    network.run(6);
    assert!(is_converged(&network));
    let table = network.tables[0].as_ref().expect("the node runs");
    assert!(table.is_member(&node(4), network.incarnation(4)));
}

/// Guards against a resumed node treating its own pause as silence of its peers.
#[test]
fn paused_node_rejoins_without_suspecting_others() {
    let mut network = Network::from_epoch(9, Settings::default());
    network.run(5);
    network.paused.insert(2);
    network.run(20);
    assert_eq!(health(&network, 0, 2), Some(Health::Dead));
    network.paused.clear();
    network.run(1);
    for of in 0..9 {
        assert_eq!(health(&network, 2, of), Some(Health::Alive), "node {of}");
    }
    network.run(5);
    assert!(is_converged(&network));
}

/// Guards against a partitioned minority declaring the other nodes dead.
#[test]
fn minority_without_log_suspects_no_node() {
    let mut network = Network::from_epoch(9, Settings::default());
    network.run(5);
    network.partition = Some(3);
    network.run(30);
    for of in 0..9 {
        assert_eq!(health(&network, 0, of), Some(Health::Alive), "node {of}");
        let expected = if of < 3 { Health::Dead } else { Health::Alive };
        assert_eq!(health(&network, 8, of), Some(expected), "node {of}");
    }
    network.partition = None;
    network.run(10);
    assert!(is_converged(&network), "after the partition");
}

#[test]
fn leaving_and_stop_reach_all_nodes() {
    let mut network = Network::from_epoch(40, Settings::default());
    network.run(5);
    let now = network.now();
    let table = network.tables[7].as_mut().expect("the node runs");
    table.set_role(Role::Leaving, now);
    table.set_role(Role::Open, now);
    network.run(6);
    for at in network.running() {
        let table = network.tables[at].as_ref().expect("the node runs");
        assert_eq!(
            table.member(&node(7)).map(|member| member.role),
            Some(Role::Leaving)
        );
    }
    network.tables[7]
        .as_mut()
        .expect("the node runs")
        .announce_stop(now);
    network.run(1);
    network.stop(7);
    network.run(6);
    assert!(is_converged(&network));
}

#[test]
fn beat_round_trips_through_json() {
    let mut network = Network::from_epoch(3, Settings::default());
    let table = network.tables[0].as_mut().expect("the node runs");
    let calls = table.calls(&LogReport::default(), Moment::START);
    let text = serde_json::to_string(&calls[0].beat).expect("a beat serializes");
    let beat: Beat = serde_json::from_str(&text).expect("a beat deserializes");
    assert_eq!(beat, calls[0].beat);
}

#[test]
fn beats_stay_within_29_kb_per_second() {
    /// The control bandwidth budget of a node, in bytes per second.
    const BUDGET_BYTES_PER_SECOND: u64 = 29_000;
    /// Overhead of HTTP/2 frames, headers and TCP/IP for a call and its reply,
    /// in bytes.
    const TRANSPORT_BYTES: u64 = 500;
    for (count, exchange) in [
        (9, Exchange::Full),
        (9, Exchange::Delta),
        (340, Exchange::Delta),
    ] {
        let settings = Settings {
            exchange,
            ..Settings::default()
        };
        let mut network = Network::from_epoch(count, settings);
        network.run(10);
        network.reset_counts();
        let rounds = 20;
        for round in 0..rounds {
            // One restart every 2 s is a hundred times the rate of an ordinary
            // day.
            if round % 2 == 0 {
                let at = round % count;
                network.stop(at);
                network.start(at);
            }
            network.run(1);
        }
        let bytes =
            network.bytes_per_node(rounds) + network.calls_per_node(rounds) * TRANSPORT_BYTES / 100;
        println!("{count} nodes, {exchange:?}: {bytes} B/s per node with transport");
        assert!(
            bytes < BUDGET_BYTES_PER_SECOND,
            "{count} nodes, {exchange:?}: {bytes} B/s"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn views_converge_after_random_faults(
        faults in collection::vec((0_u8..5, 0_usize..7, 1_usize..12), 1..25),
    ) {
        let mut network = Network::from_epoch(7, Settings::default());
        network.run(3);
        for (fault, at, rounds) in faults {
            match fault {
                0 => network.stop(at),
                1 => { network.stop(at); network.start(at); }
                2 => { network.paused.insert(at); }
                3 => { network.paused.remove(&at); }
                _ => network.partition = if network.partition.is_some() { None } else { Some(at) },
            }
            network.run(rounds);
        }
        network.partition = None;
        network.paused.clear();
        for at in 0..7 {
            if network.tables[at].is_none() {
                network.start(at);
            }
        }
        network.run(20);
        prop_assert!(is_converged(&network));
    }
}

#[test]
fn partners_are_mutual_and_at_least_eight() {
    for count in [2, 9, 16, 17, 340] {
        let mut network = Network::from_epoch(count, Settings::default());
        network.run(1);
        let partners = |at: usize| -> Vec<Node> {
            let table = network.tables[at].as_ref().expect("the node runs");
            table.partners().cloned().collect()
        };
        for at in 0..count {
            for other in partners(at) {
                let index = (0..count).find(|of| node(*of) == other).expect("a node");
                assert!(partners(index).contains(&node(at)), "{at} and {index}");
            }
        }
        assert!(partners(0).len() >= (count - 1).min(8), "{count} nodes");
    }
}
