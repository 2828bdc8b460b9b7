//! Sources of the list of backends.

pub mod discovery;
mod discovery_call;
pub mod endpoints;
pub mod service;
