//! What is said to workers, and what their answers mean.
//!
//! Deadlines are given in the worker's clock.  The owner knows a reading of that
//! clock and when it arrived; clocks differ in rate by a known bound at most, so
//! the reading plus the time since, shortened by that bound, is never ahead of
//! the worker.  A lease of length L given now is therefore over after L,
//! lengthened by the bound, whatever delays the message; see "Clocks" in
//! `docs/DESIGN.md`.

use crate::backend::{Exchange, StartOrder, TaskReport, WorkerReply};
use crate::clock::Millis;
use crate::model::{Epoch, JobKind, RunEnd, TaskId, TaskState};
use crate::placement::cell::Cell;
use crate::placement::task::Phase;
use crate::placement::worker::Reading;
use crate::placement::{TaskKey, WorkerKey};

/// After how many workers on which it failed, with no success, a job is condemned.
const WORKERS_TO_CONDEMN: usize = 3;

/// How the tenure of a worker's shard stands when it is spoken to.
#[derive(Debug, Clone)]
pub struct Standing {
    /// The shard.
    pub shard: String,
    /// The instance that speaks.
    pub owner: String,
    /// The epoch of the tenure.
    pub epoch: Epoch,
    /// Whether the tenure is confirmed, so that anything may be started or renewed.
    pub may_act: bool,
    /// Whether this boot of the worker is recorded in the shard's row.
    pub recorded: bool,
}

impl Cell {
    /// Builds what is to be said to a worker now.
    pub fn exchange(&mut self, vm: &str, standing: &Standing, now: Millis) -> Option<Exchange> {
        let key = self.worker_key(vm)?;
        let mut msg = Exchange {
            shard: standing.shard.clone(),
            owner: standing.owner.clone(),
            epoch: standing.epoch,
            ..Exchange::default()
        };
        self.workers[key].pressing = false;
        let Some(clock) = self.clock_of(key, now) else {
            return Some(msg);
        };
        msg.boot = Some(self.workers[key].vm.boot);
        msg.stop = self.workers[key].stop.clone();
        let due = |entry: &&(TaskId, Millis)| entry.1 <= now;
        msg.forget = self.workers[key]
            .forget
            .iter()
            .filter(due)
            .map(|(task, _)| task.clone())
            .collect();
        if standing.may_act && standing.recorded {
            msg.start_until = clock + self.limits.start_lease;
            msg.lease_until = clock + self.limits.lease;
            self.add_leases(key, &mut msg, now);
        }
        Some(msg)
    }

    /// Returns a time that the worker's clock has certainly reached.
    fn clock_of(&self, key: WorkerKey, now: Millis) -> Option<Millis> {
        let reading = self.workers[key].reading?;
        let elapsed = now.saturating_sub(reading.received_at);
        Some(reading.clock + elapsed - elapsed * self.limits.drift_permille / 1000)
    }

    fn add_leases(&mut self, worker: WorkerKey, msg: &mut Exchange, now: Millis) {
        let start_over = now + self.limits.over_after(self.limits.start_lease);
        let lease_over = now + self.limits.over_after(self.limits.lease);
        for key in self.workers[worker].tasks.clone() {
            match self.tasks[key].phase {
                Phase::Starting => {
                    msg.start.push(self.start_order(key));
                    self.extend_lease(key, start_over);
                }
                Phase::Running => {
                    msg.renew.push(self.task_id(key));
                    self.extend_lease(key, lease_over);
                }
                _ => {}
            }
        }
    }

    fn extend_lease(&mut self, key: TaskKey, over_at: Millis) {
        let task = &mut self.tasks[key];
        task.lease_over_at = task.lease_over_at.max(over_at);
    }

    fn start_order(&self, key: TaskKey) -> StartOrder {
        let task = &self.tasks[key];
        let spec = &self.jobs[task.job].spec;
        let runtime_ms = match spec.kind {
            JobKind::Service => Some(0),
            _ => spec.runtime_ms,
        };
        StartOrder {
            task: self.task_id(key),
            attempt: task.attempt,
            resources: spec.resources,
            command: spec.command.clone(),
            runtime_ms,
        }
    }

