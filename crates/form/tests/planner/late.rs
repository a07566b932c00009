//! Sequences in which orders get no response and are carried out late.

use crate::{
    cluster::{Cluster, REPORT_LAG, STEP},
    link::{Delivery, Link},
};
use form::{OutgoingOrder, Planner};
use name::Instance;
use site::fixture::model_spec;
use std::time::Duration;

/// The time for which a planner forms replicas before a sequence begins.
const FORMATION_TIME: Duration = Duration::from_secs(8);

/// The time after a sequence within which late orders are carried out.
const REST: Duration = Duration::from_secs(13);

/// The longest time until a planner sends an order that a sequence waits for.
const ORDER_TIMEOUT: Duration = Duration::from_secs(8);

/// Deliveries of orders that are carried out late, within and at the end of the time that the
/// platform allows.
const LATE: Delivery = Delivery::Late(Duration::from_millis(2_500));
const LATER: Delivery = Delivery::Late(Duration::from_secs(6));
const LAST: Delivery = Delivery::Late(Duration::from_secs(12));

/// One step of a sequence.
#[derive(Debug, Clone, Copy)]
enum Step<'a> {
    /// The demand for both models changes.
    Demand(f64, f64),
    /// The planner runs until it has sent some orders of a kind, which are delivered in
    /// these ways.
    Deliver(&'static str, &'a [Delivery]),
    /// The planner runs for some milliseconds.
    Run(u64),
    /// Another planner follows.
    Succeed,
    /// The head of the replica of the last order of [`Step::Deliver`] is leaving.
    DrainHead,
    /// An engine is leaving.
    Drain(&'static str),
    /// An engine is added.
    Add,
    /// An engine no longer responds, or responds again.
    SetAlive(&'static str, bool),
}

/// A cluster with a planner, and how its orders are delivered.
struct Sequence<'a> {
    cluster: Cluster,
    planner: Planner,
    link: Link,
    /// The kind of the orders that are delivered otherwise, and how the next ones are.
    faulty: Option<(&'static str, &'a [Delivery])>,
    /// The engine of the last of those.
    last_faulty: Option<Instance>,
}

impl<'a> Sequence<'a> {
    fn new(engines: usize, demand: (f64, f64), report_lag: Duration) -> Self {
        let mut cluster = Cluster::new(1, engines);
        cluster.spec.models = vec![model_spec("large", 2, 0.67), model_spec("small", 2, 0.33)];
        cluster.set_demand(demand.0, demand.1);
        let mut sequence = Self {
            cluster,
            planner: Planner::new(1),
            link: Link::new(report_lag),
            faulty: None,
            last_faulty: None,
        };
        sequence.cluster.stage_all();
        sequence.run(FORMATION_TIME);
        sequence
    }

    /// Adds an engine.
    fn add(&mut self, id: &str) {
        self.cluster.add(id, "f0");
        self.cluster.stage_all();
    }

    /// Returns the violations, and the engines that left a head that was open, with the name
    /// of the case.
    fn violations(&self, name: &str) -> Vec<String> {
        let cluster = &self.cluster;
        let violations = cluster.violations.iter().chain(&cluster.departures);
        violations.map(|text| format!("{name}: {text}")).collect()
    }

    fn run(&mut self, time: Duration) {
        let end = self.cluster.now + time;
        while self.cluster.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.cluster.now = self.cluster.now + STEP;
        self.link.advance(&mut self.cluster);
        let faulty = &mut self.faulty;
        let last_faulty = &mut self.last_faulty;
        let deliver = |sent: &OutgoingOrder| match faulty {
            Some((command, [next, rest @ ..])) if sent.order.command.as_str() == *command => {
                let delivery = *next;
                *faulty = Some((command, rest));
                *last_faulty = Some(sent.engine.clone());
                delivery
            }
            _ => Delivery::Answered,
        };
        self.link
            .plan(&mut self.cluster, &mut self.planner, deliver);
    }

