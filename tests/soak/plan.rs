//! What a seed decides: the cell, its load and its trouble.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

/// The host name of all queues.
pub const HOST: &str = "jobs.example";
/// The queues; the second one has a lower priority, and the third one needs advice.
pub const QUEUES: [&str; 3] = ["urgent", "batch", "advised"];
/// The processors of one worker of the stand-in, in thousandths of a core.
const WORKER_MILLICORES: u64 = 16_000;
/// How long a new cell is left alone.
const CALM_START: Duration = Duration::from_secs(2);
/// The most time between two faults of processes and of connections, in milliseconds.
const MAX_PROCESS_PAUSE: u64 = 5_000;
const MAX_LINK_PAUSE: u64 = 2_000;

/// A workspace and its load.
pub struct Workspace {
    pub name: String,
    pub key: String,
    pub weight: f64,
    /// The processors that its tasks may hold, in thousandths of a core; zero means no limit.
    pub cap: u64,
    /// How many of its jobs are submitted or pending at the same time.
    pub window: usize,
}

/// What happens to the process of a node.
#[derive(Debug, Clone, Copy)]
pub enum ProcessFault {
    /// SIGSTOP, and SIGCONT after this time.
    Pause(Duration),
    /// SIGKILL, and a restart after this time.
    Kill(Duration),
    /// SIGTERM, and a restart this long after the process has ended.
    Terminate(Duration),
}

/// How a proxy disturbs the connections of its link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    None,
    /// Each piece of data is late by this time.
    Delay(Duration),
    /// All open connections are reset; new ones work.
    Reset,
    /// Data to the server is held back.
    HoldRequests,
    /// Data from the server is held back.
    HoldReplies,
    /// Data is held back in both directions.
    Silent,
}

/// The connections that a proxy carries.
#[derive(Debug, Clone, Copy)]
pub enum Link {
    /// From this node to the store.
    Store(usize),
    /// From this node to the advice service.
    Advice(usize),
    /// From all other nodes to this one.
    Peer(usize),
    /// From all nodes to this worker.
    Worker(usize),
}

/// One event of the trouble.
#[derive(Debug, Clone, Copy)]
pub enum Trouble {
    Process(usize, ProcessFault),
    Link(Link, LinkFault, Duration),
}

/// Everything that a seed decides.
pub struct Plan {
    pub seed: u64,
    pub span: Duration,
    pub nodes: usize,
    /// How much longer than usual a task takes on each worker.
    pub slowdowns: Vec<f64>,
    pub workspaces: Vec<Workspace>,
    /// The trouble in the order of its times, which count from the start of the load.
    pub trouble: Vec<(Duration, Trouble)>,
}

impl Plan {
    /// Draws a run whose load and trouble last for `span`.
    pub fn draw(seed: u64, span: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = rng.random_range(5..=9);
        let workers: usize = rng.random_range(4..=7);
        let mut slowdowns = Vec::new();
        for _ in 0..workers {
            let is_slow = rng.random_bool(0.3);
            let range = if is_slow { 1.35..2.2 } else { 0.75..1.0 };
            slowdowns.push(rng.random_range(range));
        }
        let workspaces = draw_workspaces(&mut rng, workers as u64 * WORKER_MILLICORES);
        let mut trouble = draw_process_faults(&mut rng, nodes, span);
        trouble.extend(draw_link_faults(&mut rng, nodes, workers, span));
        trouble.sort_by_key(|(at, _)| *at);
        Self {
            seed,
            span,
            nodes,
            slowdowns,
            workspaces,
            trouble,
        }
    }

