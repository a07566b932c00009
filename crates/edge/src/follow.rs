//! The feeds of the store, read into the tables.

use crate::state::{Shared, Tables};
use clock::Moment;
use name::Instance;
use site::{
    config,
    feed::{Cursor, Fault},
    server::Change,
};
use slog::{info, warn};
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

/// The time between two reads of the servers' feed, as a part of the time within
/// which a server that leaves must get no more requests.
const STEP_PART: f64 = 0.4;

/// The same while a planner tells what it reads. What it tells may be lost, so
/// that this alone must keep the bound.
const TOLD_STEP_PART: f64 = 0.62;

/// How long a read of the servers' feed waits for a change, likewise.
const WAIT_PART: f64 = 0.12;

/// The time between two reads of the servers' feed at the node that plans.
const PLANNER_STEP: Duration = Duration::from_millis(150);

/// How often a node looks whether it has become the planner.
const LOOK_STEP: Duration = Duration::from_millis(50);

/// The pause after a read that failed.
const PAUSE: Duration = Duration::from_millis(200);

/// How long after the return of the store a removal is held back.
///
/// Entries that lapse while the store is away are back within this time, if the
/// server lives and reaches the store.
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// The time between two readings of the other nodes' cards.
const CARD_STEP: Duration = Duration::from_secs(15);

/// The distinct faults that are remembered so that each is logged once.
const MAX_FAULTS: usize = 1_000;

/// Faults that were logged, so that a record that comes again is not.
#[derive(Debug, Default)]
struct Faults {
    logged: HashSet<(String, String)>,
}

impl Faults {
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

/// Says when the store is lost and regained.
#[derive(Debug)]
struct Contact {
    feed: &'static str,
    is_lost: bool,
}

impl Contact {
    /// Notes that a read succeeded.
    fn succeed(&mut self, shared: &Shared) {
        if std::mem::take(&mut self.is_lost) {
            shared.tables().store_regained = Some(shared.now());
            info!(shared.log, "store regained"; "feed" => self.feed);
        }
    }

