//! What tells of execute nodes.

pub mod discovery;
