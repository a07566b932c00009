//! Bodies that are read and sent within the memory of the budget.

use crate::{
    connection::{Connection, Phase},
    memory::{BLOCK_BYTES, Memory, Reservation, SHORT_BODY_BYTES},
};
use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tokio::time::timeout;

/// The least length of a block of a body without a known length, in bytes.
///
/// A client may send chunks of one byte, each of which would otherwise get a block.
const MIN_BLOCK_BYTES: usize = 4 << 10;

/// The maximum length of a piece that is passed to a client's connection, in bytes.
const PIECE_BYTES: usize = 64 << 10;

/// Why a body is not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It is longer than allowed.
    TooLong,
    /// There is no memory for it.
    NoMemory,
    /// It does not arrive in time, or it stalled while others found no room.
    TooSlow,
    /// The client broke it off.
    Broken,
}

/// A whole body in the blocks in which it was read, with its memory.
#[derive(Debug)]
pub struct Upload {
    /// The blocks, none of them empty.
    pub blocks: Vec<Bytes>,
    /// The memory of the blocks.
    pub reservation: Reservation,
}

impl Upload {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.blocks.iter().map(Bytes::len).sum()
    }

    /// Returns whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}

/// A whole body in one piece, with its memory.
#[derive(Debug)]
pub struct Whole {
    /// The bytes.
    pub bytes: Bytes,
    /// The memory of the bytes.
    pub reservation: Reservation,
}

impl From<Upload> for Whole {
    /// Copies the blocks, for which the reservation must also have room.
    fn from(upload: Upload) -> Self {
        let bytes = if let [only] = &upload.blocks[..] {
            only.clone()
        } else {
            upload.blocks.concat().into()
        };
        Self {
            bytes,
            reservation: upload.reservation,
        }
    }
}

/// Reads the whole body of the request in progress on a connection.
///
/// # Errors
///
/// Returns the reason if the body is longer than `max_bytes`, does not arrive within
/// `time`, or finds no memory.
pub async fn collect<B>(
    memory: &Memory,
    connection: Option<&Connection>,
    body: B,
    max_bytes: usize,
    time: Duration,
) -> Result<Upload, Refusal>
where
    B: Body<Data = Bytes> + Unpin,
{
    let enter = |phase| connection.is_none_or(|connection| connection.enter(phase));
    let closed = async {
        match connection {
            Some(connection) => {
                connection.closed().await;
            }
            None => std::future::pending().await,
        }
    };
    if body.is_end_stream() {
        return Ok(Blocks::new(memory).into_upload());
    }
    enter(Phase::Body);
    let collected = tokio::select! {
        collected = timeout(time, read(memory, &enter, body, max_bytes)) => collected,
        () = closed => Ok(Err(Refusal::TooSlow)),
    };
    if !enter(Phase::Busy) {
        return Err(Refusal::TooSlow);
    }
    collected.unwrap_or(Err(Refusal::TooSlow))
}

/// Reads a body without a time limit.
async fn read<B>(
    memory: &Memory,
    enter: &impl Fn(Phase) -> bool,
    mut body: B,
    max_bytes: usize,
) -> Result<Upload, Refusal>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint().exact();
    let announced = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if announced.is_some_and(|length| length > max_bytes) {
        return Err(Refusal::TooLong);
    }
    if memory.refuses_body(announced.unwrap_or(SHORT_BODY_BYTES)) {
        return Err(Refusal::NoMemory);
    }
    let mut blocks = Blocks::new(memory);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if blocks.length + data.len() > max_bytes {
            return Err(Refusal::TooLong);
        }
        if !blocks.push(&data, announced.unwrap_or(0), enter).await {
            return Err(Refusal::NoMemory);
        }
    }
    Ok(blocks.into_upload())
}

/// A body that is being read, with its memory.
#[derive(Debug)]
struct Blocks {
    blocks: Vec<BytesMut>,
    length: usize,
    reservation: Reservation,
}

impl Blocks {
    /// Returns an empty body.
    fn new(memory: &Memory) -> Self {
        Self {
            blocks: Vec::new(),
            length: 0,
            reservation: memory.reserve(),
        }
    }

    /// Appends bytes of a body of about `expected` bytes; returns false if there is no
    /// memory for them.
    async fn push(
        &mut self,
        mut data: &[u8],
        expected: usize,
        enter: &impl Fn(Phase) -> bool,
    ) -> bool {
        while !data.is_empty() {
            let is_full = |block: &BytesMut| block.len() == block.capacity();
            if self.blocks.last().is_none_or(is_full) {
                let left = expected.saturating_sub(self.length);
                let capacity = if left >= data.len() {
                    left.min(BLOCK_BYTES)
                } else {
                    data.len().clamp(MIN_BLOCK_BYTES, BLOCK_BYTES)
                };
                let reserved = self.reservation.bytes() + capacity;
                if !self.reservation.resize_body(reserved) {
                    // The client is not to blame for what is not read now.
                    enter(Phase::Waiting);
                    let is_reserved = self.reservation.grow_body(reserved).await;
                    enter(Phase::Body);
                    if !is_reserved {
                        return false;
                    }
                }
                self.blocks.push(BytesMut::with_capacity(capacity));
            }
            let Some(block) = self.blocks.last_mut() else {
                return false;
            };
            let count = data.len().min(block.capacity() - block.len());
            block.extend_from_slice(&data[..count]);
            self.length += count;
            data = &data[count..];
        }
        true
    }

    /// Returns the whole body with its memory.
    fn into_upload(self) -> Upload {
        Upload {
            blocks: self.blocks.into_iter().map(BytesMut::freeze).collect(),
            reservation: self.reservation,
        }
    }
}

/// The body of a response, whose memory is given back as the client reads it.
impl Body for Whole {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.bytes.len().min(PIECE_BYTES);
        let piece = self.bytes.split_to(length);
        let left = self.bytes.len();
        self.reservation.resize(left);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

#[cfg(test)]
mod tests;