    pub(super) fn task_id(&self, key: TaskKey) -> TaskId {
        let task = &self.tasks[key];
        TaskId {
            job: self.jobs[task.job].id.clone(),
            index: task.index,
        }
    }

    /// Takes in a worker's answer to an exchange of our epoch that it obeyed.
    pub fn on_reply(
        &mut self,
        vm: &str,
        msg: &Exchange,
        reply: &WorkerReply,
        recorded: bool,
        now: Millis,
    ) {
        let Some(key) = self.worker_key(vm) else {
            return;
        };
        if self.workers[key].vm.boot != reply.boot {
            self.on_boot(key, reply.boot, now);
        }
        let worker = &mut self.workers[key];
        worker.reading = Some(Reading {
            clock: reply.clock,
            received_at: now,
        });
        worker.leaving |= reply.leaving;
        worker.usable = recorded;
        worker.stop.retain(|task| !msg.stop.contains(task));
        worker.forget.retain(|(task, _)| !msg.forget.contains(task));
        self.reindex(key, now);
        for report in &reply.inventory {
            self.on_report(key, report, now);
        }
        self.check_missing(key, &reply.inventory, now);
    }

    /// The worker has restarted: all that ran there is over.
    fn on_boot(&mut self, key: WorkerKey, boot: u64, now: Millis) {
        let known = std::mem::replace(&mut self.workers[key].vm.boot, boot) != 0;
        if !known {
            return;
        }
        self.tally.add("worker_restarted");
        self.workers[key].stop.clear();
        self.workers[key].forget.clear();
        for task in self.workers[key].tasks.clone() {
            self.over(task, now);
        }
    }

    fn on_report(&mut self, worker: WorkerKey, report: &TaskReport, now: Millis) {
        let Some(key) = self.find_task(&report.task) else {
            self.on_stray(worker, report, now);
            return;
        };
        let task = &self.tasks[key];
        let same = task.worker == Some(worker) && task.attempt == report.attempt;
        let found = task.phase == Phase::Waiting
            && task.inherited
            && task.next_home == self.workers[worker].shard;
        if found && !same {
            self.on_found(worker, key, report, now);
            return;
        }
        match (same, report.end, task.phase) {
            (true, None, Phase::Starting) => self.on_started(key, now),
            (true, None, _) => {}
            (true, Some(end), Phase::Starting) => {
                self.on_started(key, now);
                self.on_end(worker, key, end, now);
            }
            (true, Some(end), Phase::Running) => self.on_end(worker, key, end, now),
            (_, _, Phase::Ended(_)) if task.ended_on == Some(worker) => {}
            _ => self.on_stray(worker, report, now),
        }
    }

    /// A run that the record does not lead to: it is stopped, or forgotten if it has ended.
    fn on_stray(&mut self, worker: WorkerKey, report: &TaskReport, now: Millis) {
        if report.end.is_some() {
            self.allow_forget(worker, report.task.clone(), now);
            return;
        }
        let worker = &mut self.workers[worker];
        if !worker.stop.contains(&report.task) {
            worker.stop.push(report.task.clone());
            worker.pressing = true;
        }
    }

    /// Lets a worker forget a run once no start order for it can be valid any more.
    pub(super) fn allow_forget(&mut self, worker: WorkerKey, task: TaskId, now: Millis) {
        let from = now + self.limits.over_after(self.limits.start_lease);
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        match worker.forget.iter_mut().find(|(known, _)| *known == task) {
            Some((_, known_from)) => *known_from = from,
            None => worker.forget.push((task, from)),
        }
    }

