//! The targets of one service in one hall, their slots and those who wait for them.
//!
//! Exactly one instance owns a pool, so slots are counted in one place.

use std::collections::{BTreeMap, HashMap, VecDeque};

use slotmap::SlotMap;

use crate::clock::Millis;
use crate::model::Class;
use crate::routing::TargetKey;
use crate::routing::outcome::Refusal;

/// The number of a waiting request, unique within the instance.
pub type TicketId = u64;

/// Every how many grants the least pressing class goes first, so that it never starves.
const FLOOR_EVERY: u64 = 10;
/// The weight of the newest service time in the running mean, one part of this many.
const MEAN_PARTS: u64 = 8;
/// After how many failures in a row a target is put aside.
const FAILURES_TO_EJECT: u32 = 3;
/// How long a target is first put aside.
const FIRST_EJECTION: Millis = 1_000;
/// How long a target is put aside at most.
const LONGEST_EJECTION: Millis = 30_000;
/// The assumed service time before any was measured.
const ASSUMED_SERVICE_TIME: Millis = 10;

/// A target as it is listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetInfo {
    /// The name of the VM.
    pub name: String,
    /// The address of its interface.
    pub endpoint: String,
    /// How many requests it takes at a time.
    pub slots: u32,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

#[derive(Debug)]
struct Target {
    info: TargetInfo,
    in_flight: u32,
    said_leaving: bool,
    failures: u32,
    ejected_until: Millis,
}

/// A slot of a target, granted to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The target.
    pub key: TargetKey,
    /// Its name.
    pub name: String,
    /// Its address.
    pub endpoint: String,
}

/// How a request that held a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotEnd {
    /// The target answered.
    Answered {
        /// How long it took.
        took: Millis,
    },
    /// The slot was not used after all.
    Unused,
    /// The target could not be reached or did not answer.
    Failed,
    /// The target says that it is leaving.
    Leaving,
}

#[derive(Debug, Clone, Copy)]
struct Ticket {
    id: TicketId,
    deadline: Millis,
}

/// The targets of one service in one hall.
#[derive(Debug)]
pub struct Pool {
    targets: SlotMap<TargetKey, Target>,
    by_name: HashMap<String, TargetKey>,
    queues: BTreeMap<Class, VecDeque<Ticket>>,
    queue_limit: usize,
    grants: u64,
    mean: Millis,
    closed: bool,
}

impl Pool {
    /// Makes an empty pool in whose queues at most `queue_limit` requests wait.
    pub fn new(queue_limit: usize) -> Self {
        Self {
            targets: SlotMap::with_key(),
            by_name: HashMap::new(),
            queues: BTreeMap::new(),
            queue_limit,
            grants: 0,
            mean: ASSUMED_SERVICE_TIME,
            closed: false,
        }
    }

