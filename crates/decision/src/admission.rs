//! Admission by the learned curve: what rate of set-ups the fleet takes before they take longer than is wanted, and which
//! part of the newcomers passes. The design's rule, learning, flash mode and change of capacity.

use crate::api::Micros;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Weight of the newest tick in the arrival estimate (the paper's alpha); no unit.
const ARRIVAL_WEIGHT: f64 = 0.5;
/// Slices a typical admitted rate spans: wide enough that ticks of equal load share one; no unit.
const SLICES_PER_RATE: f64 = 4.0;
/// Standard error up to which a slice is trusted, in slice widths and in aims: a quarter of what matters.
const TRUST_ERROR: f64 = 0.25;
/// Flash mode needs the admitted rate this many deviations over its limit: rare by chance; no unit.
const FLASH_DEVIATIONS: f64 = 3.0;

/// A slice of the learned curve: mean and squared deviations of both coordinates over `n` ticks.
/// Rate in slice widths, delay in aims.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(crate) struct CurveBin {
    pub n: f64,
    pub rate: f64,
    pub delay: f64,
    pub rate_dev: f64,
    pub delay_dev: f64,
}

impl CurveBin {
    pub fn merge(&mut self, other: &CurveBin) {
        let n = self.n + other.n;
        let (dr, dd) = (other.rate - self.rate, other.delay - self.delay);
        let part = self.n * other.n / n;
        self.rate_dev += other.rate_dev + dr * dr * part;
        self.delay_dev += other.delay_dev + dd * dd * part;
        self.rate += dr * other.n / n;
        self.delay += dd * other.n / n;
        self.n = n;
    }

    pub fn deviations(&self) -> (f64, f64) {
        let d = (self.n - 1.0).max(1.0);
        ((self.rate_dev / d).sqrt(), (self.delay_dev / d).sqrt())
    }

    /// Sets the deviations of both coordinates and the number of ticks that they stand for.
    pub fn set_deviations(&mut self, rate: f64, delay: f64, n: f64) {
        self.n = n;
        (self.rate_dev, self.delay_dev) = (rate * rate * (n - 1.0), delay * delay * (n - 1.0));
    }
}

/// The books of the paper's admission control.
pub(crate) struct Admission {
    pub tick: Micros,
    pub tick_at: Micros,
    /// Listed capacity of the ready backends, in their weights.
    pub capacity: f64,
    /// Slice width, connections a second; 0 until the first tick with admissions.
    pub width: f64,
    pub bins: Vec<CurveBin>,
    pub least_delay: f64,
    pub arrivals: u32,
    pub admitted: u32,
    /// Set-up delays of this tick, in aims.
    pub delays: Vec<f64>,
    pub arrival_rate: f64,
    pub limit: Option<f64>,
    pub admit_probability: f64,
    pub flash: bool,
    /// Admitted rates while some traffic was blocked; connections a second.
    pub blocked: CurveBin,
    pub recent_admitted: VecDeque<Micros>,
    pub recent_arrivals: VecDeque<Micros>,
}

impl Admission {
    /// Enters an arrival and trims the window to the last `keep` admissions: when it begins, its arrivals
    /// and its admissions.
    pub fn window(&mut self, now: Micros, keep: usize) -> (Micros, usize, usize) {
        self.recent_arrivals.push_back(now);
        let over = self.recent_admitted.len().saturating_sub(keep.clamp(1, 10_000));
        self.recent_admitted.drain(..over);
        let from = self.recent_admitted.front().copied().unwrap_or(now);
        while self.recent_arrivals.front().is_some_and(|&t| t < from) {
            self.recent_arrivals.pop_front();
        }
        (from, self.recent_arrivals.len(), self.recent_admitted.len())
    }

    /// Carries what was learned over to another capacity.
    pub fn scale(&mut self, capacity: f64) {
        let rho = capacity / std::mem::replace(&mut self.capacity, capacity);
        if rho == 1.0 || rho.is_infinite() {
            return;
        }
        for mut bin in std::mem::take(&mut self.bins) {
            let (r, d) = bin.deviations();
            bin.rate *= rho;
            let n = (rho * r / TRUST_ERROR).powi(2).max((d / TRUST_ERROR).powi(2));
            bin.set_deviations(rho * r, d, n.max(2.0));
            self.add(bin);
        }
        self.limit = self.limit.map(|limit| limit * rho);
    }

    /// Enters a tick's point in its slice.
    pub fn add(&mut self, point: CurveBin) {
        match self.bins.iter_mut().find(|s| s.rate.floor() == point.rate.floor()) {
            Some(bin) => bin.merge(&point),
            None => self.bins.push(point),
        }
    }

