//! Speaking to workers: one exchange at a time with each, when it is due.

use std::sync::Arc;
use std::time::Duration;

use crate::backend::{Exchange, LinkError, WorkerReply};
use crate::clock::Millis;
use crate::daemon::instance::{Instance, State};
use crate::model::VmBoot;
use crate::placement::lease::Standing;
use crate::placement::worker::Worker;

/// After a failed exchange, how long to wait before the next, in milliseconds.
const RETRY_PAUSE: Millis = 300;
/// How often leases are checked for having run out, in milliseconds.
const EXPIRE_EVERY: Millis = 250;
/// The shortest sleep of the loop, in milliseconds, so that it never spins.
const SHORTEST_SLEEP: Millis = 2;

/// When a worker is to be spoken to.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkerTimes {
    /// Whether an exchange is under way.
    pub busy: bool,
    /// When the next exchange is due, unless something presses.
    pub next_at: Millis,
    /// Until when nothing is sent, after a failure.
    pub pause_until: Millis,
}

struct Due {
    vm: String,
    endpoint: String,
    standing: Standing,
    msg: Exchange,
    asked_at: Millis,
}

impl Instance {
    /// Plans, and speaks to workers, whenever something has happened.
    pub async fn run_workers(self: Arc<Self>) {
        let mut expire_at = 0;
        loop {
            let _ = tokio::time::timeout(self.until_due(), self.wake_workers.notified()).await;
            let now = self.now();
            if now >= expire_at {
                expire_at = now + EXPIRE_EVERY;
                self.lock().cell.expire(now);
            }
            self.plan();
            for due in self.due_exchanges() {
                let instance = Arc::clone(&self);
                self.spawn(async move { instance.exchange(due).await });
            }
        }
    }

    /// Returns how long no worker is due, at most one tick.
    fn until_due(&self) -> Duration {
        let now = self.now();
        let state = self.lock();
        let idle = state.worker_times.values().filter(|times| !times.busy);
        let next_at = idle.map(|times| times.next_at.max(times.pause_until)).min();
        let wait = next_at.map_or(Millis::MAX, |at| at.saturating_sub(now));
        Duration::from_millis(wait.max(SHORTEST_SLEEP)).min(self.tick())
    }

    /// Gives places to waiting tasks.
    pub fn plan(&self) {
        let now = self.now();
        let mut state = self.lock();
        state.cell.plan(now);
        self.publish(&mut state);
        if state.cell.has_writes() {
            self.wake_records.notify_one();
        }
    }

    fn due_exchanges(&self) -> Vec<Due> {
        let now = self.now();
        let mut state = self.lock();
        let due: Vec<(String, String)> = {
            let workers = state.cell.workers();
            let due = workers.filter(|(_, worker)| is_due(&state, worker, now));
            due.map(|(shard, worker)| (shard.to_owned(), worker.vm.vm.clone()))
                .collect()
        };
        due.into_iter()
            .filter_map(|(shard, vm)| self.due_exchange(&mut state, &shard, vm, now))
            .collect()
    }

    fn due_exchange(&self, state: &mut State, shard: &str, vm: String, now: Millis) -> Option<Due> {
        let standing = self.standing(state, &vm, shard, now)?;
        let endpoint = state.cell.worker(&vm)?.endpoint.clone();
        let msg = state.cell.exchange(&vm, &standing, now)?;
        let times = state.worker_times.entry(vm.clone()).or_default();
        times.busy = true;
        times.next_at = now + self.cfg.number("leases", "renew_ms");
        Some(Due {
            vm,
            endpoint,
            standing,
            msg,
            asked_at: now,
        })
    }

    async fn exchange(&self, due: Due) {
        let reply = self
            .platform
            .workers
            .exchange(due.endpoint.clone(), due.msg.clone())
            .await;
        let now = self.now();
        let mut state = self.lock();
        match reply {
            Ok(reply) => self.on_worker_reply(&mut state, &due, &reply, now),
            Err(err) => self.on_worker_silence(&mut state, &due, err, now),
        }
        let look = state.cell.next_look(&due.vm, now);
        if let Some(times) = state.worker_times.get_mut(&due.vm) {
            times.busy = false;
            times.next_at = times.next_at.min(look.unwrap_or(Millis::MAX));
        }
        drop(state);
        self.wake_workers.notify_one();
    }

    fn on_worker_reply(&self, state: &mut State, due: &Due, reply: &WorkerReply, now: Millis) {
        let shard = &due.standing.shard;
        let Some(held) = state.held.get_mut(shard) else {
            return;
        };
        if held.tenure.epoch() != due.standing.epoch {
            return;
        }
        if !reply.obeyed {
            held.tenure.on_superseded(reply.epoch);
            self.drop_lost(state);
            state.cell.forget_reading(&due.vm);
            return;
        }
        let vm = VmBoot {
            vm: due.vm.clone(),
            boot: reply.boot,
        };
        let recorded = held.tenure.is_witness(&vm) && !held.releasing;
        let known = state.cell.worker(&due.vm).map(|worker| worker.vm.boot);
        if known != Some(reply.boot) {
            held.changed_at = now;
        }
        state.cell.on_reply(&due.vm, &due.msg, reply, recorded, now);
        // The inventory has been taken in, so the worker may now count as fenced.
        held.tenure.on_ack(&vm, due.asked_at, now);
        self.allow_inherited(state, now);
        if state.cell.has_writes() {
            self.wake_records.notify_one();
        }
    }

    fn on_worker_silence(&self, state: &mut State, due: &Due, err: LinkError, now: Millis) {
        tracing::debug!(vm = due.vm, %err, "a worker could not be spoken to");
        self.metrics.retry("worker_unanswered");
        if let Some(times) = state.worker_times.get_mut(&due.vm) {
            times.pause_until = now + RETRY_PAUSE;
            times.next_at = now + RETRY_PAUSE;
        }
        state.cell.on_silence(&due.vm, now);
    }
}

/// Tells whether a worker should be spoken to at `now`.
fn is_due(state: &State, worker: &Worker, now: Millis) -> bool {
    let times = state
        .worker_times
        .get(&worker.vm.vm)
        .copied()
        .unwrap_or_default();
    let due = worker.pressing || now >= times.next_at;
    due && !times.busy && now >= times.pause_until
}
