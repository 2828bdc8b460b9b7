//! What a module has learned, for the one that goes on in its place. Requests are not part of it. Nothing here decides.

use crate::admission::CurveBin;
use crate::api::Micros;
use crate::state::Balancer;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What is known of one backend beside the list. Times are on the clock that all processes read.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct LearnedBackend {
    started: Micros,
    failures: f64,
    failed_at: Micros,
    /// None where it was never slow.
    #[serde(rename = "ceiling")]
    load_limit: Option<f64>,
    #[serde(rename = "cut_at")]
    load_limit_cut_at: Micros,
    slow_until: Micros,
    shed_until: Micros,
    tokens: f64,
    tokens_at: Micros,
}

/// All that a module has learned since its start.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LearnedState {
    since: Option<Micros>,
    set_ups: u64,
    width: f64,
    #[serde(rename = "slices")]
    bins: Vec<CurveBin>,
    /// None before anything was set up.
    least_delay: Option<f64>,
    arrival_rate: f64,
    #[serde(rename = "p")]
    admit_probability: f64,
    #[serde(rename = "turns")]
    slow_start_slots: Vec<(Micros, f64)>,
    /// When the list was last told, which goes with it; none from a version that did not say so.
    #[serde(rename = "told_at", default)]
    updated_at: Option<Micros>,
    backends: BTreeMap<String, LearnedBackend>,
}

/// How far one clock is before another; microseconds.
pub type ClockOffset = i64;

/// A time of a clock, by one that is so far before it; what never was stays so.
pub fn moved(at: Micros, by: ClockOffset) -> Micros {
    if at == 0 { 0 } else { at.saturating_add_signed(by) }
}

impl LearnedState {
    /// The same by a clock that is so far before the one by which its times were written.
    pub fn moved(mut self, by: ClockOffset) -> Self {
        self.since = self.since.map(|at| moved(at, by));
        self.updated_at = self.updated_at.map(|at| moved(at, by));
        self.slow_start_slots.iter_mut().for_each(|(at, _)| *at = moved(*at, by));
        for known in self.backends.values_mut() {
            let times = [
                &mut known.started,
                &mut known.failed_at,
                &mut known.load_limit_cut_at,
                &mut known.slow_until,
                &mut known.shed_until,
                &mut known.tokens_at,
            ];
            times.into_iter().for_each(|at| *at = moved(*at, by));
        }
        self
    }
}

impl Balancer {
    /// What it has learned so far.
    pub fn learned_state(&self) -> LearnedState {
        let finite = |value: f64| Some(value).filter(|value| value.is_finite());
        let known = |i: usize| {
            let backend = &self.backends[i];
            LearnedBackend {
                started: backend.started,
                failures: backend.failures,
                failed_at: backend.failed_at,
                load_limit: finite(backend.load_limit),
                load_limit_cut_at: backend.load_limit_cut_at,
                slow_until: backend.slow_until,
                shed_until: backend.shed_until,
                tokens: backend.tokens,
                tokens_at: backend.tokens_at,
            }
        };
        LearnedState {
            since: self.started,
            set_ups: self.set_ups,
            width: self.admission.bin_width,
            bins: self.admission.bins.clone(),
            least_delay: finite(self.admission.min_delay),
            arrival_rate: self.admission.arrival_rate,
            admit_probability: self.admission.admit_probability,
            slow_start_slots: self.slow_start_slots.iter().copied().collect(),
            updated_at: Some(self.freshness.updated_at),
            backends: self.index.iter().map(|(name, &i)| (name.to_string(), known(i))).collect(),
        }
    }

    /// Goes on with what another learned, for the backends that a list named here.
    pub(crate) fn restore_learned_state(&mut self, learned: LearnedState) {
        self.started = learned.since.or(self.started);
        self.set_ups += learned.set_ups;
        self.slow_start_slots = learned.slow_start_slots.into();
        // Guards against an old list that counts as told anew because another process holds it.
        self.freshness.updated_at = learned.updated_at.unwrap_or(self.freshness.updated_at);
        let admission = &mut self.admission;
        (admission.bin_width, admission.bins, admission.admit_probability) =
            (learned.width, learned.bins, learned.admit_probability);
        admission.min_delay = learned.least_delay.unwrap_or(f64::INFINITY);
        admission.arrival_rate = learned.arrival_rate;
        for (name, known) in learned.backends {
            let Some(&i) = self.index.get(name.as_str()) else { continue };
            let backend = &mut self.backends[i];
            // It comes with the list that it goes with, and was not read by a clock that may be wrong.
            backend.started = known.started;
            (backend.failures, backend.failed_at) = (known.failures, known.failed_at);
            (backend.load_limit, backend.load_limit_cut_at) =
                (known.load_limit.unwrap_or(f64::INFINITY), known.load_limit_cut_at);
            (backend.slow_until, backend.shed_until) = (known.slow_until, known.shed_until);
            (backend.tokens, backend.tokens_at) = (known.tokens, known.tokens_at);
        }
    }
}
