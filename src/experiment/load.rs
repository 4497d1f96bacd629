//! The jobs that arrive in an experiment, and the workers on which they run.

use std::net::SocketAddr;

use rand::Rng;
use rand::rngs::StdRng;

use crate::cell::life::Life;
use crate::cell::record::JobRow;
use crate::cell::spec::{Demand, JobId, JobSpec, Step};
use crate::cell::worker::WorkerEntry;
use crate::clock::Millis;
use crate::queue::{AdviceTiming, Queue};

/// The service of all workers.
const SERVICE: &str = "experiment";
/// The number of failed runs of one task at which its job fails: high enough that no job fails,
/// even if some workers fail every task.
const ATTEMPTS: u32 = 100;
/// The share of arrivals that are urgent: the same as at the first two users.
const URGENT_SHARE: f64 = 0.9;
/// The share of arrivals of [`AdvisedCores`] that are urgent.
const ADVISED_URGENT_SHARE: f64 = 21.0 / 27.0;
/// The share of arrivals that are gangs: the same as at the third user, whose accelerators serve as
/// many gangs as jobs of tasks with one accelerator.
const GANG_SHARE: f64 = 0.5;
/// The accelerators of a worker that has any.
const GPUS_PER_WORKER: u64 = 8;

/// A kind of load.
pub trait Load {
    /// Returns the two queues, the more urgent one first.
    fn queues(&self) -> [Queue; 2];

    /// Returns the entry of the worker with a number; apart from names and racks, all are equal.
    fn worker(&self, number: usize) -> WorkerEntry;

    /// Draws the next job.
    fn job(&self, rng: &mut StdRng, id: u64) -> JobRow;

    /// Returns the mean work of an arrival: units of [`Load::worker_size`] times milliseconds.
    fn mean_work(&self) -> f64;

    /// Returns how much a worker has of the scarce resource, cores or accelerators: the mean over
    /// workers with consecutive numbers.
    fn worker_size(&self) -> f64;

    /// Returns the share of workers that the advice service approves for a step of a queue with a
    /// priority, in percent.
    fn approved_percent(&self, _priority: u32) -> u64 {
        100
    }
}

/// Short urgent jobs and long batch jobs, without advice.
pub struct Cores;

impl Load for Cores {
    fn queues(&self) -> [Queue; 2] {
        [queue("urgent", 0), queue("batch", 2)]
    }

    fn worker(&self, number: usize) -> WorkerEntry {
        worker(number, 32_000, 65_536, 0)
    }

    fn job(&self, rng: &mut StdRng, id: u64) -> JobRow {
        let urgent = rng.random_bool(URGENT_SHARE);
        let [first, second] = self.queues();
        if urgent {
            let tasks = rng.random_range(1..=12);
            let length = rng.random_range(200..=1_400);
            return job(&first, id, step(tasks, 2_500, 2_048, 0, length));
        }
        let tasks = rng.random_range(4..=24);
        let length = rng.random_range(2_000..=8_000);
        job(&second, id, step(tasks, 5_500, 2_048, 0, length))
    }

    fn mean_work(&self) -> f64 {
        let urgent = 6.5 * 2.5 * 800.0;
        let batch = 14.0 * 5.5 * 5_000.0;
        URGENT_SHARE * urgent + (1.0 - URGENT_SHARE) * batch
    }

    fn worker_size(&self) -> f64 {
        32.0
    }
}

/// Gangs of tasks with 2, 4 or 8 accelerators, and less urgent jobs of tasks with one.  The advice
/// service approves 30% of the workers for gangs and 45% for the others, as at the third user.
pub struct Accelerators;

impl Load for Accelerators {
    fn queues(&self) -> [Queue; 2] {
        let advised = |name, priority, base_ms, per_worker_ms, stretch, slack| Queue {
            stretch,
            slack,
            advice: Some(AdviceTiming {
                base_ms,
                per_worker_ms,
                valid: 2_000,
            }),
            ..queue(name, priority)
        };
        [
            advised("gangs", 1, 490.0, 7.0, 2.2, 1_000),
            advised("singles", 2, 140.0, 2.0, 4.0, 3_000),
        ]
    }

    fn worker(&self, number: usize) -> WorkerEntry {
        worker(number, 64_000, 131_072, GPUS_PER_WORKER)
    }

    fn job(&self, rng: &mut StdRng, id: u64) -> JobRow {
        let [gangs, singles] = self.queues();
        let length = rng.random_range(1_800..=5_400);
        if rng.random_bool(GANG_SHARE) {
            let gpus = [2, 4, 8, 8][rng.random_range(0..4)];
            let members = rng.random_range(1..=2);
            let step = Step {
                gang: true,
                ..step(members, 31_000, 45_000, gpus, length)
            };
            return job(&gangs, id, step);
        }
        job(
            &singles,
            id,
            step(rng.random_range(1..=7), 5_600, 11_000, 1, length),
        )
    }

