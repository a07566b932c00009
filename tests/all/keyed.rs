//! Requests that may not be repeated, under faults of the log and the ledger.

use crate::fixture::{
    ACCOUNT, OTHER_ACCOUNT, check_key, deployment, entry, entry_body, ledger, new_key, runs,
    set_faults, set_log, verdict,
};
use bench::{Answer, Deployment, api_key};
use futures_util::future::join_all;
use http::Method;
use serde_json::{Value, json};
use standin::{Faults, Mode};
use std::time::Duration;
use uuid::Uuid;

/// A fault during an entry, and what the caller may be told.
struct Case {
    name: &'static str,
    log: (Mode, u64, u32),
    ledger: Faults,
    verdicts: &'static [&'static str],
}

fn cases() -> Vec<Case> {
    let none = Faults::default;
    let up = (Mode::Up, 0, 0);
    vec![
        Case {
            name: "no fault",
            log: up,
            ledger: none(),
            verdicts: &["ran"],
        },
        Case {
            name: "acknowledgement lost",
            log: (Mode::Up, 0, 2),
            ledger: none(),
            verdicts: &["ran"],
        },
        Case {
            name: "log slow",
            log: (Mode::Up, 300, 0),
            ledger: none(),
            verdicts: &["ran"],
        },
        Case {
            name: "log slower than a claim may be",
            log: (Mode::Up, 2_500, 0),
            ledger: none(),
            verdicts: &["not-run", "may-have-run"],
        },
        Case {
            name: "log refuses",
            log: (Mode::Refuse, 0, 0),
            ledger: none(),
            verdicts: &["may-have-run"],
        },
        Case {
            name: "log hangs",
            log: (Mode::Hang, 0, 0),
            ledger: none(),
            verdicts: &["may-have-run"],
        },
        Case {
            name: "ledger runs and does not answer",
            log: up,
            ledger: Faults {
                lose_answers: true,
                ..none()
            },
            verdicts: &["may-have-run"],
        },
        Case {
            name: "ledger answers another attempt",
            log: up,
            ledger: Faults {
                cross_answers: true,
                ..none()
            },
            verdicts: &["may-have-run"],
        },
        Case {
            name: "ledger slow",
            log: up,
            ledger: Faults {
                slow_percent: 1_000,
                ..none()
            },
            verdicts: &["ran"],
        },
    ]
}

