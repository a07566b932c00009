//! A whole deployment at a size: nodes, engines and replicas, all serving.

use clock::{Moment, Wall};
use name::{Generation, Incarnation, Instance, Invalid, Offset, Replica, Sequence};
use plan::Lists;
use replica::{ListedInstance, Phase, Report, Settings, View};
use state::{
    Change, Entry, Epoch, Event, Follower, Limits, Outcome, Peer, Record, State, Writer, encode,
};
use std::net::SocketAddr;
use uuid::Uuid;

/// The members of a replica.
pub const MEMBERS: usize = 4;

/// The moment at which all is well.
pub const NOW: Moment = Moment(100_000_000);

/// The failure domains of the target.
const DOMAINS: usize = 12;

/// The regions of the target.
const REGIONS: usize = 5;

/// Engines in a fabric domain.
const FABRIC: usize = 16;

/// A size of the system.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// The entry nodes.
    pub nodes: usize,
    /// The engines.
    pub engines: usize,
}

impl Size {
    /// Returns the target divided by `part`.
    pub const fn of(part: usize) -> Self {
        Self {
            nodes: 340 / part,
            engines: 1_600 / part,
        }
    }
}

/// Returns the name made of `text`.
pub fn name<'a, T: TryFrom<&'a str, Error = Invalid>>(text: &'a str) -> T {
    T::try_from(text).unwrap()
}

/// Returns the instance with a number.
pub fn engine(number: usize) -> Instance {
    name(&format!("engine-{number:04}"))
}

/// Returns the replica that an engine belongs to.
fn replica_of(number: usize) -> Replica {
    name(&format!("draft-{:04}", number / MEMBERS))
}

/// Returns an address.
fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 8_000))
}

/// Returns an entry node.
pub fn peer(number: usize) -> Peer {
    Peer {
        node: name(&format!("entry-{number}")),
        incarnation: Incarnation(Uuid::from_u128(number as u128)),
        domain: name(&format!("d{}", number % DOMAINS)),
        peer_address: address(number),
        caller_address: address(number),
    }
}

/// Returns the entry nodes.
pub fn epoch(size: Size) -> Epoch {
    Epoch {
        revision: Offset(1),
        peers: (0..size.nodes).map(peer).collect(),
    }
}

/// Returns the engines as the platform lists them.
pub fn listed(size: Size) -> Vec<ListedInstance> {
    let listed = |number: usize| {
        let fabric = number / FABRIC;
        ListedInstance {
            instance: engine(number),
            address: address(number),
            domain: name(&format!("d{}", fabric % DOMAINS)),
            fabric: name(&format!("f{fabric}")),
            leaving: false,
        }
    };
    (0..size.engines).map(listed).collect()
}

/// Returns the engines as the platform sends its list.
pub fn platform(size: Size) -> Vec<backend::proto::ListedInstance> {
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
        generation: Generation((number / MEMBERS) as u64 + 3),
        member: (number % MEMBERS) as u32,
        loaded: vec!["draft-cy@2026-10".into(), "draft-cy-legal@2026-10".into()],
        running: 3,
        fences: true,
    }
}

/// Returns the view of a node that has all reports.
pub fn view(size: Size) -> View {
    let mut view = View::new(Settings::default());
    view.update_listing(&listed(size), NOW);
    for number in 0..size.engines {
        view.record_report(report(number), NOW, NOW);
    }
    view
}

/// Returns the lists of a deployment.
pub fn lists() -> Lists {
    plan::parse(bench::Kind::HafodTegid.lists()).unwrap()
}

/// Returns a record as it stands on the log.
fn entry(offset: u64, change: Change) -> Entry {
    let record = Record {
        writer: Writer(Incarnation(Uuid::from_u128(9))),
        sequence: Sequence(offset),
        change,
    };
    Entry {
        offset: Offset(offset),
        at: Wall(offset),
        data: encode(&record).unwrap(),
    }
}

/// Returns the assignment of a replica in place of the one with generation `base`.
fn assign(number: usize, base: Generation) -> Change {
    let first = number * MEMBERS;
    Change::Assign {
        base,
        replica: replica_of(first),
        model: name("draft-cy"),
        version: "2026-10".into(),
        members: (first..first + MEMBERS).map(engine).collect(),
    }
}

/// Returns a follower that has folded lists, epoch and all replicas.
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
    follower.offer(entry(1, lists));
    follower.offer(entry(2, nodes));
    for number in 0..size.engines / MEMBERS {
        follower.offer(entry(number as u64 + 3, assign(number, Generation(0))));
    }
    assert_eq!(follower.state().assignments.len(), size.engines / MEMBERS);
    follower
}

/// Returns the state of a whole deployment.
pub fn state(size: Size) -> State {
    State::clone(follower(size).state())
}

/// Returns a record that forms one of the replicas anew.
pub fn reassign(state: &State, number: usize) -> Entry {
    let number = number % state.assignments.len();
    let base = state.generation_of(&replica_of(number * MEMBERS));
    entry(state.offset.0 + 1, assign(number, base))
}

/// Returns whether a record was folded and changed the state.
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

/// Returns all replicas as a request may choose among them.
pub fn candidates(size: Size) -> Vec<route::Candidate> {
    let candidate = |number: usize| {
        let replica = replica_of(number * MEMBERS);
        route::Candidate {
            key: route::replica_key(&replica),
            replica,
            generation: Generation(1),
            domain: name(&format!("d{}", number % DOMAINS)),
            region: name(&format!("r{}", number % REGIONS)),
            capacity: 16,
            load: 4,
            has_version: true,
            has_adapter: true,
        }
    };
    (0..size.engines / MEMBERS).map(candidate).collect()
}
