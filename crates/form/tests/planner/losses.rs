//! Service under constant losses of members: what callers get from the replicas that a
//! planner keeps up, played against simulated engines.

use crate::cluster::{Cluster, STEP, model};
use form::{Engine, Planner};
use name::{Fabric, Instance, Replica};
use site::{Server, fixture, server::Phase};
use std::{collections::HashSet, time::Duration};

/// The time from the loss of an engine until the planner has found it dead.
const DETECTION_TIME: Duration = Duration::from_millis(1_100);

/// The time from the loss of an engine until its entry is removed.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(3_600);

/// The length of a day.
const DAY: Duration = Duration::from_secs(34);

/// The steps between two losses.
const LOSS_STEPS: usize = 30;

/// The steps between two additions of engines, and the first step with one.
const ADDITION_STEPS: usize = 35;
const FIRST_ADDITION_STEP: usize = 110;

/// The weight of the large and the small model's callers.
const WEIGHTS: (f64, f64) = (0.35, 0.65);

/// A deployment whose engines are lost and replaced.
#[derive(Debug, Clone, Copy)]
struct Deployment {
    name: &'static str,
    domains: usize,
    domain_size: usize,
    /// The sizes of replicas of the large and the small model.
    sizes: (usize, usize),
    /// The demand for each model, in fully used replicas.
    demand: (f64, f64),
    loads_at_once: u32,
    /// The members of replicas that are lost every three seconds, all in a third of the
    /// domains.
    losses: usize,
}

/// A reproducible sequence of numbers.
struct Draw(u64);

impl Draw {
    /// Returns the next number below a limit.
    fn below(&mut self, limit: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((bits ^ (bits >> 31)) % limit as u64) as usize
    }
}

/// Returns the fraction of a model's requests that are answered on time.
///
/// Queues grow from about half of the capacity on; above the capacity, what is served
/// has mostly waited too long.
fn on_time(replicas: f64, demand: f64) -> f64 {
    /// The fraction of requests on time when all capacity is used.
    const AT_CAPACITY: f64 = 0.45;
    /// The used fraction of the capacity from which on requests wait.
    const WITHOUT_WAITS: f64 = 0.55;
    let used = demand / replicas.max(0.001);
    if used <= WITHOUT_WAITS {
        1.0
    } else if used <= 1.0 {
        1.0 - (used - WITHOUT_WAITS) / (1.0 - WITHOUT_WAITS) * (1.0 - AT_CAPACITY)
    } else {
        AT_CAPACITY / used
    }
}

/// A day in progress.
struct Day {
    deployment: Deployment,
    cluster: Cluster,
    draw: Draw,
    /// The lost engines, and when each was lost.
    lost: Vec<(Duration, Instance)>,
    added: usize,
}

impl Day {
    /// Loses members of replicas in the third of the domains whose turn it is, silently.
    fn lose_members(&mut self, at: Duration, turn: usize) {
        let domains = self.deployment.domains;
        let is_in_turn = |engine: &&Engine| {
            let fabric = engine.fabric().expect("a domain").as_str();
            let domain: usize = fabric[1..].parse().expect("a number");
            domain * 3 / domains == turn % 3
        };
        for _ in 0..self.deployment.losses {
            let lost: HashSet<&Instance> = self.lost.iter().map(|(_, id)| id).collect();
            let members: Vec<Instance> = self
                .cluster
                .engines
                .values()
                .filter(|e| e.membership().is_some_and(|m| m.phase != Phase::Joining))
                .filter(is_in_turn)
                .map(|e| e.id().clone())
                .filter(|id| !lost.contains(id))
                .collect();
            if !members.is_empty() {
                let victim = members[self.draw.below(members.len())].clone();
                self.lost.push((at, victim));
            }
        }
    }

    /// Shows the planner the losses that are old enough.
    fn reveal_losses(&mut self, at: Duration) {
        for (lost_at, id) in &self.lost {
            if at - *lost_at >= ENTRY_TIMEOUT {
                self.cluster.remove(id);
            } else if at - *lost_at >= DETECTION_TIME
                && let Some(engine) = self.cluster.engines.get_mut(id)
            {
                engine.is_alive = false;
            }
        }
    }

    /// Adds two engines without weights to a domain.
    fn add_engines(&mut self) {
        let domain = self.draw.below(self.deployment.domains);
        let fabric: Fabric = format!("f{domain}").parse().expect("a name");
        for _ in 0..2 {
            self.added += 1;
            let name = format!("n{:03}", self.added);
            let mut server = Server {
                ..fixture::server(&name)
            };
            server.engine.fabric = Some(fabric.clone());
            let mut engine = self.cluster.engines.values().next().cloned();
            let engine = engine.as_mut().expect("an engine");
            engine.server = server;
            engine.is_alive = true;
            engine.sequence = Some(0);
            engine.staging = None;
            self.cluster
                .engines
                .insert(engine.id().clone(), engine.clone());
        }
    }

