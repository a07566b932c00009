//! Measures the cost of decisions and tables at growing deployment sizes.
//!
//! `cargo run --release -p arbutusford-bench --example capacity` prints one line
//! for each decision or table: its time or size at an eighth, a quarter, a half
//! and the whole of the target, and the load of one node at the target. The page
//! `docs/CAPACITY.md` is based on this output.

#![expect(clippy::unwrap_used, reason = "fixed inputs; a failure ends the tool")]

mod fixture;
mod memory;

use admit::slot::Ownership;
use clock::WallTime;
use fixture::{Size, name};
use member::{LogReport, Table};
use name::{Account, Incarnation, Offset};
use once::{Bounds, ClaimId, Digest, Key, Record, Window};
use rand::{SeedableRng, rngs::StdRng};
use replica::{OrderTracker, Pacer, Policy, Settings, View, orders, propose, servable, watchers};
use std::{
    collections::BTreeMap,
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};
use uuid::Uuid;

/// The sizes: an eighth, a quarter, a half and the whole of the target.
const SIZES: [Size; 4] = [
    Size::target_over(8),
    Size::target_over(4),
    Size::target_over(2),
    Size::target_over(1),
];

/// The minimum time for which each decision is repeated.
const MIN_MEASURE_TIME: Duration = Duration::from_millis(150);

/// Polls of engines and of peers per node and second, at the default settings.
const POLLS_PER_S: f64 = 4.0;

/// Reads of the platform's listing per node and second.
const LISTS_PER_S: f64 = 2.0;

/// Surveys of the replicas per node and second.
const SURVEYS_PER_S: f64 = 10.0;

/// Requests per second at one of 340 nodes.
const REQUESTS_PER_S: f64 = 1_100.0 / 340.0;

/// Average configuration changes per second in total; bursts are faster.
const CHANGES_PER_S: f64 = 5_900.0 / 86_400.0;

/// Calls with an idempotency key per second over all nodes, a tenth of all calls.
const KEYED_PER_S: f64 = 110.0;

/// The interval between heartbeats to a partner, at the default settings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The number of heartbeat rounds until the membership tables have converged.
const CONVERGENCE_ROUNDS: u32 = 40;

/// The number of nodes that poll an instance.
const WATCHERS_PER_INSTANCE: usize = 3;

