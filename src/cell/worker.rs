//! The owner's record of one worker: its entry, its room, its lease, and the ends it has listed.
//!
//! An end is the worker's report that a run has ended.  A worker numbers the ends of one life from
//! one and lists each of them until a poll tells it to forget the ends up to some number.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::cell::health::Health;
use crate::cell::life::{FormerLives, Life, NextLife};
use crate::cell::roster::{InheritedWork, RosterState};
use crate::cell::sequence::Sequence;
use crate::cell::spec::{Demand, JobId, Step};
use crate::cell::{RunKey, tuning};
use crate::clock::Millis;

/// One life of a worker as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// The life that wrote the entry.
    #[serde(flatten)]
    pub life: Life,
    /// The address at which it accepts orders.
    pub address: SocketAddr,
    /// The machine that it runs on, which outlives the life.
    pub machine: String,
    /// The service whose tasks it runs.
    pub service: String,
    /// The data hall that it stands in.
    pub hall: String,
    /// Its whole room (processors, memory and accelerators), whether in use or not.
    pub capacity: Demand,
    /// Its labels, the rack's among them.
    pub labels: Vec<String>,
    /// Its rack, if the entry names one.
    pub rack: Option<String>,
    /// Set if the worker is about to leave: the least time until then, in milliseconds after its
    /// notice; zero if it did not say.
    pub leaving: Option<Millis>,
}

/// Which ends the next poll tells a worker to forget, that is, to drop from its list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextForget {
    /// None: there are none to forget, or another life may answer.
    Nothing,
    /// None yet: the answer must show first which life is there; the poll after it may name some.
    Deferred,
    /// All ends up to this number.
    UpTo(u64),
}

/// A poll of which the answer may be under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenPoll {
    /// Its place in the order of calls sent and answers heard.
    pub sequence: Sequence,
    /// When it was sent, by our clock.
    pub sent: Millis,
}

