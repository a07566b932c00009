//! Crowds of clients that send what no caller inside the limits sends.

use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

/// The time until a client whose connection was closed comes again.
const RETURN_DELAY: Duration = Duration::from_secs(1);

/// The time that a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The bytes of a head or of empty lines that a client sends before it stalls.
const STALLED_HEAD_BYTES: usize = 60 << 10;

/// The bytes that a client sends on one connection at most, if what it sends has no end.
const ENDLESS_BYTES: usize = 16 << 20;

/// The length of a piece of a body that is sent piece by piece, in bytes.
const PIECE_BYTES: usize = 1_400;

/// The length of a large chunk, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// The length of a short body, in bytes.
const SHORT_BODY_BYTES: usize = 60 << 10;

/// What each client of a crowd sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Nothing.
    Idle,
    /// A complete head that is longer than the limit.
    HeadOverLimit,
    /// A part of such a head.
    HeadStalled,
    /// A head without end.
    HeadWithoutEnd,
    /// Empty lines before a request.
    EmptyLinesStalled,
    /// Empty lines without end.
    EmptyLinesWithoutEnd,
    /// A whole body of the largest size, again and again.
    BodyWhole,
    /// A body of the largest size but for its last byte.
    BodyUnfinished,
    /// The same, piece by piece.
    BodyInPieces,
    /// A short body but for its last byte.
    ShortBodyUnfinished,
    /// Large chunks up to just below the largest size.
    ChunksUnfinished,
    /// Chunks of one byte, without the last one.
    TinyChunksUnfinished,
    /// The extension of a chunk without end.
    ChunkExtensionWithoutEnd,
    /// Trailers without end.
    TrailersWithoutEnd,
    /// Requests one after the other, without reading the responses.
    ResponsesUnread,
}

/// The requests that clients begin.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    /// The lines of a head without the last, empty line and without those of the framing.
    pub(crate) head: String,
    /// The largest size of a body, in bytes.
    pub(crate) body_bytes: usize,
    /// A complete request without a body.
    pub(crate) request: String,
}

/// The bytes that a client sends.
#[derive(Debug)]
struct Script {
    once: Vec<u8>,
    /// What follows, in writes of its own.
    repeated: Vec<u8>,
    /// The number of such writes.
    count: usize,
    /// Whether the client reads responses.
    reads: bool,
}

impl Script {
    /// Returns the script of a client.
    fn new(kind: Kind, target: &Target) -> Self {
        let head = &target.head;
        let framed = |framing: &str| format!("{head}{framing}\r\n\r\n");
        let with_length = |length: usize| framed(&format!("Content-Length: {length}"));
        let chunked = framed("Transfer-Encoding: chunked");
        let largest = target.body_bytes;
        let (once, repeated, count): (String, String, usize) = match kind {
            Kind::Idle => (String::new(), String::new(), 0),
            Kind::HeadOverLimit => {
                let filler = "x".repeat(STALLED_HEAD_BYTES);
                (framed(&format!("Filler: {filler}")), String::new(), 0)
            }
            Kind::HeadStalled => {
                let filler = "x".repeat(STALLED_HEAD_BYTES);
                (format!("{head}Filler: {filler}"), String::new(), 0)
            }
            Kind::HeadWithoutEnd => {
                let filler = "x".repeat(CHUNK_BYTES);
                (format!("{head}Filler: "), filler, endless(CHUNK_BYTES))
            }
            Kind::EmptyLinesStalled => ("\r\n".repeat(STALLED_HEAD_BYTES / 2), String::new(), 0),
            Kind::EmptyLinesWithoutEnd => {
                let lines = "\r\n".repeat(CHUNK_BYTES / 2);
                (String::new(), lines, endless(CHUNK_BYTES))
            }
            Kind::BodyWhole => {
                let whole = with_length(largest) + &" ".repeat(largest);
                (String::new(), whole, endless(largest))
            }
            Kind::BodyUnfinished => {
                let body = " ".repeat(largest - 1);
                (with_length(largest), body, 1)
            }
            Kind::BodyInPieces => {
                let piece = " ".repeat(PIECE_BYTES);
                (with_length(largest), piece, (largest - 1) / PIECE_BYTES)
            }
            Kind::ShortBodyUnfinished => {
                let body = " ".repeat(SHORT_BODY_BYTES - 1);
                (with_length(SHORT_BODY_BYTES), body, 1)
            }
            Kind::ChunksUnfinished => {
                let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", " ".repeat(CHUNK_BYTES));
                (chunked, chunk, largest / CHUNK_BYTES - 1)
            }
            Kind::TinyChunksUnfinished => {
                let chunks = "1\r\n \r\n".repeat(CHUNK_BYTES);
                (chunked, chunks, (largest - 1) / CHUNK_BYTES)
            }
            Kind::ChunkExtensionWithoutEnd => {
                let filler = "x".repeat(CHUNK_BYTES);
                (format!("{chunked}4;"), filler, endless(CHUNK_BYTES))
            }
            Kind::TrailersWithoutEnd => {
                let trailers = "Filler: x\r\n".repeat(CHUNK_BYTES / 11);
                (format!("{chunked}0\r\n"), trailers, endless(CHUNK_BYTES))
            }
            Kind::ResponsesUnread => {
                let requests = target.request.repeat(64);
                let count = endless(requests.len());
                (String::new(), requests, count)
            }
        };
        Self {
            once: once.into_bytes(),
            repeated: repeated.into_bytes(),
            count,
            reads: kind != Kind::ResponsesUnread,
        }
    }
}

