//! A node's view of the control stream, fed by the log and by peers.
//!
//! Records come from pages of the log and from peers that relay them, in any
//! order and any number of times. The follower folds each offset once and in
//! order, so the state that it shows never goes back. When the log no longer
//! has the next record, the follower looks for a snapshot that reaches the
//! records that are kept, and is not ready until it has one.

use crate::{
    Change, Outcome, Record, Snapshot, State, Uncovered, Writer,
    codec::decode,
    due::{Times, snapshot_due},
    history::{Entry, History},
};
use clock::Wall;
use name::{Offset, Sequence};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// A part of the log, as one read returns it.
#[common::value]
pub struct Page {
    /// The earliest offset that the log keeps; equal to the tail if none is.
    pub first: Offset,
    /// The offset that the next appended record takes.
    pub tail: Offset,
    /// The records, by offset.
    pub entries: Vec<Entry>,
}

/// What a node gives a peer that lags.
#[common::value]
pub struct Relay {
    /// The last offset that the sender folded.
    pub offset: Offset,
    /// The sender's state, if its records do not reach back far enough.
    pub snapshot: Option<Box<Snapshot>>,
    /// Records after what the peer holds.
    pub entries: Vec<Entry>,
}

/// What became of offered records.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The record at an offset was folded.
    Folded {
        /// The offset.
        offset: Offset,
        /// The record; none if the data is not a record.
        record: Option<Box<Record>>,
        /// Whether this process wrote the record.
        is_own: bool,
        /// What the fold made of it.
        outcome: Outcome,
    },
    /// The state was replaced by a snapshot's.
    Adopted {
        /// The offset that the state covers.
        offset: Offset,
        /// The last record of this process in it; the outcomes up to there are
        /// unknown unless an earlier event told them.
        own: Option<Sequence>,
    },
}

/// Bounds of a follower's memory.
#[common::value]
pub struct Limits {
    /// The most bytes of folded records kept for peers.
    pub history_bytes: usize,
    /// The most bytes of records kept that came ahead of their turn.
    pub pending_bytes: usize,
}

impl Default for Limits {
    /// Returns 4 MiB for each.
    fn default() -> Self {
        Self {
            history_bytes: 4 << 20,
            pending_bytes: 4 << 20,
        }
    }
}

/// A search for a snapshot, as the log no longer has the next record.
#[derive(Debug, Clone)]
struct Search {
    /// The earliest offset that the log keeps.
    first: Offset,
    /// The next offset to look at.
    cursor: Offset,
}

/// A node's view of the control stream.
#[derive(Debug, Clone)]
pub struct Follower {
    own: Writer,
    limits: Limits,
    state: Arc<State>,
    history: History,
    pending: BTreeMap<Offset, Entry>,
    pending_bytes: usize,
    search: Option<Search>,
    /// The offset to reach before the node is ready; none before any answer.
    target: Option<Offset>,
    is_ready: bool,
    /// Whether the last page ended before the state.
    is_ahead: bool,
    times: Times,
}

impl Follower {
    /// Returns a follower at the start of the stream, for the process `own`.
    pub fn new(own: Writer, limits: Limits) -> Self {
        Self {
            own,
            history: History::new(limits.history_bytes),
            limits,
            state: Arc::default(),
            pending: BTreeMap::new(),
            pending_bytes: 0,
            search: None,
            target: None,
            is_ready: false,
            is_ahead: false,
            times: Times::default(),
        }
    }

    /// Returns the state.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Returns the next offset to fold.
    pub fn next(&self) -> Offset {
        self.state.offset.next()
    }

    /// Returns the next offset to read from the log.
    ///
    /// It is the next one to fold, or where the search for a snapshot stands.
    pub fn wants(&self) -> Offset {
        self.search
            .as_ref()
            .map_or_else(|| self.next(), |search| search.cursor)
    }

    /// Returns whether the state is whole up to what the log or a peer had
    /// when first asked.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Returns whether the last page of the log ended before the state.
    ///
    /// True for a moment when peers relay faster than the log answers. If it
    /// stays true, the log lost records that were folded, and what is appended
    /// at their offsets is passed over.
    pub fn is_ahead_of_log(&self) -> bool {
        self.is_ahead
    }

    /// Takes a page of the log.
    pub fn offer_page(&mut self, page: Page) -> Vec<Event> {
        self.is_ahead = page.tail < self.next();
        let last = Offset(page.tail.0.saturating_sub(1));
        self.target.get_or_insert(last);
        self.look(page.first, last);
        let mut events = Vec::new();
        for entry in page.entries {
            if let Some(search) = &mut self.search {
                search.cursor = search.cursor.max(entry.offset.next());
            }
            events.extend(self.offer(entry));
        }
        self.settle();
        events
    }

    /// Begins, goes on with or ends the search for a snapshot, as the log
    /// keeps the records from `first` to `last`.
    fn look(&mut self, first: Offset, last: Offset) {
        if first <= self.next() {
            self.search = None;
            return;
        }
        let cursor = self.wants().max(first);
        if self.search.is_none() {
            self.target = Some(last);
        }
        self.search = Some(Search { first, cursor });
        self.is_ready = false;
    }

    /// Takes what a peer relayed.
    pub fn offer_relay(&mut self, relay: Relay) -> Vec<Event> {
        self.target.get_or_insert(relay.offset);
        let mut events = Vec::new();
        if let Some(snapshot) = relay.snapshot {
            events.extend(self.offer_snapshot(*snapshot));
        }
        for entry in relay.entries {
            events.extend(self.offer(entry));
        }
        self.settle();
        events
    }

