//! Tracks one streamed answer over several attempts.
//!
//! Only the next frame of the current attempt is accepted. Any other frame means
//! that the connection carries another answer's frames, so the driver discards the
//! frame and closes the connection. Without an explicit end, the delivered text is
//! incomplete.

use name::{Attempt, Generation};

/// A frame of a generated answer.
#[common::value]
pub struct Frame {
    /// The attempt to which it belongs.
    pub attempt: Attempt,
    /// The generation of the replica that sent it.
    pub generation: Generation,
    /// The index of its token in the answer, from 0.
    pub index: u32,
    /// The text.
    pub text: String,
    /// Set in the last frame only.
    pub end: Option<End>,
}

/// How the server ended an answer.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The answer is complete.
    Whole,
    /// The server failed to complete the answer.
    Failed,
}

/// Why a frame was discarded.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// It belongs to another attempt.
    Attempt,
    /// It was sent by another generation of the replica.
    Generation,
    /// A frame with its index was already delivered.
    Repeated,
    /// A frame before it is missing.
    Gap,
    /// The answer had ended.
    Ended,
}

/// What to do with a frame.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Deliver its text; more frames follow.
    Deliver,
    /// Deliver its text; the answer is complete.
    Finish,
    /// The server failed; another attempt may continue from the resume point.
    Fail,
    /// Discard it and close its connection.
    Discard(Fault),
}

/// The point from which another attempt continues.
#[common::value]
#[derive(Default)]
pub struct ResumePoint {
    /// The text already delivered.
    pub text: String,
    /// The number of tokens already delivered.
    pub tokens: u32,
}

/// The progress of one streamed answer over several attempts.
#[common::plain]
#[derive(Default)]
pub struct Progress {
    current: Option<(Attempt, Generation)>,
    attempts: u32,
    text: String,
    tokens: u32,
    is_whole: bool,
}

impl Progress {
    /// Returns the progress of an answer that another node delivered up to `point`.
    pub fn resume_from(point: ResumePoint) -> Self {
        Self {
            text: point.text,
            tokens: point.tokens,
            ..Self::default()
        }
    }

    /// Starts `attempt`; frames of all other attempts are discarded from now on.
    ///
    /// Does nothing once the answer is complete.
    pub fn begin_attempt(&mut self, attempt: Attempt, generation: Generation) {
        if self.is_whole {
            return;
        }
        self.current = Some((attempt, generation));
        self.attempts += 1;
    }

    /// Ends the current attempt; its later frames are discarded.
    pub fn end_attempt(&mut self) {
        self.current = None;
    }

    /// Decides what to do with a frame.
    pub fn accept(&mut self, frame: &Frame) -> Step {
        if let Some(fault) = self.find_fault(frame) {
            return Step::Discard(fault);
        }
        if frame.end == Some(End::Failed) {
            self.current = None;
            return Step::Fail;
        }
        self.text.push_str(&frame.text);
        self.tokens += 1;
        if frame.end.is_none() {
            return Step::Deliver;
        }
        self.is_whole = true;
        self.current = None;
        Step::Finish
    }

    /// Returns the point from which another attempt continues.
    pub fn resume_point(&self) -> ResumePoint {
        ResumePoint {
            text: self.text.clone(),
            tokens: self.tokens,
        }
    }

    /// Returns the text delivered so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the number of tokens delivered so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the number of attempts started.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns whether the explicit end of the answer arrived.
    pub fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Returns the reason to discard a frame, if any.
    fn find_fault(&self, frame: &Frame) -> Option<Fault> {
        let Some((attempt, generation)) = self.current else {
            return Some(if self.is_whole {
                Fault::Ended
            } else {
                Fault::Attempt
            });
        };
        if frame.attempt != attempt {
            return Some(Fault::Attempt);
        }
        if frame.generation != generation {
            return Some(Fault::Generation);
        }
        match frame.index.cmp(&self.tokens) {
            std::cmp::Ordering::Less => Some(Fault::Repeated),
            std::cmp::Ordering::Equal => None,
            std::cmp::Ordering::Greater => Some(Fault::Gap),
        }
    }
}
