//! Model checking: every schedule of a few calls with one key on a few nodes.
//!
//! The model runs the real `Call` and `Table` over a small simulated log.
//! Between any two steps each node may be paused for any time, an append may be
//! acknowledged, lost, refused or delayed, a node may restart, and time may
//! pass. An append that never commits is one that is never scheduled. In every
//! reachable state, the key was dispatched at most once, and never if any
//! caller received the verdict not-run.

use clock::{Moment, WallTime};
use name::{Incarnation, Offset};
use once::{
    Action, AppendResult, Bounds, Call, CallResult, ClaimId, Digest, Event, Key, KeyState, Limits,
    Record, Request, Response, Table, Window,
};
use proptest::{collection, prelude::*, test_runner::RngSeed};
use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};
use uuid::Uuid;
use verdict::{Error, Kind, Verdict};

/// The wall-clock time of the key and of all calls.
const WALL: WallTime = WallTime(1_000_000);

/// The monotonic times of the model, in milliseconds: before the dispatch
/// timeout, after it, and after the deadline.
const TIMES_MS: [u64; 3] = [0, 1_500, 2_500];

/// A fault injected into the driver, which the search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Dispatches when the log acknowledges the claim.
    DispatchOnAcknowledgement,
    /// Reports not-run when the result of the claim's append is unknown.
    NotRunOnUnknown,
    /// Treats a void that won as the call's own claim.
    IgnoreVoid,
    /// Reports not-run at the dispatch timeout, before the void is read back.
    NotRunBeforeVoid,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SimNode {
    restarts: u8,
    /// The number of records read since the last restart.
    read: usize,
    /// The number of records on the log at the last restart.
    target: usize,
    /// The number of the last call.
    call_number: u8,
    call: Option<Call>,
    /// The dispatch that the driver has not written yet.
    dispatch: Option<Moment>,
    /// Whether the request was written and its result is pending.
    is_awaiting_result: bool,
}

/// An append that is neither committed nor rejected yet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct PendingAppend {
    node: usize,
    /// The number of the call that appends.
    call_number: u8,
    record: u8,
    /// Whether the call no longer waits for the append's result.
    is_reported: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    nodes: Vec<SimNode>,
    log: Vec<u8>,
    pending_appends: Vec<PendingAppend>,
    time: usize,
    calls_left: u8,
    claims: u8,
    restarts_left: u8,
    dispatched: u8,
    reported_not_run: bool,
}

/// One step of the model.
#[derive(Debug, Clone, Copy)]
enum Step {
    Begin(usize),
    Refuse(usize),
    /// The append commits, and is acknowledged unless its response was lost.
    Commit(usize),
    /// The response to a pending append is lost.
    LoseResponse(usize),
    /// The log rejects the append, which never commits.
    RejectAppend(usize),
    Read(usize),
    Reread(usize),
    LogUnavailable(usize),
    ClaimantGone(usize),
    Tick(usize),
    /// The driver writes the request, possibly after a pause since its check.
    Write(usize),
    /// The driver rejects the dispatch because its limit has passed.
    RejectLateDispatch(usize),
    Finish(usize, Verdict),
    Restart(usize),
    AdvanceTime,
}

/// The injected fault, and the records that occur in the model.
struct Rules {
    fault: Fault,
    records: Vec<Record>,
}

fn key() -> Key {
    let account = "tegid".try_into().expect("a name");
    let id = Uuid::from_u128((u128::from(WALL.0) << 80) | (7 << 76) | (2 << 62) | 1);
    Key::parse(&account, Some(&id.to_string())).expect("a UUIDv7")
}

fn incarnation(node: usize, restarts: u8) -> Incarnation {
    Incarnation(Uuid::from_u128(
        100 * (node as u128 + 1) + u128::from(restarts),
    ))
}

impl World {
    fn new(nodes: usize, calls: u8, restarts: u8) -> Self {
        let node = SimNode {
            restarts: 0,
            read: 0,
            target: 0,
            call_number: 0,
            call: None,
            dispatch: None,
            is_awaiting_result: false,
        };
        Self {
            nodes: vec![node; nodes],
            log: Vec::new(),
            pending_appends: Vec::new(),
            time: 0,
            calls_left: calls,
            claims: 0,
            restarts_left: restarts,
            dispatched: 0,
            reported_not_run: false,
        }
    }

