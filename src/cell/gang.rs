//! Placement of gangs, of which all members start together or none.

use crate::cell::candidates::PlacementCandidate;
use crate::cell::job::Task;
use crate::cell::round::Round;
use crate::cell::start::Placement;
use crate::cell::wait::WaitReason;
use crate::cell::{Cell, StepKey, WorkerKey};

impl Cell {
    /// Starts all members of a gang or none; returns why they wait, and how many.
    pub(super) fn schedule_gang(
        &mut self,
        key: StepKey,
        waiting: &[u32],
        round: &mut Round,
    ) -> Option<(WaitReason, usize)> {
        let size = self.steps[key].tasks.len();
        if waiting.len() < size {
            return None;
        }
        if let Some(limit) = self.exceeded_limit(key, size as u32) {
            return Some((limit, size));
        }
        let mut candidates = self.placement_candidates(key, round);
        let trial = self.is_step_suspect(key) || self.steps[key].tasks.iter().any(Task::is_suspect);
        if trial {
            candidates
                .retain(|candidate| self.has_no_recent_start(candidate.worker, key, round.now));
        }
        let Some(chosen) = self.gang_workers(key, &candidates, size) else {
            let fit: u32 = candidates.iter().map(|candidate| candidate.fit).sum();
            let missing = (size as u32).saturating_sub(fit);
            self.request_capacity(key, missing, round);
            return Some((self.placement_wait_reason(key, round.now), size));
        };
        if self.is_start_window_full() {
            self.note_start_held_back(round.now);
            return Some((WaitReason::Soon, size));
        }
        let number = self.next_run_number();
        let mut started = Vec::new();
        for (index, worker) in chosen.into_iter().enumerate() {
            let placement = Placement {
                worker,
                number: Some(number),
                trial,
            };
            started.extend(self.start(key, index as u32, placement, round));
        }
        if !started.is_empty() {
            self.note_asked_step_started(key);
        }
        self.log_starts(key, &started, round);
        None
    }

    /// Chooses a worker for each member of a gang, all within one rack if the step asks for that
    /// and it is possible.
    fn gang_workers(
        &self,
        key: StepKey,
        candidates: &[PlacementCandidate],
        size: usize,
    ) -> Option<Vec<WorkerKey>> {
        let expand =
            |candidates: &mut dyn Iterator<Item = &PlacementCandidate>| -> Option<Vec<WorkerKey>> {
                let mut chosen = Vec::with_capacity(size);
                for candidate in candidates {
                    for _ in 0..candidate.fit.min((size - chosen.len()) as u32) {
                        chosen.push(candidate.worker);
                    }
                }
                (chosen.len() == size).then_some(chosen)
            };
        if self.steps[key].step().same_rack {
            let mut racks: Vec<&Option<String>> = Vec::new();
            for candidate in candidates {
                let rack = &self.workers[candidate.worker].entry.rack;
                if !racks.contains(&rack) {
                    racks.push(rack);
                }
            }
            for rack in racks {
                let mut within = candidates
                    .iter()
                    .filter(|candidate| &self.workers[candidate.worker].entry.rack == rack);
                if let Some(chosen) = expand(&mut within) {
                    return Some(chosen);
                }
            }
        }
        expand(&mut candidates.iter())
    }
}
