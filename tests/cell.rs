//! The scheduling core of a cell, driven event by event in virtual time.

mod cell_core;

use cell_core::{
    Bench, advised_queue, configuration, job, questions, queue, starts, step, stops, worker,
};
use crossweir::cell::intake::CancelOutcome;
use crossweir::cell::job::JobState;
use crossweir::cell::order::{
    EndEntry, EndKind, PollFailure, PollReport, Refusal, RunningEntry, StartOrder, StartOutcome,
};
use crossweir::cell::roster::RosterEntry;
use crossweir::cell::spec::{JobId, Schedule, Step};
use crossweir::cell::worker::WorkerEntry;
use crossweir::cell::{Cell, WorkerKey};

#[test]
fn a_job_runs_its_steps_in_order_and_is_shown_when_recorded() {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    let second = Step {
        after: vec![0],
        ..step(1, 1_000)
    };
    bench.accept(&job(1, &q, vec![step(2, 1_000), second]));
    let first = bench.start_all();
    assert_eq!(first.len(), 2);
    bench.end(first[0].task, first[0].number, EndKind::Done);
    bench.poll_all();
    assert!(bench.start_all().is_empty(), "the first step is not done");
    bench.end(first[1].task, first[1].number, EndKind::Done);
    bench.poll_all();
    let last = bench.start_all();
    assert_eq!(last.len(), 1);
    bench.end(last[0].task, last[0].number, EndKind::Done);
    bench.poll_all();
    assert_eq!(bench.state(1), Some(JobState::Running), "not recorded yet");
    bench.record();
    assert_eq!(bench.state(1), Some(JobState::Succeeded));
}

#[test]
fn room_is_never_given_twice() {
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(5, 4_000)]));
    let orders = starts(&bench.decide());
    assert_eq!(orders.len(), 4, "16 cores hold four tasks of 4");
    assert!(starts(&bench.decide()).is_empty());
}

#[test]
fn failures_reported_out_of_order_all_count() {
    // The first run is written off, and the second one fails. Then the worker of the first run is
    // reachable again and reports that it had failed too, which uses up both attempts.
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(1, 1_000)]));
    let first = bench.start_all().remove(0);
    let lost = first.to.worker;
    bench.end(first.task, first.number, EndKind::Failed);
    bench
        .cell
        .poll_failed(lost, PollFailure::Unanswered, bench.now);
    for _ in 0..50 {
        bench.pass(100);
        let other = (0..2).map(|n| bench.worker(n)).find(|&key| key != lost);
        bench.poll(other.expect("another worker"));
    }
    let second = bench.start_all().remove(0);
    bench.end(second.task, second.number, EndKind::Failed);
    bench.poll(second.to.worker);
    bench.poll(lost);
    assert!(bench.start_all().is_empty(), "both attempts have failed");
    bench.record();
    assert_eq!(bench.state(1), Some(JobState::Failed));
}

#[test]
fn an_unanswered_start_blocks_its_task_until_it_is_settled() {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(1, 1_000)]));
    let order = starts(&bench.decide()).remove(0);
    bench
        .cell
        .start_answered(order.run, StartOutcome::Unanswered, None, bench.now);
    let stop = stops(&bench.cell.take_orders()).remove(0);
    assert_eq!((stop.task, stop.number), (order.task, order.number));
    bench.poll_all();
    assert!(bench.start_all().is_empty(), "it may still begin");
    bench.cell.stop_confirmed(order.run);
    bench.poll_all();
    let again = bench.start_all().remove(0);
    assert!(again.number > order.number);
}

/// Advances time, polling only `other`, until something starts or 10 s have passed.
fn starts_elsewhere(bench: &mut Bench, other: WorkerKey) -> Vec<StartOrder> {
    let until = bench.now + 10_000;
    let mut started = Vec::new();
    while started.is_empty() && bench.now < until {
        bench.pass(50);
        bench.poll(other);
        started = bench.start_all();
    }
    started
}

