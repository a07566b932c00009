//! What a node follows of the engines' prefix caches.

use super::{Lease, Server, Servers};
use backend::proto::CacheEvents;
use clock::Moment;
use name::Instance;
use route::prefix;
use std::{net::SocketAddr, time::Duration};

/// How long after a draft the events of a replica's cache are of interest.
pub(super) const CACHE_INTEREST: Duration = Duration::from_secs(10);

/// What a node follows of one engine's prefix cache.
#[derive(Debug, Clone, Default)]
pub(super) struct Cache {
    /// The number of its life among all that this node has seen.
    pub(super) life: u64,
    /// The number of the next event.
    next: u64,
    /// When this node last sent a draft with a prefix there.
    sent: Option<Moment>,
    /// When its events were last asked for.
    asked: Option<Moment>,
}

impl Cache {
    /// Returns a cache at the begin of a life.
    pub(super) fn begin(life: u64) -> Self {
        Self {
            life,
            ..Self::default()
        }
    }
}

/// A cache whose events are to be read.
#[derive(Debug, Clone)]
pub(crate) struct CacheRead {
    /// The engine.
    pub(crate) instance: Instance,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// The number of the first event wanted.
    pub(crate) from: u64,
    /// The life that the events are believed to be of.
    holder: prefix::Holder,
}

impl Servers {
    /// Notes that a draft whose prompt has `hashes` goes to the server of `lease`;
    /// `name` is the engines' name of its prefix.
    pub(crate) fn sent(&mut self, lease: &Lease, name: u64, hashes: &[u64], now: Moment) {
        if hashes.is_empty() {
            return;
        }
        self.naming.insert(name, hashes);
        if let Some(server) = self.servers.get_mut(&lease.offer.instance) {
            server.cache.sent = Some(now);
        }
    }

    /// Returns at most `most` caches to read of replicas that had drafts from
    /// this node lately, those first that were not asked for longest.
    pub(crate) fn caches_due(&mut self, most: usize, now: Moment) -> Vec<CacheRead> {
        let is_due = |server: &Server| {
            let sent = server.cache.sent;
            server.is_offered && sent.is_some_and(|sent| now.since(sent) < CACHE_INTEREST)
        };
        let mut due: Vec<(&Instance, &mut Server)> = self
            .servers
            .iter_mut()
            .filter(|(_, server)| is_due(server))
            .collect();
        due.sort_by_key(|(_, server)| server.cache.asked);
        let reads = due.into_iter().take(most).map(|(instance, server)| {
            server.cache.asked = Some(now);
            CacheRead {
                instance: instance.clone(),
                address: server.offer.address,
                from: server.cache.next,
                holder: prefix::Holder {
                    key: server.key,
                    life: server.cache.life,
                },
            }
        });
        reads.collect()
    }

    /// Takes in what `read` brought; events of a life that has ended are dropped.
    ///
    /// A store event speaks of the first block only, since the engine's name
    /// covers no more; an eviction ends the longer prefixes too.
    pub(crate) fn take_cache(&mut self, read: &CacheRead, events: &CacheEvents, now: Moment) {
        let holder = read.holder;
        let Some(server) = self.servers.get_mut(&read.instance) else {
            return;
        };
        if server.key != holder.key || server.cache.life != holder.life {
            return;
        }
        server.cache.next = events.next.max(read.from);
        for event in &events.events {
            let Some(meaning) = self.naming.get(event.prefix) else {
                continue;
            };
            if event.stored {
                for hash in &meaning.first_block {
                    self.prefixes.store(*hash, holder, now);
                }
            } else {
                for hash in meaning.first_block.iter().chain(&meaning.longer) {
                    self.prefixes.evict(*hash, holder);
                }
            }
        }
    }
}
