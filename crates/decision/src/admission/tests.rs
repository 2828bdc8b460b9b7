//! The curve's clauses with figures worked out by hand; rates in slice widths, delays in aims.

use super::*;

fn bin(rate: f64, delay: f64) -> CurveBin {
    CurveBin { n: 2.0, rate, delay, ..CurveBin::default() }
}

fn curve(least_delay: f64, bins: Vec<CurveBin>) -> Admission {
    Admission { least_delay, bins, width: 1.0, ..Admission::new(1_000_000) }
}

fn limit(least_delay: f64, bins: Vec<CurveBin>) -> f64 {
    curve(least_delay, bins).invert().unwrap()
}

fn close(a: f64, b: f64) {
    assert!((a - b).abs() < 1e-9, "{a} is not {b}");
}

#[test]
fn points_are_joined_from_the_idle_one() {
    // From (2, 0.4) to (4, 1.2) delay rises by 0.4 a width: 0.6 more is 1.5 widths on.
    close(limit(0.2, vec![bin(4.0, 1.2), bin(2.0, 0.4)]), 3.5);
    // From (0, 0.2) to (4, 1.8) it also rises by 0.4: 0.8 more is 2 widths.
    close(limit(0.2, vec![bin(4.0, 1.8)]), 2.0);
}

#[test]
fn the_last_segment_is_extended() {
    // From (0, 0.2) to (4, 0.6) delay rises by 0.1 a width: 0.4 more is 4 widths beyond.
    close(limit(0.2, vec![bin(4.0, 0.6)]), 8.0);
    assert!(limit(0.6, vec![bin(4.0, 0.6)]).is_infinite(), "a flat curve sets no limit");
}

#[test]
fn slices_merge_until_both_coordinates_rise() {
    // (2, 0.8) and (4, 0.6) become (3, 0.7): from (0, 0.1) 0.2 a width, so 0.3 more is 1.5 beyond 3.
    close(limit(0.1, vec![bin(2.0, 0.8), bin(4.0, 0.6)]), 4.5);
    // The merged one lies above (1, 0.65) and stays apart from it: 0.025 a width, 12 beyond 3.
    close(limit(0.1, vec![bin(1.0, 0.65), bin(2.0, 0.8), bin(4.0, 0.6)]), 15.0);
}

#[test]
fn no_rate_that_meets_the_aim_leaves_the_lowest_trusted_one() {
    close(limit(1.1, vec![bin(4.0, 1.5), bin(2.0, 1.1)]), 2.0);
}

#[test]
fn only_trusted_slices_count() {
    assert!(curve(0.2, vec![CurveBin { n: 1.0, ..bin(2.0, 0.4) }]).invert().is_none());
    let mut wide = bin(2.0, 0.4);
    // A deviation of 1 over 16 ticks is an error of 0.25, just trusted; over 15 it is not.
    wide.set_deviations(1.0, 0.0, 16.0);
    assert!(trusted(&wide));
    wide.set_deviations(1.0, 0.0, 15.0);
    assert!(!trusted(&wide));
}

#[test]
fn a_capacity_change_scales_rates_deviations_and_counts() {
    let mut one = bin(8.0, 0.4);
    one.set_deviations(2.0, 0.5, 100.0);
    let mut admission = curve(0.2, vec![one]);
    (admission.limit, admission.capacity) = (Some(6.0), 8.0);
    admission.scale(4.0);
    let scaled = admission.bins[0];
    close(scaled.rate, 4.0);
    close(scaled.delay, 0.4);
    // Half of the rate's deviation is 1: (1 / 0.25) squared is 16, more than (0.5 / 0.25) squared.
    close(scaled.n, 16.0);
    close(scaled.deviations().0, 1.0);
    close(admission.limit.unwrap(), 3.0);
}

#[test]
fn a_tick_halves_into_the_average_and_sets_p() {
    let mut admission = curve(0.2, vec![bin(4.0, 1.8)]);
    admission.arrivals = 16;
    admission.on_tick(1_000_000);
    // The average is 8 a second, the limit 2: p is a quarter.
    close(admission.arrival_rate, 8.0);
    close(admission.admit_probability, 0.25);
    admission.on_tick(2_000_000);
    close(admission.arrival_rate, 4.0);
    close(admission.admit_probability, 0.5);
}

#[test]
fn the_95th_of_a_hundred_delays_is_paired_with_the_rate() {
    let mut admission = curve(f64::INFINITY, Vec::new());
    admission.delays = (1..=100).rev().map(f64::from).collect();
    admission.admitted = 3;
    admission.on_tick(1_000_000);
    close(admission.bins[0].delay, 95.0);
    close(admission.bins[0].rate, 3.0);
}

#[test]
fn flash_mode_freezes_learning_and_ends_under_the_limit() {
    let mut admission = Admission { limit: Some(4.0), ..curve(0.2, vec![bin(4.0, 1.0)]) };
    // Chance deviation is 2, so flash mode begins beyond 10 a second with more than 4 in the tick.
    for k in 1..=5 {
        admission.on_arrival(k * 100_000);
        admission.on_admitted(k * 100_000);
    }
    assert!(!admission.flash, "ten a second is not beyond");
    admission.on_arrival(510_000);
    admission.on_admitted(510_000);
    assert!(admission.flash);
    admission.delays.push(9.0);
    admission.on_tick(1_000_000);
    assert_eq!(admission.bins.len(), 1);
    close(admission.bins[0].n, 2.0);
    // The last four admissions span 0.31 s at 610 ms, with five arrivals: p is 4 x 0.31 / 5.
    admission.flash = true;
    admission.on_arrival(610_000);
    close(admission.admit_probability, 0.248);
    admission.on_arrival(2_610_000);
    assert!(!admission.flash, "four in over two seconds is under the limit");
}
