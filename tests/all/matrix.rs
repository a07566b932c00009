//! The fault matrix: every cell, pairs of faults, and decisions left out on purpose.

use proof::{
    Fault, Injection, Invariant, Mutation, Plan, Simulation, Step, Victim, Work, pair, run_cells,
    run_pairs,
};

/// The number of pairs of faults.
const PAIRS: u64 = 2_000;

/// The number of runs in which a decision that is left out must be noticed.
const TRIES: u32 = 60;

#[test]
fn every_cell_keeps_all_promises() {
    let report = run_cells(None);
    insta::assert_snapshot!("cells", report.table());
    assert!(report.is_clean(), "{:?}", report.violations);
    let open = |verdict: &str| ["not reached", "open", "unknown"].contains(&verdict);
    let unfinished: Vec<_> = report.cells.iter().filter(|c| open(&c.verdict)).collect();
    assert!(unfinished.is_empty(), "{unfinished:?}");
}

#[test]
fn pairs_of_faults_keep_all_promises() {
    let report = run_pairs(0..PAIRS, None);
    for (seed, violations) in &report.failing {
        println!("replay: arbutusford matrix --seed {seed}: {violations:?}");
    }
    assert_eq!(report.pairs, PAIRS);
    let failing: Vec<u64> = report.failing.iter().map(|(seed, _)| *seed).collect();
    assert!(
        failing.is_empty(),
        "pairs that broke a promise: {failing:?}"
    );
}

#[test]
fn runs_with_one_seed_are_the_same() {
    for seed in 0..20 {
        let [first, second] = [0, 1].map(|_| format!("{:?}", Simulation::run(&pair(seed))));
        assert!(first == second, "seed {seed}");
    }
}

/// A decision that is left out, and the promise that this must break.
struct Case {
    broken: Mutation,
    promise: Invariant,
    /// A single fault that shows it; pairs are run if there is none.
    strike: Option<(Work, Step, Fault, Victim)>,
}

#[test]
fn each_decision_left_out_breaks_a_promise() {
    let case = |broken, promise| Case {
        broken,
        promise,
        strike: None,
    };
    let at = |broken, promise, strike| Case {
        strike: Some(strike),
        ..case(broken, promise)
    };
    let restart = (
        Work::Enquiry,
        Step::SendBody,
        Fault::Restart,
        Victim::Server,
    );
    let cases = [
        case(Mutation::SkipReadBack, Invariant::AtMostOnce),
        at(Mutation::IgnoreBoot, Invariant::ColdLimit, restart),
        case(Mutation::RetryAfterBytes, Invariant::AtMostOnce),
        case(Mutation::AcceptStaleFrames, Invariant::OwnAnswer),
        case(Mutation::SkipVoid, Invariant::NotRun),
        case(Mutation::IgnoreVoucherAge, Invariant::Configuration),
        case(Mutation::IgnoreGeneration, Invariant::WholeReplica),
        case(Mutation::LateDispatch, Invariant::AtMostOnce),
        case(Mutation::SkipTransferDelay, Invariant::ColdLimit),
        case(Mutation::IgnoreBase, Invariant::Configuration),
        case(Mutation::SkipDrain, Invariant::PlannedStop),
        case(Mutation::WrongVerdict, Invariant::NotRun),
        case(Mutation::IgnoreLeaving, Invariant::Leaving),
        case(Mutation::RefuseBeforeLookup, Invariant::NotRun),
    ];
    assert_eq!(cases.len(), Mutation::ALL.len());
    for case in cases {
        let found = count(&case, Some(case.broken));
        println!("{:?}: {:?} broken {found} times", case.broken, case.promise);
        assert!(found > 0, "{:?} was not noticed", case.broken);
        assert_eq!(count(&case, None), 0, "{:?} without the break", case.broken);
    }
}

/// Returns how often the runs of a case break its promise.
fn count(case: &Case, broken: Option<Mutation>) -> usize {
    let plan = |number: u32| match case.strike {
        None => pair(number.into()),
        Some((work, step, fault, victim)) => Plan {
            injections: vec![Injection {
                work,
                step,
                fault,
                victim,
                after: number,
            }],
            // An even seed: a restart is that of the process.
            seed: 0,
            mutation: broken,
        },
    };
    let runs = (0..TRIES).map(|number| {
        Simulation::run(&Plan {
            mutation: broken,
            ..plan(number)
        })
    });
    runs.map(|trace| case.promise.check(&trace).len()).sum()
}
