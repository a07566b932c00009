//! Structured logs: text on a terminal, JSON lines otherwise, on standard error.

use slog::{Drain, Logger, o};
use std::io::{self, IsTerminal};

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
    asynchronous(std::sync::Mutex::new(json).fuse(), level)
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
    let queue = slog_async::Async::new(drain).build().fuse();
    Logger::root(queue.filter_level(level).fuse(), o!())
}
