//! Errors of proposals, reads and membership changes.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::types::MemberId;

quick_error! {
    /// A command that was rejected before it entered the log.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
    pub enum ProposeError {
        /// No leader is currently known.
        NoLeader {
            display("no leader is known: retry in a second, or send the command to a control process on the side of the partition that has a quorum")
        }
        /// The limit of uncommitted entries is reached.
        Overloaded {
            display("too many uncommitted commands: retry later")
        }
        /// The command exceeds the size limit; holds its size and the limit in bytes.
        TooLarge(size: usize, limit: usize) {
            display("a command of {size} bytes exceeds the limit of {limit} bytes: split it")
        }
    }
}

quick_error! {
    /// A read that was not confirmed by a quorum.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
    pub enum ReadError {
        /// No leader is currently known.
        NoLeader {
            display("no leader is known: retry the read in a second, or send it to a control process on the side of the partition that has a quorum")
        }
        /// The leader stepped down or did not answer before a quorum confirmed the read.
        Dropped {
            display("the read was not confirmed by a quorum: retry the read")
        }
    }
}

quick_error! {
    /// A membership change that was rejected before it entered the log.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
    pub enum MemberChangeError {
        /// Only the leader changes the membership; holds the known leader.
        NotLeader(leader: Option<MemberId>) {
            display("this member is not the leader: send the change to the leader{}", leader_suffix(*leader))
        }
        /// An earlier change is uncommitted, or the leader has not yet committed an entry of
        /// its own term.
        ChangePending {
            display("an earlier membership change is not committed yet: retry in a second")
        }
        /// The learner's log lags too far behind, or the learner does not answer.
        NotCaughtUp(member: MemberId) {
            display("learner {member} has not caught up: retry once SHOW STATUS reports it as caught up")
        }
        /// No quorum of the new configuration would be reachable.
        QuorumAtRisk {
            display("the change would leave no reachable quorum of voters: bring a stopped control machine back first")
        }
        /// The machine is already a member with this data folder.
        AlreadyMember(member: MemberId) {
            display("{member} is already a member: no action is needed")
        }
        /// Only a learner can be promoted.
        NotLearner(member: MemberId) {
            display("{member} is not a learner: add it as a learner first")
        }
        /// The cluster has no such member.
        NotMember(member: MemberId) {
            display("{member} is not a member: SHOW STATUS lists the members")
        }
        /// The last voter of a cluster cannot be removed.
        LastVoter(member: MemberId) {
            display("{member} is the last voter: promote a learner first")
        }
        /// The machine is a member with a later data folder, which is named.
        Superseded(later: MemberId) {
            display("the machine is the member {later} by a later data folder: start it with that folder or an empty one")
        }
    }
}

fn leader_suffix(leader: Option<MemberId>) -> String {
    leader.map_or(String::new(), |leader| format!(", {leader}"))
}
