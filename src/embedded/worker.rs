//! Workers in memory: they run nothing, and keep leases and epochs as real ones do.
//!
//! [`MemoryWorker`] is pure, so experiments and tests drive it in virtual time;
//! [`MemoryWorkers`] puts some of them behind the way that a node gives orders.

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
const DEFAULT_LENGTH: Millis = 100;
/// The longest lease that a worker gives; a longer one is cut down to it.
const LONGEST_LEASE: Millis = 10_000;
/// The text of tasks that never end by themselves.
pub const ENDLESS: &str = "endless";
/// How often a look that waits for an end looks whether one has come.
const POLL: Duration = Duration::from_millis(5);

/// One run that a worker began, kept for tests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub number: u64,
    /// When it began, by the worker's clock.
    pub began: Millis,
    /// When and how it ended; none while it goes on.
    pub ended: Option<(Millis, EndKind)>,
}

#[derive(Debug, Clone)]
struct Going {
    task: TaskName,
    number: u64,
    began: Millis,
    /// When it ends by itself; none if it never does.
    ends: Option<Millis>,
    /// Its place in the history.
    record: usize,
}

/// The state of one life of a worker.
#[derive(Debug, Clone, Default)]
pub struct MemoryWorker {
    epoch: u64,
    due: Millis,
    going: Vec<Going>,
    ended: Vec<EndEntry>,
    places: u64,
    /// The highest number of each task that was stopped or has ended here.
    barred: BTreeMap<TaskName, u64>,
    /// Every run, in the order of their beginnings.
    pub history: Vec<RunRecord>,
    /// Every task fails at its end.
    pub fails_all_tasks: bool,
    /// When this life started, if it tells.
    born: Option<Millis>,
}

impl MemoryWorker {
    /// A life that tells when it started, in Unix milliseconds.
    pub fn born_at(born: Millis) -> Self {
        Self {
            born: Some(born),
            ..Self::default()
        }
    }

    /// Ends what has run its time or lost its lease by `now`.
    pub fn end_due_runs(&mut self, now: Millis) {
        let due = self.due;
        let end_of = |run: &Going| match run.ends {
            Some(ends) if ends <= due => ends,
            _ => due,
        };
        let mut over: Vec<Going> = Vec::new();
        self.going.retain(|run| {
            let ended = end_of(run) <= now;
            if ended {
                over.push(run.clone());
            }
            !ended
        });
        over.sort_by_key(end_of);
        let well = if self.fails_all_tasks {
            EndKind::Failed
        } else {
            EndKind::Done
        };
        for run in over {
            let at = end_of(&run);
            let how = if run.ends == Some(at) {
                well
            } else {
                EndKind::Lapsed
            };
            self.list_end(&run, at, how);
        }
    }

    fn list_end(&mut self, run: &Going, at: Millis, how: EndKind) {
        self.places += 1;
        self.ended.push(EndEntry {
            end_number: self.places,
            task: run.task,
            number: run.number,
            how,
            checkpoint: String::new(),
        });
        self.bar(run.task, run.number);
        self.history[run.record].ended = Some((at, how));
    }

    fn extend(&mut self, due: Millis, now: Millis) {
        self.due = self.due.max(due.min(now + LONGEST_LEASE));
    }

    fn bar(&mut self, task: TaskName, number: u64) {
        let barred = self.barred.entry(task).or_default();
        *barred = number.max(*barred);
    }

    /// When everything that runs here ends unless the lease is renewed.
    pub fn lease_end(&self) -> Millis {
        self.due
    }

    /// It tells from now on when it started, in Unix milliseconds.
    pub fn set_born(&mut self, born: Millis) {
        self.born = Some(born);
    }

    /// The highest epoch that it has seen.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Ends that it was not told to forget yet.
    pub fn ends(&self) -> &[EndEntry] {
        &self.ended
    }

    /// Tells whether ends wait to be taken note of.
    pub fn has_ends(&mut self, now: Millis) -> bool {
        self.end_due_runs(now);
        !self.ended.is_empty()
    }

    /// This life is over, and nothing more is told of it.
    pub fn crash(&mut self, now: Millis) {
        self.end_due_runs(now);
        for run in self.going.drain(..) {
            self.history[run.record].ended = Some((now, EndKind::Lapsed));
        }
    }

