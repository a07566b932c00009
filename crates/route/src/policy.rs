//! The policies for choosing a replica.

use std::{fmt, str::FromStr};

/// The policy for choosing a replica.
#[common::key]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// By cached prefix and distance, within a load bound.
    #[default]
    Affinity,
    /// Uniformly at random.
    Random,
    /// Each candidate in turn.
    RoundRobin,
    /// By lowest estimated load.
    LeastLoad,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 4] = [
        Self::Affinity,
        Self::Random,
        Self::RoundRobin,
        Self::LeastLoad,
    ];

    /// Returns the name used in settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Affinity => "affinity",
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastLoad => "least-load",
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// The error for a text that is not the name of a policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsePolicyError;

impl fmt::Display for ParsePolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected affinity, random, round-robin or least-load")
    }
}

impl std::error::Error for ParsePolicyError {}

impl FromStr for Policy {
    type Err = ParsePolicyError;

    fn from_str(text: &str) -> Result<Self, ParsePolicyError> {
        Self::ALL
            .into_iter()
            .find(|policy| policy.as_str() == text)
            .ok_or(ParsePolicyError)
    }
}
