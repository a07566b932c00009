//! A small deployment, and calls whose answers are checked.

use bench::{Answer, Deployment, Kind, Options, StreamedAnswer, api_key};
use http::Method;
use serde_json::{Value, json};
use slog::{Logger, o};
use standin::{Command, Faults, Mode, Shape};
use std::{net::SocketAddr, time::Duration};
use uuid::Uuid;

/// The account that the tests call as, and another.
pub(crate) const ACCOUNT: &str = "llyn-press";
pub(crate) const OTHER_ACCOUNT: &str = "bala-books";

/// The model of the example lists.
pub(crate) const MODEL: &str = "draft-cy";

/// How long a deployment may take to be ready.
const PATIENCE: Duration = Duration::from_secs(40);

/// Starts three entry nodes, three replicas and three ledgers.
pub(crate) async fn deployment(settings: &str) -> Deployment {
    let options = Options {
        kind: Kind::HafodTegid,
        shape: Shape::demo(),
        nodes: 3,
        seed: 5,
        settings: format!("timings = {{ entries_ttl_ms = 500 }}\n{settings}"),
    };
    let log = Logger::root(slog::Discard, o!());
    let deployment = Deployment::start(options, &log).await.unwrap();
    deployment.wait_until_ready(3, PATIENCE).await.unwrap();
    deployment
}

/// Sets the fault switches of every backend server whose name contains `part`.
pub(crate) fn set_faults(deployment: &Deployment, part: &str, faults: &Faults) {
    for server in deployment.world().servers() {
        let instance = server.listed().instance.clone();
        if instance.as_str().contains(part) {
            deployment.world().apply(&Command::Faults {
                instance,
                faults: faults.clone(),
            });
        }
    }
}

/// Sets the faults of the log service.
pub(crate) fn set_log(
    deployment: &Deployment,
    mode: Mode,
    slow_ms: u64,
    lose_acknowledgements: u32,
) {
    deployment.world().apply(&Command::Log {
        mode,
        slow_ms,
        lose_acknowledgements,
    });
}

/// Streams a draft and returns it with the right answer.
pub(crate) async fn draft(
    deployment: &Deployment,
    address: SocketAddr,
    seed: u64,
    max_tokens: u32,
) -> (StreamedAnswer, String) {
    let prompt = format!("Summarise plan {seed}.");
    let body = json!({"model": MODEL, "stream": true, "max_tokens": max_tokens, "seed": seed, "prompt": prompt});
    let key = api_key(ACCOUNT);
    let streamed = deployment
        .client()
        .stream(address, "/v1/completions", &key, &[], &body)
        .await;
    let right = standin::engine::answer_tokens(seed, &prompt, max_tokens).concat();
    (streamed.unwrap(), right)
}

/// Checks that a draft is whole and right, or a part that is said to be one.
pub(crate) fn check_draft(name: &str, streamed: &StreamedAnswer, right: &str) {
    assert!(
        right.starts_with(&streamed.text),
        "{name}: wrong text {streamed:?}"
    );
    if streamed.is_complete {
        assert_eq!(streamed.text, right, "{name}");
    } else {
        let verdict = streamed.error.as_ref().and_then(|e| e["verdict"].as_str());
        assert!(
            verdict.is_some(),
            "{name}: a part without an error: {streamed:?}"
        );
        let is_honest = streamed.tokens == 0 || verdict != Some("not-run");
        assert!(is_honest, "{name}: {streamed:?}");
    }
}

/// Calls a service of the ledger.
pub(crate) async fn ledger(
    deployment: &Deployment,
    address: SocketAddr,
    call: &str,
    account: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Answer {
    let path = format!("/v1/services/ledger/{call}");
    let key = api_key(account);
    let client = deployment.client();
    client
        .call(Method::POST, address, &path, &key, headers, body)
        .await
        .unwrap()
}

/// Makes an entry under a key, within a deadline in milliseconds.
pub(crate) async fn entry(
    deployment: &Deployment,
    address: SocketAddr,
    key: &str,
    deadline_ms: u64,
) -> Answer {
    let deadline = deadline_ms.to_string();
    let headers = [
        ("idempotency-key", key),
        ("x-deadline-ms", deadline.as_str()),
    ];
    ledger(
        deployment,
        address,
        "entry",
        ACCOUNT,
        &headers,
        &entry_body(),
    )
    .await
}

/// Returns the body of an entry.
pub(crate) fn entry_body() -> Value {
    json!({"project": "T-7", "hours": 40})
}

/// Returns a new key.
pub(crate) fn new_key() -> String {
    Uuid::now_v7().to_string()
}

/// Returns how often the request under a key ran.
pub(crate) fn runs(deployment: &Deployment, key: &str) -> u64 {
    deployment
        .world()
        .counters()
        .runs_per_key
        .get(key)
        .copied()
        .unwrap_or(0)
}

/// Returns the verdict of an answer.
pub(crate) fn verdict(answer: &Answer) -> &str {
    answer.verdict.as_deref().unwrap_or("none")
}

/// Checks what a caller was told of a key against how often it ran.
pub(crate) fn check_key(name: &str, answers: &[Answer], runs: u64) {
    assert!(runs <= 1, "{name}: ran {runs} times");
    for answer in answers {
        match verdict(answer) {
            "not-run" => assert_eq!(runs, 0, "{name}: told not-run, but ran: {answer:?}"),
            "ran" => assert_eq!(runs, 1, "{name}: told ran, but did not: {answer:?}"),
            "may-have-run" => {}
            other => panic!("{name}: no verdict: {other} {answer:?}"),
        }
    }
}

/// Waits until `holds`, or fails after the longest time that is promised.
pub(crate) async fn within(what: &str, longest: Duration, mut holds: impl AsyncFnMut() -> bool) {
    let until = tokio::time::Instant::now() + longest;
    while !holds().await {
        assert!(
            tokio::time::Instant::now() < until,
            "not within {longest:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
