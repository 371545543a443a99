//! Disks for tests of the data folder.
#![allow(dead_code)]

pub mod faulty;
pub mod volatile;
