//! An owner whose link is full breaks no rule, and goes on at the rate of its link.

mod cell_core;
mod narrow_cell;
mod split_cell;
mod virtual_node;

use crossweir::cell::name::TaskName;
use crossweir::clock::Millis;
use narrow_cell::wire::ANSWER_TIME;
use narrow_cell::{Narrow, NarrowCell, WORKERS};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use split_cell::{NODES, faults_of, number, pass};
use std::collections::BTreeSet;

/// How many tasks a job has.
const TASKS: u32 = 20;
/// How many bytes the owner's link may carry, in each direction, for each task that ends well while
/// others wait.  What a task needs is some 600 bytes.
const BYTES_PER_TASK: usize = 4_000;
/// How long a burst is followed.
const BURST_TIME: Millis = 40_000;
/// Within how much time the rate is taken at which tasks end.
const RATE_TIME: Millis = 20_000;
/// How long after everything but the jobs is at rest the last of them may end.
const REST_TIME: Millis = 30_000;
/// How long after the loss of a worker its tasks may wait for a start elsewhere.
const RESTART_TIME: Millis = 12_000;
/// How many seeds a test of random worlds plays.
const SEEDS: u64 = 2;

/// A burst of equal tasks at an owner whose link is narrow.
struct Burst {
    nodes: Narrow,
    bytes_per_ms: usize,
    jobs: u32,
    /// How long each task runs.
    time: Millis,
}

impl Burst {
    /// Hands the jobs in, and waits until all tasks have ended, at most for `limit`.
    async fn play(&self, limit: Millis) -> NarrowCell {
        let mut cell = NarrowCell::settled().await;
        let owner = cell.owner().expect("an owner");
        cell.narrow(self.nodes, self.bytes_per_ms);
        cell.submit(owner, self.jobs, TASKS, self.time).await;
        cell.finish(limit).await;
        cell
    }

    /// How many tasks the link has to bring to an end within `time`.
    fn tasks_within(&self, time: Millis) -> usize {
        let all = (self.jobs * TASKS) as usize;
        all.min(time as usize * self.bytes_per_ms / BYTES_PER_TASK)
    }

    /// How long the link may take for all tasks.
    fn time_for_all(&self) -> Millis {
        let bytes = (self.jobs * TASKS) as usize * BYTES_PER_TASK;
        (bytes / self.bytes_per_ms) as Millis
    }
}

fn burst(nodes: Narrow, bytes_per_ms: usize, jobs: u32, time: Millis) -> Burst {
    Burst {
        nodes,
        bytes_per_ms,
        jobs,
        time,
    }
}

/// An owner whose calls were late gave them up, and with them the ends that workers listed in the
/// answers: tasks were started again that had ended well.
#[yare::parameterized(
    short_tasks = { burst(Narrow::Owner, 300, 60, 300) },
    short_tasks_while_all_links_are_narrow = { burst(Narrow::All, 300, 60, 300) },
    tasks_of_a_second = { burst(Narrow::All, 600, 45, 1_000) },
    tasks_of_three_seconds = { burst(Narrow::All, 200, 60, 3_000) },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn no_task_is_started_again_after_its_end_was_listed(burst: Burst) {
    // Arrange, act.
    let mut cell = burst.play(BURST_TIME).await;

    // Assert.
    assert_eq!(cell.unsafety(), None);
    cell.cell.end();
}

/// An owner took its own lateness for silence of the workers, and wrote off what ran there.
#[yare::parameterized(
    at_the_owner = { burst(Narrow::Owner, 300, 60, 3_000) },
    at_all_nodes = { burst(Narrow::All, 300, 45, 3_000) },
    of_short_tasks = { burst(Narrow::All, 300, 60, 300) },
    of_short_tasks_at_a_wider_link = { burst(Narrow::Owner, 600, 60, 300) },
    of_many_short_tasks_at_the_narrowest_link = { burst(Narrow::All, 100, 100, 300) },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn no_lease_of_a_sound_worker_runs_out_for_a_narrow_link(burst: Burst) {
    // Arrange, act.
    let mut cell = burst.play(BURST_TIME).await;

    // Assert.
    let lapsed = (cell.lapsed_runs().len(), cell.written_off());
    assert_eq!(lapsed, (0, 0), "runs that lapsed, or were written off");
    cell.cell.end();
}

/// An owner with a full link sent everything again and again, and got hardly anything done.
#[yare::parameterized(
    few_jobs = { burst(Narrow::All, 80, 30, 300) },
    many_jobs = { burst(Narrow::All, 80, 200, 300) },
    few_jobs_at_a_wider_link = { burst(Narrow::All, 300, 60, 1_000) },
    many_jobs_at_a_wider_link = { burst(Narrow::All, 600, 100, 1_000) },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn tasks_end_at_the_rate_of_the_link_however_many_wait(burst: Burst) {
    // Arrange, act.
    let mut cell = burst.play(RATE_TIME).await;

    // Assert.
    let (done, expected) = (cell.done_tasks(), burst.tasks_within(RATE_TIME));
    assert!(done >= expected, "{done} tasks, expected {expected}");
    cell.cell.end();
}

/// An owner with a full link never came to the end of a burst.
#[yare::parameterized(
    of_short_tasks = { burst(Narrow::All, 80, 100, 300) },
    of_long_tasks = { burst(Narrow::All, 300, 60, 3_000) },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn all_jobs_end_well_after_a_burst_without_a_stronger_node(burst: Burst) {
    // Arrange, act.
    let mut cell = burst.play(burst.time_for_all() + REST_TIME).await;

    // Assert.
    assert_eq!(cell.done_tasks(), cell.all_tasks());
    cell.cell.end();
}

