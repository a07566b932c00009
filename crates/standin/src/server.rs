//! The common state of engines and services: incarnations, warmth and load.

use crate::{
    cache::Cache,
    counters::{Shared, StartedRequest},
    engine,
    host::{self, ClientConnection, Host, Mode},
    platform::WeightStore,
    service,
};
use axum::{Json, Router, extract::State, routing::get};
use backend::proto::{ListedInstance, Phase, Report, Role};
use name::{Attempt, Generation, Model, Replica};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak},
    time::Duration,
};
use tokio::{sync::Notify, time::Instant};
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

/// The max deviation of a server's speed from the settings.
const MAX_SPEED_DEVIATION_PERCENT: u64 = 5;

/// The max age of the load in a report.
const LOAD_REPORT_LAG: Duration = Duration::from_millis(200);

/// Fault switches of a backend server.
#[common::value]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The factor on all its delays, in percent.
    pub slow_percent: u32,
    /// Whether it refuses orders with an earlier fencing token.
    pub fences: bool,
    /// Whether it refuses requests while a member of its replica is missing.
    pub checks_members: bool,
    /// Closes each stream after this number of frames.
    pub cut_after: Option<u32>,
    /// Restarts after the first frame of a stream whose prompt contains this text.
    pub crash_prompts: Option<Arc<str>>,
    /// Restarts while it runs a call whose body contains this text.
    pub crash_calls: Option<Arc<str>>,
    /// Stalls each stream after this number of frames.
    pub stall_after: Option<u32>,
    /// Sends each frame twice.
    pub repeat_frames: bool,
    /// Sends a frame of another attempt before the frame with this index.
    pub crossed_at: Option<u32>,
    /// Omits the frame with this index.
    pub gap_at: Option<u32>,
    /// Runs each request, but closes the connection instead of responding.
    pub lose_answers: bool,
    /// Responds to each request with the ID of another attempt.
    pub cross_answers: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_percent: 100,
            fences: true,
            checks_members: true,
            cut_after: None,
            crash_prompts: None,
            crash_calls: None,
            stall_after: None,
            repeat_frames: false,
            crossed_at: None,
            gap_at: None,
            lose_answers: false,
            cross_answers: false,
        }
    }
}

/// A membership of a replica.
#[derive(Debug, Clone)]
pub(crate) struct Membership {
    pub(crate) replica: Replica,
    pub(crate) generation: Generation,
    pub(crate) member: u32,
    pub(crate) peers: Vec<SocketAddr>,
    pub(crate) model: Model,
    pub(crate) adapters: Vec<Model>,
}

/// The state of one incarnation of a backend server.
#[derive(Debug)]
pub(crate) struct Incarnation {
    pub(crate) boot: Uuid,
    started_at: Instant,
    forced_cold: bool,
    warm: bool,
    completions: u32,
    running: u32,
    /// The queued requests, by priority and then by arrival.
    waiting: BTreeSet<(u32, u64)>,
    arrivals: u64,
    /// The load in reports, with the time at which it was read.
    reported_load: Option<(Instant, u32, u32)>,
    pub(crate) phase: Phase,
    pub(crate) membership: Option<Membership>,
    pub(crate) seen: Generation,
    pub(crate) loaded: BTreeSet<Arc<str>>,
    pub(crate) cache: Cache,
    pub(crate) active: HashMap<Attempt, CancellationToken>,
    pub(crate) faults: Faults,
}

impl Incarnation {
    /// Returns the state after a start: cold, in no replica.
    fn new(faults: Faults, loaded: BTreeSet<Arc<str>>) -> Self {
        Self {
            boot: Uuid::new_v4(),
            started_at: Instant::now(),
            forced_cold: false,
            warm: false,
            completions: 0,
            running: 0,
            waiting: BTreeSet::new(),
            arrivals: 0,
            reported_load: None,
            phase: Phase::Idle,
            membership: None,
            seen: Generation::default(),
            loaded,
            cache: Cache::default(),
            active: HashMap::new(),
            faults,
        }
    }

    /// Updates whether the server is warm, and returns it.
    fn warm(&mut self, speed: &settings::Speed) -> bool {
        let has_warmup_time_passed =
            self.started_at.elapsed() >= Duration::from_millis(speed.warm_ms);
        let has_warmup_completions = self.completions >= speed.warm_completions;
        self.warm |= !self.forced_cold && (has_warmup_time_passed || has_warmup_completions);
        self.warm
    }
}

/// The backend servers by address; set once all are bound.
pub(crate) type Registry = OnceLock<BTreeMap<SocketAddr, Weak<Server>>>;

