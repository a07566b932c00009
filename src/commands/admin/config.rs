//! `arbutusford config`: the operators' lists.

use super::{
    Access,
    client::{Operator, refused, undecided},
    command, report,
};
use crate::{Exit, Failure, commands::runtime};
use argh::FromArgs;
use bench::Answer;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use std::{
    fs,
    io::Write,
    path::{Path, PathBuf},
};

/// The route of the lists.
const LISTS: &str = "/admin/v1/lists";

/// What stands before the revision in the first line that `config show` prints.
///
/// `config publish` takes the revision from there, so that an edited file cannot
/// overwrite lists that were published after it was shown.
const REVISION_MARK: &str = "# revision ";

/// Checks, compares, publishes and shows the lists.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub(crate) struct Config {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(Check),
    Diff(Diff),
    Publish(Publish),
    Show(Show),
}

/// Checks lists in a file; reaches no server. Exit code 2 if they have faults.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the file with the lists
    #[argh(positional)]
    file: PathBuf,
}

command! {
    /// Shows what differs between the lists in force and a file. Exit code 1 if anything does.
    Diff, "diff" {
        /// the file with the lists
        #[argh(positional)]
        file: std::path::PathBuf,
    }
}

command! {
    /// Publishes the lists in a file. Exit code 3 if other lists came first.
    Publish, "publish" {
        /// the file with the lists
        #[argh(positional)]
        file: std::path::PathBuf,

        /// the revision that the file replaces (default: the one in its
        /// first line, as `config show` prints it; otherwise the one in force)
        #[argh(option)]
        base: Option<u64>,
    }
}

command! {
    /// Shows the lists in force, with their revision.
    Show, "show" {}
}

impl Config {
    /// Runs the command.
    pub(crate) fn run(self, out: &mut dyn Write) -> Result<(), Failure> {
        match self.command {
            Command::Check(Check { file }) => {
                checked(&file)?;
                report::write(out, &format!("{}: no faults\n", file.display()))
            }
            Command::Diff(diff) => runtime()?.block_on(diff.run(out)),
            Command::Publish(publish) => runtime()?.block_on(publish.run(out)),
            Command::Show(show) => runtime()?.block_on(show.run(out)),
        }
    }
}

/// Lists in a file.
struct Edited {
    /// The revision in the first line, as `config show` prints it.
    base: Option<u64>,
    /// The lists without that line.
    text: String,
}

impl Edited {
    /// Returns the lists in the text of a file.
    fn new(text: String) -> Self {
        let marked = text
            .strip_prefix(REVISION_MARK)
            .and_then(|rest| rest.split_once('\n'))
            .and_then(|(revision, rest)| Some((revision.trim().parse().ok()?, rest.to_owned())));
        match marked {
            Some((base, text)) => Self {
                base: Some(base),
                text,
            },
            None => Self { base: None, text },
        }
    }
}

/// Reads lists from a file and checks them.
fn checked(file: &Path) -> Result<Edited, Failure> {
    let usage = |fault: String| {
        let file = file.display();
        let message = format!("{file}: {fault}\nNothing was changed. Mend the file.");
        Failure::new(Exit::Usage, message)
    };
    let text = fs::read_to_string(file).map_err(|error| usage(error.to_string()))?;
    match plan::parse(&text) {
        Ok(_) => Ok(Edited::new(text)),
        Err(faults) => Err(usage(format!("the lists have faults\n{faults}"))),
    }
}

/// The lists in force.
struct InForce {
    revision: u64,
    text: String,
}

impl InForce {
    /// Asks for the lists in force.
    async fn ask(operator: &Operator) -> Result<Self, Failure> {
        let answer = operator.get(LISTS).await?;
        Ok(Self {
            revision: answer["revision"].as_u64().unwrap_or_default(),
            text: answer["text"].as_str().unwrap_or_default().into(),
        })
    }
}

impl Show {
    /// Prints the lists; the revision is a comment, so that the output is a lists file.
    async fn run(self, out: &mut dyn Write) -> Result<(), Failure> {
        let access = self.access();
        let lists = Operator::new(&access)?.get(LISTS).await?;
        report::print(out, access.json, &lists, |lists| {
            let text = lists["text"].as_str().unwrap_or_default();
            format!("{REVISION_MARK}{}\n{text}", lists["revision"])
        })
    }
}

/// Returns what differs, one key a string.
fn difference(old: &str, new: &str) -> Vec<String> {
    let difference = plan::difference(old, new);
    difference.iter().map(ToString::to_string).collect()
}

impl Diff {
    /// Prints what differs.
    async fn run(self, out: &mut dyn Write) -> Result<(), Failure> {
        let Edited { text, .. } = checked(&self.file)?;
        let access = self.access();
        let in_force = InForce::ask(&Operator::new(&access)?).await?;
        let difference = difference(&in_force.text, &text);
        let answer = json!({"revision": in_force.revision, "difference": difference});
        report::print(out, access.json, &answer, |_| {
            let lines: Vec<String> = difference.iter().map(|line| format!("{line}\n")).collect();
            match lines.is_empty() {
                true => format!("no difference to revision {}\n", in_force.revision),
                false => lines.concat(),
            }
        })?;
        match difference.len() {
            0 => Ok(()),
            count => Err(Failure::new(
                Exit::Failed,
                format!(
                    "keys that differ from revision {}: {count}. Nothing was changed.",
                    in_force.revision
                ),
            )),
        }
    }
}

impl Publish {
    /// Publishes the lists.
    async fn run(self, out: &mut dyn Write) -> Result<(), Failure> {
        let edited = checked(&self.file)?;
        let access = self.access();
        let operator = Operator::new(&access)?;
        let base = match self.base.or(edited.base) {
            Some(base) => base,
            None => InForce::ask(&operator).await?.revision,
        };
        let body = json!({"base": base, "text": edited.text});
        let answer = operator.send(Method::PUT, LISTS, &body).await?;
        published(&access, &answer, base, out)
    }
}

/// Prints the answer to a publication.
fn published(
    access: &Access,
    answer: &Answer,
    base: u64,
    out: &mut dyn Write,
) -> Result<(), Failure> {
    match answer.status {
        StatusCode::OK => report::print(out, access.json, &answer.body, |body| {
            format!("published: revision {} is in force\n", body["revision"])
        }),
        StatusCode::CONFLICT => {
            if access.json {
                report::write(out, &format!("{}\n", answer.body))?;
            }
            Err(Failure::new(Exit::Conflict, conflict(&answer.body, base)))
        }
        StatusCode::UNPROCESSABLE_ENTITY => {
            let faults = lines(&answer.body["faults"]);
            let message = format!("the lists have faults; nothing was changed{faults}");
            Err(Failure::new(Exit::Usage, message))
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => Err(undecided(answer)),
        _ => Err(refused(answer, "Nothing was changed.")),
    }
}

/// Returns the message of a conflict.
fn conflict(body: &Value, base: u64) -> String {
    let difference = lines(&body["difference"]);
    format!(
        "other lists came first: revision {} is in force, the file replaces {base}. \
         Nothing was changed.\nFrom the lists in force to the file:{difference}\n\
         Take the other change into the file (`config show`), then publish again.",
        body["revision"],
    )
}

/// Returns the texts of a list, each on an indented line of its own.
fn lines(texts: &Value) -> String {
    let texts = texts.as_array().map_or(&[][..], Vec::as_slice);
    let lines = texts.iter().filter_map(Value::as_str);
    lines.map(|line| format!("\n  {line}")).collect()
}
