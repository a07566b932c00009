//! Requests that wait for a place, and places that become free.

use crate::state::{Shared, Tables};
use clock::Moment;
use name::{Instance, Model, Service};
use place::{Contention, Decision, Placement, Query, Urgency, choose_target, cold_rate_share};
use std::{sync::Arc, time::Duration};
use tokio::{sync::oneshot, time::timeout};

/// What a request looks for.
#[derive(Debug, Clone)]
pub(crate) struct Want {
    pub(crate) service: Service,
    pub(crate) model: Option<Model>,
    pub(crate) prompt: u32,
    pub(crate) excluded: Vec<Instance>,
}

/// A request that waits for a place.
#[derive(Debug)]
pub(crate) struct Waiter {
    want: Want,
    told: Option<oneshot::Sender<Place>>,
}

/// A place at a target, held until it is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    shared: Arc<Shared>,
    pub(crate) choice: Placement,
    /// When the place was taken.
    pub(crate) since: Moment,
    prompt: u32,
    is_read: bool,
    is_given_back: bool,
}

impl Place {
    /// Gives the place back under the lock that the caller holds.
    fn give_back(&mut self, tables: &mut Tables) {
        if std::mem::replace(&mut self.is_given_back, true) {
            return;
        }
        let server = &self.choice.target.server;
        if !self.is_read {
            tables.load.record_first_token(server, self.prompt);
        }
        tables.load.record_end(server, self.shared.now());
    }

    /// Notes that something has come.
    pub(crate) fn heard(&self) {
        let now = self.shared.now();
        let mut tables = self.shared.tables();
        tables.load.record_received(&self.choice.target.server, now);
    }

    /// Returns whether what is in progress here will never end.
    pub(crate) fn is_doomed(&self) -> bool {
        self.shared.tables().fleet.has_failed(&self.choice.target)
    }

    /// Notes that the first token has come.
    pub(crate) fn read(&mut self) {
        if !self.is_read {
            self.is_read = true;
            let mut tables = self.shared.tables();
            tables
                .load
                .record_first_token(&self.choice.target.server, self.prompt);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.is_given_back {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let mut tables = shared.tables();
        self.give_back(&mut tables);
        shared.offer(&mut tables);
    }
}

/// Why a request got no place.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Placeless {
    /// No target serves what it asks for.
    Nowhere,
    /// It would wait too long; places should be free after this time.
    Full(Duration),
}

impl Shared {
    /// Returns a place for a request, waiting for up to `patience`.
    ///
    /// A request that would wait longer, going by what waits and is in progress,
    /// is refused at once.
    pub(crate) async fn place(
        self: &Arc<Self>,
        want: Want,
        rank: Urgency,
        patience: Duration,
    ) -> Result<Place, Placeless> {
        let waiting = {
            let mut tables = self.tables();
            let now = self.now();
            let has_waiting = !tables.queue.is_empty();
            match self.try_place(&mut tables, &want, has_waiting, now) {
                Ok(place) => return Ok(place),
                Err(outlook) => {
                    let expected = self.expected_wait(&tables, &want, rank, outlook, now);
                    if expected > patience {
                        return Err(placeless(outlook, expected));
                    }
                    let (told, heard) = oneshot::channel();
                    let waiter = Waiter {
                        want: want.clone(),
                        told: Some(told),
                    };
                    tables.queue.push(rank, waiter);
                    heard
                }
            }
        };
        match timeout(patience, waiting).await {
            Ok(Ok(place)) => Ok(place),
            _ => {
                let tables = self.tables();
                let is_served = tables.targets.iter().any(|t| serves(t, &want));
                Err(if is_served {
                    Placeless::Full(RETRY_WHEN_FULL)
                } else {
                    Placeless::Nowhere
                })
            }
        }
    }

