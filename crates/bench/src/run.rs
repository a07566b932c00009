//! One run: starts a deployment, applies load and a scenario, and measures.

use crate::{
    Deployment, Error, Kind, Options, Run, Scenario,
    caller::{Caller, Outcome},
    load::{self, Arrival, Work},
    policy,
    probe::{self, FirstTokenTimes},
    sample::{self, Integrals},
    scenario::Observations,
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
const FORMATION_TIMEOUT: Duration = Duration::from_secs(40);

/// The time without load over which idle processor time is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(1);

/// The time after the load within which calls must end.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(15);

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
struct IdleUsage {
    cpu: Option<f64>,
    resident: Option<u64>,
}

/// The raw results of a run.
struct RawResults {
    outcomes: Vec<Outcome>,
    offered: Vec<Arrival>,
    integrals: Integrals,
    observations: Observations,
    probes: Option<FirstTokenTimes>,
    counters: Counters,
    begun_before: usize,
    idle: IdleUsage,
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
    deployment
        .wait_until_ready(expected_replicas(setup.policy), FORMATION_TIMEOUT)
        .await?;
    warm_servers(deployment.world());
    let idle = measure_idle(setup.nodes).await;
    let raw = measure(setup, &mut deployment, idle).await;
    for number in 0..setup.nodes {
        deployment.end_entry(number, false).await;
    }
    Ok(summarize(setup, raw?))
}

/// Returns the number of replicas formed by 48 engines in six fabric domains.
fn expected_replicas(policy: &str) -> u64 {
    match policy {
        // Of the eight engines in a fabric domain one is a spare, which leaves
        // enough for one replica only.
        "spare" => 6,
        _ => 12,
    }
}

/// Makes every backend server warm, as after hours of serving.
fn warm_servers(world: &World) {
    for server in world.servers() {
        let instance = server.listed().instance.clone();
        world.apply(&Command::Warm {
            instance,
            warm: true,
        });
    }
}

/// Measures the resource use of the process without load.
async fn measure_idle(nodes: usize) -> IdleUsage {
    let (before, started) = (sample::processor_time(), Instant::now());
    sleep(IDLE_PERIOD).await;
    let elapsed = started.elapsed().as_secs_f64();
    let used = sample::processor_time().zip(before);
    IdleUsage {
        cpu: used.map(|(after, before)| (after - before).as_secs_f64() / elapsed / nodes as f64),
        resident: sample::resident_bytes().map(|bytes| bytes / nodes as u64),
    }
}

/// Applies the load while the scenario runs.
async fn measure(
    setup: &Setup,
    deployment: &mut Deployment,
    idle: IdleUsage,
) -> Result<RawResults, Error> {
    let world = Arc::clone(deployment.world());
    let names = load::accounts(setup.kind);
    let callers = callers(setup.kind, deployment, &names);
    let is_flood = setup.scenario == Scenario::LargeAccount;
    let offered = load::arrivals(setup.seed, names.len(), setup.length, is_flood);
    let begun_before = world.inspect(|counters| counters.begun.len());
    let start = Instant::now();
    let end = start + setup.length;
    let watch_task = tokio::spawn(sample::integrate(Arc::clone(&world), end));
    let call_task = tokio::spawn(call_all(
        callers.clone(),
        offered.clone(),
        start,
        end + DRAIN_TIMEOUT,
    ));
    let probe_task = (setup.scenario == Scenario::Steady).then(|| {
        let caller = Arc::clone(&callers[0]);
        tokio::spawn(probe::run(Arc::clone(&world), setup.kind, caller, end))
    });
    let observations = setup
        .scenario
        .run(deployment, setup.seed, setup.length)
        .await?;
    let task_error = |error| Error::new(format!("a task of the run failed: {error}"));
    let probes = match probe_task {
        Some(probe_task) => Some(probe_task.await.map_err(task_error)?),
        None => None,
    };
    Ok(RawResults {
        integrals: watch_task.await.map_err(task_error)?,
        outcomes: call_task.await.map_err(task_error)?,
        offered,
        observations,
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
        .map(|(index, name)| {
            let domain = domains[index % domains.len()].clone();
            let client = deployment.client().clone();
            Arc::new(Caller::new(
                kind,
                client,
                name,
                domain,
                deployment.caller_addresses(),
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
fn summarize(setup: &Setup, raw: RawResults) -> Run {
    let RawResults {
        outcomes,
        offered,
        integrals,
        observations,
        probes,
        counters,
        begun_before,
        idle,
    } = raw;
    let within = |at: Duration| {
        observations
            .change
            .is_some_and(|(from, to)| from <= at && at < to)
    };
    let mut first: Vec<Duration> = outcomes.iter().filter_map(|o| o.first_token).collect();
    let mut token_intervals: Vec<Duration> = outcomes
        .iter()
        .flat_map(|o| o.token_intervals.clone())
        .collect();
    let (added_p50, added_p95) = added_latency(probes.clone());
    let probed = probes.map_or(0, |p| p.direct.len() + p.through_entries.len());
    let begun = counters.begun.len().saturating_sub(begun_before + probed);
    let count = |is: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|o| is(o)).count() as u64;
    let runs = &counters.runs_per_key;
    let has_run = |key: &Uuid| runs.contains_key(&key.to_string());
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
        service_ratio: service_ratio(&offered, &outcomes, |_| true),
        service_ratio_during_change: observations
            .change
            .and_then(|_| service_ratio(&offered, &outcomes, within)),
        first_token_p95_ms: millis(sample::quantile(&mut first, 95)),
        between_tokens_p95_ms: millis(sample::quantile(&mut token_intervals, 95)),
        added_first_token_p50_ms: added_p50,
        added_first_token_p95_ms: added_p95,
        config_in_force_max_s: observations.in_force.map(|time| time.as_secs_f64()),
        work_after_take_out: observations.late_work.map(|late| late as u64),
        cold_overloads: Some(counters.cold_overloads),
        double_runs: Some(runs.values().map(|runs| runs.saturating_sub(1)).sum()),
        wrong_answers: Some(count(&|o| o.is_wrong)),
        false_not_run: Some(count(&|o| {
            o.key
                .is_some_and(|(k, is_not_run)| is_not_run && has_run(&k))
        })),
        cut_by_planned_stop: (setup.scenario == Scenario::PlannedStop)
            .then(|| count(&|o| o.is_cut_off)),
        attempts_per_request: (!offered.is_empty()).then(|| begun as f64 / offered.len() as f64),
        control_cpu_ratio: idle.cpu,
        control_bytes_per_s: None,
        resident_bytes: idle.resident,
        faults: count_faults(&offered, &outcomes),
    }
}

/// Returns the weight of complete responses over the weight of all calls, for
/// the arrival times that `is_selected` selects.
fn service_ratio(
    offered: &[Arrival],
    outcomes: &[Outcome],
    is_selected: impl Fn(Duration) -> bool,
) -> Option<f64> {
    let requested = offered.iter().filter(|a| a.is_counted && is_selected(a.at));
    let requested: u32 = requested.map(|arrival| arrival.work.weight()).sum();
    let complete = outcomes
        .iter()
        .filter(|o| o.is_counted && o.is_complete && is_selected(o.at));
    let complete: u32 = complete.map(|outcome| outcome.weight).sum();
    (requested > 0).then(|| f64::from(complete) / f64::from(requested))
}

/// Returns the 50th and 95th percentiles through entries minus the direct ones.
fn added_latency(probes: Option<FirstTokenTimes>) -> (Option<f64>, Option<f64>) {
    let Some(mut probes) = probes else {
        return (None, None);
    };
    let mut at = |percent| {
        let through_entries = millis(sample::quantile(&mut probes.through_entries, percent))?;
        let direct = millis(sample::quantile(&mut probes.direct, percent))?;
        Some(through_entries - direct)
    };
    (at(50), at(95))
}

/// Converts a time to milliseconds.
fn millis(time: Option<Duration>) -> Option<f64> {
    time.map(|time| time.as_secs_f64() * 1_000.0)
}

/// Counts the failed calls by reason, the most frequent first.
fn count_faults(offered: &[Arrival], outcomes: &[Outcome]) -> Vec<(String, u64)> {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    let failed = outcomes.iter().filter(|o| !o.is_complete);
    for outcome in failed {
        let reason = outcome.fault.clone().unwrap_or_else(|| "wrong".into());
        *counts.entry(reason).or_default() += 1;
    }
    let unfinished = offered.len().saturating_sub(outcomes.len()) as u64;
    if unfinished > 0 {
        counts.insert("not ended".into(), unfinished);
    }
    let mut faults: Vec<(String, u64)> = counts.into_iter().collect();
    faults.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    faults
}
