//! The prefix cache of an engine, whose events are reported late and with gaps.

use backend::proto::{CacheEvent, CacheEvents};
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// The delay after which a cache event is reported.
const EVENT_REPORT_LAG: Duration = Duration::from_millis(200);

/// The max number of stored cache events.
const MAX_STORED_EVENTS: usize = 4_096;

/// One event out of this many is not reported.
const LOST_EVENT_INTERVAL: u64 = 13;

/// A prefix cache in order of use, most recent last, and its events.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    prefixes: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    next: u64,
}

impl Cache {
    /// Marks a prefix as used, caching it if missing; returns whether it was cached.
    pub(crate) fn touch(&mut self, prefix: u64, max: usize) -> bool {
        let before = self.prefixes.len();
        self.prefixes.retain(|cached| *cached != prefix);
        let hit = self.prefixes.len() < before;
        self.prefixes.push_back(prefix);
        if !hit {
            self.record(prefix, true);
        }
        if self.prefixes.len() > max
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.record(evicted, false);
        }
        hit
    }

    fn record(&mut self, prefix: u64, stored: bool) {
        let number = self.next;
        self.next += 1;
        if number % LOST_EVENT_INTERVAL == LOST_EVENT_INTERVAL - 1 {
            return;
        }
        let event = CacheEvent {
            number,
            prefix,
            stored,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_STORED_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events from number `from` on whose delay has passed.
    pub(crate) fn since(&self, from: u64) -> CacheEvents {
        let is_reported = |(at, event): &&(Instant, CacheEvent)| {
            event.number >= from && at.elapsed() >= EVENT_REPORT_LAG
        };
        let events = self.events.iter().filter(is_reported);
        let events: Vec<_> = events.map(|(_, event)| event.clone()).collect();
        let next = events.last().map_or(from, |event| event.number + 1);
        CacheEvents { next, events }
    }
}
