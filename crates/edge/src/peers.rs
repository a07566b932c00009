//! What nodes tell each other, by datagrams.
//!
//! A lost datagram costs the freshness of a hint and nothing else: what must be
//! agreed on stands in the platform's store.

use crate::{
    state::Shared,
    vouch::{self, Echo, News, Told},
};
use clock::Moment;
use name::{Instance, Model, Node};
use place::{Share, Work};
use serde::{Deserialize, Serialize};
use site::node::Card;
use slog::{info, warn};
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{net::UdpSocket, time::sleep};

/// The shortest time between two datagrams that a node sends to all others.
const MIN_ROUND: Duration = Duration::from_millis(400);

/// The time that each other node adds to it.
///
/// It bounds what a node sends and reads to about a hundred datagrams a second.
const ROUND_PER_PEER: Duration = Duration::from_millis(10);

/// The shortest time between two datagrams from and to the planner, which adds
/// up what the others have in progress and tells them.
const MIN_BEAT: Duration = Duration::from_millis(200);

/// How many intervals a node may be silent before it is thought gone.
const SILENT_INTERVALS: u32 = 4;

/// How long a node that is silent still counts when allowances are divided.
const COUNTED_FOR: Duration = Duration::from_secs(10);

/// How long datagrams are sent to a node that never answers.
const TRIED_FOR: Duration = Duration::from_secs(30);

/// The time that each other node adds to it.
///
/// It bounds what the planner sends and reads to about five hundred datagrams a
/// second.
const BEAT_PER_PEER: Duration = Duration::from_millis(2);

/// The part of the time between two datagrams after which an urgent one may follow.
const URGENT_PART: f64 = 0.4;

/// The datagrams of a new planner that leave out the sum, since not all others
/// have told it yet what they have in progress.
const BEATS_WITHOUT_SUM: u32 = 3;

/// The datagrams whose time of sending is remembered: those of some seconds.
const MAX_SENT: usize = 128;

/// The datagrams to the planner of which it is remembered what they told.
const MAX_TOLD: usize = 16;

/// The first byte of a datagram, which names its format.
const FORMAT: u8 = 1;

/// The longest datagram, in bytes.
const MAX_BYTES: usize = 60_000;

/// What a node tells the others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Beat {
    card: Card,
    /// Counts the datagrams of one life.
    number: u64,
    is_ready: bool,
    is_stopping: bool,
    /// The fencing token, if this node plans and sees the store.
    planner: Option<u64>,
    /// The engines that the planner found dead, with their lives.
    lost: Vec<(Instance, u64)>,
    /// The members without an entry that the planner finds alive, with their lives.
    unlisted: Vec<(Instance, u64)>,
    /// What is in progress.
    load: ToldLoad,
    /// The replicas that this node's callers would fill, by model.
    demand: Vec<(Model, f64)>,
    /// What the planner has read.
    told: Option<Told>,
}

/// Requests in progress, unread prompt tokens, silence, and how many milliseconds
/// ago something came, by target.
type ToldShares = Vec<(Instance, u32, u32, bool, Option<u32>)>;

/// What a datagram tells of requests in progress.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum ToldLoad {
    /// Nothing.
    Nothing,
    /// The sender's own.
    Own(ToldShares),
    /// Those of all nodes.
    Sum(ToldShares),
}

/// Another node.
#[derive(Debug, Clone)]
struct Peer {
    card: Card,
    number: u64,
    /// When it was last heard; `None` if only its card is known.
    heard: Option<Moment>,
    known: Moment,
    is_ready: bool,
    is_stopping: bool,
    demand: Vec<(Model, f64)>,
    /// What was heard of it when the feeds were read that this node tells of.
    echo: Echo,
}

/// The last datagram heard from each node, with the node's life.
pub(crate) type Marks = HashMap<Node, (u64, u64)>;

/// A planner that was heard.
#[derive(Debug, Clone)]
pub(crate) struct Heard {
    /// Its fencing token.
    pub(crate) token: u64,
    node: Node,
    /// When it last said that it plans; `None` if it has stepped down since.
    at: Option<Moment>,
}

