//! Clocks that are wrong: when a backend started is told by discovery's clock, and read by this machine's.

mod common;
use common::*;
use pierloom_decision::*;

const HOUR: Micros = 3_600 * S;
const COLD: Micros = 9 * S;

/// Three backends, a list that was last told at 140 s, and at 141 s a fourth one that is named with that start.
fn fleet(started: Micros) -> Driver {
    let settings =
        Settings { proxies: 2, slow_start_duration: COLD, slow_start_min_share: 0.3, ..settings() };
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

fn fourth() -> Member {
    members(4).remove(3)
}

/// How many of the requests of the next second go to the fourth backend.
fn taken(d: &mut Driver, first: RequestId) -> usize {
    let fourth = fourth().backend;
    let came = |id| {
        d.now += 10 * MS;
        d.connect(id) == fourth
    };
    (first..first + 100).map(came).filter(|&came| came).count()
}

/// When the fourth backend is named.
const NAMED: Micros = 2 * HOUR + 141 * S;

#[test]
fn a_clock_that_is_ahead_takes_no_cold_backend_for_a_warm_one() {
    let told_right = taken(&mut fleet(NAMED), 1_000);
    let told_late = taken(&mut fleet(NAMED - HOUR), 1_000);
    assert!(told_right <= 8, "{told_right}: it is cold");
    assert!(told_late <= told_right + 2, "{told_late} where {told_right} are right");
}

#[test]
fn a_clock_that_is_behind_keeps_no_backend_cold() {
    let mut d = fleet(NAMED + HOUR);
    assert!(taken(&mut d, 1_000) <= 8, "it is cold");
    d.now += COLD;
    let warm = taken(&mut d, 2_000);
    assert!(warm >= 15, "{warm}: it is warm");
}

// The clock of discovery was set back: what it names anew has started anew all the same.
#[test]
fn a_start_that_is_told_as_earlier_than_the_one_before_is_a_start() {
    let mut d = fleet(NAMED);
    d.now += 20 * S;
    let warm = taken(&mut d, 1_000);
    d.list(ListKind::Delta, Vec::new());
    d.list(ListKind::Delta, vec![Member { started: NAMED - HOUR, ..fourth() }]);
    let cold = taken(&mut d, 2_000);
    assert!(warm >= 15 && cold <= 8, "{warm} while warm, {cold} after its start");
}

// Two processes at an upgrade have clocks of their own: the machine's may have been set between their starts.
#[test]
fn what_another_process_learned_keeps_its_age_whatever_its_clock_says() {
    for clocks_apart in [-(HOUR as i64), 0, HOUR as i64] {
        let settings = Settings { max_endpoints_age: Some(6 * S), ask_for_list: true, ..settings() };
        let mut before = Driver { balancer: Balancer::new(settings.clone(), 7).unwrap(), now: 10 * HOUR };
        before.list(ListKind::Full, members(3));
        before.now += 5 * S;
        let learned = before.balancer.learned_state().with_clock_offset(clocks_apart);
        let now = (before.now as i64 + clocks_apart) as Micros;
        let mut after = Driver { balancer: Balancer::new(settings, 8).unwrap(), now };
        after.list(ListKind::Full, members(3));
        after.event(Event::LearnedState(Box::new(learned)));
        assert!(sent(&after.request(1)).is_some(), "{clocks_apart}: the list is five seconds old");
        after.now += S;
        assert!(refused(&after.request(2)), "{clocks_apart}: it is six seconds old");
    }
}
