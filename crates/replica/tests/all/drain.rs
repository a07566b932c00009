//! Taking out, leaving and bringing back while requests are in progress.

use crate::{
    fixture::n,
    propose::{domain, generations, member, operate, secs, settled},
};
use name::Replica;
use replica::{Cause, Pacer, propose, servable};
use state::{Operation, Scope};

#[test]
fn a_failure_domain_taken_out_drains_and_returns_warm() {
    let mut world = settled("adaptive", 50);
    let before = generations(&world);
    for engine in world.engines.values_mut() {
        engine.running = 3;
    }
    operate(&mut world, Scope::Domain(n("d1")), Operation::TakeOut);
    let inside = domain(&world, "d1");
    let standings = servable(&world.state, &world.view, world.now);
    let out = standings.values().filter(|s| {
        s.as_ref()
            .is_err_and(|b| b.cause == Cause::Out && b.is_planned())
    });
    assert_eq!(out.count(), 4, "no new work from the moment of the fold");
    world.run(secs(60));
    assert_eq!(generations(&world), before, "requests in progress go on");
    for instance in &inside {
        assert!(world.engines[instance].phase == replica::Phase::Ready);
    }
    operate(&mut world, Scope::Domain(n("d1")), Operation::BringBack);
    world.run(secs(1));
    assert_eq!(world.serving().len(), 12, "the same replicas serve again");
    assert_eq!(generations(&world), before);
}

#[test]
fn one_instance_taken_out_is_replaced_after_its_requests_end() {
    let mut world = settled("adaptive", 17);
    let out = member(&world, 2);
    for engine in world.engines.values_mut() {
        engine.running = 1;
    }
    operate(&mut world, Scope::Instance(out.clone()), Operation::TakeOut);
    world.run(secs(30));
    assert_eq!(member(&world, 2), out, "not while requests are in progress");
    for engine in world.engines.values_mut() {
        engine.running = 0;
    }
    world.run(secs(10));
    assert_ne!(member(&world, 2), out);
    assert_eq!(world.serving().len(), 4);
}

#[test]
fn a_take_out_holds_on_a_node_that_sees_no_engine() {
    let mut world = settled("adaptive", 50);
    operate(&mut world, Scope::Domain(n("d1")), Operation::TakeOut);
    world.entries.clear();
    let later = world.now + secs(60);
    let standings = servable(&world.state, &world.view, later);
    let out = standings
        .values()
        .filter(|s| s.as_ref().is_err_and(|b| b.cause == Cause::Out));
    assert_eq!(out.count(), 4, "out goes before silent");
    let mut pacer = Pacer::new(world.view.settings().clone());
    let (state, lists, view) = (&world.state, &world.lists, &world.view);
    let changes = propose(state, lists, view, &world.policy, 0, later, &mut pacer);
    assert_eq!(changes, []);
}

#[test]
fn a_leaving_member_is_replaced_after_its_requests_end() {
    let mut world = settled("adaptive", 17);
    let leaving = member(&world, 3);
    for engine in world.engines.values_mut() {
        engine.running = 1;
    }
    world.engines.get_mut(&leaving).unwrap().listed.leaving = true;
    world.run(secs(1));
    let standings = servable(&world.state, &world.view, world.now);
    let first = standings[&n::<Replica>("m-1")].as_ref().unwrap_err();
    assert_eq!(first.cause, Cause::Leaving);
    world.run(secs(30));
    assert_eq!(member(&world, 3), leaving, "requests in progress go on");
    for engine in world.engines.values_mut() {
        engine.running = 0;
    }
    world.run(secs(10));
    assert_ne!(member(&world, 3), leaving);
    assert_eq!(world.serving().len(), 4);
}
