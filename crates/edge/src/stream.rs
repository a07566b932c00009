//! Bodies of responses, and the relay of a stream's events to the caller.

use crate::{
    admit::Job,
    attempt::{Answer, Attempts, attempt},
    events::EventSplitter,
    evidence::{Progress, format_digest},
    outcome::BodyEnd,
    state::Shared,
};
use budget::Reservation;
use bytes::Bytes;
use http_body::Frame;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::Incoming;
use net::Framing;
use slog::info;
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{sync::mpsc, time::sleep_until};

/// The maximum length of an incomplete event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The maximum number of parts that are buffered for a slow caller.
const MAX_BUFFERED_PARTS: usize = 32;

/// The time without output after which a repeatable stream is resumed at another
/// server.
///
/// Pauses of a working replica stay below half a second, and callers give up after
/// two seconds.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time without output after which a server may be out of this node's reach.
///
/// Pauses of a working replica are shorter.
const PAUSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum number of events of a response that counts as just begun.
const MAX_BEGINNING_EVENTS: u64 = 1;

/// The number of events from which a response counts as past its beginning.
const PAST_BEGINNING_EVENTS: u64 = 3;

/// The time since the first output from which a response counts as past its beginning.
const PAST_BEGINNING_TIME: Duration = Duration::from_millis(250);

/// The body of a response to a caller.
pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// Returns a body with the given bytes.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// A part of a response body.
#[derive(Debug)]
enum Part {
    /// Bytes of the body, with their memory until the caller's connection takes them.
    Data { bytes: Bytes, _memory: Reservation },
    /// The end of a complete body.
    End,
}

/// A body whose parts are received from a channel.
///
/// The body fails if its sender is dropped before [`Part::End`], so that a response
/// looks complete only if its sender completed it.
struct ChannelBody {
    parts: mpsc::Receiver<Part>,
    is_complete: bool,
}

impl ChannelBody {
    /// Returns a body that receives its parts from `parts`.
    fn new(parts: mpsc::Receiver<Part>) -> Self {
        Self {
            parts,
            is_complete: false,
        }
    }
}

impl http_body::Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.is_complete {
            return Poll::Ready(None);
        }
        self.parts.poll_recv(context).map(|part| match part {
            Some(Part::Data { bytes, .. }) => Some(Ok(Frame::data(bytes))),
            Some(Part::End) => {
                self.is_complete = true;
                None
            }
            None => Some(Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "the stream broke off",
            ))),
        })
    }
}

/// Why a server's response is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The connection to the server was lost.
    ConnectionLost,
    /// The response ended inside an event.
    InsideEvent,
    /// The response ended without an event.
    WithoutEvent,
    /// An event was too long, or there was no memory for it.
    EventTooLong,
    /// The server sent nothing for a long time.
    Silence,
    /// A member of the replica was lost.
    ReplicaLost,
}

impl Fault {
    /// Returns the fault's name in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionLost => "connection lost",
            Self::InsideEvent => "ended inside an event",
            Self::WithoutEvent => "ended without an event",
            Self::EventTooLong => "event too long",
            Self::Silence => "silence",
            Self::ReplicaLost => "replica lost",
        }
    }

    /// Returns whether nothing more can come from the server.
    fn is_final(self) -> bool {
        !matches!(self, Self::Silence | Self::ReplicaLost)
    }

    /// Returns whether the server itself may have ended.
    ///
    /// A frozen or unreachable server sends nothing, and its connections stay open.
    fn is_server_end(self) -> bool {
        matches!(
            self,
            Self::ConnectionLost | Self::InsideEvent | Self::WithoutEvent
        )
    }
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The server completed the response.
    Complete,
    /// The stream was interrupted.
    Broken(Fault),
    /// The caller disconnected.
    CallerDisconnected,
    /// The request's deadline passed.
    DeadlineExceeded,
}

/// Relays a stream from one or more servers to the caller.
struct Relay {
    shared: Arc<Shared>,
    job: Job,
    attempts: Attempts,
    events: EventSplitter,
    sink: mpsc::Sender<Part>,
    /// The memory of the incomplete event.
    reservation: Reservation,
    /// The number of complete events before the response of the current server.
    events_before: u64,
}

/// Starts to relay a stream, and returns the body for the caller.
pub(crate) fn relay(shared: &Arc<Shared>, job: Job, attempts: Attempts, answer: Answer) -> Body {
    let (sink, parts) = mpsc::channel(MAX_BUFFERED_PARTS);
    let relay = Relay {
        shared: Arc::clone(shared),
        events: EventSplitter::after(job.call.last_event),
        job,
        attempts,
        sink,
        reservation: shared.budget.memory().reserve(),
        events_before: 0,
    };
    tokio::spawn(relay.run(answer));
    ChannelBody::new(parts).boxed()
}

