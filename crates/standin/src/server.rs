//! The common state of engines and services: incarnations, warmth and load.

use crate::{
    cache::Cache,
    counters::{Begun, Shared},
    engine,
    host::{self, Host, Lived, Mode},
    platform::Store,
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
const SPREAD_PERCENT: u64 = 5;

/// The max age of the load in a report.
const LOAD_LAG: Duration = Duration::from_millis(200);

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
pub(crate) struct Life {
    pub(crate) boot: Uuid,
    born: Instant,
    forced_cold: bool,
    warm: bool,
    completions: u32,
    running: u32,
    /// The queued requests, by priority and then by arrival.
    waiting: BTreeSet<(u32, u64)>,
    arrivals: u64,
    /// The load in reports, with the time at which it was read.
    shown: Option<(Instant, u32, u32)>,
    pub(crate) phase: Phase,
    pub(crate) membership: Option<Membership>,
    pub(crate) seen: Generation,
    pub(crate) loaded: BTreeSet<Arc<str>>,
    pub(crate) cache: Cache,
    pub(crate) active: HashMap<Attempt, CancellationToken>,
    pub(crate) faults: Faults,
}

impl Life {
    /// Returns the state after a start: cold, in no replica.
    fn new(faults: Faults, loaded: BTreeSet<Arc<str>>) -> Self {
        Self {
            boot: Uuid::new_v4(),
            born: Instant::now(),
            forced_cold: false,
            warm: false,
            completions: 0,
            running: 0,
            waiting: BTreeSet::new(),
            arrivals: 0,
            shown: None,
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
        let old = self.born.elapsed() >= Duration::from_millis(speed.warm_ms);
        let used = self.completions >= speed.warm_completions;
        self.warm |= !self.forced_cold && (old || used);
        self.warm
    }
}

/// The backend servers by address; set once all are bound.
pub(crate) type Registry = OnceLock<BTreeMap<SocketAddr, Weak<Server>>>;

/// The state that a backend server shares with the others.
#[derive(Debug, Clone)]
pub(crate) struct Around {
    pub(crate) seed: u64,
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: Arc<Store>,
    pub(crate) speed: Arc<settings::Speed>,
    pub(crate) registry: Arc<Registry>,
}

/// A model engine or an instance of a plain service.
#[derive(Debug)]
pub struct Server {
    pub(crate) listed: ListedInstance,
    pub(crate) host: Host,
    pub(crate) around: Around,
    /// While this lock is held, only the counters' lock is taken, never another server's.
    life: Mutex<Life>,
    freed: Notify,
    own_percent: u64,
}

/// The reason why a server did not admit a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejected {
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
        around: Around,
    ) -> io::Result<Arc<Self>> {
        let (host, bound) = Host::bind(address).await?;
        listed.address = host.address();
        let role = listed.role;
        let seed = around.seed.to_string();
        let spread = name::score(&seed, listed.instance.as_str()) % (2 * SPREAD_PERCENT + 1);
        let own_percent = 100 - SPREAD_PERCENT + spread;
        let server = Arc::new(Self {
            listed,
            host,
            around,
            life: Mutex::new(Life::new(Faults::default(), BTreeSet::new())),
            freed: Notify::new(),
            own_percent,
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

    pub(crate) fn lock(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state, unless the connection belongs to an earlier incarnation.
    pub(crate) fn lock_for(&self, lived: &Lived) -> Option<MutexGuard<'_, Life>> {
        let life = self.lock();
        (!lived.is_over()).then_some(life)
    }

    /// Returns the current report, without lag.
    pub fn report(&self) -> Report {
        let speed = &self.around.speed;
        let mut life = self.lock();
        let warm = life.warm(speed);
        let membership = life.membership.as_ref();
        Report {
            instance: self.listed.instance.clone(),
            boot: life.boot,
            role: self.listed.role,
            phase: life.phase,
            replica: membership.map(|m| m.replica.clone()),
            generation: membership.map(|m| m.generation).unwrap_or_default(),
            member: membership.map_or(0, |m| m.member),
            loaded: life.loaded.iter().map(Arc::clone).collect(),
            warm,
            warm_limit: speed.warm_limit,
            cold_limit: speed.cold_limit,
            running: life.running,
            waiting: u32::try_from(life.waiting.len()).unwrap_or(u32::MAX),
            fences: life.faults.fences,
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
        let mut life = self.lock();
        let loaded = std::mem::take(&mut life.loaded);
        let loaded = if keep_weights {
            loaded
        } else {
            BTreeSet::new()
        };
        let faults = life.faults.clone();
        // Under the lock, so that no request of an old connection reaches the new
        // incarnation.
        self.host.cut();
        *life = Life::new(faults, loaded);
        drop(life);
        self.freed.notify_waiters();
    }

    /// Makes the server cold without a restart: the boot ID stays.
    pub fn cool(&self) {
        let mut life = self.lock();
        life.warm = false;
        life.completions = 0;
        life.born = Instant::now();
    }

    /// Makes the server warm immediately, or keeps it cold permanently.
    pub fn set_warm(&self, warm: bool) {
        let mut life = self.lock();
        life.forced_cold = !warm;
        life.warm = warm;
    }

    /// Scales `millis` by the server's speed and its slowness fault.
    pub(crate) fn pace(&self, millis: u64) -> Duration {
        let percent = u64::from(self.lock().faults.slow_percent);
        let percent = percent.saturating_mul(self.own_percent);
        Duration::from_micros(millis.saturating_mul(percent) / 10)
    }

    /// Admits a request.
    ///
    /// Waits while a warm server is full; an overloaded cold server restarts.
    pub(crate) async fn take(
        self: &Arc<Self>,
        lived: &Lived,
        attempt: Attempt,
        priority: u32,
    ) -> Result<Running, Rejected> {
        let boot = self.lock_for(lived).ok_or(Rejected::Restarted)?.boot;
        let mut waiting = None;
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            let place = waiting.as_ref().map(|waiting: &Waiting<'_>| waiting.place);
            match self.try_take(boot, attempt, place) {
                Some(taken) => return taken,
                None if place.is_none() => waiting = Some(Waiting::begin(self, boot, priority)),
                None => {}
            }
            freed.await;
        }
    }

    /// Admits a request; returns `None` if it has to wait at a warm server.
    fn try_take(
        self: &Arc<Self>,
        boot: Uuid,
        attempt: Attempt,
        place: Option<(u32, u64)>,
    ) -> Option<Result<Running, Rejected>> {
        let speed = &self.around.speed;
        let mut life = self.lock();
        if life.boot != boot {
            return Some(Err(Rejected::Restarted));
        }
        let warm = life.warm(speed);
        let is_next = place.as_ref() == life.waiting.first();
        if warm && (life.running >= speed.warm_limit || !is_next) {
            return None;
        }
        if !warm && life.running >= speed.cold_limit {
            drop(life);
            self.around.shared.count(|c| c.cold_overloads += 1);
            self.restart(true);
            return Some(Err(Rejected::Overloaded));
        }
        life.running += 1;
        let cancelled = CancellationToken::new();
        life.active.insert(attempt, cancelled.clone());
        drop(life);
        let begun = Begun {
            at_ms: self.around.shared.now_ms(),
            domain: self.listed.domain.clone(),
            instance: self.listed.instance.clone(),
        };
        self.around.shared.count(|c| c.begun.push(begun));
        Some(Ok(Running {
            server: Arc::clone(self),
            boot,
            attempt,
            cancelled,
            completed: false,
        }))
    }

    /// Returns whether it is up and a member of `generation` of `replica`.
    pub(crate) fn is_member(&self, replica: &Replica, generation: Generation) -> bool {
        let life = self.lock();
        let member = life.membership.as_ref();
        self.host.mode() == Mode::Up
            && matches!(life.phase, Phase::Joining | Phase::Ready)
            && member.is_some_and(|m| m.replica == *replica && m.generation == generation)
    }
}

/// A request that waits for capacity.
struct Waiting<'a> {
    server: &'a Server,
    boot: Uuid,
    place: (u32, u64),
}

impl<'a> Waiting<'a> {
    fn begin(server: &'a Server, boot: Uuid, priority: u32) -> Self {
        let mut life = server.lock();
        life.arrivals += 1;
        let place = (priority, life.arrivals);
        if life.boot == boot {
            life.waiting.insert(place);
        }
        drop(life);
        Self {
            server,
            boot,
            place,
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut life = self.server.lock();
        if life.boot == self.boot {
            life.waiting.remove(&self.place);
        }
        drop(life);
        // The next request in the queue may now be admitted.
        self.server.freed.notify_waiters();
    }
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) server: Arc<Server>,
    boot: Uuid,
    attempt: Attempt,
    pub(crate) cancelled: CancellationToken,
    completed: bool,
}

impl Running {
    /// Marks the request as completed.
    pub(crate) fn complete(&mut self) {
        self.completed = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut life = self.server.lock();
        if life.boot == self.boot {
            life.running = life.running.saturating_sub(1);
            life.completions += u32::from(self.completed);
            life.active.remove(&self.attempt);
        }
        drop(life);
        if !self.completed {
            self.server.around.shared.count(|c| c.abandoned += 1);
        }
        self.server.freed.notify_waiters();
    }
}

/// Handles a report request; the load in the report lags.
async fn report(State(server): State<Arc<Server>>) -> Json<Report> {
    let mut report = server.report();
    let mut life = server.lock();
    let now = (Instant::now(), report.running, report.waiting);
    let is_current = |shown: &(Instant, u32, u32)| shown.0.elapsed() < LOAD_LAG;
    let shown = life.shown.filter(is_current).unwrap_or(now);
    life.shown = Some(shown);
    (_, report.running, report.waiting) = shown;
    Json(report)
}

#[cfg(test)]
mod tests;
