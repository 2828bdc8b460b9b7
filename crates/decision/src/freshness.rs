//! The age of the proxy's information about the backends. This module keeps the times; `logic` decides.

use crate::api::{ListKind, Micros};
use crate::state::Balancer;

/// How recent the endpoint list is.
#[derive(Default)]
pub(crate) struct EndpointsFreshness {
    /// When discovery last reported or confirmed the endpoint list, moved forward by the time in which
    /// discovery was unreachable; 0 before the first report.
    pub updated_at: Micros,
    /// When discovery was last found unreachable; `None` once a call got a connection. Discovery counts as
    /// unreachable only between two such calls in a row.
    last_unreachable_at: Option<Micros>,
    /// When another discovery service became responsible, moved forward likewise; `None` once that service
    /// has reported its endpoint list.
    discovery_moved_at: Option<Micros>,
}

impl EndpointsFreshness {
    /// Records a report about the endpoint list. Returns whether it has no entries, as after a failed call.
    pub fn record_update(&mut self, now: Micros, kind: ListKind) -> bool {
        let last_unreachable_at = self.last_unreachable_at.take();
        match kind {
            ListKind::Full => (self.updated_at, self.discovery_moved_at) = (now, None),
            // A delta from the previous discovery service says nothing about the list of the new one.
            ListKind::Delta if self.discovery_moved_at.is_some() => {}
            ListKind::Delta => self.updated_at = now,
            // A list that cannot be reached need not be obeyed, so the time without reach does not count.
            ListKind::Unreachable => {
                let unreachable_time = last_unreachable_at.map_or(0, |at| now.saturating_sub(at));
                self.updated_at += unreachable_time;
                self.discovery_moved_at = self.discovery_moved_at.map(|at| at + unreachable_time);
                self.last_unreachable_at = Some(now);
            }
            ListKind::DiscoveryMoved => self.discovery_moved_at = Some(now),
            // An earlier service says nothing about the list of the responsible one, nor whether it is reachable.
            ListKind::Superseded => self.last_unreachable_at = last_unreachable_at,
            ListKind::Failed => {}
        }
        !matches!(kind, ListKind::Full | ListKind::Delta | ListKind::Superseded)
    }
}

impl Balancer {
    /// Whether a change of the endpoint list that must be obeyed by now may not have reached the proxy. Then
    /// nothing is known of any backend. Even a backend that took a request recently may have been announced
    /// as draining long before, as a draining backend takes requests too.
    pub(crate) fn endpoints_stale(&self, now: Micros) -> bool {
        let EndpointsFreshness { updated_at, discovery_moved_at, .. } = self.freshness;
        self.settings.max_endpoints_age.is_some_and(|max_age| {
            let stale_after_move =
                discovery_moved_at.is_some_and(|at| now >= at + self.settings.max_endpoints_age_after_move);
            stale_after_move || now >= updated_at + max_age
        })
    }
}
