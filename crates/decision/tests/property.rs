//! Random legal event sequences against a model of what the bench would do; the rules that can be seen
//! from outside must hold. The seed is fixed, so the verdict is always the same.

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

struct Open {
    class: usize,
    deadline: Micros,
    attempts: u32,
    out: bool,
    standing: bool,
    may_have_run: bool,
    answered: bool,
    sent_at: Micros,
}

#[derive(Default)]
struct World {
    requests: BTreeMap<RequestId, Open>,
    states: BTreeMap<BackendId, MemberState>,
    drained: BTreeSet<BackendId>,
    timers: Vec<(Micros, u64)>,
    probes: Vec<BackendId>,
    /// What the attempt budget counts: requests accepted, and further attempts but moot ones.
    accepted: Vec<Micros>,
    further: Vec<Micros>,
}

fn effect(class: usize) -> Effect {
    [Effect::Repeatable, Effect::Keyed(KeyScope::Zone), Effect::Once][class % 3]
}

impl World {
    fn due(&mut self, now: Micros) -> Vec<u64> {
        let (due, later) = std::mem::take(&mut self.timers).into_iter().partition(|t| t.0 <= now);
        self.timers = later;
        let due: Vec<(Micros, u64)> = due;
        due.into_iter().map(|t| t.1).collect()
    }

    fn deliver(
        &mut self,
        balancer: &mut Balancer,
        now: Micros,
        event: Event,
        s: &Settings,
    ) -> Result<(), TestCaseError> {
        let mut actions = Vec::new();
        balancer.handle(now, event, &mut actions);
        self.check(now, &actions, s)
    }

    fn check(&mut self, now: Micros, actions: &[Action], s: &Settings) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Send { id, backend, until } => {
                    let open = self.requests.get_mut(id).unwrap();
                    prop_assert!(!open.out && !open.answered, "two at once, or after the end");
                    prop_assert!(open.attempts < s.max_attempts && *until <= open.deadline && *until > now);
                    prop_assert!(!self.drained.contains(backend), "seen draining, not listed ready since");
                    prop_assert!(!s.exclude_removed || self.states[backend] == MemberState::Ready);
                    prop_assert!(self.states.contains_key(backend), "named by a list at some time");
                    prop_assert!(!(open.may_have_run && effect(open.class) == Effect::Once));
                    open.out = true;
                    open.sent_at = now;
                    open.attempts += 1;
                    if open.attempts > 1 {
                        self.further.push(now);
                        if let Some(budget) = s.budget {
                            let within = |at: &&Micros| **at + budget.window > now;
                            let taken = self.accepted.iter().filter(within).count() as f64;
                            let further = self.further.iter().filter(within).count() as f64;
                            let allowed = budget.min_retries + budget.ratio * taken;
                            prop_assert!(further <= allowed, "{further} further, {allowed} allowed");
                        }
                    }
                }
                Action::Refuse { id, .. } | Action::Fail(id) => {
                    let open = self.requests.get_mut(id).unwrap();
                    prop_assert!(!open.answered && !open.out, "answered twice or with an attempt out");
                    let promises = matches!(action, Action::Refuse { .. });
                    let risky = open.may_have_run && effect(open.class) != Effect::Repeatable;
                    prop_assert!(!(promises && risky), "a refusal that promises too much");
                    open.answered = true;
                }
                Action::Timer(after, token) => self.timers.push((now + after, *token)),
                Action::Move(id) => prop_assert!(self.requests[id].standing),
                Action::Probe(backend) => {
                    prop_assert!(s.may_probe || s.load_report.is_some(), "probes are not allowed");
                    self.probes.push(backend.clone());
                }
                Action::Subscribe => {}
            }
        }
        Ok(())
    }
}

