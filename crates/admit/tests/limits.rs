//! Portions of a limit never sum to more than the limit.

use admit::{
    limit::{Demand, Grant, Lease, Limit, Portion, Portions, Usage, home},
    slot::Ownership,
};
use clock::Moment;
use name::{Account, Incarnation, Node, Offset};
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_oneof, proptest};
use state::{Epoch, Peer};
use std::time::Duration;
use uuid::Uuid;

const NODES: usize = 4;
const STEP: Duration = Duration::from_millis(100);
const VOUCHER: Duration = Duration::from_millis(300);
const LIMIT: Limit = Limit {
    tokens_per_s: 1_000,
    requests_per_s: 37,
    concurrency: 5,
};
const WANTS_ALL: Limit = Limit {
    tokens_per_s: 5_000,
    requests_per_s: 500,
    concurrency: 50,
};

/// What may happen next; numbers are nodes.
#[derive(Debug, Clone)]
enum Event {
    Pass,
    Epoch(usize),
    Sync(usize, bool),
    Reborn(usize),
    Ask(usize, u32),
    /// The demand sent so many ago reaches whoever believes to be the home.
    Demand(usize),
    /// The grant made so many ago arrives.
    Grant(usize),
}

struct Member {
    life: u128,
    seen: usize,
    vouched_until: Moment,
    portion: Portion,
    home: Portions,
}

struct World {
    now: Moment,
    epochs: Vec<Epoch>,
    members: Vec<Member>,
    demands: Vec<Demand>,
    grants: Vec<Grant>,
}

fn account() -> Account {
    Account::try_from("account").expect("a name")
}

fn node(number: usize) -> Node {
    Node::try_from(format!("node-{number}")).expect("a name")
}

fn life(number: u128) -> Incarnation {
    Incarnation(Uuid::from_u128(number))
}

fn member(number: usize, incarnation: u128) -> Member {
    let lease = Lease {
        grant: Duration::from_millis(500),
        rest: Duration::from_millis(800),
    };
    let own = (node(number), life(incarnation));
    Member {
        life: incarnation,
        seen: 0,
        vouched_until: Moment::START,
        portion: Portion::new(account(), own.clone(), LIMIT, lease.clone()),
        home: Portions::new(account(), own, LIMIT, lease),
    }
}

impl World {
    fn new() -> Self {
        let members = (0..NODES).map(|n| member(n, n as u128)).collect();
        let mut world = Self {
            now: Moment::from_millis(1),
            epochs: Vec::new(),
            members,
            demands: Vec::new(),
            grants: Vec::new(),
        };
        world.apply(&Event::Epoch((1 << NODES) - 1));
        (0..NODES).for_each(|n| world.apply(&Event::Sync(n, true)));
        world
    }

    fn apply(&mut self, event: &Event) {
        let now = self.now;
        match *event {
            Event::Pass => self.now = now + STEP,
            Event::Epoch(mask) => self.accept(mask),
            Event::Sync(n, by_record) => self.sync(n, by_record),
            Event::Reborn(n) => self.members[n] = member(n, self.members[n].life + 100),
            Event::Ask(n, part) => {
                let wanted = Limit {
                    tokens_per_s: part * 400,
                    requests_per_s: part * 9,
                    concurrency: part,
                };
                self.demands
                    .push(self.members[n].portion.demand(wanted, now));
            }
            Event::Demand(back) => {
                let Some(demand) = self.demands.iter().rev().nth(back) else {
                    return;
                };
                let homes = self.members.iter_mut();
                self.grants
                    .extend(homes.filter_map(|m| m.home.demand(demand, now)));
            }
            Event::Grant(back) => {
                if let Some(grant) = self.grants.iter().rev().nth(back) {
                    let all = self.members.iter_mut();
                    all.for_each(|m| m.portion.accept(grant.clone()));
                }
            }
        }
    }

    fn accept(&mut self, mask: usize) {
        let address = "127.0.0.1:1".parse().expect("an address");
        let peer = |n: usize| Peer {
            node: node(n),
            incarnation: life(self.members[n].life),
            domain: "domain".try_into().expect("a name"),
            peer_address: address,
            caller_address: address,
        };
        let peers = (0..NODES)
            .filter(|n| mask & (1 << n) != 0)
            .map(peer)
            .collect();
        let revision = Offset(self.epochs.len() as u64 + 1);
        self.epochs.push(Epoch { revision, peers });
    }

