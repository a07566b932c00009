//! The platform's store: topics of records, some of them with keys.
//!
//! [`Store::restore`] is the drill of the pages: the store is away for a moment and comes back
//! from an older copy, with a higher `Store-Era`.

use crate::{
    http::{Handler, Message, Server, response},
    note, seconds,
};
use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::TcpStream,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// A topic with the time of each record; no record expires in a run.
type Topic = Vec<(f64, Vec<u8>)>;

#[derive(Debug, Default)]
struct State {
    topics: HashMap<String, Topic>,
    era: u64,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    appended: Condvar,
    server: Mutex<Option<Arc<Server>>>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> io::Result<Arc<Self>> {
        let store = Arc::new(Self {
            state: Mutex::new(State {
                topics: HashMap::new(),
                era: 1,
            }),
            appended: Condvar::new(),
            server: Mutex::default(),
        });
        let serving = Arc::clone(&store);
        let handler: Arc<Handler> = Arc::new(move |request, _: &mut TcpStream| serving.answer(&request));
        *store.server.lock().unwrap() = Some(Server::start(handler)?);
        Ok(store)
    }

    /// Returns the store's address.
    pub fn address(&self) -> String {
        let server = self.server.lock().unwrap();
        server.as_ref().map(|server| server.address.to_string()).unwrap_or_default()
    }

    /// Writes a record of the operator or of a backend server; its return is the
    /// acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> u64 {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let mut state = self.state.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((seconds(), record));
        let offset = records.len() as u64 - 1;
        drop(state);
        self.appended.notify_all();
        offset
    }

    /// Returns when the last record of a topic was appended.
    pub fn last_at(&self, topic: &str) -> Option<f64> {
        let state = self.state.lock().unwrap();
        state.topics.get(topic)?.last().map(|(at, _)| *at)
    }

    /// Is away for a moment, and comes back from a copy of its state at a time.
    ///
    /// What the operator and the servers wrote since is written again by the caller of this
    /// function; what the system wrote since is gone.
    pub fn restore(&self, copy_at: f64, away: Duration) {
        let server = self.server.lock().unwrap().clone();
        let Some(server) = server else { return };
        server.set_open(false);
        let mut state = self.state.lock().unwrap();
        for (name, records) in &mut state.topics {
            let before = records.len();
            records.retain(|(at, _)| *at <= copy_at);
            note(&format!("drill: {name} ends at {} instead of {before}", records.len()));
        }
        state.era += 1;
        drop(state);
        thread::sleep(away);
        server.set_open(true);
        note("drill: the store is back");
    }

    fn answer(&self, request: &Message) -> Option<Vec<u8>> {
        let (method, target) = request.target();
        let path = target.split('?').next().unwrap_or("");
        let topic = request.parameter("topic").unwrap_or("");
        let number = |name: &str| request.parameter(name).and_then(|n| n.parse::<u64>().ok());
        let (status, body) = match (method, path) {
            ("POST", "/log-append") => self.append(topic, number("at"), &request.body),
            ("GET", "/log-read") => {
                let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
                self.read(topic, number("from").unwrap_or(0) as usize, wait)
            }
            ("GET", "/log-newest") => (200, self.newest(topic)),
            _ => (404, Vec::new()),
        };
        let era = self.state.lock().unwrap().era.to_string();
        Some(response(status, &[("Store-Era", &era)], &body))
    }

    fn append(&self, topic: &str, at: Option<u64>, mut body: &[u8]) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        let offset = records.len() as u64;
        if at.is_some_and(|at| at != offset) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            records.push((seconds(), rest[..length].to_vec()));
            body = &rest[length..];
        }
        let end = records.len();
        drop(state);
        note(&format!("store: the system appended to {topic} at offset {offset}"));
        self.appended.notify_all();
        (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
            if from > records.len() {
                return (410, b"{\"first\":0}".to_vec());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (_, record) in &records[from..] {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return (200, body);
            }
            state = self.appended.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, (_, record)) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = &record[length + 1..];
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"has-more\":false,\"end\":{}}}", records.len()).into_bytes()
    }
}

/// Returns bytes in base64.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |n: usize| u32::from(chunk.get(n).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for n in 0..4 {
            if n <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * n) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
