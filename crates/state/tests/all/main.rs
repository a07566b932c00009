//! Tests of the fold, the follower and both races.

mod due;
mod fold;
mod follower;
mod make;
mod search;
mod stream;
mod succession;
