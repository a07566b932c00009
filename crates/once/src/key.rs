//! Idempotency keys of requests that may not be repeated.

use clock::WallTime;
use name::Account;
use sha2::{Digest as _, Sha256};
use std::{fmt, time::Duration};
use uuid::Uuid;
use verdict::{Error, Kind};

/// The SHA-256 digest of a request's target and body.
#[common::key]
pub struct Digest(Uuid, Uuid);

impl Digest {
    /// Returns the digest of `target` (method and path) and `body`.
    pub fn new(target: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        hash.update(target.len().to_be_bytes());
        hash.update(target);
        hash.update(body);
        let bytes: [u8; 32] = hash.finalize().into();
        let (high, low) = bytes.split_at(16);
        Self(uuid_from_half(high), uuid_from_half(low))
    }
}

/// Returns one half of a digest, 16 bytes, as a UUID.
fn uuid_from_half(bytes: &[u8]) -> Uuid {
    Uuid::from_slice(bytes).expect("half of a SHA-256 digest has 16 bytes")
}

/// The idempotency key of one request of a client account.
#[common::value]
#[derive(PartialOrd, Ord, Hash)]
pub struct Key {
    /// The client account.
    pub account: Account,
    /// The UUIDv7 that the caller generated.
    pub id: Uuid,
}

impl Key {
    /// Parses the header text of a call by `account` into a key.
    ///
    /// # Errors
    ///
    /// Returns an error with the verdict not-run if the text is missing or not
    /// a UUIDv7: no node ever runs such a request.
    pub fn parse(account: &Account, text: Option<&str>) -> Result<Self, Error> {
        let Some(text) = text else {
            return Err(malformed_key(
                "a request that may not be repeated needs a key",
            ));
        };
        match Uuid::try_parse(text) {
            Ok(id) if is_v7(&id) => Ok(Self {
                account: account.clone(),
                id,
            }),
            _ => Err(malformed_key("the key is not a UUIDv7")),
        }
    }

    /// Returns the timestamp of the key's UUID.
    pub fn time(&self) -> WallTime {
        let millis = self.id.as_u128() >> 80;
        WallTime(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.account, self.id)
    }
}

/// Returns whether `id` is of version 7 and the RFC 4122 variant.
fn is_v7(id: &Uuid) -> bool {
    id.get_version_num() == 7 && id.get_variant() == uuid::Variant::RFC4122
}

/// Returns the error for an invalid key, which no node runs.
fn malformed_key(message: &str) -> Error {
    Error::not_run(Kind::Malformed, message)
}

/// The range of key timestamps that may run.
#[common::value]
pub struct Window {
    /// How long after its timestamp a key is stored and may run.
    ///
    /// Must be shorter than the log's retention by more than twice `skew`.
    #[serde(rename = "remembered")]
    pub validity: Duration,
    /// How far a key's timestamp may be ahead of a node's clock.
    pub skew: Duration,
}

impl Default for Window {
    /// Returns a validity of 10 minutes with 5 seconds of skew.
    fn default() -> Self {
        Self {
            validity: Duration::from_secs(600),
            skew: Duration::from_secs(5),
        }
    }
}

/// The position of a key's timestamp relative to a [`Window`].
#[common::key]
pub enum Position {
    /// The key may run.
    Inside,
    /// The key may have been discarded: it never runs any more.
    TooOld,
    /// The timestamp is ahead of the clock, but near enough to store a void.
    Ahead,
    /// The timestamp is so far ahead that voids of such keys would be unbounded.
    FarAhead,
}

impl Window {
    /// Returns the position of the timestamp of `key` at `wall`.
    pub fn position(&self, key: &Key, wall: WallTime) -> Position {
        let ahead = key.time().since(wall);
        if wall.since(key.time()) > self.validity {
            Position::TooOld
        } else if ahead <= self.skew {
            Position::Inside
        } else if ahead <= self.validity {
            Position::Ahead
        } else {
            Position::FarAhead
        }
    }

    /// Returns whether a log with this `retention` keeps records long enough.
    pub fn fits(&self, retention: Duration) -> bool {
        self.validity + 2 * self.skew < retention
    }
}

/// Returns the partition of the stream, below `partitions`, that holds `key`.
///
/// All nodes must use the same number of `partitions`, at least 1; it may
/// change only while no key assigned by the old number is inside the window.
pub fn partition(key: &Key, partitions: u32) -> u32 {
    let text = key.id.simple().to_string();
    let hash = name::rendezvous_score(key.account.as_str(), &text);
    u32::try_from(hash % u64::from(partitions.max(1))).unwrap_or(0)
}
