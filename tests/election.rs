//! Election of an owner: how soon a cell without an owner is claimed, by which node, and how an
//! owner gives the cell up.

mod virtual_node;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossweir::cell::{WorkerKey, tuning};
use crossweir::node::election;
use crossweir::node::link_load::{Call, Ending, Peer};
use crossweir::node::load::{self, Load};
use crossweir::node::members::NodeRow;
use crossweir::node::recording::OwnerRow;
use crossweir::node::shared::NODES_PARTITION;
use crossweir::rpc::node::Heartbeat;
use crossweir::store::{RowKey, Store, StoreCall, StoreReply, Table, Transaction, Version, encode};
use slotmap::KeyData;
use virtual_node::{
    Relay, VirtualNode, claim, virtual_node, virtual_node_with_load, virtual_node_with_millicores,
};
use yare::parameterized;

/// A heartbeat of a node that has just started and knows of epoch 5.
fn heartbeat_after_start() -> Heartbeat {
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
    // Arrange: all nodes were killed, and nothing listens at the owner's port.
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
async fn an_ownership_row_that_cannot_be_read_is_not_overwritten() {
    // Arrange: another program wrote the row, or it is incomplete.
    let node = virtual_node(&[Relay::Gone]);
    let mut tx = Transaction::default();
    tx.puts
        .push((OwnerRow::key(), String::from("{\"name\":\"n9\"}")));
    node.store.commit(&tx);

    // Act.
    tokio::spawn(election::run(Arc::clone(&node.shared)));
    tokio::time::sleep(Duration::from_secs(10)).await;

    // Assert: the row's epoch is not known, so a claim might use a lower one.
    assert!(node.shared.engine().is_none());
}

#[tokio::test(start_paused = true)]
async fn a_node_that_never_heard_the_owner_does_not_vouch_for_it() {
    let node = virtual_node(&[Relay::Gone]);
    node.shared.apply_heartbeat(&heartbeat_after_start());
    let heartbeat = node.shared.heartbeat();
    assert_eq!((heartbeat.epoch, heartbeat.owner_silence), (5, u64::MAX));
}

#[tokio::test(start_paused = true)]
async fn a_node_vouches_for_an_owner_that_it_has_heard() {
    let node = virtual_node(&[Relay::Gone]);
    node.shared.apply_heartbeat(&Heartbeat {
        owns: true,
        ..heartbeat_after_start()
    });
    tokio::time::sleep(Duration::from_millis(120)).await;
    assert!(node.shared.heartbeat().owner_silence <= 120);
}

/// Starts the election on the node; returns how many milliseconds pass until it owns the cell.
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

/// The node receives heartbeats of a peer of this strength, in millicores, for `seconds`.
async fn hear_peer(node: &VirtualNode, strength: u32, seconds: u64) {
    for _ in 0..10 * seconds {
        node.shared.apply_heartbeat(&Heartbeat {
            strength,
            epoch: tuning::next_epoch(0),
            ..heartbeat_after_start()
        });
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// A weak owner that receives heartbeats of a peer of this strength, in millicores, for 5 s.
async fn owner_that_hears_peer(strength: u32) -> VirtualNode {
    let node = virtual_node_with_millicores(100, &[]);
    time_to_claim(&node).await;
    hear_peer(&node, strength, 5).await;
    node
}

#[tokio::test(start_paused = true)]
async fn an_owner_gives_the_cell_up_to_a_far_stronger_node() {
    let node = owner_that_hears_peer(500).await;
    let row = owner_row(&node).await;
    assert!(row.released || row.epoch > tuning::next_epoch(0), "{row:?}");
}

#[tokio::test(start_paused = true)]
async fn an_owner_keeps_the_cell_beside_a_node_that_is_little_stronger() {
    let node = owner_that_hears_peer(150).await;
    let row = owner_row(&node).await;
    assert_eq!((row.epoch, row.released), (tuning::next_epoch(0), false));
}

/// A load with processors of half a core, and a link that carries the calls of a tenth of one.
fn narrow_load() -> Load {
    Load::new(500).with_link(Some(10_000))
}

/// The node's own row as it is in the store, and its version.
async fn own_row(node: &VirtualNode) -> (String, Version) {
    let call = StoreCall::row(Table::Nodes, NODES_PARTITION, &node.shared.name);
    match node.store.call(call).await {
        Ok(StoreReply::Rows { rows, .. }) => (rows[0].value.clone(), rows[0].version),
        other => panic!("no row: {other:?}"),
    }
}

// Guards against rows by which a node with many processors and a narrow link becomes a watcher, and
// against rows that are written again at each start.
#[tokio::test(start_paused = true)]
async fn a_node_replaces_a_row_that_tells_only_its_processors_once() {
    // Arrange: a version that knew no links wrote the row.
    let node = virtual_node_with_load(narrow_load());
    let former = NodeRow {
        millicores: 500,
        ..node.shared.row()
    };
    let key = RowKey::new(Table::Nodes, NODES_PARTITION, &node.shared.name);
    let mut tx = Transaction::default();
    tx.puts.push((key, encode(&former)));
    node.store.commit(&tx);

    // Act.
    election::register(Arc::clone(&node.shared)).await;
    let (row, version) = own_row(&node).await;
    election::register(Arc::clone(&node.shared)).await;
    let (_, later_version) = own_row(&node).await;

    // Assert.
    let row: NodeRow = serde_json::from_str(&row).expect("a row");
    assert_eq!(row.millicores, 100);
    assert_eq!(version, later_version);
}

/// All calls of this owner are late from now on: to workers, and to other nodes.
fn fill_link(node: &VirtualNode) -> AbortOnDrop {
    let shared = Arc::clone(&node.shared);
    let late = Call {
        took: 240,
        wait: 0,
        ending: Ending::Answered,
    };
    let calls = tokio::spawn(async move {
        loop {
            for number in 1..=48 {
                let worker = WorkerKey::from(KeyData::from_ffi((1 << 32) + number));
                shared.load.note_call(Peer::Worker(worker), late);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    AbortOnDrop(calls.abort_handle())
}

/// A task that ends with the test.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An owner with a narrow link that receives heartbeats of a peer of this strength for 8 s.
async fn narrow_owner_that_hears_peer(strength: u32, is_full: bool) -> VirtualNode {
    let node = virtual_node_with_load(narrow_load());
    tokio::spawn(load::watch(Arc::clone(&node.shared)));
    time_to_claim(&node).await;
    let _full = is_full.then(|| fill_link(&node));
    hear_peer(&node, strength, 8).await;
    node
}

// Guards against an owner that keeps the cell for its many processors although its link cannot carry
// the calls, and against one that makes way for a node which can do no more.
#[parameterized(
    twice_as_strong = { 200, false, true },
    little_stronger = { 150, false, false },
    stronger_beside_a_full_link = { 101, true, true },
    equal_beside_a_full_link = { 100, true, false },
    weaker_beside_a_full_link = { 90, true, false },
    of_a_version_that_tells_processors = { 500, false, true },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn an_owner_with_a_narrow_link_yields_to(strength: u32, is_full: bool, yields: bool) {
    let node = narrow_owner_that_hears_peer(strength, is_full).await;
    let row = owner_row(&node).await;
    let has_yielded = row.released || row.epoch > tuning::next_epoch(0);
    assert_eq!(has_yielded, yields, "{row:?}");
}

// Guards against ownership that circulates among nodes of which none can carry the cell.
#[tokio::test(start_paused = true)]
async fn an_owner_that_gets_the_cell_back_yields_for_its_link_only_once_in_a_while() {
    // Arrange: a stronger node is there, but never takes the cell.
    let node = virtual_node_with_load(narrow_load());
    tokio::spawn(load::watch(Arc::clone(&node.shared)));
    time_to_claim(&node).await;
    let _full = fill_link(&node);

    // Act.
    hear_peer(&node, 150, 50).await;

    // Assert: the first claim, and one after the cell was given up once.
    let row = owner_row(&node).await;
    assert_eq!(row.epoch, tuning::next_epoch(tuning::next_epoch(0)));
    assert!(!row.released && node.shared.engine().is_some());
    assert_eq!(node.shared.heartbeat().strength, 0);
}

#[tokio::test(start_paused = true)]
async fn a_full_link_is_a_reason_to_yield_also_while_the_store_is_slow() {
    // Arrange: answers of the store are as late as all others.
    let node = virtual_node_with_load(narrow_load());
    tokio::spawn(load::watch(Arc::clone(&node.shared)));
    time_to_claim(&node).await;
    node.faulty_store.delay.store(300, Ordering::Relaxed);
    let _full = fill_link(&node);

    // Act.
    hear_peer(&node, 150, 8).await;

    // Assert.
    let row = owner_row(&node).await;
    assert!(row.released || row.epoch > tuning::next_epoch(0), "{row:?}");
}

#[tokio::test(start_paused = true)]
async fn a_node_with_a_narrow_link_claims_the_cell_later_but_does() {
    let (wide, narrow) = (
        virtual_node_with_load(Load::new(500).with_link(Some(200_000))),
        virtual_node_with_load(narrow_load()),
    );

    let (wide, narrow) = (time_to_claim(&wide).await, time_to_claim(&narrow).await);

    assert!(wide < 200, "{wide}");
    assert!((wide + 250..wide + 600).contains(&narrow), "{narrow}");
}

#[tokio::test(start_paused = true)]
async fn the_others_need_not_wait_for_an_owner_that_has_given_the_cell_up() {
    let node = virtual_node(&[Relay::Gone]);
    let owning = Heartbeat {
        owns: true,
        ..heartbeat_after_start()
    };
    node.shared.apply_heartbeat(&owning);
    node.shared.apply_heartbeat(&Heartbeat {
        owns: false,
        ..owning
    });
    assert_eq!(node.shared.owner().address, None);
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_does_not_know_whether_it_released_the_cell_does_not_go_on() {
    // Arrange: an owner that has not yet noticed that the store no longer answers, with nothing left
    // to record.
    let node = virtual_node_with_millicores(100, &[]);
    time_to_claim(&node).await;
    hear_peer(&node, 100, 3).await;
    node.faulty_store.silent.store(true, Ordering::Relaxed);

    // Act: the other node is far stronger now.
    hear_peer(&node, 500, 5).await;

    // Assert: the transaction that releases the cell may or may not have been committed.
    assert!(node.shared.engine().is_none());
}

/// The node hears the peer `n1` as owner under `epoch`, and then that it has released the cell.
fn another_node_releases_cell(node: &VirtualNode, epoch: u64) {
    let row = OwnerRow {
        former_owners: None,
        asks_consent: true,
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
            ..heartbeat_after_start()
        });
    }
}

#[tokio::test(start_paused = true)]
async fn a_candidate_that_waited_for_one_owner_does_not_claim_at_once_from_the_next() {
    // Arrange: an owner releases the cell, and a weak node leaves stronger ones some 260 ms to
    // claim it.
    let node = virtual_node_with_millicores(120, &[Relay::Gone]);
    tokio::spawn(election::run(Arc::clone(&node.shared)));
    another_node_releases_cell(&node, 5);
    tokio::time::sleep(Duration::from_millis(200)).await;

    // Act: another node has claimed the cell meanwhile, and soon releases it.
    another_node_releases_cell(&node, 6);
    let began = node.shared.now();
    while owner_row(&node).await.name != "n0" {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }

    // Assert: stronger nodes had the full time again.
    let waited = node.shared.now() - began;
    assert!(waited >= 260, "{waited} ms");
}

#[tokio::test(start_paused = true)]
async fn a_former_owner_that_has_started_again_does_not_end_the_wait_for_a_claim() {
    // Arrange: the node has heard an owner, and then another node that claims the cell from it.
    let node = virtual_node(&[Relay::Gone, Relay::Gone]);
    node.shared.apply_heartbeat(&Heartbeat {
        owns: true,
        ..heartbeat_after_start()
    });
    tokio::time::sleep(Duration::from_millis(600)).await;
    node.shared.apply_heartbeat(&Heartbeat {
        name: String::from("n2"),
        address: String::from("127.0.0.1:2"),
        claim_age: Some(0),
        ..heartbeat_after_start()
    });

    // Act: the former owner has restarted and does not own the cell any more.
    node.shared.apply_heartbeat(&Heartbeat {
        boot: 2,
        ..heartbeat_after_start()
    });

    // Assert.
    assert_eq!(node.shared.owner().address, None);
    assert!(!node.shared.owner().is_suspect(node.shared.now()));
}

#[tokio::test(start_paused = true)]
async fn a_claim_whose_answer_is_late_is_not_written_again() {
    // Arrange: a store that takes 700 ms for each answer.
    let node = virtual_node(&[Relay::Works]);
    node.shared.apply_heartbeat(&heartbeat_after_start());
    node.faulty_store.delay.store(700, Ordering::Relaxed);

    // Act: a claim through another node would be a second one.
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
async fn a_claim_that_conflicts_with_the_last_write_of_a_dead_owner_is_repeated_at_once() {
    // Arrange: a node reads the ownership row, and its claim takes 500 ms to reach the store.
    let node = virtual_node(&[Relay::Gone]);
    claim(&node.store, "n9", 1, 5);
    node.faulty_store.delay.store(500, Ordering::Relaxed);
    tokio::spawn(election::run(Arc::clone(&node.shared)));
    tokio::time::sleep(Duration::from_millis(800)).await;

    // Act: a transaction that the former owner sent before it died is committed.
    claim(&node.store, "n9", 1, 5);
    tokio::time::sleep(Duration::from_millis(1_000)).await;

    // Assert.
    let row = owner_row(&node).await;
    assert_eq!(
        (row.epoch, row.name.as_str()),
        (tuning::next_epoch(5), "n0")
    );
}
