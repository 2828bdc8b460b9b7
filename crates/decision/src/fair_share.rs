//! The share that one of many proxies may take of spare capacity which all of them see: of the slow-start
//! budget of a backend, and of the headroom that reports show. This module only computes bounds and weights;
//! `logic` decides.

use crate::api::Micros;
use crate::logic::{Balancer, EVALUATION_INTERVAL_US, SLOW_START_UTILIZATION};

/// Load of a connection before any is measured, in microseconds of work a second. Ten such connections fill a
/// core: services of this kind have 15 to 60 a core, and a class may be heavier than usual.
const DEFAULT_LOAD_US_PER_SECOND: f64 = 100_000.0;
/// Number of connections of known load that this default weighs as much as.
const DEFAULT_LOAD_CONNECTIONS: f64 = 4.0;
/// Mean lifetime of a connection before own ones have ended: the shortest mean in services of this kind.
const MIN_MEAN_LIFETIME_SECONDS: f64 = 25.0;
/// Number of own connections that this lifetime weighs as much as.
const MIN_LIFETIME_CONNECTIONS: f64 = 2.0;
/// Tokens of at most this many windows are saved. Beyond the tokens of one window, the saved ones are limited
/// to one connection in all, as a burst would spend them all at once.
const MAX_SAVED_WINDOWS: f64 = 8.0;
/// Share of their capacity at which all backends are used, as assumed before any arrivals.
const DEFAULT_UTILIZATION: f64 = 0.8;
/// Window in which own arrivals are counted. The assumed arrivals weigh as much. It is short enough for a
/// storm, which lasts some seconds.
const ARRIVAL_WINDOW_US: Micros = 2_000_000;
/// Time for which no proxy sees what the others do. A reported load is up to half a second old when it comes,
/// by the service's contract, and is used for `EVALUATION_INTERVAL_US`.
const REPORT_LAG_US: Micros = EVALUATION_INTERVAL_US + 500_000;

/// Connections that fill a core, from the number of connections of known load and the sum of their loads.
fn connections_per_core(known_count: f64, known_load: f64) -> f64 {
    1e6 * (DEFAULT_LOAD_CONNECTIONS + known_count)
        / (DEFAULT_LOAD_CONNECTIONS * DEFAULT_LOAD_US_PER_SECOND + known_load)
}

/// Mean lifetime of a connection in seconds, where so many are established and so many came in that time. The
/// number of established connections is the arrival rate times the lifetime.
fn mean_lifetime(established: f64, arrived: f64, seconds: f64) -> f64 {
    ((MIN_LIFETIME_CONNECTIONS * MIN_MEAN_LIFETIME_SECONDS + established * seconds)
        / (MIN_LIFETIME_CONNECTIONS + arrived))
        .max(MIN_MEAN_LIFETIME_SECONDS)
}

/// Arrivals a second at all proxies, where the backends hold `capacity` connections that live for `lifetime`
/// seconds. `observed` arrivals came to one of the proxies within `ARRIVAL_WINDOW_US`, besides the one being
/// placed.
fn arrivals_per_second(observed: usize, capacity: f64, lifetime: f64, proxies: f64) -> f64 {
    let (assumed, seconds) = (capacity * DEFAULT_UTILIZATION / lifetime, ARRIVAL_WINDOW_US as f64 / 1e6);
    (assumed + proxies * observed as f64 / seconds) / 2.0
}

/// Share of the arrivals within `REPORT_LAG_US` that find spare capacity. `headroom` is the free share of
/// backends that hold `capacity` connections, and each arrival takes up
/// `mean_loads_per_arrival` mean loads.
fn admitted_share(headroom: f64, mean_loads_per_arrival: f64, capacity: f64, arrivals: f64) -> f64 {
    headroom * capacity
        / (mean_loads_per_arrival * arrivals * REPORT_LAG_US as f64 / 1e6).max(f64::MIN_POSITIVE)
}

/// A number from 0 to 1, determined by the proxy, the request and the second. A retry within the second draws
/// the same number, and proxies that number their requests alike draw different ones.
fn random_draw(proxy_seed: u64, id: u64, now: Micros) -> f64 {
    let mut proxy_rng = fastrand::Rng::with_seed(proxy_seed);
    fastrand::Rng::with_seed(
        proxy_rng.u64(..) ^ id.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (now / EVALUATION_INTERVAL_US),
    )
    .f64()
}

