//! Exit codes, which scripts rely on.

use std::{fmt, process::ExitCode};

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// It did what was asked: code 0.
    Done,
    /// It failed, or what it checked does not hold: code 1.
    Failed,
    /// The arguments, settings or lists are wrong; nothing was started: code 2.
    Usage,
    /// Another change came first; nothing was changed: code 3.
    Conflict,
    /// No entry node answered, or it refused the token: code 4.
    Unreachable,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Usage => 2,
            Exit::Conflict => 3,
            Exit::Unreachable => 4,
        })
    }
}

/// A failed command: what to print, and the exit code.
#[derive(Debug)]
pub struct Failure {
    exit: Exit,
    message: String,
}

impl Failure {
    /// Returns a failure with `exit` and `message`.
    pub fn new(exit: Exit, message: impl fmt::Display) -> Self {
        Self { exit, message: message.to_string() }
    }

    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        self.exit
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Failure {}

impl From<eyre::Report> for Failure {
    fn from(report: eyre::Report) -> Self {
        Self::new(Exit::Failed, format!("{report:#}"))
    }
}
