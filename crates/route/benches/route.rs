//! Benchmarks the replica choice at several numbers of replicas.

#![expect(missing_docs, reason = "the macro makes a function without a comment")]

use clock::Moment;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use name::{Domain, Generation, Region, Replica};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::{
    Candidate, Policy, Request, choose,
    prefix::{Holder, Index, hashes},
    replica_key,
};
use std::{hint::black_box, time::Duration};

/// The size of the prompts, in bytes.
const PROMPT_BYTES: usize = 8 * 1024;

fn candidate(number: usize) -> Candidate {
    let replica = Replica::try_from(format!("replica-{number}")).expect("a name");
    Candidate {
        key: replica_key(&replica),
        replica,
        generation: Generation(1),
        domain: format!("domain-{}", number % 12)
            .try_into()
            .expect("a name"),
        region: format!("region-{}", number % 5).try_into().expect("a name"),
        capacity: 32,
        load: (number % 7) as u32,
        has_version: true,
        has_adapter: true,
    }
}

fn choices(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose");
    let domain: Domain = "domain-1".try_into().expect("a name");
    let region: Region = "region-1".try_into().expect("a name");
    let prompt = "x".repeat(PROMPT_BYTES);
    let prefix = hashes("model", &prompt);
    for count in [25, 100, 400] {
        let all: Vec<Candidate> = (0..count).map(candidate).collect();
        let mut index = Index::new(100_000, Duration::from_secs(600));
        for (at, block) in prefix.iter().enumerate() {
            let holder = Holder {
                key: all[at % count].key,
                life: 1,
            };
            index.store(*block, holder, Moment::START);
        }
        let affinity = index.find(&prefix, Moment::START);
        for policy in Policy::ALL {
            let mut rng = ChaCha8Rng::seed_from_u64(1);
            let request = Request {
                domain: &domain,
                region: &region,
                prefix: &prefix,
                avoid: &[],
                choice_count: 7,
            };
            group.bench_function(BenchmarkId::new(policy.as_str(), count), |bencher| {
                bencher.iter(|| choose(black_box(&all), &request, &affinity, policy, &mut rng));
            });
        }
        group.bench_function(BenchmarkId::new("find", count), |bencher| {
            bencher.iter(|| index.find(black_box(&prefix), Moment::START));
        });
    }
    group.bench_function("hashes of 8 KiB", |bencher| {
        bencher.iter(|| hashes("model", black_box(&prompt)));
    });
}

criterion_group!(benches, choices);
criterion_main!(benches);
