//! The feeds of the store, read into the tables.

use crate::{
    peers::Marks,
    state::{Shared, Tables},
};
use clock::Moment;
use name::Instance;
use site::{
    config,
    feed::{Batch, Cursor, InvalidRecord},
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
const WAIT_PART_OF_CONFIG: f64 = 0.45;

/// The same of the bound on revoked secrets.
const WAIT_PART_OF_REVOKE: f64 = 0.18;

/// The age of a configuration that the planner vouches for, as a part of the
/// bound on configurations, at which a node reads by itself.
///
/// A word of the planner may be lost; one that comes is younger than this.
const TOLD_PART_OF_CONFIG: f64 = 0.55;

/// The same of the bound on revoked secrets.
const TOLD_PART_OF_REVOKE: f64 = 0.4;

/// How long a read of the operators' feed waits at the node that plans, and so
/// how old the view is that it vouches for.
const PLANNER_WAIT: Duration = Duration::from_millis(250);

/// The time between two reads of the operators' feed while the planner tells of
/// changes that this node lacks, as a part of the bound on configurations: many
/// changes may follow each other.
const BEHIND_PART_OF_CONFIG: f64 = 0.2;

/// The time between two reads of the servers' feed, as a part of the time within
/// which a server that leaves must get no more requests.
const STEP_PART: f64 = 0.4;

/// The age of the view of the servers that the planner vouches for, likewise, at
/// which a node reads by itself.
const TOLD_STEP_PART: f64 = 0.62;

/// The same if the planner has told of a change that this node lacks. Changes come
/// in bursts, so that a read at once would soon be followed by another one.
const BEHIND_STEP_PART: f64 = 0.25;

/// How long a read of the servers' feed waits for a change, likewise.
const WAIT_PART: f64 = 0.12;

/// The time between two reads of the servers' feed at the node that plans.
const PLANNER_STEP: Duration = Duration::from_millis(150);

/// How often a node looks whether it has become the planner, or is out of date.
const LOOK_STEP: Duration = Duration::from_millis(50);

/// The pause after a read that failed.
const PAUSE: Duration = Duration::from_millis(200);

/// How long after the return of the store a removal is held back.
///
/// Entries that lapse while the store is away are back within this time, if the
/// server lives and reaches the store.
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// The time between two readings of the other nodes' cards.
///
/// Nodes that start tell all others of themselves; a later reading only finds
/// those that were cut off for so long that they were forgotten.
const CARD_STEP: Duration = Duration::from_secs(60);

/// The distinct faults that are remembered so that each is logged once.
const MAX_FAULTS: usize = 1_000;

/// Faults that were logged, so that a record that comes again is not.
#[derive(Debug, Default)]
struct Faults {
    logged: HashSet<(String, String)>,
}

impl Faults {
    /// Logs faults that were not logged before.
    fn log(&mut self, shared: &Shared, feed: &'static str, faults: &[InvalidRecord]) {
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
struct Feed {
    name: &'static str,
    is_lost: bool,
    faults: Faults,
}

impl Feed {
    /// Returns a feed that was not read yet.
    fn new(name: &'static str) -> Self {
        Self {
            name,
            is_lost: false,
            faults: Faults::default(),
        }
    }

    /// Takes the answer to a read, and pauses after one that failed.
    async fn take<T>(
        &mut self,
        shared: &Shared,
        answer: Result<Batch<T>, site::feed::Error>,
    ) -> Option<Batch<T>> {
        match answer {
            Ok(batch) => {
                if std::mem::take(&mut self.is_lost) {
                    shared.tables().store_regained = Some(shared.now());
                    info!(shared.log, "store regained"; "feed" => self.name);
                }
                self.faults.log(shared, self.name, &batch.invalid_records);
                Some(batch)
            }
            Err(error) => {
                shared.metrics.count("store_failures", self.name);
                if !std::mem::replace(&mut self.is_lost, true) {
                    warn!(shared.log, "store lost"; "feed" => self.name, "error" => %error);
                }
                sleep(PAUSE).await;
                None
            }
        }
    }
}

/// Waits until the tables give an answer; looks at once, and then again and again.
async fn answer_of<T>(shared: &Shared, answer: impl Fn(&Tables, Moment) -> Option<T>) -> T {
    loop {
        let found = answer(&shared.tables(), shared.now());
        if let Some(found) = found {
            return found;
        }
        sleep(LOOK_STEP).await;
    }
}

/// Which node's reads a node relies on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reader {
    /// Its own, and it tells the others what it reads.
    Planner,
    /// The planner's.
    Told,
    /// Its own.
    Alone,
}

/// Returns whose reads this node relies on.
fn reader(tables: &Tables, now: Moment) -> Reader {
    if tables.peers.own_token.is_some() {
        Reader::Planner
    } else if tables.peers.is_vouched(now) {
        Reader::Told
    } else {
        Reader::Alone
    }
}

/// The times of reads of the operators' feed, by the bounds of the settings.
#[derive(Debug, Clone, Copy)]
struct Pace {
    /// How long a read waits if nobody vouches for the view.
    wait: Duration,
    /// The age of a view that is vouched for at which the feed is read.
    oldest: Duration,
    /// The time between two reads while changes are told of.
    behind: Duration,
}

impl Pace {
    /// Returns the times for some bounds.
    fn new(bounds: &Bounds) -> Self {
        let least = |of_config: f64, of_revoke: f64| {
            let config = bounds.max_config_delay.mul_f64(of_config);
            let revoke = bounds
                .max_revoke_delay
                .map(|revoke| revoke.mul_f64(of_revoke));
            revoke.map_or(config, |revoke| config.min(revoke))
        };
        Self {
            wait: least(WAIT_PART_OF_CONFIG, WAIT_PART_OF_REVOKE),
            oldest: least(TOLD_PART_OF_CONFIG, TOLD_PART_OF_REVOKE),
            behind: bounds.max_config_delay.mul_f64(BEHIND_PART_OF_CONFIG),
        }
    }

    /// Waits until the feed is to be read, and returns how long that read waits.
    async fn next(&self, shared: &Shared, last: Option<Moment>) -> Duration {
        answer_of(shared, |tables, now| match reader(tables, now) {
            Reader::Planner => Some(PLANNER_WAIT),
            Reader::Alone => Some(self.wait),
            Reader::Told => self.is_due(tables, last, now).then_some(Duration::ZERO),
        })
        .await
    }

    /// Returns whether the planner's word is not enough: it tells of a change, or
    /// the view that it vouches for is old.
    fn is_due(&self, tables: &Tables, last: Option<Moment>, now: Moment) -> bool {
        let age = tables.confirmed.map(|at| now.since(at));
        let since_last = last.map(|at| now.since(at));
        let is_behind =
            tables.is_behind.operators && since_last.is_none_or(|since| since >= self.behind);
        is_behind || age.is_none_or(|age| age >= self.oldest)
    }
}

/// Follows the operators' changes, for as long as the node runs.
pub(crate) async fn operators(shared: Arc<Shared>) {
    let mut feed = Feed::new("operators");
    let pace = Pace::new(&shared.settings.bounds);
    let mut last = None;
    loop {
        let wait = pace.next(&shared, last).await;
        let asked = shared.now();
        last = Some(asked);
        let (cursor, marks) = {
            let tables = shared.tables();
            let cursor = tables.operators_read.map_or(Cursor::Start, Cursor::At);
            (cursor, marks(&tables))
        };
        let answer = (shared.platform.read_operator_changes)(cursor, wait).await;
        if let Some(batch) = feed.take(&shared, answer).await {
            apply_operators(&shared, batch, asked, &marks);
        }
    }
}

/// Returns what was heard of the other nodes, if this node tells them what it reads.
fn marks(tables: &Tables) -> Marks {
    if tables.peers.own_token.is_some() {
        tables.peers.marks()
    } else {
        Marks::default()
    }
}

/// Applies changes of operators, and confirms the configuration.
fn apply_operators(
    shared: &Arc<Shared>,
    batch: Batch<config::Change>,
    asked: Moment,
    marks: &Marks,
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
                tables.fleet.set_taken_out(domain, true);
            }
            config::Change::BringBack(domain) => {
                info!(shared.log, "failure domain brought back"; "domain" => %domain);
                tables.fleet.set_taken_out(domain, false);
            }
        }
    }
    if let Cursor::At(offset) = batch.next {
        tables.operators_read = Some(offset);
    }
    if batch.is_at_end {
        tables.is_behind.operators = false;
        if tables.config.is_some() {
            tables.confirmed = tables.confirmed.max(Some(asked));
        }
        tables.peers.note_read(marks, |echo| &mut echo.operators);
    }
    if is_changed {
        shared.refresh(&mut tables);
        shared.hurry();
    }
}

