//! Planned starts: starts that are recorded before they are sent.
//!
//! A successor does not know of a start that the owner has sent and not recorded.  So a task that
//! crashes its workers could be started once more by each of many owners that are lost soon after
//! the start.  To prevent this, a start is recorded first if its task needs a trial, or if a life
//! of a worker has ended on which a predecessor may have started tasks without recording them.  It
//! is also recorded first, if the store is not slow, while an earlier start of the task may still
//! arrive late.  So no more than one start of a task stays unknown, however many owners are lost
//! (docs/DESIGN.md, "Tasks that crash their workers").

use crate::cell::crash::{Loss, LossKey};
use crate::cell::job::Phase;
use crate::cell::{Cell, JobKey, RunKey, StepKey, tuning};
use crate::clock::Millis;

impl Cell {
    /// Returns whether a start of a task must be recorded before it is sent.
    pub(super) fn is_recorded_first(&self, key: StepKey, index: u32, now: Millis) -> bool {
        let step = &self.steps[key];
        // All members of a gang are recorded together, and the row of their job is limited.
        let is_small = !step.step().gang || step.tasks.len() <= tuning::MAX_UNPROVEN_PLANNED_STARTS;
        let may_follow_late_start =
            self.may_follow_late_start(step.job, now) || self.has_barred_start(key, index);
        self.jobs[step.job].record_starts_first
            || self.needs_trial(key, index)
            || (is_small && may_follow_late_start)
    }

    /// Assumes that the predecessor has started tasks that no record shows: a life of a worker that
    /// it may have used has ended or will not answer any more, or its roster could not be read
    /// whole.  Marks all jobs that the predecessor may have known, so that their further starts are
    /// recorded first; jobs that are not read yet are marked when they are.
    pub(super) fn assume_unrecorded_starts(&mut self) {
        if self.may_have_unrecorded_starts {
            // Jobs read since then were marked as they were taken in.
            return;
        }
        self.may_have_unrecorded_starts = true;
        for key in self.jobs.keys().collect::<Vec<_>>() {
            self.set_record_starts_first(key);
        }
        tracing::info!(
            epoch = self.epoch,
            jobs = self.jobs.len(),
            some_are_unread = self.has_unread_jobs,
            "a predecessor may have started tasks that are not recorded"
        );
    }

    /// Returns whether a start that a former owner has sent for a job may still arrive, at a life
    /// that does not refuse it.  If this owner started the same task unrecorded and was lost, both
    /// starts would be forgotten.
    fn may_follow_late_start(&self, key: JobKey, now: Millis) -> bool {
        let predates = self.jobs[key].predates_ownership;
        predates && self.former_lives_may_recur && now < self.former_orders_end
    }

    /// Has each further start of a job recorded before it is sent, if a predecessor may have
    /// started its tasks.
    pub(super) fn set_record_starts_first(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if job.predates_ownership && !job.record_starts_first && !job.state.is_final() {
            job.record_starts_first = true;
            job.dirty = true;
            self.note_unrecorded_starts(key);
        }
    }

    /// Notes the starts of a job that this owner has sent and not recorded, unless their tasks are
    /// known to run well, so that a successor learns of them together with the mark of the job.
    fn note_unrecorded_starts(&mut self, key: JobKey) {
        let steps = self.jobs[key].occurrences.steps();
        let tasks = steps.flat_map(|step| self.steps[step].started_tasks());
        let runs = tasks.flat_map(|task| task.runs.iter().copied());
        let is_unknown = |&run: &RunKey| {
            let run = &self.runs[run];
            let losses = &self.steps[run.step].tasks[run.index as usize].losses;
            !run.proven && !losses.iter().any(|loss| loss.run == run.number)
        };
        let unknown = runs.filter(is_unknown).take(tuning::MAX_PLANNED_STARTS);
        for run in unknown.collect::<Vec<_>>() {
            self.note_planned_start(run);
        }
    }

    /// Once no order of a former owner can arrive any more, looks for workers that were not heard
    /// since: a life of theirs that was not found may have carried a late start out.
    pub(super) fn review_former_orders(&mut self, now: Millis) {
        let due = self.former_orders_end.saturating_add(tuning::STALE_AFTER);
        if self.former_orders_reviewed || now < due {
            return;
        }
        self.former_orders_reviewed = true;
        let mut workers = self.workers.values();
        if workers
            .any(|worker| !worker.parked && worker.may_have_late_starts(self.former_orders_end))
        {
            self.assume_unrecorded_starts();
        }
    }

    /// Notes a run whose start is to be recorded before it is sent; it holds its room meanwhile.
    pub(super) fn plan_start(&mut self, key: RunKey) {
        self.counts.planned += 1;
        self.planned.push(key);
        self.note_planned_start(key);
    }

    /// How many more starts may be planned for the job of a step; the size of a job's row is
    /// limited, and so is what one owner can have recorded and send.
    pub(super) fn planned_starts_left(&self, key: StepKey) -> usize {
        let job = self.steps[key].job;
        let planned = self.planned.iter().filter_map(|&run| self.runs.get(run));
        let of_job = planned.filter(|run| self.steps[run.step].job == job);
        let waiting = tuning::MAX_PLANNED_STARTS.saturating_sub(of_job.count());
        let recorded = self.count_losses(job, |loss| loss.planned);
        let unproven = tuning::MAX_UNPROVEN_PLANNED_STARTS.saturating_sub(recorded);
        waiting
            .min(unproven)
            .min(self.planned_starts_within_window())
    }

