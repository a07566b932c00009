//! A bounded queue with weighted fair queueing over client accounts.
//!
//! Client accounts share capacity, measured in estimated tokens, by start-time
//! fair queueing: an account's start tag advances by tokens / weight with each
//! entry removed, and the account with the lowest tag is served next. An account
//! that used less than its share starts before the current virtual time, by a
//! bounded credit: its requests arrive in bursts, and without credit a burst would
//! wait for its share of the slots although the account is below its share on
//! average. When an answer ends, [`Queue::reconcile`] corrects the tag by the
//! difference between estimated and actual tokens.
//!
//! The queue is work-conserving: as long as an eligible entry is at the head of a
//! class, one can be removed. Operations take time logarithmic in the number of
//! accounts, plus one step for each account without an eligible head; callers
//! should therefore keep one queue for each pool of servers that serve the same
//! requests.

mod drain;
mod flow;

use clock::Moment;
use drain::DrainRate;
use flow::{Flow, QueuedRequest};
use name::Account;
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};
use verdict::{Error, Kind};

/// The virtual time that one token takes at weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 16;

/// The retry time returned while no drain rate has been measured.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The bound divided by this is reserved, in addition, for accounts without entries.
const NEW_ACCOUNT_RESERVE_DIVISOR: usize = 4;

/// The longest retry time returned.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The bounds of a queue.
#[common::value]
pub struct Bounds {
    /// Entries over all accounts; a quarter more is reserved for accounts without
    /// entries, so that the other accounts cannot starve them.
    pub total: usize,
    /// Entries of one account.
    pub account: usize,
    /// Tokens, for each unit of weight, that an account below its share may use
    /// ahead of the others: about two seconds of the pool's rate.
    pub credit: u64,
}

/// A request to add to the queue.
#[common::plain]
pub struct Entry<T> {
    /// The client account.
    pub account: Account,
    /// The account's weight relative to other accounts; 0 counts as 1.
    pub weight: u32,
    /// The index of its class in the account's plan; 0 is the most urgent.
    pub class: usize,
    /// The estimated tokens of prompt and answer; 0 counts as 1.
    pub tokens: u64,
    /// When the answer must be complete.
    pub deadline: Moment,
    /// The payload, returned when the entry is removed.
    pub item: T,
}

/// An entry removed from the queue.
#[common::plain]
pub struct Popped<T> {
    /// The client account.
    pub account: Account,
    /// The index of its class in the account's plan.
    pub class: usize,
    /// The estimated tokens.
    pub tokens: u64,
    /// How long it waited.
    pub waited: Duration,
    /// When the answer must be complete.
    pub deadline: Moment,
    /// The payload.
    pub item: T,
}

/// A bounded queue with weighted fair queueing.
#[derive(Debug)]
pub struct Queue<T> {
    bounds: Bounds,
    flows: HashMap<Account, Flow<T>>,
    /// Accounts with entries, by start tag.
    active: BTreeSet<(u64, Account)>,
    /// Tracked accounts without entries, by start tag.
    idle: BTreeSet<(u64, Account)>,
    deadlines: BTreeSet<(Moment, u64, Account, usize)>,
    drain_rate: DrainRate,
    /// The highest start tag among removed entries.
    virtual_time: u64,
    sequence: u64,
    tokens: u64,
    /// The sum of the weights of accounts with entries.
    active_weight: u64,
}

impl<T> Queue<T> {
    /// Returns an empty queue.
    pub fn new(bounds: Bounds) -> Self {
        let virtual_time = bounds.credit.saturating_mul(VIRTUAL_TIME_PER_TOKEN);
        Self {
            bounds,
            flows: HashMap::new(),
            active: BTreeSet::new(),
            idle: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            drain_rate: DrainRate::default(),
            // The first accounts also start with the full credit.
            virtual_time,
            sequence: 0,
            tokens: 0,
            active_weight: 0,
        }
    }

