//! The pause between scheduling rounds, which leaves the owner time to carry out their orders.

use std::time::Duration;

use crossweir::node::pace;
use yare::parameterized;

/// Guards against an owner that spends almost half of its time on scheduling rounds during a burst
/// of urgent jobs, so that too few of their orders are carried out.
#[test]
fn rounds_take_at_most_a_quarter_of_the_time() {
    for round in [1, 3, 12].map(Duration::from_millis) {
        let pause = pace::pause_after(round);

        let share = round.as_secs_f64() / (round + pause).as_secs_f64();
        assert!(share <= 0.25, "{share:.2} of the time, {round:?} a round");
    }
}

/// Guards against a single long round, as after a stall of the process, being followed by a pause
/// that delays urgent jobs.
#[parameterized(
    long = { 40 },
    of_a_process_that_stood_still = { 200 },
)]
fn a_long_round_is_followed_by_no_longer_pause(round_ms: u64) {
    let round = Duration::from_millis(round_ms);

    let pause = pace::pause_after(round);

    assert!(pause <= round, "{pause:?}");
    assert!(pause >= round.min(pace::MAX_PAUSE), "{pause:?}");
}
