//! Entry nodes as processes, started with the command of the deploy file.

use crate::{http::Client, note, seconds};
use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, id},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// `PR_SET_PDEATHSIG` of `prctl(2)`.
const PARENT_DEATH_SIGNAL: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64) -> i32;
}

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// The port of the metrics, as in the deploy file.
const METRICS_PORT: u16 = 9464;

/// An entry node.
#[derive(Debug, Clone)]
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub log: PathBuf,
    pub pid: i32,
    settings: PathBuf,
}

/// Starts the program with the command of the deploy file; returns the process.
fn spawn(program: &Path, settings: &Path, log: &Path) -> io::Result<i32> {
    let output = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new(program);
    command
        .args(["edge", "--metrics-port", "9464"])
        .env("ARBUTUSFORD_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output);
    // The node ends with the rig, however that ends.
    // SAFETY: the closure makes one system call, which is allowed after a fork.
    unsafe {
        command.pre_exec(|| {
            prctl(PARENT_DEATH_SIGNAL, SIGKILL as u64);
            Ok(())
        })
    };
    let child = command.spawn()?;
    let pid = child.id() as i32;
    CHILDREN.lock().unwrap().push(child);
    Ok(pid)
}

/// Ends all nodes that were started, and removes their folders.
pub fn end_all() {
    for child in CHILDREN.lock().unwrap_or_else(|e| e.into_inner()).iter_mut() {
        // A stopped process ends as well.
        let _ = child.kill();
        let _ = child.wait();
    }
    let is_kept = std::env::var("KEEP").is_ok();
    for folder in FOLDERS.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        if is_kept {
            println!("{}", folder.display());
        } else {
            let _ = fs::remove_dir_all(folder);
        }
    }
}

impl Node {
    /// Starts node number `n` of a run; each has a loopback address of its own.
    pub fn start(program: &Path, store: &str, n: u8) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("arbutusford-review-{}-{n}", id()));
        fs::create_dir_all(&folder)?;
        FOLDERS.lock().unwrap().push(folder.clone());
        let ip = free_ip(n)?;
        let ports = free_ports(&ip)?;
        let name = format!("edge-zone-a-{n}");
        let settings = folder.join("local.json");
        fs::write(&settings, settings_text(&name, &ip, ports, store))?;
        let log = folder.join("log.txt");
        let pid = spawn(program, &settings, &log)?;
        note(&format!("node {name} started at {ip}"));
        let address = |port: u16| SocketAddr::new(ip.parse().unwrap(), port);
        Ok(Self {
            name,
            front: address(ports[0]),
            readiness: address(ports[1]),
            log,
            pid,
            settings,
        })
    }

    /// Does what the platform does to a process with too much memory for a time: kills it, and
    /// starts it again after a second. Returns how often, and the most memory that was seen.
    pub fn limit_memory(&self, program: &Path, max_bytes: u64, until: f64) -> io::Result<(usize, u64)> {
        let (mut pid, mut kills, mut most) = (self.pid, 0, 0);
        while seconds() < until {
            let bytes = resident_bytes(pid);
            most = most.max(bytes);
            if bytes > max_bytes {
                kills += 1;
                note(&format!("platform: {} has {bytes} bytes of memory and is killed", self.name));
                // SAFETY: the call has no memory arguments, and the child is not reaped before the end.
                unsafe { kill(pid, SIGKILL) };
                thread::sleep(Duration::from_secs(1));
                pid = spawn(program, &self.settings, &self.log)?;
                note(&format!("platform: {} is started again", self.name));
            }
            thread::sleep(Duration::from_millis(2));
        }
        Ok((kills, most))
    }

    /// Waits until the node is ready; returns false if it is not in time.
    pub fn wait_ready(&self, time_limit: Duration) -> bool {
        let begin = Instant::now();
        while begin.elapsed() < time_limit {
            if self.is_ready() {
                note(&format!("node {} is ready", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether the node counts as ready.
    pub fn is_ready(&self) -> bool {
        let client = Client::open(self.readiness, Duration::from_secs(1));
        let answer = client.and_then(|mut client| client.call("GET /ready", &[("host", "node")], b""));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a signal to the node's process.
    pub fn signal(&self, signal: i32) {
        note(&format!("node {}: signal {signal}", self.name));
        // SAFETY: the call has no memory arguments, and the child is not reaped before the end.
        unsafe { kill(self.pid, signal) };
    }

    /// Returns the lines of the node's log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

/// Returns the resident memory of a process.
fn resident_bytes(pid: i32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Returns a loopback address whose metrics port is free.
fn free_ip(n: u8) -> io::Result<String> {
    for attempt in 0..200 {
        let block = (id() + attempt) % 60_000;
        let ip = format!("127.{}.{}.{}", 1 + block / 250, 1 + block % 250, 10 + n);
        if TcpListener::bind((ip.as_str(), METRICS_PORT)).is_ok() {
            return Ok(ip);
        }
    }
    Err(io::Error::other("no loopback address is free"))
}

/// Returns four ports in a row that are free: callers, readiness, directory, peers.
fn free_ports(ip: &str) -> io::Result<[u16; 4]> {
    for first in (12_000..32_000).step_by(4) {
        let ports = [first, first + 1, first + 2, first + 3];
        let is_free = |port: &u16| {
            TcpListener::bind((ip, *port)).is_ok() && UdpSocket::bind((ip, *port)).is_ok()
        };
        if ports.iter().all(is_free) {
            return Ok(ports);
        }
    }
    Err(io::Error::other("no ports are free"))
}

fn settings_text(name: &str, ip: &str, ports: [u16; 4], store: &str) -> String {
    let [front, readiness, directory, peer] = ports;
    format!(
        r#"{{
  "node": "{name}", "role": "edge", "machine-class": "edge", "serves": ["edge", "directory"],
  "ip": "{ip}", "zone": "zone-a", "region": "r", "zones": {{"zone-a": "r"}},
  "listen": {{"front": "{ip}:{front}", "readiness": "{ip}:{readiness}", "directory": "{ip}:{directory}"}},
  "port-range": [{peer}, {peer}], "seeds": [], "bootstrap": true, "in-tolerance": false,
  "limits": {{"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0}},
  "data-dir": null, "discovery": "platform", "entry": "directory", "heartbeat-ms": 1200,
  "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "gangs"],
  "tolerate": {{"machines": 2, "zones": 1, "regions": 0}},
  "bounds": {{"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-ms": 2000, "downgrade-ms": 250, "max-skew-ms": 5000, "strict-revoke": true, "revoke-ms": 5000, "retry-budget": 0.2, "budget-window-s": 10, "budget-slack": 136, "cold-overshoot": 1.5, "cold-slack": 5, "evacuate-ms": 5000, "recovery-s": 12, "pass-ms": 120, "retry-after-s": 0, "stall-ms": 6000, "enforce-fence": true, "ceiling-window-s": 5, "ceiling-overshoot": 1.1, "ttl_max_s": 5}},
  "platform": {{"address": "{store}", "form": "log", "writes-per-s": 400, "reads-per-s": 2000, "parts": 12, "append-ms": 2.0, "partition-mb-s": 20.0, "read-mb-s": 80.0, "record-bytes": 262144, "call-bytes": 2097152, "keep_s": 300, "part-mb": 200, "ttl-min-ms": 1000}}
}}
"#
    )
}
