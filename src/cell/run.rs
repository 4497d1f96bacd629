//! Lifecycle of a run: from its start until it ends, or is written off with its worker.

use crate::cell::crash::{Loss, LossKey};
use crate::cell::job::{JobState, Phase, Run, Stop};
use crate::cell::membership::LostBy;
use crate::cell::name::TaskName;
use crate::cell::order::{EndEntry, EndKind, Refusal, StartOutcome};
use crate::cell::{Cell, JobKey, Milestone, RunKey, StepKey, WorkerKey, health, tuning};
use crate::clock::Millis;

impl Cell {
    /// Finds the step of a task by name.
    pub(super) fn find_step(&self, task: TaskName) -> Option<StepKey> {
        let job = self.jobs.get(*self.job_ids.get(&task.step.job)?)?;
        let steps = job.occurrences.get(task.step.time)?;
        let key = steps.get(usize::from(task.step.step)).copied()?;
        let known = (task.index as usize) < self.steps[key].tasks.len();
        known.then_some(key)
    }

    /// Finds a known run on a worker by its task and number.
    pub(super) fn find_run(
        &self,
        worker: WorkerKey,
        task: TaskName,
        number: u64,
    ) -> Option<RunKey> {
        let step = self.find_step(task)?;
        self.steps[step].tasks[task.index as usize]
            .runs
            .iter()
            .copied()
            .find(|&run| self.runs[run].worker == worker && self.runs[run].number == number)
    }

    /// Adds a run to its task and worker, and charges its room to the workspace and the queue.
    pub(super) fn add_run(&mut self, run: Run) -> RunKey {
        let (step_key, index, worker_key) = (run.step, run.index, run.worker);
        let is_trial = run.trial;
        let key = self.runs.insert(run);
        self.note_started(step_key, index);
        let step = &mut self.steps[step_key];
        let task = &mut step.tasks[index as usize];
        step.idle -= u32::from(task.waits());
        task.runs.push(key);
        let spec = step.step();
        self.workers[worker_key].hold(key, spec, is_trial);
        let job = &self.jobs[step.job];
        let priority = job.decision.priority;
        self.ledger.charge(job.workspace, priority, spec);
        let queue = &job.queue.name;
        let millicores = spec.room().millicores;
        match self.held_millicores.get_mut(queue) {
            Some(held) => *held += millicores,
            None => {
                self.held_millicores.insert(queue.clone(), millicores);
            }
        }
        key
    }

    /// Notes that a task was started at least once, by this owner or a former one.
    pub(super) fn note_started(&mut self, key: StepKey, index: u32) {
        let step = &mut self.steps[key];
        let started = (index + 1).saturating_sub(step.started_end);
        step.started_end += started;
        if step.limits_starts() {
            self.jobs[step.job].unfinished_starts += started;
        }
    }

    /// Returns whether a task may be started as far as the number of unfinished starts of its job
    /// is limited.  One that was started before always may.
    pub(super) fn may_start_another(&self, key: StepKey, index: u32) -> bool {
        let step = &self.steps[key];
        let unfinished = self.jobs[step.job].unfinished_starts;
        let is_limited = step.limits_starts() && index >= step.started_end;
        !is_limited || unfinished < tuning::MAX_UNFINISHED_STARTS
    }

    /// Removes a run and gives its room back.
    pub(super) fn remove_run(&mut self, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        let step = &mut self.steps[run.step];
        let task = &mut step.tasks[run.index as usize];
        task.runs.retain(|&other| other != key);
        step.idle += u32::from(task.waits());
        let spec = step.step();
        if let Some(worker) = self.workers.get_mut(run.worker) {
            worker.release(key, spec, run.trial && !run.proven);
        }
        let job = &self.jobs[step.job];
        let priority = job.decision.priority;
        self.ledger.release(job.workspace, priority, spec);
        let queue = &job.queue.name;
        if let Some(held) = self.held_millicores.get_mut(queue) {
            *held -= spec.room().millicores;
        }
        Some(run)
    }

