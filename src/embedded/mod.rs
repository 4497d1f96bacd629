//! A whole cell in one process, with an in-memory store and in-memory workers in place of the
//! platform's.
//!
//! It demonstrates on one machine how a cell runs jobs, and persists nothing.

pub mod store;
pub mod worker;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::cell::job::JobState;
use crate::cell::life::Life;
use crate::cell::spec::{Demand, JobId, JobSpec, Step};
use crate::cell::view::JobView;
use crate::cell::worker::WorkerEntry;
use crate::clock::{Clock, SystemClock};
use crate::embedded::store::MemoryStore;
use crate::embedded::worker::{ENDLESS, MemoryWorkers};
use crate::error::Result;
use crate::node::front::{Frontend, JobAnswer};
use crate::node::intake::SubmitOutcome;
use crate::node::links::{DecodeError, Decoder};
use crate::node::process::{self, Node};
use crate::node::settings::Settings;
use crate::node::shared::Links;
use crate::queue::{Configuration, Draft, Queue};
use crate::store::{self as rows, RowKey, Table, Transaction};
use crate::workspace::Caller;

/// The settings of the embedded node.  The interface for peers is the only one that is opened, and
/// nothing calls it, since there are no other nodes.
const SETTINGS: &str = "\
[node]
name = embedded
hall = hall-a
[listen]
callers = 127.0.0.1:0
ready = 127.0.0.1:0
peers = 127.0.0.1:0
metrics = 127.0.0.1:0
[store]
address = 127.0.0.1:0
";
/// The number of workers.
const WORKERS: u16 = 16;
/// The number of workers in each rack.
const WORKERS_PER_RACK: u16 = 8;
/// The service of all workers.
const SERVICE: &str = "demo";
/// The key of the row that holds the configuration.
const CONFIGURATION: &str = "configuration";
/// The prefix of the keys of rows about evacuated halls.
const EVACUATION_PREFIX: &str = "evacuate-";
/// How long one step of the demonstration may take: that the node becomes ready, or one sample.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// How often the state of a step is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Decodes rows that hold this crate's own types as JSON, in place of the platform's format.
pub struct JsonDecoder;

impl Decoder for JsonDecoder {
    fn worker(&self, _id: &str, value: &str) -> std::result::Result<WorkerEntry, DecodeError> {
        serde_json::from_str(value).map_err(|err| DecodeError(err.to_string()))
    }

    fn configuration_key(&self) -> &'static str {
        CONFIGURATION
    }

    fn configuration(&self, value: &str) -> std::result::Result<Configuration, DecodeError> {
        serde_json::from_str(value).map_err(|err| DecodeError(err.to_string()))
    }

    fn evacuation_prefix(&self) -> &'static str {
        EVACUATION_PREFIX
    }

    fn evacuation(&self, value: &str) -> std::result::Result<(), DecodeError> {
        match value {
            "" => Err(DecodeError(String::from("it has no value"))),
            _ => Ok(()),
        }
    }
}

/// Starts a node whose store and workers are in memory; must run inside a `LocalSet`.
///
/// # Errors
/// Fails if no port is free on the loopback address.
pub async fn start() -> Result<Arc<Frontend>> {
    let settings = Settings::parse(SETTINGS, "embedded")?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let store = Arc::new(MemoryStore::default());
    let entries: Vec<WorkerEntry> = (0..WORKERS).map(worker).collect();
    store.commit(&initial_rows(&entries));
    let ids = entries.into_iter().map(|entry| entry.life.id);
    let workers = Arc::new(MemoryWorkers::new(clock, ids));
    let (listener, address) = process::bind(settings.peers).await?;
    let node = Node::new(&settings, address, |peers, _| Links {
        store,
        workers,
        advisor: None,
        decoder: Arc::new(JsonDecoder),
        peers,
    })?;
    Ok(node.start(listener))
}

/// Builds the transaction that writes what the platform and the operator write elsewhere: the
/// workers' entries and the configuration.
fn initial_rows(entries: &[WorkerEntry]) -> Transaction {
    let mut tx = Transaction::default();
    for entry in entries {
        let key = RowKey::new(Table::Workers, "", &entry.life.id);
        tx.puts.push((key, rows::encode(entry)));
    }
    let config = Configuration::from(Draft {
        version: 1,
        queues: vec![queue("urgent", 0), queue("services", 1), queue("batch", 2)],
        max_body: 262_144,
        workspaces: None,
    });
    let key = RowKey::new(Table::Operator, "", CONFIGURATION);
    tx.puts.push((key, rows::encode(&config)));
    tx
}

fn worker(number: u16) -> WorkerEntry {
    let rack = format!("rack-{}", number / WORKERS_PER_RACK);
    WorkerEntry {
        life: Life::of(format!("worker-{number}")),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + number)),
        machine: format!("machine-{number}"),
        service: SERVICE.to_owned(),
        hall: String::from("hall-a"),
        capacity: Demand {
            millicores: 16_000,
            memory: 32 * 1_024,
            gpus: 0,
        },
        labels: vec![rack.clone()],
        rack: Some(rack),
        leaving: None,
    }
}

