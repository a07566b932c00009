//! The operators' configuration: routes, services, client accounts.

use name::{Account, Domain, Model, Service};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// One complete version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// The version; a later configuration has a higher one.
    pub version: u64,
    /// The routes by host and then by prefix of the path.
    pub routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    /// The services by name.
    pub services: HashMap<Service, Arc<ServiceSpec>>,
    /// The client accounts by secret; `None` if the deployment has no accounts.
    pub accounts: Option<HashMap<Arc<str>, Arc<KeyHolder>>>,
    /// The limits of callers' connections.
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

    /// Returns whether a service has routes whose requests run at most once.
    pub fn has_unrepeatable_routes(&self, service: &Service) -> bool {
        let mut routes = self.routes.values().flat_map(HashMap::values);
        routes.any(|route| {
            !route.kind.is_repeatable() && route.services.iter().any(|(name, _)| name == service)
        })
    }

    /// Returns the distinct priorities of each service's routes, most urgent first.
    pub fn priorities(&self) -> HashMap<Service, Vec<u32>> {
        let mut priorities: HashMap<Service, Vec<u32>> = HashMap::new();
        for route in self.routes.values().flat_map(HashMap::values) {
            for (service, _) in &route.services {
                let known = priorities.entry(service.clone()).or_default();
                if let Err(at) = known.binary_search(&route.priority) {
                    known.insert(at, route.priority);
                }
            }
        }
        priorities
    }

    /// Returns every service that serves models.
    pub fn engines(&self) -> impl Iterator<Item = (&Service, &EngineSpec)> {
        self.services
            .iter()
            .filter_map(|(name, spec)| Some((name, spec.engine.as_ref()?)))
    }
}

/// Whether a route's requests may be repeated and whether they stream.
#[common::key]
pub enum RouteKind {
    /// Requests may be repeated any number of times.
    Safe,
    /// Requests run at most once for each attempt of a caller.
    Unsafe,
    /// A stream that another server may resume after the last event.
    Resumable,
    /// A stream that runs at most once.
    Stream,
}

impl RouteKind {
    /// Returns whether a second server may run the request after the first one may
    /// have run it.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }
}

/// One route.
#[derive(Debug, Clone)]
pub struct Route {
    /// The name.
    pub name: Arc<str>,
    /// Whether requests may be repeated and whether they stream.
    pub kind: RouteKind,
    /// The maximum time that a caller waits.
    pub timeout: Duration,
    /// The objective for the time to the response or its first event.
    pub latency_objective: Duration,
    /// The objective for the time between two events.
    pub event_gap_objective: Duration,
    /// The priority; zero is served first.
    pub priority: u32,
    /// The services with their weights.
    pub services: Vec<(Service, u32)>,
    /// The maximum number of servers that may run one attempt.
    pub attempts: u32,
    /// Whether requests need no client account.
    pub is_anonymous: bool,
}

/// One service.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// The maximum request rate of a cold server.
    pub cold_requests_per_s: f64,
    /// The maximum number of connections to a server, from all nodes together.
    pub max_connections: u32,
    /// The path of health checks; `None` if servers answer none.
    pub health_path: Option<Arc<str>>,
    /// The parameters of model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// The parameters and models of a service of model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// The maximum number of concurrent requests of a replica.
    pub slots: u32,
    /// The capacity of a replica's key-value cache, in tokens.
    pub kv_cache_tokens: u64,
    /// The time of one decode step without requests.
    pub step_time: Duration,
    /// The step time that each request adds.
    pub step_time_per_request: Duration,
    /// The step time that each thousand tokens of context add.
    pub step_time_per_1k_context: Duration,
    /// The prefill rate, in prompt tokens per second.
    pub prefill_tokens_per_s: f64,
    /// The prefill time of a million pairs of a token and an earlier one.
    pub attention_time_per_million_pairs: Duration,
    /// The number of decode steps in one pass.
    pub steps_per_pass: u32,
    /// The maximum number of prompt tokens processed in one step.
    pub prefill_chunk_tokens: u32,
    /// The mean number of tokens in a prompt.
    pub mean_prompt_tokens: f64,
    /// The mean number of tokens in a response.
    pub mean_answer_tokens: f64,
    /// The time that an engine takes to open a replica.
    pub open_time: Duration,
    /// The maximum rate of loads from the weight store, over all engines.
    pub loads_per_s: f64,
    /// The number of concurrent loads beyond which each takes longer.
    pub loads_at_once: u32,
    /// The models.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// Returns the specification of `model`.
    pub fn model(&self, model: &Model) -> Option<&ModelSpec> {
        self.models.iter().find(|w| w.model == *model)
    }
}

/// One model of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// The model.
    pub model: Model,
    /// The number of engines in a replica.
    pub replica_size: usize,
    /// The fraction of the work that is expected for this model at the start.
    pub expected_share: f64,
    /// The factor on all latency parameters of a replica.
    pub time_factor: f64,
    /// The time of a load from the weight store.
    pub load_time: Duration,
    /// The time of a load of weights staged on the host.
    pub warm_load_time: Duration,
}

/// The holder of a secret.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// The client account.
    pub account: Account,
    /// The account's priority, which overrides the route's.
    pub priority: Option<u32>,
}

/// The limits of callers' connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of the head of a request, in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The time limit for receiving the head of a request, from its first byte.
    pub header_timeout: Duration,
    /// The idle timeout of a connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply before a configuration is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
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
    /// A failure domain is taken out of service and gets no new work.
    TakeOut(Domain),
    /// A failure domain is brought back into service.
    BringBack(Domain),
}
