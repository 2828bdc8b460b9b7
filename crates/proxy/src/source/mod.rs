//! Sources of the list of backends.

pub mod discovery;
