//! Tests of the fold, the follower and both races.

mod due;
mod fixture;
mod fold;
mod follower;
mod search;
mod stream;
mod succession;
