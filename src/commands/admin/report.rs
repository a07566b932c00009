//! Answers of the administration API as text for people.

use super::table::{Table, cell};
use crate::{Exit, Failure};
use serde_json::Value;
use std::io::Write;

/// The value of an operation that takes out.
const TAKE_OUT: &str = "take_out";

/// Prints an answer as JSON, or as `text` makes it.
pub(super) fn print(
    out: &mut dyn Write,
    json: bool,
    answer: &Value,
    text: impl FnOnce(&Value) -> String,
) -> Result<(), Failure> {
    let text = if json {
        format!("{answer}\n")
    } else {
        text(answer)
    };
    write(out, &text)
}

/// Prints text at once, also into a pipe.
pub(super) fn write(out: &mut dyn Write, text: &str) -> Result<(), Failure> {
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.map_err(|error| Failure::new(Exit::Failed, error))
}

/// Returns the items of a list.
fn items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Returns a table with one row for each of `entries` and a column for each key.
fn table(entries: &Value, columns: &[(&str, &str)]) -> String {
    let head: Vec<&str> = columns.iter().map(|(title, _)| *title).collect();
    let mut table = Table::new(&head);
    for entry in items(entries) {
        let cells = columns.iter().map(|(_, pointer)| entry.pointer(pointer));
        table.row(
            cells
                .map(|value| cell(value.unwrap_or(&Value::Null)))
                .collect(),
        );
    }
    table.text()
}

/// Returns one line for each key.
fn lines(answer: &Value, keys: &[(&str, &str)]) -> String {
    let mut table = Table::new(&[]);
    for (title, pointer) in keys {
        let value = answer.pointer(pointer).unwrap_or(&Value::Null);
        table.row(vec![(*title).into(), cell(value)]);
    }
    table.text().trim_start().into()
}

/// Returns the state of one node.
pub(super) fn status(answer: &Value) -> String {
    let keys = [
        ("node", "/node"),
        ("freshness", "/freshness"),
        ("reads log", "/reads_log"),
        ("lists revision", "/lists_revision"),
        ("control offset", "/control_offset"),
        ("entry nodes", "/epoch/nodes"),
        ("replicas servable", "/replicas/servable"),
        ("replicas assigned", "/replicas/assigned"),
        ("engines known", "/engines"),
        ("requests waiting here", "/waiting"),
        ("requests in progress here", "/in_progress"),
    ];
    let out = items(&answer["operations"])
        .iter()
        .filter(|operation| operation["operation"] == TAKE_OUT);
    let out: Vec<Value> = out.cloned().collect();
    let mut text = lines(answer, &keys);
    if out.is_empty() {
        text.push_str("nothing is out of service\n");
    } else {
        text.push_str("\nout of service:\n");
        text.push_str(&operations(&Value::Array(out)));
    }
    text
}

/// Returns operations, one a line.
pub(super) fn operations(operations: &Value) -> String {
    let columns = [
        ("SCOPE", "/target/scope"),
        ("NAME", "/target/name"),
        ("REVISION", "/revision"),
        ("NOT YET AT", "/not_yet_in_force_at"),
        ("IN PROGRESS", "/in_progress"),
    ];
    table(operations, &columns)
}

/// Returns how a node stands to the log.
pub(super) fn log(answer: &Value) -> String {
    let keys = [
        ("node", "/node"),
        ("freshness", "/freshness"),
        ("reads log", "/reads_log"),
        ("tail offset", "/tail_offset"),
        ("tail age (ms)", "/tail_age_ms"),
        ("control offset", "/control_offset"),
        ("lost records", "/lost_records"),
        ("undecided changes", "/undecided_changes"),
        ("undecided claims", "/undecided_claims"),
        ("peers known", "/peers/known"),
        ("peers heard", "/peers/heard"),
        ("peers without log", "/peers/without_log"),
        ("log retention (s)", "/retention_s"),
    ];
    lines(answer, &keys)
}

/// Returns the replicas, one a line.
pub(super) fn replicas(answer: &Value) -> String {
    let columns = [
        ("REPLICA", "/replica"),
        ("GENERATION", "/generation"),
        ("MODEL", "/model"),
        ("VERSION", "/version"),
        ("SERVABLE", "/servable"),
        ("WARM", "/warm"),
        ("RUNNING", "/running"),
        ("MEMBERS", "/members"),
        ("BLOCKED BY", "/blocked"),
    ];
    table(&answer["replicas"], &columns)
}

/// Returns the instances, one a line.
pub(super) fn instances(answer: &Value) -> String {
    let columns = [
        ("INSTANCE", "/instance"),
        ("ROLE", "/role"),
        ("DOMAIN", "/domain"),
        ("FABRIC", "/fabric"),
        ("REPLICA", "/replica"),
        ("OUT", "/out"),
        ("LEAVING", "/leaving"),
        ("SUSPECTED", "/suspected"),
        ("ADDRESS", "/address"),
    ];
    table(&answer["instances"], &columns)
}

/// Returns the accounts, one a line.
pub(super) fn accounts(answer: &Value) -> String {
    let columns = [
        ("ACCOUNT", "/account"),
        ("PLAN", "/plan"),
        ("TOKENS/S", "/limit/tokens_per_s"),
        ("REQUESTS/S", "/limit/requests_per_s"),
        ("CONCURRENCY", "/limit/concurrency"),
        ("PART HERE", "/part_here/concurrency"),
        ("IN PROGRESS HERE", "/in_progress_here"),
    ];
    table(&answer["accounts"], &columns)
}

/// Returns the entry nodes, one a line.
pub(super) fn entries(answer: &Value) -> String {
    let columns = [
        ("NODE", "/node"),
        ("DOMAIN", "/domain"),
        ("ROLE", "/role"),
        ("HEALTH", "/health"),
        ("CONTROL OFFSET", "/control_offset"),
        ("CALLERS", "/caller_address"),
    ];
    table(&answer["entries"], &columns)
}

/// Returns the histograms, one series a line.
pub(super) fn histograms(answer: &Value) -> String {
    let columns = [
        ("ACCOUNT", "/account"),
        ("CLASS", "/class"),
        ("PHASE", "/phase"),
        ("COUNT", "/count"),
        ("P50 (us)", "/p50_us"),
        ("P95 (us)", "/p95_us"),
        ("P99 (us)", "/p99_us"),
        ("MAX (us)", "/max_us"),
    ];
    table(&answer["histograms"], &columns)
}
