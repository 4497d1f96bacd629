//! The workers on which a waiting task can start now, best first.

use crate::cell::health::FailedWorkers;
use crate::cell::job::StepRun;
use crate::cell::round::Round;
use crate::cell::speed::SpeedPreference;
use crate::cell::{Cell, StepKey, WorkerKey, tuning};

/// A worker on which a task of a step can start now.
pub(super) struct PlacementCandidate {
    pub(super) worker: WorkerKey,
    /// How many tasks of the step can start there.
    pub(super) fit: u32,
    /// Lower is better.
    score: Score,
}

/// How well a worker suits a step; lower is better, and earlier fields go before later ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    /// The platform does not list the worker.  It may be leaving without notice, or its entry may
    /// come back.
    is_unlisted: bool,
    /// The worker is not in the rack where the data lies.
    is_elsewhere: bool,
    /// The rank by the step's speed preference.
    speed: i32,
    /// The rank by the room that would be left.
    room: u64,
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
        let preference = self.speed_preference(key, round);
        let mut candidates = Vec::new();
        if queue.advice.is_some() {
            for (&worker, ticket) in &step.advice.tickets {
                if ticket.expires > round.now + tuning::TICKET_MARGIN {
                    candidates.extend(self.placement_candidate(
                        key,
                        step,
                        worker,
                        &queue.service,
                        preference,
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
                    preference,
                    round,
                ));
            }
        }
        sort(&mut candidates, preference);
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
        preference: SpeedPreference,
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
            score: self.score(step, worker_key, preference),
        })
    }

    /// The score of a worker for a step; lower is better.  [`Score`] has the order of its criteria.
    /// By room, the tightest fit is best, except that lasting tasks, fillers and jobs that the policy
    /// spreads go to the emptiest worker.
    fn score(&self, step: &StepRun, key: WorkerKey, preference: SpeedPreference) -> Score {
        let spec = step.step();
        let worker = &self.workers[key];
        let free = worker.free();
        let spread = spec.lasting || spec.filler || self.jobs[step.job].decision.spread;
        let left = free.millicores.saturating_sub(spec.room().millicores);
        let near = spec.near.as_ref();
        Score {
            is_unlisted: worker.unlisted_since.is_some(),
            is_elsewhere: near.is_some_and(|rack| worker.entry.rack.as_ref() != Some(rack)),
            speed: self.speed_rank(preference, key),
            room: if spread {
                100_000_000 - left.min(100_000_000)
            } else {
                left
            },
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
        let preference = self.speed_preference(key, round);
        let candidate = self.placement_candidate(key, step, worker, service, preference, round);
        if let Some(candidate) = candidate {
            let order = |other: &PlacementCandidate| (other.score, other.worker);
            let at = candidates.partition_point(|other| order(other) < order(&candidate));
            candidates.insert(at, candidate);
        }
    }
}

/// Sorts candidates, the best first.
///
/// Workers with equal room, as in a cell that is mostly idle, come in the order of their keys and
/// need no sorting.  With a preference they are only in order within each speed, so they are
/// grouped first.
fn sort(candidates: &mut Vec<PlacementCandidate>, preference: SpeedPreference) {
    let order = |candidate: &PlacementCandidate| (candidate.score, candidate.worker);
    if preference == SpeedPreference::None {
        candidates.sort_unstable_by_key(order);
        return;
    }
    let group_key = |score: &Score| (score.is_unlisted, score.is_elsewhere, score.speed);
    let mut groups: Vec<Vec<PlacementCandidate>> = Vec::new();
    let count = candidates.len();
    for candidate in candidates.drain(..) {
        // There are few groups, so a search in order is faster than a map.
        let group = groups
            .iter_mut()
            .find(|group| group_key(&group[0].score) == group_key(&candidate.score));
        match group {
            Some(group) => group.push(candidate),
            None => {
                let mut group = Vec::with_capacity(count);
                group.push(candidate);
                groups.push(group);
            }
        }
    }
    groups.sort_unstable_by_key(|group| group_key(&group[0].score));
    for mut group in groups {
        group.sort_unstable_by_key(order);
        candidates.append(&mut group);
    }
}

/// The best worker for a task; one on which the task, or another of its step, has failed is chosen
/// only if there is no other.
pub(super) fn best_worker(
    candidates: &[PlacementCandidate],
    avoid: Option<WorkerKey>,
    failed: &FailedWorkers,
) -> Option<WorkerKey> {
    let workers = || candidates.iter().map(|candidate| candidate.worker);
    let mut others = workers().filter(|&worker| Some(worker) != avoid);
    let untried = others.clone().find(|&worker| !failed.include(worker));
    untried
        .or_else(|| others.next())
        .or_else(|| workers().next())
}
