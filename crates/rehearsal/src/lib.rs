//! Stand-ins for back ends and callers, with load, faults and reports.

pub mod check;
pub mod clock;
pub mod demo;
pub mod error;
pub mod fleet;
pub mod leaf;
pub mod load;
pub mod log_member;
pub mod record;
