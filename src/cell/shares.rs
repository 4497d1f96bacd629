//! Which waiting tasks go behind the others of their priority because their workspace already has
//! its share of the contended capacity.
//!
//! It is for full cells in which one of some twenty workspaces sends several times its usual load.
//! In the order of turns alone, the jobs of all workspaces would wait until the backlog of that one
//! is done.  Urgent jobs are late after waiting for less than 1 s.
//!
//! Capacity is contended as soon as all work together wants more than the usable workers have: only
//! then does starting one task delay another one.  A workspace goes behind the others from the first
//! step beyond its entitlement.  Any tolerance above the entitlement would delay the jobs of the
//! other workspaces.  The rules are described in `docs/design/contended-cells.md`, "Part 2: shares".

use std::collections::{BTreeMap, btree_map};
use std::iter::Peekable;

use slotmap::SecondaryMap;

use crate::cell::spec::Demand;
use crate::cell::{Cell, StepKey, WorkspaceKey, tuning};
use crate::clock::Millis;

/// The number of resources of a [`Demand`].
const RESOURCES: usize = 3;
/// The relative error that sums of shares may have.  Sums over some hundred workspaces are exact to
/// about 1e-13, and a task of a thousandth of a core in a cell of 100,000 cores takes 1e-8 of it.
const ROUNDING: f64 = 1e-9;

/// What one workspace claims of the capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// The weight of the workspace.
    pub weight: f64,
    /// What its running and waiting work wants together.
    pub wanted: Demand,
}

/// Divides the capacity among claims by weighted dominant-resource fairness; returns the dominant
/// share to which each claim is entitled, from 0 to 1.
///
/// All dominant shares rise together in proportion to their weights.  That of a claim stops when it
/// has what it wants, or when a resource that it needs is used up.  Claims of weight 0 get what the others leave, in
/// equal parts.  Resources of which there is no capacity do not count.
pub fn fair_shares(claims: &[Claim], capacity: &Demand) -> Vec<f64> {
    let mut filling = Filling {
        wanted: claims
            .iter()
            .map(|claim| resource_shares(&claim.wanted, capacity))
            .collect(),
        free: [1.0; RESOURCES],
        shares: vec![0.0; claims.len()],
    };
    let largest = claims.iter().map(|claim| claim.weight);
    let largest = largest.filter(|weight| weight.is_finite());
    let largest = largest.fold(0.0, f64::max);
    // Relative weights keep the sums finite.
    let relative = |claim: &Claim| match claim.weight / largest {
        weight if weight.is_normal() && weight > 0.0 => weight,
        _ => 0.0,
    };
    let weights: Vec<f64> = claims.iter().map(relative).collect();
    filling.fill(&weights);
    let rest = weights.iter().map(|&weight| f64::from(weight == 0.0));
    filling.fill(&rest.collect::<Vec<_>>());
    filling.shares
}

/// The state of a progressive filling.
struct Filling {
    /// The shares of each resource that each claim wants.
    wanted: Vec<[f64; RESOURCES]>,
    /// The share of each resource that is not allocated yet.
    free: [f64; RESOURCES],
    /// The dominant share that is allocated to each claim.
    shares: Vec<f64>,
}