    fn now(&self) -> Moment {
        Moment::from_millis(TIMES_MS[self.time])
    }

    /// Makes states equal if no later step can distinguish them.
    fn normalize(&mut self) {
        for pending in &mut self.pending_appends {
            let node = &self.nodes[pending.node];
            pending.is_reported |= node.call_number != pending.call_number || node.call.is_none();
        }
        self.pending_appends.sort();
        self.pending_appends.dedup();
    }

    fn is_correct(&self) -> bool {
        self.dispatched == 0 || (self.dispatched == 1 && !self.reported_not_run)
    }

    /// Returns every possible next step.
    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (index, pending) in self.pending_appends.iter().enumerate() {
            steps.push(Step::Commit(index));
            if !pending.is_reported {
                steps.extend([Step::LoseResponse(index), Step::RejectAppend(index)]);
            }
        }
        for (index, node) in self.nodes.iter().enumerate() {
            if node.read < self.log.len() {
                steps.push(Step::Read(index));
            }
            if node.call.is_none() && self.calls_left > 0 {
                steps.extend([Step::Begin(index), Step::Refuse(index)]);
            }
            if node.call.is_some() {
                steps.extend([
                    Step::Reread(index),
                    Step::LogUnavailable(index),
                    Step::Tick(index),
                ]);
                steps.push(Step::ClaimantGone(index));
            }
            if node.dispatch.is_some() {
                steps.extend([Step::Write(index), Step::RejectLateDispatch(index)]);
            }
            if node.is_awaiting_result {
                let verdicts = [Verdict::Ran, Verdict::MayHaveRun];
                steps.extend(verdicts.map(|verdict| Step::Finish(index, verdict)));
            }
            if self.restarts_left > 0 {
                steps.push(Step::Restart(index));
            }
        }
        if self.time + 1 < TIMES_MS.len() {
            steps.push(Step::AdvanceTime);
        }
        steps
    }
}

impl Rules {
    fn new(fault: Fault) -> Self {
        Self {
            fault,
            records: Vec::new(),
        }
    }

    fn record_index(&mut self, record: Record) -> u8 {
        let existing = self.records.iter().position(|r| *r == record);
        let index = existing.unwrap_or_else(|| {
            self.records.push(record);
            self.records.len() - 1
        });
        u8::try_from(index).expect("few records occur")
    }

    /// Returns the table of `node` after the records that it has read.
    fn table(&self, world: &World, node: usize) -> Table {
        let mut table = Table::new(Window::default(), Bounds::default());
        table.set_target(Offset(world.nodes[node].target as u64));
        for (index, record) in world.log[..world.nodes[node].read].iter().enumerate() {
            let offset = Offset(index as u64 + 1);
            table.fold(offset, Some(&self.records[usize::from(*record)]), WALL);
        }
        table
    }

