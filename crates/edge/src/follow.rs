//! The feeds of the store, read into the tables.

use crate::{
    peers::ReceivedSequences,
    state::{Shared, Tables},
};
use clock::Moment;
use name::Instance;
use site::{
    config,
    feed::{Batch, Cursor, Fault},
    server::Change,
    settings::Bounds,
};
use slog::{Logger, info, warn};
use std::{collections::HashSet, sync::Arc, time::Duration};
use tokio::time::sleep;

/// The part of the bound on configurations that a read of the operators' feed
/// waits for a change.
///
/// A read confirms the configuration as of its start, so that a view is up to
/// two waits old.
const CONFIG_WAIT_FRACTION: f64 = 0.45;

/// The same of the bound on revoked secrets.
const REVOKE_WAIT_FRACTION: f64 = 0.18;

/// The age of a configuration that the planner vouches for, as a part of the
/// bound on configurations, at which a node reads by itself.
///
/// A word of the planner may be lost; one that comes is younger than this.
const RELAYED_CONFIG_AGE_FRACTION: f64 = 0.55;

/// The same of the bound on revoked secrets.
const RELAYED_REVOKE_AGE_FRACTION: f64 = 0.4;

/// How long a read of the operators' feed waits at the node that plans, and so
/// how old the view is that it vouches for.
const PLANNER_OPERATORS_WAIT: Duration = Duration::from_millis(250);

/// The time between two reads of the operators' feed while the planner tells of
/// changes that this node lacks, as a part of the bound on configurations: many
/// changes may follow each other.
const CATCH_UP_FRACTION: f64 = 0.2;

/// The time between two reads of the servers' feed, as a part of the time within
/// which a server that leaves must get no more requests.
const SERVERS_READ_FRACTION: f64 = 0.4;

/// The age of the view of the servers that the planner vouches for, likewise, at
/// which a node reads by itself.
const RELAYED_SERVERS_AGE_FRACTION: f64 = 0.62;

/// The same if the planner has told of a change that this node lacks. Changes come
/// in bursts, so that a read at once would soon be followed by another one.
const SERVERS_CATCH_UP_FRACTION: f64 = 0.25;

/// How long a read of the servers' feed waits for a change, likewise.
const SERVERS_WAIT_FRACTION: f64 = 0.12;

/// The time between two reads of the servers' feed at the node that plans.
const PLANNER_SERVERS_INTERVAL: Duration = Duration::from_millis(150);

/// How often a node looks whether it has become the planner, or is out of date.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The pause after a read that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long after the return of the store a removal is held back.
///
/// Entries that lapse while the store is away are back within this time, if the
/// server lives and reaches the store.
const REMOVAL_GRACE: Duration = Duration::from_millis(2_000);

/// The time between two readings of the other nodes' cards.
///
/// Nodes that start tell all others of themselves; a later reading only finds
/// those that were cut off for so long that they were forgotten.
const CARD_READ_INTERVAL: Duration = Duration::from_secs(60);

/// The distinct faults that are remembered so that each is logged once.
const MAX_FAULTS: usize = 1_000;

/// Faults that were logged, so that a record that comes again is not.
#[derive(Debug, Default)]
struct FaultLog {
    logged: HashSet<(String, String)>,
}

impl FaultLog {
    /// Logs faults that were not logged before.
    fn log(&mut self, shared: &Shared, feed: &'static str, faults: &[Fault]) {
        for fault in faults {
            shared.metrics.count("records_malformed", feed);
            let key = (fault.key.clone(), fault.reason.clone());
            if self.logged.len() < MAX_FAULTS && self.logged.insert(key) {
                warn!(shared.log, "record not understood"; "feed" => feed,
                    "key" => &fault.key, "reason" => &fault.reason);
            }
        }
    }
}

/// A feed that a node follows: says when it is lost and regained.
#[derive(Debug)]
struct FeedReader {
    name: &'static str,
    is_lost: bool,
    faults: FaultLog,
}

impl FeedReader {
    /// Returns a feed that was not read yet.
    fn new(name: &'static str) -> Self {
        Self {
            name,
            is_lost: false,
            faults: FaultLog::default(),
        }
    }

