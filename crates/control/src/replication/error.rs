//! Errors of the replicated log: at start, and in answers to requests.

use std::io;
use std::net::SocketAddr;

use gingerkeel_domain::consensus;
use quick_error::quick_error;

use crate::storage::StorageError;

quick_error! {
    /// The log cannot be started.
    #[derive(Debug)]
    pub enum StartError {
        /// The data folder cannot be used.
        Storage(error: StorageError) {
            from()
            source(error)
            display("{error}")
        }
        /// The address for peers cannot be bound.
        Address(address: SocketAddr, error: io::Error) {
            source(error)
            display("peers' address {address}: {error}: check that the address is this machine's and is free")
        }
        /// No thread can be started.
        Thread(error: io::Error) {
            source(error)
            display("no thread for the data folder ({error}): check the limits of the process")
        }
    }
}

quick_error! {
    /// A command that was refused, or whose outcome is not known.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ProposeError {
        /// The consensus core refused the command; it is not in the log.
        Refused(error: consensus::ProposeError) {
            from()
            source(error)
            display("{error}")
        }
        /// The disk accepts no writes; the command is not in the log.
        Storage(reason: String) {
            display("{reason}")
        }
        /// The leader changed before the command was committed; it may still be committed.
        Dropped {
            display("the leader changed before the change was accepted: send it again with the same session and sequence number")
        }
        /// No quorum acknowledged the command in time; it may still be committed.
        NoQuorum {
            display("no quorum of control processes took the change in time: send it again with the same session and sequence number, or ask another control process")
        }
        /// The process is stopping; the command may still be committed.
        Stopping {
            display("this control process is stopping: send the change again with the same session and sequence number to another one")
        }
    }
}

quick_error! {
    /// A read that was not confirmed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ReadError {
        /// The consensus core could not have the read confirmed.
        Unconfirmed(error: consensus::ReadError) {
            from()
            source(error)
            display("{error}")
        }
        /// No quorum answered in time.
        NoQuorum {
            display("no quorum of control processes answered in time: ask another control process")
        }
        /// The process is stopping.
        Stopping {
            display("this control process is stopping: ask another one")
        }
    }
}

quick_error! {
    /// A planned stop that the leader did not permit.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StopError {
        /// The leader did not permit it in time.
        TimedOut {
            display("no leader permitted the stop in time: check that a quorum of control processes is up before the next one is stopped")
        }
        /// The replicated log has ended.
        Stopped {
            display("the replicated log has ended: see the log lines before")
        }
    }
}

quick_error! {
    /// A membership change that was refused, or whose outcome is not known.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ChangeError {
        /// The leader refused the change; the membership is unchanged.
        Refused(error: consensus::MemberChangeError) {
            from()
            source(error)
            display("{error}")
        }
        /// The leader changed or did not answer, so the outcome is unknown: check the members
        /// before retrying.
        Dropped {
            display("the leader changed before the change was accepted: look the members up by SHOW STATUS, and ask again if it is not made")
        }
    }
}
