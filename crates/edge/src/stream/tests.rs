//! A response is completed only if its stream is known to be complete.

use super::{ChannelBody, End, Fault, Part, end_of_stream};
use budget::Memory;
use bytes::Bytes;
use http_body_util::BodyExt;
use net::Framing;
use tokio::sync::mpsc;

#[tokio::test]
async fn body_without_explicit_end_is_not_complete() {
    struct Case {
        what: &'static str,
        parts: Vec<Part>,
        is_complete: bool,
    }
    let data = || Part::Data {
        bytes: Bytes::from_static(b"id: 1\n\n"),
        _memory: Memory::new(None).reserve(),
    };
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

#[test]
fn only_framed_streams_may_end_without_events() {
    struct Case {
        framing: Framing,
        events: u64,
        is_inside_event: bool,
        end: End,
    }
    let inside = End::Broken(Fault::InsideEvent);
    let empty = End::Broken(Fault::WithoutEvent);
    let case = |framing, events, is_inside_event, end| Case {
        framing,
        events,
        is_inside_event,
        end,
    };
    let cases = [
        case(Framing::Chunked, 3, false, End::Complete),
        case(Framing::Chunked, 0, false, End::Complete),
        case(Framing::Chunked, 3, true, inside),
        case(Framing::Length, 3, false, End::Complete),
        case(Framing::Length, 0, false, End::Complete),
        case(Framing::Length, 0, true, inside),
        case(Framing::Close, 3, false, End::Complete),
        case(Framing::Close, 0, false, empty),
        case(Framing::Close, 0, true, inside),
    ];
    for case in cases {
        let end = end_of_stream(case.framing, case.events, case.is_inside_event);
        let Case {
            framing, events, ..
        } = case;
        assert_eq!(end, case.end, "{framing:?}, {events} events");
    }
}
