//! Tickets: at most once while the log is down.
//!
//! A ticket names one life of one node, and only that life may dispatch its
//! request. Its table is in that process's memory alone, so no log is needed;
//! when the process is gone, nobody can tell whether the request ran.

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

/// The mark at the start of a ticket's text.
const FORMAT_TAG: &str = "t1";

/// What separates the parts of a ticket's text; no name contains it.
const SEPARATOR: char = '~';

/// The time after which another ticket may be asked for.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A right to one run, bound to the life of a node that issued it.
#[common::value]
#[derive(PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The node that issued it.
    pub node: Node,
    /// The life of that node.
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

    /// Reads a ticket's text.
    ///
    /// # Errors
    ///
    /// Returns an error that says not-run for a text that no node issues.
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

/// Where a ticket's request must go.
#[common::plain]
pub enum Destination {
    /// This process issued it.
    Local,
    /// The member that issued it.
    Remote(Node, Incarnation),
    /// The process that issued it is gone.
    Gone,
}

/// The bounds on tickets.
#[common::value]
pub struct Quota {
    /// The number of tickets in all.
    pub total: usize,
    /// The number of tickets of one client account.
    pub account: usize,
    /// How long an unused ticket, or the outcome of a used one, is kept.
    #[serde(rename = "kept")]
    pub retention: Duration,
    /// The total length of kept answers, in bytes.
    #[serde(rename = "answer_bytes")]
    pub response_bytes: usize,
}

impl Default for Quota {
    /// Returns 16,384 tickets, 2,048 for an account, for 10 minutes, 4 MiB.
    fn default() -> Self {
        Self {
            total: 16_384,
            account: 2_048,
            retention: Duration::from_secs(600),
            response_bytes: 4 << 20,
        }
    }
}

/// What a call with a ticket does.
#[common::plain]
pub enum Start {
    /// Dispatches the request, and reports with [`Tickets::finish`].
    Run,
    /// Waits for the call that dispatches it, until its own deadline.
    Wait,
    /// Returns the answer that the ticket's request ended with.
    Done(Response),
}

/// How far a ticket's request has come.
#[derive(Debug)]
enum State {
    Issued,
    Running { digest: Digest },
    Done { digest: Digest, response: Response },
}

#[derive(Debug)]
struct Entry {
    account: Account,
    /// When the entry may be forgotten, unless it runs.
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
    /// The tickets that do not run, by when they may be forgotten.
    by_expiry: BTreeSet<(Moment, Uuid)>,
    counts: HashMap<Account, usize>,
    response_bytes: usize,
}

impl Tickets {
    /// Returns an empty table for one life of `node`.
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

    /// Returns the number of tickets held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no ticket is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Issues a ticket to `account`; `number` is random.
    ///
    /// # Errors
    ///
    /// Returns an error that says not-run if the account or all accounts hold
    /// too many tickets.
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

    /// Returns where the request of `ticket` must go.
    ///
    /// `is_member` says whether that life of that node is among the members.
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

    /// Starts a call with a ticket; at most one call of a ticket is told to run.
    ///
    /// # Errors
    ///
    /// Returns the same error for a ticket that is unknown, forgotten, of
    /// another process or of another account. Returns another for a ticket used
    /// with another request, and the verdict of one that ended without an answer.
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

    /// Records how the request of a running ticket ended.
    ///
    /// A request that was given up before any byte was sent ends as not-run.
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

    /// Forgets tickets that were kept long enough; none that runs.
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

/// Returns the error for a ticket that is not issued.
fn issue_error(kind: Kind, message: &str) -> Error {
    Error::not_run(kind, message).with_retry_after(RETRY_AFTER)
}

/// Returns the error for a ticket that the account does not hold here.
fn unknown_ticket() -> Error {
    Error::may_have_run(Kind::Forbidden, "the ticket is not known here")
}

/// Returns the error for a ticket that was used with another request.
fn digest_mismatch(verdict: Verdict) -> Error {
    Error::new(
        Kind::Unprocessable,
        verdict,
        "the ticket was used with another request",
    )
}
