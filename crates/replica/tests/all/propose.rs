//! Tests of the proposed changes, and of concurrent proposals.

use crate::{
    fixture::{MEMBERS, listed, named},
    simulation::Simulation,
};
use name::{Generation, Instance, Replica};
use replica::{Pacer, Policy, propose, servable};
use state::{Change, Operation, Outcome, Rejection, Scope};
use std::{collections::BTreeMap, time::Duration};

pub fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Returns a simulation of `count` engines in which all replicas serve.
pub fn settled(policy: &str, count: usize) -> Simulation {
    let mut simulation = Simulation::new(Policy::by_name(policy).unwrap(), count, 1);
    simulation.run(secs(20));
    assert_eq!(simulation.serving().len(), count / MEMBERS);
    simulation
}

pub fn generations(simulation: &Simulation) -> BTreeMap<Replica, Generation> {
    let of = &simulation.state.assignments;
    of.iter().map(|(r, a)| (r.clone(), a.generation)).collect()
}

pub fn apply_operation(simulation: &mut Simulation, scope: Scope, operation: Operation) {
    let base = simulation.state.operations.get(&scope).map(|(at, _)| *at);
    let change = Change::Operation {
        base: base.unwrap_or_default(),
        scope,
        operation,
        by: "test".into(),
    };
    assert_eq!(simulation.append(change), Outcome::Accepted);
}

pub fn instances_in(simulation: &Simulation, name: &str) -> Vec<Instance> {
    let inside = simulation
        .engines
        .values()
        .filter(|e| e.listed.domain.as_str() == name);
    inside.map(|e| e.listed.instance.clone()).collect()
}

/// Returns the instance in `place` of the replica `m-1`.
pub fn member(simulation: &Simulation, place: usize) -> Instance {
    simulation.state.assignments[&named::<Replica>("m-1")].members[place].clone()
}

/// Guards against changes to other members and replicas, and against needless replacement.
#[test]
fn only_lost_member_is_replaced() {
    struct Case {
        name: &'static str,
        policy: &'static str,
        /// The number of engines; 16 of them form four replicas.
        engines: usize,
        restart: bool,
        /// How long the member is stopped, in s.
        away: u64,
        /// The number of replicas that serve after 12 s, and at the end.
        serving: (usize, usize),
        reconfigurations: usize,
    }
    let cases = [
        Case {
            name: "a loaded spare takes the place",
            policy: "adaptive",
            engines: 17,
            restart: true,
            away: 300,
            serving: (4, 4),
            reconfigurations: 1,
        },
        Case {
            name: "the fixed policy waits",
            policy: "fixed",
            engines: 17,
            restart: true,
            away: 30,
            serving: (3, 4),
            reconfigurations: 0,
        },
        Case {
            name: "a member that returns before it is suspected is kept",
            policy: "adaptive",
            engines: 17,
            restart: false,
            away: 1,
            serving: (4, 4),
            reconfigurations: 0,
        },
        Case {
            name: "without a spare the replica waits for the member",
            policy: "adaptive",
            engines: 16,
            restart: false,
            away: 30,
            serving: (3, 4),
            reconfigurations: 0,
        },
    ];
    for case in cases {
        let mut simulation = settled(case.policy, case.engines);
        let before = simulation.state.assignments.clone();
        let lost = member(&simulation, 1);
        simulation.stop(&lost, secs(case.away), case.restart);
        simulation.run(secs(12));
        let early = simulation.serving().len();
        simulation.run(secs(100));
        let late = simulation.serving().len();
        assert_eq!((early, late), case.serving, "{}", case.name);
        assert_eq!(
            simulation.reconfigurations, case.reconfigurations,
            "{}",
            case.name
        );
        for (replica, a) in &simulation.state.assignments {
            let pairs = a.members.iter().zip(&before[replica].members);
            let moved = pairs.filter(|(now, then)| now != then);
            let allowed = usize::from(replica.as_str() == "m-1") * case.reconfigurations;
            assert_eq!(moved.count(), allowed, "{}: {replica}", case.name);
        }
    }
}

