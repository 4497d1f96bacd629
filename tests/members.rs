//! The members that a node knows, and how nodes with different members synchronise.

use crossweir::node::members::{MAX_CHANGES, Members, NodeRow, Source};
use crossweir::rpc::node::{Heartbeat, MemberChange, NodeCall};
use yare::parameterized;

const NOW: u64 = 1_000;

fn row(place: usize) -> NodeRow {
    NodeRow {
        address: ([10, 0, 0, place as u8], 7_000).into(),
        millicores: 120,
    }
}

fn name(place: usize) -> String {
    format!("n{place}")
}

/// The members of the node with the number `place`, which knows `others`.
fn members(place: usize, others: impl IntoIterator<Item = usize>) -> Members {
    let mut members = Members::new(&name(place), &row(place));
    for other in others {
        members.add(&name(other), row(other), Source::Secondhand, NOW);
    }
    members
}

/// A heartbeat of the node with the number `place`, which reports `changes`.
fn heartbeat(place: usize, from: &Members, changes: Vec<MemberChange>) -> Heartbeat {
    Heartbeat {
        name: name(place),
        boot: 1,
        address: row(place).address.to_string(),
        millicores: row(place).millicores,
        membership: from.digest(),
        changes,
        ..Heartbeat::default()
    }
}

/// The owner, which is node 0, and the node `place` exchange heartbeats.
fn exchange(owner: &mut Members, other: &mut Members, place: usize) {
    let changes = owner.changes_for(&name(place));
    other.apply_heartbeat(&heartbeat(0, owner, changes), Source::Authoritative, NOW);
    let changes = other.changes_for(&name(0));
    owner.apply_heartbeat(&heartbeat(place, other, changes), Source::Secondhand, NOW);
}

#[test]
fn nodes_that_agree_send_no_entries() {
    let mut owner = members(0, 1..100);
    let mut other = members(1, (0..100).filter(|place| *place != 1));
    exchange(&mut owner, &mut other, 1);
    assert_eq!(owner.digest(), other.digest());
    assert_eq!(owner.changes_for("n1"), []);
}

#[test]
fn a_node_that_knows_nobody_is_told_of_all_in_bounded_pieces() {
    // Arrange.
    let mut owner = members(0, 1..100);
    let mut other = members(100, []);
    owner.add("n100", row(100), Source::Secondhand, NOW);

    // Act.
    let mut exchanges = 0;
    while owner.digest() != other.digest() {
        exchange(&mut owner, &mut other, 100);
        exchanges += 1;
        assert!(
            exchanges < 20,
            "the nodes still differ after {exchanges} exchanges"
        );
    }

    // Assert.
    assert!(exchanges <= 100 / MAX_CHANGES + 2, "{exchanges}");
    assert_eq!(other.iter().count(), 100);
}

#[test]
fn one_more_node_goes_over_in_the_first_piece() {
    // Arrange.
    let mut owner = members(0, 1..100);
    let mut other = members(1, (0..100).filter(|place| *place != 1));
    exchange(&mut owner, &mut other, 1);

    // Act.
    owner.add("n150", row(150), Source::Secondhand, NOW);
    exchange(&mut owner, &mut other, 1);

    // Assert.
    assert!(other.get("n150").is_some());
    assert_eq!(owner.digest(), other.digest());
}

#[test]
fn a_piece_that_was_lost_comes_again() {
    let mut owner = members(0, 1..30);
    let mut other = members(1, [0]);
    for _ in 0..3 {
        owner.changes_for("n1");
    }
    for _ in 0..6 {
        exchange(&mut owner, &mut other, 1);
    }
    assert_eq!(owner.digest(), other.digest());
}

#[test]
fn only_the_owner_removes_a_node_and_secondhand_reports_do_not_restore_it() {
    // Arrange.
    let mut other = members(1, [0, 2, 3]);
    let gone = vec![MemberChange::Gone(name(2))];
    let known = vec![MemberChange::Known {
        name: name(2),
        address: row(2).address.to_string(),
        millicores: 120,
    }];

    // Act.
    other.apply_heartbeat(
        &heartbeat(3, &members(3, []), gone.clone()),
        Source::Secondhand,
        NOW,
    );
    let after_secondhand_report = other.get("n2").is_some();
    other.apply_heartbeat(
        &heartbeat(0, &members(0, []), gone),
        Source::Authoritative,
        NOW,
    );
    let after_the_owner = other.get("n2").is_some();
    other.apply_heartbeat(
        &heartbeat(3, &members(3, []), known),
        Source::Secondhand,
        NOW,
    );
    let after_another_secondhand_report = other.get("n2").is_some();
    other.apply_heartbeat(
        &heartbeat(2, &members(2, []), Vec::new()),
        Source::Secondhand,
        NOW,
    );

    // Assert.
    assert!(after_secondhand_report);
    assert!(!after_the_owner);
    assert!(!after_another_secondhand_report);
    assert!(other.get("n2").is_some(), "n2 has sent a heartbeat itself");
}

