//! Leases that a worker has for longer than its owner meant, since an order that was meant for a
//! former life of its id has reached the present one.
//!
//! Such an order names a time on the clock of the former life.  Where the present clock reads less,
//! the worker grants the longest lease that there is.  An owner that does not count on it starts
//! tasks elsewhere while their runs go on (docs/incidents/runs-under-a-longer-lease.md).
//!
//! Clocks of workers begin at any reading here, so the age of a life does not show in them.

mod cell_core;
mod lives;

use cell_core::step;
use crossweir::cell::job::JobState;
use crossweir::cell::spec::JobId;
use crossweir::clock::Millis;
use lives::Site;
use yare::parameterized;

/// What the clock of the first life reads after [`HISTORY`], and more than a longest lease before
/// that.
const HISTORY: Millis = 120_000;
const NEXT_READING: Millis = 60_000;
/// How long a task runs: longer than an owner's lease, and less than the longest one.
const LONG_RUN: Millis = 6_500;
/// By when a task that was lost with its worker is started elsewhere, if its lease is known: 3.8 s
/// after the worker was last heard.
const ORDINARY_RESTART: Millis = 5_000;

/// A site with one worker whose owner has had it for long.
fn site_with_history() -> Site {
    let mut site = Site::new(1);
    site.pass(HISTORY);
    site
}

/// Starts a task on a worker that has the longest lease, by a start that was meant for its former
/// life and was answered by the present one.
fn start_under_long_lease(site: &mut Site) -> JobId {
    site.restart_unnoticed(0, NEXT_READING);
    let _ = site.submit(100, vec![step(1, 1_000)]);
    site.decide();
    site.list(0);
    site.pass(300);
    let id = site.submit(LONG_RUN, vec![step(1, 1_000)]);
    site.pass(100);
    assert_eq!(site.count_running(id), 1);
    id
}

/// Adds a worker on which lost tasks can start, while the first one is cut off for longer than any
/// lease; then it can be reached again.
fn cut_off_beside_another(site: &mut Site) {
    let cut = site.cut_off(0);
    site.add_worker();
    site.pass(12_000);
    site.reconnect(0, cut);
    site.pass(8_000);
}

/// Guards against a task that runs twice at the same time: a successor went by its own lease on a
/// worker of which the roster told that it may have the longest one.
#[test]
fn a_successor_counts_on_the_longest_lease_that_the_roster_tells() {
    // Arrange
    let mut site = site_with_history();
    let id = start_under_long_lease(&mut site);

    // Act
    site.take_over();
    site.pass(50);
    cut_off_beside_another(&mut site);

    // Assert
    site.check_runs();
    assert_eq!(site.state(id), Some(JobState::Succeeded));
}

/// Guards against the same over several owners, each of which has heard the worker only briefly.
#[test]
fn each_further_successor_counts_on_the_longest_lease() {
    // Arrange
    let mut site = site_with_history();
    let id = start_under_long_lease(&mut site);

    // Act
    for _ in 0..3 {
        site.take_over();
        site.pass(50);
    }
    cut_off_beside_another(&mut site);

    // Assert
    site.check_runs();
    assert_eq!(site.state(id), Some(JobState::Succeeded));
}

/// What the platform lists when the successor reads it.
#[derive(Debug, Clone, Copy)]
enum Listed {
    FormerLife,
    PresentLife,
    Nothing,
}

/// Guards against the same where no record tells of the restart: the former owner was lost before
/// it noticed, and a start of its own reaches the next life before the successor's first poll.
#[parameterized(
    former_life = { Listed::FormerLife },
    present_life = { Listed::PresentLife },
    nothing = { Listed::Nothing },
)]
fn a_successor_counts_on_the_longest_lease_of_a_life_that_no_owner_had_noticed(listed: Listed) {
    // Arrange: a start is on its way when the worker starts again and the owner is lost.
    let mut site = site_with_history();
    let id = site.submit(LONG_RUN, vec![step(1, 1_000)]);
    let late = site.intercept_starts();
    let former = site.entries[0].clone();
    site.restart_unnoticed(0, NEXT_READING);

    // Act
    let present = site.entries[0].clone();
    match listed {
        Listed::FormerLife => site.entries[0] = former,
        Listed::PresentLife => {}
        Listed::Nothing => site.entries.clear(),
    }
    site.take_over();
    site.entries = vec![present];
    for start in &late {
        let _ = site.execute_start(start);
    }
    site.pass(50);
    assert_eq!(site.count_running(id), 1);
    cut_off_beside_another(&mut site);

    // Assert
    site.check_runs();
    assert_eq!(site.state(id), Some(JobState::Succeeded));
}