/// What is known of the other nodes.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: HashMap<Node, Peer>,
    now: Moment,
    /// The planner with the highest token that was heard.
    pub(crate) planner: Option<Heard>,
    /// The token that this node plans with, if it does.
    pub(crate) own_token: Option<u64>,
    /// What this node found dead, if it plans.
    pub(crate) own_lost: Vec<(Instance, u64)>,
    /// What this node read of servers' entries lately, if it plans.
    pub(crate) own_news: News,
    /// When another node last told what it has read.
    pub(crate) vouched: Option<Moment>,
    /// The number drawn at the start of this node's process.
    pub(crate) own_life: u64,
    /// The last datagrams that this node sent, and when.
    sent: VecDeque<(u64, Moment)>,
    /// The last datagrams that told the planner of this node's load, and what.
    told: VecDeque<(u64, Vec<Share>)>,
}

impl Peers {
    /// Returns how many other nodes are known.
    fn others(&self) -> u32 {
        u32::try_from(self.peers.len()).unwrap_or(u32::MAX)
    }

    /// Returns the time between two datagrams that a node sends to all others.
    pub(crate) fn round(&self) -> Duration {
        MIN_ROUND.max(ROUND_PER_PEER * self.others())
    }

    /// Returns the time between two datagrams from and to the planner.
    fn beat(&self) -> Duration {
        MIN_BEAT.max(BEAT_PER_PEER * self.others())
    }

    /// Returns how late this node learns what the others choose.
    pub(crate) fn lag(&self, now: Moment) -> Duration {
        if self.own_token.is_some() {
            self.beat()
        } else if self.is_vouched(now) {
            self.beat() * 2
        } else {
            self.round()
        }
    }

    /// Returns where the planner is heard, if another node plans.
    fn planner_at(&self, now: Moment) -> Option<(SocketAddr, Echo)> {
        if self.own_token.is_some() || !self.has_planner(now) {
            return None;
        }
        let heard = self.planner.as_ref()?;
        let peer = self.peers.get(&heard.node)?;
        Some((peer.card.peer, peer.echo))
    }

    /// Notes what this node told of its own load with a datagram.
    fn note_told(&mut self, number: u64, shares: Vec<Share>) {
        self.told.push_back((number, shares));
        if self.told.len() > MAX_TOLD {
            self.told.pop_front();
        }
    }

    /// Returns the work of all nodes but this one, from a sum that holds what this
    /// node told with a datagram; `None` if that is no longer known.
    fn without_own(&self, sum: Vec<Share>, number: u64) -> Option<Vec<Share>> {
        let (_, own) = self.told.iter().rev().find(|(known, _)| *known == number)?;
        let part = |server: &Instance| {
            let share = own.iter().find(|share| share.server == *server);
            share.map_or_else(Work::default, |share| share.work)
        };
        let sum = sum.into_iter();
        Some(
            sum.map(|share| {
                let part = part(&share.server);
                share.without(part)
            })
            .collect(),
        )
    }

    /// Notes that a datagram is sent.
    pub(crate) fn note_sent(&mut self, number: u64, now: Moment) {
        self.sent.push_back((number, now));
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
    }

    /// Returns when a datagram was sent, if that is remembered.
    pub(crate) fn sent_at(&self, number: u64) -> Option<Moment> {
        let sent = self.sent.iter().rev();
        sent.clone()
            .find(|(known, _)| *known == number)
            .map(|(_, at)| *at)
    }

    /// Returns what was heard of the other nodes until now.
    pub(crate) fn marks(&self) -> Marks {
        let heard = self.peers.iter().filter(|(_, peer)| peer.heard.is_some());
        heard
            .map(|(node, peer)| (node.clone(), (peer.card.life, peer.number)))
            .collect()
    }

    /// Notes that a feed was read that began when `marks` had been heard.
    pub(crate) fn note_read(&mut self, marks: &Marks, place: impl Fn(&mut Echo) -> &mut u64) {
        for (node, (life, number)) in marks {
            let Some(peer) = self.peers.get_mut(node) else {
                continue;
            };
            peer.echo.note_life(*life);
            *place(&mut peer.echo) = *number;
        }
    }

    /// Returns whether a planner has told lately what it read.
    pub(crate) fn is_vouched(&self, now: Moment) -> bool {
        let patience = self.planner_patience();
        self.own_token.is_none() && self.vouched.is_some_and(|at| now.since(at) < patience)
    }

    /// Returns the nodes among which allowances are divided, this one included.
    pub(crate) fn count(&self) -> usize {
        1 + self.counted().count()
    }

