//! The queue of waiting requests.

use crate::at_ms;
use place::{Queue, Urgency};
use std::time::Duration;

#[test]
fn dispatches_by_urgency_with_overdue_last() {
    let urgency = |priority, due| Urgency {
        priority,
        due: at_ms(due),
    };
    let mut queue = Queue::default();
    queue.push(urgency(1, 900), "late");
    queue.push(urgency(2, 1_500), "less urgent");
    queue.push(urgency(1, 1_400), "second");
    queue.push(urgency(1, 1_200), "first");
    assert_eq!(queue.count_ahead(urgency(1, 1_300)), 2);
    let mut order = Vec::new();
    queue.dispatch(at_ms(1_000), |name| {
        order.push(*name);
        *name != "second"
    });
    assert_eq!(order, ["first", "second", "less urgent", "late"]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn estimated_wait_needs_positive_rate() {
    assert_eq!(place::estimated_wait(9, 10.0), Some(Duration::from_secs(1)));
    assert_eq!(place::estimated_wait(0, 0.0), None);
}
