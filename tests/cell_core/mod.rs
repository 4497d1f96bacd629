//! Fixtures for tests of the scheduling core of a cell: configurations, jobs, workers, and a
//! [`Bench`] that drives a core with simulated workers.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crossweir::cell::job::JobState;
use crossweir::cell::life::Life;
use crossweir::cell::name::TaskName;
use crossweir::cell::order::{
    AdviceOrder, EndEntry, EndKind, Order, PollReport, RunningEntry, StartOrder, StartOutcome,
    StopOrder,
};
use crossweir::cell::record::{Batch, JobRow};
use crossweir::cell::spec::{Demand, JobId, JobSpec, Step};
use crossweir::cell::worker::WorkerEntry;
use crossweir::cell::{Cell, WorkerKey};
use crossweir::clock::Millis;
use crossweir::queue::{AdviceTiming, Configuration, Draft, Queue};
use crossweir::rpc::node::JobRequest;
use crossweir::workspace::{Caller, Workspace, Workspaces};

/// The service that all workers of these fixtures belong to.
pub const SERVICE: &str = "svc";

/// A queue that needs no advice, with two attempts per task.
pub fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        attempts: 2,
        ..Queue::local(name, SERVICE, priority)
    }
}

/// A queue that needs advice for each start.
pub fn advised_queue(name: &str, priority: u32) -> Queue {
    Queue {
        advice: Some(AdviceTiming {
            base_ms: 20.0,
            per_worker_ms: 0.3,
            valid: 2_500,
        }),
        ..queue(name, priority)
    }
}

/// A configuration with these queues and no workspaces.
pub fn configuration(queues: &[Queue]) -> Arc<Configuration> {
    Arc::new(Configuration::from(Draft {
        version: 1,
        queues: queues.to_vec(),
        max_body: 262_144,
        workspaces: None,
    }))
}

/// A workspace whose tasks may hold up to `cores` cores at a time.
pub fn workspace(name: &str, cores: u64) -> Workspace {
    Workspace {
        name: name.to_owned(),
        weight: 1.0,
        cap: Demand {
            millicores: cores * 1_000,
            ..Demand::default()
        },
    }
}

/// A configuration with these queues and workspaces; a workspace's key is its name.
pub fn shared_configuration(
    version: u64,
    queues: &[Queue],
    list: &[Workspace],
) -> Arc<Configuration> {
    let mut workspaces = Workspaces::default();
    for workspace in list {
        let keys = [workspace.name.clone()];
        let added = workspaces.add(workspace.clone(), &keys);
        added.expect("a workspace of its own");
    }
    Arc::new(Configuration::from(Draft {
        version,
        queues: queues.to_vec(),
        max_body: 262_144,
        workspaces: Some(workspaces),
    }))
}

/// The entry of a worker with 16 cores.  Eight workers with consecutive numbers share a rack.
pub fn worker(number: u16) -> WorkerEntry {
    WorkerEntry {
        life: Life::of(format!("w{number}")),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
        machine: format!("m{number}"),
        service: SERVICE.to_owned(),
        hall: String::from("north"),
        capacity: Demand {
            millicores: 16_000,
            memory: 32_768,
            gpus: 0,
        },
        labels: vec![String::from("a"), format!("r{}", number / 8)],
        rack: Some(format!("r{}", number / 8)),
        leaving: None,
    }
}

/// A step of equal tasks, with an estimate of 800 ms.
pub fn step(tasks: u32, millicores: u64) -> Step {
    Step {
        tasks,
        demand: Demand {
            millicores,
            memory: 100,
            gpus: 0,
        },
        estimate: 800,
        ..Step::default()
    }
}

/// The row of a job without a workspace or a schedule.
pub fn job(id: u64, queue: &Queue, steps: Vec<Step>) -> JobRow {
    JobRow {
        id: JobId(id),
        queue: queue.clone(),
        spec: JobSpec {
            text: String::from("work"),
            steps,
            schedule: None,
        },
        workspace: None,
    }
}

/// A request about a job, from a caller without a key.
pub fn job_request(id: u64) -> JobRequest {
    JobRequest {
        job: JobId(id),
        caller: Caller::Anonymous,
    }
}

/// A worker's list entry for a run that goes on.
pub fn listed_run(task: &str, number: u64) -> RunningEntry {
    RunningEntry {
        task: task.parse().expect("a task"),
        number,
        checkpoint: String::new(),
        percent: 10,
        measurement: None,
    }
}