    /// Counts the losses of a job's tasks for which `counts` holds.
    pub(super) fn count_losses(&self, job: JobKey, counts: impl Fn(&Loss) -> bool) -> usize {
        let steps = self.jobs[job].occurrences.steps();
        let tasks = steps.flat_map(|step| self.steps[step].started_tasks());
        let losses = tasks.flat_map(|task| &task.losses);
        losses.filter(|&loss| counts(loss)).count()
    }

    /// Sends the planned starts that are recorded, as far as the window of starts allows, and drops
    /// those whose placement is no longer valid.  Members of a gang do not wait for the window.
    pub(super) fn send_planned_starts(&mut self, now: Millis) {
        for key in std::mem::take(&mut self.planned) {
            if !self.is_planned(key) {
                continue;
            }
            if !self.can_send_planned_start(key, now) {
                self.drop_planned_start(key);
            } else if self.may_send_planned_start(key, now) && self.is_trial_conclusive(key, now) {
                let step = self.runs[key].step;
                if self.is_start_window_full() && !self.steps[step].step().gang {
                    self.note_start_held_back(now);
                    self.planned.push(key);
                } else {
                    self.send_start(key, now);
                }
            } else {
                self.planned.push(key);
            }
        }
    }

    pub(super) fn is_planned(&self, key: RunKey) -> bool {
        let run = self.runs.get(key);
        run.is_some_and(|run| run.phase == Phase::Planned)
    }

    /// Returns whether a planned start is recorded, or is recorded only because another one may
    /// arrive late and has waited for that for [`tuning::MAX_LATE_START_RECORD_WAIT`].
    fn may_send_planned_start(&self, key: RunKey, now: Millis) -> bool {
        let run = &self.runs[key];
        let job = &self.jobs[self.steps[run.step].job];
        let must_be_recorded = job.record_starts_first || self.needs_trial(run.step, run.index);
        let waits_too_long = now >= run.decided_at + tuning::MAX_LATE_START_RECORD_WAIT;
        self.is_plan_recorded(key) || (!must_be_recorded && waits_too_long)
    }

    /// Returns whether a successor would know of a planned start; for a gang, of the starts of all
    /// its members.
    fn is_plan_recorded(&self, key: RunKey) -> bool {
        let run = &self.runs[key];
        let step = &self.steps[run.step];
        let is_recorded = |index: usize| {
            let mut losses = step.tasks[index].losses.iter();
            losses.any(|loss| loss.run == run.number && loss.recorded)
        };
        if step.step().gang {
            (0..step.tasks.len()).all(is_recorded)
        } else {
            is_recorded(run.index as usize)
        }
    }

    /// Returns whether a crash would show that this start caused it: the worker was heard just
    /// before. Waiting for that is cheap, since the next poll of the worker is soon, and an
    /// inconclusive trial costs one more crash.
    fn is_trial_conclusive(&self, key: RunKey, now: Millis) -> bool {
        let run = &self.runs[key];
        let step = &self.steps[run.step];
        !run.trial || step.step().gang || self.workers[run.worker].was_heard_recently(true, now)
    }

    /// Returns whether a planned start can still be sent; for a gang, those of all its members.
    fn can_send_planned_start(&self, key: RunKey, now: Millis) -> bool {
        let step = self.runs[key].step;
        if !self.steps[step].step().gang {
            return self.is_placement_valid(key, now);
        }
        let members = self.steps[step].tasks.iter().flat_map(|task| &task.runs);
        let planned = members.filter(|&&run| self.is_planned(run));
        planned
            .into_iter()
            .all(|&run| self.is_placement_valid(run, now))
    }

    fn is_placement_valid(&self, key: RunKey, now: Millis) -> bool {
        let run = &self.runs[key];
        let step = &self.steps[run.step];
        let job = &self.jobs[step.job];
        let task = &step.tasks[run.index as usize];
        let worker = &self.workers[run.worker];
        let is_permitted = job.queue.advice.is_none()
            || step
                .advice
                .tickets
                .get(&run.worker)
                .is_some_and(|ticket| ticket.expires > now + tuning::TICKET_MARGIN);
        !job.state.is_final()
            && !task.done
            && is_permitted
            && worker.allows(step.step(), &job.queue.service)
            && worker.used.fits(&worker.entry.capacity)
            && self.is_within_cap(run.step, 0)
            && self.takes_work(run.worker, now)
    }

    /// Drops a planned start without sending it, together with those of its gang.
    pub(super) fn drop_planned_start(&mut self, key: RunKey) {
        // It may have been dropped with its gang already.
        let Some(step) = self.runs.get(key).map(|run| run.step) else {
            return;
        };
        let mut dropped = vec![key];
        if self.steps[step].step().gang {
            let members = self.steps[step].tasks.iter().flat_map(|task| &task.runs);
            dropped = members
                .copied()
                .filter(|&run| self.is_planned(run))
                .collect();
        }
        for key in dropped {
            if let Some(run) = self.remove_run(key) {
                let task = self.steps[run.step].task_name(run.index);
                tracing::info!(
                    request = %task.step.job,
                    %task,
                    run = run.number,
                    "planned start is dropped before it is sent"
                );
                self.forget_loss(LossKey::of(&run));
            }
        }
    }
}
