//! `arbutusford entry`: the daemon of one entry instance.

use crate::{
    Exit, Failure,
    logs::{self, Format},
};
use argh::FromArgs;
use clock::Clock;
use std::path::PathBuf;
use tokio::signal::unix::{SignalKind, signal};

/// Runs one entry node until SIGTERM or Ctrl-C, each a graceful stop.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct Entry {
    /// the settings file, in TOML
    #[argh(option)]
    settings: PathBuf,

    /// check the settings and end
    #[argh(switch)]
    check: bool,
}

impl Entry {
    /// Runs the command.
    pub(crate) fn run(self) -> Result<(), Failure> {
        let settings: settings::Entry = read(&self.settings)?;
        check_secret(&settings)?;
        if self.check {
            println!("{}: no faults", self.settings.display());
            return Ok(());
        }
        let log = logs::logger(
            level(settings.logging.level),
            format(settings.logging.format),
        );
        super::runtime()?.block_on(async {
            let entry = ::entry::Entry::start(settings, Clock::system(), &log)
                .map_err(|failure| Failure::new(Exit::Failed, failure))?;
            stop_signal()
                .await
                .map_err(|error| Failure::new(Exit::Failed, error))?;
            entry.stop().await;
            Ok(())
        })
    }
}

/// Reads a settings file.
pub(crate) fn read<T: settings::Document>(path: &std::path::Path) -> Result<T, Failure> {
    settings::load(path).map_err(|faults| Failure::new(Exit::Usage, faults))
}

/// Checks that the secret that entry nodes share can be read.
fn check_secret(settings: &settings::Entry) -> Result<(), Failure> {
    match settings.peers.secret() {
        Ok(Some(_)) => Ok(()),
        Ok(None) => Err(Failure::new(
            Exit::Usage,
            "peers: no secret; set secret_file or secret_hex",
        )),
        Err(error) => Err(Failure::new(
            Exit::Usage,
            format!("peers.secret_file: {error}"),
        )),
    }
}

/// Completes at SIGTERM or Ctrl-C.
pub(crate) async fn stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Converts the level of the settings.
pub(crate) fn level(level: settings::Level) -> slog::Level {
    match level {
        settings::Level::Error => slog::Level::Error,
        settings::Level::Warning => slog::Level::Warning,
        settings::Level::Info => slog::Level::Info,
        settings::Level::Debug => slog::Level::Debug,
        settings::Level::Trace => slog::Level::Trace,
    }
}

/// Converts the form of the settings.
pub(crate) fn format(style: settings::Format) -> Format {
    match style {
        settings::Format::Auto => Format::Auto,
        settings::Format::Text => Format::Text,
        settings::Format::Json => Format::Json,
    }
}
