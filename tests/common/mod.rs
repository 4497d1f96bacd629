//! A cell of real processes on loopback: the stand-in and several instances.

#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crossweir::daemon::status::{CellStatus, InstanceStatus};
use crossweir::http::client::{Answer, CallError, HttpClient};
use crossweir::http::operator::TOKEN_HEADER;
use serde_json::{Value, json};
use volo_http::http::Method;

pub const TOKEN: &str = "a-token-for-tests";
const CALL_LIMIT: Duration = Duration::from_secs(15);
/// How long any state is waited for before a test fails.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(25);

/// Short periods, so that tests are quick.
const QUICK: &str = "\
[platform]
poll_ms = 100
flush_ms = 50
[membership]
beat_ms = 100
suspect_ms = 1000
settle_ms = 500
";

/// A process that is killed when it is dropped.
pub struct Process {
    pub child: Child,
    pub address: String,
}

impl Process {
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([format!("-{name}"), pid])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "cannot send {name}"
        );
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The size of a cell.
pub struct Size {
    pub halls: &'static str,
    pub workers: usize,
    pub targets: usize,
    pub instances: usize,
}

/// A cell of processes.
pub struct Cell {
    pub standin: Process,
    pub instances: Vec<Option<Process>>,
    pub http: HttpClient,
    folder: PathBuf,
    settings: String,
}

impl Cell {
    /// Starts a cell and waits until every shard is owned and usable.
    pub async fn start(size: &Size) -> Self {
        Self::start_with(size, "").await
    }

    /// As [`Cell::start`], with further settings.
    pub async fn start_with(size: &Size, settings: &str) -> Self {
        Self::start_plain(size, &format!("{QUICK}{settings}")).await
    }

    /// Starts a cell with just the given settings and the defaults.
    pub async fn start_plain(size: &Size, settings: &str) -> Self {
        let standin = start_standin(size);
        let folder = std::env::temp_dir().join(format!(
            "crossweir-test-{}-{}",
            std::process::id(),
            standin.child.id()
        ));
        std::fs::create_dir_all(&folder).expect("a folder for settings");
        std::fs::write(folder.join("token"), TOKEN).expect("the token file");
        let mut cell = Self {
            standin,
            instances: Vec::new(),
            http: HttpClient::new(),
            folder,
            settings: settings.to_owned(),
        };
        let halls: Vec<&str> = size.halls.split(',').collect();
        for index in 0..size.instances {
            let started = cell.start_instance(index, halls[index % halls.len()]);
            cell.instances.push(Some(started));
        }
        cell.settled(size.instances).await;
        cell
    }

