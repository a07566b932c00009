//! Commands that inject faults and clear them.

use crate::{Faults, Mode};
use name::{Domain, Instance};
use std::net::IpAddr;

/// A group of servers that clients can be partitioned from.
#[common::value]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// The backend servers of a failure domain.
    Domain(Domain),
    /// The log service.
    Log,
    /// The instance list.
    Instances,
    /// The weight store.
    Weights,
}

/// A command that injects a fault or clears it.
#[common::value]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Restarts a backend server: new boot ID, cold, in no replica.
    Restart {
        /// The instance.
        instance: Instance,
        /// Whether the weights stay loaded.
        keep_weights: bool,
    },
    /// Sets how a backend server treats connections.
    ///
    /// Leaving [`Mode::Refuse`] restarts the server.
    Mode {
        /// The instance.
        instance: Instance,
        /// How it treats connections.
        mode: Mode,
    },
    /// Makes a backend server cold without a restart.
    Cool {
        /// The instance.
        instance: Instance,
    },
    /// Makes a backend server warm immediately, or keeps it cold.
    Warm {
        /// The instance.
        instance: Instance,
        /// Whether it is warm.
        warm: bool,
    },
    /// Sets the fault switches of a backend server.
    Faults {
        /// The instance.
        instance: Instance,
        /// The switches; omitted ones are set to their defaults.
        faults: Faults,
    },
    /// Sets how all backend servers of a failure domain treat connections.
    Domain {
        /// The failure domain.
        domain: Domain,
        /// How they treat connections.
        mode: Mode,
    },
    /// Partitions a place from the clients at one address, or heals the partition.
    ///
    /// Loopback has many addresses, so entry nodes on one machine are distinguished
    /// by the address that they connect from.
    Part {
        /// The address that the clients connect from.
        from: IpAddr,
        /// The servers that they can't reach.
        to: Place,
        /// Whether the partition is in effect.
        parted: bool,
    },
    /// Marks an instance as leaving in the instance list, or removes it.
    Retire {
        /// The instance.
        instance: Instance,
        /// Whether to remove it.
        remove: bool,
    },
    /// Adds an instance to the instance list again.
    List {
        /// The instance.
        instance: Instance,
    },
    /// Sets the faults of the log service.
    Log {
        /// How it treats connections.
        mode: Mode,
        /// The delay of every response, in milliseconds.
        slow_ms: u64,
        /// The number of next appends that are stored but not acknowledged.
        lose_acknowledgements: u32,
    },
    /// Drops the records of a stream up to an offset.
    Expire {
        /// The stream.
        stream: String,
        /// The last offset to drop.
        to: u64,
    },
    /// Sets how the instance list treats connections.
    Instances {
        /// How it treats connections.
        mode: Mode,
    },
    /// Sets how the weight store treats connections and weight loads.
    Weights {
        /// How it treats connections.
        mode: Mode,
    },
}
