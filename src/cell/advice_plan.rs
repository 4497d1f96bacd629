//! Which waiting steps may ask the advice service, and how many lanes long questions leave free.
//!
//! It is for full cells with a backlog of batch steps, whose questions occupy a lane for up to 1.2 s
//! and whose tickets are valid for 2.5 s.  If all waiting steps ask, three quarters of the tickets
//! expire unused, and capacity stays free because no step has a ticket for it
//! (`docs/design/contended-cells.md`).
//!
//! A [`Budget`] holds the room that is free or becomes free while the tickets of a question asked
//! now are valid.  Steps claim it in the order of decisions, and a step for which none is left does
//! not ask.  A claim on a worker that may not be approved is multiplied by the probability of
//! approval, which gives the room that the step is expected to use.  Room is not claimed several
//! times over, since this did not reduce the free capacity.

use std::hash::Hash;

use indexmap::IndexMap;

use crate::cell::spec::Demand;
use crate::cell::tuning;

/// The most workers that all claims of a round examine, which bounds the work of a round.  It is
/// enough for 11 passes over 350 workers.  Steps that come after that ask as if there were no budget.
pub const MAX_EXAMINED: usize = 4_000;
/// The most demands for which it is noted that no room is left.
const MAX_NOTED_DEMANDS: usize = 16;
/// One in this many lanes is left to short questions.
const LANES_PER_SHORT_LANE: usize = 8;

/// Returns how many of the usable lanes long questions leave free for short ones.  A single lane is
/// used for both.
pub fn lanes_for_short_questions(usable: usize) -> usize {
    match usable {
        0 | 1 => 0,
        _ => usable.div_ceil(LANES_PER_SHORT_LANE),
    }
}

/// Returns how many of the lanes that long questions may use are given to questions in turn.
pub fn lanes_for_turns(for_long: usize) -> usize {
    for_long.div_ceil(tuning::LANES_PER_TURN_LANE)
}

/// The room of one worker.
#[derive(Debug, Clone, Copy)]
struct Room {
    room: Demand,
    /// The sum of all claims: processors, memory and accelerators.
    claimed: [f64; 3],
}

impl Room {
    fn claim(&mut self, wanted: &Demand, tasks: f64) {
        for (claimed, wanted) in self.claimed.iter_mut().zip(amounts(wanted)) {
            *claimed += tasks * wanted;
        }
    }

    /// Returns whether any resource is claimed completely.
    fn is_claimed(&self) -> bool {
        let mut pairs = self.claimed.iter().zip(amounts(&self.room));
        pairs.any(|(&claimed, room)| claimed > 0.0 && claimed >= room)
    }
}

/// What a step claims.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// The room that one task takes.
    pub room: Demand,
    /// The number of tasks.
    pub tasks: f64,
    /// The most tasks for which room is claimed on one worker.
    pub max_per_worker: u32,
}

/// Room that a claim was granted.
#[derive(Debug, Clone, PartialEq)]
pub struct Granted<K> {
    /// The number of tasks that are expected to find room there.
    pub tasks: f64,
    /// The workers.
    pub workers: Vec<K>,
}

/// The room that waiting steps may ask for in one round.
#[derive(Debug)]
pub struct Budget<K> {
    rooms: IndexMap<K, Room>,
    /// The position at which the next claim begins, so that claims are spread over all workers.
    next: usize,
    /// How many more workers claims may examine.
    examinations_left: usize,
    /// Demands for which no worker has room left.
    without_room: Vec<Demand>,
}

impl<K: Copy + Eq + Hash> Budget<K> {
    /// Begins a round with the room of each worker.  Claims begin at the worker at `first`.
    pub fn new(rooms: impl IntoIterator<Item = (K, Demand)>, first: usize) -> Self {
        let rooms = rooms.into_iter();
        let unclaimed = |room| Room {
            room,
            claimed: [0.0; 3],
        };
        let rooms: IndexMap<K, Room> = rooms.map(|(key, room)| (key, unclaimed(room))).collect();
        Self {
            next: first.checked_rem(rooms.len()).unwrap_or_default(),
            rooms,
            examinations_left: MAX_EXAMINED,
            without_room: Vec::new(),
        }
    }

    /// Replaces the room of each worker by what `room_of` returns; claims remain.
    pub fn widen(&mut self, mut room_of: impl FnMut(K) -> Demand) {
        self.without_room.clear();
        for (&key, room) in &mut self.rooms {
            room.room = room_of(key);
        }
    }

    /// Claims room on some workers, each with the probability that the step may run there.
    pub fn claim_on(
        &mut self,
        claim: &Claim,
        workers: impl IntoIterator<Item = (K, f64)>,
    ) -> Granted<K> {
        let mut granted = Granted::none();
        for (key, probability) in workers {
            if granted.tasks >= claim.tasks {
                break;
            }
            if let Some(index) = self.rooms.get_index_of(&key) {
                self.claim_at(index, claim, |_| Some(probability), &mut granted);
            }
        }
        granted
    }

    /// Claims room on any worker for which `probability` returns the probability that the step may
    /// run there; `None` excludes the worker.
    pub fn claim(&mut self, claim: &Claim, probability: impl Fn(K) -> Option<f64>) -> Granted<K> {
        let mut granted = Granted::none();
        let mut noted = self.without_room.iter();
        if noted.any(|demand| demand.fits(&claim.room)) {
            return granted;
        }
        let mut has_room = false;
        for _ in 0..self.rooms.len() {
            if granted.tasks >= claim.tasks || self.examinations_left == 0 {
                return granted;
            }
            self.examinations_left -= 1;
            let index = self.next;
            self.next = (self.next + 1) % self.rooms.len();
            has_room |= self.claim_at(index, claim, &probability, &mut granted);
        }
        if !has_room && self.without_room.len() < MAX_NOTED_DEMANDS {
            self.without_room.push(claim.room);
        }
        granted
    }

    /// Returns whether the claims of this round have examined as many workers as they may.
    pub fn is_examined_enough(&self) -> bool {
        self.examinations_left == 0
    }

    /// Claims room on one worker; returns whether there was any left, also for a step that may not
    /// run there.
    fn claim_at(
        &mut self,
        index: usize,
        claim: &Claim,
        probability: impl Fn(K) -> Option<f64>,
        granted: &mut Granted<K>,
    ) -> bool {
        let Some((&key, room)) = self.rooms.get_index_mut(index) else {
            return false;
        };
        let fit = room.room.times(&claim.room).min(claim.max_per_worker);
        if fit == 0 || room.is_claimed() {
            return false;
        }
        let Some(probability) = probability(key).filter(|&probability| probability > 0.0) else {
            return true;
        };
        let missing = (claim.tasks - granted.tasks) / probability;
        let tasks = f64::from(fit).min(missing) * probability;
        room.claim(&claim.room, tasks);
        granted.tasks += tasks;
        granted.workers.push(key);
        true
    }
}

impl<K> Granted<K> {
    fn none() -> Self {
        Self {
            tasks: 0.0,
            workers: Vec::new(),
        }
    }
}

/// The processors, memory and accelerators of a demand.
fn amounts(demand: &Demand) -> [f64; 3] {
    [demand.millicores, demand.memory, demand.gpus].map(|amount| amount as f64)
}
