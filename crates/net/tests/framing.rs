//! The framing of a response body follows from its headers.

use http::{HeaderMap, HeaderName, HeaderValue};
use net::Framing;

#[test]
fn framing_follows_from_headers() {
    struct Case {
        what: &'static str,
        headers: &'static [(&'static str, &'static str)],
        framing: Framing,
    }
    let cases = [
        Case {
            what: "no header",
            headers: &[],
            framing: Framing::Close,
        },
        Case {
            what: "a length",
            headers: &[("content-length", "3")],
            framing: Framing::Length,
        },
        Case {
            what: "chunks",
            headers: &[("transfer-encoding", "Chunked")],
            framing: Framing::Chunked,
        },
        Case {
            what: "chunks as the last of several codings",
            headers: &[("transfer-encoding", "gzip, chunked")],
            framing: Framing::Chunked,
        },
        Case {
            what: "another coding last",
            headers: &[
                ("transfer-encoding", "chunked"),
                ("transfer-encoding", "gzip"),
            ],
            framing: Framing::Close,
        },
        Case {
            what: "chunks go before a length",
            headers: &[("content-length", "3"), ("transfer-encoding", "chunked")],
            framing: Framing::Chunked,
        },
    ];
    for case in cases {
        let headers: HeaderMap = case
            .headers
            .iter()
            .map(|(name, value)| {
                (
                    HeaderName::from_static(name),
                    HeaderValue::from_static(value),
                )
            })
            .collect();
        assert_eq!(Framing::of(&headers), case.framing, "{}", case.what);
    }
}
