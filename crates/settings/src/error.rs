//! Errors in a settings document.

use std::fmt;

/// An error in a settings document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The name of the file.
    pub file: String,
    /// The line number, from 1; zero if the error has no line.
    pub line: usize,
    /// The key with its section, such as `limits.max_body_bytes`.
    ///
    /// Empty if the error concerns the whole file.
    pub key: String,
    /// The problem and the expected value.
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

/// All errors in a document, in the order of their lines.
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
