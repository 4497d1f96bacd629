//! Lives of workers that end and begin, and what the platform lists of them.

use super::{
    ENTRY_LASTS, FAILING, FormerEntry, HEARTBEAT, MOST_AWAY, MOST_DOWN, MOST_LATE_ENTRY,
    MOST_UNLISTED, Moment, TICK, World,
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
    /// Everything on a worker is over, and another life answers at its address.
    pub(super) fn restart_worker(&mut self) {
        let place = self.rng.random_range(0..self.entries.len());
        if self.back.contains_key(&place) {
            return;
        }
        self.end_life(place);
        if self.keeps_ids && self.rng.random_ratio(7, 10) {
            let away = self.rng.random_range(0..MOST_AWAY);
            self.back.insert(place, self.now + away);
        } else {
            self.begin_life(place);
        }
    }

    /// A life of a worker is over, with all that runs there.
    pub(super) fn end_life(&mut self, place: usize) {
        let id = &self.entries[place].life.id;
        let mut former = self.workers.remove(id).expect("a worker");
        former.settle(self.now);
        let going = former.runs().filter(|run| run.ended.is_none());
        let going: Vec<TaskName> = going.map(|run| run.task).collect();
        // An owner cannot tell a start that was lost just before from one that was carried out.
        let untold = self.untold.values().filter(|start| start.life == *id);
        let untold = untold.map(|start| start.task);
        for task in going
            .into_iter()
            .chain(untold)
            .collect::<BTreeSet<TaskName>>()
        {
            *self.crashed_under.entry(task).or_default() += 1;
        }
        former.crash(self.now);
        tracing::debug!(now = self.now, life = %self.entries[place].life, "life ends");
        self.note(format!("{} ends", self.entries[place].life));
        self.graves.push(former);
    }

    /// The entries of all workers in the store, in no order.
    pub(super) fn store_lists(&mut self) -> Vec<WorkerEntry> {
        let mut entries = self.listing.clone();
        if self.has_late_entries {
            let present = |entry: &WorkerEntry| self.workers.contains_key(&entry.life.id);
            let former = self.come_back.iter().map(|former| &former.entry);
            entries.extend(former.filter(|&entry| !present(entry)).cloned());
            entries.shuffle(&mut self.rng);
        }
        entries
    }

    /// The last write of a life that is over arrives some time after it.
    pub(super) fn brings_entry_back(&mut self, entry: WorkerEntry) {
        if self.rng.random_bool(0.5) {
            let at = self.now + self.rng.random_range(0..MOST_LATE_ENTRY);
            let until = at + ENTRY_LASTS;
            self.to_come_back.push(FormerEntry { at, until, entry });
        }
    }

    /// Entries of former lives come back, singly or with all others, and go again.
    pub(super) fn list_former_lives(&mut self) {
        if !self.has_late_entries {
            return;
        }
        let now = self.now;
        if now.is_multiple_of(HEARTBEAT) {
            let listed = self.listing.iter();
            let lives = listed.filter(|&entry| self.entries.contains(entry));
            for entry in lives.cloned().collect::<Vec<_>>() {
                self.owner.cell.list_worker(entry, now);
            }
        }
        let due = |former: &mut FormerEntry| former.at <= now;
        for former in self.to_come_back.extract_if(.., due).collect::<Vec<_>>() {
            self.owner.cell.list_worker(former.entry.clone(), now);
            self.come_back.push(former);
        }
        let gone = |former: &mut FormerEntry| former.until <= now;
        for former in self.come_back.extract_if(.., gone).collect::<Vec<_>>() {
            let id = &former.entry.life.id;
            if !self.listing.iter().any(|entry| entry.life.id == *id) {
                self.owner.cell.unlist_worker(id, now);
            }
        }
        if self.chance(1) {
            let entries = self.store_lists();
            self.owner.cell.list_workers(entries, now);
        }
    }

    pub(super) fn begin_life(&mut self, place: usize) {
        if self.has_late_entries {
            self.brings_entry_back(self.entries[place].clone());
        }
        if self.keeps_ids {
            return self.begin_life_of_same_id(place);
        }
        let entry = &mut self.entries[place];
        entry.life.id = format!("w{}", self.lives);
        self.lives += 1;
        let alive = WorkerLife::begun_at(0, MemoryWorker::default());
        self.workers.insert(entry.life.id.clone(), alive);
        if self.has_late_entries {
            let listed = self.now + self.rng.random_range(0..MOST_UNLISTED);
            return self.to_list.push((listed, place));
        }
        self.listing[place] = entry.clone();
        let entry = entry.clone();
        self.owner.cell.list_worker(entry, self.now);
    }

    pub(super) fn begin_life_of_same_id(&mut self, place: usize) {
        let born = UNIX_START + self.now;
        let life = &mut self.entries[place].life;
        life.born = Some(born);
        let mut memory = MemoryWorker::born_at(born);
        memory.fails_all_tasks = !self.calm && self.rng.random_ratio(1, FAILING);
        self.listed.remove(&life.id);
        self.lapsed.remove(&life.id);
        let alive = WorkerLife::begun_at(self.now, memory);
        self.workers.insert(life.id.clone(), alive);
        let listed = self.now + self.rng.random_range(0..MOST_UNLISTED);
        self.to_list.push((listed, place));
    }

    pub(super) fn list_later_lives(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.to_list)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.to_list = later;
        for (_, place) in due {
            self.listing[place] = self.entries[place].clone();
            let entry = self.listing[place].clone();
            self.owner.cell.list_worker(entry, now);
        }
    }

    /// A worker has begun a task that crashes it.
    pub(super) fn crash_worker(&mut self, order: &StartOrder) {
        *self.crash_starts.entry(order.task).or_default() += 1;
        self.note_unrecorded(order);
        tracing::debug!(now = self.now, task = %order.task, run = order.number, life = %order.to.life, "task crashes its worker");
        let place = self
            .entries
            .iter()
            .position(|e| e.life.id == order.to.life.id);
        let place = place.expect("a worker that is up");
        self.end_life(place);
        self.reaches(Moment::Crash);
        let down = self.rng.random_range(TICK..MOST_DOWN);
        self.back.insert(place, self.now + down);
    }

    pub(super) fn workers_come_back(&mut self) {
        let due = |(&place, &at): (&usize, &Millis)| (at <= self.now).then_some(place);
        let due: Vec<usize> = self.back.iter().filter_map(due).collect();
        for place in due {
            self.back.remove(&place);
            self.begin_life(place);
        }
    }

    pub(super) fn note_lapses(&mut self) {
        for (id, worker) in &self.workers {
            if worker.lease_end() < self.now {
                self.lapsed.entry(id.clone()).or_default().push(self.now);
            }
        }
    }

    /// Tells whether the lease of a worker has run out after one of its runs had ended.
    pub(super) fn has_lapsed_since(&self, id: &str, end: &EndEntry) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return true;
        };
        let run = worker
            .runs()
            .find(|run| (run.task, run.number) == (end.task, end.number));
        let ended = run.and_then(|run| run.ended).map(|(at, _)| at);
        let lapses = self.lapsed.get(id).into_iter().flatten();
        lapses.into_iter().any(|&at| Some(at) > ended)
    }

    /// Tells whether a life of a worker is over and the next one is not up yet.
    pub(super) fn is_down(&self, id: &str) -> bool {
        self.back
            .keys()
            .any(|&place| self.entries[place].life.id == id)
    }
}
