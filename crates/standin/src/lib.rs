//! Small fakes of the systems outside, with fault switches.
