//! Batching, retries and limits of the writer.

use clock::{Moment, WallTime};
use log::{Backoff, Error, Limits, QueueFull, Writer};
use name::{Incarnation, Offset, Sequence};
use proptest::prelude::*;
use state::{Change, Entry, Event, Follower, Operation, Outcome, Record, Scope, encode};
use std::{sync::Arc, time::Duration};

const MIN_DELAY: Duration = Duration::from_millis(100);

fn writer(limits: Limits) -> Writer {
    Writer::new(limits, Backoff::new(MIN_DELAY, MIN_DELAY * 8, 1))
}

fn submit(writer: &mut Writer, data: &str) -> Result<Sequence, QueueFull> {
    writer.submit(|_| Ok(data.into()))
}

/// Returns the records of the next batch as one string.
fn batch(writer: &mut Writer, now: Moment) -> Option<String> {
    writer.next_batch(now).map(|records| records.concat())
}

/// The results of successive appends, and the batches expected from the writer.
struct Case {
    name: &'static str,
    results: Vec<Result<Offset, Error>>,
    /// The first batch, and the batch after each result with one more record queued.
    batches: &'static [&'static str],
    /// Whether the first record can be withdrawn after the last result.
    is_withdrawn: bool,
}

#[test]
fn batch_of_unknown_outcome_is_retried_before_later_records() {
    let (ok, lost, down) = (
        || Ok(Offset(9)),
        || Err(Error::effect_unknown("lost")),
        || Err(Error::not_appended("down")),
    );
    let cases = [
        Case {
            name: "acknowledged",
            results: vec![ok(), ok()],
            batches: &["ab", "c", "d"],
            is_withdrawn: false,
        },
        Case {
            name: "lost",
            results: vec![lost(), lost()],
            batches: &["ab", "abc", "abcd"],
            is_withdrawn: false,
        },
        Case {
            name: "down",
            results: vec![down(), down()],
            batches: &["ab", "abc", "abcd"],
            is_withdrawn: true,
        },
        Case {
            name: "lost, then down",
            results: vec![lost(), down()],
            batches: &["ab", "abc", "abcd"],
            is_withdrawn: false,
        },
        Case {
            name: "lost, then acknowledged",
            results: vec![lost(), ok()],
            batches: &["ab", "abc", "d"],
            is_withdrawn: false,
        },
    ];
    for case in cases {
        let mut writer = writer(Limits::default());
        let mut now = Moment::START;
        let first = submit(&mut writer, "a").expect("room");
        submit(&mut writer, "b").expect("room");
        assert_eq!(
            batch(&mut writer, now).as_deref(),
            Some(case.batches[0]),
            "{}",
            case.name
        );
        for (result, (expected, next_record)) in case
            .results
            .iter()
            .zip(case.batches[1..].iter().zip(["c", "d"]))
        {
            submit(&mut writer, next_record).expect("room");
            assert_eq!(
                batch(&mut writer, now),
                None,
                "{}: one append at a time",
                case.name
            );
            writer.finish_append(result, now);
            if result.is_err() {
                assert_eq!(batch(&mut writer, now), None, "{}: no delay", case.name);
            }
            now = now.max(writer.next_wakeup().expect("work is left"));
            if *expected == case.batches[2] {
                assert_eq!(writer.withdraw(first), case.is_withdrawn, "{}", case.name);
                let remaining = if case.is_withdrawn {
                    &expected[1..]
                } else {
                    expected
                };
                assert_eq!(
                    batch(&mut writer, now).as_deref(),
                    Some(remaining),
                    "{}",
                    case.name
                );
            } else {
                assert_eq!(
                    batch(&mut writer, now).as_deref(),
                    Some(*expected),
                    "{}",
                    case.name
                );
            }
        }
    }
}

#[test]
fn batches_and_queue_respect_limits() {
    let limits = Limits {
        queue_records: 4,
        queue_bytes: 10,
        batch_records: 2,
        batch_bytes: 3,
    };
    let mut writer = writer(limits);
    for data in ["abcd", "e", "f", "g"] {
        submit(&mut writer, data).expect("room");
    }
    assert_eq!(submit(&mut writer, "h"), Err(QueueFull));
    for expected in ["abcd", "ef", "g"] {
        assert_eq!(batch(&mut writer, Moment::START).as_deref(), Some(expected));
        writer.finish_append(&Ok(Offset(1)), Moment::START);
    }
    assert_eq!(batch(&mut writer, Moment::START), None);
    assert_eq!(writer.next_wakeup(), None);
    assert!(writer.remove(Sequence(1)));
    assert!(!writer.remove(Sequence(1)));
    assert_eq!(submit(&mut writer, "12345678"), Err(QueueFull));
    assert_eq!(submit(&mut writer, "1234567"), Ok(Sequence(5)));
    assert_eq!(
        writer.remove_through(Sequence(4)),
        [Sequence(2), Sequence(3), Sequence(4)]
    );
    assert_eq!(writer.len(), 1);
}

