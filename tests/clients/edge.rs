//! `arbutusford edge` beside crowds.

use crate::{
    Bounds, Ordinary, check,
    crowd::{Kind, Target},
    crowds,
    process::Process,
    turn,
};
use serde_json::json;
use soak::{Limits, Stage};
use std::{net::SocketAddr, path::Path};

/// The memory of the settings, in megabytes.
const MEMORY_MB: u32 = 96;

/// The descriptors of the settings, of which the platform reserves some for files.
const MAX_DESCRIPTORS: u32 = 500;
const RESERVED_DESCRIPTORS: u32 = 200;

/// The largest body that the configuration allows, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The port that a crowd meets.
#[derive(Debug, Clone, Copy)]
enum Port {
    Callers,
    Readiness,
    Directory,
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

/// Lets the crowds of a case meet a node.
async fn meet(case: Case) {
    let _turn = turn().await;
    let limits = Limits {
        memory_mb: Some(MEMORY_MB),
        max_descriptors: Some(MAX_DESCRIPTORS),
    };
    let config_limits = json!({
        "max-header-bytes": 16 << 10, "max-body-bytes": MAX_BODY_BYTES,
        "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000,
    });
    let program = Path::new(env!("CARGO_BIN_EXE_arbutusford"));
    let stage = Stage::start(program, limits, &config_limits).await.unwrap();
    let id = stage.process_id().unwrap();
    let addresses = [
        stage.caller_address(),
        stage.readiness_address(),
        stage.directory_address(),
    ];
    let head = format!(
        "POST /safe/1 HTTP/1.1\r\nHost: {}\r\nAttempt-Id: crowd\r\nDeadline-Ms: 2000\r\n\
         Authorization: Bearer {}\r\n",
        stage.host(),
        Stage::API_KEY
    );
    let request = format!("{head}Content-Length: 0\r\n\r\n");
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: d\r\n\r\n");
    let ordinary = |what, address: SocketAddr, request| Ordinary {
        what,
        address,
        request,
    };
    let all = [
        ordinary("readiness", addresses[1], get("/ready")),
        ordinary("directory", addresses[2], get("/resolve?name=h")),
        ordinary("request", addresses[0], request.clone()),
    ];
    let target = Target {
        address: match case.port {
            Port::Callers => addresses[0],
            Port::Readiness => addresses[1],
            Port::Directory => addresses[2],
        },
        head,
        body_bytes: MAX_BODY_BYTES,
        request,
    };
    let bounds = Bounds {
        process: Process {
            id,
            ports: addresses.iter().map(SocketAddr::port).collect(),
        },
        memory_bytes: u64::from(MEMORY_MB) * 1_000_000,
        sockets: u64::from(MAX_DESCRIPTORS - RESERVED_DESCRIPTORS),
    };
    check(case.kind, &target, bounds, &all).await;
}

crowds! { meet;
    idle_connections_leave_descriptors: callers(Kind::Idle),
    idle_connections_at_the_readiness_port_leave_descriptors: Case {
        kind: Kind::Idle,
        port: Port::Readiness,
    },
    idle_connections_at_the_directory_leave_descriptors: Case {
        kind: Kind::Idle,
        port: Port::Directory,
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
