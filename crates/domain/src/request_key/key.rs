//! The key itself and its text.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

use crate::identifiers::{BrokerName, BrokerRun};

quick_error! {
    /// A text that is not a request key.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum KeyError {
        /// The text does not have the three parts of a key.
        Malformed {
            display("not a request key: use one that POST /v1/request-keys gave, unchanged")
        }
    }
}

/// Names one request of one broker run; its text is `BROKER.RUN.SEQUENCE`, the run in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey {
    /// The broker that issued it.
    pub broker: BrokerName,
    /// The run of the broker; no other run executes the request.
    pub run: BrokerRun,
    /// Number within the run, from 0.
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

/// A request under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRequest {
    /// The key.
    pub key: RequestKey,
    /// Digest of what is asked; another request under the same key is not run.
    pub digest: u64,
}
