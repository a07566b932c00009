//! The admitted shares of requests at a node, and their exchange with the planner.
//!
//! Each node counts the outcomes of its requests by model and reports the counts since its
//! start to the planner, so that a lost report delays them only. The planner computes the
//! shares from all nodes' counts and loads, and sends them with its heartbeats. A node
//! without a recent share admits all requests.

use crate::state::{Shared, Tables, decay_factor};
use clock::Moment;
use name::{Account, Model, Node};
use place::{
    LevelChange, Levels, MAX_SHARE_AGE, Occupancy, Outcomes, admission_probability, fair_level,
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::info;
use std::{collections::HashMap, time::Duration};

/// The unit of shares between nodes.
const SHARE_UNIT: f64 = 1_000.0;

/// The longest delay of load reports with which shares are computed.
///
/// Within it the loop of share and load is damped; with 200 nodes and more reports are
/// older, and all requests are admitted.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(400);

/// The maximum number of models in a report or in the shares that are sent.
const MAX_MODELS: usize = 64;

/// What a heartbeat carries besides the state of its node.
///
/// It follows the acknowledgment, where earlier versions of the program read nothing.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Extension {
    /// The outcomes at the sender since its start.
    pub(crate) outcomes: Vec<(Model, Outcomes)>,
    /// The shares that the planner sends, in thousandths of what is offered.
    pub(crate) shares: Vec<(Model, u16)>,
    /// The requests of accounts for models at the sender since its start, while some are
    /// refused.
    pub(crate) offered: Vec<(Model, Account, u64)>,
    /// The shares of the accounts that offer more than a fair part, in thousandths.
    pub(crate) account_shares: Vec<(Model, Account, u16)>,
}

impl Extension {
    /// Returns whether there is nothing to send.
    pub(crate) fn is_empty(&self) -> bool {
        self.outcomes.is_empty()
            && self.shares.is_empty()
            && self.offered.is_empty()
            && self.account_shares.is_empty()
    }
}

/// The maximum number of accounts in a report or in the shares that are sent.
const MAX_ACCOUNTS: usize = 64;

/// The half-life of what accounts have offered, at the planner.
const OFFERED_HALF_LIFE: Duration = Duration::from_secs(3);

/// The requests of accounts for models.
type Offered<T> = HashMap<(Model, Account), T>;

/// What a node's incarnation has reported.
#[derive(Debug, Default)]
struct Reported {
    incarnation: u64,
    outcomes: HashMap<Model, Outcomes>,
    offered: Offered<u64>,
}

/// The planner's shares at a node.
#[derive(Debug)]
struct Received {
    at: Moment,
    shares: HashMap<Model, f64>,
    account_shares: Offered<f64>,
}

/// The levels at a node.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// The outcomes at this node since its start.
    own: HashMap<Model, Outcomes>,
    /// The requests of this node's accounts since its start.
    own_offered: Offered<u64>,
    /// The planner's shares, and when they came.
    received: Option<Received>,
    /// The levels that this node computes, if it is the planner.
    computed: Option<Levels>,
    /// The outcomes that the other nodes reported to this node as the planner.
    reported: HashMap<Node, Reported>,
    /// The own outcomes and requests that the computed levels contain.
    counted: HashMap<Model, Outcomes>,
    counted_offered: Offered<u64>,
    /// The requests of all accounts, decayed, if this node is the planner.
    offered_by_all: Offered<f64>,
    /// The shares of accounts that this node computes as the planner.
    account_shares: Offered<f64>,
    stepped_at: Option<Moment>,
    /// The requests of this node's callers, by model.
    offered: HashMap<Model, Mix>,
}

/// The ranks of urgency that are told apart, and the one of requests that are late already.
const RANKS: usize = 8;
const LATE_RANK: usize = RANKS - 1;

/// The half-life of the counts of offered requests.
const MIX_HALF_LIFE: Duration = Duration::from_secs(4);

/// The offered requests of each rank, decayed up to a time.
#[derive(Debug, Clone)]
struct Mix {
    counts: [f64; RANKS],
    at: Moment,
}

impl Mix {
    /// Adds a request.
    fn add(&mut self, rank: usize, now: Moment) {
        let factor = decay_factor(now.since(self.at), MIX_HALF_LIFE);
        for count in &mut self.counts {
            *count *= factor;
        }
        self.counts[rank] += 1.0;
        self.at = now;
    }
}

impl Table {
    /// Adds outcomes of requests of this node.
    pub(crate) fn record(&mut self, model: &Model, outcomes: Outcomes) {
        self.own.entry(model.clone()).or_default().add(outcomes);
    }

