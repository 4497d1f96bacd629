//! Ends that only a silent worker can report, when the owner gives the cell up.
//!
//! The roster keeps a silent worker whose ends have been accepted and not recorded, since until
//! then only this worker can report them to a successor.  The remaining lease that the owner passes
//! on must not let the successor go on without that worker.

mod cell_core;

use cell_core::{Bench, configuration, job, listed_end, queue, starts, step, worker};
use crossweir::cell::Cell;
use crossweir::cell::order::{EndKind, PollFailure};
use crossweir::embedded::store::MAX_ROW_BYTES;
use crossweir::store::encode;

/// Returns how many starts of a task the next owner orders at once, if the former owner accepted
/// the task's end `silence` ms before it gave the cell up, and could not record it.
fn started_again_after(silence: u64) -> usize {
    // Arrange: a task ends well on the only worker, and the end is accepted but not recorded.
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    let row = job(1, &q, vec![step(1, 16_000), step(1, 1_000)]);
    bench.accept(&row);
    let start = starts(&bench.decide())
        .into_iter()
        .find(|start| start.task.to_string() == "0000000000000001.0.0.0")
        .expect("a start");
    bench.start(&start);
    let (key, task) = (bench.worker(0), start.task.to_string());
    let done = listed_end(1, &task, start.number, EndKind::Done);
    bench.poll_with_lists(key, Vec::new(), vec![done]);
    bench
        .cell
        .poll_failed(key, PollFailure::Unanswered, bench.now);
    bench.pass(silence);
    let (_, roster) = bench.cell.roster();
    assert_eq!(
        roster.len(),
        1,
        "a successor has to learn of the end from it"
    );

    // Act: the cell is given up before the end is recorded.
    let leases = bench.cell.seal_silent(bench.now);
    let mut next = Cell::new(2, configuration(std::slice::from_ref(&q)), bench.now);
    next.set_lanes(&[true, true]);
    next.restore_roster(roster, bench.now);
    next.list_workers(vec![worker(0), worker(1)], bench.now);
    next.apply_remaining_leases(&leases, bench.now);
    next.accept(&row, None, true, bench.now);
    let mut next = Bench::with(next, bench.now);
    next.now += 10;
    let other = next
        .cell
        .worker_keys()
        .into_iter()
        .nth(1)
        .expect("the other worker");
    next.poll(other);
    next.pass(10);
    next.poll(other);
    next.pass(10);
    starts(&next.decide())
        .iter()
        .filter(|again| again.task.to_string() == task)
        .count()
}

#[test]
fn a_task_with_an_unrecorded_end_does_not_start_during_the_lease() {
    assert_eq!(started_again_after(1_000), 0);
}

#[test]
fn a_task_with_an_unrecorded_end_does_not_start_after_the_lease_either() {
    assert_eq!(started_again_after(5_000), 0, "it has ended well");
}

#[test]
fn a_silent_worker_that_is_not_listed_stays_in_the_roster_until_its_ends_are_recorded() {
    // Arrange: a task ends well, and the end is accepted but not recorded.
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(2, 16_000)]));
    let start = starts(&bench.decide()).remove(0);
    bench.start(&start);
    let (key, task) = (bench.worker(0), start.task.to_string());
    let done = listed_end(1, &task, start.number, EndKind::Done);
    bench.poll_with_lists(key, Vec::new(), vec![done]);
    bench.pass(10);

    // Act: the store is unavailable, so the worker's entry expires, and it falls silent.
    bench.cell.unlist_worker(&worker(0).life.id, bench.now);
    bench
        .cell
        .poll_failed(key, PollFailure::Unanswered, bench.now);
    bench.pass(3_000);
    let during_the_lease = bench.cell.roster().1.len();
    bench.pass(2_000);
    let after_the_lease = bench.cell.roster().1.len();
    bench.record();
    bench.pass(10);
    let once_recorded = bench.cell.roster().1.len();

    // Assert.
    assert_eq!(
        (during_the_lease, after_the_lease, once_recorded),
        (1, 1, 0)
    );
}

/// An owner that is cut off from all of its 6,000 workers gives the cell up.
#[test]
fn the_remaining_leases_of_any_number_of_silent_workers_fit_into_a_row() {
    let q = queue("q", 0);
    let mut bench = Bench::new(6_000, std::slice::from_ref(&q));
    for key in bench.cell.worker_keys() {
        bench
            .cell
            .poll_failed(key, PollFailure::Unanswered, bench.now);
    }

    let leases = bench.cell.seal_silent(bench.now);

    assert!(encode(&leases).len() < MAX_ROW_BYTES);
    assert!(!leases.within.is_empty());
}
