//! What barred starts cost callers whose tasks crash nothing.
//!
//! A start whose answer does not come may still be carried out by a later life of its worker, so it
//! stays with its task for a while (`cell::barred_start`).  Here the starts are lost on their way,
//! and never carried out: the tasks are innocent.  Each test forces one order of events, and checks
//! that the job neither fails nor waits for long.

mod cell_core;
mod lives;

use std::sync::Arc;

use cell_core::step;
use crossweir::cell::job::JobState;
use crossweir::cell::life::Life;
use crossweir::cell::order::{Order, StartOrder, StartOutcome, StopOrder};
use crossweir::cell::spec::{JobId, Step};
use crossweir::cell::{RunKey, tuning};
use crossweir::clock::Millis;
use crossweir::embedded::store::MAX_ROW_BYTES;
use crossweir::embedded::worker::MemoryWorker;
use crossweir::evacuation::Halls;
use lives::{Site, UNIX_START, WorkerLife};

/// The time between two scheduling rounds.
const TICK: Millis = 10;
/// How long an owner waits for the answer to a start.
const ORDER_TIMEOUT: Millis = 250;
/// How long a job is watched.
const WATCH_TIME: Millis = 60_000;
/// How long the tasks of these tests run.
const LENGTH: Millis = 1_000;
/// How long a task runs that is to be interrupted.
const LONG: Millis = 5_000;
/// How long a worker that restarts is down.
const DOWN_TIME: Millis = 200;
/// The longest that the owner may need for a start after so many lost ones: for each of them the
/// wait for its answer, and twice as long for the stop, a poll and a record.
const TIME_PER_LOST_START: Millis = 4 * ORDER_TIMEOUT;

/// A site on whose way to the workers starts get lost.
struct Network {
    site: Site,
    /// How many of the next starts get lost.
    losses_left: usize,
    /// The number of starts that got lost.
    lost: usize,
    /// The ids of the workers to which the lost starts were sent.
    lost_to: Vec<String>,
    /// The number of starts that workers have executed.
    executed: usize,
    /// When the owner gives up waiting for the answer to a start.
    timeouts: Vec<(Millis, RunKey)>,
    /// The longest row that the owner has tried to write, in bytes.
    longest_row: usize,
}

impl Network {
    fn new(workers: u16) -> Self {
        Self {
            site: Site::new(workers),
            losses_left: 0,
            lost: 0,
            lost_to: Vec::new(),
            executed: 0,
            timeouts: Vec::new(),
            longest_row: 0,
        }
    }

    fn submit(&mut self, step: Step) -> JobId {
        self.site.submit(LENGTH, vec![step])
    }

    fn round(&mut self) {
        self.site.now += TICK;
        let now = self.site.now;
        for (_, run) in self.timeouts.extract_if(.., |(at, _)| *at <= now) {
            let outcome = StartOutcome::Unanswered;
            self.site.cell.start_answered(run, outcome, None, now);
        }
        self.site.poll_all();
        self.site.tick();
        self.site.cell.schedule(now);
        for order in self.site.cell.take_orders() {
            match order {
                Order::Start(order) => self.send_start(&order),
                Order::Stop(order) => self.send_stop(&order),
                Order::Advise(_) => unreachable!("no queue needs advice"),
            }
        }
        self.record();
    }

    fn send_start(&mut self, order: &StartOrder) {
        let now = self.site.now;
        if self.losses_left > 0 {
            self.losses_left -= 1;
            self.lost += 1;
            self.lost_to.push(order.to.life.id.clone());
            self.timeouts.push((now + ORDER_TIMEOUT, order.run));
            return;
        }
        let (outcome, clock) = self.site.execute_start(order);
        self.executed += usize::from(outcome == StartOutcome::Started);
        let cell = &mut self.site.cell;
        cell.start_answered(order.run, outcome, clock, now);
    }

    fn send_stop(&mut self, order: &StopOrder) {
        let now = self.site.now;
        let alive = self.site.alive.get_mut(&order.to.life.id);
        let stopped = alive.map(|alive| alive.stop(order, now));
        if let (Some(Ok(())), Some(run)) = (stopped, order.run) {
            self.site.cell.stop_confirmed(run);
        }
    }