    /// Gives free places to requests that wait, most urgent first.
    pub(crate) fn offer(self: &Arc<Self>, tables: &mut Tables) {
        if tables.queue.is_empty() {
            return;
        }
        let now = self.now();
        let mut queue = std::mem::take(&mut tables.queue);
        queue.dispatch(now, |waiter| {
            if waiter.told.as_ref().is_none_or(oneshot::Sender::is_closed) {
                return true;
            }
            let Ok(place) = self.try_place(tables, &waiter.want, true, now) else {
                return false;
            };
            if let Some(told) = waiter.told.take()
                && let Err(mut unheard) = told.send(place)
            {
                // The waiter left just now. Dropping the place would take the
                // lock that is held here, so it is given back first.
                unheard.give_back(tables);
            }
            true
        });
        tables.queue = queue;
    }

    /// Takes a place if one is free.
    fn try_place(
        self: &Arc<Self>,
        tables: &mut Tables,
        want: &Want,
        has_waiting: bool,
        now: Moment,
    ) -> Result<Place, Lack> {
        let config = tables.config.as_ref().ok_or(Lack::Nowhere)?;
        let cold_per_s = config
            .services
            .get(&want.service)
            .map_or(0.0, |s| s.cold_requests_per_s);
        let cost = tables.cost(&want.service, want.model.as_ref());
        let ask = Query {
            service: &want.service,
            model: want.model.as_ref(),
            prompt_tokens: want.prompt,
            excluded: &want.excluded,
            domain: &self.settings.domain,
            contention: Contention {
                node: self.settings.node.as_str(),
                node_count: tables.peers.count(),
                report_interval: tables.peers.lag(now),
                has_queued: has_waiting,
            },
        };
        let outlook = choose_target(
            &ask,
            &tables.targets,
            cost.as_deref(),
            &tables.load,
            |target| {
                let own = self.settings.node.as_str();
                cold_rate_share(
                    cold_per_s,
                    &target.server,
                    own,
                    tables.peers.names(own).into_iter(),
                )
            },
            now,
            &mut rand::rng(),
        );
        match outlook {
            Decision::Place(choice) => {
                let first = choice.time_to_first_token;
                tables
                    .load
                    .record_start(&choice.target.server, want.prompt, first, now);
                Ok(Place {
                    shared: Arc::clone(self),
                    choice: *choice,
                    since: now,
                    prompt: want.prompt,
                    is_read: false,
                    is_given_back: false,
                })
            }
            Decision::Full => Err(Lack::Full),
            Decision::NoTarget => Err(Lack::Nowhere),
        }
    }

    /// Predicts how long a request waits for a place.
    fn expected_wait(
        &self,
        tables: &Tables,
        want: &Want,
        rank: Urgency,
        lack: Lack,
        now: Moment,
    ) -> Duration {
        /// The time of one request to a plain service.
        const PLAIN_STAY: f64 = 0.080;
        if lack == Lack::Nowhere {
            return NO_TARGET_WAIT;
        }
        let cost = tables.cost(&want.service, want.model.as_ref());
        let rate: f64 = tables
            .targets
            .iter()
            .filter(|t| serves(t, want))
            .map(|target| {
                let slots = f64::from(target.slots);
                let slowness = tables.load.penalty(&target.server, now).max(1.0);
                let stay = cost.as_ref().map_or(PLAIN_STAY, |cost| {
                    let (prompt, answer) = cost.mean_tokens();
                    cost.residence_time(slots, prompt, answer)
                });
                slots / stay / slowness
            })
            .sum();
        let own_rate = rate / tables.peers.count() as f64;
        place::estimated_wait(tables.queue.count_ahead(rank), own_rate).unwrap_or(NO_TARGET_WAIT)
    }
}

/// Why no place was free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lack {
    Full,
    Nowhere,
}

/// How long a model without a replica is expected to stay without one.
///
/// A replica is formed again within about this time if its engines hold the weights.
const NO_TARGET_WAIT: Duration = Duration::from_millis(1_500);

/// When a request that waited in vain may come again.
const RETRY_WHEN_FULL: Duration = Duration::from_millis(500);

/// Returns the refusal for a request that would wait too long.
fn placeless(lack: Lack, expected: Duration) -> Placeless {
    match lack {
        Lack::Full => Placeless::Full(expected),
        Lack::Nowhere => Placeless::Nowhere,
    }
}

/// Returns whether a target serves what a request asks for.
fn serves(target: &place::Target, want: &Want) -> bool {
    target.service == want.service && target.model == want.model
}
