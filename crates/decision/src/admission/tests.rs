//! Tests of the learned curve with values worked out by hand. Rates are in bin widths, delays in setup
//! targets.

use super::*;

fn bin(rate: f64, delay: f64) -> CurveBin {
    CurveBin { count: 2.0, rate, delay, ..CurveBin::default() }
}

fn curve(min_delay: f64, bins: Vec<CurveBin>) -> Admission {
    Admission { min_delay, bins, bin_width: 1.0, ..Admission::new(1_000_000) }
}

fn limit(min_delay: f64, bins: Vec<CurveBin>) -> f64 {
    curve(min_delay, bins).rate_at_target().unwrap()
}

fn assert_close(a: f64, b: f64) {
    assert!((a - b).abs() < 1e-9, "{a} is not {b}");
}

#[test]
fn the_curve_starts_at_the_minimum_delay_and_joins_its_points() {
    // From (2, 0.4) to (4, 1.2) the delay rises by 0.4 per bin width. The missing 0.6 is 1.5 widths beyond 2.
    assert_close(limit(0.2, vec![bin(4.0, 1.2), bin(2.0, 0.4)]), 3.5);
    // From (0, 0.2) to (4, 1.8) the delay also rises by 0.4. The missing 0.8 is 2 widths.
    assert_close(limit(0.2, vec![bin(4.0, 1.8)]), 2.0);
}

#[test]
fn the_last_segment_is_extended_beyond_the_last_point() {
    // From (0, 0.2) to (4, 0.6) the delay rises by 0.1 per bin width. The missing 0.4 is 4 widths beyond 4.
    assert_close(limit(0.2, vec![bin(4.0, 0.6)]), 8.0);
    assert!(limit(0.6, vec![bin(4.0, 0.6)]).is_infinite(), "a flat curve sets no limit");
}

#[test]
fn bins_merge_until_both_coordinates_rise() {
    // (2, 0.8) and (4, 0.6) become (3, 0.7). From (0, 0.1) the delay rises by 0.2 per bin width, so the
    // missing 0.3 is 1.5 widths beyond 3.
    assert_close(limit(0.1, vec![bin(2.0, 0.8), bin(4.0, 0.6)]), 4.5);
    // The merged point lies above (1, 0.65) and is not merged with it. The delay rises by 0.025 per bin
    // width, so the missing 0.3 is 12 widths beyond 3.
    assert_close(limit(0.1, vec![bin(1.0, 0.65), bin(2.0, 0.8), bin(4.0, 0.6)]), 15.0);
}

#[test]
fn a_minimum_delay_over_the_target_gives_the_lowest_trusted_rate() {
    assert_close(limit(1.1, vec![bin(4.0, 1.5), bin(2.0, 1.1)]), 2.0);
}

#[test]
fn untrusted_bins_are_ignored() {
    assert!(curve(0.2, vec![CurveBin { count: 1.0, ..bin(2.0, 0.4) }]).rate_at_target().is_none());
    let mut bin_at_threshold = bin(2.0, 0.4);
    // A deviation of 1 over 16 ticks is a standard error of 0.25, which is just trusted; over 15 ticks it is
    // not.
    bin_at_threshold.set_deviations(1.0, 0.0, 16.0);
    assert!(is_trusted(&bin_at_threshold));
    bin_at_threshold.set_deviations(1.0, 0.0, 15.0);
    assert!(!is_trusted(&bin_at_threshold));
}

#[test]
fn a_capacity_change_scales_rates_deviations_and_counts() {
    let mut original = bin(8.0, 0.4);
    original.set_deviations(2.0, 0.5, 100.0);
    let mut admission = curve(0.2, vec![original]);
    (admission.limit, admission.capacity) = (Some(6.0), 8.0);
    admission.scale(4.0);
    let scaled = admission.bins[0];
    assert_close(scaled.rate, 4.0);
    assert_close(scaled.delay, 0.4);
    // Half of the deviation of the rate is 1, and (1 / 0.25) squared is 16, more than (0.5 / 0.25) squared.
    assert_close(scaled.count, 16.0);
    assert_close(scaled.deviations().0, 1.0);
    assert_close(admission.limit.unwrap(), 3.0);
}

#[test]
fn a_tick_counts_half_in_the_average_arrival_rate_and_sets_the_probability() {
    let mut admission = curve(0.2, vec![bin(4.0, 1.8)]);
    admission.arrivals = 16;
    admission.on_tick(1_000_000);
    // The average is 8 per second and the limit 2, so the probability is a quarter.
    assert_close(admission.arrival_rate, 8.0);
    assert_close(admission.admit_probability, 0.25);
    admission.on_tick(2_000_000);
    assert_close(admission.arrival_rate, 4.0);
    assert_close(admission.admit_probability, 0.5);
}

#[test]
fn the_95th_percentile_of_the_delays_is_recorded_at_the_rate_of_the_tick() {
    let mut admission = curve(f64::INFINITY, Vec::new());
    admission.delays = (1..=100).rev().map(f64::from).collect();
    admission.admitted = 3;
    admission.on_tick(1_000_000);
    assert_close(admission.bins[0].delay, 95.0);
    assert_close(admission.bins[0].rate, 3.0);
}

#[test]
fn flash_mode_stops_learning_and_ends_under_the_limit() {
    let mut admission = Admission { limit: Some(4.0), ..curve(0.2, vec![bin(4.0, 1.0)]) };
    // The deviation by chance is 2, so flash mode starts beyond 10 per second with more than 4 in the tick.
    for index in 1..=5 {
        admission.on_arrival(index * 100_000);
        admission.on_admitted(index * 100_000);
    }
    assert!(!admission.flash_mode, "ten per second is not beyond the threshold");
    admission.on_arrival(510_000);
    admission.on_admitted(510_000);
    assert!(admission.flash_mode);
    admission.delays.push(9.0);
    admission.on_tick(1_000_000);
    assert_eq!(admission.bins.len(), 1);
    assert_close(admission.bins[0].count, 2.0);
    // At 610 ms the last four admissions span 0.31 s with five arrivals, so the probability is 4 x 0.31 / 5.
    admission.flash_mode = true;
    admission.on_arrival(610_000);
    assert_close(admission.admit_probability, 0.248);
    admission.on_arrival(2_610_000);
    assert!(!admission.flash_mode, "four admissions in over two seconds are under the limit");
}
