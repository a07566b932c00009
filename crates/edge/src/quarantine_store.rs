//! The quarantined parts of requests in the platform's store.
//!
//! Nodes send their crash histories to each other, and keep them in memory. So that they
//! outlast a restart of all nodes, the planner writes the quarantined ones to the store,
//! and each node reads them when it starts.

use crate::state::Shared;
use clock::WallTime;
use quarantine::{CrashRecord, Level, Part, Record, Server};
use site::{
    feed::{Cursor, Error},
    quarantine::{QuarantineRecord, QuarantinedCrash},
};
use slog::{info, warn};
use std::{collections::HashMap, sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};

/// How often the planner compares the quarantined parts with the store's, besides at
/// changes.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The maximum number of parts in the store.
const MAX_STORED: usize = 128;

/// The number of crashes of each part in the store, as far as this node knows.
type Stored = HashMap<Part, usize>;

/// Reads the quarantined parts, and keeps the store's up to date while this node plans.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut changes = shared.treatment_changes.subscribe();
    let mut stored = read_until_success(&shared).await;
    // The era of the store in which this node last became the planner.
    let mut planner_era = None;
    loop {
        let era = {
            let tables = shared.tables();
            let is_planner = tables.peers.own_token.is_some();
            is_planner.then(|| tables.era.latest())
        };
        let is_planner = era.is_some();
        if is_planner && era != planner_era {
            // Another planner may have written since this node started, or the store may have
            // lost what was written.
            stored = read_until_success(&shared).await;
        }
        planner_era = era;
        if is_planner && let Err(error) = write_changes(&shared, &mut stored).await {
            warn!(shared.log, "writing quarantined parts failed"; "error" => %error);
            sleep(RETRY_DELAY).await;
        }
        // The sender lives as long as the node.
        let _ = timeout(CHECK_INTERVAL, changes.changed()).await;
    }
}

/// Reads the store's parts, and applies them as if another node had sent them.
async fn read_until_success(shared: &Arc<Shared>) -> Stored {
    loop {
        match (shared.platform.read_quarantine)(Cursor::Start, Duration::ZERO).await {
            Ok(batch) => {
                for fault in &batch.invalid_records {
                    warn!(shared.log, "malformed record"; "feed" => "quarantine",
                        "key" => &fault.key, "reason" => &fault.reason);
                }
                let records = batch.records.iter().filter(|r| !r.crashes.is_empty());
                let records: Vec<Record> =
                    records.map(|r| to_record(r, shared.clock.wall())).collect();
                if !records.is_empty() {
                    info!(shared.log, "quarantined parts read from store"; "count" => records.len());
                    shared.apply_records(&records, "store");
                }
                return records.iter().map(|r| (r.part, r.crashes.len())).collect();
            }
            Err(error) => {
                warn!(shared.log, "reading quarantined parts failed"; "error" => %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes the parts that were quarantined or have more crashes, and removes others.
async fn write_changes(shared: &Shared, stored: &mut Stored) -> Result<(), Error> {
    let now = shared.now();
    let quarantined: Vec<Record> = {
        let tables = shared.tables();
        let treated = tables.quarantine.treated(now).into_iter();
        let parts = treated.filter(|t| t.level == Level::Quarantined);
        let records = parts.filter_map(|t| tables.quarantine.record(t.part, now));
        records.take(MAX_STORED).collect()
    };
    let lifted: Vec<Part> = stored
        .keys()
        .filter(|part| quarantined.iter().all(|record| record.part != **part))
        .copied()
        .collect();
    for part in lifted {
        let record = QuarantineRecord {
            is_request: part.is_request(),
            digest: part.digest(),
            crashes: Vec::new(),
        };
        (shared.platform.write_quarantine)(record).await?;
        stored.remove(&part);
    }
    for record in quarantined {
        if stored.get(&record.part) == Some(&record.crashes.len()) {
            continue;
        }
        (shared.platform.write_quarantine)(from_record(&record, shared.clock.wall())).await?;
        shared.metrics.count("quarantine", "stored");
        stored.insert(record.part, record.crashes.len());
    }
    Ok(())
}

/// Returns the store's record of a history as of `now`.
fn from_record(record: &Record, now: WallTime) -> QuarantineRecord {
    let open = record.crashes.iter().filter(|crash| !crash.is_cleared);
    QuarantineRecord {
        is_request: record.part.is_request(),
        digest: record.part.digest(),
        crashes: open
            .map(|crash| QuarantinedCrash {
                server: crash.server.0,
                at_ms: now.0.saturating_sub(crash.age_ms),
                run_ms: crash.run_ms,
            })
            .collect(),
    }
}

/// Returns the history in the store's record as of `now`.
fn to_record(stored: &QuarantineRecord, now: WallTime) -> Record {
    let part = if stored.is_request {
        Part::Request(stored.digest)
    } else {
        Part::Prompt(stored.digest)
    };
    let crashes = stored.crashes.iter().map(|crash| CrashRecord {
        server: Server(crash.server),
        age_ms: now.0.saturating_sub(crash.at_ms),
        run_ms: crash.run_ms,
        is_cleared: false,
    });
    Record {
        part,
        crashes: crashes.collect(),
    }
}
