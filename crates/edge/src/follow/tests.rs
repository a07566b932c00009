//! How reads of the feeds become tables.

use super::{LAPSE_GRACE, Marks, Pace, apply_servers, hear};
use crate::{
    state::Shared,
    vouch::{self, News},
};
use clock::{Clock, Moment, Wall};
use site::{
    Platform, Settings,
    feed::{Batch, Cursor},
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

/// Returns a platform that is never called.
fn nowhere() -> Platform {
    Platform {
        read_operator_changes: Arc::new(|_, _| Box::pin(pending())),
        read_servers: Arc::new(|_, _| Box::pin(pending())),
        read_nodes: Arc::new(|_, _| Box::pin(pending())),
        read_claims: Arc::new(|_, _| Box::pin(pending())),
        write_node_record: Arc::new(|_| Box::pin(pending())),
        append_claim: Arc::new(|_| Box::pin(pending())),
        send_order: Arc::new(|_| Box::pin(pending())),
        fetch_report: Arc::new(|_| Box::pin(pending())),
        parse_request: |_| unreachable!("no caller"),
        build_request: |_, _| unreachable!("no request"),
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

/// A node whose time is set by the test.
struct Node {
    shared: Arc<Shared>,
    millis: Arc<AtomicU64>,
}

impl Node {
    fn new() -> Self {
        let millis = Arc::new(AtomicU64::new(1_000));
        let now = Arc::clone(&millis);
        let clock = Clock::new(
            move || Moment::from_millis(now.load(Ordering::Relaxed)),
            Wall::default,
        );
        let log = Logger::root(Discard, o!());
        Self {
            shared: Arc::new(Shared::new(settings(), nowhere(), clock, log)),
            millis,
        }
    }

    fn pass(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).expect("a short time");
        self.millis.fetch_add(millis, Ordering::Relaxed);
    }

    fn read(&self, records: Vec<Change>, next: u64, is_snapshot: bool) {
        let asked = self.shared.now();
        let batch = batch(records, next, is_snapshot);
        apply_servers(&self.shared, batch, asked, &Marks::default());
    }

    fn knows(&self, name: &str) -> bool {
        self.shared.tables().fleet.server(&id(name)).is_some()
    }
}

/// A removal that was held back after an outage fell due only with the next
/// record, seconds later, so that a server that had left got requests.
#[test]
fn removals_after_an_outage_are_held_back_and_no_longer() {
    let node = Node::new();
    node.read(vec![entry("a"), entry("b"), entry("c")], 10, true);
    node.shared.tables().store_regained = Some(node.shared.now());
    node.pass(Duration::from_millis(500));
    let gone = ["a", "b", "c"].map(|name| Change::Removed(id(name)));
    node.read(gone.to_vec(), 13, false);
    assert!(node.knows("a") && node.knows("b") && node.knows("c"));
    // One comes back by this node's own reading, one by the planner's word.
    node.read(vec![entry("b")], 14, false);
    let mut tables = node.shared.tables();
    hear(&node.shared.log, &mut tables, 20, entry("c"));
    drop(tables);
    node.pass(LAPSE_GRACE);
    // A read without any record is enough.
    node.read(Vec::new(), 14, false);
    assert!(!node.knows("a"));
    assert!(node.knows("b") && node.knows("c"));
}

#[test]
fn a_removal_without_an_outage_holds_at_once() {
    let node = Node::new();
    node.read(vec![entry("a")], 10, true);
    node.read(vec![Change::Removed(id("a"))], 11, false);
    assert!(!node.knows("a"));
}

/// A listing replaces all that is known, but for what the planner told of later.
#[test]
fn a_listing_removes_what_it_does_not_hold() {
    let node = Node::new();
    node.read(vec![entry("a"), entry("b")], 10, true);
    let mut tables = node.shared.tables();
    hear(&node.shared.log, &mut tables, 30, entry("later"));
    drop(tables);
    node.read(vec![entry("b")], 20, true);
    assert!(!node.knows("a"));
    assert!(node.knows("b") && node.knows("later"));
}

/// An answer that was under way while the planner's word went further is older
/// than what is known.
#[test]
fn an_older_read_takes_nothing_back() {
    let node = Node::new();
    node.read(vec![entry("a")], 10, true);
    node.shared.tables().servers_read = Some(20);
    node.read(vec![Change::Removed(id("a"))], 15, false);
    assert!(node.knows("a"));
    assert_eq!(node.shared.tables().servers_read, Some(20));
}

/// A node that has just become the planner lists all entries anew. A read that was
/// under way before then is left out, and must not be told of as known.
#[test]
fn a_new_planner_tells_only_of_what_it_has_listed() {
    let node = Node::new();
    node.read(vec![entry("a"), entry("b")], 10, true);
    let mut tables = node.shared.tables();
    tables.operators_read = Some(1);
    tables.peers.own_token = Some(1);
    tables.peers.own_news = News::starting_at(10);
    tables.servers_read = None;
    drop(tables);
    node.read(vec![Change::Removed(id("a"))], 15, false);
    let told = vouch::tell(&mut node.shared.tables(), false).expect("a planner's word");
    assert_eq!((told.from, told.to, told.changes.len()), (10, 10, 0));
    node.read(vec![entry("b"), entry("c")], 20, true);
    let told = vouch::tell(&mut node.shared.tables(), false).expect("a planner's word");
    assert_eq!((told.from, told.to), (10, 20));
    let named: Vec<&str> = told.changes.iter().map(|(_, c)| c.id().as_str()).collect();
    assert_eq!(named, ["c", "a"]);
}

#[test]
fn only_a_read_to_the_end_confirms() {
    let node = Node::new();
    let asked = node.shared.now();
    let unfinished = Batch {
        is_at_end: false,
        ..batch(vec![entry("a")], 10, true)
    };
    apply_servers(&node.shared, unfinished, asked, &Marks::default());
    assert_eq!(node.shared.tables().servers_confirmed, None);
    node.read(Vec::new(), 10, false);
    assert_eq!(node.shared.tables().servers_confirmed, Some(asked));
}

/// While the planner vouches, a node reads for what it lacks and for its age.
#[test]
fn the_operators_feed_is_read_when_the_planners_word_is_not_enough() {
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
            what: "a young view",
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
            what: "a change that it lacks",
            is_behind: true,
            age: 300,
            since_last: 60_000,
            is_due: true,
        },
        Case {
            what: "another change right after a read",
            is_behind: true,
            age: 300,
            since_last: 200,
            is_due: false,
        },
    ];
    let node = Node::new();
    let pace = Pace::new(&node.shared.settings.bounds);
    node.pass(Duration::from_secs(100));
    let now = node.shared.now();
    for case in cases {
        let mut tables = node.shared.tables();
        tables.is_behind.operators = case.is_behind;
        tables.confirmed = Some(now - Duration::from_millis(case.age));
        let last = now - Duration::from_millis(case.since_last);
        let is_due = pace.is_due(&tables, Some(last), now);
        assert_eq!(is_due, case.is_due, "{}", case.what);
    }
}
