//! Request keys: at-most-once execution of requests that callers may resend.
//!
//! A key names the broker run that issued it, and only that run executes the request, so no two
//! processes have to agree on whether the request ran. A resend waits for the query that is
//! running under the key or gets the recorded outcome. For a key without a record (issued by
//! another run, or expired) the outcome is unknown: the request may have run.

mod key;
mod table;

pub use key::{KeyError, KeyedRequest, RequestKey};
pub use table::{Claim, KeyLimits, KeysExhausted, RequestKeys};
