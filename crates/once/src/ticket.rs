//! Tickets: at-most-once execution while the log is unavailable.
//!
//! A ticket names one incarnation of one node, and only that process may
//! dispatch its request. The table of tickets is in the memory of that process
//! alone, so no log is needed; once the process has ended, no node can
//! determine whether the request ran.

use crate::{Digest, Response};
use clock::Moment;
use name::{Account, Incarnation, Node};
use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    str::FromStr,
    time::Duration,
};
use uuid::Uuid;
use verdict::{Error, Kind, Verdict};

/// The version prefix of a ticket's text.
const FORMAT_TAG: &str = "t1";

/// The separator of the fields of a ticket's text; no name contains it.
const SEPARATOR: char = '~';

/// The delay after which a client may request another ticket.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The permission to run one request, bound to the process that issued it.
#[common::value]
#[derive(PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The node that issued it.
    pub node: Node,
    /// The incarnation of that node.
    pub incarnation: Incarnation,
    /// The random number of the ticket.
    pub number: Uuid,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (node, number) = (&self.node, self.number.simple());
        write!(
            f,
            "{FORMAT_TAG}{SEPARATOR}{node}{SEPARATOR}{}{SEPARATOR}{number}",
            self.incarnation
        )
    }
}

impl FromStr for Ticket {
    type Err = Error;

    /// Parses the text of a ticket.
    ///
    /// # Errors
    ///
    /// Returns an error with the verdict not-run for a text that no node issues.
    fn from_str(text: &str) -> Result<Self, Error> {
        let malformed_ticket = || Error::not_run(Kind::Malformed, "not a ticket");
        let parts: Vec<&str> = text.splitn(5, SEPARATOR).collect();
        let [FORMAT_TAG, node, incarnation, number] = parts[..] else {
            return Err(malformed_ticket());
        };
        Ok(Self {
            node: node.parse().map_err(|_| malformed_ticket())?,
            incarnation: Uuid::try_parse(incarnation)
                .map(Incarnation)
                .map_err(|_| malformed_ticket())?,
            number: Uuid::try_parse(number).map_err(|_| malformed_ticket())?,
        })
    }
}

/// The process that must serve a ticket's request.
#[common::plain]
pub enum Destination {
    /// This process, which issued the ticket.
    Local,
    /// The cluster member that issued the ticket.
    Remote(Node, Incarnation),
    /// The process that issued the ticket is no longer a member.
    Gone,
}

/// The limits on stored tickets.
#[common::value]
pub struct Quota {
    /// The maximum number of tickets in total.
    pub total: usize,
    /// The maximum number of tickets of one client account.
    pub account: usize,
    /// How long an unused ticket, or the outcome of a used one, is stored.
    #[serde(rename = "kept")]
    pub retention: Duration,
    /// The maximum total length of stored responses, in bytes.
    #[serde(rename = "answer_bytes")]
    pub response_bytes: usize,
}

impl Default for Quota {
    /// Returns 16,384 tickets, 2,048 per account, 10 minutes and 4 MiB.
    fn default() -> Self {
        Self {
            total: 16_384,
            account: 2_048,
            retention: Duration::from_secs(600),
            response_bytes: 4 << 20,
        }
    }
}

/// The next step of a call with a ticket.
#[common::plain]
pub enum Start {
    /// The caller dispatches the request and reports it by [`Tickets::finish`].
    Run,
    /// The caller waits until its deadline for the call that dispatched it.
    Wait,
    /// The ticket's request has ended with this response.
    Done(Response),
}

/// The progress of a ticket's request.
#[derive(Debug)]
enum State {
    Issued,
    Running { digest: Digest },
    Done { digest: Digest, response: Response },
}

#[derive(Debug)]
struct Entry {
    account: Account,
    /// When the entry may be removed, unless its request is running.
    expires_at: Moment,
    state: State,
}

/// The tickets that one process issued.
#[derive(Debug)]
pub struct Tickets {
    node: Node,
    incarnation: Incarnation,
    quota: Quota,
    entries: HashMap<Uuid, Entry>,
    /// The tickets whose requests are not running, by expiry.
    by_expiry: BTreeSet<(Moment, Uuid)>,
    /// The number of stored tickets by client account.
    counts: HashMap<Account, usize>,
    response_bytes: usize,
}

impl Tickets {
    /// Returns an empty table for one incarnation of `node`.
    pub fn new(node: Node, incarnation: Incarnation, quota: Quota) -> Self {
        Self {
            node,
            incarnation,
            quota,
            entries: HashMap::new(),
            by_expiry: BTreeSet::new(),
            counts: HashMap::new(),
            response_bytes: 0,
        }
    }

