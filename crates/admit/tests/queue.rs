//! Fairness and bounds of the queue, compared with a first-in, first-out queue.

use admit::{Bounds, Entry, Queue, fifo};
use clock::Moment;
use name::Account;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

/// The maximum number of requests in progress at the servers.
const SLOTS: usize = 32;

/// Tokens per second of one request in progress.
const TOKENS_PER_S: f64 = 50.0;

/// The simulated time.
const SIMULATED_TIME: Duration = Duration::from_secs(600);

/// The offered load of one account in a simulation.
#[derive(Clone)]
struct Source {
    account: Account,
    weight: u32,
    /// Offered tokens per second, relative to the capacity of all slots.
    offered: f64,
}

/// The service that one account received.
#[derive(Default)]
struct Served {
    tokens: u64,
    /// From arrival to completion, in microseconds.
    latencies_us: Vec<u64>,
}

impl Served {
    fn p95(&mut self) -> f64 {
        self.latencies_us.sort_unstable();
        self.latencies_us[self.latencies_us.len() * 95 / 100] as f64 / 1e6
    }
}

/// The queue under test or the baseline.
enum TestQueue {
    Fair(Queue<Arrival>),
    Fifo(fifo::Queue<Arrival>),
}

#[derive(Clone)]
struct Arrival {
    at: Moment,
    source: usize,
    tokens: u64,
}

fn account(name: &str) -> Account {
    Account::try_from(name).expect("a name")
}

fn source(name: &str, weight: u32, offered: f64) -> Source {
    Source {
        account: account(name),
        weight,
        offered,
    }
}

/// Returns the arrivals of one source.
///
/// Each source has its own seed, so its arrivals do not depend on the others.
fn arrivals(source: &Source, number: usize) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(7 + number as u64);
    let mean = 100.0;
    let per_s = source.offered * SLOTS as f64 * TOKENS_PER_S / mean;
    let mut at = Moment::START;
    let mut out = Vec::new();
    while at < Moment::START + SIMULATED_TIME {
        let gap = -(1.0 - rng.random::<f64>()).ln() / per_s;
        at = at + Duration::from_secs_f64(gap);
        let tokens = rng.random_range(50..=150);
        out.push(Arrival {
            at,
            source: number,
            tokens,
        });
    }
    out
}

/// Simulates servers that take requests from one queue.
fn simulate(sources: &[Source], mut test_queue: TestQueue) -> Vec<Served> {
    let each = sources.iter().enumerate();
    let mut pending: Vec<Arrival> = each.flat_map(|(n, s)| arrivals(s, n)).collect();
    pending.sort_by_key(|a| Reverse((a.at, a.source)));
    let mut served: Vec<Served> = sources.iter().map(|_| Served::default()).collect();
    let mut busy: BinaryHeap<Reverse<(Moment, usize, u64)>> = BinaryHeap::new();
    let mut now = Moment::START;
    while now < Moment::START + SIMULATED_TIME {
        let next_end = busy.peek().map(|Reverse((at, ..))| *at);
        let Some(next) = pending
            .last()
            .map(|a| a.at)
            .into_iter()
            .chain(next_end)
            .min()
        else {
            break;
        };
        now = next;
        while busy.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            busy.pop();
        }
        while pending.last().is_some_and(|a| a.at <= now) {
            let arrival = pending.pop().expect("just seen");
            enqueue(&mut test_queue, &sources[arrival.source], arrival, now);
        }
        while busy.len() < SLOTS {
            let Some(arrival) = dequeue(&mut test_queue, now) else {
                break;
            };
            let service_time = Duration::from_secs_f64(arrival.tokens as f64 / TOKENS_PER_S);
            let end = now + service_time;
            busy.push(Reverse((end, arrival.source, arrival.tokens)));
            let served = &mut served[arrival.source];
            served.tokens += arrival.tokens;
            served.latencies_us.push(end.0 - arrival.at.0);
        }
    }
    served
}

