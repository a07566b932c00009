//! `arbutusford soak`: entry nodes as processes, under faults from outside.

use crate::{Exit, Failure};
use argh::FromArgs;
use soak::{DEFAULT_DURATION, Plan};
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};

/// The entry nodes of a run that names no number.
const PROCESSES: usize = 5;

/// Runs entry nodes as processes between stand-ins of the platform, and lets
/// series of faults strike that are drawn from a seed.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "soak")]
pub(crate) struct Soak {
    /// the first seed; drawn afresh if not given
    #[argh(option)]
    seed: Option<u64>,
    /// how many seeds follow each other; 1 if not given
    #[argh(option, default = "1")]
    seeds: u64,
    /// begins no further seed after this many minutes
    #[argh(option)]
    minutes: Option<f64>,
    /// the entry nodes, each a process; 5 if not given
    #[argh(option, default = "PROCESSES")]
    processes: usize,
    /// the seconds of faults in each run; 20 if not given
    #[argh(option)]
    seconds: Option<f64>,
}

impl Soak {
    /// Runs the command.
    pub(crate) fn run(self) -> Result<(), Failure> {
        let failed = |error: &dyn std::fmt::Display| Failure::new(Exit::Failed, error.to_string());
        let program = std::env::current_exe().map_err(|error| failed(&error))?;
        let time = span("--seconds", self.seconds)?.unwrap_or(DEFAULT_DURATION);
        let most = span("--minutes", self.minutes.map(|m| m * 60.0))?;
        let first = self
            .seed
            .unwrap_or_else(|| rand::random_range(1..1_000_000_000));
        let runtime = super::runtime()?;
        let begin = Instant::now();
        let mut broken = 0;
        for seed in first..first.saturating_add(self.seeds) {
            if most.is_some_and(|most| begin.elapsed() >= most) {
                break;
            }
            let plan = Plan {
                seed,
                time,
                nodes: self.processes.max(1),
                scene: None,
            };
            // Dropping the run ends its processes.
            let report = runtime.block_on(async {
                let mut stop = signal(SignalKind::terminate())?;
                let mut interrupt = signal(SignalKind::interrupt())?;
                tokio::select! {
                    report = soak::run(&plan, &program) => report.map(Some),
                    _ = stop.recv() => Ok(None),
                    _ = interrupt.recv() => Ok(None),
                }
            });
            let Some(report) = report.map_err(|error| failed(&error))? else {
                return Err(failed(&"stopped before the run ended"));
            };
            let (asked, served) = report.requests;
            println!(
                "seed {seed}: {} series of faults, {served} of {asked} requests served, {} broken promises",
                report.faults.len(),
                report.violations.len()
            );
            if !report.violations.is_empty() {
                broken += 1;
                for line in report.faults.iter().chain(&report.violations) {
                    println!("    {line}");
                }
                if let Some(logs) = &report.logs {
                    println!("    logs: {}", logs.display());
                }
            }
        }
        match broken {
            0 => Ok(()),
            count => Err(failed(&format!("{count} seeds broke a promise"))),
        }
    }
}

/// Returns a positive span of seconds.
fn span(option: &str, seconds: Option<f64>) -> Result<Option<Duration>, Failure> {
    let refused = || Failure::new(Exit::Usage, format!("{option} is not a positive time"));
    let span = seconds.map(|s| Duration::try_from_secs_f64(s).map_err(|_| refused()));
    span.transpose()
}
