//! Tests of a report's table: medians, minima and maxima, absent values.

use bench::{Report, Run, Scenario, policy};

/// Returns a run with the given policy, seed and downtime.
fn run(policy: &str, seed: u64, downtime: Option<f64>) -> Run {
    let empty = serde_json::json!({
        "deployment": "lena", "nodes": 9, "scenario": "steady", "policy": policy, "seed": seed,
        "quick": seed == 9, "length_s": 60.0, "faults": [],
    });
    let mut run: Run = serde_json::from_value(empty).expect("a run without measurements parses");
    run.group_downtime_s = downtime;
    run
}

/// Guards against a wrong median or spread, and against a 0 for an absent value.
#[test]
fn cell_shows_median_with_min_and_max() {
    struct Case {
        downtimes: &'static [Option<f64>],
        cell: &'static str,
    }
    let cases = [
        Case {
            downtimes: &[None, None],
            cell: " - ",
        },
        Case {
            downtimes: &[Some(0.0), Some(0.0)],
            cell: " 0 ",
        },
        Case {
            downtimes: &[Some(3.0), Some(1.0), Some(20.0)],
            cell: " 3.000 [1.000 20.0] ",
        },
        Case {
            downtimes: &[Some(1.0), Some(3.0)],
            cell: " 2.000 [1.000 3.000] ",
        },
    ];
    for case in cases {
        let runs = case.downtimes.iter().zip(1..);
        let runs = runs.map(|(downtime, seed)| run("default", seed, *downtime));
        let table = Report {
            runs: runs.collect(),
        }
        .table();
        assert_eq!(table.lines().count(), 2, "{table}");
        assert!(table.contains(case.cell), "{table}");
    }
}

/// Guards against the figures of short runs being taken for measurements.
#[test]
fn quick_run_is_marked_in_the_table() {
    for (seed, is_quick) in [(1, false), (9, true)] {
        let runs = vec![run("default", seed, None)];
        let text = Report { runs }.table();
        assert_eq!(text.contains("quick"), is_quick, "{text}");
    }
}

/// Guards against an unknown name in a list being dropped without an error.
#[test]
fn unknown_names_are_rejected() {
    assert_eq!(policy::parse("all").map(|all| all.len()), Some(7));
    assert_eq!(
        policy::parse("default,fixed"),
        Some(vec!["default", "fixed"])
    );
    assert_eq!(policy::parse("default,other"), None);
    assert_eq!(Scenario::parse("all").map(|all| all.len()), Some(7));
    for scenario in Scenario::ALL {
        assert_eq!(Scenario::parse(scenario.as_str()), Some(vec![scenario]));
    }
    assert_eq!(Scenario::parse("storm"), None);
}
