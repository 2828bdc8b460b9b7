//! The identities of active requests. During an upgrade the two processes count as one proxy: an identity is
//! active in at most one of them.
//!
//! Only one process at a time reserves identities for new requests. A process does so until it has told its
//! successor its active identities, and from then on reports each of them that becomes free.

use std::collections::BTreeSet;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// The active identities of this process and of its predecessor.
#[derive(Default)]
pub struct Identities {
    /// Those of this process's requests.
    own: BTreeSet<String>,
    /// Those of the requests that the predecessor still holds.
    predecessor: BTreeSet<String>,
    /// Receives each identity that becomes free, for the successor. `None` while this process reserves
    /// identities itself.
    successor: Option<UnboundedSender<String>>,
}

impl Identities {
    /// Reserves an identity for a request of this process. Returns false if it is active already.
    pub fn reserve(&mut self, identity: &str) -> bool {
        !self.predecessor.contains(identity) && self.own.insert(identity.to_string())
    }

    /// Takes over an identity with a connection of the predecessor. Returns false if this process has a request
    /// with it.
    pub fn adopt(&mut self, identity: &str) -> bool {
        self.predecessor.remove(identity);
        self.own.insert(identity.to_string())
    }

    /// Frees the identity of a request of this process.
    pub fn release(&mut self, identity: &str) {
        self.own.remove(identity);
        self.report_free(identity);
    }

    /// Replaces the identities of the predecessor's requests.
    pub fn set_predecessor(&mut self, identities: Vec<String>) {
        let before = std::mem::replace(&mut self.predecessor, identities.into_iter().collect());
        before.iter().for_each(|identity| self.report_free(identity));
    }

    /// Frees the identity of a request that has ended at the predecessor.
    pub fn release_predecessor(&mut self, identity: &str) {
        self.predecessor.remove(identity);
        self.report_free(identity);
    }

    /// Tells the successor all active identities, and from now on each that becomes free. This process reserves
    /// none for new requests until [`Self::unshare`].
    pub fn share(&mut self) -> (Vec<String>, UnboundedReceiver<String>) {
        let (sender, free) = unbounded_channel();
        self.successor = Some(sender);
        (self.active(), free)
    }

    /// Ends the sharing with a successor that has gone.
    pub fn unshare(&mut self) {
        self.successor = None;
    }

    /// Whether the successor reserves the identities of new requests.
    pub fn are_shared(&self) -> bool {
        self.successor.is_some()
    }

    /// All active identities.
    pub fn active(&self) -> Vec<String> {
        self.own.union(&self.predecessor).cloned().collect()
    }

    /// Tells the successor that an identity is free, unless it is active in the other set.
    fn report_free(&self, identity: &str) {
        if self.own.contains(identity) || self.predecessor.contains(identity) {
            return;
        }
        if let Some(successor) = &self.successor {
            // A successor that has gone needs no report.
            let _ = successor.send(identity.to_string());
        }
    }
}

#[cfg(test)]
mod tests;
