//! Application of feed reads to the tables.

use super::{
    ReadSchedule, ReceivedSequences, apply_deferred_removals, apply_operators,
    apply_relayed_change, apply_servers,
};
use crate::{
    feed_reader::{FeedReader, MIN_OUTAGE, REMOVAL_GRACE},
    feed_relay::{self, Backlog},
    state::Shared,
};
use clock::{Clock, Moment, WallTime};
use site::{
    Config, Platform, Settings, config,
    feed::{self, Batch, Cursor},
    fixture::{self, id},
    server::Change,
};
use slog::{Discard, Logger, o};
use std::{
    future::pending,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Returns a platform whose reads never return and whose codecs are never called.
fn inert_platform() -> Platform {
    Platform {
        read_operator_changes: Arc::new(|_, _| Box::pin(pending())),
        read_servers: Arc::new(|_, _| Box::pin(pending())),
        read_nodes: Arc::new(|_, _| Box::pin(pending())),
        read_claims: Arc::new(|_, _| Box::pin(pending())),
        write_node_record: Arc::new(|_| Box::pin(pending())),
        read_quarantine: Arc::new(|_, _| Box::pin(pending())),
        write_quarantine: Arc::new(|_| Box::pin(pending())),
        append_claim: Arc::new(|_| Box::pin(pending())),
        send_order: Arc::new(|_| Box::pin(pending())),
        fetch_report: Arc::new(|_| Box::pin(pending())),
        check_health: Arc::new(|_| Box::pin(pending())),
        parse_request: |_| unreachable!("no caller"),
        build_request: |_, _| unreachable!("no request"),
        build_forwarded_request: |_, _| unreachable!("no request"),
        parse_response_head: |_| unreachable!("no answer"),
        build_error_response: |_| unreachable!("no caller"),
        parse_directory_query: |_| None,
        build_directory_response: |_, _| unreachable!("no caller"),
        is_readiness_check: |_| false,
    }
}

fn settings() -> Settings {
    let address = ([127, 0, 0, 1], 1).into();
    Settings {
        node: "n".parse().expect("a name"),
        domain: "z".parse().expect("a name"),
        caller_address: address,
        readiness_address: address,
        directory_address: None,
        peer_address: address,
        store_address: address,
        link_mbit_per_s: None,
        memory_bytes: None,
        max_descriptors: None,
        is_first_start: true,
        bounds: fixture::bounds(),
    }
}

fn entry(name: &str) -> Change {
    Change::Updated(Box::new(fixture::server(name)))
}

fn batch(records: Vec<Change>, next: u64, is_snapshot: bool) -> Batch<Change> {
    Batch {
        records,
        next: Cursor::At(next),
        is_snapshot,
        is_at_end: true,
        invalid_records: Vec::new(),
    }
}

/// The time after which the store's return from an older copy has settled.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// A node whose clock is set by the test.
pub(crate) struct Node {
    pub(crate) shared: Arc<Shared>,
    millis: Arc<AtomicU64>,
}

impl Node {
    pub(crate) fn new() -> Self {
        let millis = Arc::new(AtomicU64::new(1_000));
        let now = Arc::clone(&millis);
        let clock = Clock::new(
            move || Moment::from_millis(now.load(Ordering::Relaxed)),
            WallTime::default,
        );
        let log = Logger::root(Discard, o!());
        Self {
            shared: Arc::new(Shared::new(settings(), inert_platform(), clock, log)),
            millis,
        }
    }

    /// Applies a change that the next read returns.
    pub(crate) fn apply(&self, change: Change) {
        let next = self.shared.tables().servers_offset.unwrap_or(0) + 1;
        self.apply_read(vec![change], next, next == 1);
    }

    pub(crate) fn advance(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).expect("a short time");
        self.millis.fetch_add(millis, Ordering::Relaxed);
    }

    pub(crate) fn apply_read(&self, records: Vec<Change>, next: u64, is_snapshot: bool) {
        let started = self.shared.now();
        let batch = batch(records, next, is_snapshot);
        apply_servers(&self.shared, batch, started, &ReceivedSequences::default());
    }

    /// Ends an outage of the store that was long enough for entries to expire.
    fn recover_from_outage(&self) {
        let lost_since = self.shared.now();
        self.advance(MIN_OUTAGE);
        let now = self.shared.now();
        assert!(self.shared.tables().record_recovery(lost_since, now));
    }

    fn has_server(&self, name: &str) -> bool {
        self.shared.tables().fleet.server(&id(name)).is_some()
    }
}

