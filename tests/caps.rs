//! The runs of a workspace stay within its cap, also when starts stay unanswered, workers fall
//! silent or the owner changes.
//!
//! The largest test has 60 workers and workspaces that together want more than these have, so most
//! workspaces are near their caps and every further start could exceed one.

mod cell_core;

use std::collections::BTreeMap;

use cell_core::{
    Bench, job, listed_run, queue, shared_configuration, starts, step, stops, worker, workspace,
};
use crossweir::cell::intake::CancelOutcome;
use crossweir::cell::job::JobState;
use crossweir::cell::order::{EndKind, PollFailure, PollReport, StartOutcome};
use crossweir::cell::record::JobRow;
use crossweir::cell::roster::RosterEntry;
use crossweir::cell::spec::{Demand, JobId, Step};
use crossweir::cell::wait::WaitReason;
use crossweir::cell::{Cell, tuning};
use crossweir::workspace::{Caller, Workspace};

/// Longer than any lease, in milliseconds.
const AFTER_LEASES: u64 = 6_000;

/// Returns a job of the workspace `owner`.
fn owned(id: u64, owner: &Workspace, steps: Vec<Step>) -> JobRow {
    JobRow {
        workspace: Some(owner.clone()),
        ..job(id, &queue("q", 0), steps)
    }
}

/// Returns a cell of 16-core workers whose configuration lists these workspaces.
fn bench(workers: u16, list: &[Workspace]) -> Bench {
    let queues = [queue("q", 0)];
    let mut bench = Bench::new(workers, &queues);
    bench.cell.configure(shared_configuration(2, &queues, list));
    bench
}

/// Returns why the only step of a job waits.
fn waits_for(bench: &Bench, id: u64) -> Option<WaitReason> {
    let view = bench.cell.view(JobId(id), bench.now).expect("a known job");
    view.steps[0].waits_for
}

#[test]
fn starts_go_up_to_the_cap_and_no_further() {
    // Arrange
    let team = workspace("team", 10);
    let mut bench = bench(4, std::slice::from_ref(&team));
    bench.accept(&owned(1, &team, vec![step(30, 4_000)]));

    // Act
    let started = bench.start_all();

    // Assert
    assert_eq!(started.len(), 2);
    assert_eq!(waits_for(&bench, 1), Some(WaitReason::Cap));
    assert_eq!(bench.cell.ledger_errors(), 0);
}

#[test]
fn memory_is_capped_as_well() {
    let mut team = workspace("team", 0);
    team.cap.memory = 350;
    let mut bench = bench(4, std::slice::from_ref(&team));
    bench.accept(&owned(1, &team, vec![step(30, 1_000)]));
    assert_eq!(bench.start_all().len(), 3);
}

#[test]
fn a_workspace_at_its_cap_does_not_delay_other_workspaces() {
    // Arrange: two workspaces share a queue; the first to submit wants far more than its cap.
    let (hot, calm) = (workspace("hot", 16), workspace("calm", 16));
    let mut bench = bench(8, &[hot.clone(), calm.clone()]);
    for id in 1..50 {
        bench.accept(&owned(id, &hot, vec![step(10, 8_000)]));
    }
    bench.accept(&owned(100, &calm, vec![step(2, 8_000)]));
    bench.accept(&job(101, &queue("q", 0), vec![step(2, 8_000)]));

    // Act
    let started = bench.start_all();

    // Assert
    let of = |id| {
        started
            .iter()
            .filter(|start| start.task.step.job == JobId(id))
            .count()
    };
    assert_eq!((of(1), of(100), of(101)), (2, 2, 2));
}

#[test]
fn a_gang_waits_until_all_of_it_fits_under_the_cap() {
    // Arrange
    let team = workspace("team", 15);
    let mut bench = bench(4, std::slice::from_ref(&team));
    let gang = Step {
        gang: true,
        ..step(3, 4_000)
    };
    bench.accept(&owned(1, &team, vec![step(1, 4_000)]));
    bench.start_all();
    bench.accept(&owned(2, &team, vec![gang]));

    // Act
    let with_other_run = bench.start_all();
    let task = bench
        .running
        .values()
        .flatten()
        .next()
        .copied()
        .expect("a run");
    bench.end(task.0, task.1, EndKind::Done);
    bench.poll_all();
    let alone = bench.start_all();

    // Assert
    assert!(with_other_run.is_empty());
    assert_eq!(alone.len(), 3);
}

#[test]
fn lasting_tasks_and_fillers_count_in_full() {
    let team = workspace("team", 8);
    let kinds: [fn(&mut Step); 2] = [|step| step.lasting = true, |step| step.filler = true];
    for change in kinds {
        let mut bench = bench(8, std::slice::from_ref(&team));
        let mut of_kind = step(6, 4_000);
        change(&mut of_kind);
        bench.accept(&owned(1, &team, vec![of_kind]));
        assert_eq!(bench.start_all().len(), 2);
    }
}