fn enqueue(test_queue: &mut TestQueue, source: &Source, arrival: Arrival, now: Moment) {
    let deadline = now + SIMULATED_TIME * 10;
    match test_queue {
        TestQueue::Fifo(queue) => drop(queue.push(arrival, deadline)),
        TestQueue::Fair(queue) => {
            let entry = Entry {
                account: source.account.clone(),
                weight: source.weight,
                class: 0,
                tokens: 100,
                deadline,
                item: arrival,
            };
            drop(queue.push(entry, now));
        }
    }
}

fn dequeue(test_queue: &mut TestQueue, now: Moment) -> Option<Arrival> {
    match test_queue {
        TestQueue::Fifo(queue) => queue.pop(now),
        TestQueue::Fair(queue) => {
            let popped = queue.pop(now, |_| true)?;
            queue.reconcile(&popped.account, popped.tokens, popped.item.tokens);
            Some(popped.item)
        }
    }
}

fn fair_queue() -> TestQueue {
    TestQueue::Fair(Queue::new(Bounds {
        total: 2_000,
        account: 200,
        credit: 3_200,
    }))
}

fn fifo_queue() -> TestQueue {
    TestQueue::Fifo(fifo::Queue::new(2_000))
}

// Guards against a heavy account that delays one within its share.
#[test]
fn large_account_delays_small_by_at_most_10_percent() {
    // Equal weights give each half of the slots. The small account offers 80% of
    // its share, the large one 20 times its share.
    let small = source("small", 1, 0.4);
    let large = source("large", 1, 10.0);
    let alone = simulate(std::slice::from_ref(&small), fair_queue())[0].p95();
    let contended = simulate(&[small.clone(), large.clone()], fair_queue())[0].p95();
    let fifo_p95 = simulate(&[small, large], fifo_queue())[0].p95();
    println!(
        "p95 of the small account: {alone:.3} s alone, {contended:.3} s contended, {fifo_p95:.3} s first in, first out"
    );
    assert!(contended <= alone * 1.1, "{contended} s against {alone} s");
    assert!(
        fifo_p95 > alone * 1.1,
        "the baseline delays it: {fifo_p95} s"
    );
}

/// Returns Jain's index of tokens served for each unit of weight.
fn jain_index(sources: &[Source], served: &[Served]) -> f64 {
    let pairs = sources.iter().zip(served);
    let shares: Vec<f64> = pairs
        .map(|(s, got)| got.tokens as f64 / f64::from(s.weight))
        .collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|x| x * x).sum();
    sum * sum / (shares.len() as f64 * squares)
}

#[test]
fn backlogged_accounts_share_by_weight() {
    // Each account offers more than its share, in ratios that differ from the weights.
    let sources: Vec<Source> = [(1, 4.0), (2, 1.0), (3, 2.0), (4, 0.8)]
        .into_iter()
        .map(|(weight, offered)| source(&format!("account-{weight}"), weight, offered))
        .collect();
    let fair_index = jain_index(&sources, &simulate(&sources, fair_queue()));
    let fifo_index = jain_index(&sources, &simulate(&sources, fifo_queue()));
    println!("Jain's index by weight: {fair_index:.4} fair, {fifo_index:.4} first in, first out");
    assert!(fair_index > 0.99, "{fair_index}");
    assert!(fifo_index < 0.9, "{fifo_index}");
}

fn entry(account: &str, class: usize, tokens: u64, deadline: Moment, item: u32) -> Entry<u32> {
    Entry {
        account: self::account(account),
        weight: 1,
        class,
        tokens,
        deadline,
        item,
    }
}

// Guards against starvation of less urgent classes.
#[test]
fn urgent_class_first_without_starvation() {
    let mut queue = Queue::new(Bounds {
        total: 1_000,
        account: 1_000,
        credit: 0,
    });
    let (now, deadline) = (Moment::START, Moment::from_millis(60_000));
    queue
        .push(entry("a", 1, 1, deadline, 0), now)
        .expect("room");
    for item in 1..=50 {
        queue
            .push(entry("a", 0, 1, deadline, item), now)
            .expect("room");
    }
    let order: Vec<u32> = std::iter::from_fn(|| queue.pop(now, |_| true))
        .map(|p| p.item)
        .collect();
    assert_eq!(order[..7], [1, 2, 3, 4, 5, 6, 7]);
    assert_eq!(order[7], 0, "the eighth is the oldest");
    assert_eq!(order.len(), 51);
}