/// Guards against deferred removals that wait for the next record: a server that had
/// left then got requests for seconds after the grace period.
#[test]
fn removals_after_outage_are_deferred_for_grace_period() {
    let node = Node::new();
    node.apply_read(vec![entry("a"), entry("b"), entry("c")], 10, true);
    node.recover_from_outage();
    node.advance(Duration::from_millis(500));
    let gone = ["a", "b", "c"].map(|name| Change::Removed(id(name)));
    node.apply_read(gone.to_vec(), 13, false);
    assert!(node.has_server("a") && node.has_server("b") && node.has_server("c"));
    // One entry is written again in this node's own read, one in a relayed change.
    node.apply_read(vec![entry("b")], 14, false);
    let mut tables = node.shared.tables();
    apply_relayed_change(
        &node.shared.log,
        &mut tables,
        20,
        entry("c"),
        node.shared.now(),
    );
    drop(tables);
    node.advance(REMOVAL_GRACE);
    // A read without records applies the deferred removals.
    node.apply_read(Vec::new(), 14, false);
    assert!(!node.has_server("a"));
    assert!(node.has_server("b") && node.has_server("c"));
}

/// Guards against taking one reset connection for an outage of the store: a server that
/// left then got requests of all nodes until it ended.
#[test]
fn only_a_time_without_any_confirmation_is_an_outage() {
    struct Case {
        what: &'static str,
        /// Milliseconds since reads have failed, and since the view was last confirmed.
        lost: u64,
        confirmed: u64,
        is_outage: bool,
    }
    let cases = [
        Case {
            what: "one read failed",
            lost: 450,
            confirmed: 700,
            is_outage: false,
        },
        Case {
            what: "only this node lost the store, and a planner relayed its reads",
            lost: 60_000,
            confirmed: 300,
            is_outage: false,
        },
        Case {
            what: "the store was down",
            lost: 1_500,
            confirmed: 2_000,
            is_outage: true,
        },
    ];
    for case in cases {
        let node = Node::new();
        node.advance(Duration::from_secs(100));
        let now = node.shared.now();
        let ago = |millis| now - Duration::from_millis(millis);
        let mut tables = node.shared.tables();
        tables.servers_confirmed = Some(ago(case.confirmed));
        let is_outage = tables.record_recovery(ago(case.lost), now);
        assert_eq!(is_outage, case.is_outage, "{}", case.what);
    }
}

/// Guards against a removal that the planner deferred and no other node ever saw: its
/// heartbeats confirmed views up to an offset behind the removal, and relayed it later
/// with an offset that all had reached.
#[test]
fn planner_neither_confirms_nor_passes_a_removal_that_it_defers() {
    let node = Node::new();
    node.apply_read(vec![entry("a")], 10, true);
    let mut tables = node.shared.tables();
    tables.operators_offset = Some(1);
    tables.peers.own_token = Some(1);
    tables.peers.backlog = Backlog::starting_at(10);
    drop(tables);
    node.recover_from_outage();
    node.apply_read(vec![Change::Removed(id("a"))], 11, false);
    let update = feed_relay::next_update(&mut node.shared.tables(), false).expect("an update");
    assert_eq!((update.to, update.changes.len()), (10, 0));
    node.advance(REMOVAL_GRACE);
    // No further read is needed.
    let now = node.shared.now();
    let mut tables = node.shared.tables();
    assert!(apply_deferred_removals(&node.shared, &mut tables, now));
    let update = feed_relay::next_update(&mut tables, false).expect("an update");
    assert_eq!((update.to, update.changes.len()), (11, 1));
    drop(tables);
    assert!(!node.has_server("a"));
}

/// Guards against deferring removals because the store rejected reads for their number.
#[tokio::test]
async fn rejected_reads_are_no_outage() {
    for is_rejected in [true, false] {
        let node = Node::new();
        node.apply_read(vec![entry("a")], 10, true);
        let mut reader = FeedReader::new("servers");
        for _ in 0..6 {
            let error = feed::Error {
                reason: "status".into(),
                is_without_effect: true,
                is_rejected,
            };
            let started = node.shared.now();
            let answer: Result<Batch<Change>, _> = Err(error);
            reader.handle_read(&node.shared, started, answer).await;
            node.advance(Duration::from_millis(200));
        }
        let answer = Ok(batch(vec![Change::Removed(id("a"))], 11, false));
        let now = node.shared.now();
        let read = reader.handle_read(&node.shared, now, answer).await;
        apply_servers(
            &node.shared,
            read.expect("a read"),
            now,
            &ReceivedSequences::default(),
        );
        assert_eq!(
            node.has_server("a"),
            !is_rejected,
            "rejected: {is_rejected}"
        );
    }
}

