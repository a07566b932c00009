//! Identifiers: numbers that this system makes.

use std::fmt;

/// The position of a record in the log, which is also its revision.
///
/// Offsets start at 1; 0 stands for "before the first record".
#[common::key]
#[derive(Default)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// The state before the first record.
    pub const ZERO: Self = Self(0);

    /// Returns the offset after this one.
    ///
    /// The last offset is its own next one, so that a false offset from a
    /// peer cannot overflow.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The fencing number of an assignment: the offset of its record.
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

/// One life of a process; a restart draws another.
#[common::key]
#[serde(transparent)]
pub struct Incarnation(pub uuid::Uuid);

impl Incarnation {
    /// Draws an incarnation from the operating system's random source.
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4())
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.simple())
    }
}

/// One attempt at a request; every frame of the answer must carry it.
#[common::key]
#[serde(transparent)]
pub struct Attempt(pub uuid::Uuid);

impl Attempt {
    /// Draws an attempt id from the operating system's random source.
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

/// The number of a record among those of one writer, from 1.
#[common::key]
#[derive(Default)]
#[serde(transparent)]
pub struct Sequence(pub u64);
