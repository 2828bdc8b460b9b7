//! One test for each part of the rules: one final answer per request, no attempt that must not run, nothing
//! new at backends that leave, and the limit on what a backend in slow start gets.

mod common;
use common::*;
use pierloom_decision::*;

/// Guards against a request without an answer, or with two, after its last attempt ended.
#[test]
fn every_end_of_the_last_attempt_gives_one_final_answer() {
    for status in [Status::Error, Status::Timeout, Status::ConnectFailed, Status::Reset, Status::Overloaded] {
        let mut d = Driver::new(Settings { max_attempts: 1, ..settings() }, 3);
        assert!(sent(&d.request(1)).is_some());
        let out = d.ended(1, 0, status, false);
        assert!(refused(&out) && sent(&out).is_none(), "{status:?}: {out:?}");
        assert!(d.ended(1, 0, status, false).is_empty(), "answered twice");
    }
}

/// Guards against an attempt after the deadline, and an answer that is held back.
#[test]
fn a_timeout_at_the_deadline_is_answered_at_once() {
    let mut d = Driver::new(settings(), 3);
    d.request(1);
    d.now += 2 * S;
    let out = d.ended(1, 0, Status::Timeout, false);
    assert!(refused(&out) && sent(&out).is_none());
}

/// Guards against an attempt for a request that arrives after its deadline.
#[test]
fn a_request_past_its_deadline_is_answered_without_an_attempt() {
    let mut d = Driver::new(settings(), 3);
    let out = d.request_with(Request { id: 1, deadline: d.now - 1, ..Request::default() });
    assert!(refused(&out) && sent(&out).is_none());
}

/// Guards against a retry or a second answer when the end of an attempt is reported after the client left or
/// has its final answer.
#[test]
fn nothing_is_sent_after_the_client_left_or_has_its_answer() {
    let mut d = Driver::new(settings(), 3);
    d.request(1);
    assert!(d.event(Event::ClientGone(1)).is_empty());
    assert!(d.event(Event::ClientGone(1)).is_empty());
    assert!(d.ended(1, 0, Status::Timeout, true).is_empty());
    d.request(2);
    assert!(d.ended(2, 0, Status::Reset, true).is_empty());
}

/// Guards against a request that runs twice although it must not, and a refusal, which would promise that a
/// retry is harmless.
#[test]
fn a_once_only_request_fails_after_an_attempt_that_may_have_run() {
    let mut s = settings();
    s.classes[0].effect = Effect::Once;
    let mut d = Driver::new(s, 3);
    d.request(1);
    assert!(sent(&d.ended(1, 0, Status::ConnectFailed, false)).is_some(), "it never ran");
    let out = d.ended(1, 1, Status::Timeout, false);
    d.now += 3 * S;
    let at_timer = d.event(Event::Timer(1));
    assert!(!refused(&out) && !refused(&at_timer), "a refusal would promise that a retry is harmless");
    assert!(sent(&out).is_none() && sent(&at_timer).is_none(), "it may have run");
    assert!(failed(&out) || failed(&at_timer));
}

/// Guards against a retry at a backend that does not discard duplicates of the key, or no longer does.
#[test]
fn a_keyed_request_is_retried_only_within_its_scope_and_window() {
    let mut s = settings();
    s.classes[0].effect = Effect::Keyed(KeyScope::Zone);
    s.classes[0].repeat_window = S;
    let mut list = members(6);
    list.iter_mut().enumerate().for_each(|(i, m)| m.zone = (i % 2) as u16);
    let start = || {
        let mut d = Driver::new(s.clone(), 0);
        d.list(ListKind::Full, list.clone());
        d
    };
    let zone = |backend: &BackendId| list.iter().find(|m| m.backend == *backend).unwrap().zone;
    for id in 1..20 {
        let mut d = start();
        let first = sent(&d.request(id)).unwrap();
        let second =
            sent(&d.ended(id, 0, Status::Error, false)).expect("there are other backends in its zone");
        assert_eq!(zone(&first), zone(&second));
    }
    let mut d = start();
    d.request(50);
    d.now += S;
    let out = d.ended(50, 0, Status::Timeout, false);
    assert!(sent(&out).is_none() && !refused(&out), "its repeat window is over");
}

/// Guards against a first attempt that uses up the deadline, and more attempts than allowed.
#[test]
fn attempts_are_limited_in_number_and_leave_time_for_the_next() {
    let mut d = Driver::new(settings(), 5);
    let out = d.request(1);
    assert_eq!(until(&out), Some(d.now + 666_667), "a third of the remaining time");
    d.now += 600 * MS;
    assert_eq!(
        until(&d.ended(1, 0, Status::Timeout, false)),
        Some(d.now + 700 * MS),
        "half of the remaining time"
    );
    assert_eq!(
        until(&d.ended(1, 1, Status::Error, false)),
        Some(d.now + 1400 * MS),
        "all of the remaining time"
    );
    let out = d.ended(1, 2, Status::Error, false);
    assert!(sent(&out).is_none() && refused(&out));
}

