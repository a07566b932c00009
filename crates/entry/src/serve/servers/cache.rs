//! Tracks the engines' prefix caches by their store and eviction events.

use super::{Lease, Server, Servers};
use backend::proto::CacheEvents;
use clock::Moment;
use name::Instance;
use route::prefix;
use std::{net::SocketAddr, time::Duration};

/// How long after a draft to a replica the events of its cache are read.
pub(super) const CACHE_FOLLOW_TIME: Duration = Duration::from_secs(10);

/// The state of reading the events of one engine's prefix cache.
#[derive(Debug, Clone, Default)]
pub(super) struct Cache {
    /// The number of its latest reset, see [`Servers::cache_resets`]; 0 before the first.
    pub(super) reset_number: u64,
    /// The number of the next event to read.
    next_event: u64,
    /// When this node last sent a draft with a prefix to the engine.
    sent_at: Option<Moment>,
    /// When its events were last requested.
    requested_at: Option<Moment>,
}

impl Cache {
    /// Returns a cache after reset `reset_number`, with no event read.
    pub(super) fn after_reset(reset_number: u64) -> Self {
        Self {
            reset_number,
            ..Self::default()
        }
    }
}

/// A read of cache events that is due.
#[derive(Debug, Clone)]
pub(crate) struct CacheRead {
    /// The engine.
    pub(crate) instance: Instance,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// The number of the first event to read.
    pub(crate) from: u64,
    /// The replica and the cache reset after which the events are expected.
    holder: prefix::Holder,
}

impl Servers {
    /// Records that a draft whose prompt has `hashes` is sent to the server of `lease`.
    ///
    /// `name` is the engines' hash of the prompt's prefix.
    pub(crate) fn record_sent(
        &mut self,
        lease: &Lease,
        engine_hash: u64,
        hashes: &[u64],
        now: Moment,
    ) {
        if hashes.is_empty() {
            return;
        }
        self.engine_prefixes.insert(engine_hash, hashes);
        if let Some(server) = self.servers.get_mut(&lease.offer.instance) {
            server.cache.sent_at = Some(now);
        }
    }

    /// Returns the cache reads that are due, least recently read first.
    ///
    /// Returns at most `max_reads`, and only for servers to which this node sent a
    /// draft within [`CACHE_FOLLOW_TIME`].
    pub(crate) fn due_cache_reads(&mut self, max_reads: usize, now: Moment) -> Vec<CacheRead> {
        let is_due = |server: &Server| {
            let sent_at = server.cache.sent_at;
            server.is_offered
                && sent_at.is_some_and(|sent_at| now.since(sent_at) < CACHE_FOLLOW_TIME)
        };
        let mut due: Vec<(&Instance, &mut Server)> = self
            .servers
            .iter_mut()
            .filter(|(_, server)| is_due(server))
            .collect();
        due.sort_by_key(|(_, server)| server.cache.requested_at);
        let reads = due.into_iter().take(max_reads).map(|(instance, server)| {
            server.cache.requested_at = Some(now);
            CacheRead {
                instance: instance.clone(),
                address: server.offer.address,
                from: server.cache.next_event,
                holder: prefix::Holder {
                    key: server.key,
                    life: server.cache.reset_number,
                },
            }
        });
        reads.collect()
    }

    /// Applies the events returned by `read` to the affinity index.
    ///
    /// Events from before the latest cache reset are discarded. A store event adds the
    /// first block only, since the engine's hash covers no more; an eviction also
    /// removes the longer prefixes.
    pub(crate) fn apply_cache_events(
        &mut self,
        read: &CacheRead,
        events: &CacheEvents,
        now: Moment,
    ) {
        let holder = read.holder;
        let Some(server) = self.servers.get_mut(&read.instance) else {
            return;
        };
        if server.key != holder.key || server.cache.reset_number != holder.life {
            return;
        }
        server.cache.next_event = events.next.max(read.from);
        for event in &events.events {
            let Some(route_prefixes) = self.engine_prefixes.get(event.prefix) else {
                continue;
            };
            if event.stored {
                for hash in &route_prefixes.first_block {
                    self.prefixes.store(*hash, holder, now);
                }
            } else {
                for hash in route_prefixes
                    .first_block
                    .iter()
                    .chain(&route_prefixes.longer)
                {
                    self.prefixes.evict(*hash, holder);
                }
            }
        }
    }
}
