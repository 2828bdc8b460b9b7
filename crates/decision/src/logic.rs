//! All decisions of the balancer, to be read top to bottom. Types, events and actions: `src/api.rs`.
//! Ordinary path: admission by the learned curve, then the table pick. Exceptions: docs/design/module.md.

use crate::api::*;
pub use crate::state::Balancer;
use crate::state::{
    RequestState, TIMER_ADMISSION, TIMER_HELD_REQUESTS, TIMER_MOVES, TIMER_PROBES, TIMER_SUBSCRIBE,
};

/// Lately placed keys pass for this many of the longest deadlines after set-up or end: all a client's tries.
const KEY_MEMORY_DEADLINES: u64 = 5;
/// How much fuller a far backend counts per unit of the price of crossing: a half at a price of a tenth.
const FAR: f64 = 5.0;
/// Further table entries tried when both of a key are unusable: more would scatter what shares work; hashes.
const FURTHER_ENTRIES: u64 = 6;
/// Part of the clients that come back which skip an entry that nothing of ours vouches for; no unit.
const SKIPS: f64 = 0.5;
/// Among many relays hardly an entry is vouched for: each group would scatter as its clients are moved. Who
/// loops at one that sheds is elsewhere after five returns in the mean.
const SKIPS_OF_MANY: f64 = 0.2;
/// An attempt may use this part of the time left, while others may follow: room for two more backends.
const ATTEMPT_PARTS: u64 = 3;
/// Further attempts for each request where no budget is stated: wide failure is not multiplied; no unit.
const RETRY_SHARE: f64 = 0.5;
/// Span in which they are counted then: a few retries of one request; microseconds.
const RETRY_SPAN: Micros = 5_000_000;
/// A message over this part of the shortest message aim is slow: the next load change may take the rest.
const SLOW_PART: f64 = 0.67;
/// A slow backend's ceiling, as a part of the load it was slow at.
const CUT: f64 = 0.6;
/// Connections of ours from which a ceiling says enough of a slow backend: four lie off by a half.
const ENOUGH: u32 = 4;
/// Pace at which backends are judged anew: a cut at most so often, a report good for so long; microseconds.
pub(crate) const EVALUATION_INTERVAL_US: Micros = 1_000_000;
/// Growth of a ceiling since its last cut; per second: it doubles before it is forgotten.
const CEILING_GROWTH: f64 = 0.05;
/// A ceiling is forgotten this long after its last cut, however often it was cut; seconds.
const CEILING_MEMORY: f64 = 30.0;
/// Part of our connections moved away at a slow note: a backend a third too full is eased in some seconds.
const MOVE_PART: f64 = 0.06;
/// Where reports tell, a slow backend sheds enough to get done in this time what is piled up; microseconds.
const DRAIN: f64 = 1_500_000.0;
/// It sheds down to no less and no more than these parts of its capacity; no unit.
const LEAST_GOAL: f64 = 0.3;
const MOST_GOAL: f64 = 0.85;
/// And not again before reports show what came of it; microseconds.
const SETTLE: Micros = 1_500_000;
/// Under strain a long delay multiplies moves by this at most: the moved find little room; no unit.
const STRAINED_TIMES: f64 = 2.0;
/// A backend gets nothing new for this long after its last slow note; microseconds, three notes' pace.
const SLOW_MEMORY: Micros = 3_000_000;
/// Reported load up to which the first such entry of a key is taken, of capacity; at 1 none is.
const ROOMY: f64 = 0.7;
/// Failures, fading, from which a backend is suspect: one, until a success; no unit.
const SUSPECT: f64 = 0.75;
/// Part of its failures that a success leaves: one that fails two of five stays suspect, one of ten does not.
const SUCCESS_LEAVES: f64 = 0.7;
/// Failures fade by half in this time: kept over turns of some seconds; seconds.
const FAILURE_HALF_LIFE: f64 = 10.0;
/// First gap between trials of a suspect, in connect time-outs; doubles twice, so its return is soon seen.
const TRIAL_GAP: u64 = 4;
/// Probes of an unproven backend for each request that tries it: probing may fail where it serves.
const PROBES_A_TRIAL: u32 = 2;
/// Probes in a row, failed where we are served, from which no request waits for one: two may be chance.
const VAIN_PROBES: u32 = 3;
/// A held request is looked at no sooner than this after it was last; microseconds.
const LEAST_HOLD: Micros = 10_000;
/// Part of the cold budget that relays use up in the long run: chance and what is saved take the rest.
pub(crate) const SLOW_START_UTILIZATION: f64 = 0.65;
/// Relays beyond this many see few requests each, and act on the same reports before these show it; relays.
pub(crate) const LARGE_FLEET_PROXIES: u32 = 16;
/// Time of the list service that one relay's call may take when all relays call; microseconds.
const CALL: Micros = 20_000;
/// Longest pause before a call: a silent watch takes 2.5 s, then comes a turn; news binds after 6 s.
const MOST_PAUSE: Micros = 2_000_000;
/// A set-up's wait counts as a message's delay divided by this: its own work and pauses scatter; no unit.
const SET_UP_SCATTER: u64 = 2;
/// A connection whose message is unanswered this long is moved: no message is worth that wait; microseconds.
const SILENCE: Micros = 3_000_000;
/// Gap between probes of a watched backend that was roomy: some of its reports' lives; microseconds.
const WATCH_GAP: Micros = 3_000_000;
/// Gap between rounds of moves off backends that leave; microseconds.
const EMPTY_GAP: Micros = 100_000;
/// Among many relays the first round comes by chance within this: each has one or two there; microseconds.
const EMPTY_SPREAD: Micros = 1_000_000;
/// Part of them moved in a round, one at least: most are away within two seconds, and not all at once.
const EMPTY_PART: usize = 20;

