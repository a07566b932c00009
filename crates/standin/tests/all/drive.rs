//! The backend clients against the simulated systems.

use crate::common::{self, FormedReplica, call, generate, instant_shape};
use backend::{
    Connection, Pool, Target, engine,
    proto::{Finish, Phase},
    service,
};
use name::{Attempt, Generation};
use standin::{Command, Faults, Mode, Server, World, engine::answer_tokens};
use std::time::Duration;
use verdict::Verdict;

/// A timeout that no request of a test reaches.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A fault and its effect on a generated answer.
struct StreamCase {
    name: &'static str,
    faults: Faults,
    /// The number of tokens delivered; all of them for a complete answer.
    delivered: usize,
    is_complete: bool,
}

#[tokio::test]
async fn faulty_stream_is_not_complete() {
    let plain = Faults::default;
    let cases = [
        StreamCase {
            name: "no fault",
            faults: plain(),
            delivered: 8,
            is_complete: true,
        },
        StreamCase {
            name: "cut in the middle",
            faults: Faults {
                cut_after: Some(3),
                ..plain()
            },
            delivered: 3,
            is_complete: false,
        },
        StreamCase {
            name: "each frame twice",
            faults: Faults {
                repeat_frames: true,
                ..plain()
            },
            delivered: 8,
            is_complete: true,
        },
        StreamCase {
            name: "a frame of another attempt",
            faults: Faults {
                crossed_at: Some(2),
                ..plain()
            },
            delivered: 2,
            is_complete: false,
        },
        StreamCase {
            name: "a frame left out",
            faults: Faults {
                gap_at: Some(4),
                ..plain()
            },
            delivered: 4,
            is_complete: false,
        },
        StreamCase {
            name: "silence",
            faults: Faults {
                stall_after: Some(1),
                ..plain()
            },
            delivered: 1,
            is_complete: false,
        },
    ];
    let replica = FormedReplica::start(2).await;
    let expected = answer_tokens(7, "prompt", 8);
    for case in cases {
        replica.first_member().set_faults(case.faults);
        let request = generate("prompt", 7, 8);
        let mut stream =
            engine::generate(&replica.pool, replica.target(), &request, || true, TIMEOUT)
                .await
                .unwrap();
        let (mut texts, mut is_complete) = (Vec::new(), false);
        while let Some(frame) = stream.next().await {
            match frame {
                Ok(frame) => {
                    is_complete = frame.finish.is_some();
                    texts.push(frame.text);
                }
                Err(error) => assert_eq!(error.verdict(), Verdict::MayHaveRun, "{}", case.name),
            }
        }
        assert_eq!(is_complete, case.is_complete, "{}", case.name);
        let delivered = case.delivered.min(expected.len());
        assert_eq!(texts, expected[..delivered], "{}", case.name);
    }
}

#[tokio::test]
async fn resumed_answer_equals_whole_answer() {
    let replica = FormedReplica::start(2).await;
    // A seed whose answer has the max length.
    let seed = (0..)
        .find(|s| answer_tokens(*s, "prompt", 9).len() == 9)
        .unwrap();
    let expected = answer_tokens(seed, "prompt", 9);
    for delivered in 0..9 {
        let mut request = generate("prompt", seed, 9);
        request.resume_after = expected[..delivered].concat();
        request.resume_tokens = u32::try_from(delivered).unwrap();
        let stream = engine::generate(&replica.pool, replica.target(), &request, || true, TIMEOUT);
        let mut stream = stream.await.unwrap();
        let mut all = request.resume_after.clone();
        let mut finish = None;
        while let Some(frame) = stream.next().await {
            let frame = frame.unwrap();
            all += &frame.text;
            finish = frame.finish;
        }
        assert_eq!((all, finish), (expected.concat(), Some(Finish::Length)));
    }
    assert_eq!(replica.world.counters().wrong_resumes, 0);
}

/// A call to a service under a fault, its expected verdict and number of runs.
struct CallCase {
    name: &'static str,
    before: fn(&World, &Server),
    may_send: bool,
    verdict: Option<Verdict>,
    is_restarted: bool,
    runs: u64,
}

