//! One run: starts a deployment, applies load and a scenario, and measures.

use crate::{
    Deployment, Error, Kind, Options, Run, Scenario,
    caller::{Caller, Outcome},
    load::{self, Arrival, Work},
    policy,
    probe::{self, Probes},
    sample::{self, Integrals},
    scenario::Seen,
};
use slog::Logger;
use standin::{Command, Counters, Shape, World};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout_at},
};
use uuid::Uuid;

/// The size of the model's weights in MiB; small, so that runs are short.
const MODEL_MIB: u32 = 512;

/// The timeout for the replicas to form.
const PATIENCE: Duration = Duration::from_secs(40);

/// The time without load over which idle processor time is measured.
const IDLE: Duration = Duration::from_secs(1);

/// The time after the load within which calls must end.
const DRAIN: Duration = Duration::from_secs(15);

/// The settings that differ from their defaults in every run.
const SETTINGS: &str = "timings = { entries_ttl_ms = 2000 }\n";

/// The parameters of a run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The deployment.
    pub kind: Kind,
    /// The number of entry nodes.
    pub nodes: usize,
    /// The faults and operations during the run.
    pub scenario: Scenario,
    /// The name of the policy.
    pub policy: &'static str,
    /// The seed of arrivals, speeds and failures.
    pub seed: u64,
    /// Whether the run is shortened.
    pub quick: bool,
    /// The time under load.
    pub length: Duration,
}

/// The resource use of the idle process, per node.
#[derive(Debug, Clone, Copy)]
struct Idle {
    cpu: Option<f64>,
    resident: Option<u64>,
}

/// The raw results of a run.
struct Gathered {
    outcomes: Vec<Outcome>,
    offered: Vec<Arrival>,
    integrals: Integrals,
    seen: Seen,
    probes: Option<Probes>,
    counters: Counters,
    begun_before: usize,
    idle: Idle,
}

/// Runs a scenario under load and returns its measurements.
///
/// # Errors
///
/// Returns an error if the deployment does not start or rejects an operation.
pub async fn run(setup: &Setup, log: &Logger) -> Result<Run, Error> {
    let mut shape = match setup.kind {
        Kind::HafodTegid => Shape::hafod_tegid(),
        Kind::Lena => Shape::lena(),
    };
    shape.speed.model_mib = MODEL_MIB;
    let options = Options {
        kind: setup.kind,
        shape,
        nodes: setup.nodes,
        seed: setup.seed,
        settings: format!("{SETTINGS}{}", policy::settings(setup.policy)),
    };
    let mut deployment = Deployment::start(options, log).await?;
    deployment.ready(replicas(setup.policy), PATIENCE).await?;
    warm(deployment.world());
    let idle = idle(setup.nodes).await;
    let gathered = measure(setup, &mut deployment, idle).await;
    for number in 0..setup.nodes {
        deployment.end_entry(number, false).await;
    }
    Ok(report(setup, gathered?))
}

/// Returns the number of replicas formed by 48 engines in six fabric domains.
fn replicas(policy: &str) -> u64 {
    match policy {
        // Of the eight engines in a fabric domain one is a spare, which leaves
        // enough for one replica only.
        "spare" => 6,
        _ => 12,
    }
}

/// Makes every backend server warm, as after hours of serving.
fn warm(world: &World) {
    for server in world.servers() {
        let instance = server.listed().instance.clone();
        world.apply(&Command::Warm {
            instance,
            warm: true,
        });
    }
}

/// Measures the resource use of the process without load.
async fn idle(nodes: usize) -> Idle {
    let (before, started) = (sample::processor(), Instant::now());
    sleep(IDLE).await;
    let passed = started.elapsed().as_secs_f64();
    let used = sample::processor().zip(before);
    Idle {
        cpu: used.map(|(after, before)| (after - before).as_secs_f64() / passed / nodes as f64),
        resident: sample::resident().map(|bytes| bytes / nodes as u64),
    }
}

