//! How old what we know of the backends is. Nothing here decides.

use crate::api::{ListKind, Micros};
use crate::state::Balancer;

/// How far the list is known.
#[derive(Default)]
pub(crate) struct News {
    /// When it was last told as it stood then, put off by the time in which it could not be had; 0 before any.
    pub told_at: Micros,
    /// When it was last found out of reach; none once a call came as far as a connection. Between two such calls in a
    /// row it counts as out of reach, and at no other time.
    unreached_at: Option<Micros>,
    /// Since when another service is to tell it, put off likewise; none once that one did.
    moved_at: Option<Micros>,
}

impl News {
    /// Enters that the list was told, or was not to be had; whether the latter.
    pub fn missed(&mut self, now: Micros, kind: ListKind) -> bool {
        let unreached_at = self.unreached_at.take();
        match kind {
            ListKind::Full => (self.told_at, self.moved_at) = (now, None),
            // Changes that the service before still tells are no news of what the new one has.
            ListKind::Delta if self.moved_at.is_some() => {}
            ListKind::Delta => self.told_at = now,
            // What cannot be reached binds nobody.
            ListKind::Unreached => {
                let gap = unreached_at.map_or(0, |at| now.saturating_sub(at));
                self.told_at += gap;
                self.moved_at = self.moved_at.map(|at| at + gap);
                self.unreached_at = Some(now);
            }
            ListKind::Moved => self.moved_at = Some(now),
            ListKind::Failed => {}
        }
        !matches!(kind, ListKind::Full | ListKind::Delta)
    }
}

impl Balancer {
    /// Whether what the list has to tell may bind by now without having come. Then nothing is known of any backend: one
    /// that took a request lately may have been announced as leaving long before, as a draining one takes them too.
    pub(crate) fn outdated(&self, now: Micros) -> bool {
        let News { told_at, moved_at, .. } = self.news;
        self.settings.binds_after.is_some_and(|after| {
            let moved = moved_at.is_some_and(|at| now >= at + self.settings.binds_moved);
            moved || now >= told_at + after
        })
    }
}