#[test]
fn a_silent_workers_tasks_start_elsewhere_only_after_the_lease() {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(1, 1_000)]));
    let order = bench.start_all().remove(0);
    let lost = order.to.worker;
    bench.poll_all();
    let began = bench.now;
    let other = (0..2).map(|n| bench.worker(n)).find(|&key| key != lost);
    let other = other.expect("another worker");
    bench
        .cell
        .poll_failed(lost, PollFailure::Unanswered, bench.now);
    let again = starts_elsewhere(&mut bench, other);
    assert!(bench.now - began > 3_500, "the lease of 3.5 s has run out");
    assert_eq!(again[0].to.worker, other);
}

#[test]
fn another_life_at_the_address_proves_that_the_former_one_has_ended() {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(1, 1_000)]));
    let order = bench.start_all().remove(0);
    bench.cell.poll_failed(
        order.to.worker,
        PollFailure::Refused(Refusal::Gone),
        bench.now,
    );
    let again = bench.start_all();
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].to.worker, order.to.worker);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    let gang = Step {
        gang: true,
        ..step(9, 4_000)
    };
    bench.accept(&job(1, &q, vec![gang.clone()]));
    assert!(
        bench.start_all().is_empty(),
        "there is room for eight of the nine members"
    );
    let eight = Step { tasks: 8, ..gang };
    bench.accept(&job(2, &q, vec![eight]));
    let members = bench.start_all();
    assert_eq!(members.len(), 8);
    assert!(members.iter().all(|m| m.number == members[0].number));
    bench.end(members[3].task, members[3].number, EndKind::Done);
    bench.poll_all();
    bench.record();
    assert_eq!(
        bench.state(2),
        Some(JobState::Succeeded),
        "the end of one member counts for all"
    );
}

#[test]
fn starts_carry_tickets_and_expired_tickets_are_not_used() {
    let q = advised_queue("q", 0);
    let mut bench = Bench::new(4, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(4, 8_000)]));
    let question = questions(&bench.decide()).remove(0);
    let good = vec![(question.workers[0].1.clone(), String::from("t1"))];
    bench.cell.advice_answered(&question, Some(good), bench.now);
    let first = bench.start_all();
    assert_eq!(
        first.len(),
        2,
        "one approved worker holds two tasks of 8 cores"
    );
    assert!(first.iter().all(|s| s.ticket.as_deref() == Some("t1")));
    for order in &first {
        bench.end(order.task, order.number, EndKind::Done);
    }
    bench.pass(2_600);
    bench.poll_all();
    let orders = bench.decide();
    assert!(starts(&orders).is_empty(), "the ticket has expired");
    assert_eq!(questions(&orders)[0].workers[0].1, question.workers[0].1);
}

#[test]
fn a_cancelled_job_is_stopped_when_that_is_recorded() {
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(2, 1_000)]));
    bench.start_all();
    assert_eq!(bench.cell.cancel(JobId(9)), CancelOutcome::Unknown);
    assert_eq!(bench.cell.cancel(JobId(1)), CancelOutcome::Decided);
    assert!(stops(&bench.decide()).is_empty());
    bench.record();
    assert_eq!(stops(&bench.decide()).len(), 2);
    assert_eq!(bench.cell.cancel(JobId(1)), CancelOutcome::Final);
}

