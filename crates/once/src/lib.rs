//! At-most-once execution of requests by idempotency keys and tickets.
//!
//! A request that may not be repeated carries an idempotency [`Key`]. Nodes
//! append [`Record`]s about keys to a log stream that is used for nothing else,
//! and fold it into a [`Table`]; the first claim or void for a key wins. A
//! [`Call`] is the state machine of one request: it appends a claim, reads it
//! back and dispatches once. While the log is unavailable, [`Tickets`] bind a
//! request to one incarnation of one node.
//!
//! The invariant: over all nodes a key is dispatched at most once, and never
//! if any caller received or will receive the verdict not-run.

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
