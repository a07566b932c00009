//! Bodies are put together from blocks, and hold their memory until they are read.

use super::{Blocks, Memory, Refusal, Whole, collect};
use crate::{
    connection::{Connection, Phase, Reason},
    memory::BLOCK_BYTES,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use std::{net::Ipv4Addr, time::Duration};

/// The budget for bodies without a known limit of the process, in bytes.
const DEFAULT_CAPACITY: usize = 32 << 20;

#[tokio::test]
async fn body_is_put_together_from_blocks() {
    let memory = Memory::new(None);
    let sent: Vec<u8> = (0..3 * BLOCK_BYTES + 100).map(|n| n as u8).collect();
    for piece_length in [1_000, BLOCK_BYTES, sent.len()] {
        let mut blocks = Blocks::new(&memory);
        for piece in sent.chunks(piece_length) {
            assert!(blocks.push(piece, sent.len(), &|_| true).await);
        }
        let Whole {
            bytes: whole,
            reservation,
        } = blocks.into_upload().into();
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
        assert!(blocks.push(&[n as u8], 0, &|_| true).await);
    }
    assert!(blocks.blocks.len() <= 5, "{} blocks", blocks.blocks.len());
    assert_eq!(blocks.into_upload().len(), 20_000);
}

/// Guards against giving the memory of a response back while a slow caller still reads it.
#[tokio::test]
async fn memory_of_a_response_is_held_until_it_is_read() {
    let memory = Memory::new(None);
    let length = DEFAULT_CAPACITY;
    let mut reservation = memory.reserve();
    assert!(reservation.resize(length));
    let mut body = Whole {
        bytes: Bytes::from(vec![7; length]),
        reservation,
    };
    let first = body.frame().await.expect("a piece").expect("no error");
    let read = first.into_data().expect("data").len();
    let mut other = memory.reserve();
    assert!(!other.resize(read + 1));
    assert!(other.resize(read));
    let rest = body.collect().await.expect("no error").to_bytes();
    assert_eq!(rest.len() + read, length);
}

/// Guards against running a request whose connection is being closed: its client would
/// lose the response.
#[tokio::test]
async fn body_of_a_connection_that_is_being_closed_is_refused() {
    struct Case {
        phase: Phase,
        is_refused: bool,
    }
    let case = |phase, is_refused| Case { phase, is_refused };
    let cases = [
        case(Phase::Head, true),
        case(Phase::Body, true),
        case(Phase::Waiting, true),
        // A request that runs is not closed.
        case(Phase::Busy, false),
    ];
    for case in cases {
        let connection = Connection::new(Ipv4Addr::LOCALHOST.into());
        connection.enter(case.phase);
        connection.close(Reason::Memory);
        let body = Full::new(Bytes::from_static(b"whole"));
        let memory = Memory::new(None);
        let time = Duration::from_secs(60);
        let collected = collect(&memory, Some(&connection), body, 10, time).await;
        assert_eq!(
            collected.err(),
            case.is_refused.then_some(Refusal::TooSlow),
            "{:?}",
            case.phase
        );
    }
}
