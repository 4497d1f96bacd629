//! Whether the jobs of an experiment end in time.

use std::collections::BTreeMap;

use crate::cell::record::JobRow;
use crate::cell::spec::JobId;
use crate::clock::Millis;

/// What is known of one job.
#[derive(Debug)]
struct Arrived {
    /// Which of the two queues it is in.
    place: usize,
    priority: u32,
    /// When it must have ended.
    due: Millis,
    ended: Option<Millis>,
}

/// All jobs of an experiment.
#[derive(Debug, Default)]
pub struct Objectives {
    jobs: BTreeMap<JobId, Arrived>,
}

impl Objectives {
    /// A job has arrived: it may take its longest chain, as often as its queue says, and more.
    pub fn arrived(&mut self, row: &JobRow, place: usize, now: Millis) {
        let chain: Millis = row.spec.steps.iter().map(|step| step.estimate).sum();
        let asking = row.queue.advice.map_or(0, |advice| advice.duration(30));
        let objective = row.queue.stretch * (chain + asking) as f64;
        let arrived = Arrived {
            place,
            priority: row.queue.priority,
            due: now + objective as Millis + row.queue.slack,
            ended: None,
        };
        self.jobs.insert(row.id, arrived);
    }

    /// A job has ended, as recorded.
    pub fn ended(&mut self, id: JobId, now: Millis) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.ended.get_or_insert(now);
        }
    }

    /// The priority of a job's queue; that of the least urgent for a job that is not known.
    pub fn priority(&self, id: JobId) -> u32 {
        self.jobs.get(&id).map_or(u32::MAX, |job| job.priority)
    }

    /// Of the jobs of each queue that were due by now, the percent that ended in time.
    pub fn in_time_percent(&self, now: Millis) -> [f64; 2] {
        [0, 1].map(|place| {
            let of_queue = self.jobs.values().filter(|job| job.place == place);
            let due: Vec<&Arrived> = of_queue.filter(|job| job.due <= now).collect();
            let in_time = due
                .iter()
                .filter(|job| job.ended.is_some_and(|at| at <= job.due));
            100.0 * in_time.count() as f64 / due.len().max(1) as f64
        })
    }
}
