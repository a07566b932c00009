//! Tests of membership over a simulated network of member tables.

mod epoch;
mod freshness;
mod network;
mod table;
