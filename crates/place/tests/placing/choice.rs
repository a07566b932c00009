//! The choice of a target, by one node and by many at once.

use crate::{SLOTS, TIME_TO_FIRST_TOKEN, at_ms, engine};
use clock::Moment;
use name::{Domain, Instance, Model, Service};
use place::{
    Contention, CostModel, Decision, LoadTracker, Objective, Query, Share, Target, TargetLoad,
    Work, choose_target,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use site::fixture::id;
use std::time::Duration;

/// The limit of cold targets in these tests: one request per second.
fn cold_limit(target: &Target) -> [Option<Share>; 2] {
    let share = Share {
        requests: 1,
        span: Duration::from_secs(1),
    };
    [target.is_cold.then_some(share), None]
}

fn cost() -> CostModel {
    let engine = engine();
    CostModel::new(&engine, &engine.models[0])
}

fn target(name: &str) -> Target {
    Target {
        server: id(name),
        incarnation: 1,
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

/// A single node, without contention.
const NO_CONTENTION: Contention<'_> = Contention {
    node: "own",
    node_count: 1,
    report_interval: Duration::from_millis(200),
    has_queued: false,
};

/// Chooses a target for a request with a prompt of 1,000 tokens.
fn choose_among(
    targets: &[Target],
    load: &LoadTracker,
    excluded: &[Instance],
    now: Moment,
) -> Decision {
    let service: Service = "llm".parse().expect("a name");
    let model: Model = "m".parse().expect("a name");
    let domain: Domain = "d".parse().expect("a name");
    let cost = cost();
    let query = Query {
        service: &service,
        model: Some(&model),
        prompt_tokens: 1_000,
        excluded,
        domain: &domain,
        contention: NO_CONTENTION,
        objective: Objective::default(),
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    choose_target(
        &query,
        targets,
        Some(&cost),
        load,
        cold_limit,
        now,
        &mut rng,
    )
}

fn chosen_server(decision: &Decision) -> Option<&str> {
    match decision {
        Decision::Place(placement) => Some(placement.target.server.as_str()),
        _ => None,
    }
}

#[test]
fn picks_target_with_earliest_first_token() {
    let targets = [target("a"), target("b")];
    let mut load = LoadTracker::default();
    for _ in 0..5 {
        load.record_start(&id("a"), 2_000, TIME_TO_FIRST_TOKEN, at_ms(1_000));
    }
    assert_eq!(
        chosen_server(&choose_among(&targets, &load, &[], at_ms(1_000))),
        Some("b")
    );
    // Load that other nodes report counts as well.
    let loads = [TargetLoad {
        server: id("b"),
        work: Work {
            requests: 20,
            prefill_tokens: 40_000,
            is_stalled: false,
        },
        last_received: None,
    }];
    load.set_node_load("other".parse().expect("a name"), loads, at_ms(1_000));
    assert_eq!(
        chosen_server(&choose_among(&targets, &load, &[], at_ms(1_000))),
        Some("a")
    );
    // The load report expires when the node sends no more reports.
    load.expire(at_ms(9_000));
    assert_eq!(
        chosen_server(&choose_among(&targets, &load, &[], at_ms(9_000))),
        Some("b")
    );
}

#[test]
fn distinguishes_full_from_missing_targets() {
    let targets = [target("a")];
    let mut load = LoadTracker::default();
    let excluded = [id("a")];
    assert!(matches!(
        choose_among(&targets, &load, &excluded, at_ms(0)),
        Decision::Full
    ));
    assert!(matches!(
        choose_among(&[], &load, &[], at_ms(0)),
        Decision::NoTarget
    ));
    for _ in 0..SLOTS {
        load.record_start(&id("a"), 10, TIME_TO_FIRST_TOKEN, at_ms(0));
    }
    assert!(matches!(
        choose_among(&targets, &load, &[], at_ms(0)),
        Decision::Full
    ));
    load.record_end(&id("a"), at_ms(0));
    assert_eq!(
        chosen_server(&choose_among(&targets, &load, &[], at_ms(0))),
        Some("a")
    );
}

/// Guards against sending requests to a stalled replica: one that lost a member
/// received about 40 requests before the loss was detected.
#[test]
fn avoids_stalled_replica() {
    let targets = [target("a"), target("b")];
    let mut load = LoadTracker::default();
    load.record_start(&id("a"), 100, TIME_TO_FIRST_TOKEN, at_ms(0));
    for _ in 0..20 {
        load.record_start(&id("b"), 100, TIME_TO_FIRST_TOKEN, at_ms(0));
    }
    load.record_received(&id("b"), at_ms(900));
    assert_eq!(
        chosen_server(&choose_among(&targets, &load, &[], at_ms(200))),
        Some("a")
    );
    assert_eq!(
        chosen_server(&choose_among(&targets, &load, &[], at_ms(1_000))),
        Some("b")
    );
    // A stalled replica is used if there is no other target.
    assert_eq!(
        chosen_server(&choose_among(&targets[..1], &load, &[], at_ms(1_000))),
        Some("a")
    );
    load.record_received(&id("a"), at_ms(1_000));
    assert_eq!(
        chosen_server(&choose_among(&targets, &load, &[], at_ms(1_100))),
        Some("a")
    );
}

#[test]
fn avoids_failing_target_until_penalty_decays() {
    let targets = [target("a"), target("b")];
    let mut load = LoadTracker::default();
    for _ in 0..3 {
        load.record_failure(&id("a"), at_ms(1_000));
        load.record_start(&id("b"), 0, TIME_TO_FIRST_TOKEN, at_ms(1_000));
    }
    assert_eq!(
        chosen_server(&choose_among(&targets, &load, &[], at_ms(1_000))),
        Some("b")
    );
    load.record_received(&id("b"), at_ms(60_000));
    assert_eq!(
        chosen_server(&choose_among(&targets, &load, &[], at_ms(60_000))),
        Some("a")
    );
}

#[test]
fn avoids_declined_target_until_its_time() {
    struct Case {
        now: Moment,
        chosen: Option<&'static str>,
    }
    let targets = [target("a")];
    let mut load = LoadTracker::default();
    load.record_decline(&id("a"), at_ms(3_000), at_ms(1_000));
    load.record_decline(&id("a"), at_ms(2_000), at_ms(1_000));
    load.record_decline(&id("b"), at_ms(9_000), at_ms(1_000));
    let cases = [
        Case {
            now: at_ms(1_000),
            chosen: None,
        },
        Case {
            now: at_ms(2_999),
            chosen: None,
        },
        Case {
            now: at_ms(3_000),
            chosen: Some("a"),
        },
    ];
    for case in cases {
        let decision = choose_among(&targets, &load, &[], case.now);
        assert_eq!(chosen_server(&decision), case.chosen, "{:?}", case.now);
    }
}

/// Returns how many requests `nodes` nodes send to one target at the same time. Each
/// has five queued requests and no report of what the others send at that time.
fn count_concurrent_placements(
    nodes: usize,
    has_queued: bool,
    reported_requests: u32,
    is_new: bool,
) -> usize {
    let targets = [target("a")];
    let service: Service = "llm".parse().expect("a name");
    let model: Model = "m".parse().expect("a name");
    let domain: Domain = "d".parse().expect("a name");
    let cost = cost();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (now, added_at) = (at_ms(60_000), at_ms(if is_new { 59_990 } else { 1_000 }));
    let mut sent = 0;
    for n in 0..nodes {
        let name = format!("node-{n}");
        let mut load = LoadTracker::default();
        load.set_targets([id("a")].iter(), added_at);
        let load_report = TargetLoad {
            server: id("a"),
            work: Work {
                requests: reported_requests,
                ..Work::default()
            },
            last_received: None,
        };
        load.set_node_load("other".parse().expect("a name"), [load_report], now);
        for _ in 0..5 {
            let query = Query {
                service: &service,
                model: Some(&model),
                prompt_tokens: 1_000,
                excluded: &[],
                domain: &domain,
                contention: Contention {
                    node: &name,
                    node_count: nodes,
                    report_interval: Duration::from_millis(200)
                        .max(Duration::from_millis(10 * nodes as u64)),
                    has_queued,
                },
                objective: Objective::default(),
            };
            let decision = choose_target(
                &query,
                &targets,
                Some(&cost),
                &load,
                cold_limit,
                now,
                &mut rng,
            );
            if matches!(decision, Decision::Place(_)) {
                load.record_start(&id("a"), 1_000, TIME_TO_FIRST_TOKEN, now);
                sent += 1;
            }
        }
    }
    sent
}

/// Guards against overfilling a new target. When a replica opened in a deployment of
/// 72 nodes, all nodes sent it their queued requests within 15 ms, and it stalled in
/// their prefill.
#[test]
fn concurrent_nodes_do_not_overfill_target() {
    struct Case {
        name: &'static str,
        nodes: usize,
        has_queued: bool,
        reported_requests: u32,
        is_new: bool,
    }
    let cases = [
        Case {
            name: "a new target, nothing queued",
            nodes: 72,
            has_queued: false,
            reported_requests: 0,
            is_new: true,
        },
        Case {
            name: "a new target, requests queued",
            nodes: 72,
            has_queued: true,
            reported_requests: 0,
            is_new: true,
        },
        Case {
            name: "one slot free",
            nodes: 72,
            has_queued: true,
            reported_requests: SLOTS - 1,
            is_new: false,
        },
        Case {
            name: "few nodes, requests queued",
            nodes: 6,
            has_queued: true,
            reported_requests: 5,
            is_new: false,
        },
    ];
    for case in cases {
        let sent = count_concurrent_placements(
            case.nodes,
            case.has_queued,
            case.reported_requests,
            case.is_new,
        );
        let free = (SLOTS - case.reported_requests) as usize;
        // Shares are rounded at random to whole requests.
        assert!(sent <= free + 10, "{}: {sent} for {free} slots", case.name);
        assert!(
            sent * 10 >= free * 4 || free < 5,
            "{}: {sent} for {free} slots",
            case.name
        );
    }
    let unlimited = count_concurrent_placements(6, false, 5, false);
    assert_eq!(
        unlimited,
        6 * 5,
        "slots are not divided while no request is queued"
    );
}

/// Lets nodes that see the same loads place requests, which none of them sees of the
/// others; returns the arrivals at each target.
pub(crate) fn choose_with_stale_view(loads: &[u32], nodes: u32, per_node: u32) -> Vec<u32> {
    let names: Vec<String> = (0..loads.len()).map(|n| format!("t{n:02}")).collect();
    let targets: Vec<Target> = names.iter().map(|name| target(name)).collect();
    let service: Service = "llm".parse().expect("a name");
    let model: Model = "m".parse().expect("a name");
    let domain: Domain = "d".parse().expect("a name");
    let cost = cost();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut arrivals = vec![0; loads.len()];
    let interval = Duration::from_millis(400);
    // A node's share of what all place within a report interval.
    let sent_before = (f64::from(per_node) * 2.0 / interval.as_secs_f64()) as u32;
    for node in 0..nodes {
        let mut load = LoadTracker::default();
        for n in 0..sent_before {
            let server = &targets[(node + n) as usize % targets.len()].server;
            load.record_start(server, 0, TIME_TO_FIRST_TOKEN, at_ms(9_000));
            load.record_first_token(server, 0);
            load.record_end(server, at_ms(9_000));
        }
        let reports = std::iter::zip(&targets, loads).map(|(target, requests)| TargetLoad {
            server: target.server.clone(),
            work: Work {
                requests: *requests,
                ..Work::default()
            },
            last_received: None,
        });
        let now = at_ms(10_000);
        load.set_node_load("planner".parse().expect("a name"), reports, now);
        let name = format!("n{node}");
        for _ in 0..per_node {
            let query = Query {
                service: &service,
                model: Some(&model),
                prompt_tokens: 700,
                excluded: &[],
                domain: &domain,
                contention: Contention {
                    node: &name,
                    node_count: nodes as usize,
                    report_interval: interval,
                    has_queued: false,
                },
                objective: Objective::default(),
            };
            let decision = choose_target(
                &query,
                &targets,
                Some(&cost),
                &load,
                cold_limit,
                now,
                &mut rng,
            );
            let Decision::Place(placement) = decision else {
                continue;
            };
            let server = &placement.target.server;
            load.record_start(server, 700, TIME_TO_FIRST_TOKEN, now);
            let index = targets.iter().position(|t| t.server == *server);
            arrivals[index.expect("a target")] += 1;
        }
    }
    arrivals
}
