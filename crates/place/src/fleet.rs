//! The known backend servers, and the targets that they form.

use clock::Moment;
use name::{Domain, Instance, Model, Replica, Service};
use site::{
    config::Config,
    server::{Change, Phase, Server},
};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

/// The maximum number of members whose entries are kept after removal.
const MAX_REMOVED_ENTRIES: usize = 512;

/// How long it is remembered which servers without an entry have left.
///
/// The store executes records up to some seconds late.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(60);

/// The maximum number of servers without an entry that are remembered.
const MAX_DEPARTED: usize = 4_096;

/// The incarnation of servers whose entries name none.
const UNKNOWN_INCARNATION: u64 = 0;

/// The healthy members of each replica with their incarnations, by the replica's name
/// and generation.
type Members<'a> = HashMap<(&'a str, u64), Vec<(Instance, u64)>>;

/// A destination for requests: an open replica, or a server of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The server that receives the requests.
    pub server: Instance,
    /// The server's incarnation, which changes with each restart.
    pub incarnation: u64,
    /// The address that receives the requests.
    pub address: SocketAddr,
    /// The service.
    pub service: Service,
    /// The failure domain.
    pub domain: Domain,
    /// The model that the replica serves; `None` for a plain service.
    pub model: Option<Model>,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the server was cold at the last renewal of its entry.
    pub is_cold: bool,
    /// The replica and its generation; `None` for a plain service.
    pub replica: Option<(Replica, u64)>,
    /// The members of the replica with their incarnations.
    pub members: Vec<(Instance, u64)>,
}

/// The newest record of a server that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Version {
    /// The incarnation that wrote the record.
    pub incarnation: u64,
    /// The number of the record in the incarnation; `None` if it is not known.
    pub sequence: Option<u64>,
}

impl Version {
    /// Returns the version of an entry.
    fn of(server: &Server) -> Self {
        Self {
            incarnation: server.incarnation,
            sequence: server.sequence,
        }
    }

    /// Returns whether a record was written before this one.
    ///
    /// Without an incarnation, a lower number may be that of a server that started again.
    fn is_after(self, other: Self) -> bool {
        let is_same = self.incarnation == other.incarnation;
        let is_ordered = is_same && self.incarnation != UNKNOWN_INCARNATION;
        let is_numbered_before =
            matches!((other.sequence, self.sequence), (Some(a), Some(b)) if a < b);
        other.incarnation < self.incarnation || (is_ordered && is_numbered_before)
    }
}

/// An entry that is not applied, since a newer record of its server is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outdated {
    /// The entry.
    pub server: Box<Server>,
    /// The newer record.
    pub known: Version,
}

/// An incarnation of a server that is leaving.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    incarnation: u64,
    /// When a node learned of it first.
    since: Moment,
}

/// A server whose entry was removed.
#[derive(Debug, Clone, Copy)]
struct Departed {
    last: Version,
    at: Moment,
    /// Whether the last record counts as older than the removal.
    ///
    /// It does not after a return of the store from an older copy, since servers then write
    /// the same record again.
    is_closed: bool,
}

/// A server whose entry is back after a removal.
#[derive(Debug, Clone, Copy)]
struct Returned {
    incarnation: u64,
    /// When a node learned first that it had no entry.
    removed_at: Moment,
    /// Whether the server confirmed that it is back.
    is_confirmed: bool,
}

/// All backend servers known to a node.
///
/// A record may be executed by the store seconds after it was sent, or read twice. So
/// records of a server are ordered by their incarnation and number, not by their arrival.
/// That an incarnation is leaving is never undone, whatever a later record says.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    servers: HashMap<Instance, Server>,
    /// Servers detected as dead, with the dead incarnation; their entries may still
    /// exist.
    dead: HashMap<Instance, u64>,
    /// The last entries of members whose entries were removed.
    removed: HashMap<Instance, Server>,
    /// The removed members that still respond, with their incarnations.
    unlisted: HashMap<Instance, u64>,
    /// Servers that are known to be leaving, with their incarnations.
    leaving: HashMap<Instance, Leaving>,
    /// Servers without an entry, with the last version of it.
    departed: HashMap<Instance, Departed>,
    /// Servers whose entries are back after a removal.
    returned: HashMap<Instance, Returned>,
    taken_out: HashSet<Domain>,
}

