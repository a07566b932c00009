//! Measures full, delta and digest exchange at 9 and 340 nodes.
//!
//! Bytes are those that a node sends and receives, estimated for Protocol
//! Buffers messages without transport. Processor time covers building and
//! applying heartbeats and suspicion, without encoding or transport.

use clock::Moment;
use member::{Exchange, Settings};
use network::Network;
use std::time::{Duration, Instant};

#[path = "../tests/all/network.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod network;

/// The measured time in seconds, with one heartbeat each.
const MEASURED_SECONDS: usize = 60;

fn main() {
    println!(
        "nodes exchange restart_every_s bytes_per_node_s bytes_per_exchange cpu_us_per_node_s"
    );
    for count in [9, 340] {
        for exchange in [Exchange::Full, Exchange::Delta, Exchange::Digest] {
            // 400 restarts a day are one in 216 s; one every 10 s simulates a
            // bad hour.
            for every in [None, Some(10), Some(1)] {
                measure(count, exchange, every);
            }
        }
    }
}

/// Prints the costs of one exchange method at one cluster size.
fn measure(count: usize, exchange: Exchange, every: Option<usize>) {
    let settings = Settings {
        exchange,
        ..Settings::default()
    };
    let mut network = Network::from_epoch(count, settings);
    network.run(30);
    assert!(network.now() > Moment::START);
    network.reset_counts();
    let mut spent = Duration::ZERO;
    for second in 0..MEASURED_SECONDS {
        if every.is_some_and(|every| second % every == 0) {
            let at = (second * 7) % count;
            network.stop(at);
            network.start(at);
        }
        let start = Instant::now();
        network.run(1);
        spent += start.elapsed();
    }
    let bytes = network.bytes_per_node(MEASURED_SECONDS);
    let calls = network.calls_per_node(MEASURED_SECONDS).max(1);
    let micros = spent.as_micros() / (MEASURED_SECONDS * count) as u128;
    let every = every.map_or("never".to_owned(), |every| every.to_string());
    println!(
        "{count} {exchange:?} {every} {bytes} {} {micros}",
        100 * bytes / calls
    );
}
