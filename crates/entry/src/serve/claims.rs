//! Claims on requests that may not be repeated: the table and who waits on it.

use clock::WallTime;
use name::Offset;
use once::{AppendResult, Event, Key, Record, Table};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};
use tokio::sync::mpsc;

/// Records that wait to be appended at most.
const MAX_QUEUED: usize = 4_096;

/// A record to append, and who wants to know what came of it.
#[derive(Debug)]
pub(crate) struct Queued {
    /// The encoded record.
    pub(crate) data: Arc<str>,
    /// Where the log's answer goes; none for a record nobody waits for.
    pub(crate) answer: Option<mpsc::UnboundedSender<Event>>,
}

/// The claims as this node has read them.
#[derive(Debug)]
pub(crate) struct Claims {
    /// The fold of the claim stream.
    pub(crate) table: Table,
    calls: HashMap<Key, Vec<(u64, mpsc::UnboundedSender<Event>)>>,
    next_call: u64,
    queue: VecDeque<Queued>,
}

/// A call's place among those that wait on a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Waits {
    key: Key,
    number: u64,
}

impl Claims {
    /// Returns claims before anything was read.
    pub(crate) fn new(table: Table) -> Self {
        Self {
            table,
            calls: HashMap::new(),
            next_call: 0,
            queue: VecDeque::new(),
        }
    }

    /// Folds what was read at `offset`, and tells the calls that wait on its key.
    pub(crate) fn fold(&mut self, offset: Offset, data: &str, wall: WallTime) {
        let record = Record::decode(data.as_bytes()).ok();
        let changed = self.table.fold(offset, record.as_ref(), wall);
        if let (true, Some(record)) = (changed, record) {
            self.tell(record.key());
        }
    }

    /// Tells the calls that wait on a key what is known of it.
    fn tell(&mut self, key: &Key) {
        let Some(calls) = self.calls.get(key) else {
            return;
        };
        let standing = self.table.key_state(key);
        for (_, call) in calls {
            let _ = call.send(Event::Read(standing.clone()));
        }
    }

    /// Tells every waiting call that the log cannot be reached.
    pub(crate) fn log_down(&self) {
        for (_, call) in self.calls.values().flatten() {
            let _ = call.send(Event::LogUnavailable);
        }
    }

    /// Enters a call that waits on `key`.
    pub(crate) fn enter(&mut self, key: &Key, events: mpsc::UnboundedSender<Event>) -> Waits {
        self.next_call += 1;
        let number = self.next_call;
        self.calls
            .entry(key.clone())
            .or_default()
            .push((number, events));
        Waits {
            key: key.clone(),
            number,
        }
    }

    /// Removes a call.
    pub(crate) fn leave(&mut self, waits: &Waits) {
        if let Some(calls) = self.calls.get_mut(&waits.key) {
            calls.retain(|(number, _)| *number != waits.number);
            if calls.is_empty() {
                self.calls.remove(&waits.key);
            }
        }
    }

    /// Queues a record; one that finds no room is refused at once.
    pub(crate) fn queue(&mut self, record: &Record, answer: Option<mpsc::UnboundedSender<Event>>) {
        let data = String::from_utf8(record.encode()).ok();
        let Some(data) = data.filter(|_| self.queue.len() < MAX_QUEUED) else {
            if let Some(answer) = answer {
                let _ = answer.send(Event::Appended(AppendResult::Refused));
            }
            return;
        };
        self.queue.push_back(Queued {
            data: data.into(),
            answer,
        });
    }

    /// Queues a record again that was not appended, if there is room.
    pub(crate) fn requeue(&mut self, queued: Queued) {
        if self.queue.len() < MAX_QUEUED {
            self.queue.push_back(queued);
        }
    }

    /// Takes up to `max` records to append together.
    pub(crate) fn take(&mut self, max: usize) -> Vec<Queued> {
        let count = self.queue.len().min(max);
        self.queue.drain(..count).collect()
    }

    /// Returns the number of calls that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.calls.values().map(Vec::len).sum()
    }
}
