//! State of other nodes after their heartbeats.

use super::{ALLOWANCE_TIMEOUT, Peers};
use crate::{
    feed_relay::{Ack, FeedUpdate},
    heartbeat::{FORMAT, Heartbeat, LoadReport, Received, decode},
    level::Extension,
};
use clock::Moment;
use place::{TargetLoad, Work};
use site::{Server, fixture, node::NodeRecord, server::Change};
use std::time::Duration;

/// The longest time for which the directory names a silent node.
const MAX_SILENCE: Duration = Duration::from_millis(7_500);

fn record(node: &str, incarnation: u64) -> NodeRecord {
    NodeRecord {
        node: node.parse().expect("a name"),
        incarnation,
        domain: "d".parse().expect("a name"),
        caller_address: ([127, 0, 0, 1], 1).into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
    }
}

fn heartbeat(node: &str, incarnation: u64, sequence: u64, planner_token: Option<u64>) -> Heartbeat {
    Heartbeat {
        record: record(node, incarnation),
        sequence,
        is_ready: true,
        is_stopping: false,
        is_isolated: false,
        planner_token,
        dead_engines: Vec::new(),
        unlisted: Vec::new(),
        load: LoadReport::Absent,
        demand: Vec::new(),
        feed_update: None,
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn stale_heartbeats_are_rejected_and_new_incarnations_accepted() {
    struct Case {
        what: &'static str,
        incarnation: u64,
        sequence: u64,
        is_accepted: bool,
    }
    let cases = [
        Case {
            what: "the first heartbeat",
            incarnation: 7,
            sequence: 5,
            is_accepted: true,
        },
        Case {
            what: "a duplicate",
            incarnation: 7,
            sequence: 5,
            is_accepted: false,
        },
        Case {
            what: "an earlier heartbeat",
            incarnation: 7,
            sequence: 4,
            is_accepted: false,
        },
        Case {
            what: "a later heartbeat",
            incarnation: 7,
            sequence: 6,
            is_accepted: true,
        },
        Case {
            what: "another incarnation",
            incarnation: 8,
            sequence: 1,
            is_accepted: true,
        },
    ];
    let mut peers = Peers::default();
    for case in cases {
        let is_accepted = peers.receive(
            &heartbeat("a", case.incarnation, case.sequence, None),
            at(1_000),
        );
        assert_eq!(is_accepted, case.is_accepted, "{}", case.what);
    }
}

#[test]
fn planner_counts_until_timeout_or_step_down() {
    let mut peers = Peers::default();
    peers.receive(&heartbeat("a", 1, 1, Some(4)), at(1_000));
    assert!(peers.has_planner(at(1_000)));
    assert!(!peers.has_planner(at(1_000) + peers.planner_timeout()));
    // A heartbeat of a superseded planner, with a lower token, changes nothing.
    peers.receive(&heartbeat("b", 1, 1, Some(3)), at(2_000));
    assert!(!peers.has_planner(at(2_000)));
    assert_eq!(peers.highest_token(), 4);
    peers.receive(&heartbeat("a", 1, 2, Some(4)), at(2_000));
    assert!(peers.has_planner(at(2_000)));
    // A heartbeat without a token from another node does not end the planner's term.
    peers.receive(&heartbeat("b", 1, 2, None), at(2_100));
    assert!(peers.has_planner(at(2_100)));
    peers.receive(&heartbeat("a", 1, 3, None), at(2_200));
    assert!(!peers.has_planner(at(2_200)));
    assert_eq!(peers.highest_token(), 4);
}

#[test]
fn unreachable_and_stopping_nodes_are_not_available() {
    let mut peers = Peers::default();
    peers.add_record(record("known", 1), at(0));
    peers.receive(&heartbeat("ready", 1, 1, None), at(1_000));
    let mut stopping = heartbeat("stopping", 1, 1, None);
    stopping.is_stopping = true;
    peers.receive(&stopping, at(1_000));
    let names = |peers: &Peers, now| -> Vec<String> {
        let available = peers.available_nodes(MAX_SILENCE, now).into_iter();
        available
            .map(|(record, _)| record.node.to_string())
            .collect()
    };
    assert_eq!(names(&peers, at(1_100)), ["ready"]);
    assert!(names(&peers, at(1_000) + peers.silence_timeout()).is_empty());
}

/// Guards against a directory that named a node for 11.8 s after its end, where 8 s are
/// allowed: with 294 other nodes, heartbeats to all come every 2.94 s, and four of them must
/// be missed until a node counts as unreachable.
#[test]
fn silent_node_leaves_the_directory_in_time_at_any_number_of_nodes() {
    for others in [1, 8, 82, 294, 339] {
        let mut peers = Peers::default();
        for n in 0..others {
            peers.receive(&heartbeat(&format!("n{n}"), 1, 1, None), at(1_000));
        }
        let named = |now| peers.available_nodes(MAX_SILENCE, now).len();
        // One heartbeat may be lost.
        let interval = peers.broadcast_interval();
        assert_eq!(named(at(1_000) + interval * 2), others, "{others} others");
        assert_eq!(named(at(1_000) + MAX_SILENCE), 0, "{others} others");
    }
}

/// Allowances are also divided among nodes that recently became unreachable, since
/// such a node may still be using its share.
#[test]
fn unreachable_node_keeps_its_allowance_until_timeout() {
    let mut peers = Peers::default();
    peers.receive(&heartbeat("a", 1, 1, None), at(1_000));
    assert_eq!(peers.node_count(), 2);
    peers.receive(&heartbeat("b", 1, 1, None), at(1_000) + ALLOWANCE_TIMEOUT);
    assert_eq!(
        peers.node_count(),
        2,
        "a was unreachable for long, b is new"
    );
    let later = at(1_000) + ALLOWANCE_TIMEOUT + Duration::from_secs(1);
    peers.receive(&heartbeat("a", 1, 2, None), later);
    assert_eq!(peers.node_count(), 3);
    assert_eq!(peers.node_names("own").len(), 3);
}

/// An acknowledgment covers heartbeats from before the read, of one incarnation.
#[test]
fn read_acknowledges_heartbeats_received_before_it() {
    let mut peers = Peers::default();
    peers.receive(&heartbeat("a", 1, 7, None), at(1_000));
    peers.receive(&heartbeat("b", 1, 3, None), at(1_000));
    let received = peers.received_sequences();
    peers.receive(&heartbeat("a", 1, 8, None), at(1_100));
    peers.receive(&heartbeat("b", 2, 1, None), at(1_100));
    peers.record_read(&received, |ack| &mut ack.servers);
    let ack = |peers: &Peers, node: &str| peers.peers[&node.parse().expect("a name")].ack;
    let of_a = Ack {
        incarnation: 1,
        servers: 7,
        ..Ack::default()
    };
    assert_eq!(ack(&peers, "a"), of_a);
    // The node compares the incarnation, so its new process ignores this one.
    assert_eq!(ack(&peers, "b").incarnation, 1);
    let received = peers.received_sequences();
    peers.record_read(&received, |ack| &mut ack.operators);
    let of_b = Ack {
        incarnation: 2,
        operators: 1,
        ..Ack::default()
    };
    assert_eq!(ack(&peers, "b"), of_b);
}

/// The planner's total includes this node's load as of an earlier heartbeat.
#[test]
fn own_load_is_subtracted_from_the_total() {
    let share = |server: &str, requests: u32, prefill_tokens: u32| TargetLoad {
        server: server.parse().expect("a name"),
        work: Work {
            requests,
            prefill_tokens,
            is_stalled: false,
        },
        last_received: None,
    };
    let mut peers = Peers::default();
    peers.record_reported_load(5, vec![share("a", 3, 100)]);
    peers.record_reported_load(6, vec![share("a", 4, 0), share("b", 1, 50)]);
    let sum = || vec![share("a", 10, 300), share("b", 2, 60), share("c", 7, 0)];
    let others = |sequence| peers.subtract_own(sum(), sequence);
    let of_five = vec![share("a", 7, 200), share("b", 2, 60), share("c", 7, 0)];
    assert_eq!(others(5), Some(of_five));
    let of_six = vec![share("a", 6, 300), share("b", 1, 10), share("c", 7, 0)];
    assert_eq!(others(6), Some(of_six));
    assert_eq!(others(4), None, "the report is no longer stored");
}

#[test]
fn unknown_format_or_truncated_heartbeat_is_rejected() {
    let whole = postcard::to_extend(&heartbeat("a", 1, 7, Some(2)), vec![FORMAT]).expect("bytes");
    let Received {
        heartbeat: read,
        ack,
        ..
    } = decode(&whole).expect("a datagram");
    assert_eq!((read.sequence, read.planner_token, ack), (7, Some(2), None));
    let mut longer = whole.clone();
    longer.extend(postcard::to_stdvec(&Ack::default()).expect("bytes"));
    let ack = decode(&longer).expect("a datagram").ack;
    assert_eq!(ack, Some(Ack::default()));
    // The heartbeat before an extension that is not understood counts.
    longer.push(0xff);
    let received = decode(&longer).expect("a datagram");
    assert!(received.extension.is_none() && received.has_malformed_extension);
    assert_eq!(received.heartbeat.sequence, 7);
    for end in 0..whole.len() {
        assert!(decode(&whole[..end]).is_err(), "{end} bytes");
    }
    let mut other = whole;
    other[0] = FORMAT + 1;
    assert!(decode(&other).is_err());
}

/// Guards against nodes of successive versions that do not understand each other.
#[test]
fn numbers_of_relayed_entries_follow_what_earlier_versions_read() {
    let entry = Server {
        sequence: Some(41),
        ..fixture::server("a")
    };
    let mut sent = heartbeat("n", 1, 7, Some(2));
    let update = FeedUpdate {
        operators: 1,
        from: 1,
        to: 2,
        changes: vec![(2, Change::Updated(Box::new(entry)))],
    };
    let sequences = update.sequences();
    sent.feed_update = Some(update);
    let encoded = |parts: &[Vec<u8>]| [&[FORMAT][..], &parts.concat()].concat();
    let bytes = |result: postcard::Result<Vec<u8>>| result.expect("an encoding");
    let mut parts = vec![
        bytes(postcard::to_stdvec(&sent)),
        bytes(postcard::to_stdvec(&Ack::default())),
        bytes(postcard::to_stdvec(&Extension::default())),
    ];
    let number = |bytes: &[u8]| {
        let update = decode(bytes).expect("a datagram").heartbeat.feed_update?;
        update.changes[0].1.entry()?.sequence
    };
    assert_eq!(number(&encoded(&parts)), None, "of an earlier version");
    let numbers = bytes(postcard::to_stdvec(&sequences));
    let extension = [parts[2].clone(), numbers.clone()].concat();
    let read: Extension = postcard::from_bytes(&extension).expect("as earlier versions decode it");
    assert_eq!(read, Extension::default());
    parts.push(numbers);
    let present = encoded(&parts);
    assert_eq!(number(&present), Some(41));
    let received = decode(&present).expect("a datagram");
    assert!(received.extension.is_none() && !received.has_malformed_extension);
}
