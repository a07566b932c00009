//! Callers: they learn the entries, call one, and check every answer.

use crate::{
    Client, Kind, api_key,
    client::Streamed,
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

/// The entries that a caller tries one after the other for one call.
const TRIES: usize = 4;

/// The tokens of a classification.
const CLASS_TOKENS: u32 = 3;

/// What a call came to.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Outcome {
    /// When the call arrived, since the load began.
    pub(crate) at: Duration,
    /// Its weight in the service.
    pub(crate) weight: u32,
    /// Whether it counts for the service.
    pub(crate) counts: bool,
    /// Whether the whole answer came.
    pub(crate) is_whole: bool,
    /// Whether the answer is that of another request, or altered.
    pub(crate) is_wrong: bool,
    /// Whether an answer was cut off on its way at any try.
    pub(crate) is_cut: bool,
    /// The idempotency key, and whether the caller was told "not run".
    pub(crate) key: Option<(Uuid, bool)>,
    /// From the call to the first token.
    pub(crate) first_token: Option<Duration>,
    /// The times between tokens.
    pub(crate) between: Vec<Duration>,
    /// Why it failed, in a few words.
    pub(crate) fault: Option<String>,
}

/// The entries as a caller knows them.
#[derive(Debug, Default)]
struct Known {
    entries: Vec<SocketAddr>,
    until: Option<Instant>,
}

/// One client account's caller.
#[derive(Debug)]
pub(crate) struct Caller {
    kind: Kind,
    client: Client,
    key: String,
    domain: String,
    seeds: Vec<SocketAddr>,
    known: Mutex<Known>,
}

/// The result of one try.
enum Tried {
    /// An answer, or an error that the entry stated.
    Answered,
    /// No connection, or one that broke: another entry may do.
    Broken,
}

impl Caller {
    /// Returns a caller in `domain` that has `seeds` to ask for entries.
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
            known: Mutex::default(),
        }
    }

    /// Makes a call and checks its answer.
    pub(crate) async fn call(&self, arrival: &Arrival) -> Outcome {
        let mut outcome = Outcome {
            at: arrival.at,
            weight: arrival.work.weight(),
            counts: arrival.counts,
            is_whole: false,
            is_wrong: false,
            is_cut: false,
            key: None,
            first_token: None,
            between: Vec::new(),
            fault: None,
        };
        if let Work::Entry(key) = arrival.work {
            outcome.key = Some((key, false));
        }
        let mut delivered = Delivered::default();
        for _ in 0..TRIES {
            let Some(entry) = self.entry().await else {
                outcome.fault = Some("no entries".into());
                continue;
            };
            let tried = match arrival.work {
                Work::Draft(tokens) => {
                    self.draft(entry, arrival, tokens, &mut delivered, &mut outcome)
                        .await
                }
                _ => self.whole(entry, arrival, &mut outcome).await,
            };
            match tried {
                Tried::Answered => break,
                Tried::Broken => self.forget(entry),
            }
        }
        outcome
    }

    /// Returns an entry to call.
    async fn entry(&self) -> Option<SocketAddr> {
        if let Some(entry) = self.chosen() {
            return Some(entry);
        }
        let mut seeds = self.seeds.clone();
        rand::seq::SliceRandom::shuffle(&mut *seeds, &mut rand::rng());
        for seed in seeds {
            let path = format!("/v1/entries?domain={}", self.domain);
            let asked = self
                .client
                .call(Method::GET, seed, &path, &self.key, &[], &Value::Null);
            let answer = tokio::time::timeout(Duration::from_secs(1), asked).await;
            let Ok(Ok(answer)) = answer else { continue };
            if self.learn(&answer.body) {
                return self.chosen();
            }
        }
        None
    }

    /// Returns one of the known entries at random, while they may be kept.
    fn chosen(&self) -> Option<SocketAddr> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let is_kept = known.until.is_some_and(|until| Instant::now() < until);
        match is_kept {
            true => known.entries.choose(&mut rand::rng()).copied(),
            false => None,
        }
    }

    /// Takes over a directory: the nearest entries, or all if none is near.
    fn learn(&self, directory: &Value) -> bool {
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
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.until = Some(Instant::now() + ttl);
        known.entries = entries;
        !known.entries.is_empty()
    }

    /// Leaves an entry out until the entries are asked for again.
    fn forget(&self, entry: SocketAddr) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.entries.retain(|other| *other != entry);
    }

    /// Tries a streamed draft, from where the last try broke off.
    async fn draft(
        &self,
        entry: SocketAddr,
        arrival: &Arrival,
        max_tokens: u32,
        delivered: &mut Delivered,
        outcome: &mut Outcome,
    ) -> Tried {
        let body = json!({"model": model(self.kind), "stream": true, "max_tokens": max_tokens,
            "seed": arrival.seed, "prompt": arrival.prompt});
        let resume = delivered.last_event.clone();
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
            Err(error) => return broken(&error, outcome),
        };
        delivered.add(&streamed);
        outcome.first_token = outcome.first_token.or(streamed.first_token);
        outcome.between.extend(streamed.between);
        if streamed.is_whole {
            let expected =
                standin::engine::answer_tokens(arrival.seed, &arrival.prompt, max_tokens);
            outcome.is_wrong = delivered.text != expected.concat();
            outcome.is_whole = !outcome.is_wrong;
            return Tried::Answered;
        }
        if let Some(error) = streamed.error {
            outcome.is_cut |= streamed.tokens > 0;
            outcome.fault = Some(format!("{}: {}", streamed.status, error["code"]));
            return Tried::Answered;
        }
        outcome.is_cut = true;
        outcome.fault = Some("the stream broke".into());
        Tried::Broken
    }

    /// Tries a call that is answered in one piece.
    async fn whole(&self, entry: SocketAddr, arrival: &Arrival, outcome: &mut Outcome) -> Tried {
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
            Err(error) => return broken(&error, outcome),
        };
        if let Some((_, told_not_run)) = &mut outcome.key {
            *told_not_run = answer.verdict.as_deref() == Some("not-run");
        }
        if answer.status == StatusCode::OK {
            outcome.is_wrong = !is_right(arrival, &path, &body, &answer.body);
            outcome.is_whole = !outcome.is_wrong;
        } else {
            outcome.is_cut |= answer.verdict.as_deref() == Some("may-have-run");
            let code = &answer.body["error"]["code"];
            outcome.fault = Some(format!("{}: {code}", answer.status));
        }
        Tried::Answered
    }
}