/// A worker's list entry for a run that has ended.
pub fn listed_end(end_number: u64, task: &str, number: u64, how: EndKind) -> EndEntry {
    EndEntry {
        end_number,
        task: task.parse().expect("a task"),
        number,
        how,
        checkpoint: String::new(),
    }
}

/// A core with simulated workers: all starts succeed, and runs go on until a test ends them.
pub struct Bench {
    pub cell: Cell,
    /// The current time of the owner and of all workers.
    pub now: Millis,
    /// The task and number of each run that goes on, by worker.
    pub running: BTreeMap<WorkerKey, Vec<(TaskName, u64)>>,
    /// The progress, in per cent, that workers in this map report for all their runs; the others
    /// report a progress that advances with time.
    pub fixed_percent: BTreeMap<WorkerKey, u32>,
    ends: BTreeMap<WorkerKey, Vec<EndEntry>>,
    keys: Vec<WorkerKey>,
}

impl Bench {
    /// Makes a core under epoch 1 with `workers` workers, all of them fenced.
    pub fn new(workers: u16, queues: &[Queue]) -> Self {
        Self::under(1, workers, queues)
    }

    /// Makes a core under `epoch` with `workers` workers, all of them fenced.
    pub fn under(epoch: u64, workers: u16, queues: &[Queue]) -> Self {
        let mut cell = Cell::new(epoch, configuration(queues), 1_000);
        cell.set_lanes(&[true, true]);
        cell.list_workers((0..workers).map(worker).collect(), 1_000);
        let mut bench = Self::with(cell, 1_000);
        bench.poll_all();
        tick(&mut bench.cell, bench.now);
        bench.cell.mark_roster_recorded(bench.cell.roster_version());
        bench
    }

    /// Simulates the workers that `cell` knows.  None of them has been polled yet.
    pub fn with(cell: Cell, now: Millis) -> Self {
        let keys = cell.worker_keys();
        Self {
            cell,
            now,
            fixed_percent: BTreeMap::new(),
            running: keys.iter().map(|&key| (key, Vec::new())).collect(),
            ends: keys.iter().map(|&key| (key, Vec::new())).collect(),
            keys,
        }
    }

    /// Simulates also the workers that the core has come to know since.
    pub fn know_workers(&mut self) {
        self.keys = self.cell.worker_keys();
        for &key in &self.keys {
            self.running.entry(key).or_default();
            self.ends.entry(key).or_default();
        }
    }

    /// The key at position `number` of the core's worker keys, as they were when the bench was
    /// made.
    pub fn worker(&self, number: usize) -> WorkerKey {
        self.keys[number]
    }

    /// Hands a new job to the core.
    pub fn accept(&mut self, row: &JobRow) {
        self.cell.accept(row, None, false, self.now);
    }

    /// Advances time without any poll.  Changes of the roster count as recorded at once.
    pub fn pass(&mut self, time: Millis) {
        self.now += time;
        tick(&mut self.cell, self.now);
        self.cell.mark_roster_recorded(self.cell.roster_version());
    }

    /// Runs a scheduling round and returns its orders.  Planned starts are recorded at once and
    /// returned as well.
    pub fn decide(&mut self) -> Vec<Order> {
        let planned = self.cell.counts().planned;
        self.cell.schedule(self.now);
        if self.cell.counts().planned > planned {
            self.record();
            self.cell.schedule(self.now);
        }
        self.cell.take_orders()
    }

    /// Runs a scheduling round and executes all of its starts, and further rounds for what the window
    /// of starts held back.
    pub fn start_all(&mut self) -> Vec<StartOrder> {
        let mut starts = self.start_round();
        while self.cell.has_room_for_held_starts() {
            starts.extend(self.start_round());
        }
        starts
    }

    /// Runs a scheduling round and executes all of its starts.
    pub fn start_round(&mut self) -> Vec<StartOrder> {
        let starts = starts(&self.decide());
        for start in &starts {
            self.start(start);
        }
        starts
    }

    /// Executes one start, and answers it.
    pub fn start(&mut self, order: &StartOrder) {
        let runs = self
            .running
            .get_mut(&order.to.worker)
            .expect("a known worker");
        runs.push((order.task, order.number));
        self.cell
            .start_answered(order.run, StartOutcome::Started, Some(self.now), self.now);
    }