/// Guards against the same where the worker was not in the roster any more when its next life
/// began, so that nothing tells the successor that the id was in use.
#[test]
fn a_successor_counts_on_the_longest_lease_of_a_life_whose_id_had_left_the_roster() {
    // Arrange: a start is on its way to a worker that is then taken for lost.
    let mut site = site_with_history();
    let id = site.submit(LONG_RUN, vec![step(1, 1_000)]);
    let late = site.intercept_starts();
    site.end_life(0);
    let first = site.entries[0].life.id.clone();
    site.cell.unlist_worker(&first, site.now);
    site.pass(6_000);

    // Act: the worker is back, another owner follows, and then the start arrives.
    site.begin_life_reading(0, NEXT_READING);
    site.take_over();
    for start in &late {
        let _ = site.execute_start(start);
    }
    site.pass(50);
    assert_eq!(site.count_running(id), 1);
    cut_off_beside_another(&mut site);

    // Assert
    site.check_runs();
    assert_eq!(site.state(id), Some(JobState::Succeeded));
}

/// Guards against the same with an owner in between that did not reach the worker: it handed over
/// the time until its own settling, although the roster told of a longer lease.
#[test]
fn an_owner_that_gives_up_hands_over_the_longest_lease_of_a_worker_that_it_has_not_reached() {
    // Arrange
    let mut site = site_with_history();
    let id = start_under_long_lease(&mut site);
    let cut = site.cut_off(0);
    site.add_worker();
    site.take_over();
    site.pass(1_000);

    // Act
    let leases = site.cell.seal_silent(site.now);
    site.record();
    site.take_over();
    site.cell.apply_remaining_leases(&leases, site.now);
    site.pass(12_000);
    site.reconnect(0, cut);
    site.pass(8_000);

    // Assert
    site.check_runs();
    assert_eq!(site.state(id), Some(JobState::Succeeded));
}

/// Guards against work that waits for the longest lease after an ordinary loss: nothing that was
/// meant for a former life can have reached a life that owners have used for long.
#[parameterized(
    one_successor = { 1 },
    several = { 4 },
)]
fn lost_work_starts_soon_where_no_order_for_a_former_life_can_matter(successors: usize) {
    // Arrange
    let mut site = site_with_history();
    site.add_worker();
    site.pass(30_000);
    let id = site.submit(20_000, vec![step(8, 4_000)]);
    site.pass(100);
    assert_eq!(site.count_running(id), 8);

    // Act
    for _ in 0..successors {
        site.take_over();
        site.pass(100);
    }
    let _cut = site.cut_off(0);
    site.add_worker();
    site.pass(ORDINARY_RESTART);

    // Assert
    assert_eq!(site.count_running(id), 8);
}

/// Guards against work that waits for the longest lease long after a worker has started again: what
/// an order for its former life may have given is over, and the roster says so.
#[test]
fn lost_work_starts_soon_once_the_longest_lease_is_over() {
    // Arrange
    let mut site = site_with_history();
    site.restart_unnoticed(0, NEXT_READING);
    site.list(0);
    site.pass(12_000);
    let id = site.submit(20_000, vec![step(4, 4_000)]);
    site.pass(100);
    assert_eq!(site.count_running(id), 4);

    // Act
    site.take_over();
    site.pass(100);
    let _cut = site.cut_off(0);
    site.add_worker();
    site.pass(ORDINARY_RESTART);

    // Assert
    assert_eq!(site.count_running(id), 4);
}
