//! API keys and operator tokens, known only by their hashes.

use crate::{Digest, Lists};
use sha2::{Digest as _, Sha256};
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Returns the hash of an API key or operator token.
pub fn digest(secret: &str) -> Digest {
    Digest(hex::encode(Sha256::digest(secret.as_bytes())).into())
}

impl Lists {
    /// Returns the client account that has the API key `key`.
    ///
    /// Compares with every hash, each in constant time.
    pub fn account_of_key(&self, key: &str) -> Option<&name::Account> {
        let held = self
            .accounts
            .iter()
            .map(|(name, a)| (name, a.keys.as_slice()));
        find(&digest(key), held)
    }

    /// Returns the operator who has the token `token`.
    ///
    /// Compares with every hash, each in constant time.
    pub fn operator_of_token(&self, token: &str) -> Option<&Arc<str>> {
        let held = self
            .operators
            .iter()
            .map(|(name, o)| (name, o.tokens.as_slice()));
        find(&digest(token), held)
    }
}

/// Returns the owner of `wanted`, having compared with every candidate.
fn find<'a, K>(
    wanted: &Digest,
    held: impl Iterator<Item = (&'a K, &'a [Digest])>,
) -> Option<&'a K> {
    let mut found = None;
    for (owner, hashes) in held {
        for hash in hashes {
            let same: bool = hash.0.as_bytes().ct_eq(wanted.0.as_bytes()).into();
            if same {
                found = Some(owner);
            }
        }
    }
    found
}
