//! Verdicts on valid, malformed and missing responses of a backend server.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use backend::{
    Failure, Limits, Pool, Target, engine,
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
fn limits() -> Limits {
    Limits {
        connect_timeout: Duration::from_secs(10),
        response_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_millis(300),
        max_response_bytes: 2_000,
        max_frame_bytes: 500,
        ..Limits::default()
    }
}

/// Returns a response with `status` and `body` that repeats the attempt ID.
fn http_response(status: &str, headers: &str, body: &str) -> String {
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
    http_response("200 OK", "", &serde_json::to_string(&report).unwrap())
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

/// Sends a report and then `response` on each connection, then closes it or stalls.
async fn serve(report: String, response: String, closes_connection: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (report, response) = (report.clone(), response.clone());
            tokio::spawn(async move {
                for text in [report, response] {
                    if read_request(&mut stream).await.is_none() {
                        return;
                    }
                    let _ = stream.write_all(text.as_bytes()).await;
                }
                if !closes_connection {
                    let _ = stream.read_u8().await;
                }
            });
        }
    });
    address
}

/// Sends a report and then `response` to every later request; counts the connections.
async fn serve_repeatedly(response: String) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            let response = response.clone();
            tokio::spawn(async move {
                let mut text = report();
                while read_request(&mut stream).await.is_some() {
                    let _ = stream.write_all(text.as_bytes()).await;
                    text.clone_from(&response);
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
    response: String,
    closes_connection: bool,
    verdict: Option<Verdict>,
}

fn cases() -> Vec<Case> {
    let row = |name, response: String, closes_connection, verdict| Case {
        name,
        report: report(),
        response,
        closes_connection,
        verdict,
    };
    let without_report = |name, report: String| Case {
        name,
        report,
        response: String::new(),
        closes_connection: true,
        verdict: Some(Verdict::NotRun),
    };
    let (not_run, may_have_run) = (Some(Verdict::NotRun), Some(Verdict::MayHaveRun));
    let valid = format!("{{\"attempt\":\"{}\",\"result\":1}}", ATTEMPT.0);
    let ok = |body: &str| http_response("200 OK", "", body);
    let other_attempt = format!("{{\"attempt\":\"{}\",\"result\":1}}", Uuid::from_u128(8));
    let refused = "x-refused: 1\r\n";
    vec![
        row("valid response", ok(&valid), false, None),
        row(
            "body of another attempt",
            ok(&other_attempt),
            false,
            may_have_run,
        ),
        row(
            "head of another attempt",
            ok(&valid).replace(
                &ATTEMPT.to_string(),
                &Uuid::from_u128(8).simple().to_string(),
            ),
            false,
            may_have_run,
        ),
        row(
            "no attempt ID",
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".into(),
            false,
            may_have_run,
        ),
        row("malformed body", ok("{"), false, may_have_run),
        row(
            "response that is not HTTP",
            "hello\r\n\r\n".into(),
            true,
            may_have_run,
        ),
        row(
            "no response, connection closed",
            String::new(),
            true,
            may_have_run,
        ),
        row(
            "no response, connection open",
            String::new(),
            false,
            may_have_run,
        ),
        row(
            "incomplete head",
            "HTTP/1.1 200 OK\r\nx-att".into(),
            false,
            may_have_run,
        ),
        row(
            "incomplete body",
            ok(&valid).replace("}", ""),
            false,
            may_have_run,
        ),
        row(
            "body too large",
            ok(&"x".repeat(3_000)),
            false,
            may_have_run,
        ),
        row(
            "503 with the refusal header",
            http_response("503 X", refused, ""),
            false,
            not_run,
        ),
        row(
            "refusal without the attempt ID",
            format!("HTTP/1.1 503 X\r\n{refused}content-length: 0\r\n\r\n"),
            false,
            may_have_run,
        ),
        row(
            "503 without the header",
            http_response("503 X", "", ""),
            false,
            may_have_run,
        ),
        row(
            "stale generation",
            http_response("409 X", "", "{\"seen\":6}"),
            false,
            not_run,
        ),
        row(
            "409 without a refusal",
            http_response("409 X", "", "no"),
            false,
            may_have_run,
        ),
        row("500", http_response("500 X", "", ""), false, may_have_run),
        without_report("no report", String::new()),
        without_report("malformed report", http_response("200 OK", "", "{}")),
        without_report(
            "report with another boot ID",
            report().replace(&BOOT.to_string(), &Uuid::from_u128(1).to_string()),
        ),
    ]
}

#[tokio::test]
async fn call_failure_has_expected_verdict() {
    for case in cases() {
        let address = serve(case.report, case.response, case.closes_connection).await;
        let target = Target {
            address,
            boot: Some(BOOT),
            generation: Generation(0),
        };
        let pool = Pool::new(limits());
        let timeout = Duration::from_millis(300);
        let result = service::call(&pool, target, &call(), || true, timeout).await;
        let verdict = result.as_ref().err().map(Failure::verdict);
        assert_eq!(verdict, case.verdict, "{}: {result:?}", case.name);
    }
}

#[tokio::test]
async fn refused_connection_is_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let failure = engine::report(&Pool::new(limits()), address).await;
    assert_eq!(failure.unwrap_err().verdict(), Verdict::NotRun);
}

/// Guards against a request sent after the server closed the connection, while the
/// runtime has not yet reported the close.
#[tokio::test]
async fn request_after_unreported_close_is_not_run() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (request_close, close_requested) = std::sync::mpsc::channel::<()>();
    let (report_closed, closed) = std::sync::mpsc::channel();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        stream.write_all(report().as_bytes()).unwrap();
        close_requested.recv().unwrap();
        drop(stream);
        report_closed.send(()).unwrap();
    });
    let pool = Pool::new(limits());
    engine::report(&pool, address).await.unwrap();
    // Blocks the runtime's only thread, so that it can't report the close.
    request_close.send(()).unwrap();
    closed.recv().unwrap();
    let target = Target {
        address,
        boot: Some(BOOT),
        generation: Generation(0),
    };
    let timeout = Duration::from_millis(300);
    let failure = service::call(&pool, target, &call(), || true, timeout).await;
    assert_eq!(failure.unwrap_err().verdict(), Verdict::NotRun);
    server.join().unwrap();
}

