//! The planner that forms replicas from model engines.
//!
//! One entry node plans for all. The engines' entries and reports are the only record
//! of the existing replicas. A [`Planner`] keeps only the orders that do not yet show
//! in reports, so a new planner continues from the reports alone.
//!
//! In each step the planner inspects every [`Engine`], closes replicas that lost a
//! member, opens those that are complete, and forms new ones for the model that needs
//! them most, in the fabric domain where that is fastest. It returns
//! [`OutgoingOrder`]s and reads no clock.

mod demand;
mod engine;
mod event;
mod formation;
mod loads;
mod maintain;
mod planner;
mod replica;
mod sent;
mod start;

pub use demand::Demand;
pub use engine::Engine;
pub use event::{Event, Inputs, OutgoingOrder, Step};
pub use planner::Planner;
