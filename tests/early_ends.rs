//! Ends that the store could not take, as nodes tell them to one another.

mod virtual_node;

use std::sync::Arc;

use crossweir::cell::job::JobState;
use crossweir::cell::spec::JobId;
use crossweir::node::early_ends::EarlyEnds;
use crossweir::node::front::{Frontend, JobAnswer};
use crossweir::rpc::node::Heartbeat;
use crossweir::workspace::Caller;
use virtual_node::virtual_node;

const END: (JobId, JobState) = (JobId(1), JobState::Succeeded);

fn owner(epoch: u64, ends: &[(JobId, JobState)]) -> Heartbeat {
    Heartbeat {
        epoch,
        owns: true,
        ends: ends.to_vec(),
        ..Heartbeat::default()
    }
}

#[test]
fn an_end_is_forgotten_when_its_owner_has_recorded_it() {
    let mut early = EarlyEnds::default();
    early.apply_heartbeat(&owner(1, &[END]));
    assert_eq!(early.state(END.0), Some(JobState::Succeeded));
    early.apply_heartbeat(&owner(1, &[]));
    assert_eq!(early.state(END.0), None);
}

#[test]
fn an_end_is_kept_until_a_successor_has_been_told_of_it() {
    // Arrange.
    let mut early = EarlyEnds::default();
    early.apply_heartbeat(&owner(1, &[END]));

    // Act: the answer to the successor's first heartbeat tells of it.
    early.apply_heartbeat(&owner(2, &[]));
    let told = early.unknown_to(2);
    early.apply_heartbeat(&owner(1, &[]));
    let after_a_late_word = early.state(END.0);
    early.apply_heartbeat(&owner(2, &[]));

    // Assert.
    assert_eq!(told, [END]);
    assert_eq!(after_a_late_word, None, "its own owner has recorded it");
    assert_eq!(early.state(END.0), None);
}

/// The load: the store is away, and callers of other workspaces ask for ids that are not theirs.
#[test]
fn an_end_is_told_to_callers_of_its_workspace_only() {
    let mut early = EarlyEnds::default();
    early.apply_heartbeat(&Heartbeat {
        workspaces: vec![(END.0, String::from("team"))],
        ..owner(1, &[END, (JobId(2), JobState::Failed)])
    });

    let may_see = |name: &str, id| early.may_see(&Caller::Workspace(name.to_owned()), id);

    assert!(may_see("team", END.0));
    assert!(!may_see("other", END.0));
    assert!(!early.may_see(&Caller::Anonymous, END.0));
    assert!(may_see("other", JobId(2)), "it belongs to no workspace");
}

#[tokio::test(start_paused = true)]
async fn a_node_without_an_owner_does_not_tell_another_workspace_of_an_end() {
    // Arrange: the owner has told of an end and is gone.
    let node = virtual_node(&[]);
    node.shared.apply_heartbeat(&Heartbeat {
        name: String::from("n1"),
        address: String::from("127.0.0.1:1"),
        workspaces: vec![(END.0, String::from("team"))],
        ..owner(16, &[END])
    });
    let front = Frontend::new(Arc::clone(&node.shared));

    // Act
    let ask = |name: &str| Caller::Workspace(name.to_owned());
    let own = front.state(&ask("team"), END.0, None).await;
    let anothers = front.state(&ask("other"), END.0, None).await;

    // Assert
    assert_eq!(own, JobAnswer::State(JobState::Succeeded));
    assert_eq!(anothers, JobAnswer::Unknown);
}
