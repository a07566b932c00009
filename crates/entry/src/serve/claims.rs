//! Claims on non-idempotent requests: the table and the calls subscribed to it.

use clock::WallTime;
use name::Offset;
use once::{AppendResult, Event, Key, Record, Table};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};
use tokio::sync::mpsc;

/// The maximum number of records waiting to be appended.
const MAX_QUEUED_RECORDS: usize = 4_096;

/// A record to append, with the channel for the result.
#[derive(Debug)]
pub(crate) struct QueuedRecord {
    /// The encoded record.
    pub(crate) data: Arc<str>,
    /// Receives the result of the append; none if no call waits for it.
    pub(crate) result_sender: Option<mpsc::UnboundedSender<Event>>,
}

/// The claims that this node has read, and the records that it has to append.
#[derive(Debug)]
pub(crate) struct Claims {
    /// The table folded from the claim stream.
    pub(crate) table: Table,
    subscribers: HashMap<Key, Vec<(u64, mpsc::UnboundedSender<Event>)>>,
    next_number: u64,
    queue: VecDeque<QueuedRecord>,
}

/// Identifies a call that is subscribed to changes of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Subscription {
    key: Key,
    number: u64,
}

impl Claims {
    /// Returns claims with `table` and neither calls nor queued records.
    pub(crate) fn new(table: Table) -> Self {
        Self {
            table,
            subscribers: HashMap::new(),
            next_number: 0,
            queue: VecDeque::new(),
        }
    }

    /// Folds the record read at `offset` and notifies the calls subscribed to its key.
    pub(crate) fn fold(&mut self, offset: Offset, data: &str, wall: WallTime) {
        let record = Record::decode(data.as_bytes()).ok();
        let changed = self.table.fold(offset, record.as_ref(), wall);
        if let (true, Some(record)) = (changed, record) {
            self.notify(record.key());
        }
    }

    /// Sends the state of a key to the calls that are subscribed to it.
    fn notify(&mut self, key: &Key) {
        let Some(subscribers) = self.subscribers.get(key) else {
            return;
        };
        let standing = self.table.key_state(key);
        for (_, sender) in subscribers {
            let _ = sender.send(Event::Read(standing.clone()));
        }
    }

    /// Notifies every subscribed call that the log cannot be reached.
    pub(crate) fn notify_log_down(&self) {
        for (_, sender) in self.subscribers.values().flatten() {
            let _ = sender.send(Event::LogUnavailable);
        }
    }

    /// Subscribes a call to changes of `key`.
    pub(crate) fn subscribe(
        &mut self,
        key: &Key,
        events: mpsc::UnboundedSender<Event>,
    ) -> Subscription {
        self.next_number += 1;
        let number = self.next_number;
        self.subscribers
            .entry(key.clone())
            .or_default()
            .push((number, events));
        Subscription {
            key: key.clone(),
            number,
        }
    }

    /// Removes the subscription of a call.
    pub(crate) fn unsubscribe(&mut self, subscription: &Subscription) {
        if let Some(subscribers) = self.subscribers.get_mut(&subscription.key) {
            subscribers.retain(|(number, _)| *number != subscription.number);
            if subscribers.is_empty() {
                self.subscribers.remove(&subscription.key);
            }
        }
    }

    /// Queues a record for appending; if the queue is full, refuses it at once.
    pub(crate) fn enqueue(
        &mut self,
        record: &Record,
        result_sender: Option<mpsc::UnboundedSender<Event>>,
    ) {
        let data = String::from_utf8(record.encode()).ok();
        let Some(data) = data.filter(|_| self.queue.len() < MAX_QUEUED_RECORDS) else {
            if let Some(result_sender) = result_sender {
                let _ = result_sender.send(Event::Appended(AppendResult::Refused));
            }
            return;
        };
        self.queue.push_back(QueuedRecord {
            data: data.into(),
            result_sender,
        });
    }

    /// Queues a record again whose append failed, unless the queue is full.
    pub(crate) fn requeue(&mut self, queued: QueuedRecord) {
        if self.queue.len() < MAX_QUEUED_RECORDS {
            self.queue.push_back(queued);
        }
    }

    /// Removes up to `max` records from the queue, to be appended together.
    pub(crate) fn take_batch(&mut self, max: usize) -> Vec<QueuedRecord> {
        let count = self.queue.len().min(max);
        self.queue.drain(..count).collect()
    }

    /// Returns the number of subscribed calls.
    pub(crate) fn subscriber_count(&self) -> usize {
        self.subscribers.values().map(Vec::len).sum()
    }
}
