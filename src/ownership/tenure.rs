//! One instance's ownership of one shard at one epoch: a pure state machine.
//!
//! A tenure answers two questions.  *May I act now?* (start or renew anything):
//! only while the epoch was confirmed within a window, by the store or by a
//! majority of the shard's witnesses.  *May I start what my predecessor knew of?*
//! only once nothing that the predecessor could still do can overlap with it.
//! "Ownership" in `docs/DESIGN.md` argues why both rules are needed, and
//! `tests/ownership_model.rs` removes each in turn and shows the double run.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::model::{Epoch, VmBoot};

/// The times that the rules rest on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenureLimits {
    /// How long a confirmation holds, counted from when its question was sent.
    pub window: Millis,
    /// How long a lease runs at most, from the worker's reading that it rests on.
    pub lease: Millis,
    /// By how much one clock may run faster than another, in thousandths.
    pub drift_permille: u64,
}

impl TenureLimits {
    /// Returns the time after which a predecessor that was fenced out at a
    /// majority has neither a confirmation nor a lease left.
    pub fn succession_wait(&self) -> Millis {
        let span = self.window + self.lease;
        span + span * self.drift_permille / 1000 + 1
    }
}

/// How a witness of the predecessor was fenced out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fence {
    /// Not yet.
    Open,
    /// The same boot answered, so its inventory is complete.
    Answered,
    /// That boot is over; what it may have run is not known.
    Over,
}

/// One instance's ownership of one shard at one epoch.
#[derive(Debug, Clone)]
pub struct Tenure {
    epoch: Epoch,
    limits: TenureLimits,
    recorded: BTreeSet<VmBoot>,
    proposed: Option<BTreeSet<VmBoot>>,
    acks: BTreeMap<VmBoot, Millis>,
    predecessor: BTreeMap<VmBoot, Fence>,
    inherits: bool,
    claimed_at: Millis,
    store_confirmed_at: Option<Millis>,
    majority_fenced_at: Option<Millis>,
    lost: bool,
}

impl Tenure {
    /// Begins a tenure whose claim was sent at `claimed_at`.
    ///
    /// `predecessor` names the witnesses recorded in the row that the claim
    /// replaced, or nothing if the row did not exist or had been released
    /// cleanly, since a clean release leaves nothing to wait for.
    pub fn new(
        epoch: Epoch,
        limits: TenureLimits,
        witnesses: impl IntoIterator<Item = VmBoot>,
        predecessor: Option<Vec<VmBoot>>,
        claimed_at: Millis,
    ) -> Self {
        let inherits = predecessor.is_some();
        let predecessor = predecessor.unwrap_or_default();
        Self {
            epoch,
            limits,
            recorded: witnesses.into_iter().collect(),
            proposed: None,
            acks: BTreeMap::new(),
            predecessor: predecessor
                .into_iter()
                .map(|vm| (vm, Fence::Open))
                .collect(),
            inherits,
            claimed_at,
            store_confirmed_at: Some(claimed_at),
            majority_fenced_at: None,
            lost: false,
        }
    }

    /// Returns the epoch of the tenure.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Tells whether the tenure has been superseded.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Tells whether `vm` is recorded in the row and may therefore be used.
    pub fn is_witness(&self, vm: &VmBoot) -> bool {
        self.recorded.contains(vm)
    }

    /// Returns the recorded witnesses.
    pub fn witnesses(&self) -> impl Iterator<Item = &VmBoot> {
        self.recorded.iter()
    }

    /// Records that the store showed the shard's row at `epoch`; the question was sent at `asked_at`.
    pub fn on_store(&mut self, epoch: Epoch, asked_at: Millis) {
        if epoch > self.epoch {
            self.lost = true;
        } else {
            self.store_confirmed_at = self.store_confirmed_at.max(Some(asked_at));
        }
    }

    /// Begins to write a new set of witnesses to the row.
    ///
    /// While the write is under way a successor may find either set, so until
    /// [`Tenure::finish_change`] a confirmation needs a majority of both.
    pub fn begin_change(&mut self, witnesses: impl IntoIterator<Item = VmBoot>) {
        self.proposed = Some(witnesses.into_iter().collect());
    }

    /// Ends the write begun by [`Tenure::begin_change`], once its fate is known.
    pub fn finish_change(&mut self, applied: bool) {
        let proposed = self.proposed.take();
        if let (true, Some(proposed)) = (applied, proposed) {
            self.recorded = proposed;
        }
    }