    /// Records what has changed, as a store does that takes rows of up to [`MAX_ROW_BYTES`].
    fn record(&mut self) {
        let sizes = self.row_sizes();
        self.longest_row = self.longest_row.max(sizes);
        if sizes <= MAX_ROW_BYTES || !self.site.store_is_up {
            return self.site.record();
        }
        let batch = self.site.cell.take_batch(100);
        self.site.cell.batch_rejected(batch);
    }

    /// The longest of the rows that the owner would write now.
    fn row_sizes(&mut self) -> usize {
        let batch = self.site.cell.take_batch(100);
        let text = |row| serde_json::to_string(row).expect("a row");
        let sizes = batch.rows.iter().map(|(_, _, row)| text(row).len());
        let longest = sizes.max().unwrap_or_default();
        self.site.cell.batch_failed(batch);
        longest
    }

    fn pass(&mut self, time: Millis) {
        let until = self.site.now + time;
        while self.site.now < until {
            self.round();
        }
    }

    /// Passes rounds until `is_reached` holds, and returns how long that took; no more than
    /// [`WATCH_TIME`].
    fn time_until(&mut self, is_reached: impl Fn(&Self) -> bool) -> Millis {
        let began = self.site.now;
        while !is_reached(self) && self.site.now < began + WATCH_TIME {
            self.round();
        }
        self.site.now - began
    }

    /// Loses this many starts, one after the other, until the owner has written all of them off.
    fn lose_starts(&mut self, count: usize) {
        self.losses_left = count;
        let until = self.lost + count;
        self.time_until(|network| network.lost == until);
        self.pass(2 * ORDER_TIMEOUT);
    }

    /// Restarts all workers under their ids.
    fn restart_all(&mut self) {
        let count = self.site.entries.len();
        for index in 0..count {
            self.site.end_life(index);
        }
        self.pass(DOWN_TIME);
        for index in 0..count {
            self.site.begin_life(index);
            self.site.list(index);
        }
    }

    /// Replaces all workers by ones with new ids on the same machines.
    fn replace_all(&mut self) {
        let count = self.site.entries.len();
        for index in 0..count {
            self.site.end_life(index);
            let id = self.site.entries[index].life.id.clone();
            let now = self.site.now;
            self.site.cell.unlist_worker(&id, now);
        }
        self.pass(DOWN_TIME);
        let now = self.site.now;
        let born = UNIX_START + now;
        for index in 0..count {
            let entry = &mut self.site.entries[index];
            entry.life = Life {
                id: format!("{}-new", entry.life.id),
                born: Some(born),
            };
            let id = entry.life.id.clone();
            let alive = WorkerLife::begun_at(now, MemoryWorker::born_at(born));
            self.site.alive.insert(id, alive);
            self.site.list(index);
        }
    }

    /// The indices of the workers to which the lost starts were sent.
    fn workers_of_lost_starts(&self) -> Vec<usize> {
        let entries = self.site.entries.iter().enumerate();
        let of_lost = entries.filter(|(_, entry)| self.lost_to.contains(&entry.life.id));
        of_lost.map(|(index, _)| index).collect()
    }

    /// Two owners are lost within a short time.
    fn lose_two_owners(&mut self) {
        for _ in 0..2 {
            self.timeouts.clear();
            self.site.take_over();
            self.pass(2 * TICK);
        }
    }

    fn state(&self, id: JobId) -> JobState {
        self.site.state(id).expect("a job")
    }
}

/// A step whose tasks start together or not at all.
fn gang(tasks: u32, millicores: u64) -> Step {
    Step {
        gang: true,
        ..step(tasks, millicores)
    }
}

/// The time from the submission of a task to its first executed start, of which the first `lost`
/// starts get lost.
fn time_to_start(network: &mut Network, lost: usize) -> Millis {
    network.losses_left = lost;
    network.submit(step(1, 1_000));
    let time = network.time_until(|network| network.executed > 0);
    println!("{lost} lost starts: executed after {time} ms");
    time
}

