//! `arbutusford entry` beside crowds.

use crate::{
    Bounds, Ordinary, PATIENCE, check,
    crowd::{Kind, Target, is_answered},
    crowds,
    process::Process,
    turn,
};
use bench::{Client, OPERATOR_TOKEN, api_key};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use standin::{Shape, World};
use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// The memory of the settings, in MiB.
const MEMORY_MIB: u64 = 160;

/// The descriptors of the settings.
const MAX_DESCRIPTORS: u64 = 300;

/// The largest body by default, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The secret of the entry nodes, also the first operator's token.
const SECRET: &str = "00112233445566778899aabbccddeeff";

/// The client account that calls.
const ACCOUNT: &str = "llyn-press";

/// The port that a crowd meets.
#[derive(Debug, Clone, Copy)]
enum Port {
    Callers,
    Peers,
    Operators,
}

/// A crowd of one kind at one port.
#[derive(Debug, Clone, Copy)]
struct Case {
    kind: Kind,
    port: Port,
}

fn callers(kind: Kind) -> Case {
    let port = Port::Callers;
    Case { kind, port }
}

/// The process of an entry node before stand-ins that run in the test.
struct Node {
    child: Child,
    settings: PathBuf,
    caller: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
    _world: World,
}

impl Node {
    /// Starts the stand-ins and the process, and publishes the lists.
    async fn start() -> Self {
        let world = World::start(&Shape::demo(), 5).await.unwrap();
        let [caller, peer, admin] = free_addresses();
        let settings = std::env::temp_dir().join(format!("arbutusford-{}.toml", caller.port()));
        let text = format!(
            "node = \"entry-0\"\nregion = \"cymru-west\"\ndomain = \"teifi\"\n\
             listen = {{ caller = \"{caller}\", peer = \"{peer}\", admin = \"{admin}\" }}\n\
             outside = {{ log = \"{}\", instances = \"{}\", weights = \"{}\" }}\n\
             peers = {{ secret_hex = \"{SECRET}\" }}\n\
             limits = {{ memory_mib = {MEMORY_MIB}, max_descriptors = {MAX_DESCRIPTORS} }}\n\
             timings = {{ entries_ttl_ms = 500 }}\n",
            world.log_address(),
            world.instances_address(),
            world.weights_address(),
        );
        fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_arbutusford"))
            .args([Path::new("entry"), Path::new("--settings"), &settings])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let node = Self {
            child,
            settings,
            caller,
            peer,
            admin,
            _world: world,
        };
        node.publish().await;
        node
    }

    /// Publishes the example lists.
    async fn publish(&self) {
        let lists = include_str!("../../examples/lists/hafod-tegid.toml");
        let body = json!({"base": 0, "text": lists});
        let until = Instant::now() + PATIENCE;
        loop {
            let client = Client::new();
            let publishing = client.call(
                Method::PUT,
                self.admin,
                "/admin/v1/lists",
                SECRET,
                &[],
                &body,
            );
            match publishing.await {
                Ok(answer) if answer.status == StatusCode::OK => return,
                other => assert!(Instant::now() < until, "lists not published: {other:?}"),
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Both fail only if a test has ended the process or removed the file.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns loopback addresses that are free at the moment.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let listeners = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}

/// Lets the crowds of a case meet a node.
async fn meet(case: Case) {
    let _turn = turn().await;
    let node = Node::start().await;
    let head = format!(
        "POST /v1/services/ledger/balance HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {}\r\n\
         X-Deadline-Ms: 2000\r\n",
        api_key(ACCOUNT)
    );
    let body = Value::from("T-7").to_string();
    let request = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    let status = format!(
        "GET /admin/v1/status HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {OPERATOR_TOKEN}\r\n\r\n"
    );
    let ordinary = [
        Ordinary {
            what: "operator",
            address: node.admin,
            request: status,
        },
        Ordinary {
            what: "request",
            address: node.caller,
            request: request.clone(),
        },
    ];
    let is_serving = is_answered(node.caller, &request, PATIENCE).await;
    assert!(is_serving, "the node does not serve");
    let target = Target {
        address: match case.port {
            Port::Callers => node.caller,
            Port::Peers => node.peer,
            Port::Operators => node.admin,
        },
        head,
        body_bytes: MAX_BODY_BYTES,
        request,
    };
    let bounds = Bounds {
        process: Process {
            id: node.child.id(),
            ports: [node.caller, node.peer, node.admin]
                .iter()
                .map(SocketAddr::port)
                .collect(),
        },
        memory_bytes: MEMORY_MIB << 20,
        sockets: MAX_DESCRIPTORS,
    };
    check(case.kind, &target, bounds, &ordinary).await;
}

crowds! { meet;
    idle_connections_leave_descriptors: callers(Kind::Idle),
    idle_connections_at_the_peers_port_leave_descriptors: Case {
        kind: Kind::Idle,
        port: Port::Peers,
    },
    idle_connections_at_the_operators_port_leave_descriptors: Case {
        kind: Kind::Idle,
        port: Port::Operators,
    },
    heads_over_the_limit_stay_within_memory: callers(Kind::HeadOverLimit),
    stalled_heads_stay_within_memory: callers(Kind::HeadStalled),
    heads_without_end_stay_within_memory: callers(Kind::HeadWithoutEnd),
    stalled_empty_lines_stay_within_memory: callers(Kind::EmptyLinesStalled),
    empty_lines_without_end_stay_within_memory: callers(Kind::EmptyLinesWithoutEnd),
    whole_bodies_stay_within_memory: callers(Kind::BodyWhole),
    unfinished_bodies_stay_within_memory: callers(Kind::BodyUnfinished),
    bodies_in_pieces_stay_within_memory: callers(Kind::BodyInPieces),
    unfinished_short_bodies_stay_within_memory: callers(Kind::ShortBodyUnfinished),
    unfinished_chunks_stay_within_memory: callers(Kind::ChunksUnfinished),
    unfinished_tiny_chunks_stay_within_memory: callers(Kind::TinyChunksUnfinished),
    chunk_extensions_without_end_stay_within_memory: callers(Kind::ChunkExtensionWithoutEnd),
    trailers_without_end_stay_within_memory: callers(Kind::TrailersWithoutEnd),
    unread_responses_stay_within_memory: callers(Kind::ResponsesUnread),
}
