//! How old what we know of the backends is. Nothing here decides.

use crate::api::{ListKind, Micros};
use crate::state::Balancer;

/// How far the list is known.
#[derive(Default)]
pub(crate) struct EndpointsFreshness {
    /// When it was last told as it stood then, put off by the time in which it could not be had; 0 before any.
    pub updated_at: Micros,
    /// When it was last found out of reach; none once a call came as far as a connection. Between two such calls in a
    /// row it counts as out of reach, and at no other time.
    unreached_at: Option<Micros>,
    /// Since when another service is to tell it, put off likewise; none once that one did.
    moved_at: Option<Micros>,
}

impl EndpointsFreshness {
    /// Enters that the list was told, or was not to be had; whether the latter.
    pub fn record_update(&mut self, now: Micros, kind: ListKind) -> bool {
        let unreached_at = self.unreached_at.take();
        match kind {
            ListKind::Full => (self.updated_at, self.moved_at) = (now, None),
            // Changes that the service before still tells are no news of what the new one has.
            ListKind::Delta if self.moved_at.is_some() => {}
            ListKind::Delta => self.updated_at = now,
            // What cannot be reached binds nobody.
            ListKind::Unreachable => {
                let gap = unreached_at.map_or(0, |at| now.saturating_sub(at));
                self.updated_at += gap;
                self.moved_at = self.moved_at.map(|at| at + gap);
                self.unreached_at = Some(now);
            }
            ListKind::DiscoveryMoved => self.moved_at = Some(now),
            ListKind::Failed => {}
        }
        !matches!(kind, ListKind::Full | ListKind::Delta)
    }
}

impl Balancer {
    /// Whether what the list has to tell may bind by now without having come. Then nothing is known of any backend: one
    /// that took a request lately may have been announced as leaving long before, as a draining one takes them too.
    pub(crate) fn endpoints_stale(&self, now: Micros) -> bool {
        let EndpointsFreshness { updated_at, moved_at, .. } = self.freshness;
        self.settings.max_endpoints_age.is_some_and(|after| {
            let moved = moved_at.is_some_and(|at| now >= at + self.settings.max_endpoints_age_after_move);
            moved || now >= updated_at + after
        })
    }
}