fn queue(name: &str, priority: u32) -> Queue {
    Queue::local(name, SERVICE, priority)
}

/// One job of the demonstration.
struct Sample {
    title: &'static str,
    queue: &'static str,
    spec: JobSpec,
}

/// Runs one job of each kind, and reports what happened.
///
/// Each line of the report is passed to `print`.  Returns whether the node became ready and all
/// jobs succeeded.
///
/// # Errors
/// As [`start`].
pub async fn demonstrate(mut print: impl FnMut(String)) -> Result<bool> {
    let front = start().await?;
    print(format!(
        "A cell in one process: {WORKERS} workers in 2 racks, and an in-memory store."
    ));
    let mut succeeded = wait_for(|| front.is_ready()).await;
    for (number, sample) in samples().into_iter().enumerate() {
        succeeded &= run_sample(&front, JobId(number as u64 + 1), sample, &mut print).await;
    }
    print(String::from(
        "Next: docs/OPERATIONS.md runs a cell of several nodes; `crossweir --help` lists the commands.",
    ));
    Ok(succeeded)
}

fn samples() -> Vec<Sample> {
    let step = |tasks, millicores| Step {
        tasks,
        demand: Demand {
            millicores,
            memory: 1_024,
            gpus: 0,
        },
        estimate: 100,
        ..Step::default()
    };
    let job = |title, queue, text: &str, steps| Sample {
        title,
        queue,
        spec: JobSpec {
            text: text.to_owned(),
            steps,
            schedule: None,
        },
    };
    let service = Step {
        lasting: true,
        ..step(3, 1_000)
    };
    let gang = Step {
        gang: true,
        ..step(8, 8_000)
    };
    let second = Step {
        after: vec![0],
        ..step(4, 2_000)
    };
    vec![
        job("A service", "services", ENDLESS, vec![service]),
        job("A batch job", "batch", "100", vec![step(40, 2_000), second]),
        job("A gang", "batch", "100", vec![gang]),
        job("An urgent job", "urgent", "20", vec![step(1, 500)]),
    ]
}

/// Submits a job and waits until it has succeeded.  A job with a step that runs until it is stopped
/// is awaited until all its tasks run, and then cancelled.
async fn run_sample(
    front: &Frontend,
    id: JobId,
    sample: Sample,
    print: &mut impl FnMut(String),
) -> bool {
    let Sample { title, queue, spec } = sample;
    let lasting = spec.steps.iter().any(|step| step.lasting);
    let queue = find_queue(front, queue);
    if front
        .submit(&Caller::Operator, &queue, id, spec, None)
        .await
        != SubmitOutcome::Accepted
    {
        print(format!("{title}: not accepted."));
        return false;
    }
    let checks = STEP_TIMEOUT.as_millis() / CHECK_INTERVAL.as_millis();
    for _ in 0..checks {
        if let Ok(view) = front.explain(&Caller::Operator, id).await
            && has_reached_goal(&view, lasting)
        {
            print(format!(
                "{title}, {} tasks: {}.",
                task_count(&view),
                state_text(&view)
            ));
            return !lasting || cancel_service(front, id, print).await;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let limit = STEP_TIMEOUT.as_secs();
    print(format!(
        "{title}: did not finish or start fully within {limit} s."
    ));
    false
}

/// Returns the queue that the configuration has under a name, or else a queue of that name with
/// priority 0.
fn find_queue(front: &Frontend, name: &str) -> Queue {
    let config = front.shared.config().unwrap_or_default();
    config
        .queue(name)
        .cloned()
        .unwrap_or_else(|| queue(name, 0))
}

/// Tells whether all tasks run, for a job that lasts until it is stopped, or else whether the job
/// has succeeded.
fn has_reached_goal(view: &JobView, lasting: bool) -> bool {
    if lasting {
        view.steps.iter().all(|step| step.running == step.tasks)
    } else {
        view.state == JobState::Succeeded
    }
}

fn task_count(view: &JobView) -> u32 {
    view.steps.iter().map(|step| step.tasks).sum()
}

fn state_text(view: &JobView) -> &'static str {
    match view.state {
        JobState::Succeeded => "succeeded",
        _ => "all running",
    }
}

async fn cancel_service(front: &Frontend, id: JobId, print: &mut impl FnMut(String)) -> bool {
    let cancelled = front.cancel(&Caller::Operator, id, None).await == JobAnswer::Cancelled;
    print(String::from(if cancelled {
        "The service was cancelled."
    } else {
        "The service could not be cancelled."
    }));
    cancelled
}

/// Waits until a condition holds; returns false if it does not within [`STEP_TIMEOUT`].
async fn wait_for(mut condition: impl FnMut() -> bool) -> bool {
    let checks = STEP_TIMEOUT.as_millis() / CHECK_INTERVAL.as_millis();
    for _ in 0..checks {
        if condition() {
            return true;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    false
}
