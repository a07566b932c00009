//! What a node believes of others, by the datagrams that it heard.

use super::{COUNTED_FOR, Peers};
use crate::{
    beat::{Beat, FORMAT, ToldLoad, decode},
    vouch::Echo,
};
use clock::Moment;
use place::{TargetLoad, Work};
use site::node::NodeRecord;
use std::time::Duration;

fn card(node: &str, life: u64) -> NodeRecord {
    NodeRecord {
        node: node.parse().expect("a name"),
        incarnation: life,
        domain: "d".parse().expect("a name"),
        caller_address: ([127, 0, 0, 1], 1).into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
    }
}

fn beat(node: &str, life: u64, number: u64, planner: Option<u64>) -> Beat {
    Beat {
        card: card(node, life),
        number,
        is_ready: true,
        is_stopping: false,
        planner,
        lost: Vec::new(),
        unlisted: Vec::new(),
        load: ToldLoad::Nothing,
        demand: Vec::new(),
        told: None,
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn datagrams_out_of_order_are_left_out_and_a_new_life_is_not() {
    struct Case {
        what: &'static str,
        life: u64,
        number: u64,
        is_news: bool,
    }
    let cases = [
        Case {
            what: "the first",
            life: 7,
            number: 5,
            is_news: true,
        },
        Case {
            what: "the same again",
            life: 7,
            number: 5,
            is_news: false,
        },
        Case {
            what: "an earlier one",
            life: 7,
            number: 4,
            is_news: false,
        },
        Case {
            what: "a later one",
            life: 7,
            number: 6,
            is_news: true,
        },
        Case {
            what: "another life",
            life: 8,
            number: 1,
            is_news: true,
        },
    ];
    let mut peers = Peers::default();
    for case in cases {
        let is_news = peers.hear(&beat("a", case.life, case.number, None), at(1_000));
        assert_eq!(is_news, case.is_news, "{}", case.what);
    }
}

#[test]
fn a_planner_counts_until_it_is_silent_or_says_that_it_stepped_down() {
    let mut peers = Peers::default();
    peers.hear(&beat("a", 1, 1, Some(4)), at(1_000));
    assert!(peers.has_planner(at(1_000)));
    assert!(!peers.has_planner(at(1_000) + peers.planner_patience()));
    // An older planner that does not know yet changes nothing.
    peers.hear(&beat("b", 1, 1, Some(3)), at(2_000));
    assert!(!peers.has_planner(at(2_000)));
    assert_eq!(peers.newest_token(), 4);
    peers.hear(&beat("a", 1, 2, Some(4)), at(2_000));
    assert!(peers.has_planner(at(2_000)));
    // Another node without office does not end it.
    peers.hear(&beat("b", 1, 2, None), at(2_100));
    assert!(peers.has_planner(at(2_100)));
    peers.hear(&beat("a", 1, 3, None), at(2_200));
    assert!(!peers.has_planner(at(2_200)));
    assert_eq!(peers.newest_token(), 4);
}

#[test]
fn only_nodes_that_are_heard_are_named_to_callers() {
    let mut peers = Peers::default();
    peers.learn(card("known", 1), at(0));
    peers.hear(&beat("ready", 1, 1, None), at(1_000));
    let mut stopping = beat("stopping", 1, 1, None);
    stopping.is_stopping = true;
    peers.hear(&stopping, at(1_000));
    let names = |peers: &Peers, now| -> Vec<String> {
        let usable = peers.usable(now).into_iter();
        usable.map(|(card, _)| card.node.to_string()).collect()
    };
    assert_eq!(names(&peers, at(1_100)), ["ready"]);
    assert!(names(&peers, at(1_000) + peers.patience()).is_empty());
}

/// Allowances are divided among nodes that were heard a while ago as well: one
/// that is silent for a moment may go on using its part.
#[test]
fn silent_nodes_count_for_a_while_when_allowances_are_divided() {
    let mut peers = Peers::default();
    peers.hear(&beat("a", 1, 1, None), at(1_000));
    assert_eq!(peers.count(), 2);
    peers.hear(&beat("b", 1, 1, None), at(1_000) + COUNTED_FOR);
    assert_eq!(peers.count(), 2, "a was silent for long, b is new");
    let later = at(1_000) + COUNTED_FOR + Duration::from_secs(1);
    peers.hear(&beat("a", 1, 2, None), later);
    assert_eq!(peers.count(), 3);
    assert_eq!(peers.names("own").len(), 3);
}

/// What was heard before a read counts, and of an earlier life nothing does.
#[test]
fn a_read_is_marked_with_what_was_heard_before_it() {
    let mut peers = Peers::default();
    peers.hear(&beat("a", 1, 7, None), at(1_000));
    peers.hear(&beat("b", 1, 3, None), at(1_000));
    let marks = peers.marks();
    peers.hear(&beat("a", 1, 8, None), at(1_100));
    peers.hear(&beat("b", 2, 1, None), at(1_100));
    peers.note_read(&marks, |echo| &mut echo.servers);
    let echo = |peers: &Peers, node: &str| peers.peers[&node.parse().expect("a name")].echo;
    let of_a = Echo {
        life: 1,
        servers: 7,
        ..Echo::default()
    };
    assert_eq!(echo(&peers, "a"), of_a);
    // The node compares the life, so that this says nothing to its new one.
    assert_eq!(echo(&peers, "b").life, 1);
    let marks = peers.marks();
    peers.note_read(&marks, |echo| &mut echo.operators);
    let of_b = Echo {
        life: 2,
        operators: 1,
        ..Echo::default()
    };
    assert_eq!(echo(&peers, "b"), of_b);
}

/// The sum that the planner tells holds what this node told it some datagrams ago.
#[test]
fn of_a_sum_only_the_work_of_others_counts() {
    let share = |server: &str, requests: u32, unread: u32| TargetLoad {
        server: server.parse().expect("a name"),
        work: Work {
            requests,
            prefill_tokens: unread,
            is_stalled: false,
        },
        last_received: None,
    };
    let mut peers = Peers::default();
    peers.note_told(5, vec![share("a", 3, 100)]);
    peers.note_told(6, vec![share("a", 4, 0), share("b", 1, 50)]);
    let sum = || vec![share("a", 10, 300), share("b", 2, 60), share("c", 7, 0)];
    let others = |number| peers.without_own(sum(), number);
    let of_five = vec![share("a", 7, 200), share("b", 2, 60), share("c", 7, 0)];
    assert_eq!(others(5), Some(of_five));
    let of_six = vec![share("a", 6, 300), share("b", 1, 10), share("c", 7, 0)];
    assert_eq!(others(6), Some(of_six));
    assert_eq!(others(4), None, "told too long ago");
}

#[test]
fn datagrams_of_another_format_or_cut_short_are_refused() {
    let whole = postcard::to_extend(&beat("a", 1, 7, Some(2)), vec![FORMAT]).expect("bytes");
    let (read, echo) = decode(&whole).expect("a datagram");
    assert_eq!((read.number, read.planner, echo), (7, Some(2), None));
    let mut longer = whole.clone();
    longer.extend(postcard::to_stdvec(&Echo::default()).expect("bytes"));
    let (_, echo) = decode(&longer).expect("a datagram");
    assert_eq!(echo, Some(Echo::default()));
    for end in 0..whole.len() {
        assert!(decode(&whole[..end]).is_err(), "{end} bytes");
    }
    let mut other = whole;
    other[0] = FORMAT + 1;
    assert!(decode(&other).is_err());
}
