//! The latency model of a replica.

use site::config::{EngineSpec, ModelSpec};

/// The latency model of one model's replicas, in seconds and tokens.
///
/// A replica processes prompts (prefill) and generates tokens (decode) in the same
/// passes, so a new prompt waits for the prompts before it and for the current pass.
#[derive(Debug, Clone, PartialEq)]
pub struct CostModel {
    step_time: f64,
    step_time_per_request: f64,
    step_time_per_token: f64,
    prefill_tokens_per_s: f64,
    attention_time_per_pair: f64,
    steps_per_pass: f64,
    time_factor: f64,
    mean_prompt: f64,
    mean_answer: f64,
}

impl CostModel {
    /// Returns the latency model of replicas of a model.
    pub fn new(engine_spec: &EngineSpec, model: &ModelSpec) -> Self {
        Self {
            step_time: engine_spec.step_time.as_secs_f64(),
            step_time_per_request: engine_spec.step_time_per_request.as_secs_f64(),
            step_time_per_token: engine_spec.step_time_per_1k_context.as_secs_f64() / 1_000.0,
            prefill_tokens_per_s: engine_spec.prefill_tokens_per_s,
            attention_time_per_pair: engine_spec.attention_time_per_million_pairs.as_secs_f64()
                / 1e6,
            steps_per_pass: f64::from(engine_spec.steps_per_pass),
            time_factor: model.time_factor,
            mean_prompt: engine_spec.mean_prompt_tokens,
            mean_answer: engine_spec.mean_answer_tokens,
        }
    }

    /// Returns the time of one decode step with `running` requests.
    pub fn step_time(&self, running: f64) -> f64 {
        let context = self.mean_prompt + self.mean_answer / 2.0;
        self.time_factor
            * (self.step_time
                + running * (self.step_time_per_request + context * self.step_time_per_token))
    }

    /// Returns the prefill time of a prompt.
    pub fn prefill_time(&self, prompt: f64) -> f64 {
        self.time_factor
            * (prompt / self.prefill_tokens_per_s
                + self.attention_time_per_pair * prompt * prompt / 2.0)
    }

    /// Predicts the time to the first token, with `running` requests in progress and
    /// `queued_tokens` prompt tokens ahead of the prompt.
    pub fn time_to_first_token(&self, running: f64, queued_tokens: f64, prompt: f64) -> f64 {
        let pass = self.steps_per_pass * self.step_time(running);
        self.time_factor * queued_tokens / self.prefill_tokens_per_s
            + self.prefill_time(prompt)
            + pass
    }

    /// Returns the time of a replica that one request uses up while all slots are
    /// busy.
    pub fn service_time(&self, prompt: f64, answer: f64, slots: f64) -> f64 {
        self.prefill_time(prompt) + answer * self.step_time(slots) / slots.max(1.0)
    }

    /// Predicts the total time of a request, with `running` requests in progress.
    pub fn residence_time(&self, running: f64, prompt: f64, answer: f64) -> f64 {
        let prefill = self.service_time(self.mean_prompt, 0.0, 1.0);
        // While the response is generated, the replica also prefills the prompts of
        // new requests.
        let prefill_of_arrivals = running * prefill;
        self.prefill_time(prompt) + answer * self.step_time(running) + prefill_of_arrivals
    }

    /// Returns the mean lengths of a prompt and of a response, in tokens.
    pub fn mean_tokens(&self) -> (f64, f64) {
        (self.mean_prompt, self.mean_answer)
    }
}
