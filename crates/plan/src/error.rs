//! Faults of a text that was meant as both lists.

use std::fmt;

/// One fault, with its place and what the place should hold.
#[common::value]
pub struct Error {
    /// The line of the text, from 1, where it is known.
    pub line: Option<u32>,
    /// The path of the key, such as `account.lab.plan`; empty for the whole text.
    pub key: String,
    /// What was expected, and what was found where that helps.
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

/// Every fault of a text, by line.
#[common::value]
pub struct Errors {
    /// The faults; never empty.
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
