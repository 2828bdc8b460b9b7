//! Tests of the maximum age of the endpoints: how long they are valid while discovery sends no update.

mod common;

use common::*;
use pierloom_decision::*;

const MAX_AGE: Micros = 6 * S;
const MAX_AGE_AFTER_MOVE: Micros = 4 * S;

fn settings_with_max_age() -> Settings {
    Settings {
        max_endpoints_age: Some(MAX_AGE),
        max_endpoints_age_after_move: MAX_AGE_AFTER_MOVE,
        ask_for_list: true,
        ..settings()
    }
}

/// A balancer with two backends whose endpoint list arrived at 100 s.
fn new_driver() -> Driver {
    Driver::new(settings_with_max_age(), 2)
}

/// Reports a call to discovery that failed in this way.
fn failed_call(driver: &mut Driver, kind: ListKind) {
    driver.list(kind, Vec::new());
}

/// Guards against an attempt at a backend that discovery may have reported as leaving in an update that did
/// not arrive.
#[test]
fn nothing_new_is_sent_once_the_endpoints_exceed_their_maximum_age() {
    let mut driver = new_driver();
    driver.now += MAX_AGE - 1;
    failed_call(&mut driver, ListKind::Failed);
    assert!(sent(&driver.request(1)).is_some(), "the endpoints are valid until their maximum age");
    driver.now += 1;
    assert!(
        !driver.balancer.may_send_attempt(driver.now, 1),
        "an attempt that is not sent yet may not be sent any more"
    );
    let actions = driver.request(2);
    assert!(sent(&actions).is_none() && refused(&actions), "{actions:?}");
    driver.list(ListKind::Delta, Vec::new());
    assert!(sent(&driver.request(3)).is_some(), "an update without changes confirms the endpoints");
}

/// Guards against endpoints that count as confirmed because a connection was established. That proves
/// nothing, as a draining backend accepts connections too.
#[test]
fn a_connection_at_a_backend_does_not_renew_the_endpoints() {
    let mut driver = new_driver();
    let name = members(2)[0].backend.clone();
    driver.now += 4 * S;
    driver.event(Event::Resumed(Request { id: 1, ..Request::default() }, name));
    driver.connect(2);
    driver.now = 100 * S + MAX_AGE;
    assert!(refused(&driver.request(3)));
}

/// Guards against an outage of discovery that stops all proxies: what cannot be reached need not be obeyed.
#[test]
fn time_without_a_connection_to_discovery_does_not_count() {
    let mut driver = new_driver();
    for _ in 0..20 {
        driver.now += S;
        failed_call(&mut driver, ListKind::Unreachable);
    }
    assert!(sent(&driver.request(1)).is_some());
    // Discovery can be reached again but refuses the call. From then on its endpoints must be obeyed. The
    // second before the first call that did not reach it counts too.
    driver.now += MAX_AGE - S - 1;
    failed_call(&mut driver, ListKind::Failed);
    assert!(sent(&driver.request(2)).is_some());
    driver.now += 1;
    assert!(refused(&driver.request(3)));
}

/// Guards against endpoints that are used longer than allowed. Before the first call that did not reach
/// discovery, and after a call that did, discovery was reachable, and what it reported then must be obeyed.
#[test]
fn time_in_which_discovery_may_have_been_reachable_counts() {
    for (kind, elapsed) in [(ListKind::Unreachable, 5 * S), (ListKind::Failed, 3 * S)] {
        let mut driver = new_driver();
        driver.now += elapsed;
        failed_call(&mut driver, kind);
        driver.now = 100 * S + 5 * S;
        failed_call(&mut driver, ListKind::Unreachable);
        driver.now = 100 * S + MAX_AGE;
        assert!(refused(&driver.request(1)), "{kind:?}");
    }
}

/// Guards against refusals for old endpoints where the settings state no maximum age.
#[test]
fn without_a_maximum_age_the_endpoints_stay_valid_until_the_next_update() {
    let mut driver = Driver::new(Settings { max_endpoints_age: None, ..settings_with_max_age() }, 2);
    driver.now += 100 * MAX_AGE;
    failed_call(&mut driver, ListKind::Failed);
    assert!(sent(&driver.request(1)).is_some());
}

/// Guards against an upgrade after which endpoints close to their maximum age count as new.
#[test]
fn endpoints_taken_over_at_an_upgrade_keep_their_age() {
    let mut predecessor = new_driver();
    predecessor.now += 4 * S;
    let mut successor =
        Driver { balancer: Balancer::new(settings_with_max_age(), 8).unwrap(), now: predecessor.now };
    successor.list(ListKind::Full, members(2));
    successor.event(Event::LearnedState(Box::new(predecessor.balancer.learned_state())));
    successor.now = 100 * S + MAX_AGE - 1;
    assert!(sent(&successor.request(1)).is_some());
    successor.now += 1;
    assert!(refused(&successor.request(2)));
}

