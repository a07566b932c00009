//! The policies that runs are compared under.

/// The name of the policies as the settings leave them.
pub const DEFAULT: &str = "default";

/// The prefix of names of policies that choose replicas for requests.
const ROUTE: &str = "route-";

/// All names: the default, then those of replicas, then those of routes.
pub const NAMES: [&str; 7] = [
    DEFAULT,
    "fixed",
    "spare",
    "merge",
    "route-random",
    "route-round-robin",
    "route-least-load",
];

/// Returns the names that `text` asks for: one, or `all`; `None` if unknown.
///
/// Names may be joined by commas.
pub fn parse(text: &str) -> Option<Vec<&'static str>> {
    if text == "all" {
        return Some(NAMES.to_vec());
    }
    let find = |part: &str| NAMES.into_iter().find(|name| *name == part);
    text.split(',').map(find).collect()
}

/// Returns the line of settings that a policy adds.
pub(crate) fn settings(name: &str) -> String {
    match name.strip_prefix(ROUTE) {
        _ if name == DEFAULT => String::new(),
        Some(route) => format!("policies = {{ route = \"{route}\" }}\n"),
        None => format!("policies = {{ replica = \"{name}\" }}\n"),
    }
}
