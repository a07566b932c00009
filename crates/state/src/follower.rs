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
    due::{AppendTimes, is_snapshot_due},
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
    SnapshotInstalled {
        /// The offset that the state covers.
        offset: Offset,
        /// The last record of this process in it; the outcomes up to there are
        /// unknown unless an earlier event told them.
        own_sequence: Option<Sequence>,
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
    own_writer: Writer,
    limits: Limits,
    state: Arc<State>,
    history: History,
    pending: BTreeMap<Offset, Entry>,
    pending_bytes: usize,
    search: Option<Search>,
    /// The offset to reach before the node is ready; none before any answer.
    ready_offset: Option<Offset>,
    is_ready: bool,
    /// Whether the last page ended before the state.
    is_ahead_of_log: bool,
    append_times: AppendTimes,
}

impl Follower {
    /// Returns a follower at the start of the stream, for the process `own`.
    pub fn new(own_writer: Writer, limits: Limits) -> Self {
        Self {
            own_writer,
            history: History::new(limits.history_bytes),
            limits,
            state: Arc::default(),
            pending: BTreeMap::new(),
            pending_bytes: 0,
            search: None,
            ready_offset: None,
            is_ready: false,
            is_ahead_of_log: false,
            append_times: AppendTimes::default(),
        }
    }

    /// Returns the state.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Returns the next offset to fold.
    pub fn next_offset(&self) -> Offset {
        self.state.offset.next()
    }

    /// Returns the next offset to read from the log.
    ///
    /// It is the next one to fold, or where the search for a snapshot stands.
    pub fn next_read(&self) -> Offset {
        self.search
            .as_ref()
            .map_or_else(|| self.next_offset(), |search| search.cursor)
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
        self.is_ahead_of_log
    }

    /// Takes a page of the log.
    pub fn offer_page(&mut self, page: Page) -> Vec<Event> {
        self.is_ahead_of_log = page.tail < self.next_offset();
        let last = Offset(page.tail.0.saturating_sub(1));
        self.ready_offset.get_or_insert(last);
        self.update_search(page.first, last);
        let mut events = Vec::new();
        for entry in page.entries {
            if let Some(search) = &mut self.search {
                search.cursor = search.cursor.max(entry.offset.next());
            }
            events.extend(self.offer(entry));
        }
        self.update_readiness();
        events
    }

    /// Begins, goes on with or ends the search for a snapshot, as the log
    /// keeps the records from `first` to `last`.
    fn update_search(&mut self, first: Offset, last: Offset) {
        if first <= self.next_offset() {
            self.search = None;
            return;
        }
        let cursor = self.next_read().max(first);
        if self.search.is_none() {
            self.ready_offset = Some(last);
        }
        self.search = Some(Search { first, cursor });
        self.is_ready = false;
    }

    /// Takes what a peer relayed.
    pub fn offer_relay(&mut self, relay: Relay) -> Vec<Event> {
        self.ready_offset.get_or_insert(relay.offset);
        let mut events = Vec::new();
        if let Some(snapshot) = relay.snapshot {
            events.extend(self.offer_snapshot(*snapshot));
        }
        for entry in relay.entries {
            events.extend(self.offer(entry));
        }
        self.update_readiness();
        events
    }

    /// Takes a snapshot, if it is ahead of the state.
    pub fn offer_snapshot(&mut self, snapshot: Snapshot) -> Vec<Event> {
        let is_whole = snapshot.covers == snapshot.state.offset;
        if !is_whole || snapshot.covers <= self.state.offset {
            return Vec::new();
        }
        self.ready_offset.get_or_insert(snapshot.covers);
        let mut events = vec![self.replace_state(snapshot.state)];
        self.fold_pending(&mut events);
        self.update_readiness();
        events
    }