impl Filling {
    /// Raises the dominant shares of the claims that have a weight.  Takes O(n log n) for n claims,
    /// since each resource is used up only once.
    fn fill(&mut self, weights: &[f64]) {
        // The level is the dominant share for each unit of weight.
        let mut full_levels: Vec<(f64, usize)> = Vec::new();
        for (index, &weight) in weights.iter().enumerate() {
            let dominant = dominant(&self.wanted[index]);
            if weight > 0.0 && dominant > 0.0 {
                full_levels.push((dominant / weight, index));
            }
        }
        full_levels.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let mut rising = full_levels.as_slice();
        let mut remaining: Vec<(f64, usize)>;
        let mut level = 0.0;
        while !rising.is_empty() {
            let mut rates = self.rates(rising, weights);
            // Claims are satisfied one after the other until a resource is used up.
            loop {
                let (used_up, resource) = self.next_used_up(level, &rates);
                let satisfied = rising.first().filter(|(full, _)| *full <= used_up);
                let next = satisfied.map_or(used_up, |(full, _)| *full);
                if !next.is_finite() {
                    return;
                }
                for (free, rate) in self.free.iter_mut().zip(rates) {
                    *free = (*free - rate * (next - level)).max(0.0);
                }
                level = next;
                let Some(&(_, index)) = satisfied else {
                    self.free[resource] = 0.0;
                    break;
                };
                self.shares[index] = dominant(&self.wanted[index]);
                rising = &rising[1..];
                for (rate, added) in rates.iter_mut().zip(self.rate(index, weights[index])) {
                    *rate = (*rate - added).max(0.0);
                }
                if rising.is_empty() {
                    return;
                }
            }
            remaining = rising.to_vec();
            remaining.retain(|&(_, index)| {
                let wanted = &self.wanted[index];
                let stays = (0..RESOURCES).all(|r| wanted[r] == 0.0 || self.free[r] > ROUNDING);
                if !stays {
                    self.shares[index] = (level * weights[index]).min(dominant(wanted));
                }
                stays
            });
            rising = remaining.as_slice();
        }
    }

    /// The level at which the next resource is used up, and which one that is.
    fn next_used_up(&self, level: f64, rates: &[f64; RESOURCES]) -> (f64, usize) {
        let levels = (0..RESOURCES).map(|r| match rates[r] > ROUNDING * ROUNDING {
            true => (level + self.free[r] / rates[r], r),
            false => (f64::INFINITY, r),
        });
        let first = levels.min_by(|a, b| a.0.total_cmp(&b.0));
        first.expect("there are resources")
    }

    /// The share of each resource that these claims take for each unit of the level.
    fn rates(&self, rising: &[(f64, usize)], weights: &[f64]) -> [f64; RESOURCES] {
        let mut sum = [0.0; RESOURCES];
        for &(_, index) in rising {
            for (sum, rate) in sum.iter_mut().zip(self.rate(index, weights[index])) {
                *sum += rate;
            }
        }
        sum
    }

    fn rate(&self, index: usize, weight: f64) -> [f64; RESOURCES] {
        let wanted = &self.wanted[index];
        let dominant = dominant(wanted);
        wanted.map(|share| weight * share / dominant)
    }
}

/// The share that a demand has of each resource; 0 of one of which there is no capacity.
fn resource_shares(demand: &Demand, capacity: &Demand) -> [f64; RESOURCES] {
    let share = |wanted: u64, all: u64| match all {
        0 => 0.0,
        _ => wanted as f64 / all as f64,
    };
    [
        share(demand.millicores, capacity.millicores),
        share(demand.memory, capacity.memory),
        share(demand.gpus, capacity.gpus),
    ]
}

fn dominant(shares: &[f64; RESOURCES]) -> f64 {
    shares.iter().copied().fold(0.0, f64::max)
}

/// The waiting tasks of one step, in the order of a round.
#[derive(Debug, Clone, Copy)]
pub struct WaitingDemand {
    /// The priority of the step's job.
    pub priority: u32,
    /// The index of the claimant to which the step belongs.
    pub claimant: usize,
    /// What its waiting tasks want together.
    pub demand: Demand,
}

/// One workspace, or all jobs without one, as it takes part in the division of the capacity.
#[derive(Debug, Clone, Copy)]
pub struct Claimant<'a> {
    /// The weight of the workspace.
    pub weight: f64,
    /// The room that its runs hold, by priority.
    pub held: &'a BTreeMap<u32, Demand>,
    /// The most that it may hold.  Zeros stand for no limit.
    pub cap: Demand,
}

impl Claimant<'_> {
    fn all_held(&self) -> Demand {
        let held = self.held.values();
        held.fold(Demand::default(), |sum, held| sum.plus(held))
    }
}