#[test]
fn a_successor_takes_over_what_runs_and_starts_the_rest_when_settled() {
    let q = queue("q", 0);
    let mut former = Bench::new(2, std::slice::from_ref(&q));
    let row = job(1, &q, vec![step(2, 10_000)]);
    former.accept(&row);
    let orders = former.start_all();
    let mut next = Bench::under(2, 2, std::slice::from_ref(&q));
    // A third worker does not answer, so the successor cannot know what runs there.
    let silent = cell_core::worker(7);
    let mut cell = crossweir::cell::Cell::new(
        2,
        cell_core::configuration(std::slice::from_ref(&q)),
        next.now,
    );
    let listed = [cell_core::worker(0), cell_core::worker(1), silent];
    let listed = listed
        .into_iter()
        .map(|entry| roster_entry(entry, None))
        .collect();
    cell.restore_roster(listed, next.now);
    next.cell = cell;
    next.cell.accept(&row, None, true, next.now);
    let keys = next.cell.worker_keys();
    let at = |id: &str| {
        orders
            .iter()
            .find(|order| order.to.life.id == id)
            .expect("a start")
    };
    let zero = at("w0");
    let report = crossweir::cell::order::PollReport {
        born: None,
        clock: next.now,
        running: vec![crossweir::cell::order::RunningEntry {
            task: zero.task,
            number: zero.number,
            checkpoint: String::new(),
            percent: 1,
            measurement: None,
        }],
        ended: Vec::new(),
    };
    let empty = crossweir::cell::order::PollReport {
        born: None,
        clock: next.now,
        ..Default::default()
    };
    next.poll_with_report(keys[0], &report);
    next.poll_with_report(keys[1], &empty);
    next.pass(0);
    assert!(
        starts(&next.decide()).is_empty(),
        "the other task may run on the silent worker"
    );
    next.now += 6_000;
    next.poll_with_report(keys[0], &report);
    next.poll_with_report(keys[1], &empty);
    next.pass(0);
    let late = starts(&next.decide());
    assert_eq!(late.len(), 1, "only the task that was not found running");
    assert_ne!(late[0].task, zero.task);
    assert!(late[0].number > zero.number);
}

#[test]
fn a_worker_is_used_only_when_a_successor_would_know_of_it() {
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(8, 4_000)]));
    assert_eq!(bench.start_all().len(), 4, "the one worker is full");
    bench.cell.list_worker(cell_core::worker(1), bench.now);
    let key = bench.cell.worker_keys()[1];
    bench.poll_with_report(key, &Default::default());
    cell_core::tick(&mut bench.cell, bench.now);
    let (version, roster) = bench.cell.roster();
    assert_eq!(roster.len(), 2);
    assert!(
        starts(&bench.decide()).is_empty(),
        "the roster is not recorded"
    );
    bench.cell.mark_roster_recorded(version);
    assert_eq!(starts(&bench.decide()).len(), 4);
}

#[test]
fn a_successor_need_not_wait_for_a_worker_that_has_left_empty() {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    let mut leaving = cell_core::worker(1);
    leaving.leaving = Some(5_000);
    bench.cell.list_worker(leaving, bench.now);
    bench.pass(50);
    let (_, roster) = bench.cell.roster();
    let ids: Vec<&str> = roster
        .iter()
        .map(|entry| entry.worker.life.id.as_str())
        .collect();
    assert_eq!(ids, ["w0"]);
}

/// Submits a gang of eight, which fills two workers with four members each.
fn gang_of_eight(bench: &mut Bench, q: &crossweir::queue::Queue) {
    let gang = Step {
        gang: true,
        ..step(8, 4_000)
    };
    bench.accept(&job(1, q, vec![gang]));
}

#[test]
fn a_gang_is_stopped_when_a_members_worker_turns_out_to_be_gone() {
    // One member is alone on the third worker, so only its own start shows that the worker is gone.
    let q = queue("q", 0);
    let mut bench = Bench::new(3, std::slice::from_ref(&q));
    let gang = Step {
        gang: true,
        ..step(9, 4_000)
    };
    bench.accept(&job(1, &q, vec![gang]));
    let orders = starts(&bench.decide());
    let single = orders
        .iter()
        .find(|a| {
            orders
                .iter()
                .filter(|b| b.to.life.id == a.to.life.id)
                .count()
                == 1
        })
        .expect("a member alone on its worker");
    let gone = StartOutcome::Refused(Refusal::Gone);
    bench.cell.start_answered(single.run, gone, None, bench.now);
    assert_eq!(
        stops(&bench.decide()).len(),
        8,
        "the other members are stopped"
    );
}

