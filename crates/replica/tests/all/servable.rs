//! Tests of servability, of the order of reports, and of watchers and votes.

use crate::fixture::{epoch, listed, named};
use clock::Moment;
use name::{Generation, Instance, Node, Offset};
use replica::{
    Cause, Evaluation, FailureDetector, Phase, Report, Settings, View, Vote, dispatch_check,
    servable, watchers,
};
use state::{Assignment, Operation, Scope, State};
use std::collections::BTreeSet;
use uuid::Uuid;

const GENERATION: Generation = Generation(7);

fn at(millis: u64) -> Moment {
    Moment::from_millis(10_000 + millis)
}

fn report(member: u32) -> Report {
    Report {
        instance: listed(member as usize).instance,
        boot: Uuid::from_u128(1),
        phase: Phase::Ready,
        replica: Some(named("m-1")),
        generation: GENERATION,
        member,
        loaded: vec!["m@1".into()],
        running: 0,
        fences: true,
    }
}

/// Returns a state with one replica, and a view in which it is servable at 0 ms.
fn one_replica(nodes: usize) -> (State, View) {
    let assignment = Assignment {
        generation: GENERATION,
        model: named("m"),
        version: "1".into(),
        members: (0..4).map(|i| listed(i).instance).collect(),
    };
    let mut state = State {
        offset: Offset(9),
        epoch: epoch(nodes),
        ..State::default()
    };
    state.assignments.insert(named("m-1"), assignment);
    let mut view = View::new(Settings::default());
    view.update_listing(&(0..4).map(listed).collect::<Vec<_>>(), at(0));
    for member in 0..4 {
        assert!(view.record_report(report(member), at(0), at(0)));
    }
    (state, view)
}

fn suspect(state: &State, view: &mut View, node: &str, millis: u64) -> bool {
    let vote = Vote {
        watcher: named(node),
        instance: named("i02"),
        suspected: true,
    };
    view.record_vote(&vote, &state.epoch, at(millis))
}

fn set_operation(state: &mut State, scope: Scope, operation: Operation) {
    state.operations.insert(scope, (Offset(8), operation));
}

