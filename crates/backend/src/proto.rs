//! The published protocols of the external systems: JSON over HTTP/1.1.
//!
//! | route | request body | response |
//! |---|---|---|
//! | `GET /v1/report` (engine, service) | none | [`Report`] |
//! | `POST /v1/order` (engine) | [`Order`] | 200, or 409 with [`Refusal`] for a stale fencing token |
//! | `POST /v1/generate` (engine) | [`Generate`] | server-sent events, each data line a [`Frame`] |
//! | `POST /v1/cancel` (engine) | [`Cancel`] | 200 |
//! | `GET /v1/cache-events?from=N` (engine) | none | [`CacheEvents`] |
//! | `POST /v1/call/{name}` (service) | any JSON | [`CallAnswer`] |
//! | `GET /v1/instances` (instance list) | none | [`InstanceList`] |
//! | `GET /v1/weights/{model}` (weight store) | none | [`Weights`], or 429 above the request rate |
//!
//! Requests to an engine or service carry [`ATTEMPT_HEADER`]; the response and
//! each of its frames repeat the attempt ID. A request to a service that must not
//! run twice carries the idempotency key in [`IDEMPOTENCY_KEY_HEADER`].
//!
//! 409 with [`Refusal`], and 503 with [`REFUSED_HEADER`], guarantee that the
//! request was not run and will not be. No other status guarantees that.

use name::{Attempt, Domain, Fabric, Generation, Instance, Model, Replica};
use std::{net::SocketAddr, sync::Arc};
use uuid::Uuid;

/// The header with the attempt ID.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";

/// The header with the generation of the replica that the request addresses.
pub const GENERATION_HEADER: &str = "x-generation";

/// The header with the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The header that marks a 503 as a refusal, with the value `1`.
pub const REFUSED_HEADER: &str = "x-refused";

/// The kind of backend server on an instance.
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
    /// The engine belongs to no replica.
    Idle,
    /// The engine loads weights.
    Loading,
    /// The engine has loaded its weights and waits for the other members.
    Joining,
    /// The engine serves as a member of its replica.
    Ready,
    /// The engine finishes its running requests and accepts no new ones.
    Leaving,
}

/// The report of a backend server on its own state.
#[common::value]
pub struct Report {
    /// The instance.
    pub instance: Instance,
    /// The boot ID of this incarnation; each start of the server draws a new one.
    pub boot: Uuid,
    /// The kind of backend server.
    pub role: Role,
    /// The phase.
    pub phase: Phase,
    /// The replica that it belongs to, by its own state.
    pub replica: Option<Replica>,
    /// The generation of that membership; zero without one.
    pub generation: Generation,
    /// Its position among the replica's members, from 0.
    pub member: u32,
    /// The loaded models and adapters, as `model@version`.
    pub loaded: Vec<Arc<str>>,
    /// Whether it has warmed up and can take its full load.
    pub warm: bool,
    /// The max concurrent requests of a warm server.
    pub warm_limit: u32,
    /// The max concurrent requests of a cold server.
    pub cold_limit: u32,
    /// The number of requests in progress; this figure lags.
    pub running: u32,
    /// The number of requests queued in the server; this figure lags.
    pub waiting: u32,
    /// Whether it checks fencing tokens.
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
        /// The replica's generation, which is the fencing token.
        generation: Generation,
        /// The engine's position among the members, from 0.
        member: u32,
        /// The addresses of all members, by position.
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
        /// The generation of the membership to end, or a later one.
        generation: Generation,
    },
}

/// The refusal of a stale order or request by an engine.
#[common::value]
pub struct Refusal {
    /// The highest generation that the engine has received.
    pub seen: Generation,
}

/// A generation request to the first member of a replica.
#[common::value]
pub struct Generate {
    /// The attempt ID, repeated in each frame.
    pub attempt: Attempt,
    /// The model, or an adapter of it.
    pub model: Model,
    /// The prompt.
    pub prompt: String,
    /// The text that was already delivered; generation continues after it.
    pub resume_after: String,
    /// The number of tokens already delivered.
    pub resume_tokens: u32,
    /// The max tokens of the whole answer, including those already delivered.
    pub max_tokens: u32,
    /// The priority; lower is more urgent.
    pub priority: u32,
    /// The random seed, which determines the answer.
    pub seed: u64,
}

/// A frame of a generated answer.
#[common::value]
pub struct Frame {
    /// The attempt that the frame belongs to.
    pub attempt: Attempt,
    /// The generation of the replica that generated it.
    pub generation: Generation,
    /// The frame's index in the whole answer, from 0 for the first token.
    pub index: u32,
    /// The text.
    pub text: String,
    /// The reason why the answer ended; set in the last frame only.
    pub finish: Option<Finish>,
}

/// Why a generated answer ended.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended the answer.
    Stop,
    /// The answer reached its max length.
    Length,
    /// The engine failed.
    Error,
}

/// A request to stop an attempt.
#[common::value]
pub struct Cancel {
    /// The attempt to stop.
    pub attempt: Attempt,
}

/// The response of a plain service.
#[common::value]
pub struct CallAnswer {
    /// The attempt that the response belongs to.
    pub attempt: Attempt,
    /// The result of the call.
    pub result: serde_json::Value,
}

/// Events of an engine's prefix cache, which arrive late and with gaps.
#[common::value]
pub struct CacheEvents {
    /// The event number to read from next.
    pub next: u64,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// An event of an engine's prefix cache.
#[common::value]
pub struct CacheEvent {
    /// The event's number.
    pub number: u64,
    /// The hash of the prompt prefix.
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// The platform's list of instances, which lags behind their state.
#[common::value]
pub struct InstanceList {
    /// The instances that are live or leaving.
    pub instances: Vec<ListedInstance>,
}

/// An instance in the platform's list.
#[common::value]
pub struct ListedInstance {
    /// The instance.
    pub instance: Instance,
    /// The address of its backend server.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// The network fabric that it belongs to.
    pub fabric: Fabric,
    /// The kind of its backend server.
    pub role: Role,
    /// The service that it offers; set for [`Role::Service`] only.
    pub service: Option<name::Service>,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The weight store's description of a model's weights.
#[common::value]
pub struct Weights {
    /// The model.
    pub model: Model,
    /// The size of the weights in MiB.
    pub mib: u32,
}

/// The length of a prompt's prefix, in bytes.
pub const PREFIX_BYTES: usize = 256;

/// Returns the hash of the prompt's prefix, as used in [`CacheEvent::prefix`].
///
/// The prefix is cut before [`PREFIX_BYTES`] if a character crosses that limit.
pub fn prefix_hash(prompt: &str) -> u64 {
    let mut end = prompt.len().min(PREFIX_BYTES);
    while !prompt.is_char_boundary(end) {
        end -= 1;
    }
    name::rendezvous_score("prefix", &prompt[..end])
}
