//! The message that two members exchange.

use crate::Member;
use name::{Incarnation, Node, Offset};
use std::time::Duration;

/// A reading of the log's tail, passed on with its age.
#[common::value]
pub struct TailReading {
    /// The last offset on the log when it was read.
    pub offset: Offset,
    /// The time since before the reading was asked for; never less.
    pub age: Duration,
}

/// What a node says about its view of the log.
#[common::value]
#[derive(Default)]
pub struct LogReport {
    /// Whether its own last reading of the log succeeded.
    pub reads_log: bool,
    /// The last offset that it has folded; the log holds a record there.
    pub folded: Offset,
    /// Its youngest voucher; used by the receiver of a reply only.
    #[serde(rename = "voucher")]
    pub tail_reading: Option<TailReading>,
}

/// Asks for the words about nodes that are not dead, in the order of names.
#[common::value]
pub struct PageRequest {
    /// The last name that is known already.
    pub after: Option<Node>,
}

/// Words in the order of names.
#[common::value]
pub struct Page {
    /// The words.
    #[serde(rename = "words")]
    pub members: Vec<Member>,
    /// Whether no words follow.
    pub is_last: bool,
}

/// One direction of an exchange between two members.
#[common::value]
pub struct Beat {
    /// The sender.
    pub node: Node,
    /// The sender's life.
    pub incarnation: Incarnation,
    /// The life of the receiver to which `seen` refers.
    #[serde(rename = "to")]
    pub receiver_incarnation: Option<Incarnation>,
    /// The receiver's last change that the sender has taken.
    #[serde(rename = "seen")]
    pub acknowledged_change: u64,
    /// The sender's last change that `words` include.
    #[serde(rename = "sent")]
    pub sent_change: u64,
    /// A digest of the sender's words about nodes that are not dead.
    pub digest: u64,
    /// Asks for words by name; the reply holds a page.
    #[serde(rename = "ask")]
    pub page_request: Option<PageRequest>,
    /// Words by name, in a reply to a call that asks.
    pub page: Option<Page>,
    /// A digest of the sender's words for each bucket; empty unless asked for.
    pub digests: Vec<u32>,
    /// Words that may be new to the receiver.
    #[serde(rename = "words")]
    pub members: Vec<Member>,
    /// The sender's view of the log.
    pub report: LogReport,
}

impl Beat {
    /// Returns the estimated length on the wire, in bytes, without transport.
    pub fn estimated_bytes(&self) -> usize {
        const TAGS: usize = 2 * 8;
        const NUMBERS: usize = 16 + 16 + 4 + 4 + 8 + 1 + 12 + 9;
        let page = self.page.iter().flat_map(|page| &page.members);
        let members: usize = self
            .members
            .iter()
            .chain(page)
            .map(|member| member.estimated_bytes() + 2)
            .sum();
        let after = self
            .page_request
            .iter()
            .filter_map(|request| request.after.as_ref());
        let request: usize = after.map(|node| node.as_str().len()).sum();
        TAGS + NUMBERS + request + self.node.as_str().len() + 4 * self.digests.len() + members
    }
}
