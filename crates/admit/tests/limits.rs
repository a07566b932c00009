//! The limits of all nodes never sum to more than the account's limit.

use admit::{
    limit::{Allocator, Demand, Grant, Lease, Limit, NodeLimit, Usage, home_node},
    slot::Ownership,
};
use clock::Moment;
use name::{Account, Incarnation, Node, Offset};
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_oneof, proptest};
use state::{Epoch, Peer};
use std::time::Duration;
use uuid::Uuid;

const NODES: usize = 4;
const TIME_STEP: Duration = Duration::from_millis(100);
const LOG_VIEW_LIFETIME: Duration = Duration::from_millis(300);
const LIMIT: Limit = Limit {
    tokens_per_s: 1_000,
    requests_per_s: 37,
    concurrency: 5,
};
const DEMAND_ABOVE_LIMIT: Limit = Limit {
    tokens_per_s: 5_000,
    requests_per_s: 500,
    concurrency: 50,
};

/// A step of the simulation; the numbers are node indices unless said otherwise.
#[derive(Debug, Clone)]
enum Event {
    AdvanceTime,
    AcceptEpoch(usize),
    ReadLog(usize, bool),
    Restart(usize),
    SendDemand(usize, u32),
    /// The demand at this age (0 is the latest) reaches every node that acts as home node.
    DeliverDemand(usize),
    /// The grant at this age (0 is the latest) arrives.
    DeliverGrant(usize),
}

struct Member {
    incarnation: u128,
    epochs_read: usize,
    log_view_confirmed_until: Moment,
    node_limit: NodeLimit,
    allocator: Allocator,
}

struct Model {
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

fn incarnation_id(number: u128) -> Incarnation {
    Incarnation(Uuid::from_u128(number))
}

fn member(number: usize, incarnation: u128) -> Member {
    let lease = Lease {
        grant: Duration::from_millis(500),
        rest: Duration::from_millis(800),
    };
    let own = (node(number), incarnation_id(incarnation));
    Member {
        incarnation,
        epochs_read: 0,
        log_view_confirmed_until: Moment::START,
        node_limit: NodeLimit::new(account(), own.clone(), LIMIT, lease.clone()),
        allocator: Allocator::new(account(), own, LIMIT, lease),
    }
}

impl Model {
    fn new() -> Self {
        let members = (0..NODES).map(|n| member(n, n as u128)).collect();
        let mut model = Self {
            now: Moment::from_millis(1),
            epochs: Vec::new(),
            members,
            demands: Vec::new(),
            grants: Vec::new(),
        };
        model.apply(&Event::AcceptEpoch((1 << NODES) - 1));
        (0..NODES).for_each(|n| model.apply(&Event::ReadLog(n, true)));
        model
    }

    fn apply(&mut self, event: &Event) {
        let now = self.now;
        match *event {
            Event::AdvanceTime => self.now = now + TIME_STEP,
            Event::AcceptEpoch(mask) => self.accept_epoch(mask),
            Event::ReadLog(n, by_record) => self.read_log(n, by_record),
            Event::Restart(n) => self.members[n] = member(n, self.members[n].incarnation + 100),
            Event::SendDemand(n, part) => {
                let wanted = Limit {
                    tokens_per_s: part * 400,
                    requests_per_s: part * 9,
                    concurrency: part,
                };
                self.demands
                    .push(self.members[n].node_limit.demand(wanted, now));
            }
            Event::DeliverDemand(age) => {
                let Some(demand) = self.demands.iter().rev().nth(age) else {
                    return;
                };
                let allocators = self.members.iter_mut();
                self.grants
                    .extend(allocators.filter_map(|m| m.allocator.grant(demand, now)));
            }
            Event::DeliverGrant(age) => {
                if let Some(grant) = self.grants.iter().rev().nth(age) {
                    let all = self.members.iter_mut();
                    all.for_each(|m| m.node_limit.accept(grant.clone()));
                }
            }
        }
    }

