//! Slots at targets, and the requests that wait for them.

use crate::state::{Shared, Tables};
use clock::Moment;
use name::{Account, Instance, Model, Node, Service};
use place::{
    Contention, Decision, LoadTracker, Objective, Placement, Query, Target, Urgency, choose_target,
    cold_share,
};
use site::node::NodeRecord;
use std::{sync::Arc, time::Duration};
use tokio::{sync::oneshot, time::timeout};

/// The requirements of a request for a slot.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequest {
    pub(crate) service: Service,
    pub(crate) model: Option<Model>,
    pub(crate) account: Option<Account>,
    pub(crate) prompt: u32,
    pub(crate) excluded: Vec<Instance>,
    /// The request's priority, and when its response should start.
    pub(crate) urgency: Urgency,
    /// Whether the request was admitted before, and is now sent to another server.
    pub(crate) is_admitted: bool,
    /// The digest of a request that may crash servers, which goes to one server only.
    pub(crate) trial: Option<u64>,
}

/// A request that waits for a slot.
#[derive(Debug)]
pub(crate) struct Waiter {
    request: SlotRequest,
    sender: Option<oneshot::Sender<Slot>>,
}

/// How recent a node's view of the servers is.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServersView {
    /// The position up to which the servers' feed is applied.
    pub(crate) position: Option<u64>,
    /// The time since the start of the read that last confirmed the view.
    pub(crate) age: Option<Duration>,
}

impl Tables {
    /// Returns how recent the view of the servers is.
    pub(crate) fn servers_view(&self, now: Moment) -> ServersView {
        ServersView {
            position: self.servers_offset,
            age: self.servers_confirmed.map(|at| now.since(at)),
        }
    }
}

/// Capacity for one request at a target, released on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    shared: Arc<Shared>,
    pub(crate) choice: Placement,
    /// When the slot was acquired.
    pub(crate) acquired_at: Moment,
    /// The view of the servers from which the target was chosen.
    pub(crate) view: ServersView,
    prompt: u32,
    has_first_token: bool,
    is_released: bool,
    /// The other node that takes the request; `None` for a server's slot.
    pub(crate) node: Option<Node>,
}

impl Slot {
    /// Returns a slot at another node, which counts the request as its own.
    pub(crate) fn at_node(
        shared: &Arc<Shared>,
        record: &NodeRecord,
        service: &Service,
    ) -> Option<Self> {
        let target = Target {
            server: record.node.as_str().try_into().ok()?,
            incarnation: record.incarnation,
            address: record.caller_address,
            service: service.clone(),
            domain: record.domain.clone(),
            model: None,
            slots: u32::MAX,
            is_cold: false,
            replica: None,
            members: Vec::new(),
        };
        Some(Self {
            shared: Arc::clone(shared),
            choice: Placement {
                target,
                time_to_first_token: Duration::ZERO,
                modelled_time: Duration::ZERO,
                is_in_time: true,
                in_progress: 0,
                candidates: 1,
            },
            acquired_at: shared.now(),
            view: ServersView::default(),
            prompt: 0,
            has_first_token: true,
            is_released: true,
            node: Some(record.node.clone()),
        })
    }

    /// Releases the slot under the lock that the caller holds.
    fn release(&mut self, tables: &mut Tables) {
        if std::mem::replace(&mut self.is_released, true) {
            return;
        }
        let server = &self.choice.target.server;
        if !self.has_first_token {
            tables.load.record_first_token(server, self.prompt);
        }
        tables.load.record_end(server, self.shared.now());
    }

    /// Records that output has come from the server.
    pub(crate) fn record_progress(&self) {
        self.update_load(LoadTracker::record_received);
    }

    /// Records that the server has sent no output for too long.
    pub(crate) fn record_silence(&self) {
        self.update_load(LoadTracker::record_silence);
    }

    /// Records an observation of the server, unless the slot is at another node.
    fn update_load(&self, record: impl FnOnce(&mut LoadTracker, &Instance, Moment)) {
        if self.node.is_some() {
            return;
        }
        let now = self.shared.now();
        let mut tables = self.shared.tables();
        record(&mut tables.load, &self.choice.target.server, now);
    }