/// Follows the servers' entries, for as long as the node runs.
pub(crate) async fn servers(shared: Arc<Shared>) {
    let mut feed = Feed::new("servers");
    let wait = shared.settings.bounds.max_leaving_delay.mul_f64(WAIT_PART);
    loop {
        let asked = shared.now();
        let (cursor, marks) = {
            let tables = shared.tables();
            let cursor = tables.servers_read.map_or(Cursor::Start, Cursor::At);
            (cursor, marks(&tables))
        };
        let answer = (shared.platform.read_servers)(cursor, wait).await;
        if let Some(batch) = feed.take(&shared, answer).await {
            apply_servers(&shared, batch, asked, &marks);
        }
        rest(&shared).await;
    }
}

/// Waits until the servers' feed is to be read again.
async fn rest(shared: &Shared) {
    let begin = shared.now();
    let leaving = shared.settings.bounds.max_leaving_delay;
    sleep(LOOK_STEP).await;
    let is_due = |tables: &Tables, now: Moment| {
        let waited = now.since(begin);
        match reader(tables, now) {
            _ if tables.servers_read.is_none() => true,
            Reader::Planner => waited >= PLANNER_STEP,
            Reader::Alone => waited >= leaving.mul_f64(STEP_PART),
            Reader::Told => {
                let age = tables.servers_confirmed.map(|at| now.since(at));
                let part = if tables.is_behind.servers {
                    BEHIND_STEP_PART
                } else {
                    TOLD_STEP_PART
                };
                age.is_none_or(|age| age >= leaving.mul_f64(part))
            }
        }
    };
    answer_of(shared, |tables, now| is_due(tables, now).then_some(())).await;
}