    /// Notes that a read failed.
    fn fail(&mut self, shared: &Shared, error: &site::feed::Error) {
        shared.metrics.count("store_failures", self.feed);
        if !std::mem::replace(&mut self.is_lost, true) {
            warn!(shared.log, "store lost"; "feed" => self.feed, "error" => %error);
        }
    }
}

/// Follows the operators' changes, for as long as the node runs.
pub(crate) async fn operators(shared: Arc<Shared>) {
    let mut cursor = Cursor::Start;
    let mut faults = Faults::default();
    let mut contact = Contact {
        feed: "operators",
        is_lost: false,
    };
    let bounds = &shared.settings.bounds;
    let of_config = bounds.config.mul_f64(WAIT_PART_OF_CONFIG);
    let of_revoke = bounds.revoke.map(|r| r.mul_f64(WAIT_PART_OF_REVOKE));
    let wait = of_revoke.map_or(of_config, |of_revoke| of_config.min(of_revoke));
    loop {
        let asked = shared.now();
        match (shared.platform.operators)(cursor, wait).await {
            Ok(batch) => {
                contact.succeed(&shared);
                faults.log(&shared, "operators", &batch.faults);
                cursor = batch.next;
                apply_operators(&shared, batch.records, batch.is_snapshot, asked);
            }
            Err(error) => {
                contact.fail(&shared, &error);
                sleep(PAUSE).await;
            }
        }
    }
}

/// Applies changes of operators, and confirms the configuration.
fn apply_operators(
    shared: &Arc<Shared>,
    changes: Vec<config::Change>,
    is_snapshot: bool,
    asked: Moment,
) {
    let mut tables = shared.tables();
    let is_changed = is_snapshot || !changes.is_empty();
    if is_snapshot {
        tables.fleet.bring_all_back();
    }
    for change in changes {
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
    if tables.config.is_some() {
        tables.confirmed = Some(asked);
    }
    if is_changed {
        shared.refresh(&mut tables);
    }
}

/// Follows the servers' entries, for as long as the node runs.
pub(crate) async fn servers(shared: Arc<Shared>) {
    let mut cursor = Cursor::Start;
    let mut faults = Faults::default();
    let mut contact = Contact {
        feed: "servers",
        is_lost: false,
    };
    let wait = shared.settings.bounds.leaving.mul_f64(WAIT_PART);
    loop {
        let asked = shared.now();
        match (shared.platform.servers)(cursor, wait).await {
            Ok(batch) => {
                contact.succeed(&shared);
                faults.log(&shared, "servers", &batch.faults);
                cursor = batch.next;
                let unusable = batch.faults.iter().filter_map(|f| f.key.parse().ok());
                let changes: Vec<Change> = batch
                    .records
                    .into_iter()
                    .chain(unusable.map(Change::Gone))
                    .collect();
                if let Cursor::At(offset) = cursor {
                    let is_snapshot = batch.is_snapshot;
                    apply_servers(&shared, changes, is_snapshot, offset);
                }
                shared.tables().servers_confirmed = Some(asked);
            }
            Err(error) => {
                contact.fail(&shared, &error);
                sleep(PAUSE).await;
            }
        }
        rest(&shared).await;
    }
}

/// Waits until the servers' feed is to be read again.
async fn rest(shared: &Shared) {
    let begin = shared.now();
    let leaving = shared.settings.bounds.leaving;
    loop {
        sleep(LOOK_STEP).await;
        let waited = shared.now().since(begin);
        let tables = shared.tables();
        let step = if tables.peers.own_token.is_some() {
            PLANNER_STEP
        } else if tables.peers.has_planner(shared.now()) {
            leaving.mul_f64(TOLD_STEP_PART)
        } else {
            leaving.mul_f64(STEP_PART)
        };
        if waited >= step {
            return;
        }
    }
}

/// Applies changes of servers' entries that were read before an offset.
fn apply_servers(
    shared: &Arc<Shared>,
    changes: Vec<Change>,
    is_snapshot: bool,
    offset: u64,
) {
    let now = shared.now();
    let mut guard = shared.tables();
    let tables = &mut *guard;
    let held_until = tables.store_regained.map(|at| at + LAPSE_GRACE);
    let is_held = held_until.is_some_and(|until| now < until);
    let due: Vec<Instance> = if is_held {
        Vec::new()
    } else {
        std::mem::take(&mut tables.lapsed).into_iter().collect()
    };
    let mut is_changed = !due.is_empty() || is_snapshot;
    tables.servers_read = offset;
    if is_snapshot {
        tables.servers_heard.clear();
        tables.lapsed.clear();
        tables.fleet.replace(changes);
    } else {
        for change in changes {
            // The planner may have told of a later entry meanwhile.
            let heard = tables.servers_heard.get(change.id());
            if heard.is_some_and(|heard| *heard > offset) {
                continue;
            }
            let is_news = is_news(tables, &change);
            if is_news {
                tell(tables, &change, offset, now);
            }
            match &change {
                Change::Gone(id) if is_held => {
                    info!(shared.log, "entry lapsed after an outage"; "server" => %id);
                    tables.lapsed.insert(id.clone());
                    continue;
                }
                Change::Gone(id) => {
                    if is_news {
                        info!(shared.log, "server gone"; "server" => %id);
                    }
                }
                Change::Is(server) => {
                    tables.lapsed.remove(&server.id);
                    log_change(shared, tables.fleet.server(&server.id), server);
                }
            }
            // Most records only renew an entry; targets stay as they are.
            is_changed |= is_news;
            tables.fleet.apply(change);
        }
    }
    for id in due {
        info!(shared.log, "server gone"; "server" => %id, "was_held_back" => true);
        tables.fleet.apply(Change::Gone(id));
    }
    tables.servers_heard.retain(|_, heard| *heard > offset);
    if is_changed {
        shared.refresh(tables);
    }
}

/// Returns whether a change says more than that an entry was renewed.
fn is_news(tables: &Tables, change: &Change) -> bool {
    let known = tables.fleet.server(change.id());
    match change {
        Change::Is(server) => known.is_none_or(|known| !known.is_alike(server)),
        Change::Gone(_) => known.is_some(),
    }
}

/// Lets other nodes know of a change, if this node plans.
fn tell(tables: &mut Tables, change: &Change, offset: u64, now: Moment) {
    if tables.peers.own_token.is_some() {
        tables.peers.own_news.add(offset, change.clone(), now);
    }
}

/// Takes over a change that the planner read before an offset of the feed;
/// returns whether it was news.
///
/// Removals are left to this node's own reading, which knows whether the store
/// was away.
pub(crate) fn hear(shared: &Shared, tables: &mut Tables, offset: u64, change: Change) -> bool {
    let Change::Is(server) = &change else {
        return false;
    };
    let heard = tables.servers_heard.get(&server.id).copied().unwrap_or(0);
    if offset <= tables.servers_read.max(heard) {
        return false;
    }
    log_change(shared, tables.fleet.server(&server.id), server);
    tables.servers_heard.insert(server.id.clone(), offset);
    // What was held back as lapsed is back.
    tables.lapsed.remove(&server.id);
    tables.fleet.apply(change);
    true
}

/// Logs what changed of a server's entry, if it matters.
fn log_change(shared: &Shared, known: Option<&site::Server>, server: &site::Server) {
    let Some(known) = known else {
        info!(shared.log, "server came"; "server" => %server.id, "service" => %server.service,
            "domain" => %server.domain, "address" => %server.address, "born" => server.born);
        return;
    };
    if known.is_leaving != server.is_leaving {
        info!(shared.log, "server leaves"; "server" => %server.id,
            "is_leaving" => server.is_leaving);
    }
    if known.engine.member != server.engine.member {
        let member = server.engine.member.as_ref();
        info!(shared.log, "membership changed"; "server" => %server.id,
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
    announce(&shared, card).await;
    let mut faults = Faults::default();
    loop {
        match (shared.platform.cards)(Cursor::Start, Duration::ZERO).await {
            Ok(batch) => {
                faults.log(&shared, "cards", &batch.faults);
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
async fn announce(shared: &Shared, card: site::node::Card) {
    while let Err(error) = (shared.platform.announce)(card.clone()).await {
        warn!(shared.log, "card not announced"; "error" => %error);
        sleep(PAUSE).await;
    }
    info!(shared.log, "card announced"; "node" => %card.node);
}
