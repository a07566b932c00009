//! Bodies of requests.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

/// The body of a request, in pieces.
///
/// A long body is sent in the blocks in which it was received, so that it is never in
/// memory twice. Clones share the bytes.
#[derive(Debug, Clone, Default)]
pub struct Payload {
    pieces: Arc<[Bytes]>,
    /// The number of pieces that were sent.
    sent: usize,
}

impl Payload {
    /// Returns the pieces.
    pub fn pieces(&self) -> &[Bytes] {
        &self.pieces
    }
}

impl From<Vec<Bytes>> for Payload {
    fn from(mut pieces: Vec<Bytes>) -> Self {
        pieces.retain(|piece| !piece.is_empty());
        Self {
            pieces: pieces.into(),
            sent: 0,
        }
    }
}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Self {
        vec![bytes].into()
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.pieces.get(self.sent).cloned();
        self.sent += 1;
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent >= self.pieces.len()
    }

    fn size_hint(&self) -> SizeHint {
        let unsent = self.pieces.iter().skip(self.sent);
        SizeHint::with_exact(unsent.map(|piece| piece.len() as u64).sum())
    }
}