impl Fleet {
    /// Returns the entry of a server.
    pub fn server(&self, id: &Instance) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns the entries of all servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns a change as it is to be applied: an entry of an incarnation that is known to
    /// be leaving says so.
    ///
    /// # Errors
    ///
    /// Returns the entry and the known version if the change is an older record.
    pub fn check(&self, change: Change) -> Result<Change, Outdated> {
        let Change::Updated(mut server) = change else {
            return Ok(change);
        };
        let version = Version::of(&server);
        if let Some(known) = self.servers.get(&server.id) {
            let known = Version::of(known);
            if known.is_after(version) {
                return Err(Outdated { server, known });
            }
            if known.incarnation == version.incarnation {
                server.sequence = version.sequence.or(known.sequence);
            }
        } else if let Some(departed) = self.departed.get(&server.id) {
            let is_last = departed.last == version && version.sequence.is_some();
            if departed.last.is_after(version) || (departed.is_closed && is_last) {
                let known = departed.last;
                return Err(Outdated { server, known });
            }
        }
        let leaving = self.leaving.get(&server.id);
        server.is_leaving |= leaving.is_some_and(|l| l.incarnation == server.incarnation);
        Ok(Change::Updated(server))
    }

    /// Applies a change of one entry, unless it is an older record.
    pub fn apply(&mut self, change: Change, now: Moment) {
        match self.check(change) {
            Ok(Change::Removed(id)) => {
                self.returned.remove(&id);
                if let Some(server) = self.servers.remove(&id) {
                    self.record_departure(&server, now);
                    self.keep_removed_member(server);
                }
            }
            Ok(Change::Updated(server)) => {
                self.removed.remove(&server.id);
                self.unlisted.remove(&server.id);
                self.record_return(&server);
                if server.is_leaving {
                    self.set_leaving(&server.id, server.incarnation, now);
                }
                self.servers.insert(server.id.clone(), *server);
            }
            Err(_) => {}
        }
    }

