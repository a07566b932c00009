//! Macros that define a section of a document as a struct with a list of its keys.

/// A key of a document.
#[common::plain]
pub struct Key {
    /// The name, which ends in the unit of its value.
    pub name: &'static str,
    /// The description, one string a line.
    pub effect: &'static [&'static str],
    /// The default as TOML; empty if there is none.
    pub default: String,
}

impl Key {
    /// Returns the unit that the name ends in, or an empty string.
    pub fn unit(&self) -> &'static str {
        let units = [
            ("_ms", "milliseconds"),
            ("_us", "microseconds"),
            ("_s", "seconds"),
            ("_bytes", "bytes"),
            ("_mib", "MiB"),
            ("_mib_per_s", "MiB/s"),
            ("_per_s", "1/s"),
        ];
        let has_suffix = |(suffix, _): &&(&str, &str)| self.name.ends_with(suffix);
        let suffix_length = |(suffix, _): &&(&str, &str)| suffix.len();
        let unit = units.iter().filter(has_suffix).max_by_key(suffix_length);
        unit.map_or("", |(_, unit)| unit)
    }
}

/// Returns `value` as TOML, or an empty string if TOML cannot represent it, as with `None`.
pub(crate) fn to_toml(value: &impl serde::Serialize) -> String {
    let value = toml::Value::try_from(value);
    value.map(|v| v.to_string()).unwrap_or_default()
}

/// Defines a section in which every key has a default.
macro_rules! default_section {
    (
        $(#[doc = $doc:literal])*
        $name:ident {$(
            $(#[doc = $effect:literal])*
            $field:ident: $kind:ty = $default:expr,
        )*}
    ) => {
        $(#[doc = $doc])*
        #[common::value]
        #[serde(deny_unknown_fields, default)]
        pub struct $name {$(
            $(#[doc = $effect])*
            pub $field: $kind,
        )*}

        impl Default for $name {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }

        impl $name {
            /// Returns the keys in the order of their definition.
            pub(crate) fn keys() -> Vec<crate::section::Key> {
                let defaults = Self::default();
                vec![$(crate::section::Key {
                    name: stringify!($field),
                    effect: &[$($effect),*],
                    default: crate::section::to_toml(&defaults.$field),
                }),*]
            }
        }
    };
}

/// Defines a section in which each key is required unless its type is `Option`.
macro_rules! required_section {
    (
        $(#[doc = $doc:literal])*
        $name:ident {$(
            $(#[doc = $effect:literal])*
            $field:ident: $kind:ty,
        )*}
    ) => {
        $(#[doc = $doc])*
        #[common::value]
        #[serde(deny_unknown_fields)]
        pub struct $name {$(
            $(#[doc = $effect])*
            pub $field: $kind,
        )*}

        impl $name {
            /// Returns the keys in the order of their definition.
            pub(crate) fn keys() -> Vec<crate::section::Key> {
                vec![$(crate::section::Key {
                    name: stringify!($field),
                    effect: &[$($effect),*],
                    default: String::new(),
                }),*]
            }
        }
    };
}

pub(crate) use {default_section, required_section};
