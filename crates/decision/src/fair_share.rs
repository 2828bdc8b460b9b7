//! What one of many relays may take of room that all of them see: the part of a cold backend's budget, and of the
//! room that reports promise. Bounds and weighs for `logic`, which decides.

use crate::api::Micros;
use crate::logic::{Balancer, EVALUATION_INTERVAL_US, SLOW_START_UTILIZATION};

/// Load of a connection before any was told; microseconds of work a second. Ten fill a core: the bench's page on this
/// kind of service says 15 to 60, and a class may be heavier than the usual.
const UNTOLD_LOAD: f64 = 100_000.0;
/// Weighs as much as so many told loads; connections.
const UNTOLD_WEIGHT: f64 = 4.0;
/// The shortest mean life of a connection by that page: what is known before ours have lived; seconds...
const LEAST_LIFE: f64 = 25.0;
/// ...and weighs as much as so many ends; connections.
const LIFE_WEIGHT: f64 = 2.0;
/// Of a cold budget is saved, up to one connection where windows hold less: a burst would spend what is over; windows.
const SAVED_WINDOWS: f64 = 8.0;
/// Part of its capacity that a fleet is used at: what is known of arrivals before any came; no unit.
const USUAL: f64 = 0.8;
/// Own arrivals are counted this far back, and what is known before weighs as much: soon enough for a storm, which
/// lasts some seconds; microseconds.
const SEEN: Micros = 2_000_000;
/// A load that is read was true up to half a second before it came, by the brief, and is gone by for
/// `EVALUATION_INTERVAL_US`; microseconds.
const BLIND: Micros = EVALUATION_INTERVAL_US + 500_000;

/// Connections that fill a core, from the sum of the loads of `told` connections.
fn core_holds(told: f64, sum: f64) -> f64 {
    1e6 * (UNTOLD_WEIGHT + told) / (UNTOLD_WEIGHT * UNTOLD_LOAD + sum)
}

/// Mean life of a connection where so many stand and came in that time, in seconds: what stands is what came times
/// how long it stays.
fn life(standing: f64, came: f64, seconds: f64) -> f64 {
    ((LIFE_WEIGHT * LEAST_LIFE + standing * seconds) / (LIFE_WEIGHT + came)).max(LEAST_LIFE)
}

/// Arrivals a second at a fleet that holds so many connections when full, which live so long: `seen` came to one of its
/// relays within `SEEN`, besides the one that asks.
fn arrivals(seen: usize, holds: f64, life: f64, proxies: f64) -> f64 {
    let (usual, span) = (holds * USUAL / life, SEEN as f64 / 1e6);
    (usual + proxies * seen as f64 / span) / 2.0
}

/// The part of those who arrive while nobody sees what the others do that finds room: `room` is free of a fleet that
/// holds so many connections when full, and each takes up `loads` mean loads.
fn part(room: f64, loads: f64, holds: f64, arrivals: f64) -> f64 {
    room * holds / (loads * arrivals * BLIND as f64 / 1e6).max(f64::MIN_POSITIVE)
}

/// A number from 0 to 1 by the relay, the request and the second: asking again at once draws no other, and relays that
/// number their requests alike do not draw alike.
fn lot(proxy: u64, id: u64, now: Micros) -> f64 {
    let mut of_proxy = fastrand::Rng::with_seed(proxy);
    fastrand::Rng::with_seed(
        of_proxy.u64(..) ^ id.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (now / EVALUATION_INTERVAL_US),
    )
    .f64()
}

impl Balancer {
    /// Connections that fill a backend of size one: by the loads that we were told of, a core of them. Where weights
    /// state no sizes, a backend holds what one of them carries now at least, if all relays hold what we do.
    fn unit_holds(&self) -> f64 {
        let core = core_holds(f64::from(self.total.open - self.total.unknown_count), self.total.known_load);
        // Those that stand: attempts that are out say what is wanted, not what is carried.
        let ours: usize = self.backends_in_use.iter().map(|&i| self.backends[i].established.len()).sum();
        let carried = f64::from(self.settings.proxies) * ours as f64;
        match self.settings.sized_weights {
            true => core,
            false => core.max(carried / self.admission.capacity.max(1.0)),
        }
    }

    /// Our part of the connections that all may open in a window at backends of that size, were they warm.
    pub(crate) fn slow_start_quota(&self, size: f64, part: f64) -> f64 {
        let (window, proxies) = (
            self.settings.overload_window as f64 / self.settings.slow_start_duration as f64,
            self.settings.proxies,
        );
        size * self.unit_holds() * part * self.settings.overload_multiple * window / f64::from(proxies)
    }

    /// Of few relays: our part of a cold budget, saved up to now. A backend can do what it took
    /// while warm: our rate of set-ups to one, and not of tries, as clients that come again say nothing.
    pub(crate) fn tokens(&self, i: usize, now: Micros, share: f64) -> f64 {
        let fall = self.settings.overload_window as f64 / 1e6;
        let age = now.saturating_sub(self.started.unwrap_or(now)).max(self.admission.tick) as f64 / 1e6;
        let part = self.weight(i) * SLOW_START_UTILIZATION / self.admission.capacity.max(f64::MIN_POSITIVE);
        // All relays together send a cold backend a connection in two windows, whatever was seen before.
        let least = 0.5 / (fall * f64::from(self.settings.proxies)).max(1e-3);
        let seen = self.setups as f64 / age * part * share * self.settings.overload_multiple;
        let rate = self.slow_start_refill(i, share, seen.max(least) * fall) / fall;
        let (window, passed) = (rate * fall, now.saturating_sub(self.backends[i].tokens_at) as f64 / 1e6);
        (self.backends[i].tokens + rate * passed).min(window.max((window * SAVED_WINDOWS).min(1.0)))
    }

    /// Draws one of the open backends by its room, in cores, with the chance that there is room for all who arrive;
    /// none of them where others take it. `None` where nothing is to be drawn: there is room for all, or the first
    /// one is still to be asked how full it is. `among` are the backends from which the fleet's room is told.
    pub(crate) fn draw_by_headroom(
        &self,
        now: Micros,
        id: u64,
        among: &[usize],
        open: &[usize],
        room: impl Fn(&usize) -> Option<f64>,
    ) -> Option<Option<usize>> {
        room(open.first()?)?;
        let rooms: Vec<f64> = open.iter().map(|i| room(i).unwrap_or(0.0)).collect();
        let (all, size) = (rooms.iter().sum::<f64>(), among.iter().map(|&i| self.weight(i)).sum::<f64>());
        let holds = self.ready().map(|i| self.weight(i)).sum::<f64>() * self.unit_holds();
        let age = now.saturating_sub(self.started.unwrap_or(now)) as f64 / 1e6;
        let life = life(f64::from(self.total.open), self.setups as f64, age);
        let seen = self.accepted.iter().rev().take_while(|&&at| at + SEEN > now).count().saturating_sub(1);
        // A group costs a backend one mean load more, whatever comes of it.
        let loads = if self.settings.groups { 2.0 } else { 1.0 };
        let part =
            part(all / size, loads, holds, arrivals(seen, holds, life, f64::from(self.settings.proxies)));
        let mut at = lot(self.seed, id, now) / part * all;
        let mut takes = |room: &f64| {
            at -= room;
            at < 0.0
        };
        (part < 1.0).then(|| rooms.iter().position(&mut takes).map(|n| open[n]))
    }
}

#[cfg(test)]
mod tests;
