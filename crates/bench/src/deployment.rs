//! A deployment in one process: entry nodes and the stand-ins that they call.

use crate::Client;
use clock::Clock;
use entry::Entry;
use http::{Method, StatusCode};
use serde_json::json;
use settings::Domain;
use slog::Logger;
use standin::{Shape, World};
use std::{
    fmt, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    runtime::{Builder, Runtime},
    time::{Instant, sleep},
};

/// The operator's bearer token in the example lists.
pub const OPERATOR_TOKEN: &str = "demo-operator";

/// The secret that the entry nodes of a deployment share, in hexadecimal.
const PEER_SECRET: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// The time for which a failed start of a node is retried.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of worker threads of each node.
const NODE_THREADS: usize = 2;

/// The interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the API key of an account in the example lists.
pub fn api_key(account: &str) -> String {
    format!("demo-{account}")
}

/// The reason why a deployment did not start or an operation failed.
#[derive(Debug)]
pub struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Returns an error with a message.
    pub fn new(message: impl Into<String>) -> Self {
        Self(message.into())
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self(error.to_string())
    }
}

/// The users whose deployment is run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Hafod Tegid.
    HafodTegid,
    /// Leña.
    Lena,
}

impl Kind {
    /// Returns the region.
    pub fn region(self) -> &'static str {
        match self {
            Self::HafodTegid => "cymru-west",
            Self::Lena => "biobio",
        }
    }

    /// Returns the operators' lists.
    pub fn lists(self) -> &'static str {
        match self {
            Self::HafodTegid => include_str!("../../../examples/lists/hafod-tegid.toml"),
            Self::Lena => include_str!("../../../examples/lists/lena.toml"),
        }
    }
}

/// The options of a deployment.
#[derive(Debug, Clone)]
pub struct Options {
    /// The users whose lists and region are used.
    pub kind: Kind,
    /// The stand-ins for the external systems.
    pub shape: Shape,
    /// The number of entry nodes.
    pub nodes: usize,
    /// The seed of the stand-ins' random numbers.
    pub seed: u64,
    /// Lines of TOML appended to each node's settings.
    pub settings: String,
}

/// Entry nodes and the stand-ins that they call.
#[derive(Debug)]
pub struct Deployment {
    options: Options,
    log: Logger,
    clock: Clock,
    world: Arc<World>,
    entries: Vec<Option<RunningNode>>,
    addresses: Vec<Addresses>,
    client: Client,
}

/// An entry node on its own runtime, so that a kill ends all its tasks.
#[derive(Debug)]
struct RunningNode {
    entry: Entry,
    runtime: Runtime,
}

impl RunningNode {
    /// Starts a node.
    fn start(settings: settings::Entry, clock: Clock, log: &Logger) -> Result<Self, Error> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(NODE_THREADS)
            .thread_name(settings.node.as_str())
            .enable_all()
            .build()?;
        let guard = runtime.enter();
        let started = Entry::start(settings, clock, log);
        drop(guard);
        match started {
            Ok(entry) => Ok(Self { entry, runtime }),
            Err(error) => {
                runtime.shutdown_background();
                Err(Error(error.to_string()))
            }
        }
    }

    /// Stops the node gracefully.
    async fn stop(self) {
        let stopped = self.runtime.spawn(self.entry.stop());
        // An error means that the stop panicked; the shutdown below ends what is left.
        let _ = stopped.await;
        self.runtime.shutdown_background();
    }

    /// Ends the node abruptly, as if its process were killed.
    fn kill(self) {
        self.runtime.shutdown_background();
    }
}

/// The listen addresses of one node, which a restart keeps.
#[derive(Debug, Clone, Copy)]
struct Addresses {
    caller: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
}

/// Loopback addresses whose ports the operating system chooses.
const ANY_PORT: Addresses = {
    let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    Addresses {
        caller: any,
        peer: any,
        admin: any,
    }
};

