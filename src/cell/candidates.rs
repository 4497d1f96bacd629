//! The workers on which a waiting task can start now, best first.

use crate::cell::job::StepRun;
use crate::cell::round::Round;
use crate::cell::{Cell, StepKey, WorkerKey, tuning};

/// A worker on which a task of a step can start now.
pub(super) struct PlacementCandidate {
    pub(super) worker: WorkerKey,
    /// How many tasks of the step can start there.
    pub(super) fit: u32,
    /// Lower is better.
    score: u64,
}

impl Cell {
    /// How many tasks of a step a worker holds, for steps that limit this.  For others it is zero,
    /// which saves going over all runs of the worker.
    pub(super) fn tasks_on_worker(&self, key: StepKey, worker: WorkerKey) -> u32 {
        if self.steps[key].step().per_worker == 0 {
            return 0;
        }
        self.workers[worker]
            .runs
            .iter()
            .filter(|&&run| self.runs[run].step == key)
            .count() as u32
    }

    /// The workers on which a task of a step could start now, best first.
    pub(super) fn placement_candidates(
        &self,
        key: StepKey,
        round: &mut Round,
    ) -> Vec<PlacementCandidate> {
        let step = &self.steps[key];
        let queue = &self.jobs[step.job].queue;
        let spec = step.step();
        let mut candidates = Vec::new();
        if queue.advice.is_some() {
            for (&worker, ticket) in &step.advice.tickets {
                if ticket.expires > round.now + tuning::TICKET_MARGIN {
                    candidates.extend(self.placement_candidate(
                        key,
                        step,
                        worker,
                        &queue.service,
                        round,
                    ));
                }
            }
        } else {
            for worker in self.workers.keys() {
                candidates.extend(self.placement_candidate(
                    key,
                    step,
                    worker,
                    &queue.service,
                    round,
                ));
            }
        }
        candidates.sort_unstable_by_key(|candidate| (candidate.score, candidate.worker));
        debug_assert!(
            candidates.iter().all(|candidate| candidate.fit > 0),
            "{spec:?}"
        );
        candidates
    }

    /// Returns a worker as a placement candidate for a step, unless none of its tasks can start
    /// there now.
    fn placement_candidate(
        &self,
        key: StepKey,
        step: &StepRun,
        worker_key: WorkerKey,
        service: &str,
        round: &mut Round,
    ) -> Option<PlacementCandidate> {
        round.candidates_examined += 1;
        let worker = self.workers.get(worker_key)?;
        let spec = step.step();
        if !self.takes_work(worker_key, round.now) || !worker.allows(spec, service) {
            return None;
        }
        if self.hosts_trial(worker_key, key) {
            return None;
        }
        let present = self.tasks_on_worker(key, worker_key);
        let fit = worker.fit(spec, present);
        let fit = self.unreserved_fit(spec, worker_key, fit, round);
        (fit > 0).then(|| PlacementCandidate {
            worker: worker_key,
            fit,
            score: self.score(step, worker_key),
        })
    }

    /// The score of a worker for a step; lower is better.  The tightest fit goes first, except that
    /// lasting tasks, fillers and jobs that the policy spreads go to the emptiest worker.  The rack
    /// where the data lies goes before others, and workers that the platform does not list go last.
    fn score(&self, step: &StepRun, key: WorkerKey) -> u64 {
        let spec = step.step();
        let worker = &self.workers[key];
        let free = worker.free();
        let rack_penalty = match &spec.near {
            Some(rack) if worker.entry.rack.as_ref() != Some(rack) => 1_000_000_000,
            _ => 0,
        };
        // It may be leaving without notice, or its entry may come back.
        let unlisted_penalty = match worker.unlisted_since {
            Some(_) => 10_000_000_000,
            None => 0,
        };
        let spread = spec.lasting || spec.filler || self.jobs[step.job].decision.spread;
        let left = free.millicores.saturating_sub(spec.room().millicores);
        unlisted_penalty
            + rack_penalty
            + if spread {
                100_000_000 - left.min(100_000_000)
            } else {
                left
            }
    }

    /// Updates the candidates of a step after one of its tasks was placed on `worker`.  A start
    /// affects that worker only, so the others are not examined again for each task.
    pub(super) fn refresh_candidate(
        &self,
        candidates: &mut Vec<PlacementCandidate>,
        key: StepKey,
        worker: WorkerKey,
        round: &mut Round,
    ) {
        candidates.retain(|candidate| candidate.worker != worker);
        let step = &self.steps[key];
        let service = &self.jobs[step.job].queue.service;
        if let Some(candidate) = self.placement_candidate(key, step, worker, service, round) {
            let order = |other: &PlacementCandidate| (other.score, other.worker);
            let at = candidates.partition_point(|other| order(other) < order(&candidate));
            candidates.insert(at, candidate);
        }
    }
}

/// The best worker; the one to avoid is chosen only if there is no other.
pub(super) fn best_worker(
    candidates: &[PlacementCandidate],
    avoid: Option<WorkerKey>,
) -> Option<WorkerKey> {
    candidates
        .iter()
        .find(|candidate| Some(candidate.worker) != avoid)
        .or(candidates.first())
        .map(|candidate| candidate.worker)
}
