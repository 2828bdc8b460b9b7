//! Admission control by a learned curve of setup delay over admitted rate. The curve gives the rate of
//! connection setups that the backends take before setup exceeds its target delay, and so the share of new
//! clients to admit. The module holds the admission rule, the learning, the flash mode and the rescaling
//! after a change of capacity.

use crate::api::Micros;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Weight of the newest tick in the exponentially weighted moving average of the arrival rate.
const ARRIVAL_EWMA_WEIGHT: f64 = 0.5;
/// Number of bins that a typical admitted rate spans. Bins are wide enough that ticks of equal load share
/// one.
const BINS_PER_RATE: f64 = 4.0;
/// Standard error up to which a bin is trusted: a quarter of a bin width for the rate, and of the setup
/// target for the delay, as a whole width or target is the difference that matters.
const MAX_STANDARD_ERROR: f64 = 0.25;
/// Flash mode starts when the admitted rate is this many deviations over the limit, which rarely happens by
/// chance.
const FLASH_MODE_DEVIATIONS: f64 = 3.0;
/// The setup delay of a tick is this percentile of its delays.
const DELAY_PERCENTILE: usize = 95;
/// The window of recent admissions holds at most this many.
const MAX_WINDOW_ADMISSIONS: usize = 10_000;

/// A bin of the learned curve: the mean and the sum of squared deviations of both coordinates over `count`
/// ticks. Rates are in bin widths, delays in setup targets.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(crate) struct CurveBin {
    #[serde(rename = "n")]
    pub count: f64,
    pub rate: f64,
    pub delay: f64,
    #[serde(rename = "rate_dev")]
    pub rate_sum_sq: f64,
    #[serde(rename = "delay_dev")]
    pub delay_sum_sq: f64,
}

impl CurveBin {
    /// Adds the ticks of another bin.
    pub fn merge(&mut self, other: &CurveBin) {
        let count = self.count + other.count;
        let (rate_diff, delay_diff) = (other.rate - self.rate, other.delay - self.delay);
        let weight = self.count * other.count / count;
        self.rate_sum_sq += other.rate_sum_sq + rate_diff * rate_diff * weight;
        self.delay_sum_sq += other.delay_sum_sq + delay_diff * delay_diff * weight;
        self.rate += rate_diff * other.count / count;
        self.delay += delay_diff * other.count / count;
        self.count = count;
    }

    /// Standard deviations of the rate and of the delay.
    pub fn deviations(&self) -> (f64, f64) {
        let degrees_of_freedom = (self.count - 1.0).max(1.0);
        ((self.rate_sum_sq / degrees_of_freedom).sqrt(), (self.delay_sum_sq / degrees_of_freedom).sqrt())
    }

    /// Sets the standard deviations of both coordinates and the number of ticks that they are taken over.
    pub fn set_deviations(&mut self, rate: f64, delay: f64, count: f64) {
        self.count = count;
        (self.rate_sum_sq, self.delay_sum_sq) = (rate * rate * (count - 1.0), delay * delay * (count - 1.0));
    }
}

/// State of the admission control: the learned curve, the counts of the current tick and the flash mode.
pub(crate) struct Admission {
    /// Length of a tick.
    pub tick: Micros,
    /// Start of the current tick.
    pub tick_started_at: Micros,
    /// Listed capacity of the ready backends, in units of their weights.
    pub capacity: f64,
    /// Width of a bin in connections per second; 0 until the first tick with admissions.
    pub bin_width: f64,
    pub bins: Vec<CurveBin>,
    /// The lowest delay of any tick, in setup targets; infinite before the first.
    pub min_delay: f64,
    /// Arrivals of the current tick.
    pub arrivals: u32,
    /// Admissions of the current tick.
    pub admitted: u32,
    /// Setup delays of the current tick, in setup targets.
    pub delays: Vec<f64>,
    /// Moving average of the arrival rate, in connections per second.
    pub arrival_rate: f64,
    /// Admitted rate at which the delay meets its target, in connections per second; `None` without a curve.
    pub limit: Option<f64>,
    pub admit_probability: f64,
    /// Whether flash mode is on: the admission probability follows recent arrivals, and learning stops.
    pub flash_mode: bool,
    /// Admitted rates of ticks in which some traffic was blocked, in connections per second.
    pub rate_while_blocking: CurveBin,
    /// Times of the latest admissions.
    pub recent_admitted: VecDeque<Micros>,
    /// Times of the arrivals since the first of these admissions.
    pub recent_arrivals: VecDeque<Micros>,
}

