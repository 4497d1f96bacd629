//! How an owner notices by its calls that its own link is full, and that it is not.

use std::net::SocketAddr;

use crossweir::cell::WorkerKey;
use crossweir::clock::Millis;
use crossweir::node::link_load::{
    CLEAR_WINDOWS, Call, Ending, FULL_WINDOWS, LinkWatch, MEMORY, MIN_WORKERS, Peer, WINDOW,
};
use crossweir::node::load::Load;
use slotmap::KeyData;
use yare::parameterized;

const IN_TIME: Call = Call {
    took: 4,
    wait: 0,
    ending: Ending::Answered,
};
const LATE: Call = Call {
    took: 240,
    ..IN_TIME
};
const UNANSWERED: Call = Call {
    took: 250,
    wait: 0,
    ending: Ending::Unanswered,
};

fn worker(number: usize) -> Peer {
    Peer::Worker(WorkerKey::from(KeyData::from_ffi(
        (1 << 32) + number as u64 + 1,
    )))
}

fn node(number: usize) -> Peer {
    let port = 7_000 + number as u16;
    Peer::Node(SocketAddr::from(([10, 0, 0, 1], port)))
}

/// The calls of one window: to each worker, and to each node.
struct Calls<'a> {
    workers: &'a [(usize, Call)],
    nodes: &'a [(usize, Call)],
}

impl Calls<'_> {
    fn note(&self, watch: &mut LinkWatch, delay: Millis) {
        for (peer, calls) in [
            (worker as fn(usize) -> Peer, self.workers),
            (node, self.nodes),
        ] {
            let each = calls
                .iter()
                .flat_map(|&(count, call)| std::iter::repeat_n(call, count));
            for (number, call) in each.enumerate() {
                watch.note(peer(number), call, delay);
            }
        }
    }
}

/// A watch with its time.
#[derive(Default)]
struct Bench {
    watch: LinkWatch,
    now: Millis,
    is_behind: bool,
    /// How late the node's own turns come.
    delay: Millis,
}

impl Bench {
    /// Plays this many windows with the same calls.
    fn play(&mut self, windows: u32, calls: &Calls<'_>) -> &mut Self {
        for _ in 0..windows {
            calls.note(&mut self.watch, self.delay);
            self.now += WINDOW;
            self.watch.review(self.now, self.is_behind);
        }
        self
    }
}

const GOOD: Calls<'_> = Calls {
    workers: &[(48, IN_TIME)],
    nodes: &[(6, IN_TIME)],
};
const FULL: Calls<'_> = Calls {
    workers: &[(24, LATE), (24, UNANSWERED)],
    nodes: &[(4, LATE), (2, UNANSWERED)],
};

#[test]
fn a_link_on_which_most_calls_are_late_or_lost_is_full() {
    let mut bench = Bench::default();
    bench.play(2, &GOOD).play(FULL_WINDOWS, &FULL);
    assert!(bench.watch.is_full());
}

#[test]
fn a_link_without_answers_from_nodes_is_judged_by_the_workers_that_answer() {
    let calls = Calls {
        workers: &[(40, UNANSWERED), (8, LATE)],
        nodes: &[(6, UNANSWERED)],
    };
    let mut bench = Bench::default();
    bench.play(FULL_WINDOWS, &calls);
    assert!(bench.watch.is_full());
}

// Guards against a good owner that gives the cell up because of workers, halls or nodes that are cut
// off, slow or lost.
#[parameterized(
    a_sixth_cut_off = { &[(40, IN_TIME), (8, UNANSWERED)], &[(5, IN_TIME), (1, UNANSWERED)] },
    a_sixth_slow = { &[(40, IN_TIME), (8, LATE)], &[(6, IN_TIME)] },
    a_hall_of_three = { &[(32, IN_TIME), (16, UNANSWERED)], &[(4, IN_TIME), (2, UNANSWERED)] },
    two_halls_of_three = { &[(16, IN_TIME), (32, UNANSWERED)], &[(2, IN_TIME), (4, UNANSWERED)] },
    all_workers = { &[(48, UNANSWERED)], &[(6, IN_TIME)] },
    all_workers_slow = { &[(48, LATE)], &[(6, IN_TIME)] },
    everything = { &[(48, UNANSWERED)], &[(6, UNANSWERED)] },
    all_nodes_slow = { &[(48, IN_TIME)], &[(6, LATE)] },
    nothing = { &[], &[] },
)]
fn other_faults_do_not_make_the_own_link_full(workers: &[(usize, Call)], nodes: &[(usize, Call)]) {
    let mut bench = Bench::default();
    bench.play(2, &GOOD).play(20, &Calls { workers, nodes });
    assert!(!bench.watch.is_full());
}

