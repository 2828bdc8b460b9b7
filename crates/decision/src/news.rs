//! How old what we know of the backends is. Nothing here decides.

use crate::api::{ListKind, Micros};
use crate::state::Balancer;

/// How far the list is known.
#[derive(Default)]
pub(crate) struct News {
    /// When it was last told as it stood then, put off by the time in which it could not be had; 0 before any.
    pub told_at: Micros,
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
    /// Whether what the list has to tell may bind by now without having come. Then nothing is known of any backend: one
    /// that took a request lately may have been announced as leaving long before, as a draining one takes them too.
    pub(crate) fn outdated(&self, now: Micros) -> bool {
        self.settings.binds_after.is_some_and(|after| now >= self.news.told_at + after)
    }
}
