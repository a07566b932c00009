//! Ids of streamed answers, with which a caller resumes at another entry node.
//!
//! An id holds the seed that determines the answer, and a tag over the client
//! account, the request and the seed, keyed with the peers' secret. Any node can
//! therefore generate the same answer again and skip the tokens that the caller
//! already has, and no caller can resume another account's stream.

use name::Account;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The length of an id's tag, in bytes.
const TAG_BYTES: usize = 16;

/// The identity of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StreamId {
    /// The seed that determines the answer.
    pub(crate) seed: u64,
    tag: [u8; TAG_BYTES],
}

/// A position in a streamed answer: the value of `Last-Event-ID`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StreamPosition {
    /// The stream.
    pub(crate) stream: StreamId,
    /// The number of tokens that the caller already has.
    pub(crate) tokens: u32,
}

impl StreamId {
    /// Returns the id for an account's request.
    pub(crate) fn new(secret: &[u8], account: &Account, request: &[u8], seed: u64) -> Self {
        let mut hash = Sha256::new();
        for part in [
            secret,
            account.as_str().as_bytes(),
            request,
            &seed.to_be_bytes(),
        ] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.finalize()[..TAG_BYTES]);
        Self { seed, tag }
    }

    /// Returns whether the id was made for this account's request.
    pub(crate) fn belongs_to(&self, secret: &[u8], account: &Account, request: &[u8]) -> bool {
        let expected = Self::new(secret, account, request, self.seed);
        expected.tag.ct_eq(&self.tag).into()
    }

    /// Returns the id as text.
    pub(crate) fn text(&self) -> String {
        format!("{:016x}-{}", self.seed, hex::encode(self.tag))
    }
}

impl StreamPosition {
    /// Parses a position; returns `None` for any other text.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('-');
        let seed = u64::from_str_radix(parts.next()?, 16).ok()?;
        let mut tag = [0; TAG_BYTES];
        hex::decode_to_slice(parts.next()?, &mut tag).ok()?;
        let tokens = parts.next()?.parse().ok()?;
        let ended = parts.next().is_none();
        ended.then_some(Self {
            stream: StreamId { seed, tag },
            tokens,
        })
    }

    /// Returns the position as text.
    pub(crate) fn text(&self) -> String {
        format!("{}-{}", self.stream.text(), self.tokens)
    }
}