/// What a caller has of a streamed draft.
#[derive(Debug, Default)]
struct Delivered {
    text: String,
    last_event: Option<String>,
}

impl Delivered {
    /// Adds the part that one try brought.
    fn add(&mut self, streamed: &Streamed) {
        self.text.push_str(&streamed.text);
        if streamed.last_event.is_some() {
            self.last_event.clone_from(&streamed.last_event);
        }
    }
}

/// Notes a connection that failed, and whether it did so on the way.
fn broken(error: &io::Error, outcome: &mut Outcome) -> Tried {
    let inner = error
        .get_ref()
        .and_then(|e| e.downcast_ref::<legacy::Error>());
    let never_connected = inner.is_some_and(legacy::Error::is_connect);
    outcome.is_cut |= !never_connected;
    outcome.fault = Some(match never_connected {
        true => "no connection".into(),
        false => format!("the connection broke: {error}"),
    });
    Tried::Broken
}

/// Returns the model of a deployment's lists.
pub(crate) fn model(kind: Kind) -> &'static str {
    match kind {
        Kind::HafodTegid => "draft-cy",
        Kind::Lena => "draft-es",
    }
}

/// Returns the path and body of a call that is answered in one piece.
fn request(kind: Kind, arrival: &Arrival) -> (String, Value) {
    let (service, enquiry, entry) = match kind {
        Kind::HafodTegid => ("ledger", "balance", "entry"),
        Kind::Lena => ("booking", "status", "book"),
    };
    let item = json!({"item": arrival.seed});
    match arrival.work {
        Work::Draft(_) | Work::Classification => {
            let body = json!({"model": model(kind), "max_tokens": CLASS_TOKENS,
                "seed": arrival.seed, "prompt": arrival.prompt});
            ("/v1/completions".into(), body)
        }
        Work::Enquiry => (format!("/v1/services/{service}/{enquiry}"), item),
        Work::Entry(_) => (format!("/v1/services/{service}/{entry}"), item),
    }
}

/// Returns whether an answer is that of its request.
fn is_right(arrival: &Arrival, path: &str, sent: &Value, answer: &Value) -> bool {
    match arrival.work {
        Work::Draft(_) | Work::Classification => {
            let expected =
                standin::engine::answer_tokens(arrival.seed, &arrival.prompt, CLASS_TOKENS);
            answer["choices"][0]["text"].as_str() == Some(&expected.concat())
        }
        Work::Enquiry | Work::Entry(_) => {
            let call = path.rsplit('/').next();
            answer["call"].as_str() == call && answer["done"] == *sent
        }
    }
}
