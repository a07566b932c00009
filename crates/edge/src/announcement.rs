//! What servers announce about themselves in their responses.

use crate::{admit::Job, attempt::Answer, state::Shared};
use http::StatusCode;
use name::Instance;
use slog::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// The longest time for which a server's request to get no requests is followed.
///
/// An absurd value must not withdraw a server for good.
const MAX_DECLINE: Duration = Duration::from_secs(30);

impl Shared {
    /// Sends no further requests to an incarnation of a server that announced that it is
    /// leaving, in the answer to the request `id`.
    pub(crate) fn record_leaving(self: &Arc<Self>, server: &Instance, incarnation: u64, id: &str) {
        let is_new = {
            let mut tables = self.tables();
            let is_new = tables.fleet.set_leaving(server, incarnation, self.now());
            if is_new {
                self.update_targets(&mut tables);
                self.share_leaving(&mut tables, server);
            }
            is_new
        };
        if is_new {
            self.metrics.count("announcements", "leaving");
            info!(self.log, "backend server announced that it is leaving"; "server" => %server,
                "incarnation" => incarnation, "id" => id);
        }
    }
}

impl Job {
    /// Acts on what a server announces about itself in a response.
    ///
    /// A misdirected request was answered by another server than the expected one.
    pub(crate) fn follow_announcements(&self, shared: &Arc<Shared>, answer: &Answer) {
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            self.follow_decline(shared, answer);
        }
        self.follow_limit(shared, answer);
        if !answer.head.is_leaving {
            return;
        }
        let target = &answer.slot.choice.target;
        shared.record_leaving(&target.server, target.incarnation, &self.call.attempt_id);
    }

    /// Sends a server no more than this node's share of the rate that it names.
    ///
    /// Only an answer of a server that ran the request lifts a limit by naming none:
    /// rejections need not name it.
    fn follow_limit(&self, shared: &Arc<Shared>, answer: &Answer) {
        let target = &answer.slot.choice.target;
        let per_s = match &answer.head.rate_limit {
            Some(Ok(per_s)) => Some(*per_s),
            Some(Err(value)) => {
                shared
                    .metrics
                    .count("announcements", "limit not understood");
                warn!(shared.log, "backend server named a limit that is no rate"; "server" => %target.server,
                    "value" => %value, "id" => &*self.call.attempt_id);
                return;
            }
            None if answer.head.is_signed => None,
            None => return,
        };
        shared.record_limit(&target.server, target.incarnation, per_s);
    }

    /// Sends no request to a server for as long as it asked for in a response.
    fn follow_decline(&self, shared: &Arc<Shared>, answer: &Answer) {
        let server = &answer.slot.choice.target.server;
        let time = match &answer.head.retry_after {
            None => return,
            Some(Ok(time)) => (*time).min(MAX_DECLINE),
            Some(Err(value)) => {
                warn!(shared.log, "backend server declined requests without a valid time";
                    "server" => %server, "value" => %value, "id" => &*self.call.attempt_id);
                return;
            }
        };
        let now = shared.now();
        shared.tables().load.record_decline(server, now + time, now);
        shared.metrics.count("announcements", "declined");
        info!(shared.log, "backend server declined requests"; "server" => %server,
            "time_ms" => time.as_millis() as u64, "id" => &*self.call.attempt_id);
        // Requests that wait for a slot are not woken by the end of the time.
        let waiting = Arc::clone(shared);
        tokio::spawn(async move {
            sleep(time).await;
            waiting.assign_slots(&mut waiting.tables());
        });
    }
}