    /// Adds an entry.
    ///
    /// # Errors
    ///
    /// Returns an error with verdict not-run and a retry time if a bound is
    /// reached or the deadline cannot be met.
    pub fn push(&mut self, entry: Entry<T>, now: Moment) -> Result<(), Error> {
        self.check_admission(&entry, now)?;
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
        let flow = self.flows.get_mut(&account).expect("activated above");
        let request = QueuedRequest {
            tokens,
            deadline,
            queued_at: now,
            item,
        };
        flow.push(class, self.sequence, request);
        self.deadlines
            .insert((deadline, self.sequence, account, class));
        Ok(())
    }

    /// Removes the next eligible entry in weighted fair order.
    pub fn pop(&mut self, now: Moment, is_eligible: impl Fn(&T) -> bool) -> Option<Popped<T>> {
        let (account, class) = self.active.iter().find_map(|(_, account)| {
            let class = self.flows.get(account)?.next_class(&is_eligible)?;
            Some((account.clone(), class))
        })?;
        let flow = self.flows.get_mut(&account)?;
        let start = flow.start_tag;
        let (sequence, request) = flow.pop(class)?;
        flow.unreconciled += 1;
        let step = request.tokens.saturating_mul(VIRTUAL_TIME_PER_TOKEN) / u64::from(flow.weight);
        let next = start.saturating_add(step);
        self.virtual_time = self.virtual_time.max(start);
        self.update_totals(&account, class, sequence, &request);
        self.set_start_tag(&account, next);
        self.evict_idle_accounts();
        self.drain_rate
            .record_pop(request.tokens, !self.active.is_empty(), now);
        Some(Popped {
            account,
            class,
            tokens: request.tokens,
            waited: now.since(request.queued_at),
            deadline: request.deadline,
            item: request.item,
        })
    }

    /// Removes the entries whose deadline has passed, oldest deadline first.
    pub fn expire(&mut self, now: Moment) -> Vec<Popped<T>> {
        let mut out = Vec::new();
        while let Some((deadline, sequence, account, class)) = self.deadlines.first().cloned() {
            if now < deadline {
                break;
            }
            let flow = self.flows.get_mut(&account);
            let Some(request) = flow.and_then(|l| l.remove(class, sequence)) else {
                break;
            };
            self.update_totals(&account, class, sequence, &request);
            out.push(Popped {
                account,
                class,
                tokens: request.tokens,
                waited: now.since(request.queued_at),
                deadline,
                item: request.item,
            });
        }
        out
    }

