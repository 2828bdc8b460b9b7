//! How long what was told of a backend holds, where the list does not come.

mod common;

use common::*;
use pierloom_decision::*;

const BINDS: Micros = 6 * S;
const MOVED: Micros = 4 * S;

fn settings_that_bind() -> Settings {
    Settings {
        max_endpoints_age: Some(BINDS),
        max_endpoints_age_after_move: MOVED,
        ask_for_list: true,
        ..settings()
    }
}

/// A fleet of two whose list was told at 100 s.
fn fleet() -> Driver {
    Driver::new(settings_that_bind(), 2)
}

fn failed_call(driver: &mut Driver, kind: ListKind) {
    driver.list(kind, Vec::new());
}

#[test]
fn nothing_new_goes_where_news_may_bind_that_did_not_come() {
    let mut driver = fleet();
    driver.now += BINDS - 1;
    failed_call(&mut driver, ListKind::Failed);
    assert!(sent(&driver.request(1)).is_some(), "the list holds up to then");
    driver.now += 1;
    assert!(
        !driver.balancer.may_send_attempt(driver.now, 1),
        "nor does what was chosen before and is not written"
    );
    let actions = driver.request(2);
    assert!(sent(&actions).is_none() && refused(&actions), "{actions:?}");
    driver.list(ListKind::Delta, Vec::new());
    assert!(
        sent(&driver.request(3)).is_some(),
        "an answer that brings nothing new tells that the list holds"
    );
}

// A draining backend takes requests: that one came up there proves nothing.
#[test]
fn a_connection_at_a_backend_tells_nothing_of_what_is_announced() {
    let mut driver = fleet();
    let name = members(2)[0].backend.clone();
    driver.now += 4 * S;
    driver.event(Event::Resumed(Request { id: 1, ..Request::default() }, name));
    driver.connect(2);
    driver.now = 100 * S + BINDS;
    assert!(refused(&driver.request(3)));
}

#[test]
fn time_in_which_the_list_is_known_to_be_out_of_reach_does_not_count() {
    let mut driver = fleet();
    for _ in 0..20 {
        driver.now += S;
        failed_call(&mut driver, ListKind::Unreachable);
    }
    assert!(sent(&driver.request(1)).is_some());
    // It is there again, and refuses: from then on what it has binds. The second before the first call that did not
    // reach it counts too.
    driver.now += BINDS - S - 1;
    failed_call(&mut driver, ListKind::Failed);
    assert!(sent(&driver.request(2)).is_some());
    driver.now += 1;
    assert!(refused(&driver.request(3)));
}

// Guards against a list that is held longer than it may be: before the first call that did not reach discovery, and
// after one that did, it could be reached, and what it had then binds.
#[test]
fn time_in_which_the_list_may_have_been_within_reach_counts() {
    for (kind, at) in [(ListKind::Unreachable, 5 * S), (ListKind::Failed, 3 * S)] {
        let mut driver = fleet();
        driver.now += at;
        failed_call(&mut driver, kind);
        driver.now = 100 * S + 5 * S;
        failed_call(&mut driver, ListKind::Unreachable);
        driver.now = 100 * S + BINDS;
        assert!(refused(&driver.request(1)), "{kind:?}");
    }
}

#[test]
fn where_no_such_time_is_stated_a_list_holds_until_the_next() {
    let mut driver = Driver::new(Settings { max_endpoints_age: None, ..settings_that_bind() }, 2);
    driver.now += 100 * BINDS;
    failed_call(&mut driver, ListKind::Failed);
    assert!(sent(&driver.request(1)).is_some());
}

// Guards against an upgrade by which a list that is nearly out of date counts as told anew.
#[test]
fn a_list_that_was_taken_over_is_as_old_as_it_was() {
    let mut before = fleet();
    before.now += 4 * S;
    let mut after = Driver { balancer: Balancer::new(settings_that_bind(), 8).unwrap(), now: before.now };
    after.list(ListKind::Full, members(2));
    after.event(Event::LearnedState(Box::new(before.balancer.learned_state())));
    after.now = 100 * S + BINDS - 1;
    assert!(sent(&after.request(1)).is_some());
    after.now += 1;
    assert!(refused(&after.request(2)));
}

// Guards against a list that counts as told because the service before still says that nothing is new.
#[test]
fn a_service_that_moved_binds_from_its_move_until_it_tells_its_list() {
    let mut driver = fleet();
    driver.now += 5 * S;
    driver.list(ListKind::Delta, Vec::new());
    driver.list(ListKind::DiscoveryMoved, Vec::new());
    driver.now += MOVED - 1;
    driver.list(ListKind::Delta, Vec::new());
    assert!(sent(&driver.request(1)).is_some());
    driver.now += 1;
    assert!(refused(&driver.request(2)));
    driver.list(ListKind::Full, members(2));
    assert!(sent(&driver.request(3)).is_some());
}

// Guards against a list that counts as told because staff took a backend out or gave it back.
#[test]
fn what_staff_say_of_a_backend_tells_nothing_of_the_list() {
    let mut driver = fleet();
    let name = members(2)[0].backend.clone();
    driver.now += 4 * S;
    driver.event(Event::Maintenance(name.clone(), true));
    driver.event(Event::Maintenance(name, false));
    driver.now = 100 * S + BINDS;
    assert!(refused(&driver.request(1)));
}