    fn accept_epoch(&mut self, mask: usize) {
        let address = "127.0.0.1:1".parse().expect("an address");
        let peer = |n: usize| Peer {
            node: node(n),
            incarnation: incarnation_id(self.members[n].incarnation),
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

    fn read_log(&mut self, n: usize, by_record: bool) {
        let member = &mut self.members[n];
        let unread = &self.epochs[member.epochs_read..];
        let skipped = if by_record {
            0
        } else {
            unread.len().saturating_sub(1)
        };
        for epoch in &unread[skipped..] {
            let base = by_record.then(|| Offset(epoch.revision.0 - 1));
            let ownership = Ownership::from(epoch);
            member.node_limit.apply_epoch(&ownership, base, self.now);
            member.allocator.apply_epoch(&ownership, base, self.now);
        }
        member.epochs_read = self.epochs.len();
        member.log_view_confirmed_until = self.now + LOG_VIEW_LIFETIME;
        member
            .allocator
            .confirm_log_view(member.log_view_confirmed_until);
    }

    /// Returns the sum of the limits of all nodes with a confirmed view of the log.
    fn total_in_use(&self) -> Limit {
        let working = self
            .members
            .iter()
            .filter(|m| self.now < m.log_view_confirmed_until);
        let limits = working.map(|m| m.node_limit.current(self.now));
        limits.fold(Limit::ZERO, Limit::plus)
    }
}

fn event() -> impl Strategy<Value = Event> {
    let node = || 0..NODES;
    prop_oneof![
        3 => prop::strategy::Just(Event::AdvanceTime),
        1 => (1..1_usize << NODES).prop_map(Event::AcceptEpoch),
        6 => (node(), any::<bool>()).prop_map(|(n, by)| Event::ReadLog(n, by)),
        1 => node().prop_map(Event::Restart),
        6 => (node(), 0_u32..8).prop_map(|(n, part)| Event::SendDemand(n, part)),
        6 => (0_usize..3).prop_map(Event::DeliverDemand),
        6 => (0_usize..3).prop_map(Event::DeliverGrant),
    ]
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..Default::default()
    })]

    // Guards against nodes that together exceed the limit while they have applied
    // different epochs or hold old grants.
    #[test]
    fn node_limits_never_exceed_account_limit(
        events in prop::collection::vec(event(), 0..200),
    ) {
        let mut model = Model::new();
        for event in events {
            model.apply(&event);
            let sum = model.total_in_use();
            prop_assert!(sum.min(LIMIT) == sum, "{event:?}: {sum:?}");
        }
    }
}

// Guards against a pool that is not leased, or outlives the home node.
#[test]
fn busy_node_leases_pool_until_grant_expires() {
    let mut model = Model::new();
    let ownership = Ownership::from(&model.epochs[0]);
    let home = home_node(&account(), &ownership)
        .expect("a home node")
        .clone();
    let busy = (0..NODES).find(|n| node(*n) != home).expect("another");
    let demand = model.members[busy]
        .node_limit
        .demand(DEMAND_ABOVE_LIMIT, model.now);
    model.demands.push(demand);
    model.apply(&Event::DeliverDemand(0));
    model.apply(&Event::DeliverGrant(0));
    let (even, pool) = (LIMIT.even_share(NODES), LIMIT.leasable_pool(NODES));
    assert_eq!(
        model.members[busy].node_limit.current(model.now),
        even.plus(pool)
    );
    assert_eq!(even.tokens_per_s, 125);
    assert_eq!(pool.tokens_per_s, 500);
    (0..5).for_each(|_| model.apply(&Event::AdvanceTime));
    assert_eq!(model.members[busy].node_limit.current(model.now), even);
}

// Guards against a share granted to two nodes before the first lease expires.
#[test]
fn reclaimed_grant_is_reissued_after_expiry() {
    let mut model = Model::new();
    let granted = |model: &mut Model, n: usize| {
        let demand = model.members[n]
            .node_limit
            .demand(DEMAND_ABOVE_LIMIT, model.now);
        model.demands.push(demand);
        model.apply(&Event::DeliverDemand(0));
        model.grants.last().expect("a grant").share.tokens_per_s
    };
    assert_eq!(granted(&mut model, 0), 500);
    assert_eq!(
        granted(&mut model, 1),
        0,
        "the whole pool is leased to the first"
    );
    assert_eq!(granted(&mut model, 0), 250, "divided by demand");
    assert_eq!(granted(&mut model, 1), 0, "the first grant has not expired");
    for _ in 0..5 {
        model.apply(&Event::AdvanceTime);
        (0..NODES).for_each(|n| model.apply(&Event::ReadLog(n, true)));
    }
    assert!(granted(&mut model, 1) > 0, "the first grant has expired");
}

#[test]
fn usage_is_refused_above_node_limit() {
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
