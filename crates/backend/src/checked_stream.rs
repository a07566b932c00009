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
    is_rejected: bool,
    is_blocked: bool,
    bytes_written: u64,
}

/// A handle that sets the check of a stream and blocks its writes.
#[derive(Clone, Default)]
pub(crate) struct StreamHandle(Arc<Mutex<State>>);

impl fmt::Debug for StreamHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes_written = self.lock().bytes_written;
        f.debug_struct("StreamHandle")
            .field("bytes_written", &bytes_written)
            .finish()
    }
}

/// How much of a request was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The check rejected the request, and no byte was written.
    Rejected,
    /// No byte was written.
    NotStarted,
    /// At least one byte was written.
    Started,
}

impl StreamHandle {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the check for the next write and resets the count of written bytes.
    pub(crate) fn set_check(&self, check: Check) {
        let mut state = self.lock();
        state.check = Some(check);
        state.bytes_written = 0;
    }

    /// Prevents every later write and returns how much of the request was written.
    pub(crate) fn block_writes(&self) -> Progress {
        let mut state = self.lock();
        state.is_blocked = true;
        match (state.bytes_written, state.is_rejected) {
            (0, true) => Progress::Rejected,
            (0, false) => Progress::NotStarted,
            _ => Progress::Started,
        }
    }
}

/// A TCP stream that runs a check before the first byte of a request.
#[derive(Debug)]
pub(crate) struct CheckedStream {
    stream: TcpStream,
    handle: StreamHandle,
}

impl CheckedStream {
    /// Wraps `stream`; returns the wrapper and its handle.
    pub(crate) fn new(stream: TcpStream) -> (Self, StreamHandle) {
        let handle = StreamHandle::default();
        let checked = Self {
            stream,
            handle: handle.clone(),
        };
        (checked, handle)
    }
}

/// Returns whether the server has neither closed the connection nor sent data.
///
/// Peeks at the socket: the runtime may not have reported a close yet, and a
/// request written after it would have to fail as `may-have-run`.
fn is_open_and_idle(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = SockRef::from(stream).peek(&mut byte);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let checked = self.get_mut();
        let mut state = checked.handle.lock();
        if let Some(check) = state.check.take() {
            state.is_rejected = !check();
            state.is_blocked |= state.is_rejected || !is_open_and_idle(&checked.stream);
        }
        if state.is_blocked {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let wrote = Pin::new(&mut checked.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = &wrote {
            state.bytes_written += *count as u64;
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
