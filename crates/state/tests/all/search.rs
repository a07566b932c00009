//! Exhaustive search of races between two or three writers.
//!
//! Each writer has a list of intents. It appends the next one on the base from
//! its own, possibly stale, view of the log, and continues only once it has
//! read the record back. A lost or delayed append is one that takes effect
//! later. Within a limit of faults, any appended record takes effect once more
//! at any later time, as after a lost response or a delayed duplicate. A pause
//! of a writer is any step that other writers take.

use crate::fixture::{assign, lists, lists_text, operation, record, release, replica};
use name::Offset;
use state::{Change, Operation, Outcome, Record, Scope, State};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
};

type Fold = fn(&mut State, Offset, &Record) -> Outcome;

/// Builds a search from the numbers of writers, records per writer and faults.
type Race = fn(usize, usize, usize, Fold) -> Search;

/// A change that a writer is to make; the base comes from its view.
#[derive(Debug, Clone, Copy)]
enum Intent {
    Lists(usize),
    Operate(Operation),
    Assign(&'static str, &'static [&'static str]),
    Release(&'static str),
}

impl Intent {
    /// Returns the revision that the intent replaces in `state`.
    fn base(self, state: &State) -> u64 {
        match self {
            Self::Lists(_) => state.lists_revision.0,
            Self::Operate(_) => {
                let scope = Scope::Domain("d".try_into().expect("a valid name"));
                state.operations.get(&scope).map_or(0, |(at, _)| at.0)
            }
            Self::Assign(name, _) | Self::Release(name) => state.generation_of(&replica(name)).0,
        }
    }

    fn change(self, base: u64) -> Change {
        match self {
            Self::Lists(number) => lists(base, &lists_text(number)),
            Self::Operate(order) => operation(base, "d", order),
            Self::Assign(name, members) => assign(base, name, members),
            Self::Release(name) => release(base, name),
        }
    }

    /// Returns the name of the item whose revision is the base.
    fn key(self) -> String {
        match self {
            Self::Lists(_) => "lists".into(),
            Self::Operate(_) => "operation".into(),
            Self::Assign(name, _) | Self::Release(name) => format!("replica {name}"),
        }
    }
}

/// A record: its writer, the index of its intent, and its base.
type RecordId = (u8, u8, u8);

/// A writer: its next intent and the base in its view of the log.
///
/// Views with the same base lead to the same worlds, so the base represents the
/// view. Reading back is not a separate step, as the base may be updated at any
/// time after it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Writer {
    base: u8,
    next: u8,
}

/// A reachable state: the log, the writers and the number of faults so far.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    log: Vec<RecordId>,
    writers: Vec<Writer>,
    faults: usize,
}

/// A folded log, with the accepted records and the current revisions.
#[derive(Debug, Clone, Default)]
struct Folded {
    state: State,
    accepted: HashSet<RecordId>,
    current: BTreeMap<String, u64>,
}

struct Search {
    scripts: Vec<Vec<Intent>>,
    fold: Fold,
    faults: usize,
}

/// The counts of visited worlds, final worlds and distinct logs.
#[derive(Debug, Default)]
struct Visited {
    worlds: usize,
    ends: usize,
    logs: usize,
}

impl Search {
    /// Visits every reachable world.
    ///
    /// # Errors
    ///
    /// Returns the first log that violates an invariant, and which one.
    fn run(&self) -> Result<Visited, String> {
        let start = World {
            log: Vec::new(),
            writers: vec![Writer::default(); self.scripts.len()],
            faults: 0,
        };
        let empty = Rc::new(Folded::default());
        let mut folded = HashMap::from([(Vec::new(), Rc::clone(&empty))]);
        let mut seen = HashSet::from([start.clone()]);
        let mut open = vec![(start, empty)];
        let mut visited = Visited::default();
        while let Some((world, at)) = open.pop() {
            visited.worlds += 1;
            let next = self.successors(&world, &at.state);
            visited.ends += usize::from(next.is_empty());
            for (mut world, appended) in next {
                let extended = match folded.get(&world.log) {
                    Some(extended) => Rc::clone(extended),
                    None => {
                        let last = *world.log.last().expect("the log is not empty");
                        let extended = self.fold(&at, last);
                        let extended =
                            extended.map_err(|fault| format!("{fault} in {:?}", world.log))?;
                        let extended = Rc::new(extended);
                        folded.insert(world.log.clone(), Rc::clone(&extended));
                        extended
                    }
                };
                if let Some(writer) = appended {
                    world.writers[writer].base = self.base(&world, writer, &extended.state);
                }
                if seen.insert(world.clone()) {
                    open.push((world, extended));
                }
            }
        }
        visited.logs = folded.len();
        Ok(visited)
    }

