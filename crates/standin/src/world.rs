//! All simulated external systems, started together.

use crate::{
    Command, Counters, Mode, Place, Server, Shape, Survey,
    counters::Shared,
    host::{self, Host},
    platform::{InstanceListServer, WeightStore},
    server::{Environment, Registry},
    stream::LogServer,
};
use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    routing::{get, post},
};
use backend::proto::{ListedInstance, Role};
use name::{Domain, Fabric, Instance, Service};
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, OnceLock},
    time::Duration,
};

/// A loopback address whose port the operating system chooses.
const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// All simulated external systems. Dropping it stops all servers.
#[derive(Debug)]
pub struct World {
    shared: Arc<Shared>,
    log: Arc<LogServer>,
    list: Arc<InstanceListServer>,
    store: Arc<WeightStore>,
    servers: Vec<Arc<Server>>,
}

impl Drop for World {
    fn drop(&mut self) {
        // The routes of each server keep a reference to it, so each is stopped explicitly.
        self.servers
            .iter()
            .for_each(|server| server.host.shut_down());
        self.log.host.shut_down();
        self.list.host.shut_down();
        self.store.host.shut_down();
    }
}

impl World {
    /// Starts all systems on loopback, on ports that the operating system chooses.
    ///
    /// The servers' speeds differ by up to 5 %, derived from `seed`.
    ///
    /// # Errors
    ///
    /// Returns an error if a server cannot listen.
    pub async fn start(shape: &Shape, seed: u64) -> io::Result<Self> {
        let ports = settings::Ports {
            log: ANY_LOOPBACK_PORT,
            instances: ANY_LOOPBACK_PORT,
            weights: ANY_LOOPBACK_PORT,
            control: ANY_LOOPBACK_PORT,
            backends: ANY_LOOPBACK_PORT,
        };
        Self::start_at(shape, seed, &ports).await
    }

    /// Starts all systems at the addresses in the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if a server cannot listen.
    pub async fn start_settings(settings: &settings::Standin) -> io::Result<Self> {
        Self::start_at(
            &Shape::from_settings(settings),
            settings.seed,
            &settings.ports,
        )
        .await
    }

    async fn start_at(shape: &Shape, seed: u64, ports: &settings::Ports) -> io::Result<Self> {
        let speed = Arc::new(shape.speed.clone());
        let shared = Arc::new(Shared::new());
        let log = LogServer::start(ports.log, Arc::clone(&shared), speed.appends_per_s).await?;
        let store = WeightStore::start(ports.weights, Arc::clone(&shared), &speed).await?;
        let registry: Arc<Registry> = Arc::new(OnceLock::new());
        let environment = Environment {
            seed,
            shared: Arc::clone(&shared),
            store: Arc::clone(&store),
            speed: Arc::clone(&speed),
            registry: Arc::clone(&registry),
        };
        let mut servers = Vec::new();
        let mut address = ports.backends;
        for listed in instances(shape)? {
            servers.push(Server::start(address, listed, environment.clone()).await?);
            if address.port() != 0 {
                address.set_port(address.port().saturating_add(1));
            }
        }
        let known = servers.iter();
        let known = known
            .map(|s| (s.listed.address, Arc::downgrade(s)))
            .collect();
        // Can't fail: the registry is set only here.
        let _ = registry.set(known);
        let listed = servers.iter().map(|server| server.listed.clone()).collect();
        let lag = Duration::from_millis(speed.list_lag_ms);
        let list = InstanceListServer::start(ports.instances, lag, listed).await?;
        Ok(Self {
            shared,
            log,
            list,
            store,
            servers,
        })
    }

    /// Returns the address of the log service.
    pub fn log_address(&self) -> SocketAddr {
        self.log.host.address()
    }

    /// Returns the address of the instance list.
    pub fn instances_address(&self) -> SocketAddr {
        self.list.host.address()
    }

    /// Returns the address of the weight store.
    pub fn weights_address(&self) -> SocketAddr {
        self.store.host.address()
    }

    /// Returns the backend servers, engines and services, by failure domain.
    pub fn servers(&self) -> &[Arc<Server>] {
        &self.servers
    }

    /// Returns the backend server on `instance`.
    pub fn server(&self, instance: &Instance) -> Option<&Arc<Server>> {
        let mut servers = self.servers.iter();
        servers.find(|server| server.listed.instance == *instance)
    }

    /// Returns a copy of the counters.
    pub fn counters(&self) -> Counters {
        self.shared.inspect(Clone::clone)
    }

    /// Calls `ask` with the counters, without copying them.
    pub fn inspect<T>(&self, ask: impl FnOnce(&Counters) -> T) -> T {
        self.shared.inspect(ask)
    }

    /// Returns the replicas that could serve now.
    pub fn survey(&self) -> Survey {
        Survey::new(self)
    }

    /// Returns the milliseconds since the start, as used in the counters.
    pub fn now_ms(&self) -> u64 {
        self.shared.now_ms()
    }

    /// Executes a command; returns whether its target exists.
    pub fn apply(&self, command: &Command) -> bool {
        match command {
            Command::Domain { domain, mode } => {
                let inside = |server: &&Arc<Server>| server.listed.domain == *domain;
                let inside: Vec<_> = self.servers.iter().filter(inside).collect();
                for server in &inside {
                    set_mode(server, *mode);
                }
                return !inside.is_empty();
            }
            Command::Part { from, to, parted } => {
                let hosts = self.hosts(to);
                hosts
                    .iter()
                    .for_each(|host| host.set_partitioned(*from, *parted));
                return !hosts.is_empty();
            }
            Command::Log {
                mode,
                slow_ms,
                lose_acknowledgements,
            } => {
                let slow = Duration::from_millis(*slow_ms);
                self.log.set_faults(slow, *lose_acknowledgements);
                self.log.host.set_mode(*mode);
            }
            Command::Expire { stream, to } => self.log.expire(stream, *to),
            Command::Instances { mode } => self.list.host.set_mode(*mode),
            Command::Weights { mode } => self.store.host.set_mode(*mode),
            Command::Restart { instance, .. }
            | Command::Mode { instance, .. }
            | Command::Cool { instance }
            | Command::Warm { instance, .. }
            | Command::Faults { instance, .. }
            | Command::Retire { instance, .. }
            | Command::List { instance } => {
                let Some(server) = self.server(instance) else {
                    return false;
                };
                self.apply_to(server, command);
            }
        }
        true
    }

