//! Request keys: a request that must not run twice is run by one broker run, under one key.
//!
//! The key names the broker run that issued it, and only that run executes the request, so no two
//! processes ever need to agree on whether it ran. A resend waits for the run that goes on, or
//! gets its recorded outcome. A key of which there is no record (another run, expired) gets
//! "outcome unknown": the request may have run.

mod key;
mod table;

pub use key::{KeyError, KeyedRequest, RequestKey};
pub use table::{Claim, KeyLimits, KeysExhausted, RequestKeys};
