//! Delivery in any order, repetition, loss, expiry, and snapshots.

use crate::{
    fixture::{assign, lists, lists_text, record, take_out, writer},
    stream::{Spec, Stream, record_in, specs},
};
use clock::WallTime;
use name::{Offset, Sequence};
use proptest::prelude::*;
use state::{
    Change, Entry, Event, Follower, Limits, Outcome, Page, Snapshot, State, Uncovered, encode,
};
use std::{sync::Arc, time::Duration};

fn follower() -> Follower {
    Follower::new(writer(1), Limits::default())
}

/// Returns the page of a log that keeps `first` and later records.
fn page(stream: &Stream, first: Offset, from: Offset, max: usize) -> Page {
    let kept = stream
        .entries
        .iter()
        .filter(|e| e.offset >= first.max(from));
    Page {
        first,
        tail: stream.tail(),
        entries: kept.take(max).cloned().collect(),
    }
}

/// Reads until the follower reaches the tail; gives up after 200 reads.
fn catch_up(node: &mut Follower, stream: &Stream, first: Offset) -> Vec<Event> {
    let mut events = Vec::new();
    for _ in 0..200 {
        let next_read = node.next_read();
        events.extend(node.offer_page(page(stream, first, next_read, 7)));
        if node.next_read() >= stream.tail() && node.next_read() == next_read {
            break;
        }
    }
    events
}

/// Checks that the state equals a fold from the start of the stream and has not
/// gone back.
fn check(node: &Follower, before: &State, stream: &Stream) -> Result<(), TestCaseError> {
    let state = node.state();
    let at = usize::try_from(state.offset.0).expect("the offset fits in usize");
    prop_assert_eq!(state, &stream.states[at]);
    prop_assert_eq!(state.lists(), stream.states[at].lists());
    prop_assert!(state.offset >= before.offset);
    prop_assert!(state.lists_revision >= before.lists_revision);
    prop_assert!(state.epoch.revision >= before.epoch.revision);
    prop_assert!(state.covered >= before.covered);
    for (scope, (offset, _)) in &before.operations {
        prop_assert!(
            state
                .operations
                .get(scope)
                .is_some_and(|(now, _)| now >= offset)
        );
    }
    Ok(())
}

/// One delivery step to one of three nodes: its kind, the node and two
/// parameters.
type Step = (u8, usize, usize, usize);

