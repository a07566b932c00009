//! Full synchronization of member records, for updates that were missed.
//!
//! Heartbeats carry only changes. A node that has just started, or whose
//! records differ from a partner's for long, requests pages of all records from
//! one node per interval. An eight-byte digest in each heartbeat detects the
//! difference.

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

/// How long digests must differ before a full synchronization starts.
const DIVERGENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// The minimum pause between two full synchronizations.
const SYNC_PAUSE: Duration = Duration::from_secs(10);

/// The progress of a full synchronization.
#[derive(Debug)]
pub(crate) struct FullSync {
    /// Whether the synchronization is in progress.
    is_active: bool,
    /// Whether this is the first synchronization after the start of the node.
    is_initial: bool,
    /// The last node name received; the next page starts after it.
    after: Option<Node>,
    /// The node to request pages from; another callee if it is not among the
    /// callees.
    source: Option<Node>,
    /// When the last synchronization ended.
    ended_at: Moment,
}

impl FullSync {
    /// Returns the initial synchronization of a node that has just started.
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
    /// Adds a page request to one of the `calls` while a synchronization is
    /// active.
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

    /// Starts a synchronization with a partner whose digest has differed for
    /// long.
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

    /// Returns the requested page.
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

    /// Applies a page that `source` sent.
    pub(crate) fn apply_page(&mut self, page: &Page, source: &Node, now: Moment) {
        if !self.full_sync.is_active {
            return;
        }
        let is_initial = self.full_sync.is_initial;
        for member in &page.members {
            // Records of the initial synchronization are not relayed: they are
            // new to this node only.
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
