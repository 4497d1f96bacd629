//! What the core learns about the speed of workers, and how it uses that.
//!
//! Guards against urgent jobs that are late because one of their tasks was placed on a slow worker
//! although fast ones were free.  A third of the workers take up to twice as long.  The cells here are scaled down to 30 or fewer workers.

mod cell_core;

use std::collections::{BTreeMap, BTreeSet};

use cell_core::{
    Bench, advised_queue, configuration, job, listed_end, listed_run, question_workers, questions,
    queue, starts, step, stops, worker,
};
use crossweir::cell::job::JobState;
use crossweir::cell::membership::LostBy;
use crossweir::cell::name::TaskName;
use crossweir::cell::options::Options;
use crossweir::cell::order::{EndEntry, EndKind, PollReport, RunningEntry, StartOrder};
use crossweir::cell::spec::Step;
use crossweir::cell::speed::SpeedPreference;
use crossweir::cell::worker::WorkerEntry;
use crossweir::cell::{Cell, WorkerKey};
use crossweir::clock::Millis;
use crossweir::queue::Queue;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The time between two polls of a worker.
const TURN: Millis = 20;
/// The time between two polls of a worker whose polls are late or lost.
const LONG_TURN: Millis = 1_300;
/// The time after which a late answer to a start arrives.
const LATE_ANSWER: Millis = 400;

/// A run that has not ended.
struct Active {
    worker: WorkerKey,
    task: TaskName,
    number: u64,
    began: Millis,
    takes: Millis,
    how: EndKind,
}

/// A cell whose workers take different times for the same work.
struct Site {
    bench: Bench,
    /// The time of a task on each worker, relative to the usual time.
    paces: BTreeMap<WorkerKey, f64>,
    /// How far the time of a task differs from its estimate at most, as a share of the estimate.
    scatter: f64,
    rng: SmallRng,
    active: Vec<Active>,
    ends: BTreeMap<WorkerKey, Vec<EndEntry>>,
    last_end: BTreeMap<WorkerKey, u64>,
    /// The estimate of each job's tasks.
    estimates: BTreeMap<u64, Millis>,
    /// The worker and the task of each start, in order.
    started: Vec<(String, String)>,
    ended_runs: usize,
    /// The first run of each task ends early, with a checkpoint.
    interrupts_first_runs: bool,
    /// Workers that are polled once in [`LONG_TURN`] only.
    rarely_polled: BTreeSet<WorkerKey>,
    /// Workers whose answers to starts take [`LATE_ANSWER`], and that list the runs no earlier.
    late_starters: BTreeSet<WorkerKey>,
    /// The starts that are not answered yet, and when they will be.
    unanswered: Vec<(StartOrder, Millis)>,
    next_job: u64,
}

fn speed_on() -> Options {
    Options {
        worker_speed: true,
        ..Options::default()
    }
}

/// A worker whose first label, its kind of machine, is `class`.
fn worker_of(number: u16, class: &str) -> WorkerEntry {
    let mut entry = worker(number);
    entry.labels[0] = class.to_owned();
    entry
}

impl Site {
    /// Makes a cell in which worker `i` has the class and the pace `workers[i]`.
    fn new(options: Options, workers: &[(&str, f64)], queues: &[Queue]) -> Self {
        let mut cell = Cell::new(1, configuration(queues), 1_000);
        cell.set_options(options);
        cell.set_lanes(&[true, true]);
        let entries = (0..).zip(workers);
        let entries = entries.map(|(number, (class, _))| worker_of(number, class));
        cell.list_workers(entries.collect(), 1_000);
        let mut bench = Bench::with(cell, 1_000);
        bench.poll_all();
        bench.pass(0);
        let numbered = workers.iter().enumerate();
        Self {
            paces: numbered
                .map(|(number, (_, pace))| (bench.worker(number), *pace))
                .collect(),
            bench,
            scatter: 0.0,
            rng: SmallRng::seed_from_u64(20_261_203),
            active: Vec::new(),
            ends: BTreeMap::new(),
            last_end: BTreeMap::new(),
            estimates: BTreeMap::new(),
            started: Vec::new(),
            ended_runs: 0,
            interrupts_first_runs: false,
            rarely_polled: BTreeSet::new(),
            late_starters: BTreeSet::new(),
            unanswered: Vec::new(),
            next_job: 1,
        }
    }

