//! What the questions of an experiment were for, and what capacity stayed free.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::cell::WorkerKey;
use crate::cell::free_room::FreeRoom;
use crate::cell::name::StepName;
use crate::cell::order::{AdviceOrder, StartOrder};
use crate::cell::spec::Demand;
use crate::clock::Millis;

/// How often free capacity is sampled, in milliseconds of virtual time.
pub const SAMPLE_INTERVAL: Millis = 200;

/// The questions of one kind.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Questions {
    /// The number of answers.
    pub count: u64,
    /// The time for which they occupied lanes, in milliseconds.
    pub lane_ms: u64,
    /// The workers named.
    pub workers: u64,
}

/// The use of the advice service in an experiment.
#[derive(Debug, Clone, Default, Serialize)]
pub struct AdviceOutcome {
    /// The first question about each step.
    pub first: Questions,
    /// Further questions that name no worker already approved for the step.
    pub repeated: Questions,
    /// Questions that name workers already approved for the step.
    pub renewals: Questions,
    /// Lane time per started task, in milliseconds.
    pub lane_ms_per_start: f64,
    /// The number of tickets that were issued.
    pub tickets: u64,
    /// The share of tickets that no start used, in percent.
    pub unused_tickets_percent: f64,
    /// Mean over the second half of the experiment, in percent of the capacity: free.
    pub free_percent: f64,
    /// The same: free, while tasks wait that fit there and may run there.
    pub placeable_percent: f64,
    /// The mean number of tasks that wait.
    pub waiting_tasks: f64,
}

/// Observes questions, tickets and free capacity.
#[derive(Debug, Default)]
pub struct AdviceUse {
    kinds: [Questions; 3],
    /// For each step that was asked about, the workers that were approved; true if the latest
    /// ticket was used.
    tickets: BTreeMap<StepName, BTreeMap<WorkerKey, bool>>,
    issued: u64,
    used: u64,
    samples: Vec<[f64; 3]>,
}

impl AdviceUse {
    /// Notes an answer and the tickets that came with it, by the workers' ids.
    pub fn note_answer(&mut self, order: &AdviceOrder, tickets: &[(String, String)]) {
        let kind = match self.tickets.get(&order.name) {
            None => 0,
            Some(known) if order.workers.iter().any(|(key, _)| known.contains_key(key)) => 2,
            Some(_) => 1,
        };
        self.kinds[kind].count += 1;
        self.kinds[kind].lane_ms += order.expected;
        self.kinds[kind].workers += order.workers.len() as u64;
        self.issued += tickets.len() as u64;
        let of_step = self.tickets.entry(order.name).or_default();
        for (worker, id) in &order.workers {
            if tickets.iter().any(|(approved, _)| approved == id) {
                of_step.insert(*worker, false);
            }
        }
    }

    /// Notes a start, which uses the step's ticket for the worker.
    pub fn note_start(&mut self, order: &StartOrder) {
        let of_step = self.tickets.get_mut(&order.task.step);
        let ticket = of_step.and_then(|tickets| tickets.get_mut(&order.to.worker));
        if let Some(is_used) = ticket.filter(|is_used| !**is_used) {
            *is_used = true;
            self.used += 1;
        }
    }

    /// Notes a sample of the free capacity.
    pub fn note_free_room(&mut self, free: &FreeRoom, capacity: &Demand) {
        let percent = |millicores: u64| 100.0 * millicores as f64 / capacity.millicores as f64;
        self.samples.push([
            percent(free.millicores),
            percent(free.placeable_millicores),
            f64::from(free.waiting_tasks),
        ]);
    }

    /// Summarizes an experiment with so many starts.
    pub fn outcome(&self, starts: u64) -> AdviceOutcome {
        let [first, repeated, renewals] = self.kinds;
        let lane_ms = first.lane_ms + repeated.lane_ms + renewals.lane_ms;
        let samples = self.samples.len().max(1) as f64;
        let mean =
            |index: usize| self.samples.iter().map(|sample| sample[index]).sum::<f64>() / samples;
        AdviceOutcome {
            first,
            repeated,
            renewals,
            lane_ms_per_start: lane_ms as f64 / starts.max(1) as f64,
            tickets: self.issued,
            unused_tickets_percent: 100.0 * (self.issued - self.used) as f64
                / self.issued.max(1) as f64,
            free_percent: mean(0),
            placeable_percent: mean(1),
            waiting_tasks: mean(2),
        }
    }
}
