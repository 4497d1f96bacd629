//! Policy programs: which ones are accepted, and how the scheduling core applies their decisions.

mod cell_core;

use std::sync::Arc;

use cell_core::{Bench, job, queue, starts, step};
use crossweir::cell::job::JobState;
use crossweir::cell::order::EndKind;
use crossweir::cell::spec::JobId;
use crossweir::cell::wait::WaitReason;
use crossweir::policy::{Program, ProgramError, ProgramPolicy};
use yare::parameterized;

/// Compiles a policy program.
fn program(source: &str) -> Arc<ProgramPolicy> {
    Arc::new(ProgramPolicy(
        Program::parse_and_test(source).expect("a policy"),
    ))
}

#[parameterized(
    nonsense = { "let x = ;", "does not parse" },
    endless = { "loop { }", "failed" },
    no_map = { "7", "`the result`" },
    no_priority = { "#{ spread: false }", "`priority`" },
    bad_priority = { "#{ priority: -1, spread: false }", "`priority`" },
    bad_quota = { "#{ priority: 1, spread: false, quota_millicores: \"all\" }", "`quota_millicores`" },
    bad_reserve = { "#{ priority: 1, spread: false, reserve: 3 }", "`reserve`" },
    fails_for_gangs = { "if kind == \"gang\" { 1 } else { #{ priority: 1, spread: true } }", "`the result`" },
)]
fn a_policy_at_fault_is_not_accepted(source: &str, reason: &str) {
    let refused: Result<Program, ProgramError> = Program::parse_and_test(source);
    let message = refused.err().expect("it is refused").to_string();
    assert!(message.contains(reason), "{message}");
}

#[test]
fn a_policy_orders_jobs_that_wait_already() {
    // Arrange: one worker, and two jobs that each need all of it.
    let (first, second) = (queue("first", 0), queue("second", 0));
    let mut bench = Bench::new(1, &[first.clone(), second.clone()]);
    bench.accept(&job(1, &first, vec![step(1, 16_000)]));
    bench.accept(&job(2, &second, vec![step(1, 16_000)]));

    // Act.
    bench.cell.set_policy(program(
        "#{ priority: if queue == \"second\" { 0 } else { 1 }, spread: false }",
    ));
    let started = starts(&bench.decide());

    // Assert.
    let jobs: Vec<JobId> = started.iter().map(|order| order.task.step.job).collect();
    assert_eq!(jobs, [JobId(2)]);
}

#[test]
fn a_queue_holds_no_more_than_its_quota_and_goes_on_when_some_is_free() {
    // Arrange.
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.cell.set_policy(program(
        "#{ priority: 0, spread: false, quota_millicores: 5000 }",
    ));
    bench.accept(&job(1, &q, vec![step(4, 2_000)]));

    // Act.
    let first = bench.start_all();
    let waits = bench.cell.view(JobId(1), bench.now).expect("a view");
    for start in &first {
        bench.end(start.task, start.number, EndKind::Done);
    }
    bench.poll_all();
    let second = bench.start_all();

    // Assert.
    assert_eq!((first.len(), second.len()), (2, 2));
    assert_eq!(waits.steps[0].waits_for, Some(WaitReason::Quota));
    assert_eq!(bench.state(1), Some(JobState::Running));
}

#[test]
fn a_gang_that_exceeds_its_quota_starts_no_task() {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.cell.set_policy(program(
        "#{ priority: 0, spread: false, quota_millicores: 3000 }",
    ));
    let mut gang = step(2, 2_000);
    gang.gang = true;
    bench.accept(&job(1, &q, vec![gang]));
    assert_eq!(bench.start_all().len(), 0);
}

#[test]
fn where_a_policy_fails_the_queues_own_priority_decides() {
    // Arrange: a program that is accepted and fails for one queue only.
    let (bad, good) = (queue("bad", 1), queue("good", 0));
    let mut bench = Bench::new(1, &[bad.clone(), good.clone()]);
    bench.cell.set_policy(program(
        "if queue == \"bad\" { throw 1 } #{ priority: 5, spread: false }",
    ));

    // Act.
    bench.accept(&job(1, &good, vec![step(1, 16_000)]));
    bench.accept(&job(2, &bad, vec![step(1, 16_000)]));
    let started = starts(&bench.decide());

    // Assert.
    assert_eq!(started[0].task.step.job, JobId(2), "1 goes before 5");
}

/// Returns the jobs that start on a half full worker while an urgent job waits for the whole worker
/// and a later job needs a quarter of it for a longer time.
fn started_beside_a_full_size_job(policy: &str) -> Vec<JobId> {
    let (urgent, later) = (queue("urgent", 1), queue("later", 2));
    let mut bench = Bench::new(1, &[urgent.clone(), later.clone()]);
    bench.cell.set_policy(program(policy));
    bench.accept(&job(1, &later, vec![step(1, 8_000)]));
    bench.start_all();
    bench.accept(&job(2, &urgent, vec![step(1, 16_000)]));
    let longer = crossweir::cell::spec::Step {
        estimate: 5_000,
        ..step(1, 4_000)
    };
    bench.accept(&job(3, &later, vec![longer]));
    let started = starts(&bench.decide());
    started.iter().map(|order| order.task.step.job).collect()
}

#[parameterized(
    reserved = { "#{ priority: queue_priority, spread: false }", &[] },
    not_reserved = { "#{ priority: queue_priority, spread: false, reserve: false }", &[3] },
)]
fn a_policy_says_whether_room_is_reserved_for_waiting_jobs(policy: &str, jobs: &[u64]) {
    let jobs: Vec<JobId> = jobs.iter().copied().map(JobId).collect();
    assert_eq!(started_beside_a_full_size_job(policy), jobs);
}
