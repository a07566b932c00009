//! A bounded queue with weighted fair shares.
//!
//! Client accounts share in estimated tokens by start-time fair queueing: an
//! account's tag advances by tokens / weight with each entry that leaves, and
//! the account with the lowest tag is next. An account that used less than its
//! share starts behind the present tag, by a bounded credit: its requests
//! arrive in bursts, and without credit a burst would wait for its share of the
//! slots although the account is below its share on average. When an answer ends, [`Queue::settle`] corrects the tag by
//! what the estimate missed.
//!
//! Work-conserving: as long as an eligible entry is at the head of a class, one
//! leaves. Operations take time logarithmic in the number of accounts, plus one
//! step for each account whose heads are not eligible; so keep one queue for
//! each pool of servers that serve the same requests.

mod drain;
mod flow;

use clock::Moment;
use drain::Drain;
use flow::{Lane, Waiting};
use name::Account;
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};
use verdict::{Error, Kind};

/// Virtual time for one token at weight 1.
const SCALE: u64 = 1 << 16;

/// The retry time given while no drain rate has been observed.
const RETRY_UNKNOWN: Duration = Duration::from_secs(1);

/// The part of the bound, one in so many, that is kept for accounts without entries.
const RESERVE_DIVISOR: usize = 4;

/// The longest retry time given.
const RETRY_MAX: Duration = Duration::from_secs(30);

/// How much a queue may hold.
#[common::value]
pub struct Bounds {
    /// Entries over all accounts; a quarter more is kept for accounts without
    /// entries, so that the others cannot shut them out.
    pub total: usize,
    /// Entries of one account.
    pub account: usize,
    /// Tokens for each unit of weight that an account which used less than its
    /// share may take ahead of the others; about two seconds of the pool's rate.
    pub credit: u64,
}

/// A request that is to wait.
#[common::plain]
pub struct Entry<T> {
    /// The client account.
    pub account: Account,
    /// The account's share relative to others'; at least 1 is used.
    pub weight: u32,
    /// The place of its class in the plan; 0 is the most urgent.
    pub class: usize,
    /// The estimated tokens, prompt and answer; at least 1 is used.
    pub tokens: u64,
    /// When the answer must be complete.
    pub deadline: Moment,
    /// What waits.
    pub item: T,
}

/// An entry that left the queue.
#[common::plain]
pub struct Popped<T> {
    /// The client account.
    pub account: Account,
    /// The place of its class in the plan.
    pub class: usize,
    /// The estimated tokens.
    pub tokens: u64,
    /// How long it waited.
    pub waited: Duration,
    /// When the answer must be complete.
    pub deadline: Moment,
    /// What waited.
    pub item: T,
}

/// A bounded queue with weighted fair shares.
#[derive(Debug)]
pub struct Queue<T> {
    bounds: Bounds,
    lanes: HashMap<Account, Lane<T>>,
    /// Accounts with entries, by tag.
    active: BTreeSet<(u64, Account)>,
    /// Accounts without entries whose tag lies ahead, by tag.
    indebted: BTreeSet<(u64, Account)>,
    deadlines: BTreeSet<(Moment, u64, Account, usize)>,
    drain: Drain,
    /// The tag of the entry that left last.
    tag: u64,
    sequence: u64,
    tokens: u64,
    /// The sum of weights of accounts with entries.
    weights: u64,
}

impl<T> Queue<T> {
    /// Returns an empty queue.
    pub fn new(bounds: Bounds) -> Self {
        let tag = bounds.credit.saturating_mul(SCALE);
        Self {
            bounds,
            lanes: HashMap::new(),
            active: BTreeSet::new(),
            indebted: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            drain: Drain::default(),
            // Early accounts, too, start a whole credit behind.
            tag,
            sequence: 0,
            tokens: 0,
            weights: 0,
        }
    }

