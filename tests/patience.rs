//! The timeout for answers of the store, which follows the latency of the answers that arrive.

use crossweir::clock::Millis;
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
            latency.note_timeout(0);
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
        latency.note_timeout(0);
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

/// A slow episode: two timeouts by which the store counts as slow at this time.
fn slow_at(now: Millis) -> StoreLatency {
    let mut latency = StoreLatency::default();
    latency.note_timeout(now);
    latency.note_timeout(now);
    assert!(latency.is_slow(now));
    latency
}

/// Guards against a node whose jobs other nodes write for the rest of its life: it saw no answer
/// itself after a slow episode, so the store stayed slow for it.
#[test]
fn a_store_of_which_a_node_has_seen_nothing_for_long_is_not_slow() {
    // Arrange.
    let mut latency = slow_at(1_000);

    // Act: other nodes write this one's jobs.
    let later = 1_000 + 4 * MAX_TIMEOUT;

    // Assert: it writes one itself, and goes by the answer to that.
    assert!(!latency.is_slow(later));
    latency.note_answer(7, later);
    assert!(!latency.is_slow(later));
}

#[test]
fn a_store_that_is_still_slow_after_a_while_counts_as_slow_again() {
    // Arrange.
    let mut latency = slow_at(1_000);
    let later = 1_000 + 4 * MAX_TIMEOUT;

    // Act.
    latency.note_answer(700, later);

    // Assert.
    assert!(latency.is_slow(later));
}
