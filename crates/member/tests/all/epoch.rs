//! Epoch proposals of a simulated cluster, applied through the fold of the
//! control stream.

use crate::network::{Network, peer};
use clock::Moment;
use member::{Proposer, Settings, Timing};
use name::{Offset, Sequence};
use state::{Change, Outcome, Record, State, Writer};
use std::time::Duration;

/// The number of simulated steps per second.
const STEPS_PER_SECOND: u64 = 10;

/// A cluster whose nodes propose epochs on a shared log.
struct Cluster {
    network: Network,
    proposers: Vec<Proposer>,
    state: State,
    accepted: usize,
    rejected: usize,
    sequence: u64,
}

impl Cluster {
    fn new(count: usize) -> Self {
        let mut cluster = Self {
            network: Network::from_epoch(count, Settings::default()),
            proposers: (0..count)
                .map(|_| Proposer::new(Timing::default()))
                .collect(),
            state: State::default(),
            accepted: 0,
            rejected: 0,
            sequence: 0,
        };
        let peers = (0..count).map(|at| peer(at, 1)).collect();
        let base = Offset::ZERO;
        cluster.append(0, Change::Epoch { base, peers });
        cluster.apply_epoch();
        cluster.run(20);
        (cluster.accepted, cluster.rejected) = (0, 0);
        cluster
    }

    fn append(&mut self, at: usize, change: Change) {
        self.sequence += 1;
        let record = Record {
            writer: Writer(self.network.incarnation(at)),
            sequence: Sequence(self.sequence),
            change,
        };
        match self.state.apply(self.state.offset.next(), &record) {
            Outcome::Accepted => self.accepted += 1,
            _ => self.rejected += 1,
        }
    }

    /// Makes all nodes use the epoch on the log.
    fn apply_epoch(&mut self) {
        let epoch = self.state.epoch.clone();
        self.network.set_epoch(&epoch);
    }

    /// Runs for some seconds; nodes see appended records with a delay of up to
    /// two steps.
    fn run(&mut self, seconds: usize) {
        for _ in 0..seconds {
            self.network.run(1);
            for step in 0..STEPS_PER_SECOND {
                self.step(
                    self.network.now() + Duration::from_millis(1_000 / STEPS_PER_SECOND * step),
                );
                if step % 2 == 1 && self.state.epoch != *self.network.epoch() {
                    self.apply_epoch();
                }
            }
        }
    }

    fn step(&mut self, now: Moment) {
        let epoch = self.network.epoch().clone();
        for at in self.network.running().collect::<Vec<_>>() {
            let table = self.network.tables[at].as_ref().expect("the node runs");
            if let Some(change) = self.proposers[at].poll(table, &epoch, now) {
                self.append(at, change);
            }
        }
    }

    /// Returns whether the epoch lists exactly the running incarnations.
    fn is_epoch_current(&self) -> bool {
        let running: Vec<_> = self
            .network
            .running()
            .map(|at| self.network.incarnation(at))
            .collect();
        let listed: Vec<_> = self
            .state
            .epoch
            .peers
            .iter()
            .map(|p| p.incarnation)
            .collect();
        running == listed
    }
}

/// Guards against nodes proposing competing epochs after the same change.
#[test]
fn membership_change_causes_few_epochs() {
    struct Case {
        name: &'static str,
        stop: Vec<usize>,
        start: Vec<usize>,
        most_epochs: usize,
    }
    let third: Vec<usize> = (0..24).filter(|at| at % 3 == 0).collect();
    let cases = [
        Case {
            name: "no change",
            stop: vec![],
            start: vec![],
            most_epochs: 0,
        },
        Case {
            name: "a node stops",
            stop: vec![5],
            start: vec![],
            most_epochs: 1,
        },
        Case {
            name: "a node restarts",
            stop: vec![5],
            start: vec![5],
            most_epochs: 1,
        },
        Case {
            name: "a third of the nodes stops",
            stop: third.clone(),
            start: vec![],
            most_epochs: 2,
        },
        Case {
            name: "a third of the nodes restarts",
            stop: third.clone(),
            start: third,
            most_epochs: 2,
        },
    ];
    for case in cases {
        let mut cluster = Cluster::new(24);
        for at in &case.stop {
            cluster.network.stop(*at);
        }
        for at in &case.start {
            cluster.network.start(*at);
        }
        cluster.run(60);
        let (accepted, rejected) = (cluster.accepted, cluster.rejected);
        println!(
            "{}: {accepted} epochs, {rejected} proposals rejected",
            case.name
        );
        assert!(cluster.is_epoch_current(), "{}", case.name);
        assert!(
            accepted <= case.most_epochs,
            "{}: {accepted} epochs",
            case.name
        );
        assert!(
            rejected <= 2 * accepted,
            "{}: {rejected} rejected",
            case.name
        );
    }
}

/// Guards against one epoch per restart, and against no epoch at all.
#[test]
fn repeated_restarts_cause_bounded_epochs() {
    let mut cluster = Cluster::new(12);
    for round in 0..120 {
        cluster.network.stop(round % 12);
        cluster.network.start(round % 12);
        cluster.run(1);
    }
    println!("120 restarts in 120 s: {} epochs", cluster.accepted);
    // A minimum interval of 15 s allows 8 epochs in 120 s.
    assert!(
        (1..=8).contains(&cluster.accepted),
        "{} epochs",
        cluster.accepted
    );
    cluster.run(60);
    assert!(cluster.is_epoch_current());
}
