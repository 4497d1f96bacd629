//! Idle workers are parked, so that the load of an owner depends on the work there is and not on
//! the number of workers.
//!
//! Guards against an overloaded owner: with 6,000 workers of which a tenth is busy, an owner that
//! polled all of them had no processor time left for the busy ones.

mod cell_core;

use std::collections::BTreeMap;

use cell_core::{
    Bench, advised_queue, configuration, job, question_workers, questions, queue, step, worker,
};
use crossweir::cell::order::{EndKind, StartOrder};
use crossweir::cell::roster::RosterEntry;
use crossweir::cell::spec::{JobId, Step};
use crossweir::cell::wait::WaitReason;
use crossweir::cell::worker::WorkerEntry;
use crossweir::cell::{Cell, WorkerKey, tuning};
use yare::parameterized;

const FLEET: u16 = 6_000;
/// A label that only some workers have.
const LABEL: &str = "rare";
/// Longer than an unparked worker stays awake, and than any lease, in milliseconds.
const AFTER_LEASES: u64 = 11_000;

/// Returns a cell of which no worker has answered yet.
fn cell(workers: impl Iterator<Item = WorkerEntry>, roster: Vec<RosterEntry>) -> Cell {
    let queues = [queue("q", 0), advised_queue("advised", 0)];
    let mut cell = Cell::new(1, configuration(&queues), 1_000);
    cell.set_lanes(&[true]);
    cell.restore_roster(roster, 1_000);
    cell.list_workers(workers.collect(), 1_000);
    cell
}

/// Returns an owner of this many workers; those that are awake have answered.
fn fleet(workers: u16) -> Bench {
    awake_bench(cell((0..workers).map(worker), Vec::new()))
}

/// Returns an owner whose awake workers have answered and are in the recorded roster.
fn awake_bench(cell: Cell) -> Bench {
    let mut bench = Bench::with(cell, 1_000);
    bench.cell.take_unparked();
    pass_parking_interval(&mut bench);
    pass_parking_interval(&mut bench);
    bench
}

/// Returns the workers that are awake, that is, not parked.
fn awake(cell: &Cell) -> Vec<WorkerKey> {
    let keys = cell.worker_keys().into_iter();
    keys.filter(|&key| !cell.is_parked(key)).collect()
}

/// Polls the awake workers, lets a parking interval pass, polls them again and records the roster.
fn pass_parking_interval(bench: &mut Bench) {
    bench.now += 10;
    for key in awake(&bench.cell) {
        bench.poll(key);
    }
    bench.pass(tuning::PARKING_INTERVAL);
    for key in awake(&bench.cell) {
        bench.poll(key);
    }
    bench.pass(0);
}

/// Runs scheduling rounds, a parking interval apart, until three in a row start nothing.  Returns
/// all starts.
fn start_all(bench: &mut Bench) -> Vec<StartOrder> {
    let mut started = Vec::new();
    let mut idle = 0;
    while idle < 3 {
        let more = bench.start_all();
        idle = if more.is_empty() { idle + 1 } else { 0 };
        started.extend(more);
        pass_parking_interval(bench);
    }
    started
}

#[parameterized(
    small = { 48, 48 },
    grown = { 350, 350 },
    a_fleet = { FLEET, tuning::IDLE_RESERVE },
    twice_the_fleet = { 12_000, tuning::IDLE_RESERVE },
)]
fn an_idle_cell_keeps_a_reserve_awake_and_in_the_roster(workers: u16, wanted: usize) {
    let bench = fleet(workers);

    assert_eq!(awake(&bench.cell).len(), wanted);
    assert_eq!(bench.cell.roster().1.len(), wanted);
}

#[test]
fn a_successor_does_not_wait_for_workers_that_were_parked() {
    let bench = fleet(FLEET);
    let (_, roster) = bench.cell.roster();

    let next = cell((0..FLEET).map(worker), roster);

    assert!(awake(&next).len() <= 2 * tuning::IDLE_RESERVE);
}

