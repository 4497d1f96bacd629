//! Long randomised runs of whole instances in virtual time, with faults of every
//! kind, and the promises checked throughout.
//!
//! `CROSSWEIR_SEED` and `CROSSWEIR_RUNS` choose other seeds and more runs:
//!
//!     CROSSWEIR_SEED=1000 CROSSWEIR_RUNS=500 cargo test --release --test chaos

mod virtual_cell;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crossweir::backend::local_store::StoreFault;
use crossweir::daemon::Instance;
use crossweir::daemon::jobs::JobAnswer;
use crossweir::model::{Class, JobKind, JobSpec, Resources};
use crossweir::policy::Bundle;
use crossweir::routing::outcome::OrderKey;
use crossweir::routing::{Outcome, RequestSpec};
use tokio::task::JoinHandle;
use virtual_cell::VirtualCell;

const RUNS: u64 = 6;
const FIRST_SEED: u64 = 1;
const STEPS: u64 = 120;
const INSTANCES: u64 = 4;

/// Panics anywhere in the process; one in a loop of an instance would go unseen.
static PANICS: AtomicUsize = AtomicUsize::new(0);

/// What callers were told, kept to be compared with what happened.
#[derive(Default)]
struct Told {
    jobs: Vec<(String, JobKind, bool, JoinHandle<JobAnswer>)>,
    requests: Vec<(RequestSpec, JoinHandle<Outcome>)>,
    cancelled: BTreeSet<String>,
    sequence: u64,
    changes: Vec<JoinHandle<Option<u64>>>,
    /// The last version seen in force, by instance and start.
    versions: BTreeMap<(String, u64), u64>,
}

#[test]
fn promises_hold_under_random_faults() {
    let number = |name: &str, default| {
        std::env::var(name)
            .ok()
            .and_then(|value| value.parse().ok())
            .unwrap_or(default)
    };
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, Ordering::SeqCst);
        print(info);
    }));
    let first: u64 = number("CROSSWEIR_SEED", FIRST_SEED);
    for seed in first..first + number("CROSSWEIR_RUNS", RUNS) {
        // The seed is printed first, so that a failure names it.
        println!("seed {seed}");
        run(seed);
        assert_eq!(
            PANICS.load(Ordering::SeqCst),
            0,
            "seed {seed}: a loop of an instance has panicked"
        );
    }
}

fn run(seed: u64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(scenario(seed));
}

async fn scenario(seed: u64) {
    // Arrange.
    let mut cell = VirtualCell::new(seed, INSTANCES as usize, 2, 6);
    assert!(
        cell.settle(20_000).await,
        "seed {seed}: the cell never settled"
    );
    cell.world.faults().noise = 3;
    let mut told = Told::default();

    // Act.
    for step in 0..STEPS {
        let pause = cell.world.random(50..1_500);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        act(&mut cell, &mut told, step);
        note_versions(&cell, &mut told, seed);
        let doubles = cell.world.double_runs();
        assert!(doubles.is_empty(), "seed {seed}, step {step}: {doubles:?}");
    }
    heal(&mut cell);
    let healed = cell.settle(60_000).await;
    assert!(
        healed,
        "seed {seed}: the cell never healed: {:#?}",
        cell.statuses()
    );
    tokio::time::sleep(Duration::from_secs(90)).await;

    // Assert.
    assert_safe(&cell, seed);
    assert_configuration(&cell, &mut told, seed).await;
    assert_jobs(&cell, &mut told, seed).await;
    assert_requests(&cell, &mut told, seed).await;
}

/// Does one random thing: work arrives, something breaks or something mends.
fn act(cell: &mut VirtualCell, told: &mut Told, step: u64) {
    let world = Arc::clone(&cell.world);
    let any = format!("e{}", world.random(0..INSTANCES));
    let other = format!("e{}", world.random(0..INSTANCES));
    let workers = world.worker_names();
    let worker = workers[world.random(0..workers.len() as u64) as usize].clone();
    match world.random(0..27) {
        0..6 => submit(cell, told, &any, step),
        6..11 => request(cell, told, &any, step),
        11 => cancel(cell, told, &any),
        12 => toggle(&mut world.faults().cut, (any, String::from("store"))),
        13 | 14 => toggle(&mut world.faults().cut, (any, worker)),
        15 if any != other => toggle(&mut world.faults().cut, (any, other)),
        16 | 17 => toggle(&mut world.faults().frozen, any),
        18 => {
            let faults = [StoreFault::Down, StoreFault::ReplyLost, StoreFault::None];
            world.faults().store = faults[world.random(0..3) as usize];
        }
        19 => {
            cell.kill(&any);
            cell.start_instance(&any, &format!("h{}", step % 2));
        }
        20 => world.restart_worker(&worker),
        22 => change_configuration(cell, told, &any),
        23 => cell.instances[&any].begin_drain(),
        21 => world.set_fail_all(&worker, world.random(0..2) == 0),
        _ => mend(cell),
    }
}

