//! The limit for answers of the store follows the answers that come.

use crossweir::node::patience::{LEAST, MOST, Patience};

#[test]
fn a_fast_store_is_given_up_on_soon() {
    let mut patience = Patience::default();
    for _ in 0..20 {
        patience.answered(7, 0);
    }
    assert_eq!(patience.limit(), LEAST);
}

#[test]
fn a_store_that_turned_slow_is_waited_for_after_a_few_tries() {
    let mut patience = Patience::default();
    for _ in 0..20 {
        patience.answered(7, 0);
    }
    let tries = (0..).take_while(|_| {
        let short = patience.limit() < 700;
        if short {
            patience.gave_up();
        }
        short
    });
    assert_eq!(tries.count(), 2, "200, 400 and then 800 ms");
    patience.answered(700, 0);
    assert_eq!(patience.limit(), MOST);
}

#[test]
fn single_lost_replies_raise_the_limit_only_for_a_while() {
    let mut patience = Patience::default();
    for _ in 0..40 {
        patience.answered(7, 0);
        patience.answered(7, 0);
        patience.answered(7, 0);
        patience.answered(7, 0);
        patience.gave_up();
        assert!(patience.limit() <= 4 * LEAST);
    }
}

#[test]
fn a_store_that_says_nothing_is_slow_before_its_first_late_answer() {
    let mut patience = Patience::default();
    patience.sent(1_000);
    patience.answered(7, 1_007);
    patience.over();
    assert!(!patience.is_slow(5_000), "nothing is on its way");

    patience.sent(5_000);

    assert!(!patience.is_slow(5_050));
    assert!(patience.is_slow(5_150));
}

#[test]
fn a_store_that_answers_others_is_not_slow_for_one_lost_reply() {
    let mut patience = Patience::default();
    patience.sent(1_000);
    for now in (1_050..2_000).step_by(50) {
        patience.sent(now);
        patience.answered(7, now + 7);
        patience.over();
        assert!(!patience.is_slow(now + 40));
    }
}
