//! Request handling: admission, slots, attempts, forwarding and delivery.

pub(crate) mod accounts;
pub(crate) mod attempt;
pub(crate) mod call;
pub(crate) mod claims;
pub(crate) mod delivery;
pub(crate) mod draft;
pub(crate) mod evidence;
pub(crate) mod forward;
pub(crate) mod job;
pub(crate) mod keyed;
pub(crate) mod queue;
pub(crate) mod servers;
pub(crate) mod slot;