    /// Hands in a job whose steps come one after another and have the same estimate.
    fn submit(&mut self, queue: &Queue, mut steps: Vec<Step>) -> u64 {
        let id = self.next_job;
        self.next_job += 1;
        for (index, step) in steps.iter_mut().enumerate().skip(1) {
            step.after = vec![index - 1];
        }
        self.estimates.insert(id, steps[0].estimate);
        self.bench.accept(&job(id, queue, steps));
        id
    }

    /// Lets one turn pass: a round decides, runs end, and all workers are polled.
    fn turn(&mut self) -> Vec<StartOrder> {
        let orders = self.bench.decide();
        let started = starts(&orders);
        for start in &started {
            self.begin(start);
        }
        for stop in stops(&orders) {
            self.end(stop.task, stop.number, EndKind::Stopped);
        }
        self.bench.pass(TURN);
        let now = self.bench.now;
        let answered = self.unanswered.extract_if(.., |(_, at)| *at <= now);
        for (start, _) in answered.collect::<Vec<_>>() {
            self.bench.start(&start);
        }
        let is_over = |run: &&Active| now >= run.began + run.takes;
        let over = self.active.iter().filter(is_over);
        let over: Vec<_> = over.map(|run| (run.task, run.number, run.how)).collect();
        for (task, number, how) in over {
            self.end(task, number, how);
            self.ended_runs += 1;
        }
        for key in self.paces.keys().copied().collect::<Vec<_>>() {
            let is_unanswered = self
                .unanswered
                .iter()
                .any(|(start, _)| start.to.worker == key);
            let is_late = self.rarely_polled.contains(&key) && now % LONG_TURN >= TURN;
            if !is_unanswered && !is_late {
                self.poll(key);
            }
        }
        self.bench.record();
        started
    }

    fn begin(&mut self, start: &StartOrder) {
        if self.late_starters.contains(&start.to.worker) {
            let answered_at = self.bench.now + LATE_ANSWER;
            self.unanswered.push((start.clone(), answered_at));
        } else {
            self.bench.start(start);
        }
        let estimate = self.estimates[&start.task.step.job.0] as f64;
        let low = 1.0 - self.scatter;
        let scatter = low + 2.0 * self.scatter * self.rng.random::<f64>();
        let worker = start.to.worker;
        let name = start.task.to_string();
        let is_interrupted =
            self.interrupts_first_runs && !self.started.iter().any(|(_, task)| *task == name);
        self.started.push((start.to.life.id.clone(), name));
        self.active.push(Active {
            worker,
            task: start.task,
            number: start.number,
            began: self.bench.now,
            takes: match is_interrupted {
                true => TURN,
                false => (estimate * scatter * self.paces[&worker]) as Millis,
            },
            how: match is_interrupted {
                true => EndKind::Stopped,
                false => EndKind::Done,
            },
        });
    }

    fn end(&mut self, task: TaskName, number: u64, how: EndKind) {
        let is_this = |run: &Active| run.task == task && run.number == number;
        let Some(at) = self.active.iter().position(is_this) else {
            return;
        };
        let run = self.active.remove(at);
        let last = self.last_end.entry(run.worker).or_default();
        *last += 1;
        self.ends.entry(run.worker).or_default().push(EndEntry {
            end_number: *last,
            task,
            number,
            how,
            checkpoint: match how {
                EndKind::Stopped => String::from("half"),
                _ => String::new(),
            },
        });
    }

    fn poll(&mut self, key: WorkerKey) {
        let now = self.bench.now;
        let Some(order) = self.bench.cell.poll_order(key, now) else {
            return;
        };
        let ends = self.ends.entry(key).or_default();
        ends.retain(|end| end.end_number > order.forget);
        let running = self.active.iter().filter(|run| run.worker == key);
        let running = running.map(|run| RunningEntry {
            task: run.task,
            number: run.number,
            checkpoint: String::new(),
            percent: ((now - run.began) * 100 / run.takes.max(1)).min(99) as u32,
            measurement: None,
        });
        let report = PollReport {
            born: None,
            clock: now,
            running: running.collect(),
            ended: ends.clone(),
        };
        self.bench.cell.poll_answered(&order, &report, now);
    }

    /// Has each worker run this many tasks, one at a time.
    fn teach(&mut self, queue: &Queue, runs: usize) {
        for _ in 0..runs {
            let tasks = self.paces.len() as u32;
            let id = self.submit(queue, vec![step(tasks, 16_000)]);
            for _ in 0..2_000 {
                self.turn();
                if self.bench.state(id) == Some(JobState::Succeeded) {
                    break;
                }
            }
            assert_eq!(self.bench.state(id), Some(JobState::Succeeded));
        }
        self.settle();
    }