    pub fn new(tick: Micros) -> Self {
        Admission {
            tick,
            tick_at: 0,
            capacity: 0.0,
            width: 0.0,
            bins: Vec::new(),
            least_delay: f64::INFINITY,
            arrivals: 0,
            admitted: 0,
            delays: Vec::new(),
            arrival_rate: 0.0,
            limit: None,
            admit_probability: 1.0,
            flash: false,
            blocked: CurveBin::default(),
            recent_admitted: VecDeque::new(),
            recent_arrivals: VecDeque::new(),
        }
    }
}

/// Standard errors tell; one tick has no deviation to judge it by, so it is never trusted.
fn trusted(bin: &CurveBin) -> bool {
    let (rate, delay) = bin.deviations();
    bin.n >= 2.0 && rate.max(delay) / bin.n.sqrt() <= TRUST_ERROR
}

impl Admission {
    /// The curve's rate at which delay meets the aim, in slice widths; `None` without a curve.
    fn invert(&self) -> Option<f64> {
        let mut points: Vec<CurveBin> = Vec::new();
        let mut trusted: Vec<CurveBin> = self.bins.iter().filter(|s| trusted(s)).copied().collect();
        trusted.sort_by(|a, b| a.rate.total_cmp(&b.rate));
        let lowest = trusted.first()?.rate;
        for mut bin in trusted {
            while points.last().is_some_and(|l| l.rate >= bin.rate || l.delay >= bin.delay) {
                bin.merge(&points.pop()?);
            }
            points.push(bin);
        }
        let (mut r0, mut d0) = (0.0, self.least_delay);
        if d0 >= 1.0 {
            return Some(lowest);
        }
        let mut slope = 0.0;
        for point in &points {
            slope = (point.delay - d0) / (point.rate - r0).max(f64::EPSILON);
            if point.delay >= 1.0 {
                break;
            }
            (r0, d0) = (point.rate, point.delay);
        }
        Some(if slope > 0.0 { r0 + (1.0 - d0) / slope } else { f64::INFINITY })
    }

    /// Closes a tick: its point enters the curve, and the limit and the passing part follow.
    pub fn on_tick(&mut self, now: Micros) {
        let seconds = (now - self.tick_at).max(1) as f64 / 1e6;
        let (inrate, admitted) = (f64::from(self.arrivals) / seconds, f64::from(self.admitted) / seconds);
        self.arrival_rate = ARRIVAL_WEIGHT * inrate + (1.0 - ARRIVAL_WEIGHT) * self.arrival_rate;
        if self.admit_probability < 1.0 {
            self.blocked.merge(&CurveBin { n: 1.0, rate: admitted, ..CurveBin::default() });
        }
        if self.width == 0.0 && admitted > 0.0 {
            self.width = admitted / SLICES_PER_RATE;
        }
        if !self.flash && !self.delays.is_empty() && self.width > 0.0 {
            self.delays.sort_by(f64::total_cmp);
            let rank = (self.delays.len() * 95).div_ceil(100) - 1;
            let delay = self.delays[rank];
            self.least_delay = self.least_delay.min(delay);
            self.add(CurveBin { n: 1.0, rate: admitted / self.width, delay, ..CurveBin::default() });
        }
        self.limit = self.invert().map(|rate| rate * self.width);
        if !self.flash {
            self.admit_probability = self.limit.map_or(1.0, |limit| (limit / self.arrival_rate).min(1.0));
        }
        (self.tick_at, self.arrivals, self.admitted) = (now, 0, 0);
        self.delays.clear();
    }

    /// Counts an arrival that the limit applies to and, in flash mode, resets p.
    pub fn on_arrival(&mut self, now: Micros) {
        self.arrivals += 1;
        let Some(limit) = self.limit.filter(|limit| limit.is_finite()) else { return };
        let keep = (limit * self.tick as f64 / 1e6).floor() as usize;
        let (from, arrivals, admitted) = self.window(now, keep);
        if self.flash {
            let seconds = (now - from).max(1) as f64 / 1e6;
            self.admit_probability = (limit * seconds / arrivals as f64).min(1.0);
            self.flash = admitted as f64 >= limit * seconds;
        }
    }

    /// Counts one that passed; more of them than the limit bears begin flash mode.
    pub fn on_admitted(&mut self, now: Micros) {
        self.admitted += 1;
        let Some(limit) = self.limit.filter(|limit| limit.is_finite()) else { return };
        self.recent_admitted.push_back(now);
        let seconds = (now - self.tick_at).max(1) as f64 / 1e6;
        let (n, tick) = (f64::from(self.admitted), self.tick as f64 / 1e6);
        let deviation = self.blocked.deviations().0.max((limit / tick).sqrt());
        if n / seconds > limit + FLASH_DEVIATIONS * deviation && n > limit * tick {
            self.flash = true;
        }
    }
}

#[cfg(test)]
mod tests;
