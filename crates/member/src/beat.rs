//! The heartbeat message that two members exchange.

use crate::Member;
use name::{Incarnation, Node, Offset};
use std::time::Duration;

/// A reading of the log's tail, with its age.
#[common::value]
pub struct TailReading {
    /// The last offset of the log at the time of the reading.
    pub offset: Offset,
    /// The time since just before the read request was sent; an upper bound.
    pub age: Duration,
}

/// The sender's view of the control log.
#[common::value]
#[derive(Default)]
pub struct LogReport {
    /// Whether the sender's own last read of the log succeeded.
    pub reads_log: bool,
    /// The last offset that the sender has folded; the log holds a record
    /// there.
    pub folded: Offset,
    /// The sender's youngest reading; receivers use it only in a reply.
    #[serde(rename = "voucher")]
    pub tail_reading: Option<TailReading>,
}

/// A request for member records that are not dead, ordered by node name.
#[common::value]
pub struct PageRequest {
    /// The name after which the page starts; none for the first page.
    pub after: Option<Node>,
}

/// A page of member records, ordered by node name.
#[common::value]
pub struct Page {
    /// The member records.
    #[serde(rename = "words")]
    pub members: Vec<Member>,
    /// Whether this is the last page.
    pub is_last: bool,
}

/// One direction of an exchange between two members.
#[common::value]
pub struct Beat {
    /// The sender.
    pub node: Node,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The incarnation of the receiver to which `acknowledged_change` refers.
    #[serde(rename = "to")]
    pub receiver_incarnation: Option<Incarnation>,
    /// The number of the receiver's last change that the sender has applied.
    #[serde(rename = "seen")]
    pub acknowledged_change: u64,
    /// The number of the sender's last change that `members` includes.
    #[serde(rename = "sent")]
    pub sent_change: u64,
    /// A digest of the sender's member records that are not dead.
    pub digest: u64,
    /// A request for a page of member records, which the reply carries.
    #[serde(rename = "ask")]
    pub page_request: Option<PageRequest>,
    /// The requested page, in a reply.
    pub page: Option<Page>,
    /// A digest of the sender's member records in each bucket; empty unless the
    /// exchange uses digests.
    pub digests: Vec<u32>,
    /// Member records that may be new to the receiver.
    #[serde(rename = "words")]
    pub members: Vec<Member>,
    /// The sender's view of the control log.
    pub report: LogReport,
}

impl Beat {
    /// Returns the estimated encoded length in bytes, without transport
    /// overhead.
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