#[test]
fn no_worker_is_parked_before_it_has_answered_if_the_roster_is_incomplete() {
    let queues = [queue("q", 0)];
    let mut cell = Cell::new(1, configuration(&queues), 1_000);
    cell.mark_roster_incomplete();

    cell.list_workers((0..FLEET).map(worker).collect(), 1_000);

    assert_eq!(awake(&cell).len(), usize::from(FLEET));
}

#[test]
fn growing_work_wakes_as_many_workers_as_it_needs() {
    // Arrange: the awake workers have room for 600 such tasks.
    let mut bench = fleet(FLEET);
    for id in 1..=40 {
        bench.accept(&job(id, &queue("q", 0), vec![step(50, 16_000)]));
    }

    // Act
    let started = start_all(&mut bench);

    // Assert
    assert_eq!(started.len(), 2_000);
    let reserve = awake(&bench.cell).len() - started.len();
    assert!(
        (tuning::IDLE_RESERVE / 2..=2 * tuning::IDLE_RESERVE).contains(&reserve),
        "{reserve}"
    );
}

#[test]
fn idle_workers_are_parked_once_their_ends_are_recorded_and_forgotten() {
    // Arrange
    let mut bench = fleet(FLEET);
    for id in 1..=40 {
        bench.accept(&job(id, &queue("q", 0), vec![step(50, 16_000)]));
    }
    let started = start_all(&mut bench);

    // Act
    for start in &started {
        bench.end(start.task, start.number, EndKind::Done);
    }
    for _ in 0..3 {
        pass_parking_interval(&mut bench);
    }
    bench.pass(AFTER_LEASES);
    pass_parking_interval(&mut bench);
    let unrecorded = awake(&bench.cell).len();
    while !bench.record().rows.is_empty() {}
    for _ in 0..3 {
        pass_parking_interval(&mut bench);
    }
    bench.pass(AFTER_LEASES);
    pass_parking_interval(&mut bench);
    pass_parking_interval(&mut bench);

    // Assert
    assert!(unrecorded >= started.len(), "{unrecorded}");
    assert!(awake(&bench.cell).len() <= 2 * tuning::IDLE_RESERVE);
}

#[parameterized(
    a_label = { Step { label: Some(LABEL.to_owned()), ..step(3, 4_000) }, 3 },
    much_memory = { Step { demand: crossweir::cell::spec::Demand { millicores: 1_000, memory: 100_000, gpus: 0 }, ..step(3, 1_000) }, 3 },
    a_gang = { Step { gang: true, label: Some(LABEL.to_owned()), ..step(6, 16_000) }, 6 },
)]
fn a_step_that_only_parked_workers_can_run_wakes_them(wanted: Step, tasks: usize) {
    // Arrange: eight workers with a label and more memory, all parked.
    let ordinary = fleet(FLEET);
    let parked: Vec<usize> = (0..usize::from(FLEET))
        .filter(|&number| ordinary.cell.is_parked(ordinary.worker(number)))
        .take(8)
        .collect();
    let special = |number: u16| {
        let mut entry = worker(number);
        if parked.contains(&usize::from(number)) {
            entry.labels.push(LABEL.to_owned());
            entry.capacity.memory = 200_000;
        }
        entry
    };
    let mut bench = awake_bench(cell((0..FLEET).map(special), Vec::new()));
    bench.accept(&job(1, &queue("q", 0), vec![wanted]));

    // Act
    let at_once = bench.start_all().len();
    let reason = bench
        .cell
        .view(JobId(1), bench.now)
        .expect("a known job")
        .steps[0]
        .waits_for;
    let started = start_all(&mut bench);

    // Assert
    assert_eq!(at_once, 0);
    assert_eq!(reason, Some(WaitReason::Soon));
    assert_eq!(started.len(), tasks);
}

#[test]
fn a_job_wakes_the_rack_that_holds_its_data() {
    let mut bench = fleet(FLEET);
    let number = (0..).find(|&number| bench.cell.is_parked(bench.worker(number)));
    let rack = worker(number.expect("a parked one") as u16).rack;
    let near = Step {
        near: rack.clone(),
        ..step(1, 1_000)
    };

    bench.accept(&job(1, &queue("q", 0), vec![near]));
    pass_parking_interval(&mut bench);

    let numbers = (0..FLEET).filter(|&number| worker(number).rack == rack);
    let parked = numbers.filter(|&number| bench.cell.is_parked(bench.worker(usize::from(number))));
    assert_eq!(parked.count(), 0);
}

