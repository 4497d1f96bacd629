//! Jobs as they arrive in an experiment.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::clock::Millis;
use crate::model::{Class, JobKind, JobSpec, Resources};
use crate::placement::part::Ordering;

/// The sizes of tasks, in cores; each is drawn equally often.
const CORES: [u64; 5] = [1, 1, 2, 4, 8];
/// Memory for each core, in mebibytes; drawn between half and double of it.
const MEMORY_PER_CORE: u64 = 1_536;
/// How many teams submit work.
const TEAMS: u32 = 250;
/// How many of a hundred jobs are urgent.
const URGENT_PERCENT: u32 = 20;
/// How many of a hundred jobs are gangs.
const GANG_PERCENT: u32 = 5;
/// The run time of an urgent task, in milliseconds.
const URGENT_RUNTIME: Millis = 200;

/// How much work arrives.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Task starts a second that are asked for.
    pub starts_per_second: f64,
    /// The mean run time of batch tasks, in milliseconds.
    pub mean_runtime: Millis,
    /// By which factor real run times differ from declared ones at most.
    pub misjudged: f64,
}

/// Returns the mean number of cores of a task.
pub fn mean_cores() -> f64 {
    CORES.iter().sum::<u64>() as f64 / CORES.len() as f64
}

/// One job with the time that its tasks really take.
pub struct Arrival {
    /// What is asked for.
    pub spec: JobSpec,
    /// How it is ordered.
    pub ordering: Ordering,
    /// The real run time of each task.
    pub real_runtime: Millis,
}

/// Draws one job.
pub fn draw(rng: &mut SmallRng, load: &Load, number: u64) -> Arrival {
    let percent = rng.random_range(0..100);
    let urgent = percent < URGENT_PERCENT;
    let gang = !urgent && percent < URGENT_PERCENT + GANG_PERCENT;
    let cores = if urgent {
        1
    } else {
        CORES[rng.random_range(0..CORES.len())]
    };
    let memory = cores * MEMORY_PER_CORE * rng.random_range(50..200) / 100;
    let tasks = match (urgent, gang) {
        (true, _) => 1,
        (_, true) => rng.random_range(4..12),
        _ => rng.random_range(1..20),
    };
    let real_runtime = match urgent {
        true => URGENT_RUNTIME,
        false => exponential(rng, load.mean_runtime),
    };
    let factor = load.misjudged.powf(rng.random_range(-1.0..=1.0));
    let spec = JobSpec {
        name: format!("j{number}"),
        team: format!("t{}", rng.random_range(0..TEAMS)),
        kind: if gang { JobKind::Gang } else { JobKind::Batch },
        tasks,
        resources: Resources::new(cores * 1_000, memory, 0),
        runtime_ms: Some((real_runtime as f64 * factor) as Millis),
        repeatable: true,
        urgent,
        command: Vec::new(),
    };
    let ordering = Ordering {
        class: if urgent { Class::Urgent } else { Class::Batch },
        patience_ms: if urgent { 1_000 } else { 120_000 },
        spread: 0,
    };
    Arrival {
        spec,
        ordering,
        real_runtime,
    }
}

fn exponential(rng: &mut SmallRng, mean: Millis) -> Millis {
    let unit: f64 = rng.random_range(f64::EPSILON..1.0);
    ((-unit.ln() * mean as f64) as Millis).clamp(10, 10 * mean)
}
