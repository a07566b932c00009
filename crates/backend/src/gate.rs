//! A stream that knows whether a byte of a request has left.
//!
//! The HTTP library writes on a task of its own, some time after a request was
//! handed to it. The check whether a request may still be sent therefore sits
//! here, in the write itself. Shutting the gate excludes every later write, so
//! that a count read afterwards is final.

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

/// What the two sides of a gate share. No other lock is taken while it is held.
#[derive(Default)]
struct State {
    check: Option<Check>,
    forbidden: bool,
    shut: bool,
    written: u64,
}

/// The side of a gate that asks and shuts.
#[derive(Clone, Default)]
pub(crate) struct Watch(Arc<Mutex<State>>);

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let written = self.lock().written;
        f.debug_struct("Watch").field("written", &written).finish()
    }
}

/// How far a request came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sent {
    /// The check forbade it, and no byte left.
    Forbidden,
    /// No byte left.
    Nothing,
    /// At least one byte left.
    Something,
}

impl Watch {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the check for the next write and starts the count anew.
    pub(crate) fn arm(&self, check: Check) {
        let mut state = self.lock();
        state.check = Some(check);
        state.written = 0;
    }

    /// Excludes every later write and returns how far the request came.
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

/// A TCP stream behind a check.
#[derive(Debug)]
pub(crate) struct Gate {
    stream: TcpStream,
    watch: Watch,
}

impl Gate {
    /// Returns the gate before `stream` and its other side.
    pub(crate) fn new(stream: TcpStream) -> (Self, Watch) {
        let watch = Watch::default();
        let gate = Self {
            stream,
            watch: watch.clone(),
        };
        (gate, watch)
    }
}

/// Returns whether the other side has neither closed nor said anything.
///
/// Asks the operating system, since a close that the runtime has not delivered
/// yet would cost a `may-have-run`.
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
