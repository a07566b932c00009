//! Servers that leave while something keeps nodes from noticing.

use soak::{INCOMPLETE, Plan, Scene, run};
use std::{env, path::PathBuf, time::Duration};
use tokio::task::JoinSet;

/// The variable that names another build of the program, to show that a scene fails there.
const PROGRAM: &str = "ARBUTUSFORD_PROGRAM";

/// How the soak reports a request to a server that had left, and a join of a member whose
/// head was open.
const LATE: &str = "draining server";
const TAKEN: &str = "one open replica";

/// Plays scenes at the same time, each with nodes of its own, and checks that no request
/// reached a server that had left.
async fn assert_no_late_request(scenes: &[Scene]) {
    assert_none(scenes, LATE).await;
}

/// Plays scenes at the same time, each with nodes of its own, and checks that a guarantee was
/// not violated.
async fn assert_none(scenes: &[Scene], guarantee: &str) {
    let program = env::var_os(PROGRAM)
        .map_or_else(|| env!("CARGO_BIN_EXE_arbutusford").into(), PathBuf::from);
    let mut runs = JoinSet::new();
    for scene in scenes.iter().copied() {
        let plan = Plan {
            // Runs of the same process and seed would share a directory.
            seed: scene as u64,
            time: Duration::ZERO,
            nodes: 3,
            scene: Some(scene),
        };
        let program = program.clone();
        runs.spawn(async move { (scene, run(&plan, &program).await) });
    }
    let mut broken = Vec::new();
    while let Some(ended) = runs.join_next().await {
        let (scene, report) = ended.unwrap();
        let lines = report.unwrap().violations.into_iter();
        let is_relevant =
            |line: &String| line.starts_with(guarantee) || line.starts_with(INCOMPLETE);
        let found: Vec<String> = lines.filter(is_relevant).collect();
        let first = found.first();
        broken.extend(first.map(|line| format!("{scene:?}: {} such as {line}", found.len())));
    }
    broken.sort();
    assert_eq!(broken, Vec::<String>::new());
}

/// Guards against a removal that the planner defers and no other node sees, and against
/// entries of an older copy of the store that replace newer ones.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_servers_get_nothing_after_a_reset_or_a_return_of_the_store() {
    assert_no_late_request(&[Scene::RemovalAfterReset, Scene::LeavingAfterReturn]).await;
}

/// Guards against an older entry that replaces a newer one because it is read later.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_servers_get_nothing_after_late_renewals() {
    assert_no_late_request(&[Scene::LateRenewals, Scene::LateRenewalsAtNewPlanner]).await;
}

/// Guards against taking a late renewal of a server whose entry was removed for its return.
#[tokio::test(flavor = "multi_thread")]
async fn removed_servers_get_nothing_after_late_renewals() {
    let scenes = [Scene::LateRenewalAfterRemoval, Scene::LateRenewalAtNewNode];
    assert_no_late_request(&scenes).await;
}

/// Guards against an order to open that got no response and is taken for one without effect:
/// a member of the head joined another replica while the head opened.
#[tokio::test(flavor = "multi_thread")]
async fn members_of_a_head_that_opens_late_join_no_other_replica() {
    assert_none(&[Scene::LateOpen], TAKEN).await;
}