    /// Corrects an account's start tag by the error of an estimate.
    ///
    /// Must be called once for each popped entry; the account is tracked until
    /// then.
    pub fn reconcile(&mut self, account: &Account, estimated: u64, actual: u64) {
        let Some(flow) = self.flows.get_mut(account) else {
            return;
        };
        flow.unreconciled = flow.unreconciled.saturating_sub(1);
        let virtual_cost = |tokens: u64| {
            tokens.max(1).saturating_mul(VIRTUAL_TIME_PER_TOKEN) / u64::from(flow.weight)
        };
        let tag = flow.start_tag.saturating_add(virtual_cost(actual));
        let tag = tag
            .saturating_sub(virtual_cost(estimated))
            .max(self.min_start_tag());
        self.set_start_tag(account, tag);
        self.evict_idle_accounts();
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
    pub fn account_len(&self, account: &Account) -> usize {
        self.flows.get(account).map_or(0, Flow::len)
    }

    /// Returns the number of accounts tracked, with or without entries.
    pub fn tracked_accounts(&self) -> usize {
        self.flows.len()
    }

    /// Returns the expected wait of a new entry of `account`, if a drain rate was measured.
    pub fn expected_wait(&self, account: &Account, weight: u32, now: Moment) -> Option<Duration> {
        if self.is_empty() {
            return Some(Duration::ZERO);
        }
        let rate = self.drain_rate.rate(now)?;
        let flow = self.flows.get(account);
        let account_tokens = flow.map_or(0, Flow::tokens);
        let weight = u64::from(weight.max(1));
        let total_weight = match flow {
            Some(flow) if flow.len() > 0 => self.active_weight,
            _ => self.active_weight + weight,
        };
        // The account's backlog drains at its share of the rate, or sooner if
        // the whole queue is empty before that.
        let tokens_at_share = account_tokens as f64 * total_weight as f64 / weight as f64;
        let tokens = tokens_at_share.min(self.tokens as f64);
        Some(Duration::from_secs_f64(
            (tokens / rate).min(MAX_RETRY_AFTER.as_secs_f64() * 100.0),
        ))
    }

    /// Returns an error if a bound is reached or the deadline cannot be met.
    fn check_admission(&self, entry: &Entry<T>, now: Moment) -> Result<(), Error> {
        let wait = self.expected_wait(&entry.account, entry.weight, now);
        let retry = wait
            .unwrap_or(DEFAULT_RETRY_AFTER)
            .max(Duration::from_millis(1));
        let refuse = |kind, message: &str| {
            Err(Error::not_run(kind, message).with_retry_after(retry.min(MAX_RETRY_AFTER)))
        };
        if self.account_len(&entry.account) >= self.bounds.account {
            return refuse(Kind::Limited, "too many requests of this account wait");
        }
        let reserve = match self.account_len(&entry.account) {
            0 => self.bounds.total / NEW_ACCOUNT_RESERVE_DIVISOR,
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

    /// Returns the lowest start tag allowed: the virtual time less the credit.
    fn min_start_tag(&self) -> u64 {
        let credit = self.bounds.credit.saturating_mul(VIRTUAL_TIME_PER_TOKEN);
        self.virtual_time.saturating_sub(credit)
    }

    /// Adds `account` to the active accounts, and sets its weight.
    fn activate(&mut self, account: &Account, weight: u32) {
        let tag = self.min_start_tag();
        let flow = self.flows.entry(account.clone()).or_default();
        if flow.len() > 0 {
            self.active_weight -= u64::from(flow.weight);
        } else {
            self.idle.remove(&(flow.start_tag, account.clone()));
            flow.start_tag = flow.start_tag.max(tag);
            self.active.insert((flow.start_tag, account.clone()));
        }
        flow.weight = weight;
        self.active_weight += u64::from(weight);
    }

    /// Updates the totals after an entry was removed from its flow.
    fn update_totals(
        &mut self,
        account: &Account,
        class: usize,
        sequence: u64,
        request: &QueuedRequest<T>,
    ) {
        self.tokens -= request.tokens;
        self.deadlines
            .remove(&(request.deadline, sequence, account.clone(), class));
        let Some(flow) = self.flows.get(account) else {
            return;
        };
        if flow.len() == 0 {
            self.active_weight -= u64::from(flow.weight);
            self.active.remove(&(flow.start_tag, account.clone()));
            self.idle.insert((flow.start_tag, account.clone()));
        }
    }

    /// Sets the start tag of an account and re-sorts it.
    fn set_start_tag(&mut self, account: &Account, tag: u64) {
        let Some(flow) = self.flows.get_mut(account) else {
            return;
        };
        let index = match flow.len() {
            0 => &mut self.idle,
            _ => &mut self.active,
        };
        index.remove(&(flow.start_tag, account.clone()));
        flow.start_tag = tag;
        index.insert((tag, account.clone()));
    }

    /// Evicts idle accounts whose start tag the minimum has reached and that await no actual tokens.
    fn evict_idle_accounts(&mut self) {
        while let Some((tag, _)) = self.idle.first() {
            if *tag > self.min_start_tag() {
                break;
            }
            let Some((_, account)) = self.idle.pop_first() else {
                break;
            };
            if self
                .flows
                .get(&account)
                .is_some_and(|l| l.unreconciled == 0)
            {
                self.flows.remove(&account);
            }
        }
    }
}