    /// Takes the answer to a read, and pauses after one that failed.
    async fn handle_read<T>(
        &mut self,
        shared: &Shared,
        answer: Result<Batch<T>, site::feed::Error>,
    ) -> Option<Batch<T>> {
        match answer {
            Ok(batch) => {
                if std::mem::take(&mut self.is_lost) {
                    shared.tables().store_recovered = Some(shared.now());
                    info!(shared.log, "store regained"; "feed" => self.name);
                }
                self.faults.log(shared, self.name, &batch.faults);
                Some(batch)
            }
            Err(error) => {
                shared.metrics.count("store_failures", self.name);
                if !std::mem::replace(&mut self.is_lost, true) {
                    warn!(shared.log, "store lost"; "feed" => self.name, "error" => %error);
                }
                sleep(RETRY_DELAY).await;
                None
            }
        }
    }
}

/// Waits until the tables give an answer; looks at once, and then again and again.
async fn poll_until_some<T>(shared: &Shared, answer: impl Fn(&Tables, Moment) -> Option<T>) -> T {
    loop {
        let found = answer(&shared.tables(), shared.now());
        if let Some(found) = found {
            return found;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Which node's reads a node relies on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FeedSource {
    /// Its own, and it tells the others what it reads.
    Planner,
    /// The planner's.
    Relayed,
    /// Its own.
    Direct,
}

/// Returns whose reads this node relies on.
fn feed_source(tables: &Tables, now: Moment) -> FeedSource {
    if tables.peers.own_token.is_some() {
        FeedSource::Planner
    } else if tables.peers.has_recent_update(now) {
        FeedSource::Relayed
    } else {
        FeedSource::Direct
    }
}

/// The times of reads of the operators' feed, by the bounds of the settings.
#[derive(Debug, Clone, Copy)]
struct ReadSchedule {
    /// How long a read waits if nobody vouches for the view.
    wait: Duration,
    /// The age of a view that is vouched for at which the feed is read.
    max_age: Duration,
    /// The time between two reads while changes are told of.
    catch_up: Duration,
}

impl ReadSchedule {
    /// Returns the times for some bounds.
    fn new(bounds: &Bounds) -> Self {
        let least = |of_config: f64, of_revoke: f64| {
            let config = bounds.config.mul_f64(of_config);
            let revoke = bounds.revoke.map(|revoke| revoke.mul_f64(of_revoke));
            revoke.map_or(config, |revoke| config.min(revoke))
        };
        Self {
            wait: least(CONFIG_WAIT_FRACTION, REVOKE_WAIT_FRACTION),
            max_age: least(RELAYED_CONFIG_AGE_FRACTION, RELAYED_REVOKE_AGE_FRACTION),
            catch_up: bounds.config.mul_f64(CATCH_UP_FRACTION),
        }
    }

    /// Waits until the feed is to be read, and returns how long that read waits.
    async fn next_wait(&self, shared: &Shared, last: Option<Moment>) -> Duration {
        poll_until_some(shared, |tables, now| match feed_source(tables, now) {
            FeedSource::Planner => Some(PLANNER_OPERATORS_WAIT),
            FeedSource::Direct => Some(self.wait),
            FeedSource::Relayed => self.is_due(tables, last, now).then_some(Duration::ZERO),
        })
        .await
    }

    /// Returns whether the planner's word is not enough: it tells of a change, or
    /// the view that it vouches for is old.
    fn is_due(&self, tables: &Tables, last: Option<Moment>, now: Moment) -> bool {
        let age = tables.config_confirmed.map(|at| now.since(at));
        let since_last = last.map(|at| now.since(at));
        let is_behind =
            tables.is_behind.operators && since_last.is_none_or(|since| since >= self.catch_up);
        is_behind || age.is_none_or(|age| age >= self.max_age)
    }
}

/// Follows the operators' changes, for as long as the node runs.
pub(crate) async fn operators(shared: Arc<Shared>) {
    let mut feed = FeedReader::new("operators");
    let schedule = ReadSchedule::new(&shared.settings.bounds);
    let mut last = None;
    loop {
        let wait = schedule.next_wait(&shared, last).await;
        let started = shared.now();
        last = Some(started);
        let (cursor, received) = {
            let tables = shared.tables();
            let cursor = tables.operators_offset.map_or(Cursor::Start, Cursor::At);
            (cursor, received(&tables))
        };
        let answer = (shared.platform.operators)(cursor, wait).await;
        if let Some(batch) = feed.handle_read(&shared, answer).await {
            apply_operators(&shared, batch, started, &received);
        }
    }
}

/// Returns what was heard of the other nodes, if this node tells them what it reads.
fn received(tables: &Tables) -> ReceivedSequences {
    if tables.peers.own_token.is_some() {
        tables.peers.received()
    } else {
        ReceivedSequences::default()
    }
}

/// Applies changes of operators, and confirms the configuration.
fn apply_operators(
    shared: &Arc<Shared>,
    batch: Batch<config::Change>,
    started: Moment,
    received: &ReceivedSequences,
) {
    let mut tables = shared.tables();
    let is_changed = batch.is_snapshot || !batch.records.is_empty();
    if batch.is_snapshot {
        tables.fleet.bring_all_back();
    }
    for change in batch.records {
        match change {
            config::Change::Config(config) => {
                let known = tables.config.as_ref().map(|c| c.version);
                // Versions only grow; a record read again must not take back.
                if known.is_none_or(|known| config.version > known) {
                    info!(shared.log, "configuration in force"; "version" => config.version,
                        "before" => known);
                    tables.set_config(*config);
                }
            }
            config::Change::TakeOut(domain) => {
                info!(shared.log, "failure domain taken out"; "domain" => %domain);
                tables.fleet.take_out(domain, true);
            }
            config::Change::BringBack(domain) => {
                info!(shared.log, "failure domain brought back"; "domain" => %domain);
                tables.fleet.take_out(domain, false);
            }
        }
    }
    if let Cursor::At(offset) = batch.next {
        tables.operators_offset = Some(offset);
    }
    if batch.is_at_end {
        tables.is_behind.operators = false;
        if tables.config.is_some() {
            tables.config_confirmed = tables.config_confirmed.max(Some(started));
        }
        tables.peers.record_read(received, |ack| &mut ack.operators);
    }
    if is_changed {
        shared.update_targets(&mut tables);
        shared.request_heartbeat();
    }
}

/// Follows the servers' entries, for as long as the node runs.
pub(crate) async fn servers(shared: Arc<Shared>) {
    let mut feed = FeedReader::new("servers");
    let wait = shared
        .settings
        .bounds
        .leaving
        .mul_f64(SERVERS_WAIT_FRACTION);
    loop {
        let started = shared.now();
        let (cursor, received) = {
            let tables = shared.tables();
            let cursor = tables.servers_offset.map_or(Cursor::Start, Cursor::At);
            (cursor, received(&tables))
        };
        let answer = (shared.platform.servers)(cursor, wait).await;
        if let Some(batch) = feed.handle_read(&shared, answer).await {
            apply_servers(&shared, batch, started, &received);
        }
        wait_until_due(&shared).await;
    }
}

/// Waits until the servers' feed is to be read again.
async fn wait_until_due(shared: &Shared) {
    let begin = shared.now();
    let leaving = shared.settings.bounds.leaving;
    sleep(POLL_INTERVAL).await;
    let is_due = |tables: &Tables, now: Moment| {
        let waited = now.since(begin);
        match feed_source(tables, now) {
            _ if tables.servers_offset.is_none() => true,
            FeedSource::Planner => waited >= PLANNER_SERVERS_INTERVAL,
            FeedSource::Direct => waited >= leaving.mul_f64(SERVERS_READ_FRACTION),
            FeedSource::Relayed => {
                let age = tables.servers_confirmed.map(|at| now.since(at));
                let part = if tables.is_behind.servers {
                    SERVERS_CATCH_UP_FRACTION
                } else {
                    RELAYED_SERVERS_AGE_FRACTION
                };
                age.is_none_or(|age| age >= leaving.mul_f64(part))
            }
        }
    };
    poll_until_some(shared, |tables, now| is_due(tables, now).then_some(())).await;
}

/// Applies changes of servers' entries, and confirms what is known of them.
fn apply_servers(
    shared: &Arc<Shared>,
    batch: Batch<Change>,
    started: Moment,
    received: &ReceivedSequences,
) {
    let Cursor::At(offset) = batch.next else {
        return;
    };
    let unusable = batch.faults.iter().filter_map(|f| f.key.parse().ok());
    let unusable = unusable.map(Change::Gone);
    let changes: Vec<Change> = batch.records.into_iter().chain(unusable).collect();
    let now = shared.now();
    let mut guard = shared.tables();
    let tables = &mut *guard;
    let mut is_changed = apply_deferred_removals(shared, tables, offset, now);
    let known = tables.servers_offset;
    let is_newer = known.is_none_or(|known| known < offset);
    if is_newer && (batch.is_snapshot || known.is_some()) {
        let removals = if batch.is_snapshot {
            unlisted_removals(tables, &changes)
        } else {
            Vec::new()
        };
        for change in changes.into_iter().chain(removals) {
            is_changed |= apply_server_change(shared, tables, change, offset, now);
        }
        tables.servers_offset = Some(offset);
    }
    tables
        .relayed_offsets
        .retain(|_, relayed| *relayed > offset);
    if batch.is_at_end && tables.servers_offset.is_some() {
        tables.is_behind.servers = false;
        tables.servers_confirmed = tables.servers_confirmed.max(Some(started));
        tables.peers.record_read(received, |ack| &mut ack.servers);
    }
    // What was left out, as older or as no listing, is not told of either.
    if let Some(read) = tables.servers_offset {
        tables.peers.backlog.set_end(read);
    }
    if is_changed {
        shared.update_targets(tables);
        shared.request_heartbeat();
    }
}

/// Returns the removals of all servers that a listing leaves out.
fn unlisted_removals(tables: &Tables, listing: &[Change]) -> Vec<Change> {
    let listed: HashSet<&Instance> = listing.iter().map(Change::id).collect();
    let known = tables.fleet.servers().map(|server| &server.id);
    let removed = known.filter(|id| !listed.contains(id));
    removed.cloned().map(Change::Gone).collect()
}

/// Returns whether removals are held back, since the store was away until just now.
fn is_deferring_removals(tables: &Tables, now: Moment) -> bool {
    let deferred_until = tables.store_recovered.map(|at| at + REMOVAL_GRACE);
    deferred_until.is_some_and(|until| now < until)
}

/// Applies the removals that were held back; returns whether there were any.
fn apply_deferred_removals(shared: &Shared, tables: &mut Tables, offset: u64, now: Moment) -> bool {
    if is_deferring_removals(tables, now) {
        return false;
    }
    let due = std::mem::take(&mut tables.deferred_removals);
    for id in &due {
        info!(shared.log, "server gone"; "server" => %id, "was_held_back" => true);
        queue_for_relay(tables, &Change::Gone(id.clone()), offset);
        tables.fleet.apply(Change::Gone(id.clone()));
    }
    !due.is_empty()
}

/// Applies one change that was read before an offset; returns whether it was news.
fn apply_server_change(
    shared: &Shared,
    tables: &mut Tables,
    change: Change,
    offset: u64,
    now: Moment,
) -> bool {
    // The planner may have told of a later entry meanwhile.
    let relayed = tables.relayed_offsets.get(change.id());
    if relayed.is_some_and(|relayed| *relayed > offset) {
        return false;
    }
    let is_significant = is_significant(tables, &change);
    match &change {
        Change::Gone(id) if is_deferring_removals(tables, now) => {
            info!(shared.log, "entry lapsed after an outage"; "server" => %id);
            tables.deferred_removals.insert(id.clone());
            return false;
        }
        Change::Gone(id) => {
            if is_significant {
                info!(shared.log, "server gone"; "server" => %id);
            }
        }
        Change::Is(server) => {
            tables.deferred_removals.remove(&server.id);
            log_change(&shared.log, tables.fleet.server(&server.id), server);
        }
    }
    if is_significant {
        queue_for_relay(tables, &change, offset);
    }
    tables.fleet.apply(change);
    is_significant
}

/// Returns whether a change matters to requests; most only renew an entry.
fn is_significant(tables: &Tables, change: &Change) -> bool {
    let known = tables.fleet.server(change.id());
    match change {
        Change::Is(server) => known.is_none_or(|known| !known.is_alike_to_callers(server)),
        Change::Gone(_) => known.is_some(),
    }
}

/// Lets other nodes know of a change, if this node plans.
fn queue_for_relay(tables: &mut Tables, change: &Change, offset: u64) {
    if tables.peers.own_token.is_some() {
        tables.peers.backlog.add(offset, change.clone());
    }
}

/// Takes over a change that the planner read before an offset of the feed;
/// returns whether it was news.
///
/// The planner holds removals back itself if the store was away.
pub(crate) fn apply_relayed_change(
    log: &Logger,
    tables: &mut Tables,
    offset: u64,
    change: Change,
) -> bool {
    let id = change.id().clone();
    let relayed = tables.relayed_offsets.get(&id).copied().unwrap_or(0);
    if offset <= tables.servers_offset.unwrap_or(0).max(relayed) {
        return false;
    }
    let known = tables.fleet.server(&id);
    match &change {
        Change::Is(server) => log_change(log, known, server),
        Change::Gone(_) if known.is_some() => {
            info!(log, "server gone"; "server" => %id, "told_by" => "planner");
        }
        Change::Gone(_) => {}
    }
    let is_significant = is_significant(tables, &change);
    tables.relayed_offsets.insert(id.clone(), offset);
    tables.deferred_removals.remove(&id);
    tables.fleet.apply(change);
    is_significant
}

/// Logs what changed of a server's entry, if it matters.
fn log_change(log: &Logger, known: Option<&site::Server>, server: &site::Server) {
    let Some(known) = known else {
        info!(log, "server came"; "server" => %server.id, "service" => %server.service,
            "domain" => %server.domain, "address" => %server.address, "born" => server.born);
        return;
    };
    if known.is_leaving != server.is_leaving {
        info!(log, "server leaves"; "server" => %server.id,
            "is_leaving" => server.is_leaving);
    }
    if known.engine.member != server.engine.member {
        let member = server.engine.member.as_ref();
        info!(log, "membership changed"; "server" => %server.id,
            "replica" => member.map(|m| m.replica.as_str().to_owned()),
            "generation" => member.map(|m| m.generation),
            "phase" => member.map(|m| format!("{:?}", m.phase)));
    }
}

/// Announces this node, and reads the other nodes' cards from time to time, for
/// as long as the node runs.
///
/// The card is written before the others are first read, so that of two nodes
/// that start at once at least one learns of the other.
pub(crate) async fn cards(shared: Arc<Shared>, card: site::node::Card) {
    let own = card.node.clone();
    publish_card(&shared, card).await;
    let mut faults = FaultLog::default();
    loop {
        match (shared.platform.cards)(Cursor::Start, Duration::ZERO).await {
            Ok(batch) => {
                faults.log(&shared, "cards", &batch.faults);
                let now = shared.now();
                let mut tables = shared.tables();
                for card in batch.records.into_iter().filter(|c| c.node != own) {
                    tables.peers.add_card(card, now);
                }
            }
            Err(error) => {
                warn!(shared.log, "cards not read"; "error" => %error);
                sleep(RETRY_DELAY).await;
                continue;
            }
        }
        sleep(CARD_READ_INTERVAL).await;
    }
}

/// Puts this node's card into the store, trying until it stands there.
async fn publish_card(shared: &Shared, card: site::node::Card) {
    while let Err(error) = (shared.platform.announce)(card.clone()).await {
        warn!(shared.log, "card not announced"; "error" => %error);
        sleep(RETRY_DELAY).await;
    }
    info!(shared.log, "card announced"; "node" => %card.node);
}

#[cfg(test)]
mod tests;
