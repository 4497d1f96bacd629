//! What the callers know of their jobs, which the checks compare with what the workers ran.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use rand::Rng;
use rand::rngs::StdRng;
use serde_json::{Value, json};

use super::plan::QUEUES;

/// A step; each but the first one waits for the one before it.
#[derive(Debug, Clone)]
pub struct Step {
    pub tasks: u32,
    /// The processors of one task, in thousandths of a core.
    pub millicores: u64,
}

/// A job, and what its caller has been told.
#[derive(Debug, Clone, Default)]
pub struct Job {
    /// The index of its workspace.
    pub workspace: usize,
    pub queue: &'static str,
    pub steps: Vec<Step>,
    /// How long each task runs on a usual worker, in milliseconds.
    pub duration: u64,
    pub estimate: u64,
    /// How often it was submitted.
    pub submissions: u32,
    /// The refusals that said that it was not taken.
    pub refusals: u32,
    /// A submission has no answer yet.
    pub in_flight: bool,
    /// A submission remained without an answer, or its answer left open whether it was taken.
    pub doubtful: bool,
    pub accepted: bool,
    pub cancel_asked: bool,
    /// The final state that its caller was told.
    pub end: Option<String>,
    /// When its caller was told that state for the first time.
    pub ended_at: Option<Instant>,
}

impl Job {
    pub fn draw(rng: &mut StdRng, workspace: usize) -> Self {
        let steps = (0..rng.random_range(1..=2)).map(|_| Step {
            tasks: rng.random_range(1..=6),
            millicores: rng.random_range(2..=8) * 500,
        });
        let steps = steps.collect();
        // Only tasks that outlast a lease can run twice at the same time.
        let is_long = rng.random_bool(0.05);
        let duration = rng.random_range(if is_long { 4_000..=7_000 } else { 100..=800 });
        Self {
            workspace,
            queue: QUEUES[rng.random_range(0..QUEUES.len())],
            steps,
            duration,
            estimate: rng.random_range(duration / 2..=duration * 3 / 2),
            ..Self::default()
        }
    }

    /// Returns the body with which it is submitted.
    pub fn body(&self) -> String {
        let steps = self.steps.iter().enumerate().map(|(number, step)| {
            let after: Vec<usize> = (0..number).collect();
            json!({
                "count": step.tasks, "cpu": step.millicores, "mem_mb": 64,
                "est_ms": self.estimate, "after": after,
            })
        });
        let steps: Vec<Value> = steps.collect();
        json!({"spec": self.duration.to_string(), "steps": steps}).to_string()
    }

    /// Returns whether each submission was refused as not run, or none was sent.
    pub fn must_not_run(&self) -> bool {
        !self.accepted && !self.doubtful && !self.in_flight
    }
}

/// All jobs of a run, and the faults that were found.
#[derive(Default)]
pub struct Ledger {
    pub jobs: BTreeMap<u64, Job>,
    pub violations: BTreeSet<String>,
    /// When the load and the trouble were over.
    pub calm_since: Option<Instant>,
}

impl Ledger {
    pub fn report(&mut self, violation: String) {
        self.violations.insert(violation);
    }

    /// How many jobs of a workspace succeeded while the trouble went on.
    pub fn ended_in_trouble(&self, workspace: usize) -> usize {
        let jobs = self.jobs.values().filter(|job| {
            let is_early = |at| self.calm_since.is_none_or(|calm| at < calm);
            let has_succeeded = job.end.as_deref() == Some("succeeded");
            job.workspace == workspace && has_succeeded && job.ended_at.is_some_and(is_early)
        });
        jobs.count()
    }

    pub fn job(&mut self, id: u64) -> &mut Job {
        self.jobs.get_mut(&id).expect("a job of this run")
    }
}

/// The ledger that all tasks share.
pub type SharedLedger = Arc<Mutex<Ledger>>;