/// Guards against an update that makes all nodes read the feed: a new planner applies a
/// removal that it deferred before it has read anything.
#[test]
fn new_planner_without_a_view_relays_no_deferred_removal() {
    let node = Node::new();
    node.apply_read(vec![entry("a")], 10, true);
    node.recover_from_outage();
    node.apply_read(vec![Change::Removed(id("a"))], 11, false);
    let mut tables = node.shared.tables();
    tables.operators_offset = Some(1);
    tables.peers.own_token = Some(1);
    tables.peers.backlog = Backlog::starting_at(11);
    tables.servers_offset = None;
    drop(tables);
    node.advance(REMOVAL_GRACE);
    let now = node.shared.now();
    let mut tables = node.shared.tables();
    assert!(apply_deferred_removals(&node.shared, &mut tables, now));
    let update = feed_relay::next_update(&mut tables, false).expect("an update");
    assert_eq!((update.to, update.changes.len()), (11, 0));
    drop(tables);
    assert!(!node.has_server("a"));
}

#[test]
fn removal_without_outage_applies_at_once() {
    let node = Node::new();
    node.apply_read(vec![entry("a")], 10, true);
    node.apply_read(vec![Change::Removed(id("a"))], 11, false);
    assert!(!node.has_server("a"));
}

/// A listing replaces all entries except those of later relayed changes.
#[test]
fn listing_removes_unlisted_servers() {
    let node = Node::new();
    node.apply_read(vec![entry("a"), entry("b")], 10, true);
    let mut tables = node.shared.tables();
    apply_relayed_change(
        &node.shared.log,
        &mut tables,
        30,
        entry("later"),
        node.shared.now(),
    );
    drop(tables);
    node.apply_read(vec![entry("b")], 20, true);
    assert!(!node.has_server("a"));
    assert!(node.has_server("b") && node.has_server("later"));
}

/// A read result is out of date if a relayed update advanced the offset while the
/// read was in flight.
#[test]
fn older_read_reverts_nothing() {
    let node = Node::new();
    node.apply_read(vec![entry("a")], 10, true);
    node.shared.tables().servers_offset = Some(20);
    node.apply_read(vec![Change::Removed(id("a"))], 15, false);
    assert!(node.has_server("a"));
    assert_eq!(node.shared.tables().servers_offset, Some(20));
}

/// A new planner lists all entries again. Results of a read that was in flight before
/// the listing are discarded, and must not be relayed as read.
#[test]
fn new_planner_relays_only_listed_changes() {
    let node = Node::new();
    node.apply_read(vec![entry("a"), entry("b")], 10, true);
    let mut tables = node.shared.tables();
    tables.operators_offset = Some(1);
    tables.peers.own_token = Some(1);
    tables.peers.backlog = Backlog::starting_at(10);
    tables.servers_offset = None;
    drop(tables);
    node.apply_read(vec![Change::Removed(id("a"))], 15, false);
    let update = feed_relay::next_update(&mut node.shared.tables(), false).expect("an update");
    assert_eq!((update.from, update.to, update.changes.len()), (10, 10, 0));
    node.apply_read(vec![entry("b"), entry("c")], 20, true);
    let update = feed_relay::next_update(&mut node.shared.tables(), false).expect("an update");
    assert_eq!((update.from, update.to), (10, 20));
    let changed: Vec<&str> = update
        .changes
        .iter()
        .map(|(_, c)| c.id().as_str())
        .collect();
    assert_eq!(changed, ["c", "a"]);
}

#[test]
fn incomplete_read_does_not_confirm_the_view() {
    let node = Node::new();
    let started = node.shared.now();
    let unfinished = Batch {
        is_at_end: false,
        ..batch(vec![entry("a")], 10, true)
    };
    apply_servers(
        &node.shared,
        unfinished,
        started,
        &ReceivedSequences::default(),
    );
    assert_eq!(node.shared.tables().servers_confirmed, None);
    node.apply_read(Vec::new(), 10, false);
    assert_eq!(node.shared.tables().servers_confirmed, Some(started));
}

