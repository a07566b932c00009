//! The streamed response to a generation request.

use crate::{
    Connection, Failure, Pool, Target, engine,
    proto::{Finish, Frame},
    sse::Decoder,
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use name::Attempt;
use tokio::{runtime::Handle, time};
use verdict::{Error, Kind};

/// The streamed response to a generation request.
///
/// Dropping it before its last frame closes the connection and cancels the
/// attempt.
#[derive(Debug)]
pub struct Answer {
    pool: Pool,
    target: Target,
    attempt: Attempt,
    decoder: Decoder,
    /// `None` after the connection was returned to the pool or closed.
    exchange: Option<(Incoming, Connection)>,
    next_index: u32,
    state: State,
}

/// The state of the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Complete,
    Failed,
}

impl Answer {
    /// Returns the stream whose first frame has the index `next_index`.
    pub(crate) fn new(
        pool: &Pool,
        target: Target,
        attempt: Attempt,
        next_index: u32,
        body: Incoming,
        connection: Connection,
    ) -> Self {
        Self {
            pool: pool.clone(),
            target,
            attempt,
            decoder: Decoder::new(pool.limits().max_frame_bytes),
            exchange: Some((body, connection)),
            next_index,
            state: State::Open,
        }
    }

    /// Returns the attempt ID.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the next frame, or `None` after the last frame or an error.
    ///
    /// Frames are returned in order, without gaps or repeats. The last one has
    /// [`Frame::finish`]. This method is cancel safe.
    ///
    /// # Errors
    ///
    /// Returns an error, always `may-have-run`, if the stream ends early, sends
    /// nothing for the idle timeout, skips a frame, or contains a frame that is
    /// malformed, too large, or of another attempt or generation.
    pub async fn next(&mut self) -> Option<Result<Frame, Error>> {
        if self.state != State::Open {
            if let Some(release) = self.release_connection() {
                release.await;
            }
            return None;
        }
        loop {
            match self.decode_frame() {
                Ok(Some(frame)) => {
                    match frame.finish {
                        None => {}
                        Some(Finish::Error) => self.state = State::Failed,
                        Some(_) => self.state = State::Complete,
                    }
                    return Some(Ok(frame));
                }
                Ok(None) => {}
                Err(problem) => return Some(Err(self.fail(problem))),
            }
            let (body, _) = self.exchange.as_mut()?;
            let piece = time::timeout(self.pool.limits().idle_timeout, body.frame()).await;
            match piece {
                Err(_) => return Some(Err(self.fail("the stream stays silent"))),
                Ok(None) => return Some(Err(self.fail("the stream ended without its last frame"))),
                Ok(Some(Err(_))) => return Some(Err(self.fail("the stream broke off"))),
                Ok(Some(Ok(piece))) => {
                    if let Some(bytes) = piece.data_ref() {
                        self.decoder.decode(bytes);
                    }
                }
            }
        }
    }

    /// Decodes the next frame from the bytes already read.
    fn decode_frame(&mut self) -> Result<Option<Frame>, &'static str> {
        loop {
            let event = self.decoder.next_event();
            let Some(event) = event.map_err(|_| "a frame is too large")? else {
                return Ok(None);
            };
            let frame: Frame =
                serde_json::from_slice(&event).map_err(|_| "a frame is malformed")?;
            if frame.attempt != self.attempt {
                return Err("a frame belongs to another attempt");
            }
            if frame.generation != self.target.generation {
                return Err("a frame belongs to another generation of the replica");
            }
            if frame.index > self.next_index {
                return Err("a frame is missing");
            }
            // A frame with a lower index was already delivered: it is a repeat.
            if frame.index == self.next_index {
                self.next_index += 1;
                return Ok(Some(frame));
            }
        }
    }

    /// Returns a future that puts the connection back into the pool.
    ///
    /// It does so only if the answer is complete and the body ends after it;
    /// otherwise the connection is closed.
    fn release_connection(&mut self) -> Option<impl Future<Output = ()> + Send + use<>> {
        let (mut body, connection) = self.exchange.take()?;
        let (pool, address) = (self.pool.clone(), self.target.address);
        let has_no_more_events = matches!(self.decoder.next_event(), Ok(None));
        let is_complete = self.state == State::Complete && has_no_more_events;
        Some(async move {
            let body_end = time::timeout(pool.limits().connect_timeout, body.frame()).await;
            if is_complete && matches!(body_end, Ok(None)) {
                pool.put(address, connection);
            }
        })
    }

    /// Closes the connection, cancels the attempt and returns `problem` as an error.
    fn fail(&mut self, problem: &str) -> Error {
        self.state = State::Failed;
        self.cancel();
        Failure::may_have_run(Kind::Upstream, problem).into()
    }

    /// Closes the connection and cancels the attempt.
    fn cancel(&mut self) {
        if self.exchange.take().is_none() {
            return;
        }
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let (pool, address, attempt) = (self.pool.clone(), self.target.address, self.attempt);
        runtime.spawn(async move {
            // The engine also detects the closed connection, so a failure to cancel
            // needs no handling.
            let _ = engine::cancel(&pool, address, attempt).await;
        });
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if self.state == State::Open {
            self.cancel();
        } else if let Some(release) = self.release_connection()
            && let Ok(runtime) = Handle::try_current()
        {
            runtime.spawn(release);
        }
    }
}
