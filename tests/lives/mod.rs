//! Fixture: a cell whose workers restart under the same id.
//!
//! Each life of a worker has its own clock, which starts with the life.  All runs of all lives are
//! kept, so tests check what happened on the workers and not what the owner assumes.
#![allow(dead_code)]

use std::collections::BTreeMap;

use crossweir::cell::Cell;
use crossweir::cell::job::JobState;
use crossweir::cell::name::TaskName;
use crossweir::cell::order::{
    EndKind, Order, PollFailure, PollOrder, PollReport, Refusal, StartOrder, StartOutcome,
    StopOrder,
};
use crossweir::cell::record::{JobProgress, JobRow};
use crossweir::cell::roster::RosterEntry;
use crossweir::cell::spec::{Demand, JobId, Step};
use crossweir::cell::tuning;
use crossweir::cell::worker::WorkerEntry;
use crossweir::clock::Millis;
use crossweir::embedded::worker::{MemoryWorker, RunRecord};
use crossweir::queue::Queue;

use crate::cell_core::{configuration, job, queue, worker};

/// The time between two scheduling rounds.
const TICK: Millis = 10;
/// The Unix time, in milliseconds, at time 0 of a [`Site`].
pub const UNIX_START: Millis = 1_700_000_000_000;

/// One life of a worker, with a clock of its own.  Times passed in and returned are the site's,
/// except where the worker's clock is named.
pub struct WorkerLife {
    /// The worker's state, in times of its own clock.
    pub memory: MemoryWorker,
    began: Millis,
    /// What its clock read when it began.
    first_reading: Millis,
}

impl WorkerLife {
    /// A life whose clock reads 0 at the time `began`.
    pub fn begun_at(began: Millis, memory: MemoryWorker) -> Self {
        Self {
            memory,
            began,
            first_reading: 0,
        }
    }

    /// The same life with a clock that reads `first_reading` when it begins.
    pub fn with_first_reading(mut self, first_reading: Millis) -> Self {
        self.first_reading = first_reading;
        self
    }

    /// When the life began.
    pub fn began(&self) -> Millis {
        self.began
    }

    /// What its clock reads at a time.
    pub fn clock(&self, now: Millis) -> Millis {
        now - self.began + self.first_reading
    }

    /// The time at which its clock reads `clock`.
    fn time(&self, clock: Millis) -> Millis {
        (clock + self.began).saturating_sub(self.first_reading)
    }

    /// Executes a start.  Returns its outcome and the time by the worker's clock.
    pub fn start(&mut self, order: &StartOrder, now: Millis) -> (StartOutcome, Millis) {
        let clock = self.clock(now);
        (self.memory.start(order, clock), clock)
    }

    /// Executes a stop.
    pub fn stop(&mut self, order: &StopOrder, now: Millis) -> Result<(), Refusal> {
        self.memory.stop(order, self.clock(now))
    }

    /// Answers a poll.
    pub fn poll(&mut self, order: &PollOrder, now: Millis) -> Result<PollReport, PollFailure> {
        self.memory.poll(order, self.clock(now))
    }

    /// Ends the runs that have run their time or whose lease has expired.
    pub fn settle(&mut self, now: Millis) {
        self.memory.end_due_runs(self.clock(now));
    }

    /// Ends this life, and all its runs, by a crash.
    pub fn crash(&mut self, now: Millis) {
        self.memory.crash(self.clock(now));
    }

    /// When the lease expires, and with it all runs, unless it is renewed.
    pub fn lease_end(&self) -> Millis {
        self.time(self.memory.lease_end())
    }

    /// All runs, in the order in which they began.
    pub fn runs(&self) -> impl Iterator<Item = RunRecord> {
        let at = |clock| self.time(clock);
        self.memory.history.iter().map(move |run| RunRecord {
            began: at(run.began),
            ended: run.ended.map(|(clock, how)| (at(clock), how)),
            ..run.clone()
        })
    }
}

