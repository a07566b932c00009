//! The boundaries and ids of a stream's events.

use bytes::{Bytes, BytesMut};

/// Splits a stream into whole events and knows the id of the last one.
///
/// Only whole events are passed on, so that a stream that breaks off inside an
/// event can be taken up behind the last whole one.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Returns events of a stream whose caller has the event `last` already.
    pub(crate) fn after(last_id: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_id,
        }
    }

    /// Returns the id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes bytes in and returns the events that are whole now.
    ///
    /// Events that were passed on before are left out.
    pub(crate) fn push(&mut self, piece: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(piece);
        let mut whole = BytesMut::new();
        while let Some(end) = boundary(&self.buffer) {
            let event = self.buffer.split_to(end);
            let id = id(&event);
            if id.is_some() && id <= self.last_id {
                continue;
            }
            self.last_id = id.or(self.last_id);
            whole.unsplit(event);
        }
        (!whole.is_empty()).then(|| whole.freeze())
    }

    /// Returns what follows the last whole event at the end of the stream.
    pub(crate) fn take_partial(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Forgets the part of an event that broke off.
    pub(crate) fn discard_partial(&mut self) {
        self.buffer.clear();
    }
}

/// Returns where the first event ends, behind its empty line.
fn boundary(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(end) = bytes[at..].iter().position(|b| *b == b'\n') {
        let next = at + end + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

/// Returns the id of an event.
fn id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines()
        .find_map(|line| line.strip_prefix("id:"))
        .and_then(|id| id.trim().parse().ok())
}

#[cfg(test)]
mod tests;
