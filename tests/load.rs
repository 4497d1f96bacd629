//! How a node notices by its wake-up delay that it is overloaded.

use crossweir::node::load::Load;

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
