//! What an owner logs each second: what waits, and for what, how the cell stands, and whether the owner
//! keeps up with it.

use crate::cell::spec::Demand;
use crate::cell::view::Waiting;
use crate::cell::{Cell, Counts, WorkerCounts};
use crate::clock::Millis;
use crate::node::pace::RoundStats;

/// What waits, and for what, how the cell stands, and whether its owner keeps up.
pub struct Summary {
    waiting: Waiting,
    held: Demand,
    capacity: Demand,
    workers: WorkerCounts,
    /// How old what is known of the workers' entries is.
    workers_age: Millis,
    rounds: RoundStats,
    /// What was done since the ownership began.
    counts: Counts,
    /// How late the owner's turns come, on the average.
    late: Millis,
}

impl Summary {
    /// Surveys a cell, of whose workers what is known is so old, and whose owner's turns come so late.
    pub fn new(cell: &Cell, workers_age: Millis, rounds: RoundStats, late: Millis) -> Self {
        let (held, capacity) = cell.room();
        Self {
            waiting: cell.waiting().clone(),
            held,
            capacity,
            workers: cell.count_workers(),
            workers_age,
            rounds,
            counts: cell.counts(),
            late,
        }
    }

    /// Logs it as one line.
    pub fn log(&self) {
        let texts = self
            .waiting
            .iter()
            .map(|((priority, reason), tasks)| format!("p{priority} {reason:?} {tasks}"));
        let texts: Vec<String> = texts.collect();
        tracing::info!(
            waiting = texts.join(", "),
            held_millicores = self.held.millicores,
            millicores = self.capacity.millicores,
            held_mib = self.held.memory,
            mib = self.capacity.memory,
            workers = self.workers.known,
            answered = self.workers.answered,
            silent = self.workers.silent,
            parked = self.workers.parked,
            workers_age = self.workers_age,
            late_ms = self.late,
            rounds = self.rounds.count,
            deciding_ms = self.rounds.deciding,
            longest_round_ms = self.rounds.longest,
            orders = self.rounds.orders,
            all_starts = self.counts.starts,
            all_places = self.counts.places,
            all_advice_looks = self.counts.advice_looks,
            all_advice_workers = self.counts.advice_workers,
            all_questions = self.counts.questions,
            "tasks wait"
        );
    }
}
