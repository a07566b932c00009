//! The completion routes: whole answers, and streams of server-sent events.

use crate::{
    http::{
        body::{self, Route},
        caller::{self, Caller},
        reply::{Failure, VERDICT_HEADER, Whole, chunk, error_body},
        stream_id::{Place, StreamId},
    },
    node::Node,
    serve::{
        draft,
        job::{Draft, Event},
    },
};
use axum::{
    Json,
    body::Body,
    extract::State,
    response::{
        IntoResponse, Response,
        sse::{self, Sse},
    },
};
use futures_util::{Stream, StreamExt, stream};
use http::{HeaderMap, HeaderValue};
use route::answer::ResumePoint;
use std::{convert::Infallible, sync::Arc, time::Duration};
use tokio::sync::mpsc::Receiver;
use verdict::{Error, Kind, Verdict};

/// The header by which a caller resumes a stream.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// The last data line of a whole stream.
const DONE: &str = "[DONE]";

/// Serves `/v1/completions`.
pub(crate) async fn text(node: State<Arc<Node>>, headers: HeaderMap, body: Body) -> Response {
    answer(node.0, Route::Text, headers, body).await
}

/// Serves `/v1/chat/completions`.
pub(crate) async fn chat(node: State<Arc<Node>>, headers: HeaderMap, body: Body) -> Response {
    answer(node.0, Route::Chat, headers, body).await
}

/// Serves a completion route.
async fn answer(node: Arc<Node>, route: Route, headers: HeaderMap, body: Body) -> Response {
    match prepare(&node, route, &headers, body).await {
        Ok(prepared) if prepared.stream => streamed(node, route, prepared).await,
        Ok(prepared) => whole(node, route, prepared).await,
        Err(error) => Failure(error).into_response(),
    }
}

/// A draft that was checked.
struct Prepared {
    draft: Draft,
    stream: bool,
    id: StreamId,
}

/// Checks the caller, the body and what the caller may use.
async fn prepare(
    node: &Node,
    route: Route,
    headers: &HeaderMap,
    body: Body,
) -> Result<Prepared, Error> {
    let caller = caller::identify(node, headers)?;
    let limits = &node.settings.limits;
    let bytes = body::read(
        body,
        usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX),
        Duration::from_millis(limits.body_timeout_ms),
    )
    .await?;
    let asked = body::draft(route, &bytes)?;
    if !caller.plan.models.contains(&asked.model) {
        let text = format!("the plan does not include the model {}", asked.model);
        return Err(Error::not_run(Kind::NotFound, text));
    }
    let (id, tokens) = place(node, &caller, headers, &bytes, asked.seed)?;
    let draft = Draft {
        class: caller.class(asked.class.clone())?,
        account: caller.account,
        model: asked.model,
        prompt: asked.prompt.into(),
        max_tokens: asked.max_tokens,
        seed: id.seed,
        resume: ResumePoint::default(),
        skip_tokens: tokens,
        deadline: node.clock.now() + caller.patience,
        attempts: 0,
        forwarded: false,
    };
    Ok(Prepared {
        draft,
        stream: asked.stream,
        id,
    })
}

/// Returns the stream's id and the number of tokens that the caller has.
fn place(
    node: &Node,
    caller: &Caller,
    headers: &HeaderMap,
    request: &[u8],
    seed: Option<u64>,
) -> Result<(StreamId, u32), Error> {
    let Some(value) = headers.get(LAST_EVENT_HEADER) else {
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
            format!("{LAST_EVENT_HEADER}: not an event of a stream"),
        )
    };
    let place = Place::parse(text).ok_or_else(malformed)?;
    if !place
        .stream
        .belongs_to(node.secret.expose(), &caller.account, request)
    {
        return Err(Error::not_run(
            Kind::Forbidden,
            "the stream belongs to another request",
        ));
    }
    Ok((place.stream, place.tokens))
}

/// Answers with the whole text in one body.
async fn whole(node: Arc<Node>, route: Route, prepared: Prepared) -> Response {
    let model = prepared.draft.model.clone();
    let mut events = draft::start(&node, prepared.draft);
    let mut text = String::new();
    let mut tokens = 0;
    while let Some(event) = events.recv().await {
        match event {
            Event::Token { text: piece, .. } => {
                text.push_str(&piece);
                tokens += 1;
            }
            Event::End { by_length } => {
                let created = node.clock.wall().0 / 1_000;
                let id = prepared.id.text();
                let whole = Whole {
                    id,
                    model,
                    text,
                    tokens,
                    by_length,
                    created,
                };
                let verdict = [(VERDICT_HEADER, Verdict::Ran.as_str())];
                return (verdict, Json(whole.body(route))).into_response();
            }
            Event::Failed(error) => return Failure(error).into_response(),
        }
    }
    Failure(ended_early()).into_response()
}

/// Returns the error for an answer whose events stopped without an end.
fn ended_early() -> Error {
    Error::may_have_run(Kind::Internal, "the answer ended without its end")
}

/// Answers with a stream of server-sent events.
///
/// The status is decided by the first event, so that a request that fails
/// before its first token gets a proper error status.
async fn streamed(node: Arc<Node>, route: Route, prepared: Prepared) -> Response {
    let model = prepared.draft.model.clone();
    let mut events = draft::start(&node, prepared.draft);
    let first = match events.recv().await {
        None => return Failure(ended_early()).into_response(),
        Some(Event::Failed(error)) => return Failure(error).into_response(),
        Some(event) => event,
    };
    let lines = Lines {
        route,
        id: prepared.id,
        model,
    };
    let mut response = Sse::new(body_events(lines, first, events)).into_response();
    let verdict = HeaderValue::from_static(Verdict::Ran.as_str());
    response.headers_mut().insert(VERDICT_HEADER, verdict);
    response
}

/// What the data lines of one stream have in common.
struct Lines {
    route: Route,
    id: StreamId,
    model: name::Model,
}

impl Lines {
    /// Returns the events that stand for one event of the answer.
    fn of(&self, event: Event) -> Vec<sse::Event> {
        let id = self.id.text();
        match event {
            Event::Token { index, text } => {
                let place = Place {
                    stream: self.id.clone(),
                    tokens: index + 1,
                };
                let body = chunk(self.route, &id, &self.model, &text, None);
                vec![
                    sse::Event::default()
                        .id(place.text())
                        .data(body.to_string()),
                ]
            }
            Event::End { by_length } => {
                let body = chunk(self.route, &id, &self.model, "", Some(by_length));
                vec![
                    sse::Event::default().data(body.to_string()),
                    sse::Event::default().data(DONE),
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
/// Only a whole answer ends with the finish reason and the mark of the end; a
/// broken one ends with an error event.
fn body_events(
    lines: Lines,
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
            .unwrap_or_else(|| Event::Failed(ended_early()));
        let ended = !matches!(event, Event::Token { .. });
        Some((event, (events, ended)))
    });
    let first_ended = !matches!(first, Event::Token { .. });
    let all = stream::once(async move { first }).chain(rest.take_while(move |_| {
        let go_on = !first_ended;
        async move { go_on }
    }));
    all.flat_map(move |event| stream::iter(lines.of(event).into_iter().map(Ok)))
}
