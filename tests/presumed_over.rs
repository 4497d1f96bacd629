//! Runs and lives that an owner must not take for ended, and leases that have certainly run out.
//!
//! Guards against tasks that are started again because an outdated entry, or what the owner has not
//! read or heard yet, makes a run that goes on look ended.  Guards as well against jobs that wait
//! for a worker on which nothing can run any more, since its lease has run out.

mod cell_core;

use std::sync::Arc;

use cell_core::{
    Bench, configuration, job, listed_end, listed_run, queue, starts, step, stops, worker,
};
use crossweir::cell::Cell;
use crossweir::cell::life::Life;
use crossweir::cell::order::{EndEntry, EndKind, PollFailure, PollReport};
use crossweir::cell::record::JobRow;
use crossweir::cell::roster::RosterEntry;
use crossweir::cell::spec::Schedule;
use crossweir::cell::tuning;
use crossweir::cell::worker::WorkerEntry;
use crossweir::queue::Queue;

/// The task of job 7, whose row is read.
const KNOWN: &str = "0000000000000007.0.0.0";
/// The task of job 8, whose row could not be read.
const UNREAD: &str = "0000000000000008.0.0.0";

/// A worker's list entry for a run that has ended and left this checkpoint.
fn end(end_number: u64, task: &str, number: u64, how: EndKind, checkpoint: &str) -> EndEntry {
    EndEntry {
        checkpoint: checkpoint.to_owned(),
        ..listed_end(end_number, task, number, how)
    }
}

/// The entry of another life at the address of the first worker.  An entry stays for some
/// heartbeats after a crash, so the platform lists both lives.
fn life(id: &str) -> WorkerEntry {
    WorkerEntry {
        life: Life::of(id),
        ..worker(0)
    }
}

/// A successor of an owner that used the second life of the first worker, `w5`, and another worker.
/// The platform lists the life that has ended as well, under the id `stale`.
fn successor_with_a_stale_entry(q: &Queue, stale: &str) -> Bench {
    let now = 1_000;
    let mut cell = Cell::new(2, configuration(std::slice::from_ref(q)), now);
    let used = |worker| RosterEntry {
        worker,
        jobs: None,
        long_lease: Some(false),
        lost: None,
    };
    cell.restore_roster(vec![used(life("w5")), used(worker(1))], now);
    cell.list_workers(vec![life(stale), worker(1), life("w5")], now);
    cell.accept(&job(7, q, vec![step(1, 1_000)]), None, true, now);
    Bench::with(cell, now)
}

/// The number of starts that a successor orders when only the second worker has answered.
fn starts_after_one_answer(bench: &mut Bench) -> usize {
    let keys = bench.cell.worker_keys();
    let other = keys.into_iter().find(|&key| {
        let order = bench.cell.poll_order(key, bench.now);
        order.is_some_and(|order| order.to.life.id == "w1")
    });
    bench.poll_with_lists(other.expect("the worker"), Vec::new(), Vec::new());
    bench.pass(20);
    starts(&bench.decide()).len()
}

#[test]
fn a_stale_entry_does_not_free_a_successor_from_asking_the_present_life() {
    for stale in ["w0", "w9"] {
        // Arrange.
        let q = queue("q", 0);
        let mut bench = successor_with_a_stale_entry(&q, stale);

        // Act: the present life, on which the task may run, has not answered.
        let started = starts_after_one_answer(&mut bench);

        // Assert.
        assert_eq!(started, 0, "it may run on w5, with {stale} listed too");
    }
}

#[test]
fn a_stale_entry_does_not_end_the_runs_of_the_present_life() {
    // Arrange: a task runs on one of two workers.
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.accept(&job(7, &q, vec![step(1, 16_000)]));
    let first = bench.start_all().remove(0);
    let number = if first.to.life.id == "w0" { 0 } else { 1 };

    // Act: all entries are read again, among them that of an earlier life at the same address.
    let stale = WorkerEntry {
        life: Life::of("v"),
        ..worker(number)
    };
    bench
        .cell
        .list_workers(vec![stale, worker(0), worker(1)], bench.now);
    bench.pass(20);
    let again = starts(&bench.decide());

    // Assert.
    assert!(
        again.is_empty(),
        "it runs on {}: {again:?}",
        first.to.life.id
    );
}

