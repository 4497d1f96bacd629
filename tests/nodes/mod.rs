//! Fixtures for tests that run nodes as separate processes against the platform stand-in.
#![allow(dead_code)]

#[path = "../../platform/standin/mod.rs"]
pub mod standin;

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crossweir::http::client::{CallError, FullResponse, HttpClient};
use serde_json::{Value, json};
use standin::{HOST, StandIn};
use volo_http::http::{Method, StatusCode};

/// The file of the repository that holds the operators' token.
pub const TOKEN_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/token");

/// How long a condition is polled before the test fails.  A takeover of the cell by another node
/// takes far less.
const POLL_TIMEOUT: Duration = Duration::from_secs(40);
/// The pause between two checks of a polled condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A node's process and the addresses of its listeners.  The process is killed on drop.
pub struct Node {
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub api: SocketAddr,
    _settings: tempfile::NamedTempFile,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    /// Sends `signal`, an argument of `kill` such as `-TERM`, to the node's process.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }
}

/// Starts a node on ports that the kernel assigns; the addresses are read from the node's log.
pub fn start_node(platform: &StandIn, name: &str) -> Node {
    let mut settings = tempfile::NamedTempFile::new().expect("a file for settings");
    let any = "127.0.0.1:0";
    let text = format!(
        "[node]\nname = {name}\nhall = north\n\
         [listen]\ncallers = {any}\nready = {any}\npeers = {any}\nmetrics = {any}\napi = {any}\n\
         [store]\naddress = {}\n[advice]\naddress = {}\n\
         [operator]\ntoken_file = {TOKEN_FILE}\n",
        platform.store, platform.advice
    );
    settings
        .write_all(text.as_bytes())
        .expect("settings are written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_crossweird"))
        .arg("--settings")
        .arg(settings.path())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let mut log = BufReader::new(child.stdout.take().expect("a log")).lines();
    let listens = log
        .by_ref()
        .filter_map(|line| serde_json::from_str::<Value>(&line.expect("a line")).ok())
        .find(|line| line["message"] == "node listens")
        .expect("the node tells where it listens");
    std::thread::spawn(move || log.for_each(drop));
    let address = |name: &str| {
        let text = listens[name].as_str().expect("an address");
        text.parse().expect("an address")
    };
    Node {
        callers: address("callers"),
        ready: address("ready"),
        metrics: address("metrics"),
        api: address("api"),
        child,
        _settings: settings,
    }
}

/// Starts nodes with these names and waits until all of them are ready.
pub async fn start_ready(platform: &StandIn, names: &[&str]) -> Vec<Node> {
    let nodes: Vec<Node> = names
        .iter()
        .map(|name| start_node(platform, name))
        .collect();
    for node in &nodes {
        until("the node is ready", || async {
            let answer = call(Method::GET, node.ready, "/ready", Value::Null).await;
            answer.is_ok_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
    }
    nodes
}

/// Polls `condition` until it holds, and panics with `what` after `POLL_TIMEOUT`.
pub async fn until<F, C>(what: &str, mut condition: C)
where
    C: FnMut() -> F,
    F: Future<Output = bool>,
{
    let poll = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(
        tokio::time::timeout(POLL_TIMEOUT, poll).await.is_ok(),
        "timed out waiting until {what}"
    );
}

/// Makes one HTTP call; the body is JSON, and `Value::Null` stands for no body.
pub async fn call(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Value,
) -> Result<FullResponse, CallError> {
    call_with(method, address, path, body, &[]).await
}

/// Makes one HTTP call with additional headers.
pub async fn call_with(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Value,
    headers: &[(&'static str, &str)],
) -> Result<FullResponse, CallError> {
    let url = format!("http://{address}{path}");
    let additional = headers
        .iter()
        .map(|(name, value)| (*name, (*value).to_owned()));
    let mut headers = vec![("host", HOST.to_owned())];
    headers.extend(additional);
    let body = if body.is_null() {
        Vec::new()
    } else {
        body.to_string().into_bytes()
    };
    HttpClient::new()
        .call(method, &url, &headers, body, Duration::from_secs(5))
        .await
}

/// Returns the body of a job with one step of `tasks` tasks that run for `ms` milliseconds each.
pub fn job(tasks: u32, ms: u64) -> Value {
    json!({"spec": ms.to_string(), "steps": [{"count": tasks, "cpu": 1_000, "mem_mb": 100, "est_ms": ms}]})
}

/// Returns the index of the node whose metrics say that it owns the cell, if there is one.
pub async fn find_owner(nodes: &[Node]) -> Option<usize> {
    for (index, node) in nodes.iter().enumerate() {
        let answer = call(Method::GET, node.metrics, "/metrics", Value::Null).await;
        let text = String::from_utf8_lossy(&answer.expect("metrics").body).into_owned();
        if text.contains("crossweir_state{what=\"owns_cell\"} 1") {
            return Some(index);
        }
    }
    None
}

/// Returns the index of the node that owns the cell, and panics if no node does.
pub async fn owner_among(nodes: &[Node]) -> usize {
    find_owner(nodes).await.expect("one node owns the cell")
}

/// Submits a job again and again until it is accepted.
pub async fn submit(node: &Node, path: &str, body: &Value) {
    until("the job is accepted", || async {
        let answer = call(Method::POST, node.callers, path, body.clone()).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
}

/// Returns the state of the job at `path`, or nothing if the node does not tell one.
pub async fn state(node: &Node, path: &str) -> Option<String> {
    let answer = call(Method::GET, node.callers, path, Value::Null)
        .await
        .ok()?;
    let body: Value = answer.json().ok()?;
    body["state"].as_str().map(str::to_owned)
}

/// Polls the state of the job at `path` until it is `wanted`.
pub async fn until_state(node: &Node, path: &str, wanted: &str) {
    until(wanted, || async {
        state(node, path).await.as_deref() == Some(wanted)
    })
    .await;
}

/// Asserts that no two runs of one task overlap and that no run begins after one that succeeded.
pub fn assert_single_runs(platform: &StandIn) {
    let started = platform.started();
    for (index, later) in started.iter().enumerate() {
        for earlier in started[..index].iter().filter(|e| e.task == later.task) {
            let over = earlier.until.is_some_and(|until| until <= later.from);
            assert!(over && !earlier.done, "{earlier:?} and {later:?}");
        }
    }
}