    /// Remembers the last version of a removed entry.
    fn record_departure(&mut self, server: &Server, now: Moment) {
        if server.incarnation == UNKNOWN_INCARNATION {
            self.leaving.remove(&server.id);
            return;
        }
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.clear();
        }
        let departed = Departed {
            last: Version::of(server),
            at: now,
            is_closed: true,
        };
        self.departed.insert(server.id.clone(), departed);
    }

    /// Records that a server has an entry.
    ///
    /// If the same incarnation had one that was removed, it is either back or a late renewal:
    /// an entry changes only if more than its number does, so the number does not tell.
    fn record_return(&mut self, server: &Server) {
        let departed = self.departed.remove(&server.id);
        let incarnation = server.incarnation;
        let departed = departed.filter(|departed| departed.last.incarnation == incarnation);
        if let Some(departed) = departed {
            self.doubt(&server.id, incarnation, departed.at);
        } else if !self.is_returned(&server.id, incarnation) {
            self.returned.remove(&server.id);
        }
    }

    /// Returns whether the entry of an incarnation is back after a removal.
    fn is_returned(&self, id: &Instance, incarnation: u64) -> bool {
        let returned = self.returned.get(id);
        returned.is_some_and(|returned| returned.incarnation == incarnation)
    }

    /// Has an incarnation of a server confirm that it is back.
    fn doubt(&mut self, id: &Instance, incarnation: u64, removed_at: Moment) {
        let returned = Returned {
            incarnation,
            removed_at,
            is_confirmed: false,
        };
        self.returned.insert(id.clone(), returned);
    }

    /// Returns whether an incarnation of a server has yet to confirm that it is back.
    pub fn is_unconfirmed(&self, id: &Instance, incarnation: u64) -> bool {
        let returned = self.returned.get(id);
        returned.is_some_and(|r| r.incarnation == incarnation && !r.is_confirmed)
    }

    /// Records that an incarnation of a server confirmed that it is back.
    pub fn confirm(&mut self, id: &Instance, incarnation: u64) {
        let returned = self.returned.get_mut(id);
        if let Some(returned) = returned.filter(|r| r.incarnation == incarnation) {
            returned.is_confirmed = true;
        }
    }

    /// Records that an incarnation of a server had no entry at another node, which learned
    /// it at `removed_at`; returns whether the server has to confirm that it is back.
    ///
    /// A node that has just started does not know which entries were removed before.
    pub fn record_absence(&mut self, id: &Instance, incarnation: u64, removed_at: Moment) -> bool {
        if let Some(server) = self.servers.get(id) {
            let is_new = server.incarnation == incarnation
                && !server.is_leaving
                && !self.is_returned(id, incarnation);
            if is_new {
                self.doubt(id, incarnation, removed_at);
            }
            return is_new;
        }
        let known = self.departed.get(id);
        let is_known = known.is_some_and(|known| known.last.incarnation >= incarnation);
        if !is_known && self.departed.len() < MAX_DEPARTED {
            let departed = Departed {
                last: Version {
                    incarnation,
                    sequence: None,
                },
                at: removed_at,
                is_closed: true,
            };
            self.departed.insert(id.clone(), departed);
        }
        false
    }

    /// Returns the servers whose entries were removed and that have not confirmed that they
    /// are back, with their incarnations and when a node learned it first.
    pub fn absent(&self) -> impl Iterator<Item = (&Instance, u64, Moment)> {
        let departed = self.departed.iter();
        let departed = departed.map(|(id, d)| (id, d.last.incarnation, d.at));
        let returned = self.returned.iter().filter(|(_, r)| !r.is_confirmed);
        departed.chain(returned.map(|(id, r)| (id, r.incarnation, r.removed_at)))
    }

    /// Begins an era of the store, in which servers write their last records again.
    pub fn begin_era(&mut self) {
        for departed in self.departed.values_mut() {
            departed.is_closed = false;
        }
    }

    /// Keeps the last entry of a member whose entry was removed.
    ///
    /// The member may have lost only its connection to the store. Its replica keeps
    /// serving as long as the member responds, which is assumed until the planner
    /// reports otherwise.
    fn keep_removed_member(&mut self, server: Server) {
        if server.engine.membership.is_none() || server.is_leaving {
            return;
        }
        if self.removed.len() >= MAX_REMOVED_ENTRIES {
            self.removed.clear();
            self.unlisted.clear();
        }
        self.unlisted.insert(server.id.clone(), server.incarnation);
        self.removed.insert(server.id.clone(), server);
    }

    /// Replaces the set of members that respond without having an entry, with their
    /// incarnations; returns whether the set changed.
    pub fn set_unlisted(&mut self, members: impl IntoIterator<Item = (Instance, u64)>) -> bool {
        replace_incarnations(&mut self.unlisted, members)
    }

    /// Returns the members that respond without having an entry, with their
    /// incarnations.
    pub fn unlisted(&self) -> Vec<(Instance, u64)> {
        let unlisted = self.unlisted.iter();
        unlisted
            .map(|(id, incarnation)| (id.clone(), *incarnation))
            .collect()
    }

    /// Returns the last entries of members whose entries were removed.
    pub fn removed(&self) -> impl Iterator<Item = &Server> {
        self.removed.values()
    }

    /// Returns the last entries of healthy members that respond without having an
    /// entry.
    fn unlisted_members(&self) -> impl Iterator<Item = &Server> {
        let is_member = |server: &&Server| {
            self.unlisted.get(&server.id) == Some(&server.incarnation) && self.is_healthy(server)
        };
        self.removed.values().filter(is_member)
    }

    /// Replaces the set of servers detected as dead, with their incarnations; returns
    /// whether the set changed.
    pub fn set_dead(&mut self, dead: impl IntoIterator<Item = (Instance, u64)>) -> bool {
        let is_changed = replace_incarnations(&mut self.dead, dead);
        // The last entry of a dead member is no longer needed.
        let dead = &self.dead;
        self.removed
            .retain(|id, server| dead.get(id) != Some(&server.incarnation));
        is_changed
    }

    /// Records that an incarnation of a server is leaving, as a node learned at `since`;
    /// returns whether that is new.
    pub fn set_leaving(&mut self, id: &Instance, incarnation: u64, since: Moment) -> bool {
        let known = self.leaving.get(id);
        let is_known = known.is_some_and(|known| known.incarnation >= incarnation);
        let listed = self.servers.get(id);
        let is_replaced = listed.is_some_and(|server| server.incarnation > incarnation);
        let has_room = self.leaving.len() < MAX_DEPARTED || listed.is_some();
        if is_known || is_replaced || !has_room {
            return false;
        }
        let leaving = Leaving { incarnation, since };
        self.leaving.insert(id.clone(), leaving);
        for entries in [&mut self.servers, &mut self.removed] {
            if let Some(server) = entries.get_mut(id).filter(|s| s.incarnation == incarnation) {
                server.is_leaving = true;
            }
        }
        true
    }

    /// Returns the servers that are known to be leaving, with their incarnations and when a
    /// node learned of it first.
    pub fn leaving(&self) -> impl Iterator<Item = (&Instance, u64, Moment)> {
        let leaving = self.leaving.iter();
        leaving.map(|(id, leaving)| (id, leaving.incarnation, leaving.since))
    }

    /// Forgets servers that have left long ago.
    pub fn expire(&mut self, now: Moment) {
        let is_recent = |at: Moment| now.since(at) < DEPARTURE_MEMORY;
        self.departed.retain(|_, departed| is_recent(departed.at));
        let servers = &self.servers;
        self.leaving
            .retain(|id, leaving| servers.contains_key(id) || is_recent(leaving.since));
    }

    /// Returns the failure domains that are taken out of service.
    pub fn taken_out(&self) -> impl Iterator<Item = &Domain> {
        self.taken_out.iter()
    }

    /// Marks a failure domain as taken out of service or brought back.
    pub fn set_taken_out(&mut self, domain: Domain, is_out: bool) {
        if is_out {
            self.taken_out.insert(domain);
        } else {
            self.taken_out.remove(&domain);
        }
    }

    /// Brings all failure domains back into service.
    pub fn bring_all_back(&mut self) {
        self.taken_out.clear();
    }

    /// Returns whether a failure domain is taken out of service.
    pub fn is_taken_out(&self, domain: &Domain) -> bool {
        self.taken_out.contains(domain)
    }

    /// Returns whether the present incarnation of a server was detected as dead.
    pub fn is_dead(&self, server: &Server) -> bool {
        self.dead.get(&server.id) == Some(&server.incarnation)
    }

    /// Returns whether a target's server should be running: it has an entry of the same
    /// incarnation or a later one, and is not leaving.
    pub fn is_expected(&self, target: &Target) -> bool {
        let server = self.servers.get(&target.server);
        server.is_some_and(|server| server.incarnation >= target.incarnation && !server.is_leaving)
    }

    /// Returns the targets that accept new requests.
    pub fn targets(&self, config: &Config) -> Vec<Target> {
        self.candidates(config, |server| {
            !self.is_unconfirmed(&server.id, server.incarnation)
        })
    }

    /// Returns the targets that would accept new requests if their servers confirmed that
    /// they are back.
    pub fn unconfirmed_targets(&self, config: &Config) -> Vec<Target> {
        if self.returned.values().all(|returned| returned.is_confirmed) {
            return Vec::new();
        }
        self.candidates(config, |server| {
            self.is_unconfirmed(&server.id, server.incarnation)
        })
    }

    /// Returns the targets of available servers that are selected.
    fn candidates(&self, config: &Config, is_selected: impl Fn(&Server) -> bool) -> Vec<Target> {
        let mut members: Members<'_> = HashMap::new();
        let listed = self.servers.values().filter(|s| self.is_healthy(s));
        for server in listed.chain(self.unlisted_members()) {
            if let Some(member) = &server.engine.membership {
                let key = (member.replica.as_str(), member.generation);
                let incarnation = (server.id.clone(), server.incarnation);
                members.entry(key).or_default().push(incarnation);
            }
        }
        for incarnations in members.values_mut() {
            incarnations.sort();
        }
        let available = self.servers.values().filter(|s| self.is_available(s));
        available
            .filter(|server| is_selected(server))
            .filter_map(|server| to_target(server, config, &members))
            .collect()
    }

    /// Returns whether requests in progress at a target can no longer complete.
    ///
    /// A replica hangs when a member fails. A member that leaves stays until the head
    /// has finished its requests, even after the member's entry was removed, so only
    /// members detected as dead count here.
    pub fn has_failed(&self, target: &Target) -> bool {
        let is_dead = |(id, incarnation): &(Instance, u64)| self.dead.get(id) == Some(incarnation);
        let is_replaced = self.servers.get(&target.server).is_some_and(|head| {
            let member = head.engine.membership.as_ref();
            let replica = member.map(|m| (m.replica.clone(), m.generation));
            head.incarnation != target.incarnation
                || (target.replica.is_some() && replica != target.replica)
        });
        is_replaced
            || is_dead(&(target.server.clone(), target.incarnation))
            || target.members.iter().any(is_dead)
    }

    /// Returns whether a server is neither dead nor leaving.
    fn is_healthy(&self, server: &Server) -> bool {
        !server.is_leaving && !self.is_dead(server)
    }

    /// Returns whether a server accepts new requests.
    fn is_available(&self, server: &Server) -> bool {
        self.is_healthy(server) && !self.is_taken_out(&server.domain)
    }
}

