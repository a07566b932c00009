//! Planned stops of entry nodes and instances, and restarts.

use crate::fixture::{check_draft, deployment, draft, within};
use name::Instance;
use standin::Command;
use std::{sync::Arc, time::Duration};
use tokio::sync::Mutex;

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_an_entry_node_cuts_off_nothing() {
    let deployment = Arc::new(Mutex::new(deployment("").await));
    let held = Arc::clone(&deployment);
    let (client, address) = {
        let deployment = held.lock().await;
        (
            deployment.client().clone(),
            deployment.caller_addresses()[1],
        )
    };
    let drafts: Vec<_> = (0..6u64)
        .map(|seed| {
            let client = client.clone();
            tokio::spawn(async move {
                let prompt = "p";
                let body = serde_json::json!({"model": "draft-cy", "stream": true, "max_tokens": 300, "seed": seed, "prompt": prompt});
                let key = bench::api_key(crate::fixture::ACCOUNT);
                let streamed = client.stream(address, "/v1/completions", &key, &[], &body).await.unwrap();
                (streamed, standin::engine::answer_tokens(seed, prompt, 300).concat())
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.lock().await.end_entry(1, true).await;
    for task in drafts {
        let (streamed, right) = task.await.unwrap();
        assert!(streamed.is_complete, "cut off: {streamed:?}");
        check_draft("planned stop", &streamed, &right);
    }
    // The others no longer name it.
    let callers = deployment.lock().await.caller_addresses();
    let entries = client
        .call(
            http::Method::GET,
            callers[0],
            "/v1/entries",
            "",
            &[],
            &serde_json::Value::Null,
        )
        .await
        .unwrap();
    let listed: Vec<&str> = entries.body["entries"]
        .as_array()
        .unwrap()
        .iter()
        .filter_map(|e| e["address"].as_str())
        .collect();
    assert_eq!(listed.len(), 2, "{entries:?}");
    assert!(!listed.contains(&address.to_string().as_str()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_backend_server_gets_no_new_work() {
    let mut deployment = deployment("").await;
    let leaving = Instance::try_from("dyfi-f0-e0").unwrap();
    deployment.world().apply(&Command::Retire {
        instance: leaving.clone(),
        remove: false,
    });
    // The list lags by its own time; then a poll, a survey.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let since = deployment.world().now_ms();
    let callers = deployment.caller_addresses();
    for seed in 0..20 {
        let (streamed, right) = draft(&deployment, callers[seed as usize % 3], seed, 4).await;
        check_draft("leaving", &streamed, &right);
    }
    let begun = deployment.world().counters().begun;
    let late = begun
        .iter()
        .filter(|b| b.instance == leaving && b.at_ms > since)
        .count();
    assert_eq!(late, 0);
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_entry_node_serves_again() {
    let mut deployment = deployment("").await;
    deployment.end_entry(2, false).await;
    deployment.start_entry(2).await.unwrap();
    deployment
        .wait_until_ready(3, Duration::from_secs(60))
        .await
        .unwrap();
    let (streamed, right) = draft(&deployment, deployment.caller_addresses()[2], 3, 4).await;
    assert!(streamed.is_complete, "{streamed:?}");
    check_draft("restarted", &streamed, &right);
    // Its slots rest until reports show that the earlier life's requests have
    // ended, not for the longest request.
    within(
        "the new life has open slots",
        Duration::from_secs(20),
        async || {
            let replicas = deployment.query(2, "/admin/v1/replicas").await.unwrap();
            let replicas = replicas["replicas"].as_array().unwrap().clone();
            replicas
                .iter()
                .any(|replica| replica["open_slots_here"].as_u64() > Some(0))
        },
    )
    .await;
    deployment.stop().await;
}
