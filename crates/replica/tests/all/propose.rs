//! Which changes are proposed, and what the fold makes of races.

use crate::{
    fixture::{MEMBERS, listed, n},
    simulation::World,
};
use name::{Generation, Instance, Replica};
use replica::{Pacer, Policy, propose, servable};
use state::{Change, Operation, Outcome, Rejection, Scope};
use std::{collections::BTreeMap, time::Duration};

pub fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Returns a world of `count` engines after all replicas serve.
pub fn settled(policy: &str, count: usize) -> World {
    let mut world = World::new(Policy::named(policy).unwrap(), count, 1);
    world.run(secs(20));
    assert_eq!(world.serving().len(), count / MEMBERS);
    world
}

pub fn generations(world: &World) -> BTreeMap<Replica, Generation> {
    let of = &world.state.assignments;
    of.iter().map(|(r, a)| (r.clone(), a.generation)).collect()
}

pub fn operate(world: &mut World, scope: Scope, operation: Operation) {
    let base = world.state.operations.get(&scope).map(|(at, _)| *at);
    let change = Change::Operation {
        base: base.unwrap_or_default(),
        scope,
        operation,
        by: "test".into(),
    };
    assert_eq!(world.append(change), Outcome::Accepted);
}

pub fn domain(world: &World, name: &str) -> Vec<Instance> {
    let inside = world
        .engines
        .values()
        .filter(|e| e.listed.domain.as_str() == name);
    inside.map(|e| e.listed.instance.clone()).collect()
}

/// Returns the instance in `place` of the replica `m-1`.
pub fn member(world: &World, place: usize) -> Instance {
    world.state.assignments[&n::<Replica>("m-1")].members[place].clone()
}

#[test]
fn a_lost_member_alone_is_replaced() {
    struct Case {
        name: &'static str,
        policy: &'static str,
        /// The number of engines; 16 make four replicas.
        engines: usize,
        restart: bool,
        /// How long the member is away, in s.
        away: u64,
        /// Replicas that serve after 12 s, and at the end.
        serving: (usize, usize),
        reforms: usize,
    }
    let cases = [
        Case {
            name: "a loaded spare takes the place",
            policy: "adaptive",
            engines: 17,
            restart: true,
            away: 300,
            serving: (4, 4),
            reforms: 1,
        },
        Case {
            name: "fixed groups wait",
            policy: "fixed",
            engines: 17,
            restart: true,
            away: 30,
            serving: (3, 4),
            reforms: 0,
        },
        Case {
            name: "a member back in under the suspicion bound changes nothing",
            policy: "adaptive",
            engines: 17,
            restart: false,
            away: 1,
            serving: (4, 4),
            reforms: 0,
        },
        Case {
            name: "without a spare the member is awaited",
            policy: "adaptive",
            engines: 16,
            restart: false,
            away: 30,
            serving: (3, 4),
            reforms: 0,
        },
    ];
    for case in cases {
        let mut world = settled(case.policy, case.engines);
        let before = world.state.assignments.clone();
        let lost = member(&world, 1);
        world.stop(&lost, secs(case.away), case.restart);
        world.run(secs(12));
        let early = world.serving().len();
        world.run(secs(100));
        let late = world.serving().len();
        assert_eq!((early, late), case.serving, "{}", case.name);
        assert_eq!(world.reforms, case.reforms, "{}", case.name);
        for (replica, a) in &world.state.assignments {
            let pairs = a.members.iter().zip(&before[replica].members);
            let moved = pairs.filter(|(now, then)| now != then);
            let allowed = usize::from(replica.as_str() == "m-1") * case.reforms;
            assert_eq!(moved.count(), allowed, "{}: {replica}", case.name);
        }
    }
}

#[test]
fn the_survivors_of_two_broken_replicas_merge() {
    let mut world = settled("adaptive", 16);
    let lost: Vec<Instance> = world
        .state
        .assignments
        .values()
        .take(2)
        .map(|a| a.members[2].clone())
        .collect();
    for instance in &lost {
        world.stop(instance, secs(200), true);
    }
    world.run(secs(15));
    assert_eq!(world.serving().len(), 3, "six survivors make one replica");
    world.run(secs(300));
    assert_eq!(world.serving().len(), 4, "the others join when they return");
}

#[test]
fn a_dark_failure_domain_tears_nothing_down() {
    let mut world = settled("adaptive", 50);
    let before = generations(&world);
    let dark = domain(&world, "d1");
    for instance in &dark {
        world.stop(instance, secs(120), false);
    }
    let reforms = world.reforms;
    world.run(secs(100));
    assert_eq!(world.serving().len(), 8, "all outside go on");
    assert_eq!(world.reforms, reforms, "nothing can be gained");
    let after = generations(&world);
    assert_eq!(after, before);
    world.run(secs(30));
    assert_eq!(world.serving().len(), 12, "the rest return warm");
    assert_eq!(generations(&world), before);
}

