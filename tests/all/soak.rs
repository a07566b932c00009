//! A short run of the soak, and the seeds that once broke a promise.
//!
//! Longer runs are made by hand: `arbutusford soak --seeds 50`.

use soak::{Plan, run};
use std::{path::Path, time::Duration};

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_breaks_under_faults_from_outside() {
    struct Case {
        seed: u64,
        /// Why the seed is here.
        what: &'static str,
    }
    let cases = [Case {
        seed: 20_261_204,
        what: "a first seed, which never broke anything",
    }];
    for case in cases {
        let plan = Plan {
            seed: case.seed,
            time: Duration::from_secs(6),
            nodes: 4,
        };
        let program = Path::new(env!("CARGO_BIN_EXE_arbutusford"));
        let report = run(&plan, program).await.unwrap();
        assert_eq!(report.broken, Vec::<String>::new(), "{}", case.what);
        let (asked, served) = report.requests;
        assert!(served * 2 > asked, "{served} of {asked} requests served");
    }
}
