//! The choice of the connections that are closed.

use crate::connection::Phase;
use std::{
    cmp::Reverse,
    collections::HashMap,
    net::IpAddr,
    time::{Duration, Instant},
};

/// The time without a byte after which a head or a body counts as stalled.
///
/// A lost packet is sent again within 200 to 600 ms.
pub const STALL_TIME: Duration = Duration::from_millis(1_000);

/// A connection as it is at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Snapshot {
    /// The client's address.
    pub peer: IpAddr,
    /// What the connection does.
    pub phase: Phase,
    /// When the phase began.
    pub since: Instant,
    /// When the last byte was received.
    pub received_at: Instant,
    /// Whether bytes of a response wait for the client to read.
    pub is_unsent: bool,
}

impl Snapshot {
    /// Returns whether nothing is lost if the connection is closed.
    fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::New | Phase::Idle) && !self.is_unsent
    }

    /// Returns whether the client has begun a request and sends nothing.
    fn is_stalled(&self, now: Instant) -> bool {
        let is_sending = matches!(self.phase, Phase::Head | Phase::Body);
        let quiet_since = self.received_at.max(self.since);
        is_sending && now.saturating_duration_since(quiet_since) >= STALL_TIME
    }
}

/// Returns the positions of at most `count` connections to close so that others find room,
/// in this order.
///
/// Connections with a stalled head or body come before idle ones. Among them, those of the
/// address with the most connections come first, then those that have sent nothing for
/// the longest time. Complete requests, requests that make progress, and bodies for which
/// this process has no memory are not closed.
pub fn closable(connections: &[Snapshot], now: Instant, count: usize) -> Vec<usize> {
    first(connections, count, |connection| {
        let is_stalled = connection.is_stalled(now);
        (is_stalled || connection.is_idle()).then_some(!is_stalled)
    })
}

/// Returns the positions of at most `count` connections that are not used for another
/// request, so that others find room, in this order.
///
/// They are those whose request is complete, of the address with the most connections
/// first. Otherwise clients that send one request after the other would keep their places
/// for good.
pub fn finishable(connections: &[Snapshot], count: usize) -> Vec<usize> {
    first(connections, count, |connection| {
        (connection.phase == Phase::Busy).then_some(())
    })
}

/// Returns the positions of the first `count` connections that have a rank: by rank, by the
/// number of connections of their address, and by the time without a byte.
fn first<R: Ord>(
    connections: &[Snapshot],
    count: usize,
    rank: impl Fn(&Snapshot) -> Option<R>,
) -> Vec<usize> {
    let mut by_address: HashMap<IpAddr, usize> = HashMap::new();
    for connection in connections {
        *by_address.entry(connection.peer).or_default() += 1;
    }
    let mut candidates: Vec<_> = connections
        .iter()
        .enumerate()
        .filter_map(|(position, connection)| {
            let of_address = by_address.get(&connection.peer).copied();
            let quiet_since = connection.received_at.max(connection.since);
            Some((
                rank(connection)?,
                Reverse(of_address),
                quiet_since,
                position,
            ))
        })
        .collect();
    candidates.sort_unstable();
    candidates
        .into_iter()
        .take(count)
        .map(|(.., position)| position)
        .collect()
}

#[cfg(test)]
mod tests;
