//! The backend clients against the simulated systems.

use crate::common::{self, Formed, call, generate, small};
use backend::{
    Connection, Pool, Target, engine,
    proto::{Finish, Phase},
    service,
};
use name::{Attempt, Generation};
use standin::{Command, Faults, Mode, Server, World, engine::answer};
use std::time::Duration;
use verdict::Verdict;

/// A timeout that no request of a test reaches.
const LONG: Duration = Duration::from_secs(30);

/// A fault and its effect on a generated answer.
struct Spoilt {
    name: &'static str,
    faults: Faults,
    /// The number of tokens delivered; all of them for a complete answer.
    arrive: usize,
    whole: bool,
}

#[tokio::test]
async fn spoilt_streams_never_pass_for_whole() {
    let plain = Faults::default;
    let cases = [
        Spoilt {
            name: "no fault",
            faults: plain(),
            arrive: 8,
            whole: true,
        },
        Spoilt {
            name: "cut in the middle",
            faults: Faults {
                cut_after: Some(3),
                ..plain()
            },
            arrive: 3,
            whole: false,
        },
        Spoilt {
            name: "each frame twice",
            faults: Faults {
                repeat_frames: true,
                ..plain()
            },
            arrive: 8,
            whole: true,
        },
        Spoilt {
            name: "a frame of another attempt",
            faults: Faults {
                crossed_at: Some(2),
                ..plain()
            },
            arrive: 2,
            whole: false,
        },
        Spoilt {
            name: "a frame left out",
            faults: Faults {
                gap_at: Some(4),
                ..plain()
            },
            arrive: 4,
            whole: false,
        },
        Spoilt {
            name: "silence",
            faults: Faults {
                stall_after: Some(1),
                ..plain()
            },
            arrive: 1,
            whole: false,
        },
    ];
    let formed = Formed::start(2).await;
    let right = answer(7, "prompt", 8);
    for case in cases {
        formed.lead().set_faults(case.faults);
        let request = generate("prompt", 7, 8);
        let mut stream = engine::generate(&formed.pool, formed.target(), &request, || true, LONG)
            .await
            .unwrap();
        let (mut texts, mut whole) = (Vec::new(), false);
        while let Some(frame) = stream.next().await {
            match frame {
                Ok(frame) => {
                    whole = frame.finish.is_some();
                    texts.push(frame.text);
                }
                Err(error) => assert_eq!(error.verdict(), Verdict::MayHaveRun, "{}", case.name),
            }
        }
        assert_eq!(whole, case.whole, "{}", case.name);
        let arrive = case.arrive.min(right.len());
        assert_eq!(texts, right[..arrive], "{}", case.name);
    }
}

#[tokio::test]
async fn resumed_answer_has_no_seam() {
    let formed = Formed::start(2).await;
    // A seed whose answer has the max length.
    let seed = (0..).find(|s| answer(*s, "prompt", 9).len() == 9).unwrap();
    let right = answer(seed, "prompt", 9);
    for delivered in 0..9 {
        let mut request = generate("prompt", seed, 9);
        request.resume_after = right[..delivered].concat();
        request.resume_tokens = u32::try_from(delivered).unwrap();
        let stream = engine::generate(&formed.pool, formed.target(), &request, || true, LONG);
        let mut stream = stream.await.unwrap();
        let mut all = request.resume_after.clone();
        let mut finish = None;
        while let Some(frame) = stream.next().await {
            let frame = frame.unwrap();
            all += &frame.text;
            finish = frame.finish;
        }
        assert_eq!((all, finish), (right.concat(), Some(Finish::Length)));
    }
    assert_eq!(formed.world.counters().wrong_resumes, 0);
}

/// A call to a service under a fault, its expected verdict and number of runs.
struct Call {
    name: &'static str,
    before: fn(&World, &Server),
    allowed: bool,
    verdict: Option<Verdict>,
    changed: bool,
    runs: u64,
}

const CALLS: &[Call] = &[
    Call {
        name: "no fault",
        before: |_, _| {},
        allowed: true,
        verdict: None,
        changed: false,
        runs: 1,
    },
    Call {
        name: "no longer allowed at the write",
        before: |_, _| {},
        allowed: false,
        verdict: Some(Verdict::NotRun),
        changed: false,
        runs: 0,
    },
    Call {
        name: "restarted between check and dispatch",
        before: |_, server| server.restart(true),
        allowed: true,
        verdict: Some(Verdict::NotRun),
        changed: true,
        runs: 0,
    },
    Call {
        name: "gone",
        before: |world, server| {
            assert!(world.apply(&Command::Mode {
                instance: server.listed().instance.clone(),
                mode: Mode::Refuse,
            }));
        },
        allowed: true,
        verdict: Some(Verdict::NotRun),
        changed: false,
        runs: 0,
    },
    Call {
        name: "answer lost after the run",
        before: |_, server| {
            server.set_faults(Faults {
                lose_answers: true,
                ..Faults::default()
            });
        },
        allowed: true,
        verdict: Some(Verdict::MayHaveRun),
        changed: false,
        runs: 1,
    },
    Call {
        name: "answer of another attempt",
        before: |_, server| {
            server.set_faults(Faults {
                cross_answers: true,
                ..Faults::default()
            });
        },
        allowed: true,
        verdict: Some(Verdict::MayHaveRun),
        changed: false,
        runs: 1,
    },
];