fn toggle<T: Ord>(set: &mut BTreeSet<T>, item: T) {
    if !set.remove(&item) {
        set.insert(item);
    }
}

fn mend(cell: &VirtualCell) {
    let mut faults = cell.world.faults();
    faults.cut.pop_first();
    faults.frozen.pop_first();
    faults.store = StoreFault::None;
}

fn heal(cell: &mut VirtualCell) {
    *cell.world.faults() = virtual_cell::Faults::default();
    let names: Vec<String> = cell.instances.keys().cloned().collect();
    for name in names
        .iter()
        .filter(|name| cell.instances[*name].is_draining())
        .cloned()
        .collect::<Vec<_>>()
    {
        cell.kill(&name);
        cell.start_instance(&name, "h0");
    }
    for worker in cell.world.worker_names() {
        cell.world.set_fail_all(&worker, false);
    }
}

fn submit(cell: &VirtualCell, told: &mut Told, name: &str, step: u64) {
    let world = &cell.world;
    let kind = [JobKind::Service, JobKind::Batch, JobKind::Gang][world.random(0..3) as usize];
    let spec = JobSpec {
        name: format!("j{step}"),
        team: String::from("t"),
        kind,
        tasks: world.random(1..5) as u32,
        // Services stay for ever, so they are small enough that all find room.
        resources: Resources::new(
            world.random(200..if kind == JobKind::Service { 400 } else { 2_000 }),
            512,
            0,
        ),
        runtime_ms: Some(world.random(50..6_000)),
        repeatable: kind != JobKind::Batch || world.random(0..2) == 0,
        urgent: kind == JobKind::Batch && world.random(0..4) == 0,
        command: Vec::new(),
    };
    let instance: Arc<Instance> = Arc::clone(&cell.instances[name]);
    let (id, kind, repeatable) = (format!("t.j{step}"), spec.kind, spec.repeatable);
    let handle = tokio::spawn(async move { instance.submit(spec).await });
    told.jobs.push((id, kind, repeatable, handle));
}

fn request(cell: &VirtualCell, told: &mut Told, name: &str, step: u64) {
    let ordered = cell.world.random(0..3) == 0;
    if ordered {
        told.sequence += 1;
    }
    let repeatable = !ordered && cell.world.random(0..2) == 0;
    let spec = RequestSpec {
        id: format!("r{step}"),
        service: String::from("echo"),
        path: String::from("/"),
        team: String::from("t"),
        class: Class::Urgent,
        repeatable,
        key: Some(format!("r{step}")),
        order: ordered.then(|| OrderKey {
            stream: String::from("s"),
            sequence: told.sequence,
        }),
        remaining_ms: 4_000,
        marked: false,
        hops: 0,
    };
    // A caller that is unsure asks twice, the second time through another instance.
    let again = format!("e{}", cell.world.random(0..INSTANCES));
    for name in [name, again.as_str()] {
        let instance: Arc<Instance> = Arc::clone(&cell.instances[name]);
        let (spec, body) = (spec.clone(), spec.id.clone().into_bytes());
        let copy = spec.clone();
        let handle = tokio::spawn(async move { instance.serve_request(spec, body).await });
        told.requests.push((copy, handle));
    }
}

fn cancel(cell: &VirtualCell, told: &mut Told, name: &str) {
    let Some((id, ..)) = told.jobs.last() else {
        return;
    };
    told.cancelled.insert(id.clone());
    let instance: Arc<Instance> = Arc::clone(&cell.instances[name]);
    let id = id.clone();
    tokio::spawn(async move { instance.cancel(&id).await });
}

fn change_configuration(cell: &VirtualCell, told: &mut Told, name: &str) {
    let instance: Arc<Instance> = Arc::clone(&cell.instances[name]);
    let handle = tokio::spawn(async move {
        let expected = instance.lock().configuration.version();
        let changed = instance
            .change_configuration(Bundle::default(), expected, String::new())
            .await;
        changed.ok()
    });
    told.changes.push(handle);
}

/// Checks that no running instance has gone back to an older version.
fn note_versions(cell: &VirtualCell, told: &mut Told, seed: u64) {
    for (name, instance) in &cell.instances {
        let version = instance.lock().configuration.version();
        let start = (name.clone(), instance.incarnation);
        let before = told.versions.insert(start, version).unwrap_or(0);
        assert!(
            version >= before,
            "seed {seed}: {name} went from version {before} to {version}"
        );
    }
}

