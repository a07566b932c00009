//! Measures the resident memory of values.

use std::{fs, hint::black_box};

/// The size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// Returns the resident bytes that each of `count` values takes.
pub fn bytes_per_value<T>(count: usize, make: impl Fn() -> T) -> f64 {
    let before = resident_bytes();
    let held: Vec<T> = (0..count).map(|_| make()).collect();
    let after = resident_bytes();
    // Leaked, since reuse of freed memory would hide growth in the next measurement.
    std::mem::forget(black_box(held));
    (after - before).max(0.0) / count as f64
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
