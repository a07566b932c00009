//! A secret that is redacted in output.

use serde::{Deserialize, Serialize, Serializer};
use std::fmt;

/// The minimum length of a secret, in bytes.
const MIN_BYTES: usize = 16;

/// Secret bytes, written in documents as hexadecimal digits.
///
/// Both `Debug` and `Serialize` write a placeholder instead of the bytes.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Returns the secret bytes.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl TryFrom<String> for Secret {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let expected = || format!("expected at least {MIN_BYTES} bytes as hexadecimal digits");
        let text = text.trim();
        if !text.is_ascii() || !text.len().is_multiple_of(2) || text.len() < 2 * MIN_BYTES {
            return Err(expected());
        }
        let byte = |at| u8::from_str_radix(&text[at..at + 2], 16);
        let bytes: Result<_, _> = (0..text.len()).step_by(2).map(byte).collect();
        bytes.map(Self).map_err(|_| expected())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(redacted)")
    }
}

impl Serialize for Secret {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str("redacted")
    }
}
