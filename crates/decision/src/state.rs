//! The state of the decision module and the methods that record events in it. Decisions are made in `logic`.

use crate::admission::Admission;
use crate::api::*;
use crate::freshness::EndpointsFreshness;
use crate::logic::LARGE_FLEET_PROXIES;
use crate::setup_limit::SetupLimit;
use crate::table::Table;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Timer tokens: the admission tick, due held requests, the subscribe call, a batch of moves, and the probes
/// of backends in use.
pub(crate) const TIMER_ADMISSION: u64 = 0;
pub(crate) const TIMER_HELD_REQUESTS: u64 = 1;
pub(crate) const TIMER_SUBSCRIBE: u64 = 2;
pub(crate) const TIMER_MOVES: u64 = 3;
pub(crate) const TIMER_PROBES: u64 = 4;

/// Where the removal of a backend need not be obeyed, a backend that is not ready and does not answer stays
/// in the table this long.
const NOT_READY_RETENTION_US: Micros = 30_000_000;
/// The table is rebuilt when a weight changes by more than this factor. Late weights vary by less.
const WEIGHT_CHANGE_FACTOR: f64 = 1.1;

/// Longest delay with which endpoints report a start. With a wrong clock, a backend counts as further in its
/// slow start by at most this: a third to a half of its capacity in a slow start of nine seconds. That is
/// within what [`crate::logic::SLOW_START_UTILIZATION`] leaves.
const MAX_START_REPORT_DELAY_US: Micros = 2_000_000;
/// Share of the slow-start budget that is issued as tokens per window at most. Tokens saved in one window may
/// be spent together with those of the next, so only half of the budget is issued.
const TOKEN_BUDGET_SHARE: f64 = 0.5;

/// State of one backend.
pub(crate) struct Backend {
    /// Its entry in the endpoints, as last reported.
    pub member: Member,
    /// Weight of its entries in the current table; 0 while it has none.
    pub table_weight: f64,
    /// Load of this proxy there: attempts in progress and established connections.
    pub own_load: LoadEstimate,
    /// Established connections of this proxy there.
    pub established: BTreeSet<RequestId>,
    /// Own load at which it was last slow or shed, less a cut; infinite before that.
    pub load_limit: f64,
    /// When that limit was last lowered; 0 for never.
    pub load_limit_cut_at: Micros,
    /// No new connections before this time, as it was slow or shed a connection; 0 for never.
    pub slow_until: Micros,
    /// When the last probe for a report was sent; 0 for never.
    pub probed_at: Micros,
    /// When the last probe's result came, and the load reported, as a share of its capacity. The load is
    /// `None` if the probe failed or reported none. `None` before the first result.
    pub report: Option<(Micros, Option<f64>)>,
    /// Own load when that result came.
    pub load_at_report: f64,
    /// No load is shed for a reported delay before this time, as reports do not show the last shedding yet; 0
    /// before any.
    pub next_shed_at: Micros,
    /// Decaying number of failures, as of `failures_at`.
    pub failures: f64,
    /// Time for which `failures` holds; 0 before any change.
    pub failures_at: Micros,
    /// Earliest time of the next trial while it is suspect or unverified; 0 before any attempt.
    pub trial_at: Micros,
    /// Known or withdrawn only by the endpoints: nothing of this proxy was answered there since.
    pub unverified: bool,
    /// Probes sent since a request last tried it, while unverified.
    pub verification_probes: u32,
    /// Reported as draining, and not as ready since.
    pub drained: bool,
    /// Operators put it into maintenance.
    pub in_maintenance: bool,
    /// When operators last put it into maintenance; the time of its first listing before that.
    pub maintenance_since: Micros,
    /// Operators returned it from maintenance, and no attempt was sent there since.
    pub returned_to_service: bool,
    /// Its current process started as planned: after a drain or maintenance, or on a new host.
    pub planned_start: bool,
    /// Shortest setup time there, taken as that of a setup without waiting; `Micros::MAX` before any.
    pub min_setup_latency: Micros,
    /// Since when it is not ready (draining, removed or in maintenance), as of the last update; `Micros::MAX`
    /// while it is ready.
    pub not_ready_since: Micros,
    /// All connections of this proxy there broke, and none was established since.
    pub all_connections_lost: bool,
    /// When its process started, as reported or observed, by the clock of this proxy; 0 for long ago.
    pub started: Micros,
    /// That start was observed, and no endpoint update has reported it yet.
    pub restart_observed: bool,
    /// Slow-start tokens, as of `tokens_at`: connections that this proxy may open there.
    pub tokens: f64,
    /// When `tokens` last changed.
    pub tokens_at: Micros,
}

