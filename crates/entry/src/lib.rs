//! The entry node: callers' API, peers, and the drivers of every decision.
