//! The limit for answers of the store follows the answers that come.

use crossweir::node::patience::{LEAST, MOST, Patience};

#[test]
fn a_fast_store_is_given_up_on_soon() {
    let mut patience = Patience::default();
    for _ in 0..20 {
        patience.answered(7);
    }
    assert_eq!(patience.limit(), LEAST);
}

#[test]
fn a_store_that_turned_slow_is_waited_for_after_a_few_tries() {
    let mut patience = Patience::default();
    for _ in 0..20 {
        patience.answered(7);
    }
    let tries = (0..).take_while(|_| {
        let short = patience.limit() < 700;
        if short {
            patience.gave_up();
        }
        short
    });
    assert_eq!(tries.count(), 2, "200, 400 and then 800 ms");
    patience.answered(700);
    assert_eq!(patience.limit(), MOST);
}

#[test]
fn single_lost_replies_raise_the_limit_only_for_a_while() {
    let mut patience = Patience::default();
    for _ in 0..40 {
        patience.answered(7);
        patience.answered(7);
        patience.answered(7);
        patience.answered(7);
        patience.gave_up();
        assert!(patience.limit() <= 4 * LEAST);
    }
}
