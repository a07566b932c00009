//! Building heartbeats and applying those received.

use crate::{
    Beat, Exchange, Health, LogReport, Member, Table, TailReading,
    table::{Entry, Link},
};
use clock::Moment;
use name::Node;

/// The number of digests in a heartbeat.
const DIGEST_BUCKETS: usize = 16;

/// The hash topic that assigns nodes to buckets.
const BUCKET_TOPIC: &str = "digest-bucket";

impl Table {
    /// Applies a heartbeat call and returns the reply.
    pub fn handle_call(&mut self, beat: &Beat, report: &LogReport, now: Moment) -> Beat {
        self.apply_beat(beat, now, now);
        let mut reply = self.build_beat(Some(&beat.node), report);
        reply.page = beat
            .page_request
            .as_ref()
            .map(|request| self.page_after(request));
        reply
    }

    /// Applies the reply to a call and returns the reading in it, if any.
    ///
    /// `sent` is a time before the call was sent. A reply may be delayed, for
    /// example by a pause of this node, so it shows only that the partner was
    /// alive after `sent`. The driver passes the reading to
    /// [`crate::Freshness::add_reading`] with the same time.
    pub fn handle_reply(&mut self, reply: &Beat, sent: Moment, now: Moment) -> Option<TailReading> {
        self.apply_beat(reply, sent, now);
        if let Some(page) = &reply.page {
            self.apply_page(page, &reply.node, now);
        }
        reply.report.tail_reading.clone()
    }

    /// Returns the heartbeat for `to`, or for a node whose name is unknown.
    pub(crate) fn build_beat(&self, to: Option<&Node>, report: &LogReport) -> Beat {
        let link = to.and_then(|node| self.links.get(node));
        let (mut members, sent_change) = match (link, self.settings.exchange) {
            (None, _) => (vec![self.own().clone()], 0),
            (Some(_), Exchange::Full) => (self.members().cloned().collect(), self.last_change),
            (Some(link), Exchange::Delta) => self.delta(link, to),
            (Some(link), Exchange::Digest) => (self.differing_members(link), self.last_change),
        };
        let own = self.own();
        if link.is_some_and(|link| !link.is_own_incarnation_known) && !members.contains(own) {
            members.push(own.clone());
        }
        Beat {
            node: self.own.clone(),
            incarnation: own.peer.incarnation,
            receiver_incarnation: link.and_then(|link| link.incarnation),
            acknowledged_change: link.map_or(0, |link| link.applied_change),
            sent_change,
            digest: self.digest,
            page_request: None,
            page: None,
            digests: match self.settings.exchange {
                Exchange::Digest => self.digests(),
                _ => Vec::new(),
            },
            members,
            report: report.clone(),
        }
    }

    /// Returns the records that the other node has not acknowledged, up to the
    /// limit, and the last change that they include.
    fn delta(&self, link: &Link, to: Option<&Node>) -> (Vec<Member>, u64) {
        let mut members = Vec::new();
        for (change, node) in self.changes.range(link.acknowledged_change + 1..) {
            if members.len() >= self.settings.max_beat_members {
                return (members, change - 1);
            }
            let entry = &self.members[node];
            if to.is_none() || entry.source.as_ref() != to {
                members.push(entry.member.clone());
            }
        }
        (members, self.last_change)
    }

    /// Returns the records in buckets whose digests differ.
    fn differing_members(&self, link: &Link) -> Vec<Member> {
        let own = self.digests();
        if link.digests.len() != DIGEST_BUCKETS {
            return vec![self.own().clone()];
        }
        self.members()
            .filter(|member| {
                let bucket = bucket(member);
                own[bucket] != link.digests[bucket]
            })
            .cloned()
            .collect()
    }

    /// Returns a digest of the records in each bucket.
    fn digests(&self) -> Vec<u32> {
        let mut digests = vec![0; DIGEST_BUCKETS];
        for member in self.members() {
            let topic = format!(
                "{}/{}/{}/{:?}",
                member.incarnation_number, member.peer.incarnation, member.version, member.health
            );
            let score = name::rendezvous_score(&topic, member.peer.node.as_str());
            digests[bucket(member)] ^= u32::try_from(score >> 32).unwrap_or(0);
        }
        digests
    }

    /// Applies a heartbeat whose sender was alive at `at`.
    fn apply_beat(&mut self, beat: &Beat, at: Moment, now: Moment) {
        if beat.node == self.own {
            return;
        }
        let own = self.own().peer.incarnation;
        let recent = self.recent_change();
        let link = self
            .links
            .entry(beat.node.clone())
            .or_insert_with(|| Link::new(recent, now));
        let is_new_incarnation = link.incarnation != Some(beat.incarnation);
        if is_new_incarnation {
            *link = Link::new(recent, now);
            link.incarnation = Some(beat.incarnation);
        }
        if beat.receiver_incarnation == Some(own) {
            link.acknowledged_change = link.acknowledged_change.max(beat.acknowledged_change);
            link.is_own_incarnation_known = true;
        }
        link.applied_change = link.applied_change.max(beat.sent_change);
        link.digests.clone_from(&beat.digests);
        link.last_beat = link.last_beat.max(at);
        link.has_sent_beat = true;
        link.reads_log = beat.report.reads_log;
        if is_new_incarnation {
            self.clear_source(&beat.node);
        }
        for member in &beat.members {
            self.apply_member(member, &beat.node, true, now);
        }
        let differs = beat.digest != self.digest;
        if let Some(link) = self.links.get_mut(&beat.node) {
            link.differs_since = differs.then(|| link.differs_since.unwrap_or(now));
        }
    }

    /// Clears the source of records that `node` sent: its next incarnation may
    /// lack them.
    fn clear_source(&mut self, node: &Node) {
        for entry in self.members.values_mut() {
            if entry.source.as_ref() == Some(node) {
                entry.source = None;
            }
        }
    }

    /// Applies a record that `source` sent; relays it if it is new and
    /// `is_relayed` is set.
    pub(crate) fn apply_member(
        &mut self,
        member: &Member,
        source: &Node,
        is_relayed: bool,
        now: Moment,
    ) {
        if member.peer.node == self.own {
            self.refute(member, now);
            return;
        }
        let is_newer = match self.members.get(&member.peer.node) {
            Some(Entry {
                member: current, ..
            }) => member.supersedes(current),
            // A record of an unknown dead member is ignored: nodes that have
            // removed it would otherwise relay it forever.
            None => member.health != Health::Dead,
        };
        match (is_newer, is_relayed) {
            (true, true) => self.publish(member.clone(), Some(source), now),
            (true, false) => self.store(member.clone(), now),
            (false, _) => {}
        }
    }

    /// Refutes a record that supersedes this node's own by publishing a newer
    /// one.
    fn refute(&mut self, member: &Member, now: Moment) {
        let own = self.own();
        if own.health == Health::Dead || !member.supersedes(own) {
            return;
        }
        let mut updated = own.clone();
        if member.is_same_incarnation(own) {
            updated.incarnation_number = updated.incarnation_number.max(member.incarnation_number);
            updated.version = member.version + 1;
        } else {
            updated.incarnation_number = member.incarnation_number + 1;
        }
        self.publish(updated, None, now);
    }
}

/// Returns the digest bucket of a record.
fn bucket(member: &Member) -> usize {
    let score = name::rendezvous_score(BUCKET_TOPIC, member.peer.node.as_str());
    usize::try_from(score % DIGEST_BUCKETS as u64).unwrap_or(0)
}