/// Guards against taking what an older copy of the store lacks for removed: the servers in
/// it, a domain that is out of service, a newer configuration, and a server that left.
#[test]
fn return_of_the_store_from_an_older_copy_undoes_nothing() {
    let node = Node::new();
    let at = |era, offset| feed::position(era, offset);
    let config = |version| {
        config::Change::Config(Box::new(Config {
            version,
            ..Config::default()
        }))
    };
    let domain: name::Domain = "z2".parse().expect("a name");
    let operators = |records, position, is_snapshot| {
        let batch = Batch {
            records,
            next: Cursor::At(position),
            is_snapshot,
            is_at_end: true,
            invalid_records: Vec::new(),
        };
        let received = ReceivedSequences::default();
        apply_operators(&node.shared, batch, node.shared.now(), &received);
    };
    node.apply_read(vec![entry("a"), entry("b"), entry("gone")], at(1, 10), true);
    node.apply_read(vec![Change::Removed(id("gone"))], at(1, 11), false);
    operators(vec![config(13)], at(1, 5), true);
    operators(
        vec![config(17), config::Change::TakeOut(domain.clone())],
        at(1, 7),
        false,
    );
    let confirmed = node.shared.tables().config_confirmed;
    node.advance(Duration::from_millis(100));

    // The copy is from before version 17, the removal of one server, and the start of another.
    node.apply_read(vec![entry("a"), entry("gone")], at(2, 9), true);
    operators(vec![config(13)], at(2, 4), true);
    // A read of the earlier era was on its way.
    node.apply_read(vec![Change::Removed(id("a"))], at(1, 12), false);
    let has_servers = node.has_server("a") && node.has_server("b") && !node.has_server("gone");
    assert!(has_servers);
    assert!(node.shared.tables().fleet.is_taken_out(&domain));
    let version = |node: &Node| {
        let tables = node.shared.tables();
        tables.config.as_ref().map(|config| config.version)
    };
    assert_eq!(version(&node), Some(17));
    assert_eq!(node.shared.tables().config_confirmed, confirmed);

    // Operators and servers write again what was lost, but for the domain.
    node.apply_read(vec![entry("b")], at(2, 10), false);
    operators(vec![config(17)], at(2, 5), false);
    node.advance(SETTLE_TIME);
    let now = node.shared.now();
    assert!(node.shared.end_settling(&mut node.shared.tables(), now));
    operators(Vec::new(), at(2, 5), false);
    assert!(!node.shared.tables().fleet.is_taken_out(&domain));
    assert_eq!(node.shared.tables().config_confirmed, Some(now));
    assert!(node.has_server("a") && node.has_server("b"));
}

/// Guards against confirming a view by a planner that has not seen the store's return.
#[test]
fn update_of_an_earlier_era_confirms_nothing() {
    let node = Node::new();
    let at = |era, offset| feed::position(era, offset);
    node.apply_read(vec![entry("a")], at(2, 10), true);
    let mut tables = node.shared.tables();
    tables.operators_offset = Some(at(2, 4));
    let now = node.shared.now();
    let update = feed_relay::FeedUpdate {
        operators: at(1, 900),
        from: at(1, 900),
        to: at(1, 950),
        changes: vec![(at(1, 940), Change::Removed(id("a")))],
    };
    let log = node.shared.log.clone();
    let is_changed = feed_relay::apply_update(&log, &mut tables, update, None, now);
    assert!(!is_changed && tables.peers.last_update.is_none());
    // An update of a newer era makes the node read.
    let update = feed_relay::FeedUpdate {
        operators: at(3, 1),
        from: at(3, 1),
        to: at(3, 2),
        changes: Vec::new(),
    };
    feed_relay::apply_update(&log, &mut tables, update, None, now);
    assert!(tables.is_behind.operators && tables.is_behind.servers);
    assert!(tables.fleet.server(&id("a")).is_some());
}

/// With relayed updates, a node reads the feed only if it lacks a change or its view
/// is too old.
#[test]
fn operators_feed_is_due_when_relayed_view_is_old_or_behind() {
    struct Case {
        what: &'static str,
        is_behind: bool,
        /// Milliseconds since the view was confirmed, and since the last read.
        age: u64,
        since_last: u64,
        is_due: bool,
    }
    let cases = [
        Case {
            what: "a recent view",
            is_behind: false,
            age: 300,
            since_last: 60_000,
            is_due: false,
        },
        Case {
            what: "an old view",
            is_behind: false,
            age: 1_100,
            since_last: 1_100,
            is_due: true,
        },
        Case {
            what: "a missing change",
            is_behind: true,
            age: 300,
            since_last: 60_000,
            is_due: true,
        },
        Case {
            what: "a missing change soon after a read",
            is_behind: true,
            age: 300,
            since_last: 200,
            is_due: false,
        },
    ];
    let node = Node::new();
    let schedule = ReadSchedule::new(&node.shared.settings.bounds);
    node.advance(Duration::from_secs(100));
    let now = node.shared.now();
    for case in cases {
        let mut tables = node.shared.tables();
        tables.is_behind.operators = case.is_behind;
        tables.config_confirmed = Some(now - Duration::from_millis(case.age));
        let last = now - Duration::from_millis(case.since_last);
        let is_due = schedule.is_due(&tables, Some(last), now);
        assert_eq!(is_due, case.is_due, "{}", case.what);
    }
}
