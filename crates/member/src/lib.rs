//! Membership of entry nodes, the directory of entries, freshness.
