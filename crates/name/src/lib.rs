//! Names and identifiers shared by every area.
//!
//! Names are shared immutable strings that operators and the platform choose.
//! Identifiers are numbers that this system makes. Both order and hash by
//! value, so they serve as keys in every table.

mod hash;
mod id;
mod text;

pub use hash::{rendezvous_rank, rendezvous_score};
pub use id::{Attempt, Generation, Incarnation, Offset, Sequence};
pub use text::{
    Account, Class, Domain, Fabric, Instance, Invalid, Model, Node, Region, Replica, Service,
};
