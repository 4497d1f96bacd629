//! No two owners of the cell give orders at the same time, whichever paths are cut and whichever
//! nodes the store turns away ("Two owners" in `docs/DESIGN.md`).

mod cell_core;
mod split_cell;
mod virtual_node;

use crossweir::clock::Millis;
use rand::rngs::StdRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use split_cell::{ADDRESSES, NODES, SplitCell, StoreState, WORKERS, faults_of_worlds, pass};

/// Longer than a lease and the time for which an owner goes on without a confirmation.
const LONG: Millis = 12_000;
/// Accepted work may stand still for 3 s that begin 4 s after the last loss.
const SOON: Millis = 7_000;
/// An entry that goes proves that its worker is gone unless the store turns away more nodes, and
/// serves the others (docs/DESIGN.md, "Two owners").
const MOST_TURNED_AWAY: usize = 5;

/// A partition: the owner and nodes beside it, all of which the store treats as given, and the rest.
#[derive(Clone, Copy)]
struct Partition {
    /// How many nodes are on the side of the owner, itself included.
    near: usize,
    store: StoreState,
    /// The workers up to this one are reached by the owner's side only.
    only_near: u16,
    /// The workers from this one on are reached by the other side only.
    only_far: u16,
}

/// The nodes on the owner's side and the others.
fn sides(cell: &SplitCell, near: usize) -> (Vec<usize>, Vec<usize>) {
    let owner = cell.owners()[0];
    let others: Vec<usize> = (0..NODES).filter(|&node| node != owner).collect();
    let (beside, far) = others.split_at(near - 1);
    ([&[owner], beside].concat(), far.to_vec())
}

impl Partition {
    fn apply(&self, cell: &SplitCell) {
        let (near, far) = sides(cell, self.near);
        cell.set_store(&near, self.store);
        cell.part(&near, &far);
        cell.cut_workers(&far, 0..self.only_near);
        cell.cut_workers(&near, self.only_far..WORKERS);
    }
}

/// An owner that the store turns away, with most nodes, must not go on beside a successor that the
/// others have elected: their tasks would run twice.
#[yare::parameterized(
    one_is_turned_away = { 1, StoreState::TurnsAway, 4, 8 },
    two_are = { 2, StoreState::TurnsAway, 4, 8 },
    three_are = { 3, StoreState::TurnsAway, 4, 8 },
    four_are = { 4, StoreState::TurnsAway, 4, 8 },
    five_are = { 5, StoreState::TurnsAway, 4, 8 },
    six_are = { 6, StoreState::TurnsAway, 4, 8 },
    four_without_a_common_worker = { 4, StoreState::TurnsAway, 4, 4 },
    six_without_a_common_worker = { 6, StoreState::TurnsAway, 4, 4 },
    the_store_is_silent_to_four = { 4, StoreState::Silent, 4, 8 },
    the_store_is_silent_to_six = { 6, StoreState::Silent, 4, 4 },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_former_owner_does_not_act_beside_its_successor(
    near: usize,
    store: StoreState,
    only_near: u16,
    only_far: u16,
) {
    // Arrange: three in four workers are full.
    let mut cell = SplitCell::settled().await;
    let owner = cell.owners()[0];
    cell.submit(owner, 12, 40_000).await.expect("a job");
    pass(2_000).await;

    // Act.
    let partition = Partition {
        near,
        store,
        only_near,
        only_far,
    };
    partition.apply(&cell);
    pass(LONG).await;
    let owners = cell.owners();
    cell.heal();
    pass(5_000).await;

    // Assert.
    assert!(owners.iter().any(|&node| node != owner), "a successor");
    let twice = cell.overlapping_runs();
    assert!(
        twice.is_empty(),
        "{} tasks run twice: {:?}",
        twice.len(),
        twice[0]
    );
    cell.end();
}