    /// Returns the names of the nodes among which allowances are divided.
    pub(crate) fn names<'a>(&'a self, own: &'a str) -> Vec<&'a str> {
        let others = self.counted().map(|peer| peer.card.node.as_str());
        others.chain([own]).collect()
    }

    /// Returns the other nodes among which allowances are divided.
    fn counted(&self) -> impl Iterator<Item = &Peer> {
        let is_counted = |peer: &&Peer| {
            peer.heard
                .is_some_and(|heard| self.now.since(heard) < COUNTED_FOR)
        };
        self.peers.values().filter(is_counted)
    }

    /// Returns how long a node may be silent before it counts as gone.
    fn patience(&self) -> Duration {
        self.round() * SILENT_INTERVALS
    }

    /// Returns how old a planner's word may be before it counts as gone.
    pub(crate) fn planner_patience(&self) -> Duration {
        self.beat() * SILENT_INTERVALS
    }

    /// Returns whether a planner was heard lately and has not stepped down.
    pub(crate) fn has_planner(&self, now: Moment) -> bool {
        let at = self.planner.as_ref().and_then(|heard| heard.at);
        at.is_some_and(|at| now.since(at) < self.planner_patience())
    }

    /// Returns the highest fencing token that was heard.
    pub(crate) fn newest_token(&self) -> u64 {
        self.planner.as_ref().map_or(0, |heard| heard.token)
    }

    /// Learns of a node from its card in the store.
    pub(crate) fn learn(&mut self, card: Card, now: Moment) {
        let known = self.peers.get(&card.node);
        if known.is_some_and(|peer| peer.heard.is_some()) {
            return;
        }
        let peer = Peer {
            card,
            number: 0,
            heard: None,
            known: now,
            is_ready: false,
            is_stopping: false,
            demand: Vec::new(),
            echo: Echo::default(),
        };
        self.peers.insert(peer.card.node.clone(), peer);
    }

    /// Returns the addresses of the nodes that callers should use.
    pub(crate) fn usable(&self, now: Moment) -> Vec<(Card, bool)> {
        let patience = self.patience();
        self.peers
            .values()
            .filter(|peer| peer.heard.is_some_and(|at| now.since(at) < patience))
            .filter(|peer| !peer.is_stopping)
            .map(|peer| (peer.card.clone(), peer.is_ready))
            .collect()
    }

    /// Returns what the callers of all other nodes ask for.
    pub(crate) fn demand(&self, now: Moment) -> HashMap<Model, f64> {
        let patience = self.patience();
        let mut total = HashMap::new();
        for peer in self.peers.values() {
            if peer.heard.is_some_and(|at| now.since(at) < patience) {
                for (model, replicas) in &peer.demand {
                    *total.entry(model.clone()).or_default() += replicas;
                }
            }
        }
        total
    }

    /// Returns where datagrams go, and forgets nodes that never answer.
    fn addresses(&mut self, now: Moment) -> Vec<(SocketAddr, Echo)> {
        self.peers.retain(|_, peer| {
            let last = peer.heard.unwrap_or(peer.known);
            now.since(last) < TRIED_FOR
        });
        let peers = self.peers.values();
        peers.map(|peer| (peer.card.peer, peer.echo)).collect()
    }

    /// Takes a datagram in; returns false if it is an old one.
    fn hear(&mut self, beat: &Beat, now: Moment) -> bool {
        self.now = now;
        let known = self.peers.get(&beat.card.node);
        let is_old = known.is_some_and(|peer| {
            peer.card.life == beat.card.life && peer.heard.is_some() && peer.number >= beat.number
        });
        if is_old {
            return false;
        }
        let mut echo = known.map_or_else(Echo::default, |peer| peer.echo);
        if matches!(beat.load, ToldLoad::Own(_)) {
            echo.note_life(beat.card.life);
            echo.told = beat.number;
        }
        let peer = Peer {
            card: beat.card.clone(),
            number: beat.number,
            heard: Some(now),
            known: now,
            is_ready: beat.is_ready,
            is_stopping: beat.is_stopping,
            demand: beat.demand.clone(),
            echo,
        };
        self.peers.insert(peer.card.node.clone(), peer);
        match (beat.planner, &mut self.planner) {
            (Some(token), known) if token >= known.as_ref().map_or(0, |k| k.token) => {
                *known = Some(Heard {
                    token,
                    node: beat.card.node.clone(),
                    at: Some(now),
                });
            }
            (None, Some(known)) if known.node == beat.card.node => known.at = None,
            _ => {}
        }
        true
    }
}

