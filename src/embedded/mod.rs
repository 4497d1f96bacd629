//! A whole cell in one process: memory in place of the platform and the workers.
//!
//! It shows the main job on one machine and keeps nothing.

pub mod store;

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use crate::backend::local_store::LocalStore;
use crate::backend::local_target::LocalTargets;
use crate::backend::local_worker::LocalWorkers;
use crate::backend::{Platform, Vm, VmRole, VmState};
use crate::clock::{Clock, SystemClock};
use crate::config::Config;
use crate::daemon::Instance;
use crate::daemon::jobs::JobAnswer;
use crate::error::Result;
use crate::metrics::Metrics;
use crate::model::{Class, JobKind, JobSpec, Resources};
use crate::placement::view::JobView;
use crate::routing::{Outcome, RequestSpec};
use crate::rpc::local::LocalPeers;

/// The settings of the embedded instance.
const SETTINGS: &str = "\
[instance]
name = embedded
hall = hall-a
http = 127.0.0.1:0
rpc = 127.0.0.1:1
[platform]
url = http://127.0.0.1:2
poll_ms = 100
flush_ms = 50
";
/// How many workers there are.
const WORKERS: usize = 16;
/// How many workers stand in a rack.
const WORKERS_PER_RACK: usize = 8;
/// How many targets the service has.
const TARGETS: usize = 2;
/// How long one step of the demonstration may take.
const STEP_LIMIT: Duration = Duration::from_secs(20);
/// How often a step is looked at.
const LOOK: Duration = Duration::from_millis(50);

/// Makes an instance whose platform, workers and targets are in memory.
///
/// # Errors
/// Fails only if the built-in settings break a rule, which a test would show.
pub fn instance() -> Result<Arc<Instance>> {
    let cfg = Config::parse("embedded", SETTINGS)?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let store = Arc::new(LocalStore::default());
    let vms = vms();
    let endpoints = vms.iter().map(|vm| vm.endpoint.clone());
    let workers = Arc::new(LocalWorkers::new(Arc::clone(&clock), endpoints));
    store.set_vms(vms);
    let platform = Platform {
        store: store.clone(),
        vms: store,
        workers,
        targets: Arc::new(LocalTargets),
    };
    Ok(Instance::new(
        cfg,
        clock,
        platform,
        Arc::new(LocalPeers::default()),
        Metrics::new()?,
        1,
    ))
}

fn vms() -> Vec<Vm> {
    let worker = |index: usize| Vm {
        name: format!("worker-{index}"),
        role: VmRole::Worker {
            capacity: Resources::new(16_000, 32 * 1024, 0),
        },
        hall: String::from("hall-a"),
        rack: format!("rack-{}", index / WORKERS_PER_RACK),
        endpoint: format!("worker-{index}"),
        state: VmState::Live,
    };
    let target = |index: usize| Vm {
        name: format!("target-{index}"),
        role: VmRole::Target {
            service: String::from("echo"),
            slots: 8,
            connections: 64,
        },
        hall: String::from("hall-a"),
        rack: String::from("rack-0"),
        endpoint: format!("target-{index}"),
        state: VmState::Live,
    };
    (0..WORKERS)
        .map(worker)
        .chain((0..TARGETS).map(target))
        .collect()
}

/// Serves one of each kind of work, and says what happened.
///
/// Each line goes to `say`.  Returns whether everything went as it should.
///
/// # Errors
/// As [`instance`].
pub async fn demonstrate(mut say: impl FnMut(String)) -> Result<bool> {
    let instance = instance()?;
    instance.start();
    say(String::from(
        "A cell in one process: 16 workers in 2 racks, 2 targets, memory for a store.",
    ));
    let ready =
        eventually(|| instance.status().shards.len() >= 3 && instance.status().millicores > 0)
            .await;
    say(format!(
        "It owns {} shards.",
        instance.status().shards.len()
    ));
    let mut well = ready;
    for (spec, goal) in jobs() {
        well &= run_job(&instance, spec, goal, &mut say).await;
    }
    well &= run_request(&instance, &mut say).await;
    let status = instance.status();
    say(format!("Invariants broken: {}.", status.violations));
    say(String::from(
        "Next: docs/OPERATIONS.md runs a cell of several instances; `crossweir --help` lists the commands.",
    ));
    Ok(well && status.violations == 0)
}

fn jobs() -> Vec<(JobSpec, &'static str)> {
    let job = |name: &str, kind, tasks, millicores, urgent| JobSpec {
        name: name.to_owned(),
        team: String::from("demo"),
        kind,
        tasks,
        resources: Resources::new(millicores, 1024, 0),
        runtime_ms: Some(100),
        repeatable: true,
        urgent,
        command: Vec::new(),
    };
    vec![
        (
            job("tracking", JobKind::Service, 3, 1_000, false),
            "running",
        ),
        (job("report", JobKind::Batch, 40, 2_000, false), "succeeded"),
        (job("rebuild", JobKind::Gang, 8, 8_000, false), "succeeded"),
        (job("summary", JobKind::Batch, 1, 500, true), "succeeded"),
    ]
}

async fn run_job(
    instance: &Arc<Instance>,
    spec: JobSpec,
    goal: &str,
    say: &mut impl FnMut(String),
) -> bool {
    let tasks = spec.tasks;
    let kind = spec.kind;
    let answer = instance.submit(spec).await;
    let JobAnswer::Accepted(id) = answer else {
        say(format!("A {kind:?} job was not accepted: {answer:?}."));
        return false;
    };
    let deadline = instance.now() + STEP_LIMIT.as_millis() as u64;
    let mut view = instance.view_job(&id).await;
    while !reached(view.as_ref(), goal, tasks) && instance.now() < deadline {
        tokio::time::sleep(LOOK).await;
        view = instance.view_job(&id).await;
    }
    let counts = view
        .as_ref()
        .map(|view| json!(view.counts).to_string())
        .unwrap_or_default();
    say(format!("{kind:?} job {id} of {tasks} tasks: {counts}"));
    reached(view.as_ref(), goal, tasks)
}

fn reached(view: Option<&JobView>, goal: &str, tasks: u32) -> bool {
    view.is_some_and(|view| view.counts.get(goal) == Some(&tasks))
}

async fn run_request(instance: &Arc<Instance>, say: &mut impl FnMut(String)) -> bool {
    let spec = RequestSpec {
        id: String::from("demo"),
        service: String::from("echo"),
        path: String::from("/"),
        team: String::from("demo"),
        class: Class::Urgent,
        repeatable: false,
        key: Some(String::from("demo-1")),
        order: None,
        remaining_ms: 5_000,
        marked: false,
        hops: 0,
    };
    let outcome = instance.serve_request(spec, b"hello".to_vec()).await;
    match &outcome {
        Outcome::Answered {
            status,
            target,
            body,
            ..
        } => {
            let body = String::from_utf8_lossy(body);
            say(format!(
                "A request that must not be repeated: {target} answered {status} `{body}`."
            ));
            true
        }
        _ => {
            say(format!("The request was not answered: {outcome:?}."));
            false
        }
    }
}

async fn eventually(mut holds: impl FnMut() -> bool) -> bool {
    let looks = STEP_LIMIT.as_millis() / LOOK.as_millis();
    for _ in 0..looks {
        if holds() {
            return true;
        }
        tokio::time::sleep(LOOK).await;
    }
    false
}
