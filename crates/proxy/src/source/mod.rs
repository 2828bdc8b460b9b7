//! What tells of backends.

pub mod discovery;
