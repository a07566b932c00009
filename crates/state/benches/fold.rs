//! Benchmarks of folding at the design size and of API key lookup.

use clock::WallTime;
use criterion::Criterion;
use name::{Generation, Incarnation, Offset, Sequence};
use state::{Change, Entry, Follower, Limits, Operation, Record, Scope, Writer, decode, encode};
use std::{hint::black_box, sync::Arc};

/// The number of replicas: 1,600 instances in groups of four.
const REPLICAS: u32 = 400;

fn own() -> Writer {
    Writer(Incarnation(uuid::Uuid::nil()))
}

fn entry(offset: Offset, change: Change) -> Entry {
    let record = Record {
        writer: own(),
        sequence: Sequence(offset.0),
        change,
    };
    Entry {
        offset,
        at: WallTime(0),
        data: encode(&record).expect("the record fits the size limit"),
    }
}

fn take_out(base: Offset) -> Change {
    Change::Operation {
        base,
        scope: Scope::Domain("teifi".try_into().expect("a valid name")),
        operation: Operation::TakeOut,
        by: "eira".into(),
    }
}

/// Returns a follower whose state contains every replica.
fn design_size() -> Follower {
    let mut follower = Follower::new(own(), Limits::default());
    let text = include_str!("../../../examples/lists/lena.toml");
    let lists = Change::Lists {
        base: Offset::ZERO,
        text: text.into(),
        by: "eira".into(),
    };
    follower.offer(entry(Offset(1), lists));
    for replica in 0..REPLICAS {
        let member = |n| {
            format!("instance-{}", replica * 4 + n)
                .try_into()
                .expect("a valid name")
        };
        let change = Change::Assign {
            base: Generation::default(),
            replica: format!("replica-{replica}")
                .try_into()
                .expect("a valid name"),
            model: "draft-es".try_into().expect("a valid name"),
            version: "1".into(),
            members: (0..4).map(member).collect(),
        };
        follower.offer(entry(follower.next_offset(), change));
    }
    follower
}

fn fold(criterion: &mut Criterion) {
    let mut follower = design_size();
    let mut base = Offset::ZERO;
    criterion.bench_function("fold a record that no reader holds", |bench| {
        bench.iter(|| {
            let offset = follower.next_offset();
            black_box(follower.offer(entry(offset, take_out(base))));
            base = offset;
        });
    });
    criterion.bench_function("fold a record while a reader holds the state", |bench| {
        bench.iter(|| {
            let held = Arc::clone(follower.state());
            let offset = follower.next_offset();
            black_box(follower.offer(entry(offset, take_out(base))));
            base = offset;
            drop(held);
        });
    });
    let snapshot = Box::new(follower.snapshot());
    let data = entry(follower.next_offset(), Change::Snapshot { snapshot }).data;
    criterion.bench_function("decode a snapshot", |bench| {
        bench.iter(|| decode(black_box(data.as_bytes())));
    });
    let lists = Arc::clone(follower.state().lists());
    criterion.bench_function("find the account of an API key", |bench| {
        bench.iter(|| lists.account_for_key(black_box("demo-la-ermita")).is_some());
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    fold(&mut criterion);
    criterion.final_summary();
}