    /// Ends a run.  Its worker lists the end at the next poll.
    pub fn end(&mut self, task: TaskName, number: u64, how: EndKind) {
        self.end_with_checkpoint(task, number, how, "");
    }

    /// Ends a run that has left a checkpoint.
    pub fn end_with_checkpoint(
        &mut self,
        task: TaskName,
        number: u64,
        how: EndKind,
        checkpoint: &str,
    ) {
        for (key, runs) in &mut self.running {
            if let Some(index) = runs.iter().position(|run| *run == (task, number)) {
                runs.remove(index);
                let ends = self.ends.get_mut(key).expect("a known worker");
                ends.push(EndEntry {
                    end_number: ends.len() as u64 + 1,
                    task,
                    number,
                    how,
                    checkpoint: checkpoint.to_owned(),
                });
            }
        }
    }

    /// Polls one worker, which reports its runs and ends.  Progress advances by 1% each 10 ms,
    /// unless it is set in `fixed_percent`.
    pub fn poll(&mut self, key: WorkerKey) {
        let moving = (self.now / 10 % 100) as u32;
        let percent = self.fixed_percent.get(&key).copied().unwrap_or(moving);
        let running = self.running[&key]
            .iter()
            .map(|&(task, number)| RunningEntry {
                task,
                number,
                checkpoint: String::new(),
                percent,
                measurement: None,
            });
        let report = PollReport {
            born: None,
            clock: self.now,
            running: running.collect(),
            ended: self.ends[&key].clone(),
        };
        self.poll_with_report(key, &report);
    }

    /// Polls one worker, which answers at once with `report`.
    pub fn poll_with_report(&mut self, key: WorkerKey, report: &PollReport) {
        let order = self.cell.poll_order(key, self.now);
        let order = order.expect("a known worker");
        self.cell.poll_answered(&order, report, self.now);
    }

    /// Polls one worker 10 ms later, which answers with these lists.
    pub fn poll_with_lists(
        &mut self,
        key: WorkerKey,
        running: Vec<RunningEntry>,
        ended: Vec<EndEntry>,
    ) {
        self.now += 10;
        let report = PollReport {
            born: None,
            clock: self.now,
            running,
            ended,
        };
        self.poll_with_report(key, &report);
    }

    /// Polls all workers, 10 ms later.
    pub fn poll_all(&mut self) {
        self.now += 10;
        for key in self.keys.clone() {
            self.poll(key);
        }
    }

    /// Records all pending changes of jobs, and returns them.
    pub fn record(&mut self) -> Batch {
        let batch = self.cell.take_batch(100);
        let copy = Batch {
            rows: batch.rows.clone(),
            unknown_cancels: batch.unknown_cancels.clone(),
            ends: batch.ends.clone(),
            ended_lives: batch.ended_lives.clone(),
        };
        self.cell.batch_recorded(batch, self.now);
        copy
    }

    /// The state of a job as callers see it.
    pub fn state(&self, id: u64) -> Option<JobState> {
        self.cell.state(JobId(id))
    }
}

/// Lets a core do what is due.  The witnesses that it asks do not reach the workers that it does not
/// hear.
pub fn tick(cell: &mut Cell, now: Millis) {
    for question in cell.take_silence_questions(now) {
        cell.note_unreached(&question);
    }
    cell.tick(now);
}

/// The starts among `orders`.
pub fn starts(orders: &[Order]) -> Vec<StartOrder> {
    let start = |order: &Order| match order {
        Order::Start(start) => Some(start.clone()),
        _ => None,
    };
    orders.iter().filter_map(start).collect()
}

/// The stops among `orders`.
pub fn stops(orders: &[Order]) -> Vec<StopOrder> {
    let stop = |order: &Order| match order {
        Order::Stop(stop) => Some(stop.clone()),
        _ => None,
    };
    orders.iter().filter_map(stop).collect()
}

/// The advice questions among `orders`.
pub fn questions(orders: &[Order]) -> Vec<AdviceOrder> {
    let question = |order: &Order| match order {
        Order::Advise(question) => Some(question.clone()),
        _ => None,
    };
    orders.iter().filter_map(question).collect()
}

/// The ids of the workers that an advice question names.
pub fn question_workers(question: &AdviceOrder) -> Vec<&str> {
    question.workers.iter().map(|(_, id)| id.as_str()).collect()
}