    /// Draws whether a request of an account and a rank of urgency is admitted.
    pub(crate) fn admits(
        &mut self,
        model: &Model,
        account: Option<&Account>,
        rank: usize,
        is_late: bool,
        now: Moment,
    ) -> bool {
        let rank = if is_late {
            LATE_RANK
        } else {
            rank.min(LATE_RANK - 1)
        };
        let share = self.share(model, account, now);
        if let Some(account) = account {
            let key = (model.clone(), account.clone());
            *self.own_offered.entry(key).or_default() += 1;
        }
        let mix = self.offered.entry(model.clone()).or_insert(Mix {
            counts: [0.0; RANKS],
            at: now,
        });
        mix.add(rank, now);
        let probability = admission_probability(share, &mix.counts, rank);
        probability >= 1.0 || rand::rng().random_bool(probability)
    }

    /// Returns the admitted share of an account's requests for a model.
    ///
    /// Without shares of accounts, all have the model's; with them, those that are not
    /// named offer less than a fair part.
    fn share(&self, model: &Model, account: Option<&Account>, now: Moment) -> f64 {
        let (share, accounts) = if let Some(computed) = &self.computed {
            let mut shares = computed.shares();
            let share = shares.find(|(known, _)| *known == model);
            (share.map(|(_, share)| share), &self.account_shares)
        } else {
            let recent = self.received.as_ref();
            let recent = recent.filter(|received| now.since(received.at) < MAX_SHARE_AGE);
            let Some(received) = recent else {
                return 1.0;
            };
            let share = received.shares.get(model).copied();
            (share, &received.account_shares)
        };
        let share = share.unwrap_or(1.0);
        let Some(account) = account else {
            return share;
        };
        match accounts.get(&(model.clone(), account.clone())) {
            Some(own) => *own,
            None if accounts.keys().any(|(known, _)| known == model) => 1.0,
            None => share,
        }
    }

    /// Applies the shares of the planner, in thousandths.
    pub(crate) fn receive_shares(&mut self, extension: &Extension, now: Moment) {
        let share = |thousandths: u16| (f64::from(thousandths) / SHARE_UNIT).min(1.0);
        let shares = extension.shares.iter().take(MAX_MODELS);
        let accounts = extension.account_shares.iter().take(MAX_ACCOUNTS);
        self.received = Some(Received {
            at: now,
            shares: shares
                .map(|(model, s)| (model.clone(), share(*s)))
                .collect(),
            account_shares: accounts
                .map(|(model, account, s)| ((model.clone(), account.clone()), share(*s)))
                .collect(),
        });
    }

    /// Adds what another node reports, if this node is the planner.
    ///
    /// The first report of an incarnation only sets where later ones begin: an earlier
    /// planner has counted what was before.
    pub(crate) fn receive_report(
        &mut self,
        node: &Node,
        incarnation: u64,
        extension: &Extension,
        now: Moment,
    ) {
        let Some(computed) = &mut self.computed else {
            return;
        };
        let outcomes = extension.outcomes.iter().take(MAX_MODELS);
        let offered = extension.offered.iter().take(MAX_ACCOUNTS);
        let report = Reported {
            incarnation,
            outcomes: outcomes.cloned().collect(),
            offered: offered
                .map(|(model, account, count)| ((model.clone(), account.clone()), *count))
                .collect(),
        };
        let known = self.reported.get(node);
        if let Some(earlier) = known.filter(|known| known.incarnation == incarnation) {
            for (model, outcomes) in &report.outcomes {
                let before = earlier.outcomes.get(model).copied().unwrap_or_default();
                computed.record(model, outcomes.since(before), now);
            }
            for (key, count) in &report.offered {
                let before = earlier.offered.get(key).copied().unwrap_or(*count);
                let added = count.saturating_sub(before) as f64;
                *self.offered_by_all.entry(key.clone()).or_default() += added;
            }
        }
        self.reported.insert(node.clone(), report);
    }

    /// Updates the levels that this node computes as the planner; discards them if it is
    /// the planner no longer.
    pub(crate) fn step(
        &mut self,
        is_planning: bool,
        occupancy: impl Fn(&Model) -> Option<Occupancy>,
        now: Moment,
    ) -> Vec<LevelChange> {
        if !is_planning {
            self.computed = None;
            self.reported.clear();
            self.offered_by_all.clear();
            self.account_shares.clear();
            return Vec::new();
        }
        if self.computed.is_none() {
            let received = self.received.take();
            let shares = received.map_or_else(HashMap::new, |received| received.shares);
            self.computed = Some(Levels::continuing(shares, now));
            self.counted = self.own.clone();
            self.counted_offered = self.own_offered.clone();
        }
        let Some(computed) = &mut self.computed else {
            return Vec::new();
        };
        for (model, outcomes) in &self.own {
            let counted = self.counted.get(model).copied().unwrap_or_default();
            computed.record(model, outcomes.since(counted), now);
        }
        self.counted = self.own.clone();
        let changes = computed.step(occupancy, now);
        self.step_accounts(now);
        changes
    }

