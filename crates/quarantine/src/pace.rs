//! How often requests with an accused part are let through.

use std::time::Duration;

/// The number of ends from which a part takes the blame for them.
///
/// Two ends may coincide with a sound part that is seldom used.
pub(crate) const BLAMED_FROM: u32 = 3;

/// The number of ends from which a part that was sound before is accused.
///
/// Answers on such a part clear it within moments unless it has changed.
pub(crate) const FORMERLY_SOUND_FROM: u32 = 4;

/// The trial interval after the first end, and after the second.
const SUSPECT_INTERVALS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(500)];

/// The first trial interval of a part that takes the blame.
const BLAMED_INTERVAL: Duration = Duration::from_secs(600);

/// The longest trial interval.
const MAX_INTERVAL: Duration = Duration::from_secs(24 * 3_600);

/// How an accused part is treated.
#[common::plain]
#[derive(Copy, Eq)]
pub enum Level {
    /// Requests with the part are sent.
    Free,
    /// The part may have ended servers.
    Suspected,
    /// The part takes the blame for the ends of servers.
    Blamed,
}

/// Returns the mean time between two requests with a part that all nodes together let
/// through; `None` if there is no limit.
///
/// `ends` is the number of ends that the part explains, and `was_sound` whether answers
/// on it went on past their beginning before.
pub fn trial_interval(ends: u32, was_sound: bool) -> Option<Duration> {
    if was_sound {
        let steps = ends.checked_sub(FORMERLY_SOUND_FROM)?;
        let factor = 4_u32.checked_pow(steps).unwrap_or(u32::MAX);
        let interval = SUSPECT_INTERVALS[1].saturating_mul(factor);
        return Some(interval.min(MAX_INTERVAL));
    }
    match ends {
        0 => None,
        1 | 2 => Some(SUSPECT_INTERVALS[ends as usize - 1]),
        _ => {
            let factor = 2_u32.checked_pow(ends - BLAMED_FROM).unwrap_or(u32::MAX);
            Some(BLAMED_INTERVAL.saturating_mul(factor).min(MAX_INTERVAL))
        }
    }
}

/// Returns the level of a part.
pub(crate) fn level(ends: u32, was_sound: bool) -> Level {
    let blamed_from = if was_sound {
        FORMERLY_SOUND_FROM
    } else {
        BLAMED_FROM
    };
    match trial_interval(ends, was_sound) {
        None => Level::Free,
        Some(_) if ends >= blamed_from => Level::Blamed,
        Some(_) => Level::Suspected,
    }
}
