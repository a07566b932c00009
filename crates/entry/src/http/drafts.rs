//! The completion routes: complete responses, and streams of server-sent events.

use crate::{
    http::{
        body::{self, Route, Upload},
        caller::{self, Caller},
        reply::{Completion, Failure, VERDICT_HEADER, chunk, error_body},
        stream_id::{StreamId, StreamPosition},
    },
    node::Node,
    serve::{
        draft,
        job::{Draft, Event},
    },
};
use axum::{
    Json,
    extract::State,
    response::{
        IntoResponse, Response,
        sse::{self, Sse},
    },
};
use budget::{Reservation, body::Whole};
use futures_util::{Stream, StreamExt, stream};
use http::{HeaderMap, HeaderValue};
use route::answer::ResumePoint;
use std::{convert::Infallible, sync::Arc, time::Duration};
use tokio::sync::mpsc::Receiver;
use verdict::{Error, Kind, Verdict};

/// The header by which a caller resumes a stream.
const LAST_EVENT_ID_HEADER: &str = "last-event-id";

/// The last data line of a complete stream.
const DONE_MARKER: &str = "[DONE]";

/// Serves `/v1/completions`.
pub(crate) async fn text(node: State<Arc<Node>>, headers: HeaderMap, body: Upload) -> Response {
    serve_completion(node.0, Route::Text, headers, body).await
}

/// Serves `/v1/chat/completions`.
pub(crate) async fn chat(node: State<Arc<Node>>, headers: HeaderMap, body: Upload) -> Response {
    serve_completion(node.0, Route::Chat, headers, body).await
}

/// Serves a completion route.
async fn serve_completion(
    node: Arc<Node>,
    route: Route,
    headers: HeaderMap,
    body: Upload,
) -> Response {
    match prepare(&node, route, &headers, body).await {
        Ok(prepared) if prepared.stream => stream_response(node, route, prepared).await,
        Ok(prepared) => completion_response(node, route, prepared).await,
        Err(error) => Failure(error).into_response(),
    }
}

/// A checked draft.
struct PreparedDraft {
    draft: Draft,
    stream: bool,
    id: StreamId,
    /// The memory of the prompt.
    memory: Reservation,
}

/// Checks the caller, the body, and the caller's access to the model.
async fn prepare(
    node: &Node,
    route: Route,
    headers: &HeaderMap,
    body: Upload,
) -> Result<PreparedDraft, Error> {
    let caller = caller::identify(node, headers)?;
    let limits = &node.settings.limits;
    let max_bytes = usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX);
    let timeout = Duration::from_millis(limits.body_timeout_ms);
    let Whole {
        bytes,
        mut reservation,
    } = body.read(max_bytes, timeout).await?;
    let request = body::parse_completion(route, &bytes)?;
    if !caller.plan.models.contains(&request.model) {
        let text = format!("the plan does not include the model {}", request.model);
        return Err(Error::not_run(Kind::NotFound, text));
    }
    let (id, tokens) = resume_position(node, &caller, headers, &bytes, request.seed)?;
    drop(bytes);
    // A smaller reservation is always granted.
    reservation.resize(request.prompt.len());
    let draft = Draft {
        class: caller.class(request.class.clone())?,
        account: caller.account,
        model: request.model,
        prompt: request.prompt.into(),
        max_tokens: request.max_tokens,
        seed: id.seed,
        resume: ResumePoint::default(),
        skip_tokens: tokens,
        deadline: node.clock.now() + caller.timeout,
        attempts: 0,
        forwarded: false,
    };
    Ok(PreparedDraft {
        draft,
        stream: request.stream,
        id,
        memory: reservation,
    })
}

/// Returns the stream's id and the number of tokens that the caller already has.
fn resume_position(
    node: &Node,
    caller: &Caller,
    headers: &HeaderMap,
    request: &[u8],
    seed: Option<u64>,
) -> Result<(StreamId, u32), Error> {
    let Some(value) = headers.get(LAST_EVENT_ID_HEADER) else {
        let seed = seed.unwrap_or_else(rand::random);
        return Ok((
            StreamId::new(node.secret.expose(), &caller.account, request, seed),
            0,
        ));
    };
    let text = value.to_str().unwrap_or_default();
    let malformed = || {
        Error::not_run(
            Kind::Malformed,
            format!("{LAST_EVENT_ID_HEADER}: not an event of a stream"),
        )
    };
    let position = StreamPosition::parse(text).ok_or_else(malformed)?;
    if !position
        .stream
        .belongs_to(node.secret.expose(), &caller.account, request)
    {
        return Err(Error::not_run(
            Kind::Forbidden,
            "the stream belongs to another request",
        ));
    }
    Ok((position.stream, position.tokens))
}

