//! Property test: random valid event sequences, checked against a model of requests, endpoints and retries.
//! The rules that are visible from outside the decision module must hold. The seed is fixed, so the result is
//! reproducible.

use pierloom_decision::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

const STATUSES: [Status; 8] = [
    Status::Ok,
    Status::Error,
    Status::Overloaded,
    Status::Timeout,
    Status::ConnectFailed,
    Status::Reset,
    Status::Cancelled,
    Status::NotSent,
];

/// The model's state of one request.
struct RequestModel {
    class: usize,
    deadline: Micros,
    attempts: u32,
    attempt_in_progress: bool,
    established: bool,
    may_have_run: bool,
    answered: bool,
    sent_at: Micros,
}

/// What the host would know: requests, endpoints, timers and probes.
#[derive(Default)]
struct Model {
    requests: BTreeMap<RequestId, RequestModel>,
    /// State of each backend that a list ever named.
    member_states: BTreeMap<BackendId, MemberState>,
    /// Backends that were listed as draining and not as ready since.
    drained: BTreeSet<BackendId>,
    timers: Vec<(Micros, u64)>,
    probes: Vec<BackendId>,
    /// Times that the retry budget counts: requests accepted, and retries except those never sent.
    accepted: Vec<Micros>,
    retries: Vec<Micros>,
}

/// The effect of the class with this index.
fn effect(class: usize) -> Effect {
    [Effect::Repeatable, Effect::Keyed(KeyScope::Zone), Effect::Once][class % 3]
}

impl Model {
    /// Removes the timers that are due and returns their tokens.
    fn take_due_timers(&mut self, now: Micros) -> Vec<u64> {
        let (due, later) = std::mem::take(&mut self.timers).into_iter().partition(|t| t.0 <= now);
        self.timers = later;
        let due: Vec<(Micros, u64)> = due;
        due.into_iter().map(|t| t.1).collect()
    }

    /// Delivers an event and checks the actions that follow.
    fn deliver(
        &mut self,
        balancer: &mut Balancer,
        now: Micros,
        event: Event,
        settings: &Settings,
    ) -> Result<(), TestCaseError> {
        let mut actions = Vec::new();
        balancer.handle(now, event, &mut actions);
        self.check(now, &actions, settings)
    }

    /// Checks actions against the rules and records them.
    fn check(&mut self, now: Micros, actions: &[Action], settings: &Settings) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Send { id, backend, until } => {
                    let state = self.requests.get_mut(id).unwrap();
                    prop_assert!(
                        !state.attempt_in_progress && !state.answered,
                        "two attempts at once, or one after the final answer"
                    );
                    prop_assert!(
                        state.attempts < settings.max_attempts && *until <= state.deadline && *until > now
                    );
                    prop_assert!(!self.drained.contains(backend), "was draining and not listed ready since");
                    prop_assert!(
                        !settings.exclude_removed || self.member_states[backend] == MemberState::Ready
                    );
                    prop_assert!(self.member_states.contains_key(backend), "was never named by a list");
                    prop_assert!(!(state.may_have_run && effect(state.class) == Effect::Once));
                    state.attempt_in_progress = true;
                    state.sent_at = now;
                    state.attempts += 1;
                    if state.attempts > 1 {
                        self.retries.push(now);
                        if let Some(budget) = settings.budget {
                            let within = |at: &&Micros| **at + budget.window > now;
                            let accepted = self.accepted.iter().filter(within).count() as f64;
                            let retries = self.retries.iter().filter(within).count() as f64;
                            let allowed = budget.min_retries + budget.ratio * accepted;
                            prop_assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
                        }
                    }
                }
                Action::Refuse { id, .. } | Action::Fail(id) => {
                    let state = self.requests.get_mut(id).unwrap();
                    prop_assert!(
                        !state.answered && !state.attempt_in_progress,
                        "answered twice or with an attempt in progress"
                    );
                    let is_refusal = matches!(action, Action::Refuse { .. });
                    let may_not_repeat = state.may_have_run && effect(state.class) != Effect::Repeatable;
                    prop_assert!(
                        !(is_refusal && may_not_repeat),
                        "a refusal of a request that must not be repeated"
                    );
                    state.answered = true;
                }
                Action::Timer(after, token) => self.timers.push((now + after, *token)),
                Action::Move(id) => prop_assert!(self.requests[id].established),
                Action::Probe(backend) => {
                    prop_assert!(
                        settings.may_probe || settings.load_report.is_some(),
                        "a probe where none is allowed"
                    );
                    self.probes.push(backend.clone());
                }
                Action::Subscribe => {}
            }
        }
        Ok(())
    }
}

