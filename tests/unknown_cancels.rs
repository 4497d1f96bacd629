//! A job that is cancelled before its row has come must not run when it comes ("What is told, and
//! what holds it" in `docs/DESIGN.md`).

mod cell_core;
mod split_cell;
mod virtual_node;

use cell_core::{Bench, job, queue, step, workspace};
use crossweir::cell::job::JobState;
use crossweir::cell::spec::JobId;
use crossweir::cell::tuning;
use crossweir::clock::Millis;
use crossweir::node::cleaning::END_RETENTION;
use crossweir::node::front::JobAnswer;
use crossweir::store::Table;
use crossweir::workspace::Caller;
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

/// A submission that stands still in a node must not take effect after its job was cancelled at
/// another one, whichever nodes are lost in between.
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
    let id = cell.next_id();
    cell.hand_in_late(others[0], id, 9_000);

    // Act.
    let answer = cell.cancel(others[1], id).expect("a node").await;
    disturb(&mut cell, meanwhile, others[0]);
    pass(30_000).await;
    let told = cell.ask(others[2], id).expect("a node").await;

    // Assert.
    assert!(is_acknowledged(answer), "{answer:?}");
    assert!(cell.starts(id).is_empty(), "{:?}", cell.starts(id));
    assert_eq!(told, JobAnswer::State(JobState::Cancelled));
    cell.end();
}

/// Passes over what happens between the cancellation and the row, of which `keeper` is a node that
/// goes on.
fn disturb(cell: &mut SplitCell, meanwhile: Meanwhile, keeper: usize) {
    let owner = cell.owners()[0];
    if meanwhile == Meanwhile::OwnerIsKilled {
        cell.kill(owner);
    }
    for node in 0..NODES {
        let is_restarted = match meanwhile {
            Meanwhile::OthersAreRestarted => node != owner && node != keeper,
            Meanwhile::AllAreRestarted => true,
            Meanwhile::Nothing | Meanwhile::OwnerIsKilled => false,
        };
        if is_restarted {
            cell.kill(node);
            cell.start(node);
        }
    }
}

fn caller(workspace: &str) -> Caller {
    Caller::Workspace(workspace.to_owned())
}

/// The cancellation of an id must not take away the job that another workspace has handed in under
/// it.
#[yare::parameterized(
    nothing = { Meanwhile::Nothing },
    owner_is_killed = { Meanwhile::OwnerIsKilled },
    others_are_restarted = { Meanwhile::OthersAreRestarted },
    all_are_restarted = { Meanwhile::AllAreRestarted },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_cancellation_does_not_hold_for_the_job_of_another_workspace(meanwhile: Meanwhile) {
    // Arrange.
    let mut cell = SplitCell::settled().await;
    let others = others(&cell);
    let id = cell.next_id();
    cell.hand_in_late_for(Some(workspace("ours", 16)), others[0], id, 9_000);

    // Act.
    let theirs = cell.cancel_as(caller("theirs"), others[1], id);
    let theirs = theirs.expect("a node").await;
    disturb(&mut cell, meanwhile, others[0]);
    pass(30_000).await;
    let told = cell.ask_as(caller("ours"), others[2], id).expect("a node");
    let told = told.await;

    // Assert.
    assert_eq!(theirs, JobAnswer::Unknown);
    assert_eq!(told, JobAnswer::State(JobState::Succeeded));
    cell.end();
}

/// Also a workspace that cancels second must be sure that its job never runs.
#[yare::parameterized(
    nothing = { Meanwhile::Nothing },
    owner_is_killed = { Meanwhile::OwnerIsKilled },
    all_are_restarted = { Meanwhile::AllAreRestarted },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn each_workspace_that_cancels_an_id_is_heard(meanwhile: Meanwhile) {
    // Arrange.
    let mut cell = SplitCell::settled().await;
    let others = others(&cell);
    let id = cell.next_id();
    cell.hand_in_late_for(Some(workspace("ours", 16)), others[0], id, 9_000);

    // Act.
    let theirs = cell.cancel_as(caller("theirs"), others[1], id);
    let theirs = theirs.expect("a node").await;
    let ours = cell.cancel_as(caller("ours"), others[1], id);
    let ours = ours.expect("a node").await;
    disturb(&mut cell, meanwhile, others[0]);
    pass(30_000).await;
    let told = cell.ask_as(caller("ours"), others[2], id).expect("a node");
    let told = told.await;

    // Assert.
    assert_eq!(theirs, JobAnswer::Unknown);
    assert!(is_acknowledged(ours), "{ours:?}");
    assert!(cell.starts(id).is_empty(), "{:?}", cell.starts(id));
    assert_eq!(told, JobAnswer::State(JobState::Cancelled));
    cell.end();
}

