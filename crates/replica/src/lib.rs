//! Replicas: assignment, watchers, orders, servability.
