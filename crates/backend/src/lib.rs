//! Clients of model engines, plain services, the weight store and the
//! instance list.
//!
//! [`proto`] holds the published protocols that these systems speak: JSON over
//! HTTP/1.1. Nothing of this system runs on their instances.

pub mod proto;
