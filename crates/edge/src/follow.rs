//! Reads of the store's feeds into the tables.

use crate::{
    era,
    feed_reader::FeedReader,
    peers::ReceivedSequences,
    plan::MAX_VIEW_AGE_TO_CLAIM,
    state::{Shared, Tables},
};
use clock::Moment;
use name::Instance;
use place::Outdated;
use site::{
    config,
    feed::{self, Batch, Cursor},
    server::Change,
    settings::Bounds,
};
use slog::{Logger, info};
use std::{collections::HashSet, sync::Arc, time::Duration};
use tokio::time::sleep;

/// How long a read of the operators' feed waits for a change, as a fraction of the
/// maximum delay until a configuration takes effect.
///
/// A read confirms the configuration as of the read's start, so a view can be up to
/// two waits old.
const CONFIG_WAIT_FRACTION: f64 = 0.45;

/// How long a read of the operators' feed waits for a change, as a fraction of the
/// maximum delay until a revoked secret is rejected.
const REVOKE_WAIT_FRACTION: f64 = 0.18;

/// The age at which a node reads the operators' feed although the planner relays it,
/// as a fraction of the maximum delay until a configuration takes effect.
///
/// Relayed updates can be lost; one that arrives confirms a younger view than this.
const RELAYED_CONFIG_AGE_FRACTION: f64 = 0.55;

/// The age at which a node reads the operators' feed although the planner relays it,
/// as a fraction of the maximum delay until a revoked secret is rejected.
const RELAYED_REVOKE_AGE_FRACTION: f64 = 0.4;

/// How long the planner's read of the operators' feed waits for a change.
///
/// This is also the age of the view that the planner relays.
const PLANNER_OPERATORS_WAIT: Duration = Duration::from_millis(250);

/// The time between two reads of the operators' feed while this node lacks relayed
/// changes, as a fraction of the maximum delay until a configuration takes effect.
///
/// It bounds the reads while many changes follow each other.
const CATCH_UP_FRACTION: f64 = 0.2;

/// The time between two reads of the servers' feed, as a fraction of the time after
/// which a leaving server must get no more requests.
const SERVERS_READ_FRACTION: f64 = 0.4;

/// The age at which a node reads the servers' feed although the planner relays it,
/// as a fraction of the same time.
const RELAYED_SERVERS_AGE_FRACTION: f64 = 0.62;

/// The age at which a node reads the servers' feed if it lacks a relayed change, as
/// a fraction of the same time.
///
/// Changes come in bursts, so an immediate read would soon need another one.
const SERVERS_CATCH_UP_FRACTION: f64 = 0.25;

/// How long a read of the servers' feed waits for a change, as a fraction of the
/// same time.
const SERVERS_WAIT_FRACTION: f64 = 0.12;

/// The time between two reads of the servers' feed by the planner.
const PLANNER_SERVERS_INTERVAL: Duration = Duration::from_millis(150);

/// The minimum time between two reads of the servers' feed by a node that may claim the
/// planner role.
const CLAIM_READ_INTERVAL: Duration = Duration::from_millis(300);

