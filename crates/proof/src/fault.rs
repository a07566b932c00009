//! Where faults strike, and what they do.

use crate::{
    simulation::{Disturbance, ENGINES, End, Message, NODES, NodeMessage, ServerMessage, World},
    step::{Fault, Step, Strike, Victim, Work},
};
use clock::Moment;
use name::{Domain, Generation, Sequence};
use replica::Command;
use state::{Change, Record, Writer};
use std::time::Duration;
use uuid::Uuid;

/// How long a paused process stands still.
const PAUSE: Duration = Duration::from_secs(6);

/// How long a process is cut off, or the log is down or slow.
const OUTAGE: Duration = Duration::from_secs(6);

/// How long a failure domain is dark.
const DARK: Duration = Duration::from_secs(5);

/// How long a process is slow.
const SLOW: Duration = Duration::from_secs(4);

/// The time of a restart.
const RESTART: Duration = Duration::from_millis(200);

/// How long answers are disturbed.
const DISTURBED: Duration = Duration::from_millis(400);

/// How long the log's answers to appends are lost.
const MUTE: Duration = Duration::from_secs(2);

/// How long the list of instances lags.
const LAG: Duration = Duration::from_secs(4);

impl World {
    /// Notes that a step was reached, and lets a fault strike; returns whether the node runs on.
    pub(crate) fn hook(
        &mut self,
        work: Work,
        step: Step,
        node: usize,
        server: Option<usize>,
        request: Option<usize>,
    ) -> bool {
        *self.trace.reached.entry((work, step)).or_default() += 1;
        let mut due = Vec::new();
        self.plan.strikes.retain_mut(|strike| {
            if strike.work != work || strike.step != step {
                return true;
            }
            let is_due = strike.after == 0 && (strike.victim == Victim::Entry || server.is_some());
            strike.after = strike.after.saturating_sub(1);
            if is_due {
                due.push(*strike);
            }
            !is_due
        });
        for strike in due {
            self.trace.struck += 1;
            if self.trace.target.is_none() {
                self.trace.target = request;
            }
            self.strike(&strike, node, server, request);
        }
        self.runs(node)
    }

    fn strike(
        &mut self,
        strike: &Strike,
        node: usize,
        server: Option<usize>,
        request: Option<usize>,
    ) {
        let now = self.now;
        let end = match (strike.victim, server) {
            (Victim::Server, Some(server)) => End::Server(server),
            _ => End::Node(node),
        };
        match strike.fault {
            Fault::Death => self.end(end),
            Fault::Pause => {
                self.paused.insert(end, now + PAUSE);
            }
            Fault::Straggler => {
                self.slow.insert(end, now + SLOW);
            }
            Fault::Cut => self.cut(node, server, request),
            Fault::Partition => {
                self.cut_off.insert(end, now + OUTAGE);
            }
            Fault::DarkDomain => self.darken(end),
            Fault::Restart => self.restart(end),
            Fault::Late | Fault::Repeated | Fault::Crossed => {
                self.disturbance = Some(Disturbance {
                    fault: strike.fault,
                    until: now + DISTURBED,
                });
            }
            Fault::LostAcknowledgement => self.log.mute_until = now + MUTE,
            Fault::LogDown => self.log.down_until = now + OUTAGE,
            Fault::LogSlow => self.log.slow_until = now + OUTAGE,
            Fault::Expired => self.expire(),
            // The platform bounds the lag: two faults do not add up.
            Fault::ListLag if self.list_frozen_until > Moment::START => {}
            Fault::ListLag => self.list_frozen_until = now + LAG,
            Fault::Unfenced => self.send_stale_order(server),
        }
    }

    /// Ends a process at once.
    fn end(&mut self, end: End) {
        match end {
            End::Node(node) if self.nodes[node].is_up => self.end_node(node, false),
            End::Server(server) if self.servers[server].is_up => {
                let runs = self.servers[server].stop(self.now);
                self.break_runs(server, &runs);
            }
            _ => {}
        }
    }

    /// Ends a process and starts it anew, or turns a server cold as it is.
    fn restart(&mut self, end: End) {
        match end {
            End::Server(server) if self.plan.seed % 2 == 1 => {
                self.servers[server].cold_at = (self.now, false);
            }
            _ => {
                self.end(end);
                self.push(RESTART, Message::Start(end));
            }
        }
    }

    /// Ends all processes of the failure domain of one of them.
    fn darken(&mut self, end: End) {
        let dark: Domain = match end {
            End::Server(server) => self.servers[server].domain.clone(),
            End::Node(node) => self.nodes[node].domain.clone(),
            _ => return,
        };
        let nodes = (0..NODES).filter(|node| self.nodes[*node].domain == dark);
        let servers = (0..self.servers.len()).filter(|i| self.servers[*i].domain == dark);
        let ends: Vec<End> = nodes
            .map(End::Node)
            .chain(servers.map(End::Server))
            .collect();
        for end in ends {
            self.end(end);
            self.push(DARK, Message::Start(end));
        }
    }

    /// Breaks the connections between a node and a server.
    fn cut(&mut self, node: usize, server: Option<usize>, request: Option<usize>) {
        let Some(server) = server else {
            return;
        };
        let (broken, kept) = std::mem::take(&mut self.servers[server].runs)
            .into_iter()
            .partition(|run| run.node.0 == node);
        self.servers[server].runs = kept;
        let broken: Vec<crate::backend::Run> = broken;
        self.break_runs(server, &broken);
        let attempt = request.and_then(|r| self.nodes[node].jobs.get(&r)?.attempt());
        if let (Some(request), Some(attempt)) = (request, attempt) {
            let body = NodeMessage::Refused {
                request,
                attempt,
                begun: true,
            };
            self.push_node(Duration::ZERO, node, body);
        }
    }

    /// Puts a snapshot on the log and drops all records before it.
    fn expire(&mut self) {
        let covers = self.log.truth.offset;
        let snapshot = state::Snapshot {
            covers,
            state: self.log.truth.clone(),
        };
        self.append(Record {
            writer: Writer(name::Incarnation(Uuid::from_u128(
                u128::from(covers.0) << 64,
            ))),
            sequence: Sequence(1),
            change: Change::Snapshot {
                snapshot: Box::new(snapshot),
            },
        });
        self.log.expired = self.log.entries.len() - 1;
    }

    /// Lets all engines ignore fencing numbers, and an old order arrive at one.
    fn send_stale_order(&mut self, server: Option<usize>) {
        for server in &mut self.servers {
            server.fences = false;
        }
        let server = server.filter(|server| *server < ENGINES).unwrap_or(0);
        let stale = self.stale_orders.iter().find(|(to, _)| *to == server);
        let command = stale.map_or_else(
            || Command::Join {
                replica: "chat/old".try_into().expect("a valid name"),
                generation: Generation(1),
                member: 0,
                peers: vec![crate::backend::address(server); 2],
                model: "chat".try_into().expect("a valid name"),
                version: "1".into(),
                adapters: Vec::new(),
            },
            |(_, command)| command.clone(),
        );
        self.push(
            Duration::from_millis(50),
            Message::ToServer {
                server,
                from: (0, 0),
                body: ServerMessage::Order(command),
            },
        );
    }
}