/// A cell must go on while nobody reaches the store, also if nodes are killed or restarted then.
#[yare::parameterized(
    turned_away = { StoreState::TurnsAway },
    silent = { StoreState::Silent },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn work_goes_on_without_the_store_while_nodes_are_killed_and_restarted(store: StoreState) {
    // Arrange: more tasks than fit, so that some are still to be started.
    let mut cell = SplitCell::settled().await;
    let owner = cell.owners()[0];
    let job = cell.submit(owner, 64, 5_000).await.expect("a job");
    pass(1_000).await;

    // Act: one node after the other, and never more than three at a time, while the store is away.
    let all: Vec<usize> = (0..NODES).collect();
    cell.set_store(&all, store);
    let others: Vec<usize> = all.into_iter().filter(|&node| node != owner).collect();
    for &node in &others {
        cell.kill(node);
        pass(2_000).await;
        let before = others.iter().position(|&other| other == node);
        if let Some(before) = before.and_then(|place| place.checked_sub(2)) {
            cell.start(others[before]);
        }
    }
    pass(12_000).await;

    // Assert.
    assert_eq!(cell.active_owners(), [owner]);
    assert_eq!(cell.done_tasks(job), 64);
    assert!(cell.overlapping_runs().is_empty());
    cell.end();
}

/// An owner that has stopped must not go on because voters that knew of its successor have
/// restarted, and consent now.
#[tokio::test(start_paused = true)]
async fn a_stopped_owner_does_not_go_on_by_the_consent_of_restarted_voters() {
    // Arrange: two nodes with the store have elected a successor, which has started lost tasks.
    let mut cell = SplitCell::settled().await;
    let owner = cell.owners()[0];
    let (near, far) = sides(&cell, 5);
    cell.submit(owner, 8, 40_000).await.expect("a job");
    pass(2_000).await;
    cell.set_store(&near, StoreState::TurnsAway);
    cell.part(&near, &far);
    cell.cut_workers(&far, 0..4);
    cell.cut_workers(&near, 4..WORKERS);
    pass(LONG).await;

    // Act: these restart, are turned away by the store as well, and reach the others again.
    let all: Vec<usize> = (0..NODES).collect();
    cell.join(&near, &far);
    cell.set_store(&all, StoreState::TurnsAway);
    for &node in &far {
        cell.kill(node);
        cell.start(node);
    }
    pass(8_000).await;

    // Assert.
    assert!(!cell.active_owners().contains(&owner));
    assert!(cell.overlapping_runs().is_empty());
    cell.end();
}

/// An owner that reads jobs from the store, but not whether it still owns the cell, must not start
/// what its successor has started.
#[tokio::test(start_paused = true)]
async fn a_former_owner_starts_no_job_of_its_successor_that_it_finds_in_the_store() {
    // Arrange: a successor on the other side has begun a job.
    let mut cell = SplitCell::settled().await;
    let owner = cell.owners()[0];
    let (near, far) = sides(&cell, 4);
    cell.set_store(&near, StoreState::TurnsAway);
    cell.part(&near, &far);
    cell.cut_workers(&far, 0..4);
    pass(5_000).await;
    cell.submit(far[0], 4, 10_000).await.expect("a job");
    pass(2_000).await;

    // Act.
    cell.set_store(&[owner], StoreState::LacksCell);
    pass(5_000).await;

    // Assert.
    assert_eq!(cell.history().len(), 4, "tasks were started");
    let twice = cell.overlapping_runs();
    assert!(twice.is_empty(), "{:?}", twice[0]);
    cell.end();
}

/// A worker whose entry goes while it serves on must not be taken as gone, nor its tasks run twice,
/// as long as a former owner reaches it that the store turns away.
#[yare::parameterized(
    one_is_turned_away = { 1 },
    three_are = { 3 },
    four_are = { 4 },
    five_are = { 5 },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn tasks_of_workers_that_lose_their_entries_do_not_run_twice(near: usize) {
    // Arrange.
    let mut cell = SplitCell::settled().await;
    let owner = cell.owners()[0];
    cell.submit(owner, 12, 40_000).await.expect("a job");
    pass(2_000).await;

    // Act: half of the workers are on the owner's side, where nobody reaches the store.
    let partition = Partition {
        near,
        store: StoreState::TurnsAway,
        only_near: 4,
        only_far: 8,
    };
    partition.apply(&cell);
    (0..4).for_each(|number| cell.unlist_worker(number));
    pass(LONG).await;
    cell.heal();
    cell.list_workers();
    pass(5_000).await;

    // Assert.
    let twice = cell.overlapping_runs();
    assert!(twice.is_empty(), "{} tasks: {:?}", twice.len(), twice[0]);
    cell.end();
}