/// Runs one sequence of events; the seed also chooses the settings.
fn run_sequence(seed: u64, steps: &[(u8, u16, u8)]) -> Result<(), TestCaseError> {
    let class = |i| Class {
        setup_target: 300_000,
        deadline: 1_200_000,
        message_target: 50_000,
        effect: effect(i),
        repeat_window: 700_000,
    };
    let settings = Settings {
        classes: (0..3).map(class).collect(),
        ask_for_list: seed.is_multiple_of(2),
        proxies: [1, 3, 400][seed as usize / 2 % 3],
        load_report: (seed / 6).is_multiple_of(2).then_some(0),
        max_attempts: 4,
        exclude_removed: (seed / 24).is_multiple_of(2),
        may_probe: (seed / 48).is_multiple_of(2),
        budget: [None, Some(RetryBudget { min_retries: 1.0, ratio: 0.1, window: 2 * 1_000_000 })]
            [seed as usize / 12 % 2],
        groups: true,
        ..Settings::default()
    };
    let mut balancer = Balancer::new(settings.clone(), seed).unwrap();
    let mut model = Model::default();
    let mut now = 50_000_000;
    for (n, &(kind, pick, extra)) in steps.iter().enumerate() {
        now += u64::from(pick % 50) * 1_000;
        for token in model.take_due_timers(now) {
            model.deliver(&mut balancer, now, Event::Timer(token), &settings)?;
        }
        let mut events = Vec::new();
        let in_progress: Vec<RequestId> =
            model.requests.iter().filter(|r| r.1.attempt_in_progress).map(|r| *r.0).collect();
        let picked = (!in_progress.is_empty()).then(|| in_progress[pick as usize % in_progress.len().max(1)]);
        match (kind % 10, picked) {
            (0, _) => {
                let mut member = Member::ready(&format!("10.0.0.{}:7000", extra % 6));
                member.zone = u16::from(extra % 2);
                member.state =
                    [MemberState::Ready, MemberState::Draining, MemberState::Gone][pick as usize % 3];
                member.started = if extra > 128 { now } else { 0 };
                let kind = match pick % 11 {
                    0 => ListKind::Failed,
                    1 => ListKind::Full,
                    _ => ListKind::Delta,
                };
                if kind != ListKind::Failed || settings.ask_for_list {
                    let members = match kind {
                        ListKind::Failed => Vec::new(),
                        // A complete list may be long, have one entry, or be empty.
                        ListKind::Full if extra % 3 == 0 => Vec::new(),
                        ListKind::Full if extra % 3 == 1 => {
                            (0..150).map(|i| Member::ready(&format!("10.0.0.{i}:7000"))).collect()
                        }
                        _ => vec![member],
                    };
                    if kind == ListKind::Full {
                        model.member_states.values_mut().for_each(|listed| *listed = MemberState::Gone);
                    }
                    for member in &members {
                        model.member_states.insert(member.backend.clone(), member.state);
                        match member.state {
                            MemberState::Ready => drop(model.drained.remove(&member.backend)),
                            MemberState::Draining => drop(model.drained.insert(member.backend.clone())),
                            MemberState::Gone => {}
                        }
                    }
                    events.push(Event::Members { kind, members: members.into() });
                }
            }
            (1..=3, _) => {
                let (id, class) = (n as u64 + 1, usize::from(extra % 3));
                let deadline = now + u64::from(pick) * 20;
                let state = RequestModel {
                    class,
                    deadline,
                    attempts: 0,
                    attempt_in_progress: false,
                    established: false,
                    may_have_run: false,
                    answered: false,
                    sent_at: 0,
                };
                model.accepted.push(now);
                model.requests.insert(id, state);
                let (key, group) = (Some(u64::from(extra)), Some(u64::from(extra % 7)));
                let reconnecting = pick % 3 == 0;
                let request = Request { id, class, key, group, deadline, reconnecting, ..Request::default() };
                events.push(Event::Request(request));
            }
            (4, Some(id)) => {
                let state = model.requests.get_mut(&id).unwrap();
                if !state.established && !state.answered {
                    (state.established, state.answered) = (true, true);
                    let attempt = state.attempts - 1;
                    events.push(Event::Established { id, attempt, latency: 5_000 });
                }
            }
            (5, Some(id)) => {
                model.requests.get_mut(&id).unwrap().answered = true;
                events.push(Event::ClientGone(id));
            }
            (6, Some(id)) => events.push(Event::Measured(id, Measurement::Delay(u64::from(extra) * 1_000))),
            (8, _) => {
                if let Some(backend) = model.probes.pop() {
                    let status = STATUSES[usize::from(extra) % STATUSES.len()];
                    // Reports may be empty, valid, or have invalid values and one value too many.
                    let report = [vec![], vec![f64::from(pick) / 30_000.0], vec![-1.0, 5.0]];
                    let report = report[usize::from(extra) % 3].clone();
                    events.push(Event::Probed { backend, status, report });
                }
            }
            (9, Some(id)) => events.push(Event::Measured(id, Measurement::Load(f64::from(pick)))),
            (_, Some(id)) => {
                let state = model.requests.get_mut(&id).unwrap();
                let status = STATUSES[usize::from(extra) % STATUSES.len()];
                state.attempt_in_progress = false;
                state.established = false;
                state.may_have_run |= status.may_have_run();
                state.answered |= status == Status::Ok;
                if status == Status::NotSent && state.attempts > 1 {
                    let at = model.retries.iter().rposition(|at| *at == state.sent_at).unwrap();
                    model.retries.remove(at);
                }
                let (attempt, closed) = (state.attempts - 1, state.answered);
                events.push(Event::AttemptEnded(AttemptResult {
                    id,
                    attempt,
                    status,
                    latency: 5_000,
                    closed,
                }));
            }
            _ => {}
        }
        for event in events {
            model.deliver(&mut balancer, now, event, &settings)?;
        }
    }
    // Finally attempts time out at their deadline and timers fire, so that every request must get an answer.
    for _ in 0..2_000 {
        now += 20_000;
        let mut events: Vec<Event> = model.take_due_timers(now).into_iter().map(Event::Timer).collect();
        for (&id, state) in &mut model.requests {
            if state.attempt_in_progress && !state.established && state.deadline <= now {
                (state.attempt_in_progress, state.may_have_run) = (false, true);
                let (attempt, closed) = (state.attempts - 1, state.answered);
                let status = Status::Timeout;
                events.push(Event::AttemptEnded(AttemptResult {
                    id,
                    attempt,
                    status,
                    latency: 5_000,
                    closed,
                }));
            }
        }
        for event in events {
            model.deliver(&mut balancer, now, event, &settings)?;
        }
    }
    for (id, state) in &model.requests {
        prop_assert!(state.answered, "request {} has no final answer", id);
    }
    Ok(())
}

/// Guards against a rule that holds in the cases of the other tests only: events may arrive in any valid
/// order.
#[test]
fn the_rules_hold_for_random_valid_events() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec((any::<u8>(), any::<u16>(), any::<u8>()), 1..250);
    runner.run(&(any::<u64>(), steps), |(seed, steps)| run_sequence(seed, &steps)).unwrap();
}
