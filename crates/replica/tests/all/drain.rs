//! Tests of take-out, leaving and bring-back while requests are in progress.

use crate::{
    fixture::named,
    propose::{apply_operation, generations, instances_in, member, secs, settled},
};
use name::Replica;
use replica::{Cause, Pacer, propose, servable};
use state::{Operation, Scope};

/// Guards against the reassignment of a taken-out failure domain, which would end its requests
/// in progress and require weight loads on return.
#[test]
fn taken_out_domain_resumes_at_same_generations() {
    let mut simulation = settled("adaptive", 50);
    let before = generations(&simulation);
    for engine in simulation.engines.values_mut() {
        engine.running = 3;
    }
    apply_operation(
        &mut simulation,
        Scope::Domain(named("d1")),
        Operation::TakeOut,
    );
    let inside = instances_in(&simulation, "d1");
    let results = servable(&simulation.state, &simulation.view, simulation.now);
    let out = results.values().filter(|s| {
        s.as_ref()
            .is_err_and(|b| b.cause == Cause::Out && b.is_planned())
    });
    assert_eq!(
        out.count(),
        4,
        "no new requests once the operation is applied"
    );
    simulation.run(secs(60));
    assert_eq!(
        generations(&simulation),
        before,
        "requests in progress continue"
    );
    for instance in &inside {
        assert!(simulation.engines[instance].phase == replica::Phase::Ready);
    }
    apply_operation(
        &mut simulation,
        Scope::Domain(named("d1")),
        Operation::BringBack,
    );
    simulation.run(secs(1));
    assert_eq!(
        simulation.serving().len(),
        12,
        "the same replicas serve again"
    );
    assert_eq!(generations(&simulation), before);
}

/// Guards against the replacement of a taken-out member that still has requests in progress.
#[test]
fn taken_out_member_is_replaced_once_drained() {
    let mut simulation = settled("adaptive", 17);
    let out = member(&simulation, 2);
    for engine in simulation.engines.values_mut() {
        engine.running = 1;
    }
    apply_operation(
        &mut simulation,
        Scope::Instance(out.clone()),
        Operation::TakeOut,
    );
    simulation.run(secs(30));
    assert_eq!(
        member(&simulation, 2),
        out,
        "not replaced while requests are in progress"
    );
    for engine in simulation.engines.values_mut() {
        engine.running = 0;
    }
    simulation.run(secs(10));
    assert_ne!(member(&simulation, 2), out);
    assert_eq!(simulation.serving().len(), 4);
}

/// Guards against a take-out that is ignored on a node without fresh reports, and against
/// proposals by such a node.
#[test]
fn take_out_applies_without_fresh_reports() {
    let mut simulation = settled("adaptive", 50);
    apply_operation(
        &mut simulation,
        Scope::Domain(named("d1")),
        Operation::TakeOut,
    );
    simulation.entry_nodes.clear();
    let later = simulation.now + secs(60);
    let results = servable(&simulation.state, &simulation.view, later);
    let out = results
        .values()
        .filter(|s| s.as_ref().is_err_and(|b| b.cause == Cause::Out));
    assert_eq!(out.count(), 4, "taken out takes precedence over silent");
    let mut pacer = Pacer::new(simulation.view.settings().clone());
    let (state, lists, view) = (&simulation.state, &simulation.lists, &simulation.view);
    let changes = propose(state, lists, view, &simulation.policy, 0, later, &mut pacer);
    assert_eq!(changes, []);
}

/// Guards against the replacement of a leaving member that still has requests in progress.
#[test]
fn leaving_member_is_replaced_once_drained() {
    let mut simulation = settled("adaptive", 17);
    let leaving = member(&simulation, 3);
    for engine in simulation.engines.values_mut() {
        engine.running = 1;
    }
    simulation.engines.get_mut(&leaving).unwrap().listed.leaving = true;
    simulation.run(secs(1));
    let results = servable(&simulation.state, &simulation.view, simulation.now);
    let first = results[&named::<Replica>("m-1")].as_ref().unwrap_err();
    assert_eq!(first.cause, Cause::Leaving);
    simulation.run(secs(30));
    assert_eq!(
        member(&simulation, 3),
        leaving,
        "requests in progress continue"
    );
    for engine in simulation.engines.values_mut() {
        engine.running = 0;
    }
    simulation.run(secs(10));
    assert_ne!(member(&simulation, 3), leaving);
    assert_eq!(simulation.serving().len(), 4);
}
