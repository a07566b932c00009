//! Operators' commands, over the administration API.
//!
//! A command that changes something is sent again to the next server if one
//! does not answer: it names the revision that it replaces, so that a repeat
//! finds its own effect and never makes a second one.

mod client;
pub(crate) mod config;
pub(crate) mod operation;
pub(crate) mod query;
mod report;
mod table;
pub(crate) mod token;

use std::{net::SocketAddr, path::PathBuf};

/// Where the administration API is, and as whom to call it.
#[derive(Debug, Clone)]
pub(crate) struct Access {
    /// The addresses to try, in order.
    pub(crate) servers: Vec<SocketAddr>,
    /// The file with the token; the environment has it otherwise.
    pub(crate) token_file: Option<PathBuf>,
    /// Whether a program reads the output.
    pub(crate) json: bool,
}

/// Declares a command with the options that reach the administration API.
///
/// `argh` cannot share options between commands.
macro_rules! command {
    (
        $(#[$about:meta])*
        $name:ident, $word:literal { $($own:tt)* }
    ) => {
        $(#[$about])*
        #[derive(Debug, argh::FromArgs)]
        #[argh(subcommand, name = $word)]
        pub(crate) struct $name {
            $($own)*

            /// the operators' address of an entry node; give several to try the
            /// next if one does not answer
            #[argh(option)]
            server: Vec<std::net::SocketAddr>,

            /// the file with the operator token (default: the variable
            /// ARBUTUSFORD_TOKEN)
            #[argh(option)]
            token_file: Option<std::path::PathBuf>,

            /// print JSON for programs
            #[argh(switch)]
            json: bool,
        }

        impl $name {
            /// Returns where the administration API is, and as whom to call it.
            fn access(&self) -> $crate::commands::admin::Access {
                $crate::commands::admin::Access {
                    servers: self.server.clone(),
                    token_file: self.token_file.clone(),
                    json: self.json,
                }
            }
        }
    };
}
use command;