/// A job of one task with two occurrences, a second apart from time 10,000 on.
fn scheduled_job(q: &Queue) -> JobRow {
    let mut row = job(7, q, vec![step(1, 1_000)]);
    row.spec.schedule = Some(Schedule {
        times: 2,
        first: 10_000,
        interval: 1_000,
    });
    row
}

/// A successor whose wall clock is behind that of its predecessor, by which the first occurrence of
/// a job had begun.
fn successor_with_a_slow_wall_clock(q: &Queue) -> Bench {
    let mut bench = Bench::under(2, 2, std::slice::from_ref(q));
    bench.cell.set_wall_clock(9_800);
    let now = bench.now;
    bench.cell.accept(&scheduled_job(q), None, true, now);
    bench
}

#[test]
fn a_run_of_an_occurrence_that_a_former_owner_began_is_not_stopped() {
    // Arrange.
    let q = queue("q", 0);
    let mut bench = successor_with_a_slow_wall_clock(&q);
    let worker = bench.worker(0);

    // Act.
    bench.poll_with_lists(worker, vec![listed_run(KNOWN, 5)], Vec::new());
    let stopped = stops(&bench.decide());

    // Assert.
    assert!(stopped.is_empty(), "a former owner began it: {stopped:?}");
}

#[test]
fn a_task_of_an_occurrence_that_a_former_owner_began_is_not_started_after_its_end() {
    // Arrange.
    let q = queue("q", 0);
    let mut bench = successor_with_a_slow_wall_clock(&q);
    let worker = bench.worker(0);
    let ends = || vec![end(1, KNOWN, 5, EndKind::Done, "")];

    // Act: the end is listed before the occurrence is due by this owner's clock.
    bench.poll_with_lists(worker, Vec::new(), ends());
    bench.record();
    let forget = bench.cell.poll_order(worker, bench.now).map(|o| o.forget);
    bench.cell.set_wall_clock(10_100);
    bench.pass(10);
    if forget == Some(0) {
        bench.poll_with_lists(worker, Vec::new(), ends());
    }
    let started = starts(&bench.decide());

    // Assert.
    assert!(
        started.is_empty(),
        "the task is done; ends forgotten: {forget:?}, starts: {started:?}"
    );
}

/// An owner with two workers that knows job 7 and cannot read job 8 yet.
fn owner_with_unread_jobs() -> Bench {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.cell.set_has_unread_jobs(true);
    let now = bench.now;
    bench
        .cell
        .accept(&job(7, &q, vec![step(1, 1_000)]), None, true, now);
    bench
}

/// Lets the first worker fall silent until its lease has run out, while the other one answers.
fn let_first_lease_run_out(bench: &mut Bench) {
    let (first, other) = (bench.worker(0), bench.worker(1));
    for _ in 0..100 {
        bench
            .cell
            .poll_failed(first, PollFailure::Unanswered, bench.now);
        bench.poll_with_lists(other, Vec::new(), Vec::new());
        bench.pass(90);
    }
}

#[test]
fn a_worker_whose_lease_ran_out_delays_no_job_by_ends_that_it_did_not_list() {
    // Arrange: a worker lists as many ends as fit, so there may be more that it did not list.
    let mut bench = owner_with_unread_jobs();
    let worker = bench.worker(0);
    let max = tuning::MAX_ENDS_LISTED as u64;
    let full = (1..=max).map(|number| end(number, UNREAD, number, EndKind::Done, ""));
    bench.poll_with_lists(worker, Vec::new(), full.collect());

    // Act.
    let_first_lease_run_out(&mut bench);
    bench.cell.set_has_unread_jobs(false);
    let started = starts(&bench.decide());

    // Assert.
    assert_eq!(started.len(), 1, "no run on the silent worker can go on");
}