#[test]
fn spread_replicas_are_re_formed_at_a_limited_rate() {
    // Replicas that all lose one member at once, with a free instance for each.
    let mut world = settled("fixed", 32);
    world.policy = Policy::named("adaptive").unwrap();
    let listed: Vec<_> = (32..48).map(listed).collect();
    let extra = World::new(world.policy.clone(), 48, 2).engines;
    let extra = extra.into_iter().skip(32);
    // The newcomers would form replicas of their own: the model's share is kept.
    world.engines.extend(extra);
    for entry in &mut world.entries {
        entry.watch.assign(world.engines.keys().cloned(), world.now);
    }
    world.view.list(&listed, world.now);
    let lost: Vec<Instance> = world
        .state
        .assignments
        .values()
        .map(|a| a.members[0].clone())
        .collect();
    for instance in lost {
        world.stop(&instance, secs(600), true);
    }
    let mut most = 0;
    let mut accepted = vec![0; 40];
    for slot in &mut accepted {
        let before = world.reforms;
        world.run(secs(1));
        *slot = world.reforms - before;
    }
    for window in accepted.windows(9) {
        most = most.max(window.iter().sum());
    }
    assert_eq!(
        accepted.iter().sum::<usize>(),
        8,
        "all are repaired in time"
    );
    assert!(most <= 2, "{most} re-forms in one window: {accepted:?}");
}

#[test]
fn a_node_that_sees_few_instances_proposes_nothing() {
    struct Case {
        name: &'static str,
        /// The share of the instances that this node sees, of 3 domains.
        seen: &'static [&'static str],
        proposes: bool,
    }
    let cases = [
        Case {
            name: "sees two of three failure domains",
            seen: &["d0", "d2"],
            proposes: true,
        },
        Case {
            name: "sees one of three failure domains",
            seen: &["d0"],
            proposes: false,
        },
        Case {
            name: "sees nothing",
            seen: &[],
            proposes: false,
        },
    ];
    for case in cases {
        let mut world = settled("fixed", 50);
        let gone = world
            .state
            .assignments
            .values()
            .find(|a| world.engines[&a.members[0]].listed.domain.as_str() == "d0")
            .map(|a| a.members[0].clone())
            .unwrap();
        let all: Vec<_> = world.engines.keys().cloned().collect();
        for instance in all {
            let inside = case
                .seen
                .contains(&world.engines[&instance].listed.domain.as_str());
            if !inside || instance == gone {
                world.stop(&instance, secs(600), false);
            }
        }
        // Votes that arrived from elsewhere make the lost member suspected.
        world.policy = Policy::named("adaptive").unwrap();
        let mut pacer = Pacer::new(world.view.settings().clone());
        let mut proposed = 0;
        for _ in 0..40 {
            world.policy = Policy::named("fixed").unwrap();
            world.step();
            for node in ["e0", "e1", "e2"] {
                let vote = replica::Vote {
                    watcher: n(node),
                    instance: gone.clone(),
                    suspected: true,
                };
                world.view.vote(&vote, &world.state.epoch, world.now);
            }
            let adaptive = Policy::default();
            let (state, lists, view) = (&world.state, &world.lists, &world.view);
            let changes = propose(state, lists, view, &adaptive, 0, world.now, &mut pacer);
            proposed += changes.len();
        }
        assert_eq!(proposed > 0, case.proposes, "{}", case.name);
    }
}

#[test]
fn racing_proposals_end_in_one_replica() {
    let mut world = World::new(Policy::default(), 4, 1);
    let settings = world.view.settings().clone();
    let mut pacers = [Pacer::new(settings.clone()), Pacer::new(settings)];
    world.entries.clear();
    let mut changes = Vec::new();
    while changes.is_empty() {
        world.step();
        for pacer in &mut pacers {
            let (state, lists, view) = (&world.state, &world.lists, &world.view);
            changes.extend(propose(
                state,
                lists,
                view,
                &world.policy,
                0,
                world.now,
                pacer,
            ));
        }
    }
    assert_eq!(changes.len(), 2, "both nodes propose in the same step");
    assert_eq!(
        changes[0], changes[1],
        "alike, since names are deterministic"
    );
    let mut other = changes[1].clone();
    if let Change::Assign { replica, .. } = &mut other {
        *replica = n("m-2");
    }
    let outcomes: Vec<_> = changes.into_iter().map(|c| world.append(c)).collect();
    assert_eq!(outcomes[0], Outcome::Accepted);
    let conflict = |o: &Outcome| matches!(o, Outcome::Rejected(Rejection::Conflict { .. }));
    assert!(conflict(&outcomes[1]), "{outcomes:?}");
    let taken = world.append(other);
    let is_taken = matches!(taken, Outcome::Rejected(Rejection::InstanceTaken { .. }));
    assert!(is_taken, "{taken:?}");
    assert_eq!(world.state.assignments.len(), 1);
}

