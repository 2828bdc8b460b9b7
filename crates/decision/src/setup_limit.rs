//! A limit on connection setups for the time in which they fail at all kinds of backends alike. The cause is
//! then not one backend but something that all of them need, such as a session store, that is overloaded or
//! slow. Attempts at other backends and clients that reconnect only keep it overloaded, long after the first
//! cause is over. This module keeps the bounds; `logic` decides.

use crate::api::{Micros, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// Number of backends with failed setups, without a success in between, from which the cause counts as
/// shared. Failures at two backends may be chance.
const SHARED_FAILURE_BACKENDS: usize = 3;
/// Number of zones with failed setups from which the cause counts as shared. Two are enough, as the loss of a
/// zone affects the backends of one zone only.
const SHARED_FAILURE_ZONES: usize = 2;
/// The value of [`SHARED_FAILURE_BACKENDS`] among many proxies for a proxy without a successful setup. Such
/// a proxy has no reason to expect more of another backend, and after a mass restart all proxies would try
/// several times each.
const SHARED_FAILURE_BACKENDS_BEFORE_SUCCESS: usize = 1;
/// The first pause between setups is the setup target divided by this: a healthy backend would have answered
/// by then.
const FIRST_PAUSE_DIVISOR: Micros = 2;
/// Separates this random stream from the other streams of the proxy; any value does.
const RNG_SEED_SALT: u64 = 0x5e70_0b17;
/// The pause grows by this factor with each failure.
const PAUSE_GROWTH_FACTOR: u64 = 2;
/// The longest pause, in deadlines of the request's class. With it, even hundreds of proxies together are as
/// slow as an overloaded shared store may need, and they still try the store within a quarter of a minute
/// after it has recovered.
const MAX_PAUSE_DEADLINES: u64 = 4;
/// The limit is removed when it would reach this number of setups in progress, all having succeeded without a
/// failure.
const LIMIT_REMOVAL_THRESHOLD: u32 = 8;

/// State of the limit on the connection setups of this proxy, at all backends together.
#[derive(Debug)]
pub(crate) struct SetupLimit {
    /// A separate random stream, so that draws here change no other draw.
    rng: fastrand::Rng,
    /// Index and zone of each backend with a failed setup since the last success.
    failed_backends: BTreeSet<(usize, u16)>,
    /// Number of backends with failed setups from which the cause counts as shared.
    shared_failure_backends: usize,
    /// For each setup in progress, the time at which the host stops waiting for it. A setup whose end was
    /// never reported counts until that time.
    in_progress: BTreeMap<RequestId, Micros>,
    /// The most setups that may be in progress; `None` while there is no limit.
    max_in_progress: Option<u32>,
    /// Pause between two setups; 0 while setups succeed.
    pause: Micros,
    /// No setup starts before this time.
    next_at: Micros,
    /// When the limit was last lowered. Failures of setups that started before then are no new information.
    lowered_at: Micros,
}

impl SetupLimit {
    /// Starts without a limit. Each proxy has a seed of its own.
    pub fn new(seed: u64, large_fleet: bool) -> Self {
        SetupLimit {
            rng: fastrand::Rng::with_seed(seed ^ RNG_SEED_SALT),
            failed_backends: BTreeSet::new(),
            shared_failure_backends: if large_fleet {
                SHARED_FAILURE_BACKENDS_BEFORE_SUCCESS
            } else {
                SHARED_FAILURE_BACKENDS
            },
            in_progress: BTreeMap::new(),
            max_in_progress: None,
            pause: 0,
            next_at: 0,
            lowered_at: 0,
        }
    }

    /// Records a setup that starts. The host stops waiting for it at `until`.
    pub fn start(&mut self, id: RequestId, until: Micros) {
        self.in_progress.insert(id, until);
    }

    /// Records the end of a setup whose result says nothing about a shared cause.
    pub fn finish(&mut self, id: RequestId) {
        self.in_progress.remove(&id);
    }

    /// Records a setup that succeeded: twice as many may now be in progress.
    pub fn record_success(&mut self, id: RequestId) {
        self.finish(id);
        self.failed_backends.clear();
        self.shared_failure_backends = SHARED_FAILURE_BACKENDS;
        self.pause = 0;
        self.next_at = 0;
        self.max_in_progress =
            self.max_in_progress.map(|most| most * 2).filter(|&most| most < LIMIT_REMOVAL_THRESHOLD);
    }

    /// Records a setup, of the request `id`, that failed or had no answer in time. It was sent at `sent_at` to `backend`, given by
    /// its index and its zone. `setup_target` is the wanted duration of a setup. The client gives up after
    /// `deadline`.
    pub fn record_failure(
        &mut self,
        now: Micros,
        id: RequestId,
        sent_at: Micros,
        backend: (usize, u16),
        setup_target: Micros,
        deadline: Micros,
    ) {
        self.finish(id);
        self.failed_backends.insert(backend);
        if !self.is_shared_failure() || sent_at < self.lowered_at {
            return;
        }
        self.lowered_at = now;
        self.max_in_progress = Some(1);
        self.pause = (self.pause * PAUSE_GROWTH_FACTOR)
            .max(setup_target / FIRST_PAUSE_DIVISOR)
            .min(deadline * MAX_PAUSE_DEADLINES);
        // Waits for 0.5 to 1.5 pauses, so that proxies, which share no state, do not retry in step.
        self.next_at = now + self.pause / 2 + self.rng.u64(0..=self.pause);
    }

    /// Whether setups fail at all kinds of backends alike.
    pub fn is_shared_failure(&self) -> bool {
        let zones: BTreeSet<u16> = self.failed_backends.iter().map(|&(_, zone)| zone).collect();
        self.failed_backends.len() >= self.shared_failure_backends || zones.len() >= SHARED_FAILURE_ZONES
    }

    /// Whether setups are limited now.
    pub fn is_limited(&self) -> bool {
        self.max_in_progress.is_some()
    }

    /// The number of setups that the host may still be waiting for.
    fn count_in_progress(&self, now: Micros) -> usize {
        self.in_progress.values().filter(|&&until| now <= until).count()
    }

    /// The earliest time at which the next setup may start, as far as is known; `now` without an obstacle.
    pub fn next_at(&self, now: Micros, setup_target: Micros) -> Micros {
        match self.max_in_progress {
            Some(most) if self.count_in_progress(now) >= most as usize => {
                self.next_at.max(now + setup_target / FIRST_PAUSE_DIVISOR)
            }
            Some(_) => self.next_at.max(now),
            None => now,
        }
    }
}
