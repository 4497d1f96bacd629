//! Fixture: a cell of seven nodes and many workers in virtual time, in which all calls of a node go
//! over its link, which has a bandwidth and a queue in each direction.
//!
//! A call that its caller gives up is carried out all the same, costs its bytes and closes its
//! connection, and its answer is lost.
#![allow(dead_code)]

#[path = "../virtual_cell/link.rs"]
pub mod link;
pub mod wire;

use std::collections::BTreeSet;
use std::sync::Arc;

use crossweir::cell::name::TaskName;
use crossweir::cell::order::EndKind;
use crossweir::cell::spec::Step;
use crossweir::clock::{Clock, Millis};
use crossweir::embedded::worker::RunRecord;
use tokio::time::Instant;

use crate::cell_core::step;
use crate::split_cell::{NODES, SplitCell, pass};
use crate::virtual_node::RuntimeClock;
use link::UNLIMITED;
use wire::Wire;

/// How many workers there are.
pub const WORKERS: u16 = 60;
/// The demand of a task in thousandths of a core: 16 of them fit on a worker.
const MILLICORES: u64 = 1_000;
/// How long after an answer lists an end the end counts as noted, unless the worker's lease lapses
/// before.
const NOTE_TIME: Millis = 100;
/// How long after the end of a task is listed a start that was under way may still begin a run.
const MAX_LATE_START: Millis = 1_000;

/// Which nodes have narrow links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Narrow {
    Owner,
    All,
}

/// The cell.
pub struct NarrowCell {
    pub cell: SplitCell,
    pub wire: Arc<Wire>,
    /// The jobs that were handed in, with the numbers of their tasks.
    pub jobs: Vec<(u64, u32)>,
}

impl NarrowCell {
    /// Starts all nodes, with links of no limit, and waits until one of them owns the cell.
    pub async fn settled() -> Self {
        let clock: Arc<dyn Clock> = Arc::new(RuntimeClock(Instant::now()));
        let wire = Arc::new(Wire::new(clock));
        let between = {
            let wire = Arc::clone(&wire);
            Box::new(move |view| wire::reached(&wire, view))
        };
        Self {
            cell: SplitCell::settled_with(WORKERS, between).await,
            wire,
            jobs: Vec::new(),
        }
    }

    /// The node that owns the cell, as far as one does.
    pub fn owner(&self) -> Option<usize> {
        self.cell.owners().first().copied()
    }

    /// Sets the bandwidth of the links of these nodes.
    pub fn narrow(&self, nodes: Narrow, bytes_per_ms: usize) {
        let owner = self.owner();
        let is_meant = |node: &usize| nodes == Narrow::All || Some(*node) == owner;
        let meant = (0..NODES).filter(is_meant);
        meant.for_each(|node| self.wire.set_rate(node, bytes_per_ms));
    }

    /// Makes all links unlimited again.
    pub fn widen(&self) {
        (0..NODES).for_each(|node| self.wire.set_rate(node, UNLIMITED));
    }

    /// Hands jobs of equal tasks in at a node.
    pub async fn submit(&mut self, node: usize, jobs: u32, tasks: u32, time: Millis) {
        for _ in 0..jobs {
            let step: Step = step(tasks, MILLICORES);
            let id = self.cell.submit_step(node, step, time).await;
            self.jobs.extend(id.map(|id| (id, tasks)));
        }
    }

    /// Waits until all tasks of all jobs have ended well, at most for `limit`.  Returns whether they
    /// have.
    pub async fn finish(&self, limit: Millis) -> bool {
        let until = self.cell.now() + limit;
        while !self.is_finished() && self.cell.now() < until {
            pass(500).await;
        }
        self.is_finished()
    }

    fn is_finished(&self) -> bool {
        self.done_tasks() == self.all_tasks()
    }

    pub fn all_tasks(&self) -> usize {
        self.jobs.iter().map(|(_, tasks)| *tasks as usize).sum()
    }

    /// How many tasks have a run that ended well.
    pub fn done_tasks(&self) -> usize {
        let history = self.cell.history();
        let is_done = |runs: &&Vec<RunRecord>| runs.iter().any(|run| ended(run, EndKind::Done));
        history.values().filter(is_done).count()
    }

    /// The runs that ended because their leases ran out.
    pub fn lapsed_runs(&self) -> Vec<RunRecord> {
        let runs = self.cell.history().into_values().flatten();
        runs.filter(|run| ended(run, EndKind::Lapsed)).collect()
    }

    /// How many runs the owner has written off.
    pub fn written_off(&self) -> u64 {
        let owner = self.owner();
        let count = owner.and_then(|owner| self.cell.gauge(owner, "lapsed_runs"));
        count.unwrap_or_default()
    }

    /// The runs that began more than [`MAX_LATE_START`] after a run of their task had ended well and
    /// an answer had listed that: the end that was listed, with the time, and the later run.
    pub fn started_after_noted_ends(&self) -> Vec<(Millis, RunRecord)> {
        let listed = self.wire.listed();
        let mut late = Vec::new();
        for (task, runs) in self.cell.history() {
            let of_task = runs
                .iter()
                .filter_map(|run| listed.get(&(task, run.number)));
            let noted = of_task.filter(|end| end.lease_end >= end.at + NOTE_TIME);
            let Some(at) = noted.map(|end| end.at).min() else {
                continue;
            };
            let later = runs.into_iter();
            let later = later.filter(|run| run.began > at + MAX_LATE_START);
            late.extend(later.map(|run| (at, run)));
        }
        late
    }

    /// What breaks the rules that keep work single; none if nothing does.
    pub fn unsafety(&self) -> Option<String> {
        let overlapping = self.cell.overlapping_runs();
        let late = self.started_after_noted_ends();
        if overlapping.is_empty() && late.is_empty() {
            return None;
        }
        Some(format!(
            "{} runs overlap, as {:?}; {} began after the end of their task was listed, as {:?}",
            overlapping.len(),
            overlapping.first(),
            late.len(),
            late.first()
        ))
    }

    /// The tasks that run on these workers.
    pub fn tasks_on(&self, workers: &[u16]) -> BTreeSet<TaskName> {
        let ids: BTreeSet<String> = workers.iter().map(|number| format!("w{number}")).collect();
        let places = self.wire.places();
        let runs = self.cell.history().into_values().flatten();
        let there = runs.filter(|run| run.ended.is_none()).filter(|run| {
            let place = places.get(&(run.task, run.number));
            place.is_some_and(|id| ids.contains(id))
        });
        there.map(|run| run.task).collect()
    }

    /// Those of the tasks of which no run has ended well nor begun within `limit` from then on.
    pub fn not_started_within(
        &self,
        since: Millis,
        limit: Millis,
        tasks: &BTreeSet<TaskName>,
    ) -> BTreeSet<TaskName> {
        let history = self.cell.history();
        let goes_on = |run: &RunRecord| {
            let is_in_time = run.began > since && run.began <= since + limit;
            is_in_time || ended(run, EndKind::Done) && run.began <= since
        };
        let is_open = |task: &&TaskName| {
            let runs = history.get(*task);
            !runs.is_some_and(|runs| runs.iter().any(goes_on))
        };
        tasks.iter().filter(is_open).copied().collect()
    }
}

fn ended(run: &RunRecord, how: EndKind) -> bool {
    run.ended.is_some_and(|(_, kind)| kind == how)
}
