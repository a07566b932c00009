//! When a node claims the planner role.

use crate::peers::{MAX_LIVENESS_INTERVAL, Peers};
use clock::Moment;
use rand::Rng;
use site::{
    feed::{self, AppendOutcome, Batch, Cursor},
    node::PlannerClaim,
};
use std::time::Duration;

/// The maximum random delay before a claim, in milliseconds, so that nodes do not
/// claim all at once.
const MAX_CLAIM_DELAY_MILLIS: u64 = 150;

/// The additional delay of a node with a slow link.
///
/// It exceeds the time in which all nodes notice the loss of a planner, the claim of a
/// node with a fast link and its first heartbeats, so that such a node becomes the planner
/// if there is any.
const SLOW_LINK_CLAIM_DELAY: Duration = Duration::from_millis(1_000);

/// How long the holder of the newest claim is asked for a heartbeat before another node
/// supersedes it.
///
/// The holder may not know this node yet. It sends heartbeats to a node that asks, several of
/// them in this time.
const ASK_TIME: Duration = MAX_LIVENESS_INTERVAL.saturating_mul(3);

/// The outcome of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimOutcome {
    /// This node's claim is the newest, with this fencing token.
    Won(u64),
    /// Another node has claimed, and gets time to send its first heartbeat as planner.
    Superseded,
    /// The outcome is unknown, since the store did not respond.
    Unknown,
}

/// A node that claims the planner role when no other node holds it.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    /// Up to where the claims were read.
    cursor: Cursor,
    /// The newest claim that was read.
    newest: Option<PlannerClaim>,
    no_planner_since: Moment,
    /// Since when this node's view of the store has been recent enough to claim.
    recent_since: Option<Moment>,
    /// How long this node waits before it claims the vacant role.
    delay: Duration,
}

impl Candidate {
    /// Returns a candidate that has read no claims yet.
    pub(crate) fn new(has_slow_link: bool, now: Moment, rng: &mut impl Rng) -> Self {
        let delay = Duration::from_millis(rng.random_range(0..=MAX_CLAIM_DELAY_MILLIS));
        Self {
            cursor: Cursor::Start,
            newest: None,
            no_planner_since: now,
            recent_since: None,
            delay: if has_slow_link {
                delay + SLOW_LINK_CLAIM_DELAY
            } else {
                delay
            },
        }
    }

    /// Returns up to where the claims were read.
    pub(crate) fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Records that a node, perhaps this one, has planned until now.
    pub(crate) fn record_planner(&mut self, now: Moment) {
        self.no_planner_since = now;
    }

    /// Returns whether this node should read the claims and claim, given whether its view of
    /// the store and its links allow it to plan.
    ///
    /// A node that is not sure that there is a planner asks the one that it knows of.
    pub(crate) fn is_due(&mut self, peers: &mut Peers, may_plan: bool, now: Moment) -> bool {
        self.recent_since = may_plan.then(|| self.recent_since.unwrap_or(now));
        if peers.has_planner(now) {
            self.no_planner_since = now;
            peers.update_asked(now);
            return false;
        }
        let has_asked = peers
            .asked_since()
            .is_none_or(|since| self.has_passed(since, ASK_TIME, now));
        may_plan && has_asked && now.since(self.no_planner_since) >= self.delay
    }

    /// Returns whether this node needs a recent view of the store, since it may claim soon.
    ///
    /// A view that the planner relays is no longer confirmed once the planner is lost.
    pub(crate) fn wants_view(&self, peers: &Peers, now: Moment) -> bool {
        let is_asking = peers.own_token.is_none() && peers.asked_since().is_some();
        let is_first = self.delay < SLOW_LINK_CLAIM_DELAY;
        is_asking && (is_first || now.since(self.no_planner_since) >= SLOW_LINK_CLAIM_DELAY)
    }

    /// Returns whether a time has passed since `begin` in which this node was connected.
    ///
    /// A node that was cut off has asked in vain, and claims first when its links are back.
    fn has_passed(&self, begin: Moment, time: Duration, now: Moment) -> bool {
        self.recent_since
            .is_some_and(|recent| now.since(recent.max(begin)) >= time)
    }

    /// Returns the end of the feed of claims, if this node may append its own there.
    ///
    /// The holder of the newest claim is asked first, for some time: that this node got no
    /// heartbeat of it does not show that others get none.
    ///
    /// # Errors
    ///
    /// Returns the outcome if this node need not or must not append a claim now.
    pub(crate) fn read_claims(
        &mut self,
        batch: Batch<PlannerClaim>,
        own: &PlannerClaim,
        peers: &mut Peers,
        now: Moment,
    ) -> Result<u64, ClaimOutcome> {
        let Cursor::At(end) = batch.next else {
            return Err(ClaimOutcome::Unknown);
        };
        // Claims expire, so a feed without records may have had some before.
        let has_new_claims = self.cursor != batch.next && feed::offset(end) > 0;
        self.cursor = batch.next;
        if batch.records.last() == Some(own) {
            // An earlier append of this incarnation, whose response was lost.
            return Err(ClaimOutcome::Won(end));
        }
        self.newest = batch.records.into_iter().next_back().or(self.newest.take());
        let has_asked = match &self.newest {
            Some(holder) => {
                let asked_since = peers.ask(&holder.node, now);
                peers.has_stepped_down(&holder.node) || self.has_passed(asked_since, ASK_TIME, now)
            }
            None => !has_new_claims,
        };
        if has_asked {
            Ok(end)
        } else {
            Err(ClaimOutcome::Superseded)
        }
    }

    /// Records the result of an append.
    pub(crate) fn record_append(&mut self, outcome: AppendOutcome) -> ClaimOutcome {
        match outcome {
            // Tokens are above zero, since zero stands for an engine without a token.
            AppendOutcome::Appended(offset) => {
                self.cursor = Cursor::At(offset + 1);
                self.newest = None;
                ClaimOutcome::Won(offset + 1)
            }
            // The next read returns the claim that came first.
            AppendOutcome::Conflict(_) => ClaimOutcome::Superseded,
        }
    }

    /// Records the outcome of a claim, and returns the fencing token if this node won.
    pub(crate) fn record_claim(&mut self, outcome: ClaimOutcome, now: Moment) -> Option<u64> {
        match outcome {
            ClaimOutcome::Won(token) => {
                self.no_planner_since = now;
                Some(token)
            }
            ClaimOutcome::Superseded | ClaimOutcome::Unknown => None,
        }
    }
}
