//! Admission: slots, warmth, fair shares, bounded queues.
