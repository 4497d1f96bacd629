//! Fixture: a cell whose workers start again under the id that they had.
//!
//! Workers have clocks of their own, which begin anew with each life, and whatever they did is
//! kept, so tests check what happened on the workers and not what the owner believes.
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

const TICK: Millis = 10;
/// The Unix time at the site's start, in ms.
pub const UNIX_START: Millis = 1_700_000_000_000;

/// One life of a worker, with a clock that began at its start.  All times are the site's.
pub struct WorkerLife {
    /// What runs there.
    pub memory: MemoryWorker,
    began: Millis,
}

impl WorkerLife {
    /// A life whose clock began at `began`.
    pub fn begun_at(began: Millis, memory: MemoryWorker) -> Self {
        Self { memory, began }
    }

    /// When its clock began.
    pub fn began(&self) -> Millis {
        self.began
    }

    /// Carries a start out, and tells the clock.
    pub fn start(&mut self, order: &StartOrder, now: Millis) -> (StartOutcome, Millis) {
        let clock = now - self.began;
        (self.memory.start(order, clock), clock)
    }

    /// Carries a stop out.
    pub fn stop(&mut self, order: &StopOrder, now: Millis) -> Result<(), Refusal> {
        self.memory.stop(order, now - self.began)
    }

    /// Answers a look.
    pub fn poll(&mut self, order: &PollOrder, now: Millis) -> Result<PollReport, PollFailure> {
        self.memory.poll(order, now - self.began)
    }

    /// Ends what has run its time or lost its lease.
    pub fn settle(&mut self, now: Millis) {
        self.memory.end_due_runs(now - self.began);
    }

    /// This life is over.
    pub fn crash(&mut self, now: Millis) {
        self.memory.crash(now - self.began);
    }

    /// When everything that runs here ends unless the lease is renewed.
    pub fn lease_end(&self) -> Millis {
        self.began + self.memory.lease_end()
    }

    /// Every run, in the order of their beginnings.
    pub fn runs(&self) -> impl Iterator<Item = RunRecord> {
        let at = |clock| self.began + clock;
        self.memory.history.iter().map(move |run| RunRecord {
            began: at(run.began),
            ended: run.ended.map(|(clock, how)| (at(clock), how)),
            ..run.clone()
        })
    }
}

/// A cell with its workers and the rows that its owner has recorded.
pub struct Site {
    /// The time.
    pub now: Millis,
    /// The owner's core.
    pub cell: Cell,
    /// The queue of all jobs.
    pub queue: Queue,
    /// What the platform lists.
    pub entries: Vec<WorkerEntry>,
    /// The present life of each worker; none while it is down.
    pub alive: BTreeMap<String, WorkerLife>,
    /// The store takes what is recorded.
    pub store_is_up: bool,
    over: Vec<WorkerLife>,
    epoch: u64,
    jobs: u64,
    rows: BTreeMap<JobId, JobRow>,
    progress: BTreeMap<JobId, JobProgress>,
    roster: Vec<RosterEntry>,
}

impl Site {
    /// A site whose workers tell when they started, under its first owner.
    pub fn new(workers: u16) -> Self {
        let mut site = Self {
            now: 1_000,
            cell: Cell::new(0, configuration(&[]), 0),
            queue: queue("q", 0),
            entries: (0..workers).map(worker).collect(),
            alive: BTreeMap::new(),
            store_is_up: true,
            over: Vec::new(),
            epoch: 0,
            jobs: 0,
            rows: BTreeMap::new(),
            progress: BTreeMap::new(),
            roster: Vec::new(),
        };
        for place in 0..site.entries.len() {
            site.begin_life(place);
        }
        site.take_over();
        site.pass(200);
        site
    }

    /// Another owner claims the cell and reads its rows.
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

    /// Takes a job in whose tasks run for `length` each.
    pub fn submit(&mut self, length: Millis, steps: Vec<Step>) -> JobId {
        self.jobs += 1;
        let mut row = job(self.jobs, &self.queue, steps);
        row.spec.text = length.to_string();
        self.cell.accept(&row, None, false, self.now);
        let id = row.id;
        self.rows.insert(id, row);
        id
    }

