//! The subcommands, one a file.

mod bench;
mod demo;
mod entry;
mod matrix;
mod standin;

use crate::Exit;
use argh::{EarlyExit, FromArgs};

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
    Entry(entry::Entry),
    Matrix(matrix::Matrix),
    Standin(standin::Standin),
}

/// Runs the command line and returns how it ended.
///
/// Output goes to standard output, errors to standard error.
pub fn run(arguments: &[String]) -> Exit {
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let (program, rest) = words
        .split_first()
        .map_or(("arbutusford", &[][..]), |(p, r)| (*p, r));
    let parsed = match Arguments::from_args(&[program], rest) {
        Ok(parsed) => parsed,
        Err(early) => return early_exit(&early),
    };
    let outcome = match parsed.command {
        Command::Bench(command) => command.run(),
        Command::Demo(command) => command.run(),
        Command::Entry(command) => command.run(),
        Command::Matrix(command) => command.run(),
        Command::Standin(command) => command.run(),
    };
    match outcome {
        Ok(()) => Exit::Done,
        Err(failure) => {
            eprintln!("error: {failure}");
            failure.exit()
        }
    }
}

/// Prints help or the fault in the arguments.
fn early_exit(early: &EarlyExit) -> Exit {
    if early.status.is_ok() {
        println!("{}", early.output);
        Exit::Done
    } else {
        eprintln!("{}", early.output.trim_end());
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
