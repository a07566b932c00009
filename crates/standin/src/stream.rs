//! The append-only log service, which implements [`log::proto`].
use crate::{
    counters::Shared,
    host::{self, Host, broken_body},
};
use axum::{
    Json, Router,
    extract::{DefaultBodyLimit, Path, Query, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use log::proto::{self, Append, Appended, Entry, MAX_BATCH_RECORDS, MAX_BODY_BYTES, Records};
use name::Offset;
use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

/// The max records in one response.
const MAX_RECORDS: usize = 1_000;

/// The max total size of the records in one response; encoding may double it.
const MAX_RESPONSE_BYTES: usize = MAX_BODY_BYTES / 4;

/// A stream, with the records from offset `first` on.
#[derive(Debug)]
struct Stream {
    first: Offset,
    records: VecDeque<Entry>,
}

impl Stream {
    /// Returns the offset after the last record.
    fn tail(&self) -> Offset {
        Offset(self.first.0 + self.records.len() as u64)
    }

    /// Returns at most `max` records from `from` on.
    fn read(&self, from: Offset, max: usize) -> Records {
        let skip = from.0.saturating_sub(self.first.0);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let records = self.records.iter().skip(skip).take(max);
        let records = records.take_while(|record| {
            let is_first = bytes == 0;
            bytes += record.data.len();
            is_first || bytes <= MAX_RESPONSE_BYTES
        });
        Records {
            first: self.first,
            tail: self.tail(),
            records: records.cloned().collect(),
        }
    }
}

/// The streams of the log, and its active faults.
#[derive(Debug, Default)]
struct LogState {
    streams: BTreeMap<String, Stream>,
    slow: Duration,
    lose_acknowledgements: u32,
    append_tokens: f64,
    refilled: Option<Instant>,
}

impl LogState {
    fn stream(&mut self, name: &str) -> &mut Stream {
        let empty = || Stream {
            first: Offset(1),
            records: VecDeque::new(),
        };
        self.streams.entry(name.into()).or_insert_with(empty)
    }

    /// Takes a token from the bucket of `per_s`, with a burst of a tenth of it.
    fn take_append_token(&mut self, per_s: u32) -> bool {
        let now = Instant::now();
        let rate = f64::from(per_s);
        let burst = (rate / 10.0).max(1.0);
        let filled = match self.refilled {
            Some(before) => self.append_tokens + (now - before).as_secs_f64() * rate,
            None => burst,
        };
        self.refilled = Some(now);
        self.append_tokens = filled.min(burst);
        if self.append_tokens < 1.0 {
            return false;
        }
        self.append_tokens -= 1.0;
        true
    }
}

/// The log service.
#[derive(Debug)]
pub(crate) struct LogServer {
    pub(crate) host: Host,
    shared: Arc<Shared>,
    appends_per_s: u32,
    appended: Notify,
    inner: Mutex<LogState>,
}

impl LogServer {
    /// Starts the service at `address`.
    pub(crate) async fn start(
        address: SocketAddr,
        shared: Arc<Shared>,
        appends_per_s: u32,
    ) -> io::Result<Arc<Self>> {
        let (host, bound) = Host::bind(address).await?;
        let log = Arc::new(Self {
            host,
            shared,
            appends_per_s,
            appended: Notify::new(),
            inner: Mutex::default(),
        });
        let router = Router::new()
            .route("/streams/{stream}/append", post(append))
            .route("/streams/{stream}/records", get(records))
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .with_state(Arc::clone(&log));
        host::serve(bound, &log, |log| &log.host, router);
        Ok(log)
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delays every response by `slow` and drops the next acknowledgments.
    pub(crate) fn set_faults(&self, slow: Duration, lose_acknowledgements: u32) {
        let mut inner = self.lock();
        inner.slow = slow;
        inner.lose_acknowledgements = lose_acknowledgements;
    }

    /// Drops the records of `stream` up to offset `to`.
    pub(crate) fn expire(&self, stream: &str, to: u64) {
        let mut inner = self.lock();
        let stream = inner.stream(stream);
        while stream.first.0 <= to && stream.records.pop_front().is_some() {
            stream.first = stream.first.next();
        }
    }

    /// Appends `records`; returns the first offset and whether to acknowledge it.
    ///
    /// Returns `None` above the append rate.
    fn append(&self, stream: &str, records: Vec<Arc<str>>) -> Option<(Offset, bool)> {
        let mut inner = self.lock();
        if !inner.take_append_token(self.appends_per_s) {
            return None;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let at_ms = now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
        let stream = inner.stream(stream);
        let first = stream.tail();
        for data in records {
            stream.records.push_back(Entry {
                offset: stream.tail(),
                at_ms,
                data,
            });
        }
        let lost = inner.lose_acknowledgements > 0;
        inner.lose_acknowledgements -= u32::from(lost);
        drop(inner);
        self.appended.notify_waiters();
        Some((first, !lost))
    }
}

/// Handles an append request.
async fn append(
    State(log): State<Arc<LogServer>>,
    Path(stream): Path<String>,
    Json(body): Json<Append>,
) -> Response {
    log.shared.count(|counters| counters.appends += 1);
    let slow = log.lock().slow;
    time::sleep(slow).await;
    if body.records.len() > MAX_BATCH_RECORDS {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    match log.append(&stream, body.records) {
        None => StatusCode::TOO_MANY_REQUESTS.into_response(),
        Some((_, false)) => Response::new(broken_body()),
        Some((first, true)) => Json(Appended { first }).into_response(),
    }
}

/// Handles a read request; waits for the next record if there is none yet.
async fn records(
    State(log): State<Arc<LogServer>>,
    Path(stream): Path<String>,
    Query(range): Query<proto::Query>,
) -> Json<Records> {
    log.shared.count(|counters| counters.reads += 1);
    let slow = log.lock().slow;
    time::sleep(slow).await;
    let max = range.max.min(MAX_RECORDS);
    let end = Instant::now() + Duration::from_millis(range.wait_ms);
    loop {
        let appended = log.appended.notified();
        tokio::pin!(appended);
        // Enabled before the read, so that no append in between is missed.
        appended.as_mut().enable();
        let read = log.lock().stream(&stream).read(range.from, max);
        if !read.records.is_empty() || time::timeout_at(end, appended).await.is_err() {
            return Json(read);
        }
    }
}
