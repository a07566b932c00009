//! The bodies of answers, and the events of a stream on their way.

use crate::{
    admit::Job,
    attempt::{Answer, Tally, attempt},
    events::Events,
    state::Shared,
};
use bytes::Bytes;
use http_body::Frame;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::Incoming;
use slog::info;
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    sync::mpsc,
    time::{sleep_until, timeout},
};

/// The events that may wait for a caller that reads slowly.
const BUFFERED: usize = 32;

/// The silence after which a stream is taken up elsewhere, if it may be.
///
/// Pauses of a working replica stay below half a second, and callers give up
/// after two.
const SILENCE: Duration = Duration::from_millis(1_500);

/// The body of an answer to a caller.
pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// Returns a body that is there as a whole.
pub(crate) fn whole(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// A body whose pieces come over a channel.
struct Pieces {
    pieces: mpsc::Receiver<Result<Bytes, io::Error>>,
}

impl http_body::Body for Pieces {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.pieces
            .poll_recv(context)
            .map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The server ended it.
    Whole,
    /// It broke off.
    Broken(&'static str),
    /// The caller left.
    Left,
    /// The time that the caller may be kept waiting is over.
    Late,
}

/// Carries a stream from its servers to the caller.
struct Relay {
    shared: Arc<Shared>,
    job: Job,
    tally: Tally,
    events: Events,
    sink: mpsc::Sender<Result<Bytes, io::Error>>,
}

/// Starts to carry a stream, and returns the body for the caller.
pub(crate) fn relay(shared: &Arc<Shared>, job: Job, tally: Tally, answer: Answer) -> Body {
    let (sink, pieces) = mpsc::channel(BUFFERED);
    let relay = Relay {
        shared: Arc::clone(shared),
        events: Events::after(job.call.last_event),
        job,
        tally,
        sink,
    };
    tokio::spawn(relay.run(answer));
    Pieces { pieces }.boxed()
}

impl Relay {
    /// Carries the stream to its end.
    async fn run(mut self, mut answer: Answer) {
        loop {
            let end = self.carry(&mut answer).await;
            match end {
                End::Whole => {
                    let keep_alive = answer.head.keep_alive;
                    let Answer {
                        connection, place, ..
                    } = answer;
                    self.shared.pool.put(connection, keep_alive);
                    self.log_end(&place.choice.target.server, "whole");
                    return;
                }
                End::Left => {
                    return self.log_end(&answer.place.choice.target.server, "caller left");
                }
                End::Late => {
                    self.log_end(&answer.place.choice.target.server, "deadline");
                    return self.break_off().await;
                }
                End::Broken(reason) => {
                    let server = answer.place.choice.target.server.clone();
                    self.events.drop_rest();
                    drop(answer);
                    info!(self.shared.log, "stream broke off"; "id" => &*self.job.call.attempt_id,
                        "server" => %server, "reason" => reason,
                        "last_event" => self.events.last());
                    self.shared.metrics.count("streams_broken", reason);
                    match self.resume(server).await {
                        Some(next) => answer = next,
                        None => return self.break_off().await,
                    }
                }
            }
        }
    }

    /// Carries the events of one server's answer.
    async fn carry(&mut self, answer: &mut Answer) -> End {
        let mut changes = self.shared.changes.subscribe();
        let mut is_first = true;
        let mut silent_since = tokio::time::Instant::now();
        let deadline = self.job.until;
        loop {
            let silence = silent_since + SILENCE;
            let piece = tokio::select! {
                piece = frame(&mut answer.body) => piece,
                () = self.sink.closed() => return End::Left,
                () = sleep_until(deadline) => return End::Late,
                () = sleep_until(silence), if self.job.is_repeatable() && self.tally.may_repeat(&self.job) => {
                    return End::Broken("silence");
                }
                _ = changes.changed() => {
                    if self.job.is_repeatable() && answer.place.is_doomed() {
                        return End::Broken("replica lost");
                    }
                    continue;
                }
            };
            silent_since = tokio::time::Instant::now();
            let bytes = match piece {
                Ok(Some(bytes)) => bytes,
                Ok(None) => return self.finish().await,
                Err(reason) => return End::Broken(reason),
            };
            answer.place.heard();
            if is_first {
                is_first = false;
                answer.place.read();
                self.job.note_first(&self.shared, &answer.place);
            }
            let bytes = if self.job.is_repeatable() {
                self.events.push(&bytes)
            } else {
                Some(bytes)
            };
            if let Some(bytes) = bytes
                && self.sink.send(Ok(bytes)).await.is_err()
            {
                return End::Left;
            }
        }
    }

    /// Passes on what follows the last whole event of a stream that has ended.
    async fn finish(&mut self) -> End {
        let rest = self.events.rest();
        if !rest.is_empty() && self.sink.send(Ok(rest)).await.is_err() {
            return End::Left;
        }
        End::Whole
    }

    /// Finds a server that goes on behind the last event.
    async fn resume(&mut self, failed: name::Instance) -> Option<Answer> {
        self.tally.exclude(failed);
        if !(self.job.is_repeatable() && self.tally.may_repeat(&self.job)) {
            return None;
        }
        self.job.call.last_event = self.events.last();
        let next = attempt(&self.shared, &self.job, &mut self.tally);
        let found = tokio::select! {
            found = next => found,
            () = self.sink.closed() => return None,
        };
        match found {
            Ok(answer) if answer.status.is_success() => {
                self.shared.metrics.count("streams_resumed", "resumed");
                info!(self.shared.log, "stream taken up"; "id" => &*self.job.call.attempt_id,
                    "server" => %answer.place.choice.target.server,
                    "last_event" => self.events.last());
                Some(answer)
            }
            Ok(answer) => {
                info!(self.shared.log, "stream not taken up"; "id" => &*self.job.call.attempt_id,
                    "status" => answer.status.as_u16());
                None
            }
            Err(error) => {
                info!(self.shared.log, "stream not taken up"; "id" => &*self.job.call.attempt_id,
                    "error" => %error);
                None
            }
        }
    }

    /// Ends the caller's answer so that it does not look complete.
    async fn break_off(self) {
        let error = io::Error::new(io::ErrorKind::ConnectionAborted, "the stream broke off");
        // A caller that has left needs no sign.
        let _ = timeout(SILENCE, self.sink.send(Err(error))).await;
    }

    /// Logs how the stream ended.
    fn log_end(&self, server: &name::Instance, outcome: &'static str) {
        self.job
            .log_end(&self.shared, &self.tally, 200, outcome, Some(server));
    }
}

/// Reads the next piece of a body; `None` at its end.
async fn frame(body: &mut Incoming) -> Result<Option<Bytes>, &'static str> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(_)) => return Err("connection lost"),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}