#[test]
fn a_burst_does_not_make_the_link_full() {
    let mut bench = Bench::default();
    bench.play(FULL_WINDOWS - 1, &FULL).play(1, &GOOD);
    bench.play(FULL_WINDOWS - 1, &FULL);
    assert!(!bench.watch.is_full());
}

#[test]
fn calls_of_a_node_whose_turns_come_late_show_nothing_about_its_link() {
    let mut bench = Bench {
        is_behind: true,
        ..Bench::default()
    };
    bench.play(20, &FULL);
    assert!(!bench.watch.is_full());
}

// Guards against a weak processor, which is late with every answer, passing for a full link.
#[test]
fn answers_are_not_late_that_wait_for_the_own_turns_only() {
    let slow = Call {
        took: 160,
        ..IN_TIME
    };
    let calls = Calls {
        workers: &[(48, slow)],
        nodes: &[(6, slow)],
    };
    let mut bench = Bench::default();
    bench.play(2, &GOOD);
    bench.delay = 60;
    bench.play(20, &calls);
    assert!(!bench.watch.is_full());
}

#[test]
fn few_workers_show_nothing() {
    let calls = Calls {
        workers: &[(MIN_WORKERS - 1, LATE)],
        nodes: &[(6, LATE)],
    };
    let mut bench = Bench::default();
    bench.play(20, &calls);
    assert!(!bench.watch.is_full());
}

#[test]
fn a_full_link_is_clear_again_after_some_time_in_order() {
    let mut bench = Bench::default();
    bench.play(FULL_WINDOWS, &FULL);

    bench.play(CLEAR_WINDOWS - 1, &GOOD);
    assert!(bench.watch.is_full());
    bench.play(1, &GOOD);

    assert!(!bench.watch.is_full());
}

// Guards against polls that a worker holds open on purpose counting as late, and against answers that
// came before that time counting as quick.
#[parameterized(
    held_to_the_end = { 600, 603, false },
    answered_early = { 600, 300, false },
    late = { 600, 750, true },
)]
fn the_time_for_which_a_worker_holds_a_poll_does_not_count(wait: Millis, took: Millis, full: bool) {
    let poll = Call {
        took,
        wait,
        ending: Ending::Answered,
    };
    let calls = Calls {
        workers: &[(48, poll)],
        nodes: &[],
    };
    let mut bench = Bench::default();
    bench.play(2, &GOOD).play(FULL_WINDOWS, &calls);
    assert_eq!(bench.watch.is_full(), full);
}

#[test]
fn workers_that_are_far_away_are_not_late() {
    let far = Call {
        took: 90,
        ..IN_TIME
    };
    let farther = Call {
        took: 135,
        ..IN_TIME
    };
    let mut bench = Bench::default();
    bench.play(
        2,
        &Calls {
            workers: &[(48, far)],
            nodes: &[],
        },
    );
    bench.play(
        20,
        &Calls {
            workers: &[(48, farther)],
            nodes: &[],
        },
    );
    assert!(!bench.watch.is_full());
}

#[test]
fn a_node_that_lost_the_cell_with_a_full_link_remembers_that_for_a_while() {
    let mut bench = Bench::default();
    bench.play(FULL_WINDOWS, &FULL);

    bench.watch.end_ownership(bench.now);

    assert!(!bench.watch.is_full());
    assert!(bench.watch.remembers_full());
    bench.watch.end_ownership(bench.now + MEMORY);
    assert!(!bench.watch.remembers_full());
}

#[parameterized(
    link_not_known = { 500, None, 500 },
    wide = { 500, Some(200_000), 500 },
    narrow = { 300, Some(10_000), 100 },
    weak_and_narrow = { 90, Some(10_000), 90 },
    hardly_any = { 500, Some(1), 1 },
    very_wide = { 500, Some(u32::MAX), 500 },
)]
fn strength_is_what_processors_and_link_allow(millicores: u32, link: Option<u32>, strength: u32) {
    let load = Load::new(millicores).with_link(link);
    assert_eq!((load.capacity(), load.strength()), (strength, strength));
}

#[test]
fn a_node_with_a_full_link_has_no_strength_left_until_it_is_clear() {
    let load = Load::new(500).with_link(Some(10_000));
    let mut now = 0;
    let mut play = |windows, calls: &Calls<'_>| {
        for _ in 0..windows {
            for number in 0..48 {
                load.note_call(worker(number), calls.workers[0].1);
            }
            now += WINDOW;
            load.review_link(now, true);
        }
        load.strength()
    };

    let full = play(FULL_WINDOWS, &FULL);
    let clear = play(CLEAR_WINDOWS, &GOOD);

    assert_eq!((full, clear), (0, 100));
}
