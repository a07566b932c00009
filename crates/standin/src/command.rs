//! Commands that bring about faults and undo them.

use crate::{Faults, Mode};
use name::{Domain, Instance};
use std::net::IpAddr;

/// A part of the world that clients can be parted from.
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

/// A command that brings about a fault or undoes it.
#[common::value]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Restarts a backend server: another boot id, cold, in no replica.
    Restart {
        /// The instance.
        instance: Instance,
        /// Whether weights stay loaded.
        keep_weights: bool,
    },
    /// Sets how a backend server treats connections.
    ///
    /// One that refused has restarted when it serves again.
    Mode {
        /// The instance.
        instance: Instance,
        /// How it treats connections.
        mode: Mode,
    },
    /// Turns a backend server cold without a restart.
    Cool {
        /// The instance.
        instance: Instance,
    },
    /// Warms a backend server up at once, or keeps it cold.
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
        /// The switches; those not named are as at the start.
        faults: Faults,
    },
    /// Sets how all backend servers of a failure domain treat connections.
    Domain {
        /// The failure domain.
        domain: Domain,
        /// How they treat connections.
        mode: Mode,
    },
    /// Parts a place from the clients at one address, or joins them again.
    ///
    /// Loopback has many addresses, so that entry nodes on one machine can be
    /// told apart by the address that they connect from.
    Part {
        /// The address that the clients connect from.
        from: IpAddr,
        /// What they are parted from.
        to: Place,
        /// Whether they are parted.
        parted: bool,
    },
    /// Marks an instance as leaving in the list, or removes it.
    Retire {
        /// The instance.
        instance: Instance,
        /// Whether it is removed.
        remove: bool,
    },
    /// Puts an instance into the list again.
    List {
        /// The instance.
        instance: Instance,
    },
    /// Sets the faults of the log service.
    Log {
        /// How it treats connections.
        mode: Mode,
        /// The delay of every answer, in milliseconds.
        slow_ms: u64,
        /// The appends that take effect and are not acknowledged.
        lose_acknowledgements: u32,
    },
    /// Drops the records of a stream up to an offset.
    Expire {
        /// The stream.
        stream: String,
        /// The last offset dropped.
        to: u64,
    },
    /// Sets how the instance list treats connections.
    Instances {
        /// How it treats connections.
        mode: Mode,
    },
    /// Sets how the weight store treats connections and loads.
    Weights {
        /// How it treats connections.
        mode: Mode,
    },
}
