//! Delivery of one streamed answer to its caller.

use crate::{
    node::Node,
    serve::job::{Draft, Event},
};
use admit::stats::Phase;
use clock::Moment;
use name::{Attempt, Generation};
use route::answer::{End, Frame, Progress, Step};
use std::sync::Arc;
use tokio::sync::mpsc::Sender;

/// The caller disconnected, so that the request can be dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Gone;

/// The delivery of one answer, across all attempts.
#[derive(Debug)]
pub(crate) struct Delivery {
    node: Arc<Node>,
    events: Sender<Event>,
    progress: Progress,
    /// The number of tokens that the caller already received.
    skip: u32,
    started: Moment,
    last: Option<Moment>,
}

impl Delivery {
    /// Returns the delivery of `draft`; its time starts now.
    pub(crate) fn new(node: &Arc<Node>, draft: &Draft, events: Sender<Event>) -> Self {
        Self {
            node: Arc::clone(node),
            events,
            progress: Progress::resume_from(draft.resume.clone()),
            skip: draft.skip,
            started: node.clock.now(),
            last: None,
        }
    }

    /// Returns the progress of the answer.
    pub(crate) fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Starts an attempt; frames of any other attempt are discarded.
    pub(crate) fn begin(&mut self, attempt: Attempt, generation: Generation) {
        self.progress.begin_attempt(attempt, generation);
    }

    /// Ends the current attempt, whose later frames are discarded.
    pub(crate) fn abandon(&mut self) {
        self.progress.end_attempt();
    }

    /// Delivers the text of a frame if it is the next one of the current attempt.
    ///
    /// # Errors
    ///
    /// Returns [`Gone`] if the caller disconnected.
    pub(crate) async fn frame(&mut self, draft: &Draft, frame: Frame) -> Result<Step, Gone> {
        let step = self.progress.accept(&frame);
        let is_delivered = matches!(step, Step::Deliver | Step::Finish);
        if is_delivered && !frame.text.is_empty() {
            self.token(draft, frame.index, frame.text).await?;
        }
        Ok(step)
    }

    /// Delivers one token, unless the caller already received it.
    async fn token(&mut self, draft: &Draft, index: u32, text: String) -> Result<(), Gone> {
        self.record(draft);
        if index < self.skip {
            return Ok(());
        }
        self.send(Event::Token { index, text }).await
    }

    /// Records the time to the first token or since the previous one.
    fn record(&mut self, draft: &Draft) {
        let now = self.node.clock.now();
        let (phase, since) = match self.last {
            None => (Phase::FirstToken, self.started),
            Some(last) => (Phase::BetweenTokens, last),
        };
        self.last = Some(now);
        let time = now.since(since);
        self.node
            .stats()
            .record(&draft.account, &draft.class, phase, time);
    }

    /// Sends an event.
    ///
    /// # Errors
    ///
    /// Returns [`Gone`] if the caller disconnected.
    pub(crate) async fn send(&self, event: Event) -> Result<(), Gone> {
        self.events.send(event).await.map_err(|_| Gone)
    }

    /// Completes when the caller has disconnected.
    pub(crate) async fn gone(&self) {
        self.events.closed().await;
    }

    /// Returns when the request arrived.
    pub(crate) fn started(&self) -> Moment {
        self.started
    }
}

/// Converts a frame from an engine.
pub(crate) fn frame_of(frame: backend::proto::Frame) -> Frame {
    use backend::proto::Finish;
    Frame {
        attempt: frame.attempt,
        generation: frame.generation,
        index: frame.index,
        text: frame.text,
        end: frame.finish.map(|finish| match finish {
            Finish::Stop | Finish::Length => End::Whole,
            Finish::Error => End::Failed,
        }),
    }
}
