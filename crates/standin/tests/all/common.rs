//! Fixtures of the tests.

use backend::{
    Limits, Pool, Target, engine,
    proto::{Generate, Order, Phase},
    service::Call,
};
use name::{Attempt, Generation, Model, Replica};
use standin::{Server, Shape, World};
use std::{sync::Arc, time::Duration};

/// The generation of the replica that [`FormedReplica`] forms.
const GENERATION: u64 = 5;

/// Returns a shape whose servers respond without delay.
pub fn instant_shape() -> Shape {
    let mut shape = Shape::demo();
    shape.speed.model_mib = 0;
    shape.speed.first_token_ms = 0;
    shape.speed.cached_first_token_ms = 0;
    shape.speed.token_ms = 0;
    shape.speed.call_ms = 0;
    shape.speed.list_lag_ms = 0;
    // Servers warm up by completed requests only.
    shape.speed.warm_ms = u64::MAX;
    shape
}

/// Returns limits with a short timeout for idle streams.
pub fn limits() -> Limits {
    Limits {
        connect_timeout: Duration::from_secs(10),
        response_timeout: Duration::from_secs(10),
        idle_timeout: Duration::from_millis(300),
        ..Limits::default()
    }
}

/// Waits until `condition` returns true; a test where it never does hangs.
pub async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::task::yield_now().await;
    }
}

/// Returns a generation request.
pub fn generate(prompt: &str, seed: u64, max_tokens: u32) -> Generate {
    Generate {
        attempt: Attempt::random(),
        model: Model::try_from("drafter").unwrap(),
        prompt: prompt.into(),
        resume_after: String::new(),
        resume_tokens: 0,
        max_tokens,
        priority: 0,
        seed,
    }
}

/// Returns a call to a service with an idempotency key.
pub fn call(key: &str) -> Call {
    Call {
        attempt: Attempt::random(),
        name: "enter".into(),
        key: Some(key.into()),
        body: "{}".into(),
    }
}

/// A world with one replica that can serve.
pub struct FormedReplica {
    pub world: World,
    pub pool: Pool,
    pub servers: Vec<Arc<Server>>,
}

impl FormedReplica {
    /// Forms a replica of the first `members` engines.
    pub async fn start(members: usize) -> Self {
        let world = World::start(&instant_shape(), 1).await.unwrap();
        let replica = Self::new(world, members);
        replica.send_orders(GENERATION).await;
        replica.until_ready(GENERATION).await;
        replica
    }

    /// Returns the first `members` engines of `world`, not yet a replica.
    pub fn new(world: World, members: usize) -> Self {
        Self {
            servers: world.servers()[..members].to_vec(),
            pool: Pool::new(limits()),
            world,
        }
    }

    /// Orders all members to join at `generation`.
    pub async fn send_orders(&self, generation: u64) {
        for (member, server) in self.servers.iter().enumerate() {
            let order = self.order(member, generation);
            let address = server.listed().address;
            let sent = engine::order(&self.pool, address, &order, || true).await;
            sent.unwrap();
        }
    }

    /// Waits until all members serve at `generation`.
    pub async fn until_ready(&self, generation: u64) {
        for server in &self.servers {
            wait_until(|| {
                let report = server.report();
                report.phase == Phase::Ready && report.generation == Generation(generation)
            })
            .await;
        }
    }

    /// Returns the order for a member to join.
    pub fn order(&self, member: usize, generation: u64) -> Order {
        Order::Join {
            replica: Replica::try_from("r1").unwrap(),
            generation: Generation(generation),
            member: u32::try_from(member).unwrap(),
            peers: self.servers.iter().map(|s| s.listed().address).collect(),
            model: Model::try_from("drafter").unwrap(),
            version: "1".into(),
            adapters: Vec::new(),
        }
    }

    /// Returns the member that requests go to.
    pub fn first_member(&self) -> &Arc<Server> {
        &self.servers[0]
    }

    /// Returns the target of requests to the replica.
    pub fn target(&self) -> Target {
        Target {
            address: self.first_member().listed().address,
            boot: Some(self.first_member().report().boot),
            generation: Generation(GENERATION),
        }
    }
}
