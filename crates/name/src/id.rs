//! Identifiers: numbers that this system generates.

use std::fmt;

/// The offset of a record in the log, which is also its revision.
///
/// Offsets start at 1; 0 means "before the first record".
#[common::key]
#[derive(Default)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// The offset before the first record.
    pub const ZERO: Self = Self(0);

    /// Returns the offset after this one.
    ///
    /// The maximum offset is its own successor, so that an invalid offset from
    /// a peer cannot overflow.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The fencing token of an assignment: the offset of its record.
#[common::key]
#[derive(Default)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl From<Offset> for Generation {
    fn from(offset: Offset) -> Self {
        Self(offset.0)
    }
}

/// The random identifier of one run of a process; each restart has a new one.
#[common::key]
#[serde(transparent)]
pub struct Incarnation(pub uuid::Uuid);

impl Incarnation {
    /// Generates an incarnation from the operating system's random source.
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4())
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.simple())
    }
}

/// The identifier of one attempt at a request.
///
/// Every frame of the response must carry it.
#[common::key]
#[serde(transparent)]
pub struct Attempt(pub uuid::Uuid);

impl Attempt {
    /// Generates an identifier from the operating system's random source.
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4())
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.simple())
    }
}

impl std::str::FromStr for Attempt {
    type Err = uuid::Error;

    fn from_str(text: &str) -> Result<Self, uuid::Error> {
        uuid::Uuid::parse_str(text).map(Self)
    }
}

/// The sequence number of a record among those of one writer, from 1.
#[common::key]
#[derive(Default)]
#[serde(transparent)]
pub struct Sequence(pub u64);