#[test]
fn refusal_is_not_run_with_retry_after() {
    let (now, deadline) = (Moment::START, Moment::from_millis(600_000));
    let bounds = Bounds {
        total: 3,
        account: 2,
        credit: 0,
    };
    let mut queue = Queue::new(bounds);
    for (account, is_accepted) in [
        ("a", true),
        ("a", true),
        ("a", false),
        ("b", true),
        ("c", false),
    ] {
        let result = queue.push(entry(account, 0, 10, deadline, 0), now);
        assert_eq!(result.is_ok(), is_accepted, "{account}");
        if let Err(error) = result {
            assert_eq!(error.verdict(), verdict::Verdict::NotRun);
            assert!(error.retry_after().is_some());
        }
    }
    let expired = queue.expire(deadline);
    assert_eq!((expired.len(), queue.len()), (3, 0));
}

// Guards against accounts that fill the queue and lock out the others.
#[test]
fn full_queue_reserves_room_for_new_accounts() {
    let (now, deadline) = (Moment::START, Moment::from_millis(600_000));
    let mut queue = Queue::new(Bounds {
        total: 8,
        account: 4,
        credit: 0,
    });
    let cases = [("a", 4), ("b", 4), ("c", 1), ("d", 1), ("e", 0)];
    for (account, room) in cases {
        let push = |_| queue.push(entry(account, 0, 10, deadline, 0), now).is_ok();
        let accepted = (0..5).map(push).filter(|is_accepted| *is_accepted).count();
        assert_eq!(accepted, room, "{account}");
    }
    assert_eq!(queue.len(), 10);
}

// Guards against requests that wait although their deadline passes in the queue.
#[test]
fn unreachable_deadline_is_refused() {
    let mut queue = Queue::new(Bounds {
        total: 1_000,
        account: 1_000,
        credit: 0,
    });
    let deadline = Moment::from_millis(600_000);
    let at = |n: u64| Moment::from_millis(n * 100);
    for item in 0..300 {
        queue
            .push(entry("a", 0, 100, deadline, item), at(0))
            .expect("room");
    }
    // One request of 100 tokens every 100 ms: 1,000 tokens per second.
    for n in 0..100 {
        queue.pop(at(n), |_| true).expect("a backlog");
    }
    let now = at(100);
    let wait = queue
        .expected_wait(&account("a"), 1, now)
        .expect("observed");
    assert!((19.0..21.0).contains(&wait.as_secs_f64()), "{wait:?}");
    let in_time = |s: u64| now + Duration::from_secs(s);
    assert!(queue.push(entry("a", 0, 100, in_time(15), 0), now).is_err());
    assert!(queue.push(entry("a", 0, 100, in_time(25), 0), now).is_ok());
    // An account without a backlog does not wait for the backlog of another.
    assert!(queue.push(entry("b", 0, 100, in_time(15), 0), now).is_ok());
}

#[test]
fn ineligible_entries_do_not_block_others() {
    let mut queue = Queue::new(Bounds {
        total: 10,
        account: 10,
        credit: 0,
    });
    let (now, deadline) = (Moment::START, Moment::from_millis(60_000));
    for (account, item) in [("a", 1), ("b", 2), ("c", 3)] {
        queue
            .push(entry(account, 0, 1, deadline, item), now)
            .expect("room");
    }
    let accepted = queue.pop(now, |item| *item == 3).map(|p| p.item);
    assert_eq!(accepted, Some(3));
    assert!(queue.pop(now, |_| false).is_none());
    let counts = BTreeMap::from([("a", 1), ("b", 1), ("c", 0)]);
    for (name, count) in counts {
        assert_eq!(queue.account_len(&account(name)), count, "{name}");
    }
}