/// The sum of what one claimant holds and wants, in the order of a round.
struct RunningSum<'a> {
    sum: Demand,
    /// What it holds at priorities that are not in the sum yet.
    held: Peekable<btree_map::Iter<'a, u32, Demand>>,
}

impl RunningSum<'_> {
    /// Adds a step's demand; returns the sum before it.
    fn add(&mut self, step: &WaitingDemand) -> Demand {
        while let Some((_, held)) = self.held.next_if(|(held, _)| **held <= step.priority) {
            self.sum.add(held);
        }
        let before = self.sum;
        self.sum.add(&step.demand);
        before
    }
}

/// How contended capacity is divided.
#[derive(Debug, Clone, PartialEq)]
pub struct Division {
    /// Whether each waiting step is beyond the share of its claimant.
    pub marks: Vec<bool>,
    /// The processors to which each claimant is entitled, in millicores.
    pub entitled: Vec<f64>,
}

/// Decides which waiting steps are beyond the share of their workspace; returns a mark for each
/// step, or `None` if capacity is not contended or cannot be divided.  See [`divide`].
pub fn mark_beyond_share(
    claimants: &[Claimant],
    waiting: &[WaitingDemand],
    capacity: &Demand,
) -> Option<Vec<bool>> {
    divide(claimants, waiting, capacity).map(|division| division.marks)
}

/// Divides the capacity; returns `None` if it is not contended or cannot be divided.
///
/// The demand of each claimant is summed up in the order of `waiting`, at each priority from what
/// its runs of that priority and of lower numbers hold.  Less urgent runs do not count, since the
/// urgent work of a workspace would otherwise wait because of its own batch work.  The step that
/// crosses the entitlement is still within it.
pub fn divide(
    claimants: &[Claimant],
    waiting: &[WaitingDemand],
    capacity: &Demand,
) -> Option<Division> {
    let mut sums: Vec<Demand> = claimants.iter().map(Claimant::all_held).collect();
    for step in waiting {
        sums[step.claimant].add(&step.demand);
    }
    let with_work = claimants.iter().zip(&sums);
    let with_work = with_work.filter(|(_, sum)| **sum != Demand::default());
    let (weighted, others) =
        with_work.partition::<Vec<_>, _>(|(claimant, _)| claimant.weight > 0.0);
    if weighted.is_empty() || weighted.len() + others.len() < 2 {
        return None;
    }
    let claims: Vec<Claim> = claimants
        .iter()
        .zip(&sums)
        .map(|(claimant, sum)| Claim {
            weight: claimant.weight,
            wanted: within_cap(sum, claimant),
        })
        .collect();
    let mut wanted = Demand::default();
    for claim in &claims {
        wanted.add(&claim.wanted);
    }
    if dominant(&resource_shares(&wanted, capacity)) <= 1.0 {
        return None;
    }
    let shares = fair_shares(&claims, capacity);
    let shares = || shares.iter().zip(&claims);
    let limits = shares().map(|(&share, claim)| share_limit(claim, share, capacity));
    let limits: Vec<f64> = limits.collect();
    let entitled = shares().map(|(&share, claim)| entitled_millicores(claim, share, capacity));
    let sums = claimants.iter().map(|claimant| RunningSum {
        sum: Demand::default(),
        held: claimant.held.iter().peekable(),
    });
    let mut sums: Vec<RunningSum> = sums.collect();
    let marks = waiting.iter().map(|step| {
        let before = sums[step.claimant].add(step);
        dominant(&resource_shares(&before, capacity)) >= limits[step.claimant]
    });
    Some(Division {
        marks: marks.collect(),
        entitled: entitled.collect(),
    })
}

