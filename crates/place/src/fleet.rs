//! Backend servers and what requests can be sent to.

use name::{Domain, Instance, Model, Replica, Service};
use site::{
    config::Config,
    server::{Change, Phase, Server},
};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

/// Something that takes requests: an open replica or a server of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The server that takes the requests.
    pub server: Instance,
    /// Its life, which a restart changes.
    pub born: u64,
    /// Where it takes them.
    pub address: SocketAddr,
    /// The service.
    pub service: Service,
    /// The failure domain.
    pub domain: Domain,
    /// The model that the replica serves; `None` for a plain service.
    pub model: Option<Model>,
    /// The requests that it works on at once.
    pub slots: u32,
    /// Whether it was cold when it last renewed its entry.
    pub is_cold: bool,
    /// The replica and its generation; `None` for a plain service.
    pub replica: Option<(Replica, u64)>,
}

/// All backend servers that a node knows of.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    servers: HashMap<Instance, Server>,
    /// Servers that were found dead in the life given, ahead of their entries.
    lost: HashMap<Instance, u64>,
    taken_out: HashSet<Domain>,
}

impl Fleet {
    /// Returns the server with a name.
    pub fn server(&self, id: &Instance) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Applies a change of one entry.
    ///
    /// An entry of an earlier life than the one known is out of date.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Gone(id) => {
                self.servers.remove(&id);
                self.lost.remove(&id);
            }
            Change::Is(server) => {
                let known = self.servers.get(&server.id).map_or(0, |s| s.born);
                if server.born >= known {
                    self.servers.insert(server.id.clone(), *server);
                }
            }
        }
    }

    /// Replaces all entries by those of a snapshot.
    pub fn replace(&mut self, changes: impl IntoIterator<Item = Change>) {
        self.servers.clear();
        for change in changes {
            self.apply(change);
        }
        let servers = &self.servers;
        self.lost.retain(|id, _| servers.contains_key(id));
    }

    /// Notes which servers were found dead, each in one life.
    pub fn set_lost(&mut self, lost: impl IntoIterator<Item = (Instance, u64)>) -> bool {
        let lost = lost.into_iter().collect();
        let is_changed = self.lost != lost;
        self.lost = lost;
        is_changed
    }

    /// Notes that a failure domain is taken out or brought back.
    pub fn take_out(&mut self, domain: Domain, is_out: bool) {
        if is_out {
            self.taken_out.insert(domain);
        } else {
            self.taken_out.remove(&domain);
        }
    }

    /// Brings back all failure domains.
    pub fn bring_all_back(&mut self) {
        self.taken_out.clear();
    }

    /// Returns whether a failure domain is taken out.
    pub fn is_taken_out(&self, domain: &Domain) -> bool {
        self.taken_out.contains(domain)
    }

    /// Returns whether a server was found dead in its present life.
    pub fn is_lost(&self, server: &Server) -> bool {
        self.lost.get(&server.id) == Some(&server.born)
    }

    /// Returns what may take new requests.
    pub fn targets(&self, config: &Config) -> Vec<Target> {
        let mut members: HashMap<(&str, u64), usize> = HashMap::new();
        for server in self.servers.values().filter(|s| self.is_sound(s)) {
            if let Some(member) = &server.engine.member {
                let key = (member.replica.as_str(), member.generation);
                *members.entry(key).or_default() += 1;
            }
        }
        let usable = self.servers.values().filter(|s| self.is_usable(s));
        usable
            .filter_map(|server| target(server, config, &members))
            .collect()
    }

    /// Returns whether what is in progress at a target will never end.
    ///
    /// A replica stands still when a member is lost. Members that leave stay
    /// until the head has finished, so that they do not count as lost.
    pub fn is_doomed(&self, target: &Target, config: &Config) -> bool {
        let is_same = |s: &&Server| s.born == target.born && !self.is_lost(s);
        let Some(head) = self.servers.get(&target.server).filter(is_same) else {
            return true;
        };
        let Some((replica, generation)) = &target.replica else {
            return false;
        };
        let is_member = |s: &&Server| {
            let member = s.engine.member.as_ref();
            member.is_some_and(|m| m.replica == *replica && m.generation == *generation)
        };
        if !is_member(&head) {
            return true;
        }
        let size = config
            .services
            .get(&target.service)
            .and_then(|spec| spec.engine.as_ref())
            .zip(target.model.as_ref())
            .and_then(|(engine, model)| engine.weights(model))
            .map_or(1, |weights| weights.size);
        let servers = self.servers.values();
        let present = servers.filter(|s| is_member(s) && !self.is_lost(s)).count();
        present < size
    }

    /// Returns whether a server lives and stays.
    fn is_sound(&self, server: &Server) -> bool {
        !server.is_leaving && !self.is_lost(server)
    }

    /// Returns whether a server may get new requests.
    fn is_usable(&self, server: &Server) -> bool {
        self.is_sound(server) && !self.is_taken_out(&server.domain)
    }
}

/// Returns the target that a server is, given the sound members of each replica.
fn target(
    server: &Server,
    config: &Config,
    members: &HashMap<(&str, u64), usize>,
) -> Option<Target> {
    let spec = config.services.get(&server.service)?;
    let (model, slots) = match &spec.engine {
        None => (None, server.slots),
        Some(engine) if engine.models.iter().all(|w| w.size <= 1) => {
            (server.engine.models.first().cloned(), engine.slots)
        }
        Some(engine) => {
            let member = server.engine.member.as_ref()?;
            if member.rank != 0 || member.phase != Phase::Open {
                return None;
            }
            let model = server.engine.models.first()?;
            let size = engine.weights(model)?.size;
            let key = (member.replica.as_str(), member.generation);
            if members.get(&key).copied().unwrap_or(0) < size {
                return None;
            }
            (Some(model.clone()), engine.slots)
        }
    };
    let member = server.engine.member.as_ref().filter(|_| model.is_some());
    Some(Target {
        server: server.id.clone(),
        born: server.born,
        address: server.address,
        service: server.service.clone(),
        domain: server.domain.clone(),
        model,
        slots: slots.max(1),
        is_cold: !server.cold_for.is_zero(),
        replica: member.map(|m| (m.replica.clone(), m.generation)),
    })
}