/// Applies changes of servers' entries, and confirms what is known of them.
fn apply_servers(shared: &Arc<Shared>, batch: Batch<Change>, asked: Moment, marks: &Marks) {
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
    let mut is_changed = release_lapsed(shared, tables, offset, now);
    let known = tables.servers_read;
    let is_news = known.is_none_or(|known| known < offset);
    if is_news && (batch.is_snapshot || known.is_some()) {
        let missing = if batch.is_snapshot {
            missing(tables, &changes)
        } else {
            Vec::new()
        };
        for change in changes.into_iter().chain(missing) {
            is_changed |= apply_server(shared, tables, change, offset, now);
        }
        tables.servers_read = Some(offset);
    }
    tables.servers_heard.retain(|_, heard| *heard > offset);
    if batch.is_at_end && tables.servers_read.is_some() {
        tables.is_behind.servers = false;
        tables.servers_confirmed = tables.servers_confirmed.max(Some(asked));
        tables.peers.note_read(marks, |echo| &mut echo.servers);
    }
    // What was left out, as older or as no listing, is not told of either.
    if let Some(read) = tables.servers_read {
        tables.peers.own_news.read(read);
    }
    if is_changed {
        shared.refresh(tables);
        shared.hurry();
    }
}

/// Returns the removals of all servers that a listing leaves out.
fn missing(tables: &Tables, listing: &[Change]) -> Vec<Change> {
    let listed: HashSet<&Instance> = listing.iter().map(Change::id).collect();
    let known = tables.fleet.servers().map(|server| &server.id);
    let missing = known.filter(|id| !listed.contains(id));
    missing.cloned().map(Change::Removed).collect()
}

/// Returns whether removals are held back, since the store was away until just now.
fn is_held(tables: &Tables, now: Moment) -> bool {
    let held_until = tables.store_regained.map(|at| at + LAPSE_GRACE);
    held_until.is_some_and(|until| now < until)
}

/// Applies the removals that were held back; returns whether there were any.
fn release_lapsed(shared: &Shared, tables: &mut Tables, offset: u64, now: Moment) -> bool {
    if is_held(tables, now) {
        return false;
    }
    let due = std::mem::take(&mut tables.lapsed);
    for id in &due {
        info!(shared.log, "server gone"; "server" => %id, "was_held_back" => true);
        tell(tables, &Change::Removed(id.clone()), offset);
        tables.fleet.apply(Change::Removed(id.clone()));
    }
    !due.is_empty()
}