/// Checks that no version was accepted twice, and that the last one is in force everywhere.
async fn assert_configuration(cell: &VirtualCell, told: &mut Told, seed: u64) {
    let mut accepted = Vec::new();
    for handle in told.changes.drain(..) {
        // A change at an instance that was killed has no answer.
        let limit = Duration::from_secs(5);
        accepted.extend(
            tokio::time::timeout(limit, handle)
                .await
                .ok()
                .and_then(Result::ok)
                .flatten(),
        );
    }
    let distinct: BTreeSet<u64> = accepted.iter().copied().collect();
    assert_eq!(
        distinct.len(),
        accepted.len(),
        "seed {seed}: a version was accepted twice: {accepted:?}"
    );
    let in_force: BTreeSet<u64> = cell
        .instances
        .values()
        .map(|instance| instance.lock().configuration.version())
        .collect();
    assert_eq!(
        in_force.len(),
        1,
        "seed {seed}: versions in force: {in_force:?}"
    );
    assert!(
        in_force.first() >= distinct.last(),
        "seed {seed}: {in_force:?} after {distinct:?}"
    );
}

fn assert_safe(cell: &VirtualCell, seed: u64) {
    assert_eq!(
        cell.world.overcommitted(),
        Vec::<String>::new(),
        "seed {seed}: workers over-committed"
    );
    for (name, instance) in &cell.instances {
        assert_eq!(
            instance.metrics.violation_count(),
            0,
            "seed {seed}: invariants of {name}"
        );
    }
}

async fn assert_jobs(cell: &VirtualCell, told: &mut Told, seed: u64) {
    let mut starts: BTreeMap<String, u32> = BTreeMap::new();
    for (task, ..) in cell.world.runs() {
        *starts.entry(task).or_default() += 1;
    }
    let instance = Arc::clone(cell.instances.values().next().expect("an instance"));
    for (id, kind, repeatable, handle) in told.jobs.drain(..) {
        let answer = handle.await.expect("a submission ends");
        let mine = |task: &str| task.rsplit_once('/').is_some_and(|(job, _)| job == id);
        let runs: u32 = starts
            .iter()
            .filter(|(task, _)| mine(task))
            .map(|(_, count)| *count)
            .sum();
        match answer {
            JobAnswer::Refused { reason, .. } => assert_eq!(
                runs, 0,
                "seed {seed}: {id} was refused ({reason:?}) and ran"
            ),
            JobAnswer::Accepted(_) => {
                let view = instance
                    .view_job(&id)
                    .await
                    .unwrap_or_else(|| panic!("seed {seed}: {id} was accepted and is lost"));
                let total: u32 = view.counts.values().sum();
                let open: u32 = ["pending", "starting"]
                    .iter()
                    .filter_map(|state| view.counts.get(*state))
                    .sum();
                assert_eq!(open, 0, "seed {seed}: {id} {kind:?} does not end: {view:?}");
                assert!(total > 0, "seed {seed}: {id} has no tasks: {view:?}");
            }
            JobAnswer::Unknown => {}
        }
        if !repeatable {
            let most = starts
                .iter()
                .filter(|(task, _)| mine(task))
                .map(|(_, count)| *count)
                .max();
            assert!(
                most.unwrap_or(0) <= 1,
                "seed {seed}: {id} must not be repeated and was"
            );
        }
    }
}

async fn assert_requests(cell: &VirtualCell, told: &mut Told, seed: u64) {
    let (runs, order) = {
        let targets = cell.world.targets.lock().expect("counts");
        (targets.runs.clone(), targets.order.clone())
    };
    let places: BTreeMap<String, u64> = told
        .requests
        .iter()
        .filter_map(|(spec, _)| Some((spec.id.clone(), spec.order.as_ref()?.sequence)))
        .collect();
    let mut not_run: BTreeMap<String, u32> = BTreeMap::new();
    for (spec, handle) in told.requests.drain(..) {
        let outcome = handle.await.expect("a request ends");
        match outcome {
            Outcome::Answered { body, .. } => {
                assert_eq!(body, spec.id.as_bytes(), "seed {seed}: a crossed answer")
            }
            Outcome::NotRun { .. } => *not_run.entry(spec.id.clone()).or_default() += 1,
            Outcome::Unknown { .. } => {}
        }
        let count = runs.get(&spec.id).copied().unwrap_or(0);
        assert!(
            spec.repeatable || count <= 1,
            "seed {seed}: {} ran {count} times",
            spec.id
        );
    }
    for (id, count) in not_run {
        // Both tries were told that nothing ran.
        assert!(
            count < 2 || !runs.contains_key(&id),
            "seed {seed}: {id} was reported as not run and ran"
        );
    }
    let places: Vec<u64> = order
        .iter()
        .filter_map(|body| places.get(body).copied())
        .collect();
    assert!(
        places.windows(2).all(|pair| pair[0] < pair[1]),
        "seed {seed}: out of order: {places:?}"
    );
}
