//! Reading of TOML tables that goes on after a fault.
//!
//! A derived deserializer stops at its first fault. Operators should see every
//! fault at once, so each key is read on its own and a fault is noted instead
//! of returned.

use crate::error::{Fault, Faults};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// A text under reading, with the faults found so far.
pub(crate) struct Reader<'a> {
    text: &'a str,
    faults: Vec<(usize, Fault)>,
}

/// A value with its place in the text.
pub(crate) struct Placed<T> {
    /// The value.
    pub(crate) value: T,
    /// The byte position.
    pub(crate) at: usize,
    /// The path of its key.
    pub(crate) key: String,
}

impl<'a> Reader<'a> {
    /// Returns a reader of `text`.
    pub(crate) fn new(text: &'a str) -> Self {
        Self {
            text,
            faults: Vec::new(),
        }
    }

    /// Notes a fault at byte position `at`.
    pub(crate) fn fault(&mut self, at: usize, key: &str, expected: impl Into<String>) {
        let fault = Fault {
            line: None,
            key: key.into(),
            expected: expected.into(),
        };
        self.faults.push((at, fault));
    }

    /// Returns every fault with its line, or nothing if there is none.
    pub(crate) fn finish(mut self) -> Option<Faults> {
        if self.faults.is_empty() {
            return None;
        }
        self.faults.sort_by_key(|(at, _)| *at);
        let mut line = 1;
        let mut passed = 0;
        let mut faults = Vec::with_capacity(self.faults.len());
        for (at, mut fault) in self.faults {
            let at = at.min(self.text.len());
            let between = &self.text.as_bytes()[passed..at];
            line += between.iter().filter(|byte| **byte == b'\n').count();
            passed = at;
            fault.line = u32::try_from(line).ok();
            faults.push(fault);
        }
        Some(Faults { faults })
    }
}

/// A table of which each key is taken once.
pub(crate) struct Section<'a> {
    fields: &'a DeTable<'a>,
    /// The path of the table.
    pub(crate) path: String,
    /// The byte position of the table.
    pub(crate) at: usize,
    known: Vec<&'static str>,
}

impl<'a> Section<'a> {
    /// Returns the section at `path`, whose table is `fields`.
    pub(crate) fn new(fields: &'a DeTable<'a>, path: String, at: usize) -> Self {
        Self {
            fields,
            path,
            at,
            known: Vec::new(),
        }
    }

    /// Returns the path of `key`.
    pub(crate) fn key(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.into()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Takes the value of `key` as it is.
    pub(crate) fn take(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        self.fields.get(key)
    }

    /// Takes a value that must be there.
    pub(crate) fn required<T>(
        &mut self,
        reader: &mut Reader<'_>,
        key: &'static str,
        expected: &str,
        read: impl Fn(&DeValue<'_>) -> Option<T>,
    ) -> Option<T> {
        if self.take(key).is_none() {
            reader.fault(self.at, &self.key(key), expected);
            return None;
        }
        self.optional(reader, key, expected, read)?
    }

    /// Takes a value that may be absent; the outer `None` means a fault.
    pub(crate) fn optional<T>(
        &mut self,
        reader: &mut Reader<'_>,
        key: &'static str,
        expected: &str,
        read: impl Fn(&DeValue<'_>) -> Option<T>,
    ) -> Option<Option<T>> {
        let Some(value) = self.take(key) else {
            return Some(None);
        };
        let read = read(value.get_ref());
        if read.is_none() {
            reader.fault(value.span().start, &self.key(key), expected);
            return None;
        }
        Some(read)
    }

    /// Takes a list, empty if absent, noting each element that is wrong.
    pub(crate) fn list<T>(
        &mut self,
        reader: &mut Reader<'_>,
        key: &'static str,
        expected: &str,
        read: impl Fn(&DeValue<'_>) -> Option<T>,
    ) -> Vec<Placed<T>> {
        let Some(value) = self.take(key) else {
            return Vec::new();
        };
        let path = self.key(key);
        let Some(items) = value.get_ref().as_array() else {
            reader.fault(
                value.span().start,
                &path,
                format!("a list, each {expected}"),
            );
            return Vec::new();
        };
        let mut out = Vec::with_capacity(items.len());
        for item in items {
            let at = item.span().start;
            match read(item.get_ref()) {
                Some(value) => out.push(Placed {
                    value,
                    at,
                    key: path.clone(),
                }),
                None => reader.fault(at, &path, expected),
            }
        }
        out
    }

    /// Takes the tables of an array of tables.
    pub(crate) fn sections(
        &mut self,
        reader: &mut Reader<'_>,
        key: &'static str,
    ) -> Vec<Section<'a>> {
        let Some(value) = self.take(key) else {
            return Vec::new();
        };
        let expected = format!("tables written as [[{key}]]");
        let Some(items) = value.get_ref().as_array() else {
            reader.fault(value.span().start, key, expected);
            return Vec::new();
        };
        let mut out = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            let at = item.span().start;
            let Some(fields) = item.get_ref().as_table() else {
                reader.fault(at, key, expected.clone());
                continue;
            };
            let label = fields
                .get("name")
                .and_then(|name| name.get_ref().as_str())
                .filter(|name| name::Account::try_from(*name).is_ok())
                .map_or_else(|| format!("{key}[{}]", index + 1), |n| format!("{key}.{n}"));
            out.push(Section::new(fields, label, at));
        }
        out
    }

    /// Notes every key that was not taken.
    pub(crate) fn finish(&self, reader: &mut Reader<'_>) {
        for (key, _) in self.fields {
            if !self.known.contains(&key.get_ref().as_ref()) {
                let expected = format!("one of {}; the key is unknown", self.known.join(", "));
                reader.fault(key.span().start, &self.key(key.get_ref()), expected);
            }
        }
    }
}

/// Reads a number from `min` to `max`.
pub(crate) fn count(min: u32, max: u32) -> impl Fn(&DeValue<'_>) -> Option<u32> {
    move |value| {
        let integer = value.as_integer()?;
        let number = u32::from_str_radix(integer.as_str(), integer.radix()).ok()?;
        (min..=max).contains(&number).then_some(number)
    }
}

/// Reads a name.
pub(crate) fn named<T: for<'s> TryFrom<&'s str>>(value: &DeValue<'_>) -> Option<T> {
    T::try_from(value.as_str()?).ok()
}
