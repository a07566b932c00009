//! Model engines, which serve in groups.

use crate::{
    engine::ENTRIES,
    http::{Handler, Message, Server, response},
    note, seconds, sleep_until,
    store::Store,
    wall_ms,
};
use std::{
    collections::{BTreeMap, HashMap},
    io::{self, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// The interval of the entries' renewal, as in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The time of a load from the weight store, of one from the host, and of a join for the model
/// of the engine's last group, in seconds.
pub const LOAD_S: f64 = 2.0;
pub const WARM_S: f64 = 0.5;
const HELD_S: f64 = 0.2;

/// The time until a head serves, in seconds.
pub const FORM_S: f64 = 0.3;

/// How much later a late order is carried out, in seconds.
pub const LATE_S: f64 = 2.5;

/// The time for which the work of a group stands still before the head is broken, in seconds.
const STALL_S: f64 = 6.0;

/// The models, and the number of engines in a group.
pub const MODEL: &str = "m0";
pub const OTHER_MODEL: &str = "m1";
pub const SIZE: usize = 2;

/// The number of events of a stream.
pub const EVENTS: u64 = 30;

/// The time between two looks at a group that stands still.
const STALL_INTERVAL: Duration = Duration::from_millis(20);

/// A membership.
#[derive(Debug, Clone, PartialEq)]
struct Member {
    group: String,
    epoch: u64,
    model: String,
    members: Vec<String>,
    rank: usize,
    ready_at: f64,
    open_at: Option<f64>,
    is_closing: bool,
    stalled_since: Option<f64>,
    is_broken: bool,
}

impl Member {
    fn is_same(&self, other: &Self) -> bool {
        (&self.group, self.epoch, &self.members) == (&other.group, other.epoch, &other.members)
    }

    fn state(&self) -> &'static str {
        let now = seconds();
        if self.is_broken {
            "broken"
        } else if now < self.ready_at {
            "joining"
        } else if self.is_closing {
            "closing"
        } else if self.open_at.is_some_and(|at| now >= at) {
            "open"
        } else {
            "ready"
        }
    }
}

#[derive(Debug, Default)]
struct State {
    sequence: u64,
    fence: u64,
    epoch: u64,
    renewals: u64,
    running: usize,
    is_draining: bool,
    /// The model of its last group.
    held: Option<String>,
    /// Until when the engine is silent.
    silent_until: f64,
    /// The number of orders that aborted its work.
    aborts: u64,
    /// The model that its host keeps, and when it is there.
    staged: Option<(String, f64)>,
    member: Option<Member>,
    /// The member lists that this engine has seen, by group and epoch.
    seen: HashMap<(String, u64), Vec<String>>,
}

/// Orders that get no answer and are carried out late.
#[derive(Debug, Default)]
struct Late {
    /// Whether such orders may come now.
    is_active: bool,
    /// How many orders came meanwhile, and which of them are late.
    orders: usize,
    late: Vec<String>,
}

/// An engine.
struct Engine {
    address: String,
    born: u64,
    state: State,
    _server: Arc<Server>,
}

/// All engines of a run.
pub struct Fleet {
    engines: Mutex<BTreeMap<String, Engine>>,
    store: Arc<Store>,
    /// The time between two events of a stream.
    event_interval: Duration,
    late: Mutex<Late>,
    joins: AtomicUsize,
    /// What broke a rule.
    pub breaks: Mutex<Vec<String>>,
}

impl Fleet {
    /// Returns a fleet without engines.
    pub fn start(store: &Arc<Store>, event_interval: Duration) -> Arc<Self> {
        let fleet = Arc::new(Self {
            engines: Mutex::default(),
            store: Arc::clone(store),
            event_interval,
            late: Mutex::default(),
            joins: AtomicUsize::new(0),
            breaks: Mutex::default(),
        });
        let renewing = Arc::clone(&fleet);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                renewing.write_entries();
            }
        });
        fleet
    }

    fn engines(&self) -> MutexGuard<'_, BTreeMap<String, Engine>> {
        self.engines.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adds an empty engine.
    pub fn add(self: &Arc<Self>, id: &str) -> io::Result<()> {
        let (fleet, own) = (Arc::clone(self), id.to_owned());
        let handler: Arc<Handler> =
            Arc::new(move |request, stream: &mut TcpStream| fleet.answer(&own, &request, stream));
        let server = Server::start(handler)?;
        let engine = Engine {
            address: server.address.to_string(),
            born: wall_ms(),
            state: State::default(),
            _server: server,
        };
        self.engines().insert(id.to_owned(), engine);
        note(&format!("engine {id} added"));
        self.write_entry(id);
        Ok(())
    }

    /// Reports an engine as draining.
    pub fn drain(&self, id: &str) {
        if let Some(engine) = self.engines().get_mut(id) {
            engine.state.is_draining = true;
        }
        note(&format!("engine {id} drains"));
        self.write_entry(id);
    }

    /// Lets a sound engine fall silent for a time: it sends nothing, and goes on after that.
    pub fn silence(&self, id: &str, time: f64) {
        note(&format!("engine {id} falls silent for {time} s"));
        if let Some(engine) = self.engines().get_mut(id) {
            engine.state.silent_until = seconds() + time;
        }
    }

    /// Waits while an engine is silent.
    fn wait_silence(&self, id: &str) {
        let until = self.engines().get(id).map_or(0.0, |engine| engine.state.silent_until);
        sleep_until(until);
    }

    /// Lets joins go unanswered and be carried out late from now on, or no longer.
    pub fn set_late(&self, is_active: bool) {
        note(&format!("orders may be late: {is_active}"));
        self.late.lock().unwrap().is_active = is_active;
    }

    /// Returns the orders that came while some could be late, and how many were late.
    pub fn late_orders(&self) -> (usize, usize) {
        let late = self.late.lock().unwrap();
        (late.orders, late.late.len())
    }

    /// Returns the engines of the group of `id` that were ordered to join another one.
    fn is_late(&self, id: &str, order: &str) -> bool {
        let mut late = self.late.lock().unwrap();
        if !late.is_active {
            return false;
        }
        late.orders += 1;
        let is_late = order.contains("\"op\":\"join\"")
            && late.late.len() < SIZE
            && !late.late.iter().any(|known| known == id);
        if is_late {
            late.late.push(id.to_owned());
        }
        is_late
    }

    /// Returns how many joins were received, late ones too.
    pub fn joins(&self) -> usize {
        self.joins.load(Ordering::SeqCst)
    }

    /// Returns how many requests an engine runs.
    pub fn running(&self, id: &str) -> usize {
        self.engines().get(id).map_or(0, |engine| engine.state.running)
    }

    /// Returns the groups that are open: the name, the epoch and the members.
    pub fn open_groups(&self) -> Vec<(String, u64, Vec<String>)> {
        let engines = self.engines();
        let members = engines.values().filter_map(|engine| engine.state.member.as_ref());
        let open = members.filter(|m| m.rank == 0 && m.state() == "open");
        open.map(|m| (m.group.clone(), m.epoch, m.members.clone())).collect()
    }

    /// Writes all entries.
    pub fn write_entries(&self) {
        let ids: Vec<String> = self.engines().keys().cloned().collect();
        ids.iter().for_each(|id| self.write_entry(id));
    }

    fn write_entry(&self, id: &str) {
        let mut engines = self.engines();
        let Some(engine) = engines.get_mut(id) else { return };
        engine.state.renewals += 1;
        let state = if engine.state.is_draining { "draining" } else { "ready" };
        let entry = format!(
            r#"{{"service":"drafts","address":"{}","zone":"zone-a","version":"1","slots":26,"state":"{state}","cold-remaining-ms":0,"sequence":{},{}}}"#,
            engine.address, engine.state.renewals, describe(engine)
        );
        self.store.put(ENTRIES, id, &entry);
    }

    fn answer(self: &Arc<Self>, id: &str, request: &Message, stream: &mut TcpStream) -> Option<Vec<u8>> {
        self.wait_silence(id);
        let not_executed = [("Not-Executed", "1")];
        if request.header("expect-instance").is_some_and(|expected| expected != id) {
            return Some(response(421, &not_executed, b""));
        }
        match request.target() {
            ("GET", "/report") => Some(response(200, &[], self.report(id).as_bytes())),
            ("POST", "/order") => {
                let order = request.text();
                self.joins.fetch_add(usize::from(order.contains("\"op\":\"join\"")), Ordering::SeqCst);
                if self.is_late(id, &order) {
                    note(&format!("engine {id}: order {order}: not answered, carried out {LATE_S} s later"));
                    thread::sleep(Duration::from_secs_f64(LATE_S));
                    self.order(id, &order);
                    return None;
                }
                let status = self.order(id, &order);
                Some(response(status, &[], b"{}"))
            }
            _ => self.stream(id, request, stream),
        }
    }

    fn report(&self, id: &str) -> String {
        let engines = self.engines();
        let engine = &engines[id];
        let state = &engine.state;
        format!(
            r#"{{"stage":"mixed","busy":false,"sequence":{},"queued":0,"running":{},"kv-used":0,"kv-total":1400000,"handles":0,"pace":1.0,{}}}"#,
            state.sequence, state.running, describe(engine)
        )
    }

    /// Carries out an order; returns the status.
    fn order(self: &Arc<Self>, id: &str, order: &str) -> u16 {
        let status = self.execute(id, order);
        note(&format!("engine {id}: order {order}: {status}"));
        if status == 202 {
            self.write_entry(id);
            // The entry also changes when a join or an opening ends.
            let (fleet, own) = (Arc::clone(self), id.to_owned());
            thread::spawn(move || {
                for wait in [HELD_S, FORM_S, WARM_S, LOAD_S] {
                    thread::sleep(Duration::from_secs_f64(wait + 0.01));
                    fleet.write_entry(&own);
                }
            });
        }
        status
    }

    fn execute(&self, id: &str, order: &str) -> u16 {
        let now = seconds();
        let mut engines = self.engines();
        let text = |name: &str| text_field(order, name);
        let number = |name: &str| number_field(order, name);
        {
            let state = &mut engines.get_mut(id).expect("an engine of the fleet").state;
            let fence = number("fence").unwrap_or(0);
            if fence < state.fence {
                return 412;
            }
            state.fence = fence;
            if number("expect").is_some_and(|expected| expected != state.sequence) {
                return 409;
            }
        }
        let group = text("group").unwrap_or_default();
        let epoch = number("epoch").unwrap_or(0);
        match text("op").as_deref() {
            Some("join") => {
                let members = list_field(order, "members");
                let Some(rank) = members.iter().position(|member| member == id) else {
                    return 409;
                };
                let state = &engines[id].state;
                let key = (group.clone(), epoch);
                if epoch < state.epoch || state.seen.get(&key).is_some_and(|seen| *seen != members) {
                    return 412;
                }
                let is_held = state.member.as_ref().is_some_and(|member| {
                    (&member.group, member.epoch) == (&group, epoch)
                });
                if is_held {
                    return 200;
                }
                self.check_join(&engines, id, &group, epoch);
                let state = &mut engines.get_mut(id).expect("an engine of the fleet").state;
                let model = text("model").unwrap_or_default();
                let staged = state.staged.clone().filter(|(staged, _)| *staged == model);
                let time = match (state.held.as_ref() == Some(&model), &staged) {
                    (true, _) => HELD_S,
                    (_, Some((_, at))) => WARM_S + (at - now).max(0.0),
                    _ => LOAD_S,
                };
                state.seen.insert(key, members.clone());
                state.epoch = epoch;
                state.held = Some(model.clone());
                if staged.is_none() {
                    state.staged = Some((model.clone(), now + time));
                }
                state.member = Some(Member {
                    group,
                    epoch,
                    model,
                    members,
                    rank,
                    ready_at: now + time,
                    open_at: None,
                    is_closing: false,
                    stalled_since: None,
                    is_broken: false,
                });
                state.sequence += 1;
                202
            }
            Some("stage") => {
                let state = &mut engines.get_mut(id).expect("an engine of the fleet").state;
                let model = text("model").unwrap_or_default();
                if state.staged.as_ref().is_some_and(|(staged, _)| *staged == model) {
                    return 200;
                }
                state.staged = Some((model, now + LOAD_S));
                state.sequence += 1;
                202
            }
            Some(op @ ("open" | "close" | "leave")) => {
                let state = &mut engines.get_mut(id).expect("an engine of the fleet").state;
                let running = state.running;
                let Some(member) = state.member.as_mut().filter(|m| m.group == group && m.epoch == epoch) else {
                    return 409;
                };
                state.aborts += u64::from(text("close-mode").as_deref() == Some("abort"));
                match (op, member.state()) {
                    ("open", "ready") if member.rank == 0 => member.open_at = Some(now + FORM_S),
                    ("open", "open") => return 200,
                    ("close", "open") => {
                        member.is_closing = running > 0;
                        member.open_at = None;
                    }
                    ("close", "closing") => member.is_closing = false,
                    ("close", _) => return 200,
                    ("leave", _) => state.member = None,
                    _ => return 409,
                }
                state.sequence += 1;
                202
            }
            _ => 400,
        }
    }

    /// Checks the rule on joins: the head of the present group must not serve.
    fn check_join(&self, engines: &BTreeMap<String, Engine>, id: &str, group: &str, epoch: u64) {
        let Some(member) = &engines[id].state.member else { return };
        let head = member.members.first().and_then(|head| engines.get(head));
        let head = head.and_then(|head| head.state.member.as_ref());
        let Some(head) = head.filter(|head| head.is_same(member)) else { return };
        let is_opening = head.open_at.is_some();
        if matches!(head.state(), "open" | "closing") || (is_opening && !head.is_broken) {
            let text = format!(
                "TWO: {id} takes a join of {group} epoch {epoch} while {}, the head of its group {} epoch {} with {:?}, is {}",
                member.members[0], member.group, member.epoch, member.members, head.state()
            );
            note(&text);
            self.breaks.lock().unwrap().push(text);
        }
    }

    /// Returns whether a head's group is whole; if not, its work stands still.
    fn is_whole(&self, id: &str, started: &Member) -> Option<bool> {
        let engines = self.engines();
        let head = engines.get(id)?.state.member.as_ref().filter(|m| m.is_same(started))?;
        let is_member = |other: &String| {
            let member = engines.get(other).and_then(|engine| engine.state.member.as_ref());
            member.is_some_and(|member| member.is_same(head))
        };
        Some(head.members.iter().all(is_member))
    }

    /// Answers a request with a stream of events.
    fn stream(&self, id: &str, request: &Message, stream: &mut TcpStream) -> Option<Vec<u8>> {
        let not_executed = [("Not-Executed", "1"), ("At-Server", id)];
        let Some(attempt) = request.header("attempt-id") else {
            return Some(response(400, &not_executed, b""));
        };
        let member = {
            let mut engines = self.engines();
            let state = &mut engines.get_mut(id)?.state;
            let member = state.member.clone().filter(|m| m.rank == 0);
            match member {
                Some(member) if request.header("model") != Some(&member.model) => {
                    return Some(response(421, &not_executed, b""));
                }
                Some(member) if member.state() == "open" => {
                    state.running += 1;
                    member
                }
                Some(_) => return Some(response(503, &not_executed, b"")),
                None => return Some(response(421, &not_executed, b"")),
            }
        };
        let result = self.send_events(id, attempt, &member, request, stream);
        let mut engines = self.engines();
        let state = &mut engines.get_mut(id)?.state;
        state.running -= 1;
        if state.running == 0
            && let Some(member) = &mut state.member
        {
            member.is_closing = false;
        }
        // The whole answer has been written.
        result.ok().map(|()| Vec::new())
    }

    fn send_events(&self, id: &str, attempt: &str, member: &Member, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        note(&format!("engine {id}: runs {attempt} in {} after event {after}", member.group));
        let head = format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nAttempt-Id: {attempt}\r\nEngine-Signature: s-{id}\r\nWeight-Versions: 1\r\n\r\n");
        let mut has_begun = false;
        let aborts = || self.engines().get(id).map_or(0, |engine| engine.state.aborts);
        let aborts_before = aborts();
        for event in after + 1..=EVENTS {
            let mut stalled_for = 0.0;
            while self.is_whole(id, member) == Some(false) && stalled_for < STALL_S && aborts() == aborts_before {
                thread::sleep(STALL_INTERVAL);
                stalled_for += STALL_INTERVAL.as_secs_f64();
            }
            if aborts() != aborts_before {
                note(&format!("engine {id}: {attempt} is cut off before event {event} by an order to abort"));
                return Err(io::Error::other("the work is aborted"));
            }
            if self.is_whole(id, member) != Some(true) {
                note(&format!("engine {id}: {attempt} is cut off before event {event}: a member has left"));
                if let Some(member) = self.engines().get_mut(id).and_then(|e| e.state.member.as_mut()) {
                    member.is_broken = true;
                }
                return Err(io::Error::other("the group is broken"));
            }
            thread::sleep(self.event_interval);
            self.wait_silence(id);
            if !has_begun {
                has_begun = true;
                stream.write_all(head.as_bytes())?;
            }
            let text = format!("id: {event}\ndata: {attempt}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Returns what an engine says of itself in its entry and in its report.
fn describe(engine: &Engine) -> String {
    let state = &engine.state;
    let loaded = state.member.as_ref().filter(|m| m.state() != "joining");
    let models = loaded.map_or(String::new(), |m| format!(r#"{{"name":"{}","version":1,"adapters":[]}}"#, m.model));
    let staged = state.staged.as_ref().filter(|(_, at)| seconds() >= *at);
    let staged = staged.map_or(String::new(), |(model, _)| format!("\"{model}\""));
    let group = state.member.as_ref().map_or("null".to_owned(), |m| {
        format!(r#"{{"name":"{}","epoch":{},"rank":{},"state":"{}"}}"#, m.group, m.epoch, m.rank, m.state())
    });
    format!(
        r#""born":{},"domain":"d0","models":[{models}],"staged":[{staged}],"group":{group}"#,
        engine.born
    )
}

/// Returns the text of a field in a flat JSON object.
fn text_field(json: &str, name: &str) -> Option<String> {
    let (_, rest) = json.split_once(&format!("\"{name}\":\""))?;
    rest.split_once('"').map(|(value, _)| value.to_owned())
}

/// Returns the number in a field of a flat JSON object.
fn number_field(json: &str, name: &str) -> Option<u64> {
    let (_, rest) = json.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Returns the texts of a list in a flat JSON object.
fn list_field(json: &str, name: &str) -> Vec<String> {
    let list = json.split_once(&format!("\"{name}\":[")).and_then(|(_, rest)| rest.split_once(']'));
    let texts = list.map_or("", |(list, _)| list).split(',');
    texts.map(|text| text.trim_matches('"').to_owned()).filter(|text| !text.is_empty()).collect()
}
