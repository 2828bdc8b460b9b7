//! Which discovery service is responsible.

use std::net::SocketAddr;

/// A discovery service for as long as it is responsible for this proxy. Two values are equal only if they stand
/// for the same period: an address that is named again, after a move there and back, belongs to a new service,
/// to whose answers, connections and indexes those of the earlier one are foreign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryService {
    /// Number of services that were responsible before.
    epoch: u64,
    address: SocketAddr,
}

impl DiscoveryService {
    /// The service that is responsible from the start of the process.
    pub fn first(address: SocketAddr) -> Self {
        DiscoveryService { epoch: 0, address }
    }

    /// The service at `address` that becomes responsible after this one.
    pub fn followed_by(self, address: SocketAddr) -> Self {
        DiscoveryService { epoch: self.epoch + 1, address }
    }

    /// Where the service can be called.
    pub fn address(self) -> SocketAddr {
        self.address
    }
}