    /// Adds an entry.
    ///
    /// # Errors
    ///
    /// Returns an error with verdict not-run, and the time after which a retry
    /// makes sense, if a bound is reached or the deadline cannot be met.
    pub fn push(&mut self, entry: Entry<T>, now: Moment) -> Result<(), Error> {
        self.check(&entry, now)?;
        let Entry {
            account,
            weight,
            class,
            tokens,
            deadline,
            item,
        } = entry;
        let tokens = tokens.max(1);
        self.sequence += 1;
        self.tokens += tokens;
        self.activate(&account, weight.max(1));
        let lane = self.lanes.get_mut(&account).expect("activated above");
        let waiting = Waiting {
            tokens,
            deadline,
            since: now,
            item,
        };
        lane.push(class, self.sequence, waiting);
        self.deadlines
            .insert((deadline, self.sequence, account, class));
        Ok(())
    }

    /// Removes the next entry that is eligible, by weighted fair share.
    pub fn pop(&mut self, now: Moment, eligible: impl Fn(&T) -> bool) -> Option<Popped<T>> {
        let (account, class) = self.active.iter().find_map(|(_, account)| {
            let class = self.lanes.get(account)?.choose(&eligible)?;
            Some((account.clone(), class))
        })?;
        let lane = self.lanes.get_mut(&account)?;
        let start = lane.tag;
        let (sequence, waiting) = lane.take(class)?;
        lane.unsettled += 1;
        let step = waiting.tokens.saturating_mul(SCALE) / u64::from(lane.weight);
        let next = start.saturating_add(step);
        self.tag = self.tag.max(start);
        self.forget(&account, class, sequence, &waiting);
        self.retag(&account, next);
        self.forgive();
        self.drain
            .popped(waiting.tokens, !self.active.is_empty(), now);
        Some(Popped {
            account,
            class,
            tokens: waiting.tokens,
            waited: now.since(waiting.since),
            deadline: waiting.deadline,
            item: waiting.item,
        })
    }

    /// Removes the entries whose deadline has passed, oldest deadline first.
    pub fn expire(&mut self, now: Moment) -> Vec<Popped<T>> {
        let mut out = Vec::new();
        while let Some((deadline, sequence, account, class)) = self.deadlines.first().cloned() {
            if now < deadline {
                break;
            }
            let lane = self.lanes.get_mut(&account);
            let Some(waiting) = lane.and_then(|l| l.remove(class, sequence)) else {
                break;
            };
            self.forget(&account, class, sequence, &waiting);
            out.push(Popped {
                account,
                class,
                tokens: waiting.tokens,
                waited: now.since(waiting.since),
                deadline,
                item: waiting.item,
            });
        }
        out
    }