/// After most nodes and a worker are lost for good, what was accepted before must not stand still
/// for long, however few nodes are left and whether others come in their place.
#[yare::parameterized(
    three_are_left = { 3, 0 },
    two_are_left = { 2, 0 },
    two_are_left_and_five_come = { 2, 5 },
    one_is_left = { 1, 0 },
    one_is_left_and_six_come = { 1, 6 },
    none_is_left_and_seven_come = { 0, 7 },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn lost_tasks_start_soon_after_the_loss_of_most_nodes(left: usize, come: usize) {
    // Arrange: three in four workers are full.
    let mut cell = SplitCell::settled().await;
    let owner = cell.owners()[0];
    let job = cell.submit(owner, 12, 20_000).await.expect("a job");
    pass(2_000).await;

    // Act.
    cell.lose_worker(0);
    cell.lose_worker(1);
    let lost = cell.tasks_without_a_run(job, 12);
    pass(300).await;
    let others = (0..NODES).filter(|&node| node != owner);
    others.skip(left).for_each(|node| cell.kill(node));
    cell.kill(owner);
    if come > 0 {
        pass(4_000).await;
        (NODES..NODES + come).for_each(|node| cell.start(node));
    }
    pass(SOON).await;
    let open = cell.tasks_without_a_run(job, 12);
    pass(30_000).await;

    // Assert.
    assert!(!lost.is_empty(), "some tasks ran on the lost workers");
    assert!(open.is_empty(), "tasks {open:?} run nowhere");
    assert_eq!(cell.done_tasks(job), 12);
    assert!(cell.overlapping_runs().is_empty());
    cell.end();
}

/// What is left of a cell must serve, however many nodes are lost for good, and must start the tasks
/// of workers that are cut off from it soon after the leases there.
#[tokio::test(start_paused = true)]
async fn two_nodes_that_are_left_go_on_and_start_lost_tasks_after_a_bounded_time() {
    // Arrange.
    let mut cell = SplitCell::settled().await;
    let owner = cell.owners()[0];
    let (lost, left) = sides(&cell, 5);
    let former = cell.submit(owner, 12, 20_000).await.expect("a job");
    pass(2_000).await;

    // Act: five nodes are lost for good, and four workers are cut off from the others for good.
    lost.iter().for_each(|&node| cell.kill(node));
    cell.cut_workers(&left, 0..4);
    pass(5_000).await;
    let new = cell.submit(left[0], 4, 1_000).await.expect("a job");
    pass(SOON - 5_000).await;
    let open = cell.tasks_without_a_run(former, 12);
    pass(28_000).await;
    let done_soon = cell.done_tasks(new);
    pass(62_000).await;

    // Assert: the workers that are left have room for eight tasks.
    assert!(open.len() <= 4, "tasks {open:?} run nowhere");
    assert_eq!(done_soon, 4, "tasks of the new job");
    assert_eq!(cell.done_tasks(former), 12);
    assert!(cell.overlapping_runs().is_empty());
    cell.end();
}

/// A random world: partitions of nodes, workers and store, kills and restarts, in series.
async fn play(seed: u64) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cell = SplitCell::settled().await;
    let mut jobs = Vec::new();
    for _ in 0..rng.random_range(1..4) {
        disturb(&mut cell, &mut jobs, &mut rng).await;
        cell.heal();
        cell.list_workers();
        (0..NODES).for_each(|node| cell.start(node));
        pass(rng.random_range(100..6_000)).await;
    }
    pass(60_000).await;
    let twice = cell.overlapping_runs();
    let open: Vec<&(u64, u32)> = jobs
        .iter()
        .filter(|(id, tasks)| cell.done_tasks(*id) < *tasks as usize)
        .collect();
    let owners = cell.owners();
    cell.end();
    match (twice.first(), open.is_empty() && owners.len() == 1) {
        (Some(runs), _) => Err(format!("{} run twice, {runs:?}", twice.len())),
        (None, false) => Err(format!("open jobs {open:?}, owners {owners:?}")),
        (None, true) => Ok(()),
    }
}

