//! Requests in progress on a node, and the events of their answers.

use clock::Moment;
use name::{Account, Class, Model};
use route::answer::ResumePoint;
use std::sync::Arc;
use tokio::sync::mpsc;
use verdict::Error;

/// The maximum number of events buffered for a slow caller.
const MAX_BUFFERED_EVENTS: usize = 64;

/// A draft to serve.
#[derive(Debug, Clone)]
pub(crate) struct Draft {
    /// The client account.
    pub(crate) account: Account,
    /// The class of work.
    pub(crate) class: Class,
    /// The model or adapter.
    pub(crate) model: Model,
    /// The prompt.
    pub(crate) prompt: Arc<str>,
    /// The maximum number of tokens in the complete answer.
    pub(crate) max_tokens: u32,
    /// The sampling seed, which makes the answer reproducible.
    pub(crate) seed: u64,
    /// Where generation resumes, for an answer begun at another node.
    pub(crate) resume: ResumePoint,
    /// The number of tokens that the caller already received; they are not resent.
    pub(crate) skip_tokens: u32,
    /// When the request times out.
    pub(crate) deadline: Moment,
    /// Attempts made so far, on this and other nodes.
    pub(crate) attempts: u32,
    /// Whether another entry node forwarded it; it is not forwarded again.
    pub(crate) forwarded: bool,
}

impl Draft {
    /// Returns the estimated cost in tokens, prompt and answer.
    pub(crate) fn estimated_tokens(&self) -> u64 {
        prompt_tokens(&self.prompt) + u64::from(self.max_tokens.saturating_sub(self.resume.tokens))
    }
}

/// The average number of bytes of text per token.
const BYTES_PER_TOKEN: u64 = 4;

/// Returns the estimated number of tokens in a prompt.
pub(crate) fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN)
}

/// An event of a streamed answer.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Event {
    /// The next token.
    Token {
        /// Its index in the complete answer, from 0.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The complete answer has been delivered.
    End {
        /// Whether generation stopped at the token limit.
        by_length: bool,
    },
    /// The request failed and the answer is incomplete.
    Failed(Error),
}

/// Returns a bounded channel for the events of one answer.
pub(crate) fn channel() -> (mpsc::Sender<Event>, mpsc::Receiver<Event>) {
    mpsc::channel(MAX_BUFFERED_EVENTS)
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// The client account.
    pub(crate) account: Account,
    /// The service.
    pub(crate) service: name::Service,
    /// The name of the call within the service.
    pub(crate) call: Arc<str>,
    /// The body, as JSON.
    pub(crate) body: Arc<[u8]>,
    /// When the request times out.
    pub(crate) deadline: Moment,
    /// Attempts made so far, on this and other nodes.
    pub(crate) attempts: u32,
    /// Whether another entry node forwarded it.
    pub(crate) forwarded: bool,
}
