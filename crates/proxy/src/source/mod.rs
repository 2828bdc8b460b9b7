//! Sources of the list of backends.

mod departures;
pub mod discovery;
mod discovery_call;
pub mod endpoints;
pub mod service;
