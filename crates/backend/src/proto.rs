//! The published protocols of the systems outside: JSON over HTTP/1.1.
//!
//! | route | body | answer |
//! |---|---|---|
//! | `GET /v1/report` (engine, service) | none | [`Report`] |
//! | `POST /v1/order` (engine) | [`Order`] | 200, or 409 with [`Refusal`] for a stale fencing number |
//! | `POST /v1/generate` (engine) | [`Generate`] | server-sent events, each data line a [`Frame`] |
//! | `POST /v1/cancel` (engine) | [`Cancel`] | 200 |
//! | `GET /v1/cache-events?from=N` (engine) | none | [`CacheEvents`] |
//! | `POST /v1/call/{name}` (service) | any JSON | [`CallAnswer`] |
//! | `GET /v1/instances` (instance list) | none | [`InstanceList`] |
//! | `GET /v1/weights/{model}` (weight store) | none | [`Weights`], or 429 above the rate |
//!
//! Requests to an engine or service carry [`ATTEMPT_HEADER`]; the answer and
//! each of its frames repeat it. A request to a service that may not be repeated
//! carries the idempotency key in [`KEY_HEADER`].
//!
//! 409 with [`Refusal`], and 503 with [`REFUSED_HEADER`], state that the request
//! was not run and will not be. No other status states that.

use name::{Attempt, Domain, Fabric, Generation, Instance, Model, Replica};
use std::{net::SocketAddr, sync::Arc};
use uuid::Uuid;

/// The header that names the attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";

/// The header with the replica's generation that the request is meant for.
pub const GENERATION_HEADER: &str = "x-generation";

/// The header with the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// The header, with the value `1`, of a 503 to a request that was not run.
pub const REFUSED_HEADER: &str = "x-refused";

/// What runs on an instance.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A model engine, one member of a replica.
    Engine,
    /// A plain service.
    Service,
}

/// The phase of an engine.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It belongs to no replica.
    Idle,
    /// It loads weights.
    Loading,
    /// It is loaded, and waits for the other members.
    Joining,
    /// It serves as a member.
    Ready,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// A report of a backend server on itself.
#[common::value]
pub struct Report {
    /// The instance.
    pub instance: Instance,
    /// One life of the backend server; a restart draws another.
    pub boot: Uuid,
    /// What runs there.
    pub role: Role,
    /// The phase.
    pub phase: Phase,
    /// The replica that it believes it belongs to.
    pub replica: Option<Replica>,
    /// The generation of that membership; zero without one.
    pub generation: Generation,
    /// Its place in the replica, from 0.
    pub member: u32,
    /// The models, versions and adapters loaded, as `model@version`.
    pub loaded: Vec<Arc<str>>,
    /// Whether it has warmed up and bears the full load.
    pub warm: bool,
    /// Requests that a warm one bears at once.
    pub warm_limit: u32,
    /// Requests that a cold one bears at once.
    pub cold_limit: u32,
    /// Requests in progress, which lags.
    pub running: u32,
    /// Requests waiting inside, which lags.
    pub waiting: u32,
    /// Whether it checks fencing numbers.
    pub fences: bool,
}

/// An order to an engine.
#[common::value]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Become a member of a replica.
    Join {
        /// The replica.
        replica: Replica,
        /// The fencing number.
        generation: Generation,
        /// The place, from 0.
        member: u32,
        /// The addresses of all members in order.
        peers: Vec<SocketAddr>,
        /// The model to load.
        model: Model,
        /// The version to load.
        version: Arc<str>,
        /// The adapters to load.
        adapters: Vec<Model>,
    },
    /// Leave the replica and become idle.
    Leave {
        /// The fencing number of the membership that ends, or a later one.
        generation: Generation,
    },
}

/// Why an engine refused an order.
#[common::value]
pub struct Refusal {
    /// The highest fencing number that it has seen.
    pub seen: Generation,
}

/// A generation request to the first member of a replica.
#[common::value]
pub struct Generate {
    /// The attempt, repeated in each frame.
    pub attempt: Attempt,
    /// The model, or an adapter of it.
    pub model: Model,
    /// The prompt.
    pub prompt: String,
    /// Text that was already delivered; generation goes on behind it.
    pub resume_after: String,
    /// The number of tokens already delivered.
    pub resume_tokens: u32,
    /// The largest number of tokens in the whole answer.
    pub max_tokens: u32,
    /// The priority; lower is more urgent.
    pub priority: u32,
    /// The request's seed, which fixes the answer.
    pub seed: u64,
}

/// A frame of a generated answer.
#[common::value]
pub struct Frame {
    /// The attempt that this belongs to.
    pub attempt: Attempt,
    /// The generation of the replica that served it.
    pub generation: Generation,
    /// The frame's place in the whole answer, from 0 for the first token.
    pub index: u32,
    /// The text.
    pub text: String,
    /// Set in the last frame only.
    pub finish: Option<Finish>,
}

/// Why a generated answer ended.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended the answer.
    Stop,
    /// The answer reached its largest length.
    Length,
    /// The engine gave up.
    Error,
}

/// A request to stop an attempt.
#[common::value]
pub struct Cancel {
    /// The attempt.
    pub attempt: Attempt,
}

/// The answer of a plain service.
#[common::value]
pub struct CallAnswer {
    /// The attempt that this belongs to.
    pub attempt: Attempt,
    /// The result.
    pub result: serde_json::Value,
}

/// Events of an engine's prefix cache; late and with gaps.
#[common::value]
pub struct CacheEvents {
    /// The number to ask from next.
    pub next: u64,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// An event of an engine's prefix cache.
#[common::value]
pub struct CacheEvent {
    /// The number of the event.
    pub number: u64,
    /// The hash of the prompt prefix.
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// The platform's list of instances, which lags.
#[common::value]
pub struct InstanceList {
    /// The instances that are live or leaving.
    pub instances: Vec<Listed>,
}

/// An instance as the platform lists it.
#[common::value]
pub struct Listed {
    /// The instance.
    pub instance: Instance,
    /// The address of its backend server.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Its fabric domain.
    pub fabric: Fabric,
    /// What runs there.
    pub role: Role,
    /// The service that it offers, for the role of a service.
    pub service: Option<name::Service>,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The weights of a model as the weight store describes them.
#[common::value]
pub struct Weights {
    /// The model.
    pub model: Model,
    /// The size in MiB.
    pub mib: u32,
}

/// The bytes of a prompt that make its prefix.
pub const PREFIX_BYTES: usize = 256;

/// Returns the hash of the prompt's prefix, as [`CacheEvent::prefix`] states it.
pub fn prefix(prompt: &str) -> u64 {
    let mut end = prompt.len().min(PREFIX_BYTES);
    while !prompt.is_char_boundary(end) {
        end -= 1;
    }
    name::rendezvous_score("prefix", &prompt[..end])
}
