//! Request key and its text form.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

use crate::identifiers::{BrokerName, BrokerRun};

quick_error! {
    /// Error of parsing a request key.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum KeyError {
        /// The text is not of the form `BROKER.RUN.SEQUENCE`.
        Malformed {
            display("not a request key: use one that POST /v1/request-keys gave, unchanged")
        }
    }
}

/// Identifies one request to one broker run. The text form is `BROKER.RUN.SEQUENCE`, with the run
/// in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey {
    /// Broker that issued the key.
    pub broker: BrokerName,
    /// Broker run that issued the key; no other run executes the request.
    pub run: BrokerRun,
    /// Number of the key within the run, from 0.
    pub sequence: u64,
}

impl fmt::Display for RequestKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{:016x}.{}", self.broker, self.run.0, self.sequence)
    }
}

impl FromStr for RequestKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let mut parts = text.split('.');
        let (Some(broker), Some(run), Some(sequence), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(KeyError::Malformed);
        };
        if broker.is_empty() {
            return Err(KeyError::Malformed);
        }
        let run = u64::from_str_radix(run, 16).map_err(|_| KeyError::Malformed)?;
        let sequence = sequence.parse().map_err(|_| KeyError::Malformed)?;
        Ok(Self { broker: BrokerName::new(broker), run: BrokerRun(run), sequence })
    }
}

/// Request key together with the content of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRequest {
    /// Key that the caller sent with the request.
    pub key: RequestKey,
    /// Digest of the request; a request with another digest under the same key is refused.
    pub digest: u64,
}