    /// Records that `vm` obeyed a message of our epoch sent at `asked_at`, and answered by `now`.
    pub fn on_ack(&mut self, vm: &VmBoot, asked_at: Millis, now: Millis) {
        let ack = self.acks.entry(vm.clone()).or_insert(asked_at);
        *ack = (*ack).max(asked_at);
        let how = |old: &VmBoot| match old.boot == vm.boot {
            true => Fence::Answered,
            false => Fence::Over,
        };
        self.fence_predecessor(&vm.vm, how, now);
    }

    /// Records that the platform has listed a VM as gone for longer than its list can lag.
    pub fn on_gone(&mut self, vm: &str, now: Millis) {
        self.fence_predecessor(vm, |_| Fence::Over, now);
    }

    /// Records that `vm` has seen a higher epoch.
    pub fn on_superseded(&mut self, epoch: Epoch) {
        self.lost |= epoch > self.epoch;
    }

    /// Tells whether anything may be started or renewed at `now`.
    pub fn may_act(&self, now: Millis) -> bool {
        !self.lost && now < self.confirmed_until()
    }

    /// Returns until when the tenure is confirmed.
    pub fn confirmed_until(&self) -> Millis {
        let basis = self.store_confirmed_at.max(self.majority_acked_at());
        basis.map_or(0, |at| at + self.limits.window)
    }

    /// Tells whether work that the predecessor knew of may be started at `now`.
    pub fn may_start_inherited(&self, now: Millis) -> bool {
        if !self.inherits || self.all_fenced() {
            return true;
        }
        let waited = |since: Millis| now >= since + self.limits.succession_wait();
        self.majority_fenced_at.is_some_and(waited)
    }

    /// Tells whether the predecessor can act no more, where nothing but time stops it.
    ///
    /// Targets do not refuse a former owner, so even when every witness has been
    /// fenced its last confirmation must run out first.
    pub fn succession_over(&self, now: Millis) -> bool {
        let waited = |since: Millis| now >= since + self.limits.succession_wait();
        let fenced_at = match self.predecessor.is_empty() {
            // Without witnesses the predecessor had only the store to confirm it.
            true => Some(self.claimed_at),
            false => self.majority_fenced_at,
        };
        !self.inherits || fenced_at.is_some_and(waited)
    }

    /// Tells whether every witness of the predecessor has been fenced.
    pub fn all_fenced(&self) -> bool {
        self.predecessor.values().all(|fence| *fence != Fence::Open)
    }

    /// Tells whether every boot that the predecessor could use has given its inventory,
    /// so that a task in none of them has certainly not run.
    pub fn inventory_complete(&self) -> bool {
        self.predecessor
            .values()
            .all(|fence| *fence == Fence::Answered)
    }

    /// Returns the predecessor's witnesses that have not been fenced.
    pub fn unfenced(&self) -> impl Iterator<Item = &VmBoot> {
        self.predecessor
            .iter()
            .filter(|(_, fence)| **fence == Fence::Open)
            .map(|(vm, _)| vm)
    }

    fn fence_predecessor(&mut self, vm: &str, how: impl Fn(&VmBoot) -> Fence, now: Millis) {
        for (old, fence) in &mut self.predecessor {
            if old.vm == vm && *fence == Fence::Open {
                *fence = how(old);
            }
        }
        let fenced = self
            .predecessor
            .values()
            .filter(|fence| **fence != Fence::Open)
            .count();
        if self.majority_fenced_at.is_none() && 2 * fenced > self.predecessor.len() {
            self.majority_fenced_at = Some(now);
        }
    }

    /// Returns the latest time by which a majority of witnesses had been asked and obeyed.
    fn majority_acked_at(&self) -> Option<Millis> {
        let recorded = self.majority_of(&self.recorded);
        match &self.proposed {
            Some(proposed) => recorded.min(self.majority_of(proposed)),
            None => recorded,
        }
    }

    fn majority_of(&self, set: &BTreeSet<VmBoot>) -> Option<Millis> {
        let mut acks: Vec<Millis> = set
            .iter()
            .filter_map(|vm| self.acks.get(vm).copied())
            .collect();
        acks.sort_unstable_by(|a, b| b.cmp(a));
        acks.get(set.len() / 2).copied()
    }
}
