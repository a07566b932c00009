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
    pub services: HashMap<Service, Arc<ServiceSpec>>,
    /// The client accounts by secret; `None` if the deployment has no accounts.
    pub accounts: Option<HashMap<Arc<str>, Arc<KeyHolder>>>,
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
    pub fn engines(&self) -> impl Iterator<Item = (&Service, &EngineSpec)> {
        self.services
            .iter()
            .filter_map(|(name, spec)| Some((name, spec.engine.as_ref()?)))
    }
}

/// What may be repeated of a route's requests.
#[common::key]
pub enum RouteKind {
    /// Any number of times.
    Safe,
    /// Never: at most once for each attempt of a caller.
    Unsafe,
    /// A stream that another server may take up after the last event.
    Resumable,
    /// A stream that runs at most once.
    Stream,
}

impl RouteKind {
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
    pub kind: RouteKind,
    /// The longest time a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, is on time.
    pub latency_objective: Duration,
    /// The longest pause between events that is on time.
    pub event_gap_objective: Duration,
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
pub struct ServiceSpec {
    /// The requests per second that a cold server bears.
    pub cold_requests_per_s: f64,
    /// The most connections of a server, from all nodes together.
    pub max_connections: u32,
    /// The costs of model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// The costs and models of a service of model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// The requests that a replica works on at once.
    pub slots: u32,
    /// The tokens that a replica's memory holds.
    pub kv_cache_tokens: u64,
    /// The time of one token step with no requests.
    pub step_time: Duration,
    /// What each request adds to a step.
    pub step_time_per_request: Duration,
    /// What each thousand tokens of context add to a step.
    pub step_time_per_1k_context: Duration,
    /// The prompt tokens that are read in a second.
    pub prefill_tokens_per_s: f64,
    /// The time of reading a million pairs of a token and an earlier one.
    pub attention_time_per_million_pairs: Duration,
    /// The token steps of one pass.
    pub steps_per_pass: u32,
    /// The most prompt tokens that are read in one step.
    pub prefill_chunk_tokens: u32,
    /// The mean tokens of a prompt.
    pub mean_prompt_tokens: f64,
    /// The mean tokens of an answer.
    pub mean_answer_tokens: f64,
    /// How long an engine takes to open a replica.
    pub open_time: Duration,
    /// The loads of weights that may start in a second, over all engines.
    pub loads_per_s: f64,
    /// The loads at once beyond which each takes longer.
    pub loads_at_once: u32,
    /// The models.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// Returns what is known of `model`.
    pub fn model(&self, model: &Model) -> Option<&ModelSpec> {
        self.models.iter().find(|w| w.model == *model)
    }
}

/// One model of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// The model.
    pub model: Model,
    /// The engines of a replica.
    pub replica_size: usize,
    /// The part of the work that asks for this model at the start.
    pub expected_share: f64,
    /// The factor on all of a replica's times.
    pub time_factor: f64,
    /// The time of a load from the weight store.
    pub load_time: Duration,
    /// The time of a load from the host.
    pub warm_load_time: Duration,
}

/// The holder of a secret.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
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
