//! The subcommands, one a file.

mod admin;
mod bench;
mod demo;
mod edge;
mod entry;
mod matrix;
mod soak;
mod standin;

use crate::Exit;
use admin::{
    config::Config,
    operation::{BringBack, TakeOut},
    query::{Accounts, Entries, Histograms, Instances, Log, Replicas, Status},
    token::Token,
};
use argh::{EarlyExit, FromArgs};
use std::io::{Write, stderr, stdout};

/// Serves large models whose replicas span several instances.
#[derive(Debug, FromArgs)]
#[argh(
    note = "Exit codes: 0 done, 1 failed, 2 wrong arguments, settings or lists, 3 conflict, \
            4 no entry node answered or the token was refused."
)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Bench(bench::Bench),
    Demo(demo::Demo),
    Edge(edge::Edge),
    Entry(entry::Entry),
    Matrix(matrix::Matrix),
    Soak(soak::Soak),
    Standin(standin::Standin),
    Config(Config),
    TakeOut(TakeOut),
    BringBack(BringBack),
    Status(Status),
    Log(Log),
    Replicas(Replicas),
    Instances(Instances),
    Accounts(Accounts),
    Entries(Entries),
    Histograms(Histograms),
    Token(Token),
}

/// Runs the command line and returns how it ended.
///
/// Output goes to standard output, errors to standard error.
pub fn run(arguments: &[String]) -> Exit {
    run_to(arguments, &mut stdout(), &mut stderr())
}

/// Runs the command line with the output of operators' commands going to `out`
/// and errors to `err`, and returns how it ended.
///
/// Must not be called inside an asynchronous task, since it blocks.
pub fn run_to(arguments: &[String], out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let (program, rest) = words
        .split_first()
        .map_or(("arbutusford", &[][..]), |(p, r)| (*p, r));
    let ended = match Arguments::from_args(&[program], rest) {
        Ok(parsed) => parsed.command.run(out),
        Err(early) => return early_exit(&early, out, err),
    };
    match ended {
        Ok(()) => Exit::Done,
        Err(failure) => {
            // There is nowhere to report that errors cannot be written.
            let _ = writeln!(err, "error: {failure}");
            failure.exit()
        }
    }
}

impl Command {
    /// Runs the command.
    fn run(self, out: &mut dyn Write) -> Result<(), crate::Failure> {
        match self {
            Self::Bench(command) => command.run(),
            Self::Demo(command) => command.run(),
            Self::Edge(command) => command.run(),
            Self::Matrix(command) => command.run(),
            Self::Soak(command) => command.run(),
            Self::Entry(command) => command.run(),
            Self::Standin(command) => command.run(),
            Self::Config(command) => command.run(out),
            Self::TakeOut(command) => command.run(out),
            Self::BringBack(command) => command.run(out),
            Self::Status(command) => command.run(out),
            Self::Log(command) => command.run(out),
            Self::Replicas(command) => command.run(out),
            Self::Instances(command) => command.run(out),
            Self::Accounts(command) => command.run(out),
            Self::Entries(command) => command.run(out),
            Self::Histograms(command) => command.run(out),
            Self::Token(command) => command.run(out),
        }
    }
}

/// Prints help or the fault in the arguments.
fn early_exit(early: &EarlyExit, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let text = early.output.trim_end();
    // There is nowhere to report that neither can be written.
    if early.status.is_ok() {
        let _ = writeln!(out, "{text}");
        Exit::Done
    } else {
        let _ = writeln!(err, "{text}");
        Exit::Usage
    }
}

/// Returns the runtime on which a daemon runs.
fn runtime() -> Result<tokio::runtime::Runtime, crate::Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime.map_err(|error| crate::Failure::new(Exit::Failed, format!("no runtime: {error}")))
}
