//! What an entry node knows of the instances.

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
pub(crate) const WATCHERS: usize = 3;

/// An instance as the platform lists it.
#[common::value]
pub struct Listed {
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

/// What the platform's list says of an instance; it lags.
#[common::key]
pub enum Listing {
    /// It is listed.
    Live,
    /// It is listed as leaving.
    Leaving,
    /// It was listed before.
    Absent,
}

/// A report with the earliest moment to which it can refer.
#[common::plain]
pub struct Sighting {
    /// The report.
    pub report: Report,
    /// The moment at which the request for the report was sent.
    pub taken: Moment,
}

/// What is known of one instance.
#[common::plain]
pub struct Seen {
    /// The address of its engine.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Its fabric domain.
    pub fabric: Fabric,
    /// What the platform's list says.
    pub listing: Listing,
    /// When the listing last changed.
    pub changed: Moment,
    /// The latest report.
    pub latest: Option<Sighting>,
    /// The boot before the latest, and when it was replaced.
    past: Option<(Uuid, Moment)>,
    /// The watchers that suspect the instance.
    doubts: Vec<Doubt>,
    /// The watchers, and the revision of the epoch that chose them.
    chosen: Option<(Offset, Vec<Node>)>,
}

/// One watcher's suspicion.
#[common::plain]
struct Doubt {
    /// The watcher.
    watcher: Node,
    /// The watcher's failure domain.
    domain: Domain,
    /// The moment up to which the vote counts.
    until: Moment,
}

/// What an entry node knows of the instances.
#[derive(Debug, Clone, Default)]
pub struct View {
    settings: Settings,
    instances: HashMap<Instance, Seen>,
}

impl View {
    /// Returns an empty view.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            instances: HashMap::new(),
        }
    }

    /// Returns the bounds in use.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Takes over the platform's list, read at `now`.
    ///
    /// An instance that is no longer listed stays known until it has been
    /// silent for long, since the list lags.
    pub fn list(&mut self, listed: &[Listed], now: Moment) {
        let by_name: BTreeMap<_, _> = listed.iter().map(|l| (&l.instance, l)).collect();
        for (instance, seen) in &mut self.instances {
            if !by_name.contains_key(instance) {
                seen.set_listing(Listing::Absent, now);
            }
        }
        for (instance, listed) in by_name {
            match self.instances.get_mut(instance) {
                Some(seen) => seen.relist(listed, now),
                None => {
                    self.instances
                        .insert(instance.clone(), Seen::new(listed, now));
                }
            }
        }
        let forget = self.settings.gone_after * 10;
        self.instances.retain(|_, seen| !seen.is_gone(forget, now));
    }

    /// Takes over a report, and returns whether it was news.
    ///
    /// `taken` is the earliest moment to which the report can refer: the moment
    /// at which the poll was sent, or, for a peer's report, the moment at which
    /// the peer was asked less the age that it gave. An older report never
    /// replaces a newer one, and a boot that was replaced does not come back
    /// through a late message.
    pub fn report(&mut self, report: Report, taken: Moment, now: Moment) -> bool {
        let memory = self.settings.boot_memory;
        let Some(seen) = self.instances.get_mut(&report.instance) else {
            return false;
        };
        if seen
            .past
            .is_some_and(|(boot, at)| boot == report.boot && now.since(at) < memory)
        {
            return false;
        }
        if let Some(latest) = &seen.latest {
            if taken <= latest.taken {
                return false;
            }
            if latest.report.boot != report.boot {
                seen.past = Some((latest.report.boot, now));
            }
        }
        seen.latest = Some(Sighting { report, taken });
        true
    }

    /// Takes over a watcher's vote, and returns whether it counts.
    ///
    /// Only votes of nodes that the epoch makes watchers of the instance count.
    pub fn vote(&mut self, vote: &Vote, epoch: &Epoch, now: Moment) -> bool {
        let until = now + self.settings.vote_life;
        let Some(seen) = self.instances.get_mut(&vote.instance) else {
            return false;
        };
        let Some(peer) = epoch.peers.iter().find(|p| p.node == vote.watcher) else {
            return false;
        };
        if seen
            .chosen
            .as_ref()
            .is_none_or(|(at, _)| *at != epoch.revision)
        {
            let chosen = watchers(&vote.instance, &seen.domain, epoch, WATCHERS);
            seen.chosen = Some((epoch.revision, chosen));
        }
        let counts = |(_, chosen): &(Offset, Vec<Node>)| chosen.contains(&vote.watcher);
        if !seen.chosen.as_ref().is_some_and(counts) {
            return false;
        }
        seen.doubts
            .retain(|d| d.watcher != vote.watcher && d.until > now);
        if vote.suspected {
            seen.doubts.push(Doubt {
                watcher: vote.watcher.clone(),
                domain: peer.domain.clone(),
                until,
            });
        }
        true
    }

    /// Returns what is known of `instance`.
    pub fn get(&self, instance: &Instance) -> Option<&Seen> {
        self.instances.get(instance)
    }

    /// Returns all instances, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&Instance, &Seen)> {
        self.instances.iter()
    }

    /// Returns the report of `instance` if it is fresh.
    pub fn fresh(&self, instance: &Instance, now: Moment) -> Option<&Report> {
        self.instances
            .get(instance)
            .and_then(|seen| seen.fresh(&self.settings, now))
    }

    /// Returns the reports younger than `age` for peers, with their moments.
    pub fn sightings(
        &self,
        age: std::time::Duration,
        now: Moment,
    ) -> impl Iterator<Item = &Sighting> {
        self.instances
            .values()
            .filter_map(|seen| seen.latest.as_ref())
            .filter(move |sighting| now.since(sighting.taken) <= age)
    }
}