    /// Starts the instance `e<index>` anew.
    pub fn start_instance(&self, index: usize, hall: &str) -> Process {
        let path = self.folder.join(format!("e{index}.ini"));
        let settings = format!(
            "[instance]\nname = e{index}\nhall = {hall}\nhttp = 127.0.0.1:0\nrpc = 127.0.0.1:0\n\
             operator_token_file = {}\n[platform]\nurl = http://{}\n{}",
            self.folder.join("token").display(),
            self.standin.address,
            self.settings,
        );
        std::fs::write(&path, settings).expect("a settings file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_crossweird"));
        command.arg("--settings").arg(&path).stderr(Stdio::piped());
        let mut child = command.spawn().expect("an instance starts");
        let stderr = child.stderr.take().expect("a piped log");
        let address = address_in_log(stderr, "http");
        Process { child, address }
    }

    pub fn instance(&self, index: usize) -> &Process {
        self.instances[index].as_ref().expect("the instance runs")
    }

    /// Waits until `count` instances hear each other and every shard is owned and confirmed.
    pub async fn settled(&self, count: usize) {
        self.until("the cell settles", |status| {
            let whole = status.instances.len() == count && status.unowned.is_empty();
            let ready = |instance: &InstanceStatus| {
                instance.fresh
                    && instance.hears.len() == count - 1
                    && instance.shards.iter().all(is_ready)
            };
            whole && status.instances.iter().all(ready)
        })
        .await;
    }

    /// Waits until some running instance sees the cell in the given state.
    pub async fn until(
        &self,
        what: &str,
        mut holds: impl FnMut(&CellStatus) -> bool,
    ) -> CellStatus {
        let start = Instant::now();
        let mut last = None;
        while start.elapsed() < WAIT_LIMIT {
            for process in self.instances.iter().flatten() {
                if let Some(status) = self.status(&process.address).await {
                    if holds(&status) {
                        return status;
                    }
                    last = Some(status);
                }
            }
            tokio::time::sleep(LOOK).await;
        }
        panic!("waited in vain: {what}; last seen: {last:#?}");
    }

    pub async fn status(&self, address: &str) -> Option<CellStatus> {
        let url = format!("http://{address}/v1/operator/status");
        let headers = [(TOKEN_HEADER, TOKEN.to_owned())];
        let answer = self
            .http
            .call(
                Method::GET,
                &url,
                &headers,
                Vec::new(),
                Duration::from_secs(2),
            )
            .await;
        answer.ok()?.json().ok()
    }

    /// Calls an instance and expects an answer.
    pub async fn call(
        &self,
        index: usize,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Answer {
        let answer = self.try_call(index, method, path, headers, body).await;
        answer.unwrap_or_else(|err| panic!("{path}: {err}"))
    }

    pub async fn try_call(
        &self,
        index: usize,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Result<Answer, CallError> {
        let url = format!("http://{}{path}", self.instance(index).address);
        let headers: Vec<_> = headers
            .iter()
            .map(|(name, value)| (*name, (*value).to_owned()))
            .collect();
        self.http
            .call(method, &url, &headers, body.as_bytes().to_vec(), CALL_LIMIT)
            .await
    }

    /// Sends a short request to the service `echo`.
    pub async fn request(
        &self,
        index: usize,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Answer {
        self.call(
            index,
            Method::POST,
            "/v1/services/echo/requests/run",
            headers,
            body,
        )
        .await
    }

    pub async fn submit(&self, index: usize, job: &Value) -> Answer {
        self.call(index, Method::POST, "/v1/jobs", &[], &job.to_string())
            .await
    }

    /// Waits until a job has `count` tasks in `state`.
    pub async fn job_reaches(&self, index: usize, id: &str, state: &str, count: u64) -> Value {
        let start = Instant::now();
        let mut last = Value::Null;
        while start.elapsed() < WAIT_LIMIT {
            let answer = self
                .try_call(index, Method::GET, &format!("/v1/jobs/{id}"), &[], "")
                .await;
            if let Ok(view) = answer.and_then(|answer| answer.json::<Value>()) {
                if view["counts"][state] == count {
                    return view;
                }
                last = view;
            }
            tokio::time::sleep(LOOK).await;
        }
        panic!("job {id} never had {count} tasks {state}; last seen: {last}");
    }

    /// Switches a fault of the stand-in.
    pub async fn fault(&self, fault: Value) {
        let url = format!("http://{}/control", self.standin.address);
        let answer = self
            .http
            .post_json(&url, &fault, CALL_LIMIT)
            .await
            .expect("the stand-in answers");
        assert_eq!(answer.status, 200, "fault {fault}");
    }

    /// Returns what the stand-in has counted.
    pub async fn report(&self) -> Value {
        let url = format!("http://{}/control", self.standin.address);
        let answer = self
            .http
            .call(Method::GET, &url, &[], Vec::new(), CALL_LIMIT)
            .await;
        answer
            .expect("the stand-in answers")
            .json()
            .expect("a report")
    }

    /// Returns what the rows of all shards hold in the store.
    pub async fn shard_rows(&self) -> Vec<Value> {
        let url = format!("http://{}/table/scan", self.standin.address);
        let answer = self
            .http
            .post_json(&url, &json!({ "prefix": "shard/" }), CALL_LIMIT)
            .await;
        let rows: Vec<Value> = answer.expect("the store answers").json().expect("rows");
        let text = |row: &Value| row["value"].as_str().unwrap_or("").to_owned();
        rows.iter()
            .filter_map(|row| serde_json::from_str(&text(row)).ok())
            .collect()
    }

    /// Returns the value of a metric with one label, or zero.
    pub async fn metric(&self, index: usize, name: &str, label: &str) -> u64 {
        let answer = self.call(index, Method::GET, "/metrics", &[], "").await;
        let text = String::from_utf8(answer.body).expect("metrics are text");
        let line = text
            .lines()
            .find(|line| line.starts_with(name) && line.contains(&format!("\"{label}\"")));
        line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
            .unwrap_or(0)
    }

    /// Asserts that no instance has refused anything to keep an invariant, and that
    /// no task has ever run in two places at once.
    pub async fn assert_invariants(&self) {
        for process in self.instances.iter().flatten() {
            if let Some(status) = self.status(&process.address).await {
                for instance in status.instances {
                    assert_eq!(instance.violations, 0, "invariants of {}", instance.name);
                }
            }
        }
        assert_eq!(
            double_runs(&self.report().await),
            Vec::<String>::new(),
            "tasks in two places"
        );
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn is_ready(shard: &crossweir::daemon::status::ShardStatus) -> bool {
    let pool = shard.shard.starts_with("service:");
    shard.confirmed_for_ms > 0
        && shard.inherited_open
        && (pool && shard.free_slots > 0 || !pool && shard.usable > 0)
}

/// Returns the tasks of which two runs overlap in time.
pub fn double_runs(report: &Value) -> Vec<String> {
    let mut runs: HashMap<String, Vec<(u64, u64)>> = HashMap::new();
    for history in report["runs"]
        .as_object()
        .into_iter()
        .flat_map(|runs| runs.values())
    {
        for run in history.as_array().into_iter().flatten() {
            let task = format!("{}/{}", run["task"]["job"], run["task"]["index"]);
            let ended = run["ended"].as_u64().unwrap_or(u64::MAX);
            runs.entry(task)
                .or_default()
                .push((run["started"].as_u64().unwrap_or(0), ended));
        }
    }
    let overlaps = |runs: &mut Vec<(u64, u64)>| {
        runs.sort_unstable();
        runs.windows(2).any(|pair| pair[1].0 < pair[0].1)
    };
    runs.into_iter()
        .filter_map(|(task, mut runs)| overlaps(&mut runs).then_some(task))
        .collect()
}

/// A job as callers send it.
pub fn job(name: &str, kind: &str, tasks: u32, millicores: u64, runtime_ms: u64) -> Value {
    json!({
        "name": name,
        "team": "test",
        "kind": kind,
        "tasks": tasks,
        "resources": { "millicores": millicores, "memory_mib": 512 },
        "runtime_ms": runtime_ms,
    })
}

fn start_standin(size: &Size) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_crossweir-standin"));
    command.args(["--halls", size.halls]);
    command.args([
        "--workers",
        &size.workers.to_string(),
        "--targets",
        &size.targets.to_string(),
    ]);
    let mut child = command
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the stand-in starts");
    let stdout = child.stdout.take().expect("a piped output");
    let address = address_in_log(stdout, "address");
    Process { child, address }
}

/// Reads JSON lines until one has `field`, and goes on reading the rest in the background.
fn address_in_log(log: impl std::io::Read + Send + 'static, field: &'static str) -> String {
    let (tx, rx) = std::sync::mpsc::channel();
    let show = std::env::var_os("CROSSWEIR_TEST_LOG").is_some();
    std::thread::spawn(move || {
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            if show {
                eprintln!("{line}");
            }
            let value: Value = serde_json::from_str(&line).unwrap_or_default();
            if let Some(address) = value[field].as_str() {
                let _ = tx.send(address.to_owned());
            }
        }
    });
    rx.recv_timeout(WAIT_LIMIT)
        .expect("the process says where it listens")
}
