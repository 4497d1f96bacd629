//! The processes of a run: the stand-in and the nodes.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::plan::{Plan, ProcessFault};
use super::proxy::Proxy;

/// How long a program may take to tell where it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// When a process that was told to terminate is killed, as the platform does.
const TERMINATE_TIMEOUT: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A process that is killed and reaped on drop.
struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a stopped process.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a program whose output goes to the end of the file at `log`.
    fn start(program: &str, args: &[&Path], log: &Path) -> Self {
        let output = File::options().create(true).append(true).open(log);
        let output = output.expect("the log is opened");
        let errors = output.try_clone().expect("the log is opened");
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        Self { child }
    }

    /// Sends `signal`, an argument of `kill` such as `-STOP`.
    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill runs").success(), "{signal} to {id}");
    }

    /// Waits until the process ends, for at most `limit`.
    async fn ended(&mut self, limit: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + limit;
        loop {
            let status = self.child.try_wait().expect("a child of ours");
            if status.is_some() || Instant::now() >= until {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Waits for a line of JSON that `wanted` accepts in the part of the file behind `from`.
async fn find_line(path: &Path, from: usize, wanted: impl Fn(&Value) -> bool) -> Option<Value> {
    let until = Instant::now() + START_TIMEOUT;
    while Instant::now() < until {
        let log = std::fs::read(path).unwrap_or_default();
        let new = log.get(from..).unwrap_or_default();
        let lines = new.split(|&byte| byte == b'\n');
        let mut values = lines.filter_map(|line| serde_json::from_slice::<Value>(line).ok());
        if let Some(found) = values.find(&wanted) {
            return Some(found);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}

fn address(value: &Value) -> SocketAddr {
    let text = value.as_str().expect("an address");
    text.parse().expect("an address")
}

/// The stand-in, with a proxy before each worker.
pub struct StandIn {
    _process: Process,
    pub store: SocketAddr,
    pub advice: SocketAddr,
    /// Where the runs of all workers are listed.
    pub runs: SocketAddr,
    pub workers: Vec<Proxy>,
}

impl StandIn {
    pub async fn start(plan: &Plan, folder: &Path) -> Self {
        let (mut workers, mut described) = (Vec::new(), Vec::new());
        for slowdown in &plan.slowdowns {
            let proxy = Proxy::start(None).await;
            described.push(json!({"advertise": proxy.address, "slowdown": slowdown}));
            workers.push(proxy);
        }
        let site = json!({"config": plan.configuration(), "workers": described});
        let file = folder.join("site.json");
        std::fs::write(&file, site.to_string()).expect("the site is written");
        let log = folder.join("standin.log");
        let program = env!("CARGO_BIN_EXE_crossweir-standin");
        let process = Process::start(program, &[Path::new("--site"), &file], &log);
        let listens = find_line(&log, 0, |line| line["store"].is_string()).await;
        let listens = listens.expect("the stand-in tells where it listens");
        let listening = listens["workers"].as_array().expect("addresses");
        for (proxy, server) in workers.iter().zip(listening) {
            proxy.lead_to(address(server));
        }
        Self {
            _process: process,
            store: address(&listens["store"]),
            advice: address(&listens["advice"]),
            runs: address(&listens["runs"]),
            workers,
        }
    }
}

/// The proxies of one node, which stay the same when it is restarted.
pub struct NodeLinks {
    pub store: Proxy,
    pub advice: Proxy,
    /// Between the other nodes and this one.
    pub peer: Proxy,
}

impl NodeLinks {
    pub async fn start(platform: &StandIn) -> Self {
        Self {
            store: Proxy::start(Some(platform.store)).await,
            advice: Proxy::start(Some(platform.advice)).await,
            peer: Proxy::start(None).await,
        }
    }
}

/// Where callers find the nodes that have been started and not ended, by name.
pub type Addresses = Arc<Mutex<BTreeMap<String, SocketAddr>>>;

/// A node whose process is started again and again.
pub struct Node {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Process>,
    addresses: Addresses,
}

impl Node {
    pub fn new(number: usize, links: &NodeLinks, addresses: Addresses, folder: &Path) -> Self {
        let name = format!("n{number}");
        let any = "127.0.0.1:0";
        let text = format!(
            "[node]\nname = {name}\nhall = north\n\
             [listen]\ncallers = {any}\nready = {any}\npeers = {any}\nmetrics = {any}\n\
             advertise = {}\n[store]\naddress = {}\n[advice]\naddress = {}\n\
             [scheduling]\nworker_speed = yes\nshares = yes\nreject_after = 3\n\
             advice_planning = yes\n",
            links.peer.address, links.store.address, links.advice.address,
        );
        let settings = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text).expect("the settings are written");
        Self {
            log: folder.join(format!("{name}.log")),
            name,
            settings,
            process: None,
            addresses,
        }
    }

    /// Starts the process, and leads its peers and callers to it.
    pub async fn start(&mut self, links: &NodeLinks) -> Result<(), String> {
        let from = std::fs::metadata(&self.log).map_or(0, |log| log.len() as usize);
        let args = [Path::new("--settings"), self.settings.as_path()];
        let program = env!("CARGO_BIN_EXE_crossweird");
        self.process = Some(Process::start(program, &args, &self.log));
        let listens = find_line(&self.log, from, |line| line["message"] == "node listens").await;
        let listens = listens.ok_or(format!("{} does not listen", self.name))?;
        links.peer.lead_to(address(&listens["peers"]));
        let callers = address(&listens["callers"]);
        let mut addresses = self.addresses.lock().expect("no panic");
        addresses.insert(self.name.clone(), callers);
        Ok(())
    }

    /// Returns a description of an end that nobody asked for.
    pub fn unasked_end(&mut self) -> Option<String> {
        let status = self.process.as_mut()?.child.try_wait();
        let status = status.expect("a child of ours")?;
        Some(format!("{} has ended by itself: {status}", self.name))
    }

    /// Carries out a fault; the process runs again at its end.
    pub async fn suffer(&mut self, fault: ProcessFault, links: &NodeLinks) -> Result<(), String> {
        if let Some(end) = self.unasked_end() {
            return Err(end);
        }
        let mut process = self.process.take().expect("it runs between faults");
        let pause = match fault {
            ProcessFault::Pause(pause) => {
                process.signal("-STOP");
                tokio::time::sleep(pause).await;
                process.signal("-CONT");
                self.process = Some(process);
                return Ok(());
            }
            ProcessFault::Kill(pause) => {
                process.signal("-KILL");
                pause
            }
            ProcessFault::Terminate(pause) => {
                process.signal("-TERM");
                let _ = process.ended(TERMINATE_TIMEOUT).await;
                pause
            }
        };
        // Kills it if it still runs.
        drop(process);
        self.addresses.lock().expect("no panic").remove(&self.name);
        tokio::time::sleep(pause).await;
        self.start(links).await
    }
}
