//! Test helper that drives a balancer with scripted events.
#![allow(dead_code)] // Each test file uses only some of these items.

use pierloom_decision::*;

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const S: Micros = 1_000_000;

/// A balancer and the time at which it receives its next event.
pub struct Driver {
    pub balancer: Balancer,
    pub now: Micros,
}

/// Settings with a setup target of 300 ms, a deadline of 2 s and a message target of 100 ms.
pub fn settings() -> Settings {
    let mut settings = Settings { max_attempts: 3, ..Settings::default() };
    settings.classes[0].setup_target = 300 * MS;
    settings.classes[0].deadline = 2 * S;
    settings.classes[0].message_target = 100 * MS;
    settings
}

/// `n` ready backends.
pub fn members(n: usize) -> Vec<Member> {
    (0..n).map(|i| Member::ready(&format!("10.0.0.{i}:7000"))).collect()
}

impl Driver {
    /// A balancer that has just received a list of `n` ready backends, at 100 s of its clock.
    pub fn new(settings: Settings, n: usize) -> Self {
        let mut driver = Driver { balancer: Balancer::new(settings, 7).unwrap(), now: 100 * S };
        driver.list(ListKind::Full, members(n));
        driver
    }

    /// Delivers an event now; the actions that follow.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        out
    }

    /// Delivers an endpoint list or its changes.
    pub fn list(&mut self, kind: ListKind, members: Vec<Member>) -> Vec<Action> {
        self.event(Event::Members { kind, members: members.into() })
    }

    /// Sends a request whose key is its id.
    pub fn request(&mut self, id: RequestId) -> Vec<Action> {
        self.request_with(Request { id, key: Some(id), ..Request::default() })
    }

    /// Sends a request; its deadline is 2 s away unless it states one.
    pub fn request_with(&mut self, mut request: Request) -> Vec<Action> {
        if request.deadline == 0 {
            request.deadline = self.now + 2 * S;
        }
        self.event(Event::Request(request))
    }

    /// Reports that the attempt's connection is established.
    pub fn established(&mut self, id: RequestId, attempt: u32, latency: Micros) -> Vec<Action> {
        self.event(Event::Established { id, attempt, latency })
    }

    /// Reports the end of an attempt; `closed` if the request already has its final answer.
    pub fn ended(&mut self, id: RequestId, attempt: u32, status: Status, closed: bool) -> Vec<Action> {
        self.event(Event::AttemptEnded(AttemptResult { id, attempt, status, latency: MS, closed }))
    }

    /// Requests and establishes a connection; returns its backend.
    pub fn connect(&mut self, id: RequestId) -> BackendId {
        let backend = sent(&self.request(id)).expect("an attempt is sent");
        self.established(id, 0, 20 * MS);
        backend
    }
}

/// The backend of the attempt that the actions send, if any; panics if they send more than one.
pub fn sent(actions: &[Action]) -> Option<BackendId> {
    let mut sends = actions.iter().filter_map(|action| match action {
        Action::Send { backend, .. } => Some(backend.clone()),
        _ => None,
    });
    let first = sends.next();
    assert!(sends.next().is_none(), "two attempts at once: {actions:?}");
    first
}

/// Time at which the attempt that the actions send is given up.
pub fn until(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|action| match action {
        Action::Send { until, .. } => Some(*until),
        _ => None,
    })
}

/// Whether the actions refuse a request.
pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}

/// Whether the actions fail a request.
pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail(_)))
}
