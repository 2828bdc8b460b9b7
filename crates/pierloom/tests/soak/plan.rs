//! What happens in a run of the soak test, drawn from its seed.

use crate::{BACKEND_COUNT, PROXY_COUNT};
use std::time::Duration;

/// Failures of system calls under which a proxy is started, as arguments of `strace`. One is drawn for each
/// proxy; the first is none.
pub const SYSCALL_FAULTS: [&[&str]; 5] = [
    &["-e", "trace=none"],
    &["-e", "trace=recvfrom,sendto", "-e", "inject=recvfrom,sendto:error=EINTR:when=9+4"],
    &["-e", "trace=accept4", "-e", "inject=accept4:error=ECONNABORTED:when=3+3"],
    &["-e", "trace=connect", "-e", "inject=connect:error=EADDRNOTAVAIL:when=5+3"],
    &["-e", "trace=setsockopt", "-e", "inject=setsockopt:error=ENOBUFS:when=9+3"],
];
/// How long a proxy is suspended.
const SUSPENSION: Duration = Duration::from_millis(150);
/// Number of clients in a crowd.
const CROWD_SIZE: usize = 120;

/// Pseudo-random numbers from a seed.
pub struct Random(u64);

impl Random {
    /// A sequence of its own for each seed.
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// A number below `limit`.
    pub fn below(&mut self, limit: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as usize) % limit
    }

    /// True once in `times` draws.
    pub fn once_in(&mut self, times: usize) -> bool {
        self.below(times) == 0
    }

    /// A whole number of milliseconds below `limit`.
    pub fn milliseconds_below(&mut self, limit: usize) -> Duration {
        Duration::from_millis(self.below(limit) as u64)
    }
}

/// A fault of a backend.
#[derive(Clone, Copy)]
pub enum BackendTrouble {
    /// It closes each connection after its request.
    Closes,
    /// It accepts requests and answers none.
    Hangs,
}

/// A signal to a proxy.
pub struct SignalStep {
    /// When it is sent, from the beginning of the series.
    pub at: Duration,
    /// The signal, named as for `kill`.
    pub signal: &'static str,
}

/// The planned stop of a proxy.
pub struct PlannedStop {
    /// The number of the proxy.
    pub proxy: usize,
    /// The signals that it gets.
    pub signals: Vec<SignalStep>,
    /// How many of the signals come up to the first SIGTERM, this one included. The times of the others count
    /// from there.
    pub signals_until_term: usize,
}

impl PlannedStop {
    fn draw(random: &mut Random, proxy: usize) -> Self {
        let mut signals = Vec::new();
        let mut at = random.milliseconds_below(500);
        for _ in 0..random.below(3) {
            signals.push(SignalStep { at, signal: "-HUP" });
            at += random.milliseconds_below(60);
        }
        signals.push(SignalStep { at, signal: "-TERM" });
        let signals_until_term = signals.len();
        let mut at = Duration::ZERO;
        for _ in 0..random.below(3) {
            at += random.milliseconds_below(300);
            match random.below(3) {
                0 => signals.push(SignalStep { at, signal: "-TERM" }),
                1 => signals.push(SignalStep { at, signal: "-HUP" }),
                _ => {
                    signals.extend(suspension(at));
                    at += SUSPENSION;
                }
            }
        }
        PlannedStop { proxy, signals, signals_until_term }
    }
}

/// The signals that suspend a process at that time and resume it.
fn suspension(at: Duration) -> [SignalStep; 2] {
    [SignalStep { at, signal: "-STOP" }, SignalStep { at: at + SUSPENSION, signal: "-CONT" }]
}

/// Many clients that come at once.
#[derive(Clone, Copy)]
pub struct Crowd {
    /// Number of clients.
    pub size: usize,
    /// When they come, from the beginning of the stops.
    pub at: Duration,
    /// How long those wait that connect first and send their request later.
    pub idle_for: Duration,
}

/// What happens in a run.
pub struct SoakPlan {
    /// For each proxy, its failures of system calls: an index of [`SYSCALL_FAULTS`].
    pub syscall_faults: [usize; PROXY_COUNT],
    /// When a backend is reported as draining, from the start of the clients.
    pub drain_at: Duration,
    /// Whether discovery stops answering before it.
    pub silent_watches: bool,
    /// The backend that drains.
    pub draining: usize,
    /// The fault of `troubled_backend`, if any.
    pub backend_trouble: Option<BackendTrouble>,
    /// The backend that may have a fault.
    pub troubled_backend: usize,
    /// The proxy that is suspended before the stops.
    pub suspended: usize,
    /// The signals that suspend and resume it, more than once in some runs.
    pub suspension: Vec<SignalStep>,
    /// A crowd, in some runs.
    pub crowd: Option<Crowd>,
    /// The stops, each of another proxy. At least one proxy stays.
    pub stops: Vec<PlannedStop>,
}

impl SoakPlan {
    /// Draws a plan.
    pub fn draw(random: &mut Random) -> Self {
        let draining = random.below(BACKEND_COUNT);
        let first_stopped = random.below(PROXY_COUNT);
        let stop_count = 1 + random.below(PROXY_COUNT - 1);
        SoakPlan {
            syscall_faults: std::array::from_fn(|_| random.below(SYSCALL_FAULTS.len())),
            drain_at: Duration::from_millis(600) + random.milliseconds_below(400),
            silent_watches: random.once_in(4),
            draining,
            backend_trouble: match random.below(3) {
                0 => Some(BackendTrouble::Closes),
                1 => Some(BackendTrouble::Hangs),
                _ => None,
            },
            troubled_backend: (draining + 1) % BACKEND_COUNT,
            suspended: random.below(PROXY_COUNT),
            suspension: (0..1 + random.below(2))
                .flat_map(|i| suspension(Duration::from_millis(200) * i as u32))
                .collect(),
            crowd: random.once_in(3).then(|| Crowd {
                size: CROWD_SIZE,
                at: random.milliseconds_below(700),
                idle_for: random.milliseconds_below(900),
            }),
            stops: (0..stop_count)
                .map(|i| PlannedStop::draw(random, (first_stopped + i) % PROXY_COUNT))
                .collect(),
        }
    }
}