#[test]
fn a_task_whose_starts_get_lost_does_not_wait_long() {
    // Arrange: no worker restarts, and all answer each poll.
    let times = [1, 2, 3, 4, 5, 6, 8].map(|lost| {
        // Act.
        let time = time_to_start(&mut Network::new(8), lost);
        (lost, time)
    });

    // Assert.
    let is_long = |&(lost, time): &(usize, Millis)| time > lost as Millis * TIME_PER_LOST_START;
    let long: Vec<_> = times.into_iter().filter(is_long).collect();
    assert!(
        long.is_empty(),
        "(lost starts, ms to the next one): {long:?}"
    );
}

#[test]
fn a_task_whose_starts_get_lost_does_not_wait_long_after_two_owners() {
    // Arrange: the job was handed in before two owners were lost.
    let times = [1, 2, 3, 4].map(|lost| {
        let mut network = Network::new(8);
        network.losses_left = lost;
        network.submit(step(1, 1_000));
        network.lose_two_owners();

        // Act.
        let time = network.time_until(|network| network.executed > 0);
        println!("{lost} lost starts: executed after {time} ms");
        (lost, time)
    });

    // Assert.
    let is_long = |&(lost, time): &(usize, Millis)| time > lost as Millis * TIME_PER_LOST_START;
    let long: Vec<_> = times.into_iter().filter(is_long).collect();
    assert!(
        long.is_empty(),
        "(lost starts, ms to the next one): {long:?}"
    );
}

#[test]
fn a_task_whose_starts_get_lost_does_not_wait_for_workers_that_are_cut_off() {
    // Arrange: four starts got lost, and their workers are cut off for good; others are idle.
    let mut network = Network::new(12);
    network.submit(step(1, 1_000));
    network.lose_starts(4);

    // Act.
    for worker in network.workers_of_lost_starts() {
        network.site.cut_off(worker);
    }
    let time = network.time_until(|network| network.executed > 0);

    // Assert.
    println!("executed after {time} ms");
    assert!(time <= TIME_PER_LOST_START, "executed after {time} ms");
}

#[test]
fn a_task_whose_start_got_lost_starts_again_while_the_store_is_away() {
    // Arrange.
    let mut network = Network::new(4);
    network.site.store_is_up = false;

    // Act.
    let time = time_to_start(&mut network, 1);

    // Assert.
    assert!(time <= TIME_PER_LOST_START, "executed after {time} ms");
}

#[test]
fn lost_starts_and_restarts_of_their_workers_do_not_fail_a_job() {
    // Arrange: four starts got lost, and their workers live on.
    let mut network = Network::new(8);
    let id = network.submit(step(1, 1_000));
    network.lose_starts(4);
    let executed = network.executed;

    // Act: all workers restart, as in an upgrade.
    network.restart_all();
    network.pass(WATCH_TIME);

    // Assert.
    println!(
        "{executed} executed before, {} at the end",
        network.executed
    );
    assert_eq!(network.state(id), JobState::Succeeded);
}

#[test]
fn one_restart_of_a_worker_to_which_starts_got_lost_does_not_fail_a_job() {
    // Arrange: the worker got none of the starts, and lives on.
    let mut network = Network::new(8);
    let id = network.submit(step(1, 1_000));
    network.lose_starts(4);
    let workers = network.workers_of_lost_starts();

    // Act.
    for &worker in &workers {
        network.site.restart(worker, DOWN_TIME);
    }
    network.pass(WATCH_TIME);

    // Assert.
    println!("workers {workers:?}, {} executed", network.executed);
    assert_eq!(network.state(id), JobState::Succeeded);
}

#[test]
fn lost_starts_and_workers_with_new_ids_do_not_fail_a_job() {
    // Arrange: four starts got lost, and their workers live on.
    let mut network = Network::new(8);
    let id = network.submit(step(1, 1_000));
    network.lose_starts(4);

    // Act: all workers are replaced by ones with new ids, which a late start cannot reach.
    network.replace_all();
    network.pass(WATCH_TIME);

    // Assert.
    println!("{} executed", network.executed);
    assert_eq!(network.state(id), JobState::Succeeded);
}