/// One life of a worker of the cell.  Times are by the owner's clock unless stated otherwise.
#[derive(Debug)]
pub struct Worker {
    /// The worker's entry in the platform's list.
    pub entry: WorkerEntry,
    /// When this life became known: a poll sent later is answered by a life that began no earlier.
    pub listed: Sequence,
    /// Another life of this id that the platform lists, and that has not answered yet.
    pub next: Option<NextLife>,
    /// The lives of this id before this one.
    pub former: FormerLives,
    /// No task is placed here before this time: until then orders meant for a former life may
    /// arrive, and the worker cannot tell them from orders meant for this one.  This is independent
    /// of its health, for which see [`Health::shunned_until`].
    pub quarantined_until: Millis,
    /// Since when the platform has not listed it; none while it does.
    pub unlisted_since: Option<Millis>,
    /// `entry` is not the newest one: that could not be read, or that of this life has not been
    /// read yet.  No task is placed here until it has been.
    pub entry_outdated: bool,
    /// What a former owner may have left running here; none if it did not use this worker.
    pub inherited: Option<InheritedWork>,
    /// When all of that has ended at the latest.
    pub inherited_until: Millis,
    /// A successor has been told how long something may still run here, so no lease is renewed and
    /// no task is placed any more.
    pub sealed: bool,
    /// How the worker stands in the roster.
    pub roster_state: RosterState,
    /// The version of the roster in which `roster_state` last changed, or a long lease was added.
    pub roster_state_version: u64,
    /// It has answered under this owner's epoch, so it refuses the orders of predecessors.
    pub fenced: bool,
    /// The start time in its last answer under this owner's epoch, in Unix milliseconds; none if it
    /// reports none or has not answered yet.
    reported_born: Option<Millis>,
    /// When it last answered a poll.
    pub last_heard: Millis,
    /// By how much the ends in its last answer may be read late.
    pub max_end_delay: Millis,
    /// The latest poll whose answer was processed; polls may overtake each other.
    pub last_poll: Sequence,
    /// When an answer was last processed: an answer to a poll sent before that may be the older
    /// one.
    pub last_answer: Sequence,
    /// Since when calls have not been answered; none if the last one was.
    pub silent_since: Option<Millis>,
    /// The polls of this owner that may still be answered.
    pub open_polls: Vec<OpenPoll>,
    /// Witnesses, nodes that ask it on this owner's behalf, are being asked about it.
    pub is_questioned: bool,
    /// When witnesses were last asked about it.
    pub witness_asked_at: Option<Millis>,
    /// When the latest question was sent by which witnesses found it not to answer; none if it has
    /// answered since.
    pub unreached_at: Option<Millis>,
    /// When that was noted.
    pub unreached_noted: Sequence,
    /// When it gave notice that it leaves.
    pub leaving_since: Option<Millis>,
    /// The last reading of the worker's clock, and when it arrived.
    pub clock: Option<(Millis, Millis)>,
    /// When everything here must have ended unless the lease is renewed.
    pub lease_end: Millis,
    /// What runs here may have the longest lease: an order that was meant for the clock of a former
    /// life of this id can give it.  Once this is ruled out it stays so for the whole life, whoever
    /// owns the cell ([`Cell::may_get_former_orders`](crate::cell::Cell::may_get_former_orders)).
    pub may_have_long_lease: bool,
    /// Until when such a lease may last; zero if it is not known to have begun.
    pub long_lease_until: Millis,
    /// What the roster says of `may_have_long_lease`.
    pub lists_long_lease: bool,
    /// It is an idle worker beyond the reserve, so it is neither polled nor used.
    pub parked: bool,
    /// When it was last unparked; zero if it never was.
    pub unparked_at: Millis,
    /// All runs that may take up room here.
    pub runs: Vec<RunKey>,
    /// The room that they take up.
    pub used: Demand,
    /// The processors that its fillers ask for, in millicores; `used` does not include them.
    pub filler_millicores: u64,
    /// How many of the runs are serving tasks, beside which no filler may run.
    pub serving: u32,
    /// How many of the runs are fillers, which use processors that other runs leave idle.
    pub fillers: u32,
    /// How many of the runs are trials of tasks that may crash workers: nothing is started beside
    /// them.
    pub trials: u32,
    /// It is silent, and the runs that may have crashed it have been noted.
    pub suspected: bool,
    /// The number up to which all ends have been accepted, that is, have taken effect in the core.
    pub accepted_end: u64,
    /// The numbers of ends beyond that which have been accepted as well.
    accepted_beyond: BTreeSet<u64>,
    /// The number up to which all ends are recorded, so that the worker may forget them.
    pub recorded_end: u64,
    /// The number up to which it was told to forget them, by a poll that it has answered.
    pub forgotten_end: u64,
    /// The last poll named no ends to forget, to find out first which life answers.
    pub forget_deferred: bool,
    /// It lists ends of jobs that could not be read yet.
    pub holds_ends: bool,
    /// The number of the first such end, as last logged.
    pub held_end: u64,
    /// Its list of ends was full, so it may have more.
    pub more_ends: bool,
    /// It has once listed everything, and only of known jobs: from then on a full list can hide
    /// only ends of this owner's own runs.
    pub listed_whole: bool,
    /// The jobs that could not be read yet and of which its last list named runs or ends.
    pub unread_jobs: BTreeSet<JobId>,
    /// It lists running runs of such jobs.
    pub has_unread_runs: bool,
    /// How many runs it lists that belong to no known job; they are being stopped.
    pub unknown_runs: usize,
    /// How far its results can be trusted.
    pub health: Health,
}

