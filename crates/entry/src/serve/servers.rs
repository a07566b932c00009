//! Slots and loads of the replicas and plain backend servers.
//!
//! A survey of the backend servers replaces the offers a few times a second;
//! between surveys, leases are granted and released. Servers are keyed by the
//! instance that takes their requests, so that slots bound the requests in
//! progress at that instance, whichever replica it leads.

mod cache;

use admit::slot::{CapacityReport, Completion, Ending, Gate, Ownership, Permit, Timing};
use cache::Cache;
use clock::Moment;
use name::{
    Domain, Generation, Incarnation, Instance, Model, Node, Offset, Region, Replica, Service,
};
use rand::Rng;
use route::{Candidate, EnginePrefixMap, Load, Policy, Request, choose, prefix};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use uuid::Uuid;

/// The maximum number of slots of one server.
const MAX_SLOTS_PER_SERVER: u32 = 128;

/// The maximum number of prefixes in the affinity index.
const MAX_PREFIXES: usize = 20_000;

/// How long an entry of the affinity index is valid without renewal.
const PREFIX_TTL: Duration = Duration::from_secs(300);

/// The maximum number of engine prefix hashes that are mapped to routing hashes.
const MAX_ENGINE_PREFIXES: usize = 4_000;

/// The model or service that a request is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Target {
    /// A model or adapter.
    Model(Model),
    /// A plain service.
    Service(Service),
}

/// A server that may take requests, as found by a survey.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Offer {
    /// The models or services served: a model with its adapters, or one service.
    pub(crate) targets: Vec<Target>,
    /// The replica; none for a plain backend server.
    pub(crate) replica: Option<Replica>,
    /// The replica's generation; zero for a plain backend server.
    pub(crate) generation: Generation,
    /// The instance that takes requests.
    pub(crate) instance: Instance,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// Its failure domain.
    pub(crate) domain: Domain,
    /// Whether the replica spans fabric domains, which is slow.
    pub(crate) is_spread: bool,
    /// The reported capacity: warm or cold, and the limit for each.
    pub(crate) capacity: CapacityReport,
    /// Requests running and waiting, as reported.
    pub(crate) running: u32,
}

/// A server with its slots.
#[derive(Debug)]
struct Server {
    offer: Offer,
    gate: Gate,
    load: Load,
    /// Whether the last survey included it.
    is_offered: bool,
    /// The affinity key of the replica, or of a plain backend server's instance.
    key: u64,
    cache: Cache,
}

/// The right to one request at one server.
#[derive(Debug)]
pub(crate) struct Lease {
    /// The slot.
    pub(crate) permit: Permit,
    /// The server's offer when the lease was granted.
    pub(crate) offer: Arc<Offer>,
    /// The affinity key of the server.
    pub(crate) key: u64,
}

impl Lease {
    /// Returns the address, boot id and generation to send the request to.
    pub(crate) fn target(&self) -> backend::Target {
        backend::Target {
            address: self.offer.address,
            boot: self.required_boot(),
            generation: self.offer.generation,
        }
    }

    /// Returns the boot id that must run the request; none if any boot may.
    fn required_boot(&self) -> Option<Uuid> {
        (!self.permit.is_cold()).then(|| self.permit.boot())
    }
}

/// The epoch that divides the slots among nodes, and when this node applied it.
#[derive(Debug, Clone)]
struct AppliedEpoch {
    ownership: Ownership,
    base: Option<Offset>,
    applied_at: Moment,
}

/// The identity and location of this node; servers close to it are preferred.
#[derive(Debug, Clone)]
pub(crate) struct Location {
    pub(crate) node: Node,
    pub(crate) incarnation: Incarnation,
    pub(crate) domain: Domain,
    pub(crate) region: Region,
}

/// The backend servers that this node can send requests to.
#[derive(Debug)]
pub(crate) struct Servers {
    location: Location,
    timing: Timing,
    policy: Policy,
    epoch: Option<AppliedEpoch>,
    log_view_confirmed_until: Moment,
    servers: BTreeMap<Instance, Server>,
    by_target: HashMap<Target, Vec<Instance>>,
    prefixes: prefix::Index,
    engine_prefixes: EnginePrefixMap,
    /// The number of prefix cache resets seen so far, over all servers.
    cache_resets: u64,
    choice_count: u64,
}

