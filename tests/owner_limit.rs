//! An owner that can start fewer tasks than are handed in: jobs in time go first, and how long new
//! jobs will wait is known.

mod cell_core;

use std::collections::{BTreeMap, VecDeque};

use cell_core::{Bench, job, queue, shared_configuration, starts, step, workspace};
use crossweir::cell::options::Options;
use crossweir::cell::order::{EndKind, StartOrder};
use crossweir::cell::record::JobRow;
use crossweir::cell::spec::{JobId, Step};
use crossweir::cell::start_wait::StartWaits;
use crossweir::cell::tuning;
use crossweir::clock::Millis;
use crossweir::queue::Queue;

const WORKERS: u16 = 100;
/// The tasks of a job.
const TASKS: u32 = 5;
/// How long the owner's link takes for each start, one after the other.
const CARRY_TIME: Millis = 25;
/// The starts that the link carries in a round trip: as many as fit into the least window.
const STARTS: usize = tuning::MIN_START_WINDOW as usize;
/// How long they take, in milliseconds.
const ROUND_TRIP: Millis = STARTS as Millis * CARRY_TIME;
/// How many round trips an overload lasts.
const ROUNDS: u64 = 100;
/// After how many of them the owner knows how many starts it carries.
const FIRST_ROUNDS: u64 = 15;
/// The time that a job has beyond its critical path.
const SLACK: Millis = 2_000;

fn urgent() -> Queue {
    Queue {
        stretch: 1.0,
        slack: SLACK,
        ..queue("urgent", 0)
    }
}

fn batch() -> Queue {
    Queue {
        stretch: 1.0,
        slack: 60_000,
        ..queue("batch", 2)
    }
}

/// An owner whose link carries one start at a time, and the starts that it has sent.
struct SlowOwner {
    bench: Bench,
    in_flight: VecDeque<StartOrder>,
    /// When each job was handed in, and how many of its tasks were started in time.
    jobs: BTreeMap<JobId, (Millis, u32)>,
    /// How many starts came too late for their job.
    late_starts: u32,
}

impl SlowOwner {
    fn new() -> Self {
        Self {
            bench: Bench::new(WORKERS, &[urgent(), batch()]),
            in_flight: VecDeque::new(),
            jobs: BTreeMap::new(),
            late_starts: 0,
        }
    }

    /// Hands in a job of [`TASKS`] tasks.
    fn submit(&mut self, queue: &Queue) -> JobId {
        self.submit_step(queue, step(TASKS, 1))
    }

    fn submit_step(&mut self, queue: &Queue, step: Step) -> JobId {
        let row = job(self.jobs.len() as u64 + 1, queue, vec![step]);
        self.accept(&row);
        row.id
    }

    fn accept(&mut self, row: &JobRow) {
        self.jobs.insert(row.id, (self.bench.now, 0));
        self.bench.accept(row);
    }

    /// Lets a round trip pass, in which the link carries [`STARTS`] starts.
    fn carry(&mut self) {
        (0..STARTS).for_each(|_| self.carry_one());
        self.bench.poll_all();
    }

    fn carry_one(&mut self) {
        self.bench.pass(CARRY_TIME);
        if let Some(start) = self.in_flight.pop_front() {
            self.bench.start(&start);
        }
        for start in starts(&self.bench.decide()) {
            self.note(&start);
            self.in_flight.push_back(start);
        }
    }

    fn note(&mut self, start: &StartOrder) {
        let (since, in_time) = self.jobs.get_mut(&start.task.step.job).expect("a job");
        match self.bench.now <= *since + SLACK {
            true => *in_time += 1,
            false => self.late_starts += 1,
        }
    }

    /// Hands in twice as many urgent tasks as can be started.
    fn overload(&mut self, rounds: u64) {
        for round in 0..rounds {
            let jobs = 2 * STARTS as u64 * (round + 1) / u64::from(TASKS)
                - 2 * STARTS as u64 * round / u64::from(TASKS);
            (0..jobs).for_each(|_| {
                self.submit(&urgent());
            });
            self.carry();
        }
    }

    /// How many jobs had all their tasks started in time.
    fn in_time(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|(_, in_time)| *in_time == TASKS).count()
    }

    /// How long the first start of a new job of this queue waits.
    fn wait(&self, queue: &Queue) -> Millis {
        let waits = self.bench.cell.start_waits(self.bench.now);
        waits.wait(queue.priority, 0)
    }
}

