//! A job as its caller describes it, and the rules that it must keep.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// The longest text that a job may hand to its tasks, in bytes; the platform's figure.
pub const MAX_TEXT: usize = 4_000;
/// The most steps of a job.  A caller's job has a handful; this bounds memory.
pub const MAX_STEPS: usize = 64;
/// The most tasks of a step.  Sites have some dozens; this bounds memory.
pub const MAX_TASKS: u32 = 10_000;
/// The most processors a task may ask for, in millicores: far above any worker.
pub const MAX_MILLICORES: u64 = 10_000_000;

/// The longest guess of a task's time that counts, in milliseconds: a year.
pub const MAX_ESTIMATE: Millis = 365 * 24 * 3_600_000;

/// The identity of a job, chosen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl std::fmt::Display for JobId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl std::str::FromStr for JobId {
    type Err = SpecError;

    fn from_str(text: &str) -> Result<Self, SpecError> {
        let plain = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !plain {
            return Err(SpecError::BadId);
        }
        u64::from_str_radix(text, 16)
            .map(JobId)
            .map_err(|_| SpecError::BadId)
    }
}

/// What a task takes of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Demand {
    /// Thousandths of a core.
    pub millicores: u64,
    /// Memory in MiB.
    pub memory: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Demand {
    /// Tells whether this fits into `room`.
    pub fn fits(&self, room: &Demand) -> bool {
        self.millicores <= room.millicores && self.memory <= room.memory && self.gpus <= room.gpus
    }

    /// How many times `wanted` fits into this; without bound if it wants nothing.
    pub fn times(&self, wanted: &Demand) -> u32 {
        let dimensions = [
            (self.millicores, wanted.millicores),
            (self.memory, wanted.memory),
            (self.gpus, wanted.gpus),
        ];
        let times = dimensions
            .iter()
            .filter_map(|(have, want)| have.checked_div(*want));
        let least = times.min().unwrap_or(u64::from(u32::MAX));
        u32::try_from(least).unwrap_or(u32::MAX)
    }

    /// What so many tasks take that each take this.
    pub fn of_tasks(&self, tasks: u32) -> Demand {
        let tasks = u64::from(tasks);
        Demand {
            millicores: self.millicores.saturating_mul(tasks),
            memory: self.memory.saturating_mul(tasks),
            gpus: self.gpus.saturating_mul(tasks),
        }
    }

    /// This and `other` together.
    pub fn plus(&self, other: &Demand) -> Demand {
        Demand {
            millicores: self.millicores.saturating_add(other.millicores),
            memory: self.memory.saturating_add(other.memory),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Demand) {
        *self = self.plus(other);
    }

    /// Takes `other` away; what is less than zero becomes zero.
    pub fn minus(&self, other: &Demand) -> Demand {
        Demand {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory: self.memory.saturating_sub(other.memory),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// One step: a number of equal tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// How many tasks.
    pub tasks: u32,
    /// What each task takes.
    pub demand: Demand,
    /// The caller's guess of how long a task runs.
    pub estimate: Millis,
    /// Steps that must be done first.
    pub after: Vec<usize>,
    /// Tasks save their progress from time to time.
    pub checkpoints: bool,
    /// All tasks run together or not at all.
    pub gang: bool,
    /// The tasks are slower if they do not share a rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack near which the tasks are fast.
    pub near: Option<String>,
    /// The most tasks of this step on one worker; zero for no bound.
    pub per_worker: u32,
    /// Several copies of a task may run at once.
    pub copies: bool,
    /// The tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// The response time that a serving task should keep; zero if it does not serve.
    pub target: Millis,
    /// The tasks use only what others leave of a worker's processors.
    pub filler: bool,
    /// How many lasting tasks may be away by our doing.
    pub may_miss: u32,
}

impl Step {
    /// What a task of this step takes of a worker's room.
    pub fn room(&self) -> Demand {
        let mut room = self.demand;
        if self.filler {
            room.millicores = 0;
        }
        room
    }

    /// How many of its tasks must start together.
    pub fn tasks_at_once(&self) -> u32 {
        if self.gang { self.tasks } else { 1 }
    }

    /// Tells whether users of their own wait for the tasks' answers.
    pub fn serves(&self) -> bool {
        self.target > 0
    }
}

/// When a job's steps are run again and again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// How many times.
    pub times: u32,
    /// The first time, in milliseconds since 1970.
    pub first: Millis,
    /// From one time to the next.
    pub interval: Millis,
}

/// A job as its caller describes it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobSpec {
    /// The text that every task is given, as it came.
    pub text: String,
    /// The steps; they refer to one another by place.
    pub steps: Vec<Step>,
    /// Set if the steps run at set times.
    pub schedule: Option<Schedule>,
}

/// Why a job cannot be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The id is not 16 hexadecimal digits.
    #[error("the id must be 16 hexadecimal digits")]
    BadId,
    /// The body is not a job.
    #[error("the body is not a job in JSON")]
    Malformed,
    /// The text is too long.
    #[error("the text is longer than {MAX_TEXT} bytes")]
    TextTooLong,
    /// There are no steps or too many.
    #[error("a job has 1 to {MAX_STEPS} steps")]
    StepCount,
    /// A step has no tasks or too many.
    #[error("a step has 1 to {MAX_TASKS} tasks")]
    TaskCount,
    /// A step waits for itself, a later step, or one that is not there.
    #[error("a step may only come after earlier steps")]
    Order,
    /// A task asks for more than any worker can have.
    #[error("a task asks for too many processors")]
    Demand,
}

impl SpecError {
    /// A stable name for counters and callers.
    pub fn code(self) -> &'static str {
        match self {
            Self::BadId => "bad_id",
            Self::Malformed => "malformed",
            Self::TextTooLong => "text_too_long",
            Self::StepCount => "step_count",
            Self::TaskCount => "task_count",
            Self::Order => "step_order",
            Self::Demand => "demand",
        }
    }

    /// What is wrong, for a person.
    pub fn meaning(self) -> &'static str {
        match self {
            Self::BadId => "The id is not 16 hexadecimal digits.",
            Self::Malformed => "The body is not a job in JSON.",
            Self::TextTooLong => "The text of the job is longer than 4000 bytes.",
            Self::StepCount => "A job has 1 to 64 steps.",
            Self::TaskCount => "A step has 1 to 10000 tasks.",
            Self::Order => "A step may only come after earlier steps.",
            Self::Demand => "A task asks for more processors than any worker can have.",
        }
    }
}

impl JobSpec {
    /// The same job with guesses that times can be reckoned from.
    pub fn with_bounded_estimates(mut self) -> Self {
        for step in &mut self.steps {
            step.estimate = step.estimate.min(MAX_ESTIMATE);
        }
        self
    }

    /// Checks the rules; `after` may only name earlier steps, so there are no cycles.
    ///
    /// # Errors
    /// Returns the first rule that is broken.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.text.len() > MAX_TEXT {
            return Err(SpecError::TextTooLong);
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecError::StepCount);
        }
        for (place, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 || step.tasks > MAX_TASKS {
                return Err(SpecError::TaskCount);
            }
            if step.after.iter().any(|&earlier| earlier >= place) {
                return Err(SpecError::Order);
            }
            if step.demand.millicores > MAX_MILLICORES {
                return Err(SpecError::Demand);
            }
        }
        Ok(())
    }
}