/// Guards against attempts at a backend that the endpoint list reports as draining, or leaves out.
#[test]
fn draining_and_removed_backends_get_nothing_new() {
    let mut d = Driver::new(settings(), 3);
    let mut list = members(3);
    list[0].state = MemberState::Draining;
    d.list(ListKind::Delta, list[..1].to_vec());
    for id in 1..60 {
        assert_ne!(sent(&d.request(id)), Some(list[0].backend.clone()));
    }
    // A complete list removes the backends that it leaves out.
    d.list(ListKind::Full, list[2..].to_vec());
    for id in 61..80 {
        assert_eq!(sent(&d.request(id)), Some(list[2].backend.clone()));
    }
}

/// Guards against a request that is held until a backend is available again, and has no answer once that
/// backend is removed.
#[test]
fn a_held_request_is_answered_before_its_deadline_when_its_backend_is_removed() {
    let mut d = Driver::new(settings(), 1);
    d.connect(1);
    d.event(Event::Measured(1, Measurement::Delay(90 * MS)));
    d.ended(1, 0, Status::Cancelled, true);
    let out = d.request_with(Request { id: 2, deadline: d.now + 4 * S, ..Request::default() });
    assert_eq!(out, [Action::Timer(3 * S, 1)], "held until the backend no longer counts as slow");
    let gone = Member { state: MemberState::Gone, ..members(1)[0].clone() };
    d.list(ListKind::Delta, vec![gone]);
    d.now += 3 * S;
    assert!(refused(&d.event(Event::Timer(1))));
}

/// Guards against a backend that overloads after its start, because each proxy sends it more than its share.
#[test]
fn a_backend_in_slow_start_gets_no_more_than_the_share_of_one_proxy() {
    let s = Settings {
        proxies: 2,
        slow_start_duration: 10 * S,
        slow_start_min_share: 0.2,
        overload_multiple: 2.0,
        overload_window: S,
        ..settings()
    };
    let mut d = Driver::new(s, 4);
    let mut restarted = members(4)[0].clone();
    restarted.started = d.now + 10 * S;
    let (mut sends_before, mut sends_in_slow_start) = (0, 0);
    for id in 0..400 {
        if id == 200 {
            d.list(ListKind::Delta, vec![restarted.clone()]);
        }
        let backend = d.connect(id);
        d.ended(id, 0, Status::Ok, true);
        if id >= 200 && backend == restarted.backend {
            sends_in_slow_start += 1;
        } else if id < 200 {
            sends_before += u32::from(backend == restarted.backend);
        }
        d.now += 50 * MS;
    }
    // 20 requests a second over 4 backends are 5 a second each. A backend in slow start can take 0.2 of that
    // at first and all of it after 10 s. Twice the mean share of 0.6 therefore limits what it is sent in 10
    // s.
    assert!(sends_before > 20, "{sends_before}");
    assert!(sends_in_slow_start > 0 && sends_in_slow_start <= 60, "{sends_in_slow_start}");
}

/// Guards against a backend that stops while it has connections, because their clients were not asked to
/// reconnect elsewhere, and against moving all of them at once.
#[test]
fn connections_at_a_backend_that_leaves_are_moved_once_each_in_batches() {
    for state in [MemberState::Draining, MemberState::Gone] {
        let mut d = Driver::new(settings(), 2);
        let connections: Vec<(u64, BackendId)> = (1..=60).map(|id| (id, d.connect(id))).collect();
        let mut leaving = members(2)[0].clone();
        let at_leaving = connections.iter().filter(|(_, backend)| *backend == leaving.backend).count();
        leaving.state = state;
        let mut out = d.list(ListKind::Delta, vec![leaving.clone()]);
        let mut batch_sizes = Vec::new();
        let mut moved = std::collections::BTreeSet::new();
        while let Some(Action::Timer(gap, token)) = out.iter().find(|a| matches!(a, Action::Timer(_, 3))) {
            d.now += gap;
            out = d.event(Event::Timer(*token));
            let ids = out.iter().filter_map(|action| match action {
                Action::Move(id) => Some(*id),
                _ => None,
            });
            let ids: Vec<_> = ids.collect();
            batch_sizes.push(ids.len());
            assert!(
                ids.iter().all(|&id| moved.insert(id) && connections[id as usize - 1].1 == leaving.backend)
            );
        }
        assert!(at_leaving > 20 && moved.len() == at_leaving, "{moved:?} of {at_leaving}");
        assert!(batch_sizes.len() > 10 && batch_sizes.iter().all(|&n| n <= 3), "{batch_sizes:?}");
    }
}

