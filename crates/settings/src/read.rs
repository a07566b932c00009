//! Parses a document and collects all its errors.
//!
//! Deserialization stops at the first error. The invalid value is then replaced
//! by that of the document's sample, and deserialization is repeated to find
//! the next error.

use crate::{Error, Errors, section::Key};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, path::Path};
use toml::{
    Value,
    de::{DeTable, DeValue},
};

/// The maximum number of errors collected in one document.
const MAX_ERRORS: usize = 100;

/// A type of settings document.
pub trait Document: DeserializeOwned {
    /// A valid document with the required keys only.
    const SAMPLE: &'static str;

    /// Returns the problems of values that have the right type but are invalid.
    fn validate(&self) -> Vec<Problem>;

    /// Returns the sections with their keys in the order of their definition.
    fn sections() -> Vec<(&'static str, Vec<Key>)>;
}

/// A problem of the value of a key.
#[derive(Debug, Clone)]
pub struct Problem {
    key: String,
    text: String,
}

impl Problem {
    /// Returns a problem of `key` with the description `text`.
    pub(crate) fn new(key: &str, text: String) -> Self {
        let key = key.into();
        Self { key, text }
    }
}

/// Adds a problem for each address that equals that of an earlier key.
pub(crate) fn check_distinct(addresses: &[(&str, SocketAddr)], problems: &mut Vec<Problem>) {
    for (index, (key, address)) in addresses.iter().enumerate() {
        let is_same = |other: &&(&str, SocketAddr)| other.1 == *address && address.port() != 0;
        if let Some((earlier, _)) = addresses[..index].iter().find(is_same) {
            let text = format!("{address} clashes with {earlier}: expected another address");
            problems.push(Problem::new(key, text));
        }
    }
}

/// Reads and parses the file at `path`.
///
/// # Errors
///
/// Returns all errors found, or a single one if the file cannot be read.
pub fn load<T: Document>(path: &Path) -> Result<T, Errors> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        Errors(vec![Error {
            file: file.clone(),
            line: 0,
            key: String::new(),
            problem: format!("cannot be read: {error}"),
        }])
    })?;
    parse(&text, &file)
}

/// Parses the document `text`; errors name `file` as their source.
///
/// # Errors
///
/// Returns all errors found.
pub fn parse<T: Document>(text: &str, file: &str) -> Result<T, Errors> {
    let spans = match DeTable::parse(text) {
        Ok(spans) => spans.into_inner(),
        Err(error) => {
            let at = error.span().map_or(0, |span| span.start);
            let error = Error {
                file: file.into(),
                line: line_number(text, at),
                key: String::new(),
                problem: format!("is not TOML: {}", error.message()),
            };
            return Err(Errors(vec![error]));
        }
    };
    let (document, problems) = collect_problems::<T>(text);
    let to_error = |problem: Problem| Error {
        file: file.into(),
        line: line_number(text, key_offset(&spans, &problem.key)),
        key: problem.key,
        problem: problem.text,
    };
    let mut errors: Vec<_> = problems.into_iter().map(to_error).collect();
    errors.sort_by_key(|error| error.line);
    match document {
        Some(document) if errors.is_empty() => Ok(document),
        _ => Err(Errors(errors)),
    }
}

/// Returns the document, with invalid values replaced, and all problems.
///
/// The document is `None` if it cannot be deserialized even with replacements.
fn collect_problems<T: Document>(text: &str) -> (Option<T>, Vec<Problem>) {
    let mut problems: Vec<Problem> = Vec::new();
    let parsed = (
        text.parse::<toml::Table>(),
        T::SAMPLE.parse::<toml::Table>(),
    );
    let (Ok(table), Ok(sample)) = parsed else {
        let text = "is not TOML".into();
        return (None, vec![Problem::new("", text)]);
    };
    let mut table = Value::Table(table);
    let sample = Value::Table(sample);
    while problems.len() < MAX_ERRORS {
        let error = match serde_path_to_error::deserialize::<_, T>(table.clone()) {
            Ok(document) => {
                let is_new = |new: &Problem| !problems.iter().any(|old| old.key == new.key);
                let more: Vec<_> = document.validate().into_iter().filter(is_new).collect();
                problems.extend(more);
                return (Some(document), problems);
            }
            Err(error) => error,
        };
        let path = error_path(&error);
        let key = path.join(".");
        let is_repeated = problems.iter().any(|problem| problem.key == key);
        if !is_repeated {
            let text = describe_error::<T>(&path, error.inner().message());
            problems.push(Problem::new(&key, text));
        }
        if !replace_value(&mut table, &sample, &path, is_repeated) {
            break;
        }
    }
    (None, problems)
}

