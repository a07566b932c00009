//! Grants the slots that one node owns at one server.

use super::{
    ownership::Ownership,
    warmth::{CapacityReport, Warmth},
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
    /// How long a report is valid.
    pub lease: Duration,
    /// How long after its grant the request of a permit may be sent.
    pub send: Duration,
    /// How long after a change of epoch the previous owner of a slot may still
    /// send: at least the lifetime of a voucher (the confirmation that a node's
    /// view of the log is current), plus `send`, plus the lag of the load in a
    /// report.
    pub settle: Duration,
    /// How long a newly owned slot is not granted: at least the lifetime of a
    /// voucher, plus `send`, plus the longest request.
    pub rest: Duration,
}

impl Default for Timing {
    /// Returns a lease of 1 s, a send deadline of 0.1 s, a settling time of 4 s
    /// and a rest period of 62 s.
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(1),
            send: Duration::from_millis(100),
            settle: Duration::from_secs(4),
            rest: Duration::from_secs(62),
        }
    }
}

/// A permit for one request in progress, until released.
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

    /// Returns the boot id of the server for which the permit was granted.
    pub fn boot(&self) -> Uuid {
        self.boot
    }

    /// Returns whether the permit is below the cold limit, so that it holds after a restart.
    ///
    /// If not, the request may be sent only over a connection on which
    /// [`Permit::boot`] was seen.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Returns the time from which the request must not be sent.
    pub fn send_by(&self) -> Moment {
        self.send_by
    }

    /// Returns whether the request may be sent at `now`, over a connection on
    /// which the boot id `connected` was seen (`None` for a new connection).
    pub fn may_send(&self, connected: Option<Uuid>, now: Moment) -> bool {
        now < self.send_by && (self.cold || connected == Some(self.boot))
    }
}

/// How the use of a permit ended.
#[common::key]
pub enum Ending {
    /// The answer arrived completely.
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

/// How long the previous owner of a slot may still use it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Handover {
    /// From this time on, the previous owner sends no new request.
    old_owner_sends_until: Moment,
    /// From this time on, no request of the previous owner is in progress.
    old_owner_uses_until: Moment,
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
    owned: BTreeMap<u32, Handover>,
    /// Includes slots that were reassigned to another node while in use.
    in_use: BTreeSet<u32>,
    warmth: Warmth,
    log_view_confirmed_until: Moment,
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
            log_view_confirmed_until: Moment::START,
        }
    }

    /// Applies the slot ownership of an epoch; `base` is the epoch that it replaced.
    ///
    /// `base` is `Some(Offset::ZERO)` for the first epoch of the system, and
    /// `None` if it is unknown, as after a snapshot. Slots owned in the base epoch
    /// are kept. Any other slot gets a rest period in which it is not granted,
    /// since another node may have used it in an epoch that this node missed.
    pub fn apply_epoch(&mut self, ownership: &Ownership, base: Option<Offset>, now: Moment) {
        let revision = ownership.revision();
        if self.revision.is_some_and(|current| revision <= current) {
            return;
        }
        let is_first = base == Some(Offset::ZERO);
        let is_successor = self.revision.is_some() && base == self.revision;
        let handover = Handover {
            old_owner_sends_until: now + self.timing.settle,
            old_owner_uses_until: now + self.timing.rest,
        };
        let immediate = Handover {
            old_owner_sends_until: now,
            old_owner_uses_until: now,
        };
        let new = ownership.owned_slots(&self.key, &self.node, self.incarnation, self.slots);
        let handover_of = |slot: u32| match self.owned.get(&slot) {
            Some(kept) if is_successor => *kept,
            _ if is_first => immediate,
            _ => handover,
        };
        self.owned = new
            .into_iter()
            .map(|slot| (slot, handover_of(slot)))
            .collect();
        self.revision = Some(revision);
    }

    /// Extends to `until` the time for which this node's view of the log is confirmed.
    pub fn confirm_log_view(&mut self, until: Moment) {
        self.log_view_confirmed_until = self.log_view_confirmed_until.max(until);
    }

    /// Applies a report of the server.
    ///
    /// If the report shows no request in progress and was requested after the
    /// previous owners of slots had to stop sending, the rest period of those
    /// slots ends: every request of the previous owners has ended.
    pub fn observe(&mut self, report: CapacityReport) {
        if report.idle {
            for handover in self.owned.values_mut() {
                if handover.old_owner_sends_until <= report.at {
                    handover.old_owner_uses_until = handover.old_owner_uses_until.min(report.at);
                }
            }
        }
        self.warmth.observe(report, self.timing.lease);
    }

    /// Closes to the cold limit after the reset of a connection without a permit in use.
    pub fn record_connection_reset(&mut self, now: Moment) {
        self.warmth.reset_to_cold(now);
    }

    /// Grants a permit for the lowest free open slot.
    pub fn try_acquire(&mut self, now: Moment) -> Option<Permit> {
        let boot = self.warmth.boot()?;
        let slot = self.next_free_slot(now)?;
        self.in_use.insert(slot);
        Some(Permit {
            slot,
            boot,
            cold: slot < self.warmth.cold_limit(),
            send_by: now + self.timing.send,
        })
    }

    /// Releases a permit, and applies the result of its request to the warmth estimate.
    pub fn release(&mut self, permit: Permit, completion: Completion, now: Moment) {
        let Permit { slot, boot, .. } = permit;
        self.in_use.remove(&slot);
        match completion.ending {
            Ending::Whole => self
                .warmth
                .record_completion(boot, completion.first_token, now),
            Ending::Failed => {}
            Ending::Reset => self.warmth.reset_to_cold(now),
        }
    }

    /// Returns the number of permits in use.
    pub fn in_use(&self) -> usize {
        self.in_use.len()
    }

    /// Returns the number of permits that could be granted at `now`.
    pub fn available(&self, now: Moment) -> usize {
        if self.next_free_slot(now).is_none() {
            return 0;
        }
        let open = self.warmth.open_slots(now, self.timing.lease);
        let room = self
            .rested_slots(now, open)
            .saturating_sub(self.in_use.len());
        self.free_slots(now, open).count().min(room)
    }

    /// Returns the number of owned slots that are open and past their rest period at `now`.
    pub fn open_slots(&self, now: Moment) -> usize {
        self.rested_slots(now, self.warmth.open_slots(now, self.timing.lease))
    }

    /// Returns the lowest slot that may be granted at `now`.
    fn next_free_slot(&self, now: Moment) -> Option<u32> {
        if now >= self.log_view_confirmed_until {
            return None;
        }
        let open = self.warmth.open_slots(now, self.timing.lease);
        // Permits granted while more slots were open count against the smaller number.
        if self.in_use.len() >= self.rested_slots(now, open) {
            return None;
        }
        self.free_slots(now, open).next()
    }

    /// Returns the owned slots below `open` that are past their rest period and not in use.
    fn free_slots(&self, now: Moment, open: u32) -> impl Iterator<Item = u32> {
        let below = self.owned.range(..open);
        below
            .filter(move |(slot, handover)| {
                handover.old_owner_uses_until <= now && !self.in_use.contains(slot)
            })
            .map(|(slot, _)| *slot)
    }

    /// Returns the number of owned slots below `open` that are past their rest period.
    ///
    /// During its rest period, a slot may still be in use by its previous owner.
    fn rested_slots(&self, now: Moment, open: u32) -> usize {
        let below = self.owned.range(..open);
        below
            .filter(|(_, handover)| handover.old_owner_uses_until <= now)
            .count()
    }
}