    /// Brings the targets in line with the platform's list.
    ///
    /// A target that is no longer listed gets nothing new; it stays known until
    /// its requests have ended.  A target that has itself said that it is leaving
    /// comes back only if the list has stopped and started to name it.
    pub fn set_targets(&mut self, infos: &[TargetInfo]) {
        for info in infos {
            match self.by_name.get(&info.name) {
                Some(key) => self.targets[*key].info = info.clone(),
                None => self.add_target(info),
            }
        }
        let gone: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, target)| !infos.iter().any(|info| info.name == target.info.name))
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.targets[key].info.leaving = true;
            if self.targets[key].in_flight == 0 {
                self.remove_target(key);
            }
        }
    }

    fn add_target(&mut self, info: &TargetInfo) {
        let key = self.targets.insert(Target {
            info: info.clone(),
            in_flight: 0,
            said_leaving: false,
            failures: 0,
            ejected_until: 0,
        });
        self.by_name.insert(info.name.clone(), key);
    }

    fn remove_target(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.remove(key) {
            self.by_name.remove(&target.info.name);
        }
    }

    /// Stops granting slots; what holds one finishes.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Grants slots again.
    pub fn open(&mut self) {
        self.closed = false;
    }

    /// Tells whether no request holds a slot.
    pub fn is_idle(&self) -> bool {
        self.targets.values().all(|target| target.in_flight == 0)
    }

    /// Returns how many slots are free at `now`, and how many requests wait.
    pub fn load(&self, now: Millis) -> (u32, u32) {
        let free = self
            .targets
            .values()
            .filter(|t| t.takes_work(now))
            .map(|t| t.info.slots - t.in_flight)
            .sum();
        let free = if self.closed { 0 } else { free };
        (free, self.queued() as u32)
    }

    fn queued(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }

    /// Takes a slot at once, unless others have waited longer.
    pub fn try_grant(&mut self, now: Millis) -> Option<Grant> {
        if self.closed || self.queued() > 0 {
            return None;
        }
        self.take_slot(now)
    }

    /// Lets a request wait for a slot.
    ///
    /// # Errors
    /// Refuses at once if the queue is full, if nothing can be granted here, or if
    /// the expected wait is past the deadline; the second part of the error is
    /// when coming back may help, in milliseconds.
    pub fn enqueue(
        &mut self,
        id: TicketId,
        class: Class,
        deadline: Millis,
        now: Millis,
    ) -> Result<(), (Refusal, Millis)> {
        let wait = self.expected_wait(class);
        if self.closed || !self.targets.values().any(|target| !target.is_leaving()) {
            return Err((Refusal::NoTarget, FIRST_EJECTION));
        }
        if self.queued() >= self.queue_limit {
            return Err((Refusal::QueueFull, wait));
        }
        if now + wait > deadline {
            return Err((Refusal::Overloaded, wait));
        }
        self.queues
            .entry(class)
            .or_default()
            .push_back(Ticket { id, deadline });
        Ok(())
    }

    /// Returns how long a newcomer of `class` is expected to wait.
    pub fn expected_wait(&self, class: Class) -> Millis {
        let ahead: usize = self
            .queues
            .range(..=class)
            .map(|(_, queue)| queue.len())
            .sum();
        let slots: u64 = self
            .targets
            .values()
            .filter(|t| !t.is_leaving())
            .map(|t| u64::from(t.info.slots))
            .sum();
        (ahead as u64 + 1) * self.mean / slots.max(1)
    }

    /// Removes a request that no longer waits.
    pub fn forget(&mut self, id: TicketId) {
        for queue in self.queues.values_mut() {
            queue.retain(|ticket| ticket.id != id);
        }
    }

    /// Grants free slots to those who wait, most pressing first.
    ///
    /// Requests whose deadline has passed are left out; their waiters time out.
    pub fn grant_waiting(&mut self, now: Millis) -> Vec<(TicketId, Grant)> {
        let mut granted = Vec::new();
        while !self.closed {
            let Some(class) = self.next_class(now) else {
                break;
            };
            let Some(grant) = self.take_slot(now) else {
                break;
            };
            let Some(ticket) = self.queues.get_mut(&class).and_then(VecDeque::pop_front) else {
                break;
            };
            granted.push((ticket.id, grant));
        }
        granted
    }

    fn next_class(&mut self, now: Millis) -> Option<Class> {
        for queue in self.queues.values_mut() {
            while queue.front().is_some_and(|ticket| ticket.deadline <= now) {
                queue.pop_front();
            }
        }
        let mut waiting = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(class, _)| *class);
        match (self.grants + 1) % FLOOR_EVERY {
            0 => waiting.next_back(),
            _ => waiting.next(),
        }
    }

    /// Takes a slot of the target with the most free slots.
    fn take_slot(&mut self, now: Millis) -> Option<Grant> {
        let best = self
            .targets
            .iter()
            .filter(|(_, target)| target.takes_work(now))
            .max_by_key(|(_, target)| target.info.slots - target.in_flight)
            .map(|(key, _)| key)?;
        let target = &mut self.targets[best];
        target.in_flight += 1;
        self.grants += 1;
        Some(Grant {
            key: best,
            name: target.info.name.clone(),
            endpoint: target.info.endpoint.clone(),
        })
    }

    /// Gives back a slot, and records how the target did.
    pub fn finish(&mut self, key: TargetKey, end: SlotEnd, now: Millis) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.in_flight = target.in_flight.saturating_sub(1);
        match end {
            SlotEnd::Answered { took } => {
                target.failures = 0;
                self.mean = ((MEAN_PARTS - 1) * self.mean + took.max(1)).div_ceil(MEAN_PARTS);
            }
            SlotEnd::Unused => {}
            SlotEnd::Failed => target.on_failure(now),
            SlotEnd::Leaving => target.said_leaving = true,
        }
        let target = &self.targets[key];
        if target.in_flight == 0 && target.info.leaving && target.said_leaving {
            self.remove_target(key);
        }
    }
}

impl Target {
    fn is_leaving(&self) -> bool {
        self.info.leaving || self.said_leaving
    }

    fn takes_work(&self, now: Millis) -> bool {
        // A target that is let back after an ejection is probed with one request.
        let limit = if self.failures >= FAILURES_TO_EJECT {
            1
        } else {
            self.info.slots
        };
        !self.is_leaving()
            && now >= self.ejected_until
            && self.in_flight < limit.min(self.info.slots)
    }

    fn on_failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures >= FAILURES_TO_EJECT {
            let doublings = (self.failures - FAILURES_TO_EJECT).min(5);
            self.ejected_until = now + (FIRST_EJECTION << doublings).min(LONGEST_EJECTION);
        }
    }
}
