//! Structured logs: text on a terminal, JSON lines otherwise, on standard error.

use slog::{Drain, Logger, o};
use std::io::{self, IsTerminal};

/// The events that wait for the output.
const MAX_QUEUED: usize = 128;

/// The same for nodes that write several lines a request; a burst of a few
/// hundred requests fits.
const MAX_QUEUED_LINES: usize = 4_096;

/// The shape of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// Text on a terminal, JSON otherwise.
    Auto,
    /// Text for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Returns a logger that writes events at `level` and above in `format`.
pub(crate) fn logger(level: slog::Level, format: Format) -> Logger {
    let text = match format {
        Format::Auto => io::stderr().is_terminal(),
        Format::Text => true,
        Format::Json => false,
    };
    if text {
        let decorator = slog_term::TermDecorator::new().stderr().build();
        asynchronous(slog_term::FullFormat::new(decorator).build().fuse(), level)
    } else {
        let json = slog_json::Json::default(io::stderr());
        asynchronous(std::sync::Mutex::new(json).fuse(), level)
    }
}

/// Returns a logger that writes JSON lines at `level` and above to standard output.
pub(crate) fn lines(level: slog::Level) -> Logger {
    let json = slog_json::Json::default(io::stdout());
    queued(std::sync::Mutex::new(json).fuse(), level, MAX_QUEUED_LINES)
}

/// Returns a logger that discards everything.
pub(crate) fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Wraps a drain so that the caller never waits for the output.
fn asynchronous<D>(drain: D, level: slog::Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    queued(drain, level, MAX_QUEUED)
}

/// Wraps a drain in a queue of `most` events; what does not fit is dropped, and
/// an event says how many were.
fn queued<D>(drain: D, level: slog::Level, most: usize) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let queue = slog_async::Async::new(drain).chan_size(most).build();
    Logger::root(queue.fuse().filter_level(level).fuse(), o!())
}
