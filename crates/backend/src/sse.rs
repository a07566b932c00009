//! Server-sent events, as engines stream them.

use std::{collections::VecDeque, fmt};

/// An event above the bound on its size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Oversized;

impl fmt::Display for Oversized {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an event is too large")
    }
}

impl std::error::Error for Oversized {}

/// Turns pieces of a stream into the data of its events.
///
/// Any bytes are accepted. Fields other than `data` are ignored. An event that
/// the stream's end cuts short is never returned.
#[derive(Debug)]
pub struct Decoder {
    max_bytes: usize,
    line: Vec<u8>,
    data: Option<Vec<u8>>,
    after_return: bool,
    oversized: bool,
    events: VecDeque<Vec<u8>>,
}

impl Decoder {
    /// Returns a decoder for events of at most `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            line: Vec::new(),
            data: None,
            after_return: false,
            oversized: false,
            events: VecDeque::new(),
        }
    }

    /// Takes the next piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        for &byte in piece {
            let after_return = std::mem::replace(&mut self.after_return, byte == b'\r');
            match byte {
                b'\n' if after_return => {}
                b'\n' | b'\r' => self.end_line(),
                _ => self.line.push(byte),
            }
            let held = self.line.len() + self.data.as_ref().map_or(0, Vec::len);
            self.oversized |= held > self.max_bytes;
            if self.oversized {
                return;
            }
        }
    }

    /// Returns the data of the next event that is whole.
    ///
    /// # Errors
    ///
    /// Returns an error for good once an event was too large.
    pub fn next_event(&mut self) -> Result<Option<Vec<u8>>, Oversized> {
        match self.events.pop_front() {
            Some(event) => Ok(Some(event)),
            None if self.oversized => Err(Oversized),
            None => Ok(None),
        }
    }

    /// Takes the line that has ended.
    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if line.is_empty() {
            self.events.extend(self.data.take());
        } else if let Some(rest) = line.strip_prefix(b"data") {
            let Some(value) = rest.strip_prefix(b":").or(rest.is_empty().then_some(rest)) else {
                return;
            };
            let value = value.strip_prefix(b" ").unwrap_or(value);
            match &mut self.data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => self.data = Some(value.to_vec()),
            }
        }
    }
}
