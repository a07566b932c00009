//! The platform's instance list, which lags, and its weight store.

use crate::{
    counters::Shared,
    host::{self, Host},
};
use axum::{
    Json, Router,
    extract::{Path, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::get,
};
use backend::proto::{InstanceList, ListedInstance, Weights};
use name::{Instance, Model};
use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::{self, Instant};

/// The interval between two progress steps of a weight load.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The instance list.
#[derive(Debug)]
pub(crate) struct InstanceListServer {
    pub(crate) host: Host,
    lag: Duration,
    versions: Mutex<Vec<(Option<Instant>, Vec<ListedInstance>)>>,
}

impl InstanceListServer {
    /// Starts the list at `address` with `instances`, which are visible immediately.
    pub(crate) async fn start(
        address: SocketAddr,
        lag: Duration,
        instances: Vec<ListedInstance>,
    ) -> io::Result<Arc<Self>> {
        let (host, bound) = Host::bind(address).await?;
        let list = Arc::new(Self {
            host,
            lag,
            versions: Mutex::new(vec![(None, instances)]),
        });
        let router = Router::new()
            .route("/v1/instances", get(instances_now))
            .with_state(Arc::clone(&list));
        host::serve(bound, &list, |list| &list.host, router);
        Ok(list)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(Option<Instant>, Vec<ListedInstance>)>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the list; the change is visible after the lag.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Vec<ListedInstance>)) {
        let mut versions = self.lock();
        let latest = versions.last().map(|(_, listed)| listed.clone());
        let mut latest = latest.unwrap_or_default();
        change(&mut latest);
        versions.push((Some(Instant::now() + self.lag), latest));
    }

    /// Removes `instance` from the list, or marks it as leaving.
    pub(crate) fn retire(&self, instance: &Instance, remove: bool) {
        self.change(|listed| {
            listed.retain(|l| !remove || l.instance != *instance);
            for l in listed.iter_mut().filter(|l| l.instance == *instance) {
                l.leaving = true;
            }
        });
    }
}

/// Handles a request for the list, as it was one lag ago.
async fn instances_now(State(list): State<Arc<InstanceListServer>>) -> Json<InstanceList> {
    let now = Instant::now();
    let mut versions = list.lock();
    let shown = |(from, _): &(Option<Instant>, _)| from.is_none_or(|from| from <= now);
    let at = versions.iter().rposition(shown).unwrap_or(0);
    versions.drain(..at);
    let instances = versions.first().map(|(_, listed)| listed.clone());
    let instances = instances.unwrap_or_default();
    Json(InstanceList { instances })
}

/// The weight store.
#[derive(Debug)]
pub(crate) struct WeightStore {
    pub(crate) host: Host,
    shared: Arc<Shared>,
    mib_per_s: u64,
    max_loads: u32,
    model_mib: u32,
    loads: Mutex<u32>,
}

impl WeightStore {
    /// Starts the store at `address`.
    pub(crate) async fn start(
        address: SocketAddr,
        shared: Arc<Shared>,
        speed: &settings::Speed,
    ) -> io::Result<Arc<Self>> {
        let (host, bound) = Host::bind(address).await?;
        let store = Arc::new(Self {
            host,
            shared,
            mib_per_s: speed.load_mib_per_s,
            max_loads: speed.max_loads,
            model_mib: speed.model_mib,
            loads: Mutex::new(0),
        });
        let router = Router::new()
            .route("/v1/weights/{*model}", get(weights))
            .with_state(Arc::clone(&store));
        host::serve(bound, &store, |store| &store.host, router);
        Ok(store)
    }

    fn loads(&self) -> MutexGuard<'_, u32> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Loads a model's weights; concurrent loads share the transfer rate.
    ///
    /// Returns whether the store accepted the load.
    pub(crate) async fn load(self: &Arc<Self>) -> bool {
        let Some(_load) = Load::begin(self) else {
            return false;
        };
        let step = LOAD_POLL_INTERVAL.as_secs_f64();
        let mut left = f64::from(self.model_mib);
        // The load has no client address, so only a hanging store delays it, not a
        // partition.
        let mut client = self
            .host
            .client_connection(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
        while left > 0.0 {
            time::sleep(LOAD_POLL_INTERVAL).await;
            client.until_reachable().await;
            let sharing = f64::from((*self.loads()).max(1));
            left -= self.mib_per_s as f64 * step / sharing;
        }
        true
    }
}

/// A load in progress.
struct Load(Arc<WeightStore>);

impl Load {
    /// Starts a load unless the store refuses or has too many.
    fn begin(store: &Arc<WeightStore>) -> Option<Self> {
        let mut loads = store.loads();
        if *loads >= store.max_loads || store.host.mode() == host::Mode::Refuse {
            return None;
        }
        *loads += 1;
        drop(loads);
        store.shared.count(|counters| counters.loads += 1);
        Some(Self(Arc::clone(store)))
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        *self.0.loads() -= 1;
    }
}

/// Handles a request for the description of a model's weights.
async fn weights(State(store): State<Arc<WeightStore>>, Path(model): Path<String>) -> Response {
    let Ok(model) = Model::try_from(model) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    if *store.loads() >= store.max_loads {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    let mib = store.model_mib;
    Json(Weights { model, mib }).into_response()
}
