//! The stream of a generated answer.

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

/// The stream of a generated answer.
///
/// Dropping it before its end closes the connection and cancels the attempt.
#[derive(Debug)]
pub struct Answer {
    pool: Pool,
    target: Target,
    attempt: Attempt,
    decoder: Decoder,
    /// Absent once the stream is over and its connection kept or closed.
    exchange: Option<(Incoming, Connection)>,
    next_index: u32,
    state: State,
}

/// How far the stream has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Whole,
    Broken,
}

impl Answer {
    /// Returns the stream whose first frame has the place `next_index`.
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
            decoder: Decoder::new(pool.bounds().frame_bytes),
            exchange: Some((body, connection)),
            next_index,
            state: State::Running,
        }
    }

    /// Returns the attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the next frame, or nothing after the last one of a whole answer.
    ///
    /// Frames come in order without a gap or a repeat. The last one has
    /// [`Frame::finish`]. May be dropped and called again.
    ///
    /// # Errors
    ///
    /// Returns an error, always `may-have-run`, if the stream breaks off, stays
    /// silent too long, or holds a frame of another attempt or generation.
    pub async fn next(&mut self) -> Option<Result<Frame, Error>> {
        if self.state != State::Running {
            if let Some(kept) = self.keep() {
                kept.await;
            }
            return None;
        }
        loop {
            match self.decoded() {
                Ok(Some(frame)) => {
                    match frame.finish {
                        None => {}
                        Some(Finish::Error) => self.state = State::Broken,
                        Some(_) => self.state = State::Whole,
                    }
                    return Some(Ok(frame));
                }
                Ok(None) => {}
                Err(problem) => return Some(Err(self.fail(problem))),
            }
            let (body, _) = self.exchange.as_mut()?;
            let piece = time::timeout(self.pool.bounds().idle, body.frame()).await;
            match piece {
                Err(_) => return Some(Err(self.fail("the stream stays silent"))),
                Ok(None) => return Some(Err(self.fail("the stream ended without its last frame"))),
                Ok(Some(Err(_))) => return Some(Err(self.fail("the stream broke off"))),
                Ok(Some(Ok(piece))) => {
                    if let Some(bytes) = piece.data_ref() {
                        self.decoder.push(bytes);
                    }
                }
            }
        }
    }

    /// Returns the next frame among the pieces already read.
    fn decoded(&mut self) -> Result<Option<Frame>, &'static str> {
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
            // A frame that was already delivered is a repeat.
            if frame.index == self.next_index {
                self.next_index += 1;
                return Ok(Some(frame));
            }
        }
    }

    /// Returns what keeps the connection of a whole answer if nothing follows it.
    fn keep(&mut self) -> Option<impl Future<Output = ()> + Send + use<>> {
        let (mut body, connection) = self.exchange.take()?;
        let (pool, address) = (self.pool.clone(), self.target.address);
        let is_over = matches!(self.decoder.next_event(), Ok(None));
        let is_whole = self.state == State::Whole && is_over;
        Some(async move {
            let end = time::timeout(pool.bounds().connect, body.frame()).await;
            if is_whole && matches!(end, Ok(None)) {
                pool.put(address, connection);
            }
        })
    }

    /// Closes the connection after `problem`.
    fn fail(&mut self, problem: &str) -> Error {
        self.state = State::Broken;
        self.abandon();
        Failure::may_have_run(Kind::Upstream, problem).into()
    }

    /// Closes the connection and cancels the attempt.
    fn abandon(&mut self) {
        if self.exchange.take().is_none() {
            return;
        }
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let (pool, address, attempt) = (self.pool.clone(), self.target.address, self.attempt);
        runtime.spawn(async move {
            // The closed connection tells the engine too; a failure changes nothing.
            let _ = engine::cancel(&pool, address, attempt).await;
        });
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if self.state == State::Running {
            self.abandon();
        } else if let Some(kept) = self.keep()
            && let Ok(runtime) = Handle::try_current()
        {
            runtime.spawn(kept);
        }
    }
}
