//! The seam to the platform: a plain struct of closures.

use crate::{
    Call,
    call::{Addition, Head, Lookup, Malformed, Outgoing},
    config,
    feed::{Batch, Claimed, Cursor, Error},
    node::{Card, Claim},
    order::{Order, Outcome},
    server::{self, Report},
};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, request::Parts};
use name::Instance;
use std::{fmt, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};
use verdict::Error as Refusal;

/// A call in progress.
pub type Pending<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Reads a feed from a cursor, waiting up to a time for a record.
pub type Read<T> = Arc<dyn Fn(Cursor, Duration) -> Pending<Result<Batch<T>, Error>> + Send + Sync>;

/// A closure of one argument that makes a call.
pub type Ask<A, T> = Arc<dyn Fn(A) -> Pending<T> + Send + Sync>;

/// The calls to the platform and the translations of what it speaks.
#[derive(Clone)]
pub struct Platform {
    /// Reads what operators changed.
    pub operators: Read<config::Change>,
    /// Reads the entries of backend servers.
    pub servers: Read<server::Change>,
    /// Reads the cards of entry nodes.
    pub cards: Read<Card>,
    /// Reads the claims of planners.
    pub claims: Read<Claim>,
    /// Puts this node's card into the store.
    pub announce: Ask<Card, Result<(), Error>>,
    /// Appends a claim if the feed of claims ends at the offset.
    pub claim: Ask<(u64, Claim), Result<Claimed, Error>>,
    /// Sends an order to the engine at an address.
    pub order: Ask<(SocketAddr, Instance, Order), Outcome>,
    /// Asks the engine at an address for its state.
    pub report: Ask<(SocketAddr, Instance), Result<Report, Error>>,
    /// Reads what a caller's request says of itself.
    pub call: fn(&Parts) -> Result<Call, Malformed>,
    /// Makes the request for a backend server.
    pub request: fn(&Outgoing, &Addition) -> Request<Bytes>,
    /// Reads the head of a backend server's answer.
    pub head: fn(&HeaderMap) -> Head,
    /// Makes the answer to a caller for an error of this system.
    pub refusal: fn(&Refusal) -> Response<Bytes>,
    /// Reads a question to the directory.
    pub lookup: fn(&Parts) -> Option<Lookup>,
    /// Makes the directory's answer, with how long it may be kept.
    pub directory: fn(&[SocketAddr], Duration) -> Response<Bytes>,
    /// Returns whether a request asks for the node's readiness.
    pub is_readiness: fn(&Parts) -> bool,
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform").finish_non_exhaustive()
    }
}