#[test]
fn a_gang_does_not_start_where_the_workers_clock_is_unknown() {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.accept(&job(9, &q, vec![step(1, 100)]));
    let probe = starts(&bench.decide()).remove(0);
    let late = StartOutcome::Refused(Refusal::Late);
    bench.cell.start_answered(probe.run, late, None, bench.now);
    bench.cell.cancel(JobId(9));
    gang_of_eight(&mut bench, &q);
    assert!(starts(&bench.decide()).is_empty(), "not one member");
    bench.poll_all();
    assert_eq!(starts(&bench.decide()).len(), 8);
}

#[test]
fn a_gang_is_stopped_whole_when_one_start_brings_no_answer() {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    gang_of_eight(&mut bench, &q);
    let orders = starts(&bench.decide());
    bench
        .cell
        .start_answered(orders[0].run, StartOutcome::Unanswered, None, bench.now);
    assert_eq!(stops(&bench.decide()).len(), 8);
}

/// Starts two tasks and lets one of them report a progress of 5% for half a second, while the
/// other one advances. Each task fills one of three workers. Returns the start of the stalled one.
fn start_two_and_stall_one(step: Step) -> (Bench, crossweir::cell::order::StartOrder) {
    let q = queue("q", 0);
    let mut bench = Bench::new(3, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step]));
    let order = bench.start_all().remove(0);
    bench.fixed_percent.insert(order.to.worker, 5);
    bench.poll_all();
    for _ in 0..5 {
        bench.pass(100);
        bench.poll_all();
    }
    (bench, order)
}

#[test]
fn a_stalled_run_is_stopped_and_starts_elsewhere() {
    let (mut bench, order) = start_two_and_stall_one(step(2, 16_000));
    let stop = stops(&bench.decide()).remove(0);
    assert_eq!((stop.task, stop.number), (order.task, order.number));
    bench.end(order.task, order.number, EndKind::Stopped);
    bench.poll_all();
    let again = bench.start_all().remove(0);
    assert_eq!(again.task, order.task);
    assert_ne!(again.to.worker, order.to.worker);
}

#[test]
fn a_copy_starts_beside_a_slow_run_where_copies_are_allowed() {
    let copied = Step {
        copies: true,
        ..step(2, 16_000)
    };
    let (mut bench, order) = start_two_and_stall_one(copied);
    let orders = bench.decide();
    assert!(stops(&orders).is_empty(), "the slow run goes on");
    let copy = starts(&orders).remove(0);
    assert_eq!(copy.task, order.task);
    bench.start(&copy);
    bench.end(copy.task, copy.number, EndKind::Done);
    bench.poll_all();
    let stop = stops(&bench.decide()).remove(0);
    assert_eq!(
        stop.number, order.number,
        "the slow run is not needed any more"
    );
}

#[test]
fn a_run_that_a_leaving_worker_would_take_with_it_is_moved() {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    let long = Step {
        estimate: 10_000,
        ..step(1, 1_000)
    };
    bench.accept(&job(1, &q, vec![long]));
    let order = bench.start_all().remove(0);
    let number = order
        .to
        .life
        .id
        .trim_start_matches('w')
        .parse()
        .expect("a number");
    let mut entry = cell_core::worker(number);
    entry.leaving = Some(3_000);
    bench.cell.list_worker(entry, bench.now);
    bench.pass(10);
    let stop = stops(&bench.decide()).remove(0);
    assert_eq!(stop.task, order.task);
}

#[test]
fn a_wrong_estimate_alone_does_not_make_a_run_slow() {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    let underestimated = Step {
        estimate: 100,
        ..step(1, 1_000)
    };
    bench.accept(&job(1, &q, vec![underestimated]));
    bench.start_all();
    for _ in 0..9 {
        bench.pass(100);
        bench.poll_all();
    }
    assert!(stops(&bench.decide()).is_empty());
}

