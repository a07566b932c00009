//! The operators' lists: client accounts' plans and what each plan may use.
//!
//! Operators keep two lists. The first names the client accounts, each with
//! its plan and the hashes of its API keys, and the operators with the hashes
//! of their tokens. The second says what each plan may use: its share, its
//! limits, and the models, adapters and services open to it. Both are one
//! TOML document, so that one revision covers them.

mod difference;
mod error;
mod lists;
mod parse;
mod read;
mod secret;

pub use difference::{Difference, difference};
pub use error::{Error, Errors};
pub use lists::{Account, Call, Digest, Lists, Model, Operator, Plan, Service};
pub use parse::{MAX_REPLICA_MEMBERS, MAX_TEXT_BYTES, MAX_WEIGHT, parse};
pub use secret::digest;