impl Relay {
    /// Relays the stream to its end.
    ///
    /// Dropping `sink` without [`Part::End`] cuts off the caller's response.
    async fn run(mut self, mut answer: Answer) {
        // Whether the stream goes on at its server, since no other could resume it.
        let mut is_kept = false;
        loop {
            let end = self.forward(&mut answer, is_kept).await;
            let body_end = self.body_end(&answer);
            match end {
                End::Complete => {
                    // A response without an explicit end may have been cut off between events.
                    if answer.framing != Framing::Close {
                        self.shared.record_completion(&self.job);
                    }
                    let keep_alive = answer.head.keep_alive;
                    let Answer {
                        connection, slot, ..
                    } = answer;
                    self.shared.pool.put(connection, keep_alive);
                    let server = slot.choice.target.server.clone();
                    drop(slot);
                    let outcome = match self.sink.send(Part::End).await {
                        Ok(()) => "whole",
                        Err(_) => "caller left",
                    };
                    return self.log_end(&server, outcome, body_end);
                }
                End::CallerDisconnected => {
                    let server = &answer.slot.choice.target.server;
                    return self.log_end(server, "caller left", body_end);
                }
                End::DeadlineExceeded => {
                    let server = &answer.slot.choice.target.server;
                    return self.log_end(server, "deadline", body_end);
                }
                End::Broken(fault) => {
                    if fault.is_server_end() {
                        let progress = if self.attempt_events() <= MAX_BEGINNING_EVENTS {
                            Progress::Begun
                        } else {
                            Progress::PastBeginning
                        };
                        let (job, slot) = (&self.job, &answer.slot);
                        self.shared.record_loss(job, slot, progress).await;
                    }
                    let server = answer.slot.choice.target.server.clone();
                    // A server that may go on is kept until another one has answered.
                    let kept = (!fault.is_final()).then_some(answer);
                    info!(self.shared.log, "stream interrupted"; "id" => &*self.job.call.attempt_id,
                        "server" => %server, "reason" => fault.as_str(),
                        "last_event" => self.events.last_id(), "framing" => body_end.framing.as_str(),
                        "events" => self.attempt_events(), "parts" => self.job.call.shared_parts.join(","),
                        "request" => format_digest(self.job.whole().digest()),
                        "body_bytes" => body_end.bytes, "partial_event_bytes" => body_end.partial_event_bytes);
                    self.shared.metrics.count("streams_broken", fault.as_str());
                    let next = self.resume(server.clone()).await;
                    is_kept = next.is_none();
                    answer = match (next, kept) {
                        (Some(next), _) => {
                            self.events.discard_partial();
                            self.reservation.resize(0);
                            next
                        }
                        (None, Some(kept)) => {
                            self.shared.metrics.count("streams_resumed", "kept");
                            kept
                        }
                        (None, None) => return self.log_end(&server, "interrupted", body_end),
                    };
                }
            }
        }
    }