    /// Returns the state of the world after `step`.
    fn apply(&mut self, world: &World, step: Step) -> World {
        let mut next = world.clone();
        match step {
            Step::Begin(index) => self.start_call(&mut next, index, true),
            Step::Refuse(index) => self.start_call(&mut next, index, false),
            Step::Commit(index) => {
                let pending = next.pending_appends.remove(index);
                self.commit(&mut next, pending.record);
                if !pending.is_reported {
                    self.report(&mut next, &pending, AppendResult::Acknowledged);
                }
            }
            Step::LoseResponse(index) => {
                next.pending_appends[index].is_reported = true;
                let pending = next.pending_appends[index].clone();
                self.report(&mut next, &pending, AppendResult::Unknown);
            }
            Step::RejectAppend(index) => {
                let pending = next.pending_appends.remove(index);
                self.report(&mut next, &pending, AppendResult::Refused);
            }
            Step::Read(index) => {
                next.nodes[index].read += 1;
                self.read(&mut next, index);
            }
            Step::Reread(index) => self.read(&mut next, index),
            Step::LogUnavailable(index) => self.handle(&mut next, index, Event::LogUnavailable),
            Step::ClaimantGone(index) => self.handle(&mut next, index, Event::ClaimantGone),
            Step::Tick(index) => self.handle(&mut next, index, Event::Tick),
            Step::Write(index) => {
                next.nodes[index].dispatch = None;
                next.nodes[index].is_awaiting_result = true;
                next.dispatched += 1;
            }
            Step::RejectLateDispatch(index) => {
                next.nodes[index].dispatch = None;
                let error = Error::not_run(Kind::Unavailable, "too late");
                self.handle(&mut next, index, Event::Dispatched(Err(error)));
            }
            Step::Finish(index, verdict) => {
                next.nodes[index].is_awaiting_result = false;
                let result = match verdict {
                    Verdict::Ran => Ok(Response::ran(200, "text/plain", b"done")),
                    _ => Err(Error::may_have_run(Kind::Upstream, "connection lost")),
                };
                self.handle(&mut next, index, Event::Dispatched(result));
            }
            Step::Restart(index) => {
                let node = &mut next.nodes[index];
                node.restarts += 1;
                node.read = 0;
                node.target = next.log.len();
                node.call = None;
                node.dispatch = None;
                node.is_awaiting_result = false;
                next.restarts_left -= 1;
            }
            Step::AdvanceTime => next.time += 1,
        }
        next.normalize();
        next
    }

    /// Appends a record to the log.
    ///
    /// A record that changes no table, such as the second copy of a claim, is
    /// left out: reading it is the same as reading the key's state again.
    fn commit(&self, world: &mut World, record: u8) {
        let mut log = world.log.clone();
        log.push(record);
        let mut table = Table::new(Window::default(), Bounds::default());
        let mut changed = false;
        for (index, record) in log.iter().enumerate() {
            let record = &self.records[usize::from(*record)];
            changed = table.fold(Offset(index as u64 + 1), Some(record), WALL);
        }
        if changed {
            world.log = log;
        }
    }

    /// Starts a call at a node.
    fn start_call(&mut self, world: &mut World, index: usize, is_wanted: bool) {
        world.calls_left -= 1;
        world.claims += 1;
        let request = Request {
            key: key(),
            digest: Digest::new("POST /booking", b"two loads"),
            incarnation: incarnation(index, world.nodes[index].restarts),
            claim: ClaimId(Uuid::from_u128(u128::from(world.claims))),
            deadline: Moment::from_millis(2_000),
        };
        let limits = Limits {
            dispatch_timeout: Duration::from_secs(1),
        };
        let table = self.table(world, index);
        let (call, actions) = if is_wanted {
            Call::begin(request, &limits, &table, world.now(), WALL)
        } else {
            Call::refuse(request, &limits, &table, WALL)
        };
        world.nodes[index].call_number = world.claims;
        world.nodes[index].call = Some(call);
        self.perform(world, index, actions);
    }

    /// Reports the result of an append to the call that waits for it.
    fn report(&mut self, world: &mut World, pending: &PendingAppend, result: AppendResult) {
        if world.nodes[pending.node].call_number != pending.call_number {
            return;
        }
        let record = self.records[usize::from(pending.record)].clone();
        let event = match (self.fault, result, &record) {
            (
                Fault::DispatchOnAcknowledgement,
                AppendResult::Acknowledged,
                Record::Claim { .. },
            ) => Event::Read(claimed_state(&record)),
            (Fault::NotRunOnUnknown, AppendResult::Unknown, Record::Claim { .. }) => {
                world.reported_not_run = true;
                Event::Appended(result)
            }
            _ => Event::Appended(result),
        };
        self.handle(world, pending.node, event);
    }

    /// Passes the key's state in a node's table to its call.
    fn read(&mut self, world: &mut World, index: usize) {
        let mut state = self.table(world, index).key_state(&key());
        if self.fault == Fault::IgnoreVoid && state == KeyState::Voided {
            let own = ClaimId(Uuid::from_u128(u128::from(world.nodes[index].call_number)));
            let is_own = |r: &&Record| matches!(r, Record::Claim { claim, .. } if *claim == own);
            if let Some(record) = self.records.iter().find(is_own) {
                state = claimed_state(record);
            }
        }
        self.handle(world, index, Event::Read(state));
    }