/// The state that a backend server shares with the others.
#[derive(Debug, Clone)]
pub(crate) struct Environment {
    pub(crate) seed: u64,
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: Arc<WeightStore>,
    pub(crate) speed: Arc<settings::Speed>,
    pub(crate) registry: Arc<Registry>,
}

/// A model engine or an instance of a plain service.
#[derive(Debug)]
pub struct Server {
    pub(crate) listed: ListedInstance,
    pub(crate) host: Host,
    pub(crate) environment: Environment,
    /// While this lock is held, only the counters' lock is taken, never another server's.
    state: Mutex<Incarnation>,
    capacity_freed: Notify,
    speed_percent: u64,
}

/// The reason why a server did not admit a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// The server was cold and overloaded, and has restarted.
    Overloaded,
    /// The server restarted after the connection was opened.
    Restarted,
}

impl Server {
    /// Starts a server at `address` and sets the bound address in `listed`.
    pub(crate) async fn start(
        address: SocketAddr,
        mut listed: ListedInstance,
        environment: Environment,
    ) -> io::Result<Arc<Self>> {
        let (host, bound) = Host::bind(address).await?;
        listed.address = host.address();
        let role = listed.role;
        let seed = environment.seed.to_string();
        let spread = name::rendezvous_score(&seed, listed.instance.as_str())
            % (2 * MAX_SPEED_DEVIATION_PERCENT + 1);
        let speed_percent = 100 - MAX_SPEED_DEVIATION_PERCENT + spread;
        let server = Arc::new(Self {
            listed,
            host,
            environment,
            state: Mutex::new(Incarnation::new(Faults::default(), BTreeSet::new())),
            capacity_freed: Notify::new(),
            speed_percent,
        });
        let routes = match role {
            Role::Engine => engine::routes(),
            Role::Service => service::routes(),
        };
        let router = Router::new()
            .route("/v1/report", get(report))
            .merge(routes)
            .with_state(Arc::clone(&server));
        host::serve(bound, &server, |server| &server.host, router);
        Ok(server)
    }

    /// Returns the instance's entry in the instance list.
    pub fn listed(&self) -> &ListedInstance {
        &self.listed
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Incarnation> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state, unless the connection belongs to an earlier incarnation.
    pub(crate) fn lock_for_client(
        &self,
        client: &ClientConnection,
    ) -> Option<MutexGuard<'_, Incarnation>> {
        let state = self.lock();
        (!client.is_closed()).then_some(state)
    }