    /// The present life of a worker is over without a word.
    pub fn end_life(&mut self, place: usize) {
        let id = &self.entries[place].life.id;
        let mut alive = self.alive.remove(id).expect("a worker that is up");
        alive.crash(self.now);
        self.over.push(alive);
    }

    /// The next life of a worker starts, under the same id.  The platform does not list it yet.
    pub fn begin_life(&mut self, place: usize) {
        let life = &mut self.entries[place].life;
        life.born = Some(UNIX_START + self.now);
        let alive = WorkerLife::begun_at(self.now, MemoryWorker::born_at(UNIX_START + self.now));
        self.alive.insert(life.id.clone(), alive);
    }

    /// The platform lists the present life of a worker.
    pub fn list(&mut self, place: usize) {
        let entry = self.entries[place].clone();
        self.cell.list_worker(entry, self.now);
    }

    /// A worker goes on but is heard by nobody, and the platform drops its entry.
    pub fn cut_off(&mut self, place: usize) -> WorkerLife {
        let id = &self.entries[place].life.id;
        self.cell.unlist_worker(id, self.now);
        self.alive.remove(id).expect("a worker that is up")
    }

    /// A worker that was cut off is heard and listed again.
    pub fn reconnect(&mut self, place: usize, alive: WorkerLife) {
        let id = self.entries[place].life.id.clone();
        self.alive.insert(id, alive);
        self.list(place);
    }

    /// How many tasks of a job go on.
    pub fn count_running(&mut self, id: JobId) -> usize {
        let runs = self.runs_by_task();
        let of_job = runs.iter().filter(|(task, _)| task.step.job == id);
        of_job
            .flat_map(|(_, runs)| runs)
            .filter(|run| run.ended.is_none())
            .count()
    }

    /// A worker is down for a while, and is listed when it is back.
    pub fn restart(&mut self, place: usize, down: Millis) {
        self.end_life(place);
        self.pass(down);
        self.begin_life(place);
        self.list(place);
    }

    /// Time passes, with all that the owner does in it.
    pub fn pass(&mut self, time: Millis) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            self.poll_all();
            self.decide();
            self.record();
        }
    }

    /// Looks at all workers, which answer at once.
    pub fn poll_all(&mut self) {
        for key in self.cell.worker_keys() {
            if let Some(order) = self.cell.poll_order(key, self.now) {
                self.answer_poll(&order);
            }
        }
    }

    /// A look arrives, and its answer is heard.
    pub fn answer_poll(&mut self, order: &PollOrder) {
        let now = self.now;
        let answer = match self.alive.get_mut(&order.to.life.id) {
            Some(alive) => alive.poll(order, now),
            None => Err(PollFailure::Refused(Refusal::NotSent)),
        };
        match answer {
            Ok(look) => self.cell.poll_answered(order, &look, now),
            Err(failure) => self.cell.poll_failed(order.to.worker, failure, now),
        }
    }

    /// Decides, and carries all orders out at once.
    pub fn decide(&mut self) {
        self.cell.tick(self.now);
        self.cell.schedule(self.now);
        for order in self.cell.take_orders() {
            match order {
                Order::Start(order) => {
                    let (outcome, clock) = self.execute_start(&order);
                    self.cell
                        .start_answered(order.run, outcome, clock, self.now);
                }
                Order::Stop(order) => self.stop(&order),
                Order::Advise(_) => unreachable!("no queue has a policy of placement"),
            }
        }
    }

    /// A start arrives at the worker of the id that it is meant for.
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

    /// No start takes a worker over the room that its present life has.
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

    /// Records what has changed, if the store is up.
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

    /// How far a job is.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.cell.state(id)
    }

    /// What all lives of all workers have run, by task, in the order of their beginnings.
    pub fn runs_by_task(&mut self) -> BTreeMap<TaskName, Vec<RunRecord>> {
        let now = self.now;
        let mut ran: BTreeMap<TaskName, Vec<RunRecord>> = BTreeMap::new();
        for alive in self.alive.values_mut().chain(&mut self.over) {
            alive.settle(now);
            for run in alive.runs() {
                ran.entry(run.task).or_default().push(run);
            }
        }
        for runs in ran.values_mut() {
            runs.sort_unstable_by_key(|run| run.began);
        }
        ran
    }

    /// No task runs twice at once, or again after it has ended well, or more often than it may fail.
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
