//! What differs between two texts of the lists, for a person to read.

use std::{collections::BTreeMap, fmt};
use toml::Value;

/// One key that differs.
#[common::value]
pub struct Difference {
    /// The path of the key, such as `plan.large.weight`.
    pub key: String,
    /// The value in the old text, if it has the key.
    pub old: Option<String>,
    /// The value in the new text, if it has the key.
    pub new: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let old = self.old.as_deref().unwrap_or("absent");
        let new = self.new.as_deref().unwrap_or("absent");
        write!(f, "{}: {old} -> {new}", self.key)
    }
}

/// Returns what differs between two texts, by key.
///
/// A text that is not TOML is compared as a whole.
pub fn difference(old: &str, new: &str) -> Vec<Difference> {
    let parsed = (old.parse::<toml::Table>(), new.parse::<toml::Table>());
    let (Ok(old_table), Ok(new_table)) = parsed else {
        return compare_as_text(old, new);
    };
    let (old, new) = (flatten_table(old_table), flatten_table(new_table));
    let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
    keys.sort();
    keys.dedup();
    keys.into_iter()
        .filter(|key| old.get(*key) != new.get(*key))
        .map(|key| Difference {
            key: key.clone(),
            old: old.get(key).cloned(),
            new: new.get(key).cloned(),
        })
        .collect()
}

/// Returns the one difference of two texts that are not both TOML.
fn compare_as_text(old: &str, new: &str) -> Vec<Difference> {
    if old == new {
        return Vec::new();
    }
    let describe = |text: &str| Some(format!("text of {} bytes", text.len()));
    vec![Difference {
        key: "text".into(),
        old: describe(old),
        new: describe(new),
    }]
}

/// Returns every value of `table` under its path.
fn flatten_table(table: toml::Table) -> BTreeMap<String, String> {
    let mut out = BTreeMap::new();
    flatten_value("", &Value::Table(table), &mut out);
    out
}

fn flatten_value(path: &str, value: &Value, out: &mut BTreeMap<String, String>) {
    let child_path = |key: &str| {
        if path.is_empty() {
            key.to_owned()
        } else {
            format!("{path}.{key}")
        }
    };
    match value {
        Value::Table(table) if !table.is_empty() => {
            for (key, value) in table {
                flatten_value(&child_path(key), value, out);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_table) => {
            for (index, item) in items.iter().enumerate() {
                let name = item.get("name").and_then(Value::as_str);
                let label = name.map_or_else(|| format!("[{}]", index + 1), String::from);
                flatten_value(&child_path(&label), item, out);
            }
        }
        _ => {
            out.insert(path.to_owned(), value.to_string());
        }
    }
}