/// A barred start is forgotten without a write, so a later owner reads it again.
#[test]
fn starts_that_got_lost_long_ago_do_not_fail_a_task_that_runs() {
    // Arrange: four starts got lost.  The hall was evacuated until none of them could arrive any
    // more, and now the task runs.
    let mut network = Network::new(12);
    let lasting = Step {
        lasting: true,
        ..step(1, 1_000)
    };
    let id = network.site.submit(10 * WATCH_TIME, vec![lasting]);
    network.losses_left = 4;
    network.time_until(|network| network.lost == 4);
    let hall = network.site.entries[0].hall.clone();
    let evacuated = Arc::new(Halls::from([hall]));
    network.site.cell.set_evacuated_halls(&evacuated);
    network.pass(tuning::MAX_ORDER_DELAY + 3_000);
    for worker in network.workers_of_lost_starts() {
        network.site.end_life(worker);
    }
    network.site.cell.set_evacuated_halls(&Arc::default());
    network.pass(LENGTH);
    for worker in network.workers_of_lost_starts() {
        network.site.begin_life(worker);
        network.site.list(worker);
    }
    network.pass(WATCH_TIME);
    assert_eq!(network.executed, 1, "the task runs elsewhere");

    // Act.
    network.lose_two_owners();
    network.pass(5 * LENGTH);

    // Assert.
    println!("{} executed", network.executed);
    assert_eq!(network.state(id), JobState::Running);
}

/// Three crashes are recorded, which are one too few; then one crash less is enough.
#[test]
fn a_task_that_has_lost_three_workers_goes_on_after_two_owners() {
    // Arrange: the task runs well, and its workers crash under it for another reason.
    let mut network = Network::new(4);
    let id = network.site.submit(LONG, vec![step(1, 1_000)]);
    for starts in 1..=3 {
        network.time_until(|network| network.executed == starts);
        network.pass(LENGTH);
        network.losses_left = usize::from(starts == 3);
        network.restart_all();
    }
    network.time_until(|network| network.lost == 1);
    network.pass(5 * TICK);

    // Act.
    network.lose_two_owners();
    let time = network.time_until(|network| network.state(id).is_final());

    // Assert.
    println!(
        "{} executed, {:?} after {time} ms",
        network.executed,
        network.state(id)
    );
    assert_eq!(network.state(id), JobState::Succeeded);
}

#[test]
fn a_large_gang_of_which_one_start_got_lost_does_not_fail() {
    // Arrange.
    let mut network = Network::new(32);
    network.losses_left = 1;
    let id = network.submit(gang(400, 1_000));

    // Act.
    network.pass(WATCH_TIME);

    // Assert.
    println!("longest row: {} bytes", network.longest_row);
    assert_eq!(network.state(id), JobState::Succeeded);
}

#[test]
fn a_large_job_whose_starts_all_got_lost_does_not_fail() {
    // Arrange: the owner stalls for longer than it waits for answers.
    let mut network = Network::new(40);
    network.losses_left = 500;
    let id = network.submit(step(500, 1_000));

    // Act.
    network.pass(WATCH_TIME);

    // Assert.
    println!(
        "{} lost, longest row: {} bytes",
        network.lost, network.longest_row
    );
    assert_eq!(network.state(id), JobState::Succeeded);
}

#[test]
fn a_large_job_does_not_fail_when_two_owners_are_lost() {
    // Arrange: the tasks wait for their first owner.
    let mut network = Network::new(40);
    let id = network.submit(step(500, 1_000));

    // Act.
    network.lose_two_owners();
    network.pass(WATCH_TIME);

    // Assert.
    println!(
        "{} executed, longest row: {} bytes",
        network.executed, network.longest_row
    );
    assert_eq!(network.state(id), JobState::Succeeded);
}
