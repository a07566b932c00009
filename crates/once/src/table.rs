//! The state of idempotency keys, folded from the claim stream.

use crate::{ClaimId, Digest, Key, Position, Record, Response, Window};
use clock::WallTime;
use name::{Incarnation, Offset};
use std::collections::{BTreeSet, HashMap};
use verdict::Verdict;

/// The limits on the size of a table.
#[common::value]
pub struct Bounds {
    /// The number of keys above which this node admits no new key.
    ///
    /// Records of other nodes may add up to a quarter more. Beyond that, the
    /// table discards the oldest keys and never runs keys of that age again.
    pub keys: usize,
    /// The maximum total length of stored responses, in bytes.
    ///
    /// Beyond it, the bodies of the oldest responses are dropped.
    #[serde(rename = "answer_bytes")]
    pub response_bytes: usize,
}

impl Default for Bounds {
    /// Returns 65,536 keys and 8 MiB of responses.
    fn default() -> Self {
        Self {
            keys: 65_536,
            response_bytes: 8 << 20,
        }
    }
}

/// The state of a key according to the claim stream.
#[common::plain]
pub enum KeyState {
    /// The stream is not read far enough, or the key was discarded.
    Unknown,
    /// No claim or void was read.
    Free,
    /// A claim won and has no outcome.
    Claimed {
        /// The digest of the request's target and body.
        digest: Digest,
        /// The incarnation of the process that claimed the key.
        incarnation: Incarnation,
        /// The identifier of the claim.
        claim: ClaimId,
    },
    /// A claim won and its request ended.
    Done {
        /// The digest of the request's target and body.
        digest: Digest,
        /// The response.
        response: Response,
    },
    /// A void won: the key never runs.
    Voided,
}

impl KeyState {
    /// Returns the verdict on the execution of the key's request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Voided => Verdict::NotRun,
            Self::Done { response, .. } => response.verdict,
            Self::Unknown | Self::Free | Self::Claimed { .. } => Verdict::MayHaveRun,
        }
    }
}

/// The first claim or void of a key.
#[derive(Debug)]
enum Entry {
    Claimed {
        digest: Digest,
        incarnation: Incarnation,
        claim: ClaimId,
        response: Option<Response>,
    },
    Voided,
}

/// The state of the keys in one partition of the claim stream.
#[derive(Debug)]
pub struct Table {
    window: Window,
    bounds: Bounds,
    /// The latest wall-clock time observed; it never decreases.
    latest_wall: WallTime,
    /// The offset of the last folded record.
    position: Offset,
    /// The offset up to which the stream must be read to cover the window.
    target: Option<Offset>,
    /// Keys with this or an older timestamp may have been discarded early.
    ///
    /// They count as too old even if they are inside the window.
    discarded_through: Option<WallTime>,
    entries: HashMap<Key, Entry>,
    /// The keys by timestamp, to discard the oldest first.
    by_time: BTreeSet<(WallTime, Key)>,
    /// The keys with a stored response body, by timestamp.
    with_body: BTreeSet<(WallTime, Key)>,
    body_bytes: usize,
}

impl Table {
    /// Returns an empty table that has read nothing.
    pub fn new(window: Window, bounds: Bounds) -> Self {
        Self {
            window,
            bounds,
            latest_wall: WallTime::default(),
            position: Offset::ZERO,
            target: None,
            discarded_through: None,
            entries: HashMap::new(),
            by_time: BTreeSet::new(),
            with_body: BTreeSet::new(),
            body_bytes: 0,
        }
    }

    /// Sets the offset up to which the stream must be read.
    ///
    /// `tail` is the last offset of the stream, queried after this process
    /// started. The table covers the window once it has read from the earliest
    /// record in the log up to `tail`. Later calls have no effect.
    pub fn set_target(&mut self, tail: Offset) {
        self.target.get_or_insert(tail);
    }

    /// Returns whether the table has read all records inside the window.
    pub fn is_ready(&self) -> bool {
        self.target.is_some_and(|target| self.position >= target)
    }

