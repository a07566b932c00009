//! Tests of snapshot scheduling.

use clock::WallTime;
use state::{Uncovered, is_snapshot_due};
use std::time::Duration;

#[test]
fn snapshot_is_due_before_records_expire() {
    let hour = Duration::from_secs(3_600);
    // Records, age of the oldest in seconds, rank, and whether a snapshot is
    // due with a retention of one hour.
    let cases = [
        (0, 9_999, 0, false),
        (1, 899, 0, false),
        (1, 900, 0, true),
        (1, 900, 1, false),
        (1, 957, 1, true),
        (1, 1_349, 340, false),
        (1, 1_350, 340, true),
        (8_192, 0, 0, true),
        (8_192, 0, 1, false),
        (8_448, 0, 1, true),
    ];
    for (records, age, rank, is_due) in cases {
        let uncovered = Uncovered {
            records,
            oldest: Some(WallTime(0)),
        };
        let now = WallTime(age * 1_000);
        assert_eq!(
            is_snapshot_due(&uncovered, hour, rank, now),
            is_due,
            "{records} {age} {rank}"
        );
    }
}