    fn sync(&mut self, n: usize, by_record: bool) {
        let member = &mut self.members[n];
        let unseen = &self.epochs[member.seen..];
        let skipped = if by_record {
            0
        } else {
            unseen.len().saturating_sub(1)
        };
        for epoch in &unseen[skipped..] {
            let base = by_record.then(|| Offset(epoch.revision.0 - 1));
            let ownership = Ownership::from(epoch);
            member.portion.adopt(&ownership, base, self.now);
            member.home.adopt(&ownership, base, self.now);
        }
        member.seen = self.epochs.len();
        member.vouched_until = self.now + VOUCHER;
        member.home.vouch(member.vouched_until);
    }

    /// Returns what all nodes that may take work use at most.
    fn sum(&self) -> Limit {
        let working = self.members.iter().filter(|m| self.now < m.vouched_until);
        let portions = working.map(|m| m.portion.current(self.now));
        portions.fold(Limit::ZERO, Limit::plus)
    }
}

fn event() -> impl Strategy<Value = Event> {
    let node = || 0..NODES;
    prop_oneof![
        3 => prop::strategy::Just(Event::Pass),
        1 => (1..1_usize << NODES).prop_map(Event::Epoch),
        6 => (node(), any::<bool>()).prop_map(|(n, by)| Event::Sync(n, by)),
        1 => node().prop_map(Event::Reborn),
        6 => (node(), 0_u32..8).prop_map(|(n, part)| Event::Ask(n, part)),
        6 => (0_usize..3).prop_map(Event::Demand),
        6 => (0_usize..3).prop_map(Event::Grant),
    ]
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..Default::default()
    })]

    #[test]
    fn portions_never_sum_to_more_than_the_limit(
        events in prop::collection::vec(event(), 0..200),
    ) {
        let mut world = World::new();
        for event in events {
            world.apply(&event);
            let sum = world.sum();
            prop_assert!(sum.min(LIMIT) == sum, "{event:?}: {sum:?}");
        }
    }
}

#[test]
fn one_busy_node_gets_the_leased_half_and_it_decays_without_the_home() {
    let mut world = World::new();
    let ownership = Ownership::from(&world.epochs[0]);
    let home = home(&account(), &ownership).expect("a home").clone();
    let busy = (0..NODES).find(|n| node(*n) != home).expect("another");
    let demand = world.members[busy].portion.demand(WANTS_ALL, world.now);
    world.demands.push(demand);
    world.apply(&Event::Demand(0));
    world.apply(&Event::Grant(0));
    let (even, pool) = (LIMIT.even(NODES), LIMIT.pool(NODES));
    assert_eq!(
        world.members[busy].portion.current(world.now),
        even.plus(pool)
    );
    assert_eq!(even.tokens_per_s, 125);
    assert_eq!(pool.tokens_per_s, 500);
    (0..5).for_each(|_| world.apply(&Event::Pass));
    assert_eq!(world.members[busy].portion.current(world.now), even);
}

#[test]
fn a_portion_taken_back_is_granted_again_after_its_lease() {
    let mut world = World::new();
    let granted = |world: &mut World, n: usize| {
        let demand = world.members[n].portion.demand(WANTS_ALL, world.now);
        world.demands.push(demand);
        world.apply(&Event::Demand(0));
        world.grants.last().expect("a grant").share.tokens_per_s
    };
    assert_eq!(granted(&mut world, 0), 500);
    assert_eq!(granted(&mut world, 1), 0, "all is leased to the first");
    assert_eq!(granted(&mut world, 0), 250, "now divided by demand");
    assert_eq!(granted(&mut world, 1), 0, "the first grant has not lapsed");
    for _ in 0..5 {
        world.apply(&Event::Pass);
        (0..NODES).for_each(|n| world.apply(&Event::Sync(n, true)));
    }
    assert!(granted(&mut world, 1) > 0, "it has lapsed");
}

#[test]
fn usage_is_held_to_the_portion() {
    let now = Moment::from_millis(0);
    let mut usage = Usage::new(LIMIT, now);
    for _ in 0..5 {
        usage.start(100, now).expect("below every limit");
    }
    let error = usage.start(100, now).expect_err("five are in progress");
    assert_eq!(error.verdict(), verdict::Verdict::NotRun);
    for _ in 0..5 {
        usage.finish(100, 900);
    }
    // 4,500 of 4,000 tokens are used: 600 are missing for another 100.
    let error = usage.start(100, now).expect_err("the tokens are used up");
    assert_eq!(error.retry_after(), Some(Duration::from_millis(600)));
    assert!(usage.start(100, Moment::from_millis(599)).is_err());
    assert!(usage.start(100, Moment::from_millis(600)).is_ok());
}
