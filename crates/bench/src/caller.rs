//! Callers, which look up the entries, call one, and check every response.

use crate::{
    Client, Kind, api_key,
    client::StreamedAnswer,
    load::{Arrival, Work},
};
use http::{Method, StatusCode};
use hyper_util::client::legacy;
use rand::seq::IndexedRandom;
use serde_json::{Value, json};
use std::{
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};
use tokio::time::Instant;
use uuid::Uuid;

/// The maximum number of attempts for one call.
const MAX_ATTEMPTS: usize = 4;

/// The maximum number of tokens of a classification.
const CLASSIFICATION_TOKENS: u32 = 3;

/// The result of a call, over all its attempts.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Outcome {
    /// The arrival time, measured from the start of the load.
    pub(crate) at: Duration,
    /// The weight in the service ratio.
    pub(crate) weight: u32,
    /// Whether the call counts in the service ratio.
    pub(crate) is_counted: bool,
    /// Whether the complete and correct response arrived.
    pub(crate) is_complete: bool,
    /// Whether the response differs from the expected one.
    pub(crate) is_wrong: bool,
    /// Whether any attempt was cut off in progress.
    pub(crate) is_cut_off: bool,
    /// The idempotency key, and whether the response's verdict was `not-run`.
    pub(crate) key: Option<(Uuid, bool)>,
    /// The time from the attempt's start to the first token.
    pub(crate) first_token: Option<Duration>,
    /// The times between tokens.
    pub(crate) token_intervals: Vec<Duration>,
    /// The reason for the failure.
    pub(crate) fault: Option<String>,
}

/// A caller's cached directory of entries.
#[derive(Debug, Default)]
struct CachedDirectory {
    entries: Vec<SocketAddr>,
    expires_at: Option<Instant>,
}

/// A caller of one client account.
#[derive(Debug)]
pub(crate) struct Caller {
    kind: Kind,
    client: Client,
    key: String,
    domain: String,
    seeds: Vec<SocketAddr>,
    cached: Mutex<CachedDirectory>,
}

/// The result of one attempt.
enum AttemptResult {
    /// The entry returned a response or an explicit error.
    Answered,
    /// No connection, or one that broke, so that another entry is tried.
    ConnectionFailed,
}

impl Caller {
    /// Returns a caller in `domain` that requests the directory from `seeds`.
    pub(crate) fn new(
        kind: Kind,
        client: Client,
        account: &str,
        domain: String,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self {
            kind,
            client,
            key: api_key(account),
            domain,
            seeds,
            cached: Mutex::default(),
        }
    }

    /// Makes a call and checks its response.
    pub(crate) async fn call(&self, arrival: &Arrival) -> Outcome {
        let mut outcome = Outcome {
            at: arrival.at,
            weight: arrival.work.weight(),
            is_counted: arrival.is_counted,
            is_complete: false,
            is_wrong: false,
            is_cut_off: false,
            key: None,
            first_token: None,
            token_intervals: Vec::new(),
            fault: None,
        };
        if let Work::Entry(key) = arrival.work {
            outcome.key = Some((key, false));
        }
        let mut received = ReceivedDraft::default();
        for _ in 0..MAX_ATTEMPTS {
            let Some(entry) = self.choose_entry().await else {
                outcome.fault = Some("no entries".into());
                continue;
            };
            let result = match arrival.work {
                Work::Draft(tokens) => {
                    self.attempt_draft(entry, arrival, tokens, &mut received, &mut outcome)
                        .await
                }
                _ => self.attempt_unary(entry, arrival, &mut outcome).await,
            };
            match result {
                AttemptResult::Answered => break,
                AttemptResult::ConnectionFailed => self.remove_entry(entry),
            }
        }
        outcome
    }

    /// Returns an entry to call, after a lookup if the directory has expired.
    async fn choose_entry(&self) -> Option<SocketAddr> {
        if let Some(entry) = self.cached_entry() {
            return Some(entry);
        }
        let mut seeds = self.seeds.clone();
        rand::seq::SliceRandom::shuffle(&mut *seeds, &mut rand::rng());
        for seed in seeds {
            let path = format!("/v1/entries?domain={}", self.domain);
            let lookup = self
                .client
                .call(Method::GET, seed, &path, &self.key, &[], &Value::Null);
            let answer = tokio::time::timeout(Duration::from_secs(1), lookup).await;
            let Ok(Ok(answer)) = answer else { continue };
            if self.cache_directory(&answer.body) {
                return self.cached_entry();
            }
        }
        None
    }

    /// Returns a random entry of the cached directory, unless it has expired.
    fn cached_entry(&self) -> Option<SocketAddr> {
        let cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        let is_valid = cached
            .expires_at
            .is_some_and(|expires_at| Instant::now() < expires_at);
        match is_valid {
            true => cached.entries.choose(&mut rand::rng()).copied(),
            false => None,
        }
    }

    /// Caches a directory's nearest entries, or all if none is marked as nearest.
    fn cache_directory(&self, directory: &Value) -> bool {
        let Some(listed) = directory["entries"].as_array() else {
            return false;
        };
        let address = |entry: &&Value| entry["address"].as_str()?.parse().ok();
        let near: Vec<SocketAddr> = listed
            .iter()
            .filter(|entry| entry["nearest"] == true)
            .filter_map(|entry| address(&entry))
            .collect();
        let entries = match near.is_empty() {
            true => listed.iter().filter_map(|e| address(&e)).collect(),
            false => near,
        };
        let ttl = Duration::from_secs(directory["ttl_seconds"].as_u64().unwrap_or(0));
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        cached.expires_at = Some(Instant::now() + ttl);
        cached.entries = entries;
        !cached.entries.is_empty()
    }

