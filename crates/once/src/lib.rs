//! At most once: claims, tickets, outcomes.