#[test]
fn racks_are_awake_or_parked_as_a_whole() {
    let bench = fleet(FLEET);
    let mut racks: BTreeMap<Option<String>, Vec<bool>> = BTreeMap::new();
    for number in 0..FLEET {
        let is_parked = bench.cell.is_parked(bench.worker(usize::from(number)));
        racks
            .entry(worker(number).rack)
            .or_default()
            .push(is_parked);
    }

    let mixed = racks
        .values()
        .filter(|rack| rack.contains(&true) && rack.contains(&false));

    assert!(mixed.count() <= 1);
}

#[test]
fn an_advice_question_wakes_workers_if_too_few_are_awake() {
    // Arrange: a step of more tasks than workers are awake, each of which takes a whole worker.
    let mut bench = fleet(FLEET);
    bench.cell.set_idle_reserve(8);
    for _ in 0..2 {
        bench.pass(AFTER_LEASES);
        pass_parking_interval(&mut bench);
    }
    let before = awake(&bench.cell).len();

    // Act
    bench.accept(&job(
        1,
        &advised_queue("advised", 0),
        vec![step(40, 16_000)],
    ));
    let asked = questions(&bench.decide());

    // Assert
    assert_eq!(before, 8);
    assert_eq!(question_workers(&asked[0]).len(), 8);
    assert!(
        awake(&bench.cell).len() >= 40,
        "{}",
        awake(&bench.cell).len()
    );
}

/// Guards against waking workers in every scheduling round when hundreds of steps wait in a full
/// cell that still has some parked workers.
#[test]
fn a_waiting_step_wakes_workers_some_times_a_second_and_not_in_every_round() {
    // Arrange
    let mut bench = fleet(FLEET);
    bench.cell.set_idle_reserve(8);
    for _ in 0..2 {
        bench.pass(AFTER_LEASES);
        pass_parking_interval(&mut bench);
    }
    bench.accept(&job(1, &queue("q", 0), vec![step(100, 16_000)]));
    let count_woken = |bench: &mut Bench| {
        bench.decide();
        bench.cell.take_unparked().len()
    };

    // Act
    let first = count_woken(&mut bench);
    let next = count_woken(&mut bench);
    bench.now += tuning::WAKE_INTERVAL;
    let later = count_woken(&mut bench);

    // Assert
    assert_eq!((first, next), (92, 0));
    assert!(later > 0);
}

#[parameterized(
    not_listed = { |bench, entry| bench.cell.unlist_worker(&entry.life.id, bench.now) },
    leaving = { |bench, entry| bench.cell.list_worker(WorkerEntry { leaving: Some(5_000), ..entry }, bench.now) },
    another_life = { |bench, mut entry| { entry.life.born = Some(77); bench.cell.list_worker(entry, bench.now) } },
    unreadable = { |bench, entry| bench.cell.mark_entry_outdated(&entry.life.id, bench.now) },
    missing_in_a_list = { |bench, entry| {
        let others = (0..FLEET).map(worker).filter(|other| other.life.id != entry.life.id);
        bench.cell.list_workers(others.collect(), bench.now);
    } },
)]
fn a_parked_worker_is_unparked_when_its_entry_changes(change: fn(&mut Bench, WorkerEntry)) {
    let entry_with_birth = |number: u16| {
        let mut entry = worker(number);
        entry.life.born = Some(7);
        entry
    };
    let mut bench = awake_bench(cell((0..FLEET).map(entry_with_birth), Vec::new()));
    let number = (0..).find(|&number| bench.cell.is_parked(bench.worker(number)));
    let number = number.expect("a parked one");
    let key = bench.worker(number);

    change(&mut bench, entry_with_birth(number as u16));

    assert!(!bench.cell.is_parked(key));
    assert!(bench.cell.take_unparked().contains(&key));
}
