//! Servers whose entries are back after a removal.
//!
//! A server that was cut off from the store has an entry again when it is back. A renewal
//! that the store executes late, after it has removed the entry of a server that leaves,
//! looks the same. So each node asks the server before it sends requests there again: a
//! server that is leaving does not answer a health check with success.

use crate::state::{Shared, Tables};
use place::Target;
use site::Config;
use slog::info;
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// The time after the first check of a server that has not confirmed that it is back; it
/// doubles with each further one.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// The maximum time between two checks.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(4);

impl Shared {
    /// Asks servers that would be targets whether they are back.
    ///
    /// Servers of a service without health checks count as back.
    pub(crate) fn confirm_returned(self: &Arc<Self>, tables: &mut Tables, config: &Config) {
        for target in tables.fleet.unconfirmed_targets(config) {
            let spec = config.services.get(&target.service);
            let Some(path) = spec.and_then(|spec| spec.health_path.clone()) else {
                tables.fleet.confirm(&target.server, target.incarnation);
                continue;
            };
            let key = (target.server.clone(), target.incarnation);
            if tables.confirming.insert(key) {
                let delay = tables.random_send_delay();
                tokio::spawn(confirm(Arc::clone(self), target, path, delay));
            }
        }
    }
}

/// Asks a server whether it is back until it answers, or its entry has changed.
async fn confirm(shared: Arc<Shared>, target: Target, path: Arc<str>, delay: Duration) {
    let (id, incarnation) = (target.server, target.incarnation);
    // All nodes see an entry at about the same time.
    sleep(delay).await;
    let mut interval = RETRY_INTERVAL;
    while shared.tables().fleet.is_unconfirmed(&id, incarnation) {
        let call = (target.address, id.clone(), Arc::clone(&path));
        let health = (shared.platform.check_health)(call).await;
        let (outcome, is_confirmed) = match &health {
            Ok(health) if health.is_leaving => ("leaving", false),
            Ok(health) if health.is_ready => ("ready", true),
            Ok(_) => ("not ready", false),
            Err(_) => ("no answer", false),
        };
        shared.metrics.count("health_checks", outcome);
        info!(shared.log, "returned backend server checked"; "server" => %id, "incarnation" => incarnation,
            "outcome" => outcome, "error" => health.as_ref().err().map(ToString::to_string));
        if health.is_ok_and(|health| health.is_leaving) {
            shared.record_leaving(&id, incarnation, "health check");
            break;
        }
        if is_confirmed {
            let mut tables = shared.tables();
            tables.fleet.confirm(&id, incarnation);
            shared.update_targets(&mut tables);
            break;
        }
        sleep(interval).await;
        interval = (interval * 2).min(MAX_RETRY_INTERVAL);
    }
    shared.tables().confirming.remove(&(id, incarnation));
}
