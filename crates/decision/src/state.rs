//! What the decision module keeps books of. Nothing here decides.

use crate::admission::Admission;
use crate::api::*;
use crate::freshness::EndpointsFreshness;
use crate::logic::LARGE_FLEET_PROXIES;
use crate::setup_limit::SetupLimit;
use crate::table::Table;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Timer tokens: learning tick, look at the held requests, renewed subscription, moves, watching probes.
pub(crate) const TIMER_ADMISSION: u64 = 0;
pub(crate) const TIMER_HELD_REQUESTS: u64 = 1;
pub(crate) const TIMER_SUBSCRIBE: u64 = 2;
pub(crate) const TIMER_MOVES: u64 = 3;
pub(crate) const TIMER_PROBES: u64 = 4;

/// A withdrawn backend keeps its entries this long unheard of, where removal does not bind; microseconds.
const WITHDRAWN_MEMORY: Micros = 30_000_000;
/// Entries stay until a size has moved by this factor: late weights swing by less; no unit.
const SIZE_SLACK: f64 = 1.1;

/// A list may tell of a start so long after it; microseconds. Where a clock is wrong, a backend counts as that much
/// warmer than it is at most: a third to a half of its capacity in a warm-up of nine seconds, within what
/// [`crate::logic::SLOW_START_UTILIZATION`] leaves.
const LATENESS: Micros = 2_000_000;
/// Part of the cold budget where it is saved: what one window left and what the next brings may come in one.
const BUCKET_PART: f64 = 0.5;

/// What is known of one backend.
pub(crate) struct Backend {
    pub member: Member,
    /// Size that its table entries go by.
    pub table_weight: f64,
    /// Attempts out and connections standing, ours.
    pub own_load: LoadEstimate,
    /// Connections standing, ours.
    pub established: BTreeSet<RequestId>,
    /// Load of ours at which it was last slow or shed, less a cut; infinite before.
    pub load_limit: f64,
    pub load_limit_cut_at: Micros,
    /// Nothing new before this time, as it was slow or shed a connection.
    pub slow_until: Micros,
    /// When a report was last asked for, and the last one: when it came and the load in it.
    pub probed_at: Micros,
    /// `None` in place of a load: probing failed, or told none.
    pub report: Option<(Micros, Option<f64>)>,
    /// Load of ours when it came; and until when reports tell of a time before we last shed there.
    pub load_at_report: f64,
    pub shed_until: Micros,
    /// Failures of late, fading, as they stood at that time.
    pub failures: f64,
    pub failed_at: Micros,
    pub trial_at: Micros,
    /// Only the list speaks for it, or against it: nothing of ours was answered there since.
    pub unverified: bool,
    /// Probes sent since it was last tried with a request, while unproven.
    pub verification_probes: u32,
    /// Seen draining and not listed ready since.
    pub drained: bool,
    /// Staff withhold it, and since when.
    pub in_maintenance: bool,
    pub maintenance_since: Micros,
    /// Staff gave it back, and nothing was sent there since.
    pub returned_to_service: bool,
    /// The process that runs there now was started as planned: after a drain, by staff, or on a new machine.
    pub planned_start: bool,
    /// The quickest set-up there: what is left of a set-up without waiting.
    pub min_setup_latency: Micros,
    /// When the list withdrew it; in the far future while ready.
    pub withdrawn_at: Micros,
    /// Every connection of ours there broke, the last one too, and none was made since.
    pub all_connections_lost: bool,
    /// Start of its process as listed or observed, by our clock; 0 for long ago.
    pub started: Micros,
    /// It was observed, and no list told of it yet.
    pub restart_observed: bool,
    pub tokens: f64,
    pub tokens_at: Micros,
}