impl Servers {
    /// Returns a node's servers before the first survey.
    pub(crate) fn new(location: Location, timing: Timing, policy: Policy) -> Self {
        Self {
            location,
            timing,
            policy,
            epoch: None,
            log_view_confirmed_until: Moment::START,
            servers: BTreeMap::new(),
            by_target: HashMap::new(),
            prefixes: prefix::Index::new(MAX_PREFIXES, PREFIX_TTL),
            engine_prefixes: EnginePrefixMap::new(MAX_ENGINE_PREFIXES),
            cache_resets: 0,
            choice_count: 0,
        }
    }

    /// Applies the epoch that divides the slots; `base` is the one it replaced.
    pub(crate) fn apply_epoch(&mut self, ownership: Ownership, base: Option<Offset>, now: Moment) {
        for server in self.servers.values_mut() {
            server.gate.apply_epoch(&ownership, base, now);
        }
        self.epoch = Some(AppliedEpoch {
            ownership,
            base,
            applied_at: now,
        });
    }

    /// Extends to `until` the time for which this node's view of the log is confirmed.
    pub(crate) fn confirm_log_view(&mut self, until: Moment) {
        self.log_view_confirmed_until = self.log_view_confirmed_until.max(until);
        for server in self.servers.values_mut() {
            server.gate.confirm_log_view(until);
        }
    }

    /// Replaces all offers with those of a new survey.
    pub(crate) fn apply_survey(&mut self, offers: Vec<Offer>) {
        for server in self.servers.values_mut() {
            server.is_offered = false;
        }
        self.by_target.clear();
        for offer in offers {
            for target in &offer.targets {
                self.by_target
                    .entry(target.clone())
                    .or_default()
                    .push(offer.instance.clone());
            }
            self.apply_offer(offer);
        }
        let before = self.servers.len();
        self.servers
            .retain(|_, server| server.is_offered || server.gate.in_use() > 0);
        if self.servers.len() < before {
            let keys: HashSet<u64> = self.servers.values().map(|server| server.key).collect();
            self.prefixes.retain(|key| keys.contains(&key));
        }
    }

    /// Applies one offer of a survey to its server.
    fn apply_offer(&mut self, offer: Offer) {
        let (epoch, confirmed_until) = (self.epoch.clone(), self.log_view_confirmed_until);
        let owner = (self.location.node.clone(), self.location.incarnation);
        let timing = self.timing.clone();
        let key = affinity_key(&offer);
        let server = self
            .servers
            .entry(offer.instance.clone())
            .or_insert_with(|| {
                let mut gate =
                    Gate::new(offer.instance.as_str(), owner, MAX_SLOTS_PER_SERVER, timing);
                if let Some(AppliedEpoch {
                    ownership,
                    base,
                    applied_at,
                }) = &epoch
                {
                    gate.apply_epoch(ownership, *base, *applied_at);
                }
                gate.confirm_log_view(confirmed_until);
                Server {
                    offer: offer.clone(),
                    gate,
                    load: Load::default(),
                    is_offered: true,
                    key,
                    cache: Cache::default(),
                }
            });
        let is_same_cache = server.key == key
            && server.offer.generation == offer.generation
            && server.offer.capacity.boot == offer.capacity.boot;
        if !is_same_cache || server.cache.reset_number == 0 {
            self.cache_resets += 1;
            let reset_number = self.cache_resets;
            server.key = key;
            server.cache = Cache::after_reset(reset_number);
            self.prefixes.begin_life(prefix::Holder {
                key,
                life: reset_number,
            });
        }
        server.gate.observe(offer.capacity.clone());
        server.load.report(offer.running, offer.capacity.at);
        server.offer = offer;
        server.is_offered = true;
    }

    /// Returns whether a slot for `target` is free.
    pub(crate) fn has_free_slot(&self, target: &Target, now: Moment) -> bool {
        self.servers_for(target)
            .any(|server| server.gate.available(now) > 0)
    }

    /// Returns whether any server offers `target`.
    pub(crate) fn is_served(&self, target: &Target) -> bool {
        self.servers_for(target).next().is_some()
    }

    /// Returns the servers that offer `target`.
    fn servers_for(&self, target: &Target) -> impl Iterator<Item = &Server> {
        let instances = self.by_target.get(target).into_iter().flatten();
        instances
            .filter_map(|instance| self.servers.get(instance))
            .filter(|s| s.is_offered)
    }

