//! The interface for operators: metrics, and the quarantined parts of requests.
//!
//! | request | answer |
//! |---|---|
//! | `GET /metrics` | counters and histograms |
//! | `GET /quarantine` | the parts whose requests may be withheld, one per line |
//! | `DELETE /quarantine/KIND-DIGEST` | lifts one of them at all nodes; from this machine only |

use crate::{listener::text, state::Shared, stream::Body};
use http::{Method, Request, Response, StatusCode};
use quarantine::{Part, Treated};
use slog::info;
use std::fmt::Write;

/// Answers a request of an operator; `is_local` is whether it comes from this machine.
pub(crate) fn answer<B>(shared: &Shared, is_local: bool, request: &Request<B>) -> Response<Body> {
    let path = request.uri().path();
    match (request.method(), path.strip_prefix("/quarantine/")) {
        (&Method::DELETE, _) if !is_local => text(StatusCode::FORBIDDEN, String::new()),
        (&Method::DELETE, Some(name)) => lift(shared, name),
        (&Method::GET, None) if path == "/quarantine" => {
            let treated = shared.tables().quarantine.treated(shared.now());
            text(StatusCode::OK, list(&treated))
        }
        (&Method::GET, None) if path == "/metrics" => text(StatusCode::OK, shared.metrics.text()),
        _ => text(StatusCode::NOT_FOUND, String::new()),
    }
}

/// Returns one line for each part.
fn list(treated: &[Treated]) -> String {
    let mut lines = String::new();
    for part in treated {
        // Writing to a string does not fail.
        let _ = writeln!(
            lines,
            "{}-{:016x} {:?} crashes={} last_crash_age_ms={}",
            part.part.kind(),
            part.part.digest(),
            part.level,
            part.crashes,
            part.last_crash_age.as_millis()
        );
    }
    lines
}

/// Clears the crashes of a part, here and at all other nodes.
fn lift(shared: &Shared, name: &str) -> Response<Body> {
    let Some(part) = parse(name) else {
        let message = "expected request-DIGEST or prompt-DIGEST\n";
        return text(StatusCode::BAD_REQUEST, message.into());
    };
    if shared.clear(&[part]).is_empty() {
        let message = "no crash is known of this part\n";
        return text(StatusCode::NOT_FOUND, message.into());
    }
    info!(shared.log, "quarantine lifted by operator"; "kind" => part.kind(),
        "part" => format!("{:016x}", part.digest()));
    text(StatusCode::OK, "lifted\n".into())
}

/// Parses the name of a part as listed.
fn parse(name: &str) -> Option<Part> {
    let (kind, digest) = name.split_once('-')?;
    let digest = u64::from_str_radix(digest, 16).ok()?;
    match kind {
        "request" => Some(Part::Request(digest)),
        "prompt" => Some(Part::Prompt(digest)),
        _ => None,
    }
}
