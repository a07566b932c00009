//! Replica choice, the prefix index and load estimates.

use clock::Moment;
use name::{Domain, Generation, Region, Replica};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::{
    Candidate, Load, Policy, Reason, Request, choose,
    prefix::{BLOCK_BYTES, Holder, Index, Match, hashes},
    replica_key,
};
use std::time::Duration;

/// The replica that caches the prefix, different from the one that its hash selects.
const HOLDER_INDEX: usize = 5;

fn candidate(number: usize) -> Candidate {
    let replica = Replica::try_from(format!("replica-{number}")).expect("a name");
    Candidate {
        key: replica_key(&replica),
        replica,
        generation: Generation(1),
        domain: "near".try_into().expect("a name"),
        region: "here".try_into().expect("a name"),
        capacity: 16,
        load: 0,
        has_version: true,
        has_adapter: true,
    }
}

fn candidates(count: usize) -> Vec<Candidate> {
    (0..count).map(candidate).collect()
}

/// Returns the choice for a prompt by the affinity policy.
fn choose_by_affinity(
    candidates: &[Candidate],
    prompt: &str,
    index: &Index,
    avoid: &[u64],
) -> Option<(usize, Reason)> {
    let (domain, region): (Domain, Region) = (
        "near".try_into().expect("a name"),
        "here".try_into().expect("a name"),
    );
    let prefix = hashes("model", prompt);
    let request = Request {
        domain: &domain,
        region: &region,
        prefix: &prefix,
        avoid,
        choice_count: 0,
    };
    let affinity = index.find(&prefix, Moment::START);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let choice = choose(candidates, &request, &affinity, Policy::Affinity, &mut rng)?;
    Some((choice.index, choice.reason))
}

fn prompt(blocks: usize) -> String {
    "x".repeat(blocks * BLOCK_BYTES)
}

/// Returns an index in which one replica caches the first blocks of [`prompt`].
fn index(holder: usize, blocks: usize) -> Index {
    let mut index = Index::new(1_000, Duration::from_secs(60));
    let holder = Holder {
        key: candidate(holder).key,
        life: 1,
    };
    for prefix in hashes("model", &prompt(blocks)) {
        index.store(prefix, holder, Moment::START);
    }
    index
}

// Guards against affinity to a replica that is overloaded, distant or not ready.
#[test]
fn affinity_yields_to_load_and_distance() {
    struct Case {
        name: &'static str,
        change: fn(&mut Vec<Candidate>),
        blocks: usize,
        is_holder: bool,
    }
    let cases = [
        Case {
            name: "idle",
            change: |_| {},
            blocks: 1,
            is_holder: true,
        },
        Case {
            name: "far above the mean",
            change: |c| c[HOLDER_INDEX].load = 12,
            blocks: 9,
            is_holder: false,
        },
        Case {
            name: "cold",
            change: |c| {
                c.iter_mut().for_each(|c| c.load = 4);
                c[HOLDER_INDEX].capacity = 4;
            },
            blocks: 9,
            is_holder: false,
        },
        Case {
            name: "no capacity",
            change: |c| c[HOLDER_INDEX].capacity = 0,
            blocks: 9,
            is_holder: false,
        },
        Case {
            name: "wrong version",
            change: |c| c[HOLDER_INDEX].has_version = false,
            blocks: 9,
            is_holder: false,
        },
        Case {
            name: "other region, short",
            change: |c| {
                c[HOLDER_INDEX].domain = "far".try_into().expect("a name");
                c[HOLDER_INDEX].region = "there".try_into().expect("a name");
            },
            blocks: 2,
            is_holder: false,
        },
        Case {
            name: "other region, long",
            change: |c| {
                c[HOLDER_INDEX].domain = "far".try_into().expect("a name");
                c[HOLDER_INDEX].region = "there".try_into().expect("a name");
            },
            blocks: 9,
            is_holder: true,
        },
        Case {
            name: "adapter not loaded",
            change: |c| c[HOLDER_INDEX].has_adapter = false,
            blocks: 9,
            is_holder: false,
        },
    ];
    for Case {
        name,
        change,
        blocks,
        is_holder,
    } in cases
    {
        let mut candidates = candidates(8);
        // The hash must not select the holder by chance.
        let hashed = choose_by_affinity(
            &candidates,
            &prompt(1),
            &Index::new(10, Duration::from_secs(1)),
            &[],
        );
        assert_ne!(hashed.expect("a choice").0, HOLDER_INDEX);
        change(&mut candidates);
        let (chosen, reason) =
            choose_by_affinity(&candidates, &prompt(10), &index(HOLDER_INDEX, blocks), &[])
                .expect("a choice");
        assert_eq!(
            (chosen == HOLDER_INDEX, reason == Reason::Cached),
            (is_holder, is_holder),
            "{name}: {reason:?}"
        );
    }
}