    fn apply(&mut self, name: &str, step: Step<'a>) {
        match step {
            Step::Demand(large, small) => self.cluster.set_demand(large, small),
            Step::Deliver(command, deliveries) => {
                self.faulty = Some((command, deliveries));
                let end = self.cluster.now + ORDER_TIMEOUT;
                while self.faulty.is_some_and(|(_, left)| !left.is_empty()) {
                    assert!(self.cluster.now < end, "{name}: no {command} is ordered");
                    self.step();
                }
            }
            Step::Run(millis) => self.run(Duration::from_millis(millis)),
            Step::Succeed => self.planner = Planner::new(self.planner.token() + 1),
            Step::DrainHead => {
                let engine = self.last_faulty.clone().expect("a faulty order");
                let drained = self.cluster.engines.get_mut(&engine).expect("an engine");
                drained.server.is_leaving = true;
            }
            Step::Drain(id) => {
                let id = id.parse().expect("a name");
                let engine = self.cluster.engines.get_mut(&id);
                engine.expect("an engine").server.is_leaving = true;
            }
            Step::Add => self.add("e90"),
            Step::SetAlive(id, is_alive) => {
                let id = id.parse().expect("a name");
                let engine = self.cluster.engines.get_mut(&id);
                engine.expect("an engine").is_alive = is_alive;
            }
        }
    }
}

