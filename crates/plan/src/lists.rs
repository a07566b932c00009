//! The data model of both lists.

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

/// Both lists.
#[common::value]
#[derive(Default)]
pub struct Lists {
    /// The client accounts, by name.
    pub accounts: BTreeMap<name::Account, Account>,
    /// The operators, by name.
    pub operators: BTreeMap<Arc<str>, Operator>,
    /// The plans, by name.
    pub plans: BTreeMap<Arc<str>, Plan>,
    /// The models that the plans use, by name.
    pub models: BTreeMap<name::Model, Model>,
    /// The plain services that the plans use, by name.
    pub services: BTreeMap<name::Service, Service>,
}

/// A client account.
#[common::value]
pub struct Account {
    /// The plan's name.
    pub plan: Arc<str>,
    /// The hashes of the API keys in force; two during a rotation.
    pub keys: Vec<Digest>,
}

/// An operator, who may use the administration API.
#[common::value]
pub struct Operator {
    /// The hashes of the tokens in force; two during a rotation.
    pub tokens: Vec<Digest>,
}

/// What the accounts of one plan may use.
#[common::value]
pub struct Plan {
    /// The share of each account relative to those of other plans.
    pub weight: u32,
    /// Tokens, prompt and answer, that an account may use in a second.
    pub tokens_per_s: u32,
    /// Requests that an account may start in a second.
    pub requests_per_s: u32,
    /// Requests of an account that may be in progress at once.
    pub concurrency: u32,
    /// The classes of work, most urgent first.
    pub classes: Vec<name::Class>,
    /// The models and adapters open to the plan.
    pub models: Vec<name::Model>,
    /// The services open to the plan.
    pub services: Vec<name::Service>,
}

/// A model, with the shape of its replicas.
#[common::value]
pub struct Model {
    /// The version to load.
    pub version: Arc<str>,
    /// The number of instances in a replica.
    pub members: u32,
    /// The share of the instances that serve this model, relative to the others'.
    pub weight: u32,
    /// The adapters that replicas load.
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
    /// Whether the call may be repeated without effect.
    pub idempotent: bool,
    /// The weight of a completed call in the service count.
    pub weight: u32,
}