    /// Moves a run to the next life of its worker, where it may go on.
    pub(super) fn move_run(&mut self, key: RunKey, to: WorkerKey) {
        let run = &mut self.runs[key];
        let spec = self.steps[run.step].step();
        let is_trial = run.trial && !run.proven;
        self.workers[run.worker].release(key, spec, is_trial);
        run.worker = to;
        self.workers[to].hold(key, spec, is_trial);
        if let Some(stop) = &mut run.stop {
            stop.confirmed = None;
        }
    }

    /// Processes the outcome of a start. `clock` is the worker's clock, if its answer tells it.
    pub fn start_answered(
        &mut self,
        key: RunKey,
        outcome: StartOutcome,
        clock: Option<Millis>,
        now: Millis,
    ) {
        let heard = self.next_sequence();
        self.note_start_outcome(key, outcome, now);
        let Some(run) = self.runs.get_mut(key) else {
            self.start_answered_late(key, outcome, now);
            return;
        };
        let worker_key = run.worker;
        // The life that the start was meant for may have ended and been replaced by another one.
        let is_present = run.sent_to == worker_key;
        let is_other = is_present && clock.is_some_and(|clock| run.is_from_other_clock(clock));
        if let Some(clock) = clock.filter(|_| is_present && !is_other) {
            self.workers[worker_key].clock = Some((clock, now));
        }
        if is_other {
            tracing::info!(
                worker = %self.workers[worker_key].entry.life,
                clock,
                "start answered by a worker whose clock went back"
            );
            let worker = &mut self.workers[worker_key];
            worker.mark_silent(now);
            worker.assume_longest_lease(now);
        }
        let run = &mut self.runs[key];
        match outcome {
            StartOutcome::Started => {
                run.confirm_started(heard, now);
                let job = self.steps[run.step].job;
                if self.jobs[job].state == JobState::Queued {
                    self.record_wait(job, Milestone::FirstStart, now);
                }
                self.mark_job_running(job);
            }
            StartOutcome::Unanswered => {
                self.counts.unanswered_starts += 1;
                if run.phase == Phase::Sent {
                    run.phase = Phase::Doubtful;
                    run.doubt_heard = Some(heard);
                }
                if is_present {
                    self.workers[worker_key].mark_silent(now);
                }
                let step = self.runs[key].step;
                self.stop_gang(step, now, "a start of the gang was not answered");
                self.stop_run(key, now, "start was not answered");
            }
            StartOutcome::Refused(refusal) => {
                self.counts.refused_starts += 1;
                self.start_refused(key, refusal, now);
            }
        }
    }

    fn start_refused(&mut self, key: RunKey, refusal: Refusal, now: Millis) {
        let run = &self.runs[key];
        let (step_key, worker_key) = (run.step, run.worker);
        let task = self.steps[step_key].task_name(run.index);
        tracing::info!(
            request = %task.step.job,
            %task,
            run = run.number,
            worker = self.workers[worker_key].entry.life.id,
            reason = refusal.code(),
            "start refused"
        );
        let (index, loss_key) = (run.index, LossKey::of(run));
        let is_present = run.sent_to == worker_key;
        self.remove_run(key);
        self.awaiting_verdict.remove(&key);
        self.forget_loss(loss_key);
        if is_present {
            self.handle_refusal(worker_key, step_key, index, refusal, now);
        }
        self.stop_gang(step_key, now, "a member of the gang was refused");
    }

    /// Handles the refusal of a start by the life of the worker that it was meant for.
    fn handle_refusal(
        &mut self,
        worker_key: WorkerKey,
        step_key: StepKey,
        index: u32,
        refusal: Refusal,
        now: Millis,
    ) {
        let worker = &mut self.workers[worker_key];
        match refusal {
            Refusal::Gone => self.lose_worker(worker_key, now, LostBy::OtherLife),
            // What was not sent shows nothing of the worker: our own link may be the cause.  If the
            // worker is gone, the poll that is open there or the next one fails as well.
            Refusal::NotSent | Refusal::Unhealthy => {
                let until = now + tuning::UNHEALTHY_PAUSE;
                worker.health.shunned_until = worker.health.shunned_until.max(until);
            }
            Refusal::Late => worker.clock = None,
            Refusal::Ticket => {
                let tickets = &mut self.steps[step_key].advice.tickets;
                if let Some(ticket) = tickets.get_mut(&worker_key) {
                    ticket.expires = 0;
                }
            }
            Refusal::Room => worker.health.shunned_until = now + tuning::UNHEALTHY_PAUSE,
            // A worker that does not know the task will not know it a moment later either: without
            // a pause the start was sent again in each scheduling round.
            Refusal::UnknownTask => {
                let task = &mut self.steps[step_key].tasks[index as usize];
                task.paused_until = now + tuning::UNKNOWN_TASK_PAUSE;
            }
            Refusal::Busy | Refusal::Epoch | Refusal::OldRun => {}
        }
    }

