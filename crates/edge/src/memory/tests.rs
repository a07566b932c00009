//! Reservations never exceed the budget, and are given back.

use super::{BLOCK_BYTES, Blocks, DEFAULT_CAPACITY, Memory, SHORT_BODY_BYTES, WholeBody};
use bytes::Bytes;
use http_body_util::BodyExt;
use std::time::Duration;
use tokio::time::timeout;

#[test]
fn reservations_share_the_capacity() {
    let memory = Memory::new(None);
    let mut first = memory.reserve();
    let mut second = memory.reserve();
    assert!(first.resize(DEFAULT_CAPACITY - 10));
    assert!(second.resize(10));
    assert!(!second.resize(11));
    assert!(first.resize(0));
    assert!(second.resize(DEFAULT_CAPACITY));
    drop(second);
    assert!(first.resize(DEFAULT_CAPACITY));
}

/// Guards against bodies that take a machine over its memory: it is then killed with all
/// that it has accepted.
#[test]
fn budget_leaves_memory_for_the_program_and_short_bodies() {
    struct Case {
        what: &'static str,
        limit: u64,
        /// Megabytes in use.
        used: usize,
        length: usize,
        is_refused: bool,
    }
    let cases = [
        Case {
            what: "long bodies of usual traffic",
            limit: 260 << 20,
            used: 90,
            length: 4_000_000,
            is_refused: false,
        },
        Case {
            what: "a long body in a burst of them",
            limit: 260 << 20,
            used: 112,
            length: 4_000_000,
            is_refused: true,
        },
        Case {
            what: "a short body in such a burst",
            limit: 260 << 20,
            used: 132,
            length: 21,
            is_refused: false,
        },
        Case {
            what: "a long body at a small machine",
            limit: 160_000_000,
            used: 50,
            length: 4_000_000,
            is_refused: true,
        },
    ];
    for case in cases {
        let memory = Memory::new(Some(case.limit));
        let mut reservation = memory.reserve();
        reservation.charge(case.used << 20);
        assert_eq!(
            memory.refuses_body(case.length),
            case.is_refused,
            "{}",
            case.what
        );
        assert!(memory.capacity as u64 + (64 << 20) < case.limit);
    }
}

/// Guards against failing a body that is being read while others are about to end.
#[tokio::test]
async fn body_waits_for_memory_that_another_gives_back() {
    let memory = Memory::new(None);
    let mut held = memory.reserve();
    assert!(held.resize(DEFAULT_CAPACITY - SHORT_BODY_BYTES / 2));
    let mut waiting = memory.reserve();
    let growing = waiting.grow_body(BLOCK_BYTES);
    tokio::pin!(growing);
    assert!(
        timeout(Duration::from_millis(20), growing.as_mut())
            .await
            .is_err()
    );
    drop(held);
    assert!(growing.await);
    let mut rest = memory.reserve();
    assert!(!rest.resize(DEFAULT_CAPACITY));
}

#[tokio::test]
async fn body_is_put_together_from_blocks() {
    let memory = Memory::new(None);
    let sent: Vec<u8> = (0..3 * BLOCK_BYTES + 100).map(|n| n as u8).collect();
    for piece_length in [1_000, BLOCK_BYTES, sent.len()] {
        let mut blocks = Blocks::new(&memory);
        for piece in sent.chunks(piece_length) {
            assert!(blocks.push(piece, sent.len()).await);
        }
        let (whole, reservation) = blocks.into_bytes();
        assert_eq!(whole, sent, "pieces of {piece_length} bytes");
        let mut rest = memory.reserve();
        assert!(!rest.resize(DEFAULT_CAPACITY - sent.len() + 1));
        drop(reservation);
        assert!(rest.resize(DEFAULT_CAPACITY));
    }
}

/// Guards against a block for each chunk of a body without a known length: a caller with
/// chunks of one byte used many times the memory that was counted.
#[tokio::test]
async fn small_chunks_share_blocks() {
    let memory = Memory::new(None);
    let mut blocks = Blocks::new(&memory);
    for n in 0..20_000 {
        assert!(blocks.push(&[n as u8], 0).await);
    }
    assert!(blocks.blocks.len() <= 5, "{} blocks", blocks.blocks.len());
    let (whole, _) = blocks.into_bytes();
    assert_eq!(whole.len(), 20_000);
}

/// Guards against giving the memory of a response back while a slow caller still reads it.
#[tokio::test]
async fn memory_of_a_response_is_held_until_it_is_read() {
    let memory = Memory::new(None);
    let length = DEFAULT_CAPACITY;
    let mut reservation = memory.reserve();
    assert!(reservation.resize(length));
    let mut body = WholeBody::new(Bytes::from(vec![7; length]), reservation);
    let first = body.frame().await.expect("a piece").expect("no error");
    let read = first.into_data().expect("data").len();
    let mut other = memory.reserve();
    assert!(!other.resize(read + 1));
    assert!(other.resize(read));
    let rest = body.collect().await.expect("no error").to_bytes();
    assert_eq!(rest.len() + read, length);
}
