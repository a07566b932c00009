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

mod demand;
mod engine;
mod event;
mod formation;
mod loads;
mod maintain;
mod planner;
mod replica;
mod start;

pub use demand::Demand;
pub use engine::Engine;
pub use event::{Event, Inputs, OutgoingOrder, Step};
pub use planner::Planner;