impl Backend {
    /// A backend that the endpoints name for the first time.
    pub fn new(member: &Member, now: Micros) -> Self {
        Backend {
            member: member.clone(),
            table_weight: 0.0,
            own_load: LoadEstimate::default(),
            established: BTreeSet::new(),
            load_limit: f64::INFINITY,
            load_limit_cut_at: 0,
            slow_until: 0,
            probed_at: 0,
            report: None,
            load_at_report: 0.0,
            next_shed_at: 0,
            failures: 0.0,
            failures_at: 0,
            trial_at: 0,
            unverified: false,
            verification_probes: 0,
            drained: false,
            in_maintenance: false,
            maintenance_since: 0,
            returned_to_service: false,
            planned_start: false,
            min_setup_latency: Micros::MAX,
            not_ready_since: Micros::MAX,
            all_connections_lost: false,
            started: 0,
            restart_observed: false,
            tokens: 0.0,
            tokens_at: now,
        }
    }

    /// The load that it reported less than `age` ago. The inner `None`: that result reported no load.
    pub fn report(&self, now: Micros, age: Micros) -> Option<Option<f64>> {
        self.report.filter(|(at, _)| now < at + age).map(|(_, load)| load)
    }

    /// Its failures as of `now`, decayed by half in each `half_life` (in seconds).
    pub fn failures(&self, now: Micros, half_life: f64) -> f64 {
        if self.failures == 0.0 {
            return 0.0;
        }
        self.failures * (-(now.saturating_sub(self.failures_at) as f64) / 1e6 / half_life).exp2()
    }

    /// Records the start of its process. No slow-start tokens are saved yet.
    pub fn record_start(&mut self, started: Micros, now: Micros) {
        (self.started, self.tokens, self.tokens_at, self.all_connections_lost) = (started, 0.0, now, false);
        self.planned_start = false;
    }

    /// Estimates when a newly reported process started, by the clock of this proxy. The reported time may
    /// come from another clock, and either clock may be wrong. The process started before now, and not before
    /// the update that did not report it yet. A restart observed before it was reported is the same one.
    pub(crate) fn estimate_start(
        &mut self,
        reported: Micros,
        now: Micros,
        listed_at: Option<Micros>,
    ) -> Micros {
        let earliest = if std::mem::take(&mut self.restart_observed) { None } else { listed_at };
        reported.max(earliest.unwrap_or(0).saturating_sub(MAX_START_REPORT_DELAY_US)).min(now)
    }

    /// Records a new process: what was observed of the old one no longer counts.
    pub fn reset_for_new_process(&mut self, started: Micros, now: Micros) {
        self.record_start(started, now);
        (self.failures, self.load_limit) = (0.0, f64::INFINITY);
    }

    /// Whether the endpoints call it ready, and it is not in maintenance.
    pub fn ready(&self) -> bool {
        self.member.state == MemberState::Ready && !self.in_maintenance
    }

    /// Whether it drains or is in maintenance, so that the rules bar new attempts.
    pub fn out_of_service(&self) -> bool {
        self.drained || self.in_maintenance
    }
}

/// A number of connections and what is known of their load.
#[derive(Clone, Copy, Default)]
pub(crate) struct LoadEstimate {
    /// Number of connections.
    pub open: u32,
    /// Sum of the known loads, in microseconds of work a second.
    pub known_load: f64,
    /// Number of connections of unknown load.
    pub unknown_count: u32,
}

impl LoadEstimate {
    /// Adds a connection of that load, or removes it.
    pub fn update(&mut self, load: Option<f64>, add: bool) {
        let step = |n: u32| if add { n + 1 } else { n.saturating_sub(1) };
        self.open = step(self.open);
        match load {
            Some(load) => self.known_load = (self.known_load + if add { load } else { -load }).max(0.0),
            None => self.unknown_count = step(self.unknown_count),
        }
    }
}

