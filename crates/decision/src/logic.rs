//! All decisions of the balancer. Types, events and actions are in `src/api.rs`.
//! Usual path: admission by the learned curve, then the table pick. Special cases: docs/design/module.md.

use crate::api::*;
pub use crate::state::Balancer;
use crate::state::{
    RequestState, TIMER_ADMISSION, TIMER_HELD_REQUESTS, TIMER_MOVES, TIMER_PROBES, TIMER_SUBSCRIBE,
};

/// A key passes admission for this many of the longest deadlines after its setup or end: all client retries.
const KEY_MEMORY_DEADLINES: u64 = 5;
/// A backend in another zone counts as fuller by this times the cross-zone price: by half at a price of 0.1.
const CROSS_ZONE_LOAD_FACTOR: f64 = 5.0;
/// Extra table entries tried when both entries of a key are unusable. More would scatter groups.
const EXTRA_TABLE_ENTRIES: u64 = 6;
/// Probability that a reconnecting client skips an entry that no own connection confirms to be healthy.
const SKIP_PROBABILITY: f64 = 0.5;
/// A proxy of a large fleet confirms hardly any entry. Skipping more would scatter groups as clients move.
/// A client that returns to an overloaded backend reaches another one after five returns on average.
const LARGE_FLEET_SKIP_PROBABILITY: f64 = 0.2;
/// An attempt may take the remaining time divided by this, which leaves time for two more backends.
const ATTEMPT_TIME_DIVISOR: u64 = 3;
/// Retries per request if the settings state no budget. The bound keeps a wide failure from being multiplied.
const DEFAULT_RETRY_RATIO: f64 = 0.5;
/// Window of the retry budget if the settings state none. It covers several retries of one request.
const DEFAULT_RETRY_WINDOW_US: Micros = 5_000_000;
/// A message over this share of the shortest message target is slow. The next load change may need the rest.
const SLOW_MESSAGE_SHARE: f64 = 0.67;
/// A slow backend's load limit, relative to the load at which the backend was slow.
const LOAD_LIMIT_CUT_FACTOR: f64 = 0.6;
/// Own connections from which the load limit alone bounds a slow backend: with four it is off by a half.
const LOAD_LIMIT_CONNECTIONS: u32 = 4;
/// Interval in which a load limit is cut at most once, and for which a load report is valid.
pub(crate) const EVALUATION_INTERVAL_US: Micros = 1_000_000;
/// Growth of a load limit since its last cut. The limit doubles before it expires.
const LOAD_LIMIT_GROWTH_PER_SECOND: f64 = 0.05;
/// A load limit expires this long after its last cut, however often it was cut.
const LOAD_LIMIT_MEMORY_SECONDS: f64 = 30.0;
/// Share of own connections moved per slow measurement: relieves a backend a third too full in some seconds.
const MOVE_SHARE: f64 = 0.06;
/// With delay reports, a slow backend sheds enough load to finish its backlog in this time.
const DRAIN_TIME_US: f64 = 1_500_000.0;
/// Bounds of the load after shedding, as shares of capacity. With reports, placement stops at the upper one.
const MIN_LOAD: f64 = 0.3;
const MAX_LOAD: f64 = 0.85;
/// A backend sheds again only after this time, when reports show the effect of the last shedding.
const SHED_INTERVAL_US: Micros = 1_500_000;
/// Bound on how much a long delay multiplies moves while most backends are slow, as little capacity is spare.
const MAX_MOVE_FACTOR_MOSTLY_SLOW: f64 = 2.0;
/// A slow measurement bars new connections, and any measurement is recent, for three measurement intervals.
const DELAY_MEASUREMENT_LIFETIME_US: Micros = 3_000_000;
/// The first entry of a key with a reported load below this is taken, and none with a load of 1 or more.
const LIGHT_LOAD_SHARE: f64 = 0.7;
/// Decaying number of failures from which a backend is suspect: one failure, until a success.
const SUSPECT_FAILURES: f64 = 0.75;
/// Share of failures kept after a success: two failures in five attempts keep it suspect, one in ten not.
const FAILURE_SHARE_AFTER_SUCCESS: f64 = 0.7;
/// Failures decay by half in this time, and so outlast good and bad spells of some seconds.
const FAILURE_HALF_LIFE_SECONDS: f64 = 10.0;
/// First interval between trials of a suspect backend. It doubles only twice, so a recovery is seen soon.
const TRIAL_INTERVAL_CONNECT_TIMEOUTS: u64 = 4;
/// Probes of an unverified backend before a request tries it: probing may fail where requests are served.
const PROBES_PER_TRIAL: u32 = 2;
/// After this many failed probes in a row at backends in use, no request waits for one: two may be chance.
const MAX_CONSECUTIVE_PROBE_FAILURES: u32 = 3;
/// A held request is retried no sooner than this after it was last placed.
const MIN_HOLD_US: Micros = 10_000;
/// Share of the slow-start budget used in the long run. Random variation and saved tokens take the rest.
pub(crate) const SLOW_START_UTILIZATION: f64 = 0.65;
/// Above this, each proxy sees few requests, and all act on one report before the next shows the effect.
pub(crate) const LARGE_FLEET_PROXIES: u32 = 16;
/// Bound of the subscribe delay, per proxy: the time given to discovery to serve a call if all call at once.
const SUBSCRIBE_DELAY_PER_PROXY_US: Micros = 20_000;
/// Longest delay before a subscribe call. A silent watch takes 2.5 s to detect, then the call waits for its
/// place in discovery's queue, and updates must be obeyed after 6 s.
const MAX_SUBSCRIBE_DELAY_US: Micros = 2_000_000;
/// A setup's wait divided by this counts as a message delay, as the work and pauses of a setup vary.
const SETUP_WAIT_DIVISOR: u64 = 2;
/// A connection with a message unanswered this long is moved: no message is worth a longer wait.
const MAX_UNANSWERED_US: Micros = 3_000_000;
/// Reports of backends in use count up to this age, and lightly loaded ones are probed this seldom.
const REPORT_AGE_US: Micros = 3_000_000;
/// Interval between batches of moves off backends out of service.
const MOVE_PERIOD_US: Micros = 100_000;
/// Random delay of a large fleet's first batch: proxies with one or two clients each would move in step.
const MOVE_JITTER_US: Micros = 1_000_000;
/// A batch is the queue divided by this, rounded up: most clients move within 2 s, and not all at once.
const MOVE_BATCH_DIVISOR: usize = 20;

