//! Failures count against a worker only as far as the step does not fail elsewhere ("Failing tasks"
//! in `docs/DESIGN.md`).

mod cell_core;

use std::collections::{BTreeMap, BTreeSet};

use cell_core::{Bench, job, queue, step};
use crossweir::cell::WorkerKey;
use crossweir::cell::name::TaskName;
use crossweir::cell::order::EndKind;
use crossweir::cell::record::JobRow;
use crossweir::clock::Millis;
use crossweir::queue::Queue;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Jobs from this id on have tasks that fail wherever they run.
const FIRST_FAILING: u64 = 1_000;
/// How often the bench polls and decides, in milliseconds.
const ROUND: Millis = 10;
/// Accepted work must have something running within this time, in milliseconds.
const LONGEST_WAIT: Millis = 3_000;
/// How long a run of a task that does not fail takes, in milliseconds.
const WORK: Millis = 300;

fn patient_queue() -> Queue {
    Queue {
        attempts: 5,
        ..queue("q", 0)
    }
}

/// A job whose `tasks` tasks last, and fail if its id is one of the failing ones.
fn lasting_job(id: u64, tasks: u32) -> JobRow {
    let mut lasting = step(tasks, 1_000);
    lasting.lasting = true;
    lasting.per_worker = 1;
    job(id, &patient_queue(), vec![lasting])
}

fn short_job(id: u64) -> JobRow {
    job(id, &patient_queue(), vec![step(2, 1_000)])
}

/// Workers and jobs, some of which fail.
struct Trouble {
    bench: Bench,
    /// How long a run of a failing job goes on, in milliseconds.
    fails_after: Millis,
    /// Workers on which everything fails.
    bad: BTreeSet<WorkerKey>,
    /// The number of starts on bad workers.
    bad_starts: usize,
    began: BTreeMap<(TaskName, u64), (WorkerKey, Millis)>,
    accepted: BTreeMap<u64, Millis>,
    /// Since when each lasting task has had no run.
    idle: BTreeMap<TaskName, Millis>,
    longest_idle: Millis,
    longest_wait: Millis,
    starts: usize,
    started: BTreeSet<TaskName>,
}

impl Trouble {
    fn new(workers: u16, bad: usize, fails_after: Millis) -> Self {
        let bench = Bench::new(workers, &[patient_queue()]);
        let bad = (0..bad).map(|number| bench.worker(number)).collect();
        Self {
            bench,
            fails_after,
            bad,
            bad_starts: 0,
            began: BTreeMap::new(),
            accepted: BTreeMap::new(),
            idle: BTreeMap::new(),
            longest_idle: 0,
            longest_wait: 0,
            starts: 0,
            started: BTreeSet::new(),
        }
    }

    fn accept(&mut self, row: &JobRow) {
        self.bench.accept(row);
        self.accepted.insert(row.id.0, self.bench.now);
    }

    /// Lets time pass, in which runs start and end.
    fn pass(&mut self, time: Millis) {
        let until = self.bench.now + time;
        while self.bench.now < until {
            self.end_due_runs();
            self.bench.poll_all();
            self.bench.record();
            for start in self.bench.start_all() {
                self.note_start(start.task, start.number, start.to.worker);
            }
            self.note_waits();
            self.bench.pass(ROUND);
        }
    }

    fn note_start(&mut self, task: TaskName, number: u64, worker: WorkerKey) {
        let now = self.bench.now;
        self.starts += 1;
        self.started.insert(task);
        self.bad_starts += usize::from(self.bad.contains(&worker));
        self.began.insert((task, number), (worker, now));
        self.accepted.remove(&task.step.job.0);
        if let Some(since) = self.idle.remove(&task) {
            self.longest_idle = self.longest_idle.max(now - since);
        }
    }

    fn end_due_runs(&mut self) {
        let now = self.bench.now;
        let due: Vec<(TaskName, u64, EndKind)> = self
            .began
            .iter()
            .filter_map(|(&(task, number), &(worker, began))| {
                let is_failing = task.step.job.0 >= FIRST_FAILING;
                let (time, how) = match is_failing || self.bad.contains(&worker) {
                    true => (self.fails_after, EndKind::Failed),
                    false => (WORK, EndKind::Done),
                };
                (now >= began + time).then_some((task, number, how))
            })
            .collect();
        for (task, number, how) in due {
            self.began.remove(&(task, number));
            self.bench.end(task, number, how);
            if task.step.job.0 >= FIRST_FAILING {
                self.idle.insert(task, now);
            }
        }
    }

    /// Notes for how long jobs have waited for their first start.
    fn note_waits(&mut self) {
        let now = self.bench.now;
        let waits = self.accepted.values().map(|accepted| now - accepted);
        self.longest_wait = waits.chain([self.longest_wait]).max().unwrap_or_default();
    }
}