/// State of a request that is not finished.
pub(crate) struct RequestState {
    /// The request itself.
    pub request: Request,
    /// Number of attempts sent.
    pub attempts: u32,
    /// Index of the backend of the attempt in progress, when it was sent, and when it times out.
    pub current_attempt: Option<(usize, Micros, Micros)>,
    /// Indices of the backends not to be picked again, as they were tried; emptied when the request is held.
    pub tried: Vec<usize>,
    /// First attempt that may have run: the index of its backend, and when it was sent.
    pub may_have_run: Option<(usize, Micros)>,
    /// The connection of the current attempt is established.
    pub established: bool,
    /// The client has its final answer, or is gone.
    pub answered: bool,
    /// When to place it again while it is held; 0 before it was ever held.
    pub retry_at: Micros,
    /// Its load, where measured or hinted, in microseconds of work a second.
    pub load: Option<f64>,
    /// Load of the previous connection of its key, where known; same unit.
    pub previous_load: Option<f64>,
}

impl RequestState {
    /// A request without any attempt.
    pub fn new(request: Request) -> Self {
        RequestState {
            attempts: 0,
            current_attempt: None,
            tried: Vec::new(),
            may_have_run: None,
            established: false,
            answered: false,
            retry_at: 0,
            load: request.load_hint,
            previous_load: None,
            request,
        }
    }
}

/// Decisions of one proxy: a state machine without I/O.
pub struct Balancer {
    /// The settings, unchanged since the start.
    pub(crate) settings: Settings,
    /// Class of requests whose class the settings do not describe.
    pub(crate) unknown_class: Class,
    /// Shortest message target of all classes, in microseconds; 0 if none is stated.
    pub(crate) message_target: f64,
    /// Bound on retries.
    pub(crate) budget: RetryBudget,
    /// Random number generator of the decisions, from `seed`.
    pub(crate) rng: fastrand::Rng,
    /// Seed of all random draws; another one at each proxy.
    pub(crate) seed: u64,
    /// When the first event came; `None` before.
    pub(crate) started: Option<Micros>,
    /// All backends ever reported. Their position is the index `i` used throughout.
    pub(crate) backends: Vec<Backend>,
    /// Index of each backend, by its identity.
    pub(crate) index: BTreeMap<BackendId, usize>,
    /// Backends in maintenance, whether the endpoints name them or not.
    pub(crate) backends_in_maintenance: BTreeSet<BackendId>,
    /// Lookup table of the placement.
    pub(crate) table: Table,
    /// The backends or their weights differ from those of the table.
    pub(crate) table_stale: bool,
    /// Load of this proxy at all backends.
    pub(crate) total: LoadEstimate,
    /// State of the admission control.
    pub(crate) admission: Admission,
    /// Requests with an attempt in progress or an established connection, and held requests.
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    /// Recently placed keys: when their connection was last established or ended, and its load then, where
    /// known, in microseconds of work a second.
    pub(crate) recent_keys: BTreeMap<u64, (Micros, Option<f64>)>,
    /// Connections established since the start.
    pub(crate) setups: u64,
    /// Slow-start slots spent in the last window: when, and how much of one.
    pub(crate) slow_start_slots: VecDeque<(Micros, f64)>,
    /// Held requests without an attempt in progress, in order of arrival.
    pub(crate) held: Vec<RequestId>,
    /// Established connections to be moved off backends out of service, in order.
    pub(crate) move_queue: VecDeque<RequestId>,
    /// When a connection last measured a message delay; 0 before any.
    pub(crate) measured_at: Micros,
    /// Indices of backends that were slow recently.
    pub(crate) slow_backends: BTreeSet<usize>,
    /// Indices of backends with established connections of this proxy.
    pub(crate) backends_in_use: BTreeSet<usize>,
    /// When requests were accepted, within the window of the retry budget.
    pub(crate) accepted: VecDeque<Micros>,
    /// When retries were sent, within the same window.
    pub(crate) retries: VecDeque<Micros>,
    /// Failed probes in a row, at backends with established connections of this proxy.
    pub(crate) consecutive_probe_failures: u32,
    /// A subscribe call waits for its timer.
    pub(crate) subscribe_scheduled: bool,
    /// How current the endpoints are.
    pub(crate) freshness: EndpointsFreshness,
    /// When endpoints were last applied; `None` before the first.
    pub(crate) listed_at: Option<Micros>,
    /// Limit on setups while they fail at all kinds of backends.
    pub(crate) setup_limit: SetupLimit,
    /// Subscribe calls scheduled since the last endpoint update.
    pub(crate) subscribe_calls_since_update: u32,
    /// The process is about to end: no attempt is started any more.
    pub(crate) stopping: bool,
}

