//! A TCP stream that records whether any byte of a request was written.
//!
//! The HTTP library writes on a task of its own, some time after it was given the
//! request. The check whether a request may still be sent is therefore made in
//! `poll_write`. Blocking the stream prevents every later write, so a count of
//! written bytes read afterwards is final.

use socket2::SockRef;
use std::{
    fmt, io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A check made directly before the first byte of a request is written.
pub(crate) type Check = Box<dyn FnOnce() -> bool + Send>;

/// The state shared by the stream and its handle.
///
/// No other lock is taken while this one is held.
#[derive(Default)]
struct State {
    check: Option<Check>,
    forbidden: bool,
    shut: bool,
    written: u64,
}

/// A handle that sets the check of a stream and blocks its writes.
#[derive(Clone, Default)]
pub(crate) struct Watch(Arc<Mutex<State>>);

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let written = self.lock().written;
        f.debug_struct("Watch").field("written", &written).finish()
    }
}

/// How much of a request was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sent {
    /// The check rejected the request, and no byte was written.
    Forbidden,
    /// No byte was written.
    Nothing,
    /// At least one byte was written.
    Something,
}

impl Watch {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the check for the next write and resets the count of written bytes.
    pub(crate) fn arm(&self, check: Check) {
        let mut state = self.lock();
        state.check = Some(check);
        state.written = 0;
    }

    /// Prevents every later write and returns how much of the request was written.
    pub(crate) fn shut(&self) -> Sent {
        let mut state = self.lock();
        state.shut = true;
        match (state.written, state.forbidden) {
            (0, true) => Sent::Forbidden,
            (0, false) => Sent::Nothing,
            _ => Sent::Something,
        }
    }
}

/// A TCP stream that runs a check before the first byte of a request.
#[derive(Debug)]
pub(crate) struct Gate {
    stream: TcpStream,
    watch: Watch,
}

impl Gate {
    /// Wraps `stream`; returns the wrapper and its handle.
    pub(crate) fn new(stream: TcpStream) -> (Self, Watch) {
        let watch = Watch::default();
        let gate = Self {
            stream,
            watch: watch.clone(),
        };
        (gate, watch)
    }
}

/// Returns whether the server has neither closed the connection nor sent data.
///
/// Peeks at the socket: the runtime may not have reported a close yet, and a
/// request written after it would have to fail as `may-have-run`.
fn is_silent(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = SockRef::from(stream).peek(&mut byte);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let gate = self.get_mut();
        let mut state = gate.watch.lock();
        if let Some(check) = state.check.take() {
            state.forbidden = !check();
            state.shut |= state.forbidden || !is_silent(&gate.stream);
        }
        if state.shut {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let wrote = Pin::new(&mut gate.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = &wrote {
            state.written += *count as u64;
        }
        wrote
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