/// Guards against a queue of late jobs that makes each later job late: an owner with a full link served
/// the oldest first, and hardly any in time.
#[test]
fn at_twice_its_load_an_owner_serves_most_jobs_in_time_that_it_could() {
    // Arrange.
    let mut owner = SlowOwner::new();

    // Act.
    owner.overload(ROUNDS);

    // Assert: four in five of those that fit, beside the share of late ones.
    let all = ROUNDS as usize * STARTS / TASKS as usize;
    let for_in_time = tuning::LATE_ROUNDS as usize - 1;
    let expected = all * for_in_time / tuning::LATE_ROUNDS as usize * 4 / 5;
    let in_time = owner.in_time();
    assert!(in_time >= expected, "{in_time} jobs, expected {expected}");
}

#[test]
fn late_jobs_get_a_share_of_the_starts() {
    // Arrange.
    let mut owner = SlowOwner::new();

    // Act.
    owner.overload(ROUNDS);

    // Assert.
    let starts = ROUNDS as u32 * STARTS as u32;
    let least = starts / tuning::LATE_ROUNDS / 2;
    assert!(owner.late_starts >= least, "{} starts", owner.late_starts);
}

/// Guards against accepting what can't be started in its time: nobody knew that the owner was the
/// limit, since the workers had room.
#[test]
fn the_wait_for_starts_is_what_goes_before_over_the_rate() {
    // Arrange.
    let mut owner = SlowOwner::new();
    owner.overload(FIRST_ROUNDS);
    let before = owner.wait(&urgent());

    // Act.
    owner.submit_step(&urgent(), step(20 * STARTS as u32, 1));
    owner.carry();

    // Assert: 20 round trips, of which the late ones get a share.
    let added = owner.wait(&urgent()) - before;
    let least = 20 * ROUND_TRIP;
    assert!((least..2 * least).contains(&added), "{before} + {added}");
}

#[test]
fn work_that_is_less_urgent_makes_no_job_wait_for_starts() {
    // Arrange.
    let mut owner = SlowOwner::new();

    // Act.
    owner.submit_step(&batch(), step(1_000, 1));
    (0..FIRST_ROUNDS * 2).for_each(|_| owner.carry());

    // Assert.
    assert_eq!(owner.wait(&urgent()), 0);
    assert!(
        owner.wait(&batch()) > ROUND_TRIP,
        "{}",
        owner.wait(&batch())
    );
}

#[test]
fn an_owner_that_holds_no_start_back_makes_no_job_wait() {
    // Arrange.
    let mut bench = Bench::new(1, &[urgent()]);

    // Act: what waits has no room.
    bench.accept(&job(1, &urgent(), vec![step(200, 16_000)]));
    for _ in 0..20 {
        bench.start_all();
        bench.pass(ROUND_TRIP);
        bench.poll_all();
    }

    // Assert.
    assert_eq!(bench.cell.start_waits(bench.now), StartWaits::default());
}

/// Guards against waits that outlast the overload: callers were refused by an owner that was idle.
#[test]
fn the_wait_for_starts_is_over_once_nothing_is_held_back() {
    // Arrange.
    let mut owner = SlowOwner::new();
    owner.overload(FIRST_ROUNDS);
    assert!(owner.wait(&urgent()) > 0);

    // Act.
    (0..FIRST_ROUNDS * 4).for_each(|_| owner.carry());

    // Assert.
    assert_eq!(owner.wait(&urgent()), 0);
}

/// Guards against jobs that are let in, begun and then left: of what they had done nothing came.
#[yare::parameterized(
    where_jobs_are_refused = { true, false },
    where_all_are_accepted = { false, true },
)]
fn a_job_that_has_begun_is_finished_first_where_late_ones_are_refused(
    reject_late: bool,
    new_one_overtakes: bool,
) {
    // Arrange: an owner at its limit has begun a job that is late by now.
    let mut owner = SlowOwner::new();
    owner.bench.cell.set_options(Options {
        reject_late,
        ..Options::default()
    });
    let large = step(20 * STARTS as u32, 1);
    owner.submit_step(&urgent(), large);
    (0..ROUNDS / 8).for_each(|_| owner.carry());

    // Act.
    owner.submit(&urgent());
    (0..STARTS).for_each(|_| owner.carry_one());

    // Assert.
    let mut in_flight = owner.in_flight.iter();
    let is_of_new = in_flight.any(|start| start.task.step.job == JobId(2));
    assert_eq!(is_of_new, new_one_overtakes);
}