impl Balancer {
    /// Number of listed backends, and of those that get no new attempts because of a rule or failures.
    pub fn backend_counts(&self, now: Micros) -> (usize, usize) {
        let listed = |i: &usize| self.backends[*i].member.state != MemberState::Gone;
        let listed: Vec<usize> = (0..self.backends.len()).filter(listed).collect();
        let avoided = listed.iter().filter(|&&i| self.excluded(i) || self.is_suspect(i, now));
        (listed.len(), avoided.count())
    }

    /// Adds a connection of that load at a backend, or removes it.
    pub(crate) fn update_load(&mut self, i: usize, load: Option<f64>, add: bool) {
        self.backends[i].own_load.update(load, add);
        self.total.update(load, add);
    }

    /// Spends what is left of a window's slow-start slots, at most one. Returns how much that is.
    pub(crate) fn spend_slow_start_slot(&mut self, now: Micros, window: Micros, quota: f64) -> f64 {
        while self.slow_start_slots.front().is_some_and(|&(at, _)| at + window < now) {
            self.slow_start_slots.pop_front();
        }
        let spent: f64 = self.slow_start_slots.iter().map(|(_, slot)| slot).sum();
        let slot = (quota - spent).clamp(0.0, 1.0);
        if slot > 0.0 {
            self.slow_start_slots.push_back((now, slot));
        }
        slot
    }

    /// Draws a backend with a probability in proportion to its weight, where `sum` is the sum of the weights.
    /// Returns `None` for no backends, without a draw.
    pub(crate) fn draw_by_weight(&mut self, among: &[usize], sum: f64) -> Option<usize> {
        among.first()?;
        let mut position = self.rng.f64() * sum;
        among.iter().copied().find(|&i| {
            position -= self.weight(i);
            position < 0.0
        })
    }

    /// Drops what lies before the window of the retry budget. Exactly at its start a request no longer
    /// counts, and a retry still does: the stricter reading.
    pub(crate) fn trim_retry_window(&mut self, now: Micros) {
        let from = now.saturating_sub(self.budget.window);
        while self.accepted.front().is_some_and(|&at| at <= from) {
            self.accepted.pop_front();
        }
        while self.retries.front().is_some_and(|&at| at < from) {
            self.retries.pop_front();
        }
    }

    /// Records a probe's result and the load that it reported.
    pub(crate) fn record_report(&mut self, now: Micros, i: usize, answered: bool, load: Option<f64>) {
        let own_load = self.estimate_load(&self.backends[i].own_load);
        let backend = &mut self.backends[i];
        (backend.report, backend.load_at_report) = (Some((now, load.filter(|_| answered))), own_load);
        backend.unverified &= !answered;
        if answered {
            self.consecutive_probe_failures = 0;
        } else if !backend.established.is_empty() {
            self.consecutive_probe_failures += 1;
        }
    }

    /// The load that a backend reported less than `age` ago, as a share of its capacity. `add_own_change`
    /// adds the change of this proxy's load there since that report. `None` without such a report.
    pub(crate) fn fresh_load(&self, i: usize, now: Micros, age: Micros, add_own_change: bool) -> Option<f64> {
        let backend = &self.backends[i];
        let added =
            (self.estimate_load(&backend.own_load) - backend.load_at_report) / self.current_capacity(i, now);
        Some(backend.report(now, age)?? + if add_own_change { added } else { 0.0 })
    }