    /// Lets enough time pass that learned speeds are used.
    fn settle(&mut self) {
        for _ in 0..=100 / TURN {
            self.turn();
        }
    }

    fn slowdown(&self, number: usize) -> f64 {
        self.bench.cell.slowdown(self.bench.worker(number))
    }

    fn slowdowns(&self) -> Vec<f64> {
        let keys = self.paces.keys();
        keys.map(|&key| self.bench.cell.slowdown(key)).collect()
    }
}

/// The queues of the load with uneven workers.
fn urgent_queue() -> Queue {
    Queue {
        stretch: 1.5,
        slack: 300,
        ..queue("urgent", 0)
    }
}

fn batch_queue() -> Queue {
    Queue {
        stretch: 2.2,
        slack: 1_200,
        ..queue("batch", 2)
    }
}

/// Workers of which two thirds take 0.75 to 0.98 of the usual time, and one third, the numbers 2,
/// 5, 8 and so on, twice as long, 1.35 to 2.2.  Their first labels tell this if `classes` is set.
fn uneven_workers(count: usize, classes: bool) -> Vec<(&'static str, f64)> {
    let of = |number: usize| {
        let part = (number % 30) as f64 / 30.0;
        match (number % 3 == 2, classes) {
            (true, true) => ("old", 1.35 + 0.85 * part),
            (true, false) => ("any", 1.35 + 0.85 * part),
            (false, true) => ("new", 0.75 + 0.23 * part),
            (false, false) => ("any", 0.75 + 0.23 * part),
        }
    };
    (0..count).map(of).collect()
}

/// Runs the load of the first cell for a minute, scaled from its 350 workers to the number of
/// `workers`.  Returns how many urgent jobs ended in their granted time, and how many there were.
fn urgent_jobs_in_time(options: Options, workers: &[(&str, f64)]) -> (usize, usize, Site) {
    let (urgent, batch) = (urgent_queue(), batch_queue());
    let mut site = Site::new(options, workers, &[urgent.clone(), batch.clone()]);
    site.scatter = 0.5;
    let size = workers.len() as f64 / 350.0;
    let mut arrivals = SmallRng::seed_from_u64(3);
    let mut due: BTreeMap<u64, Millis> = BTreeMap::new();
    let (mut in_time, mut all) = (0, 0);
    for turn in 0..3_000 {
        // 42 urgent jobs and 4 batch jobs per second in the whole cell.
        if arrivals.random::<f64>() < 42.0 * size * TURN as f64 / 1_000.0 {
            let steps = 1 + usize::from(arrivals.random::<f64>() < 0.6);
            let urgent_step = Step {
                estimate: 540,
                ..step(10, 2_200)
            };
            let id = site.submit(&urgent, vec![urgent_step; steps]);
            let granted = 300 + 540 * 3 / 2 * steps as Millis;
            // The first 10 s are for learning.
            if turn > 500 && turn < 2_800 {
                due.insert(id, site.bench.now + granted);
                all += 1;
            }
        }
        if arrivals.random::<f64>() < 4.0 * size * TURN as f64 / 1_000.0 {
            let batch_step = Step {
                estimate: 5_100,
                ..step(14, 4_500)
            };
            site.submit(&batch, vec![batch_step; 2]);
        }
        site.turn();
        let now = site.bench.now;
        let ended = due
            .keys()
            .filter(|&&id| site.bench.state(id) == Some(JobState::Succeeded));
        for id in ended.copied().collect::<Vec<_>>() {
            in_time += usize::from(now <= due.remove(&id).expect("a due job") + TURN);
        }
    }
    (in_time, all, site)
}

#[test]
fn urgent_jobs_end_in_time_although_a_third_of_the_workers_is_slow() {
    let workers = uneven_workers(60, true);
    let (without, all, _) = urgent_jobs_in_time(Options::default(), &workers);
    let (with, _, _) = urgent_jobs_in_time(speed_on(), &workers);
    println!("{without} without and {with} with the option, of {all}");

    assert!(without * 100 < all * 60, "{without} of {all}");
    assert!(with * 100 >= all * 95, "{with} of {all}");
}

