//! One account of the memory and the descriptors that a process uses for its clients.
//!
//! Clients are not trusted to finish what they begin. A [`Budget`] divides the limits of
//! a process into parts:
//!
//! - a reserve for the program, its tables, and its connections to the store, the backend
//!   servers and other nodes, which clients cannot use,
//! - connections of clients, each charged for all that it may hold: the buffers of its
//!   protocol, one head, and the kernel's receive queue, whose size [`listener`] fixes,
//! - bodies of requests and responses, by [`Memory`] and its reservations.
//!
//! [`http::serve`] serves a connection whose state ([`Connection`]) is kept in the
//! budget's table. If a part is used up, [`table::closable`] selects what is closed: heads
//! and bodies that have stalled, then idle connections, of the address with the most
//! connections first. A request that is complete is never closed.
//!
//! [`body::collect`] reads the body of a request within the budget.

pub mod body;
mod budget;
mod connection;
pub mod http;
pub mod listener;
mod memory;
pub mod table;

pub use budget::{Budget, Closed, Limits, Port, Ticket, Timeouts};
pub use connection::{Connection, Phase, Reason};
pub use memory::{Memory, Reservation};
