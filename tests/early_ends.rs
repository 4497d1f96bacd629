//! Ends that the store could not take, as nodes tell them to one another.

use crossweir::cell::job::JobState;
use crossweir::cell::spec::JobId;
use crossweir::node::early::EarlyEnds;
use crossweir::rpc::node::Beat;

const END: (JobId, JobState) = (JobId(1), JobState::Succeeded);

fn owner(epoch: u64, ends: &[(JobId, JobState)]) -> Beat {
    Beat {
        epoch,
        owns: true,
        ends: ends.to_vec(),
        ..Beat::default()
    }
}

#[test]
fn an_end_is_forgotten_when_its_owner_has_recorded_it() {
    let mut early = EarlyEnds::default();
    early.hear(&owner(1, &[END]));
    assert_eq!(early.state(END.0), Some(JobState::Succeeded));
    early.hear(&owner(1, &[]));
    assert_eq!(early.state(END.0), None);
}

#[test]
fn an_end_is_kept_until_a_successor_has_been_told_of_it() {
    // Arrange.
    let mut early = EarlyEnds::default();
    early.hear(&owner(1, &[END]));

    // Act: the answer to the successor's first heartbeat tells of it.
    early.hear(&owner(2, &[]));
    let told = early.unknown_to(2);
    early.hear(&owner(1, &[]));
    let after_a_late_word = early.state(END.0);
    early.hear(&owner(2, &[]));

    // Assert.
    assert_eq!(told, [END]);
    assert_eq!(after_a_late_word, None, "its own owner has recorded it");
    assert_eq!(early.state(END.0), None);
}