/// Guards against two incomplete replicas that each wait for a member.
#[test]
fn survivors_of_two_replicas_merge() {
    let mut simulation = settled("adaptive", 16);
    let lost: Vec<Instance> = simulation
        .state
        .assignments
        .values()
        .take(2)
        .map(|a| a.members[2].clone())
        .collect();
    for instance in &lost {
        simulation.stop(instance, secs(200), true);
    }
    simulation.run(secs(15));
    assert_eq!(
        simulation.serving().len(),
        3,
        "six remaining members form one replica"
    );
    simulation.run(secs(300));
    assert_eq!(
        simulation.serving().len(),
        4,
        "the second replica forms when the members return"
    );
}

/// Guards against reconfigurations in an outage, after which instances would load weights again.
#[test]
fn domain_outage_causes_no_reconfiguration() {
    let mut simulation = settled("adaptive", 50);
    let before = generations(&simulation);
    let stopped = instances_in(&simulation, "d1");
    for instance in &stopped {
        simulation.stop(instance, secs(120), false);
    }
    let reconfigurations = simulation.reconfigurations;
    simulation.run(secs(100));
    assert_eq!(
        simulation.serving().len(),
        8,
        "replicas in other domains continue"
    );
    assert_eq!(
        simulation.reconfigurations, reconfigurations,
        "no reconfiguration would help"
    );
    let after = generations(&simulation);
    assert_eq!(after, before);
    simulation.run(secs(30));
    assert_eq!(
        simulation.serving().len(),
        12,
        "the stopped replicas return with weights loaded"
    );
    assert_eq!(generations(&simulation), before);
}

/// Guards against the reconfiguration of many replicas at once.
#[test]
fn reconfiguration_rate_is_limited() {
    // All replicas lose one member at once, and each has a free instance to replace it.
    let mut simulation = settled("fixed", 32);
    simulation.policy = Policy::by_name("adaptive").unwrap();
    let listed: Vec<_> = (32..48).map(listed).collect();
    let extra = Simulation::new(simulation.policy.clone(), 48, 2).engines;
    let extra = extra.into_iter().skip(32);
    // The added instances could also form replicas of their own, within the model's share.
    simulation.engines.extend(extra);
    for entry in &mut simulation.entry_nodes {
        entry
            .detector
            .set_instances(simulation.engines.keys().cloned(), simulation.now);
    }
    simulation.view.update_listing(&listed, simulation.now);
    let lost: Vec<Instance> = simulation
        .state
        .assignments
        .values()
        .map(|a| a.members[0].clone())
        .collect();
    for instance in lost {
        simulation.stop(&instance, secs(600), true);
    }
    let mut most = 0;
    let mut accepted = vec![0; 40];
    for slot in &mut accepted {
        let before = simulation.reconfigurations;
        simulation.run(secs(1));
        *slot = simulation.reconfigurations - before;
    }
    for window in accepted.windows(9) {
        most = most.max(window.iter().sum());
    }
    assert_eq!(
        accepted.iter().sum::<usize>(),
        8,
        "all replicas are repaired"
    );
    assert!(
        most <= 2,
        "{most} reconfigurations in one window: {accepted:?}"
    );
}