/// A stream of frames, how many are delivered, and whether the answer is complete.
struct StreamCase {
    name: &'static str,
    body: String,
    delivered: usize,
    is_complete: bool,
}

#[tokio::test]
async fn stream_ends_with_last_frame_or_error() {
    let row = |name, body: String, delivered, is_complete| StreamCase {
        name,
        body,
        delivered,
        is_complete,
    };
    let two_frames = frame(0, false) + &frame(1, true);
    let cases = [
        row("complete", two_frames.clone(), 2, true),
        row("no last frame", frame(0, false), 1, false),
        row(
            "another generation",
            two_frames.replace("\"generation\":4", "\"generation\":3"),
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
            two_frames.clone() + &frame(2, false),
            2,
            true,
        ),
        row("no frames", String::new(), 0, false),
    ];
    for case in cases {
        let response = http_response("200 OK", "", &case.body);
        let target = Target {
            address: serve(report(), response, true).await,
            boot: Some(BOOT),
            generation: Generation(4),
        };
        let pool = Pool::new(limits());
        let timeout = Duration::from_millis(300);
        let stream = engine::generate(&pool, target, &generate(), || true, timeout).await;
        let mut stream = stream.unwrap();
        let (mut delivered, mut failures) = (0, 0);
        while let Some(next) = stream.next().await {
            delivered += usize::from(next.is_ok());
            failures += usize::from(next.is_err());
        }
        assert_eq!(delivered, case.delivered, "{}", case.name);
        assert_eq!(failures, usize::from(!case.is_complete), "{}", case.name);
    }
}

/// A server's response to each request, and the connections that three requests open.
struct ReuseCase {
    name: &'static str,
    response: String,
    connections: usize,
}

#[tokio::test]
async fn connection_is_reused_after_complete_response_only() {
    let two_frames = frame(0, false) + &frame(1, true);
    let row = |name, response, connections| ReuseCase {
        name,
        response,
        connections,
    };
    let cases = [
        row("complete", http_response("200 OK", "", &two_frames), 1),
        row(
            "503 with the refusal header",
            http_response("503 X", "x-refused: 1\r\n", ""),
            1,
        ),
        row(
            "stale generation",
            http_response("409 X", "", "{\"seen\":6}"),
            1,
        ),
        row("500", http_response("500 X", "", ""), 3),
        row(
            "frame after the last",
            http_response("200 OK", "", &(two_frames + &frame(2, true))),
            3,
        ),
    ];
    for case in cases {
        let (address, count) = serve_repeatedly(case.response).await;
        let target = Target {
            address,
            boot: Some(BOOT),
            generation: Generation(4),
        };
        let pool = Pool::new(limits());
        for _ in 0..3 {
            let timeout = Duration::from_secs(10);
            let stream = engine::generate(&pool, target, &generate(), || true, timeout).await;
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

/// Returns a response with neither a length nor chunks, of which `length` bytes of the
/// body arrive.
fn unframed_response(body: &str, length: usize) -> String {
    let body = &body[..length];
    format!("HTTP/1.1 200 OK\r\nx-attempt-id: {ATTEMPT}\r\n\r\n{body}")
}

/// Returns a target at the address of a server that sends `response` and closes.
async fn closing_target(response: String, generation: Generation) -> Target {
    Target {
        address: serve(report(), response, true).await,
        boot: Some(BOOT),
        generation,
    }
}

#[tokio::test]
async fn stream_without_framing_that_is_cut_is_not_complete() {
    let body = frame(0, false) + &frame(1, true);
    for length in 0..=body.len() {
        let target = closing_target(unframed_response(&body, length), Generation(4)).await;
        let pool = Pool::new(limits());
        let timeout = Duration::from_secs(10);
        let stream = engine::generate(&pool, target, &generate(), || true, timeout).await;
        let mut stream = stream.unwrap();
        let mut last = None;
        while let Some(next) = stream.next().await {
            last = Some(next);
        }
        // Without the last frame's empty line the stream is not complete.
        let is_complete = last.unwrap().is_ok();
        assert_eq!(is_complete, length == body.len(), "{length} bytes");
    }
}

#[tokio::test]
async fn call_response_without_framing_that_is_cut_is_an_error() {
    let body = format!("{{\"attempt\":\"{}\",\"result\":{{\"n\":12}}}}", ATTEMPT.0);
    for length in 0..=body.len() {
        let target = closing_target(unframed_response(&body, length), Generation(0)).await;
        let pool = Pool::new(limits());
        let timeout = Duration::from_secs(10);
        let result = service::call(&pool, target, &call(), || true, timeout).await;
        let verdict = result.as_ref().err().map(Failure::verdict);
        let expected = (length < body.len()).then_some(Verdict::MayHaveRun);
        assert_eq!(verdict, expected, "{length} bytes: {result:?}");
    }
}
