//! A decoder of the server-sent events that engines stream.

use std::{collections::VecDeque, fmt};

/// The error for an event above the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Oversized;

impl fmt::Display for Oversized {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an event is too large")
    }
}

impl std::error::Error for Oversized {}

/// An incremental decoder that returns the data of each event.
///
/// Accepts arbitrary bytes. Fields other than `data` are ignored. An event that is
/// incomplete at the stream's end is never returned.
#[derive(Debug)]
pub struct Decoder {
    max_bytes: usize,
    line: Vec<u8>,
    data: Option<Vec<u8>>,
    after_carriage_return: bool,
    is_oversized: bool,
    events: VecDeque<Vec<u8>>,
}

impl Decoder {
    /// Returns a decoder for events of at most `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            line: Vec::new(),
            data: None,
            after_carriage_return: false,
            is_oversized: false,
            events: VecDeque::new(),
        }
    }

    /// Decodes the next bytes of the stream.
    pub fn decode(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            let after_carriage_return =
                std::mem::replace(&mut self.after_carriage_return, byte == b'\r');
            match byte {
                b'\n' if after_carriage_return => {}
                b'\n' | b'\r' => self.end_line(),
                _ => self.line.push(byte),
            }
            let event_bytes = self.line.len() + self.data.as_ref().map_or(0, Vec::len);
            self.is_oversized |= event_bytes > self.max_bytes;
            if self.is_oversized {
                return;
            }
        }
    }

    /// Returns the data of the next complete event.
    ///
    /// # Errors
    ///
    /// Returns an error, on this and every later call, after an event was too large
    /// and the complete events before it were returned.
    pub fn next_event(&mut self) -> Result<Option<Vec<u8>>, Oversized> {
        match self.events.pop_front() {
            Some(event) => Ok(Some(event)),
            None if self.is_oversized => Err(Oversized),
            None => Ok(None),
        }
    }

    /// Processes the line that has just ended.
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
