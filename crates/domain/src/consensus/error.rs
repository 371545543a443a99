//! Reasons why the core refuses a request.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::types::MemberId;

quick_error! {
    /// A command that was not taken into the log.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
    pub enum ProposeError {
        /// No leader is known at the moment.
        NoLeader {
            display("no leader is known: send the command again in a second, or ask a control process of the side that has a quorum")
        }
        /// Too much waits to be committed.
        Overloaded {
            display("too many commands wait to be committed: send the command again later")
        }
        /// The command is larger than one that can be replicated.
        TooLarge(size: usize, limit: usize) {
            display("a command of {size} bytes exceeds {limit}: split it")
        }
    }
}

quick_error! {
    /// A read that was not confirmed by a quorum.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
    pub enum ReadError {
        /// No leader is known at the moment.
        NoLeader {
            display("no leader is known: read again in a second, or ask a control process of the side that has a quorum")
        }
        /// The leader lost its office, or did not answer, before a quorum confirmed it.
        Dropped {
            display("the read was not confirmed by a quorum: read again")
        }
    }
}

quick_error! {
    /// A change of the members that was not taken into the log.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
    pub enum MemberChangeError {
        /// Only a leader changes members.
        NotLeader(leader: Option<MemberId>) {
            display("this member does not lead: ask the leader{}", named(*leader))
        }
        /// An earlier change has not been committed, or the leader has not committed an entry
        /// of its own term.
        ChangePending {
            display("an earlier change is not committed yet: ask again in a second")
        }
        /// The learner lacks entries.
        NotCaughtUp(member: MemberId) {
            display("learner {member} has not caught up: ask again once SHOW STATUS tells that it has")
        }
        /// Too few voters of the new configuration answer.
        QuorumAtRisk {
            display("too few voters would be left that answer: bring a stopped control machine back first")
        }
        /// The machine is a member with this or a later data folder.
        AlreadyMember(member: MemberId) {
            display("{member} is a member already, or its machine has rejoined since: nothing is to be done")
        }
        /// The member is not a learner.
        NotLearner(member: MemberId) {
            display("{member} is not a learner: add it as a learner first")
        }
        /// The member is not one.
        NotMember(member: MemberId) {
            display("{member} is not a member: look it up by SHOW STATUS")
        }
        /// A cluster cannot be without voters.
        LastVoter(member: MemberId) {
            display("{member} is the last voter: promote a learner first")
        }
    }
}

fn named(leader: Option<MemberId>) -> String {
    leader.map_or(String::new(), |leader| format!(", {leader}"))
}
