//! Admission levels and balancing under more load than the replicas answer in time.

use crate::{SLOTS, at_ms, choice::choose_with_stale_view};
use name::Model;
use place::{Delays, Levels, Occupancy, Outcomes, admission_probability, fair_level};
use std::{collections::VecDeque, time::Duration};

/// The slots of the simulated replicas together.
const TOTAL_SLOTS: f64 = 480.0;

/// How long a request stays, and the age of what the planner knows, in steps of 0.2 s.
const STAY: usize = 9;
const REPORT_AGE: usize = 2;

/// What callers got in a run.
#[derive(Debug, Default)]
struct Served {
    on_time: f64,
    late: f64,
    refused: f64,
}

/// Returns the share of first tokens that are late with this fraction of slots occupied,
/// as measured at replicas of 48 slots: few below nine tenths, nearly all when requests
/// queue at the servers.
fn late_share(occupied: f64) -> f64 {
    ((occupied - 0.9) / 0.25).clamp(0.0, 1.0) * 0.95 + 0.03
}

/// Plays a load for 60 s; `offered` returns the requests of a step, relative to those that
/// fill all slots.
fn play(offered: impl Fn(usize) -> f64, is_level_used: bool) -> Served {
    let model: Model = "m".parse().expect("a name");
    let mut levels = Levels::default();
    levels.record(&model, Outcomes::default(), at_ms(0));
    let mut started: VecDeque<f64> = VecDeque::from(vec![0.0; STAY]);
    let mut reported: VecDeque<f64> = VecDeque::from(vec![0.0; REPORT_AGE]);
    let mut served = Served::default();
    let per_step = TOTAL_SLOTS / STAY as f64;
    for step in 0..300 {
        let asked = offered(step) * per_step;
        let share = levels.shares().next().map_or(1.0, |(_, share)| share);
        let share = if is_level_used { share } else { 1.0 };
        let running: f64 = started.iter().sum();
        // Without a level, servers take what fits their slots and some queue.
        let room = (TOTAL_SLOTS * 1.3 - running).max(0.0);
        let admitted = (asked * share).min(room);
        started.push_back(admitted);
        started.pop_front();
        let late = admitted * late_share((running + admitted) / TOTAL_SLOTS);
        served.on_time += admitted - late;
        served.late += late;
        served.refused += asked - admitted;
        reported.push_back(running + admitted);
        let known = reported.pop_front().expect("a report");
        let outcomes = Outcomes {
            on_time: (admitted - late) as u64,
            late: late as u64,
            refused: (asked - admitted) as u64,
        };
        let now = at_ms(200 * (step as u64 + 1));
        levels.record(&model, outcomes, now);
        let occupancy = Occupancy {
            running: known as u64,
            slots: TOTAL_SLOTS as u64,
        };
        levels.step(|_| Some(occupancy), now);
    }
    served
}

/// Guards against answering nearly all requests a little late under overload, and against
/// refusing requests that could be answered when there is none.
#[test]
fn more_requests_are_answered_in_time_with_a_level() {
    struct Case {
        what: &'static str,
        offered: fn(usize) -> f64,
        /// The least ratio of answers in time with a level to those without.
        least_gain: f64,
        /// The largest share that may be refused: what exceeds nine tenths of the slots, and
        /// a tenth of all.
        max_refused: f64,
    }
    fn wave(step: usize) -> f64 {
        // A wave of 11 s.
        (step as f64 * 0.2 / 11.0 * std::f64::consts::TAU).sin()
    }
    let cases = [
        Case {
            what: "less than the replicas carry",
            offered: |step| 0.7 + 0.1 * wave(step),
            least_gain: 0.98,
            max_refused: 0.1,
        },
        Case {
            what: "a steady overload",
            offered: |_| 1.5,
            least_gain: 4.0,
            max_refused: 0.5,
        },
        Case {
            what: "waves around what the replicas carry",
            offered: |step| 1.1 + 0.3 * wave(step),
            least_gain: 1.5,
            max_refused: 0.3,
        },
        Case {
            what: "bursts of 3 s",
            offered: |step| if step % 60 < 15 { 1.6 } else { 0.8 },
            least_gain: 1.05,
            max_refused: 0.275,
        },
    ];
    for case in cases {
        let without = play(case.offered, false);
        let with = play(case.offered, true);
        let gain = with.on_time / without.on_time;
        assert!(
            gain >= case.least_gain,
            "{}: {with:?} {without:?}",
            case.what
        );
        let offered = with.on_time + with.late + with.refused;
        let refused = with.refused / offered;
        assert!(refused <= case.max_refused, "{}: {with:?}", case.what);
    }
}

