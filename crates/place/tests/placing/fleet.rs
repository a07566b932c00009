//! Which servers can be sent to, and what is in progress there.

use crate::engine;
use place::Fleet;
use site::{
    Config, Server,
    config::ServiceSpec,
    fixture::{self, id},
    server::{self, Change, Membership, Phase},
};
use std::sync::Arc;

fn config() -> Config {
    let spec = ServiceSpec {
        cold_requests_per_s: 36.0,
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
        engine: server::EngineState {
            fabric: None,
            staged_models: Vec::new(),
            loaded_models: vec!["m".parse().expect("a name")],
            membership: Some(Membership {
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
        fleet.apply(Change::Updated(Box::new(server)));
    }
    fleet
}

/// Lets the second member say that it leaves.
fn leave(fleet: &mut Fleet) {
    let leaving = Server {
        is_leaving: true,
        ..member("b", 1, Phase::Ready)
    };
    fleet.apply(Change::Updated(Box::new(leaving)));
}

#[test]
fn replica_is_target_only_while_complete_and_open() {
    struct Case {
        name: &'static str,
        change: fn(&mut Fleet),
        targets: usize,
    }
    let pair = || [member("a", 0, Phase::Open), member("b", 1, Phase::Ready)];
    let cases = [
        Case {
            name: "whole",
            change: |_| {},
            targets: 1,
        },
        Case {
            name: "a member's entry is gone, and it may be cut off from the store only",
            change: |f| f.apply(Change::Removed(id("b"))),
            targets: 1,
        },
        Case {
            name: "a member's entry is gone, and it answers",
            change: |f| {
                f.apply(Change::Removed(id("b")));
                f.set_unlisted([(id("b"), 1)]);
            },
            targets: 1,
        },
        Case {
            name: "a member's entry is gone, and it does not answer",
            change: |f| {
                f.apply(Change::Removed(id("b")));
                f.set_unlisted([]);
            },
            targets: 0,
        },
        Case {
            name: "a member's entry is gone, and it answers in another life",
            change: |f| {
                f.apply(Change::Removed(id("b")));
                f.set_unlisted([(id("b"), 2)]);
            },
            targets: 0,
        },
        Case {
            name: "a member's entry is gone, and it was found dead",
            change: |f| {
                f.apply(Change::Removed(id("b")));
                f.set_dead([(id("b"), 1)]);
            },
            targets: 0,
        },
        Case {
            name: "the entry of a member that had said that it leaves is gone",
            change: |f| {
                leave(f);
                f.apply(Change::Removed(id("b")));
            },
            targets: 0,
        },
        Case {
            name: "the head's entry is gone",
            change: |f| f.apply(Change::Removed(id("a"))),
            targets: 0,
        },
        Case {
            name: "a member was found dead",
            change: |f| {
                f.set_dead([(id("b"), 1)]);
            },
            targets: 0,
        },
        Case {
            name: "an earlier life of a member was found dead",
            change: |f| {
                f.set_dead([(id("b"), 0)]);
            },
            targets: 1,
        },
        Case {
            name: "a member leaves",
            change: leave,
            targets: 0,
        },
        Case {
            name: "the head closes",
            change: |f| f.apply(Change::Updated(Box::new(member("a", 0, Phase::Closing)))),
            targets: 0,
        },
        Case {
            name: "the head's domain is taken out",
            change: |f| f.set_taken_out("d".parse().expect("a name"), true),
            targets: 0,
        },
        Case {
            name: "an entry of an earlier life comes late",
            change: |f| {
                let mut old = member("a", 0, Phase::Broken);
                old.incarnation = 0;
                f.apply(Change::Updated(Box::new(old)));
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
            case.name
        );
    }
}

#[test]
fn leaving_members_do_not_fail_replica() {
    struct Case {
        name: &'static str,
        change: fn(&mut Fleet),
        is_doomed: bool,
    }
    let cases = [
        Case {
            name: "a member leaves",
            change: leave,
            is_doomed: false,
        },
        Case {
            name: "the head closes",
            change: |f| f.apply(Change::Updated(Box::new(member("a", 0, Phase::Closing)))),
            is_doomed: false,
        },
        Case {
            name: "a member's entry is gone, as that of one that was replaced",
            change: |f| f.apply(Change::Removed(id("b"))),
            is_doomed: false,
        },
        Case {
            name: "the head's entry is gone",
            change: |f| f.apply(Change::Removed(id("a"))),
            is_doomed: false,
        },
        Case {
            name: "a member was found dead",
            change: |f| {
                f.set_dead([(id("b"), 1)]);
            },
            is_doomed: true,
        },
        Case {
            name: "a member was found dead and its entry is gone",
            change: |f| {
                f.set_dead([(id("b"), 1)]);
                f.apply(Change::Removed(id("b")));
            },
            is_doomed: true,
        },
        Case {
            name: "the head is a member of another replica",
            change: |f| {
                let mut other = member("a", 0, Phase::Joining);
                other
                    .engine
                    .membership
                    .as_mut()
                    .expect("a membership")
                    .generation = 2;
                f.apply(Change::Updated(Box::new(other)));
            },
            is_doomed: true,
        },
        Case {
            name: "the head began another life",
            change: |f| {
                let mut other = member("a", 0, Phase::Open);
                other.incarnation = 2;
                f.apply(Change::Updated(Box::new(other)));
            },
            is_doomed: true,
        },
    ];
    for case in cases {
        let mut fleet = fleet([member("a", 0, Phase::Open), member("b", 1, Phase::Ready)]);
        let target = fleet.targets(&config()).remove(0);
        (case.change)(&mut fleet);
        assert_eq!(fleet.has_failed(&target), case.is_doomed, "{}", case.name);
    }
}