impl Backend {
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
            shed_until: 0,
            failures: 0.0,
            failed_at: 0,
            trial_at: 0,
            unverified: false,
            verification_probes: 0,
            drained: false,
            in_maintenance: false,
            maintenance_since: 0,
            returned_to_service: false,
            planned_start: false,
            min_setup_latency: Micros::MAX,
            withdrawn_at: Micros::MAX,
            all_connections_lost: false,
            started: 0,
            restart_observed: false,
            tokens: 0.0,
            tokens_at: now,
        }
    }

    /// The load it reported, if an answer came less than `age` ago; the inner `None` where that told none.
    pub fn report(&self, now: Micros, age: Micros) -> Option<Option<f64>> {
        self.report.filter(|(at, _)| now < at + age).map(|(_, load)| load)
    }

    /// Its failures as they stand now, faded by half in each half-life of that many seconds.
    pub fn failures(&self, now: Micros, half_life: f64) -> f64 {
        if self.failures == 0.0 {
            return 0.0;
        }
        self.failures * (-(now.saturating_sub(self.failed_at) as f64) / 1e6 / half_life).exp2()
    }

    /// A process that started then: nothing of its cold budget is saved yet.
    pub fn start(&mut self, started: Micros, now: Micros) {
        (self.started, self.tokens, self.tokens_at, self.all_connections_lost) = (started, 0.0, now, false);
        self.planned_start = false;
    }

    /// When a process started that the list newly tells of, by our clock. The clock that it is told by may be another
    /// one than ours, and either may be wrong: it started before now, and not before the list that did not tell of it
    /// yet. One that we saw to be new before the list told is the same.
    fn told_start(&mut self, told: Micros, now: Micros, listed_at: Option<Micros>) -> Micros {
        let earliest = if std::mem::take(&mut self.restart_observed) { None } else { listed_at };
        told.max(earliest.unwrap_or(0).saturating_sub(LATENESS)).min(now)
    }

    /// A new process: old evidence is void.
    pub fn renew(&mut self, started: Micros, now: Micros) {
        self.start(started, now);
        (self.failures, self.load_limit) = (0.0, f64::INFINITY);
    }

    /// Whether the list calls it ready, and staff do not withhold it.
    pub fn ready(&self) -> bool {
        self.member.state == MemberState::Ready && !self.in_maintenance
    }

    /// Whether it drains or is withheld, so that the rules bar what is new.
    pub fn out_of_service(&self) -> bool {
        self.drained || self.in_maintenance
    }
}

/// A number of connections and what is known of their load.
#[derive(Clone, Copy, Default)]
pub(crate) struct LoadEstimate {
    pub open: u32,
    /// Sum of the known loads; microseconds of work a second.
    pub known_load: f64,
    /// Connections of unknown load.
    pub unknown_count: u32,
}

impl LoadEstimate {
    /// Enters a connection of that load, or takes it out.
    pub fn update(&mut self, load: Option<f64>, enter: bool) {
        let step = |n: u32| if enter { n + 1 } else { n.saturating_sub(1) };
        self.open = step(self.open);
        match load {
            Some(load) => self.known_load = (self.known_load + if enter { load } else { -load }).max(0.0),
            None => self.unknown_count = step(self.unknown_count),
        }
    }
}

/// A request in hand.
pub(crate) struct RequestState {
    pub request: Request,
    pub attempts: u32,
    /// Backend of the attempt that is out, when it was sent and when it is given up.
    pub current_attempt: Option<(usize, Micros, Micros)>,
    pub tried: Vec<usize>,
    /// First attempt that may have run: its backend and when it was sent.
    pub may_have_run: Option<(usize, Micros)>,
    pub established: bool,
    pub answered: bool,
    /// While held: when the event is due that it waits for.
    pub retry_at: Micros,
    /// Its load, where noted or hinted; microseconds of work a second.
    pub load: Option<f64>,
    /// The load of the connection of that key before this one, where known.
    pub previous_load: Option<f64>,
}