/// The load must not lead to slowdowns that become equal because urgent tasks run only on the fast
/// workers and are then compared with one another.
#[test]
fn the_difference_stays_known_while_urgent_tasks_run_on_the_fast_workers_only() {
    let workers = uneven_workers(30, true);
    let (_, _, site) = urgent_jobs_in_time(speed_on(), &workers);
    for (number, slowdown) in site.slowdowns().into_iter().enumerate() {
        if number % 3 == 2 {
            let actual = workers[number].1 / 0.865;
            let error = slowdown / actual;
            assert!((0.7..1.3).contains(&error), "w{number}: {slowdown}");
        } else {
            assert_eq!(slowdown, 1.0, "w{number}");
        }
    }
}

#[test]
fn slow_workers_are_found_one_by_one_if_their_labels_do_not_tell() {
    let workers = uneven_workers(60, false);
    let (without, all, _) = urgent_jobs_in_time(Options::default(), &workers);
    let (with, _, _) = urgent_jobs_in_time(speed_on(), &workers);
    println!("{without} without and {with} with the option, of {all}");

    assert!(without * 100 < all * 60, "{without} of {all}");
    assert!(with * 100 >= all * 85, "{with} of {all}");
}

#[test]
fn nothing_changes_where_all_workers_are_even() {
    let workers = vec![("a", 1.0); 30];
    let (_, _, without) = urgent_jobs_in_time(Options::default(), &workers);
    let (_, _, with) = urgent_jobs_in_time(speed_on(), &workers);

    assert!(without.ended_runs > 3_000, "{}", without.ended_runs);
    assert_eq!(with.bench.cell.count_uneven_workers(), 0);
    assert_eq!(with.started, without.started);
}

#[test]
fn without_the_option_no_speed_is_learned() {
    let q = queue("q", 0);
    let mut site = Site::new(
        Options::default(),
        &uneven_workers(30, true),
        std::slice::from_ref(&q),
    );
    site.teach(&q, 5);
    assert!(site.slowdowns().iter().all(|&slowdown| slowdown == 1.0));
    assert_eq!(site.bench.cell.count_uneven_workers(), 0);
}

/// Guards against comparing only runs that end together: in a step with many tasks, all runs on the
/// fast workers end before the first one on a slow worker.
#[test]
fn slow_workers_are_found_from_steps_with_many_tasks() {
    let q = queue("q", 0);
    let workers = [("a", 1.0), ("a", 1.0), ("a", 2.0)].repeat(30);
    let mut site = Site::new(speed_on(), &workers, std::slice::from_ref(&q));
    site.teach(&q, 12);

    assert_eq!(site.bench.cell.count_uneven_workers(), 30);
}

/// Guards against a successor that acts on too few runs, and against one that takes long to learn.
#[test]
fn a_new_owner_knows_the_classes_after_some_tens_of_runs() {
    let q = queue("q", 0);
    let mut site = Site::new(
        speed_on(),
        &uneven_workers(30, true),
        std::slice::from_ref(&q),
    );
    site.scatter = 0.5;
    for _ in 0..20 {
        site.submit(&q, vec![step(30, 16_000)]);
    }
    while site.bench.cell.count_uneven_workers() == 0 && site.ended_runs < 1_000 {
        site.turn();
    }

    println!("after {} runs", site.ended_runs);
    assert!((32..=128).contains(&site.ended_runs), "{}", site.ended_runs);
    while site.ended_runs < 250 {
        site.turn();
    }
    let slow = site.slowdowns();
    assert!((0..30).all(|number| (slow[number] > 1.0) == (number % 3 == 2)));
}

#[test]
fn a_worker_that_fails_everything_at_once_gives_no_samples() {
    let q = Queue {
        attempts: 1_000,
        ..queue("q", 0)
    };
    let mut site = Site::new(speed_on(), &[("a", 1.0); 6], std::slice::from_ref(&q));
    let broken = site.bench.worker(0);
    for _ in 0..400 {
        site.submit(&q, vec![step(6, 8_000)]);
        site.turn();
        let failed = site.active.iter().filter(|run| run.worker == broken);
        let failed: Vec<_> = failed.map(|run| (run.task, run.number)).collect();
        for (task, number) in failed {
            site.end(task, number, EndKind::Failed);
        }
    }

    assert!(site.last_end[&broken] >= 4, "{}", site.last_end[&broken]);
    assert!(site.slowdowns().iter().all(|&slowdown| slowdown == 1.0));
}