/// Applies one change that was read before an offset; returns whether it was news.
fn apply_server(
    shared: &Shared,
    tables: &mut Tables,
    change: Change,
    offset: u64,
    now: Moment,
) -> bool {
    // The planner may have told of a later entry meanwhile.
    let heard = tables.servers_heard.get(change.id());
    if heard.is_some_and(|heard| *heard > offset) {
        return false;
    }
    let is_news = is_news(tables, &change);
    match &change {
        Change::Removed(id) if is_held(tables, now) => {
            info!(shared.log, "entry lapsed after an outage"; "server" => %id);
            tables.lapsed.insert(id.clone());
            return false;
        }
        Change::Removed(id) => {
            if is_news {
                info!(shared.log, "server gone"; "server" => %id);
            }
        }
        Change::Updated(server) => {
            tables.lapsed.remove(&server.id);
            log_change(&shared.log, tables.fleet.server(&server.id), server);
        }
    }
    if is_news {
        tell(tables, &change, offset);
    }
    tables.fleet.apply(change);
    is_news
}

/// Returns whether a change matters to requests; most only renew an entry.
fn is_news(tables: &Tables, change: &Change) -> bool {
    let known = tables.fleet.server(change.id());
    match change {
        Change::Updated(server) => {
            known.is_none_or(|known| !known.is_equivalent_for_callers(server))
        }
        Change::Removed(_) => known.is_some(),
    }
}

/// Lets other nodes know of a change, if this node plans.
fn tell(tables: &mut Tables, change: &Change, offset: u64) {
    if tables.peers.own_token.is_some() {
        tables.peers.own_news.add(offset, change.clone());
    }
}

/// Takes over a change that the planner read before an offset of the feed;
/// returns whether it was news.
///
/// The planner holds removals back itself if the store was away.
pub(crate) fn hear(log: &Logger, tables: &mut Tables, offset: u64, change: Change) -> bool {
    let id = change.id().clone();
    let heard = tables.servers_heard.get(&id).copied().unwrap_or(0);
    if offset <= tables.servers_read.unwrap_or(0).max(heard) {
        return false;
    }
    let known = tables.fleet.server(&id);
    match &change {
        Change::Updated(server) => log_change(log, known, server),
        Change::Removed(_) if known.is_some() => {
            info!(log, "server gone"; "server" => %id, "told_by" => "planner");
        }
        Change::Removed(_) => {}
    }
    let is_news = is_news(tables, &change);
    tables.servers_heard.insert(id.clone(), offset);
    tables.lapsed.remove(&id);
    tables.fleet.apply(change);
    is_news
}

/// Logs what changed of a server's entry, if it matters.
fn log_change(log: &Logger, known: Option<&site::Server>, server: &site::Server) {
    let Some(known) = known else {
        info!(log, "server came"; "server" => %server.id, "service" => %server.service,
            "domain" => %server.domain, "address" => %server.address, "born" => server.incarnation);
        return;
    };
    if known.is_leaving != server.is_leaving {
        info!(log, "server leaves"; "server" => %server.id,
            "is_leaving" => server.is_leaving);
    }
    if known.engine.membership != server.engine.membership {
        let member = server.engine.membership.as_ref();
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
pub(crate) async fn cards(shared: Arc<Shared>, card: site::node::NodeRecord) {
    let own = card.node.clone();
    announce(&shared, card).await;
    let mut faults = Faults::default();
    loop {
        match (shared.platform.read_nodes)(Cursor::Start, Duration::ZERO).await {
            Ok(batch) => {
                faults.log(&shared, "cards", &batch.invalid_records);
                let now = shared.now();
                let mut tables = shared.tables();
                for card in batch.records.into_iter().filter(|c| c.node != own) {
                    tables.peers.learn(card, now);
                }
            }
            Err(error) => {
                warn!(shared.log, "cards not read"; "error" => %error);
                sleep(PAUSE).await;
                continue;
            }
        }
        sleep(CARD_STEP).await;
    }
}

/// Puts this node's card into the store, trying until it stands there.
async fn announce(shared: &Shared, card: site::node::NodeRecord) {
    while let Err(error) = (shared.platform.write_node_record)(card.clone()).await {
        warn!(shared.log, "card not announced"; "error" => %error);
        sleep(PAUSE).await;
    }
    info!(shared.log, "card announced"; "node" => %card.node);
}

#[cfg(test)]
mod tests;