fn run(seed: u64, steps: &[(u8, u16, u8)]) -> Result<(), TestCaseError> {
    let class = |i| Class {
        setup_target: 300_000,
        deadline: 1_200_000,
        message_target: 50_000,
        effect: effect(i),
        repeat_window: 700_000,
    };
    let s = Settings {
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
    let mut balancer = Balancer::new(s.clone(), seed).unwrap();
    let mut world = World::default();
    let mut now = 50_000_000;
    for (n, &(kind, pick, extra)) in steps.iter().enumerate() {
        now += u64::from(pick % 50) * 1_000;
        for token in world.due(now) {
            world.deliver(&mut balancer, now, Event::Timer(token), &s)?;
        }
        let mut events = Vec::new();
        let live: Vec<RequestId> = world.requests.iter().filter(|r| r.1.out).map(|r| *r.0).collect();
        let one = (!live.is_empty()).then(|| live[pick as usize % live.len().max(1)]);
        match (kind % 10, one) {
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
                if kind != ListKind::Failed || s.ask_for_list {
                    let members = match kind {
                        ListKind::Failed => Vec::new(),
                        // A complete list, long, of one, or shrunk to nothing.
                        ListKind::Full if extra % 3 == 0 => Vec::new(),
                        ListKind::Full if extra % 3 == 1 => {
                            (0..150).map(|i| Member::ready(&format!("10.0.0.{i}:7000"))).collect()
                        }
                        _ => vec![member],
                    };
                    if kind == ListKind::Full {
                        world.states.values_mut().for_each(|state| *state = MemberState::Gone);
                    }
                    for member in &members {
                        world.states.insert(member.backend.clone(), member.state);
                        match member.state {
                            MemberState::Ready => drop(world.drained.remove(&member.backend)),
                            MemberState::Draining => drop(world.drained.insert(member.backend.clone())),
                            MemberState::Gone => {}
                        }
                    }
                    events.push(Event::Members { kind, members: members.into() });
                }
            }
            (1..=3, _) => {
                let (id, class) = (n as u64 + 1, usize::from(extra % 3));
                let deadline = now + u64::from(pick) * 20;
                let open = Open {
                    class,
                    deadline,
                    attempts: 0,
                    out: false,
                    standing: false,
                    may_have_run: false,
                    answered: false,
                    sent_at: 0,
                };
                world.accepted.push(now);
                world.requests.insert(id, open);
                let (key, group) = (Some(u64::from(extra)), Some(u64::from(extra % 7)));
                let reconnecting = pick % 3 == 0;
                let request = Request { id, class, key, group, deadline, reconnecting, ..Request::default() };
                events.push(Event::Request(request));
            }
            (4, Some(id)) => {
                let open = world.requests.get_mut(&id).unwrap();
                if !open.standing && !open.answered {
                    (open.standing, open.answered) = (true, true);
                    let attempt = open.attempts - 1;
                    events.push(Event::Established { id, attempt, latency: 5_000 });
                }
            }
            (5, Some(id)) => {
                world.requests.get_mut(&id).unwrap().answered = true;
                events.push(Event::ClientGone(id));
            }
            (6, Some(id)) => events.push(Event::Measured(id, Measurement::Delay(u64::from(extra) * 1_000))),
            (8, _) => {
                if let Some(backend) = world.probes.pop() {
                    let status = STATUSES[usize::from(extra) % STATUSES.len()];
                    // Some reports are empty, some say little, some too much.
                    let report = [vec![], vec![f64::from(pick) / 30_000.0], vec![-1.0, 5.0]];
                    let report = report[usize::from(extra) % 3].clone();
                    events.push(Event::Probed { backend, status, report });
                }
            }
            (9, Some(id)) => events.push(Event::Measured(id, Measurement::Load(f64::from(pick)))),
            (_, Some(id)) => {
                let open = world.requests.get_mut(&id).unwrap();
                let status = STATUSES[usize::from(extra) % STATUSES.len()];
                open.out = false;
                open.standing = false;
                open.may_have_run |= status.may_have_run();
                open.answered |= status == Status::Ok;
                if status == Status::NotSent && open.attempts > 1 {
                    let at = world.further.iter().rposition(|at| *at == open.sent_at).unwrap();
                    world.further.remove(at);
                }
                let (attempt, closed) = (open.attempts - 1, open.answered);
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
            world.deliver(&mut balancer, now, event, &s)?;
        }
    }
    // The end: attempts time out at the deadline, timers fall due, and everyone has an answer.
    for _ in 0..2_000 {
        now += 20_000;
        let mut events: Vec<Event> = world.due(now).into_iter().map(Event::Timer).collect();
        for (&id, open) in &mut world.requests {
            if open.out && !open.standing && open.deadline <= now {
                (open.out, open.may_have_run) = (false, true);
                let (attempt, closed) = (open.attempts - 1, open.answered);
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
            world.deliver(&mut balancer, now, event, &s)?;
        }
    }
    for (id, open) in &world.requests {
        prop_assert!(open.answered, "request {} has no answer", id);
    }
    Ok(())
}

#[test]
fn the_rules_hold_on_random_legal_events() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec((any::<u8>(), any::<u16>(), any::<u8>()), 1..250);
    runner.run(&(any::<u64>(), steps), |(seed, steps)| run(seed, &steps)).unwrap();
}