/// Responds with the complete text in one body.
async fn completion_response(node: Arc<Node>, route: Route, prepared: PreparedDraft) -> Response {
    let model = prepared.draft.model.clone();
    let _memory = prepared.memory;
    let mut events = draft::start(&node, prepared.draft);
    let mut text = String::new();
    let mut tokens = 0;
    while let Some(event) = events.recv().await {
        match event {
            Event::Token {
                text: token_text, ..
            } => {
                text.push_str(&token_text);
                tokens += 1;
            }
            Event::End { by_length } => {
                let created = node.clock.wall().0 / 1_000;
                let id = prepared.id.text();
                let completion = Completion {
                    id,
                    model,
                    text,
                    tokens,
                    by_length,
                    created,
                };
                let verdict = [(VERDICT_HEADER, Verdict::Ran.as_str())];
                return (verdict, Json(completion.body(route))).into_response();
            }
            Event::Failed(error) => return Failure(error).into_response(),
        }
    }
    Failure(truncated_error()).into_response()
}

/// Returns the error for an answer whose events ended without an end event.
fn truncated_error() -> Error {
    Error::may_have_run(Kind::Internal, "the answer ended without its end")
}

/// Responds with a stream of server-sent events.
///
/// The first event determines the status, so that a request that fails before its
/// first token gets an error status.
async fn stream_response(node: Arc<Node>, route: Route, prepared: PreparedDraft) -> Response {
    let model = prepared.draft.model.clone();
    let mut events = draft::start(&node, prepared.draft);
    let first = match events.recv().await {
        None => return Failure(truncated_error()).into_response(),
        Some(Event::Failed(error)) => return Failure(error).into_response(),
        Some(event) => event,
    };
    let encoder = ChunkEncoder {
        route,
        id: prepared.id,
        model,
        _memory: prepared.memory,
    };
    let mut response = Sse::new(body_events(encoder, first, events)).into_response();
    let verdict = HeaderValue::from_static(Verdict::Ran.as_str());
    response.headers_mut().insert(VERDICT_HEADER, verdict);
    response
}

/// An encoder of an answer's events as the server-sent events of one stream.
struct ChunkEncoder {
    route: Route,
    id: StreamId,
    model: name::Model,
    /// The memory of the prompt, until the answer ends.
    _memory: Reservation,
}

impl ChunkEncoder {
    /// Returns the server-sent events for one event of the answer.
    fn encode(&self, event: Event) -> Vec<sse::Event> {
        let id = self.id.text();
        match event {
            Event::Token { index, text } => {
                let position = StreamPosition {
                    stream: self.id.clone(),
                    tokens: index + 1,
                };
                let body = chunk(self.route, &id, &self.model, &text, None);
                vec![
                    sse::Event::default()
                        .id(position.text())
                        .data(body.to_string()),
                ]
            }
            Event::End { by_length } => {
                let body = chunk(self.route, &id, &self.model, "", Some(by_length));
                vec![
                    sse::Event::default().data(body.to_string()),
                    sse::Event::default().data(DONE_MARKER),
                ]
            }
            Event::Failed(error) => {
                vec![
                    sse::Event::default()
                        .event("error")
                        .data(error_body(&error).to_string()),
                ]
            }
        }
    }
}

/// Returns the events of the response body.
///
/// A complete answer ends with the finish reason and [`DONE_MARKER`]; an
/// incomplete one ends with an error event.
fn body_events(
    encoder: ChunkEncoder,
    first: Event,
    events: Receiver<Event>,
) -> impl Stream<Item = Result<sse::Event, Infallible>> {
    let rest = stream::unfold((events, false), |(mut events, ended)| async move {
        if ended {
            return None;
        }
        let event = events
            .recv()
            .await
            .unwrap_or_else(|| Event::Failed(truncated_error()));
        let ended = !matches!(event, Event::Token { .. });
        Some((event, (events, ended)))
    });
    let first_ended = !matches!(first, Event::Token { .. });
    let all = stream::once(async move { first }).chain(rest.take_while(move |_| {
        let has_more = !first_ended;
        async move { has_more }
    }));
    all.flat_map(move |event| stream::iter(encoder.encode(event).into_iter().map(Ok)))
}