/// Returns the time that one run of `work` takes, in microseconds.
fn micros<T>(mut work: impl FnMut() -> T) -> f64 {
    let start = Instant::now();
    let mut runs = 0_u32;
    while start.elapsed() < MIN_MEASURE_TIME || runs < 3 {
        black_box(work());
        runs += 1;
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(runs)
}

/// Prints one line: values by size, and the load of one node at the target.
fn print_line(label: &str, unit: &str, values: [f64; 4], per_s: f64, load_unit: &str) {
    let cells: String = values.iter().map(|v| format!("{v:>12.1}")).collect();
    println!(
        "{label:<44}{unit:>6}{cells}   {:>12.4} {load_unit}",
        values[3] * per_s
    );
}

/// Prints a time by size, and the load of a core at `per_s` repetitions.
fn print_time(label: &str, per_s: f64, measure: impl Fn(Size) -> f64) {
    print_line(label, "us", SIZES.map(measure), per_s / 1e4, "% of a core");
}

fn main() {
    let head: String = SIZES
        .iter()
        .map(|s| format!("{:>12}", format!("{}/{}", s.nodes, s.engines)))
        .collect();
    println!("{:<50}{head}   one node at the target", "nodes/engines");
    measure_memory();
    measure_decisions();
    measure_watching();
    measure_choices();
    measure_heartbeats();
    measure_observations();
    measure_state();
}

/// Measures the memory of the tables; runs first, before any memory is freed.
fn measure_memory() {
    let held = SIZES.map(|size| memory::bytes_per_value(64, || fixture::state(size)));
    print_line("the state in memory", "bytes", held, 1e-6, "MB");
    let view = SIZES.map(|size| memory::bytes_per_value(64, || fixture::view(size)));
    print_line("the view of engines in memory", "bytes", view, 1e-6, "MB");
    const KEYS: [u32; 4] = [25_000, 50_000, 100_000, 200_000];
    println!("keys stored: 25000, 50000, 100000, 200000");
    let records = records(&name("account-with-a-name"), 1);
    let bytes: usize = records
        .iter()
        .map(|r| serde_json::to_vec(r).unwrap().len())
        .sum();
    let read = bytes as f64 * KEYED_PER_S / 1e3;
    println!(
        "claim and outcome of one key: {bytes} bytes of JSON, {read:.1} KB/s read by each node"
    );
    let held = KEYS.map(|keys| memory::bytes_per_value(1, || claims(keys)));
    // A window of one hour stores every key of the last hour, at every node.
    let per_hour = KEYED_PER_S * 3_600.0 / f64::from(KEYS[3]) / 1e6;
    print_line(
        "claims in memory",
        "bytes",
        held,
        per_hour,
        "MB for an hour's keys",
    );
    let folds = KEYS.map(|keys| {
        let start = Instant::now();
        black_box(claims(keys));
        start.elapsed().as_secs_f64() * 1e6 / f64::from(keys)
    });
    print_line(
        "folding one key's claim and outcome",
        "us",
        folds,
        KEYED_PER_S / 1e4,
        "% of a core",
    );
}

/// Measures the decisions about replicas.
fn measure_decisions() {
    let now = fixture::NOW;
    print_time("servable, at each survey", SURVEYS_PER_S, |size| {
        let (state, view) = (fixture::state(size), fixture::view(size));
        micros(|| servable(&state, &view, now))
    });
    print_time("propose, nothing to do", POLLS_PER_S, |size| {
        let (state, view, lists) = (fixture::state(size), fixture::view(size), fixture::lists());
        let mut pacer = Pacer::new(Settings::default());
        let policy = Policy::default();
        micros(|| propose(&state, &lists, &view, &policy, 0, now, &mut pacer))
    });
    print_time("orders, nothing to do", POLLS_PER_S, |size| {
        let (state, view, lists) = (fixture::state(size), fixture::view(size), fixture::lists());
        let mut ledger = OrderTracker::new(name("entry-0"), Settings::default());
        micros(|| orders(&state, &lists, &view, true, now, &mut ledger))
    });
}

/// Measures the assignment of watchers to engines, and the recording of reports.
fn measure_watching() {
    print_time(
        "watchers of all engines, at each poll",
        POLLS_PER_S,
        |size| {
            let epoch = fixture::epoch(size);
            let listed = fixture::listed(size);
            micros(|| {
                listed
                    .iter()
                    .filter(|l| {
                        watchers(&l.instance, &l.domain, &epoch, WATCHERS_PER_INSTANCE).len()
                            == WATCHERS_PER_INSTANCE
                    })
                    .count()
            })
        },
    );
    print_time(
        "watchers of one engine, if kept until changed",
        0.0,
        |size| {
            let epoch = fixture::epoch(size);
            let listed = fixture::listed(size);
            micros(|| {
                watchers(
                    &listed[0].instance,
                    &listed[0].domain,
                    &epoch,
                    WATCHERS_PER_INSTANCE,
                )
            })
        },
    );
    let all = |size: Size| {
        let mut view: View = fixture::view(size);
        let reports: Vec<_> = (0..size.engines).map(fixture::report).collect();
        micros(|| {
            for report in &reports {
                view.record_report(report.clone(), fixture::NOW, fixture::NOW);
            }
        })
    };
    print_time(
        "entering three reports of each engine",
        POLLS_PER_S,
        |size| all(size) * WATCHERS_PER_INSTANCE as f64,
    );
}

/// Measures the choice of a replica and the assignment of slots to nodes.
fn measure_choices() {
    print_time(
        "choose among all replicas, for each request",
        REQUESTS_PER_S,
        |size| {
            let candidates = fixture::candidates(size);
            let (domain, region) = (name("d0"), name("r0"));
            let request = route::Request {
                domain: &domain,
                region: &region,
                prefix: &[1, 2, 3],
                avoid: &[],
                choice_count: 0,
            };
            let mut rng = StdRng::seed_from_u64(1);
            let empty = route::prefix::Match::default();
            let policy = route::Policy::default();
            micros(|| route::choose(&candidates, &request, &empty, policy, &mut rng))
        },
    );
    print_time("slots of all replicas, at each epoch", 1.0 / 60.0, |size| {
        let ownership = Ownership::from(&fixture::epoch(size));
        let me = (name("entry-0"), Incarnation(Uuid::from_u128(0)));
        let replicas = size.engines / fixture::ENGINES_PER_REPLICA;
        micros(|| {
            (0..replicas)
                .map(|r| {
                    ownership
                        .owned_slots(&format!("r{r}"), &me.0, me.1, 16)
                        .len()
                })
                .sum::<usize>()
        })
    });
}

/// Returns the heartbeats that a node sends in one interval after convergence.
fn heartbeats_after_convergence(size: Size) -> Vec<member::Call> {
    let table = |number: usize| {
        let settings = member::Settings::default();
        let mut table = Table::new(fixture::peer(number), 1, Vec::new(), settings, fixture::NOW);
        table.set_epoch(&fixture::epoch(size), fixture::NOW);
        table
    };
    let log_report = LogReport {
        reads_log: true,
        folded: name::Offset::ZERO,
        tail_reading: None,
    };
    let mut own = table(0);
    let mut partners: BTreeMap<name::Node, Table> = (1..size.nodes)
        .map(|number| (fixture::peer(number).node, table(number)))
        .collect();
    let mut last = Vec::new();
    for round in 1..=CONVERGENCE_ROUNDS {
        let now = fixture::NOW + HEARTBEAT_INTERVAL * round;
        last = own.calls(&log_report, now);
        for call in &last {
            let partner = call.node.as_ref().and_then(|node| partners.get_mut(node));
            if let Some(partner) = partner {
                let reply = partner.handle_call(&call.beat, &log_report, now);
                own.handle_reply(&reply, now, now);
            }
        }
    }
    last
}

/// Measures the heartbeats of one node in one interval.
fn measure_heartbeats() {
    let calls = SIZES.map(|size| heartbeats_after_convergence(size).len() as f64);
    let per_s = 1.0 / HEARTBEAT_INTERVAL.as_secs_f64();
    print_line(
        "partners called in an interval",
        "count",
        calls,
        per_s,
        "calls/s",
    );
    let bytes = SIZES.map(|size| {
        let heartbeats = heartbeats_after_convergence(size);
        let sizes = heartbeats
            .iter()
            .map(|c| serde_json::to_vec(&c.beat).unwrap().len());
        sizes.sum::<usize>() as f64
    });
    print_line(
        "heartbeats sent in an interval",
        "bytes",
        bytes,
        per_s / 1e3,
        "KB/s, and as much in answers",
    );
}

/// Measures the backend servers' reports that one node exchanges with its peers.
fn measure_observations() {
    let report = serde_json::to_vec(&fixture::report(1)).unwrap().len() as f64;
    println!("one report as relayed: {report} bytes of JSON without its warmth and age");
    let sent = SIZES.map(|size| {
        let watched = size.engines as f64 * WATCHERS_PER_INSTANCE as f64 / size.nodes as f64;
        watched * report * (size.nodes - 1) as f64
    });
    print_line(
        "reports sent to all peers, at each poll",
        "bytes",
        sent,
        POLLS_PER_S / 1e3,
        "KB/s",
    );
    let questions = SIZES.map(|size| (size.nodes - 1) as f64);
    print_line(
        "peers polled, at each poll",
        "count",
        questions,
        POLLS_PER_S,
        "calls/s",
    );
    let list = SIZES.map(|size| {
        serde_json::to_vec(&fixture::platform_listing(size))
            .unwrap()
            .len() as f64
    });
    print_line(
        "the platform's list",
        "bytes",
        list,
        LISTS_PER_S / 1e3,
        "KB/s",
    );
    let text = serde_json::to_vec(&fixture::report(1)).unwrap();
    print_time(
        "reading three reports of each engine",
        POLLS_PER_S,
        |size| {
            let one = micros(|| serde_json::from_slice::<replica::Report>(&text).unwrap());
            one * (size.engines * WATCHERS_PER_INSTANCE) as f64
        },
    );
}

/// Measures the fold of the control state and the size of a snapshot.
fn measure_state() {
    print_time(
        "fold of an assignment, for each change",
        CHANGES_PER_S,
        |size| {
            let mut follower = fixture::follower(size);
            let mut number = 0;
            micros(|| {
                // Drivers keep a reference to the previous state, so a fold copies it.
                let held = Arc::clone(follower.state());
                number += 1;
                let events = follower.offer(fixture::reassign(&held, number));
                assert!(fixture::is_accepted(&events), "{events:?}");
                held
            })
        },
    );
    let snapshot = SIZES.map(|size| {
        let snapshot = fixture::follower(size).snapshot();
        serde_json::to_vec(&snapshot).unwrap().len() as f64
    });
    print_line("a snapshot", "bytes", snapshot, 0.0, "");
}

/// Returns the claim and the outcome records of a key.
fn records(account: &Account, number: u128) -> [Record; 2] {
    let id = Uuid::from_u128((10_000_000 << 80) | (7 << 76) | (2 << 62) | number);
    let key = Key::parse(account, Some(&id.to_string())).unwrap();
    let claim = ClaimId(Uuid::from_u128(number));
    let answer = once::Response::ran(200, "application/json", &[b'x'; 48]);
    let claimed = Record::Claim {
        key: key.clone(),
        digest: Digest::new("POST /entry", b"body"),
        incarnation: Incarnation(Uuid::from_u128(1)),
        claim,
    };
    [
        claimed,
        Record::Outcome {
            key,
            claim,
            response: answer,
        },
    ]
}

/// Returns a table of `keys` keys with their outcomes.
fn claims(keys: u32) -> once::Table {
    let account: Account = name("account-with-a-name");
    let bounds = Bounds {
        keys: 400_000,
        ..Bounds::default()
    };
    let mut table = once::Table::new(Window::default(), bounds);
    let mut offset = 0;
    for number in 0..u128::from(keys) {
        for record in records(&account, number) {
            offset += 1;
            table.fold(Offset(offset), Some(&record), WallTime(10_000_000));
        }
    }
    table
}