    /// Adds an established connection at a backend, or removes it.
    pub(crate) fn set_established(&mut self, i: usize, id: RequestId, add: bool) {
        let established = &mut self.backends[i].established;
        if add {
            established.insert(id);
            self.backends_in_use.insert(i);
        } else if established.remove(&id) && established.is_empty() {
            self.backends_in_use.remove(&i);
        }
    }

    /// Removes and returns the held requests that are due, or all, in order of arrival.
    pub(crate) fn take_held(&mut self, now: Micros, all: bool) -> Vec<RequestState> {
        let requests = &self.requests;
        let due = |id: &RequestId| requests.get(id).is_none_or(|state| all || state.retry_at <= now);
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.held).into_iter().partition(due);
        self.held = later;
        due.into_iter().filter_map(|id| self.requests.remove(&id)).collect()
    }

    /// Holds a request without an attempt in progress.
    pub(crate) fn hold_request(&mut self, state: RequestState) {
        self.held.push(state.request.id);
        self.requests.insert(state.request.id, state);
    }

    /// Whether own connections confirm a backend as healthy: they would have shown a recent slowness.
    pub(crate) fn observed_healthy(&self, i: usize, now: Micros) -> bool {
        !self.backends[i].established.is_empty() && now >= self.backends[i].slow_until
    }

    /// Share of its capacity that a backend can surely serve in slow start; `None` once it is ramped up.
    pub(crate) fn slow_start_share(&self, i: usize, now: Micros) -> Option<f64> {
        let (started, min_share) = (self.backends[i].started, self.settings.slow_start_min_share);
        let age = now.saturating_sub(started) as f64 / self.settings.slow_start_duration.max(1) as f64;
        (started > 0 && age < 1.0).then_some(min_share + (1.0 - min_share) * age)
    }

    /// State of a request to be placed, and whether its key was recently placed: then its load is remembered.
    pub(crate) fn new_request_state(&self, request: Request) -> (RequestState, bool) {
        let recent = request.key.and_then(|key| self.recent_keys.get(&key)).copied();
        let previous_load = recent.and_then(|(_, load)| load);
        (RequestState { previous_load, ..RequestState::new(request) }, recent.is_some())
    }

    /// Records a setup delay of this tick, relative to the setup target of its class.
    pub(crate) fn record_setup_delay(&mut self, request: &Request, delay: Micros) {
        let target = self.class(request).setup_target.max(1);
        self.admission.delays.push(delay as f64 / target as f64);
    }

    /// Weight of a backend where weights state sizes, else 1.
    pub(crate) fn weight(&self, i: usize) -> f64 {
        let weight = self.backends[i].member.weight;
        if self.settings.sized_weights && weight > 0.0 { weight } else { 1.0 }
    }

    /// Work that a backend can do, in microseconds a second: of standard cores where weights state sizes.
    pub(crate) fn capacity(&self, i: usize) -> f64 {
        self.weight(i) * 1e6
    }

    /// Work that a backend can surely do now, in slow start or not; microseconds a second.
    pub(crate) fn current_capacity(&self, i: usize, now: Micros) -> f64 {
        self.capacity(i) * self.slow_start_share(i, now).unwrap_or(1.0)
    }

    /// Connections that this proxy may open at a backend in slow start in one window, where observations
    /// allow `observed`. `share` is the share of its capacity that it can serve. The backend's weight sets a
    /// bound, as many clients come back after a crash, while few backends are listed. After a planned start
    /// the whole bound is allowed. A backend back from a crash may have changed.
    pub(crate) fn slow_start_refill(&self, i: usize, share: f64, observed: f64) -> f64 {
        let bound = self.slow_start_quota(self.weight(i), TOKEN_BUDGET_SHARE) * share;
        match (self.settings.sized_weights, self.backends[i].planned_start) {
            (false, _) => observed,
            (true, true) => bound,
            (true, false) => observed.min(bound),
        }
    }

    /// Load of a connection, as far as known; in the unit of [`Self::estimate_load`].
    pub(crate) fn request_load(&self, state: &RequestState) -> f64 {
        let load = state.load.or(state.previous_load);
        self.estimate_load(&LoadEstimate {
            open: 1,
            known_load: load.unwrap_or(0.0),
            unknown_count: u32::from(load.is_none()),
        })
    }

    /// Estimates a load. A connection of unknown load counts as the mean of the known ones, or as 1 where no
    /// load was measured or hinted.
    pub(crate) fn estimate_load(&self, load: &LoadEstimate) -> f64 {
        let known_count = f64::from(self.total.open - self.total.unknown_count);
        let mean =
            if self.total.known_load > 0.0 { self.total.known_load / known_count.max(1.0) } else { 1.0 };
        load.known_load + f64::from(load.unknown_count) * mean
    }

    /// Records a connection that is already established. Returns the index of its backend.
    pub(crate) fn restore_connection(
        &mut self,
        now: Micros,
        request: Request,
        backend: &BackendId,
    ) -> Option<usize> {
        let &i = self.index.get(backend)?;
        let id = request.id;
        self.start_attempt(RequestState::new(request), i, now, Micros::MAX);
        self.record_established(now, id, 0);
        Some(i)
    }

    /// Updates since when backends are not ready. Returns those that are not ready since this update.
    pub(crate) fn update_not_ready(&mut self, now: Micros) -> Vec<usize> {
        let mut newly_not_ready = Vec::new();
        for (i, backend) in self.backends.iter_mut().enumerate() {
            if backend.ready() {
                backend.not_ready_since = Micros::MAX;
            } else if backend.not_ready_since == Micros::MAX {
                backend.not_ready_since = now;
                newly_not_ready.push(i);
            }
        }
        newly_not_ready
    }

    /// Queues the established connections of a backend for a move, once each. Returns whether this starts the
    /// queue.
    pub(crate) fn queue_moves(&mut self, i: usize) -> bool {
        let was_empty = self.move_queue.is_empty();
        let established = self.backends[i].established.iter();
        let new: Vec<_> = established.copied().filter(|id| !self.move_queue.contains(id)).collect();
        self.move_queue.extend(new);
        was_empty && !self.move_queue.is_empty()
    }

    /// Loads and ids of the established connections of a backend, the heaviest first.
    pub(crate) fn heaviest_first(&self, i: usize) -> Vec<(f64, RequestId)> {
        let requests = self.backends[i].established.iter().filter_map(|id| self.requests.get(id));
        let mut requests: Vec<_> =
            requests.map(|state| (self.request_load(state), state.request.id)).collect();
        requests.sort_by(|a, b| b.0.total_cmp(&a.0));
        requests
    }

    /// Records that the client left.
    pub(crate) fn client_left(&mut self, id: RequestId) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.answered = true;
            if state.current_attempt.is_none() {
                self.requests.remove(&id);
            }
        }
    }

    /// Records an entry of the endpoints. Returns the index of its backend.
    pub(crate) fn upsert_member(&mut self, member: &Member, now: Micros) -> usize {
        let next = self.backends.len();
        let i = *self.index.entry(member.backend.clone()).or_insert(next);
        if i == next {
            let in_maintenance = self.backends_in_maintenance.contains(&member.backend);
            self.backends.push(Backend {
                in_maintenance,
                maintenance_since: now,
                ..Backend::new(member, now)
            });
        }
        let (is_new, listed_at) = (i == next, self.listed_at);
        let backend = &mut self.backends[i];
        let planned = is_new || backend.out_of_service();
        let reported_before = std::mem::replace(&mut backend.member, member.clone()).started;
        match member.state {
            MemberState::Ready => backend.drained = false,
            MemberState::Draining => backend.drained = true,
            // A later update may only have forgotten that it drains.
            MemberState::Gone => {}
        }
        if member.started > 0 && (is_new || member.started != reported_before) {
            let started = backend.estimate_start(member.started, now, listed_at);
            if started > backend.started {
                backend.reset_for_new_process(started, now);
                backend.planned_start = planned;
            }
        }
        i
    }

    /// Whether the table needs a rebuild for this backend: it came, went, or its weight changed enough.
    pub(crate) fn table_entry_changed(&self, i: usize, now: Micros) -> bool {
        let weight = if self.in_table(i, now) { self.weight(i) } else { 0.0 };
        let (low, high) =
            (weight.min(self.backends[i].table_weight), weight.max(self.backends[i].table_weight));
        low * WEIGHT_CHANGE_FACTOR < high
    }

    /// Records that operators put a backend into maintenance, or returned it. They restart it meanwhile:
    /// unless a later start was reported, it counts as started now. It gets the slow-start tokens of this
    /// proxy for the first connection.
    pub(crate) fn set_maintenance(&mut self, now: Micros, backend: &BackendId, in_maintenance: bool) {
        let changed = match in_maintenance {
            true => self.backends_in_maintenance.insert(backend.clone()),
            false => self.backends_in_maintenance.remove(backend),
        };
        let Some(&i) = self.index.get(backend).filter(|_| changed) else { return };
        self.backends[i].in_maintenance = in_maintenance;
        if in_maintenance {
            return self.backends[i].maintenance_since = now;
        }
        let reported_start =
            Some(self.backends[i].started).filter(|&at| at > self.backends[i].maintenance_since);
        self.backends[i].reset_for_new_process(reported_start.unwrap_or(now), now);
        self.backends[i].restart_observed = reported_start.is_none();
        (self.backends[i].planned_start, self.backends[i].returned_to_service) = (true, true);
        let share = self.slow_start_share(i, now).unwrap_or(1.0);
        self.backends[i].tokens = self.slow_start_refill(i, share, 0.0).min(1.0);
    }

    /// Whether the endpoints ever named that backend, or it is in maintenance.
    pub fn knows(&self, backend: &str) -> bool {
        self.index.contains_key(backend) || self.backends_in_maintenance.contains(backend)
    }

    /// Whether a request is held, or has an attempt in progress or an established connection.
    pub fn holds_request(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// The backends in maintenance.
    pub fn backends_in_maintenance(&self) -> impl Iterator<Item = &str> {
        self.backends_in_maintenance.iter().map(|backend| &**backend)
    }

    /// Load of an established connection, where known; microseconds of work a second.
    pub fn load_of(&self, id: RequestId) -> Option<f64> {
        self.requests.get(&id).and_then(|state| state.load)
    }

    /// Whether a backend has table entries: if it is ready, or if its removal need not be obeyed. A backend
    /// that is neither ready nor verified has them only for a while.
    pub(crate) fn in_table(&self, i: usize, now: Micros) -> bool {
        let backend = &self.backends[i];
        let may_serve =
            !backend.unverified || now < backend.not_ready_since.saturating_add(NOT_READY_RETENTION_US);
        backend.ready() || !self.settings.exclude_removed && !backend.drained && may_serve
    }

    /// Removes a retry sent at that time from the retry budget, unless it was the first attempt.
    pub(crate) fn uncount_retry(&mut self, attempts: u32, sent_at: Micros) {
        let position = self.retries.iter().rposition(|&at| at == sent_at).filter(|_| attempts > 1);
        position.and_then(|at| self.retries.remove(at));
    }

    /// Records the measured load of an open connection, if it exists. Returns the index of its backend.
    pub(crate) fn update_connection_load(&mut self, id: RequestId, load: f64) -> Option<usize> {
        let state = self.requests.get_mut(&id)?;
        let (i, ..) = state.current_attempt?;
        let before = state.load.replace(load);
        self.update_load(i, before, false);
        self.update_load(i, Some(load), true);
        Some(i)
    }

    /// Records how long a setup took at a backend. Returns how much longer it took than the shortest one.
    pub(crate) fn record_setup_latency(&mut self, i: usize, latency: Micros) -> Micros {
        self.setups += 1;
        let shortest = &mut self.backends[i].min_setup_latency;
        *shortest = latency.min(*shortest);
        latency - *shortest
    }

    /// Records that an attempt was sent.
    pub(crate) fn start_attempt(&mut self, mut state: RequestState, i: usize, now: Micros, until: Micros) {
        self.update_load(i, state.load, true);
        self.setup_limit.start(state.request.id, until);
        self.backends[i].returned_to_service = false;
        state.attempts += 1;
        state.current_attempt = Some((i, now, until));
        state.tried.push(i);
        self.requests.insert(state.request.id, state);
    }

    /// Records that the attempt's connection is established. Returns the index of its backend and the
    /// request.
    pub(crate) fn record_established(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
    ) -> Option<(usize, Request)> {
        let state =
            self.requests.get_mut(&id).filter(|state| state.attempts == attempt + 1 && !state.established)?;
        let (i, ..) = state.current_attempt?;
        (state.established, state.answered) = (true, true);
        self.setup_limit.record_success(id);
        let (request, load) = (state.request.clone(), state.load);
        self.set_established(i, id, true);
        if let Some(key) = request.key {
            self.recent_keys.insert(key, (now, load));
        }
        Some((i, request))
    }

    /// Removes the attempt in progress. Returns the state of its request, the index of its backend, when the
    /// attempt was sent, and when it would have timed out.
    pub(crate) fn end_attempt(
        &mut self,
        now: Micros,
        result: &AttemptResult,
    ) -> Option<(RequestState, usize, Micros, Micros)> {
        self.requests
            .get(&result.id)
            .filter(|state| state.attempts == result.attempt + 1 && state.current_attempt.is_some())?;
        let mut state = self.requests.remove(&result.id)?;
        let (i, sent_at, until) = state.current_attempt.take()?;
        state.answered |= result.closed;
        self.update_load(i, state.load, false);
        if state.established {
            self.set_established(i, result.id, false);
            if let Some(key) = state.request.key {
                self.recent_keys.insert(key, (now, state.load));
            }
        }
        Some((state, i, sent_at, until))
    }

    /// The class of the request.
    pub(crate) fn class(&self, request: &Request) -> &Class {
        self.settings.classes.get(request.class).unwrap_or(&self.unknown_class)
    }

    /// Ready backends, in the order of their ids.
    pub(crate) fn ready(&self) -> impl Iterator<Item = usize> {
        self.index.values().copied().filter(|&i| self.backends[i].ready())
    }

    /// Whether the backend is in another zone and crossing has a price.
    pub(crate) fn in_other_zone(&self, i: usize) -> bool {
        self.backends[i].member.zone != self.settings.zone && self.settings.cross_zone_price > 0.0
    }

    /// Ready backends in slow start.
    pub(crate) fn in_slow_start(&self, now: Micros) -> impl Iterator<Item = usize> {
        self.ready().filter(move |&i| self.slow_start_share(i, now).is_some())
    }

    /// Builds the table of the backends that have a weight, in the order of their ids.
    pub(crate) fn build_table(&mut self, weights: Vec<Option<f64>>) {
        let weighted = self.index.iter().filter_map(|(name, &i)| Some((i, &**name, weights[i]?)));
        let members: Vec<_> = weighted.collect();
        self.table.build(&members);
        for (backend, weight) in self.backends.iter_mut().zip(weights) {
            backend.table_weight = weight.unwrap_or(0.0);
        }
    }

    /// The state before any event.
    pub(crate) fn empty(settings: Settings, unknown_class: Class, budget: RetryBudget, seed: u64) -> Self {
        let is_large_fleet = settings.proxies > LARGE_FLEET_PROXIES;
        let targets = settings.classes.iter().map(|c| c.message_target).filter(|&target| target > 0);
        Balancer {
            message_target: targets.min().unwrap_or(0) as f64,
            unknown_class,
            budget,
            admission: Admission::new(0),
            settings,
            rng: fastrand::Rng::with_seed(seed),
            seed,
            started: None,
            backends: Vec::new(),
            index: BTreeMap::new(),
            backends_in_maintenance: BTreeSet::new(),
            table: Table::default(),
            table_stale: false,
            total: LoadEstimate::default(),
            requests: BTreeMap::new(),
            recent_keys: BTreeMap::new(),
            setups: 0,
            slow_start_slots: VecDeque::new(),
            held: Vec::new(),
            move_queue: VecDeque::new(),
            measured_at: 0,
            slow_backends: BTreeSet::new(),
            backends_in_use: BTreeSet::new(),
            accepted: VecDeque::new(),
            retries: VecDeque::new(),
            consecutive_probe_failures: 0,
            subscribe_scheduled: false,
            freshness: EndpointsFreshness::default(),
            listed_at: None,
            setup_limit: SetupLimit::new(seed, is_large_fleet),
            subscribe_calls_since_update: 0,
            stopping: false,
        }
    }
}