/// Guards against a new planner that opens a replica while a join that the planner before
/// it ordered may still take a member away: the streams of that replica stood still for
/// seconds and were cut off.
#[test]
fn inherited_replica_opens_only_after_its_members_refuse_late_joins() {
    struct Case {
        name: &'static str,
        joins: &'static [Delivery],
        /// The time from the joins to the next planner.
        succeeded_after_ms: u64,
    }
    let cases = [
        Case {
            name: "the planner ends at once",
            joins: &[LATE; 2],
            succeeded_after_ms: 0,
        },
        Case {
            name: "the planner ends before it sends the joins again",
            joins: &[LATE; 2],
            succeeded_after_ms: 300,
        },
        Case {
            name: "the joins are carried out much later",
            joins: &[LATER; 2],
            succeeded_after_ms: 0,
        },
        Case {
            name: "the joins are carried out as late as the pages allow",
            joins: &[LAST; 2],
            succeeded_after_ms: 0,
        },
    ];
    let mut violations = Vec::new();
    for case in cases {
        let mut sequence = Sequence::new(7, (3.0, 0.1), REPORT_LAG);
        let steps = [
            Step::Demand(0.3, 4.0),
            Step::Deliver("join", case.joins),
            Step::Run(case.succeeded_after_ms),
            Step::Succeed,
            Step::Demand(3.0, 0.1),
        ];
        for step in steps {
            sequence.apply(case.name, step);
        }
        sequence.run(REST);
        violations.extend(sequence.violations(case.name));
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against an order to open that got no response and is taken for one without
/// effect after a time: the head served while a member of its replica joined another one.
#[test]
fn members_join_another_replica_only_after_their_head_cannot_open_late() {
    struct Case {
        name: &'static str,
        /// How the first orders to open are delivered.
        opens: &'static [Delivery],
        /// The time from the last of them until its engine is leaving.
        drained_after_ms: u64,
        /// The times from then until another engine is free.
        added_after_ms: &'static [u64],
    }
    let cases = [
        Case {
            name: "another engine is free about when the order is carried out",
            opens: &[LATE],
            drained_after_ms: 100,
            added_after_ms: &[1_800, 1_900, 2_000, 2_100, 2_200, 2_300, 2_400],
        },
        Case {
            name: "another engine is free long before",
            opens: &[LATE],
            drained_after_ms: 100,
            added_after_ms: &[0, 500, 1_000, 1_500],
        },
        Case {
            name: "the head is leaving after several orders",
            opens: &[LATE; 4],
            drained_after_ms: 0,
            added_after_ms: &[0, 100, 200, 300, 400],
        },
        Case {
            name: "the order is carried out as late as the pages allow",
            opens: &[LAST],
            drained_after_ms: 100,
            added_after_ms: &[500, 11_500, 11_600, 11_700],
        },
        Case {
            name: "only the response is lost",
            opens: &[Delivery::ResponseLost],
            drained_after_ms: 0,
            added_after_ms: &[0, 100, 200, 300, 500],
        },
    ];
    let mut violations = Vec::new();
    for case in cases {
        for added_after_ms in case.added_after_ms {
            let mut sequence = Sequence::new(0, (1.0, 0.0), REPORT_LAG);
            for id in ["e10", "e20"] {
                sequence.add(id);
            }
            let steps = [
                Step::Deliver("open", case.opens),
                Step::Run(case.drained_after_ms),
                Step::DrainHead,
                Step::Run(*added_after_ms),
                Step::Add,
            ];
            for step in steps {
                sequence.apply(case.name, step);
            }
            sequence.run(REST);
            let name = format!("{}, {added_after_ms} ms", case.name);
            violations.extend(sequence.violations(&name));
            assert_eq!(sequence.cluster.serving("large"), 1, "{name}: formed again");
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against a planner that opens a replica while it forms another one with a member
/// of it: a new planner took the members of its predecessor's last replica for free, since
/// reports did not show their joins yet, and found that replica complete right after.
#[test]
fn replica_does_not_open_while_a_member_is_in_a_formation() {
    struct Case {
        name: &'static str,
        engines: &'static [&'static str],
        /// What becomes of the joins of the planner before.
        joins: &'static [Delivery],
        /// The time from the joins to the next planner.
        succeeded_after_ms: &'static [u64],
    }
    let cases = [
        Case {
            name: "one join shows in reports",
            engines: &["e10", "e20", "e30"],
            joins: &[Delivery::Answered, Delivery::Lost, Delivery::Answered],
            succeeded_after_ms: &[0, 100, 200],
        },
        Case {
            name: "one join shows in reports, and the other one's response is lost",
            engines: &["e10", "e20", "e30"],
            joins: &[Delivery::Answered, Delivery::Lost, Delivery::ResponseLost],
            succeeded_after_ms: &[0, 100, 200],
        },
        Case {
            name: "no join shows in reports",
            engines: &["e10", "e20"],
            joins: &[Delivery::Answered; 2],
            succeeded_after_ms: &[0, 100, 200],
        },
    ];
    let mut violations = Vec::new();
    for case in cases {
        for succeeded_after_ms in case.succeeded_after_ms {
            let mut sequence = Sequence::new(0, (1.0, 0.0), REPORT_LAG);
            for id in case.engines {
                sequence.add(id);
            }
            let steps = [
                Step::Deliver("join", case.joins),
                Step::Run(*succeeded_after_ms),
                Step::Succeed,
            ];
            for step in steps {
                sequence.apply(case.name, step);
            }
            sequence.run(REST);
            let name = format!("{}, {succeeded_after_ms} ms", case.name);
            violations.extend(sequence.violations(&name));
            assert_eq!(sequence.cluster.serving("large"), 1, "{name}");
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against a new planner that takes an order to close for proof that a head can no
/// longer open: a head that has accepted the order to open of the planner before answers
/// that it is closed, and serves some hundred milliseconds later.
#[test]
fn members_of_an_opening_head_join_another_replica_only_after_it_has_left() {
    let mut violations = Vec::new();
    for report_lag in [Duration::ZERO, STEP, REPORT_LAG] {
        for opened_after_ms in (100..=1_500).step_by(100) {
            let mut sequence = Sequence::new(0, (1.0, 0.0), report_lag);
            for id in ["e10", "e20"] {
                sequence.add(id);
            }
            let name = format!("{report_lag:?}, {opened_after_ms} ms");
            let deliveries = [Delivery::Late(Duration::from_millis(opened_after_ms))];
            let steps = [
                Step::Deliver("open", &deliveries),
                Step::DrainHead,
                Step::Add,
                Step::Succeed,
            ];
            for step in steps {
                sequence.apply(&name, step);
            }
            sequence.run(REST);
            violations.extend(sequence.violations(&name));
            assert_eq!(sequence.cluster.serving("large"), 1, "{name}");
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against a join that got no response and that the planner forgets before it knows
/// so, since its node was slow or suspended: a replica opened, and the join took a member.
#[test]
fn replica_opens_only_after_its_members_refuse_a_join_without_a_known_outcome() {
    struct Case {
        name: &'static str,
        join: Delivery,
        outcome_lag_ms: u64,
    }
    let cases = [
        Case {
            name: "the outcome is known at once",
            join: LATER,
            outcome_lag_ms: 0,
        },
        Case {
            name: "the outcome is known when the call ends",
            join: LATER,
            outcome_lag_ms: 400,
        },
        Case {
            name: "the planner's node is slow",
            join: LATER,
            outcome_lag_ms: 600,
        },
        Case {
            name: "the planner's node is suspended",
            join: LATER,
            outcome_lag_ms: 1_900,
        },
        Case {
            name: "the join is carried out as late as the platform allows",
            join: LAST,
            outcome_lag_ms: 600,
        },
    ];
    let mut violations = Vec::new();
    for case in cases {
        for alive_after_ms in [0, 500, 1_000, 2_000] {
            let mut sequence = Sequence::new(0, (1.0, 0.0), REPORT_LAG);
            sequence.link.outcome_lag = Duration::from_millis(case.outcome_lag_ms);
            sequence.cluster.spec.models = vec![model_spec("large", 3, 1.0)];
            for id in ["e10", "e20", "e30", "e40"] {
                sequence.add(id);
            }
            let name = format!("{}, {alive_after_ms} ms", case.name);
            let deliveries = [case.join, case.join, Delivery::Answered];
            let steps = [
                Step::Deliver("join", &[Delivery::Answered; 3]),
                Step::SetAlive("e30", false),
                Step::Deliver("join", &deliveries),
                Step::SetAlive("e40", false),
                Step::Run(alive_after_ms),
                Step::SetAlive("e30", true),
            ];
            for step in steps {
                sequence.apply(&name, step);
            }
            sequence.run(REST);
            violations.extend(sequence.violations(&name));
            if sequence.cluster.serving("large") != 1 {
                violations.push(format!("{name}: no replica serves"));
            }
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against a planner that opens a replica after it ordered a member to leave, since
/// the head did not respond: the order got no response and was carried out while the head
/// was open.
#[test]
fn replica_opens_only_after_its_members_refuse_to_leave() {
    let mut violations = Vec::new();
    for alive_after_ms in [0, 500, 1_000, 2_000] {
        let mut sequence = Sequence::new(0, (1.0, 0.0), REPORT_LAG);
        sequence.cluster.spec.models = vec![model_spec("large", 3, 1.0)];
        for id in ["e10", "e20", "e30"] {
            sequence.add(id);
        }
        let name = format!("{alive_after_ms} ms");
        let steps = [
            Step::Deliver("join", &[Delivery::Answered; 3]),
            Step::SetAlive("e10", false),
            Step::Deliver("leave", &[LATER; 2]),
            Step::Run(alive_after_ms),
            Step::SetAlive("e10", true),
        ];
        for step in steps {
            sequence.apply(&name, step);
        }
        sequence.run(REST);
        violations.extend(sequence.violations(&name));
        if sequence.cluster.serving("large") != 1 {
            violations.push(format!("{name}: no replica serves"));
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against the outcome of an earlier order that is taken for the outcome of the last
/// one, since the planner's node was slow: the answer that a head is closed already counted
/// as the answer that it is open already.
#[test]
fn late_outcome_of_an_earlier_order_says_nothing_of_the_last_one() {
    let mut violations = Vec::new();
    for outcome_lag_ms in (0..=3_000).step_by(100) {
        let mut sequence = Sequence::new(0, (1.0, 0.0), REPORT_LAG);
        sequence.link.outcome_lag = Duration::from_millis(outcome_lag_ms);
        for id in ["e10", "e20", "e30"] {
            sequence.add(id);
        }
        let name = format!("{outcome_lag_ms} ms");
        let steps = [
            Step::Deliver("join", &[Delivery::Answered; 2]),
            Step::Succeed,
            Step::Run(1_500),
            Step::Drain("e20"),
            Step::Deliver("open", &[Delivery::Answered]),
            Step::Drain("e30"),
            Step::Add,
        ];
        for step in steps {
            sequence.apply(&name, step);
        }
        sequence.run(REST);
        violations.extend(sequence.violations(&name));
    }
    assert_eq!(violations, Vec::<String>::new());
}
