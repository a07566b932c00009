//! `arbutusford token`: API keys and operator tokens.

use crate::{Exit, Failure};
use argh::FromArgs;
use serde_json::json;
use std::io::Write;
use uuid::Uuid;

/// Makes API keys and operator tokens.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "token")]
pub(crate) struct Token {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    New(New),
}

/// Prints a random token and its SHA-256 hash for the lists; reaches no server.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "new")]
struct New {
    /// print JSON for programs
    #[argh(switch)]
    json: bool,
}

impl Token {
    /// Runs the command.
    pub(crate) fn run(self, out: &mut dyn Write) -> Result<(), Failure> {
        let Command::New(New { json }) = self.command;
        let token = random();
        let hash = plan::digest(&token);
        let written = if json {
            writeln!(out, "{}", json!({"token": token, "sha256": hash}))
        } else {
            writeln!(
                out,
                "token   {token}\nsha256  {hash}\n\n\
                 Give the token to its holder; it is shown only here.\n\
                 Put the hash into the lists, under `keys` or `tokens`."
            )
        };
        written.map_err(|error| Failure::new(Exit::Failed, error))
    }
}

/// Returns 244 random bits as hexadecimal digits, from the system's generator.
fn random() -> String {
    let [first, second] = [(); 2].map(|()| Uuid::new_v4().simple());
    format!("{first}{second}")
}