/// Applies the load while the scenario runs.
async fn measure(
    setup: &Setup,
    deployment: &mut Deployment,
    idle: Idle,
) -> Result<Gathered, Error> {
    let world = Arc::clone(deployment.world());
    let names = load::accounts(setup.kind);
    let callers = callers(setup.kind, deployment, &names);
    let is_flood = setup.scenario == Scenario::LargeAccount;
    let offered = load::arrivals(setup.seed, names.len(), setup.length, is_flood);
    let begun_before = world.inspect(|counters| counters.begun.len());
    let start = Instant::now();
    let end = start + setup.length;
    let watching = tokio::spawn(sample::watch(Arc::clone(&world), end));
    let calling = tokio::spawn(call_all(
        callers.clone(),
        offered.clone(),
        start,
        end + DRAIN,
    ));
    let probing = (setup.scenario == Scenario::Steady).then(|| {
        let caller = Arc::clone(&callers[0]);
        tokio::spawn(probe::run(Arc::clone(&world), setup.kind, caller, end))
    });
    let seen = setup
        .scenario
        .run(deployment, setup.seed, setup.length)
        .await?;
    let joined = |error| Error::new(format!("a task of the run failed: {error}"));
    let probes = match probing {
        Some(probing) => Some(probing.await.map_err(joined)?),
        None => None,
    };
    Ok(Gathered {
        integrals: watching.await.map_err(joined)?,
        outcomes: calling.await.map_err(joined)?,
        offered,
        seen,
        probes,
        counters: world.counters(),
        begun_before,
        idle,
    })
}

/// Returns a caller for each client account, spread over the failure domains.
fn callers(kind: Kind, deployment: &Deployment, names: &[String]) -> Vec<Arc<Caller>> {
    let servers = deployment.world().servers();
    let mut domains: Vec<String> = servers
        .iter()
        .map(|server| server.listed().domain.to_string())
        .collect();
    domains.dedup();
    names
        .iter()
        .enumerate()
        .map(|(place, name)| {
            let domain = domains[place % domains.len()].clone();
            let client = deployment.client().clone();
            Arc::new(Caller::new(
                kind,
                client,
                name,
                domain,
                deployment.callers(),
            ))
        })
        .collect()
}

/// Makes every call at its arrival time and returns those ended before `until`.
async fn call_all(
    callers: Vec<Arc<Caller>>,
    arrivals: Vec<Arrival>,
    start: Instant,
    until: Instant,
) -> Vec<Outcome> {
    let mut calls = JoinSet::new();
    for mut arrival in arrivals {
        sleep_until(start + arrival.at).await;
        if let Work::Entry(key) = &mut arrival.work {
            *key = Uuid::now_v7();
        }
        let caller = Arc::clone(&callers[arrival.account]);
        calls.spawn(async move { caller.call(&arrival).await });
    }
    let mut outcomes = Vec::new();
    while let Ok(Some(ended)) = timeout_at(until, calls.join_next()).await {
        outcomes.extend(ended.ok());
    }
    outcomes
}

