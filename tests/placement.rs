//! Where tasks are placed, and how waiting steps reserve room and ask for advice.

mod cell_core;

use cell_core::{Bench, advised_queue, job, questions, queue, starts, step};
use crossweir::cell::order::{AdviceOrder, EndKind, Refusal, StartOrder, StartOutcome};
use crossweir::cell::spec::Step;
use crossweir::queue::Queue;

/// Returns a step of one task that takes a whole worker.
fn wide_step() -> Step {
    step(1, 16_000)
}

/// Fills each worker with two tasks of half its processors.
fn fill(bench: &mut Bench, q: &Queue, workers: u32) -> Vec<StartOrder> {
    bench.accept(&job(1, q, vec![step(2 * workers, 8_000)]));
    let started = bench.start_all();
    assert_eq!(started.len() as u32, 2 * workers);
    started
}

/// Answers an advice question: every worker that it names is approved.
fn approve_all(bench: &mut Bench, order: &AdviceOrder) {
    let approved = order
        .workers
        .iter()
        .map(|(_, id)| (id.clone(), format!("ticket of {id}")));
    bench
        .cell
        .advice_answered(order, Some(approved.collect()), bench.now);
}

#[test]
fn a_step_without_room_asks_at_once_about_all_workers_that_could_run_it() {
    let plain = queue("plain", 0);
    let advised = advised_queue("advised", 1);
    let mut bench = Bench::new(4, &[plain.clone(), advised.clone()]);
    fill(&mut bench, &plain, 4);
    bench.accept(&job(2, &advised, vec![wide_step()]));

    let asked = questions(&bench.decide());

    assert_eq!(asked.len(), 1);
    assert_eq!(asked[0].workers.len(), 4);
}

#[test]
fn an_expired_ticket_is_renewed_shortly_before_room_comes_free() {
    let plain = queue("plain", 0);
    let advised = advised_queue("advised", 1);
    let mut bench = Bench::new(1, &[plain.clone(), advised.clone()]);
    bench.accept(&job(
        1,
        &plain,
        vec![Step {
            estimate: 20_000,
            ..step(2, 8_000)
        }],
    ));
    let running = bench.start_all();
    bench.accept(&job(2, &advised, vec![wide_step()]));
    let first = questions(&bench.decide());
    approve_all(&mut bench, &first[0]);
    bench.pass(3_000);
    bench.poll_all();
    assert!(
        questions(&bench.decide()).is_empty(),
        "the room does not come free soon"
    );

    bench.end(running[0].task, running[0].number, EndKind::Done);
    bench.end(running[1].task, running[1].number, EndKind::Done);
    bench.pass(20);
    bench.poll_all();
    let again = questions(&bench.decide());
    approve_all(&mut bench, &again[0]);
    let started = starts(&bench.decide());

    assert_eq!(started.len(), 1);
    assert!(started[0].ticket.is_some());
}

/// Fills half of each of two workers: one for the next 2 s, the other for the next 8 s.
fn fill_halves(bench: &mut Bench, q: &Queue) {
    for (id, estimate) in [(1, 2_000), (2, 8_000)] {
        let half = Step {
            estimate,
            ..step(1, 9_000)
        };
        bench.accept(&job(id, q, vec![half]));
        assert_eq!(bench.start_all().len(), 1);
    }
}

/// Returns a step of one task that takes a quarter of a worker.
fn small_step(estimate: u64) -> Step {
    Step {
        estimate,
        ..step(1, 4_000)
    }
}

#[test]
fn the_room_that_comes_free_first_is_reserved_for_a_wide_task() {
    let (urgent, later) = (queue("urgent", 1), queue("later", 2));
    let mut bench = Bench::new(2, &[urgent.clone(), later.clone()]);
    fill_halves(&mut bench, &later);
    let reserved = bench.worker(0);
    bench.accept(&job(3, &urgent, vec![wide_step()]));
    bench.accept(&job(
        4,
        &later,
        vec![Step {
            tasks: 2,
            ..small_step(5_000)
        }],
    ));

    let started = bench.start_all();

    assert_eq!(started.len(), 1, "the other worker has room for one of two");
    assert_ne!(started[0].to.worker, reserved);
}

