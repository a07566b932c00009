//! The results of the fault matrix as a text table.

use crate::{
    Cell, Report,
    step::{Fault, Injection, Step, Victim, Work},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
};

/// The placeholder of an excluded cell.
const EMPTY: &str = "-";

type Row = (Work, Step, Victim);

impl Report {
    /// Returns the results of all cells: a line for each step, a column for each fault.
    ///
    /// The reasons of excluded cells and the violations follow.
    pub fn table(&self) -> String {
        let mut rows: BTreeMap<Row, BTreeMap<Fault, &str>> = BTreeMap::new();
        for cell in &self.cells {
            let Injection {
                work, step, victim, ..
            } = cell.injection;
            let row = rows.entry((work, step, victim)).or_default();
            row.insert(cell.injection.fault, short(&cell.verdict));
        }
        let mut text = format!("{:<32}", "work/step/victim");
        for fault in Fault::ALL {
            let name: String = format!("{fault:?}").chars().take(9).collect();
            let _ = write!(text, " {name:<9}");
        }
        text.push('\n');
        for ((work, step, victim), cells) in rows {
            let _ = write!(text, "{:<32}", format!("{work:?}/{step:?}/{victim:?}"));
            for fault in Fault::ALL {
                let verdict = cells.get(&fault).copied().unwrap_or(EMPTY);
                let _ = write!(text, " {verdict:<9}");
            }
            text.push('\n');
        }
        let lines: String = text
            .lines()
            .map(|l| format!("{}\n", l.trim_end()))
            .collect();
        lines + &self.reasons() + &self.violation_lines()
    }

    /// Returns the number of excluded cells for each reason.
    fn reasons(&self) -> String {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, reason) in &self.excluded {
            *counts.entry(*reason).or_default() += 1;
        }
        let lines = counts.into_iter();
        let lines: String = lines.map(|(r, n)| format!("{n:>5} {r}\n")).collect();
        format!("\nEmpty cells, by reason:\n{lines}")
    }

    /// Returns a line for each violation.
    fn violation_lines(&self) -> String {
        let line = |cell: &Cell| -> BTreeSet<String> {
            let violations = cell.violations.iter();
            violations
                .map(|v| format!("{:?}: {v}\n", cell.injection))
                .collect()
        };
        self.cells.iter().flat_map(line).collect()
    }
}

/// Shortens a result to the width of a column.
fn short(verdict: &str) -> &str {
    match verdict {
        "may-have-run" => "may",
        other => other,
    }
}