    /// Takes one record.
    pub fn offer(&mut self, entry: Entry) -> Vec<Event> {
        let mut events = Vec::new();
        if entry.offset < self.next_offset() {
            return events;
        }
        if entry.offset == self.next_offset() {
            events.push(self.fold(entry));
        } else {
            if let Some(snapshot) = self.snapshot_in(&entry) {
                events.push(self.replace_state(snapshot.state));
            }
            self.buffer(entry);
        }
        self.fold_pending(&mut events);
        self.update_readiness();
        events
    }

    /// Returns the snapshot in a record, if the search is for such a one.
    fn snapshot_in(&self, entry: &Entry) -> Option<Snapshot> {
        let search = self.search.as_ref()?;
        let Change::Snapshot { snapshot } = decode(entry.data.as_bytes()).ok()?.change else {
            return None;
        };
        let is_contiguous = snapshot.covers.next() >= search.first;
        let is_ahead = snapshot.covers > self.state.offset;
        (is_contiguous && is_ahead && snapshot.check(entry.offset).is_ok()).then_some(*snapshot)
    }

    /// Keeps a record that came ahead of its turn, within the bound.
    ///
    /// The records furthest ahead go first, as they can be read again last.
    fn buffer(&mut self, entry: Entry) {
        if self.pending.contains_key(&entry.offset) {
            return;
        }
        self.pending_bytes += entry.memory_bytes();
        self.pending.insert(entry.offset, entry);
        while self.pending_bytes > self.limits.pending_bytes {
            let Some((_, last)) = self.pending.pop_last() else {
                break;
            };
            self.pending_bytes -= last.memory_bytes();
        }
    }

    /// Folds held records whose turn has come.
    fn fold_pending(&mut self, events: &mut Vec<Event>) {
        while let Some(pending) = self.pending.first_entry() {
            if *pending.key() > self.state.offset.next() {
                return;
            }
            let entry = pending.remove();
            self.pending_bytes -= entry.memory_bytes();
            if entry.offset == self.next_offset() {
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
        self.append_times.record(offset, entry.at);
        self.append_times.discard_covered(self.state.covered);
        self.history.push(entry);
        Event::Folded {
            offset,
            is_own: record
                .as_ref()
                .is_some_and(|record| record.writer == self.own_writer),
            record,
            outcome,
        }
    }

    /// Replaces the state by a later one.
    fn replace_state(&mut self, state: State) -> Event {
        let offset = state.offset;
        let own_sequence = state
            .writers
            .get(&self.own_writer)
            .map(|position| position.sequence);
        self.state = Arc::new(state);
        self.history.clear();
        self.append_times = AppendTimes::default();
        Event::SnapshotInstalled {
            offset,
            own_sequence,
        }
    }

    /// Ends a search that is over and notes whether the state is whole.
    fn update_readiness(&mut self) {
        let is_searching = |search: &Search| self.next_offset() < search.first;
        if self.search.as_ref().is_some_and(is_searching) {
            return;
        }
        self.search = None;
        if self
            .ready_offset
            .is_some_and(|target| self.state.offset >= target)
        {
            self.is_ready = true;
        }
    }

    /// Returns what a peer lacks that folded up to `offset`.
    ///
    /// Records are given up to `max_bytes`, but at least one. A node that is
    /// not ready gives nothing.
    pub fn relay_after(&self, offset: Offset, max_bytes: usize) -> Option<Relay> {
        if !self.is_ready {
            return None;
        }
        let mut relay = Relay {
            offset: self.state.offset,
            snapshot: None,
            entries: Vec::new(),
        };
        if offset < self.state.offset {
            match self.history.entries_from(offset.next(), max_bytes) {
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
            oldest: self.append_times.oldest(),
        }
    }

    /// Returns whether this node should publish a snapshot; see [`is_snapshot_due`].
    pub fn is_snapshot_due(&self, retention: Duration, rank: usize, now: Wall) -> bool {
        self.is_ready && is_snapshot_due(&self.uncovered(), retention, rank, now)
    }
}