/// Guards against proposals by a node that is cut off and sees most instances as lost.
#[test]
fn isolated_node_proposes_nothing() {
    struct Case {
        name: &'static str,
        /// The failure domains, of three, whose instances this node can reach.
        domains: &'static [&'static str],
        proposes: bool,
    }
    let cases = [
        Case {
            name: "sees two of three failure domains",
            domains: &["d0", "d2"],
            proposes: true,
        },
        Case {
            name: "sees one of three failure domains",
            domains: &["d0"],
            proposes: false,
        },
        Case {
            name: "sees nothing",
            domains: &[],
            proposes: false,
        },
    ];
    for case in cases {
        let mut simulation = settled("fixed", 50);
        let lost = simulation
            .state
            .assignments
            .values()
            .find(|a| simulation.engines[&a.members[0]].listed.domain.as_str() == "d0")
            .map(|a| a.members[0].clone())
            .unwrap();
        let all: Vec<_> = simulation.engines.keys().cloned().collect();
        for instance in all {
            let inside = case
                .domains
                .contains(&simulation.engines[&instance].listed.domain.as_str());
            if !inside || instance == lost {
                simulation.stop(&instance, secs(600), false);
            }
        }
        // Votes of other nodes make the lost member suspected.
        simulation.policy = Policy::by_name("adaptive").unwrap();
        let mut pacer = Pacer::new(simulation.view.settings().clone());
        let mut proposed = 0;
        for _ in 0..40 {
            simulation.policy = Policy::by_name("fixed").unwrap();
            simulation.step();
            for node in ["e0", "e1", "e2"] {
                let vote = replica::Vote {
                    watcher: named(node),
                    instance: lost.clone(),
                    suspected: true,
                };
                simulation
                    .view
                    .record_vote(&vote, &simulation.state.epoch, simulation.now);
            }
            let adaptive = Policy::default();
            let (state, lists, view) = (&simulation.state, &simulation.lists, &simulation.view);
            let changes = propose(state, lists, view, &adaptive, 0, simulation.now, &mut pacer);
            proposed += changes.len();
        }
        assert_eq!(proposed > 0, case.proposes, "{}", case.name);
    }
}

/// Guards against an instance in two replicas when two nodes propose at once.
#[test]
fn concurrent_proposals_form_one_replica() {
    let mut simulation = Simulation::new(Policy::default(), 4, 1);
    let settings = simulation.view.settings().clone();
    let mut pacers = [Pacer::new(settings.clone()), Pacer::new(settings)];
    simulation.entry_nodes.clear();
    let mut changes = Vec::new();
    while changes.is_empty() {
        simulation.step();
        for pacer in &mut pacers {
            let (state, lists, view) = (&simulation.state, &simulation.lists, &simulation.view);
            changes.extend(propose(
                state,
                lists,
                view,
                &simulation.policy,
                0,
                simulation.now,
                pacer,
            ));
        }
    }
    assert_eq!(changes.len(), 2, "both nodes propose in the same step");
    assert_eq!(
        changes[0], changes[1],
        "equal, since replica names are deterministic"
    );
    let mut other = changes[1].clone();
    if let Change::Assign { replica, .. } = &mut other {
        *replica = named("m-2");
    }
    let outcomes: Vec<_> = changes.into_iter().map(|c| simulation.append(c)).collect();
    assert_eq!(outcomes[0], Outcome::Accepted);
    let conflict = |o: &Outcome| matches!(o, Outcome::Rejected(Rejection::Conflict { .. }));
    assert!(conflict(&outcomes[1]), "{outcomes:?}");
    let taken = simulation.append(other);
    let is_taken = matches!(taken, Outcome::Rejected(Rejection::InstanceTaken { .. }));
    assert!(is_taken, "{taken:?}");
    assert_eq!(simulation.state.assignments.len(), 1);
}

/// Guards against equal proposals by all nodes at once.
#[test]
fn higher_ranks_propose_later() {
    let first = |rank: usize| {
        let mut simulation = Simulation::new(Policy::default(), 4, 1);
        let mut pacer = Pacer::new(simulation.view.settings().clone());
        simulation.entry_nodes.clear();
        loop {
            simulation.step();
            let (state, lists, view) = (&simulation.state, &simulation.lists, &simulation.view);
            let policy = &simulation.policy;
            if !propose(state, lists, view, policy, rank, simulation.now, &mut pacer).is_empty() {
                return simulation.now.0 / 1_000;
            }
        }
    };
    assert_eq!([0, 1, 2].map(first), [1_250, 1_750, 2_250]);
}

