//! Withholds requests whose prompts share a part that ends backend servers.
//!
//! A server that ends takes all its running requests along. Requests whose answers had
//! just begun are suspects: each of their shared parts is *accused* of the end. A part
//! is *cleared* of it by an answer that goes on past its beginning. Evidence is a set
//! that only grows, so nodes can exchange it in any order and as often as they like,
//! and reach the same result ([`Table`]).
//!
//! A part that explains several ends takes the blame for them, and parts that were
//! accused beside it go free ([`Table::assess`]). The more ends a part explains, the
//! more seldom all nodes together let a request with it through ([`trial_interval`]).
//! Such trials are the only way in which a part can be cleared later, for example
//! after a new release of a model.

mod case;
mod digest;
mod pace;
mod sound;
mod table;

pub use case::MAX_SERVERS;
pub use digest::{Part, Server};
pub use pace::{Level, trial_interval};
pub use table::{Change, MAX_CASES, Record, Refusal, Table};
