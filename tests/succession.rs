//! When an owner may assume that its predecessors have stopped ("Two owners" in `docs/DESIGN.md`).

use std::net::SocketAddr;

use crossweir::cell::tuning;
use crossweir::clock::Millis;
use crossweir::node::consent::Consent;
use crossweir::node::members::{Members, NodeRow, Source};
use crossweir::node::recording::OwnerRow;
use crossweir::node::succession::{
    FormerOwners, MAX_TERM_BY_MAJORITY, Succession, Successor, Voters,
};
use crossweir::rpc::node::Heartbeat;

/// The epoch of the successor, which is node 0 and has claimed the cell at [`CLAIMED`].
const EPOCH: u64 = 32;
const CLAIMED: Millis = 10_000;

fn row(number: u16) -> NodeRow {
    NodeRow {
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + number)),
        millicores: 500,
    }
}

/// The nodes that node 0 of seven knows, all of which it has heard.
fn members() -> Members {
    let mut members = Members::new("n0", &row(0));
    for number in 1..7 {
        answer(&mut members, number, 1, 16, 1_000);
    }
    members
}

/// A node answers a call that was sent at `at`; the answer is heard at once.
fn answer(members: &mut Members, number: u16, boot: u64, epoch: u64, at: Millis) {
    let name = format!("n{number}");
    let beat = Heartbeat {
        name: name.clone(),
        boot,
        address: row(number).address.to_string(),
        millicores: 500,
        epoch,
        ..Heartbeat::default()
    };
    members.apply_heartbeat(&beat, Source::Secondhand, at);
    members.note_store_answer(&name, at);
}

/// What node 0 knows of one former owner, node 6, when it has claimed the cell.
fn succession(members: &Members) -> Succession {
    let former = FormerOwners::One {
        name: String::from("n6"),
        boot: 1,
    };
    Succession::new(Some(former), true, Some(Voters::choose("n0", members)))
}

fn successor() -> Successor<'static> {
    Successor {
        name: "n0",
        epoch: EPOCH,
        since: CLAIMED,
        consent: Consent::Unknown,
    }
}

/// Nodes 1 to 3, which are most voters together with node 0, answer each 0.1 s from `from` on.
fn follow(members: &mut Members, boot: u64, from: Millis, until: Millis) {
    for at in (from..=until).step_by(100) {
        (1..4).for_each(|number| answer(members, number, boot, EPOCH, at));
    }
}

/// Most voters must have followed for as long as the former owner may go on.
#[test]
fn a_former_owner_has_stopped_once_most_voters_have_followed_for_long_enough() {
    let mut members = members();
    let mut succession = succession(&members);
    follow(&mut members, 1, CLAIMED + 100, CLAIMED + 2_000);
    let before = succession.review(successor(), &members, CLAIMED + 2_000);
    follow(&mut members, 1, CLAIMED + 2_100, CLAIMED + 2_200);
    let after = succession.review(successor(), &members, CLAIMED + 2_200);
    assert_eq!(before, None);
    assert_eq!(after, Some(CLAIMED + 100 + tuning::OWNER_STOP_TIME));
}

/// A voter that restarts forgets the successor, and may confirm the former owner again.
#[test]
fn a_voter_that_restarts_counts_anew() {
    let mut members = members();
    let mut succession = succession(&members);
    follow(&mut members, 1, CLAIMED + 100, CLAIMED + 1_500);
    follow(&mut members, 2, CLAIMED + 1_600, CLAIMED + 3_000);
    let stopped = succession.review(successor(), &members, CLAIMED + 3_000);
    assert_eq!(stopped, None);
}

/// Fewer than most voters say nothing about the others, until the term of a former owner is over.
#[test]
fn few_voters_count_only_after_the_longest_term() {
    let members = members();
    let mut succession = succession(&members);
    let end = CLAIMED + MAX_TERM_BY_MAJORITY + tuning::OWNER_STOP_TIME;
    let before = succession.review(successor(), &members, end - 1);
    let after = succession.review(successor(), &members, end);
    assert_eq!((before, after), (None, Some(end)));
}

/// The only former owner has stopped if it follows, or if its process is gone.
#[yare::parameterized(
    follows = { 1, EPOCH, true },
    is_another_process = { 2, 0, true },
    has_not_heard = { 1, 16, false },
)]
fn the_answer_of_the_former_owner_itself_is_enough(boot: u64, epoch: u64, has_stopped: bool) {
    let mut members = members();
    let mut succession = succession(&members);
    answer(&mut members, 6, boot, epoch, CLAIMED + 300);
    let stopped = succession.review(successor(), &members, CLAIMED + 300);
    assert_eq!(stopped.is_some(), has_stopped);
}

/// The row that a claim replaces tells which owners may still act.
#[yare::parameterized(
    released = { true, false, "10.0.0.1:1", None },
    of_the_same_address = { false, false, "10.0.0.2:1", None },
    lost = { false, false, "10.0.0.1:1", Some(false) },
    lost_after_one_that_may_act = { false, true, "10.0.0.1:1", Some(true) },
    released_after_one_that_may_act = { true, true, "10.0.0.1:1", Some(false) },
)]
fn a_claim_names_the_owners_that_may_still_act(
    released: bool,
    follows_another: bool,
    address: &str,
    several: Option<bool>,
) {
    let one = |name: &str| FormerOwners::One {
        name: name.to_owned(),
        boot: 1,
    };
    let former = OwnerRow {
        name: String::from("n1"),
        address: address.to_owned(),
        boot: 1,
        epoch: 16,
        batch: 5,
        released,
        former_owners: follows_another.then(|| one("n9")),
        asks_consent: true,
    };
    let found = FormerOwners::before_claim(Some(&former), "10.0.0.2:1");
    let expected = several.map(|several| match several {
        true => FormerOwners::Several,
        false if follows_another => one("n9"),
        false => one("n1"),
    });
    assert_eq!(found, expected);
}

/// A node that has not consented answers a call that was sent at `at`.
fn withhold(members: &mut Members, number: u16, at: Millis) {
    let name = format!("n{number}");
    let beat = Heartbeat {
        name: name.clone(),
        boot: 1,
        address: row(number).address.to_string(),
        millicores: 500,
        epoch: EPOCH,
        consent: Consent::Withheld,
        ..Heartbeat::default()
    };
    members.apply_heartbeat(&beat, Source::Secondhand, at);
    members.note_store_answer(&name, at);
}

/// More than a quarter of the voters prove a stop if they withhold their consent, unless the former
/// owner is of a version that asks for none.
#[yare::parameterized(
    two = { 2, true, true },
    one_is_too_few = { 1, true, false },
    former_owner_asks_for_none = { 2, false, false },
)]
fn voters_that_withhold_their_consent_prove_that_a_former_owner_has_stopped(
    voters: u16,
    asks: bool,
    has_stopped: bool,
) {
    // Arrange.
    let mut members = members();
    let former = FormerOwners::One {
        name: String::from("n6"),
        boot: 1,
    };
    let mut succession = Succession::new(Some(former), asks, Some(Voters::choose("n0", &members)));

    // Act.
    for at in (CLAIMED + 100..=CLAIMED + 2_200).step_by(100) {
        (1..=voters).for_each(|number| withhold(&mut members, number, at));
    }
    let stopped = succession.review(successor(), &members, CLAIMED + 2_200);

    // Assert.
    assert_eq!(stopped.is_some(), has_stopped);
}