    pub(super) fn mark_job_running(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if job.state == JobState::Queued {
            job.state = JobState::Running;
        }
    }

    /// Orders the stop of a run, unless one is ordered already. A planned start is dropped instead.
    pub(super) fn stop_run(&mut self, key: RunKey, now: Millis, reason: &'static str) {
        let Some(run) = self.runs.get(key).filter(|run| run.stop.is_none()) else {
            return;
        };
        if run.phase == Phase::Planned {
            return self.drop_planned_start(key);
        }
        let number = run.number;
        let task = self.steps[run.step].task_name(run.index);
        tracing::info!(request = %task.step.job, %task, run = number, reason, "run is stopped");
        self.send_stop(key, now);
    }

    fn send_stop(&mut self, key: RunKey, now: Millis) {
        let run = &mut self.runs[key];
        let repeats = run.stop.map_or(0, |stop| stop.repeats + 1);
        run.stop = Some(Stop {
            sent: now,
            repeats,
            confirmed: None,
        });
        let (worker, number) = (run.worker, run.number);
        let task = self.steps[run.step].task_name(run.index);
        self.order_stop(worker, Some(key), task, number);
    }

    /// Stops all members of a gang, since one of them cannot go on. Does nothing for other steps.
    pub(super) fn stop_gang(&mut self, key: StepKey, now: Millis, reason: &'static str) {
        if self.steps[key].step().gang {
            self.stop_step(key, now, reason);
        }
    }

    /// Orders the stop of all runs of a step.
    pub(super) fn stop_step(&mut self, key: StepKey, now: Millis, reason: &'static str) {
        let runs: Vec<RunKey> = self.steps[key]
            .tasks
            .iter()
            .flat_map(|task| task.runs.iter().copied())
            .collect();
        for run in runs {
            self.stop_run(run, now, reason);
        }
    }

    /// Notes that a worker has confirmed a stop: the run ends soon, or never begins.
    pub fn stop_confirmed(&mut self, key: RunKey) {
        let heard = self.next_sequence();
        if let Some(stop) = self.runs.get_mut(key).and_then(|run| run.stop.as_mut()) {
            stop.confirmed.get_or_insert(heard);
        }
    }

    /// Returns whether it is unknown if a run goes on, since its start was not answered.
    pub fn is_doubtful(&self, key: RunKey) -> bool {
        let run = self.runs.get(key);
        run.is_some_and(|run| run.phase == Phase::Doubtful)
    }

    /// Repeats stops that were not confirmed.
    pub(super) fn repeat_stops(&mut self, now: Millis) {
        let runs = self.runs.iter();
        let due = runs.filter(|(_, run)| self.is_stop_due(run, now));
        for key in due.map(|(key, _)| key).collect::<Vec<_>>() {
            self.send_stop(key, now);
        }
    }

    /// Returns whether an unconfirmed stop must be repeated.  While nothing is heard of the worker
    /// the pause doubles, since the worker, or our own link to it, carries nothing.  Once the worker
    /// has answered a poll since, and the run is still not known to be over, the stop is due
    /// [`tuning::STOP_RETRY`] after it was sent.
    fn is_stop_due(&self, run: &Run, now: Millis) -> bool {
        let Some(stop) = run.stop.filter(|stop| stop.confirmed.is_none()) else {
            return false;
        };
        let worker = &self.workers[run.worker];
        let was_heard = !worker.is_silent() && worker.last_heard > stop.sent;
        let doublings = if was_heard { 0 } else { stop.repeats };
        let factor = 1 << doublings.min(tuning::MAX_STOP_DOUBLINGS);
        stop.sent + tuning::STOP_RETRY * factor <= now
    }

