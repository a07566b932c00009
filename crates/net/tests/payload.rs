//! Bodies of requests are sent in their pieces.

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use net::Payload;

/// Guards against a body whose announced length differs from what is sent, also when it is
/// sent again.
#[tokio::test]
async fn payload_sends_its_pieces_in_order() {
    struct Case {
        pieces: &'static [&'static str],
        sent: &'static str,
    }
    let cases = [
        Case {
            pieces: &[],
            sent: "",
        },
        Case {
            pieces: &[""],
            sent: "",
        },
        Case {
            pieces: &["one"],
            sent: "one",
        },
        Case {
            pieces: &["a", "", "bc", "d"],
            sent: "abcd",
        },
    ];
    for case in cases {
        let pieces = case.pieces.iter().copied().map(Bytes::from);
        let payload = Payload::from(pieces.collect::<Vec<_>>());
        for attempt in 0..2 {
            let condition = format!("{:?}, attempt {attempt}", case.pieces);
            let body = payload.clone();
            let length = case.sent.len() as u64;
            assert_eq!(body.size_hint().exact(), Some(length), "{condition}");
            assert_eq!(body.is_end_stream(), case.sent.is_empty(), "{condition}");
            let Ok(sent) = body.collect().await;
            assert_eq!(sent.to_bytes(), case.sent, "{condition}");
        }
    }
}
