//! The timeout for answers of the store, which follows the latency of the answers that arrive.

use crossweir::node::store_latency::{MAX_TIMEOUT, MIN_TIMEOUT, StoreLatency};

#[test]
fn a_fast_store_gets_the_minimum_timeout() {
    let mut latency = StoreLatency::default();
    for _ in 0..20 {
        latency.note_answer(7, 0);
    }
    assert_eq!(latency.timeout(), MIN_TIMEOUT);
}

#[test]
fn after_two_timeouts_the_timeout_covers_the_latency_of_a_slow_store() {
    let mut latency = StoreLatency::default();
    for _ in 0..20 {
        latency.note_answer(7, 0);
    }
    let timeouts = (0..).take_while(|_| {
        let short = latency.timeout() < 700;
        if short {
            latency.note_timeout();
        }
        short
    });
    assert_eq!(timeouts.count(), 2, "200, 400 and then 800 ms");
    latency.note_answer(700, 0);
    assert_eq!(latency.timeout(), MAX_TIMEOUT);
}

#[test]
fn single_lost_replies_raise_the_timeout_only_for_a_while() {
    let mut latency = StoreLatency::default();
    for _ in 0..40 {
        latency.note_answer(7, 0);
        latency.note_answer(7, 0);
        latency.note_answer(7, 0);
        latency.note_answer(7, 0);
        latency.note_timeout();
        assert!(latency.timeout() <= 4 * MIN_TIMEOUT);
    }
}

#[test]
fn a_store_that_says_nothing_is_slow_before_its_first_late_answer() {
    let mut latency = StoreLatency::default();
    latency.note_sent(1_000);
    latency.note_answer(7, 1_007);
    latency.note_finished();
    assert!(!latency.is_slow(5_000), "nothing is in flight");

    latency.note_sent(5_000);

    assert!(!latency.is_slow(5_050));
    assert!(latency.is_slow(5_150));
}

#[test]
fn a_store_that_answers_others_is_not_slow_for_one_lost_reply() {
    let mut latency = StoreLatency::default();
    latency.note_sent(1_000);
    for now in (1_050..2_000).step_by(50) {
        latency.note_sent(now);
        latency.note_answer(7, now + 7);
        latency.note_finished();
        assert!(!latency.is_slow(now + 40));
    }
}
