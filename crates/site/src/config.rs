//! The operators' configuration: routes, services, client accounts.

use name::{Account, Domain, Model, Service};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// One version of the configuration, whole.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// The version; versions grow.
    pub version: u64,
    /// The routes by host and then by prefix of the path.
    pub routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    /// The services by name.
    pub services: HashMap<Service, Arc<Spec>>,
    /// The client accounts by secret; `None` if the deployment has no accounts.
    pub accounts: Option<HashMap<Arc<str>, Arc<Holder>>>,
    /// What a caller's connection may do.
    pub limits: Limits,
}

impl Config {
    /// Returns the route with the longest prefix of `path` among those of `host`.
    ///
    /// Prefixes end with a slash, so only the parts of the path before a slash
    /// can match.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        path.rmatch_indices('/')
            .find_map(|(at, _)| routes.get(&path[..=at]))
    }

    /// Returns every service that serves models.
    pub fn engines(&self) -> impl Iterator<Item = (&Service, &Engine)> {
        self.services
            .iter()
            .filter_map(|(name, spec)| Some((name, spec.engine.as_ref()?)))
    }
}

/// What may be repeated of a route's requests.
#[common::key]
pub enum Kind {
    /// Any number of times.
    Safe,
    /// Never: at most once for each attempt of a caller.
    Unsafe,
    /// A stream that another server may take up after the last event.
    Resumable,
    /// A stream that runs at most once.
    Stream,
}

impl Kind {
    /// Returns whether a second server may run the request after the first may have.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Returns whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }
}

/// One route.
#[derive(Debug, Clone)]
pub struct Route {
    /// The name.
    pub name: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, is on time.
    pub objective: Duration,
    /// The longest pause between events that is on time.
    pub pause: Duration,
    /// The rank; zero goes first.
    pub priority: u32,
    /// The services with their weights.
    pub services: Vec<(Service, u32)>,
    /// The most servers that may run one attempt.
    pub attempts: u32,
    /// Whether requests need no client account.
    pub is_anonymous: bool,
}

/// One service.
#[derive(Debug, Clone)]
pub struct Spec {
    /// The requests per second that a cold server bears.
    pub cold_per_s: f64,
    /// The most connections of a server, from all nodes together.
    pub max_connections: u32,
    /// The costs of model engines; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// The costs and models of a service of model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The requests that a replica works on at once.
    pub slots: u32,
    /// The tokens that a replica's memory holds.
    pub memory_tokens: u64,
    /// The time of one token step with no requests.
    pub step: Duration,
    /// What each request adds to a step.
    pub step_per_request: Duration,
    /// What each thousand tokens of context add to a step.
    pub step_per_context: Duration,
    /// The prompt tokens that are read in a second.
    pub read_per_s: f64,
    /// The time of reading a million pairs of a token and an earlier one.
    pub pairs_per_million: Duration,
    /// The token steps of one pass.
    pub stride: u32,
    /// The most prompt tokens that are read in one step.
    pub chunk: u32,
    /// The mean tokens of a prompt.
    pub usual_prompt: f64,
    /// The mean tokens of an answer.
    pub usual_answer: f64,
    /// How long an engine takes to open a replica.
    pub forming: Duration,
    /// The loads of weights that may start in a second, over all engines.
    pub loads_per_s: f64,
    /// The loads at once beyond which each takes longer.
    pub loads_at_once: u32,
    /// The models.
    pub models: Vec<Weights>,
}

impl Engine {
    /// Returns what is known of `model`.
    pub fn weights(&self, model: &Model) -> Option<&Weights> {
        self.models.iter().find(|w| w.model == *model)
    }
}

/// One model of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Weights {
    /// The model.
    pub model: Model,
    /// The engines of a replica.
    pub size: usize,
    /// The part of the work that asks for this model at the start.
    pub share: f64,
    /// The factor on all of a replica's times.
    pub pace: f64,
    /// The time of a load from the weight store.
    pub load: Duration,
    /// The time of a load from the host.
    pub warm: Duration,
}

/// The holder of a secret.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The client account.
    pub account: Account,
    /// The account's rank, which goes before the route's.
    pub priority: Option<u32>,
}

/// What a caller's connection may do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The longest body, in bytes.
    pub max_body_bytes: usize,
    /// How long the headers may take to arrive.
    pub header_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns limits for the time before a configuration is known.
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// A change that operators made.
#[derive(Debug, Clone)]
pub enum Change {
    /// A new configuration.
    Config(Box<Config>),
    /// A failure domain gets no new work.
    TakeOut(Domain),
    /// A failure domain gets work again.
    BringBack(Domain),
}
