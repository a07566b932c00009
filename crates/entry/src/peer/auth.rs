//! Authentication between peers by a shared secret.
//!
//! Each call carries the caller's wall-clock time and a keyed SHA-256 hash of
//! it. The callee compares in constant time and refuses times too far from its
//! own clock, which limits the replay of a recorded proof.

use clock::{Clock, WallTime};
use settings::Secret;
use sha2::{Digest, Sha256};
use std::time::Duration;
use subtle::ConstantTimeEq;
use tonic::{Request, Status, metadata::MetadataValue, service::Interceptor};

/// The metadata key of the proof.
const PROOF_KEY: &str = "x-peer-proof";

/// The maximum accepted difference between two peers' wall clocks.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Creates and checks the proofs that authenticate peers.
#[derive(Debug, Clone)]
pub(crate) struct Authenticator {
    secret: Secret,
    clock: Clock,
}

impl Authenticator {
    /// Returns an authenticator for the shared `secret`.
    pub(crate) fn new(secret: &Secret, clock: Clock) -> Self {
        Self {
            secret: secret.clone(),
            clock,
        }
    }

    /// Returns the proof for a call at `wall`.
    pub(super) fn create_proof(&self, wall: WallTime) -> String {
        format!("{}.{}", wall.0, hex::encode(self.keyed_hash(wall)))
    }

    /// Returns the keyed hash of a time, nested to prevent length extension.
    fn keyed_hash(&self, wall: WallTime) -> [u8; 32] {
        let inner = Sha256::new()
            .chain_update(self.secret.expose())
            .chain_update(wall.0.to_be_bytes())
            .finalize();
        Sha256::new()
            .chain_update(self.secret.expose())
            .chain_update(inner)
            .finalize()
            .into()
    }

    /// Returns whether `text` is a valid proof for about the current time.
    pub(super) fn is_valid(&self, text: &str) -> bool {
        let Some((millis, hash)) = text.split_once('.') else {
            return false;
        };
        let (Ok(millis), Ok(hash)) = (millis.parse(), hex::decode(hash)) else {
            return false;
        };
        let (wall, now) = (WallTime(millis), self.clock.wall());
        let is_recent = now.since(wall).max(wall.since(now)) <= MAX_CLOCK_SKEW;
        let is_hash_equal: bool = self.keyed_hash(wall).ct_eq(hash.as_slice()).into();
        is_hash_equal && is_recent
    }

    /// Checks the proof in a call's metadata.
    ///
    /// # Errors
    ///
    /// Returns an error if the proof is missing or not valid.
    pub(crate) fn check<T>(&self, request: &Request<T>) -> Result<(), Status> {
        let proof = request
            .metadata()
            .get(PROOF_KEY)
            .and_then(|value| value.to_str().ok());
        match proof {
            Some(text) if self.is_valid(text) => Ok(()),
            _ => Err(Status::unauthenticated(
                "the caller did not prove that it is a peer",
            )),
        }
    }
}

impl Interceptor for Authenticator {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        let text = self.create_proof(self.clock.wall());
        let value = MetadataValue::try_from(text);
        let value = value.map_err(|_| Status::internal("the proof is no metadata value"))?;
        request.metadata_mut().insert(PROOF_KEY, value);
        Ok(request)
    }
}