fn deliver(nodes: &mut [Follower], stream: &Stream, first: &mut Offset, step: Step) {
    let (kind, to, a, b) = step;
    let to = to % nodes.len();
    let len = stream.entries.len();
    match kind {
        0 | 1 => {
            let page = page(stream, *first, nodes[to].next_read(), 1 + b % 8);
            nodes[to].offer_page(page);
        }
        2 => {
            nodes[to].offer(stream.entries[a % len].clone());
        }
        3 => {
            let from = a % nodes.len();
            if let Some(relay) = nodes[from].relay_after(nodes[to].state().offset, b * 40) {
                nodes[to].offer_relay(relay);
            }
        }
        4 => {
            let old = Snapshot {
                covers: Offset((a % (len + 1)) as u64),
                state: State::clone(&stream.states[a % (len + 1)]),
            };
            nodes[to].offer_snapshot(old);
        }
        5 => {
            let last = Offset((a % (len + 1)) as u64 + 1);
            *first = (*first).max(last);
        }
        6 => {
            nodes[to].offer_page(page(stream, *first, Offset(a as u64 % 60), b));
        }
        _ => nodes[to] = follower(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn any_delivery_order_yields_same_state(
        specs in specs(),
        steps in prop::collection::vec((0..8_u8, 0..3_usize, 0..64_usize, 0..8_usize), 0..80),
        history_bytes in 0..4_000_usize,
    ) {
        let stream = Stream::new(&specs);
        let limits = Limits { history_bytes, pending_bytes: history_bytes };
        let mut nodes = vec![Follower::new(writer(1), limits); 3];
        let mut first = Offset(1);
        for step in steps {
            let before: Vec<Arc<State>> = nodes.iter().map(|n| Arc::clone(n.state())).collect();
            deliver(&mut nodes, &stream, &mut first, step);
            for (node, before) in nodes.iter().zip(&before) {
                let before = if step.0 == 7 { Arc::default() } else { Arc::clone(before) };
                check(node, &before, &stream)?;
            }
        }
        for node in &mut nodes {
            catch_up(node, &stream, Offset(1));
            prop_assert!(node.is_ready());
            prop_assert_eq!(node.state(), stream.states.last().expect("the stream has an initial state"));
        }
    }

    /// A node that starts after records have expired is ready only if a
    /// snapshot covers the expired ones; its state then equals a fold from the
    /// start.
    #[test]
    fn snapshot_replaces_expired_records(specs in specs(), cut in 1..50_usize) {
        let stream = Stream::new(&specs);
        let first = Offset((cut % stream.entries.len()) as u64 + 1);
        let is_covered = stream.entries.iter().filter(|e| e.offset >= first).any(|entry| {
            matches!(record_in(entry).map(|r| r.change), Some(Change::Snapshot { snapshot })
                if snapshot.covers.next() >= first && snapshot.covers < entry.offset)
        });
        let mut node = follower();
        let events = catch_up(&mut node, &stream, first);
        check(&node, &State::default(), &stream)?;
        prop_assert_eq!(node.is_ready(), is_covered || first == Offset(1));
        if node.is_ready() {
            prop_assert_eq!(node.state(), stream.states.last().expect("the stream has an initial state"));
        }
        let installed = events.iter().any(|e| matches!(e, Event::SnapshotInstalled { .. }));
        prop_assert_eq!(installed, is_covered && first > Offset(1));
    }

    #[test]
    fn arbitrary_data_never_panics(data in prop::collection::vec(any::<String>(), 0..20)) {
        let mut node = follower();
        for (at, data) in data.iter().enumerate() {
            let offset = Offset(at as u64 + 1);
            let entry = Entry { offset, at: WallTime(0), data: data.as_str().into() };
            node.offer(entry);
            prop_assert_eq!(node.state().offset, offset);
        }
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(state::decode(&bytes).is_err());
    }

    /// Every node treats a corrupted record alike, whether it still decodes or
    /// not.
    #[test]
    fn damaged_record_never_panics(
        specs in specs(), at in any::<prop::sample::Index>(), with in "[ -~]",
    ) {
        let stream = Stream::new(&specs);
        let mut damaged = Stream::new(&[]);
        for entry in &stream.entries {
            let mut data = entry.data.to_string();
            let place = at.index(data.len());
            data.replace_range(place..=place, &with);
            damaged.push(data.into());
        }
        let mut node = follower();
        catch_up(&mut node, &damaged, Offset(1));
        prop_assert_eq!(node.state(), damaged.states.last().expect("the stream has an initial state"));
    }
}

/// Returns a stream of two records, a snapshot that covers one, and one more
/// record.
fn stream_with_snapshot() -> Stream {
    let mut stream = Stream::new(&[]);
    let mut push = |by, sequence, change| {
        let new_record = record(by, sequence, change);
        stream.push(encode(&new_record).expect("the record fits the size limit"));
        State::clone(
            stream
                .states
                .last()
                .expect("the stream has an initial state"),
        )
    };
    let state = push(1, 1, lists(0, &lists_text(1)));
    push(2, 1, assign(0, "r", &["a"]));
    let snapshot = Snapshot {
        covers: state.offset,
        state,
    };
    push(
        2,
        2,
        Change::Snapshot {
            snapshot: Box::new(snapshot),
        },
    );
    push(1, 2, take_out(0, "teifi"));
    stream
}

#[test]
fn records_after_snapshot_offset_are_folded() {
    let stream = stream_with_snapshot();
    // The earliest offset kept, and whether a new node becomes ready.
    for (first, is_ready) in [(1, true), (2, true), (3, false), (4, false)] {
        let mut node = follower();
        catch_up(&mut node, &stream, Offset(first));
        assert_eq!(node.is_ready(), is_ready, "kept from {first}");
        if is_ready {
            assert_eq!(node.state(), &stream.states[4], "kept from {first}");
        } else {
            assert_eq!(node.relay_after(Offset::ZERO, 1_000), None);
        }
    }
}

#[test]
fn lagging_node_is_not_ready_until_snapshot_installed() {
    let stream = stream_with_snapshot();
    let mut node = follower();
    node.offer_page(Page {
        tail: Offset(2),
        ..page(&stream, Offset(1), Offset(1), 1)
    });
    assert!(node.is_ready());
    node.offer_page(page(&stream, Offset(4), Offset(2), 9));
    assert!(!node.is_ready());
    assert_eq!(node.next_read(), Offset(5));
    let peer = Snapshot {
        covers: Offset(3),
        state: State::clone(&stream.states[3]),
    };
    let events = node.offer_snapshot(peer);
    assert_eq!(
        events[0],
        Event::SnapshotInstalled {
            offset: Offset(3),
            own_sequence: Some(Sequence(1))
        }
    );
    assert!(node.is_ready());
    assert_eq!(node.state(), &stream.states[4]);
}

#[test]
fn own_records_are_folded_in_order() {
    let stream = stream_with_snapshot();
    let mut node = follower();
    let events: Vec<Event> = stream
        .entries
        .iter()
        .rev()
        .flat_map(|e| node.offer(e.clone()))
        .collect();
    let own: Vec<(u64, String)> = events
        .iter()
        .filter_map(|event| match event {
            Event::Folded {
                offset,
                outcome,
                is_own: true,
                ..
            } => Some((offset.0, outcome.to_string())),
            _ => None,
        })
        .collect();
    assert_eq!(own, [(1, "accepted".into()), (4, "accepted".into())]);
    assert_eq!(events.len(), 4);
    assert!(
        stream
            .entries
            .iter()
            .all(|e| node.offer(e.clone()).is_empty())
    );
}

#[test]
fn peer_relays_restore_a_node_without_the_log() {
    let specs: Vec<Spec> = (0..40).map(|n| (n % 8, n % 4, n % 3, n % 2)).collect();
    let stream = Stream::new(&specs);
    for history_bytes in [0, 500, 1 << 20] {
        let mut peer = Follower::new(
            writer(2),
            Limits {
                history_bytes,
                ..Limits::default()
            },
        );
        catch_up(&mut peer, &stream, Offset(1));
        let mut node = follower();
        let mut rounds = 0;
        while node.state().offset < peer.state().offset && rounds < 100 {
            let relay = peer
                .relay_after(node.state().offset, 300)
                .expect("the peer is ready");
            assert_eq!(
                relay.snapshot.is_some(),
                history_bytes < 1 << 20 && rounds == 0
            );
            node.offer_relay(relay);
            rounds += 1;
            assert_eq!(node.is_ready(), node.state().offset == peer.state().offset);
        }
        assert_eq!(node.state(), peer.state());
        assert_eq!(
            node.relay_after(peer.state().offset, 0)
                .map(|r| r.entries.len()),
            Some(0)
        );
    }
}

#[test]
fn out_of_order_records_are_buffered_within_limit() {
    let specs: Vec<Spec> = (0..40).map(|n| (n % 8, n % 4, n % 3, n % 2)).collect();
    let stream = Stream::new(&specs);
    // The limit, and the offset reached once the first record has arrived last.
    for (pending_bytes, reached) in [(0, 1), (1 << 20, 40)] {
        let limits = Limits {
            pending_bytes,
            ..Limits::default()
        };
        let mut node = Follower::new(writer(1), limits);
        for entry in stream.entries.iter().rev() {
            node.offer(entry.clone());
        }
        assert_eq!(node.state().offset, Offset(reached));
        catch_up(&mut node, &stream, Offset(1));
        assert_eq!(node.state(), &stream.states[40]);
    }
    let limits = Limits {
        pending_bytes: 640,
        ..Limits::default()
    };
    let mut node = Follower::new(writer(1), limits);
    for offset in (2..=100).rev() {
        node.offer(Entry {
            offset: Offset(offset),
            at: WallTime(0),
            data: "".into(),
        });
    }
    node.offer(Entry {
        offset: Offset(1),
        at: WallTime(0),
        data: "".into(),
    });
    assert_eq!(node.state().offset, Offset(11));
}

/// Guards against a node moving its state back when the log restarts without
/// records that were already folded.
#[test]
fn lost_log_records_are_detected() {
    let stream = stream_with_snapshot();
    let mut node = follower();
    catch_up(&mut node, &stream, Offset(1));
    assert!(!node.is_ahead_of_log());
    let mut other = Stream::new(&[]);
    other.push("x".into());
    assert!(
        node.offer_page(page(&other, Offset(1), Offset(1), 9))
            .is_empty()
    );
    assert!(node.is_ahead_of_log());
    assert_eq!(node.state(), &stream.states[4]);
    node.offer_page(page(&stream, Offset(1), node.next_read(), 9));
    assert!(!node.is_ahead_of_log());
}

#[test]
fn new_node_is_ready_after_first_page() {
    let mut node = follower();
    assert!(!node.is_ready());
    assert_eq!(node.relay_after(Offset::ZERO, 100), None);
    node.offer_page(page(&Stream::new(&[]), Offset(1), Offset(1), 9));
    assert!(node.is_ready());
    let empty = follower().offer_page(page(&Stream::new(&[]), Offset(7), Offset(1), 9));
    assert!(empty.is_empty());
}

#[test]
fn uncovered_records_are_counted_from_the_last_snapshot() {
    let stream = stream_with_snapshot();
    let mut node = follower();
    catch_up(&mut node, &stream, Offset(1));
    let oldest = Some(WallTime(2_000));
    assert_eq!(node.uncovered(), Uncovered { records: 3, oldest });
    let soon = Duration::from_secs(4);
    assert!(!node.is_snapshot_due(soon, 0, WallTime(2_999)));
    assert!(node.is_snapshot_due(soon, 0, WallTime(3_000)));
    let snapshot = node.snapshot();
    assert_eq!(
        (snapshot.covers, &snapshot.state),
        (Offset(4), &**node.state())
    );
}

#[test]
fn conflict_reports_current_revision() {
    let mut node = follower();
    let mut offer = |offset, by, change| {
        let data = encode(&record(by, 1, change)).expect("the record fits the size limit");
        node.offer(Entry {
            offset: Offset(offset),
            at: WallTime(0),
            data,
        })
        .pop()
    };
    offer(1, 2, lists(0, &lists_text(1)));
    let Some(Event::Folded {
        outcome, is_own, ..
    }) = offer(2, 1, lists(0, &lists_text(2)))
    else {
        panic!("the record was not folded");
    };
    assert!(is_own);
    assert_eq!(outcome.to_string(), "rejected: revision 1 came first");
    assert!(matches!(outcome, Outcome::Rejected(_)));
}
