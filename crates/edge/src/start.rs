//! Start and stop of a node.

use crate::{
    directory, exchange, follow, heartbeat, isolation,
    listener::{Role, listen, watch_connections},
    node_records, plan, quarantine_store,
    state::Shared,
};
use clock::Clock;
use site::{Platform, Settings, node::NodeRecord};
use slog::{Logger, info};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::UdpSocket,
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// The fraction of the grace period in which a stopping node admits requests.
///
/// Admitted requests have the rest of the grace period to finish.
const ADMISSION_FRACTION: f64 = 0.35;

/// How long before the end of the grace period a node shuts down by itself.
const END_MARGIN: Duration = Duration::from_millis(300);

/// How often a stopping node checks whether it is idle.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// A running node.
#[derive(Debug)]
pub struct Edge {
    shared: Arc<Shared>,
    closing: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Edge {
    /// Starts a node.
    ///
    /// `admin` is the address at which operators read metrics and lift quarantines.
    ///
    /// # Errors
    ///
    /// Fails if one of the node's addresses cannot be bound.
    pub async fn start(
        settings: Settings,
        admin: Option<SocketAddr>,
        platform: Platform,
        clock: Clock,
        log: Logger,
    ) -> io::Result<Self> {
        let record = NodeRecord {
            node: settings.node.clone(),
            incarnation: rand::random(),
            domain: settings.domain.clone(),
            caller_address: settings.caller_address,
            peer_address: settings.peer_address,
        };
        let shared = Arc::new(Shared::new(settings, platform, clock, log));
        let settings = &shared.settings;
        shared.tables().peers.own_incarnation = record.incarnation;
        let closing = watch::Sender::new(false);
        let mut tasks = JoinSet::new();
        let mut listeners = vec![
            (settings.caller_address, Role::Requests),
            (settings.readiness_address, Role::Readiness),
        ];
        let own = Arc::new(record.clone());
        listeners.extend(
            settings
                .directory_address
                .map(|at| (at, Role::Directory(own))),
        );
        listeners.extend(admin.map(|at| (at, Role::Admin)));
        for (address, role) in listeners {
            let listener = budget::listener::bind(address)?;
            tasks.spawn(listen(
                Arc::clone(&shared),
                listener,
                role,
                closing.subscribe(),
            ));
        }
        tasks.spawn(watch_connections(Arc::clone(&shared)));
        let socket = Arc::new(UdpSocket::bind(settings.peer_address).await?);
        let node = record.node.clone();
        tasks.spawn(follow::operators(Arc::clone(&shared)));
        tasks.spawn(follow::servers(Arc::clone(&shared)));
        tasks.spawn(node_records::run(Arc::clone(&shared), record.clone()));
        tasks.spawn(heartbeat::run_receiver(
            Arc::clone(&shared),
            Arc::clone(&socket),
            node,
        ));
        tasks.spawn(exchange::run_sender(
            Arc::clone(&shared),
            Arc::clone(&socket),
        ));
        tasks.spawn(heartbeat::run_sender(
            Arc::clone(&shared),
            socket,
            record.clone(),
        ));
        tasks.spawn(isolation::run(Arc::clone(&shared)));
        tasks.spawn(quarantine_store::run(Arc::clone(&shared)));
        tasks.spawn(plan::run(Arc::clone(&shared), record.clone()));
        info!(shared.log, "node started"; "node" => %record.node, "front" => %record.caller_address,
            "domain" => %record.domain, "life" => record.incarnation);
        Ok(Self {
            shared,
            closing,
            tasks,
        })
    }

    /// Stops the node.
    ///
    /// It leaves the directory at once and continues to serve callers that still have
    /// its address. It shuts down when no request is in progress and no caller can
    /// have the address any more, or shortly before the end of the grace period.
    pub async fn stop(mut self) {
        let begin = Instant::now();
        let grace = self.shared.settings.bounds.termination_grace;
        info!(self.shared.log, "node stopping"; "grace_ms" => grace.as_millis() as u64);
        self.shared.stop();
        let deadline = begin + grace.saturating_sub(END_MARGIN);
        sleep_until(begin + grace.mul_f64(ADMISSION_FRACTION)).await;
        self.shared.stop_admission();
        let cached_until = begin + directory::max_cache_time(&self.shared);
        sleep_until(cached_until.min(deadline)).await;
        self.closing.send_replace(true);
        while Instant::now() < deadline && self.is_busy() {
            sleep(IDLE_INTERVAL).await;
        }
        info!(self.shared.log, "node stopped"; "is_busy" => self.is_busy());
        self.tasks.shutdown().await;
    }

    /// Returns whether requests are in progress.
    fn is_busy(&self) -> bool {
        self.shared.tables().load.has_local_requests()
    }
}
