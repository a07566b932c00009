//! Slots: the right to one request in progress at one server.
//!
//! Each server has numbered slots. [`Ownership`] gives each slot to one entry
//! node by rendezvous hashing over the epoch's peers, so that no message is
//! needed for a request and the sum over all nodes is bounded in any outage.
//! A [`Gate`] holds the slots that one node owns at one server and decides how
//! many of them are open.
//!
//! The bound is exact for a server that turns cold by a restart: slots below
//! the cold limit may be sent to any life of the server, and the others only
//! over a connection on which the permit's boot id was seen, which a restart
//! breaks. A server that turns cold without a restart keeps what it already
//! has in progress; from the next [`CapacityReport`] on, nothing is added until that
//! is below the cold share.

mod gate;
mod ownership;
mod warmth;

pub use gate::{Completion, Ending, Gate, Permit, Timing};
pub use ownership::Ownership;
pub use warmth::CapacityReport;
