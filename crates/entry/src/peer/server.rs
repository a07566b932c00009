//! The gRPC service that peers call.

use crate::{
    driver::{control, heartbeats, observe},
    node::Node,
    peer::{Authenticator, ObservationQuery, accept, decode_heartbeat, encode_heartbeat_reply},
    serve::{
        call, draft,
        job::{Call, Draft, Event},
        keyed,
    },
};
use futures_util::{Stream, StreamExt, stream};
use name::{Account, Class, Model, Offset, Service};
use route::answer::ResumePoint;
use std::{pin::Pin, sync::Arc, time::Duration};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tonic::{Request, Response, Status, transport::Server};
use verdict::Error;
use wire::{
    BeatReply, BeatRequest, CallReply, CallRequest, DraftFrame, DraftRequest, End, Failure,
    ObserveReply, ObserveRequest, RecordsReply, RecordsRequest, Token, call_reply,
    convert::Invalid,
    draft_frame,
    peer_server::{Peer, PeerServer},
};

/// The maximum size of a peer's message, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// The maximum time limit accepted for a peer's request.
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(600);

/// The implementation of the service on one node.
#[derive(Debug)]
struct PeerService {
    node: Arc<Node>,
    authenticator: Authenticator,
}

/// Serves peers until `stop` is cancelled.
///
/// # Errors
///
/// Returns the transport's error.
pub(crate) async fn serve(
    node: Arc<Node>,
    authenticator: Authenticator,
    listener: TcpListener,
    stop: CancellationToken,
) -> Result<(), tonic::transport::Error> {
    let connections = accept::connections(listener, Arc::clone(&node));
    let service_impl = PeerService {
        node,
        authenticator,
    };
    let service = PeerServer::new(service_impl)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    Server::builder()
        .http2_keepalive_interval(Some(Duration::from_secs(5)))
        .add_service(service)
        .serve_with_incoming_shutdown(connections, stop.cancelled_owned())
        .await
}

/// Returns the gRPC status for a message that does not convert.
fn invalid_argument(error: &Invalid) -> Status {
    Status::invalid_argument(error.to_string())
}

/// The stream of a draft's frames.
type FrameStream = Pin<Box<dyn Stream<Item = Result<DraftFrame, Status>> + Send>>;

#[tonic::async_trait]
impl Peer for PeerService {
    type DraftStream = FrameStream;

    async fn beat(&self, request: Request<BeatRequest>) -> Result<Response<BeatReply>, Status> {
        self.authenticator.check(&request)?;
        let beat = decode_heartbeat(request.get_ref()).map_err(|e| invalid_argument(&e))?;
        Ok(Response::new(encode_heartbeat_reply(
            &heartbeats::handle_heartbeat(&self.node, &beat),
        )))
    }

    async fn observe(
        &self,
        request: Request<ObserveRequest>,
    ) -> Result<Response<ObserveReply>, Status> {
        self.authenticator.check(&request)?;
        let query =
            ObservationQuery::try_from(request.into_inner()).map_err(|e| invalid_argument(&e))?;
        Ok(Response::new(
            observe::handle_query(&self.node, &query).into(),
        ))
    }

    async fn draft(&self, request: Request<DraftRequest>) -> Result<Response<FrameStream>, Status> {
        self.authenticator.check(&request)?;
        let draft =
            decode_draft(request.into_inner(), &self.node).map_err(|e| invalid_argument(&e))?;
        let events = draft::start(&self.node, draft);
        let frames = stream::unfold(events, |mut events| async move {
            events
                .recv()
                .await
                .map(|event| (Ok(encode_frame(event)), events))
        });
        Ok(Response::new(frames.boxed()))
    }

    async fn call(&self, request: Request<CallRequest>) -> Result<Response<CallReply>, Status> {
        self.authenticator.check(&request)?;
        let message = request.into_inner();
        let ticket = message.ticket.clone();
        let call = decode_call(message, &self.node).map_err(|e| invalid_argument(&e))?;
        let result = match ticket.as_str() {
            "" => call::run(&self.node, call).await,
            ticket => run_with_ticket(&self.node, call, ticket).await,
        };
        let part = match result {
            Ok(body) => call_reply::Part::Result(body),
            Err(error) => call_reply::Part::Failure(Failure::from(&error)),
        };
        Ok(Response::new(CallReply { part: Some(part) }))
    }

    async fn records(
        &self,
        request: Request<RecordsRequest>,
    ) -> Result<Response<RecordsReply>, Status> {
        self.authenticator.check(&request)?;
        let RecordsRequest { from, max_bytes } = request.into_inner();
        let relay = control::relay_from(&self.node, Offset(from), max_bytes);
        let relay = relay.and_then(|relay| serde_json::to_vec(&relay).ok());
        Ok(Response::new(RecordsReply {
            relay: relay.unwrap_or_default(),
        }))
    }
}

/// Runs a call under a ticket and returns the body of the answer.
async fn run_with_ticket(node: &Arc<Node>, call: Call, ticket: &str) -> Result<Vec<u8>, Error> {
    let answer = keyed::run_with_ticket(node, call, ticket).await?;
    Ok(answer.body.map(|body| body.to_vec()).unwrap_or_default())
}

/// Converts a draft message; its time limit counts from its arrival.
fn decode_draft(message: DraftRequest, node: &Node) -> Result<Draft, Invalid> {
    Ok(Draft {
        account: Account::try_from(message.account).map_err(|_| Invalid::new("account"))?,
        class: Class::try_from(message.class).map_err(|_| Invalid::new("class"))?,
        model: Model::try_from(message.model).map_err(|_| Invalid::new("model"))?,
        prompt: message.prompt.into(),
        max_tokens: message.max_tokens,
        seed: message.seed,
        resume: ResumePoint {
            text: message.resume_after,
            tokens: message.resume_tokens,
        },
        skip_tokens: 0,
        deadline: node.clock.now() + request_timeout(message.deadline_ms),
        attempts: message.attempts,
        forwarded: true,
    })
}

/// Converts a call message; its time limit counts from its arrival.
fn decode_call(message: CallRequest, node: &Node) -> Result<Call, Invalid> {
    Ok(Call {
        account: Account::try_from(message.account).map_err(|_| Invalid::new("account"))?,
        service: Service::try_from(message.service).map_err(|_| Invalid::new("service"))?,
        call: message.call.into(),
        body: message.body.into(),
        deadline: node.clock.now() + request_timeout(message.deadline_ms),
        attempts: message.attempts,
        forwarded: true,
    })
}

/// Returns the time limit of a peer's request, capped at [`MAX_REQUEST_TIMEOUT`].
fn request_timeout(millis: u64) -> Duration {
    Duration::from_millis(millis).min(MAX_REQUEST_TIMEOUT)
}

/// Converts an event of an answer to a frame.
fn encode_frame(event: Event) -> DraftFrame {
    let part = match event {
        Event::Token { index, text } => draft_frame::Part::Token(Token { index, text }),
        Event::End { by_length } => draft_frame::Part::End(End { by_length }),
        Event::Failed(error) => draft_frame::Part::Failure(Failure::from(&error)),
    };
    DraftFrame { part: Some(part) }
}
