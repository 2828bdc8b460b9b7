//! Tests of start times on wrong clocks: discovery reports when a backend started on its own clock, and the
//! proxy compares it with the clock of its machine.

mod common;
use common::*;
use pierloom_decision::*;

const HOUR: Micros = 3_600 * S;
const SLOW_START: Micros = 9 * S;

/// A balancer with three backends whose endpoint list was last updated at 2 h and 140 s. One second later the
/// list reports a fourth backend with this start time.
fn driver_with_started_backend(started: Micros) -> Driver {
    let settings =
        Settings { proxies: 2, slow_start_duration: SLOW_START, slow_start_min_share: 0.3, ..settings() };
    let mut d = Driver { balancer: Balancer::new(settings, 7).unwrap(), now: 2 * HOUR + 100 * S };
    d.list(ListKind::Full, members(3));
    for id in 1..=200 {
        d.now += 200 * MS;
        d.connect(id);
    }
    d.list(ListKind::Delta, Vec::new());
    d.now += S;
    d.list(ListKind::Delta, vec![Member { started, ..fourth() }]);
    d
}

/// The fourth backend, without a start time.
fn fourth() -> Member {
    members(4).remove(3)
}

/// How many of the 100 requests of the next second go to the fourth backend.
fn count_sent_to_fourth(d: &mut Driver, first: RequestId) -> usize {
    let fourth = fourth().backend;
    let connects_to_fourth = |id| {
        d.now += 10 * MS;
        d.connect(id) == fourth
    };
    (first..first + 100).map(connects_to_fourth).filter(|&to_fourth| to_fourth).count()
}

/// Time at which the list first reports the fourth backend.
const REPORTED_AT: Micros = 2 * HOUR + 141 * S;

/// Guards against a backend that is overloaded after its start: by the clock of the proxy, which is an hour
/// ahead, it started long ago.
#[test]
fn a_clock_ahead_of_discovery_does_not_skip_slow_start() {
    let with_true_start = count_sent_to_fourth(&mut driver_with_started_backend(REPORTED_AT), 1_000);
    let with_early_start = count_sent_to_fourth(&mut driver_with_started_backend(REPORTED_AT - HOUR), 1_000);
    assert!(with_true_start <= 8, "{with_true_start}: the backend is in slow start");
    assert!(
        with_early_start <= with_true_start + 2,
        "{with_early_start} instead of {with_true_start} requests"
    );
}

/// Guards against a backend that stays in slow start: by the clock of the proxy, which is an hour behind, it
/// starts in the future.
#[test]
fn a_clock_behind_discovery_does_not_prolong_slow_start() {
    let mut d = driver_with_started_backend(REPORTED_AT + HOUR);
    assert!(count_sent_to_fourth(&mut d, 1_000) <= 8, "it is in slow start");
    d.now += SLOW_START;
    let after_slow_start = count_sent_to_fourth(&mut d, 2_000);
    assert!(after_slow_start >= 15, "{after_slow_start}: its slow start is over");
}

/// Guards against a restart that is missed because the clock of discovery was set back, so that the new start
/// time is before the old one.
#[test]
fn an_earlier_start_time_than_before_is_a_restart() {
    let mut d = driver_with_started_backend(REPORTED_AT);
    d.now += 20 * S;
    let before = count_sent_to_fourth(&mut d, 1_000);
    d.list(ListKind::Delta, Vec::new());
    d.list(ListKind::Delta, vec![Member { started: REPORTED_AT - HOUR, ..fourth() }]);
    let after = count_sent_to_fourth(&mut d, 2_000);
    assert!(before >= 15 && after <= 8, "{before} before its restart, {after} after it");
}

/// Guards against endpoints that count as newer or older than they are after an upgrade. The two processes
/// have clocks of their own, because the clock of the machine may have been set between their starts.
#[test]
fn learned_state_keeps_its_age_across_processes_with_different_clocks() {
    for clock_offset in [-(HOUR as i64), 0, HOUR as i64] {
        let settings = Settings { max_endpoints_age: Some(6 * S), ask_for_list: true, ..settings() };
        let mut predecessor =
            Driver { balancer: Balancer::new(settings.clone(), 7).unwrap(), now: 10 * HOUR };
        predecessor.list(ListKind::Full, members(3));
        predecessor.now += 5 * S;
        let learned = predecessor.balancer.learned_state().with_clock_offset(clock_offset);
        let now = (predecessor.now as i64 + clock_offset) as Micros;
        let mut successor = Driver { balancer: Balancer::new(settings, 8).unwrap(), now };
        successor.list(ListKind::Full, members(3));
        successor.event(Event::LearnedState(Box::new(learned)));
        assert!(sent(&successor.request(1)).is_some(), "{clock_offset}: the endpoints are five seconds old");
        successor.now += S;
        assert!(refused(&successor.request(2)), "{clock_offset}: the endpoints are six seconds old");
    }
}