/// Returns the path of the invalid key.
fn error_path(error: &serde_path_to_error::Error<toml::de::Error>) -> Vec<String> {
    use serde_path_to_error::Segment;
    let step = |segment: &Segment| match segment {
        Segment::Seq { index } => Some(index.to_string()),
        Segment::Map { key } => Some(key.clone()),
        Segment::Enum { .. } | Segment::Unknown => None,
    };
    let mut path: Vec<String> = error.path().iter().filter_map(step).collect();
    let message = error.inner().message();
    let named = ["missing field `", "unknown field `"];
    let rest = named.iter().find_map(|start| message.strip_prefix(start));
    let name = rest.and_then(|rest| rest.split('`').next());
    if let Some(name) = name.filter(|name| path.last().is_none_or(|last| last != name)) {
        path.push(name.into());
    }
    path
}

/// Returns the description of an error.
///
/// For an unknown key that differs from a known one in its unit only, the
/// description names the known key.
fn describe_error<T: Document>(path: &[String], message: &str) -> String {
    let message = message.trim().replace('\n', "; ");
    if !message.starts_with("unknown field") {
        return message;
    }
    let name = path.last().map_or("", String::as_str);
    let section = path.iter().rev().nth(1).map_or("", String::as_str);
    let stem = |name: &str| {
        name.rsplit_once('_')
            .map_or(name, |(stem, _)| stem)
            .to_owned()
    };
    let sections = T::sections();
    let keys = sections
        .iter()
        .filter(|(section_name, _)| *section_name == section);
    let section_keys: Vec<&Key> = keys.flat_map(|(_, keys)| keys).collect();
    let has_same_stem = |key: &&&Key| stem(key.name) == stem(name) || stem(key.name) == name;
    match section_keys.iter().find(has_same_stem) {
        Some(key) => format!(
            "unknown key: expected {}, in {}",
            key.name,
            if key.unit().is_empty() {
                "no unit"
            } else {
                key.unit()
            }
        ),
        None => message.replace("unknown field", "unknown key"),
    }
}

/// Replaces the value at `path` by that of `sample`, or removes it if `sample` has none.
///
/// If `is_repeated`, a previous replacement at `path` did not fix the error, and
/// the parent value is replaced. Returns whether `table` was changed.
fn replace_value(table: &mut Value, sample: &Value, path: &[String], is_repeated: bool) -> bool {
    let depth = path.len() - usize::from(is_repeated && !path.is_empty());
    let Some((name, parents)) = path[..depth].split_last() else {
        return false;
    };
    let step = |value: &Value, name: &String| match value {
        Value::Table(table) => table.get(name).cloned(),
        Value::Array(items) => name
            .parse()
            .ok()
            .and_then(|index: usize| items.get(index).cloned()),
        _ => None,
    };
    let replacement = path[..depth]
        .iter()
        .try_fold(sample.clone(), |value, name| step(&value, name));
    let mut current = table;
    for parent in parents {
        let child = match current {
            Value::Table(table) => table.get_mut(parent),
            Value::Array(items) => parent
                .parse()
                .ok()
                .and_then(|index: usize| items.get_mut(index)),
            _ => None,
        };
        let Some(child) = child else { return false };
        current = child;
    }
    match (current, replacement) {
        (Value::Table(table), Some(replacement)) => {
            table.insert(name.clone(), replacement);
            true
        }
        (Value::Table(table), None) => table.remove(name).is_some(),
        (Value::Array(items), replacement) => {
            let Some(index) = name
                .parse()
                .ok()
                .filter(|index: &usize| *index < items.len())
            else {
                return false;
            };
            match replacement {
                Some(replacement) => items[index] = replacement,
                None => drop(items.remove(index)),
            }
            true
        }
        _ => false,
    }
}

/// Returns the byte offset of `key`, or of its innermost existing parent.
fn key_offset(spans: &DeTable<'_>, key: &str) -> usize {
    let mut found = 0;
    let mut table = Some(spans);
    let mut items = None;
    for step in key.split('.') {
        let value = if let Some(inner) = table {
            let Some((at, value)) = inner.iter().find(|(name, _)| name.get_ref() == step) else {
                break;
            };
            found = at.span().start;
            value
        } else if let Some(value) = items.and_then(|items: &toml::de::DeArray<'_>| {
            step.parse().ok().and_then(|index: usize| items.get(index))
        }) {
            found = value.span().start;
            value
        } else {
            break;
        };
        (table, items) = match value.get_ref() {
            DeValue::Table(inner) => (Some(inner), None),
            DeValue::Array(inner) => (None, Some(inner)),
            _ => (None, None),
        };
    }
    found
}

/// Returns the line number, from 1, of the byte offset `at`.
fn line_number(text: &str, at: usize) -> usize {
    let before = text.as_bytes().iter().take(at);
    1 + before.filter(|byte| **byte == b'\n').count()
}
