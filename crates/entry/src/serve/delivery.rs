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
pub(crate) struct Disconnected;

/// The delivery of one answer, across all attempts.
#[derive(Debug)]
pub(crate) struct Delivery {
    node: Arc<Node>,
    events: Sender<Event>,
    progress: Progress,
    /// The number of tokens that the caller already received.
    skip_tokens: u32,
    started_at: Moment,
    last_token_at: Option<Moment>,
}

impl Delivery {
    /// Returns the delivery of `draft`; its time starts now.
    pub(crate) fn new(node: &Arc<Node>, draft: &Draft, events: Sender<Event>) -> Self {
        Self {
            node: Arc::clone(node),
            events,
            progress: Progress::resume_from(draft.resume.clone()),
            skip_tokens: draft.skip_tokens,
            started_at: node.clock.now(),
            last_token_at: None,
        }
    }

    /// Returns the progress of the answer.
    pub(crate) fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Starts an attempt; frames of any other attempt are discarded.
    pub(crate) fn begin_attempt(&mut self, attempt: Attempt, generation: Generation) {
        self.progress.begin_attempt(attempt, generation);
    }

    /// Ends the current attempt, whose later frames are discarded.
    pub(crate) fn end_attempt(&mut self) {
        self.progress.end_attempt();
    }

    /// Delivers the text of a frame if it is the next one of the current attempt.
    ///
    /// # Errors
    ///
    /// Returns [`Disconnected`] if the caller disconnected.
    pub(crate) async fn deliver_frame(
        &mut self,
        draft: &Draft,
        frame: Frame,
    ) -> Result<Step, Disconnected> {
        let step = self.progress.accept(&frame);
        let is_delivered = matches!(step, Step::Deliver | Step::Finish);
        if is_delivered && !frame.text.is_empty() {
            self.deliver_token(draft, frame.index, frame.text).await?;
        }
        Ok(step)
    }

    /// Delivers one token, unless the caller already received it.
    async fn deliver_token(
        &mut self,
        draft: &Draft,
        index: u32,
        text: String,
    ) -> Result<(), Disconnected> {
        self.record_token_time(draft);
        if index < self.skip_tokens {
            return Ok(());
        }
        self.send(Event::Token { index, text }).await
    }

    /// Records the time to the first token or since the previous one.
    fn record_token_time(&mut self, draft: &Draft) {
        let now = self.node.clock.now();
        let (phase, since) = match self.last_token_at {
            None => (Phase::FirstToken, self.started_at),
            Some(last_token_at) => (Phase::BetweenTokens, last_token_at),
        };
        self.last_token_at = Some(now);
        let time = now.since(since);
        self.node
            .stats()
            .record(&draft.account, &draft.class, phase, time);
    }

    /// Sends an event.
    ///
    /// # Errors
    ///
    /// Returns [`Disconnected`] if the caller disconnected.
    pub(crate) async fn send(&self, event: Event) -> Result<(), Disconnected> {
        self.events.send(event).await.map_err(|_| Disconnected)
    }

    /// Completes when the caller has disconnected.
    pub(crate) async fn disconnected(&self) {
        self.events.closed().await;
    }

    /// Returns when the request arrived.
    pub(crate) fn started_at(&self) -> Moment {
        self.started_at
    }
}

/// Converts a frame from an engine.
pub(crate) fn convert_frame(frame: backend::proto::Frame) -> Frame {
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