/// Guards against jobs that are refused because of tasks that have no room, and so take no starts.
#[test]
fn tasks_without_room_make_no_job_wait_for_starts() {
    // Arrange: a task fills a worker.
    let mut owner = SlowOwner::new();
    owner.submit_step(&batch(), step(10 * u32::from(WORKERS), 16_000));

    // Act: most workers are full, and the owner is still at its limit.
    (0..u64::from(WORKERS) / STARTS as u64 - 2).for_each(|_| owner.carry());

    // Assert.
    let wait = owner.wait(&batch());
    assert!((1..=3 * ROUND_TRIP).contains(&wait), "{wait}");
}

/// Guards against callers that are refused because of another workspace's tasks beyond its cap.
#[test]
fn tasks_beyond_the_cap_of_their_workspace_make_no_job_wait_for_starts() {
    // Arrange.
    const CORES: u64 = 20;
    let mut owner = SlowOwner::new();
    let team = workspace("team", CORES);
    let lax = Queue {
        name: String::from("lax"),
        priority: 0,
        ..batch()
    };
    let queues = [urgent(), batch(), lax.clone()];
    let config = shared_configuration(2, &queues, std::slice::from_ref(&team));
    owner.bench.cell.configure(config);
    let mut capped = job(1, &lax, vec![step(1_000, 1_000)]);
    capped.workspace = Some(team);
    owner.accept(&capped);
    owner.submit_step(&batch(), step(1_000, 1));

    // Act.
    (0..FIRST_ROUNDS).for_each(|_| owner.carry());

    // Assert.
    assert_eq!(owner.wait(&urgent()), 0);
    assert!(owner.wait(&batch()) > ROUND_TRIP);
}

/// Guards against refusals by what the owner carried while it was slowed long before.
#[test]
fn the_rate_of_an_earlier_overload_is_forgotten() {
    // Arrange.
    let mut owner = SlowOwner::new();
    owner.overload(FIRST_ROUNDS);
    (0..FIRST_ROUNDS * 4).for_each(|_| owner.carry());

    // Act.
    owner.submit_step(&urgent(), step(1_000, 1));
    owner.carry();

    // Assert: starts are held back again, and how many are carried is not known yet.
    assert!(!owner.in_flight.is_empty());
    assert_eq!(owner.wait(&urgent()), 0);
}

/// Guards against refusals by an owner that was frozen: no start was sent meanwhile.
#[test]
fn the_time_for_which_the_owner_stood_still_does_not_lower_its_rate() {
    // Arrange.
    let mut owner = SlowOwner::new();
    owner.submit_step(&batch(), step(5_000, 1));
    (0..FIRST_ROUNDS).for_each(|_| owner.carry());
    let rate = |owner: &SlowOwner| owner.bench.cell.start_waits(owner.bench.now).rate;
    let before = rate(&owner);

    // Act.
    owner.bench.pass(900);
    owner.bench.poll_all();
    owner.carry();

    // Assert.
    let after = rate(&owner);
    assert!(before > 0 && after >= before * 9 / 10, "{before}, {after}");
}

/// Guards against rows that name each done task anew in each transaction: they took two fifths of an
/// owner's link.
#[test]
fn a_done_task_adds_hardly_anything_to_the_row_of_its_job() {
    // Arrange.
    const DONE: u32 = 100;
    let mut bench = Bench::new(WORKERS, &[batch()]);
    bench.accept(&job(1, &batch(), vec![step(2 * DONE, 1)]));
    let started = bench.start_all();

    // Act.
    for start in started.iter().take(DONE as usize) {
        bench.end(start.task, start.number, EndKind::Done);
    }
    bench.poll_all();
    let rows = bench.record().rows;

    // Assert: a few bytes for each gap.
    let row = serde_json::to_string(&rows[0].2).expect("JSON");
    assert!(row.len() < 4 * DONE as usize, "{} bytes", row.len());
}