/// A job of one task with three occurrences, a second apart from time 10,000 on.
fn scheduled_job(q: &crossweir::queue::Queue) -> crossweir::cell::record::JobRow {
    let mut row = job(1, q, vec![step(1, 1_000)]);
    row.spec.schedule = Some(Schedule {
        times: 3,
        first: 10_000,
        interval: 1_000,
    });
    row
}

#[test]
fn a_scheduled_job_runs_at_its_times_and_not_before() {
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.cell.set_wall_clock(9_999);
    bench.accept(&scheduled_job(&q));
    assert!(bench.start_all().is_empty());
    bench.cell.set_wall_clock(12_000);
    bench.pass(10);
    let orders = bench.start_all();
    let times: Vec<u32> = orders.iter().map(|order| order.task.step.time).collect();
    assert_eq!(times, [0, 1, 2]);
    for order in &orders {
        bench.end(order.task, order.number, EndKind::Done);
    }
    bench.poll_all();
    bench.record();
    assert_eq!(bench.state(1), Some(JobState::Succeeded));
}

#[test]
fn a_successor_knows_which_occurrences_of_a_scheduled_job_are_done() {
    let q = queue("q", 0);
    let mut former = Bench::new(1, std::slice::from_ref(&q));
    former.cell.set_wall_clock(11_000);
    former.accept(&scheduled_job(&q));
    let second = former.start_all().remove(1);
    former.end(second.task, second.number, EndKind::Done);
    former.poll_all();
    let progress = former.record().rows.remove(0).2;
    let mut next = Bench::under(2, 1, std::slice::from_ref(&q));
    next.cell.set_wall_clock(11_000);
    let now = next.now;
    next.cell
        .accept(&scheduled_job(&q), Some(&progress), false, now);
    let again = next.start_all();
    let times: Vec<u32> = again.iter().map(|order| order.task.step.time).collect();
    assert_eq!(
        times,
        [0],
        "the second occurrence is done, the third is not due"
    );
}

/// A core on which the only task of job 1 has ended, while that end is not recorded yet.
fn bench_with_unrecorded_end(q: &crossweir::queue::Queue) -> Bench {
    let mut bench = Bench::new(1, std::slice::from_ref(q));
    bench.accept(&job(1, q, vec![step(1, 1_000)]));
    let start = bench.start_all().remove(0);
    bench.end(start.task, start.number, EndKind::Done);
    bench.poll_all();
    bench
}

/// A job whose end only memory and a worker hold must not be told as ended.
#[test]
fn an_end_is_told_only_once_it_is_recorded() {
    // Arrange
    let q = queue("q", 0);
    let mut bench = bench_with_unrecorded_end(&q);
    let before = bench.state(1);
    let waiting = bench.cell.count_unrecorded_ends();

    // Act
    bench.record();

    // Assert
    assert_eq!((before, waiting), (Some(JobState::Running), 1));
    assert_eq!(bench.state(1), Some(JobState::Succeeded));
    assert!(bench.cell.is_end_recorded(JobId(1)));
    assert_eq!(bench.cell.count_unrecorded_ends(), 0);
}

/// An end that was told must outlive the worker that listed it and all nodes.
#[test]
fn a_successor_starts_nothing_of_a_job_whose_end_was_told() {
    // Arrange: the worker that listed the end is lost together with the owner.
    let q = queue("q", 0);
    let mut former = bench_with_unrecorded_end(&q);
    let progress = former.record().rows.remove(0).2;
    let mut next = Bench::under(2, 2, std::slice::from_ref(&q));

    // Act: the progress is read before the job's own row.
    next.cell.add_unread_job_progress(JobId(1), progress);
    let unread = next.state(1);
    next.accept(&job(1, &q, vec![step(1, 1_000)]));

    // Assert
    assert_eq!(unread, Some(JobState::Succeeded));
    assert_eq!(next.start_all().len(), 0);
    assert_eq!(next.state(1), Some(JobState::Succeeded));
}

