//! Lists of a worker that were written before others and arrive after them.
//!
//! Seen: a run that had begun three milliseconds before was taken for over, its task was
//! started a second time on the same worker, and its room was given out again.
//!
//! How it came about: two looks at the worker were on their way while a start was.  One list,
//! written after the start, showed the run.  The other, sent later but written before the start,
//! arrived next and did not show it.
//!
//! Cause: a list was taken for proof of an end if its look had been sent after the start's
//! answer, and for a start whose answer had not come, that time was zero.  Looks were told apart by
//! milliseconds, and the order in which they were sent was taken for that of the lists.
//!
//! Proof: the tests below, the random runs of `tests/chaos.rs` with calls that take their time,
//! and the days that docs/FINDINGS.md names.

mod cell_core;

use cell_core::{Bench, job, queue, starts, step, stops};
use crossweir::cell::order::{
    EndEntry, EndKind, PollOrder, PollReport, RunningEntry, StartOrder, StartOutcome,
};

/// Sends a look to the one worker.
fn send_look(bench: &mut Bench) -> PollOrder {
    let worker = bench.worker(0);
    let order = bench.cell.poll_order(worker, bench.now);
    order.expect("a known worker")
}

/// A list arrives.
fn arrives(bench: &mut Bench, sent: PollOrder, list: &PollReport) {
    bench.cell.poll_answered(&sent, list, bench.now);
}

/// The answer to a start arrives.
fn start_answered(bench: &mut Bench, start: &StartOrder, outcome: StartOutcome) {
    bench
        .cell
        .start_answered(start.run, outcome, None, bench.now);
}

/// Says that the run goes on.
fn running(start: &StartOrder) -> RunningEntry {
    RunningEntry {
        task: start.task,
        number: start.number,
        checkpoint: String::new(),
        percent: 1,
        measurement: None,
    }
}

/// Says that the run was stopped.
fn stopped(start: &StartOrder) -> EndEntry {
    EndEntry {
        end_number: 1,
        task: start.task,
        number: start.number,
        how: EndKind::Stopped,
        checkpoint: String::new(),
    }
}

/// An end of a job that nobody knows.
fn end_of_another_job(place: u64) -> EndEntry {
    EndEntry {
        end_number: place,
        task: "0000000000000009.0.0.0".parse().expect("a task"),
        number: place,
        how: EndKind::Done,
        checkpoint: String::new(),
    }
}

/// A list that a worker writes now.
fn list(bench: &Bench, running: &[RunningEntry], ended: &[EndEntry]) -> PollReport {
    PollReport {
        born: None,
        clock: bench.now,
        running: running.to_vec(),
        ended: ended.to_vec(),
    }
}

/// One worker, and a job whose task takes all of it.
fn one_task_that_fills_a_worker() -> Bench {
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(1, 16_000)]));
    bench.now += 10;
    bench
}

/// Orders the start of the one task.
fn order_start(bench: &mut Bench) -> StartOrder {
    starts(&bench.decide()).remove(0)
}

/// How many starts are ordered now.
fn started_again(bench: &mut Bench) -> usize {
    starts(&bench.decide()).len()
}

#[test]
fn a_list_from_before_a_start_does_not_end_a_run_that_another_list_has_shown() {
    // Arrange: the look that is sent first is held at the worker, and answered last there.
    let mut bench = one_task_that_fills_a_worker();
    let held = send_look(&mut bench);
    let start = order_start(&mut bench);
    bench.now += 1;
    let quick = send_look(&mut bench);
    let before = list(&bench, &[], &[]);
    bench.now += 1;
    let after = list(&bench, &[running(&start)], &[]);

    // Act: the start's answer is still on its way.
    arrives(&mut bench, held, &after);
    arrives(&mut bench, quick, &before);

    // Assert.
    assert_eq!(started_again(&mut bench), 0, "it runs");
}

#[test]
fn of_two_looks_of_one_millisecond_the_older_list_does_not_end_a_run() {
    // Arrange.
    let mut bench = one_task_that_fills_a_worker();
    let start = order_start(&mut bench);
    let first = send_look(&mut bench);
    let second = send_look(&mut bench);
    let before = list(&bench, &[], &[]);
    let after = list(&bench, &[running(&start)], &[]);

    // Act.
    arrives(&mut bench, second, &after);
    arrives(&mut bench, first, &before);

    // Assert.
    assert_eq!(started_again(&mut bench), 0, "it runs");
}

#[test]
fn of_two_looks_of_one_millisecond_the_older_list_brings_no_run_back() {
    // Arrange: a run is shown, and its end by the other list.
    let mut bench = one_task_that_fills_a_worker();
    let start = order_start(&mut bench);
    start_answered(&mut bench, &start, StartOutcome::Started);
    bench.now += 10;
    let first = send_look(&mut bench);
    let second = send_look(&mut bench);
    let before = list(&bench, &[running(&start)], &[]);
    let after = list(&bench, &[], &[stopped(&start)]);

    // Act.
    arrives(&mut bench, second, &after);
    arrives(&mut bench, first, &before);

    // Assert: the task starts again, since nothing of it runs.
    assert_eq!(bench.cell.counts().adopted, 0);
    assert_eq!(started_again(&mut bench), 1);
}