/// Replaces a set of servers with incarnations; returns whether the set changed.
fn replace_incarnations(
    known: &mut HashMap<Instance, u64>,
    incarnations: impl IntoIterator<Item = (Instance, u64)>,
) -> bool {
    let incarnations = incarnations.into_iter().collect();
    std::mem::replace(known, incarnations) != *known
}

/// Returns the target for a server, if it is one, given the healthy members of each
/// replica.
fn to_target(server: &Server, config: &Config, members: &Members<'_>) -> Option<Target> {
    let spec = config.services.get(&server.service)?;
    let (model, slots) = match &spec.engine {
        None => (None, server.slots),
        Some(engine) if engine.models.iter().all(|w| w.replica_size <= 1) => {
            (server.engine.loaded_models.first().cloned(), engine.slots)
        }
        Some(engine) => {
            let member = server.engine.membership.as_ref()?;
            if member.rank != 0 || member.phase != Phase::Open {
                return None;
            }
            let model = server.engine.loaded_models.first()?;
            let size = engine.model(model)?.replica_size;
            let key = (member.replica.as_str(), member.generation);
            if members.get(&key).map_or(0, Vec::len) < size {
                return None;
            }
            (Some(model.clone()), engine.slots)
        }
    };
    let member = server
        .engine
        .membership
        .as_ref()
        .filter(|_| model.is_some());
    Some(Target {
        server: server.id.clone(),
        incarnation: server.incarnation,
        address: server.address,
        service: server.service.clone(),
        domain: server.domain.clone(),
        model,
        slots: slots.max(1),
        is_cold: !server.cold_time_left.is_zero(),
        replica: member.map(|m| (m.replica.clone(), m.generation)),
        members: member
            .and_then(|m| members.get(&(m.replica.as_str(), m.generation)))
            .cloned()
            .unwrap_or_default(),
    })
}