    /// Returns the servers at `place`.
    fn hosts(&self, place: &Place) -> Vec<&Host> {
        match place {
            Place::Domain(domain) => {
                let inside = self.servers.iter().filter(|s| s.listed.domain == *domain);
                inside.map(|server| &server.host).collect()
            }
            Place::Log => vec![&self.log.host],
            Place::Instances => vec![&self.list.host],
            Place::Weights => vec![&self.store.host],
        }
    }

    /// Executes a command on one backend server.
    fn apply_to(&self, server: &Arc<Server>, command: &Command) {
        match command {
            Command::Restart { keep_weights, .. } => server.restart(*keep_weights),
            Command::Mode { mode, .. } => set_mode(server, *mode),
            Command::Cool { .. } => server.cool(),
            Command::Warm { warm, .. } => server.set_warm(*warm),
            Command::Faults { faults, .. } => server.set_faults(faults.clone()),
            Command::Retire { instance, remove } => self.list.retire(instance, *remove),
            Command::List { instance } => {
                let listed = server.listed.clone();
                self.list.change(|all| {
                    all.retain(|other| other.instance != *instance);
                    all.push(listed);
                });
            }
            _ => {}
        }
    }
}

/// Sets how a backend server treats connections.
fn set_mode(server: &Server, mode: Mode) {
    if server.host.mode() == Mode::Refuse && mode != Mode::Refuse {
        server.restart(false);
    }
    server.host.set_mode(mode);
}

/// Returns the instances of a shape, with unset addresses.
fn instances(shape: &Shape) -> io::Result<Vec<ListedInstance>> {
    let mut all = Vec::new();
    for domain in &shape.domains {
        for fabric in 0..domain.fabrics {
            let fabric_name = format!("{}-f{fabric}", domain.name);
            for engine in 0..domain.engines_per_fabric {
                let instance = format!("{fabric_name}-e{engine}");
                all.push(listed(&domain.name, &fabric_name, &instance, None)?);
            }
        }
        for service in &domain.services {
            let instance = format!("{}-{service}", domain.name);
            let fabric_name = format!("{}-f0", domain.name);
            let service = Some(service.clone());
            all.push(listed(&domain.name, &fabric_name, &instance, service)?);
        }
    }
    Ok(all)
}

/// Returns an instance with an unset address.
fn listed(
    domain: &Domain,
    fabric: &str,
    instance: &str,
    service: Option<Service>,
) -> io::Result<ListedInstance> {
    Ok(ListedInstance {
        instance: Instance::try_from(instance).map_err(io::Error::other)?,
        address: ANY_LOOPBACK_PORT,
        domain: domain.clone(),
        fabric: Fabric::try_from(fabric).map_err(io::Error::other)?,
        role: match service {
            Some(_) => Role::Service,
            None => Role::Engine,
        },
        service,
        leaving: false,
    })
}

/// A world and the server of its control routes.
#[derive(Debug)]
struct Control {
    world: World,
    host: Host,
}

/// A world controlled over HTTP. Dropping it stops all servers.
#[derive(Debug)]
pub struct Process(Arc<Control>);

impl Process {
    /// Starts the systems in `settings` and the control routes.
    ///
    /// `POST /command` takes a [`Command`]; `GET /counters` returns [`Counters`],
    /// `GET /survey` a [`Survey`].
    ///
    /// # Errors
    ///
    /// Returns an error if a server cannot listen.
    pub async fn start(settings: &settings::Standin) -> io::Result<Self> {
        let world = World::start_settings(settings).await?;
        let (host, bound) = Host::bind(settings.ports.control).await?;
        let control = Arc::new(Control { world, host });
        let router = Router::new()
            .route("/command", post(command))
            .route("/counters", get(counters))
            .route("/survey", get(survey))
            .with_state(Arc::clone(&control));
        host::serve(bound, &control, |control| &control.host, router);
        Ok(Self(control))
    }

    /// Returns the address of the control routes.
    pub fn control_address(&self) -> SocketAddr {
        self.0.host.address()
    }

    /// Returns the simulated systems.
    pub fn world(&self) -> &World {
        &self.0.world
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.0.host.shut_down();
    }
}

/// Runs the systems in `settings` until `stop` completes.
///
/// # Errors
///
/// Returns an error if a server cannot listen.
pub async fn serve(settings: &settings::Standin, stop: impl Future<Output = ()>) -> io::Result<()> {
    let process = Process::start(settings).await?;
    stop.await;
    drop(process);
    Ok(())
}

/// Handles a command.
async fn command(State(control): State<Arc<Control>>, Json(command): Json<Command>) -> StatusCode {
    match control.world.apply(&command) {
        true => StatusCode::OK,
        false => StatusCode::NOT_FOUND,
    }
}

/// Handles a request for the survey.
async fn survey(State(control): State<Arc<Control>>) -> Json<Survey> {
    Json(control.world.survey())
}

/// Handles a request for the counters.
async fn counters(State(control): State<Arc<Control>>) -> Json<Counters> {
    Json(control.world.counters())
}
