//! The other entry nodes (peers): connections to them, and the service they call.

mod accept;
mod auth;
mod messages;
pub(crate) mod server;
mod slots;
#[cfg(test)]
mod tests;

pub(crate) use auth::Authenticator;
pub(crate) use messages::{
    AgedReport, Capacity, Observation, ObservationQuery, decode_heartbeat, decode_heartbeat_reply,
    encode_free_slots, encode_heartbeat, encode_heartbeat_reply,
};

use crate::serve::servers::Target;
use clock::Moment;
use name::Node;
use slots::PeerSlots;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tonic::{
    service::interceptor::InterceptedService,
    transport::{Channel, Endpoint},
};
use wire::{FreeSlots, peer_client::PeerClient};

/// The time limit for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The time limit for a ping's answer, after which the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// The interval between pings.
const PING_INTERVAL: Duration = Duration::from_secs(2);

/// A client of one peer.
pub(crate) type Client = PeerClient<InterceptedService<Channel, Authenticator>>;

/// Connections to the peers, and the free slots that they reported.
///
/// The two locks are leaves: no other lock is taken while one is held.
#[derive(Debug)]
pub(crate) struct Peers {
    authenticator: Authenticator,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
    free: Mutex<PeerSlots>,
}

/// Takes a lock, even if it is poisoned by a panic.
fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Peers {
    /// Returns a table without connections.
    ///
    /// `authenticator` authenticates this node to peers.
    pub(crate) fn new(authenticator: Authenticator) -> Self {
        Self {
            authenticator,
            channels: Mutex::default(),
            free: Mutex::default(),
        }
    }

    /// Returns the client of the peer at `address`, which connects on first use.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is not a valid endpoint.
    pub(crate) fn client(&self, address: SocketAddr) -> Result<Client, tonic::transport::Error> {
        let mut channels = lock(&self.channels);
        let channel = match channels.get(&address) {
            Some(channel) => channel.clone(),
            None => {
                let channel = connect(address)?;
                channels.insert(address, channel.clone());
                channel
            }
        };
        Ok(PeerClient::with_interceptor(
            channel,
            self.authenticator.clone(),
        ))
    }

    /// Replaces the free slots of a peer with those it reported.
    pub(crate) fn record_free_slots(
        &self,
        node: Node,
        address: SocketAddr,
        free: &[FreeSlots],
        now: Moment,
    ) {
        lock(&self.free).replace(node, address, free, now);
    }

    /// Reserves a free slot for `target` at one of two randomly chosen peers.
    ///
    /// The slot counts as used until the peer's next report.
    pub(crate) fn reserve_slot(
        &self,
        target: &Target,
        tried: &[Node],
        now: Moment,
    ) -> Option<Node> {
        lock(&self.free).reserve(target, tried, now, &mut rand::rng())
    }

    /// Returns the address of `node`, if it has reported free slots.
    pub(crate) fn address(&self, node: &Node) -> Option<SocketAddr> {
        lock(&self.free).address(node)
    }
}

/// Returns a channel that connects on first use.
fn connect(address: SocketAddr) -> Result<Channel, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?;
    let channel = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .connect_lazy();
    Ok(channel)
}
