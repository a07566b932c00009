//! Backend servers of a plain service.

use crate::{
    http::{Handler, Message, Server, response},
    note, seconds,
    store::Store,
    wall_ms,
};
use std::{
    cell::RefCell,
    io,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// The interval of the entries' renewal, as in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The topic of the servers' entries.
pub const ENTRIES: &str = "keyed.servers";

/// A request that a server began to run.
#[derive(Debug, Clone)]
pub struct Execution {
    pub id: String,
    pub server: String,
    pub at: f64,
    /// The account for which it ran.
    pub tenant: Option<String>,
}

/// What all servers ran, in order.
pub type Executions = Arc<Mutex<Vec<Execution>>>;

/// How a server behaves.
#[derive(Debug, Default)]
pub struct Behavior {
    /// One in so many answers is followed, late, by an answer that belongs to no request; 0 for none.
    pub extra_interval: AtomicU64,
    /// The number of such answers.
    pub extras: AtomicU64,
}

/// A server.
#[derive(Debug)]
pub struct Plain {
    pub id: String,
    service: String,
    work: Duration,
    born: u64,
    store: Arc<Store>,
    server: Mutex<Option<Arc<Server>>>,
    renewals: AtomicU64,
    is_renewing: AtomicBool,
    has_ended: AtomicBool,
    pub behavior: Behavior,
    answers: AtomicU64,
    executions: Executions,
}

thread_local! {
    /// The attempt whose answer is followed by an extra one on this connection.
    static EXTRA_FOR: RefCell<Option<String>> = const { RefCell::new(None) };
}

impl Plain {
    /// Starts a server that works for `work` on each request, and writes its entry.
    pub fn start(
        id: &str,
        service: &str,
        work: Duration,
        store: &Arc<Store>,
        executions: &Executions,
    ) -> io::Result<Arc<Self>> {
        let plain = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            work,
            born: wall_ms(),
            store: Arc::clone(store),
            server: Mutex::default(),
            renewals: AtomicU64::new(0),
            is_renewing: AtomicBool::new(true),
            has_ended: AtomicBool::new(false),
            behavior: Behavior::default(),
            answers: AtomicU64::new(0),
            executions: Arc::clone(executions),
        });
        let serving = Arc::clone(&plain);
        let handler: Arc<Handler> =
            Arc::new(move |request, stream: &mut TcpStream| serving.answer(&request, stream));
        *plain.server.lock().unwrap() = Some(Server::start(handler)?);
        plain.write_entry();
        let renewing = Arc::clone(&plain);
        thread::spawn(move || {
            while renewing.is_renewing.load(Ordering::SeqCst) {
                thread::sleep(HEARTBEAT);
                if renewing.is_renewing.load(Ordering::SeqCst) {
                    renewing.write_entry();
                }
            }
        });
        Ok(plain)
    }

    fn address(&self) -> Option<SocketAddr> {
        self.server.lock().unwrap().as_ref().map(|server| server.address)
    }

    /// Writes the entry.
    pub fn write_entry(&self) {
        let Some(address) = self.address() else { return };
        let sequence = self.renewals.fetch_add(1, Ordering::SeqCst) + 1;
        let (born, service) = (self.born, &self.service);
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"zone-a","version":"1","slots":6,"state":"ready","cold-remaining-ms":0,"sequence":{sequence},"born":{born}}}"#
        );
        self.store.put(ENTRIES, &self.id, &entry);
    }

    /// Removes the entry without reporting `draining` before; returns the time of the
    /// acknowledgement.
    pub fn remove_entry(&self) -> f64 {
        self.is_renewing.store(false, Ordering::SeqCst);
        let offset = self.store.put(ENTRIES, &self.id, "");
        let at = seconds();
        note(&format!("server {}: entry removed, acknowledged at offset {offset}", self.id));
        at
    }

    /// Ends the server.
    pub fn end(&self) {
        note(&format!("server {}: ends", self.id));
        self.has_ended.store(true, Ordering::SeqCst);
        if let Some(server) = self.server.lock().unwrap().as_ref() {
            server.set_open(false);
        }
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> Option<Vec<u8>> {
        if self.has_ended.load(Ordering::SeqCst) {
            return None;
        }
        let not_executed = [("Not-Executed", "1")];
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            return Some(response(421, &not_executed, b""));
        }
        let Some(id) = request.header("attempt-id") else {
            return Some(response(400, &not_executed, b""));
        };
        let execution = Execution {
            id: id.to_owned(),
            server: self.id.clone(),
            at: seconds(),
            tenant: request.header("tenant").map(str::to_owned),
        };
        note(&format!("server {}: runs {id} for {:?}", self.id, execution.tenant));
        self.executions.lock().unwrap().push(execution);
        if let Some(earlier) = EXTRA_FOR.take() {
            self.send_extra(&earlier, id, stream);
        }
        thread::sleep(self.work);
        if self.has_ended.load(Ordering::SeqCst) {
            return None;
        }
        let number = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let interval = self.behavior.extra_interval.load(Ordering::SeqCst);
        if interval > 0 && number.is_multiple_of(interval) {
            EXTRA_FOR.set(Some(id.to_owned()));
        }
        let body = format!("{id} {} end", self.id);
        let signature = format!("s-{}", self.id);
        let headers = [("Attempt-Id", id), ("Engine-Signature", &signature)];
        Some(response(200, &headers, body.as_bytes()))
    }

    /// Sends an extra answer of an earlier attempt where the answer to another is due.
    fn send_extra(&self, earlier: &str, current: &str, stream: &mut TcpStream) {
        use std::io::Write;
        let headers = [("Attempt-Id", earlier), ("Not-Executed", "1")];
        let extra = response(503, &headers, b"");
        self.behavior.extras.fetch_add(1, Ordering::SeqCst);
        note(&format!(
            "server {}: extra answer 503 of {earlier} where that to {current} is due",
            self.id
        ));
        let _ = stream.write_all(&extra);
    }
}
