//! Tests of maintenance: operators take a backend out of service and return it, and what a successor process
//! learns.

mod common;
use common::*;
use pierloom_decision::*;

const BACKEND: &str = "10.0.0.1:7000";

/// Puts the backend into maintenance, or returns it to service.
fn set_maintenance(d: &mut Driver, in_maintenance: bool) -> Vec<Action> {
    d.event(Event::Maintenance(BACKEND.into(), in_maintenance))
}

/// How many clients the actions ask to reconnect elsewhere.
fn count_moves(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Move(_))).count()
}

/// Runs the timers that become due within this time; returns the number of moves.
fn run_timers(d: &mut Driver, mut out: Vec<Action>, time: Micros) -> usize {
    let (end, mut due, mut moved) = (d.now + time, Vec::new(), 0);
    loop {
        moved += count_moves(&out);
        let timer = |action: &Action| match action {
            Action::Timer(after, token) => Some((d.now + after, *token)),
            _ => None,
        };
        due.extend(out.iter().filter_map(timer));
        due.sort_unstable();
        if due.is_empty() || due[0].0 > end {
            d.now = end;
            return moved;
        }
        let (at, token) = due.remove(0);
        d.now = at;
        out = d.event(Event::Timer(token));
    }
}

/// Guards against a backend that gets connections during maintenance because the endpoint list reports it as
/// ready or restarted.
#[test]
fn a_backend_in_maintenance_gets_nothing_new_whatever_the_list_reports() {
    let mut d = Driver::new(settings(), 2);
    set_maintenance(&mut d, true);
    for id in 0..40 {
        if id == 20 {
            d.list(ListKind::Full, members(2));
            let restarted = Member { started: d.now, ..Member::ready(BACKEND) };
            d.list(ListKind::Delta, vec![restarted]);
        }
        assert_ne!(&*d.connect(id), BACKEND, "request {id}");
    }
    assert_eq!(d.balancer.backend_counts(d.now), (2, 1));
}

/// Guards against a retry at a backend that went into maintenance after the first attempt.
#[test]
fn a_retry_skips_a_backend_that_went_into_maintenance() {
    let mut d = Driver::new(settings(), 2);
    for id in 0..20 {
        let first = sent(&d.request(id)).unwrap();
        set_maintenance(&mut d, true);
        let second = sent(&d.ended(id, 0, Status::ConnectFailed, false));
        assert!(second.is_none_or(|second| &*second != BACKEND && second != first));
        set_maintenance(&mut d, false);
        d.now += 30 * S;
    }
}

/// Guards against a backend in maintenance that stops while it has connections.
#[test]
fn connections_at_a_backend_in_maintenance_are_moved() {
    let mut d = Driver::new(settings(), 2);
    let connected = (0..30).filter(|&id| &*d.connect(id) == BACKEND).count();
    let out = set_maintenance(&mut d, true);
    assert!(connected > 3);
    assert_eq!(run_timers(&mut d, out, 3 * S), connected);
}

/// Guards against a backend that stays in maintenance because the request for it was repeated.
#[test]
fn one_return_to_service_ends_maintenance_requested_twice() {
    let mut d = Driver::new(settings(), 2);
    set_maintenance(&mut d, true);
    set_maintenance(&mut d, true);
    set_maintenance(&mut d, false);
    d.now += S;
    assert!((0..40).any(|id| &*d.connect(id) == BACKEND));
    assert_eq!(d.balancer.backend_counts(d.now), (2, 0));
}

/// Guards against maintenance that is lost because it was requested before the endpoint list arrived, as may
/// happen after a start.
#[test]
fn maintenance_requested_before_the_first_list_takes_effect() {
    let mut d = Driver { balancer: Balancer::new(settings(), 7).unwrap(), now: 100 * S };
    set_maintenance(&mut d, true);
    d.list(ListKind::Full, members(2));
    assert!((0..40).all(|id| &*d.connect(id) != BACKEND));
}

/// Guards against a backend that gets no connection after its return to service: the next request is for it.
/// Also guards against overload of that backend, which counts as in slow start because it was restarted.
#[test]
fn a_backend_returned_to_service_is_used_at_once_within_its_slow_start_limit() {
    let slow_start = Settings {
        slow_start_duration: 9 * S,
        slow_start_min_share: 0.3,
        overload_window: 1_500 * MS,
        overload_multiple: 4.0,
        ..settings()
    };
    let settings = Settings { proxies: 3, sized_weights: true, ..slow_start };
    let mut used_soon = 0;
    for seed in 0..50 {
        let balancer = Balancer::new(settings.clone(), seed).unwrap();
        let mut d = Driver { balancer, now: 100 * S };
        let sized = |i| Member { weight: 2.0, ..Member::ready(&format!("10.0.0.{i}:7000")) };
        d.list(ListKind::Full, (0..11).map(sized).collect());
        (0..30).for_each(|id| drop(d.connect(id)));
        set_maintenance(&mut d, true);
        d.now += 6 * S;
        set_maintenance(&mut d, false);
        let connections: Vec<_> = (0..40).map(|n| d.connect(1_000 * (1 + seed) + n)).collect();
        let sent_there = connections.iter().filter(|backend| &***backend == BACKEND).count();
        // Two cores of eleven, at a share of 0.3, four times that, for 1.5 s of the 9 s of slow start: 4.4
        // connections for all three proxies.
        assert!(sent_there <= 2, "{sent_there} of an overload window at once");
        used_soon += usize::from(connections[..2].iter().any(|backend| &**backend == BACKEND));
    }
    assert!(used_soon >= 30, "among the first two on {used_soon} of 50 seeds");
}

