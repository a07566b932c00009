//! `arbutusford demo`: everything in one process, on loopback.

use crate::{Exit, Failure, commands::entry::stop_signal, logs};
use argh::FromArgs;
use bench::{
    Answer, Client, Deployment, Error, Kind, OPERATOR_TOKEN, Options, StreamedAnswer, api_key,
};
use http::Method;
use serde_json::{Value, json};
use standin::Shape;
use std::{net::SocketAddr, time::Duration};
use uuid::Uuid;

/// The entry nodes of the demo.
const NODES: usize = 3;

/// The replicas that the demo's engines form.
const REPLICAS: u64 = 3;

/// How long the demo waits for its replicas.
const PATIENCE: Duration = Duration::from_secs(15);

/// The client account that the demo calls as.
const ACCOUNT: &str = "llyn-press";

/// The model of the example lists.
const MODEL: &str = "draft-cy";

/// The time for which callers keep the list of entries, which a stop waits out.
const SETTINGS: &str = "timings = { entries_ttl_ms = 1000 }\n";

/// Runs entry nodes and stand-ins in one process, on loopback.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct Demo {
    /// make a few calls, check their answers, and end
    #[argh(switch)]
    once: bool,

    /// log events of the entry nodes to standard error
    #[argh(switch)]
    verbose: bool,

    /// the seed of everything random outside (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

impl Demo {
    /// Runs the command.
    pub(crate) fn run(self) -> Result<(), Failure> {
        let log = match self.verbose {
            true => logs::logger(slog::Level::Info, logs::Format::Auto),
            false => logs::silent(),
        };
        super::runtime()?.block_on(async {
            let options = Options {
                kind: Kind::HafodTegid,
                shape: Shape::demo(),
                nodes: NODES,
                seed: self.seed,
                settings: SETTINGS.into(),
            };
            let mut deployment = Deployment::start(options, &log).await.map_err(failed)?;
            deployment
                .wait_until_ready(REPLICAS, PATIENCE)
                .await
                .map_err(failed)?;
            let result = match self.once {
                true => calls(&deployment).await.map_err(failed),
                false => serve(&deployment).await,
            };
            deployment.stop().await;
            result
        })
    }
}

/// Returns the failure of a deployment.
fn failed(error: Error) -> Failure {
    Failure::new(Exit::Failed, error)
}

/// Prints how to call the demo, and serves until a signal.
async fn serve(deployment: &Deployment) -> Result<(), Failure> {
    let callers = deployment.caller_addresses();
    println!("entry nodes for callers:");
    callers
        .iter()
        .for_each(|address| println!("  http://{address}"));
    println!("entry nodes for operators (token {OPERATOR_TOKEN}):");
    deployment
        .admin_addresses()
        .iter()
        .for_each(|address| println!("  http://{address}"));
    let key = api_key(ACCOUNT);
    println!("\na streamed draft:\n  {}", draft_line(callers[0], &key));
    println!(
        "\nan entry that may not be repeated:\n  {}",
        entry_line(callers[1], &key)
    );
    println!("\nCtrl-C stops everything, after finishing what is in progress.");
    stop_signal()
        .await
        .map_err(|error| Failure::new(Exit::Failed, error))
}

/// Returns a command line for a streamed draft.
fn draft_line(address: SocketAddr, key: &str) -> String {
    let body = json!({"model": MODEL, "stream": true, "max_tokens": 24,
        "messages": [{"role": "user", "content": "Draft an allocation rationale."}]});
    format!(
        "curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer {key}' -H 'Content-Type: application/json' -d '{body}'"
    )
}

/// Returns a command line for an entry that may not be repeated.
fn entry_line(address: SocketAddr, key: &str) -> String {
    let id = Uuid::now_v7();
    format!(
        "curl http://{address}/v1/services/ledger/entry -H 'Authorization: Bearer {key}' -H 'Idempotency-Key: {id}' -d '{}'",
        entry_body()
    )
}

/// Returns the body of an allocation entry.
fn entry_body() -> Value {
    json!({"project": "T-104", "hours": 120})
}

