//! Early ends: ends of jobs that nodes tell one another while the store cannot record them.

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

/// Returns the heartbeat of an owner that could not record these ends yet.
fn owner_heartbeat(epoch: u64, ends: &[(JobId, JobState)]) -> Heartbeat {
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
    early.apply_heartbeat(&owner_heartbeat(1, &[END]));
    assert_eq!(early.state(END.0), Some(JobState::Succeeded));
    early.apply_heartbeat(&owner_heartbeat(1, &[]));
    assert_eq!(early.state(END.0), None);
}

#[test]
fn an_end_is_kept_until_a_successor_has_been_told_of_it() {
    // Arrange.
    let mut early = EarlyEnds::default();
    early.apply_heartbeat(&owner_heartbeat(1, &[END]));

    // Act: the answer to the successor's first heartbeat reports the end.
    early.apply_heartbeat(&owner_heartbeat(2, &[]));
    let reported = early.unknown_to(2);
    early.apply_heartbeat(&owner_heartbeat(1, &[]));
    let after_late_heartbeat = early.state(END.0);
    early.apply_heartbeat(&owner_heartbeat(2, &[]));

    // Assert.
    assert_eq!(reported, [END]);
    assert_eq!(after_late_heartbeat, None, "its own owner has recorded it");
    assert_eq!(early.state(END.0), None);
}

/// Guards against showing the end of a job to callers of other workspaces that ask for its id while
/// the store is unavailable.
#[test]
fn an_end_is_told_to_callers_of_its_workspace_only() {
    let mut early = EarlyEnds::default();
    early.apply_heartbeat(&Heartbeat {
        workspaces: vec![(END.0, String::from("team"))],
        ..owner_heartbeat(1, &[END, (JobId(2), JobState::Failed)])
    });

    let may_see = |name: &str, id| early.may_see(&Caller::Workspace(name.to_owned()), id);

    assert!(may_see("team", END.0));
    assert!(!may_see("other", END.0));
    assert!(!early.may_see(&Caller::Anonymous, END.0));
    assert!(may_see("other", JobId(2)), "it belongs to no workspace");
}

#[tokio::test(start_paused = true)]
async fn a_node_without_an_owner_does_not_tell_another_workspace_of_an_end() {
    // Arrange: the owner has reported an end and has stopped.
    let node = virtual_node(&[]);
    node.shared.apply_heartbeat(&Heartbeat {
        name: String::from("n1"),
        address: String::from("127.0.0.1:1"),
        workspaces: vec![(END.0, String::from("team"))],
        ..owner_heartbeat(16, &[END])
    });
    let front = Frontend::new(Arc::clone(&node.shared));

    // Act
    let ask = |name: &str| Caller::Workspace(name.to_owned());
    let own = front.state(&ask("team"), END.0, None).await;
    let other = front.state(&ask("other"), END.0, None).await;

    // Assert
    assert_eq!(own, JobAnswer::State(JobState::Succeeded));
    assert_eq!(other, JobAnswer::Unknown);
}
