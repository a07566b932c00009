//! Claims on non-idempotent requests: the table and the calls subscribed to it.

use clock::Wall;
use name::Offset;
use once::{Append, Event, Key, Record, Table};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};
use tokio::sync::mpsc;

/// The maximum number of records waiting to be appended.
const MAX_QUEUED: usize = 4_096;

/// A record to append, with the channel for the result.
#[derive(Debug)]
pub(crate) struct Queued {
    /// The encoded record.
    pub(crate) data: Arc<str>,
    /// Receives the result of the append; none if no call waits for it.
    pub(crate) answer: Option<mpsc::UnboundedSender<Event>>,
}

/// The claims that this node has read, and the records that it has to append.
#[derive(Debug)]
pub(crate) struct Claims {
    /// The table folded from the claim stream.
    pub(crate) table: Table,
    calls: HashMap<Key, Vec<(u64, mpsc::UnboundedSender<Event>)>>,
    next_call: u64,
    queue: VecDeque<Queued>,
}

/// Identifies a call that is subscribed to changes of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Waits {
    key: Key,
    number: u64,
}

impl Claims {
    /// Returns claims with `table` and neither calls nor queued records.
    pub(crate) fn new(table: Table) -> Self {
        Self {
            table,
            calls: HashMap::new(),
            next_call: 0,
            queue: VecDeque::new(),
        }
    }

    /// Folds the record read at `offset` and notifies the calls subscribed to its key.
    pub(crate) fn fold(&mut self, offset: Offset, data: &str, wall: Wall) {
        let record = Record::decode(data.as_bytes()).ok();
        let changed = self.table.fold(offset, record.as_ref(), wall);
        if let (true, Some(record)) = (changed, record) {
            self.tell(record.key());
        }
    }

    /// Sends the state of a key to the calls that are subscribed to it.
    fn tell(&mut self, key: &Key) {
        let Some(calls) = self.calls.get(key) else {
            return;
        };
        let standing = self.table.standing(key);
        for (_, call) in calls {
            let _ = call.send(Event::Read(standing.clone()));
        }
    }

    /// Notifies every subscribed call that the log cannot be reached.
    pub(crate) fn log_down(&self) {
        for (_, call) in self.calls.values().flatten() {
            let _ = call.send(Event::LogDown);
        }
    }

    /// Subscribes a call to changes of `key`.
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

    /// Removes the subscription of a call.
    pub(crate) fn leave(&mut self, waits: &Waits) {
        if let Some(calls) = self.calls.get_mut(&waits.key) {
            calls.retain(|(number, _)| *number != waits.number);
            if calls.is_empty() {
                self.calls.remove(&waits.key);
            }
        }
    }

    /// Queues a record for appending; if the queue is full, refuses it at once.
    pub(crate) fn queue(&mut self, record: &Record, answer: Option<mpsc::UnboundedSender<Event>>) {
        let data = String::from_utf8(record.encode()).ok();
        let Some(data) = data.filter(|_| self.queue.len() < MAX_QUEUED) else {
            if let Some(answer) = answer {
                let _ = answer.send(Event::Appended(Append::Refused));
            }
            return;
        };
        self.queue.push_back(Queued {
            data: data.into(),
            answer,
        });
    }

    /// Queues a record again whose append failed, unless the queue is full.
    pub(crate) fn requeue(&mut self, queued: Queued) {
        if self.queue.len() < MAX_QUEUED {
            self.queue.push_back(queued);
        }
    }

    /// Removes up to `max` records from the queue, to be appended together.
    pub(crate) fn take(&mut self, max: usize) -> Vec<Queued> {
        let count = self.queue.len().min(max);
        self.queue.drain(..count).collect()
    }

    /// Returns the number of subscribed calls.
    pub(crate) fn waiting(&self) -> usize {
        self.calls.values().map(Vec::len).sum()
    }
}
