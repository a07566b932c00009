//! The interface between entry nodes and the platform of a deployment.
//!
//! A [`Platform`] is a plain struct of closures: it reads the feeds of the platform's
//! store, sends orders to engines, and translates requests and responses. Everything
//! that crosses it is a type of this crate, so the code behind it depends on no name
//! or format of the platform.

pub mod call;
pub mod config;
pub mod feed;
#[cfg(feature = "test-util")]
pub mod fixture;
pub mod node;
pub mod order;
pub mod platform;
pub mod quarantine;
pub mod server;
pub mod settings;

pub use call::CallerRequest;
pub use config::Config;
pub use platform::Platform;
pub use server::Server;
pub use settings::Settings;
