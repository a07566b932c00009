//! `arbutusford take-out` and `bring-back`.

use super::{
    Access,
    client::{Operator, refused, undecided},
    command, report,
};
use crate::{Exit, Failure, commands::runtime};
use bench::Answer;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use std::{io::Write, time::Duration};
use tokio::time::{Instant, sleep};

/// The route of operations.
const OPERATIONS: &str = "/admin/v1/operations";

/// The time between two looks at the progress.
const LOOK_EACH: Duration = Duration::from_millis(250);

command! {
    /// Takes a failure domain or instance out of service, and waits until it is idle.
    TakeOut, "take-out" {
        /// domain or instance
        #[argh(positional)]
        scope: String,

        /// its name
        #[argh(positional)]
        name: String,

        /// the longest wait in seconds (default 60; 0 does not wait)
        #[argh(option, default = "60")]
        wait: u64,
    }
}

command! {
    /// Brings a failure domain or instance back into service.
    BringBack, "bring-back" {
        /// domain or instance
        #[argh(positional)]
        scope: String,

        /// its name
        #[argh(positional)]
        name: String,

        /// the longest wait in seconds (default 60; 0 does not wait)
        #[argh(option, default = "60")]
        wait: u64,
    }
}

/// An operation on its way.
struct Order {
    access: Access,
    scope: String,
    name: String,
    operation: &'static str,
    wait: Duration,
}

impl TakeOut {
    /// Runs the command.
    pub(crate) fn run(self, out: &mut dyn Write) -> Result<(), Failure> {
        let order = Order {
            access: self.access(),
            scope: self.scope,
            name: self.name,
            operation: "take_out",
            wait: Duration::from_secs(self.wait),
        };
        runtime()?.block_on(order.run(out))
    }
}

impl BringBack {
    /// Runs the command.
    pub(crate) fn run(self, out: &mut dyn Write) -> Result<(), Failure> {
        let order = Order {
            access: self.access(),
            scope: self.scope,
            name: self.name,
            operation: "bring_back",
            wait: Duration::from_secs(self.wait),
        };
        runtime()?.block_on(order.run(out))
    }
}

impl Order {
    /// Sends the order, and waits until it is in force everywhere.
    async fn run(&self, out: &mut dyn Write) -> Result<(), Failure> {
        if !["domain", "instance"].contains(&self.scope.as_str()) {
            let message = format!(
                "{:?} is neither domain nor instance. Nothing was changed.",
                self.scope
            );
            return Err(Failure::new(Exit::Usage, message));
        }
        let operator = Operator::new(&self.access)?;
        let held = self.held(&operator).await?;
        let body = json!({
            "scope": self.scope,
            "name": self.name,
            "operation": self.operation,
            "base": held["revision"].as_u64().unwrap_or(0),
        });
        let answer = operator.send(Method::POST, OPERATIONS, &body).await?;
        let revision = self.revision(&answer)?;
        if !self.access.json {
            let Self { scope, name, .. } = self;
            let operation = self.operation;
            let text = format!("{operation} {scope} {name}: accepted as revision {revision}\n");
            report::write(out, &text)?;
        }
        self.follow(&operator, revision, out).await
    }

    /// Returns the operation in force on the scope, or null.
    async fn held(&self, operator: &Operator) -> Result<Value, Failure> {
        let answer = operator.get(OPERATIONS).await?;
        let operations = answer["operations"].as_array().cloned();
        let held = operations.unwrap_or_default().into_iter().find(|held| {
            held["target"]["scope"] == *self.scope && held["target"]["name"] == *self.name
        });
        Ok(held.unwrap_or_default())
    }

