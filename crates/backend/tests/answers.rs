//! Verdicts on valid, malformed and missing responses of a backend server.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use backend::{
    Bounds, Failure, Pool, Target, engine,
    proto::{Generate, Phase, Report, Role},
    service::{self, Call},
};
use name::{Attempt, Generation, Instance, Model};
use std::{
    io::{Read, Write},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use uuid::Uuid;
use verdict::Verdict;

/// The attempt ID of every request in these tests.
const ATTEMPT: Attempt = Attempt(Uuid::from_u128(7));

/// The boot ID of the server.
const BOOT: Uuid = Uuid::from_u128(9);

/// Returns limits with short timeouts, for responses that never arrive.
fn bounds() -> Bounds {
    Bounds {
        connect: Duration::from_secs(10),
        answer: Duration::from_millis(300),
        idle: Duration::from_millis(300),
        answer_bytes: 2_000,
        frame_bytes: 500,
        ..Bounds::default()
    }
}

/// Returns a response with `status` and `body` that repeats the attempt ID.
fn answer(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-attempt-id: {ATTEMPT}\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the response to a report request.
fn report() -> String {
    let report = Report {
        instance: Instance::try_from("i").unwrap(),
        boot: BOOT,
        role: Role::Service,
        phase: Phase::Idle,
        replica: None,
        generation: Generation(0),
        member: 0,
        loaded: Vec::new(),
        warm: true,
        warm_limit: 1,
        cold_limit: 1,
        running: 0,
        waiting: 0,
        fences: true,
    };
    answer("200 OK", "", &serde_json::to_string(&report).unwrap())
}

/// Reads one request, its body as long as its `content-length`.
async fn read_request(stream: &mut TcpStream) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?.to_lowercase();
    let length = head.split("content-length: ").nth(1);
    let length = length.and_then(|rest| rest.split("\r\n").next());
    let length = length.map_or(0, |text| text.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(())
}

/// Sends a report and then `said` on each connection, then closes it or stalls.
async fn serve(report: String, said: String, closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (report, said) = (report.clone(), said.clone());
            tokio::spawn(async move {
                for text in [report, said] {
                    if read_request(&mut stream).await.is_none() {
                        return;
                    }
                    let _ = stream.write_all(text.as_bytes()).await;
                }
                if !closes {
                    let _ = stream.read_u8().await;
                }
            });
        }
    });
    address
}

/// Sends a report and then `said` to every later request; counts the connections.
async fn serve_on(said: String) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            let said = said.clone();
            tokio::spawn(async move {
                let mut text = report();
                while read_request(&mut stream).await.is_some() {
                    let _ = stream.write_all(text.as_bytes()).await;
                    text.clone_from(&said);
                }
            });
        }
    });
    (address, count)
}

/// Returns a frame as a server-sent event.
fn frame(index: u32, is_last: bool) -> String {
    let finish = if is_last { "\"stop\"" } else { "null" };
    let id = ATTEMPT.0;
    format!(
        "data: {{\"attempt\":\"{id}\",\"generation\":4,\"index\":{index},\"text\":\"t\",\"finish\":{finish}}}\n\n"
    )
}

/// Returns a generation request.
fn generate() -> Generate {
    Generate {
        attempt: ATTEMPT,
        model: Model::try_from("m").unwrap(),
        prompt: String::new(),
        resume_after: String::new(),
        resume_tokens: 0,
        max_tokens: 9,
        priority: 0,
        seed: 0,
    }
}

/// Returns a call to a service.
fn call() -> Call {
    Call {
        attempt: ATTEMPT,
        name: "x".into(),
        key: None,
        body: "{}".into(),
    }
}

/// A server's response to a call, and the expected verdict.
struct Case {
    name: &'static str,
    report: String,
    said: String,
    closes: bool,
    verdict: Option<Verdict>,
}

fn cases() -> Vec<Case> {
    let row = |name, said: String, closes, verdict| Case {
        name,
        report: report(),
        said,
        closes,
        verdict,
    };
    let unread = |name, report: String| Case {
        name,
        report,
        said: String::new(),
        closes: true,
        verdict: Some(Verdict::NotRun),
    };
    let (not_run, open) = (Some(Verdict::NotRun), Some(Verdict::MayHaveRun));
    let good = format!("{{\"attempt\":\"{}\",\"result\":1}}", ATTEMPT.0);
    let ok = |body: &str| answer("200 OK", "", body);
    let crossed = format!("{{\"attempt\":\"{}\",\"result\":1}}", Uuid::from_u128(8));
    let refused = "x-refused: 1\r\n";
    vec![
        row("valid response", ok(&good), false, None),
        row("body of another attempt", ok(&crossed), false, open),
        row(
            "head of another attempt",
            ok(&good).replace(
                &ATTEMPT.to_string(),
                &Uuid::from_u128(8).simple().to_string(),
            ),
            false,
            open,
        ),
        row(
            "no attempt ID",
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".into(),
            false,
            open,
        ),
        row("malformed body", ok("{"), false, open),
        row(
            "response that is not HTTP",
            "hello\r\n\r\n".into(),
            true,
            open,
        ),
        row("no response, connection closed", String::new(), true, open),
        row("no response, connection open", String::new(), false, open),
        row(
            "incomplete head",
            "HTTP/1.1 200 OK\r\nx-att".into(),
            false,
            open,
        ),
        row("incomplete body", ok(&good).replace("}", ""), false, open),
        row("body too large", ok(&"x".repeat(3_000)), false, open),
        row(
            "503 with the refusal header",
            answer("503 X", refused, ""),
            false,
            not_run,
        ),
        row(
            "refusal without the attempt ID",
            format!("HTTP/1.1 503 X\r\n{refused}content-length: 0\r\n\r\n"),
            false,
            open,
        ),
        row(
            "503 without the header",
            answer("503 X", "", ""),
            false,
            open,
        ),
        row(
            "stale generation",
            answer("409 X", "", "{\"seen\":6}"),
            false,
            not_run,
        ),
        row(
            "409 without a refusal",
            answer("409 X", "", "no"),
            false,
            open,
        ),
        row("500", answer("500 X", "", ""), false, open),
        unread("no report", String::new()),
        unread("malformed report", answer("200 OK", "", "{}")),
        unread(
            "report with another boot ID",
            report().replace(&BOOT.to_string(), &Uuid::from_u128(1).to_string()),
        ),
    ]
}