/// A cell, its workers, and the rows that its owners have recorded.
pub struct Site {
    /// The current time.
    pub now: Millis,
    /// The core of the present owner.
    pub cell: Cell,
    /// The queue that all jobs are submitted to.
    pub queue: Queue,
    /// The entry of each worker for its latest life.  A new owner reads all of them; the present
    /// owner learns of a new life only by [`Site::list`].
    pub entries: Vec<WorkerEntry>,
    /// The present life of each worker that is up and reachable, by id.
    pub alive: BTreeMap<String, WorkerLife>,
    /// Whether the store accepts records.
    pub store_is_up: bool,
    /// What the workers have answered to polls, if a test asks for it.
    pub heard: Option<Vec<String>>,
    ended_lives: Vec<WorkerLife>,
    epoch: u64,
    job_count: u64,
    rows: BTreeMap<JobId, JobRow>,
    progress: BTreeMap<JobId, JobProgress>,
    roster: Vec<RosterEntry>,
}

impl Site {
    /// A site whose workers report when their life started, under its first owner.
    pub fn new(workers: u16) -> Self {
        let mut site = Self {
            now: 1_000,
            cell: Cell::new(0, configuration(&[]), 0),
            queue: queue("q", 0),
            entries: (0..workers).map(worker).collect(),
            alive: BTreeMap::new(),
            store_is_up: true,
            heard: None,
            ended_lives: Vec::new(),
            epoch: 0,
            job_count: 0,
            rows: BTreeMap::new(),
            progress: BTreeMap::new(),
            roster: Vec::new(),
        };
        for index in 0..site.entries.len() {
            site.begin_life(index);
        }
        site.take_over();
        site.pass(200);
        site
    }

    /// A new owner claims the cell and reads the recorded rows.
    pub fn take_over(&mut self) {
        self.epoch = tuning::next_epoch(self.epoch);
        let config = configuration(std::slice::from_ref(&self.queue));
        self.cell = Cell::new(self.epoch, config, self.now);
        self.cell.set_lanes(&[true]);
        self.cell.restore_roster(self.roster.clone(), self.now);
        self.cell.list_workers(self.entries.clone(), self.now);
        for row in self.rows.values() {
            let progress = self.progress.get(&row.id);
            self.cell.accept(row, progress, true, self.now);
        }
    }

    /// Submits a job whose tasks run for `length` each.
    pub fn submit(&mut self, length: Millis, steps: Vec<Step>) -> JobId {
        self.job_count += 1;
        let mut row = job(self.job_count, &self.queue, steps);
        row.spec.text = length.to_string();
        self.cell.accept(&row, None, false, self.now);
        let id = row.id;
        self.rows.insert(id, row);
        id
    }

    /// Ends the present life of a worker without notice to the owner.
    pub fn end_life(&mut self, index: usize) {
        let id = &self.entries[index].life.id;
        let mut alive = self.alive.remove(id).expect("a worker that is up");
        alive.crash(self.now);
        self.ended_lives.push(alive);
    }

    /// Starts the next life of a worker, under the same id.  The platform does not list it yet.
    pub fn begin_life(&mut self, index: usize) {
        self.begin_life_reading(index, 0);
    }

    /// Starts the next life of a worker, with a clock that reads `first_reading`.
    pub fn begin_life_reading(&mut self, index: usize, first_reading: Millis) {
        let born = UNIX_START + self.now;
        let life = &mut self.entries[index].life;
        life.born = Some(born);
        let alive = WorkerLife::begun_at(self.now, MemoryWorker::born_at(born));
        let alive = alive.with_first_reading(first_reading);
        self.alive.insert(life.id.clone(), alive);
    }

    /// Starts a worker again at once, with a clock that reads `first_reading`; nobody tells the owner.
    pub fn restart_unnoticed(&mut self, index: usize, first_reading: Millis) {
        self.end_life(index);
        self.begin_life_reading(index, first_reading);
    }

