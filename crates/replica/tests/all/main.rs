//! Tests of the decisions on replicas.

mod fixture;
mod orders;
mod policy;
mod propose;
mod replay;
mod serve;
