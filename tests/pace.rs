//! How an owner divides its time between deciding and carrying out.

use std::time::Duration;

use crossweir::node::pace;
use yare::parameterized;

/// An owner in a burst of urgent jobs decided for almost half of its time and carried out too little.
#[test]
fn deciding_takes_no_more_than_a_quarter_of_the_time() {
    for round in [1, 3, 12].map(Duration::from_millis) {
        let pause = pace::pause_after(round);

        let share = round.as_secs_f64() / (round + pause).as_secs_f64();
        assert!(share <= 0.25, "{share:.2} of the time, {round:?} a round");
    }
}

/// A round that once takes long, as after a pause of the process, must not hold up urgent jobs.
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
