//! The fold of the claim stream.

use crate::{ClaimId, Digest, Key, Position, Record, Response, Window};
use clock::Wall;
use name::{Incarnation, Offset};
use std::collections::{BTreeSet, HashMap};
use verdict::Verdict;

/// How much a table holds.
#[common::value]
pub struct Bounds {
    /// The number of keys above which no new key is admitted.
    ///
    /// Records of other nodes still count up to a quarter more; beyond that
    /// the table forgets the oldest keys and never again runs any as old.
    pub keys: usize,
    /// The total length of kept answers, in bytes; the oldest lose their body.
    #[serde(rename = "answer_bytes")]
    pub response_bytes: usize,
}

impl Default for Bounds {
    /// Returns room for 65,536 keys and 8 MiB of answers.
    fn default() -> Self {
        Self {
            keys: 65_536,
            response_bytes: 8 << 20,
        }
    }
}

/// What the stream says about a key.
#[common::plain]
pub enum KeyState {
    /// The table cannot tell yet, or no longer.
    Unknown,
    /// No claim or void was read.
    Free,
    /// A claim won and has no outcome.
    Claimed {
        /// The digest of the request.
        digest: Digest,
        /// The claimant.
        incarnation: Incarnation,
        /// The claim.
        claim: ClaimId,
    },
    /// A claim won and its request ended.
    Done {
        /// The digest of the request.
        digest: Digest,
        /// The answer.
        response: Response,
    },
    /// A void won: the key never runs.
    Voided,
}

impl KeyState {
    /// Returns what is known about the execution of the key's request.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Voided => Verdict::NotRun,
            Self::Done { response, .. } => response.verdict,
            Self::Unknown | Self::Free | Self::Claimed { .. } => Verdict::MayHaveRun,
        }
    }
}

/// A key's first claim or void.
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

/// The claims of one partition of the stream, as far as it was read.
#[derive(Debug)]
pub struct Table {
    window: Window,
    bounds: Bounds,
    /// The latest wall time seen; it never goes back.
    latest_wall: Wall,
    position: Offset,
    /// The offset up to which the stream must be read before it covers the window.
    target: Option<Offset>,
    /// Keys of this time and older may be forgotten, whatever the window says.
    discarded_through: Option<Wall>,
    entries: HashMap<Key, Entry>,
    /// The keys by time, for forgetting.
    by_time: BTreeSet<(Wall, Key)>,
    /// The keys with a kept body by time.
    with_body: BTreeSet<(Wall, Key)>,
    body_bytes: usize,
}

impl Table {
    /// Returns an empty table that has read nothing.
    pub fn new(window: Window, bounds: Bounds) -> Self {
        Self {
            window,
            bounds,
            latest_wall: Wall::default(),
            position: Offset::ZERO,
            target: None,
            discarded_through: None,
            entries: HashMap::new(),
            by_time: BTreeSet::new(),
            with_body: BTreeSet::new(),
            body_bytes: 0,
        }
    }

    /// Names the stream's last offset, as asked for after this process started.
    ///
    /// The table covers the window once it has read from the earliest record
    /// that the log keeps up to there. Later calls change nothing.
    pub fn set_target(&mut self, tail: Offset) {
        self.target.get_or_insert(tail);
    }

    /// Returns whether the table has read all that the window remembers.
    pub fn is_ready(&self) -> bool {
        self.target.is_some_and(|target| self.position >= target)
    }

    /// Returns whether no new key is admitted for want of room.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.bounds.keys
    }

    /// Returns the last offset that was folded.
    pub fn position(&self) -> Offset {
        self.position
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total length of the kept answers, in bytes.
    pub fn response_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Folds what was read at `offset`; bytes that are no record are `None`.
    ///
    /// Returns whether the standing of the record's key changed. An offset at
    /// or below the position is a repeat. A gap after the first record means
    /// that records expired unread: no key that they could name runs here.
    pub fn fold(&mut self, offset: Offset, record: Option<&Record>, wall: Wall) -> bool {
        if offset <= self.position {
            return false;
        }
        self.latest_wall = self.latest_wall.max(wall);
        if self.position != Offset::ZERO && offset != self.position.next() {
            self.discard_through(Wall(
                self.latest_wall.0.saturating_add(skew_millis(&self.window)),
            ));
        }
        self.position = offset;
        let changed = record.is_some_and(|record| self.apply_record(record));
        self.enforce_bounds();
        changed
    }

    /// Forgets what lies outside the window at `wall`.
    pub fn expire(&mut self, wall: Wall) {
        self.latest_wall = self.latest_wall.max(wall);
        while let Some((time, key)) = self.by_time.first() {
            if self.latest_wall.since(*time) <= self.window.validity {
                break;
            }
            let key = key.clone();
            self.remove(&key);
        }
    }

    /// Returns where the time inside `key` lies at `wall`.
    ///
    /// The table's own clock never goes back, so that a key which was too old
    /// stays too old.
    pub fn window_position(&self, key: &Key, wall: Wall) -> Position {
        if self.discarded_through.is_some_and(|end| key.time() <= end) {
            return Position::TooOld;
        }
        match self.window.position(key, self.latest_wall.max(wall)) {
            Position::TooOld => Position::TooOld,
            _ => self.window.position(key, wall),
        }
    }

    /// Returns what the stream says about `key`.
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

    /// Takes a record; returns whether it changed its key's standing.
    fn apply_record(&mut self, record: &Record) -> bool {
        let key = record.key();
        // A record of a key that may have been forgotten could be the second
        // of its kind: it must not look like the first.
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

    /// Enters the first claim or void of a key.
    fn insert(&mut self, key: &Key, entry: Entry) -> bool {
        if self.entries.contains_key(key) {
            return false;
        }
        self.by_time.insert((key.time(), key.clone()));
        self.entries.insert(key.clone(), entry);
        true
    }

    /// Enters the first outcome of the claim that won.
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

    /// Brings the table back within its bounds.
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

    /// Forgets all keys of `time` and older, and lets none as old run.
    fn discard_through(&mut self, time: Wall) {
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

    /// Drops the body of a key's answer.
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

/// Returns the allowed skew, in milliseconds.
fn skew_millis(window: &Window) -> u64 {
    u64::try_from(window.skew.as_millis()).unwrap_or(u64::MAX)
}
