//! What is wrong with a document.

use std::fmt;

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The file.
    pub file: String,
    /// The line, from 1; zero where no line is meant.
    pub line: usize,
    /// The key with its section, as `limits.max_body_bytes`; empty for the file.
    pub key: String,
    /// What is wrong and what was expected.
    pub problem: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.problem)
    }
}

/// All faults of a document, in the order of their lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Errors(pub Vec<Error>);

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, error) in self.0.iter().enumerate() {
            if n > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Errors {}
