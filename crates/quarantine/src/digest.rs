//! Digests of prompt parts, of whole requests and of backend servers.

use name::{Instance, Service};
use sha2::{Digest, Sha256};
use std::slice;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a request consists of that may crash backend servers.
#[common::key]
pub enum Part {
    /// The digest of a part of prompts that other requests share.
    ///
    /// It is judged for the service whatever else a request holds, its model and client
    /// account included.
    Prompt(u64),
    /// The digest of a whole request, which its caller may send again.
    Request(u64),
}

impl Part {
    /// Returns the part `id` of prompts for `service`.
    pub fn prompt(service: &Service, id: &str) -> Self {
        let seed = xxh3_64_with_seed(service.as_str().as_bytes(), 0);
        Self::Prompt(xxh3_64_with_seed(id.as_bytes(), seed))
    }

    /// Returns the whole request that has these fields, in a fixed order.
    pub fn request(fields: &[&[u8]]) -> Self {
        Self::Request(request_digest(fields.iter().map(slice::from_ref)))
    }

    /// Returns the whole request that has these fields, each given by its pieces.
    pub fn request_in_pieces(fields: &[&[&[u8]]]) -> Self {
        Self::Request(request_digest(fields.iter().copied()))
    }

    /// Returns the digest.
    pub fn digest(self) -> u64 {
        match self {
            Self::Prompt(digest) | Self::Request(digest) => digest,
        }
    }

    /// Returns whether this is a whole request.
    pub fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }

    /// Returns what it is, for logs.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Prompt(_) => "prompt",
            Self::Request(_) => "request",
        }
    }
}

/// The digest of an incarnation of a backend server.
#[common::key]
pub struct Server(pub u64);

impl Server {
    /// Returns the digest of an incarnation of `instance`.
    pub fn new(instance: &Instance, incarnation: u64) -> Self {
        Self(xxh3_64_with_seed(instance.as_str().as_bytes(), incarnation))
    }
}

/// Returns the digest of a whole request, given by its fields in a fixed order.
///
/// The hash is cryptographic, since callers choose the content: none can make a request
/// whose digest is that of another caller's request.
fn request_digest<'a>(fields: impl Iterator<Item = &'a [&'a [u8]]>) -> u64 {
    let mut hasher = Sha256::new();
    for field in fields {
        // The length separates a field from the next one.
        let length: usize = field.iter().map(|piece| piece.len()).sum();
        hasher.update((length as u64).to_be_bytes());
        for piece in field {
            hasher.update(piece);
        }
    }
    let hash = hasher.finalize();
    let (first, _) = hash.split_at(size_of::<u64>());
    first
        .iter()
        .fold(0, |digest, byte| digest << 8 | u64::from(*byte))
}