    /// Returns the revision of the accepted order.
    fn revision(&self, answer: &Answer) -> Result<u64, Failure> {
        match answer.status {
            StatusCode::OK => Ok(answer.body["revision"].as_u64().unwrap_or_default()),
            StatusCode::CONFLICT => {
                let in_force = answer.body["in_force"].as_str().unwrap_or("nothing");
                let message = format!(
                    "another operation came first: {in_force} is in force on {} {}. \
                     Nothing was changed. Look at `status`, then decide again.",
                    self.scope, self.name
                );
                Err(Failure::new(Exit::Conflict, message))
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => Err(undecided(answer)),
            _ => Err(refused(answer, "Nothing was changed.")),
        }
    }

    /// Waits until the order is in force everywhere, and nothing is in progress
    /// in a scope that is out.
    async fn follow(
        &self,
        operator: &Operator,
        revision: u64,
        out: &mut dyn Write,
    ) -> Result<(), Failure> {
        let until = Instant::now() + self.wait;
        let mut last = String::new();
        loop {
            let held = self.held(operator).await?;
            if held["revision"].as_u64().is_some_and(|now| now > revision) {
                let message = format!(
                    "revision {revision} was in force; a later {} replaced it. \
                     Look at `status`, then decide again.",
                    held["operation"].as_str().unwrap_or("operation")
                );
                return Err(Failure::new(Exit::Conflict, message));
            }
            let progress = Progress::of(&held, revision, self.operation);
            if !self.access.json && progress.text != last {
                report::write(out, &format!("{}\n", progress.text))?;
                last.clone_from(&progress.text);
            }
            let is_over = progress.is_done || Instant::now() >= until;
            if is_over && self.access.json {
                report::write(out, &format!("{held}\n"))?;
            }
            if progress.is_done || (is_over && self.wait.is_zero()) {
                return Ok(());
            }
            if is_over {
                return Err(Failure::new(Exit::Failed, self.late(&progress)));
            }
            sleep(LOOK_EACH).await;
        }
    }

    /// Returns the message of an order that is accepted but not done in time.
    fn late(&self, progress: &Progress) -> String {
        format!(
            "after {} s: {}{}. The order is accepted and stays; run the same command again \
             to wait on.",
            self.wait.as_secs(),
            progress.text,
            progress.silent
        )
    }
}

/// How far an order is.
struct Progress {
    is_done: bool,
    text: String,
    /// When the nodes that are behind were last heard.
    silent: String,
}

impl Progress {
    /// Returns how far the order with `revision` is, as the answer `held` says.
    fn of(held: &Value, revision: u64, operation: &str) -> Self {
        // A scope that never was out has nothing to bring back.
        if held.is_null() && revision == 0 {
            return Self {
                is_done: true,
                text: "it was not out; nothing to do".into(),
                silent: String::new(),
            };
        }
        if held["revision"].as_u64() < Some(revision) {
            return Self {
                is_done: false,
                text: "the asked node does not have it in force yet".into(),
                silent: String::new(),
            };
        }
        let behind = super::table::cell(&held["not_yet_in_force_at"]);
        let in_progress = held["in_progress"].as_u64();
        let force = match behind.as_str() {
            "-" => "in force at every entry node".into(),
            behind => format!("not yet in force at {behind}"),
        };
        let is_leaving = operation == "take_out";
        let work = match in_progress {
            Some(count) if is_leaving => format!("; {count} requests in progress there"),
            _ => String::new(),
        };
        Self {
            is_done: behind == "-" && (!is_leaving || in_progress.unwrap_or(0) == 0),
            text: format!("{force}{work}"),
            silent: silent(&held["nodes"]),
        }
    }
}

/// Returns when each node that does not have an order in force was last heard.
fn silent(nodes: &Value) -> String {
    let nodes = nodes.as_array().map_or(&[][..], Vec::as_slice);
    let behind = nodes.iter().filter(|node| node["in_force"] == false);
    let texts = behind.map(|node| {
        let name = super::table::cell(&node["node"]);
        match node["said_ms_ago"].as_u64() {
            Some(millis) => format!("; {name} was last heard {} s ago", millis / 1_000),
            None => format!("; {name} was never heard"),
        }
    });
    texts.collect()
}
