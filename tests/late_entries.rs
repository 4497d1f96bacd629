//! The entry of a life that was over ended the worker that lived at its address.
//!
//! Seen: a third of a site's workers was cut off for 2 s and crashed meanwhile.  In the seconds after,
//! tasks ran twice at once, up to 23 times a day, and some failed once more than they may.
//! How it came about: a write of the former life, which had been on its way when it crashed, reached the
//! store after the next life had been listed and was at work.  The owner had dropped the former id, so it
//! took the entry for a newer life of the machine and wrote off the runs of the one that lived.  They
//! went on, and their tasks were started again elsewhere.
//! Cause: the order of lives was inferred from the order in which their entries were read.
//! Proof: in the owner's log, `worker lost` for the reason `restarted` four times with runs, each time of
//! a worker heard 190 ms before, in the same instant in which `worker listed` told of an id lost a second
//! earlier; of 31 ids listed after the cut 17 had been lost before.
//!
//! The load: two workers, one task on each, and the entries in the order of the log; the rest of that
//! site only adds to the count.

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

/// A task that has run for so long is not just being started.
const WHILE: Millis = 250;

/// Another life of the first worker's machine, at the same address.
fn life(id: &str) -> WorkerEntry {
    WorkerEntry {
        life: Life::of(id),
        ..worker(0)
    }
}

/// An owner that has used the first two workers, of which the first is at `id`.
fn bench_with(id: &str, q: &Queue) -> Bench {
    let mut cell = Cell::new(16, configuration(std::slice::from_ref(q)), 1_000);
    cell.list_workers(vec![life(id), worker(1)], 1_000);
    let mut bench = Bench::with(cell, 1_000);
    bench.poll_all();
    bench.pass(10);
    bench
}

/// The look that is sent next to the worker with this id, if it is known.
fn look_to(bench: &mut Bench, id: &str) -> Option<PollOrder> {
    let now = bench.now;
    let mut keys = bench.cell.worker_keys().into_iter();
    keys.find_map(|key| {
        let order = bench.cell.poll_order(key, now)?;
        (order.to.life.id == id).then_some(order)
    })
}

fn key_of(bench: &mut Bench, id: &str) -> Option<WorkerKey> {
    look_to(bench, id).map(|order| order.to.worker)
}

/// Another life answers at the address.
fn answer_gone(bench: &mut Bench, order: &PollOrder) {
    let gone = PollFailure::Refused(Refusal::Gone);
    bench.cell.poll_failed(order.to.worker, gone, bench.now);
}

/// A worker that holds nothing answers.
fn answer_empty(bench: &mut Bench, order: &PollOrder) {
    let look = PollReport {
        clock: bench.now,
        ..PollReport::default()
    };
    bench.cell.poll_answered(order, &look, bench.now);
}

/// The former life is lost, the next one is listed, answers and gets a task.
fn bench_after_a_crash(q: &Queue) -> Bench {
    let mut bench = bench_with("former", q);
    let former = look_to(&mut bench, "former").expect("it is listed");
    answer_gone(&mut bench, &former);
    bench.cell.list_worker(life("present"), bench.now);
    let present = look_to(&mut bench, "present").expect("it is listed");
    answer_empty(&mut bench, &present);
    bench.pass(10);
    run_on_both(&mut bench, q);
    bench
}

