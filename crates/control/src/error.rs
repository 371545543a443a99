//! Errors at the start of a control process.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

use crate::replication::StartError;

quick_error! {
    /// Why a control process cannot start.
    #[derive(Debug)]
    pub enum ControlError {
        /// An address cannot be bound.
        Address(address: SocketAddr, error: io::Error) {
            source(error)
            display("address {address}: {error}: check that the address is this machine's and is free")
        }
        /// Handlers for signals cannot be registered.
        Signals(error: io::Error) {
            source(error)
            display("signals cannot be handled ({error}): check the limits of the process")
        }
        /// The replicated log cannot be started, for example because the data folder is in use.
        Log(error: StartError) {
            from()
            source(error)
            display("{error}")
        }
        /// The asynchronous runtime cannot start.
        Runtime(error: io::Error) {
            from()
            source(error)
            display("the runtime cannot start ({error}): check the limits of the process")
        }
    }
}
