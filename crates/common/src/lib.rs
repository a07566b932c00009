//! Attribute macros for the common sets of derives.
//!
//! Each macro adds one `#[derive(...)]` attribute to the item, so that the
//! sets are the same in all crates:
//!
//! | macro | for | traits |
//! |---|---|---|
//! | [`macro@key`] | small identifiers | `Copy` and all of comparison, hashing, serialization |
//! | [`macro@value`] | data that is stored or sent | `Debug`, `Clone`, `PartialEq`, `Eq`, serialization |
//! | [`macro@sample`] | data with floating-point fields | as `value`, without `Eq` |
//! | [`macro@plain`] | data that stays in one process | `Debug`, `Clone`, `PartialEq` |

use proc_macro::TokenStream;

/// Derives the traits of a small identifier that is copied.
#[proc_macro_attribute]
pub fn key(_: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, \
         serde::Serialize, serde::Deserialize",
        item,
    )
}

/// Derives the traits of data that is stored or sent.
#[proc_macro_attribute]
pub fn value(_: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize",
        item,
    )
}

/// Derives the traits of stored or sent data with floating-point fields.
#[proc_macro_attribute]
pub fn sample(_: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize",
        item,
    )
}

/// Derives the traits of data that stays in one process.
#[proc_macro_attribute]
pub fn plain(_: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Debug, Clone, PartialEq", item)
}

/// Adds a derive attribute with `traits` before `item`.
fn with_derives(traits: &str, item: TokenStream) -> TokenStream {
    let mut out: TokenStream = format!("#[derive({traits})]")
        .parse()
        .expect("a derive attribute is valid Rust");
    out.extend(item);
    out
}
