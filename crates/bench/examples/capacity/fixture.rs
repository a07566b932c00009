//! A deployment of a given size, with all nodes, engines and replicas serving.

use clock::{Moment, WallTime};
use name::{Generation, Incarnation, Instance, Invalid, Offset, Replica, Sequence};
use plan::Lists;
use replica::{ListedInstance, Phase, Report, Settings, View};
use state::{
    Change, Entry, Epoch, Event, Follower, Limits, Outcome, Peer, Record, State, Writer, encode,
};
use std::net::SocketAddr;
use uuid::Uuid;

/// The number of engines in a replica.
pub const ENGINES_PER_REPLICA: usize = 4;

/// The time of all reports and listings.
pub const NOW: Moment = Moment(100_000_000);

/// The number of failure domains of the target deployment.
const DOMAIN_COUNT: usize = 12;

/// The number of regions of the target deployment.
const REGION_COUNT: usize = 5;

/// The number of engines in a fabric domain.
const ENGINES_PER_FABRIC: usize = 16;

/// The size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// The number of entry nodes.
    pub nodes: usize,
    /// The number of engines.
    pub engines: usize,
}

impl Size {
    /// Returns the target size divided by `part`.
    pub const fn target_over(divisor: usize) -> Self {
        Self {
            nodes: 340 / divisor,
            engines: 1_600 / divisor,
        }
    }
}

/// Converts `text` to a name.
pub fn name<'a, T: TryFrom<&'a str, Error = Invalid>>(text: &'a str) -> T {
    T::try_from(text).unwrap()
}

/// Returns the instance with a number.
pub fn engine(number: usize) -> Instance {
    name(&format!("engine-{number:04}"))
}

/// Returns the replica that an engine belongs to.
fn replica_of(number: usize) -> Replica {
    name(&format!("draft-{:04}", number / ENGINES_PER_REPLICA))
}

/// Returns the address of a node or engine.
fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 8_000))
}

/// Returns the entry node with a number.
pub fn peer(number: usize) -> Peer {
    Peer {
        node: name(&format!("entry-{number}")),
        incarnation: Incarnation(Uuid::from_u128(number as u128)),
        domain: name(&format!("d{}", number % DOMAIN_COUNT)),
        peer_address: address(number),
        caller_address: address(number),
    }
}

/// Returns an epoch of all entry nodes.
pub fn epoch(size: Size) -> Epoch {
    Epoch {
        revision: Offset(1),
        peers: (0..size.nodes).map(peer).collect(),
    }
}

/// Returns the engines as entries of the platform's listing.
pub fn listed(size: Size) -> Vec<ListedInstance> {
    let listed = |number: usize| {
        let fabric = number / ENGINES_PER_FABRIC;
        ListedInstance {
            instance: engine(number),
            address: address(number),
            domain: name(&format!("d{}", fabric % DOMAIN_COUNT)),
            fabric: name(&format!("f{fabric}")),
            leaving: false,
        }
    };
    (0..size.engines).map(listed).collect()
}

/// Returns the engines in the wire format of the platform's listing.
pub fn platform_listing(size: Size) -> Vec<backend::proto::ListedInstance> {
    let sent = |listed: ListedInstance| backend::proto::ListedInstance {
        instance: listed.instance,
        address: listed.address,
        domain: listed.domain,
        fabric: listed.fabric,
        role: backend::proto::Role::Engine,
        service: None,
        leaving: listed.leaving,
    };
    listed(size).into_iter().map(sent).collect()
}

/// Returns an engine's report.
pub fn report(number: usize) -> Report {
    Report {
        instance: engine(number),
        boot: Uuid::from_u128(number as u128),
        phase: Phase::Ready,
        replica: Some(replica_of(number)),
        generation: Generation((number / ENGINES_PER_REPLICA) as u64 + 3),
        member: (number % ENGINES_PER_REPLICA) as u32,
        loaded: vec!["draft-cy@2026-10".into(), "draft-cy-legal@2026-10".into()],
        running: 3,
        fences: true,
    }
}

/// Returns the view of a node that has received all reports.
pub fn view(size: Size) -> View {
    let mut view = View::new(Settings::default());
    view.update_listing(&listed(size), NOW);
    for number in 0..size.engines {
        view.record_report(report(number), NOW, NOW);
    }
    view
}

/// Returns the operators' lists of a deployment.
pub fn lists() -> Lists {
    plan::parse(bench::Kind::HafodTegid.lists()).unwrap()
}

/// Returns a log entry with an encoded record.
fn log_entry(offset: u64, change: Change) -> Entry {
    let record = Record {
        writer: Writer(Incarnation(Uuid::from_u128(9))),
        sequence: Sequence(offset),
        change,
    };
    Entry {
        offset: Offset(offset),
        at: WallTime(offset),
        data: encode(&record).unwrap(),
    }
}

/// Returns the assignment that replaces the one with generation `base`.
fn assign(number: usize, base: Generation) -> Change {
    let first = number * ENGINES_PER_REPLICA;
    Change::Assign {
        base,
        replica: replica_of(first),
        model: name("draft-cy"),
        version: "2026-10".into(),
        members: (first..first + ENGINES_PER_REPLICA).map(engine).collect(),
    }
}

/// Returns a follower that has folded the lists, the epoch and all assignments.
pub fn follower(size: Size) -> Follower {
    let mut follower = Follower::new(Writer(Incarnation(Uuid::from_u128(8))), Limits::default());
    let lists = Change::Lists {
        base: Offset(0),
        text: bench::Kind::HafodTegid.lists().into(),
        by: "demo".into(),
    };
    let nodes = Change::Epoch {
        base: Offset(0),
        peers: epoch(size).peers,
    };
    follower.offer(log_entry(1, lists));
    follower.offer(log_entry(2, nodes));
    for number in 0..size.engines / ENGINES_PER_REPLICA {
        follower.offer(log_entry(number as u64 + 3, assign(number, Generation(0))));
    }
    assert_eq!(
        follower.state().assignments.len(),
        size.engines / ENGINES_PER_REPLICA
    );
    follower
}

/// Returns the control state of a whole deployment.
pub fn state(size: Size) -> State {
    State::clone(follower(size).state())
}

/// Returns a log entry that assigns a replica's engines again.
pub fn reassign(state: &State, number: usize) -> Entry {
    let number = number % state.assignments.len();
    let base = state.generation_of(&replica_of(number * ENGINES_PER_REPLICA));
    log_entry(state.offset.0 + 1, assign(number, base))
}

/// Returns whether a record was folded and accepted.
pub fn is_accepted(events: &[Event]) -> bool {
    let accepted = |event: &Event| {
        matches!(
            event,
            Event::Folded {
                outcome: Outcome::Accepted,
                ..
            }
        )
    };
    events.iter().any(accepted)
}

/// Returns all replicas as routing candidates.
pub fn candidates(size: Size) -> Vec<route::Candidate> {
    let candidate = |number: usize| {
        let replica = replica_of(number * ENGINES_PER_REPLICA);
        route::Candidate {
            key: route::replica_key(&replica),
            replica,
            generation: Generation(1),
            domain: name(&format!("d{}", number % DOMAIN_COUNT)),
            region: name(&format!("r{}", number % REGION_COUNT)),
            capacity: 16,
            load: 4,
            has_version: true,
            has_adapter: true,
        }
    };
    (0..size.engines / ENGINES_PER_REPLICA)
        .map(candidate)
        .collect()
}
