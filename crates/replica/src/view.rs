//! The listing, reports and votes that an entry node has received about instances.

use crate::{Report, Settings, Vote, watchers};
use clock::Moment;
use name::{Domain, Fabric, Instance, Node, Offset};
use state::Epoch;
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};
use uuid::Uuid;

/// The number of watchers of an instance.
pub(crate) const WATCHERS_PER_INSTANCE: usize = 3;

/// An instance as the platform lists it.
#[common::value]
pub struct ListedInstance {
    /// The instance.
    pub instance: Instance,
    /// The address of its engine.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Its fabric domain.
    pub fabric: Fabric,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The state of an instance in the platform's list, which lags behind the instance.
#[common::key]
pub enum ListingState {
    /// The instance is listed and not leaving.
    Live,
    /// The instance is listed as leaving.
    Leaving,
    /// The instance was listed earlier and is no longer listed.
    Absent,
}

/// A report with the earliest moment at which it can have been true.
#[common::plain]
pub struct TimedReport {
    /// The report.
    pub report: Report,
    /// The moment at which the request for the report was sent.
    ///
    /// The engine wrote the report later, so that its age is never underestimated.
    pub as_of: Moment,
}

/// The listing, latest report and votes of one instance.
#[common::plain]
pub struct InstanceStatus {
    /// The address of its engine.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Its fabric domain.
    pub fabric: Fabric,
    /// The state in the platform's list.
    pub listing: ListingState,
    /// The moment of the last change of `listing`.
    pub listing_changed: Moment,
    /// The latest report, if any was received.
    pub latest: Option<TimedReport>,
    /// The boot identifier before the latest one, and when the latest replaced it.
    previous_boot: Option<(Uuid, Moment)>,
    /// The votes of watchers that suspect the instance.
    suspicions: Vec<Suspicion>,
    /// The watchers, and the revision of the epoch from which they were computed.
    watchers: Option<(Offset, Vec<Node>)>,
}

/// The vote of one watcher that suspects an instance.
#[common::plain]
struct Suspicion {
    /// The watcher.
    watcher: Node,
    /// The watcher's failure domain.
    domain: Domain,
    /// The moment after which the vote no longer counts.
    expires_at: Moment,
}

/// The listing, reports and votes of all instances, as one entry node received them.
#[derive(Debug, Clone, Default)]
pub struct View {
    settings: Settings,
    instances: HashMap<Instance, InstanceStatus>,
}

impl View {
    /// Returns an empty view.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            instances: HashMap::new(),
        }
    }

    /// Returns the settings in use.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Updates the view from the platform's list, read at `now`.
    ///
    /// Since the list lags, an instance that is no longer listed stays in the view
    /// until it has been unlisted and without a report for ten times `gone_after`.
    pub fn update_listing(&mut self, listed: &[ListedInstance], now: Moment) {
        let by_name: BTreeMap<_, _> = listed.iter().map(|l| (&l.instance, l)).collect();
        for (instance, status) in &mut self.instances {
            if !by_name.contains_key(instance) {
                status.set_listing(ListingState::Absent, now);
            }
        }
        for (instance, listed) in by_name {
            match self.instances.get_mut(instance) {
                Some(status) => status.update(listed, now),
                None => {
                    self.instances
                        .insert(instance.clone(), InstanceStatus::new(listed, now));
                }
            }
        }
        let limit = self.settings.gone_after * 10;
        self.instances
            .retain(|_, status| !status.is_gone(limit, now));
    }

    /// Stores a report unless it is outdated, and returns whether it was stored.
    ///
    /// `as_of` is the earliest moment at which the report can have been true: the
    /// moment at which the poll was sent, or, for a report relayed by a peer, the
    /// moment at which the peer was queried minus the age that the peer reported. An
    /// older report never replaces a newer one. A report of the boot before the
    /// latest is rejected for `replaced_boot_retention`, so that a delayed message
    /// does not restore it.
    pub fn record_report(&mut self, report: Report, as_of: Moment, now: Moment) -> bool {
        let retention = self.settings.replaced_boot_retention;
        let Some(status) = self.instances.get_mut(&report.instance) else {
            return false;
        };
        if status
            .previous_boot
            .is_some_and(|(boot, at)| boot == report.boot && now.since(at) < retention)
        {
            return false;
        }
        if let Some(latest) = &status.latest {
            if as_of <= latest.as_of {
                return false;
            }
            if latest.report.boot != report.boot {
                status.previous_boot = Some((latest.report.boot, now));
            }
        }
        status.latest = Some(TimedReport { report, as_of });
        true
    }

    /// Stores a watcher's vote, and returns whether it counts.
    ///
    /// A vote counts only if its sender is a watcher of the instance in `epoch`.
    pub fn record_vote(&mut self, vote: &Vote, epoch: &Epoch, now: Moment) -> bool {
        let expires_at = now + self.settings.vote_lifetime;
        let Some(status) = self.instances.get_mut(&vote.instance) else {
            return false;
        };
        let Some(peer) = epoch.peers.iter().find(|p| p.node == vote.watcher) else {
            return false;
        };
        if status
            .watchers
            .as_ref()
            .is_none_or(|(at, _)| *at != epoch.revision)
        {
            let chosen = watchers(&vote.instance, &status.domain, epoch, WATCHERS_PER_INSTANCE);
            status.watchers = Some((epoch.revision, chosen));
        }
        let is_watcher = |(_, chosen): &(Offset, Vec<Node>)| chosen.contains(&vote.watcher);
        if !status.watchers.as_ref().is_some_and(is_watcher) {
            return false;
        }
        status
            .suspicions
            .retain(|s| s.watcher != vote.watcher && s.expires_at > now);
        if vote.suspected {
            status.suspicions.push(Suspicion {
                watcher: vote.watcher.clone(),
                domain: peer.domain.clone(),
                expires_at,
            });
        }
        true
    }

    /// Returns the status of `instance`, if it is in the view.
    pub fn get(&self, instance: &Instance) -> Option<&InstanceStatus> {
        self.instances.get(instance)
    }

    /// Returns all instances, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (&Instance, &InstanceStatus)> {
        self.instances.iter()
    }

    /// Returns the report of `instance` if it is fresh.
    pub fn fresh_report(&self, instance: &Instance, now: Moment) -> Option<&Report> {
        self.instances
            .get(instance)
            .and_then(|status| status.fresh_report(&self.settings, now))
    }

    /// Returns the reports that are at most `max_age` old, to relay to peers.
    pub fn recent_reports(
        &self,
        max_age: std::time::Duration,
        now: Moment,
    ) -> impl Iterator<Item = &TimedReport> {
        self.instances
            .values()
            .filter_map(|status| status.latest.as_ref())
            .filter(move |timed| now.since(timed.as_of) <= max_age)
    }
}

