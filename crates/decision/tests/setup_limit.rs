//! Tests of setups that fail at all backends alike: what one proxy does then, and what many proxies do while
//! a service that all backends need is overloaded.

mod common;
use common::*;
use pierloom_decision::*;
use std::collections::{BTreeMap, VecDeque};

/// Sends a request and ends its attempts with an error at each backend that fails. Returns the number of
/// failed attempts, and whether a connection was established.
fn try_request(d: &mut Driver, id: RequestId, fails: impl Fn(&BackendId) -> bool) -> (u32, bool) {
    let (mut out, mut attempts) = (d.request(id), 0);
    while let Some(backend) = sent(&out) {
        if !fails(&backend) {
            d.established(id, attempts, 20 * MS);
            return (attempts, true);
        }
        attempts += 1;
        out = d.ended(id, attempts - 1, Status::Error, false);
    }
    (attempts, false)
}

/// Guards against a storm of attempts on a service that all backends need: retries at other backends keep it
/// overloaded.
#[test]
fn retries_do_not_multiply_a_failure_of_all_backends() {
    let mut d = Driver::new(Settings { max_attempts: 6, retry_after: true, ..settings() }, 30);
    assert!(try_request(&mut d, 1_000, |_| false).1);
    let mut total = 0;
    for id in 1..=200 {
        total += try_request(&mut d, id, |_| true).0;
        d.now += 100 * MS;
    }
    // Three failures show that all backends fail. Then come pauses that double from 150 ms to eight seconds,
    // each times a random factor between a half and one and a half.
    assert!((6..=20).contains(&total), "{total} attempts of 200 requests");
}

/// Guards against a limit on setups that stays long after its cause is over.
#[test]
fn the_setup_limit_ends_soon_after_setups_succeed_again() {
    let mut d = Driver::new(Settings { max_attempts: 6, ..settings() }, 30);
    for id in 1..=100 {
        try_request(&mut d, id, |_| true);
        d.now += 100 * MS;
    }
    // The longest pause is four deadlines of the class, eight seconds, and up to half as much again by a
    // random draw.
    let established: Vec<bool> = (101..=250)
        .map(|id| {
            d.now += 100 * MS;
            try_request(&mut d, id, |_| false).1
        })
        .collect();
    let first = established.iter().position(|&is_up| is_up).expect("a connection is established");
    assert!(first <= 120, "after {first} tenths of a second");
    assert!(established[first..].iter().all(|&is_up| is_up), "{established:?}");
}

/// Guards against overload by hundreds of proxies that have just been restarted, each of which sends a few
/// attempts anew while all attempts fail.
#[test]
fn a_proxy_without_a_successful_setup_limits_setups_after_its_first_failure() {
    let mut d = Driver::new(Settings { max_attempts: 6, proxies: 300, ..settings() }, 30);
    assert_eq!(try_request(&mut d, 1, |_| true), (1, false));
    assert_eq!(try_request(&mut d, 2, |_| true), (0, false), "refused at once");
}

/// Guards against a proxy that refuses everything for good: one setup whose end the host never reports must not
/// hold up all others once the host has stopped waiting for it.
#[test]
fn a_setup_whose_end_is_never_reported_holds_up_others_only_until_its_time_limit() {
    let mut d = Driver::new(Settings { max_attempts: 6, ..settings() }, 30);
    assert!(sent(&d.request(1)).is_some(), "its end is never reported");
    d.event(Event::ClientGone(1));
    try_request(&mut d, 2, |_| true);
    // The time limit of the lost setup, which its client's deadline bounds, and the pause after the failures.
    d.now += 2 * S + 300 * MS;
    assert!(try_request(&mut d, 3, |_| false).1, "a setup that would succeed starts");
}

/// Guards against an attempt that is given up early to leave time for further attempts, although no other
/// attempt follows one under the limit.
#[test]
fn a_setup_under_the_limit_may_use_all_the_time_left() {
    let mut d = Driver::new(Settings { max_attempts: 6, proxies: 300, ..settings() }, 30);
    let attempt_time = |d: &mut Driver, id| until(&d.request(id)).map(|until| until - d.now);
    assert!(attempt_time(&mut d, 1) < Some(S), "further attempts may follow");
    d.ended(1, 0, Status::Timeout, true);
    d.now += 2 * S;
    assert_eq!(attempt_time(&mut d, 2), Some(2 * S));
}

