//! A short run of the soak, and the seeds that once broke a promise.
//!
//! Longer runs are made by hand: `arbutusford soak --seeds 50`.

use soak::{Plan, run};
use std::{path::Path, time::Duration};
use tokio::task::JoinSet;

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_breaks_under_faults_from_outside() {
    struct Case {
        seed: u64,
        /// Why the seed is here.
        what: &'static str,
    }
    let cases = [
        Case {
            seed: 20_261_204,
            what: "a first seed, which never broke anything",
        },
        Case {
            seed: 2_049,
            what: "a planner that began after an outage took old entries for what engines were",
        },
    ];
    let mut runs = JoinSet::new();
    for case in cases {
        runs.spawn(async move {
            // One storm and one calm phase.
            let plan = Plan {
                seed: case.seed,
                time: Duration::from_secs(6),
                nodes: 5,
                scene: None,
            };
            let program = Path::new(env!("CARGO_BIN_EXE_arbutusford"));
            (case.what, run(&plan, program).await)
        });
    }
    while let Some(ended) = runs.join_next().await {
        let (what, report) = ended.unwrap();
        let report = report.unwrap();
        assert_eq!(report.violations, Vec::<String>::new(), "{what}");
        let (asked, served) = report.requests;
        assert!(served * 2 > asked, "{what}: {served} of {asked} served");
    }
}