    /// Returns whether the table is full, so that no new key is admitted.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.bounds.keys
    }

    /// Returns the offset of the last folded record.
    pub fn position(&self) -> Offset {
        self.position
    }

    /// Returns the number of stored keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total length of the stored response bodies, in bytes.
    pub fn response_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Folds the record at `offset`; `None` stands for an invalid record.
    ///
    /// Returns whether the state of the record's key changed. An offset at or
    /// below the position is a duplicate and is ignored. A gap after the first
    /// record means that records expired unread: no key that they could contain
    /// runs on this node.
    pub fn fold(&mut self, offset: Offset, record: Option<&Record>, wall: WallTime) -> bool {
        if offset <= self.position {
            return false;
        }
        self.latest_wall = self.latest_wall.max(wall);
        if self.position != Offset::ZERO && offset != self.position.next() {
            self.discard_through(WallTime(
                self.latest_wall.0.saturating_add(skew_millis(&self.window)),
            ));
        }
        self.position = offset;
        let changed = record.is_some_and(|record| self.apply_record(record));
        self.enforce_bounds();
        changed
    }

    /// Discards the keys that are too old for the window at `wall`.
    pub fn expire(&mut self, wall: WallTime) {
        self.latest_wall = self.latest_wall.max(wall);
        while let Some((time, key)) = self.by_time.first() {
            if self.latest_wall.since(*time) <= self.window.validity {
                break;
            }
            let key = key.clone();
            self.remove(&key);
        }
    }

    /// Returns the position of the timestamp of `key` at `wall`.
    ///
    /// The latest observed time never decreases, so that a key which was too
    /// old stays too old.
    pub fn window_position(&self, key: &Key, wall: WallTime) -> Position {
        if self.discarded_through.is_some_and(|end| key.time() <= end) {
            return Position::TooOld;
        }
        match self.window.position(key, self.latest_wall.max(wall)) {
            Position::TooOld => Position::TooOld,
            _ => self.window.position(key, wall),
        }
    }

    /// Returns the state of `key`.
    pub fn key_state(&self, key: &Key) -> KeyState {
        match self.entries.get(key) {
            Some(Entry::Voided) => KeyState::Voided,
            Some(Entry::Claimed {
                digest,
                incarnation,
                claim,
                response: None,
            }) => KeyState::Claimed {
                digest: *digest,
                incarnation: *incarnation,
                claim: *claim,
            },
            Some(Entry::Claimed {
                digest,
                response: Some(response),
                ..
            }) => KeyState::Done {
                digest: *digest,
                response: response.clone(),
            },
            None if self.is_ready()
                && self.window_position(key, self.latest_wall) != Position::TooOld =>
            {
                KeyState::Free
            }
            None => KeyState::Unknown,
        }
    }

    /// Applies a record and returns whether the state of its key changed.
    fn apply_record(&mut self, record: &Record) -> bool {
        let key = record.key();
        // A record of a key that may have been discarded could be a second claim
        // or void: it must not be taken for the first.
        if self.window_position(key, self.latest_wall) == Position::TooOld {
            return false;
        }
        match record {
            Record::Claim {
                digest,
                incarnation,
                claim,
                ..
            } => self.insert(
                key,
                Entry::Claimed {
                    digest: *digest,
                    incarnation: *incarnation,
                    claim: *claim,
                    response: None,
                },
            ),
            Record::Void { .. } => self.insert(key, Entry::Voided),
            Record::Outcome {
                claim, response, ..
            } => self.insert_outcome(key, *claim, response),
        }
    }

    /// Inserts a claim or void unless the key already has one.
    fn insert(&mut self, key: &Key, entry: Entry) -> bool {
        if self.entries.contains_key(key) {
            return false;
        }
        self.by_time.insert((key.time(), key.clone()));
        self.entries.insert(key.clone(), entry);
        true
    }

    /// Inserts the first outcome of the claim that won.
    fn insert_outcome(&mut self, key: &Key, ended_claim: ClaimId, outcome: &Response) -> bool {
        let Some(Entry::Claimed {
            claim, response, ..
        }) = self.entries.get_mut(key)
        else {
            return false;
        };
        if *claim != ended_claim || response.is_some() {
            return false;
        }
        let bounded = outcome.bounded();
        let bytes = bounded.body_bytes();
        *response = Some(bounded);
        if bytes > 0 {
            self.body_bytes += bytes;
            self.with_body.insert((key.time(), key.clone()));
        }
        true
    }

    /// Discards keys and bodies until the table is within its bounds.
    fn enforce_bounds(&mut self) {
        self.expire(self.latest_wall);
        while self.body_bytes > self.bounds.response_bytes {
            let Some((_, key)) = self.with_body.pop_first() else {
                break;
            };
            self.drop_body(&key);
        }
        while self.entries.len() > self.bounds.keys + self.bounds.keys / 4 {
            let Some((time, _)) = self.by_time.first() else {
                break;
            };
            let time = *time;
            self.discard_through(time);
        }
    }

    /// Discards all keys up to timestamp `time` and prevents them from running.
    fn discard_through(&mut self, time: WallTime) {
        self.discarded_through = Some(self.discarded_through.map_or(time, |end| end.max(time)));
        while let Some((oldest, key)) = self.by_time.first() {
            if *oldest > time {
                break;
            }
            let key = key.clone();
            self.remove(&key);
        }
    }

    /// Removes a key's entry.
    fn remove(&mut self, key: &Key) {
        self.drop_body(key);
        self.by_time.remove(&(key.time(), key.clone()));
        self.entries.remove(key);
    }

    /// Drops the body of a key's stored response.
    fn drop_body(&mut self, key: &Key) {
        if let Some(Entry::Claimed {
            response: Some(response),
            ..
        }) = self.entries.get_mut(key)
        {
            self.body_bytes -= response.body_bytes();
            response.body = None;
            self.with_body.remove(&(key.time(), key.clone()));
        }
    }
}

/// Returns the clock skew allowed by `window`, in milliseconds.
fn skew_millis(window: &Window) -> u64 {
    u64::try_from(window.skew.as_millis()).unwrap_or(u64::MAX)
}
