//! Drives a balancer with scripted events.
#![allow(dead_code)] // each test file uses its own part

use pierloom_decision::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub struct Driver {
    pub balancer: Balancer,
    pub now: Micros,
}

pub fn settings() -> Settings {
    let mut settings = Settings { max_attempts: 3, ..Settings::default() };
    settings.classes[0].setup_target = 300 * MS;
    settings.classes[0].deadline = 2 * S;
    settings.classes[0].message_target = 100 * MS;
    settings
}

pub fn members(n: usize) -> Vec<Member> {
    (0..n).map(|i| Member::ready(&format!("10.0.0.{i}:7000"))).collect()
}

impl Driver {
    /// A balancer that has just been told of `n` ready backends, at 100 s of the clock.
    pub fn new(settings: Settings, n: usize) -> Self {
        let mut driver = Driver { balancer: Balancer::new(settings, 7).unwrap(), now: 100 * S };
        driver.list(ListKind::Full, members(n));
        driver
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        out
    }

    pub fn list(&mut self, kind: ListKind, members: Vec<Member>) -> Vec<Action> {
        self.event(Event::Members { kind, members: members.into() })
    }

    pub fn request(&mut self, id: RequestId) -> Vec<Action> {
        self.request_with(Request { id, key: Some(id), ..Request::default() })
    }

    /// Sends a request whose deadline is 2 s away unless it states one.
    pub fn request_with(&mut self, mut request: Request) -> Vec<Action> {
        if request.deadline == 0 {
            request.deadline = self.now + 2 * S;
        }
        self.event(Event::Request(request))
    }

    pub fn established(&mut self, id: RequestId, attempt: u32, latency: Micros) -> Vec<Action> {
        self.event(Event::Established { id, attempt, latency })
    }

    pub fn ended(&mut self, id: RequestId, attempt: u32, status: Status, closed: bool) -> Vec<Action> {
        self.event(Event::AttemptEnded(AttemptResult { id, attempt, status, latency: MS, closed }))
    }

    /// Requests and sets up a connection; its backend.
    pub fn connect(&mut self, id: RequestId) -> BackendId {
        let backend = sent(&self.request(id)).expect("a connection is sent");
        self.established(id, 0, 20 * MS);
        backend
    }
}

/// The backend that the actions send to, if they send at all; never more than once.
pub fn sent(actions: &[Action]) -> Option<BackendId> {
    let mut sends = actions.iter().filter_map(|action| match action {
        Action::Send { backend, .. } => Some(backend.clone()),
        _ => None,
    });
    let first = sends.next();
    assert!(sends.next().is_none(), "two attempts at once: {actions:?}");
    first
}

pub fn until(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|action| match action {
        Action::Send { until, .. } => Some(*until),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail(_)))
}
