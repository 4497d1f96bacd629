//! Workers that restart under the same id.
//!
//! Guards against tasks that are started again after they ended well, or more often than their
//! attempts allow, once a worker has restarted.  A new life numbers its ends from 1.  An owner that
//! went on with the count of the former life took ends up to that count for accepted ones: the next
//! poll told the worker to forget them, a list then showed neither run nor end, and the run was
//! taken for lost.  The cause was that the state of a worker was kept by its id, which outlives a
//! life.  In one incident 17 of 48 workers restarted under their ids.  All 59 runs lost in this way
//! whose worker is known were on these, each of which lost its ends from the first one until their
//! numbers had passed the former count; the other workers lost none of 599
//! (docs/incidents/workers-that-start-again.md).
//!
//! Here each worker has ended 20 short tasks, some seconds' work, before it restarts, and is down
//! for 2.5 s, so the ends of its next life have numbers far below the former count.

mod cell_core;
mod lives;

use cell_core::{step, worker};
use crossweir::cell::job::JobState;
use crossweir::cell::order::{EndKind, Order, StopOrder};
use crossweir::embedded::worker::MemoryWorker;
use lives::{Site, UNIX_START, WorkerLife};
use yare::parameterized;

/// The number of ends that the former life of each worker has listed, all of them recorded and
/// forgotten.
const FORMER_ENDS: u32 = 20;
/// How long a worker is down before its next life starts, in milliseconds.
const DOWN: u64 = 2_500;

/// A site on which each worker has run [`FORMER_ENDS`] tasks to their ends.
fn site_with_history(workers: u16) -> Site {
    let mut site = Site::new(workers);
    let tasks = FORMER_ENDS * u32::from(workers);
    let id = site.submit(50, vec![step(tasks, 4_000)]);
    site.pass(3_000);
    assert_eq!(site.state(id), Some(JobState::Succeeded));
    site
}

/// Adds a second worker and lets 12 s pass, longer than any lease, while the first worker is
/// unreachable; then the first one is reachable again.
fn add_worker_and_reconnect(site: &mut Site, alive: WorkerLife) {
    site.entries.push(worker(1));
    site.begin_life(1);
    site.list(1);
    site.pass(12_000);
    site.reconnect(0, alive);
    site.pass(8_000);
}

#[test]
fn what_ended_well_in_a_later_life_is_not_started_again() {
    // Arrange
    let mut site = site_with_history(1);
    site.restart(0, DOWN);
    site.pass(500);

    // Act
    let id = site.submit(300, vec![step(3, 1_000)]);
    site.pass(3_000);

    // Assert
    site.check_runs();
    assert_eq!(site.state(id), Some(JobState::Succeeded));
}

#[test]
fn what_failed_in_a_later_life_counts_as_an_attempt() {
    // Arrange
    let mut site = site_with_history(1);
    site.restart(0, DOWN);
    for alive in site.alive.values_mut() {
        alive.memory.fails_all_tasks = true;
    }
    site.pass(500);

    // Act: two attempts are allowed.
    let id = site.submit(300, vec![step(1, 1_000)]);
    site.pass(3_000);

    // Assert
    site.check_runs();
    assert_eq!(site.state(id), Some(JobState::Failed));
}

#[test]
fn a_worker_that_was_lost_and_comes_back_is_used_again() {
    // Arrange: a life that was given an epoch of its own is cut off, and the platform drops its
    // entry.
    let mut site = site_with_history(2);
    site.restart(0, 100);
    site.pass(500);
    let cut = site.cut_off(0);
    site.pass(60_000);

    // Act
    site.reconnect(0, cut);
    site.pass(1_000);
    let id = site.submit(900, vec![step(12, 4_000)]);
    site.pass(700);

    // Assert: two workers have room for eight such tasks, one for four.
    assert_eq!(site.count_running(id), 8);
    site.check_runs();
}

/// What first shows the owner that another life has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum First {
    /// The platform lists the new life.
    Row,
    /// The new life answers a poll.
    Poll,
    /// The new life answers a start.
    Start,
}

