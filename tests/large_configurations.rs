//! Versions of the configuration with thousands of queues, in a cell of which most nodes have a
//! narrow link.

mod cell_core;
mod virtual_cell;
mod virtual_node;

use std::sync::atomic::Ordering;
use std::time::Duration;

use cell_core::queue;
use crossweir::clock::Millis;
use crossweir::queue::{Configuration, Draft, Queue};
use crossweir::store::{RowKey, Table, Transaction, encode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;
use virtual_cell::link::MEGABIT;
use virtual_cell::{VirtualCell, VmPlan};

/// A version that is confirmed must be in force within this time at each node that can reach the
/// store or another node that has it, in milliseconds (docs/DESIGN.md, "Configuration").
const IN_FORCE_WITHIN: Millis = 2_000;
/// An outage of the store, longer than the store holds a request for changes.
const OUTAGE: Duration = Duration::from_secs(6);
/// A node has to notice within this time that the store can be reached again.
const REGAINED_WITHIN: Duration = Duration::from_millis(500);
/// The number of nodes.
const NODES: usize = 31;
/// The number of nodes with wide links; of the others, as many have more processors than the rest.
const WIDE: usize = 6;

/// Six strong VMs of 200 Mbit/s, six of 10 Mbit/s that are watchers because of their processors,
/// and weak ones of 10 Mbit/s.
fn vm(place: usize) -> VmPlan {
    let (millicores, megabits) = match place {
        0..WIDE => (500, 200),
        place if place < 2 * WIDE => (300, 10),
        _ => (90, 10),
    };
    VmPlan {
        millicores,
        bytes_per_ms: megabits * MEGABIT,
        tells_link: false,
    }
}

fn random_name(rng: &mut StdRng) -> String {
    (0..8).map(|_| rng.random_range('a'..='z')).collect()
}

fn random_queue(rng: &mut StdRng) -> Queue {
    let name = format!("r-{}", random_name(rng));
    Queue {
        host: format!("{}.example", random_name(rng)),
        prefix: format!("/{}/", random_name(rng)),
        ..queue(&name, 0)
    }
}

/// Writes a version of the configuration as the operator does.
fn write(cell: &VirtualCell, version: u64, queues: &[Queue]) {
    let config = Configuration::from(Draft {
        version,
        queues: queues.to_vec(),
        max_body: 1_000,
        workspaces: None,
    });
    let mut tx = Transaction::default();
    let key = RowKey::new(Table::Operator, "", "configuration");
    tx.puts.push((key, encode(&config)));
    cell.store.commit(&tx);
}

/// Waits until a version is in force at all nodes, for 8 s at most.  Returns how long that took,
/// in milliseconds, and the names of the nodes at which it is not in force.
async fn until_in_force(cell: &VirtualCell, version: u64) -> (Millis, Vec<String>) {
    let began = Instant::now();
    loop {
        let elapsed = began.elapsed().as_millis() as Millis;
        let behind = cell.members.iter().map(|member| member.shared());
        let behind = behind.filter(|shared| shared.config_version() < version);
        let behind: Vec<String> = behind.map(|shared| shared.name.clone()).collect();
        if behind.is_empty() || elapsed >= 8_000 {
            return (elapsed, behind);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Writes version 1 with this many queues, and waits until it is in force at all nodes.
async fn write_first(cell: &VirtualCell, size: usize) {
    let mut rng = StdRng::seed_from_u64(1);
    let queues: Vec<Queue> = (0..size).map(|_| random_queue(&mut rng)).collect();
    write(cell, 1, &queues);
    until_in_force(cell, 1).await;
}

// Guards against probes of the store that read a row of any size: at 10 Mbit/s none of them ends in
// time, and together they fill the link.
#[tokio::test(start_paused = true)]
async fn a_node_with_a_narrow_link_regains_the_store_beside_a_large_configuration() {
    let cell = VirtualCell::settled_with_configuration(NODES, vm).await;
    write_first(&cell, 5_600).await;
    let node = &cell.members[NODES - 1];
    node.node_store.unavailable.store(true, Ordering::Relaxed);
    tokio::time::sleep(OUTAGE).await;
    assert!(!node.shared().reaches_store(), "the outage is noticed");

    node.node_store.unavailable.store(false, Ordering::Relaxed);
    tokio::time::sleep(REGAINED_WITHIN).await;

    assert!(node.shared().reaches_store());
}

// Guards against time limits that do not depend on the size of what is sent: at 10 Mbit/s a
// version of thousands of queues then takes several attempts, or never arrives.
#[tokio::test(start_paused = true)]
async fn a_large_version_is_in_force_in_time_at_nodes_with_narrow_links() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut queues: Vec<Queue> = Vec::new();
    let cell = VirtualCell::settled_with_configuration(NODES, vm).await;
    let mut late = Vec::new();
    let mut version = 0;
    for size in [1_400, 4_200, 5_600] {
        queues.resize_with(size, || random_queue(&mut rng));
        // Each large change is followed by a small one, once it has been confirmed.
        for _ in 0..2 {
            version += 1;
            queues.push(random_queue(&mut rng));

            write(&cell, version, &queues);
            let (took, behind) = until_in_force(&cell, version).await;

            if took > IN_FORCE_WITHIN {
                late.push(format!(
                    "{} queues after {took} ms, not at {behind:?}",
                    queues.len()
                ));
            }
        }
    }

    assert!(late.is_empty(), "{late:#?}");
}