/// Guards against an upgrade that stops more than one replica of a model at a time.
#[test]
fn version_upgrade_is_rolling() {
    let mut simulation = settled("adaptive", 16);
    let model = simulation.lists.models.values_mut().next().unwrap();
    model.version = "2".into();
    let mut least = 4;
    for _ in 0..400 {
        simulation.step();
        least = least.min(simulation.serving().len());
    }
    let versions = simulation.state.assignments.values();
    assert!(versions.map(|a| &*a.version).all(|v| v == "2"));
    assert!(least >= 3, "only {least} replicas kept serving");
}

/// Guards against a listed policy name that the lookup does not find.
#[test]
fn policies_are_found_by_name() {
    for name in Policy::NAMES {
        assert_eq!(Policy::by_name(name).unwrap().name, name);
    }
    assert!(Policy::by_name("other").is_none());
    assert_eq!(Policy::default().name, "adaptive");
}

/// Returns whether the replica `m-1` spans fabric domains.
fn is_spread(simulation: &Simulation) -> bool {
    let results = servable(&simulation.state, &simulation.view, simulation.now);
    results[&named::<Replica>("m-1")]
        .as_ref()
        .unwrap()
        .spans_fabrics
}

/// Guards against replicas that span fabric domains for good, and against moves that need a load
/// too early.
#[test]
fn spread_replica_is_consolidated() {
    struct Case {
        name: &'static str,
        restart: bool,
        /// Whether the replica spans fabric domains 30 s and 700 s after the member returned.
        spread: (bool, bool),
    }
    let cases = [
        Case {
            name: "at once to an instance that holds the weights",
            restart: false,
            spread: (false, false),
        },
        Case {
            name: "later if weights must be loaded",
            restart: true,
            spread: (true, false),
        },
    ];
    for case in cases {
        let mut simulation = settled("adaptive", 9);
        let lost = member(&simulation, 1);
        simulation.stop(&lost, secs(20), case.restart);
        simulation.run(secs(15));
        assert!(is_spread(&simulation), "{}", case.name);
        simulation.run(secs(35));
        let early = is_spread(&simulation);
        simulation.run(secs(670));
        assert_eq!(
            (early, is_spread(&simulation)),
            case.spread,
            "{}",
            case.name
        );
    }
}

/// Guards against waiting for a load after the lost member has returned with its weights.
#[test]
fn returning_member_replaces_loading_spare() {
    let mut simulation = settled("adaptive", 17);
    let spare = named::<Instance>("i16");
    simulation.engines.get_mut(&spare).unwrap().loaded = false;
    let lost = member(&simulation, 1);
    simulation.stop(&lost, secs(20), false);
    simulation.run(secs(15));
    assert_eq!(
        member(&simulation, 1),
        spare,
        "the load begins without a wait"
    );
    assert_eq!(simulation.serving().len(), 3);
    simulation.run(secs(10));
    assert_eq!(member(&simulation, 1), lost);
    assert_eq!(simulation.serving().len(), 4);
}

/// Guards against shares that do not follow the listed models.
#[test]
fn new_model_receives_its_share() {
    let mut simulation = settled("adaptive", 16);
    let model = simulation.lists.models[&named::<name::Model>("m")].clone();
    simulation.lists.models.insert(named("z"), model);
    simulation.run(secs(60));
    let of = |simulation: &Simulation, model: &str| {
        let all = simulation.state.assignments.values();
        all.filter(|a| a.model.as_str() == model).count()
    };
    assert_eq!((of(&simulation, "m"), of(&simulation, "z")), (2, 2));
    assert_eq!(simulation.serving().len(), 4);
    // The loss of an instance moves no replica between models.
    let lost = member(&simulation, 0);
    let before = simulation.state.assignments.len();
    simulation.stop(&lost, secs(40), false);
    simulation.run(secs(60));
    assert_eq!(simulation.state.assignments.len(), before);
    simulation.lists.models.remove(&named::<name::Model>("z"));
    simulation.run(secs(90));
    assert_eq!((of(&simulation, "m"), of(&simulation, "z")), (4, 0));
}