impl Balancer {
    /// A balancer that knows nothing yet. All its chance comes from `seed`.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, InvalidSettings> {
        settings.check()?;
        let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or(2_000_000);
        let base = Settings::default().classes.remove(0);
        // A class that nobody described gets the careful reading.
        let unknown = Class { deadline: longest, effect: Effect::Once, ..base };
        let min_retries = f64::from(settings.max_attempts);
        let budget =
            settings.budget.unwrap_or(RetryBudget { min_retries, ratio: RETRY_SHARE, window: RETRY_SPAN });
        let mut balancer = Balancer::empty(settings, unknown, budget, seed);
        // A tick lasts as long as the slowest attempt, so that each has ended by the end of the next.
        balancer.admission.tick = longest.clamp(1_000_000, 10_000_000);
        Ok(balancer)
    }

    /// Takes one event at time `now` and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.started.is_none() {
            self.started = Some(now);
            self.admission.tick_started_at = now;
            out.push(Action::Timer(self.admission.tick, TIMER_ADMISSION));
            if self.settings.delay_report.is_some() {
                out.push(Action::Timer(EVALUATION_INTERVAL_US, TIMER_PROBES));
            }
            self.ask(out);
        }
        match event {
            Event::Members { kind, .. } if self.freshness.record_update(now, kind) => self.ask(out),
            Event::Members { kind, members } => self.on_members(now, kind, &members, out),
            Event::LearnedState(learned) => self.restore_learned_state(*learned),
            Event::Maintenance(backend, in_maintenance) => {
                self.set_maintenance(now, &backend, in_maintenance);
                self.on_members(now, ListKind::Delta, &[], out);
            }
            Event::Request(request) => self.on_request(now, request, out),
            Event::Resumed(new, at) => {
                self.restore_connection(now, new, &at).into_iter().for_each(|i| self.schedule_moves(i, out))
            }
            Event::Established { id, attempt, latency } => {
                if let Some((i, request)) = self.record_established(now, id, attempt) {
                    self.record_setup_delay(&request, latency);
                    self.record_success(i, now);
                    let waited = self.record_setup_latency(i, latency);
                    if self.uses_delay_reports(now) {
                        self.on_delay(now, i, waited / SET_UP_SCATTER, out);
                    }
                    self.schedule_moves(i, out);
                }
            }
            Event::AttemptEnded(ended) => self.on_ended(now, &ended, out),
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
                    self.shed_excess(now, i, MOST_GOAL, out);
                }
            }
            Event::Measured(id, Measurement::Delay(delay)) => {
                self.measured_at = now;
                if let Some((i, ..)) = self.requests.get(&id).and_then(|state| state.current_attempt) {
                    self.on_delay(now, i, delay, out);
                }
            }
            // Exception "silent": guards against a client left waiting on a backend out of reach.
            Event::Measured(id, Measurement::Unanswered(since)) if since >= SILENCE => {
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

    /// News of the list; a backend that a complete one leaves out is gone.
    fn on_members(&mut self, now: Micros, kind: ListKind, members: &[Member], out: &mut Vec<Action>) {
        self.failed_list_calls = 0;
        if kind == ListKind::Full {
            self.backends.iter_mut().for_each(|b| b.member.state = MemberState::Gone);
        }
        // The first list is all there is to start from; who is named later is unproven until it answers.
        let known = if self.backends.is_empty() { usize::MAX } else { self.backends.len() };
        for member in members {
            let i = self.upsert_member(member, now);
            self.backends[i].unverified |= i >= known;
        }
        self.listed_at = Some(now);
        // To be withdrawn is testimony: where that does not bind it asks for a trial, unless it serves us.
        for i in self.withdraw(now) {
            self.backends[i].unverified |= self.backends[i].established.is_empty();
        }
        (0..self.backends.len()).for_each(|i| self.schedule_moves(i, out));
        self.table_stale |= (0..self.backends.len()).any(|i| self.table_entry_changed(i, now));
        let size = |i: usize| if self.settings.live_weights { 1.0 } else { self.weight(i) };
        let capacity: f64 = self.ready().map(size).sum();
        if capacity > 0.0 {
            self.admission.scale(capacity);
        }
    }

    /// Exception "leaving": guards against a backend that stops under its clients: they are moved away once.
    fn schedule_moves(&mut self, i: usize, out: &mut Vec<Action>) {
        if self.excluded(i) && self.queue_moves(i) {
            let gap = if self.is_large_fleet() { self.rng.u64(0..=EMPTY_SPREAD) } else { EMPTY_GAP };
            out.push(Action::Timer(gap, TIMER_MOVES));
        }
    }

    /// One round of those moves. A backend that is ready again keeps the rest.
    fn move_batch(&mut self, out: &mut Vec<Action>) {
        let mut left = self.move_queue.len().div_ceil(EMPTY_PART);
        while left > 0 {
            let Some(id) = self.move_queue.pop_front() else { return };
            let at = self
                .requests
                .get(&id)
                .filter(|state| state.established)
                .and_then(|state| state.current_attempt);
            if at.is_some_and(|(i, ..)| self.excluded(i)) {
                out.push(Action::Move(id));
                left -= 1;
            }
        }
        if !self.move_queue.is_empty() {
            out.push(Action::Timer(EMPTY_GAP, TIMER_MOVES));
        }
    }

    /// Whether the rules bar everything new from it.
    pub(crate) fn excluded(&self, i: usize) -> bool {
        self.backends[i].out_of_service() || self.settings.exclude_removed && !self.backends[i].ready()
    }

    /// Asks for the list after a chance gap, doubled with each vain call: all relays start or fail in step.
    fn ask(&mut self, out: &mut Vec<Action>) {
        if !self.settings.ask_for_list || std::mem::replace(&mut self.subscribe_scheduled, true) {
            return;
        }
        let first = (CALL * u64::from(self.settings.proxies)).min(self.settings.ask_within / 4);
        let spread = (first << self.failed_list_calls.min(4)).min(MOST_PAUSE);
        self.failed_list_calls += 1;
        out.push(Action::Timer(self.rng.u64(0..=spread), TIMER_SUBSCRIBE));
    }

    /// Ordinary path: newcomers pass with probability p, continuing clients always.
    fn on_request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        self.trim_retry_window(now);
        self.accepted.push_back(now);
        let (state, lately) = self.new_request_state(request);
        if !(state.request.mid_flow || state.request.reconnecting || lately) {
            self.admission.on_arrival(now);
            if self.rng.f64() >= self.admission.admit_probability {
                // The limit is judged anew at the next tick.
                let wait = (self.admission.tick_started_at + self.admission.tick).saturating_sub(now);
                return self.finish(&state, wait, out);
            }
            self.admission.on_admitted(now);
        }
        self.place(now, state, out);
    }

    /// Sends the request on, or ends it when nothing is left to try.
    fn place(&mut self, now: Micros, mut state: RequestState, out: &mut Vec<Action>) {
        let left = state.request.deadline.saturating_sub(now);
        let again = state.attempts > 0;
        let over = left == 0 || self.stopping || state.attempts >= self.settings.max_attempts;
        if over || again && !self.may_try_again(now) {
            return self.finish(&state, self.settings.connect_timeout, out);
        }
        let set_up_at = self.setup_limit.next_at(now, self.class(&state.request).setup_target);
        if set_up_at > now {
            return self.wait_for_set_up(now, state, set_up_at, out);
        }
        // Once for a row of list changes, and only where a request needs it.
        if std::mem::take(&mut self.table_stale) {
            let size = |i: usize| self.in_table(i, now).then(|| self.weight(i));
            self.build_table((0..self.backends.len()).map(size).collect());
        }
        let (mut cold, turn) = (
            Micros::MAX,
            self.pick_returned_backend(now, &state).or_else(|| self.pick_slow_start_backend(now, &state)),
        );
        let i = loop {
            if let Some(i) = turn {
                break i;
            }
            let i = match self.pick(now, &state) {
                Ok(i) => i,
                Err(room_at) => return self.hold(now, state, room_at.min(cold), out),
            };
            if self.backends[i].unverified && self.verify_by_probe(i, now, out) {
                state.tried.push(i);
                continue;
            }
            if left > 2 * self.settings.connect_timeout && self.probe(i, now, out) {
                let report_at = self.backends[i].probed_at + self.settings.connect_timeout;
                return self.hold(now, state, report_at, out);
            }
            if self.spend_slow_start_token(i, now) {
                break i;
            }
            cold = now + self.settings.overload_window / 2;
            state.tried.push(i);
        };
        // No other attempt follows one under the limit, so that it may use all the time there is.
        let more = match self.setup_limit.is_limited() {
            true => 1,
            false => u64::from(self.settings.max_attempts - state.attempts).min(ATTEMPT_PARTS),
        };
        let until = now + left.div_ceil(more);
        if again {
            self.retries.push_back(now);
        }
        // Should it be a trial of a suspect: the next one waits, even when this one is never heard of again.
        self.put_off_trial(i, now);
        let backend = self.backends[i].member.backend.clone();
        out.push(Action::Send { id: state.request.id, backend, until });
        self.start_attempt(state, i, now, until);
    }

    /// Exception "shared failure": guards against a storm on what all backends need. A request waits for its
    /// turn where it may still be set up as soon as is wanted; else it is refused at once, and told when.
    fn wait_for_set_up(&mut self, now: Micros, state: RequestState, at: Micros, out: &mut Vec<Action>) {
        let class = self.class(&state.request);
        let wanted_by = (state.request.deadline + class.setup_target).saturating_sub(class.deadline);
        if at + self.settings.connect_timeout > wanted_by {
            return self.finish(&state, at - now, out);
        }
        self.hold(now, state, at, out);
    }

    /// Tries the held requests in order: those whose event is due, or all where reports came.
    fn retry_held(&mut self, now: Micros, all: bool, out: &mut Vec<Action>) {
        self.take_held(now, all).into_iter().for_each(|state| self.place(now, state, out));
    }

    /// Exception "hold": guards against clients that stay away long after a row of quick refusals. Only for
    /// an event that is due in time for an attempt; else it has its answer at once, and is told when.
    fn hold(&mut self, now: Micros, mut state: RequestState, room_at: Micros, out: &mut Vec<Action>) {
        let room_at = room_at.max(now + LEAST_HOLD);
        if room_at.saturating_add(self.settings.connect_timeout) > state.request.deadline {
            return self.finish(&state, room_at - now, out);
        }
        out.push(Action::Timer(room_at - now, TIMER_HELD_REQUESTS));
        (state.retry_at, state.tried) = (room_at, Vec::new());
        self.keep_held(state);
    }

    /// The final answer: a refusal only where its promise holds, with the time until room is expected.
    fn finish(&self, state: &RequestState, wait: Micros, out: &mut Vec<Action>) {
        let repeatable = [Effect::Repeatable, Effect::Keyed(KeyScope::All)];
        if state.may_have_run.is_some() && !repeatable.contains(&self.class(&state.request).effect) {
            return out.push(Action::Fail(state.request.id));
        }
        let wait = self.settings.retry_after.then_some(wait.min(self.settings.max_retry_after));
        out.push(Action::Refuse { id: state.request.id, retry_after: wait });
    }

    fn on_ended(&mut self, now: Micros, ended: &AttemptResult, out: &mut Vec<Action>) {
        let Some((mut state, i, sent, until)) = self.end_attempt(now, ended) else { return };
        if state.established {
            if ended.status == Status::Reset {
                self.lower_load_limit(i, now);
                // A process that dies takes all of ours with it; one out of reach does not.
                self.backends[i].all_connections_lost |= self.backends[i].established.is_empty();
            }
            return;
        }
        self.enter_set_up(now, ended.status, i, sent, &state);
        match ended.status {
            Status::Ok => {
                self.record_setup_delay(&state.request, ended.latency);
                self.record_success(i, now);
            }
            Status::Cancelled => {}
            // It never was an attempt: the budget does not count it.
            Status::NotSent => self.uncount_retry(state.attempts, sent),
            _ => {
                // A dead or hung backend is not load: its failures do not shape the curve.
                if !self.suspect(i, now) {
                    self.record_setup_delay(&state.request, until - sent);
                }
                self.failed(i, now);
            }
        }
        if state.answered {
            return;
        }
        if ended.status.may_have_run() && state.may_have_run.is_none() {
            state.may_have_run = Some((i, sent));
        }
        self.place(now, state, out);
    }

    /// Enters in the limit on set-ups how one ended that did not come up.
    fn enter_set_up(&mut self, now: Micros, status: Status, i: usize, sent: Micros, state: &RequestState) {
        match status {
            Status::Ok => self.setup_limit.record_success(),
            Status::Error | Status::Timeout => {
                let class = self.class(&state.request);
                let (aim, deadline, at) =
                    (class.setup_target, class.deadline, (i, self.backends[i].member.zone));
                self.setup_limit.record_failure(now, sent, at, aim, deadline);
            }
            _ => self.setup_limit.finish(),
        }
    }

    /// Attempt budget, counted as the rule counts, however attempts ended: guards against a wide failure that
    /// retries multiply. Harm: where few requests come, none of them is tried more than a few times.
    fn may_try_again(&mut self, now: Micros) -> bool {
        self.trim_retry_window(now);
        let allowed = self.budget.min_retries + self.budget.ratio * self.accepted.len() as f64;
        (self.retries.len() + 1) as f64 <= allowed
    }

    /// Two entries of the table for the key; the one with fewer of our open connections. Where neither has
    /// room: further ones, and else when room is expected.
    fn pick(&mut self, now: Micros, state: &RequestState) -> Result<usize, Micros> {
        let (key, informed) = (self.hashed(state), self.has_load_reports(now));
        let (first, second) = self.table.pair(key).ok_or(Micros::MAX)?;
        // Exception "come back": guards against a loop over a backend that sheds or is slow, unknown to us.
        let skips = state.request.reconnecting && !self.observed_healthy(first, now);
        let part = if self.is_large_fleet() { SKIPS_OF_MANY } else { SKIPS };
        let skipped = (0..FURTHER_ENTRIES as usize).take_while(|_| skips && self.rng.f64() < part).count();
        let second_fewer = !state.request.mid_flow && self.counted(second, now) < self.counted(first, now);
        let pair = if second_fewer { [second, first] } else { [first, second] };
        // Under strain more entries would only scatter groups while all is full.
        let more = if !informed && self.strained(now) { 0 } else { FURTHER_ENTRIES };
        let further = (2..2 + more).filter_map(|seed| self.table.entry(key, seed));
        let room_at = |i: usize, trusting: bool| self.available_at(now, state, i, trusting);
        let entries: Vec<usize> = pair.into_iter().chain(further).collect();
        let soonest = || entries.iter().map(|&i| room_at(i, false)).min().unwrap_or(Micros::MAX);
        // Guards against shutting out a fleet: where most are suspect and none is sound, that bars nobody.
        let wide = || 2 * entries.iter().filter(|&&i| self.suspect(i, now)).count() > entries.len();
        let any = || entries.iter().copied().find(|&i| room_at(i, true) <= now).filter(|_| wide());
        // Exception "probe": guards against placing blindly where a backend would tell how full it is.
        if self.settings.load_report.is_some() {
            let full = |i: usize, load: f64| {
                let with_it = load + self.request_load(state) / self.current_capacity(i, now);
                load >= 1.0 || informed && (with_it >= MOST_GOAL || self.backends[i].slow_until > now)
            };
            let load = |i: &usize| self.expected(*i, now, EVALUATION_INTERVAL_US, informed);
            let rank = |i: &usize| match load(i) {
                Some(load) if full(*i, load) => 3,
                Some(load) if load >= ROOMY => 2,
                _ => u32::from(self.is_large_fleet() && self.in_other_zone(*i)),
            };
            let mut usable = entries.clone();
            usable.retain(|&i| room_at(i, false) <= now);
            usable.sort_by_key(rank);
            let Some(best) = usable.first().copied().or_else(any) else { return Err(soonest()) };
            let open = &usable[..usable.partition_point(|i| rank(i) < 3)];
            // Exception "spread": guards against a herd on one report. Who draws no part of the room waits.
            let goal = if informed { MOST_GOAL } else { 1.0 };
            let room = |i: &usize| load(i).map(|load| (goal - load).max(0.0) * self.weight(*i));
            let drawn = self
                .is_large_fleet()
                .then(|| self.draw_by_headroom(now, state.request.id, &usable, open, room));
            let best = Some(best).filter(|best| rank(best) < 3);
            return drawn.flatten().unwrap_or(best).ok_or(now + EVALUATION_INTERVAL_US);
        }
        let sound = entries.iter().copied().skip(skipped).find(|&i| room_at(i, false) <= now);
        sound.or_else(any).ok_or_else(soonest)
    }

    /// Exception "group pick": guards against paying for a group on every backend.
    fn hashed(&self, state: &RequestState) -> u64 {
        let group = state.request.group.filter(|_| self.settings.groups);
        group.or(state.request.key).unwrap_or(state.request.id)
    }

    /// Load of ours as the pick counts it; a newly started backend stands at the mean, and a far one counts
    /// fuller where crossing costs (exception "near").
    fn counted(&self, i: usize, now: Micros) -> f64 {
        let far = f64::from(self.in_other_zone(i)) * FAR;
        let own = self.estimate_load(&self.backends[i].own_load) / self.weight(i)
            * (1.0 + far * self.settings.cross_zone_price);
        let mean = self.estimate_load(&self.total) / self.admission.capacity.max(f64::MIN_POSITIVE);
        if self.slow_start_share(i, now).is_some() { own.max(mean) } else { own }
    }

    /// When this backend takes that request, as far as we know: now, after a slow spell or gap, or never.
    fn available_at(&self, now: Micros, state: &RequestState, i: usize, trusting: bool) -> Micros {
        if state.tried.contains(&i) || !self.allowed(now, state, i) {
            return Micros::MAX;
        }
        let in_turns = u64::from(self.is_large_fleet() && self.slow_start_share(i, now).is_some());
        let turn_at = now + in_turns * self.settings.overload_window / 2;
        let backend = &self.backends[i];
        let on_trial = backend.unverified || self.suspect(i, now) && !trusting;
        let trial_at = if on_trial { backend.trial_at.max(turn_at) } else { turn_at };
        if self.has_load_reports(now) {
            return trial_at;
        }
        let slow_until = if backend.own_load.open < ENOUGH { backend.slow_until } else { 0 };
        let over = self.estimate_load(&backend.own_load) / backend.load_limit - 1.0;
        let eased_at =
            backend.load_limit_cut_at + ((over / CEILING_GROWTH).clamp(0.0, CEILING_MEMORY) * 1e6) as Micros;
        let eased_at =
            if self.estimate_load(&backend.own_load) > self.ceiling(i, now) { eased_at } else { 0 };
        trial_at.max(slow_until).max(eased_at)
    }

    /// Asks a backend for a report before a request goes there; true while the request should wait.
    fn probe(&mut self, i: usize, now: Micros, out: &mut Vec<Action>) -> bool {
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
            && self.consecutive_probe_failures < VAIN_PROBES
    }

    /// Exception "unproven": guards against a list that is wrong. True where a probe tries it first.
    fn verify_by_probe(&mut self, i: usize, now: Micros, out: &mut Vec<Action>) -> bool {
        let backend = &mut self.backends[i];
        if !self.settings.may_probe || backend.verification_probes >= PROBES_A_TRIAL {
            backend.verification_probes = 0;
            return false;
        }
        backend.verification_probes += 1;
        out.push(Action::Probe(backend.member.backend.clone()));
        self.put_off_trial(i, now);
        true
    }

    /// A failed probe says that probing failed, no more: no failure is booked.
    fn on_probed(&mut self, now: Micros, i: usize, status: Status, report: &[f64], out: &mut Vec<Action>) {
        let answered = status == Status::Ok;
        let load = self.settings.load_report.and_then(|column| report.get(column).copied());
        self.enter_report(now, i, answered, load);
        let delay = self.settings.delay_report.and_then(|column| report.get(column).copied());
        if let Some(delay) = delay.filter(|_| answered && self.uses_delay_reports(now)) {
            self.on_report(now, i, (delay.max(0.0) * 1e3) as Micros, out);
        }
        self.retry_held(now, true, out);
    }

    /// Exception "watch": guards against a backend that grows slow under its connections where no note tells
    /// of it. Those we hold any at are probed on, soon again where they were not roomy.
    fn probe_backends_in_use(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::Timer(EVALUATION_INTERVAL_US, TIMER_PROBES));
        let told = self.uses_delay_reports(now);
        let known = self.backends_in_use.iter().copied().filter(|&i| told && !self.suspect(i, now));
        for i in known.collect::<Vec<_>>() {
            let backend = &mut self.backends[i];
            // A report of no load at all is older than the connections there.
            let roomy = |load| 0.0 < load && load < ROOMY;
            let roomy = backend.report(now, WATCH_GAP).flatten().is_some_and(roomy);
            if now >= backend.probed_at + if roomy { WATCH_GAP } else { EVALUATION_INTERVAL_US } {
                backend.probed_at = now;
                out.push(Action::Probe(backend.member.backend.clone()));
            }
        }
    }

    /// A report's delay: a backend that is well takes more at once. Exception "shed": guards against clients
    /// that wait out a backlog: each relay moves its part of what a backend cannot do.
    fn on_report(&mut self, now: Micros, i: usize, delay: Micros, out: &mut Vec<Action>) {
        if delay as f64 <= SLOW_PART * self.message_target {
            return self.backends[i].slow_until = now;
        }
        self.lower_load_limit(i, now);
        if now >= self.backends[i].shed_until {
            self.backends[i].shed_until = now + SETTLE;
            self.shed_excess(now, i, (1.0 - delay as f64 / DRAIN).clamp(LEAST_GOAL, MOST_GOAL), out);
        }
    }

    /// Moves away our part of what a backend has over that goal, the heaviest first.
    fn shed_excess(&mut self, now: Micros, i: usize, goal: f64, out: &mut Vec<Action>) {
        let Some(load) = self.expected(i, now, WATCH_GAP, true).filter(|&load| load > goal) else { return };
        let mut over = self.estimate_load(&self.backends[i].own_load) * (1.0 - goal / load);
        for (load, id) in self.heaviest(i) {
            if load <= 2.0 * over || self.rng.f64() * load < over {
                out.push(Action::Move(id));
            }
            over -= load;
        }
    }

    /// Whether relays are so many that what one saw says little.
    fn is_large_fleet(&self) -> bool {
        self.settings.proxies > LARGE_FLEET_PROXIES
    }

    /// Whether probes tell how full backends are and how long messages take there.
    fn has_load_reports(&self, now: Micros) -> bool {
        self.settings.load_report.is_some()
            && self.consecutive_probe_failures < VAIN_PROBES
            && self.uses_delay_reports(now)
    }

    /// Whether reports have to tell how long messages take: no note did lately, which would be fresher.
    fn uses_delay_reports(&self, now: Micros) -> bool {
        self.settings.delay_report.is_some()
            && (self.measured_at == 0 || now >= self.measured_at + SLOW_MEMORY)
    }

    /// Exception "strain": most known backends are slow, beyond chance. Guards against passing on in vain.
    fn strained(&mut self, now: Micros) -> bool {
        let backends = &self.backends;
        self.slow_backends.retain(|&i| backends[i].slow_until > now);
        let slow = self.slow_backends.len() as f64;
        slow - slow.sqrt() > self.backends_in_use.len() as f64 / 2.0
    }

    /// Whether the attempt that is out may still be written: the list, staff or the time may have barred it
    /// while it connected.
    pub fn may_send_attempt(&self, now: Micros, id: RequestId) -> bool {
        let state = self.requests.get(&id).filter(|state| !state.answered);
        let out = state.and_then(|state| Some((state, state.current_attempt?)));
        out.is_some_and(|(state, (i, _, until))| now < until && self.allowed(now, state, i))
    }

    /// Whether the rules let this request go to that backend at all.
    fn allowed(&self, now: Micros, state: &RequestState, i: usize) -> bool {
        if self.excluded(i) || self.endpoints_stale(now) {
            return false;
        }
        let Some((ran, sent)) = state.may_have_run else { return true };
        let class = self.class(&state.request);
        let (a, b) = (&self.backends[ran].member, &self.backends[i].member);
        match class.effect {
            Effect::Repeatable => true,
            Effect::Once => false,
            Effect::Keyed(_) if now >= sent + class.repeat_window => false,
            Effect::Keyed(KeyScope::All) => true,
            Effect::Keyed(KeyScope::Zone) => a.zone == b.zone,
            Effect::Keyed(KeyScope::Cell) => a.cell == b.cell,
        }
    }

    /// Our load up to which a backend takes more: learned where it was slow, raised with time since.
    fn ceiling(&self, i: usize, now: Micros) -> f64 {
        let backend = &self.backends[i];
        let since = now.saturating_sub(backend.load_limit_cut_at) as f64 / 1e6;
        if since > CEILING_MEMORY {
            f64::INFINITY
        } else {
            backend.load_limit * (1.0 + CEILING_GROWTH * since)
        }
    }

    /// Exception "slow backend": guards against filling a backend whose messages are late already, and
    /// moves one connection away: to where there is room, or to wait while the whole fleet is slow.
    fn on_delay(&mut self, now: Micros, i: usize, delay: Micros, out: &mut Vec<Action>) {
        let times = delay as f64 / (SLOW_PART * self.message_target);
        if times <= 1.0 {
            return;
        }
        self.lower_load_limit(i, now);
        // Guards against a storm of moves: few where we hold few. Ceilings hold the moved back.
        let most = if self.strained(now) { STRAINED_TIMES } else { f64::INFINITY };
        if self.rng.f64() < f64::from(self.backends[i].own_load.open) * MOVE_PART * times.min(most) {
            // Strays first, whose hash leads elsewhere: guards against paying for a group in many places.
            let stray = |state: &RequestState| self.table.entry(self.hashed(state), 0) != Some(i);
            let first = self.heaviest(i).into_iter().min_by_key(|(_, id)| !stray(&self.requests[id]));
            out.extend(first.map(|(_, id)| Action::Move(id)));
        }
    }

    fn lower_load_limit(&mut self, i: usize, now: Micros) {
        self.backends[i].slow_until = now + SLOW_MEMORY;
        self.slow_backends.insert(i);
        if self.backends[i].load_limit_cut_at + EVALUATION_INTERVAL_US <= now {
            let ceiling = self.estimate_load(&self.backends[i].own_load).min(self.ceiling(i, now)) * CUT;
            let backend = &mut self.backends[i];
            (backend.load_limit, backend.load_limit_cut_at) = (ceiling, now);
        }
    }

    /// Exception "cold budget" of few relays: spends it, parts of a token by chance.
    fn spend_slow_start_token(&mut self, i: usize, now: Micros) -> bool {
        let Some(share) = self.slow_start_share(i, now) else { return true };
        let tokens = self.tokens(i, now, share);
        (self.backends[i].tokens, self.backends[i].tokens_at) = ((tokens - 1.0).max(0.0), now);
        self.rng.f64() < tokens
    }

    /// Exception "called back": guards against a backend that stays empty once given back: next is its turn.
    fn pick_returned_backend(&mut self, now: Micros, state: &RequestState) -> Option<usize> {
        let i = self.ready().find(|&i| self.backends[i].returned_to_service && !self.is_large_fleet())?;
        let sound = self.allowed(now, state, i) && !state.tried.contains(&i) && !self.suspect(i, now);
        (sound && self.spend_slow_start_token(i, now)).then_some(i)
    }

    /// Exception "turn": guards against a cold backend overrun by the sum of many relays: each opens there by
    /// chance, whatever comes to whom, so rarely that all in step keep its multiple. Harm: groups scatter.
    fn pick_slow_start_backend(&mut self, now: Micros, state: &RequestState) -> Option<usize> {
        let cold: Vec<usize> =
            self.is_large_fleet().then(|| self.in_slow_start(now)).into_iter().flatten().collect();
        let size: f64 = cold.iter().map(|&i| self.weight(i)).sum();
        let i = self.draw(&cold, size)?;
        let roomy = self.expected(i, now, EVALUATION_INTERVAL_US, true).is_none_or(|load| load < ROOMY);
        if !roomy || state.tried.contains(&i) || !self.allowed(now, state, i) || self.suspect(i, now) {
            return None;
        }
        let turn = self.spend_slow_start_slot(
            now,
            self.settings.overload_window,
            self.slow_start_quota(size, SLOW_START_UTILIZATION),
        ) * self.slow_start_share(i, now)?;
        (self.rng.f64() < turn).then_some(i)
    }

    /// Guards against backends that fail by turns, and look empty: failures fade slowly, and by parts.
    pub(crate) fn suspect(&self, i: usize, now: Micros) -> bool {
        self.backends[i].failures(now, FAILURE_HALF_LIFE) >= SUSPECT
    }

    /// A suspect is next tried after a gap that doubles twice, by chance half of it to one and a half.
    fn put_off_trial(&mut self, i: usize, now: Micros) {
        let doubled = (self.backends[i].failures(now, FAILURE_HALF_LIFE) as u32).saturating_sub(1).min(2);
        let gap = (self.settings.connect_timeout * TRIAL_GAP) << doubled;
        self.backends[i].trial_at = now + gap / 2 + self.rng.u64(0..=gap);
    }

    fn record_success(&mut self, i: usize, now: Micros) {
        let backend = &mut self.backends[i];
        if backend.all_connections_lost {
            // Guards against a restart that the late list has not told: back from the dead means cold.
            backend.start(now, now);
            backend.restart_observed = true;
        }
        let failures = backend.failures(now, FAILURE_HALF_LIFE) * SUCCESS_LEAVES;
        (backend.failures, backend.failed_at) = (failures, now);
        (backend.unverified, backend.verification_probes) = (false, 0);
    }

    fn failed(&mut self, i: usize, now: Micros) {
        let backend = &mut self.backends[i];
        (backend.failures, backend.failed_at) = (backend.failures(now, FAILURE_HALF_LIFE) + 1.0, now);
        self.put_off_trial(i, now);
    }
}
