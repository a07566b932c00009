//! The state of reading a feed: lost and regained contact with the store, and faults in
//! records.

use crate::state::{Shared, Tables};
use clock::Moment;
use site::feed::{Batch, InvalidRecord};
use slog::{info, warn};
use std::{collections::HashSet, time::Duration};
use tokio::time::sleep;

/// The delay after a failed read.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long removals are deferred after the store becomes reachable again.
///
/// Entries that expire during an outage are written again within this time, if the
/// server is alive and reaches the store.
pub(crate) const REMOVAL_GRACE: Duration = Duration::from_millis(2_000);

/// The time without a successful read from which entries may have expired since servers
/// could not renew them.
///
/// Servers renew an entry about once a second, and it expires after three renewals were
/// missed. A connection that is reset costs one read, which is repeated at once.
pub(crate) const MIN_OUTAGE: Duration = Duration::from_millis(1_000);

/// The maximum number of distinct faults that are stored, so that each is logged
/// once.
const MAX_FAULTS: usize = 1_000;

/// Faults that were logged, so that a malformed record is logged once.
#[derive(Debug, Default)]
pub(crate) struct FaultLog {
    logged: HashSet<(String, String)>,
}

impl FaultLog {
    /// Logs the faults that were not logged before.
    pub(crate) fn log(&mut self, shared: &Shared, feed: &'static str, faults: &[InvalidRecord]) {
        for fault in faults {
            shared.metrics.count("records_malformed", feed);
            let key = (fault.key.clone(), fault.reason.clone());
            if self.logged.len() < MAX_FAULTS && self.logged.insert(key) {
                warn!(shared.log, "malformed record"; "feed" => feed,
                    "key" => &fault.key, "reason" => &fault.reason);
            }
        }
    }
}

/// The state of reading one feed.
///
/// It logs when the store becomes unreachable, and when it is reachable again.
#[derive(Debug)]
pub(crate) struct FeedReader {
    name: &'static str,
    /// When the first of the reads began that have failed since the last successful one.
    lost_since: Option<Moment>,
    faults: FaultLog,
}

impl FeedReader {
    /// Returns the state of a feed that was not read yet.
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_since: None,
            faults: FaultLog::default(),
        }
    }

    /// Handles the result of a read that began at `started`, and delays after a failed one.
    pub(crate) async fn handle_read<T>(
        &mut self,
        shared: &Shared,
        started: Moment,
        answer: Result<Batch<T>, site::feed::Error>,
    ) -> Option<Batch<T>> {
        match answer {
            Ok(batch) => {
                if let Some(since) = self.lost_since.take() {
                    let is_outage = shared.tables().record_recovery(since, shared.now());
                    info!(shared.log, "store reachable again"; "feed" => self.name,
                        "lost_ms" => shared.now().since(since).as_millis() as u64,
                        "defers_removals" => is_outage);
                }
                self.faults.log(shared, self.name, &batch.invalid_records);
                Some(batch)
            }
            // The store is up, so that entries are renewed there: this is no outage.
            Err(error) if error.is_rejected => {
                shared.metrics.count("store_rejections", self.name);
                info!(shared.log, "store rejected a read"; "feed" => self.name, "error" => %error);
                sleep(RETRY_DELAY).await;
                None
            }
            Err(error) => {
                shared.metrics.count("store_failures", self.name);
                if self.lost_since.is_none() {
                    self.lost_since = Some(started);
                    warn!(shared.log, "store unreachable"; "feed" => self.name, "error" => %error);
                }
                sleep(RETRY_DELAY).await;
                None
            }
        }
    }
}

impl Tables {
    /// Records that the store is reachable again after reads failed since `lost_since`.
    ///
    /// Returns whether that was an outage in which entries may have expired. It was none
    /// if it was short, or if a planner read the servers' feed meanwhile: then only this
    /// node had lost the store.
    pub(crate) fn record_recovery(&mut self, lost_since: Moment, now: Moment) -> bool {
        let confirmed = self.servers_confirmed;
        let unconfirmed_since = confirmed.map_or(lost_since, |at| at.max(lost_since));
        let is_outage = now.since(unconfirmed_since) >= MIN_OUTAGE;
        if is_outage {
            self.defer_removals_until = Some(now + REMOVAL_GRACE);
        }
        is_outage
    }
}
