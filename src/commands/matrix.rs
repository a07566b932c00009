//! `arbutusford matrix`: every fault at every step, on virtual time.

use crate::{Exit, Failure};
use argh::FromArgs;
use proof::{Invariant, Report, Simulation, Violation, pair, run_cells, run_pairs};
use serde::Serialize;
use std::{collections::BTreeMap, path::PathBuf};

/// The number of pairs of faults that are run.
const PAIRS: u64 = 2_000;

/// Runs every fault at every step, and seeded pairs of faults.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "matrix")]
pub(crate) struct Matrix {
    /// replays the pair of faults with this seed alone
    #[argh(option)]
    seed: Option<u64>,
    /// the number of pairs of faults; 2000 if not given
    #[argh(option, default = "PAIRS")]
    pairs: u64,
    /// writes the figures to this file, in JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

/// The figures of one run of the matrix.
#[derive(Debug, Serialize)]
struct Figures {
    cells_run: usize,
    cells_excluded: Vec<Excluded>,
    pairs_run: u64,
    violations: BTreeMap<Invariant, u64>,
}

/// A cell that cannot occur.
#[derive(Debug, Serialize)]
struct Excluded {
    work: proof::Work,
    step: proof::Step,
    fault: proof::Fault,
    victim: proof::Victim,
    reason: &'static str,
}

impl Matrix {
    /// Runs the command.
    pub(crate) fn run(self) -> Result<(), Failure> {
        if let Some(seed) = self.seed {
            return replay(seed);
        }
        let cells = run_cells(None);
        print!("{}", cells.table());
        let pairs = run_pairs(0..self.pairs, None);
        for (seed, violations) in &pairs.failing {
            println!("pair with seed {seed} failed; replay: arbutusford matrix --seed {seed}");
            print_violations(violations);
        }
        let figures = figures(&cells, &pairs);
        let total: u64 = figures.violations.values().sum();
        println!(
            "{} cells run, {} excluded, {} pairs run, {total} violations",
            figures.cells_run,
            figures.cells_excluded.len(),
            figures.pairs_run
        );
        if let Some(path) = &self.json {
            write_json(path, &figures)?;
        }
        finish(total)
    }
}

/// Replays one pair and prints what it broke.
fn replay(seed: u64) -> Result<(), Failure> {
    let plan = pair(seed);
    for strike in &plan.injections {
        println!("{strike:?}");
    }
    let trace = Simulation::run(&plan);
    let each = Invariant::ALL.into_iter();
    let violations: Vec<Violation> = each.flat_map(|p| p.check(&trace)).collect();
    println!("{} faults struck", trace.injected);
    print_violations(&violations);
    finish(violations.len() as u64)
}

fn print_violations(violations: &[Violation]) {
    for violation in violations {
        println!("    violated: {violation}");
    }
}

/// Returns the figures of both parts.
fn figures(cells: &Report, pairs: &Report) -> Figures {
    let count = |report: &Report, promise| {
        let found = report.violations.get(&promise);
        found.copied().unwrap_or_default()
    };
    let excluded = cells.excluded.iter().map(|(strike, reason)| Excluded {
        work: strike.work,
        step: strike.step,
        fault: strike.fault,
        victim: strike.victim,
        reason,
    });
    Figures {
        cells_run: cells.cells.len(),
        cells_excluded: excluded.collect(),
        pairs_run: pairs.pairs,
        violations: Invariant::ALL
            .into_iter()
            .map(|promise| (promise, count(cells, promise) + count(pairs, promise)))
            .collect(),
    }
}

fn write_json(path: &PathBuf, figures: &Figures) -> Result<(), Failure> {
    let text = serde_json::to_vec_pretty(figures)
        .map_err(|error| Failure::new(Exit::Failed, format!("no JSON: {error}")))?;
    std::fs::write(path, text).map_err(|error| {
        let path = path.display();
        Failure::new(Exit::Failed, format!("{path} cannot be written: {error}"))
    })
}

fn finish(violations: u64) -> Result<(), Failure> {
    match violations {
        0 => Ok(()),
        count => Err(Failure::new(
            Exit::Failed,
            format!("{count} violations of the promises"),
        )),
    }
}
