//! Entries of former lives that arrive late.
//!
//! Guards against runs that are written off while they go on, so that their tasks run twice at the
//! same time, and some fail once more often than their attempts allow.  In one incident a third of
//! a site's workers was cut off for 2 s and crashed meanwhile; in the seconds after that, tasks ran
//! twice up to 23 times a day.  A write of a former life, which was on its way when that life
//! crashed, reached the store after the next life had been listed and had got tasks.  The owner had
//! dropped the former id, so it took the entry for a newer life of the machine and wrote off the
//! runs of the present one.  The owner's log showed `worker lost` for the reason `restarted` four
//! times with runs, each time for a worker that had been heard 190 ms before, in the same instant
//! as `worker listed` for an id lost a second earlier; 17 of the 31 ids listed after the cut had
//! been lost before.  The cause was that the order of lives was inferred from the order in which
//! their entries were read (docs/incidents/late-entries.md).
//!
//! Two workers with one task each, and the entries in the order of that log, reproduce it.

mod cell_core;

use cell_core::{Bench, configuration, job, queue, starts, step, worker};
use crossweir::cell::job::JobState;
use crossweir::cell::life::Life;
use crossweir::cell::order::{PollFailure, PollOrder, PollReport, Refusal, StartOutcome};
use crossweir::cell::roster::RosterEntry;
use crossweir::cell::worker::WorkerEntry;
use crossweir::cell::{Cell, WorkerKey};
use crossweir::clock::Millis;
use crossweir::queue::Queue;
use yare::parameterized;

/// How long the tasks have run before anything happens: longer than `tuning::FRESH_START_AGE`, so
/// that their starts are no longer fresh.
const RUN_TIME: Millis = 250;

/// The entry of another life of the first worker's machine, at the same address.
fn life(id: &str) -> WorkerEntry {
    WorkerEntry {
        life: Life::of(id),
        ..worker(0)
    }
}

/// An owner that knows the first two workers; the life of the first one has the id `id`.
fn bench_with(id: &str, q: &Queue) -> Bench {
    let mut cell = Cell::new(16, configuration(std::slice::from_ref(q)), 1_000);
    cell.list_workers(vec![life(id), worker(1)], 1_000);
    let mut bench = Bench::with(cell, 1_000);
    bench.poll_all();
    bench.pass(10);
    bench
}

/// The next poll of the worker with this id, if it is known.
fn poll_order_to(bench: &mut Bench, id: &str) -> Option<PollOrder> {
    let now = bench.now;
    let mut keys = bench.cell.worker_keys().into_iter();
    keys.find_map(|key| {
        let order = bench.cell.poll_order(key, now)?;
        (order.to.life.id == id).then_some(order)
    })
}

/// The key of the worker with this id, if it is known.
fn key_of(bench: &mut Bench, id: &str) -> Option<WorkerKey> {
    poll_order_to(bench, id).map(|order| order.to.worker)
}

/// Answers a poll as another life at the address does: the polled life is gone.
fn answer_gone(bench: &mut Bench, order: &PollOrder) {
    let gone = PollFailure::Refused(Refusal::Gone);
    bench.cell.poll_failed(order.to.worker, gone, bench.now);
}

/// Answers a poll for a worker without runs and ends.
fn answer_empty(bench: &mut Bench, order: &PollOrder) {
    let report = PollReport {
        clock: bench.now,
        ..PollReport::default()
    };
    bench.cell.poll_answered(order, &report, bench.now);
}

/// An owner that has lost the former life; the next life of that machine is listed, has answered
/// and runs a task.
fn bench_after_a_crash(q: &Queue) -> Bench {
    let mut bench = bench_with("former", q);
    let former = poll_order_to(&mut bench, "former").expect("it is listed");
    answer_gone(&mut bench, &former);
    bench.cell.list_worker(life("present"), bench.now);
    let present = poll_order_to(&mut bench, "present").expect("it is listed");
    answer_empty(&mut bench, &present);
    bench.pass(10);
    run_on_both(&mut bench, q);
    bench
}

/// A successor that knows only the present life, from its predecessor's roster.
fn bench_of_successor(q: &Queue) -> Bench {
    let mut cell = Cell::new(32, configuration(std::slice::from_ref(q)), 1_000);
    let roster = [life("present"), worker(1)].map(|worker| RosterEntry {
        worker,
        jobs: None,
        long_lease: Some(false),
        lost: None,
    });
    cell.restore_roster(roster.to_vec(), 1_000);
    cell.list_workers(vec![life("present"), worker(1)], 1_000);
    let mut bench = Bench::with(cell, 1_000);
    bench.poll_all();
    bench.pass(10);
    run_on_both(&mut bench, q);
    bench
}

