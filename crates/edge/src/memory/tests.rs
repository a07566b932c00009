//! Reservations never exceed the capacity, and are given back.

use super::{CAPACITY, Memory};

#[test]
fn reservations_share_the_capacity() {
    let memory = Memory::default();
    let mut first = memory.reserve();
    let mut second = memory.reserve();
    assert!(first.resize(CAPACITY - 10));
    assert!(second.resize(10));
    assert!(!second.resize(11));
    assert!(first.resize(0));
    assert!(second.resize(CAPACITY));
    drop(second);
    assert!(first.resize(CAPACITY));
}
