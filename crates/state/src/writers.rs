//! The last folded sequence number of each writer, for deduplication.

use crate::Writer;
use name::{Offset, Sequence};
use std::collections::BTreeMap;

/// The distance, in offsets, after which an inactive writer is removed.
///
/// A repeated record that arrives later than this is checked by its base
/// revision only.
pub const RETRY_HORIZON_OFFSETS: u64 = 65_536;

/// The maximum number of tracked writers.
pub const MAX_WRITERS: usize = 2_048;

/// The interval, in offsets, at which inactive writers are removed.
const PRUNE_INTERVAL_OFFSETS: u64 = 1_024;

/// The position of a writer's last folded record.
#[common::key]
#[derive(Default)]
pub struct WriterPosition {
    /// The record's offset.
    pub offset: Offset,
    /// The record's sequence number.
    pub sequence: Sequence,
}

/// Records a sequence number; returns whether it is new.
///
/// Lower sequence numbers count as repeats even if they never arrived: a writer
/// abandons a record only by appending a later one.
pub(crate) fn record(
    writers: &mut BTreeMap<Writer, WriterPosition>,
    writer: Writer,
    sequence: Sequence,
    offset: Offset,
) -> bool {
    let last = writers.get(&writer).copied().unwrap_or_default();
    if sequence <= last.sequence {
        return false;
    }
    if !writers.contains_key(&writer) && writers.len() >= MAX_WRITERS {
        let oldest = writers.iter().min_by_key(|(_, position)| position.offset);
        if let Some(oldest) = oldest.map(|(writer, _)| *writer) {
            writers.remove(&oldest);
        }
    }
    writers.insert(writer, WriterPosition { offset, sequence });
    true
}

/// Removes writers beyond the retry horizon.
///
/// Depends on the offset alone, so that every node removes the same writers at
/// the same offset, regardless of which records it folded and which snapshots
/// it installed.
pub(crate) fn prune(writers: &mut BTreeMap<Writer, WriterPosition>, offset: Offset) {
    if offset.0.is_multiple_of(PRUNE_INTERVAL_OFFSETS) {
        writers.retain(|_, position| offset.0 - position.offset.0 <= RETRY_HORIZON_OFFSETS);
    }
}