#[test]
fn a_task_that_ends_in_time_may_use_reserved_room() {
    let (urgent, later) = (queue("urgent", 1), queue("later", 2));
    let mut bench = Bench::new(1, &[urgent.clone(), later.clone()]);
    bench.accept(&job(
        1,
        &later,
        vec![Step {
            estimate: 5_000,
            ..step(1, 8_000)
        }],
    ));
    bench.start_all();
    bench.accept(&job(2, &urgent, vec![wide_step()]));
    bench.accept(&job(3, &later, vec![small_step(4_000)]));
    bench.accept(&job(4, &later, vec![small_step(6_000)]));

    let started = bench.start_all();

    let jobs: Vec<u64> = started.iter().map(|s| s.task.step.job.0).collect();
    assert_eq!(jobs, [3]);
}

#[test]
fn a_task_that_ends_before_a_gang_can_start_may_use_its_reserved_room() {
    let (urgent, later) = (queue("urgent", 1), queue("later", 2));
    let mut bench = Bench::new(2, &[urgent.clone(), later.clone()]);
    fill_halves(&mut bench, &later);
    let gang = Step {
        gang: true,
        ..step(2, 16_000)
    };
    bench.accept(&job(3, &urgent, vec![gang]));
    bench.accept(&job(
        4,
        &later,
        vec![Step {
            tasks: 2,
            ..small_step(7_000)
        }],
    ));

    let started = bench.start_all();

    assert_eq!(started.len(), 2, "both end before the gang can start");
}

/// Returns for how many steps one scheduling round searched workers to ask about.
fn count_advice_searches(bench: &mut Bench) -> u64 {
    let before = bench.cell.counts().advice_searches;
    bench.decide();
    bench.cell.counts().advice_searches - before
}

#[test]
fn a_backlog_of_steps_costs_a_bounded_number_of_searches_for_workers() {
    // Arrange: a hundred steps wait, no worker has room, and both lanes are busy at first.
    let plain = queue("plain", 0);
    let advised = advised_queue("advised", 1);
    let mut bench = Bench::new(2, &[plain.clone(), advised.clone()]);
    fill(&mut bench, &plain, 2);
    for id in 10..110 {
        bench.accept(&job(id, &advised, vec![wide_step()]));
    }
    let asked = questions(&bench.decide());

    // Act.
    let without_a_lane = count_advice_searches(&mut bench);
    for question in &asked {
        approve_all(&mut bench, question);
    }
    let with_lanes = count_advice_searches(&mut bench);

    // Assert.
    assert_eq!(asked.len(), 2);
    assert_eq!(without_a_lane, 0);
    assert!((1..=16).contains(&with_lanes), "{with_lanes}");
}

#[test]
fn a_step_of_many_tasks_examines_each_worker_once_and_once_more_per_start() {
    // Arrange: when every worker was examined for each task, a step of 26 tasks among 1,100 workers
    // took a millisecond of the owner's time.
    let (workers, tasks) = (200, 26);
    let queue = queue("q", 0);
    let mut bench = Bench::new(workers, std::slice::from_ref(&queue));
    bench.poll_all();
    bench.accept(&job(1, &queue, vec![step(tasks, 4_000)]));

    // Act.
    let before = bench.cell.counts().candidates_examined;
    let starts = starts(&bench.decide()).len() as u32;

    // Assert.
    let examined = bench.cell.counts().candidates_examined - before;
    assert_eq!(starts, tasks);
    assert!(
        examined <= u64::from(u32::from(workers) + tasks),
        "{examined}"
    );
}

#[test]
fn a_start_refused_for_lack_of_a_call_slot_does_not_count_against_the_worker() {
    // Arrange.
    let queue = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&queue));
    bench.poll_all();
    bench.accept(&job(1, &queue, vec![step(1, 4_000)]));
    let first = starts(&bench.decide());

    // Act.
    let busy = StartOutcome::Refused(Refusal::Busy);
    let (run, now) = (first[0].run, bench.now);
    bench.cell.start_answered(run, busy, None, now);

    // Assert: the task is started there at once.
    assert_eq!(starts(&bench.decide()).len(), 1);
}