impl InstanceStatus {
    fn new(listed: &ListedInstance, now: Moment) -> Self {
        Self {
            address: listed.address,
            domain: listed.domain.clone(),
            fabric: listed.fabric.clone(),
            listing: listing_state(listed),
            listing_changed: now,
            latest: None,
            previous_boot: None,
            suspicions: Vec::new(),
            watchers: None,
        }
    }

    fn update(&mut self, listed: &ListedInstance, now: Moment) {
        self.address = listed.address;
        if self.domain != listed.domain {
            self.domain = listed.domain.clone();
            self.watchers = None;
        }
        self.fabric.clone_from(&listed.fabric);
        self.set_listing(listing_state(listed), now);
    }

    fn set_listing(&mut self, listing: ListingState, now: Moment) {
        if self.listing != listing {
            self.listing = listing;
            self.listing_changed = now;
        }
    }

    /// Returns the report if it is fresh.
    pub fn fresh_report(&self, settings: &Settings, now: Moment) -> Option<&Report> {
        self.latest
            .as_ref()
            .filter(|timed| now.since(timed.as_of) <= settings.report_max_age)
            .map(|timed| &timed.report)
    }

    /// Returns whether watchers in two different failure domains suspect the instance.
    pub fn is_suspected(&self, now: Moment) -> bool {
        let mut unexpired = self.suspicions.iter().filter(|s| s.expires_at > now);
        let Some(first) = unexpired.next() else {
            return false;
        };
        unexpired.any(|s| s.domain != first.domain)
    }

    /// Returns whether the instance has been unlisted and without a report for longer than `span`.
    pub fn is_gone(&self, span: std::time::Duration, now: Moment) -> bool {
        let last_report = self
            .latest
            .as_ref()
            .map_or(self.listing_changed, |s| s.as_of);
        self.listing == ListingState::Absent
            && now.since(last_report) > span
            && now.since(self.listing_changed) > span
    }

    /// Returns whether the platform lists the instance as leaving.
    ///
    /// The phase that the engine reports does not count: an engine also reports
    /// the leaving phase after an order to leave its replica.
    pub fn is_leaving(&self) -> bool {
        self.listing == ListingState::Leaving
    }
}

fn listing_state(listed: &ListedInstance) -> ListingState {
    if listed.leaving {
        ListingState::Leaving
    } else {
        ListingState::Live
    }
}
