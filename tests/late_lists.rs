//! Answers to polls that a worker wrote earlier than others and that arrive after them.
//!
//! Guards against taking a run that began three milliseconds before for ended, so that its task is
//! started a second time on the same worker and its room is given out again.  That happens if two
//! polls of the worker and a start are in flight at the same time.  One answer, written after the
//! start, lists the run.  The other, whose poll was sent later but answered before the start,
//! arrives next and does not list it.
//!
//! So an answer proves an end only if its poll was sent after the answer to the start was heard.  A
//! start that is not answered yet must not count as answered at time zero, milliseconds are too
//! coarse to order polls, and polls may be answered in another order than they were sent.
//!
//! `tests/chaos.rs` covers the same with random delays of calls; docs/FINDINGS.md names further
//! runs.

mod cell_core;

use cell_core::{Bench, job, queue, starts, step, stops};
use crossweir::cell::order::{
    EndEntry, EndKind, PollOrder, PollReport, RunningEntry, StartOrder, StartOutcome,
};

/// Sends a poll to the only worker.
fn send_poll(bench: &mut Bench) -> PollOrder {
    let worker = bench.worker(0);
    let order = bench.cell.poll_order(worker, bench.now);
    order.expect("a known worker")
}

/// Delivers the answer to a poll.
fn deliver(bench: &mut Bench, sent: PollOrder, report: &PollReport) {
    bench.cell.poll_answered(&sent, report, bench.now);
}

/// Delivers the answer to a start.
fn deliver_start_answer(bench: &mut Bench, start: &StartOrder, outcome: StartOutcome) {
    bench
        .cell
        .start_answered(start.run, outcome, None, bench.now);
}

/// Returns a list entry that shows the run as running.
fn running(start: &StartOrder) -> RunningEntry {
    RunningEntry {
        task: start.task,
        number: start.number,
        checkpoint: String::new(),
        percent: 1,
        measurement: None,
    }
}

/// Returns a list entry that shows the run as stopped.
fn stopped(start: &StartOrder) -> EndEntry {
    EndEntry {
        end_number: 1,
        task: start.task,
        number: start.number,
        how: EndKind::Stopped,
        checkpoint: String::new(),
    }
}

/// Returns an end of a job that the owner does not know.
fn end_of_unknown_job(number: u64) -> EndEntry {
    EndEntry {
        end_number: number,
        task: "0000000000000009.0.0.0".parse().expect("a task"),
        number,
        how: EndKind::Done,
        checkpoint: String::new(),
    }
}

/// Returns an answer that the worker writes now.
fn report(bench: &Bench, running: &[RunningEntry], ended: &[EndEntry]) -> PollReport {
    PollReport {
        born: None,
        clock: bench.now,
        running: running.to_vec(),
        ended: ended.to_vec(),
    }
}

/// Returns an owner of one worker, with a job whose task takes all of the worker.
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

/// Returns how many starts are ordered now.
fn count_starts(bench: &mut Bench) -> usize {
    starts(&bench.decide()).len()
}

#[test]
fn an_answer_from_before_a_start_does_not_end_a_run_that_another_answer_listed() {
    // Arrange: the poll that is sent first is held by the worker and answered last.
    let mut bench = one_task_that_fills_a_worker();
    let held = send_poll(&mut bench);
    let start = order_start(&mut bench);
    bench.now += 1;
    let quick = send_poll(&mut bench);
    let before = report(&bench, &[], &[]);
    bench.now += 1;
    let after = report(&bench, &[running(&start)], &[]);

    // Act: the answer to the start is still in flight.
    deliver(&mut bench, held, &after);
    deliver(&mut bench, quick, &before);

    // Assert.
    assert_eq!(count_starts(&mut bench), 0, "it runs");
}

#[test]
fn of_two_polls_in_one_millisecond_the_older_answer_does_not_end_a_run() {
    // Arrange.
    let mut bench = one_task_that_fills_a_worker();
    let start = order_start(&mut bench);
    let first = send_poll(&mut bench);
    let second = send_poll(&mut bench);
    let before = report(&bench, &[], &[]);
    let after = report(&bench, &[running(&start)], &[]);

    // Act.
    deliver(&mut bench, second, &after);
    deliver(&mut bench, first, &before);

    // Assert.
    assert_eq!(count_starts(&mut bench), 0, "it runs");
}

#[test]
fn of_two_polls_in_one_millisecond_the_older_answer_does_not_bring_a_run_back() {
    // Arrange: one answer lists the run as running, the later one its end.
    let mut bench = one_task_that_fills_a_worker();
    let start = order_start(&mut bench);
    deliver_start_answer(&mut bench, &start, StartOutcome::Started);
    bench.now += 10;
    let first = send_poll(&mut bench);
    let second = send_poll(&mut bench);
    let before = report(&bench, &[running(&start)], &[]);
    let after = report(&bench, &[], &[stopped(&start)]);

    // Act.
    deliver(&mut bench, second, &after);
    deliver(&mut bench, first, &before);

    // Assert: the task starts again, since its run has ended.
    assert_eq!(bench.cell.counts().adopted, 0);
    assert_eq!(count_starts(&mut bench), 1);
}