/// The entry of a worker in a former owner's roster, with the jobs that it may run, or `None` for
/// any job.
fn roster_entry(worker: WorkerEntry, jobs: Option<Vec<JobId>>) -> RosterEntry {
    RosterEntry {
        worker,
        jobs,
        long_lease: Some(false),
        lost: None,
    }
}

#[test]
fn a_successor_passes_on_a_worker_that_it_never_reached() {
    // Arrange: a former owner used a worker that has been cut off since, and whose runs go on.
    let mut cell = Cell::new(2, configuration(&[]), 1_000);
    cell.restore_roster(vec![roster_entry(worker(9), None)], 1_000);
    let cut = cell.worker_keys()[0];

    // Act.
    cell.poll_failed(cut, PollFailure::Unanswered, 1_050);
    cell_core::tick(&mut cell, 1_100);

    // Assert: the next owner must wait for the worker as well, so it stays in the roster.
    let (_, roster) = cell.roster();
    assert!(
        roster.iter().any(|entry| entry.worker.life.id == "w9"),
        "{roster:?}"
    );
}

#[test]
fn a_silent_worker_is_recorded_with_its_jobs_and_used_again_only_when_that_is_withdrawn() {
    // Arrange: a job runs, and its worker is silent for 200 ms, so the roster names its jobs.
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(1, 1_000)]));
    bench.start_all();
    let silent = bench.worker(0);
    bench
        .cell
        .poll_failed(silent, PollFailure::Unanswered, bench.now);
    bench.pass(200);
    let (_, named) = bench.cell.roster();

    // Act: it answers again, and another job is submitted.
    bench.now += 10;
    bench.poll(silent);
    bench.accept(&job(2, &q, vec![step(1, 1_000)]));
    cell_core::tick(&mut bench.cell, bench.now);
    let before = bench.start_all().len();
    let (version, plain) = bench.cell.roster();
    bench.cell.mark_roster_recorded(version);
    let after = bench.start_all().len();

    // Assert.
    assert_eq!(named[0].jobs, Some(vec![JobId(1)]));
    assert_eq!(plain[0].jobs, None);
    assert_eq!((before, after), (0, 1));
}

#[test]
fn a_successor_waits_for_a_lost_worker_only_with_the_jobs_that_it_may_run() {
    // Arrange: one of two workers does not answer; by the roster it can run only job 1.
    let q = queue("q", 0);
    let mut cell = Cell::new(2, configuration(std::slice::from_ref(&q)), 1_000);
    let roster = vec![
        roster_entry(worker(0), None),
        roster_entry(worker(1), Some(vec![JobId(1)])),
    ];
    cell.restore_roster(roster, 1_000);
    let mut bench = Bench::with(cell, 1_000);
    for id in [1, 2] {
        let row = job(id, &q, vec![step(1, 1_000)]);
        bench.cell.accept(&row, None, true, bench.now);
    }

    // Act.
    let lost = bench.worker(1);
    let reached = bench.worker(0);
    bench.poll(reached);
    bench
        .cell
        .poll_failed(lost, PollFailure::Unanswered, bench.now);
    bench.pass(100);
    let early = bench.start_all();
    let (_, next_roster) = bench.cell.roster();
    bench.pass(6_000);
    bench.poll(reached);
    let late = bench.start_all();

    // Assert.
    let job_of = |starts: &[crossweir::cell::order::StartOrder]| {
        let ids = starts.iter().map(|start| start.task.step.job);
        ids.collect::<Vec<JobId>>()
    };
    assert_eq!(job_of(&early), [JobId(2)]);
    let entry = next_roster
        .iter()
        .find(|entry| entry.worker.life.id == "w1");
    let jobs = entry.and_then(|entry| entry.jobs.clone());
    assert_eq!(jobs, Some(vec![JobId(1)]), "a third owner must know of it");
    assert_eq!(job_of(&late), [JobId(1)]);
}

