//! The parts of one among many, with figures worked out by hand.

use super::*;

#[test]
fn all_find_room_as_long_as_there_is_room_for_all() {
    // 225 cores of eleven, a fifth of it free, nobody but the usual: 2,475 places, 50.8 arrivals a second.
    let usual = arrivals(0, 2_475.0, 39.0, 300.0) * 2.0;
    assert!((usual - 50.77).abs() < 0.01, "{usual}");
    assert!(part(0.2, 2.0, 2_475.0, usual) > 3.0);
    // Of 500 a second, one in three: 247 mean loads are free, and 750 connections come with two each.
    assert!((part(0.1, 2.0, 2_475.0, 500.0) - 0.165).abs() < 1e-3);
    assert_eq!(part(0.0, 2.0, 2_475.0, 500.0), 0.0);
}

#[test]
fn arrivals_of_one_relay_tell_of_all_and_none_tells_of_few() {
    // One a second at each of 300: half of it is believed, beside half of the usual.
    assert!((arrivals(2, 2_475.0, 39.0, 300.0) - 175.4).abs() < 0.1);
    assert!(arrivals(0, 2_475.0, 39.0, 300.0) < 26.0);
}

// Guards against figures of one deployment in the program: what a core holds and how long connections live is read off
// our own, and a service of heavy or long connections is not taken for one of light or short ones.
#[test]
fn what_a_core_holds_and_how_long_connections_live_is_learned() {
    assert_eq!(core_holds(0.0, 0.0), 10.0);
    // Sixteen of 71,400 each, beside four that count as 100,000: 13 fill a core, and 14 truly do.
    assert!((core_holds(16.0, 16.0 * 71_400.0) - 12.97).abs() < 0.01);
    // Heavy ones: four a core.
    assert!((core_holds(40.0, 40.0 * 250_000.0) - 4.23).abs() < 0.01);
    assert_eq!(life(0.0, 0.0, 60.0), 25.0);
    // Seven stand all the time, nine came in 50 s: 36 s; and where two came in as long, 100 s.
    assert!((life(7.0, 9.0, 50.0) - 36.4).abs() < 0.1);
    assert!((life(7.0, 2.0, 50.0) - 100.0).abs() < 0.1);
}

#[test]
fn a_lot_is_even_and_holds_for_a_second_at_one_relay() {
    for mean in [
        (0..1_000).map(|id| lot(1, id, 7 * EVALUATION_INTERVAL_US)).sum::<f64>() / 1_000.0,
        (0..1_000).map(|proxy| lot(proxy, 3, 7 * EVALUATION_INTERVAL_US)).sum::<f64>() / 1_000.0,
    ] {
        assert!((mean - 0.5).abs() < 0.03, "{mean}");
    }
    assert_eq!(lot(1, 5, 7 * EVALUATION_INTERVAL_US), lot(1, 5, 7 * EVALUATION_INTERVAL_US + 999_999));
    assert_ne!(lot(1, 5, 7 * EVALUATION_INTERVAL_US), lot(1, 5, 8 * EVALUATION_INTERVAL_US));
}
