//! Open workers ordered by free processors, so that a fit is found in logarithmic time.

use std::collections::BTreeSet;

use crate::model::Resources;
use crate::placement::WorkerKey;

/// How many workers are looked at above the smallest that might fit.
const PROBES: usize = 48;
/// How many workers with the most free processors are looked at when that fails.
const TOP_PROBES: usize = 16;

/// The open workers of one hall.
#[derive(Debug, Default)]
pub struct FreeIndex {
    plain: BTreeSet<(u64, WorkerKey)>,
    accelerated: BTreeSet<(u64, WorkerKey)>,
}

impl FreeIndex {
    /// Adds a worker with `free` room.
    pub fn insert(&mut self, key: WorkerKey, free: &Resources, accelerated: bool) {
        self.side(accelerated).insert((free.millicores, key));
    }

    /// Removes a worker that was added with `free` room.
    pub fn remove(&mut self, key: WorkerKey, free: &Resources, accelerated: bool) {
        self.side(accelerated).remove(&(free.millicores, key));
    }

    /// Visits workers that may hold `need`, tightest first, until `visit` says stop.
    ///
    /// Workers with accelerators come last for work that needs none, so that
    /// they stay free for work that does.
    pub fn visit(&self, need: &Resources, mut visit: impl FnMut(WorkerKey) -> bool) {
        if need.accelerators == 0 && probe(&self.plain, need, &mut visit) {
            return;
        }
        probe(&self.accelerated, need, &mut visit);
    }

    fn side(&mut self, accelerated: bool) -> &mut BTreeSet<(u64, WorkerKey)> {
        match accelerated {
            true => &mut self.accelerated,
            false => &mut self.plain,
        }
    }
}

/// Returns whether `visit` said stop.
fn probe(
    set: &BTreeSet<(u64, WorkerKey)>,
    need: &Resources,
    visit: &mut impl FnMut(WorkerKey) -> bool,
) -> bool {
    // The null key sorts after all others, so this is just below the first that may fit.
    let lowest = (need.millicores.saturating_sub(1), WorkerKey::default());
    let mut seen = 0;
    for (_, key) in set.range(lowest..).take(PROBES) {
        seen += 1;
        if visit(*key) {
            return true;
        }
    }
    if seen < PROBES {
        return false;
    }
    let top = set.range(lowest..).rev().take(TOP_PROBES);
    for (_, key) in top {
        if visit(*key) {
            return true;
        }
    }
    false
}