impl Balancer {
    /// A balancer without any endpoints. `seed` determines all of its random draws.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, InvalidSettings> {
        settings.check()?;
        let longest_deadline = settings.classes.iter().map(|c| c.deadline).max().unwrap_or(2_000_000);
        let default_class = Settings::default().classes.remove(0);
        // Requests of an undescribed class are never repeated.
        let unknown_class = Class { deadline: longest_deadline, effect: Effect::Once, ..default_class };
        let min_retries = f64::from(settings.max_attempts);
        let budget = settings.budget.unwrap_or(RetryBudget {
            min_retries,
            ratio: DEFAULT_RETRY_RATIO,
            window: DEFAULT_RETRY_WINDOW_US,
        });
        let mut balancer = Balancer::empty(settings, unknown_class, budget, seed);
        // A tick lasts as long as the slowest attempt: each attempt has ended by the end of the next tick.
        balancer.admission.tick = longest_deadline.clamp(1_000_000, 10_000_000);
        Ok(balancer)
    }

    /// Handles one event at time `now` and appends the resulting actions to `out`, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.started.is_none() {
            self.started = Some(now);
            self.admission.tick_started_at = now;
            out.push(Action::Timer(self.admission.tick, TIMER_ADMISSION));
            if self.settings.delay_report.is_some() {
                out.push(Action::Timer(EVALUATION_INTERVAL_US, TIMER_PROBES));
            }
            self.schedule_subscribe(out);
        }
        match event {
            Event::Members { kind, .. } if self.freshness.record_update(now, kind) => {
                self.schedule_subscribe(out)
            }
            Event::Members { kind: ListKind::Superseded, members } => {
                self.on_superseded_members(now, &members, out)
            }
            Event::Members { kind, members } => self.on_members(now, kind, &members, out),
            Event::LearnedState(learned) => self.restore_learned_state(*learned),
            Event::Maintenance(backend, in_maintenance) => {
                self.set_maintenance(now, &backend, in_maintenance);
                self.on_members(now, ListKind::Delta, &[], out);
            }
            Event::Request(request) => self.on_request(now, request, out),
            Event::Resumed(request, backend) => self
                .restore_connection(now, request, &backend)
                .into_iter()
                .for_each(|i| self.schedule_moves(i, out)),
            Event::Established { id, attempt, latency } => {
                if let Some((i, request)) = self.record_established(now, id, attempt) {
                    self.record_setup_delay(&request, latency);
                    self.record_success(i, now);
                    let waited = self.record_setup_latency(i, latency);
                    if self.uses_delay_reports(now) {
                        self.on_delay(now, i, waited / SETUP_WAIT_DIVISOR, out);
                    }
                    self.schedule_moves(i, out);
                }
            }
            Event::AttemptEnded(result) => self.on_attempt_ended(now, &result, out),
            Event::ClientGone(id) => self.client_left(id),
            Event::Stopping => {
                self.stopping = true;
                self.retry_held(now, true, out);
            }
            Event::Timer(TIMER_ADMISSION) => {
                self.admission.on_tick(now);
                let memory = KEY_MEMORY_DEADLINES * self.unknown_class.deadline;
                self.recent_keys.retain(|_, (at, _)| *at + memory > now);
                out.push(Action::Timer(self.admission.tick, TIMER_ADMISSION));
            }
            Event::Timer(TIMER_PROBES) => self.probe_backends_in_use(now, out),
            Event::Timer(TIMER_MOVES) => self.move_batch(out),
            Event::Timer(TIMER_HELD_REQUESTS) => self.retry_held(now, false, out),
            Event::Timer(TIMER_SUBSCRIBE) if self.subscribe_scheduled => {
                self.subscribe_scheduled = false;
                out.push(Action::Subscribe);
            }
            Event::Measured(id, Measurement::Load(load)) => {
                if let Some(i) = self.update_connection_load(id, load).filter(|_| self.has_load_reports(now))
                {
                    self.shed_excess(now, i, MAX_LOAD, out);
                }
            }
            Event::Measured(id, Measurement::Delay(delay)) => {
                self.measured_at = now;
                if let Some((i, ..)) = self.requests.get(&id).and_then(|state| state.current_attempt) {
                    self.on_delay(now, i, delay, out);
                }
            }
            // Special case "unanswered": guards against a client left waiting on an unreachable backend.
            Event::Measured(id, Measurement::Unanswered(age)) if age >= MAX_UNANSWERED_US => {
                out.push(Action::Move(id))
            }
            Event::Probed { backend, status, report } => {
                if let Some(&i) = self.index.get(&backend) {
                    self.on_probed(now, i, status, &report, out);
                }
            }
            Event::Measured(..) | Event::Timer(_) => {}
        }
    }

    /// Special case "leaving": guards against a backend that stops under its clients. Each is moved once.
    pub(crate) fn schedule_moves(&mut self, i: usize, out: &mut Vec<Action>) {
        if self.excluded(i) && self.queue_moves(i) {
            let delay = if self.is_large_fleet() { self.rng.u64(0..=MOVE_JITTER_US) } else { MOVE_PERIOD_US };
            out.push(Action::Timer(delay, TIMER_MOVES));
        }
    }

    /// Moves one batch of clients. A backend that is ready again keeps the rest.
    fn move_batch(&mut self, out: &mut Vec<Action>) {
        let mut remaining = self.move_queue.len().div_ceil(MOVE_BATCH_DIVISOR);
        while remaining > 0 {
            let Some(id) = self.move_queue.pop_front() else { return };
            let attempt = self
                .requests
                .get(&id)
                .filter(|state| state.established)
                .and_then(|state| state.current_attempt);
            if attempt.is_some_and(|(i, ..)| self.excluded(i)) {
                out.push(Action::Move(id));
                remaining -= 1;
            }
        }
        if !self.move_queue.is_empty() {
            out.push(Action::Timer(MOVE_PERIOD_US, TIMER_MOVES));
        }
    }

    /// Whether the rules bar the backend from all new attempts.
    pub(crate) fn excluded(&self, i: usize) -> bool {
        self.backends[i].out_of_service() || self.settings.exclude_removed && !self.backends[i].ready()
    }

    /// Subscribes after a random delay, as proxies start and fail in step. Failed calls double its bound.
    fn schedule_subscribe(&mut self, out: &mut Vec<Action>) {
        if !self.settings.ask_for_list || std::mem::replace(&mut self.subscribe_scheduled, true) {
            return;
        }
        let first_bound = (SUBSCRIBE_DELAY_PER_PROXY_US * u64::from(self.settings.proxies))
            .min(self.settings.ask_within / 4);
        let bound = (first_bound << self.subscribe_calls_since_update.min(4)).min(MAX_SUBSCRIBE_DELAY_US);
        self.subscribe_calls_since_update += 1;
        out.push(Action::Timer(self.rng.u64(0..=bound), TIMER_SUBSCRIBE));
    }

    /// Usual path: new clients pass with the admission probability, continuing clients always.
    fn on_request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        self.trim_retry_window(now);
        self.accepted.push_back(now);
        let (state, recently_placed) = self.new_request_state(request);
        if !(state.request.mid_flow || state.request.reconnecting || recently_placed) {
            self.admission.on_arrival(now);
            if self.rng.f64() >= self.admission.admit_probability {
                // The next tick computes a new limit.
                let wait = (self.admission.tick_started_at + self.admission.tick).saturating_sub(now);
                return self.finish(&state, wait, out);
            }
            self.admission.on_admitted(now);
        }
        self.place(now, state, out);
    }

    /// Sends an attempt to a backend, holds the request, or answers it when nothing is left to try.
    fn place(&mut self, now: Micros, mut state: RequestState, out: &mut Vec<Action>) {
        let time_left = state.request.deadline.saturating_sub(now);
        let is_retry = state.attempts > 0;
        let exhausted = time_left == 0 || self.stopping || state.attempts >= self.settings.max_attempts;
        if exhausted || is_retry && !self.may_retry(now) {
            return self.finish(&state, self.settings.connect_timeout, out);
        }
        let setup_at = self.setup_limit.next_at(now, self.class(&state.request).setup_target);
        if setup_at > now {
            return self.wait_for_setup(now, state, setup_at, out);
        }
        // The table is rebuilt once for a series of endpoint updates, and only when a request needs it.
        if std::mem::take(&mut self.table_stale) {
            let weight = |i: usize| self.in_table(i, now).then(|| self.weight(i));
            self.build_table((0..self.backends.len()).map(weight).collect());
        }
        let (mut token_at, preferred) = (
            Micros::MAX,
            self.pick_returned_backend(now, &state).or_else(|| self.pick_slow_start_backend(now, &state)),
        );
        let i = loop {
            if let Some(i) = preferred {
                break i;
            }
            let i = match self.pick(now, &state) {
                Ok(i) => i,
                Err(available_at) => return self.hold_until(now, state, available_at.min(token_at), out),
            };
            if self.backends[i].unverified && self.verify_by_probe(i, now, out) {
                state.tried.push(i);
                continue;
            }
            if time_left > 2 * self.settings.connect_timeout && self.probe_before_attempt(i, now, out) {
                let report_at = self.backends[i].probed_at + self.settings.connect_timeout;
                return self.hold_until(now, state, report_at, out);
            }
            if self.spend_slow_start_token(i, now) {
                break i;
            }
            token_at = now + self.settings.overload_window / 2;
            state.tried.push(i);
        };
        // While setups are limited, no other attempt follows this one, so it may use all the time left.
        let time_divisor = match self.setup_limit.is_limited() {
            true => 1,
            false => u64::from(self.settings.max_attempts - state.attempts).min(ATTEMPT_TIME_DIVISOR),
        };
        let until = now + time_left.div_ceil(time_divisor);
        if is_retry {
            self.retries.push_back(now);
        }
        // The next trial of a suspect backend waits, even if the end of this attempt is never reported.
        self.postpone_trial(i, now);
        let backend = self.backends[i].member.backend.clone();
        out.push(Action::Send { id: state.request.id, backend, until });
        self.start_attempt(state, i, now, until);
    }

    /// Special case "shared failure": guards against a storm on a dependency of all backends. A request waits
    /// if its setup can still meet the target. Otherwise it is refused at once, with the time to come back.
    fn wait_for_setup(&mut self, now: Micros, state: RequestState, setup_at: Micros, out: &mut Vec<Action>) {
        let class = self.class(&state.request);
        let setup_due = (state.request.deadline + class.setup_target).saturating_sub(class.deadline);
        if setup_at + self.settings.connect_timeout > setup_due {
            return self.finish(&state, setup_at - now, out);
        }
        self.hold_until(now, state, setup_at, out);
    }

    /// Places the held requests that are due, in order, or all when a report came or the process stops.
    fn retry_held(&mut self, now: Micros, all: bool, out: &mut Vec<Action>) {
        self.take_held(now, all).into_iter().for_each(|state| self.place(now, state, out));
    }

    /// Special case "hold": guards against clients that stay away long after several quick refusals.
    /// A request is held only if time for an attempt remains after the wait. Otherwise it is answered now.
    fn hold_until(&mut self, now: Micros, mut state: RequestState, retry_at: Micros, out: &mut Vec<Action>) {
        let retry_at = retry_at.max(now + MIN_HOLD_US);
        if retry_at.saturating_add(self.settings.connect_timeout) > state.request.deadline {
            return self.finish(&state, retry_at - now, out);
        }
        out.push(Action::Timer(retry_at - now, TIMER_HELD_REQUESTS));
        (state.retry_at, state.tried) = (retry_at, Vec::new());
        self.hold_request(state);
    }

    /// Gives the final answer: a refusal, with the expected wait, only where a repetition is harmless.
    fn finish(&self, state: &RequestState, wait: Micros, out: &mut Vec<Action>) {
        let repeatable = [Effect::Repeatable, Effect::Keyed(KeyScope::All)];
        if state.may_have_run.is_some() && !repeatable.contains(&self.class(&state.request).effect) {
            return out.push(Action::Fail(state.request.id));
        }
        let wait = self.settings.retry_after.then_some(wait.min(self.settings.max_retry_after));
        out.push(Action::Refuse { id: state.request.id, retry_after: wait });
    }

    fn on_attempt_ended(&mut self, now: Micros, result: &AttemptResult, out: &mut Vec<Action>) {
        let Some((mut state, i, sent_at, until)) = self.end_attempt(now, result) else { return };
        if state.established {
            if result.status == Status::Reset {
                self.mark_slow(i, now);
                // A process that dies loses all connections of this proxy. An unreachable one does not.
                self.backends[i].all_connections_lost |= self.backends[i].established.is_empty();
            }
            return;
        }
        self.record_setup(now, result.status, i, sent_at, &state);
        match result.status {
            Status::Ok => {
                self.record_setup_delay(&state.request, result.latency);
                self.record_success(i, now);
            }
            Status::Cancelled => {}
            // An attempt that was never sent does not count in the retry budget.
            Status::NotSent => self.uncount_retry(state.attempts, sent_at),
            _ => {
                // A dead or hung backend is not overloaded: its failures must not shape the admission curve.
                if !self.is_suspect(i, now) {
                    self.record_setup_delay(&state.request, until - sent_at);
                }
                self.record_failure(i, now);
            }
        }
        if state.answered {
            return;
        }
        if result.status.may_have_run() && state.may_have_run.is_none() {
            state.may_have_run = Some((i, sent_at));
        }
        self.place(now, state, out);
    }

    /// Records in the setup limit how a setup ended that established no connection.
    fn record_setup(&mut self, now: Micros, status: Status, i: usize, sent_at: Micros, state: &RequestState) {
        let id = state.request.id;
        match status {
            Status::Ok => self.setup_limit.record_success(id),
            Status::Error | Status::Timeout => {
                let class = self.class(&state.request);
                let (target, deadline, location) =
                    (class.setup_target, class.deadline, (i, self.backends[i].member.zone));
                self.setup_limit.record_failure(now, id, sent_at, location, target, deadline);
            }
            _ => self.setup_limit.finish(id),
        }
    }

    /// Whether the retry budget allows one more retry. All in its window count, except `NotSent` ones.
    /// Guards against retries that multiply a wide failure. Harm: few retries where few requests arrive.
    fn may_retry(&mut self, now: Micros) -> bool {
        self.trim_retry_window(now);
        let allowed = self.budget.min_retries + self.budget.ratio * self.accepted.len() as f64;
        (self.retries.len() + 1) as f64 <= allowed
    }

    /// Picks the less loaded of the two table entries of a key. If neither is available: an extra one, or
    /// else the time at which one is expected to be.
    fn pick(&mut self, now: Micros, state: &RequestState) -> Result<usize, Micros> {
        let (hash, has_reports) = (self.placement_hash(state), self.has_load_reports(now));
        let (first, second) = self.table.pair(hash).ok_or(Micros::MAX)?;
        // Special case "reconnect": guards against a loop over a backend that sheds or is slow, unseen by us.
        let may_skip = state.request.reconnecting && !self.observed_healthy(first, now);
        let chance = if self.is_large_fleet() { LARGE_FLEET_SKIP_PROBABILITY } else { SKIP_PROBABILITY };
        let skipped =
            (0..EXTRA_TABLE_ENTRIES as usize).take_while(|_| may_skip && self.rng.f64() < chance).count();
        let second_is_better =
            !state.request.mid_flow && self.placement_load(second, now) < self.placement_load(first, now);
        let pair = if second_is_better { [second, first] } else { [first, second] };
        // While most backends are slow, extra entries would only scatter groups.
        let extra_count = if !has_reports && self.mostly_slow(now) { 0 } else { EXTRA_TABLE_ENTRIES };
        let extra = (2..2 + extra_count).filter_map(|seed| self.table.entry(hash, seed));
        let available_at = |i: usize, allow_suspect: bool| self.available_at(now, state, i, allow_suspect);
        let entries: Vec<usize> = pair.into_iter().chain(extra).collect();
        let earliest = || entries.iter().map(|&i| available_at(i, false)).min().unwrap_or(Micros::MAX);
        // Guards against excluding all backends: if most are suspect and none is available, one is tried.
        let most_suspect =
            || 2 * entries.iter().filter(|&&i| self.is_suspect(i, now)).count() > entries.len();
        let fallback =
            || entries.iter().copied().find(|&i| available_at(i, true) <= now).filter(|_| most_suspect());
        // Special case "probe": guards against blind placement where a backend would report its load.
        if self.settings.load_report.is_some() {
            let at_capacity = |i: usize, load: f64| {
                let load_after = load + self.request_load(state) / self.current_capacity(i, now);
                load >= 1.0 || has_reports && (load_after >= MAX_LOAD || self.backends[i].slow_until > now)
            };
            let load = |i: &usize| self.fresh_load(*i, now, EVALUATION_INTERVAL_US, has_reports);
            let rank = |i: &usize| match load(i) {
                Some(load) if at_capacity(*i, load) => 3,
                Some(load) if load >= LIGHT_LOAD_SHARE => 2,
                _ => u32::from(self.is_large_fleet() && self.in_other_zone(*i)),
            };
            let mut usable = entries.clone();
            usable.retain(|&i| available_at(i, false) <= now);
            usable.sort_by_key(rank);
            let Some(best) = usable.first().copied().or_else(fallback) else { return Err(earliest()) };
            let open = &usable[..usable.partition_point(|i| rank(i) < 3)];
            // Special case "headroom": guards against a herd on one report. A request that draws none waits.
            let target_load = if has_reports { MAX_LOAD } else { 1.0 };
            let headroom = |i: &usize| load(i).map(|load| (target_load - load).max(0.0) * self.weight(*i));
            let drawn = self
                .is_large_fleet()
                .then(|| self.draw_by_headroom(now, state.request.id, &usable, open, headroom));
            let best = Some(best).filter(|best| rank(best) < 3);
            return drawn.flatten().unwrap_or(best).ok_or(now + EVALUATION_INTERVAL_US);
        }
        let available = entries.iter().copied().skip(skipped).find(|&i| available_at(i, false) <= now);
        available.or_else(fallback).ok_or_else(earliest)
    }

    /// Special case "group": guards against paying for the shared work of a group on every backend.
    fn placement_hash(&self, state: &RequestState) -> u64 {
        let group = state.request.group.filter(|_| self.settings.groups);
        group.or(state.request.key).unwrap_or(state.request.id)
    }

    /// Own load per weight, as the pick compares it. A backend in slow start counts at least as the mean. One
    /// in another zone counts as fuller where crossing has a price (special case "zone").
    fn placement_load(&self, i: usize, now: Micros) -> f64 {
        let zone_factor = f64::from(self.in_other_zone(i)) * CROSS_ZONE_LOAD_FACTOR;
        let own = self.estimate_load(&self.backends[i].own_load) / self.weight(i)
            * (1.0 + zone_factor * self.settings.cross_zone_price);
        let mean = self.estimate_load(&self.total) / self.admission.capacity.max(f64::MIN_POSITIVE);
        if self.slow_start_share(i, now).is_some() { own.max(mean) } else { own }
    }

    /// When the backend takes that request: at most `now` for at once, `Micros::MAX` for never.
    fn available_at(&self, now: Micros, state: &RequestState, i: usize, allow_suspect: bool) -> Micros {
        if state.tried.contains(&i) || !self.allowed(now, state, i) {
            return Micros::MAX;
        }
        let needs_slot = u64::from(self.is_large_fleet() && self.slow_start_share(i, now).is_some());
        let slot_at = now + needs_slot * self.settings.overload_window / 2;
        let backend = &self.backends[i];
        let on_trial = backend.unverified || self.is_suspect(i, now) && !allow_suspect;
        let trial_at = if on_trial { backend.trial_at.max(slot_at) } else { slot_at };
        if self.has_load_reports(now) {
            return trial_at;
        }
        let slow_until = if backend.own_load.open < LOAD_LIMIT_CONNECTIONS { backend.slow_until } else { 0 };
        let excess = self.estimate_load(&backend.own_load) / backend.load_limit - 1.0;
        let free_at = backend.load_limit_cut_at
            + ((excess / LOAD_LIMIT_GROWTH_PER_SECOND).clamp(0.0, LOAD_LIMIT_MEMORY_SECONDS) * 1e6) as Micros;
        let free_at =
            if self.estimate_load(&backend.own_load) > self.current_load_limit(i, now) { free_at } else { 0 };
        trial_at.max(slow_until).max(free_at)
    }

    /// Requests a report before an attempt. Returns true while the request should wait for the report.
    fn probe_before_attempt(&mut self, i: usize, now: Micros, out: &mut Vec<Action>) -> bool {
        if self.settings.load_report.is_none()
            || self.backends[i].report(now, EVALUATION_INTERVAL_US).is_some()
        {
            return false;
        }
        let backend = &mut self.backends[i];
        if backend.probed_at + EVALUATION_INTERVAL_US <= now {
            backend.probed_at = now;
            out.push(Action::Probe(backend.member.backend.clone()));
        }
        now < backend.probed_at + self.settings.connect_timeout
            && self.consecutive_probe_failures < MAX_CONSECUTIVE_PROBE_FAILURES
    }

    /// Special case "unverified": guards against wrong endpoints. Returns true if a probe goes first.
    fn verify_by_probe(&mut self, i: usize, now: Micros, out: &mut Vec<Action>) -> bool {
        let backend = &mut self.backends[i];
        if !self.settings.may_probe || backend.verification_probes >= PROBES_PER_TRIAL {
            backend.verification_probes = 0;
            return false;
        }
        backend.verification_probes += 1;
        out.push(Action::Probe(backend.member.backend.clone()));
        self.postpone_trial(i, now);
        true
    }

    /// Records a probe's result. A failed probe shows only that probing failed: it is not a backend failure.
    fn on_probed(&mut self, now: Micros, i: usize, status: Status, report: &[f64], out: &mut Vec<Action>) {
        let answered = status == Status::Ok;
        let load = self.settings.load_report.and_then(|column| report.get(column).copied());
        self.record_report(now, i, answered, load);
        let delay = self.settings.delay_report.and_then(|column| report.get(column).copied());
        if let Some(delay) = delay.filter(|_| answered && self.uses_delay_reports(now)) {
            self.on_delay_report(now, i, (delay.max(0.0) * 1e3) as Micros, out);
        }
        self.retry_held(now, true, out);
    }

    /// Special case "backends in use": guards against a backend that grows slow under its connections,
    /// where no measurement shows it. It is probed, and soon again unless it is lightly loaded.
    fn probe_backends_in_use(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::Timer(EVALUATION_INTERVAL_US, TIMER_PROBES));
        let enabled = self.uses_delay_reports(now);
        let probed = self.backends_in_use.iter().copied().filter(|&i| enabled && !self.is_suspect(i, now));
        for i in probed.collect::<Vec<_>>() {
            let backend = &mut self.backends[i];
            // A report of zero load is older than the connections there.
            let is_light = |load| 0.0 < load && load < LIGHT_LOAD_SHARE;
            let is_light = backend.report(now, REPORT_AGE_US).flatten().is_some_and(is_light);
            if now >= backend.probed_at + if is_light { REPORT_AGE_US } else { EVALUATION_INTERVAL_US } {
                backend.probed_at = now;
                out.push(Action::Probe(backend.member.backend.clone()));
            }
        }
    }

    /// Handles a reported message delay. A backend that is not slow takes new connections at once. Special
    /// case "shed": guards against clients that wait for a backlog. Each proxy moves its share of the excess.
    fn on_delay_report(&mut self, now: Micros, i: usize, delay: Micros, out: &mut Vec<Action>) {
        if delay as f64 <= SLOW_MESSAGE_SHARE * self.message_target {
            return self.backends[i].slow_until = now;
        }
        self.mark_slow(i, now);
        if now >= self.backends[i].next_shed_at {
            self.backends[i].next_shed_at = now + SHED_INTERVAL_US;
            self.shed_excess(now, i, (1.0 - delay as f64 / DRAIN_TIME_US).clamp(MIN_LOAD, MAX_LOAD), out);
        }
    }

    /// Moves away the share that this proxy has in the load over `cap`, the heaviest connections first.
    fn shed_excess(&mut self, now: Micros, i: usize, cap: f64, out: &mut Vec<Action>) {
        let Some(load) = self.fresh_load(i, now, REPORT_AGE_US, true).filter(|&l| l > cap) else { return };
        let mut excess = self.estimate_load(&self.backends[i].own_load) * (1.0 - cap / load);
        for (load, id) in self.heaviest_first(i) {
            if load <= 2.0 * excess || self.rng.f64() * load < excess {
                out.push(Action::Move(id));
            }
            excess -= load;
        }
    }

    /// Whether there are so many proxies that the observations of one say little.
    fn is_large_fleet(&self) -> bool {
        self.settings.proxies > LARGE_FLEET_PROXIES
    }

    /// Whether probes report how loaded backends are and how long messages take there.
    fn has_load_reports(&self, now: Micros) -> bool {
        self.settings.load_report.is_some()
            && self.consecutive_probe_failures < MAX_CONSECUTIVE_PROBE_FAILURES
            && self.uses_delay_reports(now)
    }

    /// Whether message delays come from reports: no measurement came recently, which would be fresher.
    fn uses_delay_reports(&self, now: Micros) -> bool {
        self.settings.delay_report.is_some()
            && (self.measured_at == 0 || now >= self.measured_at + DELAY_MEASUREMENT_LIFETIME_US)
    }

    /// Special case "mostly slow": most backends in use are slow, beyond random variation.
    /// Guards against futile passing on of requests and clients.
    fn mostly_slow(&mut self, now: Micros) -> bool {
        let backends = &self.backends;
        self.slow_backends.retain(|&i| backends[i].slow_until > now);
        let slow_count = self.slow_backends.len() as f64;
        slow_count - slow_count.sqrt() > self.backends_in_use.len() as f64 / 2.0
    }

    /// Whether the connected attempt may still be sent: an endpoint update, maintenance or time may bar it.
    pub fn may_send_attempt(&self, now: Micros, id: RequestId) -> bool {
        let state = self.requests.get(&id).filter(|state| !state.answered);
        let attempt = state.and_then(|state| Some((state, state.current_attempt?)));
        attempt.is_some_and(|(state, (i, _, until))| now < until && self.allowed(now, state, i))
    }

    /// Whether the rules let this request go to that backend at all.
    fn allowed(&self, now: Micros, state: &RequestState, i: usize) -> bool {
        if self.excluded(i) || self.endpoints_stale(now) {
            return false;
        }
        let Some((first, sent_at)) = state.may_have_run else { return true };
        let class = self.class(&state.request);
        let (first, next) = (&self.backends[first].member, &self.backends[i].member);
        match class.effect {
            Effect::Repeatable => true,
            Effect::Once => false,
            Effect::Keyed(_) if now >= sent_at + class.repeat_window => false,
            Effect::Keyed(KeyScope::All) => true,
            Effect::Keyed(KeyScope::Zone) => first.zone == next.zone,
            Effect::Keyed(KeyScope::Cell) => first.cell == next.cell,
        }
    }

    /// Own load up to which a backend takes more: set where the backend was slow, and growing since.
    fn current_load_limit(&self, i: usize, now: Micros) -> f64 {
        let backend = &self.backends[i];
        let elapsed = now.saturating_sub(backend.load_limit_cut_at) as f64 / 1e6;
        if elapsed > LOAD_LIMIT_MEMORY_SECONDS {
            f64::INFINITY
        } else {
            backend.load_limit * (1.0 + LOAD_LIMIT_GROWTH_PER_SECOND * elapsed)
        }
    }

    /// Special case "slow backend": guards against filling a backend whose messages are late already.
    /// Moves one connection to a backend with spare capacity, or to a wait while all backends are slow.
    fn on_delay(&mut self, now: Micros, i: usize, delay: Micros, out: &mut Vec<Action>) {
        let slowness = delay as f64 / (SLOW_MESSAGE_SHARE * self.message_target);
        if slowness <= 1.0 {
            return;
        }
        self.mark_slow(i, now);
        // Guards against a storm of moves: few connections make few moves. Load limits hold the moved back.
        let limit = if self.mostly_slow(now) { MAX_MOVE_FACTOR_MOSTLY_SLOW } else { f64::INFINITY };
        if self.rng.f64() < f64::from(self.backends[i].own_load.open) * MOVE_SHARE * slowness.min(limit) {
            // Connections away from their hashed backend move first: a group is not paid for in many places.
            let away = |state: &RequestState| self.table.entry(self.placement_hash(state), 0) != Some(i);
            let moved = self.heaviest_first(i).into_iter().min_by_key(|(_, id)| !away(&self.requests[id]));
            out.extend(moved.map(|(_, id)| Action::Move(id)));
        }
    }

    /// Marks a backend slow, and lowers its load limit at most once per `EVALUATION_INTERVAL_US`.
    fn mark_slow(&mut self, i: usize, now: Micros) {
        self.backends[i].slow_until = now + DELAY_MEASUREMENT_LIFETIME_US;
        self.slow_backends.insert(i);
        if self.backends[i].load_limit_cut_at + EVALUATION_INTERVAL_US <= now {
            let load_limit =
                self.estimate_load(&self.backends[i].own_load).min(self.current_load_limit(i, now))
                    * LOAD_LIMIT_CUT_FACTOR;
            let backend = &mut self.backends[i];
            (backend.load_limit, backend.load_limit_cut_at) = (load_limit, now);
        }
    }

    /// Special case "slow-start tokens" (few proxies): spends a token, or a fraction with that probability.
    fn spend_slow_start_token(&mut self, i: usize, now: Micros) -> bool {
        let Some(share) = self.slow_start_share(i, now) else { return true };
        let tokens = self.tokens(i, now, share);
        (self.backends[i].tokens, self.backends[i].tokens_at) = ((tokens - 1.0).max(0.0), now);
        self.rng.f64() < tokens
    }

    /// Special case "returned": guards against a backend that stays empty after maintenance: it goes first.
    fn pick_returned_backend(&mut self, now: Micros, state: &RequestState) -> Option<usize> {
        let i = self.ready().find(|&i| self.backends[i].returned_to_service && !self.is_large_fleet())?;
        let usable = self.allowed(now, state, i) && !state.tried.contains(&i) && !self.is_suspect(i, now);
        (usable && self.spend_slow_start_token(i, now)).then_some(i)
    }

    /// Special case "slow-start slots": guards against many proxies overrunning a backend in slow start. Each
    /// proxy opens connections there at random, whatever the key, and so rarely that the backend stays within
    /// its overload multiple if all proxies open theirs at once. Harm: groups scatter.
    fn pick_slow_start_backend(&mut self, now: Micros, state: &RequestState) -> Option<usize> {
        let in_slow_start: Vec<usize> =
            self.is_large_fleet().then(|| self.in_slow_start(now)).into_iter().flatten().collect();
        let total_weight: f64 = in_slow_start.iter().map(|&i| self.weight(i)).sum();
        let i = self.draw_by_weight(&in_slow_start, total_weight)?;
        let is_light =
            self.fresh_load(i, now, EVALUATION_INTERVAL_US, true).is_none_or(|load| load < LIGHT_LOAD_SHARE);
        if !is_light || state.tried.contains(&i) || !self.allowed(now, state, i) || self.is_suspect(i, now) {
            return None;
        }
        let probability = self.spend_slow_start_slot(
            now,
            self.settings.overload_window,
            self.slow_start_quota(total_weight, SLOW_START_UTILIZATION),
        ) * self.slow_start_share(i, now)?;
        (self.rng.f64() < probability).then_some(i)
    }

    /// Whether a backend failed lately. Failures decay slowly: a flapping backend stays suspect, though idle.
    pub(crate) fn is_suspect(&self, i: usize, now: Micros) -> bool {
        self.backends[i].failures(now, FAILURE_HALF_LIFE_SECONDS) >= SUSPECT_FAILURES
    }

    /// Postpones the next trial by an interval that doubles up to twice, randomized by half either way.
    fn postpone_trial(&mut self, i: usize, now: Micros) {
        let doublings =
            (self.backends[i].failures(now, FAILURE_HALF_LIFE_SECONDS) as u32).saturating_sub(1).min(2);
        let interval = (self.settings.connect_timeout * TRIAL_INTERVAL_CONNECT_TIMEOUTS) << doublings;
        self.backends[i].trial_at = now + interval / 2 + self.rng.u64(0..=interval);
    }

    fn record_success(&mut self, i: usize, now: Micros) {
        let backend = &mut self.backends[i];
        if backend.all_connections_lost {
            // Guards against a restart that late endpoints do not report yet: a new process is in slow start.
            backend.record_start(now, now);
            backend.restart_observed = true;
        }
        let failures = backend.failures(now, FAILURE_HALF_LIFE_SECONDS) * FAILURE_SHARE_AFTER_SUCCESS;
        (backend.failures, backend.failures_at) = (failures, now);
        (backend.unverified, backend.verification_probes) = (false, 0);
    }

    fn record_failure(&mut self, i: usize, now: Micros) {
        let backend = &mut self.backends[i];
        (backend.failures, backend.failures_at) =
            (backend.failures(now, FAILURE_HALF_LIFE_SECONDS) + 1.0, now);
        self.postpone_trial(i, now);
    }
}
