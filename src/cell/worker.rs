//! What the owner of a cell knows of one worker.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::cell::life::{FormerLives, Life, NextLife};
use crate::cell::roster::{InheritedWork, RosterState};
use crate::cell::sequence::Sequence;
use crate::cell::spec::{Demand, JobId, Step};
use crate::cell::{RunKey, tuning};
use crate::clock::Millis;

/// One life of a worker as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// The life that wrote it.
    #[serde(flatten)]
    pub life: Life,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The machine, which outlives the life.
    pub machine: String,
    /// The service whose tasks it runs.
    pub service: String,
    /// The data hall.
    pub hall: String,
    /// All of its room.
    pub capacity: Demand,
    /// Its labels, the rack's among them.
    pub labels: Vec<String>,
    /// Its rack, if it tells one.
    pub rack: Option<String>,
    /// Set if it will leave: at least so many milliseconds remain, if it said how many.
    pub leaving: Option<Millis>,
}

/// Which ends a look makes a worker forget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextForget {
    /// None: there are none, or another life may answer.
    Nothing,
    /// None, so that its answer shows which life is there; the next look may.
    Deferred,
    /// Those up to this number.
    UpTo(u64),
}

/// How far a worker's results can be trusted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// Runs that failed since the last one that ended well.
    pub failures: u32,
    /// Nothing is placed there before.
    pub shunned_until: Millis,
    /// After a pause only one task is tried, until it ends well.
    pub on_trial: bool,
}

/// One worker of the cell.
#[derive(Debug)]
pub struct Worker {
    /// What the platform lists.
    pub entry: WorkerEntry,
    /// When this life became known: an answer to a later look comes from one that began no earlier.
    pub listed: Sequence,
    /// Another life of this id that the platform lists, and that has not answered yet.
    pub next: Option<NextLife>,
    /// The lives before this one.
    pub former: FormerLives,
    /// Nothing is placed there before: orders to a former life cannot be told from orders to this one.
    pub quarantined_until: Millis,
    /// Since when the platform does not list it any more; none while it does.
    pub unlisted_since: Option<Millis>,
    /// Its newest entry could not be read, so nothing is placed there until one can.
    pub entry_outdated: bool,
    /// What a former owner may have left there, if it may have used it.
    pub inherited: Option<InheritedWork>,
    /// By our clock, when what a former owner may have left there is over at the latest.
    pub inherited_until: Millis,
    /// A successor was told how long something may still run there, so no lease is renewed.
    pub sealed: bool,
    /// How it stands in the roster.
    pub roster_state: RosterState,
    /// The version of the roster since which it stands there so.
    pub roster_state_version: u64,
    /// It has answered under our epoch, so predecessors' orders are refused there.
    pub fenced: bool,
    /// When it said to have started, if it has answered under our epoch.
    reported_born: Option<Millis>,
    /// When it last answered.
    pub heard: Millis,
    /// The latest look whose list was taken in: looks may overtake each other.
    pub look_sent: Sequence,
    /// When a list was last taken in: one whose look was sent before may be older.
    pub list_heard: Sequence,
    /// Since when calls bring no answer; none if the last one did.
    pub silent_since: Option<Millis>,
    /// When it said that it leaves.
    pub leaving_since: Option<Millis>,
    /// A reading of its clock, and when that arrived.
    pub clock: Option<(Millis, Millis)>,
    /// By our clock, when everything that runs there must have ended unless the lease is renewed.
    pub lease_end: Millis,
    /// Until then something may run there under a lease that was meant for another clock.
    pub long_lease_until: Millis,
    /// That stands so in the roster.
    pub has_long_lease: bool,
    /// It is idle and beyond the reserve, so it is neither looked at nor used.
    pub parked: bool,
    /// When it was parked no longer; zero if it never was.
    pub unparked_at: Millis,
    /// All runs that may take room there.
    pub runs: Vec<RunKey>,
    /// The room that they take.
    pub used: Demand,
    /// Processors that fillers would like to use, in millicores.
    pub filler_millicores: u64,
    /// How many of the runs serve users of their own.
    pub serving: u32,
    /// How many of the runs are fillers.
    pub fillers: u32,
    /// How many of the runs are tried by themselves: nothing is started beside them.
    pub trials: u32,
    /// It is silent, and what may have crashed it is noted.
    pub suspected: bool,
    /// The number up to which all ends were taken in.
    pub seen_end: u64,
    /// Ends beyond that which were taken in as well.
    taken_ends: BTreeSet<u64>,
    /// The number of the last end that is recorded, so the worker may forget it.
    pub recorded_end: u64,
    /// The number up to which it has been told to forget them, by a look that it has answered.
    pub forgotten_end: u64,
    /// It is looked at once more before it may forget any.
    pub forget_deferred: bool,
    /// It lists ends of jobs that could not be read yet.
    pub holds_ends: bool,
    /// The number of the end that was last found to wait for its job.
    pub held_end: u64,
    /// It may have more ends than it has listed.
    pub more_ends: bool,
    /// It has listed everything to us once, all of jobs that are known: a full list hides
    /// nothing any more but ends of our own runs.
    pub listed_whole: bool,
    /// Jobs that could not be read yet and of which it listed runs or ends when it was last
    /// looked at.
    pub unread_jobs: BTreeSet<JobId>,
    /// It lists runs of such jobs.
    pub has_unread_runs: bool,
    /// Runs that it lists and that are none of ours; they are being stopped.
    pub unknown_runs: usize,
    /// How far its results can be trusted.
    pub health: Health,
}

