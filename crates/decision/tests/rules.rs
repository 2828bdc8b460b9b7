//! One test for each part of the four rules.

mod common;
use common::*;
use pierloom_decision::*;

#[test]
fn every_end_of_the_last_attempt_brings_one_final_answer() {
    for status in [Status::Error, Status::Timeout, Status::ConnectFailed, Status::Reset, Status::Overloaded] {
        let mut d = Driver::new(Settings { max_attempts: 1, ..settings() }, 3);
        assert!(sent(&d.request(1)).is_some());
        let out = d.ended(1, 0, status, false);
        assert!(refused(&out) && sent(&out).is_none(), "{status:?}: {out:?}");
        assert!(d.ended(1, 0, status, false).is_empty(), "answered twice");
    }
}

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once() {
    let mut d = Driver::new(settings(), 3);
    d.request(1);
    d.now += 2 * S;
    let out = d.ended(1, 0, Status::Timeout, false);
    assert!(refused(&out) && sent(&out).is_none());
}

#[test]
fn a_deadline_already_past_is_answered_without_an_attempt() {
    let mut d = Driver::new(settings(), 3);
    let out = d.request_with(Request { id: 1, deadline: d.now - 1, ..Request::default() });
    assert!(refused(&out) && sent(&out).is_none());
}

#[test]
fn nothing_is_sent_after_the_client_left_or_the_request_closed() {
    let mut d = Driver::new(settings(), 3);
    d.request(1);
    assert!(d.event(Event::ClientGone(1)).is_empty());
    assert!(d.event(Event::ClientGone(1)).is_empty());
    assert!(d.ended(1, 0, Status::Timeout, true).is_empty());
    d.request(2);
    assert!(d.ended(2, 0, Status::Reset, true).is_empty());
}

#[test]
fn an_attempt_that_may_have_run_ends_a_once_only_request() {
    let mut s = settings();
    s.classes[0].effect = Effect::Once;
    let mut d = Driver::new(s, 3);
    d.request(1);
    assert!(sent(&d.ended(1, 0, Status::ConnectFailed, false)).is_some(), "it never ran");
    let out = d.ended(1, 1, Status::Timeout, false);
    d.now += 3 * S;
    let late = d.event(Event::Timer(1));
    assert!(!refused(&out) && !refused(&late), "a refusal would promise too much");
    assert!(sent(&out).is_none() && sent(&late).is_none(), "it may have run");
    assert!(failed(&out) || failed(&late));
}

#[test]
fn a_keyed_request_stays_in_its_group_and_window() {
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
    let zone = |b: &BackendId| list.iter().find(|m| m.backend == *b).unwrap().zone;
    for id in 1..20 {
        let mut d = start();
        let first = sent(&d.request(id)).unwrap();
        let second = sent(&d.ended(id, 0, Status::Error, false)).expect("its group has others");
        assert_eq!(zone(&first), zone(&second));
    }
    let mut d = start();
    d.request(50);
    d.now += S;
    let out = d.ended(50, 0, Status::Timeout, false);
    assert!(sent(&out).is_none() && !refused(&out), "its window is over");
}

#[test]
fn attempts_are_limited_and_leave_time_for_another() {
    let mut d = Driver::new(settings(), 5);
    let out = d.request(1);
    assert_eq!(until(&out), Some(d.now + 666_667), "a third of the time left");
    d.now += 600 * MS;
    assert_eq!(until(&d.ended(1, 0, Status::Timeout, false)), Some(d.now + 700 * MS), "half of the rest");
    assert_eq!(until(&d.ended(1, 1, Status::Error, false)), Some(d.now + 1400 * MS), "all of it");
    let out = d.ended(1, 2, Status::Error, false);
    assert!(sent(&out).is_none() && refused(&out));
}

#[test]
fn draining_and_gone_backends_get_nothing_new() {
    let mut d = Driver::new(settings(), 3);
    let mut list = members(3);
    list[0].state = MemberState::Draining;
    d.list(ListKind::Delta, list[..1].to_vec());
    for id in 1..60 {
        assert_ne!(sent(&d.request(id)), Some(list[0].backend.clone()));
    }
    // A complete list that leaves a backend out withdraws it.
    d.list(ListKind::Full, list[2..].to_vec());
    for id in 61..80 {
        assert_eq!(sent(&d.request(id)), Some(list[2].backend.clone()));
    }
}

#[test]
fn a_request_held_for_an_event_that_comes_to_nothing_is_answered_before_the_deadline() {
    let mut d = Driver::new(settings(), 1);
    d.connect(1);
    d.event(Event::Measured(1, Measurement::Delay(90 * MS)));
    d.ended(1, 0, Status::Cancelled, true);
    let out = d.request_with(Request { id: 2, deadline: d.now + 4 * S, ..Request::default() });
    assert_eq!(out, [Action::Timer(3 * S, 1)], "held for the end of the slow spell");
    let gone = Member { state: MemberState::Gone, ..members(1)[0].clone() };
    d.list(ListKind::Delta, vec![gone]);
    d.now += 3 * S;
    assert!(refused(&d.event(Event::Timer(1))));
}

