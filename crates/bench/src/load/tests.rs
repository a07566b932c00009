//! Tests of the arrivals: rate, order, and the effect of a flood.

use super::{CALLS_PER_S, FLOOD_FACTOR, Work, accounts, arrivals};
use crate::Kind;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(100);

/// Guards the comparison of runs: one seed must give the same load again, at
/// the configured rate and mix, and only a flood adds calls that don't count.
#[test]
fn arrivals_are_seeded_at_the_configured_rate() {
    struct Case {
        kind: Kind,
        seed: u64,
        is_flood: bool,
    }
    let cases = [
        Case {
            kind: Kind::HafodTegid,
            seed: 1,
            is_flood: false,
        },
        Case {
            kind: Kind::Lena,
            seed: 2,
            is_flood: true,
        },
    ];
    for case in cases {
        let names = accounts(case.kind);
        assert_eq!(names.len(), 10, "{names:?}");
        let make = |seed| arrivals(seed, names.len(), LENGTH, case.is_flood);
        let all = make(case.seed);
        let times = |seed| make(seed).iter().map(|a| a.at).collect::<Vec<_>>();
        assert_eq!(times(case.seed), times(case.seed));
        assert_ne!(times(case.seed), times(case.seed + 1));
        assert!(all.is_sorted_by_key(|arrival| arrival.at));
        assert!(all.iter().all(|arrival| arrival.at < LENGTH));
        // A large account has a quarter of the calls: 4 of 2 x 4 + 8 x 1.
        let plain = CALLS_PER_S * LENGTH.as_secs_f64();
        let extra = if case.is_flood {
            plain / 4.0 * (FLOOD_FACTOR - 1.0) * 0.6
        } else {
            0.0
        };
        let ratio = all.len() as f64 / (plain + extra);
        assert!((0.9..1.1).contains(&ratio), "{ratio}");
        let uncounted = all.iter().filter(|arrival| !arrival.is_counted);
        assert!(uncounted.clone().all(|arrival| arrival.account == 0));
        assert_eq!(uncounted.count() > 0, case.is_flood);
        let drafts = all.iter().filter(|a| matches!(a.work, Work::Draft(_)));
        let fraction = drafts.count() as f64 / all.len() as f64;
        assert!((0.45..0.55).contains(&fraction), "{fraction}");
    }
}
