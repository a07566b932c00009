//! Which servers are targets, and when the requests at a target fail.

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

/// Marks the second member as leaving.
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
            name: "complete",
            change: |_| {},
            targets: 1,
        },
        Case {
            name: "a member's entry was removed; its reachability is unknown",
            change: |f| f.apply(Change::Removed(id("b"))),
            targets: 1,
        },
        Case {
            name: "a member's entry was removed, and it responds",
            change: |f| {
                f.apply(Change::Removed(id("b")));
                f.set_unlisted([(id("b"), 1)]);
            },
            targets: 1,
        },
        Case {
            name: "a member's entry was removed, and it does not respond",
            change: |f| {
                f.apply(Change::Removed(id("b")));
                f.set_unlisted([]);
            },
            targets: 0,
        },
        Case {
            name: "a member's entry was removed, and another incarnation responds",
            change: |f| {
                f.apply(Change::Removed(id("b")));
                f.set_unlisted([(id("b"), 2)]);
            },
            targets: 0,
        },
        Case {
            name: "a member's entry was removed, and it was detected as dead",
            change: |f| {
                f.apply(Change::Removed(id("b")));
                f.set_dead([(id("b"), 1)]);
            },
            targets: 0,
        },
        Case {
            name: "the entry of a leaving member was removed",
            change: |f| {
                leave(f);
                f.apply(Change::Removed(id("b")));
            },
            targets: 0,
        },
        Case {
            name: "the head's entry was removed",
            change: |f| f.apply(Change::Removed(id("a"))),
            targets: 0,
        },
        Case {
            name: "a member was detected as dead",
            change: |f| {
                f.set_dead([(id("b"), 1)]);
            },
            targets: 0,
        },
        Case {
            name: "an earlier incarnation of a member was detected as dead",
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
            name: "the head's domain is taken out of service",
            change: |f| f.set_taken_out("d".parse().expect("a name"), true),
            targets: 0,
        },
        Case {
            name: "a member announced that it is leaving, and its entry does not say so",
            change: |f| {
                f.set_leaving(&id("b"), 1);
                f.apply(Change::Updated(Box::new(member("b", 1, Phase::Ready))));
            },
            targets: 0,
        },
        Case {
            name: "a member announced that it is leaving, and its entry was removed and added",
            change: |f| {
                f.set_leaving(&id("b"), 1);
                f.apply(Change::Removed(id("b")));
                f.apply(Change::Updated(Box::new(member("b", 1, Phase::Ready))));
            },
            targets: 0,
        },
        Case {
            name: "a member started again after it announced that it is leaving",
            change: |f| {
                f.set_leaving(&id("b"), 1);
                let mut newer = member("b", 1, Phase::Ready);
                newer.incarnation = 2;
                f.apply(Change::Updated(Box::new(newer)));
            },
            targets: 1,
        },
        Case {
            name: "an outdated entry with an earlier incarnation",
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
            name: "a member announces that it is leaving",
            change: |f| {
                f.set_leaving(&id("b"), 1);
            },
            is_doomed: false,
        },
        Case {
            name: "the head closes",
            change: |f| f.apply(Change::Updated(Box::new(member("a", 0, Phase::Closing)))),
            is_doomed: false,
        },
        Case {
            name: "a member's entry was removed, as after a replacement",
            change: |f| f.apply(Change::Removed(id("b"))),
            is_doomed: false,
        },
        Case {
            name: "the head's entry was removed",
            change: |f| f.apply(Change::Removed(id("a"))),
            is_doomed: false,
        },
        Case {
            name: "a member was detected as dead",
            change: |f| {
                f.set_dead([(id("b"), 1)]);
            },
            is_doomed: true,
        },
        Case {
            name: "a member was detected as dead, and its entry was removed",
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
            name: "the head restarted with another incarnation",
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
