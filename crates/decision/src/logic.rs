//! All decisions of the balancer, to be read top to bottom. Types, events and actions: `src/api.rs`.
//! Ordinary path: admission by the learned curve, then the table pick. Exceptions: docs/design/module.md.

use crate::api::*;
pub use crate::state::Balancer;
use crate::state::{ASK, EMPTY, HOLD, TICK, WATCH, Work};

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
pub(crate) const PACE: Micros = 1_000_000;
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
pub(crate) const COLD_PART: f64 = 0.65;
/// Relays beyond this many see few requests each, and act on the same reports before these show it; relays.
pub(crate) const MANY: u32 = 16;
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
        let free = f64::from(settings.max_attempts);
        let budget = settings.budget.unwrap_or(Budget { free, share: RETRY_SHARE, span: RETRY_SPAN });
        let mut balancer = Balancer::empty(settings, unknown, budget, seed);
        // A tick lasts as long as the slowest attempt, so that each has ended by the end of the next.
        balancer.admission.tick = longest.clamp(1_000_000, 10_000_000);
        Ok(balancer)
    }

    /// Takes one event at time `now` and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.started.is_none() {
            self.started = Some(now);
            self.admission.tick_at = now;
            out.push(Action::Timer(self.admission.tick, TICK));
            if self.settings.delay_report.is_some() {
                out.push(Action::Timer(PACE, WATCH));
            }
            self.ask(out);
        }
        match event {
            Event::Members { kind, .. } if self.news.missed(now, kind) => self.ask(out),
            Event::Members { kind, members } => self.on_members(now, kind, &members, out),
            Event::Inherited(learned) => self.inherit(*learned),
            Event::Withheld(backend, withheld) => {
                self.withhold(now, &backend, withheld);
                self.on_members(now, ListKind::Delta, &[], out);
            }
            Event::Request(request) => self.on_request(now, request, out),
            Event::Open(new, at) => self.open(now, new, &at).into_iter().for_each(|i| self.clear_out(i, out)),
            Event::Established { id, attempt, latency } => {
                if let Some((i, request)) = self.establish(now, id, attempt) {
                    self.learn(&request, latency);
                    self.succeeded(i, now);
                    let waited = self.set_up(i, latency);
                    if self.reports_tell(now) {
                        self.on_delay(now, i, waited / SET_UP_SCATTER, out);
                    }
                    self.clear_out(i, out);
                }
            }
            Event::Ended(ended) => self.on_ended(now, &ended, out),
            Event::ClientGone(id) => self.leave(id),
            Event::Stopping => {
                self.stopping = true;
                self.retry_held(now, true, out);
            }
            Event::Timer(TICK) => {
                self.admission.on_tick(now);
                let memory = KEY_MEMORY_DEADLINES * self.unknown_class.deadline;
                self.placed.retain(|_, (at, _)| *at + memory > now);
                out.push(Action::Timer(self.admission.tick, TICK));
            }
            Event::Timer(WATCH) => self.watch(now, out),
            Event::Timer(EMPTY) => self.move_off(out),
            Event::Timer(HOLD) => self.retry_held(now, false, out),
            Event::Timer(ASK) if self.asking => {
                self.asking = false;
                out.push(Action::Subscribe);
            }
            Event::Noted(id, Note::Load(load)) => {
                if let Some(i) = self.rebook(id, load).filter(|_| self.informed(now)) {
                    self.relieve(now, i, MOST_GOAL, out);
                }
            }
            Event::Noted(id, Note::Delay(delay)) => {
                self.noted_at = now;
                if let Some((i, ..)) = self.works.get(&id).and_then(|work| work.out) {
                    self.on_delay(now, i, delay, out);
                }
            }
            // Exception "silent": guards against a client left waiting on a backend out of reach.
            Event::Noted(id, Note::Silent(since)) if since >= SILENCE => out.push(Action::Move(id)),
            Event::Probed { backend, status, report } => {
                if let Some(&i) = self.index.get(&backend) {
                    self.on_probed(now, i, status, &report, out);
                }
            }
            Event::Noted(..) | Event::Timer(_) => {}
        }
    }

    /// News of the list; a backend that a complete one leaves out is gone.
    fn on_members(&mut self, now: Micros, kind: ListKind, members: &[Member], out: &mut Vec<Action>) {
        self.calls = 0;
        if kind == ListKind::Full {
            self.backends.iter_mut().for_each(|b| b.member.state = MemberState::Gone);
        }
        // The first list is all there is to start from; who is named later is unproven until it answers.
        let known = if self.backends.is_empty() { usize::MAX } else { self.backends.len() };
        for member in members {
            let i = self.enter(member, now);
            self.backends[i].unproven |= i >= known;
        }
        self.listed_at = Some(now);
        // To be withdrawn is testimony: where that does not bind it asks for a trial, unless it serves us.
        for i in self.withdraw(now) {
            self.backends[i].unproven |= self.backends[i].standing.is_empty();
        }
        (0..self.backends.len()).for_each(|i| self.clear_out(i, out));
        self.table_stale |= (0..self.backends.len()).any(|i| self.moved(i, now));
        let size = |i: usize| if self.settings.live_weights { 1.0 } else { self.weight(i) };
        let capacity: f64 = self.ready().map(size).sum();
        if capacity > 0.0 {
            self.admission.scale(capacity);
        }
    }

    /// Exception "leaving": guards against a backend that stops under its clients: they are moved away once.
    fn clear_out(&mut self, i: usize, out: &mut Vec<Action>) {
        if self.barred(i) && self.queue_to_leave(i) {
            let gap = if self.many() { self.rng.u64(0..=EMPTY_SPREAD) } else { EMPTY_GAP };
            out.push(Action::Timer(gap, EMPTY));
        }
    }

    /// One round of those moves. A backend that is ready again keeps the rest.
    fn move_off(&mut self, out: &mut Vec<Action>) {
        let mut left = self.leaving.len().div_ceil(EMPTY_PART);
        while left > 0 {
            let Some(id) = self.leaving.pop_front() else { return };
            let at = self.works.get(&id).filter(|work| work.standing).and_then(|work| work.out);
            if at.is_some_and(|(i, ..)| self.barred(i)) {
                out.push(Action::Move(id));
                left -= 1;
            }
        }
        if !self.leaving.is_empty() {
            out.push(Action::Timer(EMPTY_GAP, EMPTY));
        }
    }

    /// Whether the rules bar everything new from it.
    pub(crate) fn barred(&self, i: usize) -> bool {
        self.backends[i].closed() || self.settings.removal_binds && !self.backends[i].ready()
    }

    /// Asks for the list after a chance gap, doubled with each vain call: all relays start or fail in step.
    fn ask(&mut self, out: &mut Vec<Action>) {
        if !self.settings.ask_for_list || std::mem::replace(&mut self.asking, true) {
            return;
        }
        let first = (CALL * u64::from(self.settings.relays)).min(self.settings.ask_within / 4);
        let spread = (first << self.calls.min(4)).min(MOST_PAUSE);
        self.calls += 1;
        out.push(Action::Timer(self.rng.u64(0..=spread), ASK));
    }

    /// Ordinary path: newcomers pass with probability p, continuing clients always.
    fn on_request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        self.count_span(now);
        self.accepted.push_back(now);
        let (work, lately) = self.take_up(request);
        if !(work.request.mid_flow || work.request.returning || lately) {
            self.admission.on_arrival(now);
            if self.rng.f64() >= self.admission.p {
                // The limit is judged anew at the next tick.
                let wait = (self.admission.tick_at + self.admission.tick).saturating_sub(now);
                return self.finish(&work, wait, out);
            }
            self.admission.on_admitted(now);
        }
        self.place(now, work, out);
    }

    /// Sends the request on, or ends it when nothing is left to try.
    fn place(&mut self, now: Micros, mut work: Work, out: &mut Vec<Action>) {
        let left = work.request.deadline.saturating_sub(now);
        let again = work.attempts > 0;
        let over = left == 0 || self.stopping || work.attempts >= self.settings.max_attempts;
        if over || again && !self.may_try_again(now) {
            return self.finish(&work, self.settings.connect_timeout, out);
        }
        let set_up_at = self.set_up_limit.next_at(now, self.class(&work.request).aim);
        if set_up_at > now {
            return self.wait_for_set_up(now, work, set_up_at, out);
        }
        // Once for a row of list changes, and only where a request needs it.
        if std::mem::take(&mut self.table_stale) {
            let size = |i: usize| self.in_table(i, now).then(|| self.weight(i));
            self.build_table((0..self.backends.len()).map(size).collect());
        }
        let (mut cold, turn) = (Micros::MAX, self.recall(now, &work).or_else(|| self.turn(now, &work)));
        let i = loop {
            if let Some(i) = turn {
                break i;
            }
            let i = match self.pick(now, &work) {
                Ok(i) => i,
                Err(room_at) => return self.hold(now, work, room_at.min(cold), out),
            };
            if self.backends[i].unproven && self.ask_unproven(i, now, out) {
                work.tried.push(i);
                continue;
            }
            if left > 2 * self.settings.connect_timeout && self.probe(i, now, out) {
                let report_at = self.backends[i].probed_at + self.settings.connect_timeout;
                return self.hold(now, work, report_at, out);
            }
            if self.afford(i, now) {
                break i;
            }
            cold = now + self.settings.fall / 2;
            work.tried.push(i);
        };
        // No other attempt follows one under the limit, so that it may use all the time there is.
        let more = match self.set_up_limit.limits() {
            true => 1,
            false => u64::from(self.settings.max_attempts - work.attempts).min(ATTEMPT_PARTS),
        };
        let until = now + left.div_ceil(more);
        if again {
            self.further.push_back(now);
        }
        // Should it be a trial of a suspect: the next one waits, even when this one is never heard of again.
        self.put_off_trial(i, now);
        let backend = self.backends[i].member.backend.clone();
        out.push(Action::Send { id: work.request.id, backend, until });
        self.begin(work, i, now, until);
    }

    /// Exception "shared failure": guards against a storm on what all backends need. A request waits for its
    /// turn where it may still be set up as soon as is wanted; else it is refused at once, and told when.
    fn wait_for_set_up(&mut self, now: Micros, work: Work, at: Micros, out: &mut Vec<Action>) {
        let class = self.class(&work.request);
        let wanted_by = (work.request.deadline + class.aim).saturating_sub(class.deadline);
        if at + self.settings.connect_timeout > wanted_by {
            return self.finish(&work, at - now, out);
        }
        self.hold(now, work, at, out);
    }

    /// Tries the held requests in order: those whose event is due, or all where reports came.
    fn retry_held(&mut self, now: Micros, all: bool, out: &mut Vec<Action>) {
        self.take_held(now, all).into_iter().for_each(|work| self.place(now, work, out));
    }

    /// Exception "hold": guards against clients that stay away long after a row of quick refusals. Only for
    /// an event that is due in time for an attempt; else it has its answer at once, and is told when.
    fn hold(&mut self, now: Micros, mut work: Work, room_at: Micros, out: &mut Vec<Action>) {
        let room_at = room_at.max(now + LEAST_HOLD);
        if room_at.saturating_add(self.settings.connect_timeout) > work.request.deadline {
            return self.finish(&work, room_at - now, out);
        }
        out.push(Action::Timer(room_at - now, HOLD));
        (work.wake, work.tried) = (room_at, Vec::new());
        self.keep_held(work);
    }

    /// The final answer: a refusal only where its promise holds, with the time until room is expected.
    fn finish(&self, work: &Work, wait: Micros, out: &mut Vec<Action>) {
        let repeatable = [Effect::Repeatable, Effect::Keyed(Group::All)];
        if work.may_have_run.is_some() && !repeatable.contains(&self.class(&work.request).effect) {
            return out.push(Action::Fail(work.request.id));
        }
        let wait = self.settings.retry_after.then_some(wait.min(self.settings.max_retry_after));
        out.push(Action::Refuse { id: work.request.id, retry_after: wait });
    }

    fn on_ended(&mut self, now: Micros, ended: &Ended, out: &mut Vec<Action>) {
        let Some((mut work, i, sent, until)) = self.end(now, ended) else { return };
        if work.standing {
            if ended.status == Status::Reset {
                self.cut(i, now);
                // A process that dies takes all of ours with it; one out of reach does not.
                self.backends[i].lost |= self.backends[i].standing.is_empty();
            }
            return;
        }
        self.enter_set_up(now, ended.status, i, sent, &work);
        match ended.status {
            Status::Ok => {
                self.learn(&work.request, ended.latency);
                self.succeeded(i, now);
            }
            Status::Cancelled => {}
            // It never was an attempt: the budget does not count it.
            Status::Moot => self.forget_further(work.attempts, sent),
            _ => {
                // A dead or hung backend is not load: its failures do not shape the curve.
                if !self.suspect(i, now) {
                    self.learn(&work.request, until - sent);
                }
                self.failed(i, now);
            }
        }
        if work.closed {
            return;
        }
        if ended.status.may_have_run() && work.may_have_run.is_none() {
            work.may_have_run = Some((i, sent));
        }
        self.place(now, work, out);
    }

    /// Enters in the limit on set-ups how one ended that did not come up.
    fn enter_set_up(&mut self, now: Micros, status: Status, i: usize, sent: Micros, work: &Work) {
        match status {
            Status::Ok => self.set_up_limit.succeeded(),
            Status::Error | Status::Timeout => {
                let class = self.class(&work.request);
                let (aim, deadline, at) = (class.aim, class.deadline, (i, self.backends[i].member.zone));
                self.set_up_limit.failed(now, sent, at, aim, deadline);
            }
            _ => self.set_up_limit.end(),
        }
    }

    /// Attempt budget, counted as the rule counts, however attempts ended: guards against a wide failure that
    /// retries multiply. Harm: where few requests come, none of them is tried more than a few times.
    fn may_try_again(&mut self, now: Micros) -> bool {
        self.count_span(now);
        let allowed = self.budget.free + self.budget.share * self.accepted.len() as f64;
        (self.further.len() + 1) as f64 <= allowed
    }

    /// Two entries of the table for the key; the one with fewer of our open connections. Where neither has
    /// room: further ones, and else when room is expected.
    fn pick(&mut self, now: Micros, work: &Work) -> Result<usize, Micros> {
        let (key, informed) = (self.hashed(work), self.informed(now));
        let (first, second) = self.table.pair(key).ok_or(Micros::MAX)?;
        // Exception "come back": guards against a loop over a backend that sheds or is slow, unknown to us.
        let skips = work.request.returning && !self.vouched(first, now);
        let part = if self.many() { SKIPS_OF_MANY } else { SKIPS };
        let skipped = (0..FURTHER_ENTRIES as usize).take_while(|_| skips && self.rng.f64() < part).count();
        let second_fewer = !work.request.mid_flow && self.counted(second, now) < self.counted(first, now);
        let pair = if second_fewer { [second, first] } else { [first, second] };
        // Under strain more entries would only scatter groups while all is full.
        let more = if !informed && self.strained(now) { 0 } else { FURTHER_ENTRIES };
        let further = (2..2 + more).filter_map(|seed| self.table.entry(key, seed));
        let room_at = |i: usize, trusting: bool| self.room_at(now, work, i, trusting);
        let entries: Vec<usize> = pair.into_iter().chain(further).collect();
        let soonest = || entries.iter().map(|&i| room_at(i, false)).min().unwrap_or(Micros::MAX);
        // Guards against shutting out a fleet: where most are suspect and none is sound, that bars nobody.
        let wide = || 2 * entries.iter().filter(|&&i| self.suspect(i, now)).count() > entries.len();
        let any = || entries.iter().copied().find(|&i| room_at(i, true) <= now).filter(|_| wide());
        // Exception "probe": guards against placing blindly where a backend would tell how full it is.
        if self.settings.load_report.is_some() {
            let full = |i: usize, load: f64| {
                let with_it = load + self.work_load(work) / self.able(i, now);
                load >= 1.0 || informed && (with_it >= MOST_GOAL || self.backends[i].slow_until > now)
            };
            let load = |i: &usize| self.expected(*i, now, PACE, informed);
            let rank = |i: &usize| match load(i) {
                Some(load) if full(*i, load) => 3,
                Some(load) if load >= ROOMY => 2,
                _ => u32::from(self.many() && self.far(*i)),
            };
            let mut usable = entries.clone();
            usable.retain(|&i| room_at(i, false) <= now);
            usable.sort_by_key(rank);
            let Some(best) = usable.first().copied().or_else(any) else { return Err(soonest()) };
            let open = &usable[..usable.partition_point(|i| rank(i) < 3)];
            // Exception "spread": guards against a herd on one report. Who draws no part of the room waits.
            let goal = if informed { MOST_GOAL } else { 1.0 };
            let room = |i: &usize| load(i).map(|load| (goal - load).max(0.0) * self.weight(*i));
            let drawn = self.many().then(|| self.draw_room(now, work.request.id, &usable, open, room));
            let best = Some(best).filter(|best| rank(best) < 3);
            return drawn.flatten().unwrap_or(best).ok_or(now + PACE);
        }
        let sound = entries.iter().copied().skip(skipped).find(|&i| room_at(i, false) <= now);
        sound.or_else(any).ok_or_else(soonest)
    }

    /// Exception "group pick": guards against paying for a group on every backend.
    fn hashed(&self, work: &Work) -> u64 {
        let group = work.request.group.filter(|_| self.settings.groups);
        group.or(work.request.key).unwrap_or(work.request.id)
    }

    /// Load of ours as the pick counts it; a newly started backend stands at the mean, and a far one counts
    /// fuller where crossing costs (exception "near").
    fn counted(&self, i: usize, now: Micros) -> f64 {
        let far = f64::from(self.far(i)) * FAR;
        let own =
            self.load(&self.backends[i].ours) / self.weight(i) * (1.0 + far * self.settings.cross_zone_price);
        let mean = self.load(&self.total) / self.admission.capacity.max(f64::MIN_POSITIVE);
        if self.cold_share(i, now).is_some() { own.max(mean) } else { own }
    }

    /// When this backend takes that request, as far as we know: now, after a slow spell or gap, or never.
    fn room_at(&self, now: Micros, work: &Work, i: usize, trusting: bool) -> Micros {
        if work.tried.contains(&i) || !self.allowed(now, work, i) {
            return Micros::MAX;
        }
        let in_turns = u64::from(self.many() && self.cold_share(i, now).is_some());
        let turn_at = now + in_turns * self.settings.fall / 2;
        let backend = &self.backends[i];
        let on_trial = backend.unproven || self.suspect(i, now) && !trusting;
        let trial_at = if on_trial { backend.trial_at.max(turn_at) } else { turn_at };
        if self.informed(now) {
            return trial_at;
        }
        let slow_until = if backend.ours.open < ENOUGH { backend.slow_until } else { 0 };
        let over = self.load(&backend.ours) / backend.ceiling - 1.0;
        let eased_at = backend.cut_at + ((over / CEILING_GROWTH).clamp(0.0, CEILING_MEMORY) * 1e6) as Micros;
        let eased_at = if self.load(&backend.ours) > self.ceiling(i, now) { eased_at } else { 0 };
        trial_at.max(slow_until).max(eased_at)
    }

    /// Asks a backend for a report before a request goes there; true while the request should wait.
    fn probe(&mut self, i: usize, now: Micros, out: &mut Vec<Action>) -> bool {
        if self.settings.load_report.is_none() || self.backends[i].report(now, PACE).is_some() {
            return false;
        }
        let backend = &mut self.backends[i];
        if backend.probed_at + PACE <= now {
            backend.probed_at = now;
            out.push(Action::Probe(backend.member.backend.clone()));
        }
        now < backend.probed_at + self.settings.connect_timeout && self.vain_probes < VAIN_PROBES
    }

    /// Exception "unproven": guards against a list that is wrong. True where a probe tries it first.
    fn ask_unproven(&mut self, i: usize, now: Micros, out: &mut Vec<Action>) -> bool {
        let backend = &mut self.backends[i];
        if !self.settings.may_probe || backend.asked >= PROBES_A_TRIAL {
            backend.asked = 0;
            return false;
        }
        backend.asked += 1;
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
        if let Some(delay) = delay.filter(|_| answered && self.reports_tell(now)) {
            self.on_report(now, i, (delay.max(0.0) * 1e3) as Micros, out);
        }
        self.retry_held(now, true, out);
    }

    /// Exception "watch": guards against a backend that grows slow under its connections where no note tells
    /// of it. Those we hold any at are probed on, soon again where they were not roomy.
    fn watch(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::Timer(PACE, WATCH));
        let told = self.reports_tell(now);
        let known = self.known.iter().copied().filter(|&i| told && !self.suspect(i, now));
        for i in known.collect::<Vec<_>>() {
            let backend = &mut self.backends[i];
            // A report of no load at all is older than the connections there.
            let roomy = |load| 0.0 < load && load < ROOMY;
            let roomy = backend.report(now, WATCH_GAP).flatten().is_some_and(roomy);
            if now >= backend.probed_at + if roomy { WATCH_GAP } else { PACE } {
                backend.probed_at = now;
                out.push(Action::Probe(backend.member.backend.clone()));
            }
        }
    }

    /// A report's delay: a backend that is well takes more at once. Exception "shed": guards against clients
    /// that wait out a backlog: each relay moves its part of what a backend cannot do.
    fn on_report(&mut self, now: Micros, i: usize, delay: Micros, out: &mut Vec<Action>) {
        if delay as f64 <= SLOW_PART * self.message_aim {
            return self.backends[i].slow_until = now;
        }
        self.cut(i, now);
        if now >= self.backends[i].shed_until {
            self.backends[i].shed_until = now + SETTLE;
            self.relieve(now, i, (1.0 - delay as f64 / DRAIN).clamp(LEAST_GOAL, MOST_GOAL), out);
        }
    }

    /// Moves away our part of what a backend has over that goal, the heaviest first.
    fn relieve(&mut self, now: Micros, i: usize, goal: f64, out: &mut Vec<Action>) {
        let Some(load) = self.expected(i, now, WATCH_GAP, true).filter(|&load| load > goal) else { return };
        let mut over = self.load(&self.backends[i].ours) * (1.0 - goal / load);
        for (load, id) in self.heaviest(i) {
            if load <= 2.0 * over || self.rng.f64() * load < over {
                out.push(Action::Move(id));
            }
            over -= load;
        }
    }

    /// Whether relays are so many that what one saw says little.
    fn many(&self) -> bool {
        self.settings.relays > MANY
    }

    /// Whether probes tell how full backends are and how long messages take there.
    fn informed(&self, now: Micros) -> bool {
        self.settings.load_report.is_some() && self.vain_probes < VAIN_PROBES && self.reports_tell(now)
    }

    /// Whether reports have to tell how long messages take: no note did lately, which would be fresher.
    fn reports_tell(&self, now: Micros) -> bool {
        self.settings.delay_report.is_some() && (self.noted_at == 0 || now >= self.noted_at + SLOW_MEMORY)
    }

    /// Exception "strain": most known backends are slow, beyond chance. Guards against passing on in vain.
    fn strained(&mut self, now: Micros) -> bool {
        let backends = &self.backends;
        self.slow.retain(|&i| backends[i].slow_until > now);
        let slow = self.slow.len() as f64;
        slow - slow.sqrt() > self.known.len() as f64 / 2.0
    }

    /// Whether the attempt that is out may still be written: the list, staff or the time may have barred it
    /// while it connected.
    pub fn may_begin(&self, now: Micros, id: RequestId) -> bool {
        let work = self.works.get(&id).filter(|work| !work.closed);
        let out = work.and_then(|work| Some((work, work.out?)));
        out.is_some_and(|(work, (i, _, until))| now < until && self.allowed(now, work, i))
    }

    /// Whether the rules let this request go to that backend at all.
    fn allowed(&self, now: Micros, work: &Work, i: usize) -> bool {
        if self.barred(i) || self.outdated(now) {
            return false;
        }
        let Some((ran, sent)) = work.may_have_run else { return true };
        let class = self.class(&work.request);
        let (a, b) = (&self.backends[ran].member, &self.backends[i].member);
        match class.effect {
            Effect::Repeatable => true,
            Effect::Once => false,
            Effect::Keyed(_) if now >= sent + class.window => false,
            Effect::Keyed(Group::All) => true,
            Effect::Keyed(Group::Zone) => a.zone == b.zone,
            Effect::Keyed(Group::Cell) => a.cell == b.cell,
        }
    }

    /// Our load up to which a backend takes more: learned where it was slow, raised with time since.
    fn ceiling(&self, i: usize, now: Micros) -> f64 {
        let backend = &self.backends[i];
        let since = now.saturating_sub(backend.cut_at) as f64 / 1e6;
        if since > CEILING_MEMORY { f64::INFINITY } else { backend.ceiling * (1.0 + CEILING_GROWTH * since) }
    }

    /// Exception "slow backend": guards against filling a backend whose messages are late already, and
    /// moves one connection away: to where there is room, or to wait while the whole fleet is slow.
    fn on_delay(&mut self, now: Micros, i: usize, delay: Micros, out: &mut Vec<Action>) {
        let times = delay as f64 / (SLOW_PART * self.message_aim);
        if times <= 1.0 {
            return;
        }
        self.cut(i, now);
        // Guards against a storm of moves: few where we hold few. Ceilings hold the moved back.
        let most = if self.strained(now) { STRAINED_TIMES } else { f64::INFINITY };
        if self.rng.f64() < f64::from(self.backends[i].ours.open) * MOVE_PART * times.min(most) {
            // Strays first, whose hash leads elsewhere: guards against paying for a group in many places.
            let stray = |work: &Work| self.table.entry(self.hashed(work), 0) != Some(i);
            let first = self.heaviest(i).into_iter().min_by_key(|(_, id)| !stray(&self.works[id]));
            out.extend(first.map(|(_, id)| Action::Move(id)));
        }
    }

    fn cut(&mut self, i: usize, now: Micros) {
        self.backends[i].slow_until = now + SLOW_MEMORY;
        self.slow.insert(i);
        if self.backends[i].cut_at + PACE <= now {
            let ceiling = self.load(&self.backends[i].ours).min(self.ceiling(i, now)) * CUT;
            let backend = &mut self.backends[i];
            (backend.ceiling, backend.cut_at) = (ceiling, now);
        }
    }

    /// Exception "cold budget" of few relays: spends it, parts of a token by chance.
    fn afford(&mut self, i: usize, now: Micros) -> bool {
        let Some(share) = self.cold_share(i, now) else { return true };
        let tokens = self.tokens(i, now, share);
        (self.backends[i].tokens, self.backends[i].tokens_at) = ((tokens - 1.0).max(0.0), now);
        self.rng.f64() < tokens
    }

    /// Exception "called back": guards against a backend that stays empty once given back: next is its turn.
    fn recall(&mut self, now: Micros, work: &Work) -> Option<usize> {
        let i = self.ready().find(|&i| self.backends[i].recalled && !self.many())?;
        let sound = self.allowed(now, work, i) && !work.tried.contains(&i) && !self.suspect(i, now);
        (sound && self.afford(i, now)).then_some(i)
    }

    /// Exception "turn": guards against a cold backend overrun by the sum of many relays: each opens there by
    /// chance, whatever comes to whom, so rarely that all in step keep its multiple. Harm: groups scatter.
    fn turn(&mut self, now: Micros, work: &Work) -> Option<usize> {
        let cold: Vec<usize> = self.many().then(|| self.cold(now)).into_iter().flatten().collect();
        let size: f64 = cold.iter().map(|&i| self.weight(i)).sum();
        let i = self.draw(&cold, size)?;
        let roomy = self.expected(i, now, PACE, true).is_none_or(|load| load < ROOMY);
        if !roomy || work.tried.contains(&i) || !self.allowed(now, work, i) || self.suspect(i, now) {
            return None;
        }
        let turn = self.spend_turn(now, self.settings.fall, self.cold_part(size, COLD_PART))
            * self.cold_share(i, now)?;
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

    fn succeeded(&mut self, i: usize, now: Micros) {
        let backend = &mut self.backends[i];
        if backend.lost {
            // Guards against a restart that the late list has not told: back from the dead means cold.
            backend.start(now, now);
            backend.seen_new = true;
        }
        let failures = backend.failures(now, FAILURE_HALF_LIFE) * SUCCESS_LEAVES;
        (backend.failures, backend.failed_at) = (failures, now);
        (backend.unproven, backend.asked) = (false, 0);
    }

    fn failed(&mut self, i: usize, now: Micros) {
        let backend = &mut self.backends[i];
        (backend.failures, backend.failed_at) = (backend.failures(now, FAILURE_HALF_LIFE) + 1.0, now);
        self.put_off_trial(i, now);
    }
}