/// Returns the dominant share from which the work of a claim entitled to `share` is beyond it.
fn share_limit(claim: &Claim, share: f64, capacity: &Demand) -> f64 {
    let all = dominant(&resource_shares(&claim.wanted, capacity));
    // A claimant that gets all it wants has no work beyond its share.  Its sum may reach its share
    // before its last step, if that step wants little of its dominant resource.
    match share >= all * (1.0 - ROUNDING) {
        true => f64::INFINITY,
        false => share * (1.0 - ROUNDING),
    }
}

/// Returns the processors of a claim that is entitled to `share`, in millicores.  All resources of a
/// claim rise together, so its processors are in proportion to its share.
fn entitled_millicores(claim: &Claim, share: f64, capacity: &Demand) -> f64 {
    match dominant(&resource_shares(&claim.wanted, capacity)) {
        0.0 => 0.0,
        all => claim.wanted.millicores as f64 * share / all,
    }
}

/// What a claimant wants, reduced in proportion to what its cap lets it hold.  What runs already is
/// not reduced, since a lower cap stops nothing.
fn within_cap(wanted: &Demand, claimant: &Claimant) -> Demand {
    let resources = [
        (wanted.millicores, claimant.cap.millicores),
        (wanted.memory, claimant.cap.memory),
        (wanted.gpus, claimant.cap.gpus),
    ];
    let mut part: f64 = 1.0;
    for (wanted, cap) in resources {
        if cap > 0 && wanted > cap {
            part = part.min(cap as f64 / wanted as f64);
        }
    }
    if part >= 1.0 {
        return *wanted;
    }
    let held = claimant.all_held();
    let reduced = |wanted: u64, held: u64| ((wanted as f64 * part) as u64).max(held);
    Demand {
        millicores: reduced(wanted.millicores, held.millicores),
        memory: reduced(wanted.memory, held.memory),
        gpus: reduced(wanted.gpus, held.gpus),
    }
}

/// A waiting step in the order of a round.  The fields are in the order of their significance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderedStep {
    /// Goes behind all others, while the owner can't send all starts that have room.
    pub(super) deferred: bool,
    pub(super) priority: u32,
    /// The step's workspace already has its share of the contended capacity.
    pub(super) beyond_share: bool,
    pub(super) rank: Millis,
    /// The step's position among the open steps.
    pub(super) position: usize,
    pub(super) key: StepKey,
}

/// How contended the capacity was in the last round, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Contention {
    /// Workspaces together want more than the usable workers have, and it is divided by shares.
    pub contended: bool,
    /// How many tasks wait beyond the share of their workspace.
    pub beyond_share: u32,
}

/// The division of the capacity in one round.
struct RoundShares {
    /// The workspace of each claimant; none for the jobs without one.
    claimants: Vec<Option<WorkspaceKey>>,
    /// The waiting steps in the order of the round.
    waiting: Vec<WaitingDemand>,
    division: Division,
}

/// What a round decided about a workspace, or about all jobs without one, with steps beyond its
/// share.
#[derive(Debug, Clone, Copy)]
pub(super) struct BeyondShare {
    /// The priority number of its first step beyond its share that still waits after the round; none
    /// if all of them found capacity.  Its steps with a greater number are beyond its share too.
    pub(super) waiting_priority: Option<u32>,
    /// The processors to which it is entitled, in millicores.
    pub(super) entitled: f64,
}

/// What the last round decided about shares.
#[derive(Debug, Default)]
pub(super) struct SharesState {
    pub(super) contention: Contention,
    /// The waiting steps beyond the share of their workspace, in the order of the round.
    pub(super) beyond: Vec<StepKey>,
    /// The workspaces of these steps; none stands for the jobs without one.
    pub(super) beyond_workspaces: BTreeMap<Option<WorkspaceKey>, BeyondShare>,
    /// When the present contention began and when it was last seen; none if there is none.  A pause
    /// of less than [`tuning::CONTENTION_END_DELAY`] does not end it.
    contended_period: Option<(Millis, Millis)>,
}

impl Cell {
    /// Returns how contended the capacity was in the last round.
    pub fn contention(&self) -> Contention {
        self.shares.contention
    }

