//! How a node catches up on words that were passed on without it.
//!
//! Changes alone go to partners. A node that has just started, or whose
//! members differ from a partner's for long, asks one node in each interval for
//! a page of all words. Digests find the difference; they cost eight bytes.

use crate::{
    Health, Table,
    beat::{Page, PageRequest},
    table::Call,
};
use clock::Moment;
use name::Node;
use std::{
    ops::Bound::{Excluded, Unbounded},
    time::Duration,
};

/// How long members differ before pages are asked for.
const DIVERGENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// The time from the end of a lesson to the start of the next.
const SYNC_PAUSE: Duration = Duration::from_secs(10);

/// The pages that a node asks for.
#[derive(Debug)]
pub(crate) struct FullSync {
    /// Whether pages are being asked for.
    is_active: bool,
    /// Whether this is the lesson of a node that has just started.
    is_initial: bool,
    /// The last name of the last page.
    after: Option<Node>,
    /// Whom to ask; any other if it is not called.
    source: Option<Node>,
    /// When the last lesson ended.
    ended_at: Moment,
}

impl FullSync {
    /// Returns the lesson of a node that has just started.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            is_active: true,
            is_initial: true,
            after: None,
            source: None,
            ended_at: now,
        }
    }
}

impl Table {
    /// Asks for a page in one of the `calls`, if there is something to learn.
    pub(crate) fn request_page(&mut self, calls: &mut [Call], now: Moment) {
        self.start_full_sync(now);
        if !self.full_sync.is_active || calls.is_empty() {
            return;
        }
        let source = self.full_sync.source.as_ref();
        let chosen = calls
            .iter()
            .position(|call| source.is_some() && call.node.as_ref() == source)
            .unwrap_or(self.rounds % calls.len());
        calls[chosen].beat.page_request = Some(PageRequest {
            after: self.full_sync.after.clone(),
        });
    }

    /// Opens a lesson with a partner whose members have differed for long.
    fn start_full_sync(&mut self, now: Moment) {
        if self.full_sync.is_active || now.since(self.full_sync.ended_at) < SYNC_PAUSE {
            return;
        }
        let differs =
            |since: Option<Moment>| since.is_some_and(|at| now.since(at) > DIVERGENCE_TIMEOUT);
        let callees = self.graph().callees.iter();
        let source = callees
            .filter(|node| {
                self.links
                    .get(*node)
                    .is_some_and(|link| differs(link.differs_since))
            })
            .min();
        let Some(source) = source.cloned() else {
            return;
        };
        self.full_sync = FullSync {
            is_active: true,
            is_initial: false,
            after: None,
            source: Some(source),
            ended_at: now,
        };
    }

    /// Returns the page that is asked for.
    pub(crate) fn page_after(&self, request: &PageRequest) -> Page {
        let start = request.after.clone().map_or(Unbounded, Excluded);
        let mut members: Vec<_> = self
            .members
            .range((start, Unbounded))
            .map(|(_, entry)| &entry.member)
            .filter(|member| member.health != Health::Dead)
            .take(self.settings.max_beat_members + 1)
            .cloned()
            .collect();
        let is_last = members.len() <= self.settings.max_beat_members;
        members.truncate(self.settings.max_beat_members);
        Page { members, is_last }
    }

    /// Takes a page that `source` sent.
    pub(crate) fn apply_page(&mut self, page: &Page, source: &Node, now: Moment) {
        if !self.full_sync.is_active {
            return;
        }
        let is_initial = self.full_sync.is_initial;
        for member in &page.members {
            // What a new node learns first is news to itself alone.
            self.apply_member(member, source, !is_initial, now);
        }
        let last = page.members.last().map(|member| member.peer.node.clone());
        self.full_sync.after = last.max(self.full_sync.after.take());
        if page.is_last {
            self.full_sync.is_active = false;
            self.full_sync.is_initial = false;
            self.full_sync.ended_at = now;
        }
    }
}
