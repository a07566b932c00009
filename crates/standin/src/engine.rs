//! A simulated model engine: orders, generation and the prefix cache.

use crate::{
    host::{ClientConnection, broken_body},
    server::{Incarnation, Membership, Rejection, RunningRequest, Server},
    service::{attempt, rejected},
};
use axum::{
    Extension, Json, Router,
    body::Body,
    extract::{Query, State},
    http::{HeaderMap, StatusCode, header},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use backend::proto::{
    self, ATTEMPT_HEADER, CacheEvents, Cancel, Finish, Frame, GENERATION_HEADER, Generate, Order,
    Phase, REFUSED_HEADER, Refusal,
};
use bytes::Bytes;
use futures_util::stream;
use name::{Attempt, Generation, Model};
use std::{io, sync::Arc, time::Duration};
use tokio::time;

/// The interval between two checks for the other members.
const MEMBER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The delay before a retry after the weight store refused a load.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The vocabulary of generated answers.
const VOCABULARY: [&str; 16] = [
    "river", "slate", "harbour", "ledger", "maple", "stone", "valley", "bridge", "lantern",
    "field", "orchard", "signal", "meadow", "anchor", "copper", "window",
];

/// Returns the tokens of the whole answer to a prompt.
///
/// The answer depends only on the arguments, so that callers can check it.
pub fn answer_tokens(seed: u64, prompt: &str, max_tokens: u32) -> Vec<String> {
    let topic = format!("{seed}:{prompt}");
    let length = name::rendezvous_score(&topic, "length");
    let count = match length % 4 {
        0 => length / 4 % u64::from(max_tokens.max(1)) + 1,
        _ => u64::from(max_tokens.max(1)),
    };
    let token = |index: u64| {
        let score = name::rendezvous_score(&topic, &index.to_string());
        let word = VOCABULARY[(score % VOCABULARY.len() as u64) as usize];
        match index {
            0 => word.into(),
            _ => format!(" {word}"),
        }
    };
    (0..count).map(token).collect()
}

/// Returns the HTTP routes of an engine.
pub(crate) fn routes() -> Router<Arc<Server>> {
    Router::new()
        .route("/v1/order", post(order))
        .route("/v1/generate", post(generate))
        .route("/v1/cancel", post(cancel))
        .route("/v1/cache-events", get(cache_events))
}

/// Returns a refusal with the highest generation that the engine has received.
fn stale_refusal(seen: Generation) -> Response {
    (StatusCode::CONFLICT, Json(Refusal { seen })).into_response()
}

/// Executes an order, or refuses it as stale.
async fn order(
    State(server): State<Arc<Server>>,
    Extension(client): Extension<ClientConnection>,
    Json(order): Json<Order>,
) -> Response {
    let (Order::Join { generation, .. } | Order::Leave { generation }) = order;
    let shared = &server.environment.shared;
    let Some(mut state) = server.lock_for_client(&client) else {
        return rejected(Rejection::Restarted);
    };
    if generation < state.seen {
        if state.faults.fences {
            shared.count(|c| c.stale_orders_refused += 1);
            return stale_refusal(state.seen);
        }
        shared.count(|c| c.stale_orders_obeyed += 1);
    }
    state.seen = state.seen.max(generation);
    match order {
        Order::Join { .. } => join(&server, &mut state, order),
        Order::Leave { .. } => {
            state.phase = Phase::Idle;
            state.membership = None;
        }
    }
    StatusCode::OK.into_response()
}

/// Joins a replica; a repeated order has no effect.
fn join(server: &Arc<Server>, state: &mut Incarnation, order: Order) {
    let Order::Join {
        replica,
        generation,
        member,
        peers,
        model,
        version,
        adapters,
    } = order
    else {
        return;
    };
    let current = state.membership.as_ref();
    if current.is_some_and(|m| m.replica == replica && m.generation == generation) {
        return;
    }
    let mut required_weights: Vec<Arc<str>> = vec![format!("{model}@{version}").into()];
    required_weights.extend(adapters.iter().map(|a| Arc::from(format!("{a}@{version}"))));
    let membership = Membership {
        replica,
        generation,
        member,
        peers,
        model,
        adapters,
    };
    state.membership = Some(membership.clone());
    state.phase = Phase::Loading;
    let boot = state.boot;
    let server = Arc::clone(server);
    tokio::spawn(async move {
        become_ready(&server, boot, &membership, required_weights).await;
    });
}

/// Loads missing weights, waits for the other members and starts to serve.
async fn become_ready(
    server: &Arc<Server>,
    boot: uuid::Uuid,
    membership: &Membership,
    required_weights: Vec<Arc<str>>,
) {
    let current = |state: &Incarnation| {
        let same = |m: &Membership| {
            m.generation == membership.generation && m.replica == membership.replica
        };
        state.boot == boot && state.membership.as_ref().is_some_and(same)
    };
    // Only the base model takes time to load; adapters are loaded with it.
    let base = Arc::clone(&required_weights[0]);
    while !server.lock().loaded.contains(&base) {
        if server.environment.store.load().await {
            break;
        }
        time::sleep(LOAD_RETRY_DELAY).await;
        if !current(&server.lock()) {
            return;
        }
    }
    {
        let mut state = server.lock();
        if state.boot == boot {
            state.loaded.extend(required_weights);
        }
        if !current(&state) {
            return;
        }
        state.phase = Phase::Joining;
    }
    while !members_present(server, membership) {
        time::sleep(MEMBER_POLL_INTERVAL).await;
        if !current(&server.lock()) {
            return;
        }
    }
    let mut state = server.lock();
    if current(&state) {
        state.phase = Phase::Ready;
    }
}

/// Returns the existing members, by position.
pub(crate) fn members(
    server: &Server,
    membership: &Membership,
) -> impl Iterator<Item = Arc<Server>> {
    let registry = server.environment.registry.get();
    let found = move |address| registry?.get(address)?.upgrade();
    membership.peers.iter().filter_map(found)
}

/// Returns whether every member is up and in the same generation.
pub(crate) fn members_present(server: &Server, membership: &Membership) -> bool {
    let (replica, generation) = (&membership.replica, membership.generation);
    let present = members(server, membership).filter(|m| m.is_member(replica, generation));
    present.count() == membership.peers.len()
}

/// Returns whether the members are in several fabrics.
pub(crate) fn is_spread(server: &Server, membership: &Membership) -> bool {
    let own = &server.listed.fabric;
    members(server, membership).any(|member| member.listed.fabric != *own)
}

/// Returns the membership to serve a request with, or a refusal response.
fn servable_membership(
    server: &Server,
    request: &Generate,
    headers: &HeaderMap,
) -> Result<Membership, Box<Response>> {
    let generation = headers.get(GENERATION_HEADER).and_then(|g| g.to_str().ok());
    let generation = generation.and_then(|g| g.parse().ok()).map(Generation);
    let state = server.lock();
    let (seen, faults) = (state.seen, state.faults.clone());
    let membership = state
        .membership
        .clone()
        .filter(|_| state.phase == Phase::Ready);
    drop(state);
    let refused =
        || Box::new((StatusCode::SERVICE_UNAVAILABLE, [(REFUSED_HEADER, "1")]).into_response());
    let Some(membership) = membership.filter(|m| m.member == 0) else {
        return Err(refused());
    };
    if faults.fences && generation != Some(membership.generation) {
        return Err(Box::new(stale_refusal(seen)));
    }
    let offers = |model: &Model| *model == membership.model || membership.adapters.contains(model);
    if !offers(&request.model) {
        return Err(refused());
    }
    if !members_present(server, &membership) {
        let shared = &server.environment.shared;
        if faults.checks_members {
            shared.count(|c| c.refused_with_missing_member += 1);
            return Err(refused());
        }
        shared.count(|c| c.served_with_missing_member += 1);
    }
    Ok(membership)
}

/// Handles a generation request.
async fn generate(
    State(server): State<Arc<Server>>,
    Extension(client): Extension<ClientConnection>,
    headers: HeaderMap,
    Json(request): Json<Generate>,
) -> Response {
    let Some(attempt) = attempt(&headers).filter(|attempt| *attempt == request.attempt) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let faults = server.faults();
    let response_attempt = match faults.cross_answers {
        true => Attempt::random(),
        false => attempt,
    };
    let response_attempt = [(ATTEMPT_HEADER, response_attempt.to_string())];
    let membership = match servable_membership(&server, &request, &headers) {
        Ok(membership) => membership,
        Err(refusal) => return (response_attempt, *refusal).into_response(),
    };
    let tokens = answer_tokens(request.seed, &request.prompt, request.max_tokens);
    let resumed = tokens.iter().take(request.resume_tokens as usize);
    if resumed.cloned().collect::<String>() != request.resume_after {
        server.environment.shared.count(|c| c.wrong_resumes += 1);
        return (response_attempt, StatusCode::BAD_REQUEST).into_response();
    }
    let running = match server.admit(&client, attempt, request.priority).await {
        Ok(running) => running,
        Err(why) => return rejected(why),
    };
    if faults.lose_answers {
        return Response::new(broken_body());
    }
    let stream = AnswerStream::new(running, client, &request, tokens, membership);
    let body = Body::from_stream(stream::unfold(stream, AnswerStream::next_chunk));
    let kind = [(header::CONTENT_TYPE, "text/event-stream")];
    (response_attempt, kind, body).into_response()
}

/// A generated answer that is being streamed.
struct AnswerStream {
    running: RunningRequest,
    client: ClientConnection,
    attempt: Attempt,
    membership: Membership,
    tokens: Vec<String>,
    full: bool,
    index: u32,
    sent: u32,
    wait: u64,
    token_ms: u64,
    ended: bool,
    prompt: Arc<str>,
}

impl AnswerStream {
    /// Returns the stream of `tokens`, without those already delivered.
    fn new(
        running: RunningRequest,
        client: ClientConnection,
        request: &Generate,
        tokens: Vec<String>,
        membership: Membership,
    ) -> Self {
        let server = &running.server;
        let speed = &server.environment.speed;
        let prefix = proto::prefix_hash(&request.prompt);
        let cached = {
            let max = speed.cached_prefixes as usize;
            server.lock().cache.touch(prefix, max)
        };
        let percent = match is_spread(server, &membership) {
            true => u64::from(speed.cross_fabric_percent),
            false => 100,
        };
        let first = match cached {
            true => speed.cached_first_token_ms,
            false => speed.first_token_ms,
        };
        Self {
            client,
            attempt: request.attempt,
            full: tokens.len() as u64 >= u64::from(request.max_tokens),
            index: request.resume_tokens,
            sent: 0,
            wait: first * percent / 100,
            token_ms: speed.token_ms * percent / 100,
            ended: false,
            prompt: request.prompt.as_str().into(),
            membership,
            tokens,
            running,
        }
    }

    /// Returns the next chunk of the response body.
    async fn next_chunk(mut self) -> Option<(Result<Bytes, io::Error>, Self)> {
        if self.ended {
            return None;
        }
        let server = Arc::clone(&self.running.server);
        let cancelled = self.running.cancelled.clone();
        tokio::select! {
            () = time::sleep(server.scaled_delay(self.wait)) => {}
            () = cancelled.cancelled() => return Some((Err(io::ErrorKind::Interrupted.into()), self)),
        }
        self.client.until_reachable().await;
        self.wait = self.token_ms;
        let faults = server.faults();
        if faults.stall_after.is_some_and(|after| self.sent >= after) {
            cancelled.cancelled().await;
        }
        let cut = faults.cut_after.is_some_and(|after| self.sent >= after);
        let crash_prompts = faults.crash_prompts.as_deref();
        if self.sent >= 1 && crash_prompts.is_some_and(|text| self.prompt.contains(text)) {
            server.restart(true);
            return Some((Err(io::ErrorKind::ConnectionReset.into()), self));
        }
        let missing = faults.checks_members && !members_present(&server, &self.membership);
        if cut || missing {
            return Some((Err(io::ErrorKind::ConnectionReset.into()), self));
        }
        let piece = self.next_events(&faults);
        Some((Ok(piece), self))
    }

    /// Returns the events of the next token, altered by the fault switches.
    fn next_events(&mut self, faults: &crate::Faults) -> Bytes {
        let text = self.tokens.get(self.index as usize).cloned();
        let last = self.index as usize + 1 >= self.tokens.len();
        let finish = match self.full {
            true => Finish::Length,
            false => Finish::Stop,
        };
        let frame = Frame {
            attempt: self.attempt,
            generation: self.membership.generation,
            index: self.index,
            text: text.unwrap_or_default(),
            finish: last.then_some(finish),
        };
        let mut events = String::new();
        if faults.crossed_at == Some(self.index) {
            let attempt = Attempt::random();
            events += &event(&Frame {
                attempt,
                ..frame.clone()
            });
        }
        if faults.gap_at != Some(self.index) {
            events += &event(&frame);
        }
        if faults.repeat_frames {
            events += &event(&frame);
        }
        self.index += 1;
        self.sent += 1;
        if last {
            self.ended = true;
            self.running.complete();
            let shared = &self.running.server.environment.shared;
            shared.count(|c| c.whole_answers += 1);
        }
        events.into()
    }
}

/// Encodes a frame as a server-sent event.
fn event(frame: &Frame) -> String {
    let data = serde_json::to_string(frame).unwrap_or_default();
    format!("data: {data}\n\n")
}

/// Stops an attempt.
async fn cancel(State(server): State<Arc<Server>>, Json(cancel): Json<Cancel>) -> StatusCode {
    if let Some(active) = server.lock().active.get(&cancel.attempt) {
        active.cancel();
    }
    StatusCode::OK
}

/// The query of a request for cache events.
#[common::value]
struct From {
    #[serde(default)]
    from: u64,
}

/// Returns events of the prefix cache.
async fn cache_events(
    State(server): State<Arc<Server>>,
    Query(query): Query<From>,
) -> Json<CacheEvents> {
    Json(server.lock().cache.since(query.from))
}
