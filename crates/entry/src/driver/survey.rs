//! Surveys which replicas and plain backend servers may take requests.

use crate::{
    known::Borne,
    node::{Control, Node},
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

/// The time between two surveys.
pub(crate) const EACH: Duration = Duration::from_millis(100);

/// Surveys once, and grants the slots that became free.
pub(crate) fn run(node: Arc<Node>) -> Ready<()> {
    let now = node.clock.now();
    let control = node.control();
    let mut offers = replicas(&node, &control, now);
    offers.extend(services(&node, &control, now));
    vouch(&node, now);
    let mut instances: BTreeSet<Instance> = BTreeSet::new();
    instances.extend(node.engines().iter().map(|(instance, _)| instance.clone()));
    instances.extend(node.services().iter().map(|(instance, _)| instance.clone()));
    node.known.retain(|instance| instances.contains(instance));
    node.servers().apply_survey(offers);
    queue::grant_free_slots(&node);
    node.surveyed.send_modify(|number| *number += 1);
    ready(())
}

/// Lets slots and grants be used as long as the state is vouched for.
fn vouch(node: &Node, now: Moment) {
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
    let judged = servable(&control.state, &view, now);
    let served = judged
        .into_iter()
        .filter_map(|(replica, result)| Some((replica, result.ok()?)));
    served
        .filter_map(|(replica, servable)| {
            let assignment = control.state.assignments.get(&replica)?;
            let evidence = group_evidence(node, &view, assignment)?;
            let lead = view.get(&servable.lead)?;
            Some(Offer {
                targets: targets(control, &servable),
                replica: Some(replica),
                generation: servable.generation,
                instance: servable.lead.clone(),
                address: servable.address,
                domain: lead.domain.clone(),
                is_spread: servable.spans_fabrics,
                capacity: evidence,
                running: lead.latest.as_ref()?.report.running,
            })
        })
        .collect()
}

/// Returns the model of a replica and its adapters.
fn targets(control: &Control, servable: &Servable) -> Vec<Target> {
    let adapters = control
        .lists
        .models
        .get(&servable.model)
        .map(|model| model.adapters.clone());
    let models = std::iter::once(servable.model.clone()).chain(adapters.unwrap_or_default());
    models.map(Target::Model).collect()
}

/// Returns what the members of a replica bear together.
///
/// A replica is as warm as its coldest member, and its evidence as old as its
/// oldest report. Its life is that of the lead combined with the others', so
/// that a restart of any member closes the gate; requests are bound to the
/// life of the lead, which takes them.
fn group_evidence(node: &Node, view: &View, assignment: &Assignment) -> Option<CapacityReport> {
    let members: Option<Vec<Borne>> = assignment
        .members
        .iter()
        .map(|instance| borne(node, view, instance))
        .collect();
    let members = members?;
    let lead = members.first()?;
    Some(CapacityReport {
        boot: lead.boot,
        warm: members.iter().all(|member| member.bearing.warm),
        warm_limit: members
            .iter()
            .map(|member| member.bearing.warm_limit)
            .min()?,
        cold_limit: members
            .iter()
            .map(|member| member.bearing.cold_limit)
            .min()?,
        idle: is_idle(view, assignment),
        at: members.iter().map(|member| member.taken).min()?,
    })
}

/// Returns whether the lead of a replica reports nothing in progress.
fn is_idle(view: &View, assignment: &Assignment) -> bool {
    let lead = assignment.members.first().and_then(|lead| view.get(lead));
    let latest = lead.and_then(|seen| seen.latest.as_ref());
    latest.is_some_and(|sighting| sighting.report.running == 0)
}

/// Returns what an instance bears, if that is of the life that the view shows.
fn borne(node: &Node, view: &View, instance: &Instance) -> Option<Borne> {
    let boot: Uuid = view.get(instance)?.latest.as_ref()?.report.boot;
    node.known
        .borne(instance)
        .filter(|borne| borne.boot == boot)
}

/// Returns the offers of the plain backend servers that may take requests.
fn services(node: &Node, control: &Control, now: Moment) -> Vec<Offer> {
    let view = node.services();
    view.iter()
        .filter_map(|(instance, seen)| {
            let report = view.fresh_report(instance, now)?;
            let is_blocked = control.state.is_taken_out(instance, &seen.domain)
                || seen.listing == ListingState::Leaving
                || seen.is_suspected(now);
            if is_blocked {
                return None;
            }
            let borne = borne(node, &view, instance)?;
            Some(Offer {
                targets: vec![Target::Service(node.known.service(instance)?)],
                replica: None,
                generation: Generation::default(),
                instance: instance.clone(),
                address: seen.address,
                domain: seen.domain.clone(),
                is_spread: false,
                capacity: CapacityReport {
                    boot: borne.boot,
                    warm: borne.bearing.warm,
                    warm_limit: borne.bearing.warm_limit,
                    cold_limit: borne.bearing.cold_limit,
                    idle: report.running == 0,
                    at: borne.taken,
                },
                running: report.running,
            })
        })
        .collect()
}
