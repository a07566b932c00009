//! Requests that wait.

use crate::at;
use place::{Queue, Rank};
use std::time::Duration;

#[test]
fn urgent_requests_and_those_that_can_be_on_time_go_first() {
    let rank = |priority, due| Rank {
        priority,
        due: at(due),
    };
    let mut queue = Queue::default();
    queue.push(rank(1, 900), "late");
    queue.push(rank(2, 1_500), "less urgent");
    queue.push(rank(1, 1_400), "second");
    queue.push(rank(1, 1_200), "first");
    assert_eq!(queue.ahead(rank(1, 1_300)), 2);
    let mut order = Vec::new();
    queue.offer(at(1_000), |what| {
        order.push(*what);
        *what != "second"
    });
    assert_eq!(order, ["first", "second", "less urgent", "late"]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_wait_grows_with_what_is_ahead_and_never_ends_without_servers() {
    assert_eq!(place::wait(9, 10.0), Some(Duration::from_secs(1)));
    assert_eq!(place::wait(0, 0.0), None);
}
