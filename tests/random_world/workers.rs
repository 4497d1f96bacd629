//! Ends and beginnings of workers' lives, and their entries in the store.

use super::{
    CUT_OF_YOUNG_LIFE, ENTRY_LIFETIME, FAILING_LIFE_ONE_IN, FormerEntry, HEARTBEAT,
    MAX_CRASH_DOWNTIME, MAX_ENTRY_DELAY, MAX_FIRST_READING, MAX_LISTING_DELAY, MAX_RESTART_TIME,
    Moment, TICK, World, YOUNG_LIFE,
};
use crate::lives::{UNIX_START, WorkerLife};
use crossweir::cell::name::TaskName;
use crossweir::cell::order::{EndEntry, StartOrder};
use crossweir::cell::worker::WorkerEntry;
use crossweir::clock::Millis;
use crossweir::embedded::worker::MemoryWorker;
use rand::Rng;
use rand::seq::SliceRandom;
use std::collections::BTreeSet;

impl World {
    /// Ends the life of a random worker; the next one begins at once or, where workers keep their
    /// ids, in most cases later.
    pub(super) fn restart_worker(&mut self) {
        let place = self.rng.random_range(0..self.entries.len());
        if self.restarts.contains_key(&place) {
            return;
        }
        self.end_life(place);
        if self.keeps_ids && self.rng.random_ratio(7, 10) {
            let away = self.rng.random_range(0..MAX_RESTART_TIME);
            self.restarts.insert(place, self.now + away);
        } else {
            self.begin_life(place);
        }
    }

    /// Ends the life of a worker, and all its runs.
    pub(super) fn end_life(&mut self, place: usize) {
        let id = &self.entries[place].life.id;
        let mut former = self.workers.remove(id).expect("a worker");
        former.settle(self.now);
        let running = former.runs().filter(|run| run.ended.is_none());
        let running: Vec<TaskName> = running.map(|run| run.task).collect();
        // An owner cannot tell whether a start that was lost just before has been executed.
        let unresolved = self
            .unresolved_starts
            .values()
            .filter(|start| start.life == *id);
        let unresolved = unresolved.map(|start| start.task);
        for task in running
            .into_iter()
            .chain(unresolved)
            .collect::<BTreeSet<TaskName>>()
        {
            *self.crashed_under.entry(task).or_default() += 1;
        }
        former.crash(self.now);
        tracing::debug!(now = self.now, life = %self.entries[place].life, "life ends");
        self.add_history(format!("{} ends", self.entries[place].life));
        self.ended_lives.push(former);
    }

    /// The entries of all workers in the store, in random order where entries may be late.
    pub(super) fn entries_in_store(&mut self) -> Vec<WorkerEntry> {
        let mut entries = self.listed_entries.clone();
        if self.has_late_entries {
            let present = |entry: &WorkerEntry| self.workers.contains_key(&entry.life.id);
            let former = self.stale_entries.iter().map(|former| &former.entry);
            entries.extend(former.filter(|&entry| !present(entry)).cloned());
            entries.shuffle(&mut self.rng);
        }
        entries
    }

    /// In half of all cases, the last write of an ended life arrives some time after its end.
    pub(super) fn delay_last_entry(&mut self, entry: WorkerEntry) {
        if self.rng.random_bool(0.5) {
            let at = self.now + self.rng.random_range(0..MAX_ENTRY_DELAY);
            let until = at + ENTRY_LIFETIME;
            self.delayed_entries.push(FormerEntry { at, until, entry });
        }
    }

    /// Lists entries that late writes have restored, singly or with all others, and removes them
    /// after [`ENTRY_LIFETIME`].
    pub(super) fn update_stale_entries(&mut self) {
        if !self.has_late_entries {
            return;
        }
        let now = self.now;
        if now.is_multiple_of(HEARTBEAT) {
            let listed = self.listed_entries.iter();
            let lives = listed.filter(|&entry| self.entries.contains(entry));
            for entry in lives.cloned().collect::<Vec<_>>() {
                self.owner.cell.list_worker(entry, now);
            }
        }
        let due = |former: &mut FormerEntry| former.at <= now;
        for former in self.delayed_entries.extract_if(.., due).collect::<Vec<_>>() {
            self.owner.cell.list_worker(former.entry.clone(), now);
            self.stale_entries.push(former);
        }
        let gone = |former: &mut FormerEntry| former.until <= now;
        for former in self.stale_entries.extract_if(.., gone).collect::<Vec<_>>() {
            let id = &former.entry.life.id;
            if !self.listed_entries.iter().any(|entry| entry.life.id == *id) {
                self.owner.cell.unlist_worker(id, now);
            }
        }
        if self.chance(1) {
            let entries = self.entries_in_store();
            self.owner.cell.list_workers(entries, now);
        }
    }

