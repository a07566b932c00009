//! What became of a request: its first output, its outcome for the admission levels, and the
//! log line at its end.

use crate::{
    admit::{FirstOutput, Job},
    attempt::Attempts,
    slot::Slot,
    state::Shared,
};
use name::Instance;
use net::Framing;
use place::Outcomes;
use slog::info;

/// The time to the first token, as a multiple of the prediction, above which a server has
/// stalled rather than been full.
const STALL_FACTOR: u32 = 3;

/// What a server sent of a response body until it ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyEnd {
    pub(crate) framing: Framing,
    /// The number of bytes received, over all servers.
    pub(crate) bytes: u64,
    /// The number of bytes received after the last complete event of a stream.
    pub(crate) partial_event_bytes: usize,
}

impl Job {
    /// Records the time to the first piece of a response, and its prediction.
    pub(crate) fn record_first_token(&self, shared: &Shared, slot: &Slot) {
        let now = shared.now();
        let choice = &slot.choice;
        shared
            .metrics
            .record_time("first", &self.route.name, now.since(self.arrived));
        self.first.get_or_init(|| FirstOutput {
            waited: slot.acquired_at.since(self.arrived),
            took: now.since(slot.acquired_at),
            predicted: choice.time_to_first_token,
            in_progress: choice.in_progress,
        });
        if slot.node.is_some() {
            return;
        }
        let took = now.since(slot.acquired_at);
        let predicted = choice.time_to_first_token;
        let mut tables = shared.tables();
        let server = &choice.target.server;
        tables.load.record_latency(server, took, predicted, now);
        let Some(model) = &self.call.model else {
            return;
        };
        tables.delays.record(model, took, predicted);
        // What was late before it was placed, or waited at a server that stalled, says
        // nothing about how full replicas are.
        let is_stall = took > predicted * STALL_FACTOR;
        let is_on_time = now <= self.rank.due;
        if choice.is_in_time && (is_on_time || !is_stall) {
            let outcomes = Outcomes {
                on_time: u64::from(is_on_time),
                late: u64::from(!is_on_time),
                refused: 0,
            };
            tables.levels.record(model, outcomes);
        }
    }

    /// Counts a request for a model that was refused for want of room.
    pub(crate) fn record_refusal(&self, shared: &Shared) {
        if let Some(model) = &self.call.model {
            let outcomes = Outcomes {
                refused: 1,
                ..Outcomes::default()
            };
            shared.tables().levels.record(model, outcomes);
        }
    }

    /// Logs the end of a request.
    pub(crate) fn log_end(
        &self,
        shared: &Shared,
        attempts: &Attempts,
        status: u16,
        outcome: &str,
        server: Option<&Instance>,
        body_end: Option<BodyEnd>,
    ) {
        let took = shared.now().since(self.arrived);
        shared.metrics.count("requests", outcome);
        shared
            .metrics
            .record_time("request", &self.route.name, took);
        info!(shared.log, "request ended"; "id" => &*self.call.attempt_id, "outcome" => outcome,
            "status" => status, "route" => &*self.route.name,
            "account" => self.account.as_ref().map(|a| a.as_str().to_owned()),
            "service" => %self.service, "server" => server.map(|s| s.as_str().to_owned()),
            "framing" => body_end.map(|end| end.framing.as_str()), "body_bytes" => body_end.map(|end| end.bytes),
            "partial_event_bytes" => body_end.map(|end| end.partial_event_bytes),
            "waited_ms" => self.first.get().map(|first| first.waited.as_millis() as u64),
            "first_ms" => self.first.get().map(|first| first.took.as_millis() as u64),
            "predicted_ms" => self.first.get().map(|first| first.predicted.as_millis() as u64),
            "in_progress" => self.first.get().map(|first| first.in_progress),
            "prompt_tokens" => self.call.prompt_tokens,
            "sent" => attempts.sent, "runs" => attempts.executions, "took_ms" => took.as_millis() as u64,
            "config_version" => self.config_version, "view_age_ms" => self.view_age.as_millis() as u64,
            "incarnation" => attempts.last_sent.map(|sent| sent.incarnation),
            "servers_position" => attempts.last_sent.and_then(|sent| sent.view.position),
            "servers_age_ms" => attempts.last_sent.and_then(|sent| sent.view.age).map(|age| age.as_millis() as u64),
            "since_choice_ms" => attempts.last_sent.map(|sent| sent.since_choice.as_millis() as u64));
    }
}
