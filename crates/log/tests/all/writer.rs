//! What is appended, when, and again.

use clock::{Moment, WallTime};
use log::{Backoff, Error, Full, Limits, Writer};
use name::{Incarnation, Offset, Sequence};
use proptest::prelude::*;
use state::{Change, Entry, Event, Follower, Operation, Outcome, Record, Scope, encode};
use std::{sync::Arc, time::Duration};

const PAUSE: Duration = Duration::from_millis(100);

fn writer(limits: Limits) -> Writer {
    Writer::new(limits, Backoff::new(PAUSE, PAUSE * 8, 1))
}

fn submit(writer: &mut Writer, data: &str) -> Result<Sequence, Full> {
    writer.submit(|_| Ok(data.into()))
}

/// Returns the next batch as one text.
fn batch(writer: &mut Writer, now: Moment) -> Option<String> {
    writer.batch(now).map(|records| records.concat())
}

/// What happens to the writer, and the batch that it gives then.
struct Case {
    name: &'static str,
    answers: Vec<Result<Offset, Error>>,
    /// The batch before the answers, and after each with one more record.
    batches: &'static [&'static str],
    /// Whether the first record can then be withdrawn.
    withdrawn: bool,
}

#[test]
fn a_batch_of_unknown_outcome_goes_again_before_later_records() {
    let (ok, lost, down) = (
        || Ok(Offset(9)),
        || Err(Error::unknown("lost")),
        || Err(Error::not_appended("down")),
    );
    let cases = [
        Case {
            name: "acknowledged",
            answers: vec![ok(), ok()],
            batches: &["ab", "c", "d"],
            withdrawn: false,
        },
        Case {
            name: "lost",
            answers: vec![lost(), lost()],
            batches: &["ab", "abc", "abcd"],
            withdrawn: false,
        },
        Case {
            name: "down",
            answers: vec![down(), down()],
            batches: &["ab", "abc", "abcd"],
            withdrawn: true,
        },
        Case {
            name: "lost, then down",
            answers: vec![lost(), down()],
            batches: &["ab", "abc", "abcd"],
            withdrawn: false,
        },
        Case {
            name: "lost, then acknowledged",
            answers: vec![lost(), ok()],
            batches: &["ab", "abc", "d"],
            withdrawn: false,
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
        for (answer, (expected, more)) in case
            .answers
            .iter()
            .zip(case.batches[1..].iter().zip(["c", "d"]))
        {
            submit(&mut writer, more).expect("room");
            assert_eq!(
                batch(&mut writer, now),
                None,
                "{}: one append at a time",
                case.name
            );
            writer.answered(answer, now);
            if answer.is_err() {
                assert_eq!(batch(&mut writer, now), None, "{}: no pause", case.name);
            }
            now = now.max(writer.wake().expect("work is left"));
            if *expected == case.batches[2] {
                assert_eq!(writer.withdraw(first), case.withdrawn, "{}", case.name);
                let rest = if case.withdrawn {
                    &expected[1..]
                } else {
                    expected
                };
                assert_eq!(
                    batch(&mut writer, now).as_deref(),
                    Some(rest),
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
fn batches_and_the_queue_are_bounded() {
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
    assert_eq!(submit(&mut writer, "h"), Err(Full));
    for expected in ["abcd", "ef", "g"] {
        assert_eq!(batch(&mut writer, Moment::START).as_deref(), Some(expected));
        writer.answered(&Ok(Offset(1)), Moment::START);
    }
    assert_eq!(batch(&mut writer, Moment::START), None);
    assert_eq!(writer.wake(), None);
    assert!(writer.decided(Sequence(1)));
    assert!(!writer.decided(Sequence(1)));
    assert_eq!(submit(&mut writer, "12345678"), Err(Full));
    assert_eq!(submit(&mut writer, "1234567"), Ok(Sequence(5)));
    assert_eq!(
        writer.passed(Sequence(4)),
        [Sequence(2), Sequence(3), Sequence(4)]
    );
    assert_eq!(writer.len(), 1);
}

#[test]
fn pauses_double_between_bounds_and_depend_on_the_seed() {
    let pauses = |seed| {
        let mut backoff = Backoff::new(PAUSE, PAUSE * 8, seed);
        (0..40).map(|_| backoff.fail()).collect::<Vec<_>>()
    };
    for (at, pause) in pauses(7).into_iter().enumerate() {
        let span = PAUSE * 2_u32.pow(u32::try_from(at.min(3)).expect("small"));
        assert!(pause >= span / 2 && pause <= span, "{at}: {pause:?}");
    }
    assert_eq!(pauses(7), pauses(7));
    assert_ne!(pauses(7), pauses(8));
    let mut backoff = Backoff::new(PAUSE, PAUSE * 8, 1);
    backoff.fail();
    backoff.fail();
    backoff.succeed();
    assert!(backoff.fail() <= PAUSE);
}

/// A log that loses, delays and repeats, beside the writer that feeds it.
struct Rig {
    writer: Writer,
    follower: Follower,
    log: Vec<Arc<str>>,
    late: Vec<Vec<Arc<str>>>,
    flight: Option<Vec<Arc<str>>>,
    now: Moment,
    accepted: Vec<Sequence>,
}

impl Rig {
    fn submit(&mut self) {
        let own = state::Writer(Incarnation(uuid::Uuid::nil()));
        let encoded = self.writer.submit(|sequence| {
            let change = Change::Operation {
                base: Offset::ZERO,
                scope: Scope::Domain(format!("d{}", sequence.0).try_into().expect("a name")),
                operation: Operation::TakeOut,
                by: "eira".into(),
            };
            let record = Record {
                writer: own,
                sequence,
                change,
            };
            Ok::<_, Full>(encode(&record).expect("a short record"))
        });
        encoded.expect("room");
    }

    /// Takes one step; `kind` says which, with the fate of an append.
    fn step(&mut self, kind: u8) {
        match kind {
            0 => self.submit(),
            1 | 2 => self.read(),
            3 if !self.late.is_empty() => {
                let late = self.late.remove(0);
                self.log.extend(late);
            }
            _ => self.append(kind),
        }
    }

    fn append(&mut self, kind: u8) {
        if self.flight.is_none() {
            self.now = self.now.max(self.writer.wake().unwrap_or(self.now));
            self.flight = self.writer.batch(self.now);
            return;
        }
        let records = self.flight.take().expect("an append in progress");
        let first = Offset(self.log.len() as u64 + 1);
        let result = match kind {
            4 => Err(Error::not_appended("down")),
            5 => Err(Error::unknown("append lost")),
            6 => {
                self.late.push(records);
                Err(Error::unknown("append late"))
            }
            7 => {
                self.log.extend(records);
                Err(Error::unknown("answer lost"))
            }
            _ => {
                self.log.extend(records);
                Ok(first)
            }
        };
        self.writer.answered(&result, self.now);
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
                    assert!(self.writer.decided(record.sequence));
                }
            }
        }
    }
}

proptest! {
    #[test]
    fn each_record_is_accepted_once_and_in_order(steps in prop::collection::vec(0..10_u8, 0..200)) {
        let own = state::Writer(Incarnation(uuid::Uuid::nil()));
        let mut rig = Rig {
            writer: writer(Limits { batch_records: 3, ..Limits::default() }),
            follower: Follower::new(own, state::Limits::default()),
            log: Vec::new(),
            late: Vec::new(),
            flight: None,
            now: Moment::START,
            accepted: Vec::new(),
        };
        let submitted = steps.iter().filter(|kind| **kind == 0).count();
        for kind in steps {
            rig.step(kind);
        }
        for _ in 0..2 * submitted + 2 {
            rig.step(9);
            rig.step(1);
        }
        while !rig.late.is_empty() {
            rig.step(3);
            rig.step(1);
        }
        let expected: Vec<Sequence> = (1..=submitted as u64).map(Sequence).collect();
        prop_assert_eq!(rig.accepted, expected);
        prop_assert!(rig.writer.is_empty());
    }
}