impl RequestState {
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

/// One relay's decisions: a state machine without I/O.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) unknown_class: Class,
    /// The shortest aim of messages, 0 where none is stated; microseconds.
    pub(crate) message_target: f64,
    /// Bound on further attempts.
    pub(crate) budget: RetryBudget,
    pub(crate) rng: fastrand::Rng,
    /// What its chance comes from: another one at each relay.
    pub(crate) seed: u64,
    pub(crate) started: Option<Micros>,
    pub(crate) backends: Vec<Backend>,
    pub(crate) index: BTreeMap<BackendId, usize>,
    /// Backends that staff withhold, listed or not.
    pub(crate) backends_in_maintenance: BTreeSet<BackendId>,
    pub(crate) table: Table,
    /// The set of ready backends differs from that of the table.
    pub(crate) table_stale: bool,
    /// All our open connections.
    pub(crate) total: LoadEstimate,
    pub(crate) admission: Admission,
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    /// Keys placed lately: when they were last set up or ended, and their load then, where known.
    pub(crate) recent_keys: BTreeMap<u64, (Micros, Option<f64>)>,
    /// Connections set up since the start.
    pub(crate) set_ups: u64,
    /// Turns at cold backends that were spent in the last window, and when.
    pub(crate) slow_start_slots: VecDeque<(Micros, f64)>,
    /// Requests without an attempt out, in order of arrival.
    pub(crate) held: Vec<RequestId>,
    /// Standing connections to be moved off backends that leave, in order.
    pub(crate) move_queue: VecDeque<RequestId>,
    /// When a note last told how long messages take somewhere.
    pub(crate) measured_at: Micros,
    /// Backends that were slow lately.
    pub(crate) slow_backends: BTreeSet<usize>,
    /// Backends that we hold standing connections at.
    pub(crate) backends_in_use: BTreeSet<usize>,
    /// When requests were accepted and further attempts made, as far back as the attempt budget counts.
    pub(crate) accepted: VecDeque<Micros>,
    pub(crate) retries: VecDeque<Micros>,
    /// Probes in a row that failed at backends that served us meanwhile.
    pub(crate) consecutive_probe_failures: u32,
    pub(crate) subscribe_scheduled: bool,
    /// How far the list is known.
    pub(crate) freshness: EndpointsFreshness,
    /// When it was last entered; none before the first.
    pub(crate) listed_at: Option<Micros>,
    /// The limit on set-ups while they fail everywhere alike.
    pub(crate) setup_limit: SetupLimit,
    /// Calls to the list service in a row that failed.
    pub(crate) failed_list_calls: u32,
    /// The process is about to end: nothing more is begun.
    pub(crate) stopping: bool,
}

impl Balancer {
    /// The number of backends listed, and of those among them that get nothing new by rule or for their failures.
    pub fn backend_counts(&self, now: Micros) -> (usize, usize) {
        let listed = |i: &usize| self.backends[*i].member.state != MemberState::Gone;
        let listed: Vec<usize> = (0..self.backends.len()).filter(listed).collect();
        let avoided = listed.iter().filter(|&&i| self.excluded(i) || self.suspect(i, now));
        (listed.len(), avoided.count())
    }

    /// Enters a connection of that load at a backend, or takes it out.
    pub(crate) fn update_load(&mut self, i: usize, load: Option<f64>, enter: bool) {
        self.backends[i].own_load.update(load, enter);
        self.total.update(load, enter);
    }

    /// Spends what is left of a window's turns, one at most; how much that was.
    pub(crate) fn spend_slow_start_slot(&mut self, now: Micros, window: Micros, most: f64) -> f64 {
        while self.slow_start_slots.front().is_some_and(|&(at, _)| at + window < now) {
            self.slow_start_slots.pop_front();
        }
        let spent: f64 = self.slow_start_slots.iter().map(|(_, turn)| turn).sum();
        let turn = (most - spent).clamp(0.0, 1.0);
        if turn > 0.0 {
            self.slow_start_slots.push_back((now, turn));
        }
        turn
    }

