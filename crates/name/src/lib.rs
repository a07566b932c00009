//! Names and identifiers shared by all crates.
//!
//! Names are shared immutable strings that are assigned by operators and the
//! platform. Identifiers are numbers that this system generates. Both are
//! ordered and hashed by value, so they can be keys of maps.

mod hash;
mod id;
mod text;

pub use hash::{rendezvous_rank, rendezvous_score};
pub use id::{Attempt, Generation, Incarnation, Offset, Sequence};
pub use text::{
    Account, Class, Domain, Fabric, Instance, Invalid, Model, Node, Region, Replica, Service,
};
