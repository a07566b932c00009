//! The replicas that could serve, by the state of the engines themselves.

use crate::{World, engine, host::Mode};
use backend::proto::{Phase, Role};
use name::{Generation, Instance, Model, Replica};
use std::collections::BTreeSet;

/// A replica that could serve.
#[common::value]
pub struct Serving {
    /// The replica.
    pub replica: Replica,
    /// Its generation.
    pub generation: Generation,
    /// The model.
    pub model: Model,
    /// The members, by position.
    pub members: Vec<Instance>,
    /// Whether the members are in several fabrics.
    pub is_spread: bool,
}

/// A snapshot of the state of all engines.
#[common::value]
pub struct Survey {
    /// The replicas that could serve.
    pub serving: Vec<Serving>,
    /// The engines that are up but belong to no replica that could serve.
    pub stranded: Vec<Instance>,
}

impl Survey {
    /// Collects the state of all engines of `world`.
    pub(crate) fn new(world: &World) -> Self {
        let serving: Vec<_> = world.servers().iter().filter_map(serving).collect();
        let used = serving.iter().flat_map(|replica| &replica.members);
        let used: BTreeSet<_> = used.collect();
        let engines = world.servers().iter();
        let stranded = engines.filter(|engine| {
            let listed = engine.listed();
            listed.role == Role::Engine
                && engine.host.mode() == Mode::Up
                && !used.contains(&listed.instance)
        });
        let stranded = stranded.map(|engine| engine.listed().instance.clone());
        Self {
            stranded: stranded.collect(),
            serving,
        }
    }
}

/// Returns the replica whose first member is `server`, if it could serve.
fn serving(server: &std::sync::Arc<crate::Server>) -> Option<Serving> {
    let state = server.lock();
    let is_ready = state.phase == Phase::Ready && server.host.mode() == Mode::Up;
    let membership = state.membership.clone();
    drop(state);
    let membership = membership.filter(|m| m.member == 0 && is_ready)?;
    if !engine::members_present(server, &membership) {
        return None;
    }
    let members = engine::members(server, &membership);
    Some(Serving {
        is_spread: engine::is_spread(server, &membership),
        members: members.map(|m| m.listed.instance.clone()).collect(),
        replica: membership.replica,
        generation: membership.generation,
        model: membership.model,
    })
}
