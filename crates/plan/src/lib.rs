//! Parser and data model of the lists that operators maintain.
//!
//! There are two lists. The account list has the client accounts, each with
//! its plan and the hashes of its API keys, and the operators with the hashes
//! of their tokens. The plan list defines what each plan may use: its weight,
//! its limits, and the models, adapters and services that its accounts may
//! call. Both lists are one TOML document and share one revision number.

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
