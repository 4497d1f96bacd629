//! In-memory workers: they run no code, but keep to leases and epochs as real ones do.
//!
//! [`MemoryWorker`] does no I/O and reads no clock, so experiments and tests drive it in virtual
//! time; [`MemoryWorkers`] implements [`Workers`], by which a node calls workers, on top of several
//! of them.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;

use crate::cell::name::TaskName;
use crate::cell::order::{
    EndEntry, EndKind, PollFailure, PollOrder, PollReport, Refusal, RunningEntry, StartOrder,
    StartOutcome, StopOrder,
};
use crate::clock::{Clock, Millis};
use crate::node::links::Workers;

/// How long a task runs whose text is not a number of milliseconds.
const DEFAULT_DURATION: Millis = 100;
/// The longest lease that a worker accepts, in milliseconds; a longer one is cut to this length.
const MAX_LEASE: Millis = 10_000;
/// The text of a task that runs until it is stopped or its lease runs out.
pub const ENDLESS: &str = "endless";
/// How often a poll that waits for an end checks for one.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// One run that a worker has begun, kept for tests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub number: u64,
    /// When it began, by the worker's clock.
    pub began: Millis,
    /// When and how it ended; none while it runs.
    pub ended: Option<(Millis, EndKind)>,
}

/// A run that has not ended.
#[derive(Debug, Clone)]
struct ActiveRun {
    task: TaskName,
    number: u64,
    began: Millis,
    /// When it ends by itself; none if it never does.
    ends_at: Option<Millis>,
    /// The index of its record in the history.
    record: usize,
}

/// The state of one life of a worker.
#[derive(Debug, Clone, Default)]
pub struct MemoryWorker {
    /// The highest epoch seen; orders of lower ones are refused.
    epoch: u64,
    /// When the lease ends.
    lease_end: Millis,
    active: Vec<ActiveRun>,
    /// The ends that no poll has told it to forget.
    listed_ends: Vec<EndEntry>,
    /// The number of the last end.
    last_end_number: u64,
    /// For each task, the highest run number that was stopped or has ended here; starts with this
    /// or a lower number are refused.
    refused_up_to: BTreeMap<TaskName, u64>,
    /// All runs, in the order in which they began.
    pub history: Vec<RunRecord>,
    /// Every task that runs to its end fails.
    pub fails_all_tasks: bool,
    /// When this life started, in Unix milliseconds; none if it does not report that.
    born: Option<Millis>,
}

impl MemoryWorker {
    /// Creates a life that reports when it started, in Unix milliseconds.
    pub fn born_at(born: Millis) -> Self {
        Self {
            born: Some(born),
            ..Self::default()
        }
    }

    /// Ends the runs that have reached their end or the end of the lease by `now`, in the order of
    /// these times.
    pub fn end_due_runs(&mut self, now: Millis) {
        let lease_end = self.lease_end;
        let end_of = |run: &ActiveRun| match run.ends_at {
            Some(ends_at) if ends_at <= lease_end => ends_at,
            _ => lease_end,
        };
        let mut due: Vec<ActiveRun> = Vec::new();
        self.active.retain(|run| {
            let ended = end_of(run) <= now;
            if ended {
                due.push(run.clone());
            }
            !ended
        });
        due.sort_by_key(end_of);
        let finished = if self.fails_all_tasks {
            EndKind::Failed
        } else {
            EndKind::Done
        };
        for run in due {
            let at = end_of(&run);
            let how = if run.ends_at == Some(at) {
                finished
            } else {
                EndKind::Lapsed
            };
            self.list_end(&run, at, how);
        }
    }

    /// Adds the end of a run to the list, and refuses the run from now on.
    fn list_end(&mut self, run: &ActiveRun, at: Millis, how: EndKind) {
        self.last_end_number += 1;
        self.listed_ends.push(EndEntry {
            end_number: self.last_end_number,
            task: run.task,
            number: run.number,
            how,
            checkpoint: String::new(),
        });
        self.refuse_up_to(run.task, run.number);
        self.history[run.record].ended = Some((at, how));
    }

