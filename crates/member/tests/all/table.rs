//! Heartbeats, suspicion, refutation and what it costs, over whole networks
//! of tables that exchange beats in lock step.

use crate::net::{Net, node};
use clock::Moment;
use member::{Beat, Exchange, Health, Report, Role, Settings};
use name::Node;
use proptest::{collection, prelude::*, test_runner::RngSeed};

/// Returns the health that node `at` holds of node `of`.
fn health(net: &Net, at: usize, of: usize) -> Option<Health> {
    let table = net.tables[at].as_ref().expect("the node runs");
    table.word(&node(of)).map(|word| word.health)
}

/// Returns whether all running nodes hold all running nodes alive, others not.
fn agrees(net: &Net) -> bool {
    let running: Vec<usize> = net.running().collect();
    running.iter().all(|at| {
        (0..net.tables.len()).all(|of| {
            let is_alive = health(net, *at, of) == Some(Health::Alive);
            is_alive == running.contains(&of)
        })
    })
}

#[test]
fn nodes_find_each_other_from_one_seed() {
    for count in [1, 2, 3, 9, 40] {
        let mut net = Net::from_seed(count, Settings::default());
        net.run(30);
        assert!(agrees(&net), "{count} nodes");
    }
}

#[test]
fn a_silent_node_is_suspected_then_dead_everywhere() {
    for count in [3, 9, 40] {
        let mut net = Net::from_epoch(count, Settings::default());
        net.run(5);
        net.stop(1);
        net.run(4);
        let suspected = net
            .running()
            .filter(|at| health(&net, *at, 1) != Some(Health::Alive));
        assert!(suspected.count() > 0, "{count} nodes: nobody suspects");
        net.run(12);
        assert!(agrees(&net), "{count} nodes");
    }
}

#[test]
fn a_restarted_node_replaces_its_last_life_at_once() {
    let mut net = Net::from_epoch(9, Settings::default());
    net.run(5);
    let old = net.incarnation(4);
    net.stop(4);
    net.start(4);
    net.run(2);
    for at in net.running() {
        let table = net.tables[at].as_ref().expect("the node runs");
        assert!(!table.is_member(&node(4), old), "node {at}");
        assert!(table.is_member(&node(4), net.incarnation(4)), "node {at}");
    }
}

#[test]
fn a_restart_with_an_earlier_wall_clock_wins_all_the_same() {
    let mut net = Net::from_epoch(9, Settings::default());
    net.run(5);
    net.stop(4);
    net.start_at(4, 1);
    net.run(6);
    assert!(agrees(&net));
    let table = net.tables[0].as_ref().expect("the node runs");
    assert!(table.is_member(&node(4), net.incarnation(4)));
}

#[test]
fn a_paused_node_is_buried_and_comes_back_without_blaming_others() {
    let mut net = Net::from_epoch(9, Settings::default());
    net.run(5);
    net.paused.insert(2);
    net.run(20);
    assert_eq!(health(&net, 0, 2), Some(Health::Dead));
    net.paused.clear();
    net.run(1);
    for of in 0..9 {
        assert_eq!(health(&net, 2, of), Some(Health::Alive), "node {of}");
    }
    net.run(5);
    assert!(agrees(&net));
}

#[test]
fn a_minority_without_the_log_blames_nobody() {
    let mut net = Net::from_epoch(9, Settings::default());
    net.run(5);
    net.split = Some(3);
    net.run(30);
    for of in 0..9 {
        assert_eq!(health(&net, 0, of), Some(Health::Alive), "node {of}");
        let expected = if of < 3 { Health::Dead } else { Health::Alive };
        assert_eq!(health(&net, 8, of), Some(expected), "node {of}");
    }
    net.split = None;
    net.run(10);
    assert!(agrees(&net), "healed");
}

#[test]
fn leaving_and_goodbye_are_known_everywhere() {
    let mut net = Net::from_epoch(40, Settings::default());
    net.run(5);
    let now = net.now();
    let table = net.tables[7].as_mut().expect("the node runs");
    table.set_role(Role::Leaving, now);
    table.set_role(Role::Open, now);
    net.run(6);
    for at in net.running() {
        let table = net.tables[at].as_ref().expect("the node runs");
        assert_eq!(
            table.word(&node(7)).map(|word| word.role),
            Some(Role::Leaving)
        );
    }
    net.tables[7]
        .as_mut()
        .expect("the node runs")
        .say_goodbye(now);
    net.run(1);
    net.stop(7);
    net.run(6);
    assert!(agrees(&net));
}

#[test]
fn a_beat_is_the_same_after_json() {
    let mut net = Net::from_epoch(3, Settings::default());
    let table = net.tables[0].as_mut().expect("the node runs");
    let calls = table.calls(&Report::default(), Moment::START);
    let text = serde_json::to_string(&calls[0].beat).expect("text");
    let beat: Beat = serde_json::from_str(&text).expect("a beat");
    assert_eq!(beat, calls[0].beat);
}

#[test]
fn beats_stay_within_29_kilobytes_a_second() {
    /// The budget of a node, in bytes a second, all control included.
    const BUDGET: u64 = 29_000;
    /// HTTP/2 frames, headers, and TCP/IP for a call and its reply, in bytes.
    const TRANSPORT: u64 = 500;
    for (count, exchange) in [
        (9, Exchange::Full),
        (9, Exchange::Delta),
        (340, Exchange::Delta),
    ] {
        let settings = Settings {
            exchange,
            ..Settings::default()
        };
        let mut net = Net::from_epoch(count, settings);
        net.run(10);
        net.reset_counts();
        let rounds = 20;
        for round in 0..rounds {
            // A restart each 2 s is a hundred times those of an ordinary day.
            if round % 2 == 0 {
                let at = round % count;
                net.stop(at);
                net.start(at);
            }
            net.run(1);
        }
        let bytes = net.bytes_per_node(rounds) + net.calls_per_node(rounds) * TRANSPORT / 100;
        println!("{count} nodes, {exchange:?}: {bytes} B/s a node with transport");
        assert!(bytes < BUDGET, "{count} nodes, {exchange:?}: {bytes} B/s");
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
    fn after_any_faults_all_agree(
        faults in collection::vec((0_u8..5, 0_usize..7, 1_usize..12), 1..25),
    ) {
        let mut net = Net::from_epoch(7, Settings::default());
        net.run(3);
        for (fault, at, rounds) in faults {
            match fault {
                0 => net.stop(at),
                1 => { net.stop(at); net.start(at); }
                2 => { net.paused.insert(at); }
                3 => { net.paused.remove(&at); }
                _ => net.split = if net.split.is_some() { None } else { Some(at) },
            }
            net.run(rounds);
        }
        net.split = None;
        net.paused.clear();
        for at in 0..7 {
            if net.tables[at].is_none() {
                net.start(at);
            }
        }
        net.run(20);
        prop_assert!(agrees(&net));
    }
}

#[test]
fn partners_are_mutual_and_all_nodes_are_within_reach() {
    for count in [2, 9, 16, 17, 340] {
        let mut net = Net::from_epoch(count, Settings::default());
        net.run(1);
        let partners = |at: usize| -> Vec<Node> {
            let table = net.tables[at].as_ref().expect("the node runs");
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