#[test]
fn a_job_is_forgotten_only_when_its_end_is_recorded_and_nothing_of_it_runs() {
    // Arrange: a cancelled job whose task has not stopped yet.
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(1, 1_000)]));
    let start = bench.start_all().remove(0);
    bench.cell.cancel(JobId(1));
    let unrecorded = bench.cell.forget_job(JobId(1));
    bench.record();
    let running = bench.cell.forget_job(JobId(1));

    // Act.
    bench.end(start.task, start.number, EndKind::Stopped);
    bench.poll_all();
    let ended = bench.cell.forget_job(JobId(1));

    // Assert.
    assert_eq!((unrecorded, running, ended), (false, false, true));
    assert_eq!(bench.state(1), None);
    assert!(
        bench.cell.forget_job(JobId(1)),
        "there is nothing left to forget"
    );
}

#[test]
fn a_worker_that_is_not_listed_any_more_is_used_last_and_soon_not_at_all() {
    // Arrange: one worker, of two that answer, is not listed any more.
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.cell.unlist_worker("w0", bench.now);
    bench.accept(&job(1, &q, vec![step(1, 16_000)]));
    let first = bench.start_all();

    // Act: only the unlisted worker has room for a second job; a third one is submitted after more
    // than `tuning::GONE_AFTER`.
    bench.accept(&job(2, &q, vec![step(1, 8_000)]));
    let second = bench.start_all();
    for _ in 0..30 {
        bench.pass(100);
        bench.poll_all();
    }
    bench.accept(&job(3, &q, vec![step(1, 8_000)]));
    let third = bench.start_all();
    bench.cell.list_worker(worker(0), bench.now);
    let listed_again = bench.start_all();

    // Assert.
    assert_eq!(first[0].to.worker, bench.worker(1));
    assert_eq!(second[0].to.worker, bench.worker(0));
    assert_eq!((third.len(), listed_again.len()), (0, 1));
}

#[test]
fn an_overtaken_poll_does_not_restore_an_ended_run() {
    // Arrange: the answer to a poll shows a run, and is overtaken by that to a later poll, which
    // shows the end of the run.
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(1, 1_000)]));
    let start = bench.start_all().remove(0);
    let key = bench.worker(0);
    let order = bench.cell.poll_order(key, bench.now + 1);
    let order = order.expect("a known worker");
    let overtaken = PollReport {
        born: None,
        clock: order.sent,
        running: vec![RunningEntry {
            task: start.task,
            number: start.number,
            checkpoint: String::new(),
            percent: 10,
            measurement: None,
        }],
        ended: Vec::new(),
    };
    bench.end(start.task, start.number, EndKind::Stopped);
    bench.poll_all();

    // Act.
    bench.cell.poll_answered(&order, &overtaken, bench.now);

    // Assert: the task starts again, since no run of it goes on.
    assert_eq!(bench.cell.counts().adopted, 0);
    assert_eq!(bench.start_all().len(), 1);
}

#[test]
fn a_job_whose_progress_cannot_be_recorded_fails_with_a_short_row() {
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.accept(&job(1, &q, vec![step(2, 1_000)]));
    let first = bench.start_all().remove(0);
    bench.end(first.task, first.number, EndKind::Done);
    bench.poll_all();
    let batch = bench.cell.take_batch(1);
    assert_eq!(batch.rows[0].2.done.ranges().count(), 1);

    bench.cell.batch_rejected(batch);
    let short = bench.record();

    assert!(short.rows[0].2.tasks.is_empty());
    assert!(short.rows[0].2.done.is_empty());
    assert_eq!(bench.state(1), Some(JobState::Failed));
    assert_eq!(stops(&bench.decide()).len(), 1, "the other task is stopped");
}