/// An id that others have cancelled must not be refused as one in use.
#[tokio::test(start_paused = true)]
async fn an_id_that_another_workspace_has_cancelled_is_free() {
    // Arrange.
    let mut cell = SplitCell::settled().await;
    let id = cell.next_id();
    let theirs = cell.cancel_as(caller("theirs"), 1, id);
    theirs.expect("a node").await;

    // Act.
    let operator = cell.ask_as(Caller::Operator, 2, id).expect("a node").await;
    let ours = cell.ask_as(caller("ours"), 2, id).expect("a node").await;
    let theirs = cell.ask_as(caller("theirs"), 2, id).expect("a node").await;

    // Assert: nodes ask the owner as the operator whether an id is in use.
    assert_eq!(operator, JobAnswer::Unknown);
    assert_eq!(ours, JobAnswer::Unknown);
    assert_eq!(theirs, JobAnswer::Unknown);
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

/// The rows of such cancellations must go again, so that callers who cancel unknown ids cannot fill
/// the store.
#[tokio::test(start_paused = true)]
async fn the_row_of_a_cancelled_unknown_job_is_dropped_in_time() {
    // Arrange.
    let mut cell = SplitCell::settled().await;
    let id = cell.next_id();
    let answer = cell.cancel(1, id).expect("a node").await;
    assert!(is_acknowledged(answer), "{answer:?}");

    // Act.
    pass(END_RETENTION - 10_000).await;
    let before = cell.count_rows(Table::Progress).await;
    pass(30_000).await;
    let after = cell.count_rows(Table::Progress).await;

    // Assert.
    assert_eq!((before, after), (1, 0));
    cell.end();
}

/// A cancellation that is repeated when the first one is nearly forgotten must hold for as long
/// again.
#[yare::parameterized(
    owner_lives = { Meanwhile::Nothing },
    owner_is_killed = { Meanwhile::OwnerIsKilled },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_repeated_cancellation_holds_anew(meanwhile: Meanwhile) {
    // Arrange.
    let mut cell = SplitCell::settled().await;
    let others = others(&cell);
    let id = cell.next_id();
    cell.cancel(others[1], id).expect("a node").await;
    pass(END_RETENTION - 5_000).await;
    disturb(&mut cell, meanwhile, others[0]);
    pass(3_000).await;

    // Act.
    let answer = cell.cancel(others[1], id).expect("a node").await;
    cell.hand_in_late(others[0], id, 60_000);
    pass(90_000).await;

    // Assert.
    assert!(is_acknowledged(answer), "{answer:?}");
    assert!(cell.starts(id).is_empty(), "{:?}", cell.starts(id));
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
    let cancel = |bench: &mut Bench, id| {
        let now = bench.now;
        bench
            .cell
            .cancel_unknown(JobId(id), &Caller::Anonymous, now)
    };
    let all: Vec<_> = (1..=most).filter_map(|id| cancel(&mut bench, id)).collect();
    assert_eq!(all.len(), most as usize);

    // Act.
    let next = cancel(&mut bench, most + 1);
    bench.accept(&job(1, &q, vec![step(1, 1_000)]));
    bench.accept(&job(most + 2, &q, vec![step(1, 1_000)]));
    let batches = (0..most / 80 + 1).map(|_| bench.record().unknown_cancels.len());
    let recorded: usize = batches.sum();
    let started = bench.start_all();

    // Assert.
    assert_eq!(next, None, "one more is refused");
    assert_eq!(recorded, most as usize);
    assert_eq!(bench.state(1), Some(JobState::Cancelled));
    assert_eq!(started.len(), 1, "the job that nobody cancelled");
    bench.cell.forget_unknown_cancel(all[0]);
    assert_ne!(cancel(&mut bench, most + 1), None);
}

/// A job of a random world.
struct Submitted {
    id: u64,
    /// When a caller that may see the job was told that it is cancelled; none if none was.
    cancelled_at: Option<Millis>,
    /// A caller that may see it has tried to cancel it.
    may_be_cancelled: bool,
}

impl Submitted {
    fn fault(&self, cell: &SplitCell) -> Option<String> {
        let starts = cell.starts(self.id);
        let is_late = |at: Millis| starts.iter().any(|&began| began > at + CANCEL_TIME);
        if self.cancelled_at.is_some_and(is_late) {
            return Some(format!("cancelled job {} ran", self.id));
        }
        let is_lost = !self.may_be_cancelled && starts.is_empty();
        is_lost.then(|| format!("job {} was cancelled by others only and never ran", self.id))
    }
}

fn random_caller(rng: &mut StdRng) -> Caller {
    match rng.random_range(0..4) {
        0 => Caller::Anonymous,
        1 => Caller::Operator,
        2 => caller("ours"),
        _ => caller("theirs"),
    }
}

/// A random world: jobs of workspaces and public ones that are handed in late and cancelled by
/// whoever it may be, while nodes are lost and the store is away.
async fn play(seed: u64) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cell = SplitCell::settled().await;
    let mut submitted = Vec::new();
    for _ in 0..rng.random_range(5..30) {
        let id = cell.next_id();
        let node = rng.random_range(0..NODES);
        let workspace = rng.random_bool(0.5).then(|| workspace("ours", 64));
        cell.hand_in_late_for(workspace.clone(), node, id, rng.random_range(0..12_000));
        pass(rng.random_range(0..2_000)).await;
        let mut job = Submitted {
            id,
            cancelled_at: None,
            may_be_cancelled: false,
        };
        for _ in 0..rng.random_range(1..3) {
            let caller = random_caller(&mut rng);
            let may_see = caller.may_see(workspace.as_ref().map(|w| w.name.as_str()));
            job.may_be_cancelled |= may_see;
            let asked = cell.cancel_as(caller, rng.random_range(0..NODES), id);
            if let Some(asked) = asked
                && is_acknowledged(asked.await)
                && may_see
            {
                job.cancelled_at.get_or_insert(cell.now());
            }
        }
        submitted.push(job);
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
    let faults: Vec<String> = submitted
        .iter()
        .filter_map(|job| job.fault(&cell))
        .collect();
    cell.end();
    match faults.is_empty() {
        true => Ok(()),
        false => Err(faults.join(", ")),
    }
}

/// In no world may a cancelled job run, nor may one be lost that only callers of others have
/// cancelled.
#[test]
fn no_cancelled_job_runs_in_random_worlds() {
    let faults = faults_of_worlds(|seed| async move { play(seed).await.err() });
    assert!(faults.is_empty(), "{} worlds: {faults:#?}", faults.len());
}
