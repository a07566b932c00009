//! The operators' lists: client accounts' plans and what each plan may use.
//!
//! Operators keep two lists. The first names the client accounts, each with
//! its plan and the hashes of its API keys, and the operators with the hashes
//! of their tokens. The second says what each plan may use: its share, its
//! limits, and the models, adapters and services open to it. Both are one
//! TOML document, so that one revision covers them.

mod lists;

pub use lists::{Account, Call, Digest, Lists, Model, Operator, Plan, Service};
