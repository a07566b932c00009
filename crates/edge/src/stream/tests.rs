//! A body is complete only if its sender says so.

use super::{ChannelBody, Part};
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

#[tokio::test]
async fn body_without_explicit_end_is_not_complete() {
    struct Case {
        what: &'static str,
        parts: Vec<Part>,
        is_complete: bool,
    }
    let data = || Part::Data(Bytes::from_static(b"id: 1\n\n"));
    let cases = [
        Case {
            what: "data and the end",
            parts: vec![data(), Part::End],
            is_complete: true,
        },
        Case {
            what: "the end alone",
            parts: vec![Part::End],
            is_complete: true,
        },
        Case {
            what: "data only, as from a relay that was given up",
            parts: vec![data()],
            is_complete: false,
        },
        Case {
            what: "nothing",
            parts: Vec::new(),
            is_complete: false,
        },
    ];
    for case in cases {
        let (sink, parts) = mpsc::channel(8);
        for part in case.parts {
            sink.send(part).await.expect("the body is read later");
        }
        drop(sink);
        let body = ChannelBody::new(parts).collect().await;
        assert_eq!(body.is_ok(), case.is_complete, "{}", case.what);
    }
}
