//! Faults of a text that was meant as both lists.

use std::fmt;

/// One fault, with its place and what the place should hold.
#[common::value]
pub struct Fault {
    /// The line of the text, from 1, where it is known.
    pub line: Option<u32>,
    /// The path of the key, such as `account.lab.plan`; empty for the whole text.
    pub key: String,
    /// What was expected, and what was found where that helps.
    pub expected: String,
}

impl fmt::Display for Fault {
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
pub struct Faults {
    /// The faults; never empty.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
