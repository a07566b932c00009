//! A node's view of the control stream, built from the log and from peers.
//!
//! Records arrive in pages of the log and in relays from peers, in any order
//! and possibly more than once. The follower folds each offset once and in
//! order, so its state never goes back. If the log no longer has the next
//! record, the follower searches for a snapshot that covers all expired records
//! and is not ready until it has installed one.

use crate::{
    Change, Outcome, Record, Snapshot, State, Uncovered, Writer,
    codec::decode,
    due::{AppendTimes, is_snapshot_due},
    history::{Entry, History},
};
use clock::WallTime;
use name::{Offset, Sequence};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// One page of the log, as returned by a read.
#[common::value]
pub struct Page {
    /// The earliest offset that the log keeps; equal to the tail if the log is
    /// empty.
    pub first: Offset,
    /// The offset of the next record to be appended.
    pub tail: Offset,
    /// The records in order of offset.
    pub entries: Vec<Entry>,
}

/// Records or a snapshot for a peer that lags.
#[common::value]
pub struct Relay {
    /// The last offset that the sender has folded.
    pub offset: Offset,
    /// The sender's state, if its history does not reach back far enough.
    pub snapshot: Option<Box<Snapshot>>,
    /// The records after the peer's offset.
    pub entries: Vec<Entry>,
}

/// An event that results from offered records.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The record at an offset was folded.
    Folded {
        /// The offset.
        offset: Offset,
        /// The record; none if the data is not a valid record.
        record: Option<Box<Record>>,
        /// Whether this process wrote the record.
        is_own: bool,
        /// The outcome of the fold.
        outcome: Outcome,
    },
    /// The state was replaced by that of a snapshot.
    SnapshotInstalled {
        /// The offset that the snapshot covers.
        offset: Offset,
        /// The sequence of this process's last record in the snapshot. The
        /// outcomes of records up to it are unknown unless an earlier event
        /// reported them.
        own_sequence: Option<Sequence>,
    },
}

/// Limits of a follower's memory.
#[common::value]
pub struct Limits {
    /// The maximum size of the folded records kept for peers, in bytes.
    pub history_bytes: usize,
    /// The maximum size of the records buffered out of order, in bytes.
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

/// A search for a snapshot, because the log no longer has the next record.
#[derive(Debug, Clone)]
struct Search {
    /// The earliest offset that the log keeps.
    first: Offset,
    /// The next offset to read.
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
    /// The offset at which the node is ready; none before the first response.
    ready_offset: Option<Offset>,
    is_ready: bool,
    /// Whether the last page ended before the state's offset.
    is_ahead_of_log: bool,
    append_times: AppendTimes,
}

impl Follower {
    /// Returns a follower at the start of the stream, for the process
    /// `own_writer`.
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

    /// Returns the current state.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Returns the next offset to fold.
    pub fn next_offset(&self) -> Offset {
        self.state.offset.next()
    }

    /// Returns the next offset to read from the log.
    ///
    /// This is the next offset to fold or, during a search for a snapshot, the
    /// position of the search.
    pub fn next_read(&self) -> Offset {
        self.search
            .as_ref()
            .map_or_else(|| self.next_offset(), |search| search.cursor)
    }

    /// Returns whether the state includes everything that the log or a peer
    /// held at the first response.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Returns whether the last page of the log ended before the state's
    /// offset.
    ///
    /// Briefly true when peers relay faster than the log responds. If it stays
    /// true, the log has lost records that were already folded, and records
    /// appended at their offsets are ignored.
    pub fn is_ahead_of_log(&self) -> bool {
        self.is_ahead_of_log
    }

    /// Processes a page of the log.
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

    /// Starts, continues or ends the search for a snapshot. The log keeps the
    /// records from `first` to `last`.
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

    /// Processes a relay from a peer.
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

    /// Installs a snapshot if it is ahead of the state.
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

    /// Processes one record.
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

    /// Returns the snapshot in a record, if it ends the current search.
    fn snapshot_in(&self, entry: &Entry) -> Option<Snapshot> {
        let search = self.search.as_ref()?;
        let Change::Snapshot { snapshot } = decode(entry.data.as_bytes()).ok()?.change else {
            return None;
        };
        let is_contiguous = snapshot.covers.next() >= search.first;
        let is_ahead = snapshot.covers > self.state.offset;
        (is_contiguous && is_ahead && snapshot.check(entry.offset).is_ok()).then_some(*snapshot)
    }

    /// Buffers a record that arrived out of order, within the limit.
    ///
    /// Records with the highest offsets are discarded first, as they are needed
    /// last and can be read again.
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

    /// Folds buffered records that have become next in order.
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

    /// Replaces the state with a later one.
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

    /// Ends a completed search and updates whether the follower is ready.
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

    /// Returns the relay for a peer that has folded up to `offset`.
    ///
    /// The records are limited to `max_bytes`, but at least one is included.
    /// Returns `None` if this node is not ready.
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

    /// Returns the records that no snapshot on the log covers.
    pub fn uncovered(&self) -> Uncovered {
        Uncovered {
            records: self.state.offset.0 - self.state.covered.0,
            oldest: self.append_times.oldest(),
        }
    }

    /// Returns whether this node should publish a snapshot; see [`is_snapshot_due`].
    pub fn is_snapshot_due(&self, retention: Duration, rank: usize, now: WallTime) -> bool {
        self.is_ready && is_snapshot_due(&self.uncovered(), retention, rank, now)
    }
}