    /// Returns the current report, without lag.
    pub fn report(&self) -> Report {
        let speed = &self.environment.speed;
        let mut state = self.lock();
        let warm = state.warm(speed);
        let membership = state.membership.as_ref();
        Report {
            instance: self.listed.instance.clone(),
            boot: state.boot,
            role: self.listed.role,
            phase: state.phase,
            replica: membership.map(|m| m.replica.clone()),
            generation: membership.map(|m| m.generation).unwrap_or_default(),
            member: membership.map_or(0, |m| m.member),
            loaded: state.loaded.iter().map(Arc::clone).collect(),
            warm,
            warm_limit: speed.warm_limit,
            cold_limit: speed.cold_limit,
            running: state.running,
            waiting: u32::try_from(state.waiting.len()).unwrap_or(u32::MAX),
            fences: state.faults.fences,
        }
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the fault switches.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Restarts the server: cold, in no replica, with all connections closed.
    pub fn restart(&self, keep_weights: bool) {
        let mut state = self.lock();
        let loaded = std::mem::take(&mut state.loaded);
        let loaded = if keep_weights {
            loaded
        } else {
            BTreeSet::new()
        };
        let faults = state.faults.clone();
        // Under the lock, so that no request of an old connection reaches the new
        // incarnation.
        self.host.close_connections();
        *state = Incarnation::new(faults, loaded);
        drop(state);
        self.capacity_freed.notify_waiters();
    }

    /// Makes the server cold without a restart: the boot ID stays.
    pub fn cool(&self) {
        let mut state = self.lock();
        state.warm = false;
        state.completions = 0;
        state.started_at = Instant::now();
    }

    /// Makes the server warm immediately, or keeps it cold permanently.
    pub fn set_warm(&self, warm: bool) {
        let mut state = self.lock();
        state.forced_cold = !warm;
        state.warm = warm;
    }

    /// Scales `millis` by the server's speed and its slowness fault.
    pub(crate) fn scaled_delay(&self, millis: u64) -> Duration {
        let percent = u64::from(self.lock().faults.slow_percent);
        let percent = percent.saturating_mul(self.speed_percent);
        Duration::from_micros(millis.saturating_mul(percent) / 10)
    }

    /// Admits a request.
    ///
    /// Waits while a warm server is full; an overloaded cold server restarts.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        client: &ClientConnection,
        attempt: Attempt,
        priority: u32,
    ) -> Result<RunningRequest, Rejection> {
        let boot = self
            .lock_for_client(client)
            .ok_or(Rejection::Restarted)?
            .boot;
        let mut waiting = None;
        loop {
            let capacity_freed = self.capacity_freed.notified();
            tokio::pin!(capacity_freed);
            capacity_freed.as_mut().enable();
            let queue_position = waiting
                .as_ref()
                .map(|waiting: &QueuedRequest<'_>| waiting.queue_position);
            match self.try_admit(boot, attempt, queue_position) {
                Some(taken) => return taken,
                None if queue_position.is_none() => {
                    waiting = Some(QueuedRequest::begin(self, boot, priority));
                }
                None => {}
            }
            capacity_freed.await;
        }
    }

    /// Admits a request; returns `None` if it has to wait at a warm server.
    fn try_admit(
        self: &Arc<Self>,
        boot: Uuid,
        attempt: Attempt,
        queue_position: Option<(u32, u64)>,
    ) -> Option<Result<RunningRequest, Rejection>> {
        let speed = &self.environment.speed;
        let mut state = self.lock();
        if state.boot != boot {
            return Some(Err(Rejection::Restarted));
        }
        let warm = state.warm(speed);
        let is_next = queue_position.as_ref() == state.waiting.first();
        if warm && (state.running >= speed.warm_limit || !is_next) {
            return None;
        }
        if !warm && state.running >= speed.cold_limit {
            drop(state);
            self.environment.shared.count(|c| c.cold_overloads += 1);
            self.restart(true);
            return Some(Err(Rejection::Overloaded));
        }
        state.running += 1;
        let cancelled = CancellationToken::new();
        state.active.insert(attempt, cancelled.clone());
        drop(state);
        let started = StartedRequest {
            at_ms: self.environment.shared.now_ms(),
            domain: self.listed.domain.clone(),
            instance: self.listed.instance.clone(),
        };
        self.environment.shared.count(|c| c.begun.push(started));
        Some(Ok(RunningRequest {
            server: Arc::clone(self),
            boot,
            attempt,
            cancelled,
            completed: false,
        }))
    }

    /// Returns whether it is up and a member of `generation` of `replica`.
    pub(crate) fn is_member(&self, replica: &Replica, generation: Generation) -> bool {
        let state = self.lock();
        let member = state.membership.as_ref();
        self.host.mode() == Mode::Up
            && matches!(state.phase, Phase::Joining | Phase::Ready)
            && member.is_some_and(|m| m.replica == *replica && m.generation == generation)
    }
}

/// A request that waits for capacity.
struct QueuedRequest<'a> {
    server: &'a Server,
    boot: Uuid,
    queue_position: (u32, u64),
}

impl<'a> QueuedRequest<'a> {
    fn begin(server: &'a Server, boot: Uuid, priority: u32) -> Self {
        let mut state = server.lock();
        state.arrivals += 1;
        let queue_position = (priority, state.arrivals);
        if state.boot == boot {
            state.waiting.insert(queue_position);
        }
        drop(state);
        Self {
            server,
            boot,
            queue_position,
        }
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let mut state = self.server.lock();
        if state.boot == self.boot {
            state.waiting.remove(&self.queue_position);
        }
        drop(state);
        // The next request in the queue may now be admitted.
        self.server.capacity_freed.notify_waiters();
    }
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct RunningRequest {
    pub(crate) server: Arc<Server>,
    boot: Uuid,
    attempt: Attempt,
    pub(crate) cancelled: CancellationToken,
    completed: bool,
}

impl RunningRequest {
    /// Marks the request as completed.
    pub(crate) fn complete(&mut self) {
        self.completed = true;
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = self.server.lock();
        if state.boot == self.boot {
            state.running = state.running.saturating_sub(1);
            state.completions += u32::from(self.completed);
            state.active.remove(&self.attempt);
        }
        drop(state);
        if !self.completed {
            self.server.environment.shared.count(|c| c.abandoned += 1);
        }
        self.server.capacity_freed.notify_waiters();
    }
}

/// Handles a report request; the load in the report lags.
async fn report(State(server): State<Arc<Server>>) -> Json<Report> {
    let mut report = server.report();
    let mut state = server.lock();
    let now = (Instant::now(), report.running, report.waiting);
    let is_current =
        |reported_load: &(Instant, u32, u32)| reported_load.0.elapsed() < LOAD_REPORT_LAG;
    let reported_load = state.reported_load.filter(is_current).unwrap_or(now);
    state.reported_load = Some(reported_load);
    (_, report.running, report.waiting) = reported_load;
    Json(report)
}

#[cfg(test)]
mod tests;
