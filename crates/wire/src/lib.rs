//! Messages between entry nodes and their conversions.
//!
//! The messages are generated from `proto/peer.proto` and committed; the test
//! `generated` generates them again and compares. Conversions between messages
//! and types of other crates are `From` implementations in [`convert`].

pub mod convert;

#[expect(
    missing_docs,
    clippy::allow_attributes,
    clippy::clone_on_ref_ptr,
    reason = "generated code"
)]
#[rustfmt::skip]
#[path = "generated.rs"]
mod generated;

pub use generated::{
    BeatReply, BeatRequest, CallReply, CallRequest, DraftFrame, DraftRequest, End, Failure,
    FreeSlots, InProgress, ObserveReply, ObserveRequest, RecordsReply, RecordsRequest, Token,
    call_reply, draft_frame, peer_client, peer_server,
};
