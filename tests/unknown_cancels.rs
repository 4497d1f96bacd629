//! A job that is cancelled before its row has come must not run when it comes ("What is told, and what
//! holds it" in `docs/DESIGN.md`).

mod cell_core;
mod split_cell;
mod virtual_node;

use cell_core::{Bench, job, queue, step};
use crossweir::cell::intake::CancelOutcome;
use crossweir::cell::job::JobState;
use crossweir::cell::spec::JobId;
use crossweir::cell::tuning;
use crossweir::clock::Millis;
use crossweir::node::cleaning::END_RETENTION;
use crossweir::node::front::JobAnswer;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use split_cell::{NODES, SplitCell, StoreState, faults_of_worlds, pass};

/// Tasks may still start for this long after a cancellation was acknowledged.
const CANCEL_TIME: Millis = 3_000;

fn others(cell: &SplitCell) -> Vec<usize> {
    let owner = cell.owners()[0];
    (0..NODES).filter(|&node| node != owner).collect()
}

fn is_acknowledged(answer: JobAnswer) -> bool {
    matches!(answer, JobAnswer::Unknown | JobAnswer::Cancelled)
}

/// What happens between the cancellation and the row.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Meanwhile {
    Nothing,
    OwnerIsKilled,
    OthersAreRestarted,
    AllAreRestarted,
}

/// A submission that stands still in a node must not take effect after its job was cancelled at another
/// one, whichever nodes are lost in between.
#[yare::parameterized(
    nothing = { Meanwhile::Nothing },
    owner_is_killed = { Meanwhile::OwnerIsKilled },
    others_are_restarted = { Meanwhile::OthersAreRestarted },
    all_are_restarted = { Meanwhile::AllAreRestarted },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_job_that_was_cancelled_before_its_row_came_never_runs(meanwhile: Meanwhile) {
    // Arrange.
    let mut cell = SplitCell::settled().await;
    let others = others(&cell);
    let owner = cell.owners()[0];
    let id = cell.next_id();
    cell.hand_in_late(others[0], id, 9_000);

    // Act.
    let answer = cell.cancel(others[1], id).expect("a node").await;
    if meanwhile == Meanwhile::OwnerIsKilled {
        cell.kill(owner);
    }
    for node in 0..NODES {
        let is_restarted = match meanwhile {
            Meanwhile::OthersAreRestarted => node != owner && node != others[0],
            Meanwhile::AllAreRestarted => true,
            Meanwhile::Nothing | Meanwhile::OwnerIsKilled => false,
        };
        if is_restarted {
            cell.kill(node);
            cell.start(node);
        }
    }
    pass(30_000).await;
    let told = cell.ask(others[2], id).expect("a node").await;

    // Assert.
    assert!(is_acknowledged(answer), "{answer:?}");
    assert!(cell.starts(id).is_empty(), "{:?}", cell.starts(id));
    assert_eq!(told, JobAnswer::State(JobState::Cancelled));
    cell.end();
}

/// A transaction that the store does late must not revive a job that was cancelled meanwhile.
#[tokio::test(start_paused = true)]
async fn a_row_that_the_store_writes_late_revives_no_cancelled_job() {
    // Arrange.
    let mut cell = SplitCell::settled().await;
    let others = others(&cell);
    let id = cell.next_id();
    cell.hand_in_late(others[0], id, 20);

    // Act: the cancellation looks for the row and its own record before that row is there.
    let answer = cell.cancel(others[1], id).expect("a node").await;
    pass(10_000).await;

    // Assert.
    assert!(is_acknowledged(answer), "{answer:?}");
    assert!(cell.starts(id).is_empty(), "{:?}", cell.starts(id));
    cell.end();
}

/// A cancellation that nothing holds must not be acknowledged.
#[tokio::test(start_paused = true)]
async fn no_cancellation_is_acknowledged_that_is_not_recorded() {
    // Arrange.
    let mut cell = SplitCell::settled().await;
    let id = cell.next_id();
    let all: Vec<usize> = (0..NODES).collect();
    cell.set_store(&all, StoreState::TurnsAway);

    // Act.
    let answer = cell.cancel(1, id).expect("a node").await;

    // Assert.
    assert_eq!(answer, JobAnswer::Unavailable);
    cell.end();
}

