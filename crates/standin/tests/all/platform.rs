//! Tests of the log service, instance list, weight store and control routes.

use crate::common::{self, FormedReplica, instant_shape, wait_until};
use backend::{Limits, Pool, engine, listing, proto::Phase, weights};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use name::{Model, Offset};
use serde_json::{Value, json};
use standin::{Command, Mode, Place, Shape, World};
use std::{net::SocketAddr, time::Duration};

/// Sends a request; returns the status, or 0 without a complete response.
async fn send(address: SocketAddr, method: &str, path: &str, body: Value) -> (u16, Value) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::<Bytes>::from(body.to_string()))
        .unwrap();
    let Ok(response) = client.request(request).await else {
        return (0, Value::Null);
    };
    let status = response.status().as_u16();
    match response.into_body().collect().await {
        Ok(body) => (
            status,
            serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null),
        ),
        Err(_) => (0, Value::Null),
    }
}

#[tokio::test]
async fn log_client_distinguishes_lost_from_refused_append() {
    let mut shape = instant_shape();
    // The first request passes as the burst; every later one is refused.
    shape.speed.appends_per_s = 0;
    let world = World::start(&shape, 1).await.unwrap();
    let long = Duration::from_secs(30);
    let timeouts = log::Timeouts {
        connect: long,
        append: long,
        read: long,
    };
    let client = log::Client::new(world.log_address(), "s".into(), timeouts);
    let lose = Command::Log {
        mode: Mode::Up,
        slow_ms: 0,
        lose_acknowledgements: 1,
    };
    assert!(world.apply(&lose));
    let lost = client.append(&["a".into()]).await;
    assert!(!lost.unwrap_err().is_not_appended());
    let refused = client.append(&["b".into()]).await;
    assert!(refused.unwrap_err().is_not_appended());
    let page = client.read(Offset(1), 9, Duration::ZERO).await.unwrap();
    assert_eq!((page.first, page.tail), (Offset(1), Offset(2)));
    assert_eq!(&*page.entries[0].data, "a");
}

/// A request to the log after a command, with its expected status and response.
struct Step {
    name: &'static str,
    before: Option<Command>,
    append: &'static [&'static str],
    read: &'static str,
    status: u16,
    /// The expected values of some keys of the response.
    answer: Value,
}

#[tokio::test]
async fn log_orders_stores_and_expires_records() {
    let world = World::start(&instant_shape(), 1).await.unwrap();
    let log = |mode, lose_acknowledgements| {
        Some(Command::Log {
            mode,
            slow_ms: 0,
            lose_acknowledgements,
        })
    };
    let step = |name, before, append, read, status, answer| Step {
        name,
        before,
        append,
        read,
        status,
        answer,
    };
    let expire = Some(Command::Expire {
        stream: "s".into(),
        to: 2,
    });
    let steps = [
        step(
            "empty",
            None,
            &[][..],
            "from=1&max=9&wait_ms=0",
            200,
            json!({"first": 1, "tail": 1}),
        ),
        step(
            "append two",
            None,
            &["a", "b"][..],
            "",
            200,
            json!({"first": 1}),
        ),
        step(
            "lose an answer",
            log(Mode::Up, 1),
            &["c"][..],
            "",
            0,
            json!({}),
        ),
        step(
            "it took effect",
            None,
            &[][..],
            "from=3&max=1&wait_ms=0",
            200,
            json!({"first": 1, "tail": 4}),
        ),
        step("down", log(Mode::Refuse, 0), &["d"][..], "", 0, json!({})),
        step(
            "up again",
            log(Mode::Up, 0),
            &["d"][..],
            "",
            200,
            json!({"first": 4}),
        ),
        step(
            "expired",
            expire,
            &[][..],
            "from=1&max=9&wait_ms=0",
            200,
            json!({"first": 3, "tail": 5}),
        ),
    ];
    for step in steps {
        if let Some(command) = &step.before {
            assert!(world.apply(command));
        }
        let address = world.log_address();
        let (status, answer) = match step.append {
            [] => {
                let path = format!("/streams/s/records?{}", step.read);
                send(address, "GET", &path, Value::Null).await
            }
            records => {
                let body = json!({ "records": records });
                send(address, "POST", "/streams/s/append", body).await
            }
        };
        assert_eq!(status, step.status, "{}", step.name);
        for (key, value) in step.answer.as_object().unwrap() {
            assert_eq!(answer[key], *value, "{}: {answer}", step.name);
        }
    }
}

#[tokio::test]
async fn long_poll_returns_next_record() {
    let world = World::start(&instant_shape(), 1).await.unwrap();
    let address = world.log_address();
    let poll = tokio::spawn(async move {
        let path = "/streams/s/records?from=1&max=9&wait_ms=600000";
        send(address, "GET", path, Value::Null).await
    });
    wait_until(|| world.counters().reads == 1).await;
    let body = json!({ "records": ["x"] });
    assert_eq!(
        send(address, "POST", "/streams/s/append", body).await.0,
        200
    );
    let (_, answer) = poll.await.unwrap();
    assert_eq!(answer["records"][0]["data"], "x");
    assert_eq!(answer["records"][0]["offset"], 1);
}

#[tokio::test]
async fn instance_list_and_weight_store_match_world() {
    let world = World::start(&instant_shape(), 1).await.unwrap();
    let limits = Limits::default();
    let list = || listing::read(world.instances_address(), &limits);
    assert_eq!(list().await.unwrap().instances.len(), 15);
    let instance = world.servers()[0].listed().instance.clone();
    for (remove, count) in [(false, 15), (true, 14)] {
        let instance = instance.clone();
        assert!(world.apply(&Command::Retire { instance, remove }));
        let instances = list().await.unwrap().instances;
        assert_eq!(instances.len(), count);
        assert_eq!(
            instances.iter().filter(|l| l.leaving).count(),
            usize::from(!remove)
        );
    }
    assert!(world.apply(&Command::List { instance }));
    assert_eq!(list().await.unwrap().instances.len(), 15);
    let model = Model::try_from("family/drafter").unwrap();
    let found = weights::read(world.weights_address(), &model, &limits).await;
    assert_eq!(found.unwrap().model, model);
}