    /// Returns whether the last round put a step behind others because its workspace has its share.
    /// It searches a list of all such steps, so it is for queries and not for rounds.
    pub(super) fn is_beyond_share(&self, key: StepKey) -> bool {
        self.shares.beyond.contains(&key)
    }

    /// Puts the steps beyond the share of their workspace behind the others of their priority, if
    /// capacity is contended.  `order` is sorted.
    pub(super) fn order_by_shares(&mut self, order: &mut [OrderedStep], now: Millis) {
        self.shares.contention = Contention::default();
        self.shares.beyond.clear();
        self.shares.beyond_workspaces.clear();
        let shares = match self.options.shares {
            true => self.divide_capacity(order, now),
            false => None,
        };
        let contended = shares.is_some();
        if let Some(RoundShares {
            claimants,
            waiting,
            division,
        }) = shares
        {
            for (index, step) in order.iter_mut().enumerate() {
                step.beyond_share = division.marks[index];
                if !step.beyond_share {
                    continue;
                }
                self.shares.beyond.push(step.key);
                let claimant = waiting[index].claimant;
                let workspace = BeyondShare {
                    waiting_priority: None,
                    entitled: division.entitled[claimant],
                };
                let workspaces = &mut self.shares.beyond_workspaces;
                workspaces.insert(claimants[claimant], workspace);
            }
        }
        self.note_contention(contended, now);
        if !self.shares.beyond.is_empty() {
            // Stable and over a few sorted runs, so this takes linear time.
            order.sort_by_key(|step| (step.deferred, step.priority, step.beyond_share));
        }
    }

    /// Notes tasks of a step beyond the share of its workspace that still wait after the round.
    pub(super) fn note_waiting_beyond_share(&mut self, step: &OrderedStep, tasks: usize) {
        self.shares.contention.beyond_share += tasks as u32;
        let workspace = self.jobs[self.steps[step.key].job].workspace;
        if let Some(beyond) = self.shares.beyond_workspaces.get_mut(&workspace) {
            beyond.waiting_priority.get_or_insert(step.priority);
        }
    }

    /// Divides the capacity among the workspaces whose steps wait in this order; `None` if it is
    /// not contended.
    fn divide_capacity(&self, order: &[OrderedStep], now: Millis) -> Option<RoundShares> {
        if order.is_empty() {
            return None;
        }
        let (capacity, largest) = self.usable_capacity(now);
        let (mut claimants, mut indices) = (Vec::new(), SecondaryMap::new());
        let mut keys = Vec::new();
        for (key, claimant) in self.ledger.claimants() {
            indices.insert(key, claimants.len());
            claimants.push(claimant);
            keys.push(Some(key));
        }
        keys.push(None);
        let public = claimants.len();
        claimants.push(Claimant {
            weight: 0.0,
            held: self.ledger.public_room(),
            cap: Demand::default(),
        });
        let mut has_waiting = vec![false; claimants.len()];
        let mut can_start = Vec::with_capacity(order.len());
        let mut planned_by_queue = BTreeMap::new();
        let waiting = order.iter().map(|ordered| {
            let workspace = self.jobs[self.steps[ordered.key].job].workspace;
            let claimant = workspace.map_or(public, |key: WorkspaceKey| indices[key]);
            can_start.push(self.may_start(ordered.key, &largest));
            let demand = match can_start.last() {
                Some(true) => self.waiting_demand(ordered.key, now, &mut planned_by_queue),
                _ => Demand::default(),
            };
            has_waiting[claimant] |= demand != Demand::default();
            WaitingDemand {
                priority: ordered.priority,
                claimant,
                demand,
            }
        });
        let waiting: Vec<WaitingDemand> = waiting.collect();
        claimants[public].weight = mean_weight(&claimants[..public], &has_waiting);
        let mut division = divide(&claimants, &waiting, &capacity)?;
        // A step that cannot start at all waits for another reason than its share.
        for (mark, can_start) in division.marks.iter_mut().zip(can_start) {
            *mark &= can_start;
        }
        Some(RoundShares {
            claimants: keys,
            waiting,
            division,
        })
    }