#[test]
fn an_end_of_a_job_that_could_not_be_read_yet_is_neither_lost_nor_forgotten() {
    // Arrange: a worker lists the end of a task that a former owner started, while the row of its
    // job is in a partition of the store that cannot be read yet.
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    bench.cell.set_has_unread_jobs(true);
    let row = job(7, &q, vec![step(1, 1_000)]);
    let task = "0000000000000007.0.0.0".parse().expect("a task");
    let worker = bench.worker(0);
    let end = EndEntry {
        end_number: 1,
        task,
        number: 5,
        how: EndKind::Done,
        checkpoint: String::new(),
    };
    let mut report = PollReport {
        born: None,
        clock: bench.now,
        running: Vec::new(),
        ended: vec![end],
    };

    // Act.
    bench.poll_with_report(worker, &report);
    bench.record();
    let forget = bench.cell.poll_order(worker, bench.now).map(|o| o.forget);
    bench.cell.accept(&row, None, true, bench.now);
    bench.cell.set_has_unread_jobs(false);
    bench.now += 10;
    report.clock = bench.now;
    bench.poll_with_report(worker, &report);
    let started = starts(&bench.decide());

    // Assert.
    assert_eq!(forget, Some(0));
    assert!(started.is_empty(), "its task is done");
}

#[test]
fn a_job_that_is_read_late_waits_for_workers_with_unknown_runs() {
    // Arrange: a worker runs a task of a job whose row cannot be read yet.
    let q = queue("q", 0);
    let mut bench = Bench::new(2, std::slice::from_ref(&q));
    bench.cell.set_has_unread_jobs(true);
    let worker = bench.worker(0);
    let task = "0000000000000007.0.0.0".parse().expect("a task");
    bench.running.insert(worker, vec![(task, 5)]);
    bench.poll_all();

    // Act: the row is read, and only then the worker is polled again.
    let row = job(7, &q, vec![step(1, 1_000)]);
    bench.cell.accept(&row, None, true, bench.now);
    bench.cell.set_has_unread_jobs(false);
    let before = starts(&bench.decide());
    bench.poll_all();
    let after = starts(&bench.decide());

    // Assert.
    assert!(before.is_empty(), "the task may run on the worker");
    assert!(after.is_empty(), "the task runs on the worker");
    assert_eq!(bench.cell.counts().adopted, 1);
}

#[test]
fn a_run_that_was_taken_over_is_not_written_off_before_its_former_lease_ends() {
    // Arrange: a successor takes over a run that a worker lists; the worker then falls silent
    // before a poll could renew the lease that the former owner gave.
    let q = queue("q", 0);
    let config = cell_core::configuration(std::slice::from_ref(&q));
    let mut cell = crossweir::cell::Cell::new(2, config, 1_000);
    let listed = [worker(0), worker(1)];
    let listed = listed
        .into_iter()
        .map(|entry| roster_entry(entry, None))
        .collect();
    cell.restore_roster(listed, 1_000);
    let mut bench = Bench::with(cell, 1_000);
    let row = job(1, &q, vec![step(1, 1_000)]);
    bench.cell.accept(&row, None, true, bench.now);
    let (lost, other) = (bench.worker(0), bench.worker(1));
    let task = "0000000000000001.0.0.0".parse().expect("a task");
    bench.running.insert(lost, vec![(task, 5)]);
    bench.poll_all();
    let began = bench.now;
    bench
        .cell
        .poll_failed(lost, PollFailure::Unanswered, bench.now);

    // Act.
    let again = starts_elsewhere(&mut bench, other);

    // Assert.
    assert_eq!(bench.cell.counts().adopted, 1);
    assert_eq!(again[0].to.worker, other);
    assert!(bench.now - began > 3_500, "the lease of 3.5 s has run out");
}