#[test]
fn a_new_life_of_a_worker_starts_from_the_values_of_its_class() {
    // Arrange: worker 0 is much slower than its class.
    let q = queue("q", 0);
    let mut workers = uneven_workers(30, true);
    workers[0].1 = 3.0;
    let mut site = Site::new(speed_on(), &workers, std::slice::from_ref(&q));
    site.teach(&q, 12);
    assert!(site.slowdown(0) > 1.5, "{}", site.slowdown(0));

    // Act: other lives of workers 0 and 2 answer.
    for number in [0, 2] {
        let report = PollReport {
            born: Some(77),
            clock: site.bench.now,
            running: Vec::new(),
            ended: Vec::new(),
        };
        let key = site.bench.worker(number);
        site.bench.poll_with_report(key, &report);
    }
    site.bench.decide();

    // Assert.
    let old: BTreeSet<WorkerKey> = site.paces.keys().copied().collect();
    let new = site.bench.cell.worker_keys().into_iter();
    let new: Vec<WorkerKey> = new.filter(|key| !old.contains(key)).collect();
    let mut slowdowns: Vec<f64> = new
        .iter()
        .map(|&key| site.bench.cell.slowdown(key))
        .collect();
    slowdowns.sort_unstable_by(f64::total_cmp);
    assert_eq!(slowdowns.len(), 2);
    assert_eq!(slowdowns[0], 1.0);
    assert!((1.8..2.2).contains(&slowdowns[1]), "{slowdowns:?}");
    assert_eq!(site.slowdown(0), 1.0, "the former life is forgotten");
}

#[test]
fn the_values_of_a_worker_that_vanishes_are_dropped() {
    let q = queue("q", 0);
    let mut site = Site::new(
        speed_on(),
        &uneven_workers(30, true),
        std::slice::from_ref(&q),
    );
    site.teach(&q, 3);
    assert_eq!(site.bench.cell.count_uneven_workers(), 10);

    for number in [2, 5, 8] {
        let (key, now) = (site.bench.worker(number), site.bench.now);
        site.bench.cell.lose_worker(key, now, LostBy::OtherLife);
        assert_eq!(site.slowdown(number), 1.0);
    }
    site.bench.pass(100);
    site.bench.decide();

    assert_eq!(site.bench.cell.count_uneven_workers(), 7);
}

#[test]
fn a_worker_that_becomes_slow_or_recovers_is_recognized_after_some_ten_runs() {
    let q = queue("q", 0);
    let mut site = Site::new(speed_on(), &[("a", 1.0); 12], std::slice::from_ref(&q));
    site.teach(&q, 40);
    let key = site.bench.worker(4);

    let mut runs = Vec::new();
    for (pace, is_slow) in [(2.2, true), (1.0, false)] {
        site.paces.insert(key, pace);
        let mut count = 0;
        while (site.slowdown(4) > 1.0) != is_slow && count < 50 {
            site.teach(&q, 1);
            count += 1;
        }
        runs.push(count);
        site.teach(&q, 40 - count.min(40));
    }

    println!("slow after {} runs, recovered after {}", runs[0], runs[1]);
    assert!(runs.iter().all(|runs| (4..=16).contains(runs)), "{runs:?}");
}

/// Guards against workers that are taken for slow because their ends are read late: polls are lost,
/// or wait until former ends are recorded while the store is slow.
#[test]
fn ends_that_are_read_late_give_no_samples() {
    let q = queue("q", 0);
    let mut site = Site::new(speed_on(), &[("a", 1.0); 12], std::slice::from_ref(&q));
    site.teach(&q, 10);
    let late = site.bench.worker(4);
    site.rarely_polled.insert(late);

    site.teach(&q, 20);
    assert_eq!(site.slowdowns(), [1.0; 12]);

    // Its runs count again once it is polled in time.
    site.rarely_polled.clear();
    site.paces.insert(late, 2.2);
    site.teach(&q, 20);
    assert!(site.slowdown(4) > 1.5, "{}", site.slowdown(4));
}

/// Guards against workers that are taken for fast because the owner hears late that their runs have
/// begun.
#[test]
fn runs_whose_begin_is_known_late_give_no_samples() {
    let q = queue("q", 0);
    let mut site = Site::new(speed_on(), &[("a", 1.0); 12], std::slice::from_ref(&q));
    site.teach(&q, 10);
    site.late_starters.insert(site.bench.worker(4));

    site.teach(&q, 20);

    assert_eq!(site.slowdowns(), [1.0; 12]);
}

