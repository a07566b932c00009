//! Tests of the fold, the follower, snapshot scheduling and races between
//! writers.

mod due;
mod fixture;
mod fold;
mod follower;
mod search;
mod stream;
mod succession;