/// Guards against dispatch to a replica with a missing, outdated, leaving or taken-out member.
#[test]
fn servable_requires_every_member_ready() {
    struct Case {
        name: &'static str,
        change: fn(&mut State, &mut View),
        now: u64,
        cause: Option<Cause>,
    }
    let cases = [
        Case {
            name: "all ready",
            change: |_, _| {},
            now: 1_500,
            cause: None,
        },
        Case {
            name: "listed live but silent",
            change: |_, _| {},
            now: 1_501,
            cause: Some(Cause::Silent),
        },
        Case {
            name: "absent from the list but reporting",
            change: |_, view| view.update_listing(&[], at(100)),
            now: 200,
            cause: None,
        },
        Case {
            name: "stale generation",
            change: |_, view| {
                let generation = Generation(6);
                let stale = Report {
                    generation,
                    ..report(2)
                };
                assert!(view.record_report(stale, at(100), at(100)));
            },
            now: 200,
            cause: Some(Cause::Elsewhere {
                generation: Generation(6),
            }),
        },
        Case {
            name: "another replica under the same number",
            change: |_, view| {
                let other = Report {
                    replica: Some(named("m-2")),
                    ..report(2)
                };
                assert!(view.record_report(other, at(100), at(100)));
            },
            now: 200,
            cause: Some(Cause::Elsewhere {
                generation: GENERATION,
            }),
        },
        Case {
            name: "another place",
            change: |_, view| {
                let other = Report {
                    member: 1,
                    ..report(2)
                };
                assert!(view.record_report(other, at(100), at(100)));
            },
            now: 200,
            cause: Some(Cause::Elsewhere {
                generation: GENERATION,
            }),
        },
        Case {
            name: "back with a new boot",
            change: |_, view| {
                let boot = Report {
                    boot: Uuid::from_u128(2),
                    phase: Phase::Idle,
                    replica: None,
                    generation: Generation(0),
                    ..report(2)
                };
                assert!(view.record_report(boot, at(100), at(100)));
            },
            now: 200,
            cause: Some(Cause::Elsewhere {
                generation: Generation(0),
            }),
        },
        Case {
            name: "joining",
            change: |_, view| {
                let phase = Phase::Joining;
                assert!(view.record_report(Report { phase, ..report(2) }, at(100), at(100)));
            },
            now: 200,
            cause: Some(Cause::Unready {
                phase: Phase::Joining,
            }),
        },
        Case {
            name: "suspected by one watcher",
            change: |state, view| assert!(suspect(state, view, "e0", 100)),
            now: 200,
            cause: None,
        },
        Case {
            name: "suspected by two watchers in one failure domain",
            change: |state, view| {
                state.epoch.peers[1].domain = named("d0");
                assert!(suspect(state, view, "e0", 100));
                assert!(suspect(state, view, "e1", 100));
            },
            now: 200,
            cause: None,
        },
        Case {
            name: "suspected by two watchers in two failure domains",
            change: |state, view| {
                assert!(suspect(state, view, "e0", 100));
                assert!(suspect(state, view, "e1", 100));
            },
            now: 200,
            cause: Some(Cause::Suspected),
        },
        Case {
            name: "votes that were not renewed",
            change: |state, view| {
                assert!(suspect(state, view, "e0", 100));
                assert!(suspect(state, view, "e1", 100));
                for member in 0..4 {
                    view.record_report(report(member), at(3_000), at(3_000));
                }
            },
            now: 3_101,
            cause: None,
        },
        Case {
            name: "leaving",
            change: |_, view| {
                let mut listed: Vec<_> = (0..4).map(listed).collect();
                listed[3].leaving = true;
                view.update_listing(&listed, at(100));
            },
            now: 200,
            cause: Some(Cause::Leaving),
        },
        Case {
            name: "failure domain taken out, which takes precedence over silence",
            change: |state, _| set_operation(state, Scope::Domain(named("d0")), Operation::TakeOut),
            now: 9_000,
            cause: Some(Cause::Out),
        },
        Case {
            name: "instance taken out",
            change: |state, _| {
                set_operation(state, Scope::Instance(named("i01")), Operation::TakeOut);
            },
            now: 200,
            cause: Some(Cause::Out),
        },
        Case {
            name: "brought back",
            change: |state, _| {
                set_operation(state, Scope::Domain(named("d0")), Operation::BringBack);
            },
            now: 200,
            cause: None,
        },
        Case {
            name: "a member that was never listed",
            change: |state, _| {
                let a = state.assignments.get_mut(&named::<name::Replica>("m-1"));
                a.unwrap().members[1] = named("other");
            },
            now: 200,
            cause: Some(Cause::Unknown),
        },
        Case {
            name: "no members",
            change: |state, _| {
                let a = state.assignments.get_mut(&named::<name::Replica>("m-1"));
                a.unwrap().members.clear();
            },
            now: 200,
            cause: Some(Cause::Unassigned),
        },
    ];
    for case in cases {
        let (mut state, mut view) = one_replica(3);
        (case.change)(&mut state, &mut view);
        let results = servable(&state, &view, at(case.now));
        let result = results.into_values().next().unwrap();
        assert_eq!(
            result.as_ref().err().map(|b| b.cause),
            case.cause,
            "{}",
            case.name
        );
        let replica = named("m-1");
        let checked = dispatch_check(&state, &view, &replica, GENERATION, at(case.now));
        assert_eq!(checked, result, "{}", case.name);
    }
}

/// Guards against dispatch at a generation that is no longer in force.
#[test]
fn dispatch_requires_current_generation() {
    let (state, view) = one_replica(3);
    let check = |replica: &str, generation| {
        let result = dispatch_check(
            &state,
            &view,
            &named(replica),
            Generation(generation),
            at(0),
        );
        result.map_err(|b| b.cause).map(|s| s.lead)
    };
    let current = GENERATION;
    assert_eq!(check("m-1", 7), Ok(named("i00")));
    assert_eq!(check("m-1", 6), Err(Cause::Superseded { current }));
    assert_eq!(check("m-2", 7), Err(Cause::Unassigned));
}

/// Guards against delayed reports that replace newer ones or restore a replaced boot.
#[test]
fn older_reports_are_rejected() {
    struct Case {
        name: &'static str,
        /// Each report's boot, `as_of` in ms, arrival in ms, and whether it is stored.
        reports: &'static [(u128, u64, u64, bool)],
    }
    let cases = [
        Case {
            name: "in order",
            reports: &[(1, 100, 100, true), (1, 200, 300, true)],
        },
        Case {
            name: "a peer's older report arrives late",
            reports: &[(1, 200, 200, true), (1, 150, 300, false)],
        },
        Case {
            name: "a new boot, then the old one's report with a wrong age",
            reports: &[
                (1, 100, 100, true),
                (2, 200, 200, true),
                (1, 250, 260, false),
            ],
        },
        Case {
            name: "a replaced boot is rejected only for a limited time",
            reports: &[
                (1, 100, 100, true),
                (2, 200, 200, true),
                (1, 10_300, 10_300, true),
            ],
        },
    ];
    for case in cases {
        let (_, mut view) = one_replica(3);
        for (boot, taken, arrived, is_new) in case.reports {
            let report = Report {
                boot: Uuid::from_u128(*boot),
                ..report(0)
            };
            let was_new = view.record_report(report, at(*taken), at(*arrived));
            assert_eq!(was_new, *is_new, "{}: taken at {taken}", case.name);
        }
    }
    let (_, mut view) = one_replica(3);
    let unlisted = Report {
        instance: named("other"),
        ..report(0)
    };
    assert!(!view.record_report(unlisted, at(1), at(1)));
}