#[tokio::test]
async fn calls_have_honest_verdicts() {
    for case in CALLS {
        let world = World::start(&small(), 1).await.unwrap();
        let pool = Pool::new(common::limits());
        let ledger = world
            .servers()
            .iter()
            .find(|s| s.listed().service.is_some());
        let ledger = ledger.unwrap();
        let address = ledger.listed().address;
        let report = engine::report(&pool, address).await.unwrap();
        let target = Target {
            address,
            boot: Some(report.boot),
            generation: Generation(0),
        };
        pool.remove_idle(address);
        (case.before)(&world, ledger);
        let allowed = case.allowed;
        let request = call("key-1");
        let result = service::call(&pool, target, &request, move || allowed, LONG).await;
        let failure = result.as_ref().err();
        assert_eq!(
            failure.map(backend::Failure::verdict),
            case.verdict,
            "{}",
            case.name
        );
        let changed = failure.and_then(backend::Failure::restart);
        assert_eq!(changed.is_some(), case.changed, "{}", case.name);
        assert_eq!(world.counters().most_runs(), case.runs, "{}", case.name);
        if let Ok(answer) = result {
            assert_eq!(answer.attempt, request.attempt);
        }
    }
}

/// Guards against a request that runs on the incarnation after a restart.
///
/// A connection whose close the client has not received yet accepts the request's
/// bytes, so the verdict may be `may-have-run`; but the request must never run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_request_crosses_a_restart() {
    let world = World::start(&small(), 1).await.unwrap();
    let pool = Pool::new(common::limits());
    let ledger = world
        .servers()
        .iter()
        .find(|s| s.listed().service.is_some());
    let ledger = ledger.unwrap();
    let address = ledger.listed().address;
    for round in 0..200 {
        let report = engine::report(&pool, address).await.unwrap();
        let target = Target {
            address,
            boot: Some(report.boot),
            generation: Generation(0),
        };
        ledger.restart(true);
        for _ in 0..round % 5 {
            tokio::task::yield_now().await;
        }
        let request = call("key-1");
        let failure = service::call(&pool, target, &request, || true, LONG).await;
        assert_ne!(failure.unwrap_err().verdict(), Verdict::Ran);
    }
    assert_eq!(world.counters().most_runs(), 0);
}

#[tokio::test]
async fn a_connection_stays_with_its_life() {
    let world = World::start(&small(), 1).await.unwrap();
    let server = &world.servers()[0];
    let address = server.listed().address;
    let mut old = Connection::open(address, &common::limits()).await.unwrap();
    assert_eq!(old.boot(), server.report().boot);
    server.restart(true);
    let read = old.read_report(&common::limits()).await;
    assert_eq!(read.unwrap_err().verdict(), Verdict::NotRun);
    let new = Connection::open(address, &common::limits()).await.unwrap();
    assert_eq!(new.boot(), server.report().boot);
    assert_ne!(new.boot(), old.boot());
}

/// Concurrent requests to a cold or warm server, and the restarts they cause.
struct Load {
    name: &'static str,
    warm: bool,
    /// The number of concurrent requests above the cold limit.
    over: u32,
    falls: u64,
}

#[tokio::test]
async fn only_a_cold_server_falls_over() {
    let cases = [
        Load {
            name: "cold at its limit",
            warm: false,
            over: 0,
            falls: 0,
        },
        Load {
            name: "cold, one above",
            warm: false,
            over: 1,
            falls: 1,
        },
        Load {
            name: "warm, one above the cold limit",
            warm: true,
            over: 1,
            falls: 0,
        },
    ];
    for case in cases {
        let formed = Formed::start(2).await;
        let lead = formed.lead();
        lead.set_warm(case.warm);
        lead.set_faults(Faults {
            stall_after: Some(1),
            ..Faults::default()
        });
        let boot = lead.report().boot;
        let mut streams = Vec::new();
        for _ in 0..lead.report().cold_limit + case.over {
            let request = generate("prompt", 1, 8);
            let target = formed.target();
            let stream = engine::generate(&formed.pool, target, &request, || true, LONG).await;
            streams.push(stream);
        }
        assert_eq!(
            formed.world.counters().cold_overloads,
            case.falls,
            "{}",
            case.name
        );
        assert_eq!(lead.report().boot == boot, case.falls == 0, "{}", case.name);
    }
}

