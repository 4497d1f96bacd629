//! What a node knows of the time for which the former owner owned the cell.
//!
//! Starts of an owner may arrive for 12 s after it is lost.  A successor that follows a brief owner
//! therefore assumes that two owners have started tasks without recording that (docs/DESIGN.md,
//! "Tasks that crash their workers").  A node that does not know must assume the same.

use crossweir::cell::life::FormerLives;
use crossweir::cell::tuning;
use crossweir::clock::Millis;
use crossweir::node::owner::Owner;
use yare::parameterized;

/// When the node learns of the first epoch, by its clock.
const LEARNT_AT: Millis = 5_000;
/// The first epoch that this node learns of.
const FORMER: u64 = 160;

/// What a node knows that has heard the owner of [`FORMER`], after `epoch` has begun `later`
/// milliseconds after that.
fn owner_after(epoch: u64, later: Millis) -> Owner {
    let mut owner = Owner::default();
    owner.note_heartbeat(FORMER, None, LEARNT_AT);
    owner.note_heartbeat(FORMER, None, LEARNT_AT + later / 2);
    owner.note_heartbeat(epoch, None, LEARNT_AT + later);
    owner
}

/// Guards against a task that is started unrecorded by two owners in a row, of which the second is
/// taken for one that has outlived the starts of the first.
#[parameterized(
    at_once = { tuning::next_epoch(FORMER), 400, true },
    just_before = { tuning::next_epoch(FORMER), FormerLives::RELEVANT_FOR - 1, true },
    long = { tuning::next_epoch(FORMER), FormerLives::RELEVANT_FOR, false },
    an_owner_was_missed = { tuning::next_epoch(tuning::next_epoch(FORMER)), 60_000, true },
)]
fn an_owner_was_brief_unless_it_was_known_for_long(epoch: u64, later: Millis, is_brief: bool) {
    // Act.
    let owner = owner_after(epoch, later);

    // Assert.
    assert_eq!(owner.former_was_brief(), is_brief);
}

#[test]
fn a_node_that_has_just_started_assumes_that_the_former_owner_was_brief() {
    // Arrange.
    let mut owner = Owner::default();

    // Act.
    owner.await_claimant(FORMER, None, LEARNT_AT);

    // Assert.
    assert!(owner.former_was_brief());
}

#[test]
fn the_first_owner_of_a_cell_has_no_former_one() {
    // Arrange.
    let mut owner = Owner::default();

    // Act.
    owner.note_heartbeat(tuning::next_epoch(0), None, LEARNT_AT);

    // Assert.
    assert!(!owner.former_was_brief());
}

#[test]
fn a_release_of_the_cell_does_not_change_how_long_it_was_owned() {
    // Arrange.
    let mut owner = Owner::default();
    owner.note_heartbeat(FORMER, None, LEARNT_AT);

    // Act.
    owner.release();
    let later = LEARNT_AT + FormerLives::RELEVANT_FOR;
    owner.await_claimant(tuning::next_epoch(FORMER), None, later);

    // Assert.
    assert!(!owner.former_was_brief());
}
