//! Events are returned complete, once, and in order.

use super::EventSplitter;

/// Returns the events that each piece completes, and the id of the last one.
fn split(after: Option<u64>, pieces: &[&str]) -> (Vec<String>, Option<u64>) {
    let mut events = EventSplitter::after(after);
    let passed = pieces.iter().filter_map(|p| events.push(p.as_bytes()));
    let passed = passed.map(|b| String::from_utf8(b.to_vec()).expect("text"));
    (passed.collect(), events.last_id())
}

#[test]
fn complete_events_pass_once() {
    struct Case {
        what: &'static str,
        after: Option<u64>,
        pieces: &'static [&'static str],
        passed: &'static [&'static str],
        last: Option<u64>,
    }
    let cases = [
        Case {
            what: "one event per piece",
            after: None,
            pieces: &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"],
            passed: &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"],
            last: Some(2),
        },
        Case {
            what: "several events in one piece, the last one incomplete",
            after: None,
            pieces: &["id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"],
            passed: &["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"],
            last: Some(2),
        },
        Case {
            what: "split between the two line feeds",
            after: None,
            pieces: &["id: 1\ndata: a\n", "\nid: 2\n", "data: b\n\n"],
            passed: &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"],
            last: Some(2),
        },
        Case {
            what: "lines that end with carriage return and line feed",
            after: None,
            pieces: &["id: 1\r\ndata: a\r\n\r\nid: 2\r\n"],
            passed: &["id: 1\r\ndata: a\r\n\r\n"],
            last: Some(1),
        },
        Case {
            what: "lines that end with carriage return",
            after: None,
            pieces: &["id: 1\rdata: a\r", "\rid: 2\r"],
            passed: &["id: 1\rdata: a\r\r"],
            last: Some(1),
        },
        Case {
            what: "split inside the last line end",
            after: None,
            pieces: &["id: 1\r\ndata: a\r\n\r", "\nid: 2\r\n\r\n"],
            passed: &["id: 1\r\ndata: a\r\n\r", "\nid: 2\r\n\r\n"],
            last: Some(2),
        },
        Case {
            what: "a server that repeats the stream from its start",
            after: Some(2),
            pieces: &["id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"],
            passed: &["id: 3\ndata: c\n\n"],
            last: Some(3),
        },
        Case {
            what: "an event without an id",
            after: Some(2),
            pieces: &["data: a\n\n"],
            passed: &["data: a\n\n"],
            last: Some(2),
        },
    ];
    for case in cases {
        let (passed, last) = split(case.after, case.pieces);
        assert_eq!(passed, case.passed, "{}", case.what);
        assert_eq!(last, case.last, "{}", case.what);
    }
}

#[test]
fn partial_event_is_discarded_before_resuming() {
    let mut events = EventSplitter::default();
    assert!(events.push(b"id: 1\ndata: a\n\nid: 2\nda").is_some());
    events.discard_partial();
    let passed = events.push(b"id: 2\ndata: b\n\n").expect("an event");
    assert_eq!(&passed[..], b"id: 2\ndata: b\n\n");
}

#[test]
fn event_is_open_from_its_first_byte_to_its_empty_line() {
    for stream in [
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
        ": comment\n\n\n",
    ] {
        for cut in 0..=stream.len() {
            let mut events = EventSplitter::default();
            events.push(&stream.as_bytes()[..cut]);
            let ends = ["\n\n", "\r\r"];
            let is_between = cut == 0 || ends.iter().any(|end| stream[..cut].ends_with(end));
            assert_eq!(
                events.is_inside_event(),
                !is_between,
                "{:?}",
                &stream[..cut]
            );
        }
    }
}

#[test]
fn comments_and_empty_lines_are_not_events() {
    struct Case {
        stream: &'static str,
        events: u64,
    }
    let cases = [
        Case {
            stream: "",
            events: 0,
        },
        Case {
            stream: "\n\r\n\r",
            events: 0,
        },
        Case {
            stream: ": ping\n\n: ping\r\r",
            events: 0,
        },
        Case {
            stream: ": ping\ndata\n\nid: 2\n\nid: 3\nda",
            events: 2,
        },
    ];
    for case in cases {
        let mut events = EventSplitter::default();
        events.push(case.stream.as_bytes());
        assert_eq!(events.events(), case.events, "{:?}", case.stream);
    }
}

/// Guards against searching an open event again with each piece of it.
#[test]
fn time_for_an_open_event_grows_with_its_length_only() {
    const PIECES: usize = 4_096;
    let mut events = EventSplitter::after(None);
    let begin = std::time::Instant::now();
    for _ in 0..PIECES {
        assert_eq!(events.push(&[b'x'; 1_024]), None);
    }
    assert_eq!(events.partial_bytes(), PIECES * 1_024);
    // Searched again each time, it is 8 GB.
    let time = begin.elapsed();
    assert!(time < std::time::Duration::from_secs(2), "{time:?}");
    assert!(events.push(b"\n\n").is_some());
}

/// Guards against line ends that are split between pieces.
#[test]
fn pieces_of_any_length_give_the_same_events() {
    let stream = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\rdata: c\r\rid: 4\n\n";
    for length in 1..=stream.len() {
        let mut events = EventSplitter::after(None);
        let pieces = stream.as_bytes().chunks(length);
        let passed: Vec<u8> = pieces
            .filter_map(|piece| events.push(piece))
            .flatten()
            .collect();
        let lines = String::from_utf8(passed).expect("text");
        let ids: Vec<&str> = lines
            .split(['\r', '\n'])
            .filter(|line| line.starts_with("id"))
            .collect();
        assert_eq!(ids, ["id: 1", "id: 2", "id: 3", "id: 4"], "{length}");
        assert_eq!(events.events(), 4, "{length}");
        assert!(!events.is_inside_event(), "{length}");
    }
}