#[test]
fn a_start_without_an_answer_counts_until_it_is_void() {
    // Arrange
    let team = workspace("team", 4);
    let mut bench = bench(4, std::slice::from_ref(&team));
    bench.accept(&owned(1, &team, vec![step(2, 4_000)]));
    let start = starts(&bench.decide()).remove(0);

    // Act: whether it runs is unknown until the start is too late to take effect.
    bench
        .cell
        .start_answered(start.run, StartOutcome::Unanswered, None, bench.now);
    bench.poll_all();
    let before = starts(&bench.decide());
    bench.now += tuning::START_VALIDITY + tuning::LEASE_MARGIN + 100;
    bench.poll_all();
    bench.poll_all();
    let after = starts(&bench.decide());

    // Assert
    assert!(before.is_empty());
    assert_eq!(after.len(), 1);
}

#[test]
fn a_run_that_is_being_stopped_counts_until_its_end_is_listed() {
    // Arrange
    let team = workspace("team", 4);
    let mut bench = bench(4, std::slice::from_ref(&team));
    bench.accept(&owned(1, &team, vec![step(1, 4_000)]));
    let start = bench.start_all().remove(0);
    bench.accept(&owned(2, &team, vec![step(1, 4_000)]));

    // Act
    assert_eq!(bench.cell.cancel(JobId(1)), CancelOutcome::Decided);
    bench.record();
    assert_eq!(stops(&bench.cell.take_orders()).len(), 1);
    let before = starts(&bench.decide());
    bench.end(start.task, start.number, EndKind::Stopped);
    bench.poll_all();
    let after = starts(&bench.decide());

    // Assert
    assert!(before.is_empty());
    assert_eq!(after.len(), 1);
}

#[test]
fn runs_on_a_silent_worker_count_until_its_lease_has_ended() {
    // Arrange
    let team = workspace("team", 4);
    let mut bench = bench(4, std::slice::from_ref(&team));
    bench.accept(&owned(1, &team, vec![step(1, 4_000)]));
    let start = bench.start_all().remove(0);
    let lost = start.to.worker;

    // Act
    bench
        .cell
        .poll_failed(lost, PollFailure::Unanswered, bench.now);
    bench.pass(200);
    let before = starts(&bench.decide());
    for _ in 0..AFTER_LEASES / 500 {
        bench.pass(500);
        let others = (0..4)
            .map(|number| bench.worker(number))
            .filter(|&key| key != lost);
        for key in others.collect::<Vec<_>>() {
            bench.poll(key);
        }
    }
    let after = starts(&bench.decide());

    // Assert
    assert!(before.is_empty());
    assert_eq!(after.len(), 1);
}

/// Returns a successor of an owner with four workers on which any job may run.  The first
/// `answered` workers have answered, worker 0 with a run of 8 cores.  Job 2, which nobody has
/// started yet, has been accepted since.
fn successor(team: &Workspace, answered: usize) -> Bench {
    let queues = [queue("q", 0)];
    let config = shared_configuration(2, &queues, std::slice::from_ref(team));
    let mut cell = Cell::new(16, config, 1_000);
    let entry = |number| RosterEntry {
        worker: worker(number),
        jobs: None,
        long_lease: Some(false),
        lost: None,
    };
    cell.restore_roster((0..4).map(entry).collect(), 1_000);
    cell.accept(&owned(1, team, vec![step(1, 8_000)]), None, true, 1_000);
    let mut bench = Bench::with(cell, 1_010);
    for number in 0..answered {
        let running = match number {
            0 => vec![listed_run("0000000000000001.0.0.0", 1_000_001)],
            _ => Vec::new(),
        };
        let report = PollReport {
            clock: bench.now,
            running,
            ..PollReport::default()
        };
        let key = bench.worker(number);
        bench.poll_with_report(key, &report);
    }
    bench.pass(10);
    bench.accept(&owned(2, team, vec![step(4, 8_000)]));
    bench
}

#[yare::parameterized(
    three_of_four_have_answered = { 3, 32, 1 },
    all_have_answered = { 4, 32, 3 },
    three_have_answered_and_the_cap_is_wide = { 3, 64, 4 },
)]
fn a_successor_counts_possible_unknown_runs_against_the_cap(
    answered: usize,
    cap: u64,
    wanted: usize,
) {
    // A worker that has not answered may hold 16 cores for any workspace; 8 are known to be held.
    let team = workspace("team", cap);
    let mut bench = successor(&team, answered);
    assert_eq!(starts(&bench.decide()).len(), wanted);
}