/// To whom a datagram goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Audience {
    Planner,
    All,
}

/// Tells the other nodes, for as long as the node runs.
///
/// What is in progress goes to the planner, which tells all nodes the sum; while
/// there is none, it goes to all.
pub(crate) async fn tell(shared: Arc<Shared>, socket: Arc<UdpSocket>, card: Card) {
    let mut number = 0;
    let mut beats_of_office = 0;
    let mut last_round: Option<(Moment, bool)> = None;
    loop {
        let now = shared.now();
        let is_stopping = shared.is_stopping();
        let (beat, planner, is_planning, is_round_due) = {
            let mut tables = shared.tables();
            tables.peers.now = now;
            tables.load.expire(now);
            let nodes = tables.peers.count();
            for budget in tables.budgets.values_mut() {
                budget.divide(&shared.settings.bounds, nodes);
            }
            let round = tables.peers.round();
            // That a node stops is told at once.
            let is_round_due = last_round
                .is_none_or(|(at, stopping)| now.since(at) >= round || stopping != is_stopping);
            let peers = &tables.peers;
            (
                peers.beat(),
                peers.planner_at(now),
                peers.own_token.is_some(),
                is_round_due,
            )
        };
        beats_of_office = if is_planning { beats_of_office + 1 } else { 0 };
        let has_sum = beats_of_office > BEATS_WITHOUT_SUM;
        if let Some(planner) = planner {
            number += 1;
            let beat = write(&shared, &card, number, Audience::Planner, has_sum);
            send(&shared, &socket, &beat, &[planner]).await;
        }
        if is_planning || is_round_due {
            number += 1;
            let beat = write(&shared, &card, number, Audience::All, has_sum);
            let addresses = shared.tables().peers.addresses(now);
            send(&shared, &socket, &beat, &addresses).await;
            last_round = Some((now, is_stopping));
        }
        let urgent = beat.mul_f64(URGENT_PART);
        sleep(urgent).await;
        tokio::select! {
            () = sleep(beat.saturating_sub(urgent)) => {}
            () = shared.urgent.notified() => {}
        }
    }
}

/// Writes the next datagram.
fn write(shared: &Shared, card: &Card, number: u64, audience: Audience, has_sum: bool) -> Beat {
    let is_ready = shared.is_ready();
    let now = shared.now();
    let mut tables = shared.tables();
    let is_planning = tables.peers.own_token.is_some();
    let load = if is_planning {
        match has_sum {
            true => ToldLoad::Sum(told_shares(tables.load.sum(now), now)),
            false => ToldLoad::Nothing,
        }
    } else if audience == Audience::Planner {
        let shares: Vec<Share> = tables.load.shares(now).collect();
        tables.peers.note_told(number, shares.clone());
        ToldLoad::Own(told_shares(shares, now))
    } else if tables.peers.has_planner(now) {
        ToldLoad::Nothing
    } else {
        ToldLoad::Own(told_shares(tables.load.shares(now), now))
    };
    tables.peers.note_sent(number, now);
    Beat {
        card: card.clone(),
        number,
        is_ready,
        is_stopping: shared.is_stopping(),
        planner: tables.peers.own_token,
        lost: tables.peers.own_lost.clone(),
        unlisted: if is_planning {
            tables.fleet.unlisted()
        } else {
            Vec::new()
        },
        load,
        demand: tables.demand.replicas(now).into_iter().collect(),
        told: vouch::tell(&mut tables, shared.has_slow_link()),
    }
}

/// Sends one datagram to each address, with what was heard from there if this
/// node tells what it has read.
async fn send(shared: &Shared, socket: &UdpSocket, beat: &Beat, addresses: &[(SocketAddr, Echo)]) {
    let mut bytes = match postcard::to_extend(beat, vec![FORMAT]) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(shared.log, "beat not written"; "error" => %error);
            return;
        }
    };
    let length = bytes.len();
    for (address, echo) in addresses {
        bytes.truncate(length);
        if beat.told.is_some()
            && let Ok(echo) = postcard::to_stdvec(echo)
        {
            bytes.extend(echo);
        }
        // A datagram that cannot be sent is as good as a lost one; the next
        // one follows within the interval.
        let _ = socket.send_to(&bytes, address).await;
    }
}