const CALL_CASES: &[CallCase] = &[
    CallCase {
        name: "no fault",
        before: |_, _| {},
        may_send: true,
        verdict: None,
        is_restarted: false,
        runs: 1,
    },
    CallCase {
        name: "no longer allowed when written",
        before: |_, _| {},
        may_send: false,
        verdict: Some(Verdict::NotRun),
        is_restarted: false,
        runs: 0,
    },
    CallCase {
        name: "restarted between check and dispatch",
        before: |_, server| server.restart(true),
        may_send: true,
        verdict: Some(Verdict::NotRun),
        is_restarted: true,
        runs: 0,
    },
    CallCase {
        name: "gone",
        before: |world, server| {
            assert!(world.apply(&Command::Mode {
                instance: server.listed().instance.clone(),
                mode: Mode::Refuse,
            }));
        },
        may_send: true,
        verdict: Some(Verdict::NotRun),
        is_restarted: false,
        runs: 0,
    },
    CallCase {
        name: "answer lost after the run",
        before: |_, server| {
            server.set_faults(Faults {
                lose_answers: true,
                ..Faults::default()
            });
        },
        may_send: true,
        verdict: Some(Verdict::MayHaveRun),
        is_restarted: false,
        runs: 1,
    },
    CallCase {
        name: "answer of another attempt",
        before: |_, server| {
            server.set_faults(Faults {
                cross_answers: true,
                ..Faults::default()
            });
        },
        may_send: true,
        verdict: Some(Verdict::MayHaveRun),
        is_restarted: false,
        runs: 1,
    },
];

