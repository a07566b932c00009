//! Records of the claim stream.

use crate::{Digest, Key, Response, response};
use name::Incarnation;
use std::fmt;
use uuid::Uuid;

/// The largest record, in bytes.
const MAX_RECORD_BYTES: usize = 8_192;

/// The random number of one claim or void.
#[common::key]
#[serde(transparent)]
pub struct ClaimId(pub Uuid);

/// A record of the claim stream.
#[common::value]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// Reserves the key for one call; only that call may dispatch it.
    Claim {
        /// The key.
        key: Key,
        /// The digest of the request.
        #[serde(rename = "body")]
        digest: Digest,
        /// The process that claims.
        #[serde(rename = "by")]
        incarnation: Incarnation,
        /// The claim.
        claim: ClaimId,
    },
    /// Makes sure that the key never runs.
    Void {
        /// The key.
        key: Key,
        /// The process that voids.
        #[serde(rename = "by")]
        incarnation: Incarnation,
    },
    /// States how the claimed request ended.
    Outcome {
        /// The key.
        key: Key,
        /// The claim that won.
        claim: ClaimId,
        /// The answer, within its bound.
        #[serde(rename = "answer")]
        response: Response,
    },
}

/// Bytes that are no record.
#[derive(Debug)]
pub struct DecodeError {
    source: Option<serde_json::Error>,
}

impl DecodeError {
    /// Returns whether the bytes were more than a record may have.
    pub fn is_too_large(&self) -> bool {
        self.source.is_none()
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.source {
            Some(source) => write!(f, "not a claim record: {source}"),
            None => write!(f, "a claim record has at most {MAX_RECORD_BYTES} bytes"),
        }
    }
}

impl std::error::Error for DecodeError {
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
        let bounded_outcome;
        let record = match self {
            Self::Outcome {
                key,
                claim,
                response,
            } => {
                bounded_outcome = Self::Outcome {
                    key: key.clone(),
                    claim: *claim,
                    response: response.bounded(),
                };
                &bounded_outcome
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
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(DecodeError { source: None });
        }
        let record: Self =
            serde_json::from_slice(bytes).map_err(|e| DecodeError { source: Some(e) })?;
        match &record {
            Self::Outcome { response, .. }
                if response.content_type.len() > response::MAX_CONTENT_TYPE_BYTES =>
            {
                Err(DecodeError { source: None })
            }
            _ => Ok(record),
        }
    }
}