    /// Takes a snapshot, if it is ahead of the state.
    pub fn offer_snapshot(&mut self, snapshot: Snapshot) -> Vec<Event> {
        let is_whole = snapshot.covers == snapshot.state.offset;
        if !is_whole || snapshot.covers <= self.state.offset {
            return Vec::new();
        }
        self.target.get_or_insert(snapshot.covers);
        let mut events = vec![self.adopt(snapshot.state)];
        self.drain(&mut events);
        self.settle();
        events
    }

    /// Takes one record.
    pub fn offer(&mut self, entry: Entry) -> Vec<Event> {
        let mut events = Vec::new();
        if entry.offset < self.next() {
            return events;
        }
        if entry.offset == self.next() {
            events.push(self.fold(entry));
        } else {
            if let Some(snapshot) = self.snapshot_in(&entry) {
                events.push(self.adopt(snapshot.state));
            }
            self.hold(entry);
        }
        self.drain(&mut events);
        self.settle();
        events
    }

    /// Returns the snapshot in a record, if the search is for such a one.
    fn snapshot_in(&self, entry: &Entry) -> Option<Snapshot> {
        let search = self.search.as_ref()?;
        let Change::Snapshot { snapshot } = decode(entry.data.as_bytes()).ok()?.change else {
            return None;
        };
        let reaches = snapshot.covers.next() >= search.first;
        let is_ahead = snapshot.covers > self.state.offset;
        (reaches && is_ahead && snapshot.check(entry.offset).is_ok()).then_some(*snapshot)
    }

    /// Keeps a record that came ahead of its turn, within the bound.
    ///
    /// The records furthest ahead go first, as they can be read again last.
    fn hold(&mut self, entry: Entry) {
        if self.pending.contains_key(&entry.offset) {
            return;
        }
        self.pending_bytes += entry.cost();
        self.pending.insert(entry.offset, entry);
        while self.pending_bytes > self.limits.pending_bytes {
            let Some((_, last)) = self.pending.pop_last() else {
                break;
            };
            self.pending_bytes -= last.cost();
        }
    }

    /// Folds held records whose turn has come.
    fn drain(&mut self, events: &mut Vec<Event>) {
        while let Some(held) = self.pending.first_entry() {
            if *held.key() > self.state.offset.next() {
                return;
            }
            let entry = held.remove();
            self.pending_bytes -= entry.cost();
            if entry.offset == self.next() {
                events.push(self.fold(entry));
            }
        }
    }

    /// Folds the next record.
    fn fold(&mut self, entry: Entry) -> Event {
        let state = Arc::make_mut(&mut self.state);
        let offset = entry.offset;
        let (record, outcome) = match decode(entry.data.as_bytes()) {
            Ok(record) => {
                let outcome = state.apply(offset, &record);
                (Some(Box::new(record)), outcome)
            }
            Err(reason) => (None, state.skip(offset, &reason)),
        };
        self.times.note(offset, entry.at);
        self.times.forget(self.state.covered);
        self.history.push(entry);
        Event::Folded {
            offset,
            is_own: record
                .as_ref()
                .is_some_and(|record| record.writer == self.own),
            record,
            outcome,
        }
    }

    /// Replaces the state by a later one.
    fn adopt(&mut self, state: State) -> Event {
        let offset = state.offset;
        let own = state.writers.get(&self.own).map(|mark| mark.sequence);
        self.state = Arc::new(state);
        self.history.clear();
        self.times = Times::default();
        Event::Adopted { offset, own }
    }

    /// Ends a search that is over and notes whether the state is whole.
    fn settle(&mut self) {
        let is_searching = |search: &Search| self.next() < search.first;
        if self.search.as_ref().is_some_and(is_searching) {
            return;
        }
        self.search = None;
        if self
            .target
            .is_some_and(|target| self.state.offset >= target)
        {
            self.is_ready = true;
        }
    }

    /// Returns what a peer lacks that folded up to `offset`.
    ///
    /// Records are given up to `max_bytes`, but at least one. A node that is
    /// not ready gives nothing.
    pub fn since(&self, offset: Offset, max_bytes: usize) -> Option<Relay> {
        if !self.is_ready {
            return None;
        }
        let mut relay = Relay {
            offset: self.state.offset,
            snapshot: None,
            entries: Vec::new(),
        };
        if offset < self.state.offset {
            match self.history.from(offset.next(), max_bytes) {
                Some(entries) => relay.entries = entries,
                None => relay.snapshot = Some(Box::new(self.snapshot())),
            }
        }
        Some(relay)
    }

    /// Returns the whole state as a snapshot.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            covers: self.state.offset,
            state: State::clone(&self.state),
        }
    }

    /// Returns what no snapshot on the log covers.
    pub fn uncovered(&self) -> Uncovered {
        Uncovered {
            records: self.state.offset.0 - self.state.covered.0,
            oldest: self.times.oldest(),
        }
    }

    /// Returns whether this node should publish a snapshot; see [`snapshot_due`].
    pub fn snapshot_due(&self, retention: Duration, rank: usize, now: Wall) -> bool {
        self.is_ready && snapshot_due(&self.uncovered(), retention, rank, now)
    }
}
