//! How many starts are in flight at a time.
//!
//! An owner that orders more starts than its link and its processor carry fills its own queues.  More
//! urgent tasks cannot overtake there, answers come after their time limits, and what is repeated
//! because of that fills the queues further.  So a window limits the starts that are sent and not
//! answered; whatever is decided beyond it stays in the order of decisions.  The window follows the
//! time that starts take: it grows by steps while answers come quickly, and is halved, once a round
//! trip at most, when they come late ("Pacing" in `docs/DESIGN.md`).

use std::collections::BTreeMap;

use crate::cell::order::{Refusal, StartOutcome};
use crate::cell::{Cell, RunKey, tuning};
use crate::clock::Millis;

/// The starts in flight, and how many there may be.
#[derive(Debug)]
pub(super) struct StartPace {
    /// When each start was sent whose outcome is not known.
    sent: BTreeMap<RunKey, Millis>,
    /// How many of them may still be on their way.
    in_flight: usize,
    /// The most starts that may be in flight.
    window: f64,
    /// The latest time at which a start was sent that was answered since.
    answered_sent: Millis,
    /// When the window was last halved.
    halved_at: Millis,
    times: LowestTimes,
    /// Tasks wait because too many starts are in flight.
    holds_back: bool,
    /// When tasks were last held back; none if they never were.
    held_back_at: Option<Millis>,
    /// How many rounds could send starts while the owner was the limit.
    held_back_rounds: u32,
    rate: StartRate,
}

impl Default for StartPace {
    fn default() -> Self {
        Self {
            sent: BTreeMap::new(),
            in_flight: 0,
            window: tuning::FIRST_START_WINDOW,
            answered_sent: 0,
            halved_at: 0,
            times: LowestTimes::default(),
            holds_back: false,
            held_back_at: None,
            held_back_rounds: 0,
            rate: StartRate::default(),
        }
    }
}

impl StartPace {
    /// Notes that a start is sent.
    pub(super) fn note_sent(&mut self, run: RunKey, now: Millis) {
        self.sent.insert(run, now);
        self.in_flight += 1;
        self.rate.sent_since += 1;
    }

    /// Notes that a start was answered at `now`, whatever the answer is.
    pub(super) fn note_answered(&mut self, run: RunKey, now: Millis) {
        let is_in_use = self.in_flight as f64 * 2.0 >= self.window;
        let Some(sent) = self.sent.remove(&run) else {
            return;
        };
        self.answered_sent = self.answered_sent.max(sent);
        let time = now.saturating_sub(sent);
        let delay = time.saturating_sub(self.times.note(time, now));
        if delay > tuning::SLOW_START_DELAY {
            self.shrink(sent, now);
        } else if delay <= tuning::QUICK_START_DELAY && is_in_use {
            let window = self.window + tuning::START_WINDOW_STEP / self.window;
            self.window = window.min(tuning::MAX_START_WINDOW);
        }
    }

    /// Notes that a start was not answered in time.  If one that was sent well after it was answered,
    /// our own link and processor have carried it, and only its worker is silent.
    pub(super) fn note_unanswered(&mut self, run: RunKey, now: Millis) {
        let Some(sent) = self.sent.remove(&run) else {
            return;
        };
        if !self.is_overtaken(sent) {
            self.shrink(sent, now);
        }
    }

    /// Notes that a start was not sent, which tells nothing of the time that starts take.
    pub(super) fn note_not_sent(&mut self, run: RunKey) {
        self.sent.remove(&run);
    }

    /// Halves the window, unless that was done after this start was sent: what the smaller window
    /// brings is not known yet.
    fn shrink(&mut self, sent: Millis, now: Millis) {
        if sent < self.halved_at {
            return;
        }
        self.halved_at = now;
        self.window = (self.window / 2.0).max(tuning::MIN_START_WINDOW);
    }

    /// Returns whether a start that was sent well after this time was answered.
    fn is_overtaken(&self, sent: Millis) -> bool {
        sent + tuning::START_OVERTAKEN_AFTER < self.answered_sent
    }

    /// Counts the starts that may still be on their way, and forgets those that are no longer valid.
    /// Those that others have overtaken wait for their workers alone.
    fn recount(&mut self, now: Millis) {
        self.sent
            .retain(|_, sent| now <= *sent + tuning::START_VALIDITY);
        let in_flight = self.sent.values().filter(|sent| !self.is_overtaken(**sent));
        self.in_flight = in_flight.count();
    }

    /// How many starts may be in flight.
    fn window(&self) -> usize {
        self.window as usize
    }

    /// Returns whether starts were held back of late, so that the owner is the limit of its cell and
    /// not the room on the workers.
    fn is_limit(&self, now: Millis) -> bool {
        let held_back = self.held_back_at;
        held_back.is_some_and(|at| now.saturating_sub(at) < tuning::HELD_BACK_FOR)
    }
}

