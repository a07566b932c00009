//! Splitting a stream into events.

use bytes::{Bytes, BytesMut};

/// Splits a stream into complete events and tracks the id of the last one.
///
/// Only complete events are returned, so that a stream that breaks off inside an
/// event can be resumed after the last complete one.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    /// The bytes after the last complete event.
    buffer: BytesMut,
    /// Where the last line of the buffer starts.
    line_start: usize,
    /// Up to where the buffer was searched for the end of a line.
    searched: usize,
    last_id: Option<u64>,
    bytes: u64,
    events: u64,
}

impl EventSplitter {
    /// Returns a splitter for a stream whose caller has the event `last_id` already.
    pub(crate) fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of bytes received, over all servers.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the number of complete events received, over all servers.
    ///
    /// Includes those that were skipped, and leaves out comments and empty lines.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// Returns the number of bytes received after the last complete event.
    pub(crate) fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Appends bytes and returns the events that are complete now.
    ///
    /// Events that were returned before are skipped.
    pub(crate) fn push(&mut self, piece: &[u8]) -> Option<Bytes> {
        self.bytes += piece.len() as u64;
        self.buffer.extend_from_slice(piece);
        let mut whole = BytesMut::new();
        while let Some(end) = self.next_boundary() {
            let event = self.buffer.split_to(end);
            self.events += u64::from(has_field(&event));
            let id = id(&event);
            if id.is_some() && id <= self.last_id {
                continue;
            }
            self.last_id = id.or(self.last_id);
            whole.unsplit(event);
        }
        (!whole.is_empty()).then(|| whole.freeze())
    }

    /// Returns whether an event has begun and is not complete.
    pub(crate) fn is_inside_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards an incomplete event.
    pub(crate) fn discard_partial(&mut self) {
        self.buffer.clear();
        self.line_start = 0;
        self.searched = 0;
    }

    /// Returns the end of the first empty line, which ends an event.
    ///
    /// Lines end with a line feed, a carriage return, or both. If an empty line ends with
    /// the last byte, a carriage return, a line feed that follows it is an empty line of
    /// its own, which has no effect. Each byte is searched once.
    fn next_boundary(&mut self) -> Option<usize> {
        let is_line_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
        while let Some(length) = self.buffer[self.searched..].iter().position(is_line_end) {
            let line_end = self.searched + length;
            let is_empty = line_end == self.line_start;
            let next_line = match self.buffer[line_end..] {
                // A line feed that belongs to the same line end may follow.
                [b'\r'] if !is_empty => {
                    self.searched = line_end;
                    return None;
                }
                [b'\r', b'\n', ..] => line_end + 2,
                _ => line_end + 1,
            };
            if is_empty {
                self.line_start = 0;
                self.searched = 0;
                return Some(next_line);
            }
            self.line_start = next_line;
            self.searched = next_line;
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Returns whether an event has a field, which comments and empty lines do not have.
fn has_field(event: &[u8]) -> bool {
    event
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// Returns the id of an event.
fn id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.split(['\n', '\r'])
        .find_map(|line| line.strip_prefix("id:"))
        .and_then(|id| id.trim().parse().ok())
}

#[cfg(test)]
mod tests;
