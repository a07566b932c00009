//! Names: shared immutable strings of 1 to 100 visible ASCII characters.

use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

/// The maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 100;

/// The error for a text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid {
    text: String,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a name: expected 1 to {MAX_NAME_BYTES} letters, digits, '.', '_', ':', '/' or '-'",
            self.text
        )
    }
}

impl std::error::Error for Invalid {}

/// Returns whether `text` is a valid name.
fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._:/-".contains(c);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed)
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl TryFrom<&str> for $name {
            type Error = Invalid;

            fn try_from(text: &str) -> Result<Self, Invalid> {
                if is_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(Invalid { text: text.into() })
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = Invalid;

            fn try_from(text: String) -> Result<Self, Invalid> {
                Self::try_from(text.as_str())
            }
        }

        impl std::str::FromStr for $name {
            type Err = Invalid;

            fn from_str(text: &str) -> Result<Self, Invalid> {
                Self::try_from(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().into()
            }
        }
    )*};
}

names! {
    /// An instance of the platform, which may run a model engine or a service.
    Instance
    /// A failure domain.
    Domain
    /// A region, which holds failure domains.
    Region
    /// A fabric domain: instances with a fast interconnect for the members of a replica.
    Fabric
    /// A client account.
    Account
    /// A class of work within a client account.
    Class
    /// A model, or an adapter of a model.
    Model
    /// A service that is not a model engine.
    Service
    /// An entry node.
    Node
    /// A replica of a model.
    Replica
}
