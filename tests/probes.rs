//! How often, and how many at a time, workers are probed that do not answer.

use std::collections::BTreeSet;
use std::time::Duration;

use crossweir::cell::WorkerKey;
use crossweir::node::probes::{self, ProbeLimit};
use futures::FutureExt;
use slotmap::SlotMap;

fn workers(count: usize) -> Vec<WorkerKey> {
    let mut workers: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    (0..count).map(|_| workers.insert(())).collect()
}

#[test]
fn a_worker_is_probed_less_and_less_often() {
    for worker in workers(100) {
        // Act.
        let pauses: Vec<Duration> = (1..=10).map(|n| probes::pause_after(n, worker)).collect();

        // Assert: a quarter is the most that jitter takes away.
        let most = [
            20, 250, 500, 1_000, 1_000, 1_000, 1_000, 1_000, 1_000, 1_000,
        ];
        for (pause, most) in pauses.iter().zip(most.map(Duration::from_millis)) {
            assert!(*pause <= most && *pause >= most * 3 / 4, "{pause:?}");
        }
    }
}

/// Guards against probes of all workers at the same moments, after all have fallen silent at once.
#[test]
fn workers_that_fell_silent_together_are_not_probed_together() {
    // Arrange.
    let workers = workers(350);

    // Act.
    let pauses = workers.iter().map(|&worker| probes::pause_after(4, worker));

    // Assert.
    let distinct: BTreeSet<Duration> = pauses.collect();
    assert!(distinct.len() > 30, "{}", distinct.len());
}

/// Guards against a link that is full of probes: 350 silent workers were polled 600 times a second.
#[test]
fn only_some_of_the_silent_workers_are_probed_at_a_time() {
    // Arrange.
    let limit = ProbeLimit::default();
    limit.raise(350);
    limit.raise(300);

    // Act.
    let permits: Vec<_> = (0..350)
        .filter_map(|_| limit.acquire().now_or_never())
        .collect();

    // Assert.
    assert_eq!(permits.len(), 350 / 8);
}

#[test]
fn the_worker_that_has_waited_longest_is_probed_next() {
    // Arrange.
    let limit = ProbeLimit::default();
    let mut permits: Vec<_> = std::iter::from_fn(|| limit.acquire().now_or_never()).collect();
    let mut first = Box::pin(limit.acquire());
    let mut second = Box::pin(limit.acquire());
    assert!((&mut first).now_or_never().is_none());
    assert!((&mut second).now_or_never().is_none());

    // Act.
    permits.pop();

    // Assert.
    assert!((&mut second).now_or_never().is_none());
    assert!((&mut first).now_or_never().is_some());
}
