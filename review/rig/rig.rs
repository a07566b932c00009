//! Test rig of the review: entry nodes as processes between small stand-ins.
//!
//! The stand-ins follow the platform's pages: a log store, backend servers, model engines in
//! groups, and clients. Each case is one function; see `cases.rs`. The rig uses the standard
//! library only, so that `rustc` alone builds it.

mod cases;
mod engine;
mod group;
mod http;
mod node;
mod proxy;
mod store;

use std::{
    env,
    fs::File,
    io::Write,
    path::PathBuf,
    process::exit,
    sync::{
        Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A case that takes longer could not run.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// What a case found.
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

/// The start of the run, and its record.
struct Run {
    start: Instant,
    record: Mutex<File>,
}

static RUN: OnceLock<Run> = OnceLock::new();
static RANDOM: AtomicU64 = AtomicU64::new(0);

/// Returns the seconds since the start.
pub fn seconds() -> f64 {
    RUN.get().map_or(0.0, |run| run.start.elapsed().as_secs_f64())
}

/// Writes a line to the record, with the time since the start.
pub fn note(text: &str) {
    if let Some(run) = RUN.get() {
        let mut record = run.record.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(record, "{:9.3} {text}", seconds());
    }
}

/// Sleeps until a number of seconds after the start.
pub fn sleep_until(at: f64) {
    let left = at - seconds();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

/// Returns the Unix time in milliseconds.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Returns a number that is unique in this run.
pub fn unique() -> u64 {
    RANDOM.fetch_add(1, Ordering::Relaxed)
}

/// Ends all nodes, and then the rig.
pub fn finish(outcome: &Outcome) -> ! {
    node::end_all();
    let (word, code) = match outcome {
        Outcome::Held => ("held", 0),
        Outcome::Broken => ("BROKEN", 1),
        Outcome::NotRun => ("could not run", 2),
    };
    note(&format!("result: {word}"));
    println!("{word}");
    exit(code)
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, program, record] = &arguments[..] else {
        eprintln!("usage: rig CASE PROGRAM RECORD (TROUBLE=0 leaves the disruption out)");
        exit(2)
    };
    let file = match File::create(record) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("{record}: {error}");
            exit(2)
        }
    };
    let run = Run {
        start: Instant::now(),
        record: Mutex::new(file),
    };
    let _ = RUN.set(run);
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        note("the time limit passed");
        finish(&Outcome::NotRun)
    });
    note(&format!("case {case}, disruption: {has_trouble}"));
    let program = PathBuf::from(program);
    // A panic of the case must not leave nodes behind.
    let name = case.clone();
    let result = thread::spawn(move || cases::run(&name, &program, has_trouble)).join();
    finish(&result.unwrap_or(Outcome::NotRun))
}