/// How many starts are sent while others are held back.  Other times say nothing of what the owner
/// carries.
#[derive(Debug, Default)]
struct StartRate {
    /// When the last round began, and how many starts were sent since.
    round_began: Millis,
    sent_since: u32,
    /// For how long starts were held back in this period, and how many were sent then.
    held_back: Millis,
    sent: u32,
    /// The starts a second in the last period.
    last: Option<u32>,
}

impl StartRate {
    /// Notes that another round begins; `is_held_back` says whether starts were held back since the
    /// last one.  If that was long ago, this process stood still, which says nothing of its link.
    fn begin_round(&mut self, is_held_back: bool, now: Millis) {
        let took = now.saturating_sub(self.round_began);
        if is_held_back && took <= tuning::MAX_COUNTED_ROUND {
            self.held_back += took;
            self.sent += self.sent_since;
        }
        self.round_began = now;
        self.sent_since = 0;
        if self.held_back >= tuning::START_RATE_PERIOD {
            self.last = Some((u64::from(self.sent) * 1_000 / self.held_back) as u32);
            self.held_back = 0;
            self.sent = 0;
        }
    }
}

/// The lowest time of a start of late, in milliseconds.
#[derive(Debug)]
struct LowestTimes {
    began: Millis,
    /// Those of this period and of the one before.
    lowest: [Millis; 2],
}

impl Default for LowestTimes {
    fn default() -> Self {
        Self {
            began: 0,
            lowest: [Millis::MAX; 2],
        }
    }
}

impl LowestTimes {
    /// Notes the time of a start, and returns the lowest one.
    fn note(&mut self, time: Millis, now: Millis) -> Millis {
        if now.saturating_sub(self.began) >= tuning::LOWEST_TIME_PERIOD {
            self.began = now;
            self.lowest = [Millis::MAX, self.lowest[0]];
        }
        self.lowest[0] = self.lowest[0].min(time);
        self.lowest[0].min(self.lowest[1])
    }
}

impl Cell {
    /// How many starts are in flight.
    pub fn starts_in_flight(&self) -> usize {
        self.start_pace.in_flight
    }

    /// The most starts that may be in flight at present.
    pub fn start_window(&self) -> usize {
        self.start_pace.window()
    }

    /// Returns whether no further start should be sent until others are answered.
    pub(super) fn is_start_window_full(&self) -> bool {
        self.start_pace.in_flight >= self.start_pace.window()
    }

    /// Notes the outcome of a start for the window.
    pub(super) fn note_start_outcome(&mut self, run: RunKey, outcome: StartOutcome, now: Millis) {
        let pace = &mut self.start_pace;
        match outcome {
            StartOutcome::Unanswered => pace.note_unanswered(run, now),
            StartOutcome::Refused(Refusal::NotSent | Refusal::Busy) => pace.note_not_sent(run),
            StartOutcome::Started | StartOutcome::Refused(_) => pace.note_answered(run, now),
        }
        pace.recount(now);
    }

    /// Notes that tasks wait because too many starts are in flight.
    pub(super) fn note_start_held_back(&mut self, now: Millis) {
        self.start_pace.holds_back = true;
        self.start_pace.held_back_at = Some(now);
    }

    /// Returns whether the owner, and not room, is what tasks wait for.
    pub(super) fn is_owner_the_limit(&self, now: Millis) -> bool {
        self.start_pace.is_limit(now)
    }

    /// How many starts a second the owner carries, one at least; none while it holds nothing back.
    pub(super) fn start_rate(&self, now: Millis) -> Option<u32> {
        let pace = &self.start_pace;
        let rate = pace.rate.last.filter(|_| pace.is_limit(now))?;
        Some(rate.max(1))
    }

    /// Returns whether jobs that are late already go first in a round of an owner that is the limit:
    /// in one of [`tuning::LATE_ROUNDS`] that can send starts.
    pub(super) fn is_round_for_late_jobs(&mut self) -> bool {
        if self.is_start_window_full() {
            return false;
        }
        let pace = &mut self.start_pace;
        pace.held_back_rounds += 1;
        pace.held_back_rounds.is_multiple_of(tuning::LATE_ROUNDS)
    }

    /// Returns whether tasks that were held back can start: half of the window is free.  With a round
    /// for each single answer, the owner would do little else.
    pub fn has_room_for_held_starts(&self) -> bool {
        let pace = &self.start_pace;
        pace.holds_back && pace.in_flight * 2 <= pace.window()
    }

    /// How many more starts may be planned over all jobs.
    pub(super) fn planned_starts_within_window(&self) -> usize {
        let most = tuning::PLANNED_START_WINDOWS * self.start_pace.window();
        most.saturating_sub(self.planned.len())
    }

    /// Forgets that tasks were held back, as a new scheduling round begins.
    pub(super) fn begin_start_round(&mut self, now: Millis) {
        let pace = &mut self.start_pace;
        if !pace.is_limit(now) {
            // What the owner carried in an earlier overload may not be what it carries in the next.
            pace.rate = StartRate::default();
        }
        pace.rate.begin_round(pace.holds_back, now);
        pace.holds_back = false;
        pace.recount(now);
    }
}