/// Reads a datagram: what is told to all, and what is told to this node.
fn decode(bytes: &[u8]) -> Result<(Beat, Option<Echo>), postcard::Error> {
    let Some((&FORMAT, bytes)) = bytes.split_first() else {
        return Err(postcard::Error::DeserializeBadEncoding);
    };
    let (beat, rest) = postcard::take_from_bytes::<Beat>(bytes)?;
    let echo = match rest {
        [] => None,
        rest => Some(postcard::from_bytes(rest)?),
    };
    Ok((beat, echo))
}

/// Returns shares as a datagram bears them.
fn told_shares(shares: impl IntoIterator<Item = Share>, now: Moment) -> ToldShares {
    shares.into_iter().map(|s| told_share(s, now)).collect()
}

/// Returns a share as a datagram bears it.
fn told_share(share: Share, now: Moment) -> (Instance, u32, u32, bool, Option<u32>) {
    let Work {
        requests,
        unread,
        is_silent,
    } = share.work;
    let ago = share.heard.map(|heard| now.since(heard).as_millis());
    let ago = ago.and_then(|ago| u32::try_from(ago).ok());
    (share.server, requests, unread, is_silent, ago)
}

/// Hears the other nodes, for as long as the node runs.
pub(crate) async fn hear(shared: Arc<Shared>, socket: Arc<UdpSocket>, own: Node) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An error of one datagram, such as an unreachable port.
            sleep(Duration::from_millis(1)).await;
            continue;
        };
        match decode(&buffer[..length]) {
            Ok((beat, _)) if beat.card.node == own => {}
            Ok((beat, echo)) => take_in(&shared, beat, echo),
            Err(error) => {
                shared.metrics.count("beats_malformed", "peer");
                warn!(shared.log, "beat not understood"; "from" => %from, "error" => %error);
            }
        }
    }
}

/// Returns the shares that a datagram bears.
fn shares_of(shares: ToldShares, now: Moment) -> impl Iterator<Item = Share> {
    let shares = shares.into_iter();
    shares.map(move |(server, requests, unread, is_silent, ago)| Share {
        server,
        work: Work {
            requests,
            unread,
            is_silent,
        },
        heard: ago.map(|ago| now - Duration::from_millis(ago.into())),
    })
}

/// Takes one datagram into the tables.
fn take_in(shared: &Arc<Shared>, beat: Beat, echo: Option<Echo>) {
    let now = shared.now();
    let mut tables = shared.tables();
    let was_known = tables
        .peers
        .peers
        .get(&beat.card.node)
        .is_some_and(|peer| peer.card.life == beat.card.life && peer.heard.is_some());
    if !tables.peers.hear(&beat, now) {
        return;
    }
    if !was_known {
        info!(shared.log, "node heard"; "node" => %beat.card.node, "front" => %beat.card.front);
    }
    let is_newest = beat.planner == Some(tables.peers.newest_token());
    let is_planner = beat.planner.is_some() && is_newest && tables.peers.own_token.is_none();
    let echo = echo.filter(|echo| echo.life == tables.peers.own_life);
    match beat.load {
        ToldLoad::Own(shares) if !tables.peers.is_vouched(now) => {
            let shares = shares_of(shares, now);
            tables.load.share(beat.card.node, shares, now);
        }
        ToldLoad::Sum(shares) if is_planner => {
            let shares = shares_of(shares, now).collect();
            let others = echo.and_then(|echo| tables.peers.without_own(shares, echo.told));
            if let Some(others) = others {
                tables.load.share_sum(beat.card.node, others, now);
            }
        }
        _ => {}
    }
    let mut is_changed = false;
    if is_planner {
        is_changed |= tables.fleet.set_lost(beat.lost);
        is_changed |= tables.fleet.set_unlisted(beat.unlisted);
        if let Some(told) = beat.told {
            is_changed |= vouch::take_over(&shared.log, &mut tables, told, echo, now);
        }
    }
    if is_changed {
        shared.refresh(&mut tables);
    } else {
        shared.offer(&mut tables);
    }
}

#[cfg(test)]
mod tests;
