//! The choice of a target, by one node and by many at once.

use crate::{FIRST, SLOTS, at, engine};
use clock::Moment;
use name::{Domain, Instance, Model, Service};
use place::{Ask, Cost, Crowd, Load, Outlook, Share, Target, Work, choose};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use site::fixture::id;
use std::time::Duration;

fn cost() -> Cost {
    let engine = engine();
    Cost::new(&engine, &engine.models[0])
}

fn target(name: &str) -> Target {
    Target {
        server: id(name),
        born: 1,
        address: ([127, 0, 0, 1], 1).into(),
        service: "llm".parse().expect("a name"),
        domain: "d".parse().expect("a name"),
        model: Some("m".parse().expect("a name")),
        slots: SLOTS,
        is_cold: false,
        replica: None,
        members: Vec::new(),
    }
}

/// No other node chooses.
const ALONE: Crowd<'_> = Crowd {
    own: "own",
    nodes: 1,
    round: Duration::from_millis(200),
    has_waiting: false,
};

/// Chooses among targets for a request with a usual prompt.
fn pick(targets: &[Target], load: &Load, excluded: &[Instance], now: Moment) -> Outlook {
    let service: Service = "llm".parse().expect("a name");
    let model: Model = "m".parse().expect("a name");
    let domain: Domain = "d".parse().expect("a name");
    let cost = cost();
    let ask = Ask {
        service: &service,
        model: Some(&model),
        prompt: 1_000,
        excluded,
        domain: &domain,
        crowd: ALONE,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    choose(&ask, targets, Some(&cost), load, |_| 1, now, &mut rng)
}

fn name_of(outlook: &Outlook) -> Option<&str> {
    match outlook {
        Outlook::Place(choice) => Some(choice.target.server.as_str()),
        _ => None,
    }
}

#[test]
fn the_target_with_the_earliest_first_token_is_taken() {
    let targets = [target("a"), target("b")];
    let mut load = Load::default();
    for _ in 0..5 {
        load.start(&id("a"), 2_000, FIRST, at(1_000));
    }
    assert_eq!(name_of(&pick(&targets, &load, &[], at(1_000))), Some("b"));
    // Work that other nodes tell of counts as well.
    let shares = [Share {
        server: id("b"),
        work: Work {
            requests: 20,
            unread: 40_000,
            is_silent: false,
        },
        heard: None,
    }];
    load.share("other".parse().expect("a name"), shares, at(1_000));
    assert_eq!(name_of(&pick(&targets, &load, &[], at(1_000))), Some("a"));
    // It is forgotten when the node falls silent.
    load.expire(at(9_000));
    assert_eq!(name_of(&pick(&targets, &load, &[], at(9_000))), Some("b"));
}

#[test]
fn full_excluded_and_missing_targets_are_told_apart() {
    let targets = [target("a")];
    let mut load = Load::default();
    let excluded = [id("a")];
    assert!(matches!(
        pick(&targets, &load, &excluded, at(0)),
        Outlook::Full
    ));
    assert!(matches!(pick(&[], &load, &[], at(0)), Outlook::Nowhere));
    for _ in 0..SLOTS {
        load.start(&id("a"), 10, FIRST, at(0));
    }
    assert!(matches!(pick(&targets, &load, &[], at(0)), Outlook::Full));
    load.end(&id("a"), at(0));
    assert_eq!(name_of(&pick(&targets, &load, &[], at(0))), Some("a"));
}

/// A replica that lost a member took about 40 requests until it was found out.
#[test]
fn a_replica_that_stands_still_gets_nothing_new() {
    let targets = [target("a"), target("b")];
    let mut load = Load::default();
    load.start(&id("a"), 100, FIRST, at(0));
    for _ in 0..20 {
        load.start(&id("b"), 100, FIRST, at(0));
    }
    load.heard(&id("b"), at(900));
    assert_eq!(name_of(&pick(&targets, &load, &[], at(200))), Some("a"));
    assert_eq!(name_of(&pick(&targets, &load, &[], at(1_000))), Some("b"));
    // It is used if there is nothing else.
    assert_eq!(
        name_of(&pick(&targets[..1], &load, &[], at(1_000))),
        Some("a")
    );
    load.heard(&id("a"), at(1_000));
    assert_eq!(name_of(&pick(&targets, &load, &[], at(1_100))), Some("a"));
}

#[test]
fn a_target_that_fails_or_is_slow_is_avoided_for_a_while() {
    let targets = [target("a"), target("b")];
    let mut load = Load::default();
    for _ in 0..3 {
        load.fail(&id("a"), at(1_000));
        load.start(&id("b"), 0, FIRST, at(1_000));
    }
    assert_eq!(name_of(&pick(&targets, &load, &[], at(1_000))), Some("b"));
    load.heard(&id("b"), at(60_000));
    assert_eq!(name_of(&pick(&targets, &load, &[], at(60_000))), Some("a"));
}

/// Returns how many of `nodes` nodes send to one target at the same time, each
/// with some requests that wait and none that knows what the others do.
fn crowd(nodes: usize, has_waiting: bool, known: u32, is_new: bool) -> usize {
    let targets = [target("a")];
    let service: Service = "llm".parse().expect("a name");
    let model: Model = "m".parse().expect("a name");
    let domain: Domain = "d".parse().expect("a name");
    let cost = cost();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (now, before) = (at(60_000), at(if is_new { 59_990 } else { 1_000 }));
    let mut sent = 0;
    for n in 0..nodes {
        let name = format!("node-{n}");
        let mut load = Load::default();
        load.list([id("a")].iter(), before);
        let share = Share {
            server: id("a"),
            work: Work {
                requests: known,
                ..Work::default()
            },
            heard: None,
        };
        load.share("other".parse().expect("a name"), [share], now);
        for _ in 0..5 {
            let ask = Ask {
                service: &service,
                model: Some(&model),
                prompt: 1_000,
                excluded: &[],
                domain: &domain,
                crowd: Crowd {
                    own: &name,
                    nodes,
                    round: Duration::from_millis(200).max(Duration::from_millis(10 * nodes as u64)),
                    has_waiting,
                },
            };
            let found = choose(&ask, &targets, Some(&cost), &load, |_| 1, now, &mut rng);
            if matches!(found, Outlook::Place(_)) {
                load.start(&id("a"), 1_000, FIRST, now);
                sent += 1;
            }
        }
    }
    sent
}

/// When a replica opened on a deployment of 72 nodes, all sent it what waited
/// within 15 ms, and it stood still over their prompts.
#[test]
fn nodes_that_choose_at_once_do_not_overfill_a_target() {
    struct Case {
        what: &'static str,
        nodes: usize,
        has_waiting: bool,
        known: u32,
        is_new: bool,
    }
    let cases = [
        Case {
            what: "a new target, nothing waits",
            nodes: 72,
            has_waiting: false,
            known: 0,
            is_new: true,
        },
        Case {
            what: "a new target, requests wait",
            nodes: 72,
            has_waiting: true,
            known: 0,
            is_new: true,
        },
        Case {
            what: "a place became free",
            nodes: 72,
            has_waiting: true,
            known: SLOTS - 1,
            is_new: false,
        },
        Case {
            what: "few nodes, requests wait",
            nodes: 6,
            has_waiting: true,
            known: 5,
            is_new: false,
        },
    ];
    for case in cases {
        let sent = crowd(case.nodes, case.has_waiting, case.known, case.is_new);
        let free = (SLOTS - case.known) as usize;
        // Whole requests are dealt by lot.
        assert!(sent <= free + 10, "{}: {sent} for {free} places", case.what);
        assert!(
            sent * 10 >= free * 4 || free < 5,
            "{}: {sent} for {free} places",
            case.what
        );
    }
    let calm = crowd(6, false, 5, false);
    assert_eq!(calm, 6 * 5, "nothing is dealt while nothing waits");
}
