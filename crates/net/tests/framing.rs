//! The framing of a response follows from its headers and whether it has a body.

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use net::Framing;

#[test]
fn framing_follows_from_headers() {
    struct Case {
        what: &'static str,
        headers: &'static [(&'static str, &'static str)],
        body: &'static str,
        framing: Framing,
    }
    let cases = [
        Case {
            what: "no header",
            headers: &[],
            body: "abc",
            framing: Framing::Close,
        },
        Case {
            what: "no header and no body, as to a HEAD request",
            headers: &[],
            body: "",
            framing: Framing::Length,
        },
        Case {
            what: "a length",
            headers: &[("content-length", "3")],
            body: "abc",
            framing: Framing::Length,
        },
        Case {
            what: "chunks",
            headers: &[("transfer-encoding", "Chunked")],
            body: "abc",
            framing: Framing::Chunked,
        },
        Case {
            what: "chunks as the last of several codings",
            headers: &[("transfer-encoding", "gzip, chunked")],
            body: "abc",
            framing: Framing::Chunked,
        },
        Case {
            what: "another coding last",
            headers: &[
                ("transfer-encoding", "chunked"),
                ("transfer-encoding", "gzip"),
            ],
            body: "abc",
            framing: Framing::Close,
        },
        Case {
            what: "chunks go before a length",
            headers: &[("content-length", "3"), ("transfer-encoding", "chunked")],
            body: "abc",
            framing: Framing::Chunked,
        },
    ];
    for case in cases {
        let mut response = Response::builder();
        for (name, value) in case.headers {
            response = response.header(*name, *value);
        }
        let body = Full::new(Bytes::from_static(case.body.as_bytes()));
        let response = response.body(body).expect("valid headers");
        assert_eq!(Framing::of(&response), case.framing, "{}", case.what);
    }
}