/// The rows of such cancellations must go again, so that callers who cancel unknown ids cannot fill the
/// store.
#[tokio::test(start_paused = true)]
async fn the_row_of_a_cancelled_unknown_job_is_dropped_in_time() {
    // Arrange.
    let mut cell = SplitCell::settled().await;
    let id = cell.next_id();
    let answer = cell.cancel(1, id).expect("a node").await;
    assert!(is_acknowledged(answer), "{answer:?}");

    // Act.
    pass(END_RETENTION - 10_000).await;
    let before = cell.ask(2, id).expect("a node").await;
    pass(30_000).await;
    let after = cell.ask(2, id).expect("a node").await;

    // Assert.
    assert_eq!(before, JobAnswer::State(JobState::Cancelled));
    assert_eq!(after, JobAnswer::Unknown);
    cell.end();
}

/// Callers who cancel unknown ids without end must not use up the owner's memory, nor the promise to
/// others.
#[test]
fn cancellations_of_unknown_jobs_are_limited_and_others_go_on() {
    // Arrange.
    let q = queue("q", 0);
    let mut bench = Bench::new(1, std::slice::from_ref(&q));
    let most = tuning::MAX_UNKNOWN_CANCELS as u64;
    let all = (1..=most).all(|id| bench.cell.cancel_unknown(JobId(id), None));
    assert!(all);

    // Act.
    let next = bench.cell.cancel_unknown(JobId(most + 1), None);
    bench.accept(&job(1, &q, vec![step(1, 1_000)]));
    bench.accept(&job(most + 2, &q, vec![step(1, 1_000)]));
    let batches = (0..most / 80 + 1).map(|_| bench.record().unknown_cancels.len());
    let recorded: usize = batches.sum();
    let started = bench.start_all();

    // Assert.
    assert!(!next, "one more is refused");
    assert_eq!(recorded, most as usize);
    assert_eq!(bench.cell.cancel(JobId(1)), CancelOutcome::Final);
    assert_eq!(started.len(), 1, "the job that nobody cancelled");
    assert!(bench.cell.forget_job(JobId(1)));
    assert!(bench.cell.cancel_unknown(JobId(most + 1), None));
}

/// A random world: jobs that are handed in late and cancelled, while nodes are lost and the store is
/// away.
async fn play(seed: u64) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cell = SplitCell::settled().await;
    let mut cancelled = Vec::new();
    for _ in 0..rng.random_range(5..30) {
        let id = cell.next_id();
        let node = rng.random_range(0..NODES);
        cell.hand_in_late(node, id, rng.random_range(0..12_000));
        pass(rng.random_range(0..2_000)).await;
        let asked = cell.cancel(rng.random_range(0..NODES), id);
        if let Some(asked) = asked
            && is_acknowledged(asked.await)
        {
            cancelled.push((id, cell.now()));
        }
        let node = rng.random_range(0..NODES);
        match rng.random_range(0..10) {
            0..2 => cell.kill(node),
            2..4 => (0..NODES).for_each(|node| cell.start(node)),
            4 => cell.set_store(&[node], StoreState::Silent),
            5 => cell.set_store(&[node], StoreState::LosesAnswers),
            6 => cell.set_store(&[node], StoreState::WritesLate),
            7 => cell.heal(),
            _ => {}
        }
    }
    cell.heal();
    (0..NODES).for_each(|node| cell.start(node));
    pass(40_000).await;
    let late = |&(id, at): &(u64, Millis)| {
        let mut starts = cell.starts(id).into_iter();
        starts.any(|began| began > at + CANCEL_TIME)
    };
    let unasked: Vec<u64> = cancelled
        .iter()
        .filter(|job| late(job))
        .map(|job| job.0)
        .collect();
    let acknowledged = cancelled.len();
    cell.end();
    match unasked.is_empty() {
        true => Ok(()),
        false => Err(format!("of {acknowledged} cancelled jobs {unasked:?} ran")),
    }
}

/// No cancelled job may run in any world.
#[test]
fn no_cancelled_job_runs_in_random_worlds() {
    let faults = faults_of_worlds(|seed| async move { play(seed).await.err() });
    assert!(faults.is_empty(), "{} worlds: {faults:#?}", faults.len());
}