    /// Processes the end of a known run.
    pub(super) fn run_ended(&mut self, key: RunKey, end: &EndEntry, now: Millis) {
        self.note_survival(key);
        let Some(run) = self.remove_run(key) else {
            return;
        };
        self.forget_loss(LossKey::of(&run));
        let job_key = self.steps[run.step].job;
        let closed = self.jobs[job_key].state.is_final();
        if !end.checkpoint.is_empty() && !closed {
            self.set_checkpoint(run.step, run.index, &end.checkpoint);
            self.jobs[job_key].dirty = true;
        }
        match end.how {
            EndKind::Done => {
                self.learn_estimate_error(&run, now);
                self.learn_speed(&run, now);
                self.task_done(run.step, run.index, end.number, now);
            }
            EndKind::Failed => {
                self.pause_lasting_task(&run, now);
                self.task_failed(run.step, run.index, end.number, run.worker, now);
            }
            EndKind::Alone | EndKind::Broken | EndKind::Stopped | EndKind::Lapsed => {}
        }
        self.update_health(&run, end.how, now);
        if end.how != EndKind::Done {
            self.stop_gang(run.step, now, "a member of the gang has ended");
        }
    }

    /// Keeps the latest checkpoint of a task, from which its next run continues; all members of a
    /// gang share it.
    pub(super) fn set_checkpoint(&mut self, step: StepKey, index: u32, checkpoint: &str) {
        self.note_started(step, index);
        let step = &mut self.steps[step];
        if step.step().gang {
            for task in &mut step.tasks {
                task.checkpoint = checkpoint.to_owned();
            }
        } else {
            step.tasks[index as usize].checkpoint = checkpoint.to_owned();
        }
    }

    /// Marks a task as done, and with it all members of its gang. Has no effect on lasting
    /// steps, whose tasks run until the job is cancelled.
    pub(super) fn task_done(&mut self, key: StepKey, index: u32, number: u64, now: Millis) {
        if self.steps[key].step().lasting {
            return;
        }
        if self.steps[key].step().gang {
            let members = self.steps[key].tasks.len() as u32;
            (0..members).for_each(|member| self.mark_done(key, member));
        } else {
            self.mark_done(key, index);
        }
        let step = &self.steps[key];
        let (job_key, name) = (step.job, step.name);
        tracing::info!(
            request = %name.job,
            step = %name,
            index,
            run = number,
            open = step.open,
            "task done"
        );
        let copies: Vec<RunKey> = step.tasks[index as usize].runs.clone();
        for copy in copies {
            self.stop_run(copy, now, "another copy is done");
        }
        if self.jobs[job_key].state.is_final() {
            return;
        }
        self.jobs[job_key].dirty = true;
        if self.steps[key].open == 0 {
            self.open_steps.retain(|&open| open != key);
            self.make_ready(job_key, name.time);
            self.finish_if_done(job_key);
            self.done_steps.push((job_key, name.time));
        }
    }

    /// Marks one task as done, and forgets which losses it had.
    pub(super) fn mark_done(&mut self, key: StepKey, index: u32) {
        self.note_started(key, index);
        let step = &mut self.steps[key];
        step.tasks[index as usize].losses.clear();
        if !step.mark_done(index) {
            return;
        }
        let name = step.name;
        let job = &mut self.jobs[step.job];
        job.unfinished_starts -= u32::from(step.limits_starts());
        if let Some(number) = job.spec.task_number((name.time, name.step, index)) {
            job.done.insert(number);
        }
    }

