//! What requests cost at a replica.

use site::config::{Engine, Weights};

/// The costs of one model's replicas, in seconds and tokens.
///
/// A replica reads prompts and writes tokens in the same passes, so that a new
/// prompt waits for the prompts before it and for the pass under way.
#[derive(Debug, Clone, PartialEq)]
pub struct Cost {
    step: f64,
    step_per_request: f64,
    step_per_token: f64,
    read_per_s: f64,
    pair: f64,
    stride: f64,
    pace: f64,
    usual_prompt: f64,
    usual_answer: f64,
}

impl Cost {
    /// Returns the costs of a model.
    pub fn new(engine: &Engine, weights: &Weights) -> Self {
        Self {
            step: engine.step.as_secs_f64(),
            step_per_request: engine.step_per_request.as_secs_f64(),
            step_per_token: engine.step_per_context.as_secs_f64() / 1_000.0,
            read_per_s: engine.read_per_s,
            pair: engine.pairs_per_million.as_secs_f64() / 1e6,
            stride: f64::from(engine.stride),
            pace: weights.pace,
            usual_prompt: engine.usual_prompt,
            usual_answer: engine.usual_answer,
        }
    }

    /// Returns the time of one token step with `running` requests.
    pub fn step(&self, running: f64) -> f64 {
        let context = self.usual_prompt + self.usual_answer / 2.0;
        self.pace * (self.step + running * (self.step_per_request + context * self.step_per_token))
    }

    /// Returns the time of reading a prompt.
    pub fn read(&self, prompt: f64) -> f64 {
        self.pace * (prompt / self.read_per_s + self.pair * prompt * prompt / 2.0)
    }

    /// Predicts when the first token of a prompt comes, with `running`
    /// requests in progress and `unread` prompt tokens before it.
    pub fn first_token(&self, running: f64, unread: f64, prompt: f64) -> f64 {
        let pass = self.stride * self.step(running);
        self.pace * unread / self.read_per_s + self.read(prompt) + pass
    }

    /// Returns how long a replica is busy for one usual request when it is full.
    pub fn occupation(&self, prompt: f64, answer: f64, slots: f64) -> f64 {
        self.read(prompt) + answer * self.step(slots) / slots.max(1.0)
    }

    /// Predicts how long a request stays, with `running` requests in progress.
    pub fn stay(&self, running: f64, prompt: f64, answer: f64) -> f64 {
        let reading = self.occupation(self.usual_prompt, 0.0, 1.0);
        // While an answer is written, the prompts of those that come are read.
        let arriving = running * reading;
        self.read(prompt) + answer * self.step(running) + arriving
    }

    /// Returns the usual prompt and answer, in tokens.
    pub fn usual(&self) -> (f64, f64) {
        (self.usual_prompt, self.usual_answer)
    }
}