/// Makes the calls of `--once` and checks their answers.
async fn calls(deployment: &Deployment) -> Result<(), Error> {
    let callers = deployment.caller_addresses();
    let calls = Calls {
        client: deployment.client().clone(),
        key: api_key(ACCOUNT),
    };
    calls.draft(callers[0]).await?;
    calls.classification(callers[1]).await?;
    calls.balance(callers[2]).await?;
    let id = Uuid::now_v7().to_string();
    let first = calls.entry(callers[0], &id).await?;
    let again = calls.entry(callers[1], &id).await?;
    check(
        first.body == again.body,
        "the repeated entry has another answer",
        &again,
    )?;
    let counters = deployment.world().counters();
    let runs = counters.runs_per_key.get(&id).copied();
    println!("runs of that entry: {}", runs.unwrap_or(0));
    if runs != Some(1) || counters.cold_overloads != 0 {
        return Err(Error::new(format!(
            "expected one run and no overload: {runs:?}, {}",
            counters.cold_overloads
        )));
    }
    println!("all answers are as expected");
    Ok(())
}

/// Fails with `what` unless `holds`.
fn check(holds: bool, what: &str, seen: &impl std::fmt::Debug) -> Result<(), Error> {
    if holds {
        Ok(())
    } else {
        Err(Error::new(format!("{what}: {seen:?}")))
    }
}

/// The calls of the demo.
struct Calls {
    client: Client,
    key: String,
}

impl Calls {
    /// Streams a draft.
    async fn draft(&self, address: SocketAddr) -> Result<(), Error> {
        let prompt = "user: Draft an allocation rationale.";
        let body = json!({"model": MODEL, "stream": true, "max_tokens": 24, "seed": 7,
            "messages": [{"role": "user", "content": "Draft an allocation rationale."}]});
        let streamed: StreamedAnswer = self
            .client
            .stream(address, "/v1/chat/completions", &self.key, &[], &body)
            .await?;
        let expected = standin::engine::answer_tokens(7, prompt, 24).concat();
        println!(
            "draft (streamed, {} tokens, whole: {}): {}",
            streamed.tokens, streamed.is_complete, streamed.text
        );
        check(
            streamed.is_complete && streamed.text == expected,
            "the draft is not as expected",
            &streamed,
        )
    }

    /// Asks for a classification in one piece.
    async fn classification(&self, address: SocketAddr) -> Result<(), Error> {
        let prompt = "Classify this grant narrative: upland soils.";
        let body = json!({"model": MODEL, "max_tokens": 3, "seed": 9, "prompt": prompt});
        let answer = self.post(address, "/v1/completions", &[], &body).await?;
        let expected = standin::engine::answer_tokens(9, prompt, 3).concat();
        let text = answer.body["choices"][0]["text"].as_str();
        println!(
            "classification ({}): {}",
            verdict(&answer),
            text.unwrap_or_default()
        );
        check(
            text == Some(&expected),
            "the classification is not as expected",
            &answer,
        )
    }

    /// Enquires a balance.
    async fn balance(&self, address: SocketAddr) -> Result<(), Error> {
        let body = json!({"project": "T-104"});
        let answer = self
            .post(address, "/v1/services/ledger/balance", &[], &body)
            .await?;
        println!("balance ({}): {}", verdict(&answer), answer.body);
        check(
            answer.status.is_success(),
            "the balance enquiry failed",
            &answer,
        )
    }

    /// Makes an entry that may not be repeated.
    async fn entry(&self, address: SocketAddr, id: &str) -> Result<Answer, Error> {
        let headers = [("idempotency-key", id)];
        let answer = self
            .post(
                address,
                "/v1/services/ledger/entry",
                &headers,
                &entry_body(),
            )
            .await?;
        println!(
            "entry through {address} ({}): {}",
            verdict(&answer),
            answer.body
        );
        check(answer.status.is_success(), "the entry failed", &answer)?;
        Ok(answer)
    }

    /// Makes a call with a body.
    async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Answer, Error> {
        Ok(self
            .client
            .call(Method::POST, address, path, &self.key, headers, body)
            .await?)
    }
}

/// Returns the verdict of an answer.
fn verdict(answer: &Answer) -> &str {
    answer.verdict.as_deref().unwrap_or("no verdict")
}
