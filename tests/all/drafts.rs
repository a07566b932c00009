//! Drafts under faults of the engines.

use crate::fixture::{check_draft, deployment, draft, set_faults};
use standin::Faults;

/// A fault of engines, and whether the answer must still arrive whole.
struct Case {
    name: &'static str,
    /// The engines concerned: those whose name contains this.
    engines: &'static str,
    faults: Faults,
    must_be_whole: bool,
}

/// Drafts that earn the account credit for retries.
const EARNING: u64 = 40;

/// The tokens of a draft; the stand-in's answers are shorter for some seeds.
const TOKENS: u32 = 12;

fn cases() -> Vec<Case> {
    let one = |name, faults| Case {
        name,
        engines: "teifi",
        faults,
        must_be_whole: true,
    };
    let all = |name, faults| Case {
        name,
        engines: "-e",
        faults,
        must_be_whole: false,
    };
    let none = Faults::default;
    vec![
        one(
            "streams of one replica break off",
            Faults {
                cut_after: Some(2),
                ..none()
            },
        ),
        one(
            "frames of one replica are repeated",
            Faults {
                repeat_frames: true,
                ..none()
            },
        ),
        one(
            "one replica sends frames of another attempt",
            Faults {
                crossed_at: Some(1),
                ..none()
            },
        ),
        one(
            "one replica leaves a frame out",
            Faults {
                gap_at: Some(1),
                ..none()
            },
        ),
        one(
            "one replica answers another attempt",
            Faults {
                cross_answers: true,
                ..none()
            },
        ),
        one(
            "one replica runs and does not answer",
            Faults {
                lose_answers: true,
                ..none()
            },
        ),
        one(
            "one replica is four times as slow",
            Faults {
                slow_percent: 400,
                ..none()
            },
        ),
        all(
            "all streams break off",
            Faults {
                cut_after: Some(1),
                ..none()
            },
        ),
        all(
            "all frames are crossed",
            Faults {
                crossed_at: Some(0),
                ..none()
            },
        ),
        all(
            "all answers are of another attempt",
            Faults {
                cross_answers: true,
                ..none()
            },
        ),
        all(
            "no engine answers",
            Faults {
                lose_answers: true,
                ..none()
            },
        ),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn every_caller_gets_the_whole_answer_to_its_own_request_or_an_error() {
    let mut deployment = deployment("").await;
    let callers = deployment.caller_addresses();
    let mut seed = 0;
    for case in cases() {
        set_faults(&deployment, "-e", &Faults::default());
        for _ in 0..EARNING {
            seed += 1;
            let (streamed, right) = draft(&deployment, callers[seed as usize % 3], seed, 2).await;
            check_draft(case.name, &streamed, &right);
        }
        set_faults(&deployment, case.engines, &case.faults);
        for round in 0..6 {
            seed += 1;
            let (streamed, right) = draft(&deployment, callers[round % 3], seed, TOKENS).await;
            check_draft(case.name, &streamed, &right);
            let is_whole = streamed.is_complete || !case.must_be_whole;
            assert!(is_whole, "{}: not whole: {streamed:?}", case.name);
        }
    }
    let counters = deployment.world().counters();
    assert_eq!(counters.cold_overloads, 0);
    assert_eq!(counters.wrong_resumes, 0);
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_another_node_without_a_gap() {
    let mut deployment = deployment("").await;
    let callers = deployment.caller_addresses();
    let client = deployment.client().clone();
    let key = bench::api_key(crate::fixture::ACCOUNT);
    let body = serde_json::json!({"model": crate::fixture::MODEL, "stream": true, "max_tokens": 12, "prompt": "p"});
    let first = client
        .stream(callers[0], "/v1/completions", &key, &[], &body)
        .await
        .unwrap();
    assert!(first.is_complete, "{first:?}");
    // The caller pretends to have lost the connection after three tokens.
    let last = first.last_event.clone().unwrap();
    let (stream, _) = last.rsplit_once('-').unwrap();
    let tokens = first.tokens.min(3);
    let place = format!("{stream}-{tokens}");
    let headers = [("last-event-id", place.as_str())];
    let rest = client
        .stream(callers[1], "/v1/completions", &key, &headers, &body)
        .await
        .unwrap();
    assert!(rest.is_complete, "{rest:?}");
    assert!(first.text.ends_with(&rest.text), "{first:?} {rest:?}");
    assert_eq!(rest.tokens, first.tokens - tokens);
    // Another account, and another request, may not resume it.
    let other = bench::api_key(crate::fixture::OTHER_ACCOUNT);
    let stolen = client
        .stream(callers[1], "/v1/completions", &other, &headers, &body)
        .await
        .unwrap();
    assert_eq!(stolen.status, 403, "{stolen:?}");
    deployment.stop().await;
}
