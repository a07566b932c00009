//! Injection of faults at steps, and their effects.

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

/// The duration of a pause.
const PAUSE_DURATION: Duration = Duration::from_secs(6);

/// The duration of a partition, or of an outage or slowdown of the log.
const OUTAGE: Duration = Duration::from_secs(6);

/// The duration of the outage of a failure domain.
const DOMAIN_OUTAGE: Duration = Duration::from_secs(5);

/// The duration of a process's slowdown.
const SLOWDOWN: Duration = Duration::from_secs(4);

/// The time between the end of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// The time for which responses are late, repeated or misrouted.
const DELIVERY_FAULT_DURATION: Duration = Duration::from_millis(400);

/// The time for which the log's acknowledgments of appends are lost.
const ACK_LOSS_DURATION: Duration = Duration::from_secs(2);

/// The time for which the list of instances is not updated.
const LIST_LAG: Duration = Duration::from_secs(4);

impl Simulation {
    /// Counts a step, injects the faults due there, and returns whether the node still runs.
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
            // The platform bounds the lag, so a second fault does not extend the first.
            Fault::ListLag if self.list_frozen_until > Moment::START => {}
            Fault::ListLag => self.list_frozen_until = now + LIST_LAG,
            Fault::Unfenced => self.send_stale_order(server),
        }
    }

    /// Terminates a process immediately.
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

    /// Restarts a process; with odd seeds a server turns cold without a restart instead.
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

    /// Terminates all processes in the failure domain of a process, and schedules their restart.
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

    /// Appends a snapshot to the log and drops all records before it.
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

    /// Disables fencing at all servers, and sends a stale order to one engine.
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
