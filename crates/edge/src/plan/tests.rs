//! The planner role among hundreds of nodes, and plans for more than a thousand engines,
//! simulated without a network.

mod fleet;
mod nodes;

use super::{MAX_VIEW_AGE_TO_PLAN, reason_to_step_down};
use crate::follow::tests::Node;
use fleet::Fleet;
use nodes::{Deployment, Nodes};
use site::{feed, fixture, server::Change};
use std::time::Duration;

/// Returns nodes of which one in twenty has a fast link, and no fault.
fn deployment(nodes: usize) -> Deployment {
    Deployment {
        nodes,
        fast: nodes.div_ceil(20),
        cut_share: 0.0,
        cut_millis: (0, 0),
        kill_millis: None,
        has_requests: false,
    }
}

/// Guards against planners that were superseded while they lived, since some nodes had no
/// heartbeat of them within a timeout shorter than the time until all nodes know each other.
#[test]
fn living_planner_is_not_superseded_whatever_the_number_of_nodes() {
    struct Case {
        what: &'static str,
        deployment: Deployment,
    }
    let start = |nodes| Case {
        what: "all nodes start",
        deployment: deployment(nodes),
    };
    let cut = |nodes| Case {
        what: "a third of the nodes is cut off and comes back",
        deployment: Deployment {
            cut_share: 0.35,
            cut_millis: (8_000, 16_000),
            ..deployment(nodes)
        },
    };
    let cases = [
        start(9),
        start(83),
        start(295),
        start(340),
        cut(9),
        cut(295),
        cut(340),
    ];
    let mut failures = Vec::new();
    for case in cases {
        for seed in 0..3 {
            let mut nodes = Nodes::new(case.deployment, seed);
            nodes.run_until(20_000);
            let count = case.deployment.nodes;
            let superseded = nodes.terms.iter().filter(|t| t.superseded.is_some());
            let at: Vec<u64> = superseded.map(|t| t.at.0 / 1_000).collect();
            let informed = nodes.informed();
            println!(
                "{}, {count} nodes, seed {seed}: {} planners, superseded at {at:?} ms, {informed} informed",
                case.what,
                nodes.terms.len()
            );
            if !at.is_empty() || informed < count {
                failures.push((case.what, count, seed, at, informed));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against successions that take longer with more nodes, and that follow each other
/// because a node with a slow link takes the role.
#[test]
fn killed_planner_is_replaced_once_and_within_the_same_time_by_a_node_with_a_fast_link() {
    /// The time from the loss of a planner to the next one's claim.
    const MAX_VACANCY_MILLIS: u64 = 2_000;
    let mut failures = Vec::new();
    for count in [9_usize, 83, 295, 340] {
        for seed in 0..3 {
            let mut nodes = Nodes::new(
                Deployment {
                    // Several, so that one of them is left.
                    fast: count.div_ceil(20) + 2,
                    kill_millis: Some(12_000),
                    ..deployment(count)
                },
                seed,
            );
            nodes.run_until(20_000);
            let killed_at = nodes.killed_at.expect("a planner to kill");
            let later: Vec<_> = nodes.terms.iter().filter(|t| t.at > killed_at).collect();
            let vacancies: Vec<u64> = later
                .iter()
                .map(|t| t.at.since(killed_at).as_millis() as u64)
                .collect();
            let is_slow = later.iter().any(|t| nodes.has_slow_link(t.node));
            println!("{count} nodes, seed {seed}: successors after {vacancies:?} ms");
            let is_replaced = vacancies.len() == 1 && vacancies[0] <= MAX_VACANCY_MILLIS;
            if !is_replaced || is_slow {
                failures.push((count, seed, vacancies, is_slow));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Plays the start before traffic, and a day with losses and successions; `inspect` gets the
/// fleet after each second.
fn play_day(
    engines: usize,
    successions: &[u64],
    seconds: u64,
    mut inspect: impl FnMut(u64, &Fleet),
) {
    /// The time from the planner's start to the first request, in seconds.
    const START_SECONDS: u64 = 13;
    /// The time without a planner at a succession, in seconds.
    const VACANCY_SECONDS: u64 = 2;
    let mut fleet = Fleet::new(engines, 1);
    fleet.start_planner(1);
    for second in 0..START_SECONDS + seconds {
        if second == START_SECONDS {
            // 10 and 31 replicas of 925 engines, as callers of a large site keep busy.
            let demand = engines as f64 / 925.0;
            fleet.set_demand(10.0 * demand, 31.0 * demand);
        }
        if second > START_SECONDS && second % 3 == 0 {
            fleet.lose_members(engines / 150);
        }
        if successions.contains(&second) {
            fleet.planning = None;
        }
        if successions.contains(&(second.wrapping_sub(VACANCY_SECONDS))) {
            fleet.start_planner(second);
        }
        fleet.run(Duration::from_secs(1));
        let (large, small) = fleet.serving();
        println!(
            "{engines} engines, {second} s: {large} and {small} serve, {} wait to be opened, {} mismatches",
            fleet.unopened(Duration::from_secs(1)),
            fleet.mismatches
        );
        inspect(second, &fleet);
    }
}

/// Guards against an engine whose entry contradicts its report and that is never asked, since
/// all others are overdue for longer: each order to it named an outdated sequence number.
#[test]
fn ready_replicas_are_opened_whatever_the_number_of_engines() {
    for engines in [74, 925, 1_600] {
        let mut failures = Vec::new();
        play_day(engines, &[], 8, |second, fleet| {
            let unopened = fleet.unopened(Duration::from_millis(1_500));
            if unopened > 0 {
                failures.push((second, unopened));
            }
        });
        assert!(
            failures.is_empty(),
            "{engines} engines, (s, replicas): {failures:?}"
        );
    }
}

/// Guards against a planner that takes replicas of its predecessor apart before their members
/// had their turn to be asked.
#[test]
fn successor_keeps_the_replicas_of_its_predecessor_whatever_the_number_of_engines() {
    /// When the predecessor is lost; the successor plans two seconds later.
    const LOST_AT: u64 = 14;
    for engines in [74, 925, 1_600] {
        let mut before = 0;
        let mut least = usize::MAX;
        play_day(engines, &[LOST_AT], 8, |second, fleet| {
            let (large, small) = fleet.serving();
            if second < LOST_AT {
                before = large + small;
            } else {
                least = least.min(large + small);
            }
        });
        // At 15, 18 and 21 s the day takes members of as many replicas.
        let lost = 3 * (engines / 150);
        assert!(
            least + lost >= before,
            "{engines} engines: {least} of {before} replicas, {lost} lost members"
        );
    }
}

/// Guards against a start in which the planner opens few of the replicas that are loaded, so
/// that callers have too few when traffic begins.
#[test]
fn replicas_that_callers_need_serve_when_traffic_begins_whatever_the_number_of_engines() {
    for engines in [74, 925, 1_600] {
        let mut serving = (0, 0);
        play_day(engines, &[], 1, |_, fleet| serving = fleet.serving());
        let members = 16 * serving.0 + 8 * serving.1;
        let needed = (16 * 10 + 8 * 31) * engines / 925;
        assert!(
            members >= needed,
            "{engines} engines: {serving:?} replicas with {members} members, of {needed} needed"
        );
    }
}

/// Guards against nodes that have just started again, know of no others yet, and each use the
/// retry credit of all.
#[test]
fn nodes_that_start_again_together_keep_to_the_retry_budget_of_the_deployment() {
    for count in [9, 83, 295, 340] {
        let mut nodes = Nodes::new(
            Deployment {
                has_requests: true,
                ..deployment(count)
            },
            1,
        );
        nodes.run_until(14_000);
        let ratio = nodes.retries_of_allowed();
        println!("{count} nodes: {ratio:.2} of the retries that are allowed");
        assert!(ratio <= 1.0, "{count} nodes: {ratio}");
    }
}

/// Guards against a planner whose claim the store has lost with its return from an older
/// copy: until its view was too old it gave orders beside the next planner, which had claimed
/// at the same offset.
#[test]
fn planner_steps_down_when_the_store_may_have_lost_its_claim() {
    struct Case {
        what: &'static str,
        /// The eras and offsets of the claim and of the last read.
        claim: (u64, u64),
        read: (u64, u64),
        read_age: Duration,
        reason: Option<&'static str>,
    }
    const LOST: Option<&str> = Some("claim of an earlier era of the store");
    let cases = [
        Case {
            what: "no return since the claim",
            claim: (1, 6),
            read: (1, 40),
            read_age: Duration::ZERO,
            reason: None,
        },
        Case {
            what: "the store has returned",
            claim: (1, 6),
            read: (2, 5),
            read_age: Duration::ZERO,
            reason: LOST,
        },
        Case {
            what: "it has returned twice, with a higher offset",
            claim: (1, 6),
            read: (3, 90),
            read_age: Duration::ZERO,
            reason: LOST,
        },
        Case {
            what: "the claim is of an era that this node has not read yet",
            claim: (2, 6),
            read: (1, 40),
            read_age: Duration::ZERO,
            reason: None,
        },
        Case {
            what: "a view that is too old",
            claim: (1, 6),
            read: (1, 40),
            read_age: MAX_VIEW_AGE_TO_PLAN + Duration::from_millis(1),
            reason: Some("view of the store too old"),
        },
    ];
    for case in cases {
        let node = Node::new();
        let server = || Change::Updated(Box::new(fixture::server("a")));
        node.apply_read(vec![server()], feed::position(1, 4), true);
        let (era, offset) = case.read;
        node.apply_read(vec![server()], feed::position(era, offset), era > 1);
        node.advance(case.read_age);
        let token = feed::position(case.claim.0, case.claim.1);
        let reason = reason_to_step_down(&node.shared, token, node.shared.now());
        assert_eq!(reason, case.reason, "{}", case.what);
    }
}
