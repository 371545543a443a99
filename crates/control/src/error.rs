//! Reasons why a control process does not start.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

use crate::replication::StartError;

quick_error! {
    /// The control process cannot start; the message names the remedy.
    #[derive(Debug)]
    pub enum RunError {
        /// An address cannot be bound.
        Address(address: SocketAddr, error: io::Error) {
            source(error)
            display("address {address}: {error}: check that the address is this machine's and is free")
        }
        /// The replicated log cannot be started.
        Log(error: StartError) {
            from()
            source(error)
            display("{error}")
        }
    }
}
