//! Idle workers are parked: what an owner does follows the work that there is.
//!
//! The pattern: 6,000 workers of which a tenth is busy, and an owner that looked at all of them had no
//! processor left for those that worked.

mod cell_core;

use std::collections::BTreeMap;

use cell_core::{
    Bench, advised_queue, configuration, job, question_workers, questions, queue, step, worker,
};
use crossweir::cell::order::{EndKind, StartOrder};
use crossweir::cell::roster::RosterEntry;
use crossweir::cell::spec::{JobId, Step};
use crossweir::cell::view::WaitReason;
use crossweir::cell::worker::WorkerEntry;
use crossweir::cell::{Cell, WorkerKey, tuning};
use yare::parameterized;

const FLEET: u16 = 6_000;
/// What only some workers have.
const LABEL: &str = "rare";
/// Longer than a woken worker stays awake, and than any lease.
const LONG: u64 = 11_000;

/// A cell of which no worker has answered yet.
fn cell(workers: impl Iterator<Item = WorkerEntry>, roster: Vec<RosterEntry>) -> Cell {
    let queues = [queue("q", 0), advised_queue("advised", 0)];
    let mut cell = Cell::new(1, configuration(&queues), 1_000);
    cell.set_lanes(&[true]);
    cell.restore_roster(roster, 1_000);
    cell.list_workers(workers.collect(), 1_000);
    cell
}

fn fleet(workers: u16) -> Bench {
    awake_bench(cell((0..workers).map(worker), Vec::new()))
}

/// The workers that are awake have answered and are in the recorded roster.
fn awake_bench(cell: Cell) -> Bench {
    let mut bench = Bench::with(cell, 1_000);
    bench.cell.take_unparked();
    turn(&mut bench);
    turn(&mut bench);
    bench
}

fn awake(cell: &Cell) -> Vec<WorkerKey> {
    let keys = cell.worker_keys().into_iter();
    keys.filter(|&key| !cell.is_parked(key)).collect()
}

/// The owner looks at all workers that are awake, records the roster, and time passes.
fn turn(bench: &mut Bench) {
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

/// Decides in turns until nothing more starts, and returns all starts.
fn start_all(bench: &mut Bench) -> Vec<StartOrder> {
    let mut started = Vec::new();
    let mut idle = 0;
    while idle < 3 {
        let more = bench.start_all();
        idle = if more.is_empty() { idle + 1 } else { 0 };
        started.extend(more);
        turn(bench);
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
fn a_successor_need_not_hear_of_workers_that_were_parked() {
    let bench = fleet(FLEET);
    let (_, roster) = bench.cell.roster();

    let next = cell((0..FLEET).map(worker), roster);

    assert!(awake(&next).len() <= 2 * tuning::IDLE_RESERVE);
}

#[test]
fn nobody_is_parked_unheard_if_the_roster_could_not_be_read_whole() {
    let queues = [queue("q", 0)];
    let mut cell = Cell::new(1, configuration(&queues), 1_000);
    cell.mark_roster_incomplete();

    cell.list_workers((0..FLEET).map(worker).collect(), 1_000);

    assert_eq!(awake(&cell).len(), usize::from(FLEET));
}

#[test]
fn work_that_grows_wakes_as_many_as_it_takes() {
    // Arrange: room for 600 such tasks is awake.
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
fn workers_that_become_idle_are_parked_once_their_ends_are_recorded_and_forgotten() {
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
        turn(&mut bench);
    }
    bench.pass(LONG);
    turn(&mut bench);
    let unrecorded = awake(&bench.cell).len();
    while !bench.record().rows.is_empty() {}
    for _ in 0..3 {
        turn(&mut bench);
    }
    bench.pass(LONG);
    turn(&mut bench);
    turn(&mut bench);

    // Assert
    assert!(unrecorded >= started.len(), "{unrecorded}");
    assert!(awake(&bench.cell).len() <= 2 * tuning::IDLE_RESERVE);
}

#[parameterized(
    a_label = { Step { label: Some(LABEL.to_owned()), ..step(3, 4_000) }, 3 },
    much_memory = { Step { demand: crossweir::cell::spec::Demand { millicores: 1_000, memory: 100_000, gpus: 0 }, ..step(3, 1_000) }, 3 },
    a_gang = { Step { gang: true, label: Some(LABEL.to_owned()), ..step(6, 16_000) }, 6 },
)]
fn what_only_parked_workers_have_wakes_them(wanted: Step, tasks: usize) {
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
        .expect("it is known")
        .steps[0]
        .waits_for;
    let started = start_all(&mut bench);

    // Assert
    assert_eq!(at_once, 0);
    assert_eq!(reason, Some(WaitReason::Soon));
    assert_eq!(started.len(), tasks);
}

#[test]
fn a_job_wakes_the_rack_on_which_its_data_lies() {
    let mut bench = fleet(FLEET);
    let number = (0..).find(|&number| bench.cell.is_parked(bench.worker(number)));
    let rack = worker(number.expect("a parked one") as u16).rack;
    let near = Step {
        near: rack.clone(),
        ..step(1, 1_000)
    };

    bench.accept(&job(1, &queue("q", 0), vec![near]));
    turn(&mut bench);

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
fn a_question_for_advice_wakes_workers_if_too_few_are_awake() {
    // Arrange: a step of which each task takes a worker, and more than are awake.
    let mut bench = fleet(FLEET);
    bench.cell.set_idle_reserve(8);
    for _ in 0..2 {
        bench.pass(LONG);
        turn(&mut bench);
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

/// The load: hundreds of steps wait in a full cell of which some parked workers are left.
#[test]
fn a_step_that_waits_wakes_workers_some_times_a_second_and_not_in_each_round() {
    // Arrange
    let mut bench = fleet(FLEET);
    bench.cell.set_idle_reserve(8);
    for _ in 0..2 {
        bench.pass(LONG);
        turn(&mut bench);
    }
    bench.accept(&job(1, &queue("q", 0), vec![step(100, 16_000)]));
    let counts = |bench: &mut Bench| {
        bench.decide();
        bench.cell.take_unparked().len()
    };

    // Act
    let first = counts(&mut bench);
    let next = counts(&mut bench);
    bench.now += tuning::WAKE_INTERVAL;
    let later = counts(&mut bench);

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
fn a_parked_worker_of_which_something_is_told_is_looked_at(tell: fn(&mut Bench, WorkerEntry)) {
    let born = |number: u16| {
        let mut entry = worker(number);
        entry.life.born = Some(7);
        entry
    };
    let mut bench = awake_bench(cell((0..FLEET).map(born), Vec::new()));
    let number = (0..).find(|&number| bench.cell.is_parked(bench.worker(number)));
    let number = number.expect("a parked one");
    let key = bench.worker(number);

    tell(&mut bench, born(number as u16));

    assert!(!bench.cell.is_parked(key));
    assert!(bench.cell.take_unparked().contains(&key));
}