    /// Removes an entry until the directory is requested again.
    fn remove_entry(&self, entry: SocketAddr) {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        cached.entries.retain(|other| *other != entry);
    }

    /// Attempts a streamed draft, resumed after the last event received.
    async fn attempt_draft(
        &self,
        entry: SocketAddr,
        arrival: &Arrival,
        max_tokens: u32,
        received: &mut ReceivedDraft,
        outcome: &mut Outcome,
    ) -> AttemptResult {
        let body = json!({"model": model(self.kind), "stream": true, "max_tokens": max_tokens,
            "seed": arrival.seed, "prompt": arrival.prompt});
        let resume = received.last_event.clone();
        let headers: Vec<(&str, &str)> = resume
            .iter()
            .map(|id| ("last-event-id", id.as_str()))
            .collect();
        let streamed = self
            .client
            .stream(entry, "/v1/completions", &self.key, &headers, &body)
            .await;
        let streamed = match streamed {
            Ok(streamed) => streamed,
            Err(error) => return record_connection_error(&error, outcome),
        };
        received.append(&streamed);
        outcome.first_token = outcome.first_token.or(streamed.first_token);
        outcome.token_intervals.extend(streamed.token_intervals);
        if streamed.is_complete {
            let expected =
                standin::engine::answer_tokens(arrival.seed, &arrival.prompt, max_tokens);
            outcome.is_wrong = received.text != expected.concat();
            outcome.is_complete = !outcome.is_wrong;
            return AttemptResult::Answered;
        }
        if let Some(error) = streamed.error {
            outcome.is_cut_off |= streamed.tokens > 0;
            outcome.fault = Some(format!("{}: {}", streamed.status, error["code"]));
            return AttemptResult::Answered;
        }
        outcome.is_cut_off = true;
        outcome.fault = Some("the stream broke".into());
        AttemptResult::ConnectionFailed
    }

    /// Attempts a call whose response is not streamed.
    async fn attempt_unary(
        &self,
        entry: SocketAddr,
        arrival: &Arrival,
        outcome: &mut Outcome,
    ) -> AttemptResult {
        let (path, body) = request(self.kind, arrival);
        let key = outcome.key.map(|(key, _)| key.to_string());
        let headers: Vec<(&str, &str)> = key
            .iter()
            .map(|k| ("idempotency-key", k.as_str()))
            .collect();
        let answer = self
            .client
            .call(Method::POST, entry, &path, &self.key, &headers, &body)
            .await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => return record_connection_error(&error, outcome),
        };
        if let Some((_, is_not_run)) = &mut outcome.key {
            *is_not_run = answer.verdict.as_deref() == Some("not-run");
        }
        if answer.status == StatusCode::OK {
            outcome.is_wrong = !is_expected(arrival, &path, &body, &answer.body);
            outcome.is_complete = !outcome.is_wrong;
        } else {
            outcome.is_cut_off |= answer.verdict.as_deref() == Some("may-have-run");
            let code = &answer.body["error"]["code"];
            outcome.fault = Some(format!("{}: {code}", answer.status));
        }
        AttemptResult::Answered
    }
}

/// The part of a streamed draft that was received.
#[derive(Debug, Default)]
struct ReceivedDraft {
    text: String,
    last_event: Option<String>,
}

impl ReceivedDraft {
    /// Appends the part received in one attempt.
    fn append(&mut self, streamed: &StreamedAnswer) {
        self.text.push_str(&streamed.text);
        if streamed.last_event.is_some() {
            self.last_event.clone_from(&streamed.last_event);
        }
    }
}

/// Records a failed connection, and whether it broke after it was established.
fn record_connection_error(error: &io::Error, outcome: &mut Outcome) -> AttemptResult {
    let inner = error
        .get_ref()
        .and_then(|e| e.downcast_ref::<legacy::Error>());
    let never_connected = inner.is_some_and(legacy::Error::is_connect);
    outcome.is_cut_off |= !never_connected;
    outcome.fault = Some(match never_connected {
        true => "no connection".into(),
        false => format!("the connection broke: {error}"),
    });
    AttemptResult::ConnectionFailed
}

/// Returns the model of a deployment's lists.
pub(crate) fn model(kind: Kind) -> &'static str {
    match kind {
        Kind::HafodTegid => "draft-cy",
        Kind::Lena => "draft-es",
    }
}

/// Returns the path and body of a call whose response is not streamed.
fn request(kind: Kind, arrival: &Arrival) -> (String, Value) {
    let (service, enquiry, entry) = match kind {
        Kind::HafodTegid => ("ledger", "balance", "entry"),
        Kind::Lena => ("booking", "status", "book"),
    };
    let item = json!({"item": arrival.seed});
    match arrival.work {
        Work::Draft(_) | Work::Classification => {
            let body = json!({"model": model(kind), "max_tokens": CLASSIFICATION_TOKENS,
                "seed": arrival.seed, "prompt": arrival.prompt});
            ("/v1/completions".into(), body)
        }
        Work::Enquiry => (format!("/v1/services/{service}/{enquiry}"), item),
        Work::Entry(_) => (format!("/v1/services/{service}/{entry}"), item),
    }
}

/// Returns whether a response matches its request.
fn is_expected(arrival: &Arrival, path: &str, sent: &Value, answer: &Value) -> bool {
    match arrival.work {
        Work::Draft(_) | Work::Classification => {
            let expected = standin::engine::answer_tokens(
                arrival.seed,
                &arrival.prompt,
                CLASSIFICATION_TOKENS,
            );
            answer["choices"][0]["text"].as_str() == Some(&expected.concat())
        }
        Work::Enquiry | Work::Entry(_) => {
            let call = path.rsplit('/').next();
            answer["call"].as_str() == call && answer["done"] == *sent
        }
    }
}
