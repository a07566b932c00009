//! How a node catches up on words that were passed on without it.
//!
//! Changes alone go to partners. A node that has just started, or whose
//! members differ from a partner's for long, asks one node in each interval for
//! a page of all words. Digests find the difference; they cost eight bytes.

use crate::{
    Health, Table,
    beat::{Ask, Page},
    table::Call,
};
use clock::Moment;
use name::Node;
use std::{
    ops::Bound::{Excluded, Unbounded},
    time::Duration,
};

/// How long members differ before pages are asked for.
const DIFFERS_FOR: Duration = Duration::from_secs(5);

/// The time from the end of a lesson to the start of the next.
const PAUSE: Duration = Duration::from_secs(10);

/// The pages that a node asks for.
#[derive(Debug)]
pub(crate) struct Lesson {
    /// Whether pages are being asked for.
    is_open: bool,
    /// Whether this is the lesson of a node that has just started.
    is_first: bool,
    /// The last name of the last page.
    after: Option<Node>,
    /// Whom to ask; any other if it is not called.
    teacher: Option<Node>,
    /// When the last lesson ended.
    ended: Moment,
}

impl Lesson {
    /// Returns the lesson of a node that has just started.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            is_open: true,
            is_first: true,
            after: None,
            teacher: None,
            ended: now,
        }
    }
}

impl Table {
    /// Asks for a page in one of the `calls`, if there is something to learn.
    pub(crate) fn ask(&mut self, calls: &mut [Call], now: Moment) {
        self.open_lesson(now);
        if !self.lesson.is_open || calls.is_empty() {
            return;
        }
        let teacher = self.lesson.teacher.as_ref();
        let chosen = calls
            .iter()
            .position(|call| teacher.is_some() && call.node.as_ref() == teacher)
            .unwrap_or(self.rounds % calls.len());
        calls[chosen].beat.ask = Some(Ask {
            after: self.lesson.after.clone(),
        });
    }

    /// Opens a lesson with a partner whose members have differed for long.
    fn open_lesson(&mut self, now: Moment) {
        if self.lesson.is_open || now.since(self.lesson.ended) < PAUSE {
            return;
        }
        let differs = |since: Option<Moment>| since.is_some_and(|at| now.since(at) > DIFFERS_FOR);
        let called = self.graph().calls.iter();
        let teacher = called
            .filter(|node| {
                self.links
                    .get(*node)
                    .is_some_and(|link| differs(link.differs))
            })
            .min();
        let Some(teacher) = teacher.cloned() else {
            return;
        };
        self.lesson = Lesson {
            is_open: true,
            is_first: false,
            after: None,
            teacher: Some(teacher),
            ended: now,
        };
    }

    /// Returns the page that is asked for.
    pub(crate) fn page(&self, ask: &Ask) -> Page {
        let start = ask.after.clone().map_or(Unbounded, Excluded);
        let mut words: Vec<_> = self
            .members
            .range((start, Unbounded))
            .map(|(_, held)| &held.word)
            .filter(|word| word.health != Health::Dead)
            .take(self.settings.max_words + 1)
            .cloned()
            .collect();
        let is_last = words.len() <= self.settings.max_words;
        words.truncate(self.settings.max_words);
        Page { words, is_last }
    }

    /// Takes a page that `source` sent.
    pub(crate) fn learn(&mut self, page: &Page, source: &Node, now: Moment) {
        if !self.lesson.is_open {
            return;
        }
        let is_first = self.lesson.is_first;
        for word in &page.words {
            // What a new node learns first is news to itself alone.
            self.take(word, source, !is_first, now);
        }
        let last = page.words.last().map(|word| word.peer.node.clone());
        self.lesson.after = last.max(self.lesson.after.take());
        if page.is_last {
            self.lesson.is_open = false;
            self.lesson.is_first = false;
            self.lesson.ended = now;
        }
    }
}