impl Seen {
    fn new(listed: &Listed, now: Moment) -> Self {
        Self {
            address: listed.address,
            domain: listed.domain.clone(),
            fabric: listed.fabric.clone(),
            listing: listing(listed),
            changed: now,
            latest: None,
            past: None,
            doubts: Vec::new(),
            chosen: None,
        }
    }

    fn relist(&mut self, listed: &Listed, now: Moment) {
        self.address = listed.address;
        if self.domain != listed.domain {
            self.domain = listed.domain.clone();
            self.chosen = None;
        }
        self.fabric.clone_from(&listed.fabric);
        self.set_listing(listing(listed), now);
    }

    fn set_listing(&mut self, listing: Listing, now: Moment) {
        if self.listing != listing {
            self.listing = listing;
            self.changed = now;
        }
    }

    /// Returns the report if it is fresh.
    pub fn fresh(&self, settings: &Settings, now: Moment) -> Option<&Report> {
        self.latest
            .as_ref()
            .filter(|sighting| now.since(sighting.taken) <= settings.fresh)
            .map(|sighting| &sighting.report)
    }

    /// Returns whether two watchers in different failure domains suspect it.
    pub fn suspected(&self, now: Moment) -> bool {
        let mut counted = self.doubts.iter().filter(|d| d.until > now);
        let Some(first) = counted.next() else {
            return false;
        };
        counted.any(|d| d.domain != first.domain)
    }

    /// Returns whether it is unlisted and silent for longer than `span`.
    pub fn is_gone(&self, span: std::time::Duration, now: Moment) -> bool {
        let heard = self.latest.as_ref().map_or(self.changed, |s| s.taken);
        self.listing == Listing::Absent && now.since(heard) > span && now.since(self.changed) > span
    }

    /// Returns whether the list or the engine itself says that it leaves.
    ///
    /// An engine also reports the leaving phase after an order to leave; only
    /// the platform's list says that the instance goes.
    pub fn is_leaving(&self) -> bool {
        self.listing == Listing::Leaving
    }
}

fn listing(listed: &Listed) -> Listing {
    if listed.leaving {
        Listing::Leaving
    } else {
        Listing::Live
    }
}
