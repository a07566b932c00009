//! Which parts are quarantined for the crashes of servers, and how seldom they are tried.

use clock::Moment;
use name::{Instance, Service};
use quarantine::{Level, MAX_PARTS, Part, Record, Server, Table, trial_interval};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Returns a whole request for an identifier that begins with `request`, and else a part of
/// prompts.
fn part(id: &str) -> Part {
    if id.starts_with("request") {
        return Part::request(&[id.as_bytes()]);
    }
    let service: Service = "llm".parse().expect("a name");
    Part::prompt(&service, id)
}

fn server(n: u64) -> Server {
    let instance: Instance = "i".parse().expect("a name");
    Server::new(&instance, n)
}

fn parts(ids: &str) -> Vec<Part> {
    ids.split_whitespace().map(part).collect()
}

/// How long servers had worked on the requests below which they crashed.
const RUN: Duration = Duration::from_millis(80);

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

/// An answer of a request with some parts.
enum Answer {
    /// It had just begun when the server ended.
    Ended(&'static str, u64),
    /// It went on past its beginning.
    Sound(&'static str),
}

use Answer::{Ended, Sound};

#[test]
fn part_common_to_separate_crashes_is_quarantined() {
    struct Case {
        condition: &'static str,
        /// When each answer ended, in milliseconds.
        answers: Vec<(u64, Answer)>,
        quarantined: &'static str,
        free: &'static str,
    }
    let cases = [
        Case {
            condition: "three crashes, the other parts differ",
            answers: vec![
                (0, Ended("p a", 1)),
                (300, Ended("b p", 2)),
                (600, Ended("c p", 3)),
            ],
            quarantined: "p",
            free: "",
        },
        Case {
            condition: "another part of the requests was sound before",
            answers: vec![
                (0, Sound("f x")),
                (100, Ended("f p", 1)),
                (400, Ended("f p", 2)),
                (700, Ended("f p", 3)),
            ],
            quarantined: "p",
            free: "f",
        },
        Case {
            condition: "victims that had just begun at the same servers",
            answers: vec![
                (0, Ended("p", 1)),
                (300, Ended("p", 2)),
                (301, Ended("v", 2)),
                (600, Ended("p", 3)),
                (601, Ended("v", 3)),
                (900, Ended("p", 4)),
                (901, Ended("v", 4)),
            ],
            quarantined: "p",
            free: "v",
        },
        Case {
            condition: "many servers at two separate times",
            answers: vec![
                (0, Ended("p a", 1)),
                (10, Ended("p b", 2)),
                (20, Ended("p c", 3)),
                (300, Ended("p d", 4)),
            ],
            quarantined: "p",
            free: "",
        },
        Case {
            condition: "servers that ended together",
            answers: (1..=16).map(|n| (n, Ended("f", n))).collect(),
            quarantined: "",
            free: "",
        },
        Case {
            condition: "an answer in between",
            answers: vec![
                (0, Ended("f", 1)),
                (300, Ended("f", 2)),
                (500, Sound("f")),
                (600, Ended("f", 3)),
                (900, Ended("f", 4)),
            ],
            quarantined: "",
            free: "f",
        },
        Case {
            condition: "one server that resets its connections",
            answers: (0..9).map(|n| (n * 300, Ended("f", 1))).collect(),
            quarantined: "",
            free: "",
        },
        Case {
            condition: "one request sent to one server after the other",
            answers: vec![
                (0, Ended("request", 1)),
                (100, Ended("request", 2)),
                (200, Ended("request", 3)),
            ],
            quarantined: "request",
            free: "",
        },
        Case {
            condition: "copies of one request at servers that ended together",
            answers: (1..=3).map(|n| (n, Ended("request", n))).collect(),
            quarantined: "",
            free: "",
        },
        Case {
            condition: "one request, and others below single crashes of it",
            answers: vec![
                (0, Ended("request", 1)),
                (1, Ended("request1", 1)),
                (100, Ended("request", 2)),
                (101, Ended("request2", 2)),
                (3_000, Ended("request", 3)),
                (3_001, Ended("request3", 3)),
            ],
            quarantined: "request",
            free: "request1 request2 request3",
        },
        Case {
            condition: "one request, rather than the parts of its prompt",
            answers: vec![
                (0, Ended("request p q", 1)),
                (100, Ended("request p q", 2)),
                (3_000, Ended("request p q", 3)),
            ],
            quarantined: "request",
            free: "p q",
        },
        Case {
            condition: "a part of the prompts, rather than the requests",
            answers: vec![
                (0, Ended("request1 p", 1)),
                (300, Ended("request1 p", 2)),
                (600, Ended("request2 p", 3)),
            ],
            quarantined: "p",
            free: "request1 request2",
        },
        Case {
            condition: "a request with a complete answer in between",
            answers: vec![
                (0, Ended("request", 1)),
                (100, Ended("request", 2)),
                (2_500, Sound("request")),
                (2_600, Ended("request", 3)),
            ],
            quarantined: "",
            free: "",
        },
        Case {
            condition: "two requests crash the same servers, the second one more of them",
            answers: vec![
                (0, Ended("request-a", 1)),
                (300, Ended("request-a", 2)),
                (600, Ended("request-a", 3)),
                (0, Ended("request-b", 1)),
                (300, Ended("request-b", 2)),
                (600, Ended("request-b", 3)),
                (900, Ended("request-b", 4)),
            ],
            quarantined: "request-a request-b",
            free: "",
        },
        Case {
            condition: "a quarantined request completes",
            answers: vec![
                (0, Ended("request-a", 1)),
                (300, Ended("request-a", 2)),
                (600, Ended("request-a", 3)),
                (900, Sound("request-a")),
            ],
            quarantined: "",
            free: "request-a",
        },
        Case {
            condition: "a part that was sound until it changed",
            answers: vec![
                (0, Sound("f")),
                (300, Ended("f", 1)),
                (600, Ended("f", 2)),
                (900, Ended("f", 3)),
                (1_200, Ended("f", 4)),
            ],
            quarantined: "f",
            free: "",
        },
    ];
    for case in cases {
        let mut table = Table::default();
        for (at, answer) in &case.answers {
            let now = Moment::from_millis(*at);
            match answer {
                Ended(ids, n) => drop(table.record_crash(&parts(ids), server(*n), RUN, now)),
                Sound(ids) => drop(table.record_success(&parts(ids), now)),
            }
            table.assess(now, &mut rng());
        }
        let now = Moment::from_millis(case.answers.last().expect("an answer").0);
        for id in parts(case.quarantined) {
            assert!(table.is_quarantined(&[id]), "{}", case.condition);
        }
        for id in parts(case.free) {
            assert_eq!(table.refusal(&[id], 9, now), None, "{}", case.condition);
        }
        if case.quarantined.is_empty() {
            assert!(!table.is_quarantined(&table.parts()), "{}", case.condition);
        }
    }
}

/// Guards against one request that crashes all servers of a service in a moment.
#[test]
fn requests_below_a_crash_are_sent_again_one_after_the_other() {
    let ids: Vec<String> = (0..6).map(|n| format!("request{n}")).collect();
    let now = Moment::from_millis(1_000);
    let mut tables = [Table::default(), Table::default()];
    for table in &mut tables {
        for id in &ids {
            table.record_crash(&parts(id), server(1), RUN, now);
        }
        table.assess(now, &mut rng());
    }
    let wait = |table: &Table, id: &str, at| {
        let refusal = table.refusal(&parts(id), 9, at);
        refusal.map_or(Duration::ZERO, |refusal| refusal.wait)
    };
    let mut waits: Vec<Duration> = ids.iter().map(|id| wait(&tables[0], id, now)).collect();
    for (id, expected) in ids.iter().zip(&waits) {
        assert_eq!(wait(&tables[1], id, now), *expected, "{id}");
    }
    waits.sort();
    waits.dedup();
    assert_eq!(waits.len(), ids.len(), "{waits:?}");
    assert!(waits[5] <= Duration::from_millis(200), "{waits:?}");

    // The cause ends a second server; the others are sent at once from then on.
    let later = now + Duration::from_millis(300);
    tables[0].record_crash(&parts(&ids[0]), server(2), RUN, later);
    for id in &ids[1..] {
        tables[0].record_success(&parts(id), later);
    }
    tables[0].assess(later, &mut rng());
    assert!(wait(&tables[0], &ids[0], later) >= Duration::from_secs(2));
    for id in &ids[1..] {
        assert_eq!(wait(&tables[0], id, later), Duration::ZERO, "{id}");
    }
}

/// Guards against a history of many servers that hides an older quarantine from other nodes.
#[test]
fn quarantined_requests_are_sent_first_and_outlive_many_others() {
    let mut table = Table::default();
    let mut now = Moment::START;
    for n in 0..3 {
        now = now + Duration::from_secs(3);
        table.record_crash(&parts("request"), server(n), RUN, now);
        table.assess(now, &mut rng());
    }
    for n in 0..3 * MAX_PARTS as u64 {
        now = now + Duration::from_millis(1);
        table.record_crash(&parts(&format!("request{n} p{n}")), server(9 + n), RUN, now);
        table.assess(now, &mut rng());
    }
    assert_eq!(table.parts().len(), 2 * MAX_PARTS);
    assert_eq!(table.parts().first(), Some(&part("request")));
    assert!(table.is_quarantined(&parts("request")));
    now = now + Duration::from_secs(7_200);
    table.assess(now, &mut rng());
    assert!(table.is_quarantined(&parts("request")));
}

/// Guards against a node that joins, and does not know yet how many others try a request.
#[test]
fn share_of_the_trials_follows_the_number_of_nodes() {
    let mut table = Table::default();
    for n in 0..3 {
        let at = Moment::from_millis(3_000 * n);
        table.record_crash(&parts("request"), server(n), RUN, at);
    }
    let now = Moment::from_millis(9_000);
    table.assess(now, &mut rng());
    let wait = |nodes| {
        let refusal = table.refusal(&parts("request"), nodes, now);
        refusal.expect("a refusal").wait.as_secs_f64()
    };
    assert!((wait(340) / wait(1) - 340.0).abs() < 0.01);
}

#[test]
fn nodes_agree_on_evidence_in_any_order() {
    let now = Moment::from_millis(10_000);
    let mut seen = [Table::default(), Table::default(), Table::default()];
    for (n, table) in seen.iter_mut().enumerate() {
        let at = Moment::from_millis(1_000 + 300 * n as u64);
        table.record_crash(&parts("p q"), server(n as u64), RUN, at);
    }
    seen[2].record_success(&parts("q"), now);
    let records: Vec<Record> = seen
        .iter()
        .flat_map(|table| table.parts().into_iter().map(move |p| (table, p)))
        .filter_map(|(table, part)| table.record(part, now))
        .collect();
    let mut rotated = records.clone();
    for _ in 0..records.len() {
        rotated.rotate_left(1);
        let mut table = Table::default();
        for record in rotated.iter().chain(&rotated) {
            table.merge(record, now);
        }
        table.assess(now, &mut rng());
        assert!(table.is_quarantined(&parts("p")));
        assert!(!table.is_quarantined(&parts("q")));
        assert!(rotated.iter().all(|record| !table.merge(record, now)));
    }
}

/// Guards against crashes that other nodes saw before the start of a node counting as one.
#[test]
fn evidence_from_before_the_start_of_a_node_counts_in_full() {
    let ended_at = [5_000, 6_000, 7_000];
    let mut other = Table::default();
    for (n, at) in ended_at.into_iter().enumerate() {
        other.record_crash(&parts("p"), server(n as u64), RUN, Moment::from_millis(at));
    }
    let record = other.record(part("p"), Moment::from_millis(60_000));
    let mut table = Table::default();
    let now = Moment::from_millis(50);
    assert!(table.merge(&record.expect("evidence"), now));
    table.assess(now, &mut rng());
    assert!(table.is_quarantined(&parts("p")));
}

#[test]
fn later_answer_on_a_quarantined_part_frees_it_at_other_nodes() {
    let now = Moment::from_millis(5_000);
    let mut tables = [Table::default(), Table::default()];
    for n in 0..4 {
        for table in &mut tables {
            table.record_crash(&parts("p"), server(n), RUN, Moment::from_millis(1_000 * n));
            table.assess(now, &mut rng());
        }
    }
    assert!(tables.iter().all(|table| table.is_quarantined(&parts("p"))));
    assert_eq!(tables[0].record_success(&parts("p"), now), parts("p"));
    let record = tables[0].record(part("p"), now).expect("evidence");
    assert!(tables[1].is_covered_by(&record, now));
    assert!(tables[1].merge(&record, now));
    let changes = tables[1].assess(now, &mut rng());
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].level, Level::Allowed);
    assert_eq!(tables[1].refusal(&parts("p"), 2, now), None);
}