#[test]
fn of_several_concurrent_polls_an_answer_from_before_an_end_does_not_bring_a_run_back() {
    // Arrange: the poll that is sent first is answered last, and its answer arrives first.
    let mut bench = one_task_that_fills_a_worker();
    let start = order_start(&mut bench);
    deliver_start_answer(&mut bench, &start, StartOutcome::Started);
    bench.now += 10;
    let held = send_poll(&mut bench);
    bench.now += 1;
    let second = send_poll(&mut bench);
    bench.now += 1;
    let third = send_poll(&mut bench);
    let before = report(&bench, &[running(&start)], &[]);
    bench.now += 1;
    let after = report(&bench, &[], &[stopped(&start)]);

    // Act.
    deliver(&mut bench, held, &after);
    deliver(&mut bench, third, &before);
    deliver(&mut bench, second, &before);

    // Assert.
    assert_eq!(bench.cell.counts().adopted, 0);
    assert_eq!(count_starts(&mut bench), 1);
}

#[test]
fn an_old_answer_that_lists_an_ended_run_does_not_stop_the_next_run() {
    // Arrange: as above, and the task has been started again when the old answer arrives.
    let mut bench = one_task_that_fills_a_worker();
    let first = order_start(&mut bench);
    deliver_start_answer(&mut bench, &first, StartOutcome::Started);
    bench.now += 10;
    let held = send_poll(&mut bench);
    let quick = send_poll(&mut bench);
    let before = report(&bench, &[running(&first)], &[]);
    let after = report(&bench, &[], &[stopped(&first)]);
    deliver(&mut bench, held, &after);
    let second = order_start(&mut bench);
    deliver_start_answer(&mut bench, &second, StartOutcome::Started);

    // Act.
    deliver(&mut bench, quick, &before);

    // Assert: nothing is stopped or started.
    let orders = bench.decide();
    assert_eq!((stops(&orders).len(), starts(&orders).len()), (0, 0));
}

#[test]
fn a_run_is_ended_only_by_a_poll_sent_after_the_answer_to_its_start() {
    // Arrange: one answer lists the run, then its start is answered.
    let mut bench = one_task_that_fills_a_worker();
    let shows = send_poll(&mut bench);
    let start = order_start(&mut bench);
    let old = send_poll(&mut bench);
    let before = report(&bench, &[], &[]);
    bench.now += 2;
    let after = report(&bench, &[running(&start)], &[]);
    deliver(&mut bench, shows, &after);
    let older = send_poll(&mut bench);
    bench.now += 2;
    deliver_start_answer(&mut bench, &start, StartOutcome::Started);

    // Act: two answers whose polls were in flight, and one whose poll is sent after all that.
    deliver(&mut bench, old, &before);
    let by_old = count_starts(&mut bench);
    deliver(&mut bench, older, &after);
    let by_older = count_starts(&mut bench);
    let new = send_poll(&mut bench);
    let gone = report(&bench, &[], &[]);
    deliver(&mut bench, new, &gone);
    let by_new = count_starts(&mut bench);

    // Assert: only the last proves the end, though sent in the same millisecond as the answer.
    assert_eq!((by_old, by_older, by_new), (0, 0, 1));
}

#[test]
fn a_stop_is_settled_only_by_a_poll_sent_after_its_confirmation() {
    // Arrange: a start stays unanswered, and its stop is confirmed while a poll is in flight.
    let mut bench = one_task_that_fills_a_worker();
    let start = order_start(&mut bench);
    deliver_start_answer(&mut bench, &start, StartOutcome::Unanswered);
    let stop = stops(&bench.decide()).remove(0);
    let before = send_poll(&mut bench);
    let written = report(&bench, &[], &[]);
    bench.cell.stop_confirmed(stop.run.expect("a run of ours"));
    let after = send_poll(&mut bench);

    // Act.
    deliver(&mut bench, before, &written);
    let by_before = count_starts(&mut bench);
    deliver(&mut bench, after, &written);
    let by_after = count_starts(&mut bench);

    // Assert: only the second proves the end, though all this happens in one millisecond.
    assert_eq!((by_before, by_after), (0, 1));
}

#[test]
fn an_answer_from_before_a_start_does_not_release_the_room_of_its_run() {
    // Arrange: another job waits for room.
    let mut bench = one_task_that_fills_a_worker();
    let held = send_poll(&mut bench);
    let start = order_start(&mut bench);
    let quick = send_poll(&mut bench);
    let before = report(&bench, &[], &[]);
    let after = report(&bench, &[running(&start)], &[]);
    bench.accept(&job(2, &queue("q", 0), vec![step(16, 1_000)]));

    // Act.
    deliver(&mut bench, held, &after);
    deliver(&mut bench, quick, &before);

    // Assert.
    assert_eq!(count_starts(&mut bench), 0, "the worker is full");
}

#[test]
fn a_full_list_of_ends_does_not_end_a_run() {
    // Arrange: a run has ended well, behind as many ends as one list holds.
    let mut bench = one_task_that_fills_a_worker();
    let start = order_start(&mut bench);
    deliver_start_answer(&mut bench, &start, StartOutcome::Started);
    bench.now += 10;
    let others: Vec<EndEntry> = (1..=500).map(end_of_unknown_job).collect();
    let done = EndEntry {
        end_number: 501,
        how: EndKind::Done,
        ..stopped(&start)
    };

    // Act.
    let first = send_poll(&mut bench);
    let full = report(&bench, &[], &others);
    deliver(&mut bench, first, &full);
    let by_full = count_starts(&mut bench);
    let second = send_poll(&mut bench);
    let rest = report(&bench, &[], &[done]);
    deliver(&mut bench, second, &rest);
    let by_rest = count_starts(&mut bench);

    // Assert: it is never started again.
    assert_eq!((by_full, by_rest), (0, 0));
}