/// Guards against moves that go on after the endpoint list reports the draining backend as ready again.
#[test]
fn a_backend_that_is_ready_again_keeps_its_connections() {
    let mut d = Driver::new(settings(), 1);
    (1..=5).for_each(|id| drop(d.connect(id)));
    let mut member = members(1)[0].clone();
    member.state = MemberState::Draining;
    d.list(ListKind::Delta, vec![member.clone()]);
    member.state = MemberState::Ready;
    d.list(ListKind::Delta, vec![member]);
    assert!(d.event(Event::Timer(3)).is_empty());
}

/// Guards against a client that waits without limit on a backend that cannot be reached.
#[test]
fn a_connection_without_answers_is_moved() {
    let mut d = Driver::new(settings(), 1);
    d.connect(1);
    assert!(d.event(Event::Measured(1, Measurement::Unanswered(S))).is_empty());
    assert_eq!(d.event(Event::Measured(1, Measurement::Unanswered(4 * S))), [Action::Move(1)]);
}

/// Guards against a refusal at shutdown for a request that may have run, as a refusal promises that nothing
/// ran. A request that arrives is answered at once. A request with an attempt in progress is answered when
/// the attempt ends, depending on whether it may have run.
#[test]
fn shutdown_answers_all_requests_and_starts_no_attempt() {
    let refused = |out: &[Action]| matches!(out, [Action::Refuse { .. }]);
    for (effect, refused_after_reset) in [
        (Effect::Repeatable, true),
        (Effect::Keyed(KeyScope::All), true),
        (Effect::Keyed(KeyScope::Cell), false),
        (Effect::Once, false),
    ] {
        let mut settings = settings();
        settings.classes[0].effect = effect;
        settings.classes[0].repeat_window = 5 * S;
        let mut d = Driver::new(settings, 3);
        for id in 1..=2 {
            assert!(sent(&d.request(id)).is_some());
        }
        d.event(Event::Stopping);
        assert!(refused(&d.request(4)), "{effect:?}: a new request");
        assert!(
            refused(&d.ended(1, 0, Status::ConnectFailed, false)),
            "{effect:?}: a request that never ran"
        );
        let out = d.ended(2, 0, Status::Reset, false);
        assert!(
            if refused_after_reset { refused(&out) } else { out == [Action::Fail(2)] },
            "{effect:?}: a request that may have run: {out:?}"
        );
    }
}

/// Guards against a request that is held past the end of its process.
#[test]
fn shutdown_answers_held_requests() {
    let settings = Settings { may_probe: true, load_report: Some(0), ..settings() };
    let mut d = Driver::new(settings, 1);
    let out = d.request(1);
    assert!(
        out.iter().any(|action| matches!(action, Action::Probe(_))),
        "the request waits for a load report: {out:?}"
    );
    assert!(d.event(Event::Stopping).iter().any(|action| matches!(action, Action::Refuse { id: 1, .. })));
}

/// Guards against an attempt that is sent although, while it connected, its backend began to drain or went
/// into maintenance, its time ran out, its repeat window ended, or its client left.
#[test]
fn an_attempt_may_not_be_sent_once_its_backend_is_excluded_or_its_time_or_client_is_gone() {
    let mut settings = settings();
    settings.classes[0].effect = Effect::Keyed(KeyScope::All);
    settings.classes[0].repeat_window = 900 * MS;
    let may_send_after = |what: &str, change: &dyn Fn(&mut Driver, BackendId)| {
        let mut d = Driver::new(settings.clone(), 2);
        let backend = sent(&d.request(1)).unwrap();
        assert!(d.balancer.may_send_attempt(d.now, 1), "{what}: right after the choice");
        change(&mut d, backend);
        d.balancer.may_send_attempt(d.now, 1)
    };
    let member = |backend: &BackendId, state| vec![Member { state, ..Member::ready(backend) }];
    assert!(may_send_after("nothing happened", &|d, _| d.now += 100 * MS));
    assert!(!may_send_after("draining", &|d, backend| drop(
        d.list(ListKind::Delta, member(&backend, MemberState::Draining))
    )));
    assert!(!may_send_after("gone", &|d, backend| drop(
        d.list(ListKind::Delta, member(&backend, MemberState::Gone))
    )));
    assert!(!may_send_after("maintenance", &|d, backend| drop(d.event(Event::Maintenance(backend, true)))));
    assert!(!may_send_after("the client left", &|d, _| drop(d.event(Event::ClientGone(1)))));
    assert!(!may_send_after("the time limit", &|d, _| d.now += 2 * S));
    // Makes the second attempt, after a first one that may have run.
    let second_attempt = |wait: Micros| {
        move |d: &mut Driver, _| {
            d.now += 800 * MS;
            assert!(sent(&d.ended(1, 0, Status::Reset, false)).is_some());
            d.now += wait;
        }
    };
    assert!(may_send_after("within the repeat window", &second_attempt(90 * MS)));
    assert!(!may_send_after("past the repeat window", &second_attempt(110 * MS)));
}
