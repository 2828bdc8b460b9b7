//! How old what we know of the backends is. Nothing here decides.

use crate::api::{ListKind, Micros};
use crate::state::Balancer;

/// How far the list is known.
#[derive(Default)]
pub(crate) struct News {
    /// When it was last told as it stood then, put off by the time in which it could not be had; 0 before any.
    told_at: Micros,
    /// When it was last told or asked for in vain.
    heard_at: Micros,
}

impl News {
    /// Enters that the list was told, or was not to be had; whether the latter.
    pub fn missed(&mut self, now: Micros, kind: ListKind) -> bool {
        match kind {
            ListKind::Delta | ListKind::Full => self.told_at = now,
            // What cannot be reached binds nobody.
            ListKind::Unreached => self.told_at += now.saturating_sub(self.heard_at),
            ListKind::Failed => {}
        }
        self.heard_at = now;
        matches!(kind, ListKind::Failed | ListKind::Unreached)
    }
}

impl Balancer {
    /// Whether what the list has to tell of that backend may bind by now without having come. A backend that took a
    /// connection did not leave before that one was sent: it would have turned it away.
    pub(crate) fn outdated(&self, i: usize, now: Micros) -> bool {
        let known_at = self.news.told_at.max(self.backends[i].took_at);
        self.settings.binds_after.is_some_and(|after| now >= known_at + after)
    }
}
