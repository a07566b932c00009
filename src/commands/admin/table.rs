//! Tables for people.

use serde_json::Value;

/// The space between two columns.
const GAP: &str = "  ";

/// The text of an absent value.
const ABSENT: &str = "-";

/// A table whose columns are as wide as their widest cell.
#[derive(Debug)]
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns a table with a head and no rows.
    pub(super) fn new(head: &[&str]) -> Self {
        let head = head.iter().map(|cell| (*cell).into()).collect();
        Self { rows: vec![head] }
    }

    /// Adds a row.
    pub(super) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns the table as text, one line a row.
    pub(super) fn text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            text.push_str(line.join(GAP).trim_end());
            text.push('\n');
        }
        text
    }
}

/// Returns a JSON value as the text of a cell.
pub(super) fn cell(value: &Value) -> String {
    match value {
        Value::Null => ABSENT.into(),
        Value::Bool(true) => "yes".into(),
        Value::Bool(false) => "no".into(),
        Value::String(text) if text.is_empty() => ABSENT.into(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => ABSENT.into(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}