/// Cuts paths and lets some time pass, in which jobs come and nodes are killed and restarted.
async fn disturb(cell: &mut SplitCell, jobs: &mut Vec<(u64, u32)>, rng: &mut StdRng) {
    let mut nodes: Vec<usize> = (0..NODES).collect();
    nodes.shuffle(rng);
    if let (Some(&owner), true) = (cell.owners().first(), rng.random_bool(0.7)) {
        let place = nodes
            .iter()
            .position(|&node| node == owner)
            .expect("a node");
        nodes.swap(0, place);
    }
    let (near, far) = nodes.split_at(rng.random_range(1..=NODES));
    submit(cell, jobs, rng).await;
    pass(rng.random_range(100..2_000)).await;
    let store = match rng.random_range(0..10) {
        0..3 => StoreState::Silent,
        3 => StoreState::LacksCell,
        _ => StoreState::TurnsAway,
    };
    cell.set_store(near, store);
    // Some nodes may still be reached by both sides.
    let reached_by_both = if rng.random_bool(0.3) { 1 } else { 0 };
    if rng.random_bool(0.8) {
        cell.part(near, &far[reached_by_both.min(far.len())..]);
    }
    let only_near = rng.random_range(0..=WORKERS);
    cell.cut_workers(far, 0..only_near);
    if rng.random_bool(0.3) {
        cell.cut_workers(near, only_near..WORKERS);
    }
    if near.len() <= MOST_TURNED_AWAY && rng.random_bool(0.5) {
        (0..only_near).for_each(|number| cell.unlist_worker(number));
    }
    let end = rng.random_range(3..30);
    for _ in 0..end {
        pass(1_000).await;
        let node = (0..NODES).choose(rng).expect("a node");
        match rng.random_range(0..10) {
            0 => cell.kill(node),
            1 | 2 => cell.start(node),
            3 => submit(cell, jobs, rng).await,
            _ => {}
        }
    }
}

async fn submit(cell: &mut SplitCell, jobs: &mut Vec<(u64, u32)>, rng: &mut StdRng) {
    let node = rng.random_range(0..NODES);
    let tasks = rng.random_range(1..12);
    let time = rng.random_range(200..15_000);
    jobs.extend(cell.submit(node, tasks, time).await.map(|id| (id, tasks)));
}

/// Two owners must not run a task at the same time in any world.
#[test]
fn no_task_runs_twice_at_the_same_time_in_random_partitions() {
    let faults = faults_of_worlds(|seed| async move { play(seed).await.err() });
    assert!(faults.is_empty(), "{} worlds: {faults:#?}", faults.len());
}

/// A random world without cuts: nodes and workers are lost for good, in series, and others may come
/// in the nodes' place.  What was accepted before must go on soon after the last loss.
async fn play_losses(seed: u64) -> Result<(), String> {
    // Arrange.
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cell = SplitCell::settled().await;
    let tasks = rng.random_range(1..=8);
    let node = rng.random_range(0..NODES);
    let time = rng.random_range(10_000..40_000);
    let job = cell.submit(node, tasks, time).await.expect("a job");
    pass(rng.random_range(50..3_000)).await;

    // Act.
    let mut workers: Vec<u16> = (0..WORKERS).collect();
    workers.shuffle(&mut rng);
    let mut nodes: Vec<usize> = (0..NODES).collect();
    nodes.shuffle(&mut rng);
    let mut come = NODES;
    for _ in 0..rng.random_range(1..4) {
        let lost_workers = rng.random_range(0..2);
        let lost_nodes = rng.random_range(1..=NODES);
        for worker in workers.split_off(workers.len() - lost_workers) {
            cell.lose_worker(worker);
        }
        pass(rng.random_range(0..1_000)).await;
        for node in nodes.split_off(nodes.len().saturating_sub(lost_nodes)) {
            cell.kill(node);
        }
        pass(rng.random_range(0..5_000)).await;
        let missing = NODES - nodes.len();
        let replaced = match nodes.is_empty() {
            true => missing,
            false => rng.random_range(0..=missing),
        };
        for _ in 0..replaced.min(ADDRESSES - come) {
            cell.start(come);
            nodes.push(come);
            come += 1;
        }
        if nodes.is_empty() {
            cell.start(0);
            nodes.push(0);
        }
        pass(rng.random_range(0..4_000)).await;
    }
    pass(SOON).await;

    // Assert.
    let open = cell.tasks_without_a_run(job, tasks);
    let twice = cell.overlapping_runs();
    cell.end();
    match (open.is_empty(), twice.first()) {
        (_, Some(runs)) => Err(format!("{} run twice, {runs:?}", twice.len())),
        (false, None) => Err(format!("tasks {open:?} of {tasks} run nowhere")),
        (true, None) => Ok(()),
    }
}

/// Accepted work must not stand still after losses for good in any world.
#[test]
fn accepted_work_goes_on_soon_after_losses_in_random_worlds() {
    let faults = faults_of_worlds(|seed| async move { play_losses(seed).await.err() });
    assert!(faults.is_empty(), "{} worlds: {faults:#?}", faults.len());
}
