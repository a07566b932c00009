//! Budget, fleet, choice, load and queue, each under the load it answers.

use clock::Moment;
use name::{Domain, Instance, Model, Service};
use place::{
    Ask, Budget, Cost, Crowd, Fleet, Load, Outlook, Queue, Rank, Share, Target, Work, choose,
    cold_part,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use site::{
    Config, Server,
    config::{Engine, Spec, Weights},
    server::{self, Change, Member, Phase},
    settings::Bounds,
};
use std::{sync::Arc, time::Duration};

const SLOTS: u32 = 26;

/// When the first token of a request to an idle replica is expected.
const FIRST: Duration = Duration::from_millis(100);

fn id(text: &str) -> Instance {
    text.parse().expect("a name")
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn bounds() -> Bounds {
    Bounds {
        leaving: Duration::from_secs(2),
        config: Duration::from_secs(2),
        revoke: Some(Duration::from_secs(5)),
        grace: Duration::from_secs(8),
        retry_ratio: 0.2,
        retry_slack: 136.0,
        load_window: Duration::from_secs(5),
        max_answer_age: Duration::from_secs(5),
    }
}

fn engine() -> Engine {
    Engine {
        slots: SLOTS,
        memory_tokens: 1_400_000,
        step: Duration::from_micros(6_070),
        step_per_request: Duration::from_micros(241),
        step_per_context: Duration::from_micros(5),
        read_per_s: 46_000.0,
        pairs_per_million: Duration::from_micros(700),
        stride: 5,
        chunk: 2_048,
        usual_prompt: 1_076.0,
        usual_answer: 116.0,
        forming: Duration::from_millis(300),
        loads_per_s: 4.0,
        loads_at_once: 6,
        models: vec![Weights {
            model: "m".parse().expect("a name"),
            size: 2,
            share: 1.0,
            pace: 1.0,
            load: Duration::from_secs(12),
            warm: Duration::from_secs(1),
        }],
    }
}

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
        id: id(name),
        service: "llm".parse().expect("a name"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d".parse().expect("a name"),
        born: 1,
        slots: SLOTS,
        is_leaving: false,
        cold_for: Duration::ZERO,
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
    }
}

fn fleet(servers: impl IntoIterator<Item = Server>) -> Fleet {
    let mut fleet = Fleet::default();
    for server in servers {
        fleet.apply(Change::Is(Box::new(server)));
    }
    fleet
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
                let mut leaving = member("b", 1, Phase::Ready);
                leaving.is_leaving = true;
                f.apply(Change::Is(Box::new(leaving)));
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
            change: |f| {
                let mut leaving = member("b", 1, Phase::Ready);
                leaving.is_leaving = true;
                f.apply(Change::Is(Box::new(leaving)));
            },
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
            change: |f| {
                let mut leaving = member("b", 1, Phase::Ready);
                leaving.is_leaving = true;
                f.apply(Change::Is(Box::new(leaving)));
            },
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

/// All nodes together must not exceed the allowance in any window.
#[test]
fn budgets_of_all_nodes_stay_within_the_allowance() {
    for nodes in [1, 6, 9, 72, 340] {
        let bounds = bounds();
        let mut budgets: Vec<Budget> = (0..nodes).map(|_| Budget::new(&bounds, nodes)).collect();
        let mut requests = 0.0;
        let mut further = 0.0;
        // Every request fails and wants a further attempt, twice.
        for n in 0..3_000 {
            let budget = &mut budgets[n % nodes];
            budget.request();
            requests += 1.0;
            further += f64::from(u8::from(budget.take())) + f64::from(u8::from(budget.take()));
        }
        let allowed = bounds.retry_ratio * requests + bounds.retry_slack;
        assert!(further <= allowed, "{nodes} nodes: {further} of {allowed}");
    }
}

/// With more nodes than a cold server bears requests, each node sent one.
#[test]
fn parts_of_a_cold_servers_bound_add_up_to_it() {
    for nodes in [1_usize, 5, 9, 36, 72, 340] {
        let names: Vec<String> = (0..nodes).map(|n| format!("node-{n}")).collect();
        for server in ["a", "b", "c"] {
            let parts = names.iter().map(|own| {
                let all: Vec<&str> = names.iter().map(String::as_str).collect();
                cold_part(36.0, &id(server), own, all.into_iter())
            });
            assert_eq!(parts.sum::<usize>(), 36, "{nodes} nodes, server {server}");
        }
    }
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
    let cost = Cost::new(&engine(), &engine().models[0]);
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

/// With 72 nodes, each had one or two requests at a replica. One that waited
/// there made all nodes give up all requests at it: 2,881 attempts in a quiet
/// day, with 58 replicas really lost.
#[test]
fn a_replica_that_answers_other_nodes_does_not_stand_still() {
    struct Case {
        what: &'static str,
        /// Whether the other node thinks that the replica is silent.
        is_silent: bool,
        /// When the other node heard from it.
        heard: Option<u64>,
        /// Whether this node has a request there.
        has_own: bool,
        expected: bool,
    }
    let cases = [
        Case {
            what: "a request of this node waits, another one is answered",
            is_silent: false,
            heard: Some(1_900),
            has_own: true,
            expected: false,
        },
        Case {
            what: "a request of the other node waits, and it heard of an earlier one",
            is_silent: true,
            heard: Some(1_800),
            has_own: false,
            expected: false,
        },
        Case {
            what: "nothing comes to either",
            is_silent: true,
            heard: None,
            has_own: true,
            expected: true,
        },
        Case {
            what: "the other node heard something too long ago",
            is_silent: true,
            heard: Some(1_400),
            has_own: false,
            expected: true,
        },
    ];
    for case in cases {
        let mut load = Load::default();
        if case.has_own {
            load.start(&id("a"), 100, FIRST, at(1_000));
        }
        let share = Share {
            server: id("a"),
            work: Work {
                requests: 1,
                unread: 100,
                is_silent: case.is_silent,
            },
            heard: case.heard.map(at),
        };
        load.share("other".parse().expect("a name"), [share], at(1_950));
        let is_silent = load.work(&id("a"), at(2_000)).is_silent;
        assert_eq!(is_silent, case.expected, "{}", case.what);
    }
}

/// Returns how many of `nodes` nodes send to one target at the same time, each
/// with some requests that wait and none that knows what the others do.
fn crowd(nodes: usize, has_waiting: bool, known: u32, is_new: bool) -> usize {
    let targets = [target("a")];
    let service: Service = "llm".parse().expect("a name");
    let model: Model = "m".parse().expect("a name");
    let domain: Domain = "d".parse().expect("a name");
    let cost = Cost::new(&engine(), &engine().models[0]);
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

/// A node that gave a place back may take it again, whatever the others do.
#[test]
fn a_node_replaces_what_ended() {
    let mut load = Load::default();
    for _ in 0..10 {
        load.start(&id("a"), 0, FIRST, at(1_000));
    }
    for _ in 0..4 {
        load.end(&id("a"), at(4_950));
    }
    assert_eq!(
        load.growth(&id("a"), Duration::from_millis(700), at(5_000)),
        0
    );
    for n in 0..6 {
        let growth = load.growth(&id("a"), Duration::from_millis(700), at(5_000));
        assert_eq!(growth, usize::from(n == 5), "{n}");
        load.start(&id("a"), 0, FIRST, at(5_000));
    }
}

/// One node tells the sum of all; while none does, each tells its own.
#[test]
fn a_sum_replaces_what_each_node_says_and_the_other_way_round() {
    let share = |requests| Share {
        server: id("a"),
        work: Work {
            requests,
            ..Work::default()
        },
        heard: None,
    };
    let node = |name: &str| name.parse().expect("a name");
    let mut load = Load::default();
    load.start(&id("a"), 0, FIRST, at(1_000));
    let requests = |load: &Load| load.work(&id("a"), at(1_000)).requests;
    load.share(node("x"), [share(2)], at(1_000));
    load.share(node("y"), [share(3)], at(1_000));
    assert_eq!(requests(&load), 1 + 2 + 3);
    let sum = load.sum(at(1_000));
    assert_eq!(sum, [share(6)]);
    // What is told with the sum leaves this node's own part out.
    load.share_sum(node("planner"), [share(9)], at(1_000));
    assert_eq!(requests(&load), 1 + 9);
    load.share_sum(node("planner"), [share(8)], at(1_000));
    assert_eq!(requests(&load), 1 + 8);
    load.share_sum(node("next"), [share(7)], at(1_000));
    assert_eq!(requests(&load), 1 + 7);
    load.share(node("x"), [share(2)], at(1_000));
    assert_eq!(requests(&load), 1 + 2, "the sum held x as well");
    load.share(node("y"), [share(3)], at(1_000));
    assert_eq!(requests(&load), 1 + 2 + 3);
    load.expire(at(9_000));
    assert_eq!(requests(&load), 1);
}

/// After a restart of all nodes, replicas that read a second's worth of prompts
/// were taken for ones that stand still, and the credit for retries was used up.
#[test]
fn a_replica_that_reads_many_prompts_does_not_stand_still() {
    let mut load = Load::default();
    let first = Duration::from_millis(800);
    for _ in 0..SLOTS {
        load.start(&id("a"), 1_400, first, at(1_000));
    }
    assert!(!load.work(&id("a"), at(2_000)).is_silent);
    assert!(load.work(&id("a"), at(2_300)).is_silent);
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

#[test]
fn urgent_requests_and_those_that_can_be_on_time_go_first() {
    let rank = |priority, due| Rank {
        priority,
        due: at(due),
    };
    let mut queue = Queue::default();
    queue.push(rank(1, 900), "late");
    queue.push(rank(2, 1_500), "less urgent");
    queue.push(rank(1, 1_400), "second");
    queue.push(rank(1, 1_200), "first");
    assert_eq!(queue.ahead(rank(1, 1_300)), 2);
    let mut order = Vec::new();
    queue.offer(at(1_000), |what| {
        order.push(*what);
        *what != "second"
    });
    assert_eq!(order, ["first", "second", "less urgent", "late"]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_wait_grows_with_what_is_ahead_and_never_ends_without_servers() {
    assert_eq!(place::wait(9, 10.0), Some(Duration::from_secs(1)));
    assert_eq!(place::wait(0, 0.0), None);
}
