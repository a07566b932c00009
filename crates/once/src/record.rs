//! Records of the claim stream.

use crate::{Answer, Digest, Key, response};
use name::Incarnation;
use std::fmt;
use uuid::Uuid;

/// The largest record, in bytes.
const MAX_BYTES: usize = 8_192;

/// The random number of one claim or void.
#[common::key]
#[serde(transparent)]
pub struct Claim(pub Uuid);

/// A record of the claim stream.
#[common::value]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// Reserves the key for one call; only that call may dispatch it.
    Claim {
        /// The key.
        key: Key,
        /// The digest of the request.
        body: Digest,
        /// The process that claims.
        by: Incarnation,
        /// The claim.
        claim: Claim,
    },
    /// Makes sure that the key never runs.
    Void {
        /// The key.
        key: Key,
        /// The process that voids.
        by: Incarnation,
    },
    /// States how the claimed request ended.
    Outcome {
        /// The key.
        key: Key,
        /// The claim that won.
        claim: Claim,
        /// The answer, within its bound.
        answer: Answer,
    },
}

/// Bytes that are no record.
#[derive(Debug)]
pub struct Malformed {
    source: Option<serde_json::Error>,
}

impl Malformed {
    /// Returns whether the bytes were more than a record may have.
    pub fn is_too_large(&self) -> bool {
        self.source.is_none()
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.source {
            Some(source) => write!(f, "not a claim record: {source}"),
            None => write!(f, "a claim record has at most {MAX_BYTES} bytes"),
        }
    }
}

impl std::error::Error for Malformed {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.source.as_ref().map(|e| e as _)
    }
}

impl Record {
    /// Returns the key.
    pub fn key(&self) -> &Key {
        match self {
            Self::Claim { key, .. } | Self::Void { key, .. } | Self::Outcome { key, .. } => key,
        }
    }

    /// Returns the record as bytes; an outcome's answer is cut to its bound.
    pub fn encode(&self) -> Vec<u8> {
        let bounded;
        let record = match self {
            Self::Outcome { key, claim, answer } => {
                bounded = Self::Outcome {
                    key: key.clone(),
                    claim: *claim,
                    answer: answer.bounded(),
                };
                &bounded
            }
            _ => self,
        };
        serde_json::to_vec(record).expect("a record holds only strings and numbers")
    }

    /// Reads a record from bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are too many or no record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        if bytes.len() > MAX_BYTES {
            return Err(Malformed { source: None });
        }
        let record: Self =
            serde_json::from_slice(bytes).map_err(|e| Malformed { source: Some(e) })?;
        match &record {
            Self::Outcome { answer, .. }
                if answer.content_type.len() > response::MAX_CONTENT_TYPE_BYTES =>
            {
                Err(Malformed { source: None })
            }
            _ => Ok(record),
        }
    }
}