#[test]
fn trials_of_all_nodes_together_are_as_seldom_as_the_interval() {
    struct Case {
        nodes: usize,
        crashes: u64,
        /// How long requests with the part come to each node, in seconds.
        seconds: u64,
        /// The most requests that all nodes let through.
        max_trials: usize,
    }
    let cases = [
        Case {
            nodes: 9,
            crashes: 3,
            seconds: 110,
            max_trials: 3,
        },
        Case {
            nodes: 72,
            crashes: 3,
            seconds: 110,
            max_trials: 3,
        },
        Case {
            nodes: 340,
            crashes: 3,
            seconds: 110,
            max_trials: 3,
        },
        Case {
            nodes: 340,
            crashes: 5,
            seconds: 1_200,
            max_trials: 3,
        },
    ];
    for case in cases {
        let mut rng = rng();
        let mut trials = 0;
        for _ in 0..case.nodes {
            let mut table = Table::default();
            for n in 0..case.crashes {
                let at = Moment::from_millis(1_000 * n);
                table.record_crash(&parts("p"), server(n), RUN, at);
            }
            let begin = Moment::from_millis(1_000 * case.crashes);
            table.assess(begin, &mut rng);
            for tenth in 0..case.seconds * 10 {
                let now = begin + Duration::from_millis(100 * tenth);
                trials += usize::from(table.admit(&parts("p"), case.nodes, now).is_ok());
            }
        }
        assert!(
            trials <= case.max_trials,
            "{} nodes: {trials} trials in {} s",
            case.nodes,
            case.seconds
        );
    }
}

#[test]
fn interval_grows_with_each_end() {
    for was_sound in [false, true] {
        let intervals: Vec<Duration> = (0..40)
            .map(|crashes| trial_interval(crashes, was_sound).unwrap_or_default())
            .collect();
        assert!(intervals.is_sorted(), "{intervals:?}");
        assert_eq!(intervals[39], Duration::from_secs(24 * 3_600));
    }
    assert_eq!(trial_interval(3, true), None);
}

#[test]
fn table_of_many_parts_is_bounded_and_keeps_the_heaviest() {
    let mut table = Table::default();
    let mut now = Moment::START;
    for n in 0..3 {
        now = now + Duration::from_secs(1);
        table.record_crash(&parts("p"), server(n), RUN, now);
        table.assess(now, &mut rng());
    }
    for n in 0..10 * MAX_PARTS as u64 {
        let other = part(&format!("other{n}"));
        table.record_crash(&[other], server(100 + n), RUN, now);
        if n % 50 == 0 {
            table.assess(now, &mut rng());
        }
    }
    assert_eq!(table.parts().len(), MAX_PARTS);
    assert!(table.is_quarantined(&parts("p")));
}