#[tokio::test]
async fn call_verdict_matches_fault() {
    for case in CALL_CASES {
        let world = World::start(&instant_shape(), 1).await.unwrap();
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
        let may_send = case.may_send;
        let request = call("key-1");
        let result = service::call(&pool, target, &request, move || may_send, TIMEOUT).await;
        let failure = result.as_ref().err();
        assert_eq!(
            failure.map(backend::Failure::verdict),
            case.verdict,
            "{}",
            case.name
        );
        let restart = failure.and_then(backend::Failure::restart);
        assert_eq!(restart.is_some(), case.is_restarted, "{}", case.name);
        assert_eq!(
            world.counters().max_runs_per_key(),
            case.runs,
            "{}",
            case.name
        );
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
async fn request_does_not_run_after_restart() {
    let world = World::start(&instant_shape(), 1).await.unwrap();
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
        let failure = service::call(&pool, target, &request, || true, TIMEOUT).await;
        assert_ne!(failure.unwrap_err().verdict(), Verdict::Ran);
    }
    assert_eq!(world.counters().max_runs_per_key(), 0);
}

#[tokio::test]
async fn connection_fails_after_restart() {
    let world = World::start(&instant_shape(), 1).await.unwrap();
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
struct LoadCase {
    name: &'static str,
    warm: bool,
    /// The number of concurrent requests above the cold limit.
    above_limit: u32,
    restarts: u64,
}

#[tokio::test]
async fn only_cold_server_restarts_on_overload() {
    let cases = [
        LoadCase {
            name: "cold at its limit",
            warm: false,
            above_limit: 0,
            restarts: 0,
        },
        LoadCase {
            name: "cold, one above",
            warm: false,
            above_limit: 1,
            restarts: 1,
        },
        LoadCase {
            name: "warm, one above the cold limit",
            warm: true,
            above_limit: 1,
            restarts: 0,
        },
    ];
    for case in cases {
        let replica = FormedReplica::start(2).await;
        let first_member = replica.first_member();
        first_member.set_warm(case.warm);
        first_member.set_faults(Faults {
            stall_after: Some(1),
            ..Faults::default()
        });
        let boot = first_member.report().boot;
        let mut streams = Vec::new();
        for _ in 0..first_member.report().cold_limit + case.above_limit {
            let request = generate("prompt", 1, 8);
            let target = replica.target();
            let stream = engine::generate(&replica.pool, target, &request, || true, TIMEOUT).await;
            streams.push(stream);
        }
        assert_eq!(
            replica.world.counters().cold_overloads,
            case.restarts,
            "{}",
            case.name
        );
        assert_eq!(
            first_member.report().boot == boot,
            case.restarts == 0,
            "{}",
            case.name
        );
    }
}

#[tokio::test]
async fn server_warms_up_by_completions_and_cools_without_restart() {
    let replica = FormedReplica::start(2).await;
    let first_member = replica.first_member();
    let boot = first_member.report().boot;
    for round in 0..2 {
        let mut completions = 0;
        while !first_member.report().warm {
            let (target, request) = (replica.target(), generate("prompt", 1, 2));
            let stream = engine::generate(&replica.pool, target, &request, || true, TIMEOUT).await;
            let mut stream = stream.unwrap();
            while stream.next().await.is_some() {}
            completions += 1;
        }
        assert_eq!(
            completions,
            instant_shape().speed.warm_completions,
            "{round}"
        );
        first_member.cool();
        assert!(!first_member.report().warm);
        assert_eq!(first_member.report().boot, boot);
    }
}

#[tokio::test]
async fn full_engine_admits_by_priority() {
    let replica = FormedReplica::start(2).await;
    let first_member = replica.first_member();
    first_member.set_warm(true);
    first_member.set_faults(Faults {
        stall_after: Some(0),
        ..Faults::default()
    });
    let target = replica.target();
    let start = |priority| {
        let (pool, mut request) = (replica.pool.clone(), generate("prompt", 1, 8));
        request.priority = priority;
        tokio::spawn(
            async move { engine::generate(&pool, target, &request, || true, TIMEOUT).await },
        )
    };
    let mut streams = Vec::new();
    for _ in 0..first_member.report().warm_limit {
        streams.push(start(0).await.unwrap().unwrap());
    }
    let mut waiting = Vec::new();
    for (n, priority) in [5, 1, 3].into_iter().enumerate() {
        waiting.push(start(priority));
        common::wait_until(|| first_member.report().waiting as usize == n + 1).await;
    }
    for next in [1, 1, 0] {
        drop(streams.pop());
        streams.push(waiting.remove(next).await.unwrap().unwrap());
        let finished = waiting.iter().filter(|waiting| waiting.is_finished());
        assert_eq!(finished.count(), 0);
    }
}

/// An order sent after a join at generation 5, and its expected result.
struct OrderCase {
    name: &'static str,
    fences: bool,
    may_send: bool,
    generation: u64,
    verdict: Option<Verdict>,
    /// The generation that the engine reports after the order.
    reported_generation: u64,
}

#[tokio::test]
async fn fencing_engine_refuses_stale_order() {
    let row = |name, fences, may_send, generation, verdict, reported_generation| OrderCase {
        name,
        fences,
        may_send,
        generation,
        verdict,
        reported_generation,
    };
    let not_run = Some(Verdict::NotRun);
    let cases = [
        row("later", true, true, 6, None, 6),
        row("earlier, fenced", true, true, 4, not_run, 5),
        row("earlier, not fenced", false, true, 4, None, 4),
        row("too late to be sent", false, false, 6, not_run, 5),
    ];
    for case in cases {
        let replica = FormedReplica::start(2).await;
        let first_member = replica.first_member();
        first_member.set_faults(Faults {
            fences: case.fences,
            ..Faults::default()
        });
        let address = first_member.listed().address;
        let order = replica.order(0, case.generation);
        let may_send = case.may_send;
        let sent = engine::order(&replica.pool, address, &order, move || may_send).await;
        let failure = sent.as_ref().err();
        assert_eq!(
            failure.map(backend::Failure::verdict),
            case.verdict,
            "{}",
            case.name
        );
        let report = first_member.report();
        assert_eq!(
            report.generation,
            Generation(case.reported_generation),
            "{}",
            case.name
        );
    }
}

#[tokio::test]
async fn replica_with_missing_member_refuses() {
    let replica = FormedReplica::start(3).await;
    let before = replica.world.survey();
    assert_eq!(before.serving[0].generation, replica.target().generation);
    assert_eq!(
        (before.serving[0].members.len(), before.stranded.len()),
        (3, 9)
    );
    replica.servers[2].restart(true);
    let after = replica.world.survey();
    assert_eq!((after.serving.len(), after.stranded.len()), (0, 12));
    let request = generate("prompt", 1, 4);
    let target = replica.target();
    let sent = engine::generate(&replica.pool, target, &request, || true, TIMEOUT).await;
    assert_eq!(sent.unwrap_err().verdict(), Verdict::NotRun);
    let counters = replica.world.counters();
    assert_eq!(counters.refused_with_missing_member, 1);
    assert_eq!(counters.served_with_missing_member, 0);
    assert_eq!(replica.first_member().report().phase, Phase::Ready);
}

#[tokio::test]
async fn dropped_answer_frees_engine() {
    let replica = FormedReplica::start(2).await;
    let first_member = replica.first_member();
    first_member.set_faults(Faults {
        stall_after: Some(1),
        ..Faults::default()
    });
    let request = generate("prompt", 1, 8);
    let target = replica.target();
    let stream = engine::generate(&replica.pool, target, &request, || true, TIMEOUT).await;
    let mut stream = stream.unwrap();
    assert!(stream.next().await.unwrap().is_ok());
    assert_eq!(first_member.report().running, 1);
    drop(stream);
    common::wait_until(|| first_member.report().running == 0).await;
    let attempt = Attempt::random();
    engine::cancel(&replica.pool, target.address, attempt)
        .await
        .unwrap();
}