#[tokio::test]
async fn warmth_comes_with_completions_and_goes_without_notice() {
    let formed = Formed::start(2).await;
    let lead = formed.lead();
    let boot = lead.report().boot;
    for round in 0..2 {
        let mut completions = 0;
        while !lead.report().warm {
            let (target, request) = (formed.target(), generate("prompt", 1, 2));
            let stream = engine::generate(&formed.pool, target, &request, || true, LONG).await;
            let mut stream = stream.unwrap();
            while stream.next().await.is_some() {}
            completions += 1;
        }
        assert_eq!(completions, small().speed.warm_completions, "{round}");
        lead.cool();
        assert!(!lead.report().warm);
        assert_eq!(lead.report().boot, boot);
    }
}

#[tokio::test]
async fn a_full_engine_takes_the_most_urgent_next() {
    let formed = Formed::start(2).await;
    let lead = formed.lead();
    lead.set_warm(true);
    lead.set_faults(Faults {
        stall_after: Some(0),
        ..Faults::default()
    });
    let target = formed.target();
    let start = |priority| {
        let (pool, mut request) = (formed.pool.clone(), generate("prompt", 1, 8));
        request.priority = priority;
        tokio::spawn(async move { engine::generate(&pool, target, &request, || true, LONG).await })
    };
    let mut streams = Vec::new();
    for _ in 0..lead.report().warm_limit {
        streams.push(start(0).await.unwrap().unwrap());
    }
    let mut waiting = Vec::new();
    for (n, priority) in [5, 1, 3].into_iter().enumerate() {
        waiting.push(start(priority));
        common::until(|| lead.report().waiting as usize == n + 1).await;
    }
    for next in [1, 1, 0] {
        drop(streams.pop());
        streams.push(waiting.remove(next).await.unwrap().unwrap());
        let finished = waiting.iter().filter(|waiting| waiting.is_finished());
        assert_eq!(finished.count(), 0);
    }
}

/// An order sent after a join at generation 5, and its expected result.
struct Ordered {
    name: &'static str,
    fences: bool,
    allowed: bool,
    generation: u64,
    verdict: Option<Verdict>,
    /// The generation that the engine reports after the order.
    after: u64,
}

#[tokio::test]
async fn stale_orders_are_refused_by_engines_that_fence() {
    let row = |name, fences, allowed, generation, verdict, after| Ordered {
        name,
        fences,
        allowed,
        generation,
        verdict,
        after,
    };
    let not_run = Some(Verdict::NotRun);
    let cases = [
        row("later", true, true, 6, None, 6),
        row("earlier, fenced", true, true, 4, not_run, 5),
        row("earlier, not fenced", false, true, 4, None, 4),
        row("too late to be sent", false, false, 6, not_run, 5),
    ];
    for case in cases {
        let formed = Formed::start(2).await;
        let lead = formed.lead();
        lead.set_faults(Faults {
            fences: case.fences,
            ..Faults::default()
        });
        let address = lead.listed().address;
        let order = formed.order(0, case.generation);
        let allowed = case.allowed;
        let sent = engine::order(&formed.pool, address, &order, move || allowed).await;
        let failure = sent.as_ref().err();
        assert_eq!(
            failure.map(backend::Failure::verdict),
            case.verdict,
            "{}",
            case.name
        );
        let report = lead.report();
        assert_eq!(report.generation, Generation(case.after), "{}", case.name);
    }
}

#[tokio::test]
async fn a_replica_without_a_member_refuses() {
    let formed = Formed::start(3).await;
    let before = formed.world.survey();
    assert_eq!(before.serving[0].generation, formed.target().generation);
    assert_eq!(
        (before.serving[0].members.len(), before.stranded.len()),
        (3, 9)
    );
    formed.servers[2].restart(true);
    let after = formed.world.survey();
    assert_eq!((after.serving.len(), after.stranded.len()), (0, 12));
    let request = generate("prompt", 1, 4);
    let target = formed.target();
    let sent = engine::generate(&formed.pool, target, &request, || true, LONG).await;
    assert_eq!(sent.unwrap_err().verdict(), Verdict::NotRun);
    let counters = formed.world.counters();
    assert_eq!(counters.refused_with_missing_member, 1);
    assert_eq!(counters.served_with_missing_member, 0);
    assert_eq!(formed.lead().report().phase, Phase::Ready);
}

#[tokio::test]
async fn dropping_an_answer_frees_the_engine() {
    let formed = Formed::start(2).await;
    let lead = formed.lead();
    lead.set_faults(Faults {
        stall_after: Some(1),
        ..Faults::default()
    });
    let request = generate("prompt", 1, 8);
    let target = formed.target();
    let stream = engine::generate(&formed.pool, target, &request, || true, LONG).await;
    let mut stream = stream.unwrap();
    assert!(stream.next().await.unwrap().is_ok());
    assert_eq!(lead.report().running, 1);
    drop(stream);
    common::until(|| lead.report().running == 0).await;
    let attempt = Attempt::random();
    engine::cancel(&formed.pool, target.address, attempt)
        .await
        .unwrap();
}