    fn task_failed(
        &mut self,
        key: StepKey,
        index: u32,
        number: u64,
        worker: WorkerKey,
        now: Millis,
    ) {
        self.note_started(key, index);
        let step = &mut self.steps[key];
        let lasting = step.step().lasting;
        let gang = step.step().gang;
        let job_key = step.job;
        step.tasks[index as usize].avoid = Some(worker);
        // A gang fails as a whole: each run counts once, whichever member reported its failure.
        let counted = if gang { 0 } else { index as usize };
        let failed = &mut step.tasks[counted].failed;
        if failed.contains(&number) || lasting {
            return;
        }
        failed.push(number);
        let failures = failed.len();
        let name = step.task_name(index);
        let job = &mut self.jobs[job_key];
        tracing::info!(
            request = %job.id,
            task = %name,
            run = number,
            failures,
            attempts = job.queue.attempts,
            "task failed"
        );
        if job.state.is_final() {
            return;
        }
        job.dirty = true;
        if failures >= job.queue.attempts.max(1) as usize {
            self.end_job(job_key, JobState::Failed);
            self.stop_step(key, now, "job has failed");
        }
    }

    /// Has a lasting task that fails again and again soon after its start wait before the next one:
    /// its starts cost others, and the room that it takes for a moment is lost to them.
    fn pause_lasting_task(&mut self, run: &Run, now: Millis) {
        let step = &mut self.steps[run.step];
        if !step.step().lasting {
            return;
        }
        let is_early = now.saturating_sub(run.began_at) < tuning::MIN_SOUND_RUN;
        let task = &mut step.tasks[run.index as usize];
        task.early_failures = match is_early {
            true => task.early_failures.saturating_add(1),
            false => 0,
        };
        task.paused_until = now + health::pause_after_failures(task.early_failures);
    }

    /// Counts the failure of a run that this owner did not start, or has written off.
    pub(super) fn count_unknown_failure(&mut self, key: StepKey, end: &EndEntry, now: Millis) {
        let no_worker = WorkerKey::default();
        self.task_failed(key, end.task.index, end.number, no_worker, now);
    }

    /// Writes off all runs on a worker that was lost without reporting their ends.
    pub(super) fn write_off(&mut self, key: WorkerKey, now: Millis) {
        if !self.workers[key].runs.is_empty() {
            self.keep_ended_life(key);
        }
        self.note_losses(key, now);
        self.drop_runs(key, now);
    }

    /// Removes all runs on a worker, and keeps the losses that were noted for them.
    pub(super) fn drop_runs(&mut self, key: WorkerKey, now: Millis) {
        let planned = self.workers[key].runs.iter().copied();
        let planned: Vec<RunKey> = planned.filter(|&run| self.is_planned(run)).collect();
        for run in planned {
            self.drop_planned_start(run);
        }
        let runs = self.workers[key].runs.clone();
        self.log_lost_runs(key, &runs, now);
        for run_key in runs {
            if self.runs.contains_key(run_key) {
                self.bar_uncounted_start(run_key, now);
            }
            let Some(run) = self.remove_run(run_key) else {
                continue;
            };
            if run.sent_to != key {
                self.start_not_found(run_key, now);
            }
            // A loss that is still marked as planned was not noted as a possible cause of the
            // crash; other runs were.
            let is_this = |loss: &Loss| loss.planned && loss.run == run.number;
            self.forget_losses(run.step, run.index, is_this);
            self.stop_gang(run.step, now, "a member of the gang is lost");
        }
        if self.workers[key].has_unread_runs {
            self.keep_ended_life(key);
        }
        self.workers[key].clear_listed_state();
    }

    /// Logs in one line the runs that were lost with their worker, each with its phase, which tells
    /// how certain it is that it had begun, and its age: a task that crashes its workers shows as
    /// the youngest one.
    fn log_lost_runs(&self, key: WorkerKey, runs: &[RunKey], now: Millis) {
        if runs.is_empty() {
            return;
        }
        let texts = runs.iter().map(|&key| {
            let run = &self.runs[key];
            let task = self.steps[run.step].task_name(run.index);
            let age = run.start_heard.map(|_| now.saturating_sub(run.began_at));
            format!("{task}:{} {:?} {age:?}", run.number, run.phase)
        });
        let texts: Vec<String> = texts.collect();
        let worker = &self.workers[key];
        tracing::info!(
            worker = worker.entry.life.id,
            machine = worker.entry.machine,
            heard_ms_ago = now.saturating_sub(worker.last_heard),
            runs = texts.join(", "),
            "runs are lost with their worker"
        );
    }
}
