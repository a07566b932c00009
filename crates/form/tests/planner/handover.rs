//! Changes of the planner: what a new one may take from its predecessor's state.

use crate::{
    cluster::{Cluster, STEP, model, set},
    formed_cluster,
};
use form::{Demand, Engine, Inputs, Planner};
use name::Instance;
use site::{
    feed,
    fixture::model_spec,
    order::{Command, Order},
    server::Phase,
};
use std::{collections::HashMap, time::Duration};

/// A new planner has no state but the engines' reports.
#[test]
fn new_planner_resumes_from_reports() {
    let (mut cluster, mut planner) = formed_cluster();
    cluster.set_demand(3.0, 3.0);
    cluster.run(&mut planner, Duration::from_secs(4));
    let before = (cluster.serving("large"), cluster.serving("small"));
    let mut successor = Planner::new(2);
    cluster.kill(|e| e.holds(&model("large")) && e.membership().is_some_and(|m| m.rank == 1));
    cluster.run(&mut successor, Duration::from_secs(4));
    let after = (cluster.serving("large"), cluster.serving("small"));
    assert!(
        after.0 >= before.0 && after.1 >= before.1,
        "{before:?} {after:?}"
    );
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against planning from outdated entries (found by soak seed 2049): a planner
/// that started after an outage of the store treated old entries as the engines'
/// state, and ordered members of an open replica to join another one.
#[test]
fn new_planner_waits_for_engine_reports() {
    let (mut cluster, _) = formed_cluster();
    let mut successor = Planner::new(2);
    let engines: HashMap<Instance, Engine> = cluster
        .engines
        .values()
        .cloned()
        .map(|mut engine| {
            // The engine's entry predates all orders, and no report has arrived.
            engine.server.engine.membership = None;
            engine.sequence = None;
            (engine.id().clone(), engine)
        })
        .collect();
    let spec = cluster.spec.clone();
    let inputs = Inputs {
        engine_spec: &spec,
        demand: &Demand::default(),
        has_traffic: true,
        load_window: Duration::from_secs(5),
    };
    for _ in 0..40 {
        cluster.now = cluster.now + STEP;
        let step = successor.step(engines.clone(), &inputs, cluster.now);
        let commands = step.orders.iter().map(|s| &s.order.command);
        let mut others = commands.filter(|c| !matches!(c, Command::Stage { .. }));
        assert_eq!(others.next(), None);
    }
    // With reports, the planner continues from the present state.
    let before = cluster.serving("large");
    cluster.run(&mut successor, Duration::from_secs(3));
    assert_eq!(cluster.serving("large"), before);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// Guards against members of a replica joining another one while an earlier planner's
/// order to open it was still in flight: the head served with members of another replica.
#[test]
fn new_planner_dissolves_replica_only_after_its_head_has_obeyed() {
    struct Case {
        name: &'static str,
        /// When the order of the earlier planner reaches the head.
        opened_after: Duration,
    }
    let cases = [
        Case {
            name: "before the new planner's first order",
            opened_after: Duration::from_millis(150),
        },
        Case {
            name: "at the time of its first order",
            opened_after: Duration::from_millis(350),
        },
        Case {
            name: "after it",
            opened_after: Duration::from_millis(450),
        },
        Case {
            name: "much later",
            opened_after: Duration::from_millis(1_900),
        },
    ];
    for case in cases {
        let (mut cluster, _) = formed_cluster();
        cluster.set_demand(3.0, 3.0);
        let is_head =
            |e: &&Engine| e.holds(&model("large")) && e.membership().is_some_and(|m| m.rank == 0);
        let head = cluster
            .engines
            .values()
            .find(is_head)
            .expect("a head")
            .clone();
        let member = head.membership().expect("a membership").clone();
        let head = head.id().clone();
        set(
            cluster.engines.get_mut(&head).expect("the head"),
            Phase::Ready,
        );
        cluster.kill(|e| {
            let other = e.membership();
            other.is_some_and(|m| m.replica == member.replica && m.rank == 2)
        });
        let open = Order {
            command: Command::Open {
                replica: member.replica.clone(),
                generation: member.generation,
            },
            token: 1,
            expected_sequence: None,
        };
        let at = cluster.now + case.opened_after;
        cluster.orders_in_flight.push((at, head.clone(), open));
        let before = cluster.serving("large");
        cluster.run(&mut Planner::new(2), Duration::from_secs(8));
        assert_eq!(cluster.violations, Vec::<String>::new(), "{}", case.name);
        assert!(
            cluster.serving("large") > before,
            "{}: it is formed again",
            case.name
        );
    }
}

/// Guards against a planner that uses the whole rate of loads right after its predecessor
/// did: planners that follow each other within seconds started more loads than the weight
/// store bears.
#[test]
fn loads_stay_within_their_rate_over_a_change_of_planner() {
    struct Case {
        name: &'static str,
        domains: usize,
        domain_size: usize,
        loads_per_s: f64,
    }
    let cases = [
        Case {
            name: "six domains of ten",
            domains: 6,
            domain_size: 10,
            loads_per_s: 5.0,
        },
        Case {
            name: "25 domains of 37",
            domains: 25,
            domain_size: 37,
            loads_per_s: 77.0,
        },
    ];
    for case in cases {
        let mut cluster = Cluster::new(case.domains, case.domain_size);
        cluster.spec.loads_per_s = case.loads_per_s;
        cluster.spec.loads_at_once = 2_000;
        cluster.spec.models = vec![model_spec("large", 4, 0.5), model_spec("small", 2, 0.5)];
        cluster.set_demand(100.0, 100.0);
        let mut planner = Planner::new(1);
        cluster.run(&mut planner, Duration::from_secs(6));
        cluster.run(&mut Planner::new(2), Duration::from_secs(6));
        let starts = &cluster.load_starts;
        let window = Duration::from_secs(5);
        let most = starts.iter().map(|begin| {
            let in_window = starts
                .iter()
                .filter(|at| *at >= begin && at.since(*begin) < window);
            in_window.count()
        });
        let most = most.max().expect("a load") as f64;
        let allowed = case.loads_per_s * window.as_secs_f64() * 1.1 + 3.0;
        assert!(most <= allowed, "{}: {most} of {allowed} loads", case.name);
    }
}

/// Guards against planners of two eras of the store that claimed at the same offset: engines
/// took the orders of both, and both named their first replica alike, so that a member of one
/// replica was ordered to join another one while its head was open.
#[test]
fn planners_that_claimed_at_one_offset_in_two_eras_keep_their_replicas_apart() {
    struct Case {
        name: &'static str,
        /// The eras of the claims.
        eras: (u64, u64),
        /// How long the first planner goes on after the second one's claim.
        overlap: Duration,
        /// The rank and the planner of the engine that leaves.
        drained: (usize, usize),
    }
    const OFFSET: u64 = 6;
    let case = |name, eras, overlap_ms, drained| Case {
        name,
        eras,
        overlap: Duration::from_millis(overlap_ms),
        drained,
    };
    let cases = [
        case("a member of the first planner's replica", (1, 2), 0, (1, 0)),
        case("a member of the second one's", (1, 2), 0, (1, 1)),
        case("the head of the first one's", (1, 2), 0, (0, 0)),
        case("two returns of the store", (1, 3), 0, (1, 0)),
        case("the first planner goes on", (1, 2), 2_000, (1, 0)),
        case("it goes on, the second one's member", (1, 2), 2_000, (1, 1)),
    ];
    let mut violations = Vec::new();
    for case in cases {
        let tokens = [case.eras.0, case.eras.1].map(|era| feed::position(era, OFFSET));
        let mut cluster = Cluster::new(1, 2);
        cluster.spec.models = vec![model_spec("large", 2, 1.0)];
        cluster.stage_all();
        cluster.set_demand(3.0, 0.0);
        let mut first = Planner::new(tokens[0]);
        cluster.run(&mut first, Duration::from_secs(6));
        for id in ["e80", "e81"] {
            cluster.add(id, "f0");
        }
        cluster.stage_all();
        let mut second = Planner::new(tokens[1]);
        let end = cluster.now + case.overlap;
        while cluster.now < end {
            cluster.run(&mut first, STEP);
            cluster.run(&mut second, STEP);
        }
        cluster.run(&mut second, Duration::from_secs(6));
        assert_eq!(cluster.serving("large"), 2, "{}", case.name);
        let members = [["e00", "e01"], ["e80", "e81"]];
        let (rank, planner) = case.drained;
        let drained: Instance = members[planner][rank].parse().expect("a name");
        let drained = cluster.engines.get_mut(&drained).expect("an engine");
        drained.server.is_leaving = true;
        cluster.add("e90", "f0");
        cluster.stage_all();
        cluster.run(&mut second, Duration::from_secs(8));
        let found = cluster.violations.iter();
        violations.extend(found.map(|text| format!("{}: {text}", case.name)));
        assert_eq!(cluster.serving("large"), 2, "{}", case.name);
    }
    assert_eq!(violations, Vec::<String>::new());
}
