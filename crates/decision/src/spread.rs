//! What one of many relays may take of room that all of them see: the part of a cold backend's budget, and of the
//! room that reports promise. Bounds and weighs for `logic`, which decides.

use crate::api::Micros;
use crate::logic::{Balancer, PACE};

/// Connections that fill a core where the fewest do, by the operators' brief: the guide to what is cold.
const CORE_HOLDS: f64 = 11.0;
/// Life of a connection, in the middle of the operators' brief; seconds.
const LIFE: f64 = 39.0;
/// Part of its capacity that a fleet is used at: what is known of arrivals before any came; no unit.
const USUAL: f64 = 0.8;
/// Own arrivals are counted this far back, and what is known before weighs as much: soon enough for a storm, which
/// lasts some seconds; microseconds.
const SEEN: Micros = 2_000_000;
/// A load that is read was true up to half a second before it came, by the brief, and is gone by for `PACE`;
/// microseconds.
const BLIND: Micros = PACE + 500_000;

/// Arrivals a second at a fleet: `seen` came to one of its relays within `SEEN`, besides the one that asks.
fn arrivals(seen: usize, cores: f64, relays: f64) -> f64 {
    let (usual, span) = (cores * CORE_HOLDS * USUAL / LIFE, SEEN as f64 / 1e6);
    (usual + relays * seen as f64 / span) / 2.0
}

/// The part of those who arrive while nobody sees what the others do that finds room: `room` is free of a fleet's
/// capacity, and each takes up `loads` mean loads.
fn part(room: f64, loads: f64, cores: f64, arrivals: f64) -> f64 {
    room * cores * CORE_HOLDS / (loads * arrivals * BLIND as f64 / 1e6).max(f64::MIN_POSITIVE)
}

/// A number from 0 to 1 by the relay, the request and the second: asking again at once draws no other, and relays that
/// number their requests alike do not draw alike.
fn lot(relay: u64, id: u64, now: Micros) -> f64 {
    let mut of_relay = fastrand::Rng::with_seed(relay);
    fastrand::Rng::with_seed(of_relay.u64(..) ^ id.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (now / PACE)).f64()
}

impl Balancer {
    /// Our part of the connections that all may open in a window at backends of that size, were they warm.
    pub(crate) fn cold_part(&self, size: f64, part: f64) -> f64 {
        let (window, relays) = (self.settings.fall as f64 / self.settings.cold as f64, self.settings.relays);
        size * CORE_HOLDS * part * self.settings.fall_multiple * window / f64::from(relays)
    }

    /// Draws one of the open backends by its room, in cores, with the chance that there is room for all who arrive;
    /// none of them where others take it. `None` where nothing is to be drawn: there is room for all, or the first
    /// one is still to be asked how full it is. `among` are the backends from which the fleet's room is told.
    pub(crate) fn draw_room(
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
        let cores: f64 = self.ready().map(|i| self.weight(i)).sum();
        let seen = self.accepted.iter().rev().take_while(|&&at| at + SEEN > now).count().saturating_sub(1);
        // A group costs a backend one mean load more, whatever comes of it.
        let loads = if self.settings.groups { 2.0 } else { 1.0 };
        let part = part(all / size, loads, cores, arrivals(seen, cores, f64::from(self.settings.relays)));
        let mut at = lot(self.seed, id, now) / part * all;
        let mut takes = |room: &f64| {
            at -= room;
            at < 0.0
        };
        (part < 1.0).then(|| rooms.iter().position(&mut takes).map(|n| open[n]))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_find_room_as_long_as_there_is_room_for_all() {
        // Eleven a core, a fifth of it free, nobody but the usual: 2,475 places, 50.8 arrivals a second.
        let usual = arrivals(0, 225.0, 300.0) * 2.0;
        assert!((usual - 50.77).abs() < 0.01, "{usual}");
        assert!(part(0.2, 2.0, 225.0, usual) > 3.0);
        // Of 500 a second, one in three: 247 mean loads are free, and 750 connections come with two each.
        assert!((part(0.1, 2.0, 225.0, 500.0) - 0.165).abs() < 1e-3);
        assert_eq!(part(0.0, 2.0, 225.0, 500.0), 0.0);
    }

    #[test]
    fn arrivals_of_one_relay_tell_of_all_and_none_tells_of_few() {
        // One a second at each of 300: half of it is believed, beside half of the usual.
        assert!((arrivals(2, 225.0, 300.0) - 175.4).abs() < 0.1);
        assert!(arrivals(0, 225.0, 300.0) < 26.0);
    }

    #[test]
    fn a_lot_is_even_and_holds_for_a_second_at_one_relay() {
        for mean in [
            (0..1_000).map(|id| lot(1, id, 7 * PACE)).sum::<f64>() / 1_000.0,
            (0..1_000).map(|relay| lot(relay, 3, 7 * PACE)).sum::<f64>() / 1_000.0,
        ] {
            assert!((mean - 0.5).abs() < 0.03, "{mean}");
        }
        assert_eq!(lot(1, 5, 7 * PACE), lot(1, 5, 7 * PACE + 999_999));
        assert_ne!(lot(1, 5, 7 * PACE), lot(1, 5, 8 * PACE));
    }
}