/// Jobs that fail wherever they run must not have the workers shunned, so that other jobs wait, nor
/// wait themselves.
#[yare::parameterized(
    one_job = { 1, 8, 0, 200 },
    that_fails_at_once = { 1, 8, 0, 20 },
    two_jobs = { 2, 8, 0, 200 },
    three_jobs = { 3, 8, 0, 100 },
    one_job_of_many_tasks = { 1, 16, 0, 200 },
    one_job_beside_a_bad_worker = { 1, 8, 1, 200 },
    three_jobs_beside_two_bad_workers = { 3, 8, 2, 100 },
    one_job_that_fails_after_a_second = { 1, 8, 0, 1_000 },
)]
fn other_jobs_start_at_once_beside_failing_ones(
    jobs: u64,
    tasks: u32,
    bad: usize,
    fails_after: Millis,
) {
    // Arrange.
    let mut trouble = Trouble::new(16, bad, fails_after);
    for id in 0..jobs {
        trouble.accept(&lasting_job(FIRST_FAILING + id, tasks));
    }
    trouble.pass(8_000);

    // Act.
    for id in 1..=20 {
        trouble.accept(&short_job(id));
        trouble.pass(1_000);
    }

    // Assert.
    assert!(trouble.longest_wait < 100, "{} ms", trouble.longest_wait);
    let idle = trouble.longest_idle;
    assert!(
        idle < LONGEST_WAIT,
        "a failing task had no run for {idle} ms"
    );
    let most = (28_000 / 1_500 + 10) * jobs as usize * tasks as usize;
    assert!(trouble.starts < most, "{} starts", trouble.starts);
}

/// A worker on which everything fails must still be avoided, also when there are several.
#[yare::parameterized(
    one = { 1 },
    two = { 2 },
    five = { 5 },
)]
fn workers_on_which_everything_fails_are_avoided(bad: usize) {
    // Arrange.
    let mut trouble = Trouble::new(16, bad, 50);

    // Act: as many jobs as keep half of the workers busy.
    for id in 1..=200 {
        trouble.accept(&short_job(id));
        trouble.pass(100);
    }

    // Assert: three each, and one after each 4 s for which it is shunned.
    let most = bad * (3 + 2 + 20_000 / 4_000 * 2);
    let starts = trouble.bad_starts;
    assert!(starts <= most, "{starts} starts on {bad} bad workers");
}

/// A worker that was shunned for the failures of a job must be used again once that job fails
/// elsewhere as well.
#[test]
fn a_worker_that_was_shunned_for_a_failing_job_is_used_again() {
    // Arrange: three tasks of one job fail on the only worker that has room.
    let mut trouble = Trouble::new(2, 0, 100);
    let fill = job(1, &patient_queue(), vec![step(1, 16_000)]);
    trouble.accept(&fill);
    trouble.pass(ROUND);
    trouble.accept(&job(FIRST_FAILING, &patient_queue(), vec![step(3, 4_000)]));
    trouble.pass(WORK);

    // Act: the other worker has room again, and the job fails there too.
    trouble.pass(500);
    trouble.accept(&job(2, &patient_queue(), vec![step(8, 4_000)]));
    trouble.pass(200);

    // Assert: they need both workers.
    let started = trouble.started.iter().filter(|task| task.step.job.0 == 2);
    assert_eq!(started.count(), 8);
}

/// Jobs that fail wherever they run, and nothing else, must not have all workers shunned, so that
/// the next job waits.
#[yare::parameterized(
    one_task = { 1, 1 },
    five_tasks = { 5, 1 },
    many_jobs = { 5, 4 },
)]
fn a_job_starts_at_once_after_many_that_have_failed(tasks: u32, jobs: u64) {
    // Arrange.
    let mut trouble = Trouble::new(16, 0, 50);
    for id in FIRST_FAILING..FIRST_FAILING + 30 * jobs {
        trouble.accept(&job(id, &patient_queue(), vec![step(tasks, 1_000)]));
        trouble.pass(100 / jobs);
    }

    // Act.
    trouble.longest_wait = 0;
    trouble.accepted.clear();
    trouble.accept(&short_job(1));
    trouble.pass(5_000);

    // Assert.
    assert!(trouble.longest_wait < 500, "{} ms", trouble.longest_wait);
}

/// Failing jobs and bad workers at random: other jobs must not wait where there is room.
fn play(seed: u64) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let workers = rng.random_range(6..20);
    let bad = rng.random_range(0..=usize::from(workers) / 6);
    let fails_after = rng.random_range(20..1_500);
    let mut trouble = Trouble::new(workers, bad, fails_after);
    let mut ids: Vec<u64> = (1..=30).chain(FIRST_FAILING..FIRST_FAILING + 4).collect();
    ids.shuffle(&mut rng);
    for id in ids {
        let row = match id >= FIRST_FAILING {
            true if rng.random_bool(0.6) => lasting_job(id, rng.random_range(1..=6)),
            true => job(
                id,
                &patient_queue(),
                vec![step(rng.random_range(1..6), 1_000)],
            ),
            false => short_job(id),
        };
        trouble.accept(&row);
        trouble.pass(rng.random_range(0..600));
    }
    trouble.pass(5_000);
    match trouble.longest_wait.max(trouble.longest_idle) {
        wait if wait < LONGEST_WAIT => Ok(()),
        wait => Err(format!(
            "seed {seed}: a wait of {wait} ms, {bad} bad workers of {workers}"
        )),
    }
}

/// No job may wait long beside failing ones in any world.
#[test]
fn no_job_waits_long_beside_failing_ones_in_random_worlds() {
    let faults: Vec<String> = (1..=200).filter_map(|seed| play(seed).err()).collect();
    assert!(faults.is_empty(), "{} worlds: {faults:#?}", faults.len());
}
