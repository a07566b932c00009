//! The placement and routing policies that runs compare.

/// The name of the default policies of the settings.
pub const DEFAULT: &str = "default";

/// The prefix of the names of routing policies.
const ROUTE_PREFIX: &str = "route-";

/// All names: the default, the replica policies, and the routing policies.
pub const NAMES: [&str; 7] = [
    DEFAULT,
    "fixed",
    "spare",
    "merge",
    "route-random",
    "route-round-robin",
    "route-least-load",
];

/// Parses `all` or a comma-separated list of policy names.
///
/// Returns `None` if a name is unknown.
pub fn parse(text: &str) -> Option<Vec<&'static str>> {
    if text == "all" {
        return Some(NAMES.to_vec());
    }
    let find = |part: &str| NAMES.into_iter().find(|name| *name == part);
    text.split(',').map(find).collect()
}

/// Returns the line of TOML settings that selects a policy.
pub(crate) fn settings(name: &str) -> String {
    match name.strip_prefix(ROUTE_PREFIX) {
        _ if name == DEFAULT => String::new(),
        Some(route) => format!("policies = {{ route = \"{route}\" }}\n"),
        None => format!("policies = {{ replica = \"{name}\" }}\n"),
    }
}
