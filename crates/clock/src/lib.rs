//! Monotonic and wall-clock time, replaceable in tests.
//!
//! Code that decides takes [`Moment`] and [`WallTime`] as arguments and never
//! reads a clock. Drivers have a [`Clock`] and read it once per event.

use std::{
    fmt,
    ops::{Add, Sub},
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A reading of a monotonic clock, in microseconds since the process started.
#[common::key]
#[derive(Default)]
#[serde(transparent)]
pub struct Moment(pub u64);

impl Moment {
    /// The moment at which the process started.
    pub const START: Self = Self(0);

    /// Returns the moment `millis` milliseconds after the start.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time until `later`; zero if `later` has passed.
    pub fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// A reading of the wall clock, in milliseconds since the Unix epoch.
#[common::key]
#[derive(Default)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Returns the time since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// A source of monotonic and wall-clock time.
#[derive(Clone)]
pub struct Clock {
    now: Arc<dyn Fn() -> Moment + Send + Sync>,
    wall: Arc<dyn Fn() -> WallTime + Send + Sync>,
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock")
            .field("now", &self.now())
            .finish_non_exhaustive()
    }
}

impl Clock {
    /// Returns a clock that calls the closures `now` and `wall`.
    pub fn new(
        now: impl Fn() -> Moment + Send + Sync + 'static,
        wall: impl Fn() -> WallTime + Send + Sync + 'static,
    ) -> Self {
        Self {
            now: Arc::new(now),
            wall: Arc::new(wall),
        }
    }

    /// Returns a clock that reads the clocks of the operating system.
    pub fn system() -> Self {
        let start = Instant::now();
        let now = move || Moment::START + start.elapsed();
        Self::new(now, system_wall_time)
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Moment {
        (self.now)()
    }

    /// Returns the wall-clock time.
    pub fn wall(&self) -> WallTime {
        (self.wall)()
    }
}

/// Returns the operating system's wall-clock time.
fn system_wall_time() -> WallTime {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
