//! Ways in which a frame is not understood.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// A frame that is not understood; the connection is of no further use.
    #[derive(Debug)]
    pub enum ProtocolError {
        /// The frame announces more bytes than allowed.
        FrameTooLarge(announced: usize, limit: usize) {
            display("a frame of {announced} bytes exceeds {limit}: check that the peer is a gingerkeel process")
        }
        /// The bytes are not a frame of the expected kind.
        Malformed(reason: String) {
            display("not a frame of the expected kind ({reason}): run the same release at both ends")
        }
        /// The document inside a frame is not understood.
        Document(reason: String) {
            display("a document is not understood ({reason}): run the same release at both ends")
        }
        /// The peer did not do in time what it had to.
        TimedOut(what: &'static str) {
            display("the peer is silent ({what}): check that it runs and is reachable")
        }
        /// The socket failed.
        Socket(error: io::Error) {
            from()
            source(error)
            display("socket error ({error}): check that the peer runs and is reachable")
        }
    }
}