    fn mean_work(&self) -> f64 {
        let gang = 1.5 * 5.5 * 3_600.0;
        let singles = 4.0 * 3_600.0;
        GANG_SHARE * gang + (1.0 - GANG_SHARE) * singles
    }

    fn worker_size(&self) -> f64 {
        GPUS_PER_WORKER as f64
    }

    fn approved_percent(&self, priority: u32) -> u64 {
        if priority == 1 { 30 } else { 45 }
    }
}

/// Urgent and batch jobs of one or two steps that all need advice, as in the second cell of
/// `docs/design/contended-cells.md`: the advice service takes half a second for a question about
/// batch steps and approves 35% of the workers for them.
pub struct AdvisedCores;

/// The sizes of workers in [`AdvisedCores`], in millicores; their mean is about 20 cores.
const ADVISED_WORKER_SIZES: [u64; 4] = [16_000, 8_000, 32_000, 24_000];

impl Load for AdvisedCores {
    fn queues(&self) -> [Queue; 2] {
        let advised = |name, priority, base_ms, per_worker_ms, stretch, slack| Queue {
            stretch,
            slack,
            advice: Some(AdviceTiming {
                base_ms,
                per_worker_ms,
                valid: 2_500,
            }),
            ..queue(name, priority)
        };
        [
            advised("urgent", 0, 40.0, 0.57, 1.5, 250),
            advised("batch", 2, 494.0, 7.2, 2.2, 1_200),
        ]
    }

    fn worker(&self, number: usize) -> WorkerEntry {
        worker(number, ADVISED_WORKER_SIZES[number % 4], 65_536, 0)
    }

    fn job(&self, rng: &mut StdRng, id: u64) -> JobRow {
        let [urgent, batch] = self.queues();
        // 21 urgent jobs and 6 batch jobs arrive each second.
        let (queue, steps, tasks, cores, length) = if rng.random_bool(ADVISED_URGENT_SHARE) {
            let steps = if rng.random_bool(0.6) { 2 } else { 1 };
            let tasks = rng.random_range(4..=16);
            let cores = rng.random_range(1_000..=3_400);
            (urgent, steps, tasks, cores, rng.random_range(400..=1_600))
        } else {
            let tasks = rng.random_range(6..=28);
            let cores = rng.random_range(2_000..=7_000);
            let length = rng.random_range(1_900..=7_700);
            (batch, 2, tasks, cores, length)
        };
        // Callers' estimates are off by up to a fifth.
        let estimate = (length as f64 * rng.random_range(0.8..=1.25)) as Millis;
        let steps = (0..steps).map(|index: usize| Step {
            after: index.checked_sub(1).into_iter().collect(),
            ..step(tasks, cores, 2_048, 0, estimate)
        });
        JobRow {
            id: JobId(id),
            spec: JobSpec {
                text: length.to_string(),
                steps: steps.collect(),
                schedule: None,
            },
            queue,
            workspace: None,
        }
    }

    fn mean_work(&self) -> f64 {
        let urgent = 1.6 * 10.0 * 2.2 * 1_000.0;
        let batch = 2.0 * 17.0 * 4.5 * 4_800.0;
        ADVISED_URGENT_SHARE * urgent + (1.0 - ADVISED_URGENT_SHARE) * batch
    }

    fn worker_size(&self) -> f64 {
        20.0
    }

    fn approved_percent(&self, priority: u32) -> u64 {
        if priority == 0 { 70 } else { 35 }
    }
}

/// Tells whether the advice service, which approves so many percent of the workers, approves a
/// worker for a step.  The answer depends on the arguments only, so it never changes.
pub fn is_approved(percent: u64, step: &str, worker: &str) -> bool {
    xxhash_rust::xxh3::xxh3_64(format!("{step} {worker}").as_bytes()) % 100 < percent
}

fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        attempts: ATTEMPTS,
        ..Queue::local(name, SERVICE, priority)
    }
}

fn worker(number: usize, millicores: u64, memory: u64, gpus: u64) -> WorkerEntry {
    WorkerEntry {
        life: Life::of(format!("w{number}")),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        machine: format!("m{number}"),
        service: SERVICE.to_owned(),
        hall: String::from("hall"),
        capacity: Demand {
            millicores,
            memory,
            gpus,
        },
        labels: Vec::new(),
        rack: Some(format!("r{}", number / 8)),
        leaving: None,
    }
}

fn step(tasks: u32, millicores: u64, memory: u64, gpus: u64, length: Millis) -> Step {
    Step {
        tasks,
        demand: Demand {
            millicores,
            memory,
            gpus,
        },
        estimate: length,
        ..Step::default()
    }
}

/// Returns the row of a job with one step.  Its text tells the in-memory workers how long the tasks
/// run.
fn job(queue: &Queue, id: u64, step: Step) -> JobRow {
    JobRow {
        id: JobId(id),
        queue: queue.clone(),
        spec: JobSpec {
            text: step.estimate.to_string(),
            steps: vec![step],
            schedule: None,
        },
        workspace: None,
    }
}
