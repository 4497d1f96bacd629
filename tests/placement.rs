//! Decisions of the placement core, one by one.

use std::collections::HashMap;

use crossweir::backend::local_worker::LocalWorker;
use crossweir::backend::{Exchange, TaskReport, WorkerReply};
use crossweir::clock::Millis;
use crossweir::model::{Class, JobKind, JobSpec, Resources, TaskId};
use crossweir::placement::cell::WorkerInfo;
use crossweir::placement::lease::Standing;
use crossweir::placement::part::Ordering;
use crossweir::placement::task::WaitReason;
use crossweir::placement::{Cell, Limits};

const CAPACITY: Resources = Resources::new(4_000, 8_192, 1);

struct Bench {
    cell: Cell,
    workers: Vec<LocalWorker>,
    now: Millis,
}

fn bench(workers: usize, limits: Limits) -> Bench {
    let mut cell = Cell::new(limits);
    for index in 0..workers {
        let info = WorkerInfo {
            name: format!("w{index}"),
            shard: format!("rack:h{}:{}", index % 2, index % 4),
            hall: format!("h{}", index % 2),
            endpoint: String::new(),
            capacity: CAPACITY,
            leaving: false,
        };
        cell.own_shard(&info.shard, 1);
        cell.allow_inherited(&info.shard, true, 1);
        cell.list_worker(&info, 1);
    }
    let workers = (0..workers)
        .map(|index| LocalWorker::new(index as u64 + 1))
        .collect();
    let mut bench = Bench {
        cell,
        workers,
        now: 1,
    };
    bench.advance(10);
    bench
}

impl Bench {
    fn submit(
        &mut self,
        name: &str,
        kind: JobKind,
        tasks: u32,
        need: Resources,
        runtime: Millis,
        class: Class,
    ) {
        let spec = JobSpec {
            name: name.to_owned(),
            team: name.split('.').next().unwrap_or("t").to_owned(),
            kind,
            tasks,
            resources: need,
            runtime_ms: Some(runtime),
            repeatable: true,
            urgent: class == Class::Urgent,
            command: Vec::new(),
        };
        let patience_ms = if class == Class::Urgent { 100 } else { 60_000 };
        let spread = u32::from(kind == JobKind::Service);
        let ordering = Ordering {
            class,
            patience_ms,
            spread,
        };
        self.cell
            .submit(name, spec, ordering, 1, self.now)
            .expect("a job is taken in");
    }

    /// Lets time pass in steps of 10 ms: plan, record, speak to every worker.
    fn advance(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += 10;
            self.cell.expire(self.now);
            self.cell.plan(self.now);
            while let Some(batch) = self.cell.take_writes(usize::MAX) {
                self.cell.written(&batch, self.now);
            }
            for (index, worker) in self.workers.iter_mut().enumerate() {
                let standing = Standing {
                    shard: String::new(),
                    owner: String::new(),
                    epoch: 1,
                    may_act: true,
                    recorded: true,
                };
                let name = format!("w{index}");
                let msg = self
                    .cell
                    .exchange(&name, &standing, self.now)
                    .expect("a known worker");
                let reply = worker.exchange(&msg, self.now);
                self.cell.on_reply(&name, &msg, &reply, true, self.now);
            }
            self.cell.assert_accounts();
        }
    }

    fn count(&self, job: &str, state: &str) -> u32 {
        let view = self.cell.view(job);
        view.and_then(|view| view.counts.get(state).copied())
            .unwrap_or(0)
    }
}

#[test]
fn urgent_work_displaces_repeatable_batch_work_which_runs_again() {
    // Arrange: no worker has room for the urgent task, and once it has run there is
    // room for the displaced one beside what is kept for the next urgent one.
    let mut bench = bench(2, Limits::default());
    bench.submit(
        "batch",
        JobKind::Batch,
        2,
        Resources::new(3_500, 1_024, 0),
        5_000,
        Class::Batch,
    );
    bench.advance(100);
    assert_eq!(bench.count("batch", "running"), 2);

    // Act.
    bench.submit(
        "urgent",
        JobKind::Batch,
        1,
        Resources::new(1_000, 1_024, 0),
        200,
        Class::Urgent,
    );
    bench.advance(100);

    // Assert.
    assert_eq!(bench.count("urgent", "running"), 1);
    assert_eq!(
        (
            bench.count("batch", "running"),
            bench.count("batch", "pending")
        ),
        (1, 1)
    );
    bench.advance(1_000);
    assert_eq!(
        bench.count("batch", "running"),
        2,
        "the displaced task runs again"
    );
}

#[test]
fn a_team_stays_within_its_quota_and_others_go_on() {
    // Arrange.
    let quotas = HashMap::from([(String::from("small"), 0.25)]);
    let mut bench = bench(
        4,
        Limits {
            quotas,
            ..Limits::default()
        },
    );

    // Act.
    bench.submit(
        "small.a",
        JobKind::Batch,
        8,
        Resources::new(1_000, 512, 0),
        60_000,
        Class::Batch,
    );
    bench.submit(
        "other.a",
        JobKind::Batch,
        8,
        Resources::new(1_000, 512, 0),
        60_000,
        Class::Batch,
    );
    bench.advance(200);

    // Assert: a quarter of 16 cores.
    assert_eq!(bench.count("small.a", "running"), 4);
    assert_eq!(
        bench.cell.view("small.a").and_then(|view| view.waits_for),
        Some(WaitReason::Quota)
    );
    assert_eq!(bench.count("other.a", "running"), 8);
}

