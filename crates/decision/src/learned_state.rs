//! The state that a decision module has learned, for the module that replaces it. Requests are not part of
//! it. This module only copies the state; `logic` decides.

use crate::admission::CurveBin;
use crate::api::Micros;
use crate::state::Balancer;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What was learned about one backend, apart from the endpoint list. Times are on the clock of the process
/// that wrote them; [`LearnedState::with_clock_offset`] converts them.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct LearnedBackend {
    started: Micros,
    failures: f64,
    #[serde(rename = "failed_at")]
    failures_at: Micros,
    /// `None` for a backend that was never slow.
    #[serde(rename = "ceiling")]
    load_limit: Option<f64>,
    #[serde(rename = "cut_at")]
    load_limit_cut_at: Micros,
    slow_until: Micros,
    #[serde(rename = "shed_until")]
    next_shed_at: Micros,
    tokens: f64,
    tokens_at: Micros,
}

/// All that a decision module has learned since its start. The serialized names are those of the handover
/// between two processes, which may be of different versions.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LearnedState {
    #[serde(rename = "since")]
    started: Option<Micros>,
    #[serde(rename = "set_ups")]
    setup_count: u64,
    #[serde(rename = "width")]
    bin_width: f64,
    #[serde(rename = "slices")]
    bins: Vec<CurveBin>,
    /// `None` before the first setup.
    #[serde(rename = "least_delay")]
    min_delay: Option<f64>,
    arrival_rate: f64,
    #[serde(rename = "p")]
    admit_probability: f64,
    #[serde(rename = "turns")]
    slow_start_slots: Vec<(Micros, f64)>,
    /// When discovery last reported the endpoint list that is handed over with this state; `None` from a
    /// version that did not send it.
    #[serde(rename = "told_at", default)]
    updated_at: Option<Micros>,
    backends: BTreeMap<String, LearnedBackend>,
}

/// How far one clock is ahead of another, in microseconds.
pub type ClockOffset = i64;

/// Converts a time to a clock that is ahead by `by`. The time 0 means never and stays 0.
pub fn with_clock_offset(at: Micros, by: ClockOffset) -> Micros {
    if at == 0 { 0 } else { at.saturating_add_signed(by) }
}

impl LearnedState {
    /// Converts all times to a clock that is ahead by `by` of the clock with which they were written.
    pub fn with_clock_offset(mut self, by: ClockOffset) -> Self {
        self.started = self.started.map(|at| with_clock_offset(at, by));
        self.updated_at = self.updated_at.map(|at| with_clock_offset(at, by));
        self.slow_start_slots.iter_mut().for_each(|(at, _)| *at = with_clock_offset(*at, by));
        for known in self.backends.values_mut() {
            let times = [
                &mut known.started,
                &mut known.failures_at,
                &mut known.load_limit_cut_at,
                &mut known.slow_until,
                &mut known.next_shed_at,
                &mut known.tokens_at,
            ];
            times.into_iter().for_each(|at| *at = with_clock_offset(*at, by));
        }
        self
    }
}

impl Balancer {
    /// Returns what this module has learned so far.
    pub fn learned_state(&self) -> LearnedState {
        let finite = |value: f64| Some(value).filter(|value| value.is_finite());
        let learned_backend = |i: usize| {
            let backend = &self.backends[i];
            LearnedBackend {
                started: backend.started,
                failures: backend.failures,
                failures_at: backend.failures_at,
                load_limit: finite(backend.load_limit),
                load_limit_cut_at: backend.load_limit_cut_at,
                slow_until: backend.slow_until,
                next_shed_at: backend.next_shed_at,
                tokens: backend.tokens,
                tokens_at: backend.tokens_at,
            }
        };
        LearnedState {
            started: self.started,
            setup_count: self.setups,
            bin_width: self.admission.bin_width,
            bins: self.admission.bins.clone(),
            min_delay: finite(self.admission.min_delay),
            arrival_rate: self.admission.arrival_rate,
            admit_probability: self.admission.admit_probability,
            slow_start_slots: self.slow_start_slots.iter().copied().collect(),
            updated_at: Some(self.freshness.updated_at),
            backends: self.index.iter().map(|(name, &i)| (name.to_string(), learned_backend(i))).collect(),
        }
    }

    /// Restores what another module learned, for the backends that an endpoint list has named here.
    pub(crate) fn restore_learned_state(&mut self, learned: LearnedState) {
        self.started = learned.started.or(self.started);
        self.setups += learned.setup_count;
        self.slow_start_slots = learned.slow_start_slots.into();
        // Keeps the age of the endpoint list. Otherwise an old list would count as new in another process.
        self.freshness.updated_at = learned.updated_at.unwrap_or(self.freshness.updated_at);
        let admission = &mut self.admission;
        (admission.bin_width, admission.bins, admission.admit_probability) =
            (learned.bin_width, learned.bins, learned.admit_probability);
        admission.min_delay = learned.min_delay.unwrap_or(f64::INFINITY);
        admission.arrival_rate = learned.arrival_rate;
        for (name, learned_backend) in learned.backends {
            let Some(&i) = self.index.get(name.as_str()) else { continue };
            let backend = &mut self.backends[i];
            // This start time belongs to the endpoint list that is handed over with it. Unlike a time
            // reported by discovery, it does not depend on a clock that may be wrong.
            backend.started = learned_backend.started;
            (backend.failures, backend.failures_at) = (learned_backend.failures, learned_backend.failures_at);
            (backend.load_limit, backend.load_limit_cut_at) =
                (learned_backend.load_limit.unwrap_or(f64::INFINITY), learned_backend.load_limit_cut_at);
            (backend.slow_until, backend.next_shed_at) =
                (learned_backend.slow_until, learned_backend.next_shed_at);
            (backend.tokens, backend.tokens_at) = (learned_backend.tokens, learned_backend.tokens_at);
        }
    }
}
