//! Withholds requests that crash backend servers.
//!
//! A server that crashes interrupts all its running requests. Each of them may be the
//! cause, as a whole or, if its answer had just begun, by a part of its prompt that other
//! requests share. So the crash is added to the history of each such [`Part`]. An answer
//! that goes on past its beginning clears the shared parts, and a complete one the whole
//! request. A history is a set of crashes that only grows, so nodes can exchange them in
//! any order and repeatedly, and reach the same result ([`Table`]).
//!
//! A part that explains several crashes is quarantined, and these crashes no longer count
//! for other parts ([`Table::assess`]). Before that, the requests below a crash are sent
//! again at different times, each of them at one server, so that the next crash tells the
//! cause from the others and no request crashes several servers at once. The more crashes
//! a part explains, the more seldom all nodes together send a request with it
//! ([`trial_interval`]). A quarantined part can only be cleared by such a trial, for
//! example after a new release of a model, or by an operator.

mod digest;
mod history;
mod pace;
mod sound;
mod table;

pub use digest::{Part, Server};
pub use history::MAX_SERVERS;
pub use pace::{Level, trial_interval};
pub use table::{Change, CrashRecord, MAX_PARTS, Record, Refusal, Table, Treated};
