//! `arbutusford edge`: an entry node on the platform.

use crate::{Exit, Failure, logs};
use argh::FromArgs;
use clock::{Clock, Moment};
use rustix::time::{ClockId, clock_gettime};
use std::{env, fs, net::SocketAddr, path::PathBuf, time::Duration};
use tokio::signal::unix::{SignalKind, signal};

/// Runs one entry node on the platform until SIGTERM, a graceful stop.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "edge")]
pub(crate) struct Edge {
    /// the platform's settings file; by default the one that the environment names
    #[argh(option)]
    settings: Option<PathBuf>,

    /// the port at which counters and histograms are served
    #[argh(option)]
    metrics_port: Option<u16>,

    /// check the settings and end
    #[argh(switch)]
    check: bool,
}

impl Edge {
    /// Runs the command.
    pub(crate) fn run(self) -> Result<(), Failure> {
        let path = self.path()?;
        let settings = read(&path).map_err(|reason| Failure::new(Exit::Usage, reason))?;
        if self.check {
            println!("{}: no faults", path.display());
            return Ok(());
        }
        let metrics = self
            .metrics_port
            .map(|port| SocketAddr::new(settings.caller_address.ip(), port));
        let log = logs::lines(slog::Level::Info);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| Failure::new(Exit::Failed, error))?;
        runtime.block_on(async {
            let failed = |error: std::io::Error| Failure::new(Exit::Failed, error);
            let mut stop = signal(SignalKind::terminate()).map_err(failed)?;
            let mut reload = signal(SignalKind::hangup()).map_err(failed)?;
            let connected = platform::connect(&settings);
            let clock = boot_clock();
            let edge =
                ::edge::Edge::start(settings.clone(), metrics, connected, clock, log.clone())
                    .await
                    .map_err(failed)?;
            loop {
                tokio::select! {
                    _ = stop.recv() => break,
                    _ = reload.recv() => check_again(&log, &path, &settings),
                }
            }
            edge.stop().await;
            Ok(())
        })
    }

    /// Returns the path of the settings file.
    fn path(&self) -> Result<PathBuf, Failure> {
        let named = self.settings.clone();
        let path = named.or_else(|| env::var_os(platform::SETTINGS_VARIABLE).map(PathBuf::from));
        path.ok_or_else(|| {
            let message = format!(
                "no settings: neither --settings nor {} is given",
                platform::SETTINGS_VARIABLE
            );
            Failure::new(Exit::Usage, message)
        })
    }
}

/// Reads and checks the settings file.
fn read(path: &std::path::Path) -> Result<site::Settings, String> {
    let text = fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    platform::settings::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Reads the settings again after SIGHUP.
///
/// Addresses and bounds hold for the life of a process, which is restarted
/// with the new settings; a change is logged and the process goes on.
fn check_again(log: &slog::Logger, path: &std::path::Path, known: &site::Settings) {
    match read(path) {
        Ok(settings) if settings == *known => {
            slog::info!(log, "settings read again"; "changed" => false);
        }
        Ok(settings) => slog::warn!(log, "settings read again"; "changed" => true,
            "node" => %settings.node, "in_force" => "from the next start"),
        Err(reason) => slog::warn!(log, "settings refused"; "reason" => reason),
    }
}

/// Returns a clock that also runs while the machine is suspended.
///
/// What a node knows grows old during that time, which the usual steady clock
/// does not count.
fn boot_clock() -> Clock {
    let start = boot_time();
    let wall = Clock::system();
    Clock::new(
        move || Moment::START + boot_time().saturating_sub(start),
        move || wall.wall(),
    )
}

/// Returns the time since the machine started, suspensions included.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
