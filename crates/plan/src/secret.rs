//! Lookup of API keys and operator tokens, of which only hashes are stored.

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
    /// Compares every hash in constant time, so that the duration reveals nothing
    /// about the stored hashes.
    pub fn account_for_key(&self, key: &str) -> Option<&name::Account> {
        let candidates = self
            .accounts
            .iter()
            .map(|(name, a)| (name, a.keys.as_slice()));
        find_owner(&digest(key), candidates)
    }

    /// Returns the operator who has the token `token`.
    ///
    /// Compares every hash in constant time, so that the duration reveals nothing
    /// about the stored hashes.
    pub fn operator_for_token(&self, token: &str) -> Option<&Arc<str>> {
        let candidates = self
            .operators
            .iter()
            .map(|(name, o)| (name, o.tokens.as_slice()));
        find_owner(&digest(token), candidates)
    }
}

/// Returns the owner of the hash `target`; compares all candidates without early exit.
fn find_owner<'a, K>(
    target: &Digest,
    candidates: impl Iterator<Item = (&'a K, &'a [Digest])>,
) -> Option<&'a K> {
    let mut found = None;
    for (owner, hashes) in candidates {
        for hash in hashes {
            let is_equal: bool = hash.0.as_bytes().ct_eq(target.0.as_bytes()).into();
            if is_equal {
                found = Some(owner);
            }
        }
    }
    found
}
