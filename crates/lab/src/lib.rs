#![forbid(unsafe_code)]
//! What the lab's commands share: planted defects, which show that the observer finds what it is there for.

pub mod defects;
