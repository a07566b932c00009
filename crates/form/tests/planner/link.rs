//! The way between planners and engines: reports with an age, and orders that are lost,
//! late or carried out twice.

use crate::cluster::Cluster;
use clock::Moment;
use form::{Engine, Inputs, OutgoingOrder, Planner};
use name::Instance;
use site::order::{Order, Outcome};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// What becomes of an order on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// It is carried out at once, and answered.
    Answered,
    /// It is carried out at once, but its response is lost.
    ResponseLost,
    /// It is carried out late, without a response.
    Late(Duration),
    /// It is lost.
    Lost,
    /// It is carried out at once and once more later, without a response.
    Twice(Duration),
}

/// The orders on their way, and the states from which reports are taken.
pub(crate) struct Link {
    /// The age of reports.
    report_lag: Duration,
    /// The time after which the planner's node handles the outcome of an order.
    pub(crate) outcome_lag: Duration,
    outcomes: Vec<(Moment, OutgoingOrder, Outcome)>,
    late: Vec<(Moment, Instance, Order)>,
    history: VecDeque<(Moment, HashMap<Instance, Engine>)>,
}

impl Link {
    /// Returns a link without orders on their way.
    pub(crate) fn new(report_lag: Duration) -> Self {
        Self {
            report_lag,
            outcome_lag: Duration::ZERO,
            outcomes: Vec::new(),
            late: Vec::new(),
            history: VecDeque::new(),
        }
    }

    /// Carries out what is due, and records the engines' states.
    pub(crate) fn advance(&mut self, cluster: &mut Cluster) {
        cluster.apply_due();
        let now = cluster.now;
        let (due, late) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _, _)| now >= *at);
        self.late = late;
        for (_, id, order) in due {
            if cluster.engines.contains_key(&id) {
                cluster.apply_order(&id, &order);
            }
        }
        let state = cluster.engines.clone().into_iter().collect();
        self.history.push_back((now, state));
        while self.history.len() > 1 && self.history[1].0 + self.report_lag <= now {
            self.history.pop_front();
        }
    }

    /// Drops the late orders to an engine.
    ///
    /// Orders name the instance, which a restarted process no longer is.
    pub(crate) fn forget(&mut self, id: &Instance) {
        self.late.retain(|(_, other, _)| other != id);
    }

    /// Runs a step of a planner, and delivers its orders.
    pub(crate) fn plan(
        &mut self,
        cluster: &mut Cluster,
        planner: &mut Planner,
        mut deliver: impl FnMut(&OutgoingOrder) -> Delivery,
    ) {
        let (reported_at, engines) = self.history.front().expect("a state").clone();
        let engines = engines.into_iter().map(|(id, mut engine)| {
            engine.report_requested_at = reported_at;
            (id, engine)
        });
        let inputs = Inputs {
            engine_spec: &cluster.spec.clone(),
            demand: &cluster.demand.clone(),
            has_traffic: true,
            load_window: Duration::from_secs(5),
        };
        let now = cluster.now;
        let step = planner.step(engines.collect(), &inputs, now);
        for sent in step.orders {
            let delivery = deliver(&sent);
            let is_now = !matches!(delivery, Delivery::Late(_) | Delivery::Lost);
            let outcome = if is_now {
                cluster.apply_order(&sent.engine, &sent.order)
            } else {
                Outcome::Unknown
            };
            if let Delivery::Late(delay) | Delivery::Twice(delay) = delivery {
                self.late
                    .push((now + delay, sent.engine.clone(), sent.order.clone()));
            }
            let outcome = match delivery {
                Delivery::Answered => outcome,
                _ => Outcome::Unknown,
            };
            let known_at = now + self.outcome_lag;
            self.outcomes.push((known_at, sent, outcome));
        }
        self.record_outcomes(planner, now);
    }

    /// Tells a planner the outcomes of its orders that its node has handled.
    fn record_outcomes(&mut self, planner: &mut Planner, now: Moment) {
        let (known, later) = std::mem::take(&mut self.outcomes)
            .into_iter()
            .partition(|(at, sent, _)| sent.order.token == planner.token() && now >= *at);
        self.outcomes = later;
        for (_, sent, outcome) in known {
            planner.record_outcome(&sent.engine, &sent.order, outcome, now);
        }
    }
}
