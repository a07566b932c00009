//! Errors in the text of the lists.

use std::fmt;

/// An error, with its location and the expected value.
#[common::value]
pub struct Error {
    /// The line number, from 1, if known.
    pub line: Option<u32>,
    /// The path of the key, such as `account.lab.plan`; empty if the error concerns the whole text.
    pub key: String,
    /// The expected value and, where useful, the actual one.
    pub expected: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "expected {}", self.expected)
    }
}

/// All errors of a text, in the order of their lines.
#[common::value]
pub struct Errors {
    /// The errors; never empty.
    pub faults: Vec<Error>,
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Errors {}