/// Guards against connections from another process that stay at a backend that leaves, as no further event
/// announces its leaving.
#[test]
fn a_connection_taken_over_at_a_backend_in_maintenance_is_moved() {
    let mut d = Driver::new(settings(), 2);
    set_maintenance(&mut d, true);
    let resume = |d: &mut Driver, id| {
        let request = Request { id, key: Some(id), ..Request::default() };
        d.event(Event::Resumed(request, BACKEND.into()))
    };
    let mut out: Vec<Action> = (0..5).flat_map(|id| resume(&mut d, id)).collect();
    out.retain(|action| !matches!(action, Action::Send { .. }));
    assert_eq!(run_timers(&mut d, out, 3 * S), 5);
}

/// Guards against a process that replaces another one without its learned state. It would not use backends in
/// slow start and would try failing backends anew.
#[test]
fn learned_state_is_restored_in_the_successor() {
    let mut d = Driver::new(settings(), 3);
    (0..40).for_each(|id| drop(d.connect(id)));
    let failing = sent(&d.request(100)).unwrap();
    for id in 101..400 {
        if sent(&d.request(id)).as_ref() == Some(&failing) {
            d.ended(id, 0, Status::ConnectFailed, false);
        }
    }
    assert_eq!(d.balancer.backend_counts(d.now), (3, 1));
    let mut successor = Driver::new(settings(), 3);
    successor.now = d.now;
    assert_eq!(successor.balancer.backend_counts(successor.now), (3, 0));
    successor.event(Event::LearnedState(Box::new(d.balancer.learned_state())));
    assert_eq!(successor.balancer.backend_counts(successor.now), (3, 1));
    let text = |balancer: &Balancer| format!("{:?}", balancer.learned_state());
    assert_eq!(text(&successor.balancer), text(&d.balancer));
}

/// Guards against a backend that gets too little after a planned restart, next to backends at capacity,
/// because few connections were set up before. A backend that is back after a crash gets only what was
/// observed.
#[test]
fn a_backend_with_a_planned_start_gets_what_its_size_allows() {
    let slow_start = Settings {
        slow_start_duration: 9 * S,
        slow_start_min_share: 0.3,
        overload_window: 1_500 * MS,
        overload_multiple: 4.0,
        ..settings()
    };
    let settings = Settings { proxies: 3, sized_weights: true, ..slow_start };
    let (mut planned, mut crashed) = (0, 0);
    for seed in 0..60 {
        let mut d = Driver { balancer: Balancer::new(settings.clone(), seed).unwrap(), now: 100 * S };
        let sized = |i| Member { weight: 2.0, ..Member::ready(&format!("10.0.0.{i}:7000")) };
        d.list(ListKind::Full, (0..6).map(sized).collect());
        let planned_restart = seed % 2 == 0;
        let state = if planned_restart { MemberState::Draining } else { MemberState::Gone };
        d.list(ListKind::Delta, vec![Member { state, ..sized(1) }]);
        d.now += 20 * S;
        d.list(ListKind::Delta, vec![Member { started: d.now, ..sized(1) }]);
        d.now += 1_500 * MS;
        let sent_there = (0..40).filter(|n| &*d.connect(1_000 * (1 + seed) + n) == BACKEND).count();
        assert!(
            sent_there <= 2,
            "{sent_there} at once: more than the share of a window and the saved tokens"
        );
        *(if planned_restart { &mut planned } else { &mut crashed }) += sent_there;
    }
    assert!(planned >= 2 * crashed.max(1), "{planned} after planned restarts, {crashed} after crashes");
}

/// Guards against overload of a backend in slow start after a crash: many clients reconnect while few
/// backends are listed, so that the observed rate exceeds what any backend can take.
#[test]
fn many_reconnects_after_a_crash_do_not_raise_the_slow_start_limit_above_its_size() {
    let slow_start = Settings {
        slow_start_duration: 9 * S,
        slow_start_min_share: 0.3,
        overload_window: 1_500 * MS,
        overload_multiple: 4.0,
        ..settings()
    };
    let mut sent_in_total = 0;
    let settings = Settings { proxies: 4, sized_weights: true, ..slow_start };
    for seed in 0..40 {
        let mut d = Driver { balancer: Balancer::new(settings.clone(), seed).unwrap(), now: 100 * S };
        let sized = |i| Member { weight: 2.0, ..Member::ready(&format!("10.0.0.{i}:7000")) };
        d.list(ListKind::Full, (0..6).map(sized).collect());
        let gone = |i| Member { state: MemberState::Gone, ..sized(i) };
        d.list(ListKind::Delta, (1..5).map(gone).collect());
        for n in 0..200 {
            d.now += 20 * MS;
            d.connect(10_000 * (1 + seed) + n);
        }
        d.list(ListKind::Delta, vec![Member { started: d.now, ..sized(1) }]);
        let mut sent_there = 0;
        for n in 200..275 {
            d.now += 20 * MS;
            sent_there += u32::from(&*d.connect(10_000 * (1 + seed) + n) == BACKEND);
        }
        // The saved tokens, the tokens of the window, and a random draw.
        assert!(sent_there <= 3, "{sent_there} from one proxy in a window, seed {seed}");
        sent_in_total += sent_there;
    }
    // Two cores of eleven, at a share of 0.3 to 0.42, four times that, for 1.5 s of the 9 s of slow start:
    // 5.3 connections for all four proxies.
    assert!(f64::from(sent_in_total) / 40.0 * 4.0 <= 5.3, "{sent_in_total} from 40 proxies");
}
