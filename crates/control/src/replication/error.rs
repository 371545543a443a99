//! Reasons why the log refuses a request, or does not start.

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
        /// The core refused it: it was not taken.
        Refused(error: consensus::ProposeError) {
            from()
            source(error)
            display("{error}")
        }
        /// The disk takes no writes: it was not taken.
        Storage(reason: String) {
            display("{reason}")
        }
        /// The leader changed before it was accepted; it may be accepted all the same.
        Dropped {
            display("the leader changed before the change was accepted: send it again with the same session and sequence number")
        }
        /// No quorum took it in time; it may be accepted all the same.
        NoQuorum {
            display("no quorum of control processes took the change in time: send it again with the same session and sequence number, or ask another control process")
        }
        /// The process is stopping; the command may be accepted all the same.
        Stopping {
            display("this control process is stopping: send the change again with the same session and sequence number to another one")
        }
    }
}

quick_error! {
    /// A read that was not confirmed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ReadError {
        /// No quorum confirmed it.
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
    /// A change of the members that was refused, or whose outcome is not known.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ChangeError {
        /// The leader refused it: nothing was changed.
        Refused(error: consensus::MemberChangeError) {
            from()
            source(error)
            display("{error}")
        }
        /// The leader changed, or did not answer; look the members up before asking again.
        Dropped {
            display("the leader changed before the change was accepted: look the members up by SHOW STATUS, and ask again if it is not made")
        }
    }
}
