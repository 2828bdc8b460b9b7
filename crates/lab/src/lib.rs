#![forbid(unsafe_code)]
//! Shared by the lab's commands and tests: planted defects, which show that the observer detects broken rules.

pub mod defects;