/// Guards against sharing engines among models by their work alone: a model whose replicas
/// answer late with many requests needs more of them.
#[test]
fn model_that_is_late_needs_more_replicas() {
    struct Case {
        what: &'static str,
        late: u64,
        is_more: bool,
    }
    let cases = [
        Case {
            what: "in time",
            late: 2,
            is_more: false,
        },
        Case {
            what: "half is late",
            late: 50,
            is_more: true,
        },
    ];
    for case in cases {
        let model: Model = "m".parse().expect("a name");
        let mut levels = Levels::default();
        levels.record(&model, Outcomes::default(), at_ms(0));
        let occupancy = Occupancy {
            running: 80,
            slots: 100,
        };
        for step in 1..=10 {
            let outcomes = Outcomes {
                on_time: 100 - case.late,
                late: case.late,
                refused: 0,
            };
            levels.record(&model, outcomes, at_ms(step * 700));
            levels.step(|_| Some(occupancy), at_ms(step * 700));
        }
        let (_, factor) = levels.replica_factors().next().expect("a model");
        assert_eq!(factor > 1.1, case.is_more, "{}: {factor}", case.what);
    }
}

#[test]
fn urgent_ranks_use_the_share_first() {
    struct Case {
        share: f64,
        mix: [f64; 3],
        probabilities: [f64; 3],
    }
    let cases = [
        Case {
            share: 1.0,
            mix: [2.0, 1.0, 1.0],
            probabilities: [1.0, 1.0, 1.0],
        },
        Case {
            share: 0.5,
            mix: [2.0, 1.0, 1.0],
            probabilities: [1.0, 0.0, 0.0],
        },
        Case {
            share: 0.25,
            mix: [2.0, 1.0, 1.0],
            probabilities: [0.5, 0.0, 0.0],
        },
        Case {
            share: 0.8,
            mix: [2.0, 0.0, 2.0],
            probabilities: [1.0, 1.0, 0.6],
        },
    ];
    for case in cases {
        for (rank, expected) in case.probabilities.iter().enumerate() {
            let probability = admission_probability(case.share, &case.mix, rank);
            assert!(
                (probability - expected).abs() < 1e-9,
                "share {}, rank {rank}: {probability}",
                case.share
            );
        }
    }
}

/// Guards against refusing small accounts as often as the one that sends most.
#[test]
fn only_accounts_above_the_fair_level_are_thinned() {
    struct Case {
        what: &'static str,
        offered: &'static [f64],
        share: f64,
        level: f64,
    }
    let cases = [
        Case {
            what: "enough room",
            offered: &[10.0, 90.0],
            share: 1.0,
            level: f64::INFINITY,
        },
        Case {
            what: "one account sends many times what others do",
            offered: &[10.0, 10.0, 10.0, 170.0],
            share: 0.5,
            level: 70.0,
        },
        Case {
            what: "equal accounts",
            offered: &[10.0, 10.0],
            share: 0.6,
            level: 6.0,
        },
        Case {
            what: "a long tail",
            offered: &[1.0, 2.0, 3.0, 4.0, 30.0, 60.0],
            share: 0.3,
            level: 10.0,
        },
    ];
    for case in cases {
        let level = fair_level(case.offered, case.share);
        assert_eq!(level, case.level, "{}", case.what);
        let admitted: f64 = case.offered.iter().map(|offered| offered.min(level)).sum();
        let total: f64 = case.offered.iter().sum();
        assert!(
            (admitted - case.share * total).abs() < 1e-9,
            "{}",
            case.what
        );
    }
}

/// Guards against herding: with views of the same age, all nodes sent what they had to the
/// replica that was the emptiest, and requests queued there.
#[test]
fn nodes_with_stale_views_level_the_loads() {
    struct Case {
        what: &'static str,
        loads: &'static [u32],
        nodes: u32,
        per_node: u32,
    }
    let cases = [
        Case {
            what: "a new replica among busy ones, 62 nodes",
            loads: &[0, 18, 18, 18, 18, 18, 18, 18, 18, 18, 18, 18],
            nodes: 62,
            per_node: 1,
        },
        Case {
            what: "two new replicas, nine nodes",
            loads: &[0, 0, 14, 14, 14, 14],
            nodes: 9,
            per_node: 4,
        },
        Case {
            what: "a new replica among many, 340 nodes",
            loads: &[0; 40],
            nodes: 340,
            per_node: 1,
        },
    ];
    for case in cases {
        let arrivals = choose_with_stale_view(case.loads, case.nodes, case.per_node);
        let after: Vec<u32> = std::iter::zip(case.loads, &arrivals)
            .map(|(load, arrived)| load + arrived)
            .collect();
        let mean = f64::from(after.iter().sum::<u32>()) / after.len() as f64;
        let most = f64::from(*after.iter().max().expect("a target"));
        // Random draws spread by a few requests around the common level.
        assert!(most <= mean + 3.0 * mean.sqrt(), "{}: {after:?}", case.what);
        assert!(most <= f64::from(SLOTS), "{}: {after:?}", case.what);
    }
}

/// Guards against a delay that a few stalled servers raise for all others.
#[test]
fn delay_is_the_median_of_what_exceeds_the_prediction() {
    let model: Model = "m".parse().expect("a name");
    let mut delays = Delays::default();
    let modelled = Duration::from_millis(50);
    for n in 0..600 {
        let beyond = if n % 10 == 0 { 3_000 } else { 95 + n % 10 };
        let took = modelled + Duration::from_millis(beyond);
        let predicted = modelled + delays.get(&model);
        delays.record(&model, took, predicted);
    }
    let learned = delays.get(&model).as_millis();
    assert!((90..=115).contains(&learned), "{learned} ms");
}
