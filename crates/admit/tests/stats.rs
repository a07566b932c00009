//! Histograms per account and class, within a bound.

use admit::stats::{OVERFLOW_LABEL, Phase, Stats, query};
use name::{Account, Class};
use std::time::Duration;

#[test]
fn series_beyond_bound_share_overflow_label() {
    let account = |number: u32| Account::try_from(format!("account-{number}")).expect("a name");
    let class = Class::try_from("draft").expect("a name");
    let mut stats = Stats::new(3);
    for number in 0..10 {
        for ms in 1..=100 {
            let time = Duration::from_millis(ms);
            stats.record(&account(number), &class, Phase::Total, time);
        }
    }
    let rows = query::rows(&stats);
    let counts: Vec<(&str, u64)> = rows.iter().map(|r| (r.account.as_str(), r.count)).collect();
    let expected = [
        ("account-0", 100),
        ("account-1", 100),
        ("account-2", 100),
        (OVERFLOW_LABEL, 700),
    ];
    assert_eq!(counts, expected);
    let p95 = query::p95(&stats, &account(1), Phase::Total).expect("recorded");
    assert!((94..=97).contains(&p95.as_millis()), "{p95:?}");
    assert_eq!(query::p95(&stats, &account(1), Phase::Queueing), None);
    let series =
        |min_count| query::series_p95(&stats, &account(1), &class, Phase::Total, min_count);
    assert_eq!(series(100), Some(p95));
    assert_eq!(series(101), None);
}
