//! Reasons why a control process does not start.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

use crate::replication::StartError;

quick_error! {
    /// A control process cannot start.
    #[derive(Debug)]
    pub enum ControlError {
        /// An address cannot be bound.
        Address(address: SocketAddr, error: io::Error) {
            source(error)
            display("address {address}: {error}: check that the address is this machine's and is free")
        }
        /// The replicated log cannot be opened.
        Log(error: StartError) {
            from()
            source(error)
            display("{error}")
        }
        /// The runtime cannot start.
        Runtime(error: io::Error) {
            from()
            source(error)
            display("the runtime cannot start ({error}): check the limits of the process")
        }
    }
}