#[test]
fn equal_prefixes_share_replica_and_failed_is_avoided() {
    let empty = Index::new(10, Duration::from_secs(1));
    let all = candidates(8);
    let (first, reason) = choose_by_affinity(&all, &prompt(3), &empty, &[]).expect("a choice");
    assert_eq!(reason, Reason::Hashed);
    assert_eq!(
        choose_by_affinity(&all, &(prompt(3) + "tail"), &empty, &[])
            .expect("a choice")
            .0,
        first
    );
    let (second, _) =
        choose_by_affinity(&all, &prompt(3), &empty, &[all[first].key]).expect("a choice");
    assert_ne!(second, first);
    let every: Vec<u64> = all.iter().map(|c| c.key).collect();
    assert!(
        choose_by_affinity(&all, &prompt(3), &empty, &every).is_some(),
        "a failed replica is better than none"
    );
    assert!(choose_by_affinity(&[], &prompt(3), &empty, &[]).is_none());
}

// Guards against one replica that takes all requests with a common prefix.
#[test]
fn hot_prefix_respects_load_bound() {
    let mut all = candidates(8);
    let index = index(HOLDER_INDEX, 9);
    for _ in 0..64 {
        let (chosen, _) = choose_by_affinity(&all, &prompt(10), &index, &[]).expect("a choice");
        all[chosen].load += 1;
    }
    let most = all.iter().map(|c| c.load).max().expect("some");
    assert!(most <= 11, "1.25 times the mean of 8, rounded up: {most}");
    assert_eq!(
        all[HOLDER_INDEX].load, most,
        "the holder has the highest load"
    );
}

#[test]
fn every_policy_parses_and_chooses() {
    let (domain, region): (Domain, Region) = (
        "near".try_into().expect("a name"),
        "here".try_into().expect("a name"),
    );
    let mut all = candidates(4);
    (0..3).for_each(|at| all[at].load = 5);
    for policy in Policy::ALL {
        assert_eq!(policy.as_str().parse(), Ok(policy));
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut counts = [0; 4];
        for choice_count in 0..400 {
            let request = Request {
                domain: &domain,
                region: &region,
                prefix: &[],
                avoid: &[],
                choice_count,
            };
            let choice = choose(&all, &request, &Match::default(), policy, &mut rng);
            counts[choice.expect("a choice").index] += 1;
        }
        match policy {
            Policy::RoundRobin => assert_eq!(counts, [100; 4]),
            Policy::Random => assert!(counts.iter().all(|n| (70..130).contains(n)), "{counts:?}"),
            Policy::LeastLoad => assert_eq!(counts, [0, 0, 0, 400]),
            Policy::Affinity => assert_eq!(counts[3], 400, "{counts:?}"),
        }
    }
}

// Guards against affinity to prefixes that a replica no longer caches.
#[test]
fn index_drops_evicted_old_and_superseded_entries() {
    let prefix = hashes("model", &prompt(2));
    let holder = |life| Holder { key: 7, life };
    let mut index = Index::new(100, Duration::from_secs(10));
    let at = Moment::from_millis;
    index.store(prefix[0], holder(1), at(0));
    index.store(prefix[1], holder(1), at(0));
    assert_eq!(index.find(&prefix, at(1)).blocks(7), 2);
    index.evict(prefix[1], holder(1));
    assert_eq!(index.find(&prefix, at(1)).blocks(7), 1);
    index.store(prefix[1], holder(2), at(2));
    index.evict(prefix[1], holder(1));
    assert_eq!(
        index.find(&prefix, at(2)).blocks(7),
        2,
        "a late event of an earlier life"
    );
    index.store(prefix[0], holder(1), at(2));
    assert_eq!(
        index.find(&prefix[..1], at(2)).blocks(7),
        0,
        "the earlier life's entry"
    );
    assert_eq!(index.find(&prefix, at(12_000)).blocks(7), 0, "too old");
    for number in 0..10_000 {
        index.store(number, holder(2), at(3));
    }
    assert!(index.len() <= 100, "{}", index.len());
}

// Guards against load estimates that ignore requests sent after the last report.
#[test]
fn load_report_is_corrected_by_later_requests() {
    let at = Moment::from_millis;
    let mut load = Load::default();
    load.start(at(10));
    load.report(6, at(20));
    assert_eq!(load.estimate(at(20)), 6, "the report includes the first");
    load.start(at(30));
    load.start(at(40));
    load.end(at(50));
    assert_eq!(load.estimate(at(50)), 7);
    load.report(2, at(15));
    assert_eq!(load.estimate(at(50)), 7, "an older report is ignored");
    load.report(0, at(60));
    assert_eq!(
        load.estimate(at(60)),
        2,
        "at least the requests of this node"
    );
    assert_eq!(load.estimate(at(9_000)), 2, "an expired report is ignored");
}