    /// A task of the predecessor turned up in an inventory.
    fn on_found(&mut self, worker: WorkerKey, key: TaskKey, report: &TaskReport, now: Millis) {
        let job = self.tasks[key].job;
        let retried = matches!(
            report.end,
            Some(RunEnd::Failed | RunEnd::Stopped | RunEnd::Lapsed)
        );
        if retried && self.jobs[job].spec.repeatable {
            // The predecessor may have started a later attempt elsewhere, so the end
            // of this one frees nothing: the task stays inherited.
            self.on_stray(worker, report, now);
            return;
        }
        if report.end.is_none() && !self.occupy(key, worker, now) {
            self.on_stray(worker, report, now);
            return;
        }
        self.tasks[key].attempt = report.attempt;
        self.tasks[key].inherited = false;
        // The worker has been fenced, so no lease of the predecessor's can begin any more.
        self.tasks[key].lease_over_at = now + self.limits.over_after(self.limits.lease);
        if let Some(end) = report.end {
            self.leave_queue(key);
            self.tasks[key].phase = Phase::Running;
            self.on_end(worker, key, end, now);
            return;
        }
        self.leave_queue(key);
        self.tasks[key].phase = Phase::Running;
        self.tasks[key].running_since = now;
        self.tally.add("task_found");
        if self.jobs[job].cancelling {
            self.order_stop(key);
        }
    }

    fn leave_queue(&mut self, key: TaskKey) {
        let (job, index) = (self.tasks[key].job, self.tasks[key].index);
        self.jobs[job].waiting.remove(&index);
        self.requeue_job(job);
    }

    fn on_started(&mut self, key: TaskKey, now: Millis) {
        let task = &mut self.tasks[key];
        task.phase = Phase::Running;
        task.running_since = now;
        let waited = now.saturating_sub(task.waiting_since);
        let class = self.jobs[task.job].ordering.class;
        if let Some(worker) = task.worker {
            self.workers[worker].pressing = true;
        }
        self.waits.push((class.label(), waited));
        self.tally.add("task_started");
    }

    fn on_end(&mut self, worker: WorkerKey, key: TaskKey, end: RunEnd, now: Millis) {
        let job = self.tasks[key].job;
        let service = self.jobs[job].spec.kind == JobKind::Service;
        let cancelling = self.jobs[job].cancelling;
        match end {
            RunEnd::Succeeded => {
                self.jobs[job].successes += 1;
                self.record_pace(key, now);
                self.workers[worker].health.on_success();
                match service && !cancelling {
                    true => self.rerun(worker, key, now),
                    false => self.finish_on(worker, key, TaskState::Succeeded, now),
                }
            }
            RunEnd::Failed => self.on_failed(worker, key, now),
            RunEnd::Stopped if cancelling => self.finish_on(worker, key, TaskState::Cancelled, now),
            RunEnd::Stopped | RunEnd::Lapsed => {
                match self.jobs[job].spec.repeatable || self.tasks[key].preempted {
                    true => self.rerun(worker, key, now),
                    false => self.finish_on(worker, key, TaskState::Unknown, now),
                }
            }
        }
    }

    fn on_failed(&mut self, worker: WorkerKey, key: TaskKey, now: Millis) {
        let job = self.tasks[key].job;
        let elsewhere = self.jobs[job].successes > 0;
        let quarantined = self.workers[worker].health.on_failure(job, elsewhere, now);
        if quarantined {
            self.tally.add("worker_quarantined");
            self.jobs[job].failed_on.remove(&worker);
        } else {
            self.jobs[job].note_failure(worker, now);
        }
        let widely = !elsewhere && self.jobs[job].failed_on.len() >= WORKERS_TO_CONDEMN;
        let newly = widely && !std::mem::replace(&mut self.jobs[job].condemned, widely);
        let condemned = self.jobs[job].condemned;
        let tired = self.tasks[key].attempts >= self.limits.max_attempts;
        let service = self.jobs[job].spec.kind == JobKind::Service;
        if service || (self.jobs[job].spec.repeatable && !condemned && !tired) {
            self.rerun(worker, key, now);
        } else {
            self.finish_on(worker, key, TaskState::Failed, now);
        }
        if newly && !service {
            self.condemn(job, now);
        }
        self.reindex(worker, now);
    }