/// A random world.
struct Play {
    cell: NarrowCell,
    rng: StdRng,
    /// Workers that were neither lost nor cut off for good.
    left: Vec<u16>,
    /// What ran on lost workers, and when these were lost.
    lost: Vec<(Millis, BTreeSet<TaskName>)>,
}

impl Play {
    async fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut left: Vec<u16> = (0..WORKERS).collect();
        left.shuffle(&mut rng);
        Self {
            cell: NarrowCell::settled().await,
            rng,
            left,
            lost: Vec::new(),
        }
    }

    /// Makes links narrow, for good or for a time.
    fn narrow(&mut self) {
        let nodes = match self.rng.random_bool(0.5) {
            true => Narrow::Owner,
            false => Narrow::All,
        };
        self.cell.narrow(nodes, self.rng.random_range(150..800));
    }

    async fn submit(&mut self) {
        let node = self.rng.random_range(0..NODES);
        let jobs = self.rng.random_range(1..20);
        let time = self.rng.random_range(200..4_000);
        self.cell.submit(node, jobs, TASKS, time).await;
    }

    /// Takes up to `limit` workers from those that are left, the busiest of them as a rule.
    fn take_workers(&mut self, limit: usize) -> Vec<u16> {
        let count = self.rng.random_range(1..=limit);
        if self.rng.random_bool(0.8) {
            let cell = &self.cell;
            let tasks = |number: &u16| cell.tasks_on(&[*number]).len();
            self.left.sort_by_cached_key(tasks);
        }
        self.left.split_off(self.left.len() - count)
    }

    /// Loses up to three workers for good, by their end or by a cut.
    fn lose_workers(&mut self) {
        let lost = self.take_workers(3);
        let tasks = self.cell.tasks_on(&lost);
        self.lost.push((self.cell.cell.now(), tasks));
        if self.rng.random_bool(0.5) {
            lost.iter()
                .for_each(|&number| self.cell.cell.lose_worker(number));
        } else {
            self.cut(&lost);
        }
    }

    /// Cuts up to eight workers off for some seconds.
    async fn cut_for_a_time(&mut self) {
        let cut = self.take_workers(8);
        self.cut(&cut);
        pass(self.rng.random_range(1_000..7_000)).await;
        self.cell.cell.join_workers(&cut);
        self.left.extend(cut);
    }

    /// Makes workers' answers late for some seconds.
    async fn delay_answers(&mut self) {
        let time = self.rng.random_range(50..400);
        self.cell.wire.set_answer_time(time);
        pass(self.rng.random_range(1_000..7_000)).await;
        self.cell.wire.set_answer_time(ANSWER_TIME);
    }

    fn cut(&self, workers: &[u16]) {
        let nodes: Vec<usize> = (0..NODES).collect();
        self.cell.cell.cut_workers(&nodes, workers.iter().copied());
    }

    /// Hands jobs in, and lets something happen to workers or to their answers.
    async fn disturb(&mut self) {
        self.submit().await;
        pass(self.rng.random_range(200..2_000)).await;
        match self.rng.random_range(0..4) {
            0 => self.lose_workers(),
            1 => self.cut_for_a_time().await,
            2 => self.delay_answers().await,
            _ => {}
        }
        pass(self.rng.random_range(500..3_000)).await;
    }

    /// Checks that the lost workers' tasks were started again; returns what is wrong otherwise.
    fn standstill(&self) -> Option<String> {
        let mut open = self.lost.iter().filter_map(|(since, tasks)| {
            let open = self.cell.not_started_within(*since, RESTART_TIME, tasks);
            (!open.is_empty()).then(|| format!("{} tasks lost at {since} stand still", open.len()))
        });
        open.next()
    }
}

/// Plays a random world.  Returns what is wrong with it, if anything is.
async fn play(seed: u64) -> Option<String> {
    let mut play = Play::new(seed).await;
    play.narrow();
    let is_narrow_for_good = play.rng.random_bool(0.5);
    for _ in 0..play.rng.random_range(1..4) {
        play.disturb().await;
    }
    if !is_narrow_for_good {
        play.cell.widen();
    }
    pass(RESTART_TIME).await;
    play.cell.finish(REST_TIME).await;
    let (done, all) = (play.cell.done_tasks(), play.cell.all_tasks());
    let open = (done < all).then(|| format!("{done} of {all} tasks have ended well"));
    let fault = play.cell.unsafety().or(play.standstill()).or(open);
    play.cell.cell.end();
    fault
}

/// A full link, cuts, losses and late answers together made owners start tasks again that had ended
/// well, or leave lost ones.
#[yare::parameterized(
    first_block = { 0 },
    second_block = { 1 },
    third_block = { 2 },
    fourth_block = { 3 },
    fifth_block = { 4 },
    sixth_block = { 5 },
)]
fn tasks_end_once_and_lost_ones_start_again_in_random_worlds(block: u64) {
    let runs = number("CROSSWEIR_RUNS", SEEDS);
    let first = number("CROSSWEIR_SEED", 1) + block * runs;
    let faults = faults_of(first..first + runs, play);
    assert!(faults.is_empty(), "{} worlds: {faults:#?}", faults.len());
}
