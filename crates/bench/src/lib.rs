//! Load, experiments and measurements of the whole path.
