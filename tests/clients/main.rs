//! Processes of the system beside clients that don't behave.
//!
//! Each test starts one process with small limits, and a crowd of clients that all send
//! the same, twice: what a process keeps of the first crowd must leave room for the
//! second. The process must live, stay within the memory and the descriptors of its
//! settings, as the platform counts them, and answer an ordinary request beside the crowd
//! and after it. No time and no share of served requests is judged.
//!
//! One test runs at a time.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod crowd;
mod edge;
mod entry;
mod process;

use crowd::{Crowd, Kind, Target, is_answered};
use process::Process;
use std::{net::SocketAddr, sync::LazyLock, time::Duration};
use tokio::{
    sync::{Mutex, MutexGuard},
    time::sleep,
};

/// The number of clients in a crowd.
const CROWD: usize = 1_000;

/// The number of crowds, one after the other.
const ROUNDS: usize = 2;

/// How long a crowd stays before the ordinary request, and after it.
const STAY: Duration = Duration::from_millis(1_500);

/// How long an ordinary caller tries again before the process counts as hanging.
const PATIENCE: Duration = Duration::from_secs(40);

/// An ordinary request that a crowd must not keep out.
#[derive(Debug)]
struct Ordinary {
    what: &'static str,
    address: SocketAddr,
    request: String,
}

/// The process that a crowd meets, with its limits.
#[derive(Debug)]
struct Bounds {
    process: Process,
    memory_bytes: u64,
    sockets: u64,
}

/// Waits until no other test of this program runs.
async fn turn() -> MutexGuard<'static, ()> {
    static TURN: LazyLock<Mutex<()>> = LazyLock::new(Mutex::default);
    TURN.lock().await
}

/// Lets crowds meet a process, and checks that it lives, keeps to its bounds, and answers.
async fn check(kind: Kind, target: &Target, bounds: Bounds, ordinary: &[Ordinary]) {
    check_answers(ordinary, "before the crowds").await;
    let watch = bounds.process.clone().watch();
    for _ in 0..ROUNDS {
        let crowd = Crowd::start(kind, CROWD, target);
        sleep(STAY).await;
        check_answers(ordinary, "beside a crowd").await;
        sleep(STAY).await;
        drop(crowd);
        check_answers(ordinary, "after a crowd").await;
    }
    let peak = watch.end();
    println!("{kind:?}: {peak:?}");
    assert!(
        peak.memory <= bounds.memory_bytes,
        "{kind:?}: more than {} bytes: {peak:?}",
        bounds.memory_bytes
    );
    assert!(
        peak.sockets <= bounds.sockets,
        "{kind:?}: more than {} sockets: {peak:?}",
        bounds.sockets
    );
}

/// Checks that ordinary requests are answered.
async fn check_answers(ordinary: &[Ordinary], when: &str) {
    for Ordinary {
        what,
        address,
        request,
    } in ordinary
    {
        let answered = is_answered(*address, request, PATIENCE).await;
        assert!(answered, "{what}: not answered {when}");
    }
}

/// Defines a test for each kind of crowd, which calls a function with it.
macro_rules! crowds {
    ($check:path; $($(#[$attribute:meta])* $name:ident: $argument:expr,)*) => {$(
        $(#[$attribute])*
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            $check($argument).await;
        }
    )*};
}
use crowds;
