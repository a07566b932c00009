//! Where faults strike, and what they do.

use crate::{
    simulation::{
        DeliveryFault, ENGINES, Endpoint, Message, NODES, NodeMessage, ServerMessage, Simulation,
    },
    step::{Fault, Injection, Step, Victim, Work},
};
use clock::Moment;
use name::{Domain, Generation, Sequence};
use replica::Command;
use state::{Change, Record, Writer};
use std::time::Duration;
use uuid::Uuid;

/// How long a paused process stands still.
const PAUSE_DURATION: Duration = Duration::from_secs(6);

/// How long a process is cut off, or the log is down or slow.
const OUTAGE: Duration = Duration::from_secs(6);

/// How long a failure domain is dark.
const DOMAIN_OUTAGE: Duration = Duration::from_secs(5);

/// How long a process is slow.
const SLOWDOWN: Duration = Duration::from_secs(4);

/// The time of a restart.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// How long answers are disturbed.
const DELIVERY_FAULT_DURATION: Duration = Duration::from_millis(400);

/// How long the log's answers to appends are lost.
const ACK_LOSS_DURATION: Duration = Duration::from_secs(2);

/// How long the list of instances lags.
const LIST_LAG: Duration = Duration::from_secs(4);

impl Simulation {
    /// Notes that a step was reached, and lets a fault strike; returns whether the node runs on.
    pub(crate) fn reach_step(
        &mut self,
        work: Work,
        step: Step,
        node: usize,
        server: Option<usize>,
        request: Option<usize>,
    ) -> bool {
        *self.trace.reached.entry((work, step)).or_default() += 1;
        let mut due = Vec::new();
        self.plan.injections.retain_mut(|injection| {
            if injection.work != work || injection.step != step {
                return true;
            }
            let is_due =
                injection.after == 0 && (injection.victim == Victim::Entry || server.is_some());
            injection.after = injection.after.saturating_sub(1);
            if is_due {
                due.push(*injection);
            }
            !is_due
        });
        for injection in due {
            self.trace.injected += 1;
            if self.trace.target.is_none() {
                self.trace.target = request;
            }
            self.inject(&injection, node, server, request);
        }
        self.runs(node)
    }

    fn inject(
        &mut self,
        injection: &Injection,
        node: usize,
        server: Option<usize>,
        request: Option<usize>,
    ) {
        let now = self.now;
        let endpoint = match (injection.victim, server) {
            (Victim::Server, Some(server)) => Endpoint::Server(server),
            _ => Endpoint::Node(node),
        };
        match injection.fault {
            Fault::Death => self.terminate(endpoint),
            Fault::Pause => {
                self.paused.insert(endpoint, now + PAUSE_DURATION);
            }
            Fault::Straggler => {
                self.slow.insert(endpoint, now + SLOWDOWN);
            }
            Fault::Cut => self.break_connections(node, server, request),
            Fault::Partition => {
                self.partitioned.insert(endpoint, now + OUTAGE);
            }
            Fault::DarkDomain => self.fail_domain(endpoint),
            Fault::Restart => self.restart(endpoint),
            Fault::Late | Fault::Repeated | Fault::Crossed => {
                self.delivery_fault = Some(DeliveryFault {
                    fault: injection.fault,
                    until: now + DELIVERY_FAULT_DURATION,
                });
            }
            Fault::LostAcknowledgement => self.log.acks_lost_until = now + ACK_LOSS_DURATION,
            Fault::LogDown => self.log.down_until = now + OUTAGE,
            Fault::LogSlow => self.log.slow_until = now + OUTAGE,
            Fault::Expired => self.expire_records(),
            // The platform bounds the lag: two faults do not add up.
            Fault::ListLag if self.list_frozen_until > Moment::START => {}
            Fault::ListLag => self.list_frozen_until = now + LIST_LAG,
            Fault::Unfenced => self.send_stale_order(server),
        }
    }

    /// Ends a process at once.
    fn terminate(&mut self, endpoint: Endpoint) {
        match endpoint {
            Endpoint::Node(node) if self.nodes[node].is_up => self.end_node(node, false),
            Endpoint::Server(server) if self.servers[server].is_up => {
                let runs = self.servers[server].stop(self.now);
                self.break_runs(server, &runs);
            }
            _ => {}
        }
    }

    /// Ends a process and starts it anew, or turns a server cold as it is.
    fn restart(&mut self, endpoint: Endpoint) {
        match endpoint {
            Endpoint::Server(server) if self.plan.seed % 2 == 1 => {
                self.servers[server].cold_at = (self.now, false);
            }
            _ => {
                self.terminate(endpoint);
                self.push(RESTART_DELAY, Message::Start(endpoint));
            }
        }
    }

    /// Ends all processes of the failure domain of one of them.
    fn fail_domain(&mut self, endpoint: Endpoint) {
        let failed_domain: Domain = match endpoint {
            Endpoint::Server(server) => self.servers[server].domain.clone(),
            Endpoint::Node(node) => self.nodes[node].domain.clone(),
            _ => return,
        };
        let nodes = (0..NODES).filter(|node| self.nodes[*node].domain == failed_domain);
        let servers = (0..self.servers.len()).filter(|i| self.servers[*i].domain == failed_domain);
        let endpoints: Vec<Endpoint> = nodes
            .map(Endpoint::Node)
            .chain(servers.map(Endpoint::Server))
            .collect();
        for endpoint in endpoints {
            self.terminate(endpoint);
            self.push(DOMAIN_OUTAGE, Message::Start(endpoint));
        }
    }

    /// Breaks the connections between a node and a server.
    fn break_connections(&mut self, node: usize, server: Option<usize>, request: Option<usize>) {
        let Some(server) = server else {
            return;
        };
        let (closed, kept) = std::mem::take(&mut self.servers[server].runs)
            .into_iter()
            .partition(|run| run.node.0 == node);
        self.servers[server].runs = kept;
        let closed: Vec<crate::backend::Run> = closed;
        self.break_runs(server, &closed);
        let attempt = request.and_then(|r| self.nodes[node].jobs.get(&r)?.attempt());
        if let (Some(request), Some(attempt)) = (request, attempt) {
            let body = NodeMessage::Refused {
                request,
                attempt,
                has_begun: true,
            };
            self.push_node(Duration::ZERO, node, body);
        }
    }

    /// Puts a snapshot on the log and drops all records before it.
    fn expire_records(&mut self) {
        let covers = self.log.committed.offset;
        let snapshot = state::Snapshot {
            covers,
            state: self.log.committed.clone(),
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