    /// Returns the base of a writer's next intent in `state`; 0 if there is
    /// none.
    fn base(&self, world: &World, writer: usize, state: &State) -> u8 {
        let next = usize::from(world.writers[writer].next);
        let base = self.scripts[writer].get(next).map_or(0, |i| i.base(state));
        u8::try_from(base).expect("the base fits in u8")
    }

    /// Returns every successor of a world, with the writer that appended its
    /// next record in that step.
    fn successors(&self, world: &World, state: &State) -> Vec<(World, Option<usize>)> {
        let mut out = Vec::new();
        if world.faults < self.faults {
            let repeats: HashSet<&RecordId> = world.log.iter().collect();
            for record_id in repeats {
                let mut next = world.clone();
                next.log.push(*record_id);
                next.faults += 1;
                out.push((next, None));
            }
        }
        for (at, writer) in world.writers.iter().enumerate() {
            if usize::from(writer.next) == self.scripts[at].len() {
                continue;
            }
            let mut next = world.clone();
            let by = u8::try_from(at).expect("the index fits in u8");
            next.log.push((by, writer.next, writer.base));
            next.writers[at].next += 1;
            out.push((next, Some(at)));
            let base = self.base(world, at, state);
            if writer.base != base {
                let mut next = world.clone();
                next.writers[at].base = base;
                out.push((next, None));
            }
        }
        out
    }

