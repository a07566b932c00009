//! Detection of the epoch that the current one replaced.

use crate::{Change, Event, Outcome};
use name::Offset;

/// Returns the epoch that the last of `events` replaced, if it is `current`.
///
/// Returns `None` if several epochs were folded at once or a snapshot was
/// installed: a slot may have had another owner in between.
pub fn replaced_epoch(events: &[Event], current: Offset) -> Option<Offset> {
    let mut bases = events.iter().filter_map(accepted_base);
    let base = bases.next()?;
    let is_only = bases.next().is_none();
    (is_only && base == current).then_some(base)
}

/// Returns the base of an accepted epoch record.
fn accepted_base(event: &Event) -> Option<Offset> {
    let Event::Folded {
        record: Some(record),
        outcome: Outcome::Accepted,
        ..
    } = event
    else {
        return None;
    };
    match &record.change {
        Change::Epoch { base, .. } => Some(*base),
        _ => None,
    }
}