impl Admission {
    /// Records an arrival and trims the window to the last `keep` admissions. Returns the start of the
    /// window, its number of arrivals and its number of admissions.
    pub fn update_window(&mut self, now: Micros, keep: usize) -> (Micros, usize, usize) {
        self.recent_arrivals.push_back(now);
        let excess = self.recent_admitted.len().saturating_sub(keep.clamp(1, MAX_WINDOW_ADMISSIONS));
        self.recent_admitted.drain(..excess);
        let start = self.recent_admitted.front().copied().unwrap_or(now);
        while self.recent_arrivals.front().is_some_and(|&arrived_at| arrived_at < start) {
            self.recent_arrivals.pop_front();
        }
        (start, self.recent_arrivals.len(), self.recent_admitted.len())
    }

    /// Rescales the learned curve and the limit to another capacity. The tick count of each bin becomes the
    /// one at which its standard errors are just trusted.
    pub fn scale(&mut self, capacity: f64) {
        let ratio = capacity / std::mem::replace(&mut self.capacity, capacity);
        if ratio == 1.0 || ratio.is_infinite() {
            return;
        }
        for mut bin in std::mem::take(&mut self.bins) {
            let (rate_deviation, delay_deviation) = bin.deviations();
            bin.rate *= ratio;
            let count = (ratio * rate_deviation / MAX_STANDARD_ERROR)
                .powi(2)
                .max((delay_deviation / MAX_STANDARD_ERROR).powi(2));
            bin.set_deviations(ratio * rate_deviation, delay_deviation, count.max(2.0));
            self.add_point(bin);
        }
        self.limit = self.limit.map(|limit| limit * ratio);
    }

    /// Merges a point into the bin of its rate.
    pub fn add_point(&mut self, point: CurveBin) {
        match self.bins.iter_mut().find(|bin| bin.rate.floor() == point.rate.floor()) {
            Some(bin) => bin.merge(&point),
            None => self.bins.push(point),
        }
    }

    /// Admits everything until a curve is learned.
    pub fn new(tick: Micros) -> Self {
        Admission {
            tick,
            tick_started_at: 0,
            capacity: 0.0,
            bin_width: 0.0,
            bins: Vec::new(),
            min_delay: f64::INFINITY,
            arrivals: 0,
            admitted: 0,
            delays: Vec::new(),
            arrival_rate: 0.0,
            limit: None,
            admit_probability: 1.0,
            flash_mode: false,
            rate_while_blocking: CurveBin::default(),
            recent_admitted: VecDeque::new(),
            recent_arrivals: VecDeque::new(),
        }
    }
}

/// Whether the standard errors of a bin are small enough. A single tick has no deviation, so it is never
/// trusted.
fn is_trusted(bin: &CurveBin) -> bool {
    let (rate, delay) = bin.deviations();
    bin.count >= 2.0 && rate.max(delay) / bin.count.sqrt() <= MAX_STANDARD_ERROR
}

