//! Reasons why a rehearsal cannot go on.

use std::io;

use gingerkeel_settings::SettingsError;
use gingerkeel_transport::TransportError;
use quick_error::quick_error;

quick_error! {
    /// A rehearsal that cannot go on.
    #[derive(Debug)]
    pub enum RehearsalError {
        /// A file, folder or address is not usable.
        Resource(what: String, error: io::Error) {
            source(error)
            display("{what}: {error}: check the path, its permissions and the free space")
        }
        /// A settings file is not accepted.
        Settings(error: SettingsError) {
            from()
            source(error)
            display("{error}")
        }
        /// A flag is missing or wrong.
        Flag(remedy: String) {
            display("{remedy}")
        }
        /// A record of a log or journal is not understood.
        BadRecord(file: String, line: usize, reason: String) {
            display("{file}: line {line}: {reason}: remove the line, or record the run again")
        }
        /// A program could not be started.
        NotStarted(program: String, error: io::Error) {
            source(error)
            display("{program} cannot be started ({error}): build the whole workspace first")
        }
        /// A process ended before it was ready.
        EndedEarly(process: String, log: String) {
            display("{process} ended before it was ready: read its log {log}")
        }
        /// A process was not ready in time.
        NotReady(what: String) {
            display("{what} was not ready in time: run fewer processes, or read the logs")
        }
        /// A process did not answer.
        Exchange(what: String, error: TransportError) {
            source(error)
            display("{what}: {error}")
        }
        /// A replicated log does not start, or does not answer.
        Log(reason: String) {
            display("{reason}")
        }
        /// Statements were refused.
        Refused(reason: String) {
            display("a statement was refused ({reason}): correct the topology")
        }
    }
}

impl RehearsalError {
    /// An error of a file, folder or address.
    pub fn resource(what: impl ToString, error: io::Error) -> Self {
        Self::Resource(what.to_string(), error)
    }
}