    /// Folds one more record and checks every invariant.
    fn fold(&self, before: &Folded, record_id: RecordId) -> Result<Folded, String> {
        let mut after = before.clone();
        let (writer, at, base) = record_id;
        let intent = self.scripts[usize::from(writer)][usize::from(at)];
        let key = intent.key();
        let new_record = record(writer, u64::from(at) + 1, intent.change(base.into()));
        let offset = before.state.offset.next();
        if (self.fold)(&mut after.state, offset, &new_record) == Outcome::Accepted {
            if !after.accepted.insert(record_id) {
                return Err(format!("{record_id:?} accepted twice"));
            }
            let released = matches!(intent, Intent::Release(_));
            let revision = if released { 0 } else { offset.0 };
            let held = after.current.insert(key.clone(), revision);
            if held.unwrap_or_default() != u64::from(base) {
                return Err(format!("two records accepted on base {base} of {key}"));
            }
        }
        // Every base of lists and operations has an accepted record, as these
        // changes are always valid.
        let is_accepted = |w: &RecordId| {
            w.2 == base && self.scripts[usize::from(w.0)][usize::from(w.1)].key() == key
        };
        if !key.starts_with("replica") && !after.accepted.iter().any(is_accepted) {
            return Err(format!("no record accepted on base {base} of {key}"));
        }
        check_instances(&after.state)?;
        check_forward(&before.state, &after.state)?;
        Ok(after)
    }
}

/// Checks that no instance belongs to two replicas.
fn check_instances(state: &State) -> Result<(), String> {
    let mut holders = BTreeMap::new();
    for (replica, assignment) in &state.assignments {
        for instance in &assignment.members {
            if let Some(other) = holders.insert(instance, replica) {
                return Err(format!("{instance} in {other} and {replica}"));
            }
        }
    }
    Ok(())
}

/// Checks that the offset and all revisions only increase.
fn check_forward(before: &State, after: &State) -> Result<(), String> {
    let operations = before.operations.iter();
    let kept = operations.filter(|(scope, old)| after.operations.get(scope) >= Some(old));
    let is_forward = after.offset > before.offset
        && after.lists_revision >= before.lists_revision
        && kept.count() == before.operations.len();
    is_forward
        .then_some(())
        .ok_or_else(|| "a revision or the offset went back".into())
}

fn full_fold(state: &mut State, offset: Offset, record: &Record) -> Outcome {
    state.apply(offset, record)
}

/// A broken fold that does not check the base.
fn without_base(state: &mut State, offset: Offset, record: &Record) -> Outcome {
    let mut record = record.clone();
    match &mut record.change {
        Change::Lists { base, .. } => *base = state.lists_revision,
        Change::Assign { base, replica, .. } | Change::Release { base, replica } => {
            *base = state.generation_of(replica);
        }
        Change::Operation { base, scope, .. } => {
            *base = state
                .operations
                .get(scope)
                .map_or(Offset::ZERO, |(at, _)| *at);
        }
        _ => {}
    }
    state.apply(offset, &record)
}

/// A broken fold without deduplication by writer.
fn without_writers(state: &mut State, offset: Offset, record: &Record) -> Outcome {
    state.writers.clear();
    state.apply(offset, record)
}

/// A broken fold that does not check whether an instance is free.
fn without_holders(state: &mut State, offset: Offset, record: &Record) -> Outcome {
    let mut blind = state.clone();
    blind.index = state::Index::default();
    let outcome = blind.apply(offset, record);
    blind.index = state.index.clone();
    *state = blind;
    outcome
}

fn configuration(writers: usize, records: usize, faults: usize, fold: Fold) -> Search {
    let orders = [Operation::TakeOut, Operation::BringBack];
    let script = |writer| {
        let intents = (0..records).map(|n| match n % 3 {
            1 => Intent::Operate(orders[(writer + n) % 2]),
            _ => Intent::Lists(writer * records + n),
        });
        intents.collect()
    };
    let scripts = (0..writers).map(script).collect();
    Search {
        scripts,
        fold,
        faults,
    }
}

fn assignment(writers: usize, records: usize, faults: usize, fold: Fold) -> Search {
    use Intent::{Assign, Release};
    let scripts = [
        [
            Assign("r", &["a", "b"]),
            Release("r"),
            Assign("s", &["b"]),
            Assign("r", &["c"]),
        ],
        [
            Assign("r", &["b", "c"]),
            Assign("s", &["a", "b"]),
            Release("s"),
            Assign("r", &["a"]),
        ],
        [
            Assign("s", &["a", "c"]),
            Release("r"),
            Assign("r", &["a", "c"]),
            Release("s"),
        ],
    ];
    let scripts = scripts[..writers]
        .iter()
        .map(|s| s[..records].to_vec())
        .collect();
    Search {
        scripts,
        fold,
        faults,
    }
}

/// Searches a race at several sizes: writers, records per writer, repeats.
fn search_all(name: &str, race: Race) {
    for (writers, records, faults) in [(2, 4, 1), (2, 3, 2), (3, 2, 1), (3, 3, 0)] {
        let name = format!("{name}, {writers} writers of {records}, {faults} repeats");
        let visited = race(writers, records, faults, full_fold).run();
        let visited = visited.unwrap_or_else(|fault| panic!("{name}: {fault}"));
        println!("{name}: {visited:?}");
        assert!(visited.ends > 0);
    }
}

#[test]
fn each_configuration_base_is_accepted_once() {
    search_all("configuration", configuration);
}

#[test]
fn concurrent_assignments_never_share_an_instance() {
    search_all("assignment", assignment);
}

/// Shows that the search reports a fold that lacks one of its checks.
#[test]
fn search_detects_broken_folds() {
    let cases = [
        (
            "two records accepted on base",
            configuration(2, 3, 0, without_base),
        ),
        (
            "two records accepted on base",
            assignment(2, 3, 0, without_base),
        ),
        ("accepted twice", assignment(2, 3, 1, without_writers)),
        (" in r and s", assignment(2, 3, 0, without_holders)),
    ];
    for (expected, search) in cases {
        let fault = search.run().expect_err(expected);
        assert!(fault.contains(expected), "{fault}");
    }
}