/// A successor that knows the present life alone, as its predecessor's roster tells it.
fn bench_of_successor(q: &Queue) -> Bench {
    let mut cell = Cell::new(32, configuration(std::slice::from_ref(q)), 1_000);
    let roster = [life("present"), worker(1)].map(|worker| RosterEntry {
        worker,
        jobs: None,
        long_lease: false,
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

/// One task that fills a worker runs on each of the two.
fn run_on_both(bench: &mut Bench, q: &Queue) {
    bench.accept(&job(1, q, vec![step(2, 16_000)]));
    let orders = starts(&bench.decide());
    assert_eq!(orders.len(), 2, "one on each");
    for order in orders {
        let outcome = StartOutcome::Started;
        let clock = Some(bench.now);
        bench
            .cell
            .start_answered(order.run, outcome, clock, bench.now);
    }
    bench.pass(WHILE);
}

#[parameterized(
    owner_that_lost_the_former_life = { bench_after_a_crash, false },
    the_same_and_all_entries_read = { bench_after_a_crash, true },
    successor_that_never_heard_of_it = { bench_of_successor, false },
    the_successor_and_all_entries_read = { bench_of_successor, true },
)]
fn a_late_entry_of_a_former_life_ends_nobody(arrange: fn(&Queue) -> Bench, at_once: bool) {
    // Arrange
    let q = queue("q", 0);
    let mut bench = arrange(&q);
    let present = key_of(&mut bench, "present").expect("it is listed");

    // Act: the entry of the former life is there again, and what lives at the address says so.
    if at_once {
        let entries = vec![life("present"), life("former"), worker(1)];
        bench.cell.list_workers(entries, bench.now);
    } else {
        bench.cell.list_worker(life("former"), bench.now);
    }
    let former = look_to(&mut bench, "former").expect("it is listed");
    answer_gone(&mut bench, &former);
    bench.cell.list_worker(worker(2), bench.now);
    let other = look_to(&mut bench, "w2").expect("it is listed");
    answer_empty(&mut bench, &other);
    bench.pass(10);

    // Assert: both runs go on, so nothing starts on the worker that is free.
    assert_eq!(key_of(&mut bench, "present"), Some(present));
    assert!(starts(&bench.decide()).is_empty(), "both run already");
}

#[test]
fn a_next_life_that_answers_ends_the_former_one_at_once() {
    // Arrange: the former life runs a task and does not answer any more.
    let q = queue("q", 0);
    let mut bench = bench_with("former", &q);
    run_on_both(&mut bench, &q);

    // Act
    bench.cell.list_worker(life("next"), bench.now);
    let next = look_to(&mut bench, "next").expect("it is listed");
    answer_empty(&mut bench, &next);
    bench.pass(10);

    // Assert: its task starts again.
    assert_eq!(key_of(&mut bench, "former"), None);
    assert_eq!(starts(&bench.decide()).len(), 1);
}

#[test]
fn an_answer_to_an_earlier_look_does_not_end_a_life_that_was_listed_after_it() {
    // Arrange: a look goes to one life; before its answer arrives, another one is listed.
    let q = queue("q", 0);
    let mut bench = bench_with("first", &q);
    bench.cell.list_worker(life("second"), bench.now);
    let second = look_to(&mut bench, "second").expect("it is listed");
    bench.cell.list_worker(life("third"), bench.now);

    // Act: which of the two began later is not known.
    answer_empty(&mut bench, &second);

    // Assert: the one that was known before is over, the other one is asked.
    assert_eq!(key_of(&mut bench, "first"), None);
    assert!(key_of(&mut bench, "third").is_some());
}

#[test]
fn an_entry_that_nobody_answers_for_proves_no_crash() {
    // Arrange: a start was not answered, and its worker is neither listed nor heard any more.
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
    assert_eq!(key_of(&mut bench, &id), None, "it is given up");

    // Act: an entry of the same machine is there, of a life that was before or comes after.
    let of_machine = WorkerEntry {
        life: Life::of("other"),
        ..if id == "former" { worker(0) } else { worker(1) }
    };
    bench.cell.list_worker(of_machine, bench.now);
    bench.pass(10);

    // Assert
    assert_eq!(bench.cell.counts().crashes, 0);
    assert_eq!(bench.state(1), Some(JobState::Queued));

    // Act: it answers, so whatever ran on its machine before is over.
    let other = look_to(&mut bench, "other").expect("it is listed");
    answer_empty(&mut bench, &other);
    bench.pass(10);

    // Assert
    assert_eq!(bench.cell.counts().crashes, 1);
}