#[test]
fn backoff_delays_double_and_depend_on_seed() {
    let delays = |seed| {
        let mut backoff = Backoff::new(MIN_DELAY, MIN_DELAY * 8, seed);
        (0..40)
            .map(|_| backoff.record_failure())
            .collect::<Vec<_>>()
    };
    for (at, delay) in delays(7).into_iter().enumerate() {
        let max_delay = MIN_DELAY * 2_u32.pow(u32::try_from(at.min(3)).expect("small"));
        assert!(
            delay >= max_delay / 2 && delay <= max_delay,
            "{at}: {delay:?}"
        );
    }
    assert_eq!(delays(7), delays(7));
    assert_ne!(delays(7), delays(8));
    let mut backoff = Backoff::new(MIN_DELAY, MIN_DELAY * 8, 1);
    backoff.record_failure();
    backoff.record_failure();
    backoff.reset();
    assert!(backoff.record_failure() <= MIN_DELAY);
}

/// A writer and a log that loses, delays and repeats its appends.
struct Simulation {
    writer: Writer,
    follower: Follower,
    log: Vec<Arc<str>>,
    delayed: Vec<Vec<Arc<str>>>,
    in_flight: Option<Vec<Arc<str>>>,
    now: Moment,
    accepted: Vec<Sequence>,
}

impl Simulation {
    fn submit(&mut self) {
        let writer_id = state::Writer(Incarnation(uuid::Uuid::nil()));
        let encoded = self.writer.submit(|sequence| {
            let change = Change::Operation {
                base: Offset::ZERO,
                scope: Scope::Domain(format!("d{}", sequence.0).try_into().expect("a name")),
                operation: Operation::TakeOut,
                by: "eira".into(),
            };
            let record = Record {
                writer: writer_id,
                sequence,
                change,
            };
            Ok::<_, QueueFull>(encode(&record).expect("a short record"))
        });
        encoded.expect("room");
    }

    /// Runs one step.
    ///
    /// `action` selects a submission (0), a read (1 and 2), the arrival of a
    /// delayed append (3), or an append and its result (all others).
    fn step(&mut self, action: u8) {
        match action {
            0 => self.submit(),
            1 | 2 => self.read(),
            3 if !self.delayed.is_empty() => {
                let delayed = self.delayed.remove(0);
                self.log.extend(delayed);
            }
            _ => self.append(action),
        }
    }

    fn append(&mut self, action: u8) {
        if self.in_flight.is_none() {
            self.now = self.now.max(self.writer.next_wakeup().unwrap_or(self.now));
            self.in_flight = self.writer.next_batch(self.now);
            return;
        }
        let records = self.in_flight.take().expect("an append in progress");
        let first = Offset(self.log.len() as u64 + 1);
        let result = match action {
            4 => Err(Error::not_appended("down")),
            5 => Err(Error::effect_unknown("append lost")),
            6 => {
                self.delayed.push(records);
                Err(Error::effect_unknown("append delayed"))
            }
            7 => {
                self.log.extend(records);
                Err(Error::effect_unknown("response lost"))
            }
            _ => {
                self.log.extend(records);
                Ok(first)
            }
        };
        self.writer.finish_append(&result, self.now);
    }

    fn read(&mut self) {
        let from = usize::try_from(self.follower.state().offset.0).expect("a short log");
        for (at, data) in self.log.iter().enumerate().skip(from) {
            let offset = Offset(at as u64 + 1);
            let entry = Entry {
                offset,
                at: WallTime(0),
                data: Arc::clone(data),
            };
            for event in self.follower.offer(entry) {
                let Event::Folded {
                    record: Some(record),
                    outcome,
                    ..
                } = event
                else {
                    panic!("{event:?}");
                };
                if outcome == Outcome::Accepted {
                    self.accepted.push(record.sequence);
                    assert!(self.writer.remove(record.sequence));
                }
            }
        }
    }
}

proptest! {
    #[test]
    fn records_are_accepted_once_and_in_order(steps in prop::collection::vec(0..10_u8, 0..200)) {
        let writer_id = state::Writer(Incarnation(uuid::Uuid::nil()));
        let mut simulation = Simulation {
            writer: writer(Limits { batch_records: 3, ..Limits::default() }),
            follower: Follower::new(writer_id, state::Limits::default()),
            log: Vec::new(),
            delayed: Vec::new(),
            in_flight: None,
            now: Moment::START,
            accepted: Vec::new(),
        };
        let submitted = steps.iter().filter(|action| **action == 0).count();
        for action in steps {
            simulation.step(action);
        }
        for _ in 0..2 * submitted + 2 {
            simulation.step(9);
            simulation.step(1);
        }
        while !simulation.delayed.is_empty() {
            simulation.step(3);
            simulation.step(1);
        }
        let expected: Vec<Sequence> = (1..=submitted as u64).map(Sequence).collect();
        prop_assert_eq!(simulation.accepted, expected);
        prop_assert!(simulation.writer.is_empty());
    }
}
