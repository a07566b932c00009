//! Forming replicas from engines that report themselves.
//!
//! One entry node plans for all. The engines' own entries and reports are the
//! record of what is formed, so that a [`Planner`] keeps only what it has asked
//! for and not yet seen, and a successor goes on from the reports alone.
//!
//! In each step the planner looks at every [`Engine`], gives up replicas that
//! lost a member, opens those that are complete, and forms new ones for the
//! model that needs them most, in the fabric domain where that is fastest. It
//! returns [`OutgoingOrder`]s and reads no clock.

mod begin;
mod engine;
mod formation;
mod loads;
mod need;
mod note;
mod planner;
mod replica;
mod upkeep;

pub use engine::Engine;
pub use need::Demand;
pub use note::{Event, Inputs, OutgoingOrder, Step};
pub use planner::Planner;
