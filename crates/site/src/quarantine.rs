//! The records of requests that are withheld because servers crashed on them.

/// A part of requests that is quarantined.
#[common::value]
pub struct QuarantineRecord {
    /// Whether the part is a whole request, and not a part of prompts.
    pub is_request: bool,
    /// The part's digest.
    pub digest: u64,
    /// The crashes below requests with it; none if it is no longer quarantined.
    pub crashes: Vec<QuarantinedCrash>,
}

/// A crash of a backend server.
#[common::value]
#[derive(Copy)]
pub struct QuarantinedCrash {
    /// The digest of the server's incarnation.
    pub server: u64,
    /// When it crashed, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The milliseconds for which it had worked on the request.
    pub run_ms: u64,
}