/// How often a node checks whether it has become the planner or its view is too old.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls the tables until `answer` returns a value; the first poll is immediate.
async fn poll_until_some<T>(shared: &Shared, answer: impl Fn(&Tables, Moment) -> Option<T>) -> T {
    loop {
        let found = answer(&shared.tables(), shared.now());
        if let Some(found) = found {
            return found;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// The source of a node's view of the feeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FeedSource {
    /// Its own reads, which it relays to the other nodes.
    Planner,
    /// The planner's reads.
    Relayed,
    /// Its own reads, since no planner relays any.
    Direct,
}

/// Returns the source of this node's view.
fn feed_source(tables: &Tables, now: Moment) -> FeedSource {
    if tables.peers.own_token.is_some() {
        FeedSource::Planner
    } else if tables.peers.has_recent_update(now) {
        FeedSource::Relayed
    } else {
        FeedSource::Direct
    }
}

/// The timing of reads of the operators' feed, derived from the settings' bounds.
#[derive(Debug, Clone, Copy)]
struct ReadSchedule {
    /// How long a read waits for a change if no planner relays updates.
    wait: Duration,
    /// The age of a relayed view at which the feed is read.
    max_age: Duration,
    /// The time between two reads while the node lacks relayed changes.
    catch_up: Duration,
}

impl ReadSchedule {
    /// Returns the schedule for the given bounds.
    fn new(bounds: &Bounds) -> Self {
        let least = |of_config: f64, of_revoke: f64| {
            let config = bounds.max_config_delay.mul_f64(of_config);
            let revoke = bounds
                .max_revoke_delay
                .map(|revoke| revoke.mul_f64(of_revoke));
            revoke.map_or(config, |revoke| config.min(revoke))
        };
        Self {
            wait: least(CONFIG_WAIT_FRACTION, REVOKE_WAIT_FRACTION),
            max_age: least(RELAYED_CONFIG_AGE_FRACTION, RELAYED_REVOKE_AGE_FRACTION),
            catch_up: bounds.max_config_delay.mul_f64(CATCH_UP_FRACTION),
        }
    }

    /// Waits until a read is due, and returns how long that read waits for a change.
    async fn next_wait(&self, shared: &Shared, last_read: Option<Moment>) -> Duration {
        poll_until_some(shared, |tables, now| match feed_source(tables, now) {
            FeedSource::Planner => Some(PLANNER_OPERATORS_WAIT),
            FeedSource::Direct => Some(self.wait),
            FeedSource::Relayed => self
                .is_due(tables, last_read, now)
                .then_some(Duration::ZERO),
        })
        .await
    }

    /// Returns whether a node with a relayed view must read the feed itself.
    ///
    /// It must if it lacks a relayed change, or if its view is too old.
    fn is_due(&self, tables: &Tables, last_read: Option<Moment>, now: Moment) -> bool {
        let age = tables.config_confirmed.map(|at| now.since(at));
        let since_last = last_read.map(|at| now.since(at));
        let is_behind =
            tables.is_behind.operators && since_last.is_none_or(|since| since >= self.catch_up);
        is_behind || age.is_none_or(|age| age >= self.max_age)
    }
}

/// Reads the operators' feed for as long as the node runs.
pub(crate) async fn operators(shared: Arc<Shared>) {
    let mut feed = FeedReader::new("operators");
    let schedule = ReadSchedule::new(&shared.settings.bounds);
    let mut last_read = None;
    loop {
        let wait = schedule.next_wait(&shared, last_read).await;
        let started = shared.now();
        last_read = Some(started);
        let (cursor, received) = {
            let tables = shared.tables();
            let cursor = tables.operators_offset.map_or(Cursor::Start, Cursor::At);
            (cursor, received_sequences(&tables))
        };
        let answer = (shared.platform.read_operator_changes)(cursor, wait).await;
        if let Some(batch) = feed.handle_read(&shared, started, answer).await {
            apply_operators(&shared, batch, started, &received);
        }
    }
}

/// Returns the last heartbeats received from the other nodes, if this node relays
/// its reads to them.
fn received_sequences(tables: &Tables) -> ReceivedSequences {
    if tables.peers.own_token.is_some() {
        tables.peers.received_sequences()
    } else {
        ReceivedSequences::default()
    }
}

/// Applies changes of the operators' feed, and confirms the configuration.
fn apply_operators(
    shared: &Arc<Shared>,
    batch: Batch<config::Change>,
    started: Moment,
    received: &ReceivedSequences,
) {
    let Cursor::At(position) = batch.next else {
        return;
    };
    let now = shared.now();
    let mut tables = shared.tables();
    let tables = &mut *tables;
    let order = shared.enter_era(tables, position, now);
    let known = tables.operators_offset;
    let is_same_era = known.is_some_and(|known| feed::era(known) == feed::era(position));
    // Records of another era do not continue those that this node has applied.
    if order == era::Order::Earlier || !(batch.is_snapshot || is_same_era) {
        return;
    }
    let is_changed = batch.is_snapshot || !batch.records.is_empty();
    if batch.is_snapshot {
        tables.begin_operators_listing(now);
    }
    for change in batch.records {
        match change {
            config::Change::Config(config) => {
                let known = tables.config.as_ref().map(|c| c.version);
                tables
                    .era
                    .record_version(config.version, known.unwrap_or(0));
                // Versions only increase; a record that is read twice must not
                // restore an older configuration.
                if known.is_none_or(|known| config.version > known) {
                    info!(shared.log, "configuration applied"; "version" => config.version,
                        "before" => known);
                    tables.set_config(*config);
                }
            }
            config::Change::TakeOut(domain) => {
                info!(shared.log, "failure domain taken out of service"; "domain" => %domain);
                tables.set_taken_out(domain, true);
            }
            config::Change::BringBack(domain) => {
                info!(shared.log, "failure domain restored"; "domain" => %domain);
                tables.set_taken_out(domain, false);
            }
        }
    }
    tables.operators_offset = Some(position);
    if batch.is_at_end {
        tables.is_behind.operators = false;
        if tables.era.confirms_config(now) {
            if tables.config.is_some() {
                tables.config_confirmed = tables.config_confirmed.max(Some(started));
            }
            tables.peers.record_read(received, |ack| &mut ack.operators);
        }
    }
    if is_changed {
        shared.update_targets(tables);
        shared.request_heartbeat();
    }
}

/// Reads the servers' feed for as long as the node runs.
pub(crate) async fn servers(shared: Arc<Shared>) {
    let mut feed = FeedReader::new("servers");
    let wait = shared
        .settings
        .bounds
        .max_leaving_delay
        .mul_f64(SERVERS_WAIT_FRACTION);
    loop {
        let started = shared.now();
        let (cursor, received) = {
            let tables = shared.tables();
            let cursor = tables.servers_offset.map_or(Cursor::Start, Cursor::At);
            (cursor, received_sequences(&tables))
        };
        let answer = (shared.platform.read_servers)(cursor, wait).await;
        if let Some(batch) = feed.handle_read(&shared, started, answer).await {
            apply_servers(&shared, batch, started, &received);
        }
        wait_until_due(&shared).await;
    }
}

/// Waits until the next read of the servers' feed is due, and applies deferred removals
/// meanwhile: a node with a relayed view may not read for minutes.
async fn wait_until_due(shared: &Arc<Shared>) {
    let begin = shared.now();
    let leaving = shared.settings.bounds.max_leaving_delay;
    let is_due = |tables: &Tables, now: Moment| {
        let waited = now.since(begin);
        let age = tables.servers_confirmed.map(|at| now.since(at));
        let is_recent = age.is_some_and(|age| age < MAX_VIEW_AGE_TO_CLAIM / 2);
        match feed_source(tables, now) {
            _ if tables.servers_offset.is_none() => true,
            _ if tables.is_view_wanted && !is_recent => waited >= CLAIM_READ_INTERVAL,
            FeedSource::Planner => waited >= PLANNER_SERVERS_INTERVAL,
            FeedSource::Direct => waited >= leaving.mul_f64(SERVERS_READ_FRACTION),
            FeedSource::Relayed => {
                let fraction = if tables.is_behind.servers {
                    SERVERS_CATCH_UP_FRACTION
                } else {
                    RELAYED_SERVERS_AGE_FRACTION
                };
                age.is_none_or(|age| age >= leaving.mul_f64(fraction))
            }
        }
    };
    loop {
        sleep(POLL_INTERVAL).await;
        let now = shared.now();
        let mut tables = shared.tables();
        let has_settled = shared.end_settling(&mut tables, now);
        if apply_deferred_removals(shared, &mut tables, now) || has_settled {
            shared.update_targets(&mut tables);
            shared.request_heartbeat();
        }
        if is_due(&tables, now) {
            return;
        }
    }
}

/// Applies changes of servers' entries, and confirms the view of them.
fn apply_servers(
    shared: &Arc<Shared>,
    batch: Batch<Change>,
    started: Moment,
    received: &ReceivedSequences,
) {
    let Cursor::At(offset) = batch.next else {
        return;
    };
    let unusable = batch
        .invalid_records
        .iter()
        .filter_map(|f| f.key.parse().ok());
    let unusable = unusable.map(Change::Removed);
    let changes: Vec<Change> = batch.records.into_iter().chain(unusable).collect();
    let now = shared.now();
    let mut guard = shared.tables();
    let tables = &mut *guard;
    let order = shared.enter_era(tables, offset, now);
    let known = tables.servers_offset;
    let is_same_era = known.is_some_and(|known| feed::era(known) == feed::era(offset));
    if order == era::Order::Earlier || !(batch.is_snapshot || is_same_era || known.is_none()) {
        return;
    }
    let mut is_changed = apply_deferred_removals(shared, tables, now);
    let is_newer = known.is_none_or(|known| known < offset);
    let is_copy = tables.era.is_settling(now) && batch.is_snapshot;
    if is_newer && (batch.is_snapshot || known.is_some()) {
        let removals = if batch.is_snapshot {
            unlisted_removals(tables, &changes)
        } else {
            Vec::new()
        };
        for change in changes.into_iter().chain(removals) {
            if is_copy && tables.era.is_outdated(&change, now) {
                continue;
            }
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
        // A planner does not confirm for other nodes what it withholds from them: each
        // defers by its own evidence of an outage.
        if tables.deferred_removals.is_empty() {
            tables.peers.record_read(received, |ack| &mut ack.servers);
        }
    }
    // Changes that were skipped, as too old or as not part of a listing, are not
    // relayed either.
    if let Some(read) = tables.servers_offset
        && tables.deferred_removals.is_empty()
    {
        tables.peers.backlog.set_end(read);
    }
    if is_changed {
        shared.update_targets(tables);
        shared.request_heartbeat();
    }
}

/// Returns removals of all servers that are missing from a listing.
fn unlisted_removals(tables: &Tables, listing: &[Change]) -> Vec<Change> {
    let listed: HashSet<&Instance> = listing.iter().map(Change::id).collect();
    let known = tables.fleet.servers().map(|server| &server.id);
    let removed = known.filter(|id| !listed.contains(id));
    removed.cloned().map(Change::Removed).collect()
}

/// Returns whether removals are deferred after a recent outage of the store.
fn is_deferring_removals(tables: &Tables, now: Moment) -> bool {
    tables.defer_removals_until.is_some_and(|until| now < until)
}

/// Applies the deferred removals once they are due; returns whether there were any.
fn apply_deferred_removals(shared: &Shared, tables: &mut Tables, now: Moment) -> bool {
    if tables.deferred_removals.is_empty() || is_deferring_removals(tables, now) {
        return false;
    }
    // The entries are known to be absent up to the end of the last read. A new planner that
    // has not read yet relays nothing: others have read as far as it, or read anew.
    let offset = tables.servers_offset;
    let due = std::mem::take(&mut tables.deferred_removals);
    for id in &due {
        info!(shared.log, "backend server entry removed"; "server" => %id, "was_held_back" => true,
            "position" => offset, "source" => READ);
        if let Some(offset) = offset {
            queue_for_relay(tables, &Change::Removed(id.clone()), offset);
        }
        tables.apply_server(Change::Removed(id.clone()), now);
    }
    if let Some(offset) = offset {
        tables.peers.backlog.set_end(offset);
    }
    !due.is_empty()
}

/// Applies one change, with the end offset of its read.
///
/// Returns whether the change matters to requests.
fn apply_server_change(
    shared: &Shared,
    tables: &mut Tables,
    change: Change,
    offset: u64,
    now: Moment,
) -> bool {
    // The planner may have relayed a later change of this entry meanwhile.
    let relayed = tables.relayed_offsets.get(change.id());
    if relayed.is_some_and(|relayed| *relayed > offset) {
        return false;
    }
    let origin = Origin {
        position: offset,
        source: READ,
    };
    let Some(change) = origin.accept(&shared.log, tables, change) else {
        return false;
    };
    let is_significant = is_significant(tables, &change);
    match &change {
        Change::Removed(id) if is_deferring_removals(tables, now) => {
            let left = tables.defer_removals_until.map(|until| now.until(until));
            info!(shared.log, "removal deferred after store outage"; "server" => %id,
                "position" => offset, "for_ms" => left.map(|left| left.as_millis() as u64));
            tables.deferred_removals.insert(id.clone());
            return false;
        }
        Change::Removed(id) => {
            if is_significant {
                origin.log_removal(&shared.log, id);
            }
        }
        Change::Updated(server) => {
            tables.deferred_removals.remove(&server.id);
            origin.log_change(&shared.log, tables.fleet.server(&server.id), server);
        }
    }
    if is_significant {
        queue_for_relay(tables, &change, offset);
    }
    tables.apply_server(change, now);
    is_significant
}

/// Returns whether a change matters to requests; most changes only renew an entry.
fn is_significant(tables: &Tables, change: &Change) -> bool {
    let known = tables.fleet.server(change.id());
    match change {
        Change::Updated(server) => {
            known.is_none_or(|known| !known.is_equivalent_for_callers(server))
        }
        Change::Removed(_) => known.is_some(),
    }
}

/// Queues a change for the other nodes, if this node is the planner.
fn queue_for_relay(tables: &mut Tables, change: &Change, offset: u64) {
    if tables.peers.own_token.is_some() {
        tables.peers.backlog.add(offset, change.clone());
    }
}

/// Applies a change that the planner relayed, with the end offset of its read.
///
/// Returns whether the change matters to requests. Removals are not deferred here:
/// the planner defers them before it relays them.
pub(crate) fn apply_relayed_change(
    log: &Logger,
    tables: &mut Tables,
    offset: u64,
    change: Change,
    now: Moment,
) -> bool {
    let id = change.id().clone();
    let relayed = tables.relayed_offsets.get(&id).copied().unwrap_or(0);
    if offset <= tables.servers_offset.unwrap_or(0).max(relayed) {
        return false;
    }
    let origin = Origin {
        position: offset,
        source: RELAYED,
    };
    let Some(change) = origin.accept(log, tables, change) else {
        return false;
    };
    let known = tables.fleet.server(&id);
    match &change {
        Change::Updated(server) => origin.log_change(log, known, server),
        Change::Removed(_) if known.is_some() => origin.log_removal(log, &id),
        Change::Removed(_) => {}
    }
    let is_significant = is_significant(tables, &change);
    tables.relayed_offsets.insert(id.clone(), offset);
    tables.deferred_removals.remove(&id);
    tables.apply_server(change, now);
    is_significant
}

/// The source of changes that this node read from the store.
const READ: &str = "read";

/// The source of changes that the planner relayed.
const RELAYED: &str = "relayed";

/// Where a change of a server's entry came from.
#[derive(Debug, Clone, Copy)]
struct Origin {
    /// The end of the read that returned it.
    position: u64,
    /// Whether this node read it or the planner relayed it: [`READ`] or [`RELAYED`].
    source: &'static str,
}

impl Origin {
    /// Returns a change as it is to be applied; logs it and returns `None` if a newer record
    /// is known.
    fn accept(&self, log: &Logger, tables: &Tables, change: Change) -> Option<Change> {
        let Outdated { server, known } = match tables.fleet.check(change) {
            Ok(change) => return Some(change),
            Err(outdated) => outdated,
        };
        info!(log, "older entry of backend server ignored"; "server" => %server.id,
            "born" => server.incarnation, "sequence" => server.sequence, "is_leaving" => server.is_leaving,
            "known_born" => known.incarnation, "known_sequence" => known.sequence,
            "position" => self.position, "source" => self.source);
        None
    }

    /// Logs the removal of a server's entry.
    fn log_removal(&self, log: &Logger, id: &Instance) {
        info!(log, "backend server entry removed"; "server" => %id,
            "position" => self.position, "source" => self.source);
    }

    /// Logs a change of a server's entry, if it matters to requests.
    fn log_change(&self, log: &Logger, known: Option<&site::Server>, server: &site::Server) {
        let Some(known) = known else {
            info!(log, "backend server entry added"; "server" => %server.id, "service" => %server.service,
                "domain" => %server.domain, "address" => %server.address, "born" => server.incarnation,
                "is_leaving" => server.is_leaving, "sequence" => server.sequence,
                "position" => self.position, "source" => self.source);
            return;
        };
        if known.incarnation != server.incarnation {
            info!(log, "backend server started again"; "server" => %server.id, "born" => server.incarnation,
                "known_born" => known.incarnation, "is_leaving" => server.is_leaving, "sequence" => server.sequence,
                "position" => self.position, "source" => self.source);
        } else if known.is_leaving != server.is_leaving {
            info!(log, "backend server leaving state changed"; "server" => %server.id,
                "is_leaving" => server.is_leaving, "born" => server.incarnation, "sequence" => server.sequence,
                "known_sequence" => known.sequence, "position" => self.position, "source" => self.source);
        }
        if known.engine.membership != server.engine.membership {
            let member = server.engine.membership.as_ref();
            info!(log, "replica membership changed"; "server" => %server.id,
                "replica" => member.map(|m| m.replica.as_str().to_owned()),
                "generation" => member.map(|m| m.generation),
                "phase" => member.map(|m| format!("{:?}", m.phase)), "sequence" => server.sequence,
                "position" => self.position, "source" => self.source);
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
