//! The slots of one node at one server.

use super::{
    ownership::Ownership,
    warmth::{Evidence, Warmth},
};
use clock::Moment;
use name::{Incarnation, Node, Offset};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use uuid::Uuid;

/// The durations that bound the use of slots.
#[common::value]
pub struct Timing {
    /// How long a report is believed.
    pub lease: Duration,
    /// How long after its grant a permit may still be sent.
    pub send: Duration,
    /// How long after a change of epoch the old owner of a slot may still send:
    /// at least the lifetime of a voucher, plus `send`, plus the time by which
    /// the load in a report lags.
    pub settle: Duration,
    /// How long a newly owned slot rests: at least the lifetime of a voucher,
    /// plus `send`, plus the longest request.
    pub rest: Duration,
}

impl Default for Timing {
    /// Returns a lease of 1 s, a send deadline of 0.1 s, a settling time of 4 s
    /// and a rest of 62 s.
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(1),
            send: Duration::from_millis(100),
            settle: Duration::from_secs(4),
            rest: Duration::from_secs(62),
        }
    }
}

/// The right to one request in progress, until released.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    slot: u32,
    boot: Uuid,
    cold: bool,
    send_by: Moment,
}

impl Permit {
    /// Returns the slot's number.
    pub fn slot(&self) -> u32 {
        self.slot
    }

    /// Returns the life of the server that the permit was granted for.
    pub fn boot(&self) -> Uuid {
        self.boot
    }

    /// Returns whether any life of the server bears the request.
    ///
    /// If not, the request may be sent only over a connection on which
    /// [`Permit::boot`] was seen.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Returns the moment from which on the request may not be written.
    pub fn send_by(&self) -> Moment {
        self.send_by
    }

    /// Returns whether the request may be written at `now`, over a connection
    /// on which `connected` was seen (`None` for a new connection).
    pub fn may_send(&self, connected: Option<Uuid>, now: Moment) -> bool {
        now < self.send_by && (self.cold || connected == Some(self.boot))
    }
}

/// How the use of a permit ended.
#[common::key]
pub enum Ending {
    /// The answer arrived whole.
    Whole,
    /// Nothing was sent, or the server refused or failed; the connection is intact.
    Failed,
    /// The connection was reset or could not be made.
    Reset,
}

/// The end of a permit's use.
#[common::value]
pub struct Completion {
    /// How it ended.
    pub ending: Ending,
    /// The time from sending to the first token.
    pub first_token: Option<Duration>,
}

/// Until when an owned slot may still be in use by its old owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Rest {
    /// From then on the old owner sends nothing new.
    settled: Moment,
    /// From then on nothing that it sent is in progress.
    over: Moment,
}

/// The slots of one node at one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gate {
    key: Arc<str>,
    node: Node,
    incarnation: Incarnation,
    slots: u32,
    timing: Timing,
    revision: Option<Offset>,
    /// The owned slots.
    owned: BTreeMap<u32, Rest>,
    /// Includes slots that were lost while in use.
    in_use: BTreeSet<u32>,
    warmth: Warmth,
    vouched_until: Moment,
}

impl Gate {
    /// Returns a gate without slots for the server `key`, which has at most `slots`.
    pub fn new(
        key: impl Into<Arc<str>>,
        (node, incarnation): (Node, Incarnation),
        slots: u32,
        timing: Timing,
    ) -> Self {
        Self {
            key: key.into(),
            node,
            incarnation,
            slots,
            timing,
            revision: None,
            owned: BTreeMap::new(),
            in_use: BTreeSet::new(),
            warmth: Warmth::default(),
            vouched_until: Moment::START,
        }
    }