    /// Grants a slot for `target` at the best server, if one is free.
    pub(crate) fn acquire(
        &mut self,
        target: &Target,
        prefix: &[u64],
        avoid: &[u64],
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<Lease> {
        let candidates = self.candidates(target, now);
        let affinity = self.prefixes.find(prefix, now);
        self.choice_count += 1;
        let request = Request {
            domain: &self.location.domain,
            region: &self.location.region,
            prefix,
            avoid,
            choice_count: self.choice_count,
        };
        let (instances, candidates): (Vec<_>, Vec<_>) = candidates.into_iter().unzip();
        let choice = choose(&candidates, &request, &affinity, self.policy, rng)?;
        let server = self.servers.get_mut(&instances[choice.index])?;
        let permit = server.gate.try_acquire(now)?;
        server.load.start(now);
        let key = candidates[choice.index].key;
        let life = server.cache.reset_number;
        for hash in prefix {
            self.prefixes
                .store(*hash, prefix::Holder { key, life }, now);
        }
        Some(Lease {
            permit,
            offer: Arc::new(server.offer.clone()),
            key,
        })
    }

    /// Returns the servers with a free slot for `target`.
    fn candidates(&self, target: &Target, now: Moment) -> Vec<(Instance, Candidate)> {
        self.servers_for(target)
            .filter(|server| server.gate.available(now) > 0)
            .map(|server| (server.offer.instance.clone(), self.candidate(server, now)))
            .collect()
    }

    /// Returns a server as a candidate for routing.
    fn candidate(&self, server: &Server, now: Moment) -> Candidate {
        let offer = &server.offer;
        let capacity = &offer.capacity;
        Candidate {
            key: server.key,
            replica: routing_name(offer),
            generation: offer.generation,
            domain: offer.domain.clone(),
            region: self.location.region.clone(),
            capacity: if capacity.warm {
                capacity.warm_limit
            } else {
                capacity.cold_limit
            },
            load: server.load.estimate(now),
            has_version: true,
            has_adapter: !offer.is_spread,
        }
    }

    /// Releases a lease and records how its request ended.
    pub(crate) fn release(&mut self, lease: Lease, completion: Completion, now: Moment) {
        if let Some(server) = self.servers.get_mut(&lease.offer.instance) {
            server.load.end(now);
            server.gate.release(lease.permit, completion, now);
        }
    }

    /// Records a connection reset, which closes the server to its cold limit.
    pub(crate) fn record_connection_reset(&mut self, instance: &Instance, now: Moment) {
        if let Some(server) = self.servers.get_mut(instance) {
            server.gate.record_connection_reset(now);
        }
    }

    /// Releases a lease that was not used.
    pub(crate) fn release_unused(&mut self, lease: Lease, now: Moment) {
        let unused = Completion {
            ending: Ending::Failed,
            first_token: None,
        };
        self.release(lease, unused, now);
    }

    /// Returns the number of free slots for each target.
    pub(crate) fn free_slots(&self, now: Moment) -> BTreeMap<Target, u32> {
        let mut free_slots = BTreeMap::new();
        for target in self.by_target.keys() {
            let count: usize = self
                .servers_for(target)
                .map(|s| s.gate.available(now))
                .sum();
            free_slots.insert(target.clone(), u32::try_from(count).unwrap_or(u32::MAX));
        }
        free_slots
    }

    /// Returns the requests in progress, by failure domain.
    pub(crate) fn in_progress(&self) -> BTreeMap<Domain, u32> {
        let mut counts = BTreeMap::new();
        for server in self
            .servers
            .values()
            .filter(|server| server.gate.in_use() > 0)
        {
            let count = u32::try_from(server.gate.in_use()).unwrap_or(u32::MAX);
            *counts.entry(server.offer.domain.clone()).or_default() += count;
        }
        counts
    }

    /// Returns each server's offer, this node's requests in progress
    /// there and its open slots.
    pub(crate) fn describe(&self, now: Moment) -> Vec<(Offer, usize, usize)> {
        let servers = self.servers.values();
        servers
            .map(|s| (s.offer.clone(), s.gate.in_use(), s.gate.open_slots(now)))
            .collect()
    }
}

/// Returns the name of a server in routing: its replica or its instance.
fn routing_name(offer: &Offer) -> Replica {
    let instance = || {
        Replica::try_from(offer.instance.as_str())
            .expect("an instance name is a valid replica name")
    };
    offer.replica.clone().unwrap_or_else(instance)
}

/// Returns the affinity key of a server.
fn affinity_key(offer: &Offer) -> u64 {
    route::replica_key(&routing_name(offer))
}

#[cfg(test)]
mod tests;
