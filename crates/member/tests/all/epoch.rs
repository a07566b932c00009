//! Epoch proposals of whole networks, through the fold of the control stream.

use crate::net::{Net, peer};
use clock::Moment;
use member::{Pace, Proposer, Settings};
use name::{Offset, Sequence};
use state::{Change, Outcome, Record, State, Writer};
use std::time::Duration;

/// The steps of a second.
const STEPS: u64 = 10;

/// A network whose nodes propose epochs on a log.
struct World {
    net: Net,
    proposers: Vec<Proposer>,
    state: State,
    accepted: usize,
    rejected: usize,
    sequence: u64,
}

impl World {
    fn new(count: usize) -> Self {
        let mut world = Self {
            net: Net::from_epoch(count, Settings::default()),
            proposers: (0..count).map(|_| Proposer::new(Pace::default())).collect(),
            state: State::default(),
            accepted: 0,
            rejected: 0,
            sequence: 0,
        };
        let peers = (0..count).map(|at| peer(at, 1)).collect();
        let base = Offset::ZERO;
        world.append(0, Change::Epoch { base, peers });
        world.adopt();
        world.run(20);
        (world.accepted, world.rejected) = (0, 0);
        world
    }

    fn append(&mut self, at: usize, change: Change) {
        self.sequence += 1;
        let record = Record {
            writer: Writer(self.net.incarnation(at)),
            sequence: Sequence(self.sequence),
            change,
        };
        match self.state.apply(self.state.offset.next(), &record) {
            Outcome::Accepted => self.accepted += 1,
            _ => self.rejected += 1,
        }
    }

    /// Lets all nodes fold what is on the log.
    fn adopt(&mut self) {
        let epoch = self.state.epoch.clone();
        self.net.adopt(&epoch);
    }

    /// Runs some seconds; nodes fold what others append two steps later.
    fn run(&mut self, seconds: usize) {
        for _ in 0..seconds {
            self.net.run(1);
            for step in 0..STEPS {
                self.step(self.net.now() + Duration::from_millis(1_000 / STEPS * step));
                if step % 2 == 1 && self.state.epoch != *self.net.epoch() {
                    self.adopt();
                }
            }
        }
    }

    fn step(&mut self, now: Moment) {
        let epoch = self.net.epoch().clone();
        for at in self.net.running().collect::<Vec<_>>() {
            let table = self.net.tables[at].as_ref().expect("it runs");
            if let Some(change) = self.proposers[at].poll(table, &epoch, now) {
                self.append(at, change);
            }
        }
    }

    /// Returns whether the epoch lists just the running lives.
    fn is_right(&self) -> bool {
        let running: Vec<_> = self
            .net
            .running()
            .map(|at| self.net.incarnation(at))
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

#[test]
fn few_epochs_follow_what_happens_and_one_proposal_wins() {
    struct Case {
        name: &'static str,
        stop: Vec<usize>,
        start: Vec<usize>,
        most_epochs: usize,
    }
    let third: Vec<usize> = (0..24).filter(|at| at % 3 == 0).collect();
    let cases = [
        Case {
            name: "nothing",
            stop: vec![],
            start: vec![],
            most_epochs: 0,
        },
        Case {
            name: "a node dies",
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
            name: "a third goes dark",
            stop: third.clone(),
            start: vec![],
            most_epochs: 2,
        },
        Case {
            name: "a third restarts",
            stop: third.clone(),
            start: third,
            most_epochs: 2,
        },
    ];
    for case in cases {
        let mut world = World::new(24);
        for at in &case.stop {
            world.net.stop(*at);
        }
        for at in &case.start {
            world.net.start(*at);
        }
        world.run(60);
        let (accepted, rejected) = (world.accepted, world.rejected);
        println!(
            "{}: {accepted} epochs, {rejected} proposals lost",
            case.name
        );
        assert!(world.is_right(), "{}", case.name);
        assert!(
            accepted <= case.most_epochs,
            "{}: {accepted} epochs",
            case.name
        );
        assert!(rejected <= 2 * accepted, "{}: {rejected} lost", case.name);
    }
}

#[test]
fn nodes_that_come_and_go_all_the_time_cost_a_bounded_number_of_epochs() {
    let mut world = World::new(12);
    for round in 0..120 {
        world.net.stop(round % 12);
        world.net.start(round % 12);
        world.run(1);
    }
    println!("120 restarts in 120 s: {} epochs", world.accepted);
    // A gap of 15 s leaves room for 8 in 120 s.
    assert!(
        (1..=8).contains(&world.accepted),
        "{} epochs",
        world.accepted
    );
    world.run(60);
    assert!(world.is_right());
}
