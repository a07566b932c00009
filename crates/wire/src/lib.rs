//! Messages between entry nodes and their conversions.
