//! Reading of TOML tables that continues after an error.
//!
//! A derived deserializer stops at the first error. Operators need to see all
//! errors at once, so each key is read separately and its error is collected
//! in [`Diagnostics`] instead of being returned.

use crate::error::{Error, Errors};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// The errors found so far in a text.
pub(crate) struct Diagnostics<'a> {
    text: &'a str,
    errors: Vec<(usize, Error)>,
}

/// A value with its location in the text.
pub(crate) struct Located<T> {
    /// The value.
    pub(crate) value: T,
    /// The byte offset of the value.
    pub(crate) offset: usize,
    /// The path of the value's key.
    pub(crate) key: String,
}

impl<'a> Diagnostics<'a> {
    /// Returns empty diagnostics of `text`.
    pub(crate) fn new(text: &'a str) -> Self {
        Self {
            text,
            errors: Vec::new(),
        }
    }

    /// Adds an error at byte offset `offset`.
    pub(crate) fn report(&mut self, offset: usize, key: &str, expected: impl Into<String>) {
        let error = Error {
            line: None,
            key: key.into(),
            expected: expected.into(),
        };
        self.errors.push((offset, error));
    }

    /// Returns the errors with their line numbers, or `None` if there are none.
    pub(crate) fn into_errors(mut self) -> Option<Errors> {
        if self.errors.is_empty() {
            return None;
        }
        self.errors.sort_by_key(|(offset, _)| *offset);
        let mut line = 1;
        let mut scanned = 0;
        let mut faults = Vec::with_capacity(self.errors.len());
        for (offset, mut error) in self.errors {
            let offset = offset.min(self.text.len());
            let skipped = &self.text.as_bytes()[scanned..offset];
            line += skipped.iter().filter(|byte| **byte == b'\n').count();
            scanned = offset;
            error.line = u32::try_from(line).ok();
            faults.push(error);
        }
        Some(Errors { faults })
    }
}

/// A table that records which of its keys are known.
pub(crate) struct Section<'a> {
    fields: &'a DeTable<'a>,
    /// The path of the table.
    pub(crate) path: String,
    /// The byte offset of the table.
    pub(crate) offset: usize,
    /// The keys that were looked up.
    known_keys: Vec<&'static str>,
}

impl<'a> Section<'a> {
    /// Returns the section at `path` with the table `fields`.
    pub(crate) fn new(fields: &'a DeTable<'a>, path: String, offset: usize) -> Self {
        Self {
            fields,
            path,
            offset,
            known_keys: Vec::new(),
        }
    }

    /// Returns the path of `key`.
    pub(crate) fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.into()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Returns the value of `key`, if present, and marks the key as known.
    pub(crate) fn get(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        if !self.known_keys.contains(&key) {
            self.known_keys.push(key);
        }
        self.fields.get(key)
    }

    /// Parses a required value and reports an error if it is absent or invalid.
    pub(crate) fn required<T>(
        &mut self,
        diagnostics: &mut Diagnostics<'_>,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&DeValue<'_>) -> Option<T>,
    ) -> Option<T> {
        if self.get(key).is_none() {
            diagnostics.report(self.offset, &self.key_path(key), expected);
            return None;
        }
        self.optional(diagnostics, key, expected, parse)?
    }

    /// Parses an optional value; the outer `None` means that an error was reported.
    pub(crate) fn optional<T>(
        &mut self,
        diagnostics: &mut Diagnostics<'_>,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&DeValue<'_>) -> Option<T>,
    ) -> Option<Option<T>> {
        let Some(value) = self.get(key) else {
            return Some(None);
        };
        let parsed = parse(value.get_ref());
        if parsed.is_none() {
            diagnostics.report(value.span().start, &self.key_path(key), expected);
            return None;
        }
        Some(parsed)
    }

    /// Parses a list, empty if absent, and reports each invalid element.
    pub(crate) fn list<T>(
        &mut self,
        diagnostics: &mut Diagnostics<'_>,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&DeValue<'_>) -> Option<T>,
    ) -> Vec<Located<T>> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let path = self.key_path(key);
        let Some(items) = value.get_ref().as_array() else {
            diagnostics.report(
                value.span().start,
                &path,
                format!("a list, each {expected}"),
            );
            return Vec::new();
        };
        let mut out = Vec::with_capacity(items.len());
        for item in items {
            let offset = item.span().start;
            match parse(item.get_ref()) {
                Some(value) => out.push(Located {
                    value,
                    offset,
                    key: path.clone(),
                }),
                None => diagnostics.report(offset, &path, expected),
            }
        }
        out
    }

    /// Returns the tables of an array of tables as sections.
    pub(crate) fn table_array(
        &mut self,
        diagnostics: &mut Diagnostics<'_>,
        key: &'static str,
    ) -> Vec<Section<'a>> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let expected = format!("tables written as [[{key}]]");
        let Some(items) = value.get_ref().as_array() else {
            diagnostics.report(value.span().start, key, expected);
            return Vec::new();
        };
        let mut out = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            let offset = item.span().start;
            let Some(fields) = item.get_ref().as_table() else {
                diagnostics.report(offset, key, expected.clone());
                continue;
            };
            let path = fields
                .get("name")
                .and_then(|name| name.get_ref().as_str())
                .filter(|name| name::Account::try_from(*name).is_ok())
                .map_or_else(|| format!("{key}[{}]", index + 1), |n| format!("{key}.{n}"));
            out.push(Section::new(fields, path, offset));
        }
        out
    }

    /// Reports each key of the table that was not looked up.
    pub(crate) fn report_unknown_keys(&self, diagnostics: &mut Diagnostics<'_>) {
        for (key, _) in self.fields {
            if !self.known_keys.contains(&key.get_ref().as_ref()) {
                let expected = format!("one of {}; the key is unknown", self.known_keys.join(", "));
                diagnostics.report(key.span().start, &self.key_path(key.get_ref()), expected);
            }
        }
    }
}

/// Returns a parser of integers from `min` to `max`.
pub(crate) fn parse_count(min: u32, max: u32) -> impl Fn(&DeValue<'_>) -> Option<u32> {
    move |value| {
        let integer = value.as_integer()?;
        let number = u32::from_str_radix(integer.as_str(), integer.radix()).ok()?;
        (min..=max).contains(&number).then_some(number)
    }
}

/// Parses a name.
pub(crate) fn parse_name<T: for<'s> TryFrom<&'s str>>(value: &DeValue<'_>) -> Option<T> {
    T::try_from(value.as_str()?).ok()
}
