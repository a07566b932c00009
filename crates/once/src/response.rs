//! The stored response of a request.

use base64::{Engine, engine::general_purpose::STANDARD};
use std::sync::Arc;
use verdict::{Error, Kind, Verdict};

/// The maximum length of the body in an outcome record, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 4_096;

/// The maximum length of a content type, in bytes.
pub(crate) const MAX_CONTENT_TYPE_BYTES: usize = 100;

/// The response that a request ended with.
#[common::value]
pub struct Response {
    /// Whether the request ran.
    pub verdict: Verdict,
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: Arc<str>,
    /// The body; `None` if it was not stored or the request had no response.
    #[serde(with = "base64_body")]
    pub body: Option<Arc<[u8]>>,
}

impl Response {
    /// Returns the response of a request that ran and ended with `body`.
    pub fn ran(status: u16, content_type: &str, body: &[u8]) -> Self {
        Self {
            verdict: Verdict::Ran,
            status,
            content_type: content_type.into(),
            body: Some(body.into()),
        }
    }

    /// Returns the outcome of a request that ended without a response.
    pub fn without_body(verdict: Verdict) -> Self {
        Self {
            verdict,
            status: Kind::Unavailable.status().as_u16(),
            content_type: "".into(),
            body: None,
        }
    }

    /// Returns the response as it is stored, within its bounds.
    ///
    /// A body that is too long is dropped; so are a content type that is too
    /// long and its body.
    #[must_use]
    pub fn bounded(&self) -> Self {
        let mut bounded = self.clone();
        if bounded.content_type.len() > MAX_CONTENT_TYPE_BYTES {
            bounded.content_type = "".into();
            bounded.body = None;
        }
        if bounded.body_bytes() > MAX_BODY_BYTES {
            bounded.body = None;
        }
        bounded
    }

    /// Returns the length of the body, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.body.as_ref().map_or(0, |body| body.len())
    }

    /// Returns the response to a repeated call.
    ///
    /// # Errors
    ///
    /// Returns an error with the verdict of the key if no complete response is
    /// stored.
    pub fn replay(&self) -> Result<Self, Error> {
        match (self.verdict, &self.body) {
            (Verdict::Ran, Some(_)) => Ok(self.clone()),
            (Verdict::Ran, None) => Err(Error::new(
                Kind::Conflict,
                Verdict::Ran,
                "the request ran; its answer was too large to keep",
            )),
            (Verdict::MayHaveRun, _) => Err(Error::may_have_run(
                Kind::Upstream,
                "an earlier call with this key ended without an answer",
            )),
            (Verdict::NotRun, _) => Err(Error::not_run(
                Kind::Conflict,
                "this key was given up before it ran; use a new key",
            )),
        }
    }
}

/// Serialization of bodies as Base64 text.
mod base64_body {
    use super::{Engine, MAX_BODY_BYTES, STANDARD};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};
    use std::sync::Arc;

    /// Serializes a body.
    pub(super) fn serialize<S: Serializer>(
        body: &Option<Arc<[u8]>>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        match body {
            Some(body) => to.serialize_some(&STANDARD.encode(body)),
            None => to.serialize_none(),
        }
    }

    /// Deserializes a body.
    pub(super) fn deserialize<'a, D: Deserializer<'a>>(
        from: D,
    ) -> Result<Option<Arc<[u8]>>, D::Error> {
        let Some(text) = Option::<String>::deserialize(from)? else {
            return Ok(None);
        };
        let body = STANDARD.decode(text).map_err(Error::custom)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(Error::custom("the body is larger than the bound"));
        }
        Ok(Some(body.into()))
    }
}
