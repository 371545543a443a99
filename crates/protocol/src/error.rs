//! Errors of a connection between gingerkeel processes.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// A connection failed or a frame cannot be decoded; the connection has to be closed.
    #[derive(Debug)]
    pub enum ProtocolError {
        /// The length prefix of a frame exceeds the limit.
        FrameTooLarge(announced: usize, limit: usize) {
            display("a frame of {announced} bytes exceeds {limit}: check that the peer is a gingerkeel process")
        }
        /// The bytes are not a frame of the expected type.
        Malformed(reason: String) {
            display("not a frame of the expected kind ({reason}): run the same release at both ends")
        }
        /// A document cannot be encoded or decoded.
        Document(reason: String) {
            display("a document is not understood ({reason}): run the same release at both ends")
        }
        /// The peer exceeded a time limit.
        TimedOut(what: &'static str) {
            display("the peer is silent ({what}): check that it runs and is reachable")
        }
        /// The memory for connections of other processes is used up.
        NoRoom {
            display("the memory for connections is used up: raise memory_mb in the settings, or check who connects")
        }
        /// An operation on the socket failed.
        Socket(error: io::Error) {
            from()
            source(error)
            display("socket error ({error}): check that the peer runs and is reachable")
        }
    }
}
