//! The interface to the platform, a plain struct of closures.

use crate::{
    CallerRequest,
    call::{
        DirectoryQuery, ForwardContext, MalformedRequest, OutgoingRequest, RequestContext,
        ResponseHead,
    },
    config,
    feed::{AppendOutcome, Batch, Cursor, Error},
    node::{NodeRecord, PlannerClaim},
    order::{Order, Outcome},
    quarantine::QuarantineRecord,
    server::{self, Health, Report},
};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, request::Parts};
use name::Instance;
use net::Payload;
use std::{fmt, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};
use verdict::Error as CallerError;

/// A call in progress.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A function that reads a feed from a cursor, waiting up to a time for a record.
pub type ReadFn<T> =
    Arc<dyn Fn(Cursor, Duration) -> BoxFuture<Result<Batch<T>, Error>> + Send + Sync>;

/// A function of one argument that makes a call.
pub type CallFn<A, T> = Arc<dyn Fn(A) -> BoxFuture<T> + Send + Sync>;

/// The calls to the platform and the translations of its formats.
#[derive(Clone)]
pub struct Platform {
    /// Reads the operators' changes.
    pub read_operator_changes: ReadFn<config::Change>,
    /// Reads the entries of backend servers.
    pub read_servers: ReadFn<server::Change>,
    /// Reads the records of entry nodes.
    pub read_nodes: ReadFn<NodeRecord>,
    /// Reads the planners' claims.
    pub read_claims: ReadFn<PlannerClaim>,
    /// Writes this node's record to the store.
    pub write_node_record: CallFn<NodeRecord, Result<(), Error>>,
    /// Reads the quarantined parts of requests.
    pub read_quarantine: ReadFn<QuarantineRecord>,
    /// Writes the record of a part of requests, or removes it if it has no crashes.
    pub write_quarantine: CallFn<QuarantineRecord, Result<(), Error>>,
    /// Appends a planner's claim if the feed of claims ends at the offset.
    pub append_claim: CallFn<(u64, PlannerClaim), Result<AppendOutcome, Error>>,
    /// Sends an order to the engine at an address.
    pub send_order: CallFn<(SocketAddr, Instance, Order), Outcome>,
    /// Requests the state of the engine at an address.
    pub fetch_report: CallFn<(SocketAddr, Instance), Result<Report, Error>>,
    /// Checks the health of the server at an address, by the path of its service.
    pub check_health: CallFn<(SocketAddr, Instance, Arc<str>), Result<Health, Error>>,
    /// Parses a caller's request.
    pub parse_request: fn(&Parts) -> Result<CallerRequest, MalformedRequest>,
    /// Builds the request to a backend server.
    pub build_request: fn(&OutgoingRequest, &RequestContext) -> Request<Payload>,
    /// Builds the request to another node, which handles it as the caller's.
    pub build_forwarded_request: fn(&OutgoingRequest, &ForwardContext) -> Request<Payload>,
    /// Parses the headers of a backend server's response.
    pub parse_response_head: fn(&HeaderMap) -> ResponseHead,
    /// Builds the response to a caller for an error of this system.
    pub build_error_response: fn(&CallerError) -> Response<Bytes>,
    /// Parses a query to the directory.
    pub parse_directory_query: fn(&Parts) -> Option<DirectoryQuery>,
    /// Builds the directory's response, with the time for which it may be cached.
    pub build_directory_response: fn(&[SocketAddr], Duration) -> Response<Bytes>,
    /// Returns whether a request is a check of the node's readiness.
    pub is_readiness_check: fn(&Parts) -> bool,
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform").finish_non_exhaustive()
    }
}
