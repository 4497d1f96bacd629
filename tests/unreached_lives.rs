//! Lives of workers that no poll has reached, and that orders for a former life of their id have.
//!
//! The tests of `long_leases` let the successor hear the life once.  Here it is cut off before that
//! (docs/incidents/runs-under-a-longer-lease.md).

mod cell_core;
mod lives;

use cell_core::step;
use crossweir::cell::order::{StartOrder, StartOutcome};
use crossweir::cell::spec::JobId;
use crossweir::clock::Millis;
use lives::{Site, WorkerLife};

/// What the clock of the first life reads before it ends.
const HISTORY: Millis = 120_000;
const NEXT_READING: Millis = 60_000;
/// How long a task runs: less than the longest lease of 10 s.
const LONG_RUN: Millis = 9_500;

fn site_with_history() -> Site {
    let mut site = Site::new(1);
    site.pass(HISTORY);
    site
}

/// Submits a job of one task and takes its start, so that it arrives when the test says.
fn submit_and_intercept(site: &mut Site, length: Millis) -> (JobId, StartOrder) {
    let id = site.submit(length, vec![step(1, 1_000)]);
    let starts = site.intercept_starts();
    let start = starts.into_iter().next();
    (id, start.expect("a start"))
}

/// Makes the first worker unreachable; the platform goes on listing it.
fn take_away(site: &mut Site) -> WorkerLife {
    let id = &site.entries[0].life.id;
    site.alive.remove(id).expect("a worker that is up")
}

/// What the platform lists when the successor reads it.
#[derive(Debug, Clone, Copy)]
enum Listed {
    FormerLife,
    PresentLife,
    Nothing,
}

/// A start on its way reaches the next life before the owner is lost; the worker is cut off before
/// the successor's first poll.  The roster rules the longest lease out for the former life only.
fn lose_owner_of_unreached_life(listed: Listed) -> Site {
    let mut site = site_with_history();
    let (id, late) = submit_and_intercept(&mut site, LONG_RUN);
    let former = site.entries[0].clone();
    site.restart_unnoticed(0, NEXT_READING);
    let _unheard = site.execute_start(&late);
    assert_eq!(site.count_running(id), 1);
    let present = site.entries[0].clone();
    let cut = take_away(&mut site);
    match listed {
        Listed::FormerLife => site.entries[0] = former,
        Listed::PresentLife => {}
        Listed::Nothing => site.entries.clear(),
    }
    site.take_over();
    site.entries = vec![present];
    site.add_worker();
    site.pass(12_000);
    site.reconnect(0, cut);
    site.pass(8_000);
    site
}

/// Guards against a task that runs twice at the same time: the roster ruled the longest lease out
/// for a former life, and the platform listed the next one.
#[test]
fn a_successor_counts_on_the_longest_lease_of_a_listed_life_that_it_never_reaches() {
    let mut site = lose_owner_of_unreached_life(Listed::PresentLife);

    site.check_runs();
}

/// Guards against the same where nothing shows the successor that there is another life.
#[test]
fn a_start_that_an_unlisted_life_has_carried_out_runs_beside_no_other_after_a_loss() {
    for listed in [Listed::FormerLife, Listed::Nothing] {
        let mut site = lose_owner_of_unreached_life(listed);

        site.check_runs();
    }
}

/// Guards against a task that runs twice at the same time: an order for a former life arrived when
/// the successor had read the roster, and renewed the longest lease.
#[test]
fn a_successor_counts_on_orders_that_renew_the_longest_lease_late() {
    // Arrange: the owner hears of the next life by a clock that goes back, and records that.
    let mut site = site_with_history();
    let (id, first) = submit_and_intercept(&mut site, 16_000);
    let (_, second) = submit_and_intercept(&mut site, 100);
    site.restart_unnoticed(0, NEXT_READING);
    let (outcome, clock) = site.execute_start(&first);
    site.cell
        .start_answered(first.run, outcome, clock, site.now);
    site.tick();
    site.record();
    assert_eq!(site.count_running(id), 1);

    // Act
    let mut cut = take_away(&mut site);
    site.take_over();
    site.add_worker();
    site.pass(8_000);
    let (outcome, _) = cut.start(&second, site.now);
    assert_eq!(outcome, StartOutcome::Started);
    site.pass(9_000);
    site.reconnect(0, cut);
    site.pass(20_000);

    // Assert
    site.check_runs();
}

/// Guards against the same by a former owner that goes on beside its successor, whose last start
/// reaches a life that began just before it stops.
#[test]
fn a_successor_counts_on_the_longest_lease_that_a_former_owner_gives_at_its_end() {
    // Arrange
    let mut site = site_with_history();
    let (id, last) = submit_and_intercept(&mut site, LONG_RUN);

    // Act
    let life = site.entries[0].life.id.clone();
    site.take_over();
    site.cell.await_former_owners();
    let cut = site.alive.remove(&life).expect("a worker that is up");
    site.add_worker();
    site.pass(5_000);
    site.alive.insert(life.clone(), cut);
    site.restart_unnoticed(0, NEXT_READING);
    site.list(0);
    let _unheard = site.execute_start(&last);
    assert_eq!(site.count_running(id), 1);
    let cut = site.alive.remove(&life).expect("a worker that is up");
    site.cell.note_former_owners_stopped(site.now);
    site.pass(12_000);
    site.reconnect(0, cut);
    site.pass(8_000);

    // Assert
    site.check_runs();
}

/// The life that is to be cut off before the owner reaches it has carried out a start whose answer is
/// lost.  Returns that life.
fn lose_answer_of_next_life(site: &mut Site) -> WorkerLife {
    let (id, start) = submit_and_intercept(site, LONG_RUN);
    site.restart_unnoticed(0, NEXT_READING);
    let _unheard = site.execute_start(&start);
    assert_eq!(site.count_running(id), 1);
    let cut = take_away(site);
    site.cell
        .start_answered(start.run, StartOutcome::Unanswered, None, site.now);
    cut
}

/// Guards against a task that runs twice at the same time: an owner took its own lease for the one
/// of a life that it had not reached.
#[test]
fn a_start_in_doubt_that_a_next_life_has_carried_out_runs_beside_no_other() {
    for is_listed in [false, true] {
        // Arrange
        let mut site = site_with_history();
        let cut = lose_answer_of_next_life(&mut site);

        // Act
        if is_listed {
            site.list(0);
        }
        site.add_worker();
        site.pass(12_000);
        site.reconnect(0, cut);
        site.pass(8_000);

        // Assert
        site.check_runs();
    }
}

/// Guards against the same after an owner that gives up when it has just found another life: it handed
/// over the time until its own settling, which was long past.
#[test]
fn an_owner_that_gives_up_hands_over_the_longest_lease_of_a_life_that_it_has_just_found() {
    // Arrange
    let mut site = site_with_history();
    let (id, start) = submit_and_intercept(&mut site, LONG_RUN);
    site.restart_unnoticed(0, NEXT_READING);
    let _unheard = site.execute_start(&start);
    assert_eq!(site.count_running(id), 1);
    site.poll_all();
    site.tick();
    site.record();
    let cut = take_away(&mut site);

    // Act
    site.add_worker();
    let leases = site.cell.seal_silent(site.now);
    site.record();
    site.take_over();
    site.cell.apply_remaining_leases(&leases, site.now);
    site.pass(12_000);
    site.reconnect(0, cut);
    site.pass(8_000);

    // Assert
    site.check_runs();
}
