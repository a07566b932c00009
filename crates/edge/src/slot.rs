//! Requests that wait for a place, and places that become free.

use crate::state::{Shared, Tables};
use clock::Moment;
use name::{Instance, Model, Service};
use place::{Ask, Choice, Crowd, Outlook, Rank, choose, cold_part};
use std::{sync::Arc, time::Duration};
use tokio::{sync::oneshot, time::timeout};

/// What a request looks for.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequest {
    pub(crate) service: Service,
    pub(crate) model: Option<Model>,
    pub(crate) prompt: u32,
    pub(crate) excluded: Vec<Instance>,
}

/// A request that waits for a place.
#[derive(Debug)]
pub(crate) struct Waiter {
    request: SlotRequest,
    sender: Option<oneshot::Sender<Slot>>,
}

/// A place at a target, held until it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    shared: Arc<Shared>,
    pub(crate) choice: Choice,
    /// When the place was taken.
    pub(crate) acquired_at: Moment,
    prompt: u32,
    has_first_token: bool,
    is_released: bool,
}

impl Slot {
    /// Gives the place back under the lock that the caller holds.
    fn release(&mut self, tables: &mut Tables) {
        if std::mem::replace(&mut self.is_released, true) {
            return;
        }
        let server = &self.choice.target.server;
        if !self.has_first_token {
            tables.load.read(server, self.prompt);
        }
        tables.load.end(server, self.shared.now());
    }

    /// Notes that something has come.
    pub(crate) fn record_progress(&self) {
        let now = self.shared.now();
        let mut tables = self.shared.tables();
        tables.load.heard(&self.choice.target.server, now);
    }

    /// Returns whether what is in progress here will never end.
    pub(crate) fn is_replica_lost(&self) -> bool {
        self.shared.tables().fleet.is_doomed(&self.choice.target)
    }

    /// Notes that the first token has come.
    pub(crate) fn record_first_token(&mut self) {
        if !self.has_first_token {
            self.has_first_token = true;
            let mut tables = self.shared.tables();
            tables.load.read(&self.choice.target.server, self.prompt);
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

/// Why a request got no place.
#[derive(Debug, Clone, Copy)]
pub(crate) enum NoSlot {
    /// No target serves what it asks for.
    NoTarget,
    /// It would wait too long; places should be free after this time.
    Full(Duration),
}

impl Shared {
    /// Returns a place for a request, waiting for up to `patience`.
    ///
    /// A request that would wait longer, going by what waits and is in progress,
    /// is refused at once.
    pub(crate) async fn acquire_slot(
        self: &Arc<Self>,
        request: SlotRequest,
        rank: Rank,
        max_wait: Duration,
    ) -> Result<Slot, NoSlot> {
        let waiting = {
            let mut tables = self.tables();
            let now = self.now();
            let has_waiting = !tables.queue.is_empty();
            match self.try_acquire(&mut tables, &request, has_waiting, now) {
                Ok(slot) => return Ok(slot),
                Err(outlook) => {
                    let expected = self.expected_wait(&tables, &request, rank, outlook, now);
                    if expected > max_wait {
                        return Err(no_slot(outlook, expected));
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

    /// Gives free places to requests that wait, most urgent first.
    pub(crate) fn assign_slots(self: &Arc<Self>, tables: &mut Tables) {
        if tables.queue.is_empty() {
            return;
        }
        let now = self.now();
        let mut queue = std::mem::take(&mut tables.queue);
        queue.offer(now, |waiter| {
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
                // The waiter left just now. Dropping the place would take the
                // lock that is held here, so it is given back first.
                unclaimed.release(tables);
            }
            true
        });
        tables.queue = queue;
    }

    /// Takes a place if one is free.
    fn try_acquire(
        self: &Arc<Self>,
        tables: &mut Tables,
        request: &SlotRequest,
        has_waiting: bool,
        now: Moment,
    ) -> Result<Slot, Shortage> {
        let config = tables.config.as_ref().ok_or(Shortage::NoTarget)?;
        let cold_per_s = config
            .services
            .get(&request.service)
            .map_or(0.0, |s| s.cold_per_s);
        let cost = tables.cost(&request.service, request.model.as_ref());
        let ask = Ask {
            service: &request.service,
            model: request.model.as_ref(),
            prompt: request.prompt,
            excluded: &request.excluded,
            domain: &self.settings.domain,
            crowd: Crowd {
                own: self.settings.node.as_str(),
                nodes: tables.peers.node_count(),
                round: tables.peers.load_delay(now),
                has_waiting,
            },
        };
        let outlook = choose(
            &ask,
            &tables.targets,
            cost.as_deref(),
            &tables.load,
            |target| {
                let own = self.settings.node.as_str();
                cold_part(
                    cold_per_s,
                    &target.server,
                    own,
                    tables.peers.node_names(own).into_iter(),
                )
            },
            now,
            &mut rand::rng(),
        );
        match outlook {
            Outlook::Place(choice) => {
                let first = choice.first_token;
                tables
                    .load
                    .start(&choice.target.server, request.prompt, first, now);
                Ok(Slot {
                    shared: Arc::clone(self),
                    choice: *choice,
                    acquired_at: now,
                    prompt: request.prompt,
                    has_first_token: false,
                    is_released: false,
                })
            }
            Outlook::Full => Err(Shortage::Full),
            Outlook::Nowhere => Err(Shortage::NoTarget),
        }
    }

    /// Predicts how long a request waits for a place.
    fn expected_wait(
        &self,
        tables: &Tables,
        request: &SlotRequest,
        rank: Rank,
        shortage: Shortage,
        now: Moment,
    ) -> Duration {
        /// The time of one request to a plain service.
        const PLAIN_REQUEST_SECONDS: f64 = 0.080;
        if shortage == Shortage::NoTarget {
            return FORMATION_WAIT;
        }
        let cost = tables.cost(&request.service, request.model.as_ref());
        let rate: f64 = tables
            .targets
            .iter()
            .filter(|t| serves(t, request))
            .map(|target| {
                let slots = f64::from(target.slots);
                let slowness = tables.load.penalty(&target.server, now).max(1.0);
                let seconds = cost.as_ref().map_or(PLAIN_REQUEST_SECONDS, |cost| {
                    let (prompt, answer) = cost.usual();
                    cost.stay(slots, prompt, answer)
                });
                slots / seconds / slowness
            })
            .sum();
        let own_rate = rate / tables.peers.node_count() as f64;
        place::wait(tables.queue.ahead(rank), own_rate).unwrap_or(FORMATION_WAIT)
    }
}

/// Why no place was free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shortage {
    Full,
    NoTarget,
}

/// How long a model without a replica is expected to stay without one.
///
/// A replica is formed again within about this time if its engines hold the weights.
const FORMATION_WAIT: Duration = Duration::from_millis(1_500);

/// When a request that waited in vain may come again.
const RETRY_WHEN_FULL: Duration = Duration::from_millis(500);

/// Returns the refusal for a request that would wait too long.
fn no_slot(shortage: Shortage, expected: Duration) -> NoSlot {
    match shortage {
        Shortage::Full => NoSlot::Full(expected),
        Shortage::NoTarget => NoSlot::NoTarget,
    }
}

/// Returns whether a target serves what a request asks for.
fn serves(target: &place::Target, request: &SlotRequest) -> bool {
    target.service == request.service && target.model == request.model
}