impl Worker {
    /// Makes a worker of which nothing but its entry is known.
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
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
            heard: 0,
            look_sent: Sequence::default(),
            list_heard: Sequence::default(),
            silent_since: None,
            leaving_since: None,
            clock: None,
            lease_end: 0,
            long_lease_until: 0,
            has_long_lease: false,
            parked: false,
            unparked_at: 0,
            runs: Vec::new(),
            used: Demand::default(),
            filler_millicores: 0,
            serving: 0,
            fillers: 0,
            trials: 0,
            suspected: false,
            seen_end: 0,
            taken_ends: BTreeSet::new(),
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

    /// Makes the life that follows on `former`: all that rests on a life begins anew.
    ///
    /// The roster names workers by id, so it covers the new life until it is recorded anew.  A
    /// successor that was told that nothing more is done here may rely on it.
    pub fn next_life(former: &Self, born: Option<Millis>, now: Millis) -> Self {
        let mut next = Self::new(former.entry.clone());
        next.unlisted_since = former.unlisted_since;
        next.next.clone_from(&former.next);
        next.switch_to_life(born, now);
        next.roster_state = former.roster_state;
        next.roster_state_version = former.roster_state_version;
        if !former.fenced {
            // Else what an earlier owner had left there is over, and this one may have used it since.
            next.inherited.clone_from(&former.inherited);
            next.inherited_until = former.inherited_until;
        }
        next.sealed = former.sealed;
        next.set_former_lives(former.former.with(&former.entry.life, now), now);
        next
    }

    /// Tells whether nothing rests on this life yet.  One that has replaced another has already told of
    /// ends, before it has answered under its own epoch.
    pub fn is_pristine(&self) -> bool {
        let has_told = self.seen_end > 0 || !self.taken_ends.is_empty() || self.holds_ends;
        !self.fenced && !has_told && self.runs.is_empty()
    }

    /// Tells whether an answer by which it has started at `born` is another life's.  A process does
    /// not begin or cease to tell, so one that does is another one; what it lists goes on anyway.
    pub fn is_different_life(&self, born: Option<Millis>) -> bool {
        if self.fenced {
            return self.reported_born != born;
        }
        self.entry.life.differs_from(born)
    }

    /// It has answered that it started at `born`.
    pub fn confirm_life(&mut self, born: Option<Millis>) {
        self.reported_born = born;
        self.entry.life.born = born.or(self.entry.life.born);
    }

