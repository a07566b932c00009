//! Starts the command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    arbutusford::commands::run(&arguments).into()
}