#[tokio::test]
async fn calls_have_verdicts() {
    for case in cases() {
        let address = serve(case.report, case.said, case.closes).await;
        let target = Target {
            address,
            boot: Some(BOOT),
            generation: Generation(0),
        };
        let pool = Pool::new(bounds());
        let within = Duration::from_millis(300);
        let result = service::call(&pool, target, &call(), || true, within).await;
        let verdict = result.as_ref().err().map(Failure::verdict);
        assert_eq!(verdict, case.verdict, "{}: {result:?}", case.name);
    }
}

#[tokio::test]
async fn nobody_listening_is_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let failure = engine::report(&Pool::new(bounds()), address).await;
    assert_eq!(failure.unwrap_err().verdict(), Verdict::NotRun);
}

/// Guards against a request sent after the server closed the connection, while the
/// runtime has not yet reported the close.
#[tokio::test]
async fn a_close_that_was_not_delivered_is_not_run() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (close, closing) = std::sync::mpsc::channel::<()>();
    let (closed, wait) = std::sync::mpsc::channel();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        stream.write_all(report().as_bytes()).unwrap();
        closing.recv().unwrap();
        drop(stream);
        closed.send(()).unwrap();
    });
    let pool = Pool::new(bounds());
    engine::report(&pool, address).await.unwrap();
    // Blocks the runtime's only thread, so that it can't report the close.
    close.send(()).unwrap();
    wait.recv().unwrap();
    let target = Target {
        address,
        boot: Some(BOOT),
        generation: Generation(0),
    };
    let within = Duration::from_millis(300);
    let failure = service::call(&pool, target, &call(), || true, within).await;
    assert_eq!(failure.unwrap_err().verdict(), Verdict::NotRun);
    server.join().unwrap();
}

/// A stream of frames, how many are delivered, and whether the answer is complete.
struct Frames {
    name: &'static str,
    body: String,
    arrive: usize,
    whole: bool,
}

#[tokio::test]
async fn streams_end_with_a_last_frame_or_an_error() {
    let row = |name, body: String, arrive, whole| Frames {
        name,
        body,
        arrive,
        whole,
    };
    let two = frame(0, false) + &frame(1, true);
    let cases = [
        row("complete", two.clone(), 2, true),
        row("no last frame", frame(0, false), 1, false),
        row(
            "another generation",
            two.replace("\"generation\":4", "\"generation\":3"),
            0,
            false,
        ),
        row("malformed frame", frame(0, false) + "data: {\n\n", 1, false),
        row(
            "oversized frame",
            frame(0, false) + "data: " + &"x".repeat(600),
            1,
            false,
        ),
        row(
            "frame after the last",
            two.clone() + &frame(2, false),
            2,
            true,
        ),
        row("no frames", String::new(), 0, false),
    ];
    for case in cases {
        let said = answer("200 OK", "", &case.body);
        let target = Target {
            address: serve(report(), said, true).await,
            boot: Some(BOOT),
            generation: Generation(4),
        };
        let pool = Pool::new(bounds());
        let within = Duration::from_millis(300);
        let stream = engine::generate(&pool, target, &generate(), || true, within).await;
        let mut stream = stream.unwrap();
        let (mut arrived, mut failures) = (0, 0);
        while let Some(next) = stream.next().await {
            arrived += usize::from(next.is_ok());
            failures += usize::from(next.is_err());
        }
        assert_eq!(arrived, case.arrive, "{}", case.name);
        assert_eq!(failures, usize::from(!case.whole), "{}", case.name);
    }
}

/// A server's response to each request, and the connections that three requests open.
struct Kept {
    name: &'static str,
    said: String,
    connections: usize,
}

#[tokio::test]
async fn connections_are_kept_after_whole_answers_only() {
    let two = frame(0, false) + &frame(1, true);
    let row = |name, said, connections| Kept {
        name,
        said,
        connections,
    };
    let cases = [
        row("complete", answer("200 OK", "", &two), 1),
        row(
            "503 with the refusal header",
            answer("503 X", "x-refused: 1\r\n", ""),
            1,
        ),
        row("stale generation", answer("409 X", "", "{\"seen\":6}"), 1),
        row("500", answer("500 X", "", ""), 3),
        row(
            "frame after the last",
            answer("200 OK", "", &(two + &frame(2, true))),
            3,
        ),
    ];
    for case in cases {
        let (address, count) = serve_on(case.said).await;
        let target = Target {
            address,
            boot: Some(BOOT),
            generation: Generation(4),
        };
        let pool = Pool::new(bounds());
        for _ in 0..3 {
            let within = Duration::from_secs(10);
            let stream = engine::generate(&pool, target, &generate(), || true, within).await;
            if let Ok(mut stream) = stream {
                while stream.next().await.is_some() {}
            }
        }
        assert_eq!(
            count.load(Ordering::SeqCst),
            case.connections,
            "{}",
            case.name
        );
    }
}