    /// Corrects an account's share by what an estimate missed.
    ///
    /// To be called once for each entry popped; the account is remembered
    /// until then.
    pub fn settle(&mut self, account: &Account, estimated: u64, actual: u64) {
        let Some(lane) = self.lanes.get_mut(account) else {
            return;
        };
        lane.unsettled = lane.unsettled.saturating_sub(1);
        let span = |tokens: u64| tokens.max(1).saturating_mul(SCALE) / u64::from(lane.weight);
        let tag = lane.tag.saturating_add(span(actual));
        let tag = tag.saturating_sub(span(estimated)).max(self.floor());
        self.retag(account, tag);
        self.forgive();
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Returns the number of entries of one account.
    pub fn len_of(&self, account: &Account) -> usize {
        self.lanes.get(account).map_or(0, Lane::len)
    }

    /// Returns the number of accounts that the queue remembers.
    pub fn accounts(&self) -> usize {
        self.lanes.len()
    }

    /// Returns the expected wait of a new entry of `account`, if a drain rate was observed.
    pub fn expected_wait(&self, account: &Account, weight: u32, now: Moment) -> Option<Duration> {
        if self.is_empty() {
            return Some(Duration::ZERO);
        }
        let rate = self.drain.rate(now)?;
        let lane = self.lanes.get(account);
        let own = lane.map_or(0, Lane::tokens);
        let weight = u64::from(weight.max(1));
        let others = match lane {
            Some(lane) if lane.len() > 0 => self.weights,
            _ => self.weights + weight,
        };
        // Its own backlog drains at its share of the rate, or sooner if the
        // whole backlog ends first.
        let at_share = own as f64 * others as f64 / weight as f64;
        let tokens = at_share.min(self.tokens as f64);
        Some(Duration::from_secs_f64(
            (tokens / rate).min(RETRY_MAX.as_secs_f64() * 100.0),
        ))
    }

    /// Refuses an entry for which there is no room or no time.
    fn check(&self, entry: &Entry<T>, now: Moment) -> Result<(), Error> {
        let wait = self.expected_wait(&entry.account, entry.weight, now);
        let retry = wait.unwrap_or(RETRY_UNKNOWN).max(Duration::from_millis(1));
        let refuse = |kind, message: &str| {
            Err(Error::not_run(kind, message).with_retry_after(retry.min(RETRY_MAX)))
        };
        if self.len_of(&entry.account) >= self.bounds.account {
            return refuse(Kind::Limited, "too many requests of this account wait");
        }
        let reserve = match self.len_of(&entry.account) {
            0 => self.bounds.total / RESERVE_DIVISOR,
            _ => 0,
        };
        if self.len() >= self.bounds.total.saturating_add(reserve) {
            return refuse(Kind::Overloaded, "too many requests wait");
        }
        if now + wait.unwrap_or_default() >= entry.deadline {
            return refuse(Kind::Overloaded, "the deadline cannot be met");
        }
        Ok(())
    }

    /// Returns the lowest tag that an account may have: the present one less the credit.
    fn floor(&self) -> u64 {
        let credit = self.bounds.credit.saturating_mul(SCALE);
        self.tag.saturating_sub(credit)
    }

    /// Makes sure that `account` is among those with entries.
    fn activate(&mut self, account: &Account, weight: u32) {
        let tag = self.floor();
        let lane = self.lanes.entry(account.clone()).or_default();
        if lane.len() > 0 {
            self.weights -= u64::from(lane.weight);
        } else {
            self.indebted.remove(&(lane.tag, account.clone()));
            lane.tag = lane.tag.max(tag);
            self.active.insert((lane.tag, account.clone()));
        }
        lane.weight = weight;
        self.weights += u64::from(weight);
    }

    /// Updates the totals after an entry left its lane.
    fn forget(&mut self, account: &Account, class: usize, sequence: u64, waiting: &Waiting<T>) {
        self.tokens -= waiting.tokens;
        self.deadlines
            .remove(&(waiting.deadline, sequence, account.clone(), class));
        let Some(lane) = self.lanes.get(account) else {
            return;
        };
        if lane.len() == 0 {
            self.weights -= u64::from(lane.weight);
            self.active.remove(&(lane.tag, account.clone()));
            self.indebted.insert((lane.tag, account.clone()));
        }
    }

    /// Moves an account to another tag.
    fn retag(&mut self, account: &Account, tag: u64) {
        let Some(lane) = self.lanes.get_mut(account) else {
            return;
        };
        let index = match lane.len() {
            0 => &mut self.indebted,
            _ => &mut self.active,
        };
        index.remove(&(lane.tag, account.clone()));
        lane.tag = tag;
        index.insert((tag, account.clone()));
    }

    /// Drops settled accounts without entries whose tag has been reached.
    fn forgive(&mut self) {
        while let Some((tag, _)) = self.indebted.first() {
            if *tag > self.floor() {
                break;
            }
            let Some((_, account)) = self.indebted.pop_first() else {
                break;
            };
            if self.lanes.get(&account).is_some_and(|l| l.unsettled == 0) {
                self.lanes.remove(&account);
            }
        }
    }
}