    pub(super) fn begin_life(&mut self, place: usize) {
        if self.has_late_entries {
            self.delay_last_entry(self.entries[place].clone());
        }
        if self.keeps_ids {
            return self.begin_life_of_same_id(place);
        }
        let entry = &mut self.entries[place];
        entry.life.id = format!("w{}", self.next_worker_number);
        self.next_worker_number += 1;
        let worker = WorkerLife::begun_at(0, MemoryWorker::default());
        tracing::debug!(now = self.now, life = %entry.life, "life begins");
        self.workers.insert(entry.life.id.clone(), worker);
        if self.has_late_entries {
            let listed = self.now + self.rng.random_range(0..MAX_LISTING_DELAY);
            return self.pending_listings.push((listed, place));
        }
        self.listed_entries[place] = entry.clone();
        let entry = entry.clone();
        self.owner.cell.list_worker(entry, self.now);
    }

    pub(super) fn begin_life_of_same_id(&mut self, place: usize) {
        let born = UNIX_START + self.now;
        let life = &mut self.entries[place].life;
        life.born = Some(born);
        let mut memory = MemoryWorker::born_at(born);
        memory.fails_all_tasks =
            !self.faults_ended && self.rng.random_ratio(1, FAILING_LIFE_ONE_IN);
        tracing::debug!(now = self.now, %life, "life begins");
        self.listed.remove(&life.id);
        self.lease_expiries.remove(&life.id);
        let worker = WorkerLife::begun_at(self.now, memory);
        let worker = worker.with_first_reading(self.draw_first_reading());
        let life = &self.entries[place].life;
        self.workers.insert(life.id.clone(), worker);
        let listed = self.now + self.rng.random_range(0..MAX_LISTING_DELAY);
        self.pending_listings.push((listed, place));
        self.draw_cut_of_young_life(place);
        self.note_moment(Moment::Life);
    }

    /// In worlds with unrelated clocks, cuts off every second life soon after it has begun.
    fn draw_cut_of_young_life(&mut self, place: usize) {
        let (id, now) = (self.entries[place].life.id.clone(), self.now);
        if self.faults_ended {
            return;
        }
        let Some(rng) = &mut self.clocks else {
            return;
        };
        if rng.random_bool(0.5) {
            let from = now + rng.random_range(YOUNG_LIFE);
            let until = from + rng.random_range(CUT_OF_YOUNG_LIFE);
            self.coming_cuts.push((from, id, until));
        }
    }

    /// Cuts off the workers for which that is due.
    pub(super) fn begin_due_cuts(&mut self) {
        let now = self.now;
        let due = |cut: &mut (Millis, String, Millis)| cut.0 <= now;
        for (_, id, until) in self.coming_cuts.extract_if(.., due) {
            self.disconnected_until.insert(id, until);
        }
    }

    /// What the clock of the next life reads when it begins.
    fn draw_first_reading(&mut self) -> Millis {
        let clocks = self.clocks.as_mut();
        clocks.map_or(0, |rng| rng.random_range(0..MAX_FIRST_READING))
    }

    /// Sets the clocks of all workers anew.
    pub(super) fn draw_clocks(&mut self) {
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        for id in ids {
            let reading = self.draw_first_reading();
            let worker = self.workers.remove(&id).expect("a worker");
            self.workers.insert(id, worker.with_first_reading(reading));
        }
    }

    pub(super) fn list_new_lives(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_listings)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.pending_listings = later;
        for (_, place) in due {
            self.listed_entries[place] = self.entries[place].clone();
            let entry = self.listed_entries[place].clone();
            self.owner.cell.list_worker(entry, now);
        }
    }

    /// A worker has started a crashing task and crashes.
    pub(super) fn crash_worker(&mut self, order: &StartOrder) {
        *self.crash_starts.entry(order.task).or_default() += 1;
        self.note_unrecorded_start(order);
        tracing::debug!(
            now = self.now, task = %order.task, run = order.number, life = %order.to.life,
            "task crashes its worker"
        );
        let place = self
            .entries
            .iter()
            .position(|e| e.life.id == order.to.life.id);
        let place = place.expect("a worker that is up");
        self.end_life(place);
        self.note_moment(Moment::Crash);
        let down = self.rng.random_range(TICK..MAX_CRASH_DOWNTIME);
        self.restarts.insert(place, self.now + down);
    }

    pub(super) fn begin_due_lives(&mut self) {
        let due = |(&place, &at): (&usize, &Millis)| (at <= self.now).then_some(place);
        let due: Vec<usize> = self.restarts.iter().filter_map(due).collect();
        for place in due {
            self.restarts.remove(&place);
            self.begin_life(place);
        }
    }

    pub(super) fn note_lease_expiries(&mut self) {
        for (id, worker) in &self.workers {
            if worker.lease_end() < self.now {
                self.lease_expiries
                    .entry(id.clone())
                    .or_default()
                    .push(self.now);
            }
        }
    }

    /// Tells whether the lease of a worker has expired after one of its runs had ended.
    pub(super) fn lease_expired_since(&self, id: &str, end: &EndEntry) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return true;
        };
        let run = worker
            .runs()
            .find(|run| (run.task, run.number) == (end.task, end.number));
        let ended = run.and_then(|run| run.ended).map(|(at, _)| at);
        let expiries = self.lease_expiries.get(id).into_iter().flatten();
        expiries.into_iter().any(|&at| Some(at) > ended)
    }

    /// Tells whether a life of a worker has ended and the next one has not begun yet.
    pub(super) fn is_down(&self, id: &str) -> bool {
        self.restarts
            .keys()
            .any(|&place| self.entries[place].life.id == id)
    }
}