/// Starts a task that fills a worker on each of the two.
fn run_on_both(bench: &mut Bench, q: &Queue) {
    bench.accept(&job(1, q, vec![step(2, 16_000)]));
    let orders = starts(&bench.decide());
    assert_eq!(orders.len(), 2, "one start for each worker");
    for order in orders {
        let outcome = StartOutcome::Started;
        let clock = Some(bench.now);
        bench
            .cell
            .start_answered(order.run, outcome, clock, bench.now);
    }
    bench.pass(RUN_TIME);
}

#[parameterized(
    owner_that_lost_the_former_life = { bench_after_a_crash, false },
    owner_that_lost_it_and_reads_all_entries = { bench_after_a_crash, true },
    successor_that_never_heard_of_it = { bench_of_successor, false },
    successor_that_reads_all_entries = { bench_of_successor, true },
)]
fn a_late_entry_of_a_former_life_ends_no_other_life(
    arrange: fn(&Queue) -> Bench,
    reads_all_entries: bool,
) {
    // Arrange
    let q = queue("q", 0);
    let mut bench = arrange(&q);
    let present = key_of(&mut bench, "present").expect("it is listed");

    // Act: the entry of the former life is listed again, and the present life answers at its
    // address that the former one is gone.
    if reads_all_entries {
        let entries = vec![life("present"), life("former"), worker(1)];
        bench.cell.list_workers(entries, bench.now);
    } else {
        bench.cell.list_worker(life("former"), bench.now);
    }
    let former = poll_order_to(&mut bench, "former").expect("it is listed");
    answer_gone(&mut bench, &former);
    bench.cell.list_worker(worker(2), bench.now);
    let other = poll_order_to(&mut bench, "w2").expect("it is listed");
    answer_empty(&mut bench, &other);
    bench.pass(10);

    // Assert: both runs go on, so nothing starts on the free worker.
    assert_eq!(key_of(&mut bench, "present"), Some(present));
    assert!(starts(&bench.decide()).is_empty(), "both tasks run already");
}

#[test]
fn a_next_life_that_answers_ends_the_former_one_at_once() {
    // Arrange: the former life runs a task and is not polled any more.
    let q = queue("q", 0);
    let mut bench = bench_with("former", &q);
    run_on_both(&mut bench, &q);

    // Act
    bench.cell.list_worker(life("next"), bench.now);
    let next = poll_order_to(&mut bench, "next").expect("it is listed");
    answer_empty(&mut bench, &next);
    bench.pass(10);

    // Assert: the task of the former life starts again.
    assert_eq!(key_of(&mut bench, "former"), None);
    assert_eq!(starts(&bench.decide()).len(), 1);
}

#[test]
fn an_answer_to_an_earlier_poll_does_not_end_a_life_that_was_listed_after_it() {
    // Arrange: a poll is sent to the second life; before its answer arrives, a third one is listed.
    let q = queue("q", 0);
    let mut bench = bench_with("first", &q);
    bench.cell.list_worker(life("second"), bench.now);
    let second = poll_order_to(&mut bench, "second").expect("it is listed");
    bench.cell.list_worker(life("third"), bench.now);

    // Act: the second life answers. Whether it began before or after the third is not known.
    answer_empty(&mut bench, &second);

    // Assert: the first life, which was known before the poll, has ended; the third is polled.
    assert_eq!(key_of(&mut bench, "first"), None);
    assert!(key_of(&mut bench, "third").is_some());
}

#[test]
fn an_entry_without_an_answer_proves_no_crash() {
    // Arrange: a start is not answered, and its worker is neither listed nor heard any more.
    let q = queue("q", 0);
    let mut bench = bench_with("former", &q);
    bench.accept(&job(1, &q, vec![step(1, 16_000)]));
    let order = starts(&bench.decide()).remove(0);
    bench
        .cell
        .start_answered(order.run, StartOutcome::Unanswered, None, bench.now);
    let id = order.to.life.id.clone();
    bench.cell.unlist_worker(&id, bench.now);
    for _ in 0..40 {
        bench
            .cell
            .poll_failed(order.to.worker, PollFailure::Unanswered, bench.now);
        bench.pass(250);
        bench.record();
    }
    assert_eq!(key_of(&mut bench, &id), None, "the worker is given up");

    // Act: an entry of another life of the same machine is listed, whether a former or a later one.
    let of_machine = WorkerEntry {
        life: Life::of("other"),
        ..if id == "former" { worker(0) } else { worker(1) }
    };
    bench.cell.list_worker(of_machine, bench.now);
    bench.pass(10);

    // Assert
    assert_eq!(bench.cell.counts().crashes, 0);
    assert_eq!(bench.state(1), Some(JobState::Queued));

    // Act: that life answers, so whatever ran on its machine before has ended.
    let other = poll_order_to(&mut bench, "other").expect("it is listed");
    answer_empty(&mut bench, &other);
    bench.pass(10);

    // Assert
    assert_eq!(bench.cell.counts().crashes, 1);
}
