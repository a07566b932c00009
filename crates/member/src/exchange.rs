//! Beats: what is sent to a partner, and what is made of what comes.

use crate::{
    Beat, Exchange, Health, Report, Table, Voucher, Word,
    table::{Held, Link},
};
use clock::Moment;
use name::Node;

/// The number of digests in a beat.
const BUCKETS: usize = 16;

/// The topic under which nodes are spread over the buckets.
const BUCKET_TOPIC: &str = "digest-bucket";

impl Table {
    /// Takes a call; returns the reply.
    pub fn answer(&mut self, beat: &Beat, report: &Report, now: Moment) -> Beat {
        self.hear(beat, now, now);
        let mut reply = self.beat(Some(&beat.node), report);
        reply.page = beat.ask.as_ref().map(|ask| self.page(ask));
        reply
    }

    /// Takes the reply to a call; returns the voucher in it, if any.
    ///
    /// `sent` is the moment before the call was sent: a reply may have been
    /// under way for long, as in a pause of this node, so that the partner is
    /// known to have lived then and not now. The driver gives the voucher to
    /// [`crate::Freshness::learn`] with the same moment.
    pub fn answered(&mut self, reply: &Beat, sent: Moment, now: Moment) -> Option<Voucher> {
        self.hear(reply, sent, now);
        if let Some(page) = &reply.page {
            self.learn(page, &reply.node, now);
        }
        reply.report.voucher.clone()
    }

    /// Returns the beat for `to`, or for a node that is not known yet.
    pub(crate) fn beat(&self, to: Option<&Node>, report: &Report) -> Beat {
        let link = to.and_then(|node| self.links.get(node));
        let (mut words, sent) = match (link, self.settings.exchange) {
            (None, _) => (vec![self.own().clone()], 0),
            (Some(_), Exchange::Full) => (self.words().cloned().collect(), self.change),
            (Some(link), Exchange::Delta) => self.delta(link, to),
            (Some(link), Exchange::Digest) => (self.differing(link), self.change),
        };
        let own = self.own();
        if link.is_some_and(|link| !link.introduced) && !words.contains(own) {
            words.push(own.clone());
        }
        Beat {
            node: self.own.clone(),
            incarnation: own.peer.incarnation,
            to: link.and_then(|link| link.incarnation),
            seen: link.map_or(0, |link| link.seen),
            sent,
            digest: self.digest,
            ask: None,
            page: None,
            digests: match self.settings.exchange {
                Exchange::Digest => self.digests(),
                _ => Vec::new(),
            },
            words,
            report: report.clone(),
        }
    }

    /// Returns the words that the other node has not acknowledged, and the last change.
    fn delta(&self, link: &Link, to: Option<&Node>) -> (Vec<Word>, u64) {
        let mut words = Vec::new();
        for (change, node) in self.changes.range(link.acknowledged + 1..) {
            if words.len() >= self.settings.max_words {
                return (words, change - 1);
            }
            let held = &self.members[node];
            if to.is_none() || held.source.as_ref() != to {
                words.push(held.word.clone());
            }
        }
        (words, self.change)
    }

    /// Returns the words of the buckets whose digests differ.
    fn differing(&self, link: &Link) -> Vec<Word> {
        let own = self.digests();
        if link.digests.len() != BUCKETS {
            return vec![self.own().clone()];
        }
        self.words()
            .filter(|word| {
                let bucket = bucket(word);
                own[bucket] != link.digests[bucket]
            })
            .cloned()
            .collect()
    }

    /// Returns a digest of the words of each bucket.
    fn digests(&self) -> Vec<u32> {
        let mut digests = vec![0; BUCKETS];
        for word in self.words() {
            let topic = format!(
                "{}/{}/{}/{:?}",
                word.life, word.peer.incarnation, word.version, word.health
            );
            let score = name::score(&topic, word.peer.node.as_str());
            digests[bucket(word)] ^= u32::try_from(score >> 32).unwrap_or(0);
        }
        digests
    }

    /// Takes a beat: the sender lived at `at`, and so do its words count.
    fn hear(&mut self, beat: &Beat, at: Moment, now: Moment) {
        if beat.node == self.own {
            return;
        }
        let own = self.own().peer.incarnation;
        let recent = self.recent();
        let link = self
            .links
            .entry(beat.node.clone())
            .or_insert_with(|| Link::new(recent, now));
        let is_new_life = link.incarnation != Some(beat.incarnation);
        if is_new_life {
            *link = Link::new(recent, now);
            link.incarnation = Some(beat.incarnation);
        }
        if beat.to == Some(own) {
            link.acknowledged = link.acknowledged.max(beat.seen);
            link.introduced = true;
        }
        link.seen = link.seen.max(beat.sent);
        link.digests.clone_from(&beat.digests);
        link.heard = link.heard.max(at);
        link.was_heard = true;
        link.reads_log = beat.report.reads_log;
        if is_new_life {
            self.forget_source(&beat.node);
        }
        for word in &beat.words {
            self.take(word, &beat.node, true, now);
        }
        let differs = beat.digest != self.digest;
        if let Some(link) = self.links.get_mut(&beat.node) {
            link.differs = differs.then(|| link.differs.unwrap_or(now));
        }
    }

    /// Forgets which words `node` brought: its next life may lack them.
    fn forget_source(&mut self, node: &Node) {
        for held in self.members.values_mut() {
            if held.source.as_ref() == Some(node) {
                held.source = None;
            }
        }
    }

    /// Takes a word that `source` sent; passes it on if it is news to others.
    pub(crate) fn take(&mut self, word: &Word, source: &Node, passes_on: bool, now: Moment) {
        if word.peer.node == self.own {
            self.refute(word, now);
            return;
        }
        let is_news = match self.members.get(&word.peer.node) {
            Some(Held { word: held, .. }) => word.replaces(held),
            // The dead are not news, or they would be passed around for ever.
            None => word.health != Health::Dead,
        };
        match (is_news, passes_on) {
            (true, true) => self.put(word.clone(), Some(source), now),
            (true, false) => self.enter(word.clone(), now),
            (false, _) => {}
        }
    }

    /// Raises the own word above one that says otherwise.
    fn refute(&mut self, word: &Word, now: Moment) {
        let own = self.own();
        if own.health == Health::Dead || !word.replaces(own) {
            return;
        }
        let mut raised = own.clone();
        if word.is_same_life(own) {
            raised.life = raised.life.max(word.life);
            raised.version = word.version + 1;
        } else {
            raised.life = word.life + 1;
        }
        self.put(raised, None, now);
    }
}

/// Returns the bucket of a word.
fn bucket(word: &Word) -> usize {
    let score = name::score(BUCKET_TOPIC, word.peer.node.as_str());
    usize::try_from(score % BUCKETS as u64).unwrap_or(0)
}