    /// Extends the lease to `due`, or to [`MAX_LEASE`] from now if that is earlier.  A lease is
    /// never shortened.
    fn extend_lease(&mut self, due: Millis, now: Millis) {
        self.lease_end = self.lease_end.max(due.min(now + MAX_LEASE));
    }

    fn refuse_up_to(&mut self, task: TaskName, number: u64) {
        let highest = self.refused_up_to.entry(task).or_default();
        *highest = number.max(*highest);
    }

    /// Returns when everything that runs here ends unless the lease is renewed.
    pub fn lease_end(&self) -> Millis {
        self.lease_end
    }

    /// Makes it report from now on when it started, in Unix milliseconds.
    pub fn set_born(&mut self, born: Millis) {
        self.born = Some(born);
    }

    /// Returns the highest epoch that it has seen.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the ends that it has not been told to forget.
    pub fn ends(&self) -> &[EndEntry] {
        &self.listed_ends
    }

    /// Tells whether it lists any ends, after it has ended the runs that are due by `now`.
    pub fn has_ends(&mut self, now: Millis) -> bool {
        self.end_due_runs(now);
        !self.listed_ends.is_empty()
    }

    /// Ends this life.  Runs that are not due yet are noted in the history as lapsed, and no end is
    /// listed for them.
    pub fn crash(&mut self, now: Millis) {
        self.end_due_runs(now);
        for run in self.active.drain(..) {
            self.history[run.record].ended = Some((now, EndKind::Lapsed));
        }
    }

    /// Executes a start; returns [`StartOutcome::Started`] also if the run is active already.
    pub fn start(&mut self, order: &StartOrder, now: Millis) -> StartOutcome {
        self.end_due_runs(now);
        if order.to.epoch < self.epoch {
            return StartOutcome::Refused(Refusal::Epoch);
        }
        self.epoch = order.to.epoch;
        if order.due <= now {
            return StartOutcome::Refused(Refusal::Late);
        }
        self.extend_lease(order.due, now);
        let refused_up_to = self.refused_up_to.get(&order.task);
        if refused_up_to.is_some_and(|&number| number >= order.number) {
            return StartOutcome::Refused(Refusal::OldRun);
        }
        let is_this = |run: &ActiveRun| (run.task, run.number) == (order.task, order.number);
        if !self.active.iter().any(is_this) {
            self.begin_run(order, now);
        }
        StartOutcome::Started
    }

    fn begin_run(&mut self, order: &StartOrder, now: Millis) {
        let duration = match &*order.text {
            ENDLESS => None,
            text => Some(text.parse().unwrap_or(DEFAULT_DURATION)),
        };
        self.active.push(ActiveRun {
            task: order.task,
            number: order.number,
            began: now,
            ends_at: duration.map(|duration| now + duration),
            record: self.history.len(),
        });
        self.history.push(RunRecord {
            task: order.task,
            number: order.number,
            began: now,
            ended: None,
        });
    }

    /// Executes a stop; a run that is not active is refused if its start arrives later.
    ///
    /// # Errors
    /// Refuses an order with a lower epoch than the highest one seen.
    pub fn stop(&mut self, order: &StopOrder, now: Millis) -> Result<(), Refusal> {
        self.end_due_runs(now);
        if order.to.epoch < self.epoch {
            return Err(Refusal::Epoch);
        }
        self.epoch = order.to.epoch;
        let is_this = |run: &ActiveRun| (run.task, run.number) == (order.task, order.number);
        match self.active.iter().position(is_this) {
            Some(index) => {
                let run = self.active.remove(index);
                self.list_end(&run, now, EndKind::Stopped);
            }
            None => self.refuse_up_to(order.task, order.number),
        }
        Ok(())
    }