    /// Returns whether the target can no longer finish requests that are in progress.
    pub(crate) fn is_replica_lost(&self) -> bool {
        self.node.is_none() && self.shared.tables().fleet.has_failed(&self.choice.target)
    }

    /// Returns whether new requests may be sent to the target still.
    ///
    /// Connecting takes up to some hundred milliseconds, in which the server may leave, or
    /// its domain may be taken out of service.
    pub(crate) fn is_current(&self) -> bool {
        let target = &self.choice.target;
        let is_same = |listed: &Target| {
            listed.server == target.server
                && listed.incarnation == target.incarnation
                && listed.replica == target.replica
        };
        self.node.is_some() || self.shared.tables().targets.iter().any(is_same)
    }

    /// Records that the first token has come, so that the prompt is processed.
    pub(crate) fn record_first_token(&mut self) {
        if !self.has_first_token {
            self.has_first_token = true;
            let mut tables = self.shared.tables();
            tables
                .load
                .record_first_token(&self.choice.target.server, self.prompt);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.is_released {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let mut tables = shared.tables();
        self.release(&mut tables);
        shared.assign_slots(&mut tables);
    }
}

/// Why a request got no slot.
#[derive(Debug, Clone, Copy)]
pub(crate) enum NoSlot {
    /// No target serves the requested service and model.
    NoTarget,
    /// The wait would be too long; slots should be free after this time.
    Full(Duration),
    /// The request is above the share that the model's replicas can answer in time.
    AboveLevel(Duration),
    /// All servers want no requests for now; one accepts them again after this time.
    Declined(Duration),
}

impl Shared {
    /// Acquires a slot for a request, waiting for up to `max_wait`.
    ///
    /// A request whose expected wait is longer, by the queue and the targets' capacity,
    /// is refused at once.
    pub(crate) async fn acquire_slot(
        self: &Arc<Self>,
        request: SlotRequest,
        max_wait: Duration,
    ) -> Result<Slot, NoSlot> {
        let rank = request.urgency;
        let waiting = {
            let mut tables = self.tables();
            let now = self.now();
            if !is_admitted(&mut tables, &request, now) {
                return Err(NoSlot::AboveLevel(RETRY_ABOVE_LEVEL));
            }
            let has_queued = !tables.queue.is_empty();
            match self.try_acquire(&mut tables, &request, has_queued, now) {
                Ok(slot) => return Ok(slot),
                Err(shortage) => {
                    let expected = match declined_time(&tables, &request, now) {
                        // Servers that refused this request do not get it again.
                        Some(wait)
                            if wait > max_wait || is_excluded_everywhere(&tables, &request) =>
                        {
                            return Err(NoSlot::Declined(wait));
                        }
                        Some(wait) => wait,
                        None => self.expected_wait(&tables, &request, rank, shortage, now),
                    };
                    if expected > max_wait {
                        return Err(no_slot(shortage, expected));
                    }
                    let (sender, receiver) = oneshot::channel();
                    let waiter = Waiter {
                        request: request.clone(),
                        sender: Some(sender),
                    };
                    tables.queue.push(rank, waiter);
                    receiver
                }
            }
        };
        match timeout(max_wait, waiting).await {
            Ok(Ok(slot)) => Ok(slot),
            _ => {
                let tables = self.tables();
                let is_served = tables.targets.iter().any(|t| serves(t, &request));
                Err(if is_served {
                    NoSlot::Full(RETRY_WHEN_FULL)
                } else {
                    NoSlot::NoTarget
                })
            }
        }
    }

    /// Returns how long a request may wait for a slot until its response cannot start in
    /// time any more, at a replica with few requests; `None` without an objective.
    pub(crate) fn time_to_latest_start(&self, request: &SlotRequest) -> Option<Duration> {
        /// The number of requests at such a replica.
        const FEW_REQUESTS: f64 = 8.0;
        let now = self.now();
        let tables = self.tables();
        let objective = objective(&tables, request, now);
        let cost = tables.cost(&request.service, request.model.as_ref())?;
        let prompt = f64::from(request.prompt);
        let first = cost.time_to_first_token(FEW_REQUESTS, 0.0, prompt);
        let first = Duration::from_secs_f64(first) + objective.delay;
        Some(objective.time_left?.saturating_sub(first))
    }

    /// Returns whether a target that is not excluded serves a service and model.
    pub(crate) fn has_target(
        &self,
        service: &Service,
        model: Option<&Model>,
        excluded: &[Instance],
    ) -> bool {
        let targets = Arc::clone(&self.tables().targets);
        targets.iter().any(|target| {
            target.service == *service
                && target.model.as_ref() == model
                && !excluded.contains(&target.server)
        })
    }

    /// Assigns free slots to waiting requests, most urgent first.
    pub(crate) fn assign_slots(self: &Arc<Self>, tables: &mut Tables) {
        if tables.queue.is_empty() {
            return;
        }
        let now = self.now();
        let mut queue = std::mem::take(&mut tables.queue);
        queue.dispatch(now, |waiter| {
            if waiter
                .sender
                .as_ref()
                .is_none_or(oneshot::Sender::is_closed)
            {
                return true;
            }
            let Ok(slot) = self.try_acquire(tables, &waiter.request, true, now) else {
                return false;
            };
            if let Some(sender) = waiter.sender.take()
                && let Err(mut unclaimed) = sender.send(slot)
            {
                // The waiter was cancelled concurrently. Dropping the slot would
                // take the lock that is held here, so it is released first.
                unclaimed.release(tables);
            }
            true
        });
        tables.queue = queue;
    }

    /// Acquires a slot if one is free.
    fn try_acquire(
        self: &Arc<Self>,
        tables: &mut Tables,
        request: &SlotRequest,
        has_queued: bool,
        now: Moment,
    ) -> Result<Slot, Shortage> {
        let config = tables.config.as_ref().ok_or(Shortage::NoTarget)?;
        let cold_per_s = config
            .services
            .get(&request.service)
            .map_or(0.0, |s| s.cold_requests_per_s);
        let cost = tables.cost(&request.service, request.model.as_ref());
        let excluded = match request.trial {
            Some(digest) => all_but_one(&tables.targets, request, digest),
            None => request.excluded.clone(),
        };
        let query = Query {
            service: &request.service,
            model: request.model.as_ref(),
            prompt_tokens: request.prompt,
            excluded: &excluded,
            domain: &self.settings.domain,
            contention: Contention {
                node: self.settings.node.as_str(),
                node_count: tables.peers.sending_count(),
                report_interval: tables.peers.load_delay(now),
                has_queued,
            },
            objective: objective(tables, request, now),
        };
        let decision = choose_target(
            &query,
            &tables.targets,
            cost.as_deref(),
            &tables.load,
            |target| {
                let cold = target.is_cold.then(|| {
                    let own = self.settings.node.as_str();
                    let nodes = tables.peers.node_names(own);
                    cold_share(cold_per_s, &target.server, own, nodes.into_iter())
                });
                let named = tables.limits.share(&target.server, target.incarnation);
                [cold, named]
            },
            now,
            &mut rand::rng(),
        );
        match decision {
            Decision::Place(choice) => {
                let first = choice.modelled_time;
                tables
                    .load
                    .record_start(&choice.target.server, request.prompt, first, now);
                Ok(Slot {
                    shared: Arc::clone(self),
                    choice: *choice,
                    acquired_at: now,
                    view: tables.servers_view(now),
                    prompt: request.prompt,
                    has_first_token: false,
                    is_released: false,
                    node: None,
                })
            }
            Decision::Full => Err(Shortage::Full),
            Decision::NoTarget => Err(Shortage::NoTarget),
        }
    }

    /// Estimates how long a request waits for a slot.
    fn expected_wait(
        &self,
        tables: &Tables,
        request: &SlotRequest,
        rank: Urgency,
        shortage: Shortage,
        now: Moment,
    ) -> Duration {
        /// The duration of one request to a service without models.
        const PLAIN_REQUEST_SECONDS: f64 = 0.080;
        if shortage == Shortage::NoTarget {
            return FORMATION_WAIT;
        }
        let cost = tables.cost(&request.service, request.model.as_ref());
        let nodes = tables.peers.sending_count() as f64;
        let own_rate: f64 = tables
            .targets
            .iter()
            .filter(|t| serves(t, request))
            .filter(|t| tables.load.declined_until(&t.server, now).is_none())
            .map(|target| {
                let slots = f64::from(target.slots);
                let slowness = tables.load.penalty(&target.server, now).max(1.0);
                let seconds = cost.as_ref().map_or(PLAIN_REQUEST_SECONDS, |cost| {
                    let (prompt, answer) = cost.mean_tokens();
                    cost.residence_time(slots, prompt, answer)
                });
                let rate = slots / seconds / slowness / nodes;
                let share = tables.limits.share(&target.server, target.incarnation);
                share.map_or(rate, |share| rate.min(share.rate()))
            })
            .sum();
        place::estimated_wait(tables.queue.count_ahead(rank), own_rate).unwrap_or(FORMATION_WAIT)
    }
}

/// The time for a response's way to its caller, and of the request's way here.
const CALLER_TIME: Duration = Duration::from_millis(10);

/// The retry delay for callers whose request was above the admitted share.
///
/// Replicas are formed again, and bursts end, within a few seconds.
const RETRY_ABOVE_LEVEL: Duration = Duration::from_millis(2_500);

/// Draws whether a request is within the share of its model that is admitted.
///
/// Requests whose objective has passed already come after all others.
fn is_admitted(tables: &mut Tables, request: &SlotRequest, now: Moment) -> bool {
    let Some(model) = request.model.as_ref().filter(|_| !request.is_admitted) else {
        return true;
    };
    let is_late = now >= request.urgency.due;
    let rank = tables.rank(&request.service, request.urgency.priority);
    let account = request.account.as_ref();
    tables.levels.admits(model, account, rank, is_late, now)
}

/// Returns when a response should start, for requests for a model that no server has begun.
fn objective(tables: &Tables, request: &SlotRequest, now: Moment) -> Objective {
    let Some(model) = request.model.as_ref().filter(|_| !request.is_admitted) else {
        return Objective::default();
    };
    let time_left = now.until(request.urgency.due).saturating_sub(CALLER_TIME);
    Objective {
        time_left: Some(time_left),
        delay: tables.delays.get(model),
    }
}

/// Why no slot was free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shortage {
    Full,
    NoTarget,
}

/// The expected time until a model without a replica has one again.
///
/// A replica is formed again within about this time if its engines hold the weights.
const FORMATION_WAIT: Duration = Duration::from_millis(1_500);

/// The retry delay for callers whose request timed out waiting for a slot.
const RETRY_WHEN_FULL: Duration = Duration::from_millis(500);

/// Returns the error for a request whose expected wait is too long.
fn no_slot(shortage: Shortage, expected: Duration) -> NoSlot {
    match shortage {
        Shortage::Full => NoSlot::Full(expected),
        Shortage::NoTarget => NoSlot::NoTarget,
    }
}

/// Returns the time until a target accepts a request again, if all of them declined.
fn declined_time(tables: &Tables, request: &SlotRequest, now: Moment) -> Option<Duration> {
    let serving = tables.targets.iter().filter(|t| serves(t, request));
    let until: Option<Vec<Moment>> = serving
        .map(|target| tables.load.declined_until(&target.server, now))
        .collect();
    until?.into_iter().min().map(|until| now.until(until))
}

/// Returns whether no target that serves a request may get it again.
fn is_excluded_everywhere(tables: &Tables, request: &SlotRequest) -> bool {
    let mut serving = tables.targets.iter().filter(|t| serves(t, request));
    serving.all(|target| request.excluded.contains(&target.server))
}

/// Returns all servers but the one to which a request under suspicion may go.
///
/// It depends on the digest alone, so that copies of the request at several nodes go to the
/// same server, and the requests below a crash to different ones.
fn all_but_one(targets: &[place::Target], request: &SlotRequest, digest: u64) -> Vec<Instance> {
    let key = format!("{digest:016x}");
    let serving = || targets.iter().filter(|t| serves(t, request));
    let allowed = serving().filter(|t| !request.excluded.contains(&t.server));
    let chosen = allowed.max_by_key(|t| name::rendezvous_score(&key, t.server.as_str()));
    let others = serving().filter(|t| chosen.is_none_or(|c| c.server != t.server));
    others.map(|t| t.server.clone()).collect()
}

/// Returns whether a target serves the requested service and model.
fn serves(target: &place::Target, request: &SlotRequest) -> bool {
    target.service == request.service && target.model == request.model
}

#[cfg(test)]
mod tests;