    /// Returns whether tasks of a step could start if there was room; `largest` is the largest amount
    /// of each resource on a worker.
    fn may_start(&self, key: StepKey, largest: &Demand) -> bool {
        let spec = self.steps[key].step();
        spec.room().fits(largest) && self.is_within_quota(key, spec.tasks_at_once())
    }

    /// What the waiting tasks of a step want together.  Tasks above the quota of their queue are left
    /// out, since they would use up the share of their workspace and could not start.
    /// `planned_by_queue` holds the millicores that earlier steps want from queues with a quota.
    fn waiting_demand<'a>(
        &'a self,
        key: StepKey,
        now: Millis,
        planned_by_queue: &mut BTreeMap<&'a str, u64>,
    ) -> Demand {
        let step = &self.steps[key];
        let (spec, job) = (step.step(), &self.jobs[step.job]);
        let room = spec.room();
        let waiting = self.waiting_tasks(key, now).count() as u32;
        let Some(quota) = job.decision.quota else {
            return room.of_tasks(waiting);
        };
        let queue = job.queue.name.as_str();
        let planned = planned_by_queue.entry(queue).or_default();
        let left = quota.saturating_sub(self.queue_millicores(queue) + *planned);
        let within = left.checked_div(room.millicores).unwrap_or(u64::MAX);
        let tasks = match u32::try_from(within) {
            Ok(within) if within < waiting && spec.gang => 0,
            Ok(within) => within.min(waiting),
            Err(_) => waiting,
        };
        let demand = room.of_tasks(tasks);
        *planned += demand.millicores;
        demand
    }

    /// The capacity of all workers that accept work, and the largest amount of each resource on one
    /// of them.  Parked workers count, since they are unparked for waiting work.
    fn usable_capacity(&self, now: Millis) -> (Demand, Demand) {
        let (mut all, mut largest) = (Demand::default(), Demand::default());
        for (key, worker) in &self.workers {
            if self.provides_capacity(key, now) {
                let capacity = &worker.entry.capacity;
                all.add(capacity);
                largest.millicores = largest.millicores.max(capacity.millicores);
                largest.memory = largest.memory.max(capacity.memory);
                largest.gpus = largest.gpus.max(capacity.gpus);
            }
        }
        (all, largest)
    }

    /// Notes whether capacity is contended, and logs when that begins and ends.
    fn note_contention(&mut self, contended: bool, now: Millis) {
        self.shares.contention.contended = contended;
        match self.shares.contended_period {
            None if contended => {
                self.shares.contended_period = Some((now, now));
                let (used, capacity) = self.room();
                tracing::info!(
                    beyond_share_steps = self.shares.beyond.len(),
                    held_millicores = used.millicores,
                    millicores = capacity.millicores,
                    held_mib = used.memory,
                    mib = capacity.memory,
                    "capacity is contended and divided among workspaces by weight"
                );
            }
            Some((since, _)) if contended => self.shares.contended_period = Some((since, now)),
            Some((since, last)) if now >= last + tuning::CONTENTION_END_DELAY => {
                self.shares.contended_period = None;
                let lasted_ms = last - since;
                tracing::info!(lasted_ms, "capacity is no longer contended");
            }
            _ => {}
        }
    }
}

/// The mean weight of the workspaces that have running or waiting work; 0 if none has.
fn mean_weight(workspaces: &[Claimant], has_waiting: &[bool]) -> f64 {
    let with_work = workspaces.iter().zip(has_waiting);
    let with_work = with_work.filter(|(claimant, waits)| **waits || !claimant.held.is_empty());
    let weights: Vec<f64> = with_work.map(|(claimant, _)| claimant.weight).collect();
    weights.iter().sum::<f64>() / weights.len().max(1) as f64
}