impl Deployment {
    /// Starts the stand-ins and the entry nodes, and publishes the lists.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in or a node does not start, or if the lists
    /// are not published.
    pub async fn start(options: Options, log: &Logger) -> Result<Self, Error> {
        let world = World::start(&options.shape, options.seed).await?;
        let mut deployment = Self {
            entries: options
                .shape
                .domains
                .iter()
                .map(|_| None)
                .cycle()
                .take(options.nodes)
                .collect(),
            clock: Clock::system(),
            client: Client::new(),
            log: log.clone(),
            addresses: vec![ANY_PORT; options.nodes],
            options,
            world: Arc::new(world),
        };
        for number in 0..deployment.options.nodes {
            deployment.start_entry(number).await?;
        }
        deployment.publish().await?;
        Ok(deployment)
    }

    /// Starts the entry node with a number, or restarts it after a stop or kill.
    ///
    /// At the first start the operating system chooses the ports, which a
    /// restart keeps.
    ///
    /// The listeners of a killed node close a moment after the kill, so the
    /// start is retried.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub async fn start_entry(&mut self, number: usize) -> Result<(), Error> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            match self.try_start(number) {
                Err(_) if Instant::now() < deadline => sleep(POLL_INTERVAL).await,
                result => return result,
            }
        }
    }

    /// Attempts once to start a node.
    fn try_start(&mut self, number: usize) -> Result<(), Error> {
        let text = self.settings(number);
        let settings = settings::parse(&text, "deployment").map_err(|e| Error(e.to_string()))?;
        let running = RunningNode::start(settings, self.clock.clone(), &self.log)?;
        self.addresses[number] = Addresses {
            caller: running.entry.caller_address(),
            peer: running.entry.peer_address(),
            admin: running.entry.admin_address(),
        };
        self.entries[number] = Some(running);
        Ok(())
    }

    /// Ends an entry node gracefully, or as if its process were killed.
    pub async fn end_entry(&mut self, number: usize, is_planned: bool) {
        if let Some(entry) = self.entries[number].take() {
            if is_planned {
                entry.stop().await;
            } else {
                entry.kill();
            }
        }
    }

    /// Returns a node's settings as TOML.
    fn settings(&self, number: usize) -> String {
        let own = self.addresses[number];
        let domains: Vec<&Domain> = self.options.shape.domains.iter().collect();
        let domain = &domains[number % domains.len()].name;
        let seeds: Vec<String> = self
            .addresses
            .iter()
            .filter(|a| a.peer.port() != 0)
            .take(3)
            .map(|a| format!("\"{}\"", a.peer))
            .collect();
        format!(
            r#"node = "entry-{number}"
region = "{region}"
domain = "{domain}"
listen = {{ caller = "{caller}", peer = "{peer}", admin = "{admin}" }}
outside = {{ log = "{log}", instances = "{instances}", weights = "{weights}" }}
peers = {{ seeds = [{seeds}], secret_hex = "{PEER_SECRET}" }}
{extra}
"#,
            region = self.options.kind.region(),
            caller = own.caller,
            peer = own.peer,
            admin = own.admin,
            log = self.world.log_address(),
            instances = self.world.instances_address(),
            weights = self.world.weights_address(),
            seeds = seeds.join(", "),
            extra = self.options.settings,
        )
    }

    /// Publishes the deployment's lists, with the shared secret as the first token.
    async fn publish(&self) -> Result<(), Error> {
        let body = json!({"base": 0, "text": self.options.kind.lists()});
        let deadline = Instant::now() + Duration::from_secs(15);
        loop {
            let admin = self.addresses[0].admin;
            let answer = self
                .client
                .call(
                    Method::PUT,
                    admin,
                    "/admin/v1/lists",
                    PEER_SECRET,
                    &[],
                    &body,
                )
                .await;
            match answer {
                Ok(answer) if answer.status == StatusCode::OK => return Ok(()),
                other if Instant::now() >= deadline => {
                    return Err(Error(format!("the lists were not published: {other:?}")));
                }
                _ => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Waits until every node is ready and sees `replicas` servable replicas.
    ///
    /// # Errors
    ///
    /// Returns an error if a node is not ready within `timeout`.
    pub async fn wait_until_ready(&self, replicas: u64, timeout: Duration) -> Result<(), Error> {
        let deadline = Instant::now() + timeout;
        for number in 0..self.entries.len() {
            while !self.is_node_ready(number, replicas).await {
                if Instant::now() >= deadline {
                    let status = self.query(number, "/admin/v1/status").await;
                    return Err(Error(format!("entry-{number} is not ready: {status:?}")));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns whether a node is ready and sees every node and enough servable replicas.
    async fn is_node_ready(&self, number: usize, replicas: u64) -> bool {
        let is_ready = self.entries[number]
            .as_ref()
            .is_some_and(|running| running.entry.is_ready());
        if !is_ready {
            return false;
        }
        let status = self.query(number, "/admin/v1/status").await;
        let serves = status.is_ok_and(|status| {
            status["replicas"]["servable"].as_u64() >= Some(replicas)
                && status["epoch"]["nodes"].as_u64() == Some(self.entries.len() as u64)
        });
        serves && self.lists_every_node(number).await
    }

    /// Returns whether a node's directory lists every node.
    async fn lists_every_node(&self, number: usize) -> bool {
        let caller = self.addresses[number].caller;
        let nothing = serde_json::Value::Null;
        let listed = self
            .client
            .call(Method::GET, caller, "/v1/entries", "", &[], &nothing)
            .await;
        listed.is_ok_and(|answer| {
            let entries = answer.body["entries"].as_array().map(Vec::len);
            entries == Some(self.entries.len())
        })
    }

    /// Sends a GET request to a node's administration API.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives.
    pub async fn query(&self, number: usize, path: &str) -> io::Result<serde_json::Value> {
        let admin = self.addresses[number].admin;
        let answer = self
            .client
            .call(
                Method::GET,
                admin,
                path,
                OPERATOR_TOKEN,
                &[],
                &serde_json::Value::Null,
            )
            .await?;
        Ok(answer.body)
    }

    /// Requests an operation on a failure domain or instance through a node.
    ///
    /// # Errors
    ///
    /// Returns an error if the operation is not accepted.
    pub async fn operate(
        &self,
        number: usize,
        scope: &str,
        name: &str,
        operation: &str,
    ) -> Result<u64, Error> {
        let body = json!({"scope": scope, "name": name, "operation": operation});
        let admin = self.addresses[number].admin;
        let answer = self
            .client
            .call(
                Method::POST,
                admin,
                "/admin/v1/operations",
                OPERATOR_TOKEN,
                &[],
                &body,
            )
            .await?;
        answer.body["revision"]
            .as_u64()
            .ok_or_else(|| Error(format!("not accepted: {answer:?}")))
    }

    /// Returns the logger.
    pub(crate) fn log(&self) -> &Logger {
        &self.log
    }

    /// Returns the stand-ins for the external systems.
    pub fn world(&self) -> &Arc<World> {
        &self.world
    }

    /// Returns the nodes' listen addresses for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|a| a.caller).collect()
    }

    /// Returns the nodes' listen addresses for operators.
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|a| a.admin).collect()
    }

    /// Returns the nodes' listen addresses for their peers.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|a| a.peer).collect()
    }

    /// Returns the client that the deployment uses.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Returns whether the node with a number is running.
    pub fn is_running(&self, number: usize) -> bool {
        self.entries[number].is_some()
    }

    /// Stops all nodes gracefully and concurrently.
    pub async fn stop(&mut self) {
        let running: Vec<RunningNode> = self.entries.iter_mut().filter_map(Option::take).collect();
        futures_util::future::join_all(running.into_iter().map(RunningNode::stop)).await;
    }
}

impl Drop for Deployment {
    /// Shuts down the remaining nodes, since a runtime must not be dropped in a task.
    fn drop(&mut self) {
        for running in self.entries.iter_mut().filter_map(Option::take) {
            running.kill();
        }
    }
}
