//! The reference page of all keys, generated from the code.

use crate::{Document, Entry, Standin};
use std::fmt::Write;

/// Returns all keys of a document type, as `section.key`.
pub fn keys<T: Document>() -> Vec<String> {
    let full_name = |section: &str, name: &str| match section {
        "" => name.into(),
        section => format!("{section}.{name}"),
    };
    let sections = T::sections().into_iter();
    sections
        .flat_map(|(section, keys)| {
            keys.into_iter()
                .map(move |key| full_name(section, key.name))
        })
        .collect()
}

/// Returns the content of `docs/SETTINGS.md`.
pub fn reference_page() -> String {
    let mut page = String::from(
        "# Settings\n\n\
         Settings are TOML documents. The name of a key ends in its unit. A key without\n\
         a default is required if the default column says so. An unknown key, a wrong\n\
         type or unit, conflicting addresses or a missing failure domain stop the process\n\
         at startup with exit code 2; `entry --check` only validates. All errors are\n\
         printed, each with file, line, key and the expected value.\n\n\
         Examples: `examples/settings/`. `SETTINGS_BLESS=1 cargo test -p\n\
         arbutusford-settings` regenerates this page from the code.\n\n\
         ## `arbutusford entry`\n",
    );
    write_tables::<Entry>(&mut page);
    page.push_str("\n## `arbutusford standin`\n");
    write_tables::<Standin>(&mut page);
    page.push_str(RESOURCES);
    page
}

/// How the limits of a process are divided, for both entry nodes.
const RESOURCES: &str = include_str!("resources.md");

/// Writes a table of keys for each section.
fn write_tables<T: Document>(page: &mut String) {
    for (section, keys) in T::sections() {
        if !section.is_empty() {
            let _ = write!(page, "\n### `[{section}]`\n");
        }
        page.push_str("\n| key | unit | default | effect |\n|---|---|---|---|\n");
        for key in keys {
            let is_optional = ["advertise", "peers", "metrics", "limits"].contains(&section);
            let default = match key.default.as_str() {
                "" if is_optional => "none".into(),
                "" => "required".into(),
                default => format!("`{default}`"),
            };
            let effect = key.effect.concat();
            let (name, unit) = (key.name, key.unit());
            let _ = writeln!(page, "| `{name}` | {unit} | {default} |{effect} |");
        }
    }
}