    /// One of those by chance, as its size is of the sum of theirs; none of none, and no chance is used up.
    pub(crate) fn draw(&mut self, among: &[usize], sum: f64) -> Option<usize> {
        among.first()?;
        let mut at = self.rng.f64() * sum;
        among.iter().copied().find(|&i| {
            at -= self.weight(i);
            at < 0.0
        })
    }

    /// Forgets what lies before the span in which further attempts are counted; its ends are read against us.
    pub(crate) fn trim_retry_window(&mut self, now: Micros) {
        let from = now.saturating_sub(self.budget.window);
        while self.accepted.front().is_some_and(|&at| at <= from) {
            self.accepted.pop_front();
        }
        while self.retries.front().is_some_and(|&at| at < from) {
            self.retries.pop_front();
        }
    }

    /// Enters the answer to a probe, or that none came, and the load that it told.
    pub(crate) fn enter_report(&mut self, now: Micros, i: usize, answered: bool, load: Option<f64>) {
        let reported = self.estimate_load(&self.backends[i].own_load);
        let backend = &mut self.backends[i];
        (backend.report, backend.load_at_report) = (Some((now, load.filter(|_| answered))), reported);
        backend.unverified &= !answered;
        if answered {
            self.consecutive_probe_failures = 0;
        } else if !backend.established.is_empty() {
            self.consecutive_probe_failures += 1;
        }
    }

    /// The load that it reported, with what we added or took away since where that is asked for; `None` where
    /// no fresh report tells.
    pub(crate) fn expected(&self, i: usize, now: Micros, age: Micros, since: bool) -> Option<f64> {
        let backend = &self.backends[i];
        let added =
            (self.estimate_load(&backend.own_load) - backend.load_at_report) / self.current_capacity(i, now);
        Some(backend.report(now, age)?? + if since { added } else { 0.0 })
    }

    /// Enters a standing connection at a backend, or takes it out.
    pub(crate) fn set_established(&mut self, i: usize, id: RequestId, enter: bool) {
        let established = &mut self.backends[i].established;
        if enter {
            established.insert(id);
            self.backends_in_use.insert(i);
        } else if established.remove(&id) && established.is_empty() {
            self.backends_in_use.remove(&i);
        }
    }