    /// Returns the number of replicas of a model that are open and lost no member.
    fn serving(&self, name: &str) -> f64 {
        let lost: HashSet<&Instance> = self.lost.iter().map(|(_, id)| id).collect();
        let engines = || self.cluster.engines.values();
        let broken: HashSet<&Replica> = engines()
            .filter(|e| !e.is_alive || lost.contains(e.id()))
            .filter_map(|e| e.membership().map(|m| &m.replica))
            .collect();
        let heads = engines().filter(|e| e.holds(&model(name)));
        let open = heads
            .filter_map(Engine::membership)
            .filter(|m| m.phase == Phase::Open);
        open.filter(|m| !broken.contains(&m.replica)).count() as f64
    }
}

/// Plays a day of losses, and returns the fraction of requests on time.
fn play(deployment: Deployment, mut planner: Planner, seed: u64) -> f64 {
    let mut cluster = Cluster::new(deployment.domains, deployment.domain_size);
    let mut small = fixture::model_spec("small", deployment.sizes.1, 0.5);
    small.load_time = Duration::from_secs(12);
    small.warm_load_time = Duration::from_millis(1_100);
    let large = fixture::model_spec("large", deployment.sizes.0, 0.5);
    cluster.spec = fixture::engine_spec(vec![large, small]);
    cluster.spec.loads_at_once = deployment.loads_at_once;
    cluster.spec.loads_per_s = f64::from(deployment.loads_at_once);
    cluster.run(&mut planner, Duration::from_secs(9));
    let (large, small) = deployment.demand;
    cluster.set_demand(large, small);
    let begin = cluster.now;
    let mut day = Day {
        deployment,
        cluster,
        draw: Draw(seed),
        lost: Vec::new(),
        added: 0,
    };
    let (mut sum, mut steps) = (0.0, 0.0);
    loop {
        let at = day.cluster.now.since(begin);
        if at >= DAY {
            break;
        }
        let step = (at.as_millis() / STEP.as_millis()) as usize;
        if step % LOSS_STEPS == LOSS_STEPS - 1 {
            day.lose_members(at, step / LOSS_STEPS);
        }
        if step > FIRST_ADDITION_STEP && step % ADDITION_STEPS < deployment.losses / 2 {
            day.add_engines();
        }
        day.reveal_losses(at);
        day.cluster.run(&mut planner, STEP);
        sum += WEIGHTS.0 * on_time(day.serving("large"), large)
            + WEIGHTS.1 * on_time(day.serving("small"), small);
        steps += 1.0;
    }
    assert_eq!(
        day.cluster.violations,
        Vec::<String>::new(),
        "{}, seed {seed}",
        deployment.name
    );
    sum / steps
}

/// Plays several days, and returns the mean fraction of requests on time.
fn mean(deployment: Deployment, planner: impl Fn() -> Planner) -> f64 {
    const SEEDS: u64 = 4;
    let days = (0..SEEDS).map(|seed| play(deployment, planner(), seed));
    days.sum::<f64>() / SEEDS as f64
}

/// Guards against a reserve that grows with the size of fabric domains: with 37 engines in
/// a domain, seven stood idle in each while callers waited for replicas.
#[test]
fn callers_are_served_better_if_the_reserve_does_not_grow_with_domains() {
    struct Case {
        deployment: Deployment,
        /// The minimum gain of requests on time over a reserve of a fifth.
        gain: f64,
    }
    let cases = [
        Case {
            deployment: Deployment {
                name: "six domains of 8, replicas of 4 and 2",
                domains: 6,
                domain_size: 8,
                sizes: (4, 2),
                demand: (2.2, 4.0),
                loads_at_once: 6,
                losses: 2,
            },
            gain: 0.0,
        },
        Case {
            deployment: Deployment {
                name: "nine domains of 18, replicas of 8 and 2",
                domains: 9,
                domain_size: 18,
                sizes: (8, 2),
                demand: (5.0, 20.0),
                loads_at_once: 18,
                losses: 4,
            },
            gain: 0.0,
        },
        Case {
            deployment: Deployment {
                name: "ten domains of 37, replicas of 16 and 8",
                domains: 10,
                domain_size: 37,
                sizes: (16, 8),
                demand: (4.5, 11.0),
                loads_at_once: 45,
                losses: 6,
            },
            gain: 0.03,
        },
    ];
    for case in cases {
        let bounded = mean(case.deployment, || Planner::new(1));
        let proportional = mean(case.deployment, || {
            Planner::new(1).with_max_reserve(usize::MAX)
        });
        println!(
            "{}: {bounded:.3} on time, {proportional:.3} with a reserve of a fifth",
            case.deployment.name
        );
        assert!(
            bounded >= proportional + case.gain,
            "{}: {bounded} {proportional}",
            case.deployment.name
        );
    }
}
