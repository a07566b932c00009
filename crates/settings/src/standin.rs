//! The settings of the stand-ins for the external systems.

use crate::{
    read::{Document, Problem},
    section::{Key, default_section, required_section},
};
use name::Service;
use std::net::SocketAddr;

/// A valid document with the required keys only, whose values replace invalid ones.
const SAMPLE: &str = r#"
ports = { log = "127.0.0.1:1", instances = "127.0.0.1:2", weights = "127.0.0.1:3", control = "127.0.0.1:4", backends = "127.0.0.1:5" }
[[domains]]
name = "domain"
fabrics = 1
engines_per_fabric = 1
services = []
"#;

/// The settings of the stand-ins.
#[common::value]
#[serde(deny_unknown_fields)]
pub struct Standin {
    /// The seed of the random number generators.
    #[serde(default)]
    pub seed: u64,
    /// The addresses on which the stand-ins listen.
    pub ports: Ports,
    /// The failure domains.
    pub domains: Vec<Domain>,
    /// The speed and capacity of the stand-ins.
    #[serde(default)]
    pub speed: Speed,
}

required_section! {
    /// The addresses on which the stand-ins listen.
    Ports {
        /// The address of the log service.
        log: SocketAddr,
        /// The address of the instance list.
        instances: SocketAddr,
        /// The address of the weight store.
        weights: SocketAddr,
        /// The address of the control API for fault injection and counters.
        control: SocketAddr,
        /// The address of the first backend server; the others use the ports after it.
        backends: SocketAddr,
    }
}

required_section! {
    /// A failure domain; there is one `[[domains]]` table for each.
    Domain {
        /// The name of the failure domain.
        name: name::Domain,
        /// The number of fabric domains in it.
        fabrics: u32,
        /// The number of engines in each fabric domain.
        engines_per_fabric: u32,
        /// The services with one instance in this failure domain.
        services: Vec<Service>,
    }
}

default_section! {
    /// The speed and capacity of the stand-ins.
    Speed {
        /// The time to the first token.
        first_token_ms: u64 = 60,
        /// The time to the first token if the prefix is cached.
        cached_first_token_ms: u64 = 20,
        /// The time between tokens.
        token_ms: u64 = 12,
        /// The factor, in percent, on the times of a replica that spans several fabric domains.
        cross_fabric_percent: u32 = 200,
        /// The duration of a call to a plain service.
        call_ms: u64 = 10,
        /// The maximum number of concurrent requests of a warm backend server.
        warm_limit: u32 = 16,
        /// The maximum number of concurrent requests of a cold backend server.
        cold_limit: u32 = 2,
        /// The number of completed requests after which a backend server is warm.
        warm_completions: u32 = 8,
        /// The time after which a backend server is warm regardless of completed requests.
        warm_ms: u64 = 10_000,
        /// The maximum number of prefixes that an engine caches.
        cached_prefixes: u32 = 256,
        /// The total rate of all concurrent loads of weights.
        load_mib_per_s: u64 = 8_192,
        /// The maximum number of concurrent loads; the weight store rejects further ones.
        max_loads: u32 = 16,
        /// The size of each model's weights.
        model_mib: u32 = 16_384,
        /// The delay of updates in the instance list.
        list_lag_ms: u64 = 500,
        /// The maximum number of append requests per second; the log rejects further ones.
        appends_per_s: u32 = 500,
    }
}

impl Standin {
    /// Returns the number of backend servers.
    pub fn backends(&self) -> u32 {
        let count = |domain: &Domain| {
            let services = u32::try_from(domain.services.len()).unwrap_or(u32::MAX);
            let engines = domain.fabrics.saturating_mul(domain.engines_per_fabric);
            engines.saturating_add(services)
        };
        self.domains.iter().map(count).fold(0, u32::saturating_add)
    }

    /// Adds a problem for each port that a backend server would use too.
    fn check_backend_ports(&self, fixed: &[(&str, SocketAddr)], problems: &mut Vec<Problem>) {
        let first = u32::from(self.ports.backends.port());
        let end = first.saturating_add(self.backends());
        if first > 0 && end > u32::from(u16::MAX) {
            let text = format!("ports {first} to {end}: expected ports up to {}", u16::MAX);
            problems.push(Problem::new("ports.backends", text));
        }
        for (key, address) in fixed {
            let port = u32::from(address.port());
            if first > 0 && address.ip() == self.ports.backends.ip() && (first..end).contains(&port)
            {
                let text = format!(
                    "{address} is in the range of the backend servers' ports {first}..{end}"
                );
                problems.push(Problem::new(key, text));
            }
        }
    }
}

impl Document for Standin {
    const SAMPLE: &'static str = SAMPLE;

    fn validate(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let fixed = [
            ("ports.log", self.ports.log),
            ("ports.instances", self.ports.instances),
            ("ports.weights", self.ports.weights),
            ("ports.control", self.ports.control),
        ];
        crate::read::check_distinct(&fixed, &mut problems);
        self.check_backend_ports(&fixed, &mut problems);
        if self.domains.is_empty() {
            let text = "no failure domain: expected at least one".into();
            problems.push(Problem::new("domains", text));
        }
        if self.speed.load_mib_per_s == 0 {
            let text = "0 is too small: expected at least 1".into();
            problems.push(Problem::new("speed.load_mib_per_s", text));
        }
        problems
    }

    fn sections() -> Vec<(&'static str, Vec<Key>)> {
        let seed = Key {
            name: "seed",
            effect: &[" The seed of the random number generators."],
            default: "0".into(),
        };
        vec![
            ("", vec![seed]),
            ("ports", Ports::keys()),
            ("domains", Domain::keys()),
            ("speed", Speed::keys()),
        ]
    }
}
