//! Which servers are targets, and when the requests at a target fail.

use crate::engine;
use clock::Moment;
use place::Fleet;
use site::{
    Config, Server,
    config::ServiceSpec,
    fixture::{self, id},
    server::{self, Change, Membership, Phase},
};
use std::{sync::Arc, time::Duration};

const NOW: Moment = Moment::START;

fn config() -> Config {
    let spec = ServiceSpec {
        cold_requests_per_s: 36.0,
        max_connections: 400,
        health_path: None,
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
        fleet.apply(Change::Updated(Box::new(server)), NOW);
    }
    fleet
}

/// Marks the second member as leaving.
fn leave(fleet: &mut Fleet) {
    let leaving = Server {
        is_leaving: true,
        ..member("b", 1, Phase::Ready)
    };
    fleet.apply(Change::Updated(Box::new(leaving)), NOW);
}

/// Removes the head's entry, and adds it again.
fn restore(fleet: &mut Fleet) {
    fleet.apply(Change::Removed(id("a")), NOW);
    let head = member("a", 0, Phase::Open);
    fleet.apply(Change::Updated(Box::new(head)), NOW);
}

/// Closes the head.
fn close(fleet: &mut Fleet) {
    let closing = member("a", 0, Phase::Closing);
    fleet.apply(Change::Updated(Box::new(closing)), NOW);
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
            change: |f| f.apply(Change::Removed(id("b")), NOW),
            targets: 1,
        },
        Case {
            name: "a member's entry was removed, and it responds",
            change: |f| {
                f.apply(Change::Removed(id("b")), NOW);
                f.set_unlisted([(id("b"), 1)]);
            },
            targets: 1,
        },
        Case {
            name: "a member's entry was removed, and it does not respond",
            change: |f| {
                f.apply(Change::Removed(id("b")), NOW);
                f.set_unlisted([]);
            },
            targets: 0,
        },
        Case {
            name: "a member's entry was removed, and another incarnation responds",
            change: |f| {
                f.apply(Change::Removed(id("b")), NOW);
                f.set_unlisted([(id("b"), 2)]);
            },
            targets: 0,
        },
        Case {
            name: "a member's entry was removed, and it was detected as dead",
            change: |f| {
                f.apply(Change::Removed(id("b")), NOW);
                f.set_dead([(id("b"), 1)]);
            },
            targets: 0,
        },
        Case {
            name: "the entry of a leaving member was removed",
            change: |f| {
                leave(f);
                f.apply(Change::Removed(id("b")), NOW);
            },
            targets: 0,
        },
        Case {
            name: "the head's entry was removed",
            change: |f| f.apply(Change::Removed(id("a")), NOW),
            targets: 0,
        },
        Case {
            name: "the head's entry was removed and added, which it has not confirmed",
            change: restore,
            targets: 0,
        },
        Case {
            name: "the head confirmed that it is back",
            change: |f| {
                restore(f);
                f.confirm(&id("a"), 1);
            },
            targets: 1,
        },
        Case {
            name: "another incarnation of the head confirmed that it is back",
            change: |f| {
                restore(f);
                f.confirm(&id("a"), 2);
            },
            targets: 0,
        },
        Case {
            name: "the head had no entry at another node",
            change: |f| {
                f.record_absence(&id("a"), 1, NOW);
            },
            targets: 0,
        },
        Case {
            name: "the head confirmed that it is back, and had no entry at another node",
            change: |f| {
                f.record_absence(&id("a"), 1, NOW);
                f.confirm(&id("a"), 1);
                f.record_absence(&id("a"), 1, NOW);
            },
            targets: 1,
        },
        Case {
            name: "an earlier incarnation of the head had no entry at another node",
            change: |f| {
                f.record_absence(&id("a"), 0, NOW);
            },
            targets: 1,
        },
        Case {
            name: "the head had no entry at another node before it was listed here",
            change: |f| {
                f.apply(Change::Removed(id("a")), NOW);
                f.expire(NOW + Duration::from_secs(61));
                f.record_absence(&id("a"), 1, NOW);
                f.apply(Change::Updated(Box::new(member("a", 0, Phase::Open))), NOW);
            },
            targets: 0,
        },
        Case {
            name: "a member's entry was removed and added, which it has not confirmed",
            change: |f| {
                f.apply(Change::Removed(id("b")), NOW);
                f.apply(Change::Updated(Box::new(member("b", 1, Phase::Ready))), NOW);
            },
            targets: 1,
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
            change: close,
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
                f.set_leaving(&id("b"), 1, NOW);
                f.apply(Change::Updated(Box::new(member("b", 1, Phase::Ready))), NOW);
            },
            targets: 0,
        },
        Case {
            name: "a member announced that it is leaving, and its entry was removed and added",
            change: |f| {
                f.set_leaving(&id("b"), 1, NOW);
                f.apply(Change::Removed(id("b")), NOW);
                f.apply(Change::Updated(Box::new(member("b", 1, Phase::Ready))), NOW);
            },
            targets: 0,
        },
        Case {
            name: "a member started again after it announced that it is leaving",
            change: |f| {
                f.set_leaving(&id("b"), 1, NOW);
                let mut newer = member("b", 1, Phase::Ready);
                newer.incarnation = 2;
                f.apply(Change::Updated(Box::new(newer)), NOW);
            },
            targets: 1,
        },
        Case {
            name: "an outdated entry with an earlier incarnation",
            change: |f| {
                let mut old = member("a", 0, Phase::Broken);
                old.incarnation = 0;
                f.apply(Change::Updated(Box::new(old)), NOW);
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
                f.set_leaving(&id("b"), 1, NOW);
            },
            is_doomed: false,
        },
        Case {
            name: "the head closes",
            change: close,
            is_doomed: false,
        },
        Case {
            name: "a member's entry was removed, as after a replacement",
            change: |f| f.apply(Change::Removed(id("b")), NOW),
            is_doomed: false,
        },
        Case {
            name: "the head's entry was removed",
            change: |f| f.apply(Change::Removed(id("a")), NOW),
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
                f.apply(Change::Removed(id("b")), NOW);
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
                f.apply(Change::Updated(Box::new(other)), NOW);
            },
            is_doomed: true,
        },
        Case {
            name: "the head restarted with another incarnation",
            change: |f| {
                let mut other = member("a", 0, Phase::Open);
                other.incarnation = 2;
                f.apply(Change::Updated(Box::new(other)), NOW);
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

/// Guards against a record that replaces a newer one because it is executed or read later.
#[test]
fn records_are_ordered_by_incarnation_and_number() {
    /// The incarnation and number of a record, and whether it says that the server is leaving.
    type Record = (u64, Option<u64>, bool);
    struct Case {
        name: &'static str,
        /// The records in the order of their arrival; `None` for a removal.
        records: &'static [Option<Record>],
        /// The incarnation, number and leaving state in the end; `None` without an entry.
        last: Option<Record>,
    }
    const READY: Option<Record> = Some((5, Some(7), false));
    const LEAVING: Option<Record> = Some((5, Some(8), true));
    let cases = [
        Case {
            name: "a later renewal",
            records: &[READY, Some((5, Some(9), false))],
            last: Some((5, Some(9), false)),
        },
        Case {
            name: "the same record twice",
            records: &[READY, READY],
            last: READY,
        },
        Case {
            name: "a late renewal after the server said that it is leaving",
            records: &[LEAVING, READY],
            last: LEAVING,
        },
        Case {
            name: "a higher number does not undo that the server is leaving",
            records: &[LEAVING, Some((5, Some(9), false))],
            last: Some((5, Some(9), true)),
        },
        Case {
            name: "records without a number are applied as they come",
            records: &[READY, Some((5, None, false)), Some((5, Some(6), false))],
            last: READY,
        },
        Case {
            name: "a record without a number does not undo that the server is leaving",
            records: &[LEAVING, Some((5, None, false))],
            last: LEAVING,
        },
        Case {
            name: "a later incarnation counts anew",
            records: &[LEAVING, Some((6, Some(1), false))],
            last: Some((6, Some(1), false)),
        },
        Case {
            name: "a record of an earlier incarnation",
            records: &[Some((6, Some(1), false)), LEAVING],
            last: Some((6, Some(1), false)),
        },
        Case {
            name: "a server without incarnations starts again",
            records: &[Some((0, Some(8), false)), Some((0, Some(1), false))],
            last: Some((0, Some(1), false)),
        },
        Case {
            name: "a server without incarnations that left is back",
            records: &[Some((0, Some(8), true)), None, Some((0, Some(1), false))],
            last: Some((0, Some(1), false)),
        },
        Case {
            name: "a removed server is back",
            records: &[READY, None, Some((5, Some(9), false))],
            last: Some((5, Some(9), false)),
        },
        Case {
            name: "a removed server's last record is read again",
            records: &[READY, None, READY],
            last: None,
        },
        Case {
            name: "a late renewal of a removed server",
            records: &[READY, None, Some((5, Some(6), false))],
            last: None,
        },
        Case {
            name: "a record of an earlier incarnation of a removed server",
            records: &[READY, None, Some((4, Some(30), false))],
            last: None,
        },
        Case {
            name: "a server that left and was removed is listed again",
            records: &[LEAVING, None, Some((5, Some(9), false))],
            last: Some((5, Some(9), true)),
        },
    ];
    for case in cases {
        let mut fleet = Fleet::default();
        for record in case.records {
            let change = match *record {
                Some((incarnation, sequence, is_leaving)) => Change::Updated(Box::new(Server {
                    incarnation,
                    sequence,
                    is_leaving,
                    ..fixture::server("a")
                })),
                None => Change::Removed(id("a")),
            };
            fleet.apply(change, NOW);
        }
        let last = fleet.server(&id("a"));
        let last = last.map(|server| (server.incarnation, server.sequence, server.is_leaving));
        assert_eq!(last, case.last, "{}", case.name);
    }
}

/// Guards against refusing what servers write again after the store has returned from an
/// older copy, and against remembering for ever what has left.
#[test]
fn departures_are_remembered_for_a_time_and_within_an_era() {
    let entry = || {
        Change::Updated(Box::new(Server {
            sequence: Some(7),
            ..fixture::server("a")
        }))
    };
    let mut fleet = Fleet::default();
    fleet.apply(entry(), NOW);
    fleet.apply(Change::Removed(id("a")), NOW);
    fleet.begin_era();
    assert!(fleet.check(entry()).is_ok(), "in another era");
    fleet.apply(entry(), NOW);
    fleet.set_leaving(&id("a"), 1, NOW);
    fleet.apply(Change::Removed(id("a")), NOW);
    fleet.expire(NOW + Duration::from_secs(30));
    assert!(fleet.check(entry()).is_err(), "after a while");
    assert_eq!(fleet.leaving().count(), 1);
    fleet.expire(NOW + Duration::from_secs(61));
    assert!(fleet.check(entry()).is_ok(), "after a minute");
    assert_eq!(fleet.leaving().count(), 0);
}