    /// Adds a worker, which the platform lists.
    pub fn add_worker(&mut self) {
        let index = self.entries.len();
        self.entries.push(worker(index as u16));
        self.begin_life(index);
        self.list(index);
    }

    /// Runs a scheduling round and returns the starts that it orders, so that they arrive when the test
    /// says.
    pub fn intercept_starts(&mut self) -> Vec<StartOrder> {
        self.cell.schedule(self.now);
        let orders = self.cell.take_orders().into_iter();
        let starts = orders.filter_map(|order| match order {
            Order::Start(start) => Some(start),
            _ => None,
        });
        starts.collect()
    }

    /// Tells the owner that the platform lists the present life of a worker.
    pub fn list(&mut self, index: usize) {
        let entry = self.entries[index].clone();
        self.cell.list_worker(entry, self.now);
    }

    /// Makes a worker unreachable while its runs go on; the platform drops its entry.
    pub fn cut_off(&mut self, index: usize) -> WorkerLife {
        let id = &self.entries[index].life.id;
        self.cell.unlist_worker(id, self.now);
        self.alive.remove(id).expect("a worker that is up")
    }

    /// Makes a worker that was cut off reachable again; the platform lists it again.
    pub fn reconnect(&mut self, index: usize, alive: WorkerLife) {
        let id = self.entries[index].life.id.clone();
        self.alive.insert(id, alive);
        self.list(index);
    }

    /// The number of runs of a job that go on, on workers that are reachable.
    pub fn count_running(&mut self, id: JobId) -> usize {
        let runs = self.runs_by_task();
        let of_job = runs.iter().filter(|(task, _)| task.step.job == id);
        of_job
            .flat_map(|(_, runs)| runs)
            .filter(|run| run.ended.is_none())
            .count()
    }

    /// Restarts a worker that is down for the time `down`, and lists its next life.
    pub fn restart(&mut self, index: usize, down: Millis) {
        self.end_life(index);
        self.pass(down);
        self.begin_life(index);
        self.list(index);
    }