#[test]
fn higher_ranks_propose_later() {
    let first = |rank: usize| {
        let mut world = World::new(Policy::default(), 4, 1);
        let mut pacer = Pacer::new(world.view.settings().clone());
        world.entries.clear();
        loop {
            world.step();
            let (state, lists, view) = (&world.state, &world.lists, &world.view);
            let policy = &world.policy;
            if !propose(state, lists, view, policy, rank, world.now, &mut pacer).is_empty() {
                return world.now.0 / 1_000;
            }
        }
    };
    assert_eq!([0, 1, 2].map(first), [1_250, 1_750, 2_250]);
}

#[test]
fn a_new_version_reaches_one_replica_at_a_time() {
    let mut world = settled("adaptive", 16);
    let model = world.lists.models.values_mut().next().unwrap();
    model.version = "2".into();
    let mut least = 4;
    for _ in 0..400 {
        world.step();
        least = least.min(world.serving().len());
    }
    let versions = world.state.assignments.values();
    assert!(versions.map(|a| &*a.version).all(|v| v == "2"));
    assert!(least >= 3, "only {least} went on");
}

#[test]
fn every_policy_is_found_by_its_name() {
    for name in Policy::NAMES {
        assert_eq!(Policy::named(name).unwrap().name, name);
    }
    assert!(Policy::named("other").is_none());
    assert_eq!(Policy::default().name, "adaptive");
}

/// Returns whether the replica `m-1` spans fabric domains.
fn is_spread(world: &World) -> bool {
    let standings = servable(&world.state, &world.view, world.now);
    standings[&n::<Replica>("m-1")].as_ref().unwrap().spread
}

#[test]
fn a_spread_replica_moves_back_when_that_is_worth_it() {
    struct Case {
        name: &'static str,
        restart: bool,
        /// Whether it is spread 30 s and 700 s after the member returned.
        spread: (bool, bool),
    }
    let cases = [
        Case {
            name: "at once to an instance that holds the weights",
            restart: false,
            spread: (false, false),
        },
        Case {
            name: "late if weights must be loaded",
            restart: true,
            spread: (true, false),
        },
    ];
    for case in cases {
        let mut world = settled("adaptive", 9);
        let lost = member(&world, 1);
        world.stop(&lost, secs(20), case.restart);
        world.run(secs(15));
        assert!(is_spread(&world), "{}", case.name);
        world.run(secs(35));
        let early = is_spread(&world);
        world.run(secs(670));
        assert_eq!((early, is_spread(&world)), case.spread, "{}", case.name);
    }
}

#[test]
fn a_loaded_member_takes_its_place_back_from_one_that_loads() {
    let mut world = settled("adaptive", 17);
    let spare = n::<Instance>("i16");
    world.engines.get_mut(&spare).unwrap().loaded = false;
    let lost = member(&world, 1);
    world.stop(&lost, secs(20), false);
    world.run(secs(15));
    assert_eq!(member(&world, 1), spare, "the load begins without a wait");
    assert_eq!(world.serving().len(), 3);
    world.run(secs(10));
    assert_eq!(member(&world, 1), lost);
    assert_eq!(world.serving().len(), 4);
}

#[test]
fn a_new_model_gets_its_share() {
    let mut world = settled("adaptive", 16);
    let model = world.lists.models[&n::<name::Model>("m")].clone();
    world.lists.models.insert(n("z"), model);
    world.run(secs(60));
    let of = |world: &World, model: &str| {
        let all = world.state.assignments.values();
        all.filter(|a| a.model.as_str() == model).count()
    };
    assert_eq!((of(&world, "m"), of(&world, "z")), (2, 2));
    assert_eq!(world.serving().len(), 4);
    // The loss of an instance does not shift replicas between models.
    let lost = member(&world, 0);
    let before = world.state.assignments.len();
    world.stop(&lost, secs(40), false);
    world.run(secs(60));
    assert_eq!(world.state.assignments.len(), before);
    world.lists.models.remove(&n::<name::Model>("z"));
    world.run(secs(90));
    assert_eq!((of(&world, "m"), of(&world, "z")), (4, 0));
}