/// Returns the number of writes of a length that count as without end.
fn endless(length: usize) -> usize {
    ENDLESS_BYTES / length
}

/// Clients that stay until the crowd is dropped.
#[derive(Debug)]
pub(crate) struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Starts clients of one kind.
    pub(crate) fn start(kind: Kind, count: usize, target: &Target) -> Self {
        let script = Arc::new(Script::new(kind, target));
        let mut clients = JoinSet::new();
        for _ in 0..count {
            let (script, address) = (Arc::clone(&script), target.address);
            clients.spawn(async move {
                loop {
                    visit(&script, address).await;
                    sleep(RETURN_DELAY).await;
                }
            });
        }
        Self { _clients: clients }
    }
}

/// Sends what a script says, and stays until the connection is closed.
async fn visit(script: &Script, address: SocketAddr) {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let Ok(Ok(stream)) = connecting.await else {
        return;
    };
    // Pieces go out one by one.
    let _ = stream.set_nodelay(true);
    let (mut responses, mut requests) = stream.into_split();
    let writing = async {
        requests.write_all(&script.once).await?;
        for _ in 0..script.count {
            requests.write_all(&script.repeated).await?;
        }
        std::future::pending::<std::io::Result<()>>().await
    };
    let reading = async {
        let mut bytes = [0; 1_024];
        if !script.reads {
            std::future::pending::<()>().await;
        }
        while responses.read(&mut bytes).await.is_ok_and(|n| n > 0) {}
    };
    tokio::select! {
        _ = writing => {}
        () = reading => {}
    }
}

/// Returns whether a request is answered with status 200 within the timeout.
///
/// A client comes again if it is refused or closed.
pub(crate) async fn is_answered(address: SocketAddr, request: &str, limit: Duration) -> bool {
    let answered = timeout(limit, async {
        while !is_answered_once(address, request).await {
            sleep(Duration::from_millis(50)).await;
        }
    });
    answered.await.is_ok()
}

/// Returns whether a request on a new connection is answered with status 200.
async fn is_answered_once(address: SocketAddr, request: &str) -> bool {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut status = [0; b"HTTP/1.1 200".len()];
        stream.read_exact(&mut status).await?;
        std::io::Result::Ok(status == *b"HTTP/1.1 200")
    };
    matches!(timeout(CONNECT_TIMEOUT, exchange).await, Ok(Ok(true)))
}
