//! How often requests with a suspected part are sent.

use crate::{Part, Server};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of crashes from which a part is quarantined.
///
/// Two crashes may coincide with a sound part that is seldom used.
pub(crate) const QUARANTINED_FROM: u32 = 3;

/// The number of crashes from which a part that had sound answers is quarantined.
///
/// An answer on such a part clears it soon, unless the part no longer works.
pub(crate) const FORMERLY_SOUND_FROM: u32 = 4;

/// The longest delay before a whole request is sent again after its first crash.
const FIRST_TRIAL_SPREAD: Duration = Duration::from_millis(200);

/// The delay before a whole request is sent again after its second crash.
///
/// It lets the first servers start again, since three crashes of one cause can be all
/// servers of a service.
pub(crate) const SECOND_TRIAL_DELAY: Duration = Duration::from_secs(2);

/// The time after which a crash does not count as caused by the beginning of a request.
///
/// A request that ran longer is sent again without a delay.
const EARLY_CRASH_TIME: Duration = Duration::from_millis(500);

/// The trial intervals after the first and the second crash.
///
/// Whole requests wait after the first crash as [`first_trial_delay`] has it.
const SUSPECT_INTERVALS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(500)];

/// The first trial interval of a quarantined part.
const QUARANTINE_INTERVAL: Duration = Duration::from_secs(600);

/// The longest trial interval.
const MAX_INTERVAL: Duration = Duration::from_secs(24 * 3_600);

/// How requests with a part are treated.
#[common::plain]
#[derive(Copy, Eq)]
pub enum Level {
    /// Requests are sent.
    Allowed,
    /// The part may crash servers; requests are sent at short intervals.
    Suspected,
    /// The part explains several crashes; requests are sent at long intervals.
    Quarantined,
}

/// Returns the mean time between two requests with a part that all nodes together
/// send; `None` if there is no limit.
///
/// `crashes` is the number of crashes that the part explains, and `was_sound` whether answers
/// on it went on past their beginning before.
pub fn trial_interval(crashes: u32, was_sound: bool) -> Option<Duration> {
    if was_sound {
        let steps = crashes.checked_sub(FORMERLY_SOUND_FROM)?;
        let factor = 4_u32.checked_pow(steps).unwrap_or(u32::MAX);
        let interval = SUSPECT_INTERVALS[1].saturating_mul(factor);
        return Some(interval.min(MAX_INTERVAL));
    }
    match crashes {
        0 => None,
        1 | 2 => Some(SUSPECT_INTERVALS[crashes as usize - 1]),
        _ => {
            let factor = 2_u32
                .checked_pow(crashes - QUARANTINED_FROM)
                .unwrap_or(u32::MAX);
            Some(QUARANTINE_INTERVAL.saturating_mul(factor).min(MAX_INTERVAL))
        }
    }
}

/// Returns the delay before a whole request is sent again after its first crash, of
/// `server` after it had worked on the request for `run`.
///
/// It is the same at all nodes, and differs between the requests below a crash, so that
/// the next crash tells which of them is the cause.
pub(crate) fn first_trial_delay(request: Part, server: Server, run: Duration) -> Duration {
    if run >= EARLY_CRASH_TIME {
        return Duration::ZERO;
    }
    let hash = xxh3_64_with_seed(&request.digest().to_be_bytes(), server.0);
    FIRST_TRIAL_SPREAD.mul_f64(hash as f64 / u64::MAX as f64)
}

/// Returns the level of a part.
pub(crate) fn level(crashes: u32, was_sound: bool) -> Level {
    let quarantined_from = if was_sound {
        FORMERLY_SOUND_FROM
    } else {
        QUARANTINED_FROM
    };
    match trial_interval(crashes, was_sound) {
        None => Level::Allowed,
        Some(_) if crashes >= quarantined_from => Level::Quarantined,
        Some(_) => Level::Suspected,
    }
}
