//! The planner's decisions from what it knows of the servers, without I/O.

use crate::probe::{Probes, Query};
use clock::Moment;
use form::{Inputs, Planner, Step};
use name::{Instance, Service};
use site::{Config, Server};
use std::collections::{HashMap, HashSet};

/// The state of a node while it is the planner.
#[derive(Debug)]
pub(crate) struct Planning {
    pub(crate) planners: HashMap<Service, Planner>,
    pub(crate) probes: Probes,
    pub(crate) token: u64,
}

/// A server in the tables, or a member whose entry was removed.
#[derive(Debug, Clone)]
pub(crate) struct KnownServer {
    pub(crate) server: Server,
    /// Whether its failure domain may get requests.
    pub(crate) is_in_service: bool,
    /// Whether its entry is still in the tables.
    pub(crate) is_listed: bool,
}

impl Planning {
    /// Returns the state of a planner that has queried no engine yet.
    pub(crate) fn new(token: u64) -> Self {
        Self {
            planners: HashMap::new(),
            probes: Probes::default(),
            token,
        }
    }

    /// Returns the queries to send to engines now.
    pub(crate) fn due_queries(
        &mut self,
        servers: &[KnownServer],
        config: &Config,
        suspects: &HashSet<Instance>,
        max_queries: usize,
        now: Moment,
    ) -> Vec<Query> {
        let engines: HashMap<Instance, Server> = servers
            .iter()
            .map(|known| &known.server)
            .filter(|s| {
                let spec = config.services.get(&s.service);
                spec.is_some_and(|spec| spec.engine.is_some())
            })
            .map(|server| (server.id.clone(), server.clone()))
            .collect();
        let watched: HashSet<&Instance> = self
            .planners
            .values()
            .flat_map(Planner::engines_in_transition)
            .collect();
        let is_watched = |id: &Instance| watched.contains(id);
        self.probes
            .due_queries(&engines, is_watched, suspects, max_queries, now)
    }

    /// Runs one step of a service's planner.
    pub(crate) fn plan(
        &mut self,
        service: &Service,
        servers: &[KnownServer],
        has_unrepeatable: bool,
        inputs: &Inputs<'_>,
        now: Moment,
    ) -> Step {
        let probes = &self.probes;
        let engines: HashMap<Instance, form::Engine> = servers
            .iter()
            .filter(|known| known.server.service == *service)
            .filter_map(|known| {
                let engine =
                    probes.engine(&known.server, known.is_in_service, has_unrepeatable, now)?;
                Some(form::Engine {
                    has_entry: known.is_listed,
                    ..engine
                })
            })
            .map(|engine| (engine.id().clone(), engine))
            .collect();
        let token = self.token;
        let planner = self
            .planners
            .entry(service.clone())
            .or_insert_with(|| Planner::new(token));
        planner.step(engines, inputs, now)
    }
}