/// Guards against a limit on setups at healthy backends because one backend fails.
#[test]
fn one_failing_backend_does_not_limit_setups() {
    let mut d = Driver::new(Settings { max_attempts: 6, ..settings() }, 5);
    assert!(try_request(&mut d, 1_000, |_| false).1);
    let failing = members(5)[2].backend.clone();
    for id in 1..=200 {
        assert!(try_request(&mut d, id, |backend| *backend == failing).1, "request {id}");
        d.now += 100 * MS;
    }
}

/// Guards against more attempts than needed to find that setups fail everywhere. The loss of a zone
/// causes failures in one zone only, so that failures in two zones show it sooner.
#[test]
fn failures_in_two_zones_limit_setups_sooner_than_in_one() {
    for (zones, most) in [(1, 3), (2, 2)] {
        let mut settings = settings();
        settings.max_attempts = 6;
        let mut d = Driver { balancer: Balancer::new(settings, 7).unwrap(), now: 100 * S };
        let zoned = |(i, member): (usize, Member)| Member { zone: (i % zones) as u16, ..member };
        d.list(ListKind::Full, members(6).into_iter().enumerate().map(zoned).collect());
        assert!(try_request(&mut d, 1_000, |_| false).1);
        let attempts: Vec<u32> = (1..=5).map(|id| try_request(&mut d, id, |_| true).0).collect();
        assert!(attempts.iter().sum::<u32>() <= most + 1, "{zones} zones: {attempts:?}");
    }
}

const PROXIES: usize = 100;
/// Setups that the store can serve: less than one for each proxy. All backends need the store.
const STORE_SETUPS_PER_SECOND: u64 = 80;
const CLIENTS: usize = 500;
const STEP_US: Micros = 10 * MS;
/// Maximum number of setups that wait at the store. Further ones fail with an error at once.
const STORE_QUEUE: usize = 160;

/// A setup that waits at the store.
struct Setup {
    proxy: usize,
    request: usize,
    until: Micros,
}

/// All proxies, and clients that retry until their connections are established.
struct Simulation {
    now: Micros,
    rng: fastrand::Rng,
    proxies: Vec<Driver>,
    /// Number of attempts, by proxy and request.
    attempts: BTreeMap<(usize, RequestId), u32>,
    timers: BTreeMap<(Micros, usize, u64), ()>,
    store: VecDeque<Setup>,
    /// When each client that waits sends its next request.
    retries: Vec<(Micros, usize)>,
    established: usize,
    next_id: RequestId,
}

impl Simulation {
    fn new() -> Self {
        let proxy = |seed| {
            let mut settings = settings();
            settings.classes[0].deadline = 3_200 * MS;
            settings.classes[0].setup_target = 800 * MS;
            let (proxies, max_attempts) = (PROXIES as u32, 6);
            let settings = Settings {
                proxies,
                max_attempts,
                retry_after: true,
                max_retry_after: 1_500 * MS,
                ..settings
            };
            let mut d = Driver { balancer: Balancer::new(settings, seed).unwrap(), now: 100 * S };
            let zoned = |(i, member): (usize, Member)| Member { zone: (i % 2) as u16, ..member };
            d.list(ListKind::Full, members(20).into_iter().enumerate().map(zoned).collect());
            d
        };
        Simulation {
            now: 100 * S,
            rng: fastrand::Rng::with_seed(5),
            proxies: (0..PROXIES as u64).map(proxy).collect(),
            attempts: BTreeMap::new(),
            timers: BTreeMap::new(),
            store: VecDeque::new(),
            retries: (0..CLIENTS).map(|client| (100 * S, client)).collect(),
            established: 0,
            next_id: 1,
        }
    }

