//! Simulation of planners that follow each other while their orders are lost, late or
//! carried out twice, outcomes become known late, and engines leave, start, fall silent and
//! restart.

use crate::{
    cluster::{Cluster, STEP},
    link::{Delivery, Link},
};
use clock::Moment;
use form::{Engine, Planner};
use name::Instance;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use site::fixture::model_spec;
use std::time::Duration;

/// The environment variable that sets the number of seeds.
const SEEDS_VARIABLE: &str = "SUCCESSION_SEEDS";

/// The number of seeds in a usual run.
const DEFAULT_SEEDS: u64 = 150;

/// The largest number of engines.
const MAX_ENGINES: usize = 14;

/// The share of orders that get no response.
const UNANSWERED_SHARE: f64 = 0.35;

/// The time until a late order is carried out.
const LATE_SECONDS: std::ops::Range<f64> = 2.0..12.0;

/// A planner, and until when it plans.
struct Term {
    planner: Planner,
    end: Moment,
}

/// One run with several planners.
struct Simulation {
    cluster: Cluster,
    rng: ChaCha8Rng,
    link: Link,
    terms: Vec<Term>,
}

impl Simulation {
    /// Returns a cluster whose replicas one planner has formed without faults.
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let report_lag = STEP * rng.random_range(0..=3);
        let size = rng.random_range(6..=9);
        let mut cluster = Cluster::new(1, size);
        cluster.spec.models = vec![model_spec("large", 2, 0.67), model_spec("small", 2, 0.33)];
        let mut planner = Planner::new(1);
        cluster.run(&mut planner, Duration::from_secs(8));
        let first_end = cluster.now + Duration::from_millis(rng.random_range(300..4_000));
        let mut terms = vec![Term {
            planner,
            end: first_end,
        }];
        for token in 2..=rng.random_range(2..=4) {
            let begin = terms.last().expect("a term").end;
            terms.push(Term {
                planner: Planner::new(token),
                end: begin + Duration::from_millis(rng.random_range(1_500..7_000)),
            });
        }
        Self {
            cluster,
            rng,
            link: Link::new(report_lag),
            terms,
        }
    }

    /// Runs all terms, and some time after the last one began.
    fn run(&mut self) {
        // An earlier planner may not yet know of its successor.
        let overlap = Duration::from_millis(self.rng.random_range(0..2_000));
        let end = self.terms.last().expect("a term").end + Duration::from_secs(10);
        let mut begin = self.cluster.now;
        let begins: Vec<Moment> = self
            .terms
            .iter()
            .map(|term| std::mem::replace(&mut begin, term.end))
            .collect();
        let count = self.terms.len();
        while self.cluster.now < end {
            self.cluster.now = self.cluster.now + STEP;
            self.disturb();
            self.link.advance(&mut self.cluster);
            let now = self.cluster.now;
            for (term, begin) in begins.iter().enumerate() {
                let is_last = term + 1 == count;
                if now >= *begin && (is_last || now < self.terms[term].end + overlap) {
                    self.plan(term);
                }
            }
        }
    }

    /// Changes the demand and the time until outcomes are known, and lets engines leave,
    /// start, fall silent and restart, at random.
    fn disturb(&mut self) {
        if self.rng.random_bool(0.03) {
            let large = self.rng.random_range(0.0..4.0);
            self.cluster.set_demand(large, 4.0 - large);
        }
        if self.rng.random_bool(0.03) {
            self.link.outcome_lag = Duration::from_millis(self.rng.random_range(0..2_000));
        }
        if self.rng.random_bool(0.01) {
            self.random_engine().server.is_leaving = true;
        }
        let count = self.cluster.engines.len();
        if self.rng.random_bool(0.01) && count < MAX_ENGINES {
            self.cluster.add(&format!("e{}", 50 + count), "f0");
            self.cluster.stage_all();
        }
        if self.rng.random_bool(0.02) {
            self.random_engine().is_alive = false;
        }
        for engine in self.cluster.engines.values_mut() {
            engine.is_alive |= self.rng.random_bool(0.08);
        }
        if self.rng.random_bool(0.004) {
            let id = self.random_engine().id().clone();
            self.restart(&id);
        }
    }

    fn random_engine(&mut self) -> &mut Engine {
        let engines = &mut self.cluster.engines;
        let chosen = self.rng.random_range(0..engines.len());
        engines.values_mut().nth(chosen).expect("an engine")
    }

    /// Starts an engine again, which then knows nothing of before.
    fn restart(&mut self, id: &Instance) {
        let cluster = &mut self.cluster;
        cluster.tokens.remove(id);
        cluster.generations.remove(id);
        cluster.joining.remove(id);
        cluster.opening.remove(id);
        cluster.staging.remove(id);
        let engine = cluster.engines.get_mut(id).expect("an engine");
        engine.sequence = Some(0);
        engine.server.incarnation += 1;
        engine.server.engine.membership = None;
        engine.server.engine.loaded_models.clear();
        self.link.forget(id);
    }

    /// Runs a step of a planner, and delivers its orders.
    fn plan(&mut self, term: usize) {
        let planner = &mut self.terms[term].planner;
        let rng = &mut self.rng;
        self.link
            .plan(&mut self.cluster, planner, |_| draw_delivery(rng));
    }
}

fn draw_delivery(rng: &mut ChaCha8Rng) -> Delivery {
    if !rng.random_bool(UNANSWERED_SHARE) {
        return Delivery::Answered;
    }
    let delay = Duration::from_secs_f64(rng.random_range(LATE_SECONDS));
    match rng.random_range(0..4) {
        0 => Delivery::ResponseLost,
        1 => Delivery::Late(delay),
        2 => Delivery::Lost,
        _ => Delivery::Twice(delay),
    }
}

/// Guards against a planner that opens a replica while a join that an earlier planner, or
/// it itself, ordered may still take one of its members away.
#[test]
fn no_late_order_takes_a_member_of_an_open_replica() {
    let seeds = match std::env::var(SEEDS_VARIABLE) {
        Ok(seeds) => seeds.parse().expect("a number of seeds"),
        Err(_) => DEFAULT_SEEDS,
    };
    let mut served = 0;
    for seed in 0..seeds {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        let cluster = &simulation.cluster;
        assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
        served += cluster.serving("large") + cluster.serving("small");
    }
    // The planners must not merely do nothing.
    assert!(served as u64 >= seeds, "{served} replicas in {seeds} runs");
}