    /// This is the life that started at `born`.  Its room, labels and address are those of its
    /// entry; until that is read nothing is placed there.
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
        self.leaving_since = self.entry.leaving.map(|_| now);
    }

    /// Other lives came before this one.
    pub fn set_former_lives(&mut self, former: FormerLives, now: Millis) {
        if former.epochs_are_exhausted() || former.were_superseded(self.entry.life.born) {
            self.quarantined_until = now + FormerLives::RELEVANT_FOR;
        }
        self.former = former;
    }

    /// Where it is looked at.
    pub fn address(&self) -> SocketAddr {
        match &self.next {
            Some(next) if !next.is_passed_over => next.entry.address,
            _ => self.entry.address,
        }
    }

    /// Which ends the next look may make it forget.  Another life would forget what nobody has
    /// read, so this one must have been heard more lately than a worker is away that starts again.
    /// One more look is made for that, and no second one by an owner whose turns come late.
    pub fn next_forget(&self, now: Millis) -> NextForget {
        if self.recorded_end == self.forgotten_end || self.has_uncertain_life() {
            NextForget::Nothing
        } else if now.saturating_sub(self.heard) < tuning::MIN_RESTART_TIME || self.forget_deferred
        {
            NextForget::UpTo(self.recorded_end)
        } else {
            NextForget::Deferred
        }
    }

    /// Tells whether another life may answer the next call.
    pub fn has_uncertain_life(&self) -> bool {
        self.is_silent() || self.next.is_some()
    }

    /// Tells whether the last call brought no answer.
    pub fn is_silent(&self) -> bool {
        self.silent_since.is_some()
    }

    /// A call brought no answer.
    pub fn mark_silent(&mut self, now: Millis) {
        if let Some(next) = &mut self.next {
            next.is_passed_over = !next.is_passed_over;
        }
        self.silent_since.get_or_insert(now);
    }

    /// Notes that the end of this number is taken in; false if it was before.
    pub fn accept_end(&mut self, place: u64) -> bool {
        place > self.seen_end && self.taken_ends.insert(place)
    }

    /// All ends up to this number are taken in.
    pub fn accept_ends_up_to(&mut self, place: u64) {
        self.seen_end = self.seen_end.max(place);
        self.taken_ends = self.taken_ends.split_off(&(self.seen_end + 1));
    }

    /// What it listed when it was last looked at counts no more: a later list follows, or its
    /// lease is over.
    pub fn clear_listed_state(&mut self) {
        self.unknown_runs = 0;
        self.unread_jobs.clear();
        self.has_unread_runs = false;
        self.holds_ends = false;
        self.more_ends = false;
    }

    /// Tells whether it lists ends that are not recorded: only this worker can tell a
    /// successor of them.
    pub fn has_unrecorded_ends(&self) -> bool {
        self.holds_ends || self.more_ends || self.seen_end > self.recorded_end
    }

    /// Tells whether tasks may have been started here of which this owner does not know: by a former
    /// one, or of jobs that were not read yet.
    pub fn may_have_unknown_starts(&self) -> bool {
        let is_unheard = !self.fenced && self.inherited.is_some();
        is_unheard || self.has_unread_runs
    }

    /// Tells whether something may run here, or soon may, or has ended and is not recorded: a
    /// successor must know of it.
    pub fn may_hold_work(&self, now: Millis) -> bool {
        let empty = self.runs.is_empty() && self.unknown_runs == 0 && !self.has_unrecorded_ends();
        let lost = self.is_silent() && now > self.lease_end;
        !(empty && (self.entry.leaving.is_some() || lost))
    }

    /// Tells whether nothing runs here and nothing is to be told or found out: a successor that does
    /// not know of it misses nothing.
    pub fn is_idle(&self) -> bool {
        let is_empty =
            self.runs.is_empty() && self.unknown_runs == 0 && self.unread_jobs.is_empty();
        let is_told = !self.has_unrecorded_ends() && self.forgotten_end == self.recorded_end;
        let is_sound =
            !self.has_uncertain_life() && !self.entry_outdated && !self.suspected && !self.sealed;
        let stays = self.unlisted_since.is_none() && self.entry.leaving.is_none();
        is_empty && is_told && is_sound && stays && !self.has_long_lease
    }

    /// A run takes its room here.
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

    /// A run gives its room back.
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

    /// The room that is free: none where too much of one kind is taken, by a late start or since the
    /// room has shrunk, also not of the other kinds.
    pub fn free(&self) -> Demand {
        if !self.used.fits(&self.entry.capacity) {
            return Demand::default();
        }
        self.entry.capacity.minus(&self.used)
    }

    /// Reads the worker's clock as it should stand now; never ahead of it but for drift.
    pub fn clock_at(&self, now: Millis) -> Option<Millis> {
        let (reading, at) = self.clock?;
        Some(reading + now.saturating_sub(at))
    }

    /// Tells whether its clock was read so lately that a lease may be given by it: what a clock
    /// may have lost since must fit into `LEASE_MARGIN`, and after a lease nothing runs there.
    pub fn has_recent_clock(&self, now: Millis) -> bool {
        let late = |(_, at): (Millis, Millis)| now.saturating_sub(at) <= tuning::LEASE;
        self.clock.is_some_and(late)
    }

    /// Notes that an order with a lease of `lease` is sent now.
    pub fn extend_lease(&mut self, now: Millis, lease: Millis) {
        let longest =
            lease + lease * tuning::MAX_CLOCK_DRIFT_PERMILLE / 1_000 + tuning::LEASE_MARGIN;
        self.lease_end = self.lease_end.max(now + longest);
    }

    /// Tells whether it lived so lately that a crash just now is hardly a chance.  Trials are few, so for
    /// those a longer time will do.
    pub fn was_heard_recently(&self, is_trial: bool, now: Millis) -> bool {
        let lately = if is_trial {
            tuning::FRESH_START_AGE
        } else {
            tuning::RECENTLY_HEARD
        };
        now.saturating_sub(self.heard) <= lately
    }

    /// An order that was meant for another clock may have given it the longest lease.  What it is given
    /// later runs under that lease as well, so a successor is told of it also while nothing runs.
    pub fn assume_longest_lease(&mut self, now: Millis) {
        self.extend_lease(now, tuning::MAX_LEASE);
        self.long_lease_until = self.lease_end;
    }

    /// Tells whether the platform has not listed it for so long that it counts as gone,
    /// though it may still answer: some workers leave without a word.
    pub fn is_gone(&self, now: Millis) -> bool {
        let unlisted = self.unlisted_since;
        unlisted.is_some_and(|since| now.saturating_sub(since) > tuning::GONE_AFTER)
    }

    /// Tells whether new tasks may be placed here at all.
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
            && now.saturating_sub(self.heard) < tuning::STALE_AFTER
    }

    /// Tells whether the worker is one that may run `step` for `service`.
    pub fn allows(&self, step: &Step, service: &str) -> bool {
        if self.entry.service != service {
            return false;
        }
        match &step.label {
            Some(label) => self.entry.labels.contains(label),
            None => true,
        }
    }

    /// Counts how many tasks of `step` fit beside what is there, given `here` of them already.
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

    /// How many more fillers would find processors that nobody else uses.
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