#[test]
fn a_cold_backend_gets_no_more_than_our_part_of_its_budget() {
    let s = Settings {
        proxies: 2,
        slow_start_duration: 10 * S,
        slow_start_min_share: 0.2,
        overload_multiple: 2.0,
        overload_window: S,
        ..settings()
    };
    let mut d = Driver::new(s, 4);
    let mut cold = members(4)[0].clone();
    cold.started = d.now + 10 * S;
    let (mut warm_sends, mut cold_sends) = (0, 0);
    for id in 0..400 {
        if id == 200 {
            d.list(ListKind::Delta, vec![cold.clone()]);
        }
        let backend = d.connect(id);
        d.ended(id, 0, Status::Ok, true);
        if id >= 200 && backend == cold.backend {
            cold_sends += 1;
        } else if id < 200 {
            warm_sends += u32::from(backend == cold.backend);
        }
        d.now += 50 * MS;
    }
    // 20 a second over 4 backends are 5 a second each; a cold one surely takes 0.2 of that at first and
    // all after 10 s, so twice the mean share of 0.6 bounds what it is sent in 10 s.
    assert!(warm_sends > 20, "{warm_sends}");
    assert!(cold_sends > 0 && cold_sends <= 60, "{cold_sends}");
}

/// Guards against a drained backend that stops under its clients: nothing moved them before.
#[test]
fn connections_on_a_backend_that_leaves_are_moved_in_rounds_once_each() {
    for state in [MemberState::Draining, MemberState::Gone] {
        let mut d = Driver::new(settings(), 2);
        let by: Vec<(u64, BackendId)> = (1..=60).map(|id| (id, d.connect(id))).collect();
        let mut leaving = members(2)[0].clone();
        let there = by.iter().filter(|(_, backend)| *backend == leaving.backend).count();
        leaving.state = state;
        let mut out = d.list(ListKind::Delta, vec![leaving.clone()]);
        let mut rounds = Vec::new();
        let mut moved = std::collections::BTreeSet::new();
        while let Some(Action::Timer(gap, token)) = out.iter().find(|a| matches!(a, Action::Timer(_, 3))) {
            d.now += gap;
            out = d.event(Event::Timer(*token));
            let ids = out.iter().filter_map(|action| match action {
                Action::Move(id) => Some(*id),
                _ => None,
            });
            let ids: Vec<_> = ids.collect();
            rounds.push(ids.len());
            assert!(ids.iter().all(|&id| moved.insert(id) && by[id as usize - 1].1 == leaving.backend));
        }
        assert!(there > 20 && moved.len() == there, "{moved:?} of {there}");
        assert!(rounds.len() > 10 && rounds.iter().all(|&n| n <= 3), "{rounds:?}");
    }
}

/// Guards against moving on when the list takes its word back.
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

/// Guards against a client that waits for ever on a backend out of reach.
#[test]
fn a_connection_that_brings_nothing_back_is_moved() {
    let mut d = Driver::new(settings(), 1);
    d.connect(1);
    assert!(d.event(Event::Measured(1, Measurement::Unanswered(S))).is_empty());
    assert_eq!(d.event(Event::Measured(1, Measurement::Unanswered(4 * S))), [Action::Move(1)]);
}

// Guards against a refusal, which says that nothing ran, given in haste when the process stops: what comes is
// answered at once, and what is out is answered when it ends, by whether it may have run.
#[test]
fn a_stop_answers_all_who_wait_and_begins_nothing_more() {
    let refused = |out: &[Action]| matches!(out, [Action::Refuse { .. }]);
    for (effect, ran) in [
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
        assert!(refused(&d.request(4)), "{effect:?}: one that comes");
        assert!(refused(&d.ended(1, 0, Status::ConnectFailed, false)), "{effect:?}: one that never ran");
        let out = d.ended(2, 0, Status::Reset, false);
        assert!(
            if ran { refused(&out) } else { out == [Action::Fail(2)] },
            "{effect:?}: one that may have run: {out:?}"
        );
    }
}

// Guards against a request that waits for its event past the end of its process.
#[test]
fn a_stop_answers_who_is_held() {
    let settings = Settings { may_probe: true, load_report: Some(0), ..settings() };
    let mut d = Driver::new(settings, 1);
    let out = d.request(1);
    assert!(out.iter().any(|action| matches!(action, Action::Probe(_))), "it waits for a report: {out:?}");
    assert!(d.event(Event::Stopping).iter().any(|action| matches!(action, Action::Refuse { id: 1, .. })));
}

// Guards against an attempt that is written though, while it connected, its backend began to drain or was withheld, its
// time ran out, its window for repeats closed, or its client left.
#[test]
fn an_attempt_may_be_written_only_while_all_that_it_was_chosen_by_holds() {
    let mut settings = settings();
    settings.classes[0].effect = Effect::Keyed(KeyScope::All);
    settings.classes[0].repeat_window = 900 * MS;
    let out = |what: &str, change: &dyn Fn(&mut Driver, BackendId)| {
        let mut d = Driver::new(settings.clone(), 2);
        let backend = sent(&d.request(1)).unwrap();
        assert!(d.balancer.may_send_attempt(d.now, 1), "{what}: at once");
        change(&mut d, backend);
        d.balancer.may_send_attempt(d.now, 1)
    };
    let member = |backend: &BackendId, state| vec![Member { state, ..Member::ready(backend) }];
    assert!(out("nothing", &|d, _| d.now += 100 * MS));
    assert!(!out("draining", &|d, at| drop(d.list(ListKind::Delta, member(&at, MemberState::Draining)))));
    assert!(!out("gone", &|d, at| drop(d.list(ListKind::Delta, member(&at, MemberState::Gone)))));
    assert!(!out("withheld", &|d, at| drop(d.event(Event::Maintenance(at, true)))));
    assert!(!out("the client left", &|d, _| drop(d.event(Event::ClientGone(1)))));
    assert!(!out("its time", &|d, _| d.now += 2 * S));
    // The second attempt, the first of which may have run.
    let second = |wait: Micros| {
        move |d: &mut Driver, _| {
            d.now += 800 * MS;
            assert!(sent(&d.ended(1, 0, Status::Reset, false)).is_some());
            d.now += wait;
        }
    };
    assert!(out("within the window", &second(90 * MS)));
    assert!(!out("past the window", &second(110 * MS)));
}
