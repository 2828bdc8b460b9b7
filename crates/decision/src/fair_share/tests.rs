//! Shares of one proxy among many, with expected values computed by hand.

use super::*;

#[test]
fn all_arrivals_are_admitted_while_there_is_headroom_for_all() {
    // 225 cores of eleven connections, a fifth of it free, and only the assumed arrivals: 2,475 connections
    // fit, and 50.8 arrive a second.
    let assumed = arrivals_per_second(0, 2_475.0, 39.0, 300.0) * 2.0;
    assert!((assumed - 50.77).abs() < 0.01, "{assumed}");
    assert!(admitted_share(0.2, 2.0, 2_475.0, assumed) > 3.0);
    // Of 500 a second, one in six: 247 mean loads are free, and 750 connections arrive with two each.
    assert!((admitted_share(0.1, 2.0, 2_475.0, 500.0) - 0.165).abs() < 1e-3);
    assert_eq!(admitted_share(0.0, 2.0, 2_475.0, 500.0), 0.0);
}

#[test]
fn arrivals_at_all_proxies_are_the_mean_of_the_assumed_and_the_extrapolated_rate() {
    // One a second at each of 300 proxies: half of it counts, beside half of the assumed arrivals.
    assert!((arrivals_per_second(2, 2_475.0, 39.0, 300.0) - 175.4).abs() < 0.1);
    assert!(arrivals_per_second(0, 2_475.0, 39.0, 300.0) < 26.0);
}

// Guards against constants of one deployment in the program. The connections per core and their lifetime are
// learned from own connections, so that a service of heavy or long connections is not taken for one of light
// or short ones.
#[test]
fn estimates_start_at_the_defaults_and_approach_the_observed_values() {
    assert_eq!(connections_per_core(0.0, 0.0), 10.0);
    // Sixteen of 71,400 each, beside four that count as 100,000: 13 fill a core, and 14 truly do.
    assert!((connections_per_core(16.0, 16.0 * 71_400.0) - 12.97).abs() < 0.01);
    // Heavy connections: four a core.
    assert!((connections_per_core(40.0, 40.0 * 250_000.0) - 4.23).abs() < 0.01);
    assert_eq!(mean_lifetime(0.0, 0.0, 60.0), 25.0);
    // Seven are established all the time. With nine arrivals in 50 s, they live for 36 s; with two, for 100
    // s.
    assert!((mean_lifetime(7.0, 9.0, 50.0) - 36.4).abs() < 0.1);
    assert!((mean_lifetime(7.0, 2.0, 50.0) - 100.0).abs() < 0.1);
}

#[test]
fn a_random_draw_is_uniform_and_stays_the_same_for_a_second_at_one_proxy() {
    for mean in [
        (0..1_000).map(|id| random_draw(1, id, 7 * EVALUATION_INTERVAL_US)).sum::<f64>() / 1_000.0,
        (0..1_000).map(|proxy| random_draw(proxy, 3, 7 * EVALUATION_INTERVAL_US)).sum::<f64>() / 1_000.0,
    ] {
        assert!((mean - 0.5).abs() < 0.03, "{mean}");
    }
    assert_eq!(
        random_draw(1, 5, 7 * EVALUATION_INTERVAL_US),
        random_draw(1, 5, 7 * EVALUATION_INTERVAL_US + 999_999)
    );
    assert_ne!(random_draw(1, 5, 7 * EVALUATION_INTERVAL_US), random_draw(1, 5, 8 * EVALUATION_INTERVAL_US));
}