#[test]
fn a_job_that_is_read_late_does_not_wait_for_a_worker_whose_lease_ran_out() {
    // Arrange: the worker runs only a task of the job that is not read.
    let mut bench = owner_with_unread_jobs();
    let worker = bench.worker(0);
    bench.poll_with_lists(worker, vec![listed_run(UNREAD, 5)], Vec::new());

    // Act: it is cut off, and the job is read after its lease has run out.
    let_first_lease_run_out(&mut bench);
    let row = job(8, &queue("q", 0), vec![step(1, 1_000)]);
    bench.cell.accept(&row, None, true, bench.now);
    bench.cell.set_has_unread_jobs(false);
    let started = starts(&bench.decide());

    // Assert.
    let jobs: Vec<u64> = started.iter().map(|start| start.task.step.job.0).collect();
    assert_eq!(jobs, [7, 8], "no run on the silent worker can go on");
}

#[test]
fn a_worker_whose_lease_ran_out_leaves_the_roster_with_the_ends_that_it_held() {
    // Arrange.
    let mut bench = owner_with_unread_jobs();
    let worker = bench.worker(0);
    let ends = vec![end(1, UNREAD, 5, EndKind::Done, "")];
    bench.poll_with_lists(worker, Vec::new(), ends);

    // Act.
    let_first_lease_run_out(&mut bench);
    let (_, entries) = bench.cell.roster();

    // Assert.
    let listed = entries.iter().any(|entry| entry.worker.life.id == "w0");
    assert!(!listed, "a successor would wait for it with all jobs");
}

#[test]
fn a_checkpoint_in_the_end_of_a_former_run_is_recorded_before_the_end_is_forgotten() {
    // Arrange.
    let q = queue("q", 0);
    let mut bench = Bench::under(2, 2, std::slice::from_ref(&q));
    let now = bench.now;
    let row = Arc::new(job(7, &q, vec![step(1, 1_000)]));
    bench.cell.accept(&row, None, true, now);
    let worker = bench.worker(0);

    // Act.
    let ends = vec![end(1, KNOWN, 5, EndKind::Stopped, "saved")];
    bench.poll_with_lists(worker, Vec::new(), ends);
    let batch = bench.record();
    let forget = bench.cell.poll_order(worker, bench.now).map(|o| o.forget);

    // Assert.
    let tasks = batch.rows.iter().flat_map(|(_, _, row)| &row.tasks);
    let checkpoints: Vec<&str> = tasks.map(|task| task.checkpoint.as_str()).collect();
    assert_eq!((forget, checkpoints), (Some(1), vec!["saved"]));
}

/// The number of starts of job 7's task, which a worker runs when it first answers its new owner.
/// The worker is then silent for `silence`, before another poll could renew its lease.
fn starts_after_a_first_answer_and_silence(silence: u64) -> usize {
    let q = queue("q", 0);
    let mut cell = Cell::new(2, configuration(std::slice::from_ref(&q)), 1_000);
    cell.list_workers(vec![worker(0), worker(1)], 1_000);
    cell.accept(&job(7, &q, vec![step(1, 1_000)]), None, true, 1_000);
    let mut bench = Bench::with(cell, 1_000);
    let (first, other) = (bench.worker(0), bench.worker(1));
    bench.now += 10;
    let answer = PollReport {
        born: None,
        clock: bench.now,
        running: vec![listed_run(KNOWN, 5)],
        ended: Vec::new(),
    };
    bench.poll_with_report(first, &answer);
    bench
        .cell
        .poll_failed(first, PollFailure::Unanswered, bench.now);
    let until = bench.now + silence;
    let mut again = 0;
    while bench.now < until {
        bench.poll_with_lists(other, Vec::new(), Vec::new());
        bench.pass(40);
        again += starts(&bench.decide()).len();
    }
    again
}

#[test]
fn the_lease_that_a_former_owner_gave_is_waited_out_after_a_single_answer() {
    // Arrange, act: the former owner may have renewed the lease just before the answer.
    let early = starts_after_a_first_answer_and_silence(3_400);
    let late = starts_after_a_first_answer_and_silence(6_000);

    // Assert.
    assert_eq!((early, late), (0, 1));
}