impl Admission {
    /// The rate at which the delay of the curve meets its target, in bin widths; `None` without a curve.
    fn rate_at_target(&self) -> Option<f64> {
        let mut points: Vec<CurveBin> = Vec::new();
        let mut trusted: Vec<CurveBin> = self.bins.iter().filter(|bin| is_trusted(bin)).copied().collect();
        trusted.sort_by(|a, b| a.rate.total_cmp(&b.rate));
        let lowest = trusted.first()?.rate;
        // Bins are merged until both coordinates rise from each point to the next.
        for mut bin in trusted {
            while points.last().is_some_and(|last| last.rate >= bin.rate || last.delay >= bin.delay) {
                bin.merge(&points.pop()?);
            }
            points.push(bin);
        }
        let (mut previous_rate, mut previous_delay) = (0.0, self.min_delay);
        if previous_delay >= 1.0 {
            return Some(lowest);
        }
        let mut slope = 0.0;
        for point in &points {
            slope = (point.delay - previous_delay) / (point.rate - previous_rate).max(f64::EPSILON);
            if point.delay >= 1.0 {
                break;
            }
            (previous_rate, previous_delay) = (point.rate, point.delay);
        }
        Some(if slope > 0.0 { previous_rate + (1.0 - previous_delay) / slope } else { f64::INFINITY })
    }

    /// Ends a tick: adds its point to the curve and updates the limit and the admission probability.
    pub fn on_tick(&mut self, now: Micros) {
        let seconds = (now - self.tick_started_at).max(1) as f64 / 1e6;
        let (tick_arrival_rate, tick_admitted_rate) =
            (f64::from(self.arrivals) / seconds, f64::from(self.admitted) / seconds);
        self.arrival_rate =
            ARRIVAL_EWMA_WEIGHT * tick_arrival_rate + (1.0 - ARRIVAL_EWMA_WEIGHT) * self.arrival_rate;
        if self.admit_probability < 1.0 {
            self.rate_while_blocking.merge(&CurveBin {
                count: 1.0,
                rate: tick_admitted_rate,
                ..CurveBin::default()
            });
        }
        if self.bin_width == 0.0 && tick_admitted_rate > 0.0 {
            self.bin_width = tick_admitted_rate / BINS_PER_RATE;
        }
        if !self.flash_mode && !self.delays.is_empty() && self.bin_width > 0.0 {
            self.delays.sort_by(f64::total_cmp);
            let rank = (self.delays.len() * DELAY_PERCENTILE).div_ceil(100) - 1;
            let delay = self.delays[rank];
            self.min_delay = self.min_delay.min(delay);
            self.add_point(CurveBin {
                count: 1.0,
                rate: tick_admitted_rate / self.bin_width,
                delay,
                ..CurveBin::default()
            });
        }
        self.limit = self.rate_at_target().map(|rate| rate * self.bin_width);
        if !self.flash_mode {
            self.admit_probability = self.limit.map_or(1.0, |limit| (limit / self.arrival_rate).min(1.0));
        }
        (self.tick_started_at, self.arrivals, self.admitted) = (now, 0, 0);
        self.delays.clear();
    }

    /// Counts an arrival that the limit applies to. In flash mode it also updates the admission probability.
    pub fn on_arrival(&mut self, now: Micros) {
        self.arrivals += 1;
        let Some(limit) = self.limit.filter(|limit| limit.is_finite()) else { return };
        let keep = (limit * self.tick as f64 / 1e6).floor() as usize;
        let (start, arrivals, admissions) = self.update_window(now, keep);
        if self.flash_mode {
            let seconds = (now - start).max(1) as f64 / 1e6;
            self.admit_probability = (limit * seconds / arrivals as f64).min(1.0);
            self.flash_mode = admissions as f64 >= limit * seconds;
        }
    }

    /// Counts an admission. Flash mode starts when the tick has admitted significantly more than the limit
    /// allows.
    pub fn on_admitted(&mut self, now: Micros) {
        self.admitted += 1;
        let Some(limit) = self.limit.filter(|limit| limit.is_finite()) else { return };
        self.recent_admitted.push_back(now);
        let seconds = (now - self.tick_started_at).max(1) as f64 / 1e6;
        let (admitted, tick_seconds) = (f64::from(self.admitted), self.tick as f64 / 1e6);
        let deviation = self.rate_while_blocking.deviations().0.max((limit / tick_seconds).sqrt());
        if admitted / seconds > limit + FLASH_MODE_DEVIATIONS * deviation && admitted > limit * tick_seconds {
            self.flash_mode = true;
        }
    }
}

#[cfg(test)]
mod tests;