    /// Returns the number of stored tickets.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no ticket is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Issues a ticket to `account`; `number` must be random.
    ///
    /// # Errors
    ///
    /// Returns an error with the verdict not-run if the limit of the account or
    /// the total limit is reached.
    pub fn issue(&mut self, account: &Account, number: Uuid, now: Moment) -> Result<Ticket, Error> {
        self.expire(now);
        let held_count = self.counts.get(account).copied().unwrap_or_default();
        if held_count >= self.quota.account {
            return Err(issue_error(
                Kind::Limited,
                "the client account holds too many tickets",
            ));
        }
        if self.entries.len() >= self.quota.total || self.entries.contains_key(&number) {
            return Err(issue_error(Kind::Overloaded, "too many tickets are held"));
        }
        let expires_at = now + self.quota.retention;
        let entry = Entry {
            account: account.clone(),
            expires_at,
            state: State::Issued,
        };
        self.entries.insert(number, entry);
        self.by_expiry.insert((expires_at, number));
        self.counts.insert(account.clone(), held_count + 1);
        Ok(Ticket {
            node: self.node.clone(),
            incarnation: self.incarnation,
            number,
        })
    }

    /// Returns which process must serve the request of `ticket`.
    ///
    /// `is_member` returns whether that incarnation of the node is a member.
    pub fn destination(
        &self,
        ticket: &Ticket,
        is_member: impl FnOnce(&Node, Incarnation) -> bool,
    ) -> Destination {
        if ticket.incarnation == self.incarnation && ticket.node == self.node {
            Destination::Local
        } else if is_member(&ticket.node, ticket.incarnation) {
            Destination::Remote(ticket.node.clone(), ticket.incarnation)
        } else {
            Destination::Gone
        }
    }

    /// Starts a call with a ticket; only the first call gets [`Start::Run`].
    ///
    /// # Errors
    ///
    /// Returns the same error for a ticket that is unknown, expired, of another
    /// process or of another account. Returns a different error for a ticket
    /// that was used with another request, and an error with the verdict of a
    /// request that ended without a response.
    pub fn start(
        &mut self,
        account: &Account,
        ticket: &Ticket,
        digest: Digest,
        now: Moment,
    ) -> Result<Start, Error> {
        self.expire(now);
        let is_local = ticket.incarnation == self.incarnation && ticket.node == self.node;
        let entry = self.entries.get_mut(&ticket.number);
        let Some(entry) = entry.filter(|entry| is_local && entry.account == *account) else {
            return Err(unknown_ticket());
        };
        match &entry.state {
            State::Issued => {
                self.by_expiry.remove(&(entry.expires_at, ticket.number));
                entry.state = State::Running { digest };
                Ok(Start::Run)
            }
            State::Running {
                digest: first_digest,
            } if *first_digest != digest => Err(digest_mismatch(Verdict::MayHaveRun)),
            State::Running { .. } => Ok(Start::Wait),
            State::Done {
                digest: first_digest,
                response,
            } if *first_digest != digest => Err(digest_mismatch(response.verdict)),
            State::Done { response, .. } => response.replay().map(Start::Done),
        }
    }

    /// Stores how the running request of a ticket ended.
    ///
    /// A request that was abandoned before any byte was sent ends as not-run.
    pub fn finish(&mut self, number: Uuid, result: &Result<Response, Error>, now: Moment) {
        let Some(entry) = self.entries.get_mut(&number) else {
            return;
        };
        let State::Running { digest } = entry.state else {
            return;
        };
        let mut response = match result {
            Ok(response) => response.bounded(),
            Err(error) => Response::without_body(error.verdict()),
        };
        if self.response_bytes + response.body_bytes() > self.quota.response_bytes {
            response.body = None;
        }
        self.response_bytes += response.body_bytes();
        entry.expires_at = now + self.quota.retention;
        entry.state = State::Done { digest, response };
        self.by_expiry.insert((entry.expires_at, number));
    }

    /// Removes expired tickets, except those whose requests are running.
    pub fn expire(&mut self, now: Moment) {
        while let Some((expires_at, number)) = self.by_expiry.first().copied() {
            if expires_at > now {
                break;
            }
            self.by_expiry.pop_first();
            self.remove(number);
        }
    }

    /// Removes a ticket.
    fn remove(&mut self, number: Uuid) {
        let Some(entry) = self.entries.remove(&number) else {
            return;
        };
        if let State::Done { response, .. } = &entry.state {
            self.response_bytes -= response.body_bytes();
        }
        let held_count = self.counts.entry(entry.account.clone()).or_default();
        *held_count = held_count.saturating_sub(1);
        if *held_count == 0 {
            self.counts.remove(&entry.account);
        }
    }
}

/// Returns the error for a request for a ticket that is rejected.
fn issue_error(kind: Kind, message: &str) -> Error {
    Error::not_run(kind, message).with_retry_after(RETRY_AFTER)
}

/// Returns the error for a ticket that this process did not issue to the account.
fn unknown_ticket() -> Error {
    Error::may_have_run(Kind::Forbidden, "the ticket is not known here")
}

/// Returns the error for a ticket that was used with a different request.
fn digest_mismatch(verdict: Verdict) -> Error {
    Error::new(
        Kind::Unprocessable,
        verdict,
        "the ticket was used with another request",
    )
}
