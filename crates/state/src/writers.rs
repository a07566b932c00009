//! The highest sequence folded from each writer, within a retry horizon.

use crate::Writer;
use name::{Offset, Sequence};
use std::collections::BTreeMap;

/// How far behind, in offsets, a writer's last record may lie before the
/// writer is forgotten.
///
/// A repeat that lands further behind than this is judged by its base alone.
pub const RETRY_HORIZON: u64 = 65_536;

/// The most writers that are remembered.
pub const MAX_WRITERS: usize = 2_048;

/// How often, in offsets, forgotten writers are removed.
const PRUNE_INTERVAL_RECORDS: u64 = 1_024;

/// A writer's last folded record.
#[common::key]
#[derive(Default)]
pub struct WriterPosition {
    /// The record's offset.
    pub offset: Offset,
    /// The record's sequence.
    pub sequence: Sequence,
}

/// Notes a record, unless it is a repeat; returns whether it is new.
///
/// Sequences below a folded one count as repeats even if they never arrived:
/// a writer gives up a record only by going on to a later one.
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

/// Removes writers beyond the horizon.
///
/// Depends on the offset alone, so that every node removes the same ones at
/// the same offset, whatever it folded or adopted before.
pub(crate) fn prune(writers: &mut BTreeMap<Writer, WriterPosition>, offset: Offset) {
    if offset.0.is_multiple_of(PRUNE_INTERVAL_RECORDS) {
        writers.retain(|_, position| offset.0 - position.offset.0 <= RETRY_HORIZON);
    }
}
