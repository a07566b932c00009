//! At most once: claims, tickets, outcomes.
//!
//! A request that may not be repeated carries a [`Key`]. The nodes append
//! [`Record`]s about keys to a log stream of their own and fold it into a
//! [`Table`]; the first claim or void for a key wins. A [`Call`] carries one
//! request through: it appends a claim, reads it back and dispatches once.
//! While the log is down, [`Tickets`] bind a request to one life of one node.
//!
//! The invariant: over all nodes a key is dispatched at most once, and never
//! if any caller was or will be told that it was not run.

mod batch;
mod call;
mod key;
mod record;
mod response;
mod table;
mod ticket;

pub use batch::Batch;
pub use call::{Action, AppendResult, Call, CallResult, Event, Limits, Request};
pub use key::{Digest, Key, Position, Window, partition};
pub use record::{ClaimId, DecodeError, Record};
pub use response::Response;
pub use table::{Bounds, KeyState, Table};
pub use ticket::{Destination, Quota, Start, Ticket, Tickets};
