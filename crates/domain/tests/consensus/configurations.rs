//! Changes of the members as a table.

use gingerkeel_domain::consensus::{
    Configuration, Incarnation, MemberChange, MemberChangeError, MemberId, NodeNumber,
};
use rstest::rstest;

fn id(node: u32, incarnation: u64) -> MemberId {
    MemberId { node: NodeNumber(node), incarnation: Incarnation(incarnation) }
}

fn configuration(voters: &[MemberId], learners: &[MemberId]) -> Configuration {
    Configuration {
        voters: voters.iter().copied().collect(),
        learners: learners.iter().copied().collect(),
    }
}

#[rstest]
#[case::new_machine(MemberChange::AddLearner(id(4, 1)), Ok(()))]
#[case::new_folder(MemberChange::AddLearner(id(1, 2)), Ok(()))]
#[case::same_folder(
    MemberChange::AddLearner(id(1, 1)),
    Err(MemberChangeError::AlreadyMember(id(1, 1)))
)]
#[case::earlier_folder(
    MemberChange::AddLearner(id(3, 1)),
    Err(MemberChangeError::Superseded(id(3, 2)))
)]
#[case::learner(MemberChange::Promote(id(3, 2)), Ok(()))]
#[case::voter(MemberChange::Promote(id(1, 1)), Err(MemberChangeError::NotLearner(id(1, 1))))]
#[case::remove_voter(MemberChange::Remove(id(2, 1)), Ok(()))]
#[case::remove_learner(MemberChange::Remove(id(3, 2)), Ok(()))]
#[case::remove_stranger(
    MemberChange::Remove(id(9, 1)),
    Err(MemberChangeError::NotMember(id(9, 1)))
)]
fn changes_fit_the_members(
    #[case] change: MemberChange,
    #[case] expected: Result<(), MemberChangeError>,
) {
    let before = configuration(&[id(1, 1), id(2, 1)], &[id(3, 2)]);
    let after = before.changed(change);
    assert_eq!(after.as_ref().map(|_| ()).map_err(|error| *error), expected);
    assert_eq!(after.is_ok_and(|after| after.reflects(change)), expected.is_ok());
}

#[test]
fn the_last_voter_stays() {
    let before = configuration(&[id(1, 1)], &[id(2, 1)]);
    let removed = before.changed(MemberChange::Remove(id(1, 1)));
    assert_eq!(removed, Err(MemberChangeError::LastVoter(id(1, 1))));
}

/// Two quorums around any single change share a voter: the reason why no joint one is needed.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
#[case(5)]
fn quorums_around_a_change_share_a_voter(#[case] voters: u32) {
    let before = Configuration::of_voters((1..=voters).map(|node| id(node, 1)));
    let mut after = before.clone();
    after.voters.insert(id(voters + 1, 1));
    assert!(before.quorum() + after.quorum() > after.voters.len());
}

#[rstest]
#[case::nothing_lost(&[id(1, 1), id(2, 1)], &[id(3, 1)], true, None)]
#[case::not_caught_up(&[id(1, 1), id(2, 1)], &[id(2, 5)], false, None)]
#[case::promote_first(
    &[id(1, 1), id(2, 1)], &[id(2, 5)], true, Some(MemberChange::Promote(id(2, 5)))
)]
#[case::then_remove(&[id(1, 1), id(2, 1), id(2, 5)], &[], true, Some(MemberChange::Remove(id(2, 1))))]
#[case::learner_at_once(
    &[id(1, 1)], &[id(2, 1), id(2, 5)], false, Some(MemberChange::Remove(id(2, 1)))
)]
fn a_lost_folder_is_replaced(
    #[case] voters: &[MemberId],
    #[case] learners: &[MemberId],
    #[case] caught_up: bool,
    #[case] expected: Option<MemberChange>,
) {
    assert_eq!(configuration(voters, learners).replacement(|_| caught_up), expected);
}