impl Balancer {
    /// Connections that fill a backend of weight 1: by the measured loads, those that fill a core. Where
    /// weights state no sizes, a backend holds at least as many as one carries now, if all proxies hold as
    /// many as this one.
    fn connections_per_weight(&self) -> f64 {
        let per_core = connections_per_core(
            f64::from(self.total.open - self.total.unknown_count),
            self.total.known_load,
        );
        // Only established connections count: attempts in progress show demand, not what backends carry.
        let own_count: usize = self.backends_in_use.iter().map(|&i| self.backends[i].established.len()).sum();
        let carried = f64::from(self.settings.proxies) * own_count as f64;
        match self.settings.sized_weights {
            true => per_core,
            false => per_core.max(carried / self.admission.capacity.max(1.0)),
        }
    }

    /// Share of this proxy in the connections that all proxies may open in a window at backends of that total
    /// weight that are ramped up, if they use `utilization` of the slow-start budget.
    pub(crate) fn slow_start_quota(&self, weight: f64, utilization: f64) -> f64 {
        let (windows, proxies) = (
            self.settings.overload_window as f64 / self.settings.slow_start_duration as f64,
            self.settings.proxies,
        );
        weight * self.connections_per_weight() * utilization * self.settings.overload_multiple * windows
            / f64::from(proxies)
    }

    /// Slow-start tokens of a backend in a small fleet: the share of this proxy in its budget, saved until
    /// `now`. The budget follows from what a backend takes when ramped up: the own rate of setups at one
    /// backend, and not of attempts, as clients that come again say nothing.
    pub(crate) fn tokens(&self, i: usize, now: Micros, share: f64) -> f64 {
        let window = self.settings.overload_window as f64 / 1e6;
        let age = now.saturating_sub(self.started.unwrap_or(now)).max(self.admission.tick) as f64 / 1e6;
        let own_share =
            self.weight(i) * SLOW_START_UTILIZATION / self.admission.capacity.max(f64::MIN_POSITIVE);
        // All proxies together send a backend in slow start a connection in two windows, whatever was
        // observed before.
        let min_rate = 0.5 / (window * f64::from(self.settings.proxies)).max(1e-3);
        let observed_rate = self.setups as f64 / age * own_share * share * self.settings.overload_multiple;
        let rate = self.slow_start_refill(i, share, observed_rate.max(min_rate) * window) / window;
        let (per_window, elapsed) =
            (rate * window, now.saturating_sub(self.backends[i].tokens_at) as f64 / 1e6);
        (self.backends[i].tokens + rate * elapsed)
            .min(per_window.max((per_window * MAX_SAVED_WINDOWS).min(1.0)))
    }

    /// Draws one of the `open` backends in proportion to its headroom, in cores, with the probability that
    /// the request finds spare capacity among all arrivals. `Some(None)`: other requests take that capacity.
    /// `None`: no draw is needed, as there is headroom for all arrivals, or the first backend has no fresh
    /// report yet. The headroom of all backends is extrapolated from `among`.
    pub(crate) fn draw_by_headroom(
        &self,
        now: Micros,
        id: u64,
        among: &[usize],
        open: &[usize],
        headroom: impl Fn(&usize) -> Option<f64>,
    ) -> Option<Option<usize>> {
        headroom(open.first()?)?;
        let headrooms: Vec<f64> = open.iter().map(|i| headroom(i).unwrap_or(0.0)).collect();
        let (total, weight) =
            (headrooms.iter().sum::<f64>(), among.iter().map(|&i| self.weight(i)).sum::<f64>());
        let capacity = self.ready().map(|i| self.weight(i)).sum::<f64>() * self.connections_per_weight();
        let age = now.saturating_sub(self.started.unwrap_or(now)) as f64 / 1e6;
        let lifetime = mean_lifetime(f64::from(self.total.open), self.setups as f64, age);
        let observed = self
            .accepted
            .iter()
            .rev()
            .take_while(|&&at| at + ARRIVAL_WINDOW_US > now)
            .count()
            .saturating_sub(1);
        // Where groups share work, an arrival counts with one mean load more for the work of its group,
        // however many connections of the group follow.
        let mean_loads_per_arrival = if self.settings.groups { 2.0 } else { 1.0 };
        let share = admitted_share(
            total / weight,
            mean_loads_per_arrival,
            capacity,
            arrivals_per_second(observed, capacity, lifetime, f64::from(self.settings.proxies)),
        );
        let mut position = random_draw(self.seed, id, now) / share * total;
        let mut is_drawn = |headroom: &f64| {
            position -= headroom;
            position < 0.0
        };
        (share < 1.0).then(|| headrooms.iter().position(&mut is_drawn).map(|n| open[n]))
    }
}

#[cfg(test)]
mod tests;