    /// Takes out the held requests whose event is due, or all, in order of arrival.
    pub(crate) fn take_held(&mut self, now: Micros, all: bool) -> Vec<RequestState> {
        let requests = &self.requests;
        let due = |id: &RequestId| requests.get(id).is_none_or(|state| all || state.retry_at <= now);
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.held).into_iter().partition(due);
        self.held = later;
        due.into_iter().filter_map(|id| self.requests.remove(&id)).collect()
    }

    /// Keeps a request without an attempt out.
    pub(crate) fn keep_held(&mut self, state: RequestState) {
        self.held.push(state.request.id);
        self.requests.insert(state.request.id, state);
    }

    /// Whether we hold connections there that would have told us, had it been slow lately.
    pub(crate) fn observed_healthy(&self, i: usize, now: Micros) -> bool {
        !self.backends[i].established.is_empty() && now >= self.backends[i].slow_until
    }

    /// Share of its capacity that a backend can surely do while it warms up; `None` once warm.
    pub(crate) fn slow_start_share(&self, i: usize, now: Micros) -> Option<f64> {
        let (started, from) = (self.backends[i].started, self.settings.slow_start_min_share);
        let age = now.saturating_sub(started) as f64 / self.settings.slow_start_duration.max(1) as f64;
        (started > 0 && age < 1.0).then_some(from + (1.0 - from) * age)
    }

    /// A request to be placed, and whether its key was lately: its load then is remembered.
    pub(crate) fn new_request_state(&self, request: Request) -> (RequestState, bool) {
        let lately = request.key.and_then(|key| self.recent_keys.get(&key)).copied();
        let previous_load = lately.and_then(|(_, load)| load);
        (RequestState { previous_load, ..RequestState::new(request) }, lately.is_some())
    }

    /// Enters a set-up delay of this tick, in aims of its class.
    pub(crate) fn record_setup_delay(&mut self, request: &Request, delay: Micros) {
        let aim = self.class(request).setup_target.max(1);
        self.admission.delays.push(delay as f64 / aim as f64);
    }

    /// Size of a backend: its weight where weights state sizes, else 1.
    pub(crate) fn weight(&self, i: usize) -> f64 {
        let weight = self.backends[i].member.weight;
        if self.settings.sized_weights && weight > 0.0 { weight } else { 1.0 }
    }

    /// Work that a backend can do, where weights state sizes: in standard cores; microseconds a second.
    pub(crate) fn capacity(&self, i: usize) -> f64 {
        self.weight(i) * 1e6
    }

    /// Work that it can surely do now, while it warms up.
    pub(crate) fn current_capacity(&self, i: usize, now: Micros) -> f64 {
        self.capacity(i) * self.slow_start_share(i, now).unwrap_or(1.0)
    }

    /// What we may send a cold backend in a window, at that share of its capacity, where we would by what was seen:
    /// no more than our part of what its size can take, as clients that come back after a crash are many while few
    /// backends are listed; and all of that part where it was started as planned. One back from a crash may not be
    /// what it was.
    pub(crate) fn slow_start_refill(&self, i: usize, share: f64, seen: f64) -> f64 {
        let part = self.slow_start_quota(self.weight(i), BUCKET_PART) * share;
        match (self.settings.sized_weights, self.backends[i].planned_start) {
            (false, _) => seen,
            (true, true) => part,
            (true, false) => seen.min(part),
        }
    }

    /// Load of a connection, as far as known.
    pub(crate) fn request_load(&self, state: &RequestState) -> f64 {
        let load = state.load.or(state.previous_load);
        self.estimate_load(&LoadEstimate {
            open: 1,
            known_load: load.unwrap_or(0.0),
            unknown_count: u32::from(load.is_none()),
        })
    }

    /// A connection of unknown load counts as the mean of the known, and without notes or hints one.
    pub(crate) fn estimate_load(&self, load: &LoadEstimate) -> f64 {
        let known = f64::from(self.total.open - self.total.unknown_count);
        let usual = if self.total.known_load > 0.0 { self.total.known_load / known.max(1.0) } else { 1.0 };
        load.known_load + f64::from(load.unknown_count) * usual
    }

    /// Enters a connection that stands already; its backend.
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

    /// Enters since when each backend is withdrawn; those that now are.
    pub(crate) fn withdraw(&mut self, now: Micros) -> Vec<usize> {
        let mut withdrawn = Vec::new();
        for (i, backend) in self.backends.iter_mut().enumerate() {
            if backend.ready() {
                backend.withdrawn_at = Micros::MAX;
            } else if backend.withdrawn_at == Micros::MAX {
                backend.withdrawn_at = now;
                withdrawn.push(i);
            }
        }
        withdrawn
    }

    /// Enters those standing at a backend among the ones to be moved off, once each; whether they are the first.
    pub(crate) fn queue_moves(&mut self, i: usize) -> bool {
        let idle = self.move_queue.is_empty();
        let established = self.backends[i].established.iter();
        let new: Vec<_> = established.copied().filter(|id| !self.move_queue.contains(id)).collect();
        self.move_queue.extend(new);
        idle && !self.move_queue.is_empty()
    }

    /// The loads of those standing at a backend, the heaviest first.
    pub(crate) fn heaviest(&self, i: usize) -> Vec<(f64, RequestId)> {
        let requests = self.backends[i].established.iter().filter_map(|id| self.requests.get(id));
        let mut requests: Vec<_> =
            requests.map(|state| (self.request_load(state), state.request.id)).collect();
        requests.sort_by(|a, b| b.0.total_cmp(&a.0));
        requests
    }

    /// Enters that the client left.
    pub(crate) fn client_left(&mut self, id: RequestId) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.answered = true;
            if state.current_attempt.is_none() {
                self.requests.remove(&id);
            }
        }
    }

    /// Enters a member of the list; its number.
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
        let (new, listed_at) = (i == next, self.listed_at);
        let backend = &mut self.backends[i];
        let planned = new || backend.out_of_service();
        let told_before = std::mem::replace(&mut backend.member, member.clone()).started;
        match member.state {
            MemberState::Ready => backend.drained = false,
            MemberState::Draining => backend.drained = true,
            // A later list may only have forgotten that it drains.
            MemberState::Gone => {}
        }
        if member.started > 0 && (new || member.started != told_before) {
            let started = backend.told_start(member.started, now, listed_at);
            if started > backend.started {
                backend.renew(started, now);
                backend.planned_start = planned;
            }
        }
        i
    }

    /// Whether its entries are due to be drawn anew: it came, went, or its size moved by more than a slack.
    pub(crate) fn table_entry_changed(&self, i: usize, now: Micros) -> bool {
        let size = if self.in_table(i, now) { self.weight(i) } else { 0.0 };
        let (low, high) = (size.min(self.backends[i].table_weight), size.max(self.backends[i].table_weight));
        low * SIZE_SLACK < high
    }

    /// Enters that staff withhold a backend, or gave it back. They restart it meanwhile: unless the list told of
    /// a later start, it counts as started now, with our part of its cold budget for the first connection.
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
        let told = Some(self.backends[i].started).filter(|&at| at > self.backends[i].maintenance_since);
        self.backends[i].renew(told.unwrap_or(now), now);
        self.backends[i].restart_observed = told.is_none();
        (self.backends[i].planned_start, self.backends[i].returned_to_service) = (true, true);
        let share = self.slow_start_share(i, now).unwrap_or(1.0);
        self.backends[i].tokens = self.slow_start_refill(i, share, 0.0).min(1.0);
    }

    /// Whether a list ever named that backend, or staff withhold it.
    pub fn knows(&self, backend: &str) -> bool {
        self.index.contains_key(backend) || self.backends_in_maintenance.contains(backend)
    }

    /// The backends that staff withhold.
    pub fn backends_in_maintenance(&self) -> impl Iterator<Item = &str> {
        self.backends_in_maintenance.iter().map(|backend| &**backend)
    }

    /// The load of an open connection, where known; microseconds of work a second.
    pub fn load_of(&self, id: RequestId) -> Option<f64> {
        self.requests.get(&id).and_then(|state| state.load)
    }

    /// Who has entries: whoever is listed, and for a while whoever the list withdrew where not binding.
    pub(crate) fn in_table(&self, i: usize, now: Micros) -> bool {
        let backend = &self.backends[i];
        let heard = !backend.unverified || now < backend.withdrawn_at.saturating_add(WITHDRAWN_MEMORY);
        backend.ready() || !self.settings.exclude_removed && !backend.drained && heard
    }

    /// Forgets a further attempt made then, unless it was the first.
    pub(crate) fn uncount_retry(&mut self, attempts: u32, sent: Micros) {
        let at = self.retries.iter().rposition(|&at| at == sent).filter(|_| attempts > 1);
        at.and_then(|at| self.retries.remove(at));
    }

    /// Enters the noted load of an open connection, if there is one; its backend.
    pub(crate) fn update_connection_load(&mut self, id: RequestId, load: f64) -> Option<usize> {
        let state = self.requests.get_mut(&id)?;
        let (i, ..) = state.current_attempt?;
        let before = state.load.replace(load);
        self.update_load(i, before, false);
        self.update_load(i, Some(load), true);
        Some(i)
    }

    /// Enters how long a set-up took at a backend; the part of it that the quickest one did not take.
    pub(crate) fn record_setup_latency(&mut self, i: usize, latency: Micros) -> Micros {
        self.set_ups += 1;
        let least = &mut self.backends[i].min_setup_latency;
        *least = latency.min(*least);
        latency - *least
    }

    /// Enters an attempt.
    pub(crate) fn start_attempt(&mut self, mut state: RequestState, i: usize, now: Micros, until: Micros) {
        self.update_load(i, state.load, true);
        self.setup_limit.start();
        self.backends[i].returned_to_service = false;
        state.attempts += 1;
        state.current_attempt = Some((i, now, until));
        state.tried.push(i);
        self.requests.insert(state.request.id, state);
    }

    /// Enters that the connection of the attempt that is out stands; its backend and request.
    pub(crate) fn record_established(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
    ) -> Option<(usize, Request)> {
        let state = self.requests.get_mut(&id).filter(|w| w.attempts == attempt + 1 && !w.established)?;
        let (i, ..) = state.current_attempt?;
        (state.established, state.answered) = (true, true);
        self.setup_limit.record_success();
        let (request, load) = (state.request.clone(), state.load);
        self.set_established(i, id, true);
        if let Some(key) = request.key {
            self.recent_keys.insert(key, (now, load));
        }
        Some((i, request))
    }

    /// Takes out the attempt that is out: its request, its backend, when it was sent and its limit.
    pub(crate) fn end_attempt(
        &mut self,
        now: Micros,
        ended: &AttemptResult,
    ) -> Option<(RequestState, usize, Micros, Micros)> {
        self.requests
            .get(&ended.id)
            .filter(|w| w.attempts == ended.attempt + 1 && w.current_attempt.is_some())?;
        let mut state = self.requests.remove(&ended.id)?;
        let (i, sent, until) = state.current_attempt.take()?;
        state.answered |= ended.closed;
        self.update_load(i, state.load, false);
        if state.established {
            self.set_established(i, ended.id, false);
            if let Some(key) = state.request.key {
                self.recent_keys.insert(key, (now, state.load));
            }
        }
        Some((state, i, sent, until))
    }

    /// The description of the request's class.
    pub(crate) fn class(&self, request: &Request) -> &Class {
        self.settings.classes.get(request.class).unwrap_or(&self.unknown_class)
    }

    /// Listed backends in the order of their ids.
    pub(crate) fn ready(&self) -> impl Iterator<Item = usize> {
        self.index.values().copied().filter(|&i| self.backends[i].ready())
    }

    /// Whether it lies in another zone and crossing has a price.
    pub(crate) fn in_other_zone(&self, i: usize) -> bool {
        self.backends[i].member.zone != self.settings.zone && self.settings.cross_zone_price > 0.0
    }

    /// Listed backends that warm up.
    pub(crate) fn in_slow_start(&self, now: Micros) -> impl Iterator<Item = usize> {
        self.ready().filter(move |&i| self.slow_start_share(i, now).is_some())
    }

    /// Builds the table of the backends that have a size, in the order of their ids.
    pub(crate) fn build_table(&mut self, sizes: Vec<Option<f64>>) {
        let sized = self.index.iter().filter_map(|(name, &i)| Some((i, &**name, sizes[i]?)));
        let members: Vec<_> = sized.collect();
        self.table.build(&members);
        for (backend, size) in self.backends.iter_mut().zip(sizes) {
            backend.table_weight = size.unwrap_or(0.0);
        }
    }

    /// Empty books.
    pub(crate) fn empty(settings: Settings, unknown_class: Class, budget: RetryBudget, seed: u64) -> Self {
        let many = settings.proxies > LARGE_FLEET_PROXIES;
        let aims = settings.classes.iter().map(|c| c.message_target).filter(|&aim| aim > 0);
        Balancer {
            message_target: aims.min().unwrap_or(0) as f64,
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
            set_ups: 0,
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
            setup_limit: SetupLimit::new(seed, many),
            failed_list_calls: 0,
            stopping: false,
        }
    }
}
