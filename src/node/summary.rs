//! The log line that an owner writes once a second: how many tasks wait and for what, how much room
//! is in use, the state of the workers, and whether the owner keeps up.

use crate::cell::spec::Demand;
use crate::cell::wait::Waiting;
use crate::cell::{Cell, Counts, WorkerCounts};
use crate::clock::Millis;
use crate::node::call_times::CallTimes;
use crate::node::pace::RoundStats;
use crate::node::shared::Shared;
use crate::traffic::{Party, Volume};

/// What the owner logs about the cell and about itself.
pub struct Summary {
    waiting: Waiting,
    /// The number of waiting steps that were kept from asking the advice service.
    steps_not_asking: u32,
    /// For how long a waiting step with nothing running has gone without a question, at most.
    longest_unasked: Millis,
    /// The room that runs take up.
    held: Demand,
    /// The whole room of all workers.
    capacity: Demand,
    workers: WorkerCounts,
    /// The number of steps in memory, and of those with unfinished tasks.
    steps: (usize, usize),
    /// How old the owner's knowledge of the workers' entries is, in milliseconds.
    workers_age: Millis,
    rounds: RoundStats,
    /// Counts since the ownership began.
    counts: Counts,
    /// The average wake-up delay of the owner's timers, in milliseconds.
    delay: Millis,
    /// How many starts are in flight, and how many may be.
    starts_in_flight: (usize, usize),
}

impl Summary {
    /// Summarizes a cell.  `workers_age` says how old the knowledge of the workers' entries is, and
    /// `delay` is the owner's average wake-up delay, both in milliseconds.
    pub fn new(cell: &Cell, workers_age: Millis, rounds: RoundStats, delay: Millis) -> Self {
        let (held, capacity) = cell.room();
        Self {
            waiting: cell.waiting().clone(),
            steps_not_asking: cell.steps_not_asking(),
            longest_unasked: cell.longest_unasked(),
            held,
            capacity,
            workers: cell.count_workers(),
            steps: cell.step_counts(),
            workers_age,
            rounds,
            counts: cell.counts(),
            delay,
            starts_in_flight: (cell.starts_in_flight(), cell.start_window()),
        }
    }

    /// Logs the summary as one line.
    pub fn log(&self) {
        let texts = self
            .waiting
            .iter()
            .map(|((priority, reason), tasks)| format!("p{priority} {reason:?} {tasks}"));
        let texts: Vec<String> = texts.collect();
        tracing::info!(
            waiting = texts.join(", "),
            steps_not_asking = self.steps_not_asking,
            longest_unasked_ms = self.longest_unasked,
            held_millicores = self.held.millicores,
            millicores = self.capacity.millicores,
            held_mib = self.held.memory,
            mib = self.capacity.memory,
            workers = self.workers.known,
            answered = self.workers.answered,
            silent = self.workers.silent,
            parked = self.workers.parked,
            steps = self.steps.0,
            open_steps = self.steps.1,
            workers_age = self.workers_age,
            late_ms = self.delay,
            rounds = self.rounds.count,
            deciding_ms = self.rounds.total_time,
            longest_round_ms = self.rounds.longest,
            orders = self.rounds.orders,
            starts_in_flight = self.starts_in_flight.0,
            start_window = self.starts_in_flight.1,
            all_starts = self.counts.starts,
            all_refused_starts = self.counts.refused_starts,
            all_unanswered_starts = self.counts.unanswered_starts,
            all_failed_polls = self.counts.failed_polls,
            all_lapsed = self.counts.lapsed,
            all_steps_examined = self.counts.steps_examined,
            all_places = self.counts.candidates_examined,
            all_advice_looks = self.counts.advice_searches,
            all_advice_workers = self.counts.advice_workers,
            all_questions = self.counts.questions,
            all_used_answers = self.counts.used_answers,
            "tasks wait"
        );
    }
}

/// Logs how long the owner's calls to workers took since the last line, and what was exchanged with
/// whom: `volumes` is what had been exchanged by then, and is updated.
pub fn log_traffic(calls: CallTimes, shared: &Shared, volumes: &mut [Volume; Party::ALL.len()]) {
    let total = shared.metrics.traffic().volumes();
    let before = std::mem::replace(volumes, total);
    let texts = Party::ALL.iter().zip(total).zip(before);
    let texts = texts.map(|((party, total), before)| {
        let volume = total.since(before);
        format!(
            "{} sent {} received {} connections {}",
            party.label(),
            volume.sent,
            volume.received,
            volume.connections
        )
    });
    let texts: Vec<String> = texts.collect();
    tracing::info!(
        answered_calls = calls.answered,
        unanswered_calls = calls.unanswered,
        mean_call_ms = calls.mean(),
        longest_call_ms = calls.longest,
        polls = calls.polls,
        starts = calls.starts,
        stops = calls.stops,
        transactions = calls.transactions,
        recorded_bytes = calls.recorded_bytes,
        traffic = texts.join(", "),
        "calls to workers"
    );
}
