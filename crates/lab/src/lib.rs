#![forbid(unsafe_code)]
//! The lab's library: planted defects, which show that the observer detects broken rules.

pub mod defects;
