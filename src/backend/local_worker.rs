//! A worker in memory: it runs nothing, and keeps leases and fences as a real one must.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::FutureExt;
use futures::future::{self, BoxFuture};

use crate::backend::worker::{
    Exchange, LinkError, StartOrder, TaskReport, WorkerLink, WorkerReply,
};
use crate::clock::{Clock, Millis};
use crate::model::{Epoch, Resources, RunEnd, TaskId};

/// How long a task runs when it declares nothing, in milliseconds.
const DEFAULT_RUNTIME: Millis = 200;

#[derive(Debug)]
struct Run {
    report: TaskReport,
    ends_at: Option<Millis>,
    lease_until: Millis,
}

/// A start or an end that a worker went through, kept for tests.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RunRecord {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: u64,
    /// When it started, in the worker's clock.
    pub started: Millis,
    /// When it ended, in the worker's clock, or nothing while it runs.
    pub ended: Option<Millis>,
}

/// The state of one worker.
#[derive(Debug)]
pub struct LocalWorker {
    boot: u64,
    epoch: Epoch,
    last_heard: Millis,
    runs: BTreeMap<TaskId, Run>,
    /// Every run since the worker was made, for tests.
    pub history: Vec<RunRecord>,
    /// The most that tasks have occupied at a time, for tests.
    pub peak: Resources,
    /// Whether every task fails at once, a fault on request.
    pub fail_all: bool,
    /// Whether the worker says that it is leaving.
    pub leaving: bool,
}

impl LocalWorker {
    /// Makes a worker that has just booted with the given boot number.
    pub fn new(boot: u64) -> Self {
        Self {
            boot,
            epoch: 0,
            last_heard: 0,
            runs: BTreeMap::new(),
            history: Vec::new(),
            peak: Resources::default(),
            fail_all: false,
            leaving: false,
        }
    }

    /// Restarts the worker: its tasks, its fence and its boot are gone.
    pub fn restart(&mut self, boot: u64, now: Millis) {
        for task in self.runs.keys().cloned().collect::<Vec<_>>() {
            self.end(&task, RunEnd::Lapsed, now);
        }
        self.runs.clear();
        self.boot = boot;
        self.epoch = 0;
        self.last_heard = 0;
    }

    /// Ends what is due and enforces leases, each at the time it was due.
    pub fn advance(&mut self, now: Millis) {
        let due: Vec<(TaskId, RunEnd, Millis)> = self
            .runs
            .iter()
            .filter(|(_, run)| run.report.end.is_none())
            .filter_map(|(task, run)| {
                let (end, at) = run.due(now)?;
                Some((task.clone(), end, at))
            })
            .collect();
        for (task, end, at) in due {
            self.end(&task, end, at);
        }
    }

    /// Takes one exchange and answers it.
    pub fn exchange(&mut self, msg: &Exchange, now: Millis) -> WorkerReply {
        self.advance(now);
        let silence = now.saturating_sub(self.last_heard);
        let obeyed = self.admits(msg);
        if obeyed {
            self.epoch = msg.epoch;
            self.last_heard = now;
            self.obey(msg, now);
        }
        WorkerReply {
            boot: self.boot,
            clock: now,
            epoch: self.epoch,
            obeyed,
            owner_silence: silence,
            leaving: self.leaving,
            inventory: self.runs.values().map(|run| run.report.clone()).collect(),
        }
    }

    fn admits(&self, msg: &Exchange) -> bool {
        let boot_matches = msg.boot.is_none_or(|boot| boot == self.boot);
        msg.epoch > 0 && msg.epoch >= self.epoch && boot_matches
    }

    fn obey(&mut self, msg: &Exchange, now: Millis) {
        if msg.boot.is_none() {
            return;
        }
        for task in &msg.stop {
            self.end(task, RunEnd::Stopped, now);
        }
        for task in &msg.forget {
            self.forget(task);
        }
        for task in &msg.renew {
            if let Some(run) = self.runs.get_mut(task) {
                run.lease_until = run.lease_until.max(msg.lease_until);
            }
        }
        if now < msg.start_until {
            for order in &msg.start {
                self.start(order, msg.start_until, now);
            }
        }
        self.advance(now);
    }