#[test]
fn a_node_under_another_address_replaces_the_former_one_everywhere() {
    // Arrange.
    let mut owner = members(0, 1..20);
    let mut other = members(1, (0..20).filter(|place| *place != 1));
    exchange(&mut owner, &mut other, 1);

    // Act: n5 sends the owner a heartbeat with its new address.
    let moved = Heartbeat {
        address: String::from("10.0.9.9:7000"),
        ..heartbeat(5, &members(5, []), Vec::new())
    };
    owner.apply_heartbeat(&moved, Source::Secondhand, NOW);
    exchange(&mut owner, &mut other, 1);

    // Assert.
    let address = other.get("n5").map(|member| member.address.to_string());
    assert_eq!(address.as_deref(), Some("10.0.9.9:7000"));
    assert_eq!(owner.digest(), other.digest());
}

fn unreadable_entry() -> Vec<MemberChange> {
    vec![MemberChange::Known {
        name: name(9),
        address: String::from("nowhere"),
        millicores: 1,
    }]
}

fn a_thousand_entries() -> Vec<MemberChange> {
    let known = |place: usize| MemberChange::Known {
        name: name(place),
        address: row(place).address.to_string(),
        millicores: 1,
    };
    (0..1_000).map(|place| known(place + 10)).collect()
}

fn removal_of_own_name() -> Vec<MemberChange> {
    vec![MemberChange::Gone(name(1))]
}

#[parameterized(
    unreadable_address = { unreadable_entry(), 1, 2 },
    far_too_many = { a_thousand_entries(), 1_000 - MAX_CHANGES, 2 + MAX_CHANGES },
    our_own_name = { removal_of_own_name(), 0, 2 },
)]
fn bad_entries_are_counted_and_nothing_is_forgotten(
    changes: Vec<MemberChange>,
    refused: usize,
    known: usize,
) {
    let mut members = members(1, [0, 2]);
    let counted = members.apply_heartbeat(
        &heartbeat(0, &self::members(0, []), changes),
        Source::Authoritative,
        NOW,
    );
    assert_eq!((counted, members.iter().count()), (refused, known));
}

#[test]
fn a_heartbeat_without_a_readable_address_is_refused() {
    let mut members = members(1, [0]);
    let heartbeat = Heartbeat {
        name: name(7),
        address: String::from("nowhere"),
        ..Heartbeat::default()
    };
    assert_eq!(
        members.apply_heartbeat(&heartbeat, Source::Secondhand, NOW),
        1
    );
    assert!(members.get("n7").is_none());
}

#[test]
fn the_strongest_watch_the_owner_and_all_nodes_agree_on_who_they_are() {
    // Arrange: n90 to n99 have half a core.
    let strong = |place: usize| NodeRow {
        millicores: if place >= 90 { 500 } else { 120 },
        ..row(place)
    };
    let all = |own: usize| {
        let mut members = Members::new(&name(own), &strong(own));
        for place in 0..100 {
            members.add(&name(place), strong(place), Source::Secondhand, NOW);
        }
        members
    };
    let (weak, other) = (all(3), all(95));

    // Act.
    let watchers = |members: &Members| -> Vec<usize> {
        let watches = |place: &usize| members.watches(&name(*place));
        (0..100).filter(watches).collect()
    };

    // Assert.
    let chosen = watchers(&weak);
    assert_eq!(chosen, watchers(&other));
    assert_eq!(chosen.iter().filter(|place| **place >= 90).count(), 8);
    assert_eq!(chosen.len(), 12);
}

#[test]
fn an_answer_that_the_store_is_away_counts_from_when_it_was_asked_for() {
    // Arrange.
    let mut members = members(0, [1]);
    let away = heartbeat(1, &self::members(1, []), Vec::new());
    let back = Heartbeat {
        reaches_store: true,
        ..away.clone()
    };
    let asked = |members: &Members| members.get("n1").map(|member| member.no_store_asked);

    // Act.
    members.apply_heartbeat(&away, Source::Secondhand, 5_000);
    let unasked = asked(&members);
    members.note_store_answer("n1", 2_000);
    let answered = asked(&members);
    members.apply_heartbeat(&back, Source::Secondhand, 5_100);

    // Assert.
    assert_eq!(
        (unasked, answered, asked(&members)),
        (Some(0), Some(2_000), Some(0))
    );
}

#[test]
fn a_heartbeat_stays_small_however_many_nodes_there_are() {
    // Arrange: a node that knows nothing of what the sender knows.
    let mut owner = members(0, 1..200);
    let plain = heartbeat(0, &owner, Vec::new());
    let changes = owner.changes_for("n1");
    let full = heartbeat(0, &owner, changes);

    // Act.
    let bytes = |heartbeat: Heartbeat| NodeCall::Beat(Box::new(heartbeat)).wire_bytes();
    let (plain, full) = (bytes(plain), bytes(full));

    // Assert.
    assert!(plain <= 256, "{plain} bytes");
    assert!(full <= 1_536, "{full} bytes");
}