    /// Delivers an event to a proxy and carries out the actions that follow.
    fn event(&mut self, proxy: usize, event: Event) {
        self.proxies[proxy].now = self.now;
        for action in self.proxies[proxy].event(event) {
            match action {
                Action::Send { id, until, .. } => self.send(proxy, id, until),
                Action::Refuse { id, retry_after } => self.schedule_retry(id, retry_after.unwrap_or(0)),
                Action::Fail(id) => self.schedule_retry(id, 0),
                Action::Timer(after, token) => drop(self.timers.insert((self.now + after, proxy, token), ())),
                _ => {}
            }
        }
    }

    /// Sends an attempt, whose setup waits at the store, or fails if too many wait there.
    fn send(&mut self, proxy: usize, id: RequestId, until: Micros) {
        *self.attempts.entry((proxy, id)).or_default() += 1;
        let setup = Setup { proxy, request: id as usize, until };
        if self.store.len() < STORE_QUEUE {
            return self.store.push_back(setup);
        }
        self.fail(&setup, Status::Error);
    }

    /// Reports that a setup failed.
    fn fail(&mut self, setup: &Setup, status: Status) {
        let (proxy, id) = (setup.proxy, setup.request as RequestId);
        let attempt = self.attempts[&(proxy, id)] - 1;
        self.event(
            proxy,
            Event::AttemptEnded(AttemptResult { id, attempt, status, latency: MS, closed: false }),
        );
    }

    /// Schedules the retry of a client. Four of five clients wait as long as the refusal states.
    fn schedule_retry(&mut self, id: RequestId, retry_after: Micros) {
        let delay = if self.rng.u8(0..5) > 0 { retry_after } else { 0 };
        let at = self.now + delay + self.rng.u64(22 * MS..=170 * MS);
        self.retries.push((at, id as usize));
    }

    /// Runs all that is due in the next step.
    fn step(&mut self) {
        self.now += STEP_US;
        while let Some((&(at, proxy, token), ())) =
            self.timers.first_key_value().filter(|((at, ..), ())| *at <= self.now)
        {
            self.timers.remove(&(at, proxy, token));
            self.event(proxy, Event::Timer(token));
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.retries).into_iter().partition(|(at, _)| *at <= now);
        self.retries = later;
        for _ in due {
            let (proxy, id) = (self.rng.usize(0..PROXIES), self.next_id);
            self.next_id += 1;
            let request = Request { id, key: Some(id), deadline: now + 3_200 * MS, ..Request::default() };
            self.event(proxy, Event::Request(request));
        }
        self.time_out();
        self.serve();
    }

    /// Reports a timeout for each setup that waited too long. The store still spends the time to serve the
    /// setup.
    fn time_out(&mut self) {
        let now = self.now;
        let late: Vec<usize> = (0..self.store.len()).filter(|&i| self.store[i].until <= now).collect();
        for i in late {
            let setup =
                std::mem::replace(&mut self.store[i], Setup { proxy: 0, request: 0, until: Micros::MAX });
            self.fail(&setup, Status::Timeout);
        }
    }

    /// Serves as many setups as the store can serve in a step.
    fn serve(&mut self) {
        let served = (self.now - STEP_US) * STORE_SETUPS_PER_SECOND / S;
        for _ in served..self.now * STORE_SETUPS_PER_SECOND / S {
            let Some(Setup { proxy, request, .. }) = self.store.pop_front() else { return };
            // The setup timed out: no client waits for it any more.
            if request == 0 {
                continue;
            }
            let id = request as RequestId;
            let attempt = self.attempts[&(proxy, id)] - 1;
            self.established += 1;
            self.event(proxy, Event::Established { id, attempt, latency: 100 * MS });
        }
    }
}

/// Guards against an overload that keeps itself up: when more clients arrive than a service that all backends
/// need can take, the overload must pass by itself. At 80 setups a second the 500 clients would be connected
/// after 6.3 s.
#[test]
fn an_overload_of_a_service_that_all_backends_need_passes_by_itself() {
    let mut simulation = Simulation::new();
    while simulation.now < 120 * S {
        simulation.step();
    }
    assert!(
        simulation.established * 100 >= CLIENTS * 95,
        "{} of {CLIENTS} clients are connected after 20 s, {} attempts",
        simulation.established,
        simulation.attempts.values().sum::<u32>()
    );
}
