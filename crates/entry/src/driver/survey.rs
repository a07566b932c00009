//! Determines which replicas and plain backend servers may take requests.

use crate::{
    node::{Control, Node},
    reports::ReportedCapacity,
    serve::{
        queue,
        servers::{Offer, Target},
    },
};
use admit::slot::CapacityReport;
use clock::Moment;
use name::{Generation, Instance};
use replica::{ListingState, Servable, View, servable};
use state::Assignment;
use std::{
    collections::BTreeSet,
    future::{Ready, ready},
    sync::Arc,
    time::Duration,
};
use uuid::Uuid;

/// The interval between surveys.
pub(crate) const INTERVAL: Duration = Duration::from_millis(100);

/// Updates the servers on offer, and grants the slots that became free.
pub(crate) fn run(node: Arc<Node>) -> Ready<()> {
    let now = node.clock.now();
    let control = node.control();
    let mut offers = replicas(&node, &control, now);
    offers.extend(services(&node, &control, now));
    extend_validity(&node, now);
    let mut instances: BTreeSet<Instance> = BTreeSet::new();
    instances.extend(node.engines().iter().map(|(instance, _)| instance.clone()));
    instances.extend(node.services().iter().map(|(instance, _)| instance.clone()));
    node.reports.retain(|instance| instances.contains(instance));
    node.servers().apply_survey(offers);
    queue::grant_free_slots(&node);
    node.surveyed.send_modify(|number| *number += 1);
    ready(())
}

/// Extends the validity of slots and grants while this node may act on its state.
fn extend_validity(node: &Node, now: Moment) {
    if !node.status(now).accepts_work() {
        return;
    }
    let bound = Duration::from_millis(node.settings.timings.voucher_bound_ms);
    node.servers().confirm_log_view(now + bound);
    node.accounts().confirm_log_view(now + bound);
}

/// Returns the offers of the replicas that may take requests.
fn replicas(node: &Node, control: &Control, now: Moment) -> Vec<Offer> {
    let view = node.engines();
    let results = servable(&control.state, &view, now);
    let available = results
        .into_iter()
        .filter_map(|(replica, result)| Some((replica, result.ok()?)));
    available
        .filter_map(|(replica, servable)| {
            let assignment = control.state.assignments.get(&replica)?;
            let capacity = replica_capacity(node, &view, assignment)?;
            let lead = view.get(&servable.lead)?;
            Some(Offer {
                targets: targets(control, &servable),
                replica: Some(replica),
                generation: servable.generation,
                instance: servable.lead.clone(),
                address: servable.address,
                domain: lead.domain.clone(),
                is_spread: servable.spans_fabrics,
                capacity,
                running: lead.latest.as_ref()?.report.running,
            })
        })
        .collect()
}

/// Returns the model that a replica serves, and the model's adapters.
fn targets(control: &Control, servable: &Servable) -> Vec<Target> {
    let adapters = control
        .lists
        .models
        .get(&servable.model)
        .map(|model| model.adapters.clone());
    let models = std::iter::once(servable.model.clone()).chain(adapters.unwrap_or_default());
    models.map(Target::Model).collect()
}

/// Returns the combined capacity of a replica's members.
///
/// A replica is warm only if every member is, its limits are the lowest of any
/// member, and its capacity is as old as the oldest member's report. Each
/// member's capacity must be of the incarnation in the view, so that a restart
/// of any member stops new requests. Requests are bound to the incarnation of
/// the lead, which receives them.
fn replica_capacity(node: &Node, view: &View, assignment: &Assignment) -> Option<CapacityReport> {
    let members: Option<Vec<ReportedCapacity>> = assignment
        .members
        .iter()
        .map(|instance| current_capacity(node, view, instance))
        .collect();
    let members = members?;
    let lead = members.first()?;
    Some(CapacityReport {
        boot: lead.boot,
        warm: members.iter().all(|member| member.capacity.warm),
        warm_limit: members
            .iter()
            .map(|member| member.capacity.warm_limit)
            .min()?,
        cold_limit: members
            .iter()
            .map(|member| member.capacity.cold_limit)
            .min()?,
        idle: is_idle(view, assignment),
        at: members.iter().map(|member| member.as_of).min()?,
    })
}

/// Returns whether the lead of a replica reports nothing in progress.
fn is_idle(view: &View, assignment: &Assignment) -> bool {
    let lead = assignment.members.first().and_then(|lead| view.get(lead));
    let latest = lead.and_then(|status| status.latest.as_ref());
    latest.is_some_and(|latest| latest.report.running == 0)
}

/// Returns an instance's capacity, if it is of the incarnation in the view.
fn current_capacity(node: &Node, view: &View, instance: &Instance) -> Option<ReportedCapacity> {
    let boot: Uuid = view.get(instance)?.latest.as_ref()?.report.boot;
    node.reports
        .capacity(instance)
        .filter(|current| current.boot == boot)
}

/// Returns the offers of the plain backend servers that may take requests.
fn services(node: &Node, control: &Control, now: Moment) -> Vec<Offer> {
    let view = node.services();
    view.iter()
        .filter_map(|(instance, status)| {
            let report = view.fresh_report(instance, now)?;
            let is_blocked = control.state.is_taken_out(instance, &status.domain)
                || status.listing == ListingState::Leaving
                || status.is_suspected(now);
            if is_blocked {
                return None;
            }
            let current = current_capacity(node, &view, instance)?;
            Some(Offer {
                targets: vec![Target::Service(node.reports.service(instance)?)],
                replica: None,
                generation: Generation::default(),
                instance: instance.clone(),
                address: status.address,
                domain: status.domain.clone(),
                is_spread: false,
                capacity: CapacityReport {
                    boot: current.boot,
                    warm: current.capacity.warm,
                    warm_limit: current.capacity.warm_limit,
                    cold_limit: current.capacity.cold_limit,
                    idle: report.running == 0,
                    at: current.as_of,
                },
                running: report.running,
            })
        })
        .collect()
}