/// Guards against workers that stay slow for good because the estimates of the only queue that uses
/// them become worse: its short steps are compared with the usual run time of the queue.
#[test]
fn a_queue_whose_estimates_become_worse_does_not_make_its_workers_slow() {
    for (old, tasks) in [(1, 1), (2, 1), (6, 2)] {
        // Arrange: even workers, of which only the queue "pinned" uses the old ones.
        let (q, pinned) = (queue("q", 0), queue("pinned", 1));
        let mut workers = vec![("new", 1.0); 30 - old];
        workers.extend(vec![("old", 1.0); old]);
        let mut site = Site::new(speed_on(), &workers, &[q.clone(), pinned.clone()]);
        site.scatter = 0.3;
        site.teach(&q, 12);
        let step = Step {
            label: Some(String::from("old")),
            ..step(tasks, 16_000)
        };

        for round in 0..140 {
            // Act: after 40 rounds, tasks take twice as long as before.
            let factor = if round < 40 { 1 } else { 2 };
            for _ in 0..old as u32 / tasks {
                let id = site.submit(&pinned, vec![step.clone()]);
                site.estimates.insert(id, step.estimate * factor);
            }
            for _ in 0..45 * factor {
                site.turn();
            }

            // Assert.
            assert_eq!(site.slowdowns(), [1.0; 30], "round {round}, {old} old");
        }
    }
}

#[test]
fn slow_workers_are_found_from_steps_with_one_task() {
    let q = queue("q", 0);
    let workers = uneven_workers(30, true);
    let mut site = Site::new(speed_on(), &workers, std::slice::from_ref(&q));
    site.scatter = 0.3;
    for _ in 0..20 {
        for _ in 0..30 {
            site.submit(&q, vec![step(1, 16_000)]);
        }
        for _ in 0..100 {
            site.turn();
        }
    }

    let slow = site.slowdowns();
    assert!((0..30).all(|number| (slow[number] > 1.0) == (number % 3 == 2)));
}

/// Guards against samples from runs whose time does not depend on their worker alone: all members
/// of a gang wait for the slowest, and fillers run on what other tasks leave.
#[test]
fn gangs_and_fillers_give_no_samples() {
    let gang = Step {
        gang: true,
        ..step(2, 16_000)
    };
    let filler = Step {
        filler: true,
        ..step(2, 16_000)
    };
    for kind in [gang, filler] {
        let q = queue("q", 0);
        let workers = uneven_workers(30, true);
        let mut site = Site::new(speed_on(), &workers, std::slice::from_ref(&q));
        for label in ["old", "new"].repeat(30) {
            let label = Some(label.to_owned());
            site.submit(
                &q,
                vec![Step {
                    label,
                    ..kind.clone()
                }],
            );
        }
        for _ in 0..1_000 {
            site.turn();
        }
        assert!(site.ended_runs >= 60, "{}", site.ended_runs);
        assert_eq!(site.bench.cell.count_uneven_workers(), 0, "{kind:?}");
    }
}

#[test]
fn runs_from_a_checkpoint_give_no_samples() {
    let q = queue("q", 0);
    let mut site = Site::new(
        speed_on(),
        &uneven_workers(30, true),
        std::slice::from_ref(&q),
    );
    site.interrupts_first_runs = true;
    for _ in 0..8 {
        site.submit(&q, vec![step(30, 16_000)]);
    }
    for _ in 0..1_000 {
        site.turn();
    }
    assert!(site.ended_runs >= 2 * 8 * 30, "{}", site.ended_runs);
    assert_eq!(site.bench.cell.count_uneven_workers(), 0);
}

#[test]
fn a_step_prefers_fast_workers_if_a_slow_one_could_make_its_job_late() {
    let lasting = Step {
        lasting: true,
        ..step(1, 1_000)
    };
    let gang = Step {
        gang: true,
        ..step(2, 1_000)
    };
    let preference = SpeedPreference::of;
    // The estimate is 800 ms; with a slowdown of 1.5, a task may take 2,400 ms.
    assert_eq!(
        preference(&step(1, 1_000), 1.5, 2_399),
        SpeedPreference::Fast
    );
    assert_eq!(
        preference(&step(1, 1_000), 1.5, 2_400),
        SpeedPreference::None
    );
    assert_eq!(preference(&step(1, 1_000), 1.5, 0), SpeedPreference::Fast);
    assert_eq!(preference(&gang, 1.5, 1_000_000), SpeedPreference::Fast);
    assert_eq!(preference(&lasting, 1.5, 0), SpeedPreference::Slow);
}