#[test]
fn a_lowered_cap_stops_no_run_and_allows_no_start() {
    // Arrange
    let queues = [queue("q", 0)];
    let team = workspace("team", 16);
    let mut bench = bench(4, std::slice::from_ref(&team));
    bench.accept(&owned(1, &team, vec![step(8, 4_000)]));
    assert_eq!(bench.start_all().len(), 4);

    // Act
    let lower = shared_configuration(3, &queues, &[workspace("team", 6)]);
    bench.cell.configure(lower);
    let orders = bench.decide();
    let higher = shared_configuration(4, &queues, &[workspace("team", 24)]);
    bench.cell.configure(higher);
    let raised = starts(&bench.decide());

    // Assert
    assert!(orders.is_empty());
    assert_eq!(raised.len(), 2);
}

#[test]
fn jobs_of_a_workspace_removed_from_the_configuration_keep_its_last_cap() {
    let queues = [queue("q", 0)];
    let team = workspace("team", 8);
    let mut bench = bench(4, std::slice::from_ref(&team));
    bench.accept(&owned(1, &team, vec![step(8, 4_000)]));
    bench.cell.configure(shared_configuration(3, &queues, &[]));
    assert_eq!(bench.start_all().len(), 2);
    bench.accept(&owned(2, &team, vec![step(8, 4_000)]));
    assert!(bench.start_all().is_empty());
}

#[test]
fn a_job_is_visible_only_to_its_workspace_and_the_operator() {
    // Arrange
    let team = workspace("team", 8);
    let mut bench = bench(1, std::slice::from_ref(&team));
    bench.accept(&owned(1, &team, vec![step(1, 4_000)]));
    bench.accept(&job(2, &queue("q", 0), vec![step(1, 4_000)]));
    let callers = [
        Caller::Workspace(String::from("team")),
        Caller::Workspace(String::from("other")),
        Caller::Anonymous,
        Caller::Operator,
    ];

    // Act
    let see = |bench: &Bench, id| {
        callers
            .each_ref()
            .map(|caller| bench.cell.may_see(caller, JobId(id)))
    };
    let open = (see(&bench, 1), see(&bench, 2));
    bench.cell.cancel(JobId(1));
    let rows = bench.record().rows;
    let mut successor = Bench::under(2, 1, &[queue("q", 0)]);
    let (_, id, progress) = rows.into_iter().next().expect("a row");
    successor.cell.add_unread_job_progress(id, progress);

    // Assert
    assert_eq!(open, ([true, false, false, true], [true; 4]));
    assert_eq!(see(&successor, 1), [true, false, false, true]);
    assert_eq!(successor.state(1), Some(JobState::Cancelled));
}

#[test]
fn a_job_row_written_before_workspaces_existed_is_read() {
    let row = job(1, &queue("q", 0), vec![step(1, 1_000)]);
    let mut value = serde_json::to_value(&row).expect("it is encoded");
    let fields = value.as_object_mut().expect("an object");
    fields.remove("workspace");
    fields["queue"]
        .as_object_mut()
        .expect("an object")
        .remove("public");
    let read: JobRow = serde_json::from_value(value).expect("it is read");
    assert_eq!(read, row);
}

#[test]
fn a_full_cell_of_many_workspaces_stays_within_every_cap() {
    // Arrange: 60 workers of 16 cores, 20 workspaces that may hold a tenth each and want a quarter.
    let list: Vec<Workspace> = (0..20)
        .map(|n| workspace(&format!("team-{n}"), 96))
        .collect();
    let mut bench = bench(60, &list);
    for id in 0..200 {
        let owner = &list[id as usize % list.len()];
        bench.accept(&owned(id + 1, owner, vec![step(6, 4_000 + id % 5 * 1_000)]));
    }

    // Act: a quarter of the runs end in each round, and others start in their room.
    for round in 0..60 {
        bench.start_all();
        check_caps(&bench, &list);
        let running: Vec<_> = bench.running.values().flatten().copied().collect();
        for (index, (task, number)) in running.into_iter().enumerate() {
            if (index + round) % 4 == 0 {
                bench.end(task, number, EndKind::Done);
            }
        }
        bench.poll_all();
    }

    // Assert
    assert_eq!(bench.cell.ledger_errors(), 0);
    let done = (1..=200).filter(|&id| {
        bench.record();
        bench.state(id) == Some(JobState::Succeeded)
    });
    assert_eq!(done.count(), 200);
}

/// Checks that the runs of each workspace are within its cap.
fn check_caps(bench: &Bench, list: &[Workspace]) {
    let mut held: BTreeMap<usize, Demand> = BTreeMap::new();
    for (task, _) in bench.running.values().flatten() {
        let id = task.step.job.0 - 1;
        let demand = step(1, 4_000 + id % 5 * 1_000).demand;
        held.entry(id as usize % list.len())
            .or_default()
            .add(&demand);
    }
    for (index, held) in held {
        assert!(list[index].admits(&held), "{held:?}");
    }
}
