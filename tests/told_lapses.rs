//! What a silent worker alone can tell of, when the cell is given up.
//!
//! The roster keeps a silent worker whose ends are taken in and not recorded: "until then only
//! this worker can tell a successor of them".  What is told of its lapse must not let the
//! successor go on without it.

mod cell_core;

use cell_core::{Bench, configuration, job, listed_end, queue, starts, step, worker};
use crossweir::cell::Cell;
use crossweir::cell::order::{EndKind, PollFailure};
use crossweir::embedded::store::MAX_ROW_BYTES;
use crossweir::store::encode;

/// How many starts the next owner orders at once of a task whose end the former owner noted
/// `silence` ms before it gave the cell up, and could not record.
fn started_again_after(silence: u64) -> usize {
    // Arrange: a task ends well on the only worker, and the end is heard of, not recorded.
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
    assert_eq!(roster.len(), 1, "a successor is to hear of the end from it");

    // Act: the cell is given up while the record of the job is still outstanding.
    let lapses = bench.cell.seal_silent(bench.now);
    let mut next = Cell::new(2, configuration(std::slice::from_ref(&q)), bench.now);
    next.set_lanes(&[true, true]);
    next.restore_roster(roster, bench.now);
    next.list_workers(vec![worker(0), worker(1)], bench.now);
    next.apply_remaining_leases(&lapses, bench.now);
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
fn a_lease_that_goes_on_keeps_a_task_with_a_noted_end_from_starting() {
    assert_eq!(started_again_after(1_000), 0);
}

#[test]
fn an_end_that_was_noted_before_the_lease_was_over_is_not_forgotten_with_it() {
    assert_eq!(started_again_after(5_000), 0, "it has ended well");
}

#[test]
fn a_silent_worker_that_is_not_listed_stays_in_the_roster_until_its_ends_are_recorded() {
    // Arrange: a task ends well, and the end is heard of, not recorded.
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(2, 16_000)]));
    let start = starts(&bench.decide()).remove(0);
    bench.start(&start);
    let (key, task) = (bench.worker(0), start.task.to_string());
    let done = listed_end(1, &task, start.number, EndKind::Done);
    bench.poll_with_lists(key, Vec::new(), vec![done]);
    bench.pass(10);

    // Act: the store is away, so its entry lapses, and it falls silent to this owner.
    bench.cell.unlist_worker(&worker(0).life.id, bench.now);
    bench
        .cell
        .poll_failed(key, PollFailure::Unanswered, bench.now);
    bench.pass(3_000);
    let during_the_lease = bench.cell.roster().1.len();
    bench.pass(2_000);
    let after_it = bench.cell.roster().1.len();
    bench.record();
    bench.pass(10);
    let once_recorded = bench.cell.roster().1.len();

    // Assert.
    assert_eq!((during_the_lease, after_it, once_recorded), (1, 1, 0));
}

/// The load: an owner that is cut off from all workers gives up a cell of 6,000.
#[test]
fn what_is_told_of_silent_workers_fits_into_a_row_however_many_they_are() {
    let q = queue("q", 0);
    let mut bench = Bench::new(6_000, std::slice::from_ref(&q));
    for key in bench.cell.worker_keys() {
        bench
            .cell
            .poll_failed(key, PollFailure::Unanswered, bench.now);
    }

    let lapses = bench.cell.seal_silent(bench.now);

    assert!(encode(&lapses).len() < MAX_ROW_BYTES);
    assert!(!lapses.within.is_empty());
}