    /// Carries a start out.
    pub fn start(&mut self, order: &StartOrder, now: Millis) -> StartOutcome {
        self.end_due_runs(now);
        if order.to.epoch < self.epoch {
            return StartOutcome::Refused(Refusal::Epoch);
        }
        self.epoch = order.to.epoch;
        if order.due <= now {
            return StartOutcome::Refused(Refusal::Late);
        }
        self.extend(order.due, now);
        let barred = self.barred.get(&order.task);
        if barred.is_some_and(|&number| number >= order.number) {
            return StartOutcome::Refused(Refusal::OldRun);
        }
        let is_this = |run: &Going| (run.task, run.number) == (order.task, order.number);
        if !self.going.iter().any(is_this) {
            self.begin(order, now);
        }
        StartOutcome::Started
    }

    fn begin(&mut self, order: &StartOrder, now: Millis) {
        let length = match &*order.text {
            ENDLESS => None,
            text => Some(text.parse().unwrap_or(DEFAULT_LENGTH)),
        };
        self.going.push(Going {
            task: order.task,
            number: order.number,
            began: now,
            ends: length.map(|length| now + length),
            record: self.history.len(),
        });
        self.history.push(RunRecord {
            task: order.task,
            number: order.number,
            began: now,
            ended: None,
        });
    }

    /// Carries a stop out; a run that is not there will be refused.
    ///
    /// # Errors
    /// Refuses orders of a lower epoch.
    pub fn stop(&mut self, order: &StopOrder, now: Millis) -> Result<(), Refusal> {
        self.end_due_runs(now);
        if order.to.epoch < self.epoch {
            return Err(Refusal::Epoch);
        }
        self.epoch = order.to.epoch;
        let is_this = |run: &Going| (run.task, run.number) == (order.task, order.number);
        match self.going.iter().position(is_this) {
            Some(place) => {
                let run = self.going.remove(place);
                self.list_end(&run, now, EndKind::Stopped);
            }
            None => self.bar(order.task, order.number),
        }
        Ok(())
    }

    /// Shows what runs and what has ended, and renews the lease.
    ///
    /// # Errors
    /// Refuses orders of a lower epoch.
    pub fn poll(&mut self, order: &PollOrder, now: Millis) -> Result<PollReport, PollFailure> {
        self.end_due_runs(now);
        if order.to.epoch < self.epoch {
            return Err(PollFailure::Refused(Refusal::Epoch));
        }
        self.epoch = order.to.epoch;
        self.extend(order.due.unwrap_or_default(), now);
        self.ended.retain(|end| end.end_number > order.forget);
        let running = self.going.iter().map(|run| RunningEntry {
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
            ended: self.ended.clone(),
        })
    }
}

/// How much of a run's work is done, in hundredths.
fn percent(run: &Going, now: Millis) -> u32 {
    let Some(ends) = run.ends else {
        return 100;
    };
    let length = (ends - run.began).max(1);
    ((now - run.began) * 100 / length) as u32
}

/// Some workers behind the way that a node gives orders.
pub struct MemoryWorkers {
    clock: Arc<dyn Clock>,
    workers: Mutex<HashMap<String, MemoryWorker>>,
}

impl MemoryWorkers {
    /// Makes workers with these ids, whose clocks all show the time of `clock`.
    pub fn new(clock: Arc<dyn Clock>, ids: impl IntoIterator<Item = String>) -> Self {
        let worker = |id| (id, MemoryWorker::default());
        Self {
            clock,
            workers: Mutex::new(ids.into_iter().map(worker).collect()),
        }
    }

    /// Every run that any of them began, as it stands now.
    pub fn history(&self) -> Vec<RunRecord> {
        let now = self.clock.now();
        let mut workers = self.lock();
        workers
            .values_mut()
            .for_each(|worker| worker.end_due_runs(now));
        let runs = workers.values().flat_map(|worker| &worker.history);
        runs.cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, MemoryWorker>> {
        self.workers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn poll_until_end(&self, order: &PollOrder) -> Result<PollReport, PollFailure> {
        let until = self.clock.now() + order.wait;
        loop {
            let now = self.clock.now();
            let look = match self.lock().get_mut(&order.to.life.id) {
                Some(worker) => worker.poll(order, now),
                None => Err(PollFailure::Refused(Refusal::Gone)),
            };
            let news = look.as_ref().map_or(true, |look| !look.ended.is_empty());
            if news || now >= until {
                return look;
            }
            tokio::time::sleep(POLL).await;
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
