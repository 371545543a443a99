//! Stand-ins for back ends and callers, with load, faults and reports.

pub mod bench;
pub mod bench_consensus;
pub mod check;
pub mod clock;
pub mod demo;
pub mod error;
pub mod experiment;
pub mod fit;
pub mod fleet;
pub mod leaf;
pub mod load;
pub mod log_member;
pub mod plot;
pub mod process_usage;
pub mod record;
pub mod relay;
pub mod report_page;
pub mod soak;