#[test]
fn a_job_that_fails_on_every_worker_is_condemned_and_the_workers_are_not() {
    // Arrange: every worker fails what it is given.
    let mut bench = bench(6, Limits::default());
    for worker in &mut bench.workers {
        worker.fail_all = true;
    }

    // Act.
    bench.submit(
        "bad",
        JobKind::Batch,
        20,
        Resources::new(4_000, 512, 0),
        100,
        Class::Batch,
    );
    bench.advance(100);
    for worker in &mut bench.workers {
        worker.fail_all = false;
    }
    bench.advance(5_000);

    // Assert.
    assert_eq!(bench.cell.tally.0.get("job_condemned"), Some(&1));
    assert_eq!(bench.cell.tally.0.get("worker_quarantined"), None);
    bench.submit(
        "good",
        JobKind::Batch,
        6,
        Resources::new(4_000, 512, 0),
        60_000,
        Class::Batch,
    );
    bench.advance(200);
    assert_eq!(bench.count("good", "running"), 6);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    // Arrange: room for three of four.
    let mut bench = bench(4, Limits::default());
    bench.submit(
        "one",
        JobKind::Batch,
        1,
        Resources::new(4_000, 512, 0),
        1_000,
        Class::Batch,
    );
    bench.advance(100);

    // Act.
    bench.submit(
        "gang",
        JobKind::Gang,
        4,
        Resources::new(4_000, 512, 0),
        60_000,
        Class::Batch,
    );
    bench.advance(500);
    let before = (
        bench.count("gang", "running"),
        bench.count("gang", "pending"),
    );
    bench.advance(1_000);

    // Assert.
    assert_eq!(before, (0, 4));
    assert_eq!(bench.count("gang", "running"), 4);
}

#[test]
fn a_service_is_spread_over_halls_and_racks() {
    // Arrange.
    let mut bench = bench(8, Limits::default());

    // Act.
    bench.submit(
        "live",
        JobKind::Service,
        4,
        Resources::new(500, 512, 0),
        0,
        Class::Service,
    );
    bench.advance(100);

    // Assert: four racks, one task in each.
    let view = bench.cell.view("live").expect("a known job");
    let number = |vm: &str| vm[1..].parse::<usize>().expect("a number") % 4;
    let racks: std::collections::BTreeSet<usize> = view
        .tasks
        .iter()
        .filter_map(|task| Some(number(task.vm.as_ref()?)))
        .collect();
    assert_eq!(racks.len(), 4, "{:?}", view.tasks);
}

#[test]
fn an_inventory_that_claims_more_than_the_worker_has_is_refused_and_counted() {
    // Arrange: three tasks of a predecessor, each as large as the worker.
    let mut bench = bench(1, Limits::default());
    let shard = "rack:h0:0";
    bench.submit(
        "old",
        JobKind::Batch,
        3,
        Resources::new(4_000, 512, 0),
        60_000,
        Class::Batch,
    );
    let mut batch = bench.cell.take_writes(1).expect("a record");
    let part = batch.writes.remove(0).part.expect("a part");
    bench.cell.disown_shard(shard);
    bench.cell.own_shard(shard, 2);
    let info = WorkerInfo {
        name: String::from("w0"),
        shard: shard.to_owned(),
        hall: String::from("h0"),
        endpoint: String::new(),
        capacity: CAPACITY,
        leaving: false,
    };
    bench.cell.list_worker(&info, bench.now);
    bench.cell.adopt(shard, &part, true, bench.now);

    // Act: the worker says that all three run.
    let report = |index| TaskReport {
        task: TaskId {
            job: String::from("old"),
            index,
        },
        attempt: 1,
        resources: Resources::new(4_000, 512, 0),
        end: None,
        used: Resources::default(),
    };
    let reply = WorkerReply {
        boot: 1,
        clock: bench.now,
        epoch: 2,
        obeyed: true,
        owner_silence: 0,
        leaving: false,
        inventory: (0..3).map(report).collect(),
    };
    bench
        .cell
        .on_reply("w0", &Exchange::default(), &reply, true, bench.now);

    // Assert: one is taken over, two are refused, counted and stopped.
    bench.cell.assert_accounts();
    assert_eq!(bench.count("old", "running"), 1);
    assert_eq!(bench.cell.violations.0.get("overcommit"), Some(&2));
    assert_eq!(
        bench.cell.worker("w0").map(|worker| worker.stop.len()),
        Some(2)
    );
}

#[test]
fn work_that_needs_an_accelerator_finds_one_each() {
    // Arrange, act.
    let mut bench = bench(3, Limits::default());
    bench.submit(
        "learn",
        JobKind::Batch,
        4,
        Resources::new(500, 512, 1),
        60_000,
        Class::Batch,
    );
    bench.advance(100);

    // Assert.
    assert_eq!(
        (
            bench.count("learn", "running"),
            bench.count("learn", "pending")
        ),
        (3, 1)
    );
}