    /// Advances time.  Each [`TICK`] the owner polls, runs a scheduling round and records.
    pub fn pass(&mut self, time: Millis) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            self.poll_all();
            self.decide();
            self.record();
        }
    }

    /// Polls all workers, which answer at once.
    pub fn poll_all(&mut self) {
        for key in self.cell.worker_keys() {
            if let Some(order) = self.cell.poll_order(key, self.now) {
                self.answer_poll(&order);
            }
        }
    }

    /// Delivers a poll to its worker, and the answer to the owner.
    pub fn answer_poll(&mut self, order: &PollOrder) {
        let now = self.now;
        let answer = match self.alive.get_mut(&order.to.life.id) {
            Some(alive) => alive.poll(order, now),
            None => Err(PollFailure::Refused(Refusal::NotSent)),
        };
        if let Some(heard) = &mut self.heard {
            heard.push(format!("{now} {} {answer:?}", order.to.life));
        }
        match answer {
            Ok(report) => self.cell.poll_answered(order, &report, now),
            Err(failure) => self.cell.poll_failed(order.to.worker, failure, now),
        }
    }

    /// Lets the core do what is due.  Witnesses reach the workers that are not cut off.
    pub fn tick(&mut self) {
        let now = self.now;
        for question in self.cell.take_silence_questions(now) {
            match self.alive.get_mut(&question.to.life.id) {
                Some(alive) => match alive.poll(&question, now) {
                    Ok(report) => self.cell.witness_heard(&question, &report, now),
                    Err(failure) => {
                        let key = question.to.worker;
                        self.cell.poll_failed(key, failure, now);
                    }
                },
                None => self.cell.note_unreached(&question),
            }
        }
        self.cell.tick(now);
    }

    /// Runs a scheduling round and executes all of its orders at once.
    pub fn decide(&mut self) {
        self.tick();
        self.cell.schedule(self.now);
        for order in self.cell.take_orders() {
            match order {
                Order::Start(order) => {
                    let (outcome, clock) = self.execute_start(&order);
                    self.cell
                        .start_answered(order.run, outcome, clock, self.now);
                }
                Order::Stop(order) => self.stop(&order),
                Order::Advise(_) => unreachable!("no queue needs advice"),
            }
        }
    }

    /// Delivers a start to the present life of its worker, whichever life it was meant for.
    /// Returns the outcome and the time by the worker's clock, if the worker is up.
    pub fn execute_start(&mut self, order: &StartOrder) -> (StartOutcome, Option<Millis>) {
        let now = self.now;
        let Some(alive) = self.alive.get_mut(&order.to.life.id) else {
            return (StartOutcome::Refused(Refusal::NotSent), None);
        };
        let (outcome, clock) = alive.start(order, now);
        if outcome == StartOutcome::Started {
            self.check_room(&order.to.life.id);
        }
        (outcome, Some(clock))
    }

    /// Asserts that the runs on a worker fit into the capacity of its present life.
    fn check_room(&self, id: &str) {
        let entry = self.entries.iter().find(|entry| entry.life.id == id);
        let capacity = entry.expect("a worker").capacity;
        let going = self.alive[id].runs().filter(|run| run.ended.is_none());
        let mut held = Demand::default();
        for run in going {
            let row = &self.rows[&run.task.step.job];
            held.add(&row.spec.steps[usize::from(run.task.step.step)].demand);
        }
        assert!(
            held.fits(&capacity),
            "{id} holds {held:?} of {capacity:?} at {}",
            self.now
        );
    }

    fn stop(&mut self, order: &StopOrder) {
        let now = self.now;
        let Some(alive) = self.alive.get_mut(&order.to.life.id) else {
            return;
        };
        let stopped = alive.stop(order, now);
        if let (Ok(()), Some(run)) = (stopped, order.run) {
            self.cell.stop_confirmed(run);
        }
    }

    /// Records the roster and all pending changes of jobs, if the store is up.
    pub fn record(&mut self) {
        if !self.store_is_up {
            return;
        }
        let (version, roster) = self.cell.roster();
        self.roster = roster;
        self.cell.mark_roster_recorded(version);
        let batch = self.cell.take_batch(100);
        for (_, id, progress) in &batch.rows {
            self.progress.insert(*id, progress.clone());
        }
        self.cell.batch_recorded(batch, self.now);
    }

    /// The state of a job as callers see it.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.cell.state(id)
    }

    /// The runs of all lives of all workers, by task, in the order in which they began.  Lives that
    /// are cut off are left out.
    pub fn runs_by_task(&mut self) -> BTreeMap<TaskName, Vec<RunRecord>> {
        let now = self.now;
        let mut by_task: BTreeMap<TaskName, Vec<RunRecord>> = BTreeMap::new();
        for alive in self.alive.values_mut().chain(&mut self.ended_lives) {
            alive.settle(now);
            for run in alive.runs() {
                by_task.entry(run.task).or_default().push(run);
            }
        }
        for runs in by_task.values_mut() {
            runs.sort_unstable_by_key(|run| run.began);
        }
        by_task
    }

    /// Asserts that no task ran twice at the same time, ended well twice or failed more often than
    /// its queue allows.
    pub fn check_runs(&mut self) {
        let attempts = self.queue.attempts as usize;
        for (task, runs) in self.runs_by_task() {
            for pair in runs.windows(2) {
                let ended = pair[0].ended.map_or(Millis::MAX, |(at, _)| at);
                assert!(ended <= pair[1].began, "{task} ran twice at once: {runs:?}");
            }
            let how = |kind| {
                runs.iter()
                    .filter(move |run| run.ended.is_some_and(|end| end.1 == kind))
            };
            assert!(
                how(EndKind::Done).count() <= 1,
                "{task} ended well twice: {runs:?}"
            );
            let failed = how(EndKind::Failed).count();
            assert!(
                failed <= attempts,
                "{task} failed {failed} times, {attempts} allowed: {runs:?}"
            );
        }
    }
}
