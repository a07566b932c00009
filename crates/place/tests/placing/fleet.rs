//! Which servers can be sent to, and what is in progress there.

use crate::engine;
use place::Fleet;
use site::{
    Config, Server,
    config::Spec,
    fixture::{self, id},
    server::{self, Change, Member, Phase},
};
use std::sync::Arc;

fn config() -> Config {
    let spec = Spec {
        cold_per_s: 36.0,
        max_connections: 400,
        engine: Some(engine()),
    };
    Config {
        services: [("llm".parse().expect("a name"), Arc::new(spec))].into(),
        ..Config::default()
    }
}

/// A member of the replica `r`.
fn member(name: &str, rank: usize, phase: Phase) -> Server {
    Server {
        engine: server::Engine {
            fabric: None,
            staged: Vec::new(),
            models: vec!["m".parse().expect("a name")],
            member: Some(Member {
                replica: "r".parse().expect("a name"),
                generation: 1,
                rank,
                phase,
            }),
        },
        ..fixture::server(name)
    }
}

fn fleet(servers: impl IntoIterator<Item = Server>) -> Fleet {
    let mut fleet = Fleet::default();
    for server in servers {
        fleet.apply(Change::Is(Box::new(server)));
    }
    fleet
}

/// Lets the second member say that it leaves.
fn leave(fleet: &mut Fleet) {
    let leaving = Server {
        is_leaving: true,
        ..member("b", 1, Phase::Ready)
    };
    fleet.apply(Change::Is(Box::new(leaving)));
}

#[test]
fn a_replica_takes_requests_only_while_whole_and_open() {
    struct Case {
        what: &'static str,
        change: fn(&mut Fleet),
        targets: usize,
    }
    let pair = || [member("a", 0, Phase::Open), member("b", 1, Phase::Ready)];
    let cases = [
        Case {
            what: "whole",
            change: |_| {},
            targets: 1,
        },
        Case {
            what: "a member's entry is gone, and it may be cut off from the store only",
            change: |f| f.apply(Change::Gone(id("b"))),
            targets: 1,
        },
        Case {
            what: "a member's entry is gone, and it answers",
            change: |f| {
                f.apply(Change::Gone(id("b")));
                f.set_unlisted([(id("b"), 1)]);
            },
            targets: 1,
        },
        Case {
            what: "a member's entry is gone, and it does not answer",
            change: |f| {
                f.apply(Change::Gone(id("b")));
                f.set_unlisted([]);
            },
            targets: 0,
        },
        Case {
            what: "a member's entry is gone, and it answers in another life",
            change: |f| {
                f.apply(Change::Gone(id("b")));
                f.set_unlisted([(id("b"), 2)]);
            },
            targets: 0,
        },
        Case {
            what: "a member's entry is gone, and it was found dead",
            change: |f| {
                f.apply(Change::Gone(id("b")));
                f.set_lost([(id("b"), 1)]);
            },
            targets: 0,
        },
        Case {
            what: "the entry of a member that had said that it leaves is gone",
            change: |f| {
                leave(f);
                f.apply(Change::Gone(id("b")));
            },
            targets: 0,
        },
        Case {
            what: "the head's entry is gone",
            change: |f| f.apply(Change::Gone(id("a"))),
            targets: 0,
        },
        Case {
            what: "a member was found dead",
            change: |f| {
                f.set_lost([(id("b"), 1)]);
            },
            targets: 0,
        },
        Case {
            what: "an earlier life of a member was found dead",
            change: |f| {
                f.set_lost([(id("b"), 0)]);
            },
            targets: 1,
        },
        Case {
            what: "a member leaves",
            change: leave,
            targets: 0,
        },
        Case {
            what: "the head closes",
            change: |f| f.apply(Change::Is(Box::new(member("a", 0, Phase::Closing)))),
            targets: 0,
        },
        Case {
            what: "the head's domain is taken out",
            change: |f| f.take_out("d".parse().expect("a name"), true),
            targets: 0,
        },
        Case {
            what: "an entry of an earlier life comes late",
            change: |f| {
                let mut old = member("a", 0, Phase::Broken);
                old.born = 0;
                f.apply(Change::Is(Box::new(old)));
            },
            targets: 1,
        },
    ];
    for case in cases {
        let mut fleet = fleet(pair());
        (case.change)(&mut fleet);
        assert_eq!(
            fleet.targets(&config()).len(),
            case.targets,
            "{}",
            case.what
        );
    }
}

#[test]
fn what_is_in_progress_goes_on_while_members_only_leave() {
    struct Case {
        what: &'static str,
        change: fn(&mut Fleet),
        is_doomed: bool,
    }
    let cases = [
        Case {
            what: "a member leaves",
            change: leave,
            is_doomed: false,
        },
        Case {
            what: "the head closes",
            change: |f| f.apply(Change::Is(Box::new(member("a", 0, Phase::Closing)))),
            is_doomed: false,
        },
        Case {
            what: "a member's entry is gone, as that of one that was replaced",
            change: |f| f.apply(Change::Gone(id("b"))),
            is_doomed: false,
        },
        Case {
            what: "the head's entry is gone",
            change: |f| f.apply(Change::Gone(id("a"))),
            is_doomed: false,
        },
        Case {
            what: "a member was found dead",
            change: |f| {
                f.set_lost([(id("b"), 1)]);
            },
            is_doomed: true,
        },
        Case {
            what: "a member was found dead and its entry is gone",
            change: |f| {
                f.set_lost([(id("b"), 1)]);
                f.apply(Change::Gone(id("b")));
            },
            is_doomed: true,
        },
        Case {
            what: "the head is a member of another replica",
            change: |f| {
                let mut other = member("a", 0, Phase::Joining);
                other
                    .engine
                    .member
                    .as_mut()
                    .expect("a membership")
                    .generation = 2;
                f.apply(Change::Is(Box::new(other)));
            },
            is_doomed: true,
        },
        Case {
            what: "the head began another life",
            change: |f| {
                let mut other = member("a", 0, Phase::Open);
                other.born = 2;
                f.apply(Change::Is(Box::new(other)));
            },
            is_doomed: true,
        },
    ];
    for case in cases {
        let mut fleet = fleet([member("a", 0, Phase::Open), member("b", 1, Phase::Ready)]);
        let target = fleet.targets(&config()).remove(0);
        (case.change)(&mut fleet);
        assert_eq!(fleet.is_doomed(&target), case.is_doomed, "{}", case.what);
    }
}
