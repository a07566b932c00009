//! Decoding of server-sent events.

use backend::sse::{Decoder, Oversized};
use proptest::prelude::{any, prop, proptest};

/// The size limit; only the cases of oversized events exceed it.
const MAX_BYTES: usize = 64;

/// Decodes `chunks`; returns the events and whether one was too large.
fn decode<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> (Vec<Vec<u8>>, bool) {
    let mut decoder = Decoder::new(MAX_BYTES);
    let mut events = Vec::new();
    for chunk in chunks {
        decoder.decode(chunk);
        loop {
            match decoder.next_event() {
                Ok(Some(event)) => events.push(event),
                Ok(None) => break,
                Err(Oversized) => return (events, true),
            }
        }
    }
    (events, false)
}

/// A stream and the events expected from it.
struct Case {
    name: &'static str,
    stream: &'static str,
    events: &'static [&'static str],
    is_oversized: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "two events",
        stream: "data: a\n\ndata: b\n\n",
        events: &["a", "b"],
        is_oversized: false,
    },
    Case {
        name: "all line ends",
        stream: "data: a\r\n\r\ndata: b\r\rdata: c\n\n",
        events: &["a", "b", "c"],
        is_oversized: false,
    },
    Case {
        name: "several lines, no space",
        stream: "data:a\ndata:  b\ndata\n\n",
        events: &["a\n b\n"],
        is_oversized: false,
    },
    Case {
        name: "other fields and comments",
        stream: ": hi\nevent: x\ndatas: no\nid: 3\ndata: a\n\nretry: 5\n\n",
        events: &["a"],
        is_oversized: false,
    },
    Case {
        name: "incomplete last event",
        stream: "data: a\n\ndata: b\n",
        events: &["a"],
        is_oversized: false,
    },
    Case {
        name: "one line above the limit",
        stream: "data: a\n\ndata: 0123456789012345678901234567890123456789012345678901234567890123456789",
        events: &["a"],
        is_oversized: true,
    },
    Case {
        name: "several lines above the limit together",
        stream: "data: 012345678901234567890123456789\ndata: 012345678901234567890123456789\ndata: 0123456789\n\n",
        events: &[],
        is_oversized: true,
    },
];

#[test]
fn stream_decodes_to_expected_events() {
    for case in CASES {
        let (events, is_oversized) = decode([case.stream.as_bytes()]);
        let expected: Vec<_> = case.events.iter().map(|e| e.as_bytes().to_vec()).collect();
        assert_eq!(
            (events, is_oversized),
            (expected, case.is_oversized),
            "{}",
            case.name
        );
    }
}

proptest! {
    /// The events don't depend on how the stream is split, and none exceeds the limit.
    #[test]
    fn events_are_independent_of_chunking(
        stream in prop::collection::vec(
            prop::sample::select(b"data: \r\n\xffx:".to_vec()),
            0..300,
        ),
        chunk_size in 1usize..20,
    ) {
        let whole = decode([&stream[..]]);
        let chunked = decode(stream.chunks(chunk_size));
        assert_eq!(&whole, &chunked);
        assert!(whole.0.iter().all(|event| event.len() <= MAX_BYTES));
    }

    /// Any data without line ends decodes to itself.
    #[test]
    fn data_round_trips(data in prop::collection::vec(any::<u8>(), 0..40)) {
        let data: Vec<u8> = data.into_iter().filter(|b| !b"\r\n".contains(b)).collect();
        let stream = [b"data: ", &data[..], b"\n\n"].concat();
        assert_eq!(decode([&stream[..]]), (vec![data], false));
    }
}
