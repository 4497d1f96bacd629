//! The processes of a test: the platform's stand-in and one node, on loopback addresses.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;

/// The host and path of the only queue.
pub const HOST: &str = "jobs.example";
pub const PATH: &str = "/batch/";

/// How long a program may take to tell where it listens: a test that waits longer has failed.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The lowered limits of the node: the least that its settings accept.
const DESCRIPTORS: usize = 256;
/// In megabytes.
const MEMORY: usize = 32;

/// A process that is killed and reaped on drop.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Starts a program whose output goes to a new file at `log`.
    fn start(program: &str, args: &[&Path], log: &Path) -> Self {
        let output = File::create(log).expect("the log is created");
        let errors = output.try_clone().expect("the log is shared");
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        Self(child.expect("the program starts"))
    }
}

/// The platform and one node.
pub struct Site {
    node: Process,
    _standin: Process,
    _folder: TempDir,
    /// Where the node serves callers.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the node takes work.
    pub ready: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
}

impl Site {
    /// Starts the processes and waits until they listen.
    pub fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let (standin, store) = start_standin(folder.path());
        let settings = folder.path().join("node.ini");
        std::fs::write(&settings, settings_text(&store)).expect("the settings are written");
        let log = folder.path().join("node.log");
        let args = [Path::new("--settings"), settings.as_path()];
        let node = Process::start(env!("CARGO_BIN_EXE_crossweird"), &args, &log);
        let listens = wait_for_line(&log, |line| line["message"] == "node listens");
        Self {
            node,
            _standin: standin,
            _folder: folder,
            callers: address(&listens["callers"]),
            ready: address(&listens["ready"]),
            metrics: address(&listens["metrics"]),
        }
    }

    /// Returns whether the node's process runs.
    pub fn lives(&mut self) -> bool {
        let ended = self.node.0.try_wait().expect("a child of ours");
        ended.is_none()
    }

    /// Returns the most memory that the node has had, in bytes, as the kernel counts it.
    pub fn peak_memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.node.0.id());
        let status = std::fs::read_to_string(path).expect("the node's process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let text = line.expect("the kernel tells it").trim();
        let kilobytes = text.trim_end_matches(" kB").parse::<usize>();
        kilobytes.expect("a number") * 1_024
    }

    /// Returns how many descriptors the node has open.
    pub fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.node.0.id());
        std::fs::read_dir(path)
            .expect("the node's process runs")
            .count()
    }
}

fn settings_text(store: &str) -> String {
    let any = "127.0.0.1:0";
    format!(
        "[node]\nname = n1\nhall = north\ndescriptors = {DESCRIPTORS}\nmemory = {MEMORY}\n\
         [listen]\ncallers = {any}\nready = {any}\npeers = {any}\nmetrics = {any}\n\
         [store]\naddress = {store}\n"
    )
}

fn start_standin(folder: &Path) -> (Process, String) {
    let site = json!({
        "config": {
            "version": 1,
            "routes": [{
                "name": "batch", "host": HOST, "path_prefix": PATH, "service": "svc",
                "priority": 0, "attempts": 2, "stretch": 1.5, "slo_ms": 250,
            }],
            "services": [{"name": "svc", "rejects_overload": false}],
            "limits": {"max_body_bytes": 262_144},
        },
        "workers": [{"slowdown": 1.0}],
    });
    let file = folder.join("site.json");
    std::fs::write(&file, site.to_string()).expect("the site is written");
    let log = folder.join("standin.log");
    let program = env!("CARGO_BIN_EXE_crossweir-standin");
    let process = Process::start(program, &[Path::new("--site"), &file], &log);
    let listens = wait_for_line(&log, |line| line["store"].is_string());
    let store = listens["store"].as_str().expect("an address").to_owned();
    (process, store)
}

/// Waits for a line of JSON that `wanted` accepts.
fn wait_for_line(path: &Path, wanted: impl Fn(&Value) -> bool) -> Value {
    let until = Instant::now() + START_TIMEOUT;
    while Instant::now() < until {
        let log = std::fs::read(path).unwrap_or_default();
        let lines = log.split(|&byte| byte == b'\n');
        let mut values = lines.filter_map(|line| serde_json::from_slice::<Value>(line).ok());
        if let Some(found) = values.find(&wanted) {
            return found;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    let log = std::fs::read_to_string(path).unwrap_or_default();
    panic!("no such line in the log: {log}");
}

fn address(value: &Value) -> SocketAddr {
    let text = value.as_str().expect("an address");
    text.parse().expect("an address")
}
