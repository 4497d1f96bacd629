//! Which jobs of an experiment end within the objectives of their queues.

use std::collections::BTreeMap;

use crate::cell::record::JobRow;
use crate::cell::spec::JobId;
use crate::clock::Millis;

/// A job that has arrived.
#[derive(Debug)]
struct ArrivedJob {
    /// The index of its queue among the two.
    queue: usize,
    priority: u32,
    /// When it must have ended, to meet the objective.
    due: Millis,
    ended: Option<Millis>,
}

/// The objectives of all jobs of an experiment.
#[derive(Debug, Default)]
pub struct Objectives {
    jobs: BTreeMap<JobId, ArrivedJob>,
}

impl Objectives {
    /// Notes that a job has arrived in the queue with an index.  It may take the queue's `stretch`
    /// times the sum of its estimated critical path and the time for advice, plus the queue's
    /// `slack`.
    pub fn note_arrival(&mut self, row: &JobRow, queue: usize, now: Millis) {
        // The jobs of experiments have one step, so this is the length of the critical path.
        let critical_path: Millis = row.spec.steps.iter().map(|step| step.estimate).sum();
        // The time that advice takes for a question about 30 workers.
        let advice_time = row.queue.advice.map_or(0, |advice| advice.duration(30));
        let objective = row.queue.stretch * (critical_path + advice_time) as f64;
        let job = ArrivedJob {
            queue,
            priority: row.queue.priority,
            due: now + objective as Millis + row.queue.slack,
            ended: None,
        };
        self.jobs.insert(row.id, job);
    }

    /// Notes that the end of a job has been recorded; only the first call for a job counts.
    pub fn note_end(&mut self, id: JobId, now: Millis) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.ended.get_or_insert(now);
        }
    }

    /// Returns the priority of a job's queue; the least urgent one for an unknown job.
    pub fn priority(&self, id: JobId) -> u32 {
        self.jobs.get(&id).map_or(u32::MAX, |job| job.priority)
    }

    /// Returns, for each queue, the share of jobs that ended in time among those due by `now`, in
    /// percent.
    pub fn in_time_percent(&self, now: Millis) -> [f64; 2] {
        [0, 1].map(|queue| {
            let of_queue = self.jobs.values().filter(|job| job.queue == queue);
            let due: Vec<&ArrivedJob> = of_queue.filter(|job| job.due <= now).collect();
            let in_time = due
                .iter()
                .filter(|job| job.ended.is_some_and(|at| at <= job.due));
            100.0 * in_time.count() as f64 / due.len().max(1) as f64
        })
    }
}
