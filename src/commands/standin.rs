//! `arbutusford standin`: the fakes of the systems outside, as one process.

use crate::{
    Exit, Failure,
    commands::entry::{read, stop_signal},
};
use argh::FromArgs;
use std::path::PathBuf;

/// Runs small fakes of the log service, instance list, weight store, engines and services.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "standin")]
pub(crate) struct Standin {
    /// the settings file, in TOML
    #[argh(option)]
    settings: PathBuf,
}

impl Standin {
    /// Runs the command.
    pub(crate) fn run(self) -> Result<(), Failure> {
        let settings: settings::Standin = read(&self.settings)?;
        let stop = async {
            if let Err(error) = stop_signal().await {
                eprintln!("error: no signals can be received: {error}");
            }
        };
        let served = super::runtime()?.block_on(standin::serve(&settings, stop));
        served.map_err(|error| {
            Failure::new(
                Exit::Failed,
                format!("the stand-ins cannot listen: {error}"),
            )
        })
    }
}