    /// Takes the slots of an epoch; `base` is the epoch that it replaced.
    ///
    /// `base` is `Some(Offset::ZERO)` for the first epoch of the system, and
    /// `None` if it is not known, as after a snapshot. Slots held in the base
    /// epoch are kept; any other rests, since a node that missed an epoch
    /// cannot know who used its slots meanwhile.
    pub fn adopt(&mut self, ownership: &Ownership, base: Option<Offset>, now: Moment) {
        let revision = ownership.revision();
        if self.revision.is_some_and(|held| revision <= held) {
            return;
        }
        let is_first = base == Some(Offset::ZERO);
        let is_successor = self.revision.is_some() && base == self.revision;
        let resting = Rest {
            settled: now + self.timing.settle,
            over: now + self.timing.rest,
        };
        let free = Rest {
            settled: now,
            over: now,
        };
        let new = ownership.owned(&self.key, &self.node, self.incarnation, self.slots);
        let until = |slot: u32| match self.owned.get(&slot) {
            Some(kept) if is_successor => *kept,
            _ if is_first => free,
            _ => resting,
        };
        self.owned = new.into_iter().map(|slot| (slot, until(slot))).collect();
        self.revision = Some(revision);
    }

    /// Notes that this node's view of the log is vouched for until `until`.
    pub fn vouch(&mut self, until: Moment) {
        self.vouched_until = self.vouched_until.max(until);
    }

    /// Takes in a report of the server.
    ///
    /// One that shows no request in progress, asked for after the old owners of
    /// slots could send the last time, ends the rest of those slots: whatever
    /// the old owners sent has ended.
    pub fn observe(&mut self, evidence: Evidence) {
        if evidence.idle {
            for rest in self.owned.values_mut() {
                if rest.settled <= evidence.at {
                    rest.over = rest.over.min(evidence.at);
                }
            }
        }
        self.warmth.observe(evidence, self.timing.lease);
    }

    /// Closes to cold after a reset connection on which no permit was in use.
    pub fn reset(&mut self, now: Moment) {
        self.warmth.close(now);
    }

    /// Grants the lowest free open slot.
    pub fn try_acquire(&mut self, now: Moment) -> Option<Permit> {
        let boot = self.warmth.boot()?;
        let slot = self.free(now)?;
        self.in_use.insert(slot);
        Some(Permit {
            slot,
            boot,
            cold: slot < self.warmth.cold_limit(),
            send_by: now + self.timing.send,
        })
    }

    /// Takes a permit back, with what its use showed about the server.
    pub fn release(&mut self, permit: Permit, completion: Completion, now: Moment) {
        let Permit { slot, boot, .. } = permit;
        self.in_use.remove(&slot);
        match completion.ending {
            Ending::Whole => self.warmth.complete(boot, completion.first_token, now),
            Ending::Failed => {}
            Ending::Reset => self.warmth.close(now),
        }
    }

    /// Returns the number of permits in use.
    pub fn in_use(&self) -> usize {
        self.in_use.len()
    }

    /// Returns the number of permits that could be granted at `now`.
    pub fn available(&self, now: Moment) -> usize {
        if self.free(now).is_none() {
            return 0;
        }
        let open = self.warmth.open(now, self.timing.lease);
        let room = self.share(now, open).saturating_sub(self.in_use.len());
        self.idle(now, open).count().min(room)
    }

    /// Returns the number of owned slots that are open and rested at `now`.
    pub fn open(&self, now: Moment) -> usize {
        self.share(now, self.warmth.open(now, self.timing.lease))
    }

    /// Returns the lowest slot that may be granted at `now`.
    fn free(&self, now: Moment) -> Option<u32> {
        if now >= self.vouched_until {
            return None;
        }
        let open = self.warmth.open(now, self.timing.lease);
        // What was granted while more slots were open counts against the share.
        if self.in_use.len() >= self.share(now, open) {
            return None;
        }
        self.idle(now, open).next()
    }

    /// Returns the owned slots below `open` that are rested and not in use.
    fn idle(&self, now: Moment, open: u32) -> impl Iterator<Item = u32> {
        let below = self.owned.range(..open);
        below
            .filter(move |(slot, rest)| rest.over <= now && !self.in_use.contains(slot))
            .map(|(slot, _)| *slot)
    }

    /// Returns how many owned slots lie below `open` and are rested.
    ///
    /// A resting slot may still be in use by its old owner, so it is no room.
    fn share(&self, now: Moment, open: u32) -> usize {
        let below = self.owned.range(..open);
        below.filter(|(_, rest)| rest.over <= now).count()
    }
}
