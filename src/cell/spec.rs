//! A job as its caller describes it, and the rules for accepting it.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// The longest text that a job may pass to its tasks, in bytes, fixed by the platform.
pub const MAX_TEXT: usize = 4_000;
/// The most steps of a job.  Callers' jobs have a handful, so this only bounds memory.
pub const MAX_STEPS: usize = 64;
/// The most tasks of a step.  Steps on real sites have some dozens, so this only bounds memory.
pub const MAX_TASKS: u32 = 10_000;
/// The most processors a task may ask for, in millicores: far above any worker.
pub const MAX_MILLICORES: u64 = 10_000_000;

/// The longest estimate of a task's run time that is used, in milliseconds: a year.
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

/// The resources that a task takes of a worker.
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
    /// Returns whether this demand fits into `room`.
    pub fn fits(&self, room: &Demand) -> bool {
        self.millicores <= room.millicores && self.memory <= room.memory && self.gpus <= room.gpus
    }

    /// Returns how many times `wanted` fits into this room; `u32::MAX` if it wants nothing.
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

    /// Returns the demand of `tasks` tasks that each take this.
    pub fn of_tasks(&self, tasks: u32) -> Demand {
        let tasks = u64::from(tasks);
        Demand {
            millicores: self.millicores.saturating_mul(tasks),
            memory: self.memory.saturating_mul(tasks),
            gpus: self.gpus.saturating_mul(tasks),
        }
    }

    /// Returns the sum of this and `other`.
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

    /// Returns this less `other`, with zero as the lower bound of each resource.
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
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that each task takes.
    pub demand: Demand,
    /// The caller's estimate of how long a task runs, in milliseconds.
    pub estimate: Millis,
    /// The indices of the steps that must be done first.
    pub after: Vec<usize>,
    /// The tasks write checkpoints from time to time.
    pub checkpoints: bool,
    /// All tasks run together or not at all.
    pub gang: bool,
    /// The tasks are slower if they are not all in one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack on which the tasks run faster, for example since their data lies there.
    pub near: Option<String>,
    /// The most tasks of this step on one worker; zero for no limit.
    pub per_worker: u32,
    /// A second copy of a slow task may run beside the first.
    pub copies: bool,
    /// The tasks run until the job is cancelled.
    pub lasting: bool,
    /// The name of the image that the tasks run; tasks of one image behave alike.
    pub image: String,
    /// The response time that a serving task should keep, in milliseconds; zero if it does not
    /// serve.
    pub target: Millis,
    /// The tasks use only the processor time that other tasks leave on a worker.
    pub filler: bool,
    /// How many lasting tasks the caller lets the scheduler take out of service at a time.  Stored
    /// with the job; the scheduler does not use it.
    pub may_miss: u32,
}

impl Step {
    /// Returns the room that a task of this step takes on a worker: none of the processors for a
    /// filler, which only uses what others leave.
    pub fn room(&self) -> Demand {
        let mut room = self.demand;
        if self.filler {
            room.millicores = 0;
        }
        room
    }

    /// Returns how many tasks of the step must start together.
    pub fn tasks_at_once(&self) -> u32 {
        if self.gang { self.tasks } else { 1 }
    }

    /// Returns whether the tasks serve requests of users who wait for the answers.
    pub fn serves(&self) -> bool {
        self.target > 0
    }
}

/// When the steps of a recurring job run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The number of occurrences.
    pub times: u32,
    /// The time of the first occurrence, in Unix milliseconds.
    pub first: Millis,
    /// The time from one occurrence to the next, in milliseconds.
    pub interval: Millis,
}

impl Schedule {
    /// When an occurrence is due, in Unix milliseconds; [`Millis::MAX`] if that is out of range.
    pub fn due(&self, time: u32) -> Millis {
        let after_first = self.interval.saturating_mul(Millis::from(time));
        self.first.saturating_add(after_first)
    }
}

/// The place of a task in its job: occurrence, step and index.
pub type TaskPlace = (u32, u16, u32);

/// A job as its caller describes it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct JobSpec {
    /// The text that every task is given, unchanged.
    pub text: String,
    /// The steps, which refer to one another by index.
    pub steps: Vec<Step>,
    /// Set if the steps run at fixed times.
    pub schedule: Option<Schedule>,
}

/// Why a job cannot be accepted.
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
    /// There are no steps, or too many.
    #[error("a job has 1 to {MAX_STEPS} steps")]
    StepCount,
    /// A step has no tasks, or too many.
    #[error("a step has 1 to {MAX_TASKS} tasks")]
    TaskCount,
    /// A step is to come after itself, a later step, or one that does not exist.
    #[error("a step may only come after earlier steps")]
    Order,
    /// A task asks for more processors than any worker can have.
    #[error("a task asks for too many processors")]
    Demand,
}

impl SpecError {
    /// Returns a stable name for metrics and callers.
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

    /// Returns a sentence for people that says what is wrong.
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
    /// Limits the estimates to [`MAX_ESTIMATE`], so that times computed from them stay in range.
    pub fn with_bounded_estimates(mut self) -> Self {
        for step in &mut self.steps {
            step.estimate = step.estimate.min(MAX_ESTIMATE);
        }
        self
    }

    /// The number of occurrences; one without a schedule.
    pub fn times(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// The number of tasks of each occurrence.
    pub fn tasks_per_occurrence(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.tasks)).sum()
    }

    /// Numbers the tasks of all occurrences, in the order of occurrences, steps and indices.
    /// Returns none for a task that the job does not have.
    pub fn task_number(&self, place: TaskPlace) -> Option<u64> {
        let (time, step, index) = place;
        let tasks = self.steps.get(usize::from(step))?.tasks;
        if index >= tasks || time >= self.times() {
            return None;
        }
        let before = self.steps[..usize::from(step)].iter();
        let before: u64 = before.map(|step| u64::from(step.tasks)).sum();
        Some(u64::from(time) * self.tasks_per_occurrence() + before + u64::from(index))
    }

    /// Returns the place of the task with this number; none if the job does not have it.
    pub fn task_place(&self, number: u64) -> Option<TaskPlace> {
        let per_occurrence = self.tasks_per_occurrence();
        let time = u32::try_from(number.checked_div(per_occurrence)?).ok()?;
        let mut left = number % per_occurrence;
        for (step, tasks) in self
            .steps
            .iter()
            .map(|step| u64::from(step.tasks))
            .enumerate()
        {
            if left < tasks {
                return (time < self.times()).then_some((time, step as u16, left as u32));
            }
            left -= tasks;
        }
        None
    }

    /// Checks the job against the rules.
    ///
    /// `after` may only name earlier steps, so there are no cycles.
    ///
    /// # Errors
    /// Returns the first rule that is violated.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.text.len() > MAX_TEXT {
            return Err(SpecError::TextTooLong);
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecError::StepCount);
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 || step.tasks > MAX_TASKS {
                return Err(SpecError::TaskCount);
            }
            if step.after.iter().any(|&earlier| earlier >= index) {
                return Err(SpecError::Order);
            }
            if step.demand.millicores > MAX_MILLICORES {
                return Err(SpecError::Demand);
            }
        }
        Ok(())
    }
}