/// A worker restarts at once or after a silence.  Its next life has half of the capacity and fails
/// all tasks, while tasks run and wait on the site.  No state that the owner kept of the former
/// life may be applied to the next one.
#[parameterized(
    row = { First::Row, 0, true, false },
    row_after_silence = { First::Row, 300, true, false },
    row_without_store = { First::Row, 0, false, false },
    row_after_silence_without_store = { First::Row, 300, false, false },
    row_under_another_owner = { First::Row, 0, true, true },
    row_after_silence_under_another_owner = { First::Row, 300, true, true },
    poll = { First::Poll, 0, true, false },
    poll_after_silence = { First::Poll, 300, true, false },
    poll_without_store = { First::Poll, 0, false, false },
    poll_after_silence_without_store = { First::Poll, 300, false, false },
    poll_under_another_owner = { First::Poll, 0, true, true },
    poll_after_silence_under_another_owner = { First::Poll, 300, true, true },
    start = { First::Start, 0, true, false },
    start_without_store = { First::Start, 0, false, false },
    poll_after_a_lease = { First::Poll, 6_000, true, false },
    poll_after_a_lease_under_another_owner = { First::Poll, 6_000, true, true },
)]
fn state_of_a_former_life_is_not_applied_to_the_next_one(
    first: First,
    down: u64,
    store_is_up: bool,
    changes_owner: bool,
) {
    // Arrange: three full workers, and more tasks that wait for room.
    let mut site = site_with_history(3);
    let filling = site.submit(700, vec![step(24, 4_000)]);
    site.pass(200);
    site.store_is_up = store_is_up;

    // Act
    site.end_life(0);
    site.pass(down);
    site.entries[0].capacity.millicores /= 2;
    site.begin_life(0);
    site.alive
        .values_mut()
        .next()
        .expect("a worker")
        .memory
        .fails_all_tasks = true;
    if changes_owner {
        site.take_over();
    }
    match first {
        First::Row => site.list(0),
        First::Poll => {}
        First::Start => {
            let _ = site.submit(300, vec![step(2, 100)]);
            site.decide();
        }
    }
    site.pass(500);
    site.list(0);
    site.pass(2_000);
    site.store_is_up = true;
    for alive in site.alive.values_mut() {
        alive.memory.fails_all_tasks = false;
    }
    let later = site.submit(300, vec![step(24, 1_000)]);
    site.pass(12_000);

    // Assert
    site.check_runs();
    assert!(site.state(filling).is_some_and(JobState::is_final));
    assert_eq!(site.state(later), Some(JobState::Succeeded));
}

#[test]
fn a_life_that_begins_to_report_its_start_time_goes_on() {
    // Arrange: a worker that does not report when its life started runs four tasks.
    let mut site = Site::new(1);
    let unreported = WorkerLife::begun_at(site.now, MemoryWorker::default());
    site.entries[0].life.born = None;
    site.alive
        .insert(site.entries[0].life.id.clone(), unreported);
    site.pass(200);
    site.list(0);
    site.pass(200);
    let id = site.submit(600, vec![step(4, 1_000)]);
    site.pass(300);

    // Act
    for alive in site.alive.values_mut() {
        alive.memory.set_born(UNIX_START);
    }
    site.pass(3_000);

    // Assert
    site.check_runs();
    let runs = site.runs_by_task();
    let of_job = runs.iter().filter(|(task, _)| task.step.job == id);
    let ended: Vec<_> = of_job
        .flat_map(|(_, runs)| runs)
        .map(|run| run.ended.map(|end| end.1))
        .collect();
    assert_eq!(ended, [Some(EndKind::Done); 4]);
    assert_eq!(site.state(id), Some(JobState::Succeeded));
}