#[test]
fn of_several_looks_at_once_a_list_from_before_an_end_brings_no_run_back() {
    // Arrange: the look that is sent first is answered last by the worker, and arrives first.
    let mut bench = one_task_that_fills_a_worker();
    let start = order_start(&mut bench);
    start_answered(&mut bench, &start, StartOutcome::Started);
    bench.now += 10;
    let held = send_look(&mut bench);
    bench.now += 1;
    let second = send_look(&mut bench);
    bench.now += 1;
    let third = send_look(&mut bench);
    let before = list(&bench, &[running(&start)], &[]);
    bench.now += 1;
    let after = list(&bench, &[], &[stopped(&start)]);

    // Act.
    arrives(&mut bench, held, &after);
    arrives(&mut bench, third, &before);
    arrives(&mut bench, second, &before);

    // Assert.
    assert_eq!(bench.cell.counts().adopted, 0);
    assert_eq!(started_again(&mut bench), 1);
}

#[test]
fn a_list_that_is_no_proof_of_an_end_stops_no_run_either() {
    // Arrange: as above, and the task has begun anew when the old list arrives.
    let mut bench = one_task_that_fills_a_worker();
    let first = order_start(&mut bench);
    start_answered(&mut bench, &first, StartOutcome::Started);
    bench.now += 10;
    let held = send_look(&mut bench);
    let quick = send_look(&mut bench);
    let before = list(&bench, &[running(&first)], &[]);
    let after = list(&bench, &[], &[stopped(&first)]);
    arrives(&mut bench, held, &after);
    let second = order_start(&mut bench);
    start_answered(&mut bench, &second, StartOutcome::Started);

    // Act.
    arrives(&mut bench, quick, &before);

    // Assert: nothing is stopped, and nothing is started.
    let orders = bench.decide();
    assert_eq!((stops(&orders).len(), starts(&orders).len()), (0, 0));
}

#[test]
fn a_start_that_is_answered_after_lists_is_over_only_by_a_look_that_was_sent_later() {
    // Arrange: one list shows the run, then its start is answered.
    let mut bench = one_task_that_fills_a_worker();
    let shows = send_look(&mut bench);
    let start = order_start(&mut bench);
    let old = send_look(&mut bench);
    let before = list(&bench, &[], &[]);
    bench.now += 2;
    let after = list(&bench, &[running(&start)], &[]);
    arrives(&mut bench, shows, &after);
    let older = send_look(&mut bench);
    bench.now += 2;
    start_answered(&mut bench, &start, StartOutcome::Started);

    // Act: two lists that were on their way, and one whose look is sent after all that.
    arrives(&mut bench, old, &before);
    let by_old = started_again(&mut bench);
    arrives(&mut bench, older, &after);
    let by_older = started_again(&mut bench);
    let new = send_look(&mut bench);
    let gone = list(&bench, &[], &[]);
    arrives(&mut bench, new, &gone);
    let by_new = started_again(&mut bench);

    // Assert: the last one is proof, though it was sent in the millisecond of the answer.
    assert_eq!((by_old, by_older, by_new), (0, 0, 1));
}

#[test]
fn a_stop_is_settled_only_by_a_look_that_was_sent_after_its_confirmation() {
    // Arrange: a start is not answered, and its stop is confirmed while a look is on its way.
    let mut bench = one_task_that_fills_a_worker();
    let start = order_start(&mut bench);
    start_answered(&mut bench, &start, StartOutcome::Unanswered);
    let stop = stops(&bench.decide()).remove(0);
    let before = send_look(&mut bench);
    let written = list(&bench, &[], &[]);
    bench.cell.stop_confirmed(stop.run.expect("a run of ours"));
    let after = send_look(&mut bench);

    // Act.
    arrives(&mut bench, before, &written);
    let by_before = started_again(&mut bench);
    arrives(&mut bench, after, &written);
    let by_after = started_again(&mut bench);

    // Assert: the second one is proof, though all of it is one millisecond.
    assert_eq!((by_before, by_after), (0, 1));
}

#[test]
fn a_list_that_was_on_its_way_keeps_the_room_of_a_run() {
    // Arrange: another job waits for the room.
    let mut bench = one_task_that_fills_a_worker();
    let held = send_look(&mut bench);
    let start = order_start(&mut bench);
    let quick = send_look(&mut bench);
    let before = list(&bench, &[], &[]);
    let after = list(&bench, &[running(&start)], &[]);
    bench.accept(&job(2, &queue("q", 0), vec![step(16, 1_000)]));

    // Act.
    arrives(&mut bench, held, &after);
    arrives(&mut bench, quick, &before);

    // Assert.
    assert_eq!(started_again(&mut bench), 0, "the worker is full");
}

#[test]
fn a_list_that_cannot_hold_all_ends_does_not_end_a_run() {
    // Arrange: a run has ended well, behind as many ends as a list holds.
    let mut bench = one_task_that_fills_a_worker();
    let start = order_start(&mut bench);
    start_answered(&mut bench, &start, StartOutcome::Started);
    bench.now += 10;
    let others: Vec<EndEntry> = (1..=500).map(end_of_another_job).collect();
    let done = EndEntry {
        end_number: 501,
        how: EndKind::Done,
        ..stopped(&start)
    };

    // Act.
    let first = send_look(&mut bench);
    let full = list(&bench, &[], &others);
    arrives(&mut bench, first, &full);
    let by_full = started_again(&mut bench);
    let second = send_look(&mut bench);
    let rest = list(&bench, &[], &[done]);
    arrives(&mut bench, second, &rest);
    let by_rest = started_again(&mut bench);

    // Assert: it is never started again.
    assert_eq!((by_full, by_rest), (0, 0));
}