    /// Returns the operator's configuration in the platform's format.
    pub fn configuration(&self) -> Value {
        let tenants = self.workspaces.iter().map(|workspace| {
            json!({
                "name": workspace.name, "api_keys": [workspace.key], "weight": workspace.weight,
                "cap": {"cpu": workspace.cap},
            })
        });
        let tenants: Vec<Value> = tenants.collect();
        let routes = QUEUES.iter().map(|name| {
            json!({
                "name": name, "host": HOST, "path_prefix": format!("/{name}/"),
                "service": "svc", "priority": 0, "attempts": 2, "stretch": 1.5, "slo_ms": 250,
            })
        });
        let mut routes: Vec<Value> = routes.collect();
        routes[1]["priority"] = Value::from(2);
        routes[2]["advice"] = json!({"decide_ms": 5.0, "each_ms": 0.2, "valid_ms": 2_500});
        json!({
            "version": 1, "routes": routes, "tenants": tenants,
            "services": [{"name": "svc", "rejects_overload": false}],
            "limits": {"max_body_bytes": 262_144},
        })
    }
}

fn draw_workspaces(rng: &mut StdRng, capacity: u64) -> Vec<Workspace> {
    let count = rng.random_range(3..=6);
    // One workspace submits several times the usual load.
    let flooding = rng.random_range(0..count);
    let mut workspaces = Vec::new();
    for number in 0..count {
        let is_capped = rng.random_bool(0.4);
        let cap = capacity / rng.random_range(2..=4);
        let window = rng.random_range(10..=18);
        workspaces.push(Workspace {
            name: format!("ws{number}"),
            key: format!("key-{number}"),
            weight: f64::from(rng.random_range(1..=4)),
            cap: if is_capped { cap } else { 0 },
            window: if number == flooding { 50 } else { window },
        });
    }
    workspaces
}

fn millis(rng: &mut StdRng, range: std::ops::RangeInclusive<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

fn draw_process_faults(rng: &mut StdRng, nodes: usize, span: Duration) -> Vec<(Duration, Trouble)> {
    let mut faults = Vec::new();
    let mut at = CALM_START + millis(rng, 0..=MAX_PROCESS_PAUSE);
    while at < span {
        let is_burst = rng.random_bool(0.2);
        for _ in 0..if is_burst { 3 } else { 1 } {
            let fault = match rng.random_range(0..3) {
                0 => ProcessFault::Pause(millis(rng, 200..=5_000)),
                1 => ProcessFault::Kill(millis(rng, 100..=3_000)),
                _ => ProcessFault::Terminate(millis(rng, 100..=2_000)),
            };
            let node = rng.random_range(0..nodes);
            let late = millis(rng, 0..=300);
            faults.push((at + late, Trouble::Process(node, fault)));
        }
        at += millis(rng, 500..=MAX_PROCESS_PAUSE);
    }
    faults
}

fn draw_link_faults(
    rng: &mut StdRng,
    nodes: usize,
    workers: usize,
    span: Duration,
) -> Vec<(Duration, Trouble)> {
    let mut faults = Vec::new();
    let mut at = CALM_START + millis(rng, 0..=MAX_LINK_PAUSE);
    while at < span {
        let link = match rng.random_range(0..10) {
            0..3 => Link::Store(rng.random_range(0..nodes)),
            3..6 => Link::Peer(rng.random_range(0..nodes)),
            6..9 => Link::Worker(rng.random_range(0..workers)),
            _ => Link::Advice(rng.random_range(0..nodes)),
        };
        let fault = match rng.random_range(0..5) {
            0 => LinkFault::Delay(millis(rng, 20..=1_500)),
            1 => LinkFault::Reset,
            2 => LinkFault::HoldRequests,
            3 => LinkFault::HoldReplies,
            _ => LinkFault::Silent,
        };
        let lasts = millis(rng, 200..=8_000);
        faults.push((at, Trouble::Link(link, fault, lasts)));
        // Nodes refuse jobs only if none of them reaches the store.
        let all = if rng.random_bool(0.1) { nodes } else { 0 };
        faults.extend((0..all).map(|node| (at, Trouble::Link(Link::Store(node), fault, lasts))));
        at += millis(rng, 100..=MAX_LINK_PAUSE);
    }
    faults
}
