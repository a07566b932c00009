//! The measurements of runs, as JSON and as a table.

use std::fmt::Write;

/// The measurements of one run; a value that was not measured is absent.
#[common::sample]
pub struct Run {
    /// The name of the deployment.
    pub deployment: String,
    /// The number of entry nodes.
    pub nodes: usize,
    /// The name of the scenario.
    pub scenario: String,
    /// The name of the policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Whether the run was shortened, so that its figures are not measurements.
    pub quick: bool,
    /// The time under load, in seconds.
    pub length_s: f64,
    /// Serving replicas missing compared with the start, in replica-seconds.
    pub group_downtime_s: Option<f64>,
    /// Engines that were up but in no serving replica, in engine-seconds.
    pub stranded_accelerator_s: Option<f64>,
    /// The weight of calls answered in full over the weight of all calls.
    pub service_ratio: Option<f64>,
    /// The service ratio of calls that arrived while a domain left and returned.
    pub service_ratio_during_change: Option<f64>,
    /// The 95th percentile of the time to the first token, in milliseconds.
    pub first_token_p95_ms: Option<f64>,
    /// The 95th percentile of the time between tokens, in milliseconds.
    pub between_tokens_p95_ms: Option<f64>,
    /// The median time to the first token minus that of direct calls, in milliseconds.
    pub added_first_token_p50_ms: Option<f64>,
    /// The difference of the 95th percentiles, in milliseconds.
    pub added_first_token_p95_ms: Option<f64>,
    /// The longest time until a configuration was in force at every node, in seconds.
    pub config_in_force_max_s: Option<f64>,
    /// Requests begun in a domain more than 3 s after it was taken out.
    pub work_after_take_out: Option<u64>,
    /// Engines that failed from overload while cold.
    pub cold_overloads: Option<u64>,
    /// Repeated runs of calls that must run at most once.
    pub double_runs: Option<u64>,
    /// Responses that do not match their requests.
    pub wrong_answers: Option<u64>,
    /// Calls that ran although the response reported `not-run`.
    pub false_not_run: Option<u64>,
    /// Calls cut off in progress while an entry and an instance stopped gracefully.
    pub cut_by_planned_stop: Option<u64>,
    /// The number of requests begun by backend servers over the number of calls.
    pub attempts_per_request: Option<f64>,
    /// The processor time of the idle process per node, as a fraction of one core.
    pub control_cpu_ratio: Option<f64>,
    /// The bytes of control traffic sent, per node and second.
    pub control_bytes_per_s: Option<f64>,
    /// The resident memory of the process per node, in bytes.
    pub resident_bytes: Option<u64>,
    /// The failed calls by reason, the most frequent first.
    pub faults: Vec<(String, u64)>,
}

/// The runs of one benchmark command.
#[common::sample]
pub struct Report {
    /// The runs, in order.
    pub runs: Vec<Run>,
}

/// A column of the table: its header, and the field that it shows.
type Column = (&'static str, fn(&Run) -> Option<f64>);

/// The columns of the table.
const COLUMNS: [Column; 17] = [
    ("down s", |run| run.group_downtime_s),
    ("strand s", |run| run.stranded_accelerator_s),
    ("service", |run| run.service_ratio),
    ("in change", |run| run.service_ratio_during_change),
    ("first ms", |run| run.first_token_p95_ms),
    ("between", |run| run.between_tokens_p95_ms),
    ("+p50 ms", |run| run.added_first_token_p50_ms),
    ("+p95 ms", |run| run.added_first_token_p95_ms),
    ("config s", |run| run.config_in_force_max_s),
    ("late work", |run| run.work_after_take_out.map(as_f64)),
    ("overload", |run| run.cold_overloads.map(as_f64)),
    ("double", |run| run.double_runs.map(as_f64)),
    ("wrong", |run| run.wrong_answers.map(as_f64)),
    ("false nr", |run| run.false_not_run.map(as_f64)),
    ("attempts", |run| run.attempts_per_request),
    ("cpu/node", |run| run.control_cpu_ratio),
    ("MB/node", |run| {
        run.resident_bytes.map(|bytes| bytes as f64 / 1e6)
    }),
];

/// Converts a count to the table's number type.
fn as_f64(count: u64) -> f64 {
    count as f64
}

impl Report {
    /// Returns a table with a row for each deployment, scenario and policy.
    ///
    /// A cell is the median over the seeds, with the minimum and maximum in
    /// brackets if they differ; `-` means not measured.
    pub fn table(&self) -> String {
        let mut text = format!("{:<26} {:<18}", "scenario", "policy");
        for (header, _) in COLUMNS {
            let _ = write!(text, " {header:>20}");
        }
        let mut printed: Vec<(&str, &str, &str)> = Vec::new();
        for run in &self.runs {
            let key = (&*run.deployment, &*run.scenario, &*run.policy);
            if printed.contains(&key) {
                continue;
            }
            printed.push(key);
            let matching: Vec<&Run> = self
                .runs
                .iter()
                .filter(|r| (&*r.deployment, &*r.scenario, &*r.policy) == key)
                .collect();
            let _ = write!(text, "\n{:<26} {:<18}", run.scenario, run.policy);
            for (_, field) in COLUMNS {
                let _ = write!(text, " {:>20}", format_cell(&matching, field));
            }
        }
        if self.runs.iter().any(|run| run.quick) {
            text.push_str("\nquick: shortened runs; the figures are not measurements");
        }
        text
    }
}

/// Formats the median of a field with its minimum and maximum.
fn format_cell(runs: &[&Run], field: fn(&Run) -> Option<f64>) -> String {
    let mut values: Vec<f64> = runs.iter().filter_map(|run| field(run)).collect();
    values.sort_by(f64::total_cmp);
    let (Some(min), Some(max)) = (values.first(), values.last()) else {
        return "-".into();
    };
    let middle = values.len() / 2;
    let median = match values.len() % 2 {
        0 => f64::midpoint(values[middle - 1], values[middle]),
        _ => values[middle],
    };
    match (max - min).abs() < f64::EPSILON {
        true => format_number(median),
        false => format!(
            "{} [{} {}]",
            format_number(median),
            format_number(*min),
            format_number(*max)
        ),
    }
}

/// Formats a number with three decimals below 10 and one from 10 upwards.
fn format_number(value: f64) -> String {
    match value.abs() {
        size if size < f64::EPSILON => "0".into(),
        size if size < 10.0 => format!("{value:.3}"),
        _ => format!("{value:.1}"),
    }
}