    fn start(&mut self, order: &StartOrder, lease_until: Millis, now: Millis) {
        let known = self.runs.get(&order.task);
        if known.is_some_and(|run| run.report.attempt >= order.attempt || run.report.end.is_none())
        {
            return;
        }
        self.history.push(RunRecord {
            task: order.task.clone(),
            attempt: order.attempt,
            started: now,
            ended: None,
        });
        let report = TaskReport {
            task: order.task.clone(),
            attempt: order.attempt,
            resources: order.resources,
            end: None,
            used: order.resources,
        };
        let runs_for = order.runtime_ms.unwrap_or(DEFAULT_RUNTIME);
        let run = Run {
            report,
            ends_at: (runs_for > 0).then(|| now + runs_for),
            lease_until,
        };
        self.runs.insert(order.task.clone(), run);
        self.note_peak();
        if self.fail_all {
            self.end(&order.task, RunEnd::Failed, now);
        }
    }

    fn note_peak(&mut self) {
        let running = self.runs.values().filter(|run| run.report.end.is_none());
        let total = running.fold(Resources::default(), |sum, run| {
            sum.plus(&run.report.resources)
        });
        self.peak.millicores = self.peak.millicores.max(total.millicores);
        self.peak.memory_mib = self.peak.memory_mib.max(total.memory_mib);
        self.peak.accelerators = self.peak.accelerators.max(total.accelerators);
    }

    fn end(&mut self, task: &TaskId, end: RunEnd, now: Millis) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        if run.report.end.is_some() {
            return;
        }
        run.report.end = Some(end);
        run.report.used = Resources::default();
        let attempt = run.report.attempt;
        let record = self
            .history
            .iter_mut()
            .rev()
            .find(|record| record.task == *task && record.attempt == attempt);
        if let Some(record) = record {
            record.ended = Some(now);
        }
    }

    fn forget(&mut self, task: &TaskId) {
        if self
            .runs
            .get(task)
            .is_some_and(|run| run.report.end.is_some())
        {
            self.runs.remove(task);
        }
    }
}

impl Run {
    /// Returns how and when the run ended, if it has by `now`.
    fn due(&self, now: Millis) -> Option<(RunEnd, Millis)> {
        let finished = self.ends_at.map(|at| (RunEnd::Succeeded, at));
        let lapsed = (RunEnd::Lapsed, self.lease_until);
        let first = match finished {
            Some(finished) if finished.1 < lapsed.1 => finished,
            _ => lapsed,
        };
        (now >= first.1).then_some(first)
    }
}

/// Workers in memory, found by their endpoint.
pub struct LocalWorkers {
    clock: Arc<dyn Clock>,
    workers: Mutex<HashMap<String, LocalWorker>>,
}

impl LocalWorkers {
    /// Makes one worker for each endpoint.
    pub fn new(clock: Arc<dyn Clock>, endpoints: impl IntoIterator<Item = String>) -> Self {
        let workers = endpoints
            .into_iter()
            .enumerate()
            .map(|(index, endpoint)| (endpoint, LocalWorker::new(index as u64 + 1)))
            .collect();
        Self {
            clock,
            workers: Mutex::new(workers),
        }
    }

    /// Runs `f` on the worker at `endpoint`, if there is one, after bringing it up to date.
    pub fn with<T>(
        &self,
        endpoint: &str,
        f: impl FnOnce(&mut LocalWorker, Millis) -> T,
    ) -> Option<T> {
        let now = self.clock.now();
        let mut workers = self.lock();
        let worker = workers.get_mut(endpoint)?;
        worker.advance(now);
        Some(f(worker, now))
    }

    /// Returns every run of every worker since it was made, by endpoint.
    pub fn histories(&self) -> HashMap<String, Vec<RunRecord>> {
        let now = self.clock.now();
        let mut workers = self.lock();
        let history = |(endpoint, worker): (&String, &mut LocalWorker)| {
            worker.advance(now);
            (endpoint.clone(), worker.history.clone())
        };
        workers.iter_mut().map(history).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, LocalWorker>> {
        self.workers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WorkerLink for LocalWorkers {
    fn exchange(
        &self,
        endpoint: String,
        msg: Exchange,
    ) -> BoxFuture<'_, Result<WorkerReply, LinkError>> {
        let reply = self.with(&endpoint, |worker, now| worker.exchange(&msg, now));
        future::ready(reply.ok_or(LinkError::NotSent)).boxed()
    }
}