    fn handle(&mut self, world: &mut World, index: usize, event: Event) {
        let now = world.now();
        let Some(call) = &mut world.nodes[index].call else {
            return;
        };
        let actions = call.handle(event, now);
        self.perform(world, index, actions);
    }

    /// Performs the actions of a call.
    fn perform(&mut self, world: &mut World, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(record) => {
                    if self.fault == Fault::NotRunBeforeVoid
                        && matches!(record, Record::Void { .. })
                    {
                        world.reported_not_run = true;
                    }
                    let pending = PendingAppend {
                        node: index,
                        call_number: world.nodes[index].call_number,
                        record: self.record_index(record),
                        is_reported: false,
                    };
                    world.pending_appends.push(pending);
                }
                Action::Dispatch { before } => world.nodes[index].dispatch = Some(before),
                Action::Respond(result) => world.reported_not_run |= is_not_run(&result),
            }
        }
        let settled = |call: &Call| call.is_settled();
        if world.nodes[index].call.as_ref().is_some_and(settled) {
            world.nodes[index].call = None;
        }
    }
}

fn is_not_run(result: &CallResult) -> bool {
    match result {
        Ok(answer) => answer.verdict == Verdict::NotRun,
        Err(error) => error.verdict() == Verdict::NotRun,
    }
}

/// Returns the state of a key whose first record is this claim.
fn claimed_state(record: &Record) -> KeyState {
    let Record::Claim {
        digest,
        incarnation,
        claim,
        ..
    } = record
    else {
        unreachable!("the record is a claim");
    };
    KeyState::Claimed {
        digest: *digest,
        incarnation: *incarnation,
        claim: *claim,
    }
}

/// Visits every state; returns their number, or an incorrect state.
fn search(fault: Fault, start: World, limit: usize) -> Result<usize, World> {
    let mut rules = Rules::new(fault);
    let mut seen = HashSet::from([start.clone()]);
    let mut queue = VecDeque::from([start]);
    while let Some(world) = queue.pop_front() {
        for step in world.steps() {
            let next = rules.apply(&world, step);
            if !next.is_correct() {
                return Err(next);
            }
            if seen.insert(next.clone()) {
                assert!(seen.len() <= limit, "more than {limit} states");
                queue.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn every_schedule_runs_key_at_most_once() {
    struct Case {
        name: &'static str,
        nodes: usize,
        calls: u8,
        restarts: u8,
    }
    let cases = [
        Case {
            name: "two nodes, two calls, one restart",
            nodes: 2,
            calls: 2,
            restarts: 1,
        },
        Case {
            name: "three nodes, two calls, no restart",
            nodes: 3,
            calls: 2,
            restarts: 0,
        },
        Case {
            name: "one node, three calls, one restart",
            nodes: 1,
            calls: 3,
            restarts: 1,
        },
    ];
    for case in cases {
        let start = World::new(case.nodes, case.calls, case.restarts);
        let states = search(Fault::None, start, 1_000_000);
        let states = states.unwrap_or_else(|world| panic!("{}: {world:#?}", case.name));
        println!("{}: {states} states", case.name);
    }
}

#[test]
fn search_finds_each_injected_fault() {
    let faults = [
        Fault::DispatchOnAcknowledgement,
        Fault::NotRunOnUnknown,
        Fault::IgnoreVoid,
        Fault::NotRunBeforeVoid,
    ];
    for fault in faults {
        let found = search(fault, World::new(2, 2, 0), 1_000_000);
        assert!(found.is_err(), "{fault:?} was not found");
    }
}

/// Returns a configuration with a fixed seed.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn long_random_schedule_runs_key_at_most_once(picks in collection::vec(any::<u16>(), 1..160)) {
        let mut rules = Rules::new(Fault::None);
        let mut world = World::new(3, 8, 3);
        for pick in picks {
            let steps = world.steps();
            if steps.is_empty() {
                break;
            }
            world = rules.apply(&world, steps[usize::from(pick) % steps.len()]);
            prop_assert!(world.is_correct(), "{:#?}", world);
        }
    }
}