/// Guards against a failure domain that is cut off and whose instances nobody can suspect.
#[test]
fn two_watchers_are_outside_the_instance_domain() {
    let epoch = epoch(9);
    for i in 0..48 {
        let listed = listed(i);
        for k in [2, 3] {
            let chosen = watchers(&listed.instance, &listed.domain, &epoch, k);
            assert_eq!(chosen.len(), k);
            let domain = |node: &Node| {
                let peer = epoch.peers.iter().find(|p| p.node == *node);
                peer.unwrap().domain.clone()
            };
            let (first, second) = (domain(&chosen[0]), domain(&chosen[1]));
            assert_ne!(first, second);
            assert_ne!(first, listed.domain);
            assert_ne!(second, listed.domain);
        }
    }
    let chosen = watchers(&named("i00"), &named("d0"), &crate::fixture::epoch(1), 3);
    assert_eq!(chosen, [named("e0")]);
}

/// Guards against suspicion by votes of nodes that do not watch the instance.
#[test]
fn votes_of_non_watchers_are_rejected() {
    let (mut state, mut view) = one_replica(9);
    let chosen = watchers(&named("i02"), &named("d0"), &state.epoch, 3);
    for peer in state.epoch.peers.clone() {
        let counts = suspect(&state, &mut view, peer.node.as_str(), 0);
        assert_eq!(counts, chosen.contains(&peer.node), "{}", peer.node);
    }
    state.epoch.peers.clear();
    assert!(!suspect(&state, &mut view, chosen[0].as_str(), 0));
}

/// Guards against suspicion by a watcher that was paused or is itself cut off.
#[test]
fn isolated_watcher_casts_no_votes() {
    struct Case {
        name: &'static str,
        /// How many of the four watched instances answer.
        answering: usize,
        /// The time between two evaluations, in ms.
        step: u64,
        /// The number of suspected instances, or `None` if the detector was isolated.
        suspected: Option<usize>,
    }
    let cases = [
        Case {
            name: "all answer",
            answering: 4,
            step: 250,
            suspected: Some(0),
        },
        Case {
            name: "one is silent",
            answering: 3,
            step: 250,
            suspected: Some(1),
        },
        Case {
            name: "half are silent",
            answering: 2,
            step: 250,
            suspected: Some(2),
        },
        Case {
            name: "most are silent",
            answering: 1,
            step: 250,
            suspected: None,
        },
        Case {
            name: "one is silent, but the watcher itself was paused",
            answering: 3,
            step: 2_000,
            suspected: Some(0),
        },
    ];
    for case in cases {
        let mut detector = FailureDetector::new(named("e0"), Settings::default(), at(0));
        let instances: Vec<Instance> = (0..4).map(|i| listed(i).instance).collect();
        detector.set_instances(instances.clone(), at(0));
        let mut suspects = Some(BTreeSet::new());
        for now in (case.step..=2_000).step_by(case.step as usize) {
            for instance in &instances[..case.answering] {
                detector.record_answer(instance, at(now));
            }
            match detector.evaluate(at(now)) {
                Evaluation::Isolated => suspects = None,
                Evaluation::Votes(votes) => {
                    let cast = votes.into_iter().filter(|v| v.suspected);
                    suspects
                        .iter_mut()
                        .for_each(|s| s.extend(cast.clone().map(|v| v.instance)));
                }
            }
        }
        assert_eq!(suspects.map(|s| s.len()), case.suspected, "{}", case.name);
    }
}

/// Guards against votes that lapse too early or outlast the silence of the instance.
#[test]
fn vote_is_withdrawn_when_instance_answers() {
    let mut detector = FailureDetector::new(named("e0"), Settings::default(), at(0));
    detector.set_instances((0..3).map(|i| listed(i).instance), at(0));
    let mut votes = Vec::new();
    for now in (250..=3_500).step_by(250) {
        for i in 0..3 {
            if i > 0 || now > 3_000 {
                detector.record_answer(&listed(i).instance, at(now));
            }
        }
        if let Evaluation::Votes(cast) = detector.evaluate(at(now)) {
            votes.extend(cast.into_iter().map(|v| (now, v.suspected)));
        }
    }
    // The vote is renewed once a second, and withdrawn in the step of the answer.
    assert_eq!(votes, [(1_750, true), (2_750, true), (3_250, false)]);
}
