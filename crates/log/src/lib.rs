//! Client of the platform's append-only log service.

pub mod proto;