#[test]
fn two_workers_of_one_id_get_no_work_until_one_is_gone() {
    // Arrange: two processes answer under one id in turn, the one that started earlier also after
    // the later one has replaced it, so neither can be the only life.
    let mut site = site_with_history(2);
    site.restart(0, 0);
    site.pass(500);
    let _second = site.cut_off(0);
    let first = WorkerLife::begun_at(site.now, MemoryWorker::born_at(UNIX_START + 1_000));
    site.entries[0].life.born = Some(UNIX_START + 1_000);
    site.reconnect(0, first);
    site.pass(500);
    assert_eq!(site.cell.counts().rival_lives, 1);

    // Act
    let id = site.submit(900, vec![step(8, 4_000)]);
    site.pass(300);

    // Assert: only the other worker is used, until a single process has answered under the id for
    // long.
    assert_eq!(site.count_running(id), 4);
    site.pass(30_000);
    let later = site.submit(900, vec![step(8, 4_000)]);
    site.pass(300);
    assert_eq!(site.count_running(later), 8);
}

/// A site whose worker keeps ends that are recorded and that it was not told to forget yet.
fn site_with_recorded_ends() -> Site {
    let mut site = site_with_history(1);
    site.pass(10_000);
    let id = site.submit(50, vec![step(2, 1_000)]);
    site.decide();
    site.now += 60;
    site.poll_all();
    site.record();
    assert_eq!(site.state(id), Some(JobState::Succeeded));
    site
}

#[test]
fn nothing_is_forgotten_after_a_start_that_another_clock_has_answered() {
    // Arrange
    let mut site = site_with_recorded_ends();
    let key = site.cell.worker_keys()[0];
    let before = site.cell.poll_order(key, site.now).expect("a worker");

    // Act: the worker restarts unnoticed, and a start is sent to it before any poll.
    site.end_life(0);
    site.begin_life(0);
    let id = site.submit(300, vec![step(1, 1_000)]);
    site.decide();
    let after = site.cell.poll_order(key, site.now).expect("a worker");

    // Assert
    assert_eq!(site.count_running(id), 1);
    assert!(before.forget > 0);
    assert_eq!((after.forget, after.due, after.wait), (0, None, 0));
}

#[test]
fn a_worker_listed_with_another_start_time_is_only_polled() {
    // Arrange
    let mut site = site_with_recorded_ends();
    let key = site.cell.worker_keys()[0];

    // Act: the entry has another start time; the worker has not answered yet.
    let mut entry = site.entries[0].clone();
    entry.life.born = Some(UNIX_START + site.now);
    entry.address.set_port(9_999);
    site.cell.list_worker(entry.clone(), site.now);
    let id = site.submit(300, vec![step(1, 1_000)]);
    site.decide();
    let order = site.cell.poll_order(key, site.now).expect("a worker");

    // Assert
    assert_eq!(site.count_running(id), 0);
    assert_eq!((order.forget, order.due, order.wait), (0, None, 0));
    assert_eq!(order.to.address, entry.address);

    // Act: the known life answers, so the entry was out of date.
    site.answer_poll(&order);
    site.decide();

    // Assert
    assert_eq!(site.count_running(id), 1);
}

/// Guards against a task that runs again after its end: a life was replaced by the next one before
/// it had answered under an epoch of its own.  Its only end had been accepted with its first list,
/// and the number of that end was carried over to the next life, whose first end therefore passed
/// for accepted.
#[test]
fn ends_of_a_life_count_although_the_one_before_was_heard_only_once() {
    // Arrange: a start for the first life arrives late and is executed by the second one, which
    // lists its end.
    let mut site = site_with_history(1);
    let _ = site.submit(50, vec![step(1, 1_000)]);
    site.cell.schedule(site.now);
    let late = site.cell.take_orders();
    let key = site.cell.worker_keys()[0];
    site.end_life(0);
    site.begin_life(0);
    for order in &late {
        if let Order::Start(start) = order {
            let _ = site.execute_start(start);
        }
    }
    site.now += 100;
    let order = site.cell.poll_order(key, site.now).expect("a worker");
    site.answer_poll(&order);

    // Act: the third life begins before the second one is heard again.
    site.end_life(0);
    site.begin_life(0);
    site.pass(10);
    site.list(0);
    site.pass(30_000);
    let id = site.submit(300, vec![step(1, 1_000)]);
    site.pass(3_000);

    // Assert
    site.check_runs();
    assert_eq!(site.state(id), Some(JobState::Succeeded));
}

