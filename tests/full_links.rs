//! Which node of a whole cell owns it when owning it takes more than most links carry, and how often
//! the owner changes.

mod virtual_cell;
mod virtual_node;

use std::collections::HashMap;
use std::time::Duration;

use crossweir::cell::WorkerKey;
use crossweir::clock::Millis;
use crossweir::node::link_load::{Call, Ending, Peer};
use slotmap::KeyData;
use virtual_cell::link::MEGABIT;
use virtual_cell::{VirtualCell, VmPlan};

/// What an owner sends in [`STEP`]: 25 Mbit/s.
const BYTES_A_STEP: usize = 25 * MEGABIT * STEP.as_millis() as usize;
/// How often the traffic of the owner is made.
const STEP: Duration = Duration::from_millis(50);
/// The longest queue on a link: senders wait for their windows.
const MAX_QUEUE: Duration = Duration::from_millis(240);
/// The workers of the cell.
const WORKERS: u64 = 48;
/// The number of nodes.
const NODES: usize = 12;

fn plan(millicores: u32, megabits: usize) -> VmPlan {
    VmPlan {
        millicores,
        bytes_per_ms: megabits * MEGABIT,
        tells_link: true,
    }
}

/// Each owner's calls to workers go over its link for `seconds`.  Returns for how many milliseconds
/// each node owned the cell, and how many owners there were one after the other.
async fn own_under_load(cell: &VirtualCell, seconds: u64) -> (HashMap<String, Millis>, usize) {
    let mut held: HashMap<String, Millis> = HashMap::new();
    let mut owners: Vec<String> = Vec::new();
    for _ in 0..seconds * 1_000 / STEP.as_millis() as u64 {
        for member in cell.members.iter().filter(|member| member.owns()) {
            let delay = member.link().offer(BYTES_A_STEP, MAX_QUEUE);
            note_calls(member, delay.as_millis() as Millis);
            let name = &member.shared().name;
            *held.entry(name.clone()).or_default() += STEP.as_millis() as Millis;
            if owners.last() != Some(name) {
                owners.push(name.clone());
            }
        }
        tokio::time::sleep(STEP).await;
    }
    (held, owners.len())
}

/// Whether the owner has noticed that its link is full.
fn is_owner_full(cell: &VirtualCell) -> bool {
    let owner = cell.members.iter().find(|member| member.owns());
    owner.is_some_and(|owner| owner.shared().load.is_link_full())
}

/// The calls of the node to all workers take this long, in milliseconds.
fn note_calls(member: &virtual_cell::Member, took: Millis) {
    let call = Call {
        took,
        wait: 0,
        ending: Ending::Answered,
    };
    for number in 1..=WORKERS {
        let worker = WorkerKey::from(KeyData::from_ffi((1 << 32) + number));
        member.shared().load.note_call(Peer::Worker(worker), call);
    }
}

/// Three wide nodes with few processors, which start last; all others have more processors, and
/// narrow links.
fn few_wide(place: usize) -> VmPlan {
    match place {
        place if place + 3 >= NODES => plan(120, 200),
        _ => plan(300, 10),
    }
}

#[tokio::test(start_paused = true)]
async fn a_wide_node_with_fewer_processors_owns_the_cell() {
    let mut cell = VirtualCell::settled_with_configuration(NODES, few_wide).await;

    let (held, _) = own_under_load(&cell, 30).await;

    let wide = |name: &String| name.as_str() >= "n009";
    assert!(held.keys().all(wide), "{held:?}");
    cell.kill_all();
}

#[tokio::test(start_paused = true)]
async fn after_the_wide_nodes_are_gone_a_narrow_one_keeps_the_cell_until_one_is_back() {
    // Arrange: all wide nodes are killed.
    let mut cell = VirtualCell::settled_with_configuration(NODES, few_wide).await;
    for _ in 0..3 {
        cell.kill(NODES - 3);
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let (_, owners) = own_under_load(&cell, 20).await;
    assert_eq!(owners, 1, "all that are left are equal");
    assert!(is_owner_full(&cell));

    // Act: one more node starts, which is wide.
    let wide = cell.add(&[]);
    let (_, owners) = own_under_load(&cell, 20).await;

    // Assert: the narrow owner has made way, once.
    assert!(cell.members[wide].owns());
    assert_eq!(owners, 2);
    cell.kill_all();
}

fn all_narrow(_: usize) -> VmPlan {
    plan(300, 10)
}

fn ever_wider(place: usize) -> VmPlan {
    plan(300, 5 + place)
}

// Guards against ownership that circulates among nodes of which none can carry the cell.
#[tokio::test(start_paused = true)]
async fn among_equal_narrow_nodes_the_owner_stays() {
    let mut cell = VirtualCell::settled_with_configuration(NODES, all_narrow).await;

    let (_, owners) = own_under_load(&cell, 120).await;

    assert!(is_owner_full(&cell));
    assert_eq!(owners, 1);
    cell.kill_all();
}

// Guards against ownership that circulates among nodes of which none can carry the cell.
#[tokio::test(start_paused = true)]
async fn among_unequal_narrow_nodes_the_owner_changes_a_few_times_at_most() {
    let mut cell = VirtualCell::settled_with_configuration(NODES, ever_wider).await;

    let (held, owners) = own_under_load(&cell, 120).await;

    assert!(is_owner_full(&cell));
    assert!(owners <= 2, "{owners} owners: {held:?}");
    cell.kill_all();
}
