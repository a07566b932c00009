//! Random streams, with the state at each offset.

use crate::fixture::{assign, epoch, lists, lists_text, operation, record, release, replica};
use clock::WallTime;
use name::Offset;
use proptest::prelude::*;
use state::{Change, Entry, Operation, Record, Scope, Snapshot, State, decode, encode};
use std::sync::Arc;

/// A random record: its kind, its writer, and two parameters.
pub type Spec = (u8, u8, u8, u8);

pub fn specs() -> impl Strategy<Value = Vec<Spec>> {
    prop::collection::vec((0..13_u8, 0..4_u8, 0..4_u8, 0..4_u8), 1..50)
}

/// A log and the state at each offset, from 0.
pub struct Stream {
    pub entries: Vec<Entry>,
    pub states: Vec<Arc<State>>,
}

impl Stream {
    pub fn new(specs: &[Spec]) -> Self {
        let mut stream = Self {
            entries: Vec::new(),
            states: vec![Arc::default()],
        };
        let mut sequences = [0; 4];
        for spec in specs {
            let data = stream.data(*spec, &mut sequences);
            stream.push(data);
        }
        stream
    }

    /// Appends data and folds it without a follower.
    pub fn push(&mut self, data: Arc<str>) {
        let offset = Offset(self.states.len() as u64);
        let mut state = State::clone(&self.states[self.states.len() - 1]);
        match decode(data.as_bytes()) {
            Ok(record) => state.apply(offset, &record),
            Err(reason) => state.skip(offset, &reason),
        };
        self.states.push(Arc::new(state));
        let at = WallTime(offset.0 * 1_000);
        self.entries.push(Entry { offset, at, data });
    }

    pub fn tail(&self) -> Offset {
        Offset(self.states.len() as u64)
    }

    fn data(&self, (kind, by, a, b): Spec, sequences: &mut [u64; 4]) -> Arc<str> {
        if kind == 9 && !self.entries.is_empty() {
            let at = usize::from(a) * 7 % self.entries.len();
            return Arc::clone(&self.entries[at].data);
        }
        if kind == 8 {
            return format!("garbage {a}{b}").into();
        }
        let sequence = &mut sequences[usize::from(by)];
        *sequence += 1;
        let new_record = record(by, *sequence, self.change(kind, a, b));
        encode(&new_record).expect("the record fits the size limit")
    }

    fn change(&self, kind: u8, a: u8, b: u8) -> Change {
        let state = &self.states[self.states.len() - 1];
        let base = |current: u64| if b == 3 { current / 2 } else { current };
        let (r, domain) = (format!("r{a}"), format!("d{a}"));
        let generation = base(state.generation_of(&replica(&r)).0);
        let pool = ["a", "b", "c", "d", "e"];
        let chosen = [pool[usize::from(a)], pool[usize::from(b) + 1]];
        match kind {
            0 => lists(base(state.lists_revision.0), &lists_text(a.into())),
            1 => lists(state.lists_revision.0, "x = 1"),
            2 | 7 => {
                let scope = Scope::Domain(domain.as_str().try_into().expect("a valid name"));
                let current = state.operations.get(&scope).map_or(0, |(at, _)| at.0);
                let order = [Operation::TakeOut, Operation::BringBack][usize::from(b % 2)];
                operation(base(current), &domain, order)
            }
            6 => release(generation, &r),
            10 | 11 => self.snapshot(a * 4 + b, a == 3 && b == 3),
            12 => epoch(base(state.epoch.revision.0), &["n", &r]),
            _ => assign(generation, &r, &chosen[..1 + usize::from(b % 2)]),
        }
    }

    /// Returns a snapshot of the state `back` records ago, or an invalid one.
    fn snapshot(&self, back: u8, is_invalid: bool) -> Change {
        let at = (self.states.len() - 1).saturating_sub(back.into());
        let state = State::clone(&self.states[at]);
        let covers = if is_invalid {
            Offset(u64::MAX)
        } else {
            state.offset
        };
        let snapshot = Box::new(Snapshot { covers, state });
        Change::Snapshot { snapshot }
    }
}

/// Decodes the record in `entry`, if it is valid.
pub fn record_in(entry: &Entry) -> Option<Record> {
    decode(entry.data.as_bytes()).ok()
}