/// Guards against a task that runs again after its end: a start meant for a former life gave the
/// next one a lease of 10 s, since that life has another clock.  The start was refused, so the life
/// ran nothing when it was first heard, and the roster did not mention its lease.  Later runs are
/// under that lease all the same, so a successor that could not reach the worker took its task for
/// ended too early.
#[test]
fn a_successor_waits_for_the_lease_that_an_empty_life_may_have_had() {
    // Arrange: a former owner's start and the stop for it arrive at the next life, the stop first.
    let mut site = site_with_history(1);
    site.pass(20_000);
    let first = site.submit(50, vec![step(1, 1_000)]);
    site.cell.schedule(site.now);
    let late = site.cell.take_orders();
    site.take_over();
    site.pass(1_000);
    assert_eq!(site.state(first), Some(JobState::Succeeded));
    site.end_life(0);
    site.begin_life(0);
    for order in &late {
        if let Order::Start(start) = order {
            let stop = StopOrder {
                to: start.to.clone(),
                run: None,
                task: start.task,
                number: start.number,
            };
            let now = site.now;
            let alive = site.alive.get_mut(&start.to.life.id).expect("it is up");
            alive
                .stop(&stop, now)
                .expect("a life that has seen no epoch");
            let _ = site.execute_start(start);
        }
    }
    site.list(0);
    site.pass(1_000);

    // Act: a task begins there, the worker is cut off, and another owner follows.
    let id = site.submit(6_500, vec![step(1, 1_000)]);
    site.pass(100);
    let alive = site.cut_off(0);
    site.take_over();
    add_worker_and_reconnect(&mut site, alive);

    // Assert
    site.check_runs();
    assert_eq!(site.state(id), Some(JobState::Succeeded));
}

/// Guards against a task that runs again after its end: a start was answered by a life that had
/// begun while the start was on its way.  By the clock of that life the lease ended far ahead, so
/// the worker granted the longest lease, while the owner assumed the lease that it had meant for
/// the former life.
#[test]
fn a_start_that_another_clock_has_answered_has_the_longest_lease() {
    // Arrange: the worker restarts unnoticed, and a start is sent to it before any poll.
    let mut site = site_with_history(1);
    site.pass(20_000);
    site.end_life(0);
    site.begin_life(0);
    let id = site.submit(6_500, vec![step(1, 1_000)]);
    site.decide();
    assert_eq!(site.count_running(id), 1);

    // Act: it is cut off, and another worker joins.
    let alive = site.cut_off(0);
    add_worker_and_reconnect(&mut site, alive);

    // Assert
    site.check_runs();
    assert_eq!(site.state(id), Some(JobState::Succeeded));
}

/// Guards against a task that runs twice at the same time: for a next life, the roster named the
/// jobs that a former owner had left on the life before, although the present owner had used that
/// life since.  A start that the next life executed belonged to none of the named jobs.
#[test]
fn work_inherited_with_a_former_life_is_not_recorded_for_the_next_one() {
    // Arrange: one worker is silent for a while, so the roster names its jobs; the other one keeps
    // the next owner from settling.
    let mut site = site_with_history(2);
    let first = site.cut_off(0);
    site.pass(300);
    let second = site.cut_off(1);
    site.take_over();
    site.reconnect(0, first);
    site.pass(100);

    // Act: the first worker restarts while a start is on its way to it, and executes that start.
    let id = site.submit(1_500, vec![step(1, 1_000)]);
    site.cell.schedule(site.now);
    let late = site.cell.take_orders();
    site.end_life(0);
    site.begin_life(0);
    site.list(0);
    site.now += 10;
    site.poll_all();
    for order in &late {
        if let Order::Start(start) = order {
            let _ = site.execute_start(start);
        }
    }
    for _ in 0..3 {
        site.tick();
        site.record();
    }
    assert_eq!(site.count_running(id), 1);
    let first = site.cut_off(0);
    site.take_over();
    site.reconnect(1, second);
    site.pass(1_000);
    site.reconnect(0, first);
    site.pass(5_000);

    // Assert
    site.check_runs();
    assert_eq!(site.state(id), Some(JobState::Succeeded));
}
