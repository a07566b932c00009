//! Benchmarks slots and queues at several sizes.

#![expect(missing_docs, reason = "the macro makes a function without a comment")]

use admit::{
    Bounds, Entry, Queue,
    slot::{CapacityReport, Completion, Ending, Gate, Ownership, Timing},
};
use clock::Moment;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use name::{Account, Incarnation, Node, Offset};
use state::{Epoch, Peer};
use std::{hint::black_box, time::Duration};
use uuid::Uuid;

/// The slots of one server.
const SLOTS: u32 = 32;

fn node(number: usize) -> Node {
    Node::try_from(format!("node-{number}")).expect("a name")
}

fn incarnation(number: usize) -> Incarnation {
    Incarnation(Uuid::from_u128(number as u128))
}

fn ownership(nodes: usize) -> Ownership {
    let address = "127.0.0.1:1".parse().expect("an address");
    let peer = |number| Peer {
        node: node(number),
        incarnation: incarnation(number),
        domain: "domain".try_into().expect("a name"),
        peer_address: address,
        caller_address: address,
    };
    Ownership::from(&Epoch {
        revision: Offset(1),
        peers: (0..nodes).map(peer).collect(),
    })
}

fn slots(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("slot");
    for nodes in [9, 340] {
        let ownership = ownership(nodes);
        group.bench_function(BenchmarkId::new("owned of 1 server", nodes), |bencher| {
            bencher.iter(|| {
                ownership.owned_slots(black_box("server"), &node(0), incarnation(0), SLOTS)
            });
        });
    }
    let mut gate = Gate::new(
        "server",
        (node(0), incarnation(0)),
        SLOTS,
        Timing::default(),
    );
    gate.apply_epoch(&ownership(1), Some(Offset::ZERO), Moment::START);
    gate.confirm_log_view(Moment::from_millis(10_000));
    for at in 1..10 {
        gate.observe(CapacityReport {
            boot: Uuid::nil(),
            warm: true,
            warm_limit: SLOTS,
            cold_limit: 2,
            idle: false,
            at: Moment::from_millis(at),
        });
    }
    let now = Moment::from_millis(10);
    group.bench_function("acquire and release", |bencher| {
        bencher.iter(|| {
            let permit = gate.try_acquire(now).expect("all slots are free");
            let completion = Completion {
                ending: Ending::Whole,
                first_token: Some(Duration::from_millis(5)),
            };
            gate.release(permit, completion, now);
        });
    });
}

fn queues(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue");
    for accounts in [10, 100, 1_000, 10_000] {
        let name = |number: usize| Account::try_from(format!("account-{number}")).expect("a name");
        let names: Vec<Account> = (0..accounts).map(name).collect();
        let mut queue = Queue::new(Bounds {
            total: 100_000,
            account: 100,
            credit: 3_200,
        });
        let entry = |number: usize| Entry {
            account: names[number % accounts].clone(),
            weight: 1,
            class: 0,
            tokens: 100,
            deadline: Moment::from_millis(3_600_000),
            item: number,
        };
        for number in 0..accounts * 4 {
            queue.push(entry(number), Moment::START).expect("room");
        }
        let mut number = 0;
        group.bench_function(BenchmarkId::new("push, pop, settle", accounts), |bencher| {
            bencher.iter(|| {
                number += 1;
                let popped = queue.pop(Moment::START, |_| true).expect("a backlog");
                queue.reconcile(&popped.account, popped.tokens, 110);
                let again = Entry {
                    account: popped.account,
                    ..entry(number)
                };
                queue.push(again, Moment::START).expect("room");
            });
        });
    }
}

criterion_group!(benches, slots, queues);
criterion_main!(benches);