    /// Forgets the ends that the order names, renews the lease, and lists the active runs and the
    /// remaining ends.
    ///
    /// # Errors
    /// Refuses an order with a lower epoch than the highest one seen.
    pub fn poll(&mut self, order: &PollOrder, now: Millis) -> Result<PollReport, PollFailure> {
        self.end_due_runs(now);
        if order.to.epoch < self.epoch {
            return Err(PollFailure::Refused(Refusal::Epoch));
        }
        self.epoch = order.to.epoch;
        self.extend_lease(order.due.unwrap_or_default(), now);
        self.listed_ends.retain(|end| end.end_number > order.forget);
        let running = self.active.iter().map(|run| RunningEntry {
            task: run.task,
            number: run.number,
            checkpoint: String::new(),
            percent: percent(run, now),
            measurement: None,
        });
        Ok(PollReport {
            born: self.born,
            clock: now,
            running: running.collect(),
            ended: self.listed_ends.clone(),
        })
    }
}

/// Returns how much of a run's time has passed, in percent; 100 for a run without an end.
fn percent(run: &ActiveRun, now: Millis) -> u32 {
    let Some(ends_at) = run.ends_at else {
        return 100;
    };
    let duration = (ends_at - run.began).max(1);
    ((now - run.began) * 100 / duration) as u32
}

/// Several in-memory workers that a node in the same process can call.
pub struct MemoryWorkers {
    clock: Arc<dyn Clock>,
    workers: Mutex<HashMap<String, MemoryWorker>>,
}

impl MemoryWorkers {
    /// Creates workers with these ids; their clocks all show the time of `clock`.
    pub fn new(clock: Arc<dyn Clock>, ids: impl IntoIterator<Item = String>) -> Self {
        let worker = |id| (id, MemoryWorker::default());
        Self {
            clock,
            workers: Mutex::new(ids.into_iter().map(worker).collect()),
        }
    }

    /// Returns all runs that any of them has begun, after the due ones have ended.
    pub fn history(&self) -> Vec<RunRecord> {
        let now = self.clock.now();
        let mut workers = self.lock();
        workers
            .values_mut()
            .for_each(|worker| worker.end_due_runs(now));
        let runs = workers.values().flat_map(|worker| &worker.history);
        runs.cloned().collect()
    }

    /// Ends the life of one of them; see [`MemoryWorker::crash`].
    pub fn crash(&self, id: &str) {
        let now = self.clock.now();
        if let Some(worker) = self.lock().get_mut(id) {
            worker.crash(now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, MemoryWorker>> {
        self.workers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Polls a worker until it lists an end or `order.wait` has passed.
    async fn poll_until_end(&self, order: &PollOrder) -> Result<PollReport, PollFailure> {
        let deadline = self.clock.now() + order.wait;
        loop {
            let now = self.clock.now();
            let result = match self.lock().get_mut(&order.to.life.id) {
                Some(worker) => worker.poll(order, now),
                None => Err(PollFailure::Refused(Refusal::Gone)),
            };
            let is_final = result
                .as_ref()
                .map_or(true, |report| !report.ended.is_empty());
            if is_final || now >= deadline {
                return result;
            }
            tokio::time::sleep(END_CHECK_INTERVAL).await;
        }
    }
}

impl Workers for MemoryWorkers {
    fn start<'a>(&'a self, order: &'a StartOrder) -> BoxFuture<'a, (StartOutcome, Option<Millis>)> {
        async move {
            let now = self.clock.now();
            let outcome = match self.lock().get_mut(&order.to.life.id) {
                Some(worker) => worker.start(order, now),
                None => StartOutcome::Refused(Refusal::Gone),
            };
            (outcome, Some(now))
        }
        .boxed()
    }

    fn stop<'a>(&'a self, order: &'a StopOrder) -> BoxFuture<'a, Result<(), Option<Refusal>>> {
        async move {
            let now = self.clock.now();
            match self.lock().get_mut(&order.to.life.id) {
                Some(worker) => worker.stop(order, now).map_err(Some),
                None => Err(Some(Refusal::Gone)),
            }
        }
        .boxed()
    }

    fn poll<'a>(&'a self, order: &'a PollOrder) -> BoxFuture<'a, Result<PollReport, PollFailure>> {
        self.poll_until_end(order).boxed()
    }
}