    /// Divides the shares of models among accounts.
    fn step_accounts(&mut self, now: Moment) {
        let elapsed = self.stepped_at.map_or(Duration::ZERO, |at| now.since(at));
        self.stepped_at = Some(now);
        let factor = decay_factor(elapsed, OFFERED_HALF_LIFE);
        for offered in self.offered_by_all.values_mut() {
            *offered *= factor;
        }
        for (key, count) in &self.own_offered {
            let counted = self.counted_offered.get(key).copied().unwrap_or(0);
            let added = count.saturating_sub(counted) as f64;
            *self.offered_by_all.entry(key.clone()).or_default() += added;
        }
        self.counted_offered = self.own_offered.clone();
        self.account_shares.clear();
        let shares: Vec<(Model, f64)> = self
            .computed
            .iter()
            .flat_map(Levels::shares)
            .filter(|(_, share)| *share < 1.0)
            .map(|(model, share)| (model.clone(), share))
            .collect();
        for (model, share) in shares {
            let of_model = |key: &(Model, Account)| key.0 == model;
            let offered = self.offered_by_all.iter().filter(|(key, _)| of_model(key));
            let rates: Vec<f64> = offered.clone().map(|(_, rate)| *rate).collect();
            let level = fair_level(&rates, share);
            let thinned = offered.filter(|(_, rate)| **rate > level);
            let thinned = thinned.map(|(key, rate)| (key.clone(), level / rate));
            self.account_shares.extend(thinned);
        }
    }

    /// Returns by how much more replicas each model needs than its work alone tells, if this
    /// node is the planner.
    pub(crate) fn replica_factors(&self) -> HashMap<Model, f64> {
        let factors = self.computed.iter().flat_map(Levels::replica_factors);
        factors
            .map(|(model, factor)| (model.clone(), factor))
            .collect()
    }

    /// Returns what this node reports to the planner.
    pub(crate) fn report(&self, now: Moment) -> Extension {
        let is_thinned = self.received.as_ref().is_some_and(|received| {
            now.since(received.at) < MAX_SHARE_AGE
                && received.shares.values().any(|share| *share < 1.0)
        });
        let mut offered: Vec<(Model, Account, u64)> = Vec::new();
        if is_thinned {
            let own = self.own_offered.iter();
            offered.extend(own.map(|((model, account), n)| (model.clone(), account.clone(), *n)));
            // With more accounts than fit, the largest matter most.
            offered.sort_by_key(|(_, _, count)| std::cmp::Reverse(*count));
            offered.truncate(MAX_ACCOUNTS);
        }
        Extension {
            outcomes: self.outcomes(),
            offered,
            ..Extension::default()
        }
    }

    /// Returns what this node sends to all nodes as the planner.
    pub(crate) fn announcement(&self) -> Extension {
        let thousandths = |share: f64| (share * SHARE_UNIT) as u16;
        let accounts = self.account_shares.iter().take(MAX_ACCOUNTS);
        Extension {
            shares: self.shares(),
            account_shares: accounts
                .map(|((model, account), share)| {
                    (model.clone(), account.clone(), thousandths(*share))
                })
                .collect(),
            ..Extension::default()
        }
    }

    /// Returns the outcomes at this node, for a report.
    fn outcomes(&self) -> Vec<(Model, Outcomes)> {
        let own = self.own.iter().take(MAX_MODELS);
        own.map(|(model, outcomes)| (model.clone(), *outcomes))
            .collect()
    }

    /// Returns the shares that this node sends as the planner.
    fn shares(&self) -> Vec<(Model, u16)> {
        let shares = self.computed.iter().flat_map(Levels::shares);
        let shares = shares.take(MAX_MODELS);
        shares
            .map(|(model, share)| (model.clone(), (share * SHARE_UNIT) as u16))
            .collect()
    }
}

impl Tables {
    /// Updates the levels that this node computes as the planner.
    pub(crate) fn step_levels(&mut self, is_planning: bool, now: Moment) -> Vec<LevelChange> {
        let is_computing = is_planning && self.peers.load_delay(now) <= MAX_REPORT_DELAY;
        let mut models: HashMap<Model, Occupancy> = HashMap::new();
        if is_computing {
            for target in self.targets.iter() {
                let Some(model) = &target.model else {
                    continue;
                };
                let work = self.load.work(&target.server, now);
                if work.is_stalled {
                    continue;
                }
                let occupancy = models.entry(model.clone()).or_insert(Occupancy {
                    running: 0,
                    slots: 0,
                });
                occupancy.running += u64::from(work.requests);
                occupancy.slots += u64::from(target.slots);
            }
        }
        let occupancy = |model: &Model| models.get(model).copied();
        self.levels.step(is_computing, occupancy, now)
    }
}

impl Shared {
    /// Logs changes of levels, which only the planner makes.
    pub(crate) fn log_levels(&self, changes: &[LevelChange]) {
        for change in changes {
            self.metrics.count("levels", "changed");
            info!(self.log, "admission level changed"; "model" => %change.model,
                "admitted" => change.admitted, "target" => change.target,
                "occupied" => change.occupied,
                "on_time" => change.outcomes.on_time, "late" => change.outcomes.late,
                "refused" => change.outcomes.refused);
        }
    }
}

#[cfg(test)]
mod tests;
