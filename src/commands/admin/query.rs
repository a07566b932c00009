//! Queries of operators, one command each.

use super::{Access, client::Operator, command, report};
use crate::Failure;
use serde_json::Value;
use std::{io::Write, time::Duration};
use tokio::time::sleep;

/// The time between two prints of `status --watch`.
const WATCH_EACH: Duration = Duration::from_secs(1);

command! {
    /// Shows how one entry node is, and what is out of service.
    Status, "status" {
        /// print again each second, until Ctrl-C
        #[argh(switch)]
        watch: bool,
    }
}

command! {
    /// Shows how one entry node stands to the log service.
    Log, "log" {}
}

command! {
    /// Shows the replicas and why any is not servable.
    Replicas, "replicas" {}
}

command! {
    /// Shows the instances of engines and services.
    Instances, "instances" {}
}

command! {
    /// Shows the client accounts with their limits and use.
    Accounts, "accounts" {}
}

command! {
    /// Shows the entry nodes.
    Entries, "entries" {}
}

command! {
    /// Shows the times of one entry node's requests, by account, class and phase.
    Histograms, "histograms" {}
}

/// One query: where it is asked, and how its answer is shown to people.
struct Query {
    path: &'static str,
    text: fn(&Value) -> String,
}

impl Query {
    /// Asks once and prints the answer.
    async fn ask(&self, access: &Access, out: &mut dyn Write) -> Result<(), Failure> {
        let answer = Operator::new(access)?.get(self.path).await?;
        super::report::print(out, access.json, &answer, self.text)
    }
}

/// Implements `run` for commands that ask one query.
macro_rules! asks {
    ($($name:ident: $path:literal, $text:path;)*) => {$(
        impl $name {
            /// Runs the command.
            pub(crate) fn run(self, out: &mut dyn Write) -> Result<(), Failure> {
                let query = Query { path: $path, text: $text };
                crate::commands::runtime()?.block_on(query.ask(&self.access(), out))
            }
        }
    )*};
}

asks! {
    Log: "/admin/v1/log", report::log;
    Replicas: "/admin/v1/replicas", report::replicas;
    Instances: "/admin/v1/instances", report::instances;
    Accounts: "/admin/v1/accounts", report::accounts;
    Entries: "/admin/v1/entries", report::entries;
    Histograms: "/admin/v1/histograms", report::histograms;
}

impl Status {
    /// Runs the command.
    pub(crate) fn run(self, out: &mut dyn Write) -> Result<(), Failure> {
        crate::commands::runtime()?.block_on(async {
            let access = self.access();
            let operator = Operator::new(&access)?;
            loop {
                let mut answer = operator.get("/admin/v1/status").await?;
                let operations = operator.get("/admin/v1/operations").await?;
                answer["operations"] = operations["operations"].clone();
                report::print(out, access.json, &answer, report::status)?;
                if !self.watch {
                    return Ok(());
                }
                sleep(WATCH_EACH).await;
            }
        })
    }
}
