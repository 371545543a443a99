//! Stand-ins for back ends and callers, with load, faults and reports.

pub mod leaf;