/// Returns a site of six workers that are known to be fast, slow, fast, slow, and so on.
fn taught_site(queues: &[Queue]) -> Site {
    let workers = [("new", 1.0), ("old", 2.0)].repeat(3);
    // The third pair makes the fast ones the typical ones.
    let workers = [workers, vec![("new", 1.0)]].concat();
    let mut site = Site::new(speed_on(), &workers, queues);
    site.teach(&queues[0], 20);
    site
}

/// The positions of the workers on which tasks are started.
fn places(site: &Site, started: &[StartOrder]) -> Vec<usize> {
    let position = |start: &StartOrder| {
        let numbers = 0..site.paces.len();
        let mut numbers = numbers.filter(|&number| site.bench.worker(number) == start.to.worker);
        numbers.next().expect("a known worker")
    };
    started.iter().map(position).collect()
}

fn is_slow(place: &usize) -> bool {
    place % 2 == 1
}

#[test]
fn urgent_tasks_go_to_fast_workers_and_to_slow_ones_only_if_those_are_full() {
    let q = urgent_queue();
    let mut site = taught_site(std::slice::from_ref(&q));
    site.submit(&q, vec![step(5, 16_000)]);

    let started = site.turn();

    let places = places(&site, &started);
    assert_eq!(places.len(), 5, "no task waits for a fast worker");
    assert_eq!(places.iter().filter(|place| is_slow(place)).count(), 1);
}

#[test]
fn lasting_tasks_leave_the_fast_workers_to_others() {
    let q = urgent_queue();
    let mut site = taught_site(std::slice::from_ref(&q));
    let lasting = Step {
        lasting: true,
        ..step(3, 8_000)
    };
    site.submit(&q, vec![lasting]);

    let started = site.turn();

    assert!(places(&site, &started).iter().all(is_slow));
}

#[test]
fn gangs_run_on_fast_workers() {
    let q = Queue {
        slack: 1_000_000,
        ..urgent_queue()
    };
    let mut site = taught_site(std::slice::from_ref(&q));
    let gang = Step {
        gang: true,
        ..step(4, 16_000)
    };
    site.submit(&q, vec![gang]);

    let started = site.turn();

    let places = places(&site, &started);
    assert_eq!(places.len(), 4);
    assert!(!places.iter().any(is_slow), "{places:?}");
}

#[test]
fn tasks_with_time_to_spare_are_placed_by_room_alone() {
    let (q, relaxed) = (
        urgent_queue(),
        Queue {
            slack: 60_000,
            ..queue("relaxed", 1)
        },
    );
    let mut site = taught_site(&[q.clone(), relaxed.clone()]);
    let lasting = Step {
        lasting: true,
        ..step(1, 8_000)
    };
    site.submit(&q, vec![lasting]);
    site.turn();

    site.submit(&relaxed, vec![step(1, 8_000)]);
    let started = site.turn();

    assert!(is_slow(&places(&site, &started)[0]), "the tightest fit");
}

#[test]
fn the_rack_of_the_data_goes_before_the_speed() {
    let q = urgent_queue();
    let workers: Vec<(&str, f64)> = (0..16)
        .map(|number| match number {
            0..8 => ("new", 1.0),
            8 => ("new", 1.0),
            _ => ("old", 2.0),
        })
        .collect();
    let mut site = Site::new(speed_on(), &workers, std::slice::from_ref(&q));
    site.teach(&q, 20);
    let near = Step {
        near: Some(String::from("r1")),
        ..step(2, 16_000)
    };
    site.submit(&q, vec![near]);

    let started = site.turn();

    let places = places(&site, &started);
    assert_eq!(places[0], 8, "the fast worker of the rack");
    assert!(places[1] > 8, "a slow one of the rack");
}

#[test]
fn questions_name_fast_workers_first_if_the_step_prefers_them() {
    let (plain, advised) = (
        urgent_queue(),
        Queue {
            slack: 0,
            ..advised_queue("advised", 0)
        },
    );
    let workers = [("new", 1.0), ("old", 2.0), ("new", 1.0)].repeat(10);
    let mut site = Site::new(speed_on(), &workers, &[plain.clone(), advised.clone()]);
    site.teach(&plain, 20);
    site.submit(&advised, vec![step(1, 1_000)]);

    let asked = questions(&site.bench.decide());

    let step = asked[0].step;
    let named = question_workers(&asked[0]).len();
    assert!(named >= 10, "{named}");
    let old = |key: &WorkerKey| site.paces[key] > 1.0;
    let keys: Vec<WorkerKey> = asked[0].workers.iter().map(|(key, _)| *key).collect();
    let fast = keys.iter().take_while(|key| !old(key)).count();
    assert!(fast >= named.min(20), "{fast} of {named}");
    // What a task takes there.
    let cell = &site.bench.cell;
    assert_eq!(cell.expected_duration(step, site.bench.worker(0)), 800);
    let slow = cell.expected_duration(step, site.bench.worker(1));
    assert!((1_500..1_700).contains(&slow), "{slow}");
}

