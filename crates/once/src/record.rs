//! Records of the claim stream.

use crate::{Digest, Key, Response, response};
use name::Incarnation;
use std::fmt;
use uuid::Uuid;

/// The maximum length of an encoded record, in bytes.
const MAX_RECORD_BYTES: usize = 8_192;

/// The random identifier of one claim.
#[common::key]
#[serde(transparent)]
pub struct ClaimId(pub Uuid);

/// A record of the claim stream.
#[common::value]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// Reserves the key for one call; no other call may dispatch the request.
    Claim {
        /// The key.
        key: Key,
        /// The digest of the request's target and body.
        #[serde(rename = "body")]
        digest: Digest,
        /// The incarnation of the process that claims the key.
        #[serde(rename = "by")]
        incarnation: Incarnation,
        /// The identifier of the claim.
        claim: ClaimId,
    },
    /// Prevents the key's request from ever running.
    Void {
        /// The key.
        key: Key,
        /// The incarnation of the process that voids the key.
        #[serde(rename = "by")]
        incarnation: Incarnation,
    },
    /// Records how the claimed request ended.
    Outcome {
        /// The key.
        key: Key,
        /// The identifier of the claim that won.
        claim: ClaimId,
        /// The response, without a body beyond its maximum length.
        #[serde(rename = "answer")]
        response: Response,
    },
}

/// The error for bytes that are not a valid record.
#[derive(Debug)]
pub struct DecodeError {
    source: Option<serde_json::Error>,
}

impl DecodeError {
    /// Returns whether the record or its content type was too long.
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

    /// Encodes the record; an outcome's response is bounded before.
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

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are too many or not a record.
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
