//! Data model of the account list and the plan list.

use std::{collections::BTreeMap, fmt, sync::Arc};

/// The SHA-256 hash of an API key or operator token, in lower-case hex.
#[common::value]
#[derive(PartialOrd, Ord, Hash)]
#[serde(transparent)]
pub struct Digest(pub Arc<str>);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// The account list and the plan list.
#[common::value]
#[derive(Default)]
pub struct Lists {
    /// The client accounts, by name.
    pub accounts: BTreeMap<name::Account, Account>,
    /// The operators, by name.
    pub operators: BTreeMap<Arc<str>, Operator>,
    /// The plans, by name.
    pub plans: BTreeMap<Arc<str>, Plan>,
    /// The models that plans refer to, by name.
    pub models: BTreeMap<name::Model, Model>,
    /// The plain services that plans refer to, by name.
    pub services: BTreeMap<name::Service, Service>,
}

/// A client account.
#[common::value]
pub struct Account {
    /// The plan's name.
    pub plan: Arc<str>,
    /// The hashes of the valid API keys; two during a rotation.
    pub keys: Vec<Digest>,
}

/// An operator, with access to the administration API.
#[common::value]
pub struct Operator {
    /// The hashes of the valid tokens; two during a rotation.
    pub tokens: Vec<Digest>,
}

/// The limits and permissions of the accounts on one plan.
#[common::value]
pub struct Plan {
    /// The fair-share weight of each account, relative to accounts on other plans.
    pub weight: u32,
    /// The most tokens per second of an account, prompt and completion together.
    pub tokens_per_s: u32,
    /// The most requests that an account may start per second.
    pub requests_per_s: u32,
    /// The most concurrent requests of an account.
    pub concurrency: u32,
    /// The priority classes, most urgent first.
    pub classes: Vec<name::Class>,
    /// The models and adapters that the plan may use.
    pub models: Vec<name::Model>,
    /// The services that the plan may call.
    pub services: Vec<name::Service>,
}

/// A model and the configuration of its replicas.
#[common::value]
pub struct Model {
    /// The version to load.
    pub version: Arc<str>,
    /// The number of instances in a replica.
    pub members: u32,
    /// The share of all instances that serve this model, relative to other models.
    pub weight: u32,
    /// The adapters that each replica loads.
    pub adapters: Vec<name::Model>,
}

/// A plain service.
#[common::value]
pub struct Service {
    /// The calls, by name.
    pub calls: BTreeMap<Arc<str>, Call>,
}

/// A call of a plain service.
#[common::value]
pub struct Call {
    /// Whether repeating the call has no further effect.
    pub idempotent: bool,
    /// The weight of a completed call when completed work is counted.
    pub weight: u32,
}
