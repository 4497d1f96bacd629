//! How a node notices by its wake-up delay that it is overloaded.

use crossweir::cell::tuning;
use crossweir::clock::Millis;
use crossweir::node::load::Load;
use crossweir::node::owner;

#[test]
fn a_node_that_is_late_again_and_again_is_behind_until_it_has_caught_up() {
    let load = Load::new(500);
    for _ in 0..10 {
        load.record_delay(300);
    }
    assert_eq!(load.strength(), 0);

    for _ in 0..10 {
        load.record_delay(0);
    }

    assert_eq!(load.strength(), 500);
}

#[test]
fn a_single_wake_up_delay_does_not_make_a_node_overloaded() {
    let load = Load::new(500);
    load.record_delay(300);
    assert_eq!(load.strength(), 500);
}

/// Guards against an owner whose link is half full before it starts anything.
#[yare::parameterized(
    wide = { 500, 200_000, 100, 750 },
    of_a_large_cell = { 250, 25_000, 100, 750 },
    slow = { 120, 20_000, 100, 360 },
    narrow = { 300, 8_000, 125, 240 },
    narrower = { 120, 2_000, 200, 60 },
    narrowest = { 120, 1, 200, 3 },
)]
fn what_an_owner_sends_at_rest_follows_its_capacity(
    millicores: u32,
    kilobits: u32,
    interval: Millis,
    polls: u64,
) {
    // Arrange.
    let load = Load::new(millicores).with_link(Some(kilobits));

    // Act.
    let rest = (load.watcher_interval(), load.max_idle_polls());

    // Assert.
    assert_eq!(rest, (interval, polls));
}

#[test]
fn an_owner_whose_link_is_not_known_sends_what_is_usual() {
    // Arrange.
    let load = Load::new(500);

    // Act.
    let rest = (load.watcher_interval(), load.max_idle_polls());

    // Assert.
    assert_eq!(
        rest,
        (owner::HEARTBEAT_INTERVAL, tuning::MAX_IDLE_POLLS_PER_SECOND)
    );
}