/// Guards against endpoints that count as confirmed because the previous discovery service still reports no
/// changes.
#[test]
fn after_a_move_of_discovery_only_a_full_list_renews_the_endpoints() {
    let mut driver = new_driver();
    driver.now += 5 * S;
    driver.list(ListKind::Delta, Vec::new());
    driver.list(ListKind::DiscoveryMoved, Vec::new());
    driver.now += MAX_AGE_AFTER_MOVE - 1;
    driver.list(ListKind::Delta, Vec::new());
    assert!(sent(&driver.request(1)).is_some());
    driver.now += 1;
    assert!(refused(&driver.request(2)));
    driver.list(ListKind::Full, members(2));
    assert!(sent(&driver.request(3)).is_some());
}

/// Guards against endpoints that count as confirmed because operators put a backend into maintenance or
/// returned it to service.
#[test]
fn maintenance_of_a_backend_does_not_renew_the_endpoints() {
    let mut driver = new_driver();
    let name = members(2)[0].backend.clone();
    driver.now += 4 * S;
    driver.event(Event::Maintenance(name.clone(), true));
    driver.event(Event::Maintenance(name, false));
    driver.now = 100 * S + MAX_AGE;
    assert!(refused(&driver.request(1)));
}

/// An entry of a backend of [`members`], with that state and start.
fn entry(i: usize, state: MemberState, started: Micros) -> Member {
    Member { state, started, ..members(2)[i].clone() }
}

/// Guards against an earlier discovery service that brings a backend back, renews the endpoints, or ends the time
/// in which the responsible service counts as unreachable.
#[test]
fn a_superseded_discovery_service_only_takes_backends_away() {
    let mut driver = new_driver();
    driver.list(ListKind::DiscoveryMoved, Vec::new());
    failed_call(&mut driver, ListKind::Unreachable);
    driver.now += S;
    driver.list(ListKind::Superseded, vec![entry(0, MemberState::Draining, 0)]);
    driver.list(ListKind::Superseded, vec![entry(0, MemberState::Ready, 0)]);
    (1..=8).for_each(|id| assert_eq!(driver.connect(id), members(2)[1].backend));
    driver.list(ListKind::Superseded, vec![entry(1, MemberState::Gone, 0)]);
    assert!(refused(&driver.request(9)), "both have left");
    driver.list(ListKind::Superseded, vec![entry(1, MemberState::Ready, 0)]);
    assert!(refused(&driver.request(10)), "neither is back");
    failed_call(&mut driver, ListKind::Unreachable);
    driver.list(ListKind::Full, members(2));
    assert!(sent(&driver.request(11)).is_some());
}

/// Guards against endpoints that count as confirmed by a service that is no longer responsible, and against time
/// without reach that counts because such a service still answers.
#[test]
fn a_superseded_discovery_service_does_not_renew_the_endpoints() {
    let mut driver = new_driver();
    driver.list(ListKind::DiscoveryMoved, Vec::new());
    failed_call(&mut driver, ListKind::Unreachable);
    driver.now += 2 * S;
    driver.list(ListKind::Superseded, vec![entry(0, MemberState::Draining, 0)]);
    failed_call(&mut driver, ListKind::Unreachable);
    // Two of the seconds passed between two calls in a row that did not reach the responsible service.
    driver.now += MAX_AGE_AFTER_MOVE - 1;
    assert!(sent(&driver.request(1)).is_some());
    driver.now += 1;
    driver.list(ListKind::Superseded, vec![entry(0, MemberState::Gone, 0)]);
    assert!(refused(&driver.request(2)));
}

/// Guards against a backend in slow start that is taken for a warm one because an earlier service reported its
/// start. Its failures stay, as the report says nothing of its health.
#[test]
fn a_restart_that_a_superseded_discovery_service_reports_begins_a_slow_start() {
    let settings = Settings { sized_weights: true, ..settings_with_max_age() };
    let mut driver = Driver::new(settings, 2);
    driver.list(ListKind::DiscoveryMoved, Vec::new());
    let started = driver.now;
    driver.list(ListKind::Superseded, vec![entry(0, MemberState::Ready, started)]);
    let to_restarted = (1..=20).filter(|&id| driver.connect(id) == members(2)[0].backend).count();
    assert!(to_restarted < 5, "{to_restarted} of 20 reach the backend in slow start");
}