/// Waits until an entry succeeds, after a fault has ended.
async fn recovered(deployment: &Deployment) {
    let callers = deployment.caller_addresses();
    for address in callers {
        crate::fixture::within("an entry succeeds", Duration::from_secs(20), async || {
            verdict(&entry(deployment, address, &new_key(), 3_000).await) == "ran"
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_runs_at_most_once_and_not_run_is_true() {
    let mut deployment = deployment("").await;
    let callers = deployment.caller_addresses();
    for case in cases() {
        recovered(&deployment).await;
        let (mode, slow, lost) = case.log;
        set_log(&deployment, mode, slow, lost);
        set_faults(&deployment, "ledger", &case.ledger);
        let key = new_key();
        let first = entry(&deployment, callers[0], &key, 6_000).await;
        assert!(
            case.verdicts.contains(&verdict(&first)),
            "{}: {first:?}",
            case.name
        );
        let again = entry(&deployment, callers[1], &key, 6_000).await;
        set_log(&deployment, Mode::Up, 0, 0);
        set_faults(&deployment, "ledger", &Faults::default());
        recovered(&deployment).await;
        let last = entry(&deployment, callers[2], &key, 6_000).await;
        check_key(case.name, &[first, again, last], runs(&deployment, &key));
    }
    assert_eq!(deployment.world().counters().max_runs_per_key(), 1);
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_at_two_nodes_at_once_runs_once() {
    let mut deployment = deployment("").await;
    let callers = deployment.caller_addresses();
    for _ in 0..10 {
        let key = new_key();
        let calls = callers
            .iter()
            .map(|address| entry(&deployment, *address, &key, 5_000));
        let answers = join_all(calls).await;
        check_key("at once", &answers, runs(&deployment, &key));
        assert_eq!(runs(&deployment, &key), 1);
        assert!(
            answers.iter().all(|answer| verdict(answer) == "ran"),
            "{answers:?}"
        );
        assert!(
            answers.iter().all(|answer| answer.body == answers[0].body),
            "{answers:?}"
        );
    }
    deployment.stop().await;
}

/// A key that is refused, with the status and verdict.
struct Refused {
    name: &'static str,
    headers: Vec<(&'static str, String)>,
    account: &'static str,
    body: Value,
    status: u16,
    verdict: &'static str,
}

/// Returns a UUIDv7 whose time lies `millis` from now.
fn key_at(millis: i64) -> String {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    let at = i64::try_from(now.as_millis()).unwrap() + millis;
    let at = u64::try_from(at).unwrap();
    let time = uuid::Timestamp::from_unix(
        uuid::NoContext,
        at / 1_000,
        u32::try_from(at % 1_000).unwrap() * 1_000_000,
    );
    Uuid::new_v7(time).to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_that_cannot_be_honoured_are_refused() {
    let mut deployment = deployment("").await;
    let callers = deployment.caller_addresses();
    let used = new_key();
    assert_eq!(
        verdict(&entry(&deployment, callers[0], &used, 5_000).await),
        "ran"
    );
    let key = |key: &str| vec![("idempotency-key", key.to_owned())];
    let case = |name, headers, status, verdict| Refused {
        name,
        headers,
        account: ACCOUNT,
        body: entry_body(),
        status,
        verdict,
    };
    let cases = vec![
        case("no key", vec![], 400, "not-run"),
        case("not a UUID", key("abc"), 400, "not-run"),
        case(
            "version 4",
            key(&Uuid::new_v4().to_string()),
            400,
            "not-run",
        ),
        case("a day old", key(&key_at(-86_400_000)), 503, "may-have-run"),
        case("a day ahead", key(&key_at(86_400_000)), 400, "may-have-run"),
        Refused {
            name: "another body",
            headers: key(&used),
            account: ACCOUNT,
            body: json!({"project": "T-8", "hours": 1}),
            status: 422,
            verdict: "ran",
        },
        Refused {
            name: "the key of another account",
            headers: key(&used),
            account: OTHER_ACCOUNT,
            body: entry_body(),
            status: 200,
            verdict: "ran",
        },
    ];
    for case in cases {
        let headers: Vec<(&str, &str)> =
            case.headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        let answer = ledger(
            &deployment,
            callers[1],
            "entry",
            case.account,
            &headers,
            &case.body,
        )
        .await;
        assert_eq!(
            (answer.status.as_u16(), verdict(&answer)),
            (case.status, case.verdict),
            "{}: {answer:?}",
            case.name
        );
    }
    deployment.stop().await;
}

/// An error told before the key is looked up, whose key has run.
struct Early {
    name: &'static str,
    path: &'static str,
    token: String,
    body: Value,
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_before_the_key_is_looked_up_do_not_say_not_run() {
    let mut deployment = deployment("").await;
    let address = deployment.caller_addresses()[0];
    let used = new_key();
    assert_eq!(
        verdict(&entry(&deployment, address, &used, 5_000).await),
        "ran"
    );
    let entry_path = "/v1/services/ledger/entry";
    let case = |name, path, token: &str| Early {
        name,
        path,
        token: token.into(),
        body: entry_body(),
    };
    let cases = [
        case("an unknown API key", entry_path, "no-such-key"),
        case(
            "an unknown call",
            "/v1/services/ledger/nothing",
            &api_key(ACCOUNT),
        ),
        case(
            "an unknown service",
            "/v1/services/nothing/entry",
            &api_key(ACCOUNT),
        ),
        Early {
            body: Value::Null,
            ..case("no body", entry_path, &api_key(ACCOUNT))
        },
    ];
    for case in cases {
        let headers = [("idempotency-key", used.as_str())];
        let answer = deployment
            .client()
            .call(
                Method::POST,
                address,
                case.path,
                &case.token,
                &headers,
                &case.body,
            )
            .await
            .unwrap();
        assert!(answer.status.is_client_error(), "{}: {answer:?}", case.name);
        assert_eq!(
            verdict(&answer),
            "may-have-run",
            "{}: {answer:?}",
            case.name
        );
    }
    assert_eq!(runs(&deployment, &used), 1);
    deployment.stop().await;
}

/// Asks a node for a ticket.
async fn ticket(deployment: &Deployment, number: usize) -> String {
    let address = deployment.caller_addresses()[number];
    let key = api_key(ACCOUNT);
    let answer = deployment
        .client()
        .call(
            Method::POST,
            address,
            "/v1/tickets",
            &key,
            &[],
            &Value::Null,
        )
        .await
        .unwrap();
    answer.body["ticket"].as_str().unwrap().into()
}

/// Makes an entry under a ticket.
async fn by_ticket(deployment: &Deployment, number: usize, ticket: &str, account: &str) -> Answer {
    let headers = [("x-ticket", ticket), ("x-deadline-ms", "5000")];
    ledger(
        deployment,
        deployment.caller_addresses()[number],
        "entry",
        account,
        &headers,
        &entry_body(),
    )
    .await
}

/// Returns the number of entries that ran so far.
fn all_runs(deployment: &Deployment) -> u64 {
    deployment.world().counters().runs_per_key.values().sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_go_on_under_tickets_while_the_log_is_down() {
    let mut deployment = deployment("").await;
    set_log(&deployment, Mode::Refuse, 0, 0);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let held = ticket(&deployment, 0).await;
    let before = all_runs(&deployment);
    let through_peer = by_ticket(&deployment, 1, &held, ACCOUNT).await;
    assert_eq!(verdict(&through_peer), "ran", "{through_peer:?}");
    let again = by_ticket(&deployment, 0, &held, ACCOUNT).await;
    assert_eq!(verdict(&again), "ran", "{again:?}");
    assert_eq!(again.body, through_peer.body);
    assert_eq!(all_runs(&deployment), before + 1);
    let stolen = by_ticket(&deployment, 0, &held, OTHER_ACCOUNT).await;
    assert_eq!(stolen.status, 403, "{stolen:?}");
    // The issuer is lost: nobody can tell, and nothing runs.
    let orphan = ticket(&deployment, 0).await;
    deployment.end_entry(0, false).await;
    let before = all_runs(&deployment);
    let answer = by_ticket(&deployment, 1, &orphan, ACCOUNT).await;
    assert_eq!(verdict(&answer), "may-have-run", "{answer:?}");
    assert_eq!(all_runs(&deployment), before);
    deployment.stop().await;
}
