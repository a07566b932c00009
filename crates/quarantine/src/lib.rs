//! Withholds requests whose prompts share a part that crashes backend servers.
//!
//! A server that crashes interrupts all its running requests. If the answer of a request
//! had just begun, each shared part of its prompt may be the cause, so the crash is added
//! to the history of each. An answer that goes on past its beginning clears the history.
//! A history is a set of crashes that only grows, so nodes can exchange them in any order
//! and repeatedly, and reach the same result ([`Table`]).
//!
//! A part that explains several crashes is quarantined, and these crashes no longer count
//! for other parts ([`Table::assess`]). The more crashes a part explains, the more seldom
//! all nodes together send a request with it ([`trial_interval`]). A quarantined part can
//! only be cleared by such a trial, for example after a new release of a model.

mod digest;
mod history;
mod pace;
mod sound;
mod table;

pub use digest::{Part, Server, request_digest};
pub use history::MAX_SERVERS;
pub use pace::{Level, trial_interval};
pub use table::{Change, MAX_PARTS, Record, Refusal, Table};
