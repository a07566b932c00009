//! Tests of which orders are sent, when, and by which node.

use crate::fixture::{epoch, listed, lists, named};
use clock::Moment;
use name::{Generation, Instance, Offset};
use replica::{Command, Order, OrderTracker, Phase, Report, Settings, View, orders};
use state::{Assignment, Operation, Scope, State};
use std::collections::BTreeSet;
use uuid::Uuid;

/// A state, a view, and the order trackers of three nodes.
struct Setup {
    state: State,
    view: View,
    trackers: Vec<OrderTracker>,
    /// The reports that the engines repeat at each step.
    reports: Vec<Report>,
    is_state_fresh: bool,
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(10_000 + millis)
}

fn idle_report(i: usize) -> Report {
    Report {
        instance: listed(i).instance,
        boot: Uuid::from_u128(1),
        phase: Phase::Idle,
        replica: None,
        generation: Generation(0),
        member: 0,
        loaded: vec!["m@1".into()],
        running: 0,
        fences: true,
    }
}

impl Setup {
    /// Returns a setup of `replicas` replicas, each of four idle engines with the weights.
    fn new(replicas: usize) -> Self {
        let settings = Settings::default();
        let mut state = State {
            offset: Offset(1),
            epoch: epoch(3),
            ..State::default()
        };
        for r in 0..replicas {
            state.offset = state.offset.next();
            let assignment = Assignment {
                generation: state.offset.into(),
                model: named("m"),
                version: "1".into(),
                members: (r * 4..r * 4 + 4).map(|i| listed(i).instance).collect(),
            };
            let name = format!("m-{}", r + 1);
            state.assignments.insert(named(&name), assignment);
        }
        let tracker = |i| OrderTracker::new(named(&format!("e{i}")), settings.clone());
        let all: Vec<_> = (0..replicas * 4).map(listed).collect();
        let mut view = View::new(settings.clone());
        view.update_listing(&all, at(0));
        Self {
            state,
            view,
            trackers: (0..3).map(tracker).collect(),
            reports: (0..replicas * 4).map(idle_report).collect(),
            is_state_fresh: true,
        }
    }

    /// Runs from `from` to `to` ms and returns the orders with their times.
    fn run(&mut self, from: u64, to: u64) -> Vec<(u64, Order)> {
        let lists = lists();
        let mut sent = Vec::new();
        for now in (from..to).step_by(250) {
            for report in &self.reports {
                self.view.record_report(report.clone(), at(now), at(now));
            }
            for tracker in &mut self.trackers {
                let state = &self.state;
                let due = orders(
                    state,
                    &lists,
                    &self.view,
                    self.is_state_fresh,
                    at(now),
                    tracker,
                );
                sent.extend(due.into_iter().map(|o| (now, o)));
            }
        }
        sent
    }

    /// Makes the engines of the first replica report that they serve it.
    fn set_first_serving(&mut self, running: u32) {
        for (member, report) in (0..).zip(self.reports.iter_mut().take(4)) {
            report.phase = Phase::Ready;
            report.replica = Some(named("m-1"));
            report.generation = Generation(2);
            report.member = member;
            report.running = running;
        }
    }

    /// Assigns the first replica at a new generation with another fourth member.
    ///
    /// The new member comes from the second replica, which is removed.
    fn reassign_first(&mut self) {
        self.state.offset = Offset(50);
        let a = self.state.assignments.values_mut().next().unwrap();
        a.generation = Generation(50);
        a.members[3] = listed(7).instance;
        self.state
            .assignments
            .remove(&named::<name::Replica>("m-2"));
    }
}

/// Returns the instances to which orders were sent, without duplicates.
fn ordered_instances(sent: &[(u64, Order)]) -> BTreeSet<Instance> {
    sent.iter().map(|(_, o)| o.instance.clone()).collect()
}

/// Guards against duplicate orders from all nodes, and against orders that depend on one node.
#[test]
fn unanswered_orders_are_sent_by_next_rank() {
    let mut setup = Setup::new(1);
    let sent = setup.run(0, 500);
    assert_eq!(sent.len(), 4, "one order for each engine at first");
    let places: BTreeSet<_> = sent
        .iter()
        .map(|(now, o)| match &o.command {
            Command::Join {
                generation,
                member,
                peers,
                ..
            } => (*now, *generation, *member, peers.len(), o.deadline),
            Command::Leave { .. } => unreachable!("nothing to leave"),
        })
        .collect();
    let expected = (0..4).map(|m| (0, Generation(2), m, 4, at(1_000)));
    assert_eq!(places, expected.collect());
    // The engines do not react: the second node sends at its rank's delay, the first resends.
    let later = setup.run(500, 1_500);
    assert_eq!(later.iter().filter(|(now, _)| *now == 500).count(), 4);
    assert_eq!(later.iter().filter(|(now, _)| *now == 1_000).count(), 8);
    setup.set_first_serving(0);
    assert!(setup.run(2_000, 5_000).is_empty(), "no orders are due");
}

