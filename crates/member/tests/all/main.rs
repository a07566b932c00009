//! The tests of membership, over one small network of tables.

mod epoch;
mod freshness;
mod network;
mod table;
