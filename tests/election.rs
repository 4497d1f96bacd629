//! How soon a cell whose nodes were all killed has an owner again.

mod virtual_node;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossweir::cell::tuning;
use crossweir::node::election;
use crossweir::node::recording::OwnerRow;
use crossweir::rpc::node::Heartbeat;
use crossweir::store::{Store, StoreCall, StoreReply, Table, Transaction};
use virtual_node::{Relay, VirtualNode, claim, virtual_node, virtual_node_with_millicores};

/// A heartbeat of a node that has just started and knows of epoch 5.
fn started_beat() -> Heartbeat {
    Heartbeat {
        name: String::from("n1"),
        boot: 1,
        address: String::from("127.0.0.1:1"),
        epoch: 5,
        reaches_store: true,
        owner_silence: u64::MAX,
        ..Heartbeat::default()
    }
}

async fn owner_row(node: &VirtualNode) -> OwnerRow {
    let call = StoreCall::row(Table::Cells, "c0", "owner");
    match node.store.call(call).await {
        Ok(StoreReply::Rows { rows, .. }) => OwnerRow::read(&rows[0]).expect("a row"),
        other => panic!("no row: {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_that_has_just_started_does_not_wait_for_an_owner_that_is_gone() {
    // Arrange: all nodes were killed, the owner's port is dead.
    let node = virtual_node(&[Relay::Gone]);
    claim(&node.store, "n9", 1, 5);

    // Act.
    tokio::spawn(election::run(Arc::clone(&node.shared)));
    tokio::time::sleep(Duration::from_millis(300)).await;

    // Assert.
    let row = owner_row(&node).await;
    assert_eq!(
        (row.epoch, row.name.as_str()),
        (tuning::next_epoch(5), "n0")
    );
}

#[tokio::test(start_paused = true)]
async fn a_row_of_ownership_that_cannot_be_read_is_not_claimed_over() {
    // Arrange: it was written by somebody else, or torn.
    let node = virtual_node(&[Relay::Gone]);
    let mut tx = Transaction::default();
    tx.puts
        .push((OwnerRow::key(), String::from("{\"name\":\"n9\"}")));
    node.store.commit(&tx);

    // Act.
    tokio::spawn(election::run(Arc::clone(&node.shared)));
    tokio::time::sleep(Duration::from_secs(10)).await;

    // Assert: its epoch is not known, so a claim might begin below it.
    assert!(node.shared.engine().is_none());
}

#[tokio::test(start_paused = true)]
async fn a_node_that_never_heard_the_owner_does_not_speak_for_it() {
    let node = virtual_node(&[Relay::Gone]);
    node.shared.apply_heartbeat(&started_beat());
    let beat = node.shared.heartbeat();
    assert_eq!((beat.epoch, beat.owner_silence), (5, u64::MAX));
}

#[tokio::test(start_paused = true)]
async fn a_node_speaks_for_an_owner_that_it_has_heard() {
    let node = virtual_node(&[Relay::Gone]);
    node.shared.apply_heartbeat(&Heartbeat {
        owns: true,
        ..started_beat()
    });
    tokio::time::sleep(Duration::from_millis(120)).await;
    assert!(node.shared.heartbeat().owner_silence <= 120);
}

/// Milliseconds until the node, alone with a store, owns the cell.
async fn time_to_claim(node: &VirtualNode) -> u64 {
    tokio::spawn(election::run(Arc::clone(&node.shared)));
    let began = node.shared.now();
    while node.shared.engine().is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    node.shared.now() - began
}

#[tokio::test(start_paused = true)]
async fn a_weak_node_claims_the_cell_later_but_does() {
    let (strong, weak) = (
        virtual_node_with_millicores(500, &[]),
        virtual_node_with_millicores(100, &[]),
    );

    let (strong, weak) = (time_to_claim(&strong).await, time_to_claim(&weak).await);

    assert!(strong < 200, "{strong}");
    assert!((strong + 250..strong + 600).contains(&weak), "{weak}");
}

/// The owner hears another node of this strength for some seconds.
async fn owner_beside(strength: u32) -> VirtualNode {
    let node = virtual_node_with_millicores(100, &[]);
    time_to_claim(&node).await;
    for _ in 0..50 {
        node.shared.apply_heartbeat(&Heartbeat {
            strength,
            epoch: tuning::next_epoch(0),
            ..started_beat()
        });
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    node
}

#[tokio::test(start_paused = true)]
async fn an_owner_gives_the_cell_up_to_a_far_stronger_node() {
    let node = owner_beside(500).await;
    let row = owner_row(&node).await;
    assert!(row.released || row.epoch > tuning::next_epoch(0), "{row:?}");
}

#[tokio::test(start_paused = true)]
async fn an_owner_keeps_the_cell_beside_a_node_that_is_little_stronger() {
    let node = owner_beside(150).await;
    let row = owner_row(&node).await;
    assert_eq!((row.epoch, row.released), (tuning::next_epoch(0), false));
}

#[tokio::test(start_paused = true)]
async fn the_others_need_not_wait_for_an_owner_that_has_given_the_cell_up() {
    let node = virtual_node(&[Relay::Gone]);
    let owning = Heartbeat {
        owns: true,
        ..started_beat()
    };
    node.shared.apply_heartbeat(&owning);
    node.shared.apply_heartbeat(&Heartbeat {
        owns: false,
        ..owning
    });
    assert_eq!(node.shared.owner().address, None);
}

#[tokio::test(start_paused = true)]
async fn an_owner_whose_giving_up_is_in_doubt_does_not_go_on() {
    // Arrange: an owner, and a store that has gone silent without its noticing.
    let node = virtual_node_with_millicores(100, &[]);
    time_to_claim(&node).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    node.faulty_store.silent.store(true, Ordering::Relaxed);

    // Act: a far stronger node is heard for some seconds.
    for _ in 0..50 {
        node.shared.apply_heartbeat(&Heartbeat {
            strength: 500,
            epoch: tuning::next_epoch(0),
            ..started_beat()
        });
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    // Assert: what it would have recorded with it may or may not be durable.
    assert!(node.shared.engine().is_none());
}

/// Another node was heard as the owner under `epoch`, and gives the cell up.
fn another_gives_up(node: &VirtualNode, epoch: u64) {
    let row = OwnerRow {
        name: String::from("n1"),
        address: String::from("127.0.0.1:1"),
        boot: 1,
        epoch,
        batch: 1,
        released: true,
    };
    let mut tx = Transaction::default();
    tx.puts.push((OwnerRow::key(), row.write()));
    node.store.commit(&tx);
    for owns in [true, false] {
        node.shared.apply_heartbeat(&Heartbeat {
            owns,
            epoch,
            ..started_beat()
        });
    }
}

#[tokio::test(start_paused = true)]
async fn a_candidate_that_waited_for_one_owner_does_not_claim_at_once_from_the_next() {
    // Arrange: a weak node that stands aside for some 260 ms has heard an owner give up.
    let node = virtual_node_with_millicores(120, &[Relay::Gone]);
    tokio::spawn(election::run(Arc::clone(&node.shared)));
    another_gives_up(&node, 5);
    tokio::time::sleep(Duration::from_millis(200)).await;

    // Act: another node has taken the cell meanwhile, and gives it up soon.
    another_gives_up(&node, 6);
    let began = node.shared.now();
    while owner_row(&node).await.name != "n0" {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }

    // Assert: stronger nodes had their time again.
    let waited = node.shared.now() - began;
    assert!(waited >= 260, "{waited} ms");
}

#[tokio::test(start_paused = true)]
async fn a_former_owner_that_has_started_again_does_not_end_the_wait_for_a_claim() {
    // Arrange: an owner was heard, and then a node that claims the cell from it.
    let node = virtual_node(&[Relay::Gone, Relay::Gone]);
    node.shared.apply_heartbeat(&Heartbeat {
        owns: true,
        ..started_beat()
    });
    tokio::time::sleep(Duration::from_millis(600)).await;
    node.shared.apply_heartbeat(&Heartbeat {
        name: String::from("n2"),
        address: String::from("127.0.0.1:2"),
        claim_age: Some(0),
        ..started_beat()
    });

    // Act: the former owner is back, and owns nothing any more.
    node.shared.apply_heartbeat(&Heartbeat {
        boot: 2,
        ..started_beat()
    });

    // Assert.
    assert_eq!(node.shared.owner().address, None);
    assert!(!node.shared.owner().is_suspect(node.shared.now()));
}

#[tokio::test(start_paused = true)]
async fn a_claim_whose_answer_is_late_is_not_written_again() {
    // Arrange: a store that takes 700 ms for each answer.
    let node = virtual_node(&[Relay::Works]);
    node.shared.apply_heartbeat(&started_beat());
    node.faulty_store.delay.store(700, Ordering::Relaxed);

    // Act: a claim through another node would be the second one.
    let took = time_to_claim(&node).await;

    // Assert.
    let row = owner_row(&node).await;
    assert_eq!(
        (row.epoch, row.name.as_str()),
        (tuning::next_epoch(0), "n0")
    );
    assert!(took < 4_000, "{took} ms");
}

#[tokio::test(start_paused = true)]
async fn a_claim_that_meets_the_last_word_of_a_dead_owner_is_made_again_at_once() {
    // Arrange: a node reads the row of ownership, and its claim is on its way for 500 ms.
    let node = virtual_node(&[Relay::Gone]);
    claim(&node.store, "n9", 1, 5);
    node.faulty_store.delay.store(500, Ordering::Relaxed);
    tokio::spawn(election::run(Arc::clone(&node.shared)));
    tokio::time::sleep(Duration::from_millis(800)).await;

    // Act: a transaction that the former owner sent before its end takes effect.
    claim(&node.store, "n9", 1, 5);
    tokio::time::sleep(Duration::from_millis(1_000)).await;

    // Assert.
    let row = owner_row(&node).await;
    assert_eq!(
        (row.epoch, row.name.as_str()),
        (tuning::next_epoch(5), "n0")
    );
}