impl Worker {
    /// Creates a worker of which only the entry is known.
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
            may_have_long_lease: entry.life.may_recur(),
            entry,
            listed: Sequence::default(),
            next: None,
            former: FormerLives::default(),
            quarantined_until: 0,
            unlisted_since: None,
            entry_outdated: false,
            inherited: None,
            inherited_until: Millis::MAX,
            sealed: false,
            roster_state: RosterState::Absent,
            roster_state_version: 0,
            fenced: false,
            reported_born: None,
            last_heard: 0,
            max_end_delay: Millis::MAX,
            last_poll: Sequence::default(),
            last_answer: Sequence::default(),
            silent_since: None,
            open_polls: Vec::new(),
            is_questioned: false,
            witness_asked_at: None,
            unreached_at: None,
            unreached_noted: Sequence::default(),
            leaving_since: None,
            clock: None,
            lease_end: 0,
            long_lease_until: 0,
            lists_long_lease: false,
            parked: false,
            unparked_at: 0,
            runs: Vec::new(),
            used: Demand::default(),
            filler_millicores: 0,
            serving: 0,
            fillers: 0,
            trials: 0,
            suspected: false,
            accepted_end: 0,
            accepted_beyond: BTreeSet::new(),
            recorded_end: 0,
            forgotten_end: 0,
            forget_deferred: false,
            holds_ends: false,
            held_end: 0,
            more_ends: false,
            listed_whole: false,
            unread_jobs: BTreeSet::new(),
            has_unread_runs: false,
            unknown_runs: 0,
            health: Health::default(),
        }
    }

    /// Creates the life that follows `former`, without the state that ended with that life.
    ///
    /// What belongs to the id rather than to the life carries over.  The roster names workers by
    /// id, so its entry covers the new life until it is recorded again.  `sealed` stays set, since
    /// a successor that was told so relies on no more being started here.
    pub fn next_life(former: &Self, born: Option<Millis>, now: Millis) -> Self {
        let mut next = Self::new(former.entry.clone());
        next.unlisted_since = former.unlisted_since;
        next.next.clone_from(&former.next);
        next.switch_to_life(born, now);
        next.roster_state = former.roster_state;
        next.roster_state_version = former.roster_state_version;
        if !former.fenced {
            // What an earlier owner left is only still relevant if `former` never answered this
            // owner: otherwise it has ended, and this owner may have used the worker since.
            next.inherited.clone_from(&former.inherited);
            next.inherited_until = former.inherited_until;
        }
        next.sealed = former.sealed;
        next.set_former_lives(former.former.with(&former.entry.life, now), now);
        next
    }

    /// Returns whether no state depends on this life yet.  A life that has replaced another one may
    /// have listed ends before it has answered under its own epoch.
    pub fn is_pristine(&self) -> bool {
        let has_listed =
            self.accepted_end > 0 || !self.accepted_beyond.is_empty() || self.holds_ends;
        !self.fenced && !has_listed && self.runs.is_empty()
    }

    /// Returns whether an answer that reports `born` as the start time comes from another life.  A
    /// process either always reports its start time or never does, so one that changes this is
    /// another process; the runs that it lists are carried over in either case.
    pub fn is_different_life(&self, born: Option<Millis>) -> bool {
        if self.fenced {
            return self.reported_born != born;
        }
        self.entry.life.differs_from(born)
    }

    /// Records that this life has answered with `born` as its start time.
    pub fn confirm_life(&mut self, born: Option<Millis>) {
        self.reported_born = born;
        self.may_have_long_lease |= born.is_some() && !self.entry.life.may_recur();
        self.entry.life.born = born.or(self.entry.life.born);
    }

    /// Makes this the life that started at `born`.  Its room, labels and address come from its own
    /// entry; if that has not been read yet, no task is placed here until it has been.
    pub fn switch_to_life(&mut self, born: Option<Millis>, now: Millis) {
        let entry = self.next.take().map(|next| next.entry);
        match entry.filter(|entry| entry.life.born == born) {
            Some(entry) => self.entry = entry,
            None => {
                self.entry.life.born = born;
                self.entry.leaving = None;
                self.entry_outdated = true;
            }
        }
        self.may_have_long_lease = self.entry.life.may_recur();
        self.leaving_since = self.entry.leaving.map(|_| now);
    }

    /// Sets the lives before this one.  If this one shares its epoch with a former life, or two
    /// workers have this id, no task is placed here until orders meant for former lives have
    /// expired.
    pub fn set_former_lives(&mut self, former: FormerLives, now: Millis) {
        if former.epochs_are_exhausted() || former.were_superseded(self.entry.life.born) {
            self.quarantined_until = now + FormerLives::RELEVANT_FOR;
        }
        self.former = former;
    }

    /// Returns the address for the next call: that of the listed next life, unless the last call
    /// there was not answered.
    pub fn address(&self) -> SocketAddr {
        match &self.next {
            Some(next) if !next.is_passed_over => next.entry.address,
            _ => self.entry.address,
        }
    }

    /// Returns which ends the next poll may tell it to forget.
    ///
    /// Another life would forget ends that nobody has read.  So this life must have answered within
    /// `MIN_RESTART_TIME`, less time than a restart takes.  If it has not, one poll without ends to
    /// forget is sent first; a second one is not, or an owner that is slow itself would never get
    /// to forget any.
    pub fn next_forget(&self, now: Millis) -> NextForget {
        if self.recorded_end == self.forgotten_end || self.has_uncertain_life() {
            NextForget::Nothing
        } else if now.saturating_sub(self.last_heard) < tuning::MIN_RESTART_TIME
            || self.forget_deferred
        {
            NextForget::UpTo(self.recorded_end)
        } else {
            NextForget::Deferred
        }
    }

    /// Returns whether another life may answer the next call.
    pub fn has_uncertain_life(&self) -> bool {
        self.is_silent() || self.next.is_some()
    }

    /// Returns whether the last call was not answered.
    pub fn is_silent(&self) -> bool {
        self.silent_since.is_some()
    }

    /// Records that a call was not answered; the next one goes to the other address, if there are
    /// two.
    pub fn mark_silent(&mut self, now: Millis) {
        if let Some(next) = &mut self.next {
            next.is_passed_over = !next.is_passed_over;
        }
        self.silent_since.get_or_insert(now);
    }

    /// Records that the end of this number is being accepted; returns false if it already was.
    pub fn accept_end(&mut self, number: u64) -> bool {
        number > self.accepted_end && self.accepted_beyond.insert(number)
    }

    /// Records that all ends up to this number have been accepted.
    pub fn accept_ends_up_to(&mut self, number: u64) {
        self.accepted_end = self.accepted_end.max(number);
        let accepted_end = self.accepted_end;
        self.accepted_beyond.retain(|&end| end > accepted_end);
    }

    /// Clears what is known from its last list: a later list replaces it, or its lease has run out.
    pub fn clear_listed_state(&mut self) {
        self.unknown_runs = 0;
        self.unread_jobs.clear();
        self.has_unread_runs = false;
        self.holds_ends = false;
        self.more_ends = false;
    }

    /// Returns whether it has runs, or runs or ends that it has listed and that are not taken in yet.
    pub fn holds_listed_work(&self) -> bool {
        let holds_ends = self.holds_ends || self.more_ends;
        !self.runs.is_empty()
            || self.unknown_runs > 0
            || !self.unread_jobs.is_empty()
            || self.has_unread_runs
            || holds_ends
    }

    /// Returns whether it lists, or may list, ends that are not recorded: a successor can learn of
    /// them from this worker only.
    pub fn has_unrecorded_ends(&self) -> bool {
        self.holds_ends || self.more_ends || self.accepted_end > self.recorded_end
    }

    /// Returns whether tasks may have been started here, or on a later life of the id, that this
    /// owner does not know of: by a former owner, whose last orders arrive before
    /// `former_orders_end`, or of jobs that could not be read yet.
    pub fn may_have_unknown_starts(&self, former_orders_end: Millis) -> bool {
        self.has_unread_runs || self.may_have_late_starts(former_orders_end)
    }

    /// Returns whether a former owner's start may have been carried out here, or by a later life
    /// of the id that no poll has reached.  This life refuses it once it has answered, but a later
    /// one does not.
    pub fn may_have_late_starts(&self, former_orders_end: Millis) -> bool {
        let is_past = !self.entry.life.may_recur() || self.last_heard >= former_orders_end;
        self.inherited.is_some() && !(self.fenced && is_past)
    }

    /// Returns whether a successor must know of this worker: something runs here or may soon be
    /// started, or an end is not recorded.
    pub fn may_hold_work(&self, now: Millis) -> bool {
        let empty = self.runs.is_empty() && self.unknown_runs == 0 && !self.has_unrecorded_ends();
        let lost = self.is_silent() && now > self.lease_end;
        !(empty && (self.entry.leaving.is_some() || lost))
    }

    /// Returns whether nothing runs here, all ends are recorded and forgotten, and the worker's
    /// state is not in doubt: a successor that does not know of it misses nothing.
    pub fn is_idle(&self) -> bool {
        let is_empty =
            self.runs.is_empty() && self.unknown_runs == 0 && self.unread_jobs.is_empty();
        let is_recorded = !self.has_unrecorded_ends() && self.forgotten_end == self.recorded_end;
        let is_sound =
            !self.has_uncertain_life() && !self.entry_outdated && !self.suspected && !self.sealed;
        let stays = self.unlisted_since.is_none() && self.entry.leaving.is_none();
        is_empty && is_recorded && is_sound && stays
    }

    /// Adds a run and takes up its room.
    pub fn hold(&mut self, run: RunKey, step: &Step, is_trial: bool) {
        self.used.add(&step.room());
        self.serving += u32::from(step.serves());
        self.trials += u32::from(is_trial);
        if step.filler {
            self.fillers += 1;
            self.filler_millicores += step.demand.millicores;
        }
        self.runs.push(run);
    }

    /// Removes a run and gives its room back.
    pub fn release(&mut self, run: RunKey, step: &Step, is_trial: bool) {
        self.used = self.used.minus(&step.room());
        self.serving -= u32::from(step.serves());
        self.trials -= u32::from(is_trial);
        if step.filler {
            self.fillers -= 1;
            self.filler_millicores -= step.demand.millicores;
        }
        self.runs.retain(|&other| other != run);
    }

    /// Returns the free room.  If more of any one resource is in use than there is, by a late start
    /// or because the worker's room has shrunk, no resource counts as free.
    pub fn free(&self) -> Demand {
        if !self.used.fits(&self.entry.capacity) {
            return Demand::default();
        }
        self.entry.capacity.minus(&self.used)
    }

    /// Estimates the worker's clock at `now` from its last reading.  But for drift the estimate is
    /// never ahead of the clock, since the reading was older than its arrival.
    pub fn clock_at(&self, now: Millis) -> Option<Millis> {
        let (reading, at) = self.clock?;
        Some(reading + now.saturating_sub(at))
    }

    /// Returns whether its clock was read recently enough to give a lease by it, at most `LEASE`
    /// ago: what a clock may have lost since must fit into `LEASE_MARGIN`, and after a lease
    /// without renewal nothing runs here anyway.
    pub fn has_recent_clock(&self, now: Millis) -> bool {
        let is_recent = |(_, at): (Millis, Millis)| now.saturating_sub(at) <= tuning::LEASE;
        self.clock.is_some_and(is_recent)
    }

    /// Records that an order with a lease of `lease` milliseconds is sent at `now`.  The worker's
    /// clock may be slow, so the lease may last longer by the owner's clock.
    pub fn extend_lease(&mut self, now: Millis, lease: Millis) {
        let longest =
            lease + lease * tuning::MAX_CLOCK_DRIFT_PERMILLE / 1_000 + tuning::LEASE_MARGIN;
        self.lease_end = self.lease_end.max(now + longest);
    }

    /// Returns whether it has answered so recently that a crash right after a start is hardly a
    /// coincidence.  Trials are few, so a longer time is allowed for them.
    pub fn was_heard_recently(&self, is_trial: bool, now: Millis) -> bool {
        let limit = if is_trial {
            tuning::FRESH_START_AGE
        } else {
            tuning::RECENTLY_HEARD
        };
        now.saturating_sub(self.last_heard) <= limit
    }

    /// Assumes the longest lease, which an order meant for the clock of another life may have
    /// given.  Later runs are under that lease as well, so the roster tells a successor of it even
    /// while nothing runs.
    pub fn assume_longest_lease(&mut self, now: Millis) {
        self.extend_lease(now, tuning::MAX_LEASE);
        if self.former.epochs_are_exhausted() {
            // This life does not refuse such orders, so a late one can still give that lease.
            self.lease_end = self.lease_end.max(now + FormerLives::RELEVANT_FOR);
        }
        self.may_have_long_lease = true;
        self.long_lease_until = self.lease_end;
    }

    /// Rules out the longest lease once it is over: since its first answer under this owner's epoch
    /// the life refuses what could give one.
    pub fn end_long_lease(&mut self, now: Millis) {
        self.may_have_long_lease &= !self.fenced || now < self.long_lease_until;
    }

    /// Returns whether the platform has not listed it for more than `GONE_AFTER`.  It then counts
    /// as gone even if it still answers, since some workers leave without notice.
    pub fn is_gone(&self, now: Millis) -> bool {
        let unlisted = self.unlisted_since;
        unlisted.is_some_and(|since| now.saturating_sub(since) > tuning::GONE_AFTER)
    }

    /// Returns whether the state of the worker allows new tasks to be placed on it.
    pub fn takes_work(&self, now: Millis) -> bool {
        self.fenced
            && !self.parked
            && !self.sealed
            && !self.entry_outdated
            && !self.has_uncertain_life()
            && self.quarantined_until <= now
            && self.clock.is_some()
            && self.entry.leaving.is_none()
            && !self.is_gone(now)
            && self.unknown_runs == 0
            && self.health.shunned_until <= now
            && now.saturating_sub(self.last_heard) < tuning::STALE_AFTER
    }

    /// Returns whether the worker belongs to `service` and has the label that `step` requires.
    pub fn allows(&self, step: &Step, service: &str) -> bool {
        if self.entry.service != service {
            return false;
        }
        match &step.label {
            Some(label) => self.entry.labels.contains(label),
            None => true,
        }
    }

    /// Returns how many more tasks of `step` fit beside the runs that are here, `here` of which are
    /// tasks of that step.
    pub fn fit(&self, step: &Step, here: u32) -> u32 {
        if step.filler && self.serving > 0 {
            return 0;
        }
        if step.serves() && self.fillers > 0 {
            return 0;
        }
        let mut fit = self.free().times(&step.room());
        if step.filler {
            fit = fit.min(self.filler_room(step));
        }
        if step.per_worker > 0 {
            fit = fit.min(step.per_worker.saturating_sub(here));
        }
        if self.health.on_trial {
            fit = fit.min(u32::from(self.runs.is_empty()));
        }
        fit
    }

    /// Returns how many more fillers of `step` would find processors that no other run asks for.
    fn filler_room(&self, step: &Step) -> u32 {
        let others = Demand {
            millicores: self.filler_millicores,
            ..Demand::default()
        };
        let wanted = Demand {
            millicores: step.demand.millicores,
            ..Demand::default()
        };
        self.free().minus(&others).times(&wanted)
    }
}
