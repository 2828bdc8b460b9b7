//! Updates of the endpoint list: what each kind of report changes. The age of the list is kept in `freshness`.

use crate::api::{Action, ListKind, Member, MemberState, Micros};
use crate::state::Balancer;

impl Balancer {
    /// Applies an endpoint update. A backend that a snapshot leaves out is gone.
    pub(crate) fn on_members(
        &mut self,
        now: Micros,
        kind: ListKind,
        members: &[Member],
        out: &mut Vec<Action>,
    ) {
        self.subscribe_calls_since_update = 0;
        if kind == ListKind::Full {
            self.backends.iter_mut().for_each(|b| b.member.state = MemberState::Gone);
        }
        // The first endpoints are trusted, as nothing else is known. Later ones must answer to be verified.
        let verified_count = if self.backends.is_empty() { usize::MAX } else { self.backends.len() };
        for member in members {
            let i = self.upsert_member(member, now);
            self.backends[i].unverified |= i >= verified_count;
        }
        self.listed_at = Some(now);
        self.on_members_changed(now, out);
    }

    /// Applies what an earlier discovery service still reported: which backends leave and which have restarted.
    /// Only the responsible service can say that a backend is ready.
    pub(crate) fn on_superseded_members(&mut self, now: Micros, members: &[Member], out: &mut Vec<Action>) {
        let verified_count = self.backends.len();
        for member in members {
            if member.state == MemberState::Ready {
                self.record_reported_restart(member, now);
                continue;
            }
            let i = self.upsert_member(member, now);
            self.backends[i].unverified |= i >= verified_count;
        }
        self.on_members_changed(now, out);
    }

    /// Follows a change of the backends' states: moves, the table and the admission limit.
    fn on_members_changed(&mut self, now: Micros, out: &mut Vec<Action>) {
        // Where a removal need not be obeyed, the backend is verified by a trial, unless it serves us.
        for i in self.update_not_ready(now) {
            self.backends[i].unverified |= self.backends[i].established.is_empty();
        }
        (0..self.backends.len()).for_each(|i| self.schedule_moves(i, out));
        self.table_stale |= (0..self.backends.len()).any(|i| self.table_entry_changed(i, now));
        let weight = |i: usize| if self.settings.live_weights { 1.0 } else { self.weight(i) };
        let capacity: f64 = self.ready().map(weight).sum();
        if capacity > 0.0 {
            self.admission.scale(capacity);
        }
    }

    /// Records a reported start of a known backend's process, and nothing else of the entry. What was observed of
    /// the backend stays, so that the report makes no backend look better.
    fn record_reported_restart(&mut self, member: &Member, now: Micros) {
        let Some(&i) = self.index.get(&member.backend) else { return };
        let (backend, listed_at) = (&mut self.backends[i], self.listed_at);
        if member.started <= backend.member.started {
            return;
        }
        backend.member.started = member.started;
        let started = backend.estimate_start(member.started, now, listed_at);
        if started > backend.started {
            let planned = backend.out_of_service();
            backend.record_start(started, now);
            backend.planned_start = planned;
        }
    }
}