/// Computes the measurements from the raw results.
fn report(setup: &Setup, gathered: Gathered) -> Run {
    let Gathered {
        outcomes,
        offered,
        integrals,
        seen,
        probes,
        counters,
        begun_before,
        idle,
    } = gathered;
    let within = |at: Duration| seen.change.is_some_and(|(from, to)| from <= at && at < to);
    let mut first: Vec<Duration> = outcomes.iter().filter_map(|o| o.first_token).collect();
    let mut between: Vec<Duration> = outcomes.iter().flat_map(|o| o.between.clone()).collect();
    let (added_p50, added_p95) = added(probes.clone());
    let probed = probes.map_or(0, |p| p.direct.len() + p.through.len());
    let begun = counters.begun.len().saturating_sub(begun_before + probed);
    let count = |is: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|o| is(o)).count() as u64;
    let runs = &counters.runs_per_key;
    let ran = |key: &Uuid| runs.contains_key(&key.to_string());
    Run {
        nodes: setup.nodes,
        deployment: match setup.kind {
            Kind::HafodTegid => "hafod-tegid".into(),
            Kind::Lena => "lena".into(),
        },
        scenario: setup.scenario.to_string(),
        policy: setup.policy.into(),
        seed: setup.seed,
        quick: setup.quick,
        length_s: setup.length.as_secs_f64(),
        group_downtime_s: Some(integrals.downtime_s),
        stranded_accelerator_s: Some(integrals.stranded_s),
        service_ratio: service(&offered, &outcomes, |_| true),
        service_ratio_during_change: seen
            .change
            .and_then(|_| service(&offered, &outcomes, within)),
        first_token_p95_ms: millis(sample::quantile(&mut first, 95)),
        between_tokens_p95_ms: millis(sample::quantile(&mut between, 95)),
        added_first_token_p50_ms: added_p50,
        added_first_token_p95_ms: added_p95,
        config_in_force_max_s: seen.in_force.map(|time| time.as_secs_f64()),
        work_after_take_out: seen.late_work.map(|late| late as u64),
        cold_overloads: Some(counters.cold_overloads),
        double_runs: Some(runs.values().map(|runs| runs.saturating_sub(1)).sum()),
        wrong_answers: Some(count(&|o| o.is_wrong)),
        false_not_run: Some(count(&|o| o.key.is_some_and(|(k, told)| told && ran(&k)))),
        cut_by_planned_stop: (setup.scenario == Scenario::PlannedStop)
            .then(|| count(&|o| o.is_cut)),
        attempts_per_request: (!offered.is_empty()).then(|| begun as f64 / offered.len() as f64),
        control_cpu_ratio: idle.cpu,
        control_bytes_per_s: None,
        resident_bytes: idle.resident,
        faults: faults(&offered, &outcomes),
    }
}

/// Returns the weight of complete responses over the weight of all calls, for
/// the arrival times that `is_meant` selects.
fn service(
    offered: &[Arrival],
    outcomes: &[Outcome],
    is_meant: impl Fn(Duration) -> bool,
) -> Option<f64> {
    let asked = offered.iter().filter(|a| a.counts && is_meant(a.at));
    let asked: u32 = asked.map(|arrival| arrival.work.weight()).sum();
    let whole = outcomes
        .iter()
        .filter(|o| o.counts && o.is_whole && is_meant(o.at));
    let whole: u32 = whole.map(|outcome| outcome.weight).sum();
    (asked > 0).then(|| f64::from(whole) / f64::from(asked))
}

/// Returns the 50th and 95th percentiles through entries minus the direct ones.
fn added(probes: Option<Probes>) -> (Option<f64>, Option<f64>) {
    let Some(mut probes) = probes else {
        return (None, None);
    };
    let mut at = |hundredths| {
        let through = millis(sample::quantile(&mut probes.through, hundredths))?;
        let direct = millis(sample::quantile(&mut probes.direct, hundredths))?;
        Some(through - direct)
    };
    (at(50), at(95))
}

/// Converts a time to milliseconds.
fn millis(time: Option<Duration>) -> Option<f64> {
    time.map(|time| time.as_secs_f64() * 1_000.0)
}

/// Counts the failed calls by reason, the most frequent first.
fn faults(offered: &[Arrival], outcomes: &[Outcome]) -> Vec<(String, u64)> {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    let failed = outcomes.iter().filter(|o| !o.is_whole);
    for outcome in failed {
        let why = outcome.fault.clone().unwrap_or_else(|| "wrong".into());
        *counts.entry(why).or_default() += 1;
    }
    let late = offered.len().saturating_sub(outcomes.len()) as u64;
    if late > 0 {
        counts.insert("not ended".into(), late);
    }
    let mut faults: Vec<(String, u64)> = counts.into_iter().collect();
    faults.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    faults
}