#[tokio::test]
async fn weights_load_once_after_store_is_up() {
    let world = World::start(&instant_shape(), 1).await.unwrap();
    assert!(world.apply(&Command::Weights { mode: Mode::Refuse }));
    let replica = FormedReplica::new(world, 2);
    replica.send_orders(5).await;
    assert!(
        replica
            .servers
            .iter()
            .all(|s| s.report().phase == Phase::Loading)
    );
    assert!(replica.world.apply(&Command::Weights { mode: Mode::Up }));
    replica.until_ready(5).await;
    assert_eq!(replica.world.counters().loads, 2);
    replica.send_orders(6).await;
    replica.until_ready(6).await;
    assert_eq!(replica.world.counters().loads, 2);
}

#[tokio::test]
async fn cache_event_is_reported_after_lag() {
    let replica = FormedReplica::start(2).await;
    let address = replica.first_member().listed().address;
    let request = common::generate("prompt", 1, 4);
    let stream = engine::generate(
        &replica.pool,
        replica.target(),
        &request,
        || true,
        Duration::from_secs(30),
    );
    let mut stream = stream.await.unwrap();
    while stream.next().await.is_some() {}
    loop {
        let events = engine::cache_events(&replica.pool, address, 0)
            .await
            .unwrap();
        if let [event] = &events.events[..] {
            assert!(event.stored);
            assert_eq!(event.prefix, backend::proto::prefix_hash("prompt"));
            assert_eq!(events.next, event.number + 1);
            return;
        }
        assert_eq!(events.next, 0);
    }
}

#[tokio::test]
async fn domain_hangs_refuses_and_recovers() {
    let world = World::start(&instant_shape(), 1).await.unwrap();
    let pool = Pool::new(common::limits());
    let server = &world.servers()[0];
    let address = server.listed().address;
    let domain = server.listed().domain.clone();
    let set = |mode| {
        let domain = domain.clone();
        assert!(world.apply(&Command::Domain { domain, mode }));
    };
    set(Mode::Hang);
    let waiting = tokio::spawn({
        let pool = pool.clone();
        async move { engine::report(&pool, address).await }
    });
    for _ in 0..1_000 {
        tokio::task::yield_now().await;
    }
    assert!(!waiting.is_finished());
    set(Mode::Up);
    assert_eq!(waiting.await.unwrap().unwrap(), server.report());
    let boot = server.report().boot;
    set(Mode::Refuse);
    assert!(engine::report(&pool, address).await.is_err());
    set(Mode::Up);
    assert_ne!(engine::report(&pool, address).await.unwrap().boot, boot);
}

#[tokio::test]
async fn partition_delays_only_partitioned_client() {
    let world = World::start(&instant_shape(), 1).await.unwrap();
    let server = &world.servers()[0];
    let address = server.listed().address;
    let pool = |source: [u8; 4]| {
        Pool::new(Limits {
            source_address: Some(source.into()),
            ..common::limits()
        })
    };
    let (near, far) = (pool([127, 0, 0, 1]), pool([127, 0, 0, 2]));
    let part = |parted| Command::Part {
        from: [127, 0, 0, 2].into(),
        to: Place::Domain(server.listed().domain.clone()),
        parted,
    };
    assert!(world.apply(&part(true)));
    let waiting = tokio::spawn(async move { engine::report(&far, address).await });
    for _ in 0..100 {
        engine::report(&near, address).await.unwrap();
    }
    assert!(!waiting.is_finished());
    assert!(world.apply(&part(false)));
    assert!(waiting.await.unwrap().is_ok());
}

#[tokio::test]
async fn process_serves_control_routes() {
    let text = r#"
        ports = { log = "127.0.0.1:0", instances = "127.0.0.1:0", weights = "127.0.0.1:0", control = "127.0.0.1:0", backends = "127.0.0.1:0" }
        domains = [{ name = "teifi", fabrics = 1, engines_per_fabric = 1, services = [] }]
    "#;
    let settings = settings::parse(text, "x.toml").unwrap();
    let process = standin::Process::start(&settings).await.unwrap();
    let address = process.control_address();
    let restart = json!({ "do": "restart", "instance": "teifi-f0-e0", "keep_weights": true });
    let dark = json!({ "do": "domain", "domain": "teifi", "mode": "hang" });
    let unknown = json!({ "do": "restart", "instance": "nobody", "keep_weights": true });
    let cases = [
        ("GET", "/counters", Value::Null, 200),
        ("GET", "/survey", Value::Null, 200),
        ("POST", "/command", restart, 200),
        ("POST", "/command", dark, 200),
        ("POST", "/command", unknown, 404),
        ("POST", "/command", json!({ "do": "nothing" }), 422),
    ];
    for (method, path, body, status) in cases {
        let sent = send(address, method, path, body.clone()).await;
        assert_eq!(sent.0, status, "{path} {body}");
    }
}

#[test]
fn example_settings_match_deployment_shapes() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/settings");
    let cases = [
        ("hafod-tegid", Shape::hafod_tegid()),
        ("lena", Shape::lena()),
    ];
    for (name, shape) in cases {
        let file = format!("{examples}/{name}/standin.toml");
        let settings = settings::load(file.as_ref()).unwrap();
        assert_eq!(Shape::from_settings(&settings), shape, "{name}");
    }
}