/// Guards against orders from an outdated state to engines that cannot reject them.
#[test]
fn orders_require_fencing_or_fresh_state() {
    struct Case {
        name: &'static str,
        change: fn(&mut Setup),
        /// The number of engines that are sent an order within 1 s, and within 10 s.
        ordered: (usize, usize),
    }
    let cases = [
        Case {
            name: "fencing engines",
            change: |_| {},
            ordered: (4, 4),
        },
        Case {
            name: "fencing engines, state not confirmed as fresh",
            change: |s| s.is_state_fresh = false,
            ordered: (4, 4),
        },
        Case {
            name: "engines without fencing wait until stale orders have expired",
            change: |s| s.reports.iter_mut().for_each(|r| r.fences = false),
            ordered: (0, 4),
        },
        Case {
            name: "engines without fencing, state not confirmed as fresh",
            change: |s| {
                s.reports.iter_mut().for_each(|r| r.fences = false);
                s.is_state_fresh = false;
            },
            ordered: (0, 0),
        },
        Case {
            name: "an engine that reports a later generation",
            change: |s| {
                s.reports[1].generation = Generation(99);
                s.reports[1].replica = Some(named("m-7"));
            },
            ordered: (3, 3),
        },
        Case {
            name: "a member that is out",
            change: |s| {
                let scope = Scope::Instance(listed(1).instance);
                let operation = (Offset(1), Operation::TakeOut);
                s.state.operations.insert(scope, operation);
            },
            ordered: (3, 3),
        },
        Case {
            name: "a silent engine",
            change: |s| {
                s.reports.remove(2);
            },
            ordered: (3, 3),
        },
        Case {
            name: "a member that was never listed, whose address is unknown",
            change: |s| {
                let a = s.state.assignments.values_mut().next().unwrap();
                a.members[3] = named("other");
            },
            ordered: (0, 0),
        },
        Case {
            name: "a member back with a new boot rejoins the same generation",
            change: |s| {
                s.set_first_serving(0);
                s.reports[2] = idle_report(2);
                s.reports[2].boot = Uuid::from_u128(2);
            },
            ordered: (1, 1),
        },
        Case {
            name: "engines of a dissolved replica, after a delay",
            change: |s| {
                s.set_first_serving(0);
                s.state.assignments.clear();
            },
            ordered: (0, 4),
        },
    ];
    for case in cases {
        let mut setup = Setup::new(1);
        (case.change)(&mut setup);
        let mut sent = setup.run(0, 1_000);
        let early = ordered_instances(&sent).len();
        sent.extend(setup.run(1_000, 10_000));
        assert_eq!(
            (early, ordered_instances(&sent).len()),
            case.ordered,
            "{}",
            case.name
        );
    }
}

/// Guards against overlap of old and new orders at an engine that does not check fencing numbers.
#[test]
fn generation_change_restarts_unfenced_quiet_period() {
    let mut setup = Setup::new(1);
    setup.reports.iter_mut().for_each(|r| r.fences = false);
    setup.run(0, 4_000);
    setup.state.offset = Offset(60);
    let a = setup.state.assignments.values_mut().next().unwrap();
    a.generation = Generation(60);
    let sent = setup.run(4_000, 12_000);
    assert_eq!(sent.first().map(|(now, _)| *now), Some(9_000));
    let stale = |o: &Order| !matches!(o.command, Command::Join { generation, .. } if generation == Generation(60));
    assert!(!sent.iter().any(|(_, o)| stale(o)));
}

/// Guards against the loss of requests in progress when a replica is reassigned.
#[test]
fn busy_members_are_not_reassigned() {
    struct Case {
        name: &'static str,
        running: u32,
        missing: Option<usize>,
        /// When the first order to a former member is sent, in ms.
        first: Option<u64>,
    }
    let cases = [
        Case {
            name: "nothing in progress",
            running: 0,
            missing: None,
            first: Some(1_000),
        },
        Case {
            name: "in progress",
            running: 2,
            missing: None,
            first: None,
        },
        Case {
            name: "in progress, but a member is missing",
            running: 2,
            missing: Some(3),
            first: Some(2_500),
        },
    ];
    for case in cases {
        let mut setup = Setup::new(2);
        setup.set_first_serving(case.running);
        setup.run(0, 1_000);
        setup.reassign_first();
        if let Some(i) = case.missing {
            setup.reports.remove(i);
        }
        let sent = setup.run(1_000, 9_000);
        let former = |o: &Order| o.instance < named("i03");
        let first = sent.iter().find(|(_, o)| former(o)).map(|(now, _)| *now);
        assert_eq!(first, case.first, "{}", case.name);
    }
}

/// Guards against load slots spread over many replicas, none of which becomes complete.
#[test]
fn limited_loads_go_to_replicas_lacking_fewest() {
    let mut setup = Setup::new(3);
    // The third replica lacks one load, the others lack four each.
    for report in &mut setup.reports[..9] {
        report.loaded.clear();
    }
    let sent = setup.run(0, 500);
    let cold: Vec<_> = sent
        .iter()
        .map(|(_, o)| o.instance.as_str())
        .filter(|i| *i < "i09")
        .collect();
    let cold: BTreeSet<_> = cold.into_iter().collect();
    assert_eq!(cold, BTreeSet::from(["i00", "i01", "i02", "i08"]));
    // Two of them are loading and keep their slots, so that two slots are free.
    for i in [0, 8] {
        let report = &mut setup.reports[i];
        report.phase = Phase::Loading;
        report.replica = Some(named(if i == 0 { "m-1" } else { "m-3" }));
        report.generation = Generation(if i == 0 { 2 } else { 4 });
    }
    let later = setup.run(500, 5_000);
    let cold = ordered_instances(&later)
        .into_iter()
        .filter(|i| *i < named("i09"));
    assert_eq!(cold.collect::<Vec<_>>(), [named("i01"), named("i02")]);
}