    /// Fails what is left of a job that fails wherever it runs.
    fn condemn(&mut self, job: crate::placement::JobKey, now: Millis) {
        self.tally.add("job_condemned");
        let waiting: Vec<TaskKey> = {
            let job = &self.jobs[job];
            job.waiting.iter().map(|index| job.tasks[index]).collect()
        };
        for task in waiting {
            self.finish(task, TaskState::Failed, now);
        }
    }

    /// Runs a task again; the worker may forget the run that is over.
    fn rerun(&mut self, worker: WorkerKey, key: TaskKey, now: Millis) {
        let id = self.task_id(key);
        self.allow_forget(worker, id, now);
        self.requeue(key, now);
    }

    /// Ends a task; the worker must remember the end until it is durable.
    fn finish_on(&mut self, worker: WorkerKey, key: TaskKey, state: TaskState, now: Millis) {
        self.tasks[key].ended_on = Some(worker);
        self.finish(key, state, now);
    }

    /// A task said to run that its worker no longer knows is over.
    fn check_missing(&mut self, key: WorkerKey, inventory: &[TaskReport], now: Millis) {
        for task in self.workers[key].tasks.clone() {
            let id = self.task_id(task);
            let missing = !inventory.iter().any(|report| report.task == id);
            if self.tasks[task].phase == Phase::Running && missing {
                self.over(task, now);
            }
        }
    }

    /// A run is known to be over and its end is not known.
    fn over(&mut self, key: TaskKey, now: Millis) {
        let repeatable = self.jobs[self.tasks[key].job].spec.repeatable;
        let never_sent = self.tasks[key].lease_over_at == 0;
        if repeatable || never_sent || self.tasks[key].phase == Phase::Placed {
            self.requeue(key, now);
        } else {
            self.finish(key, TaskState::Unknown, now);
        }
    }

    /// Records that a worker could not be spoken to: it gets nothing new until it answers.
    pub fn on_silence(&mut self, vm: &str, now: Millis) {
        let Some(key) = self.worker_key(vm) else {
            return;
        };
        self.workers[key].usable = false;
        self.reindex(key, now);
        for task in self.workers[key].tasks.clone() {
            let waiting = matches!(self.tasks[task].phase, Phase::Placed | Phase::Starting);
            if waiting && self.tasks[task].lease_over_at == 0 {
                self.requeue(task, now);
            }
        }
    }

    /// Forgets the reading of a worker's clock, so that it is next asked who it is.
    pub fn forget_reading(&mut self, vm: &str) {
        if let Some(key) = self.worker_key(vm) {
            self.workers[key].reading = None;
        }
    }

    /// Ends what runs on silent workers and whose last lease is over by now.
    pub fn expire(&mut self, now: Millis) {
        let over: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, task)| matches!(task.phase, Phase::Starting | Phase::Running))
            .filter(|(_, task)| task.lease_over_at > 0 && task.lease_over_at <= now)
            .map(|(key, _)| key)
            .collect();
        for key in over {
            self.tally.add("lease_over");
            self.over(key, now);
        }
        self.reservations_expire(now);
        for key in self.workers.keys().collect::<Vec<_>>() {
            self.reindex(key, now);
        }
    }

    fn find_task(&self, id: &TaskId) -> Option<TaskKey> {
        let job = self.by_job.get(&id.job)?;
        self.jobs[*job].tasks.get(&id.index).copied()
    }

    /// Tells whether a worker should be spoken to without waiting for the next renewal.
    pub fn is_pressing(&self, vm: &str) -> bool {
        self.worker(vm).is_some_and(|worker| worker.pressing)
    }

    /// Has every worker of a shard spoken to without waiting for the next renewal.
    pub fn press_shard(&mut self, name: &str) {
        let shard = self.shard_index(name);
        for worker in self
            .workers
            .values_mut()
            .filter(|worker| worker.shard == shard)
        {
            worker.pressing = true;
        }
    }
}
