//! Tickets: at most once while the log is down.
//!
//! A ticket names one life of one node, and only that life may dispatch its
//! request. Its table is in that process's memory alone, so no log is needed;
//! when the process is gone, nobody can tell whether the request ran.

use crate::{Answer, Digest};
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
const MARK: &str = "t1";

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
            "{MARK}{SEPARATOR}{node}{SEPARATOR}{}{SEPARATOR}{number}",
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
        let malformed = || Error::not_run(Kind::Malformed, "not a ticket");
        let parts: Vec<&str> = text.splitn(5, SEPARATOR).collect();
        let [MARK, node, incarnation, number] = parts[..] else {
            return Err(malformed());
        };
        Ok(Self {
            node: node.parse().map_err(|_| malformed())?,
            incarnation: Uuid::try_parse(incarnation)
                .map(Incarnation)
                .map_err(|_| malformed())?,
            number: Uuid::try_parse(number).map_err(|_| malformed())?,
        })
    }
}

/// Where a ticket's request must go.
#[common::plain]
pub enum Place {
    /// This process issued it.
    Here,
    /// The member that issued it.
    Elsewhere(Node, Incarnation),
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
    pub kept: Duration,
    /// The total length of kept answers, in bytes.
    pub answer_bytes: usize,
}

impl Default for Quota {
    /// Returns 16,384 tickets, 2,048 for an account, for 10 minutes, 4 MiB.
    fn default() -> Self {
        Self {
            total: 16_384,
            account: 2_048,
            kept: Duration::from_secs(600),
            answer_bytes: 4 << 20,
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
    Done(Answer),
}

/// How far a ticket's request has come.
#[derive(Debug)]
enum State {
    Issued,
    Running { body: Digest },
    Done { body: Digest, answer: Answer },
}

#[derive(Debug)]
struct Entry {
    account: Account,
    /// When the entry may be forgotten, unless it runs.
    expires: Moment,
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
    expiring: BTreeSet<(Moment, Uuid)>,
    accounts: HashMap<Account, usize>,
    answer_bytes: usize,
}

impl Tickets {
    /// Returns an empty table for one life of `node`.
    pub fn new(node: Node, incarnation: Incarnation, quota: Quota) -> Self {
        Self {
            node,
            incarnation,
            quota,
            entries: HashMap::new(),
            expiring: BTreeSet::new(),
            accounts: HashMap::new(),
            answer_bytes: 0,
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
        let held = self.accounts.get(account).copied().unwrap_or_default();
        if held >= self.quota.account {
            return Err(refusal(
                Kind::Limited,
                "the client account holds too many tickets",
            ));
        }
        if self.entries.len() >= self.quota.total || self.entries.contains_key(&number) {
            return Err(refusal(Kind::Overloaded, "too many tickets are held"));
        }
        let expires = now + self.quota.kept;
        let entry = Entry {
            account: account.clone(),
            expires,
            state: State::Issued,
        };
        self.entries.insert(number, entry);
        self.expiring.insert((expires, number));
        self.accounts.insert(account.clone(), held + 1);
        Ok(Ticket {
            node: self.node.clone(),
            incarnation: self.incarnation,
            number,
        })
    }

    /// Returns where the request of `ticket` must go.
    ///
    /// `is_member` says whether that life of that node is among the members.
    pub fn place(
        &self,
        ticket: &Ticket,
        is_member: impl FnOnce(&Node, Incarnation) -> bool,
    ) -> Place {
        if ticket.incarnation == self.incarnation && ticket.node == self.node {
            Place::Here
        } else if is_member(&ticket.node, ticket.incarnation) {
            Place::Elsewhere(ticket.node.clone(), ticket.incarnation)
        } else {
            Place::Gone
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
        body: Digest,
        now: Moment,
    ) -> Result<Start, Error> {
        self.expire(now);
        let own = ticket.incarnation == self.incarnation && ticket.node == self.node;
        let entry = self.entries.get_mut(&ticket.number);
        let Some(entry) = entry.filter(|entry| own && entry.account == *account) else {
            return Err(unknown());
        };
        match &entry.state {
            State::Issued => {
                self.expiring.remove(&(entry.expires, ticket.number));
                entry.state = State::Running { body };
                Ok(Start::Run)
            }
            State::Running { body: first } if *first != body => Err(mismatch(Verdict::MayHaveRun)),
            State::Running { .. } => Ok(Start::Wait),
            State::Done {
                body: first,
                answer,
            } if *first != body => Err(mismatch(answer.verdict)),
            State::Done { answer, .. } => answer.repeat().map(Start::Done),
        }
    }

    /// Records how the request of a running ticket ended.
    ///
    /// A request that was given up before any byte was sent ends as not-run.
    pub fn finish(&mut self, number: Uuid, result: &Result<Answer, Error>, now: Moment) {
        let Some(entry) = self.entries.get_mut(&number) else {
            return;
        };
        let State::Running { body } = entry.state else {
            return;
        };
        let mut answer = match result {
            Ok(answer) => answer.bounded(),
            Err(error) => Answer::without_body(error.verdict()),
        };
        if self.answer_bytes + answer.body_bytes() > self.quota.answer_bytes {
            answer.body = None;
        }
        self.answer_bytes += answer.body_bytes();
        entry.expires = now + self.quota.kept;
        entry.state = State::Done { body, answer };
        self.expiring.insert((entry.expires, number));
    }

    /// Forgets tickets that were kept long enough; none that runs.
    pub fn expire(&mut self, now: Moment) {
        while let Some((expires, number)) = self.expiring.first().copied() {
            if expires > now {
                break;
            }
            self.expiring.pop_first();
            self.remove(number);
        }
    }

    /// Removes a ticket.
    fn remove(&mut self, number: Uuid) {
        let Some(entry) = self.entries.remove(&number) else {
            return;
        };
        if let State::Done { answer, .. } = &entry.state {
            self.answer_bytes -= answer.body_bytes();
        }
        let held = self.accounts.entry(entry.account.clone()).or_default();
        *held = held.saturating_sub(1);
        if *held == 0 {
            self.accounts.remove(&entry.account);
        }
    }
}

/// Returns the error for a ticket that is not issued.
fn refusal(kind: Kind, message: &str) -> Error {
    Error::not_run(kind, message).with_retry_after(RETRY_AFTER)
}

/// Returns the error for a ticket that the account does not hold here.
fn unknown() -> Error {
    Error::may_have_run(Kind::Forbidden, "the ticket is not known here")
}

/// Returns the error for a ticket that was used with another request.
fn mismatch(verdict: Verdict) -> Error {
    Error::new(
        Kind::Unprocessable,
        verdict,
        "the ticket was used with another request",
    )
}
