//! Which lanes to the advice service a question may use.
//!
//! Some are kept for short questions, and while steps are due for a question in turn, some for those.

use crate::cell::Cell;
use crate::cell::advice_plan::{lanes_for_short_questions, lanes_for_turns};

/// How many lanes are in use, and for what.
#[derive(Default)]
struct LaneUse {
    up: usize,
    /// Lanes that are up and carry no question.
    free: usize,
    /// Lanes with a long question.
    long: usize,
    /// Lanes with a question that was asked in turn.
    in_turn: usize,
    /// Lanes that long questions leave to short ones.
    for_short: usize,
    /// Lanes that may carry questions in turn.
    for_turns: usize,
}

impl Cell {
    /// Finds a free lane for a question in the order of decisions.  Long questions leave one of
    /// several usable lanes to short ones, or more if questions are planned.  Both leave some to
    /// steps that are due for a question in turn.
    pub(super) fn free_lane(&self, long: bool) -> Option<usize> {
        let lanes = self.lane_use();
        let kept = self.lanes_kept_for_turns(&lanes);
        if lanes.free <= kept || (long && lanes.long + lanes.for_short + kept >= lanes.up) {
            return None;
        }
        self.first_free_lane()
    }

    /// Finds a free lane for a question in turn.
    pub(super) fn free_lane_in_turn(&self, long: bool) -> Option<usize> {
        let lanes = self.lane_use();
        if lanes.in_turn >= lanes.for_turns || (long && lanes.long + lanes.for_short >= lanes.up) {
            return None;
        }
        self.first_free_lane()
    }

    /// A single lane for long questions serves both kinds alternately.
    fn lanes_kept_for_turns(&self, lanes: &LaneUse) -> usize {
        let must_alternate = lanes.up - lanes.for_short <= 1;
        if !self.turn_waits || (must_alternate && self.last_in_turn) {
            return 0;
        }
        lanes.for_turns.saturating_sub(lanes.in_turn)
    }

    fn lane_use(&self) -> LaneUse {
        let mut lanes = LaneUse::default();
        for lane in self.lanes.iter().filter(|lane| lane.up) {
            lanes.up += 1;
            lanes.free += usize::from(!lane.busy);
            lanes.long += usize::from(lane.busy && lane.long);
            lanes.in_turn += usize::from(lane.busy && lane.in_turn);
        }
        lanes.for_short = match self.options.advice_planning {
            true => lanes_for_short_questions(lanes.up),
            false => usize::from(lanes.up > 1),
        };
        lanes.for_turns = lanes_for_turns(lanes.up - lanes.for_short);
        lanes
    }

    fn first_free_lane(&self) -> Option<usize> {
        self.lanes.iter().position(|lane| lane.up && !lane.busy)
    }
}