/// Guards against work that is taken to end before reserved room is needed, and then delays the
/// step that has reserved it.
#[test]
fn a_task_on_a_slow_worker_uses_reserved_room_only_if_it_ends_in_time_there() {
    for (pace, expected) in [(1.0, 1), (2.0, 0)] {
        let (urgent, later) = (queue("urgent", 1), queue("later", 2));
        let workers = [("new", 1.0), ("new", 1.0), ("old", pace)];
        let mut site = Site::new(speed_on(), &workers, &[urgent.clone(), later.clone()]);
        site.teach(&later, 20);
        // The fast workers are lost, so that one is left, whose room is reserved.
        for number in [0, 1] {
            let (key, now) = (site.bench.worker(number), site.bench.now);
            site.bench.cell.lose_worker(key, now, LostBy::OtherLife);
        }
        let running = |estimate, millicores| Step {
            estimate,
            ..step(1, millicores)
        };
        let slowdown = pace;
        let half = (5_000.0 / slowdown) as Millis;
        site.submit(&later, vec![running(half, 8_000)]);
        site.turn();
        site.submit(&urgent, vec![running(800, 16_000)]);
        site.submit(&later, vec![running(3_000, 4_000)]);

        let started = site.turn();

        assert_eq!(started.len(), expected, "with pace {pace}");
    }
}

/// Guards against runs that are stopped as slow on workers known to be slow: they progress as
/// expected there, and each stop costs a start elsewhere and shuns the worker.
#[test]
fn a_run_that_is_as_slow_as_its_worker_is_not_stopped() {
    let stopped = |options: Options| {
        let q = queue("q", 0);
        let mut workers = [("new", 1.0); 12];
        workers[11] = ("old", 7.0);
        let mut site = Site::new(options, &workers, std::slice::from_ref(&q));
        // The slow worker is learned from tasks that are too short to be found slow.
        for _ in 0..24 {
            let tiny = Step {
                estimate: 40,
                ..step(12, 16_000)
            };
            site.submit(&q, vec![tiny]);
            for _ in 0..20 {
                site.turn();
            }
        }
        site.settle();
        let long = Step {
            estimate: 3_000,
            ..step(12, 16_000)
        };
        site.submit(&q, vec![long]);
        let started = site.turn();
        assert_eq!(started.len(), 12);
        for _ in 0..300 {
            site.turn();
        }
        let retried: BTreeSet<&String> = site.started.iter().map(|(_, task)| task).collect();
        site.started.len() - retried.len()
    };

    assert_eq!(stopped(Options::default()), 1);
    assert_eq!(stopped(speed_on()), 0);
}

/// Guards against samples from runs that a former owner started.  They are first seen in the middle
/// or at their end, so they would make their worker look fast.
#[test]
fn runs_of_a_former_owner_give_no_samples() {
    // Arrange: 40 runs that end 10 ms after this owner has seen them, on one worker.
    let q = queue("q", 0);
    let mut bench = Bench::new(12, std::slice::from_ref(&q));
    bench.cell.set_options(speed_on());
    let key = bench.worker(0);
    let elsewhere = Step {
        label: Some(String::from("r1")),
        ..step(4, 16_000)
    };
    for id in 1..=40 {
        // Act.
        let row = job(id, &q, vec![step(1, 1_000)]);
        bench.cell.accept(&row, None, true, bench.now);
        let task = format!("{id:016x}.0.0.0");
        bench.poll_with_lists(key, vec![listed_run(&task, 5)], Vec::new());
        let end = listed_end(id, &task, 5, EndKind::Done);
        bench.poll_with_lists(key, Vec::new(), vec![end]);
        // Usual runs on other workers.
        bench.accept(&job(1_000 + id, &q, vec![elsewhere.clone()]));
        for start in bench.start_all() {
            bench.end(start.task, start.number, EndKind::Done);
        }
        bench.pass(800);
        for number in 8..12 {
            bench.poll(bench.worker(number));
        }
        bench.decide();
    }

    // Assert.
    assert!(bench.cell.counts().adopted >= 40);
    assert_eq!(bench.cell.count_uneven_workers(), 0);
}
