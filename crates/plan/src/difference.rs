//! Key-by-key comparison of two versions of the lists, for display.

use std::{collections::BTreeMap, fmt};
use toml::Value;

/// A key whose value differs.
#[common::value]
pub struct Difference {
    /// The path of the key, such as `plan.large.weight`.
    pub key: String,
    /// The value in the old version, if it has the key.
    pub old: Option<String>,
    /// The value in the new version, if it has the key.
    pub new: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let old = self.old.as_deref().unwrap_or("absent");
        let new = self.new.as_deref().unwrap_or("absent");
        write!(f, "{}: {old} -> {new}", self.key)
    }
}

/// Returns the differences between two TOML documents, sorted by key.
///
/// If either text is not valid TOML, the texts are compared as a whole.
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

/// Compares two texts as a whole and returns at most one difference.
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

/// Returns the values of `table` by their dotted paths.
fn flatten_table(table: toml::Table) -> BTreeMap<String, String> {
    let mut out = BTreeMap::new();
    flatten_value("", &Value::Table(table), &mut out);
    out
}

/// Adds `value`, or the values nested in it, to `out` under `path`.
///
/// An array of tables is keyed by each table's `name`, or by its index from 1.
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