    /// Forwards the events of one server's response.
    ///
    /// `is_kept` is whether its server goes on with it after it was to be resumed.
    async fn forward(&mut self, answer: &mut Answer, is_kept: bool) -> End {
        let mut changes = self.shared.fleet_changes.subscribe();
        let mut checks = self.shared.checks.subscribe();
        let is_server = answer.slot.node.is_none();
        let mut last_piece_at = tokio::time::Instant::now();
        let mut first_piece_at = is_kept.then_some(last_piece_at);
        let mut is_past_beginning = false;
        if !is_kept {
            self.events_before = self.events.events();
        }
        let deadline = self.job.deadline_instant;
        // A stream that cannot be resumed goes on for as long as its server does.
        let is_resumable = self.job.is_repeatable() && self.attempts.has_executions_left(&self.job);
        loop {
            let silence_deadline = last_piece_at + SILENCE_TIMEOUT;
            let pause_deadline = last_piece_at + PAUSE_TIMEOUT;
            let is_paused = tokio::time::Instant::now() >= pause_deadline;
            let piece = tokio::select! {
                piece = next_piece(&mut answer.body) => piece,
                () = self.sink.closed() => return End::CallerDisconnected,
                () = sleep_until(deadline) => return End::DeadlineExceeded,
                () = sleep_until(silence_deadline), if is_resumable => {
                    answer.slot.record_silence();
                    return End::Broken(Fault::Silence);
                }
                () = sleep_until(pause_deadline), if is_resumable && is_server && !is_paused => {
                    self.shared.record_unreachable(&answer.slot.choice.target.server);
                    continue;
                }
                _ = checks.changed(), if is_resumable && is_server => {
                    if is_paused && self.shared.is_isolated() {
                        return End::Broken(Fault::Silence);
                    }
                    continue;
                }
                _ = changes.changed(), if is_resumable && !is_kept => {
                    if answer.slot.is_replica_lost() {
                        return End::Broken(Fault::ReplicaLost);
                    }
                    continue;
                }
            };
            last_piece_at = tokio::time::Instant::now();
            let bytes = match piece {
                Ok(Some(bytes)) => bytes,
                Ok(None) => {
                    return end_of_stream(
                        answer.framing,
                        self.attempt_events(),
                        self.events.is_inside_event(),
                    );
                }
                Err(fault) => return End::Broken(fault),
            };
            answer.slot.record_progress();
            if first_piece_at.is_none() {
                first_piece_at = Some(last_piece_at);
                answer.slot.record_first_token();
                self.job.record_first_token(&self.shared, &answer.slot);
            }
            let complete_events = self.events.push(&bytes);
            let since_first = first_piece_at.map(|at| last_piece_at - at);
            if !is_past_beginning
                && self.attempt_events() >= PAST_BEGINNING_EVENTS
                && since_first >= Some(PAST_BEGINNING_TIME)
            {
                is_past_beginning = true;
                self.shared.record_progress(&self.job);
            }
            let bytes = if self.job.is_repeatable() {
                complete_events
            } else {
                Some(bytes)
            };
            if let Some(bytes) = bytes {
                // Without memory for a slow caller, the server's response is not read on.
                let mut reservation = self.shared.budget.memory().reserve();
                if !reservation.grow(bytes.len(), deadline).await {
                    return End::DeadlineExceeded;
                }
                let part = Part::Data {
                    bytes,
                    _memory: reservation,
                };
                if self.sink.send(part).await.is_err() {
                    return End::CallerDisconnected;
                }
            }
            // Complete events count as delivered, so they are forwarded before.
            let partial = self.events.partial_bytes();
            if partial > MAX_EVENT_BYTES || !self.reservation.resize(partial) {
                return End::Broken(Fault::EventTooLong);
            }
        }
    }

    /// Finds a server that resumes the stream after the last event.
    async fn resume(&mut self, failed: name::Instance) -> Option<Answer> {
        self.attempts.exclude(failed);
        if !(self.job.is_repeatable() && self.attempts.has_executions_left(&self.job)) {
            return None;
        }
        self.job.call.last_event = self.events.last_id();
        let next = attempt(&self.shared, &self.job, &mut self.attempts);
        let found = tokio::select! {
            found = next => found,
            () = self.sink.closed() => return None,
        };
        match found {
            Ok(answer) if answer.status.is_success() => {
                self.shared.metrics.count("streams_resumed", "resumed");
                info!(self.shared.log, "stream resumed"; "id" => &*self.job.call.attempt_id,
                    "server" => %answer.slot.choice.target.server,
                    "last_event" => self.events.last_id());
                Some(answer)
            }
            Ok(answer) => {
                info!(self.shared.log, "resuming stream failed"; "id" => &*self.job.call.attempt_id,
                    "status" => answer.status.as_u16());
                None
            }
            Err(error) => {
                info!(self.shared.log, "resuming stream failed"; "id" => &*self.job.call.attempt_id,
                    "error" => %error);
                None
            }
        }
    }

    /// Returns the number of complete events that the current server sent.
    fn attempt_events(&self) -> u64 {
        self.events.events() - self.events_before
    }

    /// Returns what was received of the body.
    fn body_end(&self, answer: &Answer) -> BodyEnd {
        BodyEnd {
            framing: answer.framing,
            bytes: self.events.bytes(),
            partial_event_bytes: self.events.partial_bytes(),
        }
    }

    /// Logs the end of the request.
    fn log_end(&self, server: &name::Instance, outcome: &'static str, body_end: BodyEnd) {
        let place = if body_end.partial_event_bytes == 0 {
            "between events"
        } else {
            "inside event"
        };
        let label = format!("{}, {place}", body_end.framing.as_str());
        self.shared.metrics.count("stream_ends", &label);
        let server = Some(server);
        self.job.log_end(
            &self.shared,
            &self.attempts,
            200,
            outcome,
            server,
            Some(body_end),
        );
    }
}

/// Returns how a stream ended whose body ended after `events` events.
///
/// The end of the body is not always the end of the stream: without a length and
/// chunks, a body also ends when the server breaks off.
fn end_of_stream(framing: Framing, events: u64, is_inside_event: bool) -> End {
    if is_inside_event {
        End::Broken(Fault::InsideEvent)
    } else if framing == Framing::Close && events == 0 {
        End::Broken(Fault::WithoutEvent)
    } else {
        End::Complete
    }
}

/// Reads the next piece of a body; `None` at its end.
async fn next_piece(body: &mut Incoming) -> Result<Option<Bytes>, Fault> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(_)) => return Err(Fault::ConnectionLost),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
