//! What the list and probes say against what this relay sees itself; one test for each kind of contradiction.

mod common;
use common::*;
use pierloom_decision::*;
use std::collections::BTreeMap;

/// Only draining binds, and nothing is probed.
fn free() -> Settings {
    Settings { exclude_removed: false, ..settings() }
}

fn stated(backend: &BackendId, state: MemberState) -> Member {
    Member { state, ..Member::ready(backend) }
}

/// Sets up one connection for each of these requests; where they went.
fn connect_all(d: &mut Driver, ids: std::ops::Range<u64>) -> BTreeMap<BackendId, Vec<u64>> {
    let mut by: BTreeMap<BackendId, Vec<u64>> = BTreeMap::new();
    ids.for_each(|id| by.entry(d.connect(id)).or_default().push(id));
    by
}

fn probed(out: &[Action]) -> Vec<BackendId> {
    let probe = |a: &Action| if let Action::Probe(b) = a { Some(b.clone()) } else { None };
    out.iter().filter_map(probe).collect()
}

/// First entries of a hundred keys: a mid-flow arrival goes there.
fn first_entries(d: &mut Driver, first: u64) -> Vec<BackendId> {
    let mut entry = |key: u64| {
        let id = first + key;
        let out = d.request_with(Request { id, key: Some(key), mid_flow: true, ..Request::default() });
        d.established(id, 0, MS);
        sent(&out).unwrap()
    };
    (0..100).map(&mut entry).collect()
}

#[test]
fn a_withdrawn_backend_that_serves_us_stays_in_use_and_groups_stay_where_they_are() {
    let mut d = Driver::new(free(), 12);
    let before = first_entries(&mut d, 1_000);
    // A list that has lost three quarters of the fleet.
    d.list(ListKind::Full, members(3));
    assert_eq!(first_entries(&mut d, 2_000), before);
    // Where removal binds, those left out get nothing.
    let mut d = Driver::new(settings(), 12);
    connect_all(&mut d, 1..100);
    d.list(ListKind::Full, members(3));
    assert!(connect_all(&mut d, 1_000..1_060).len() <= 3);
}

#[test]
fn a_withdrawn_backend_that_nobody_vouches_for_takes_one_trial_at_a_time() {
    let mut d = Driver::new(free(), 4);
    d.list(ListKind::Full, members(3));
    let gone: BackendId = "10.0.0.3:7000".into();
    let mut sends = 0;
    for id in 1..200 {
        // Nothing is heard of the attempts there.
        if sent(&d.request(id)) == Some(gone.clone()) {
            sends += 1;
        } else {
            d.established(id, 0, MS);
        }
        d.now += 10 * MS;
    }
    assert!((1..=4).contains(&sends), "spaced by 0.5 to 1.5 s: {sends} in 2 s");
    // It answers: no longer unproven, its hash share comes back at once.
    d.now += 2 * S;
    let back = connect_all(&mut d, 1_000..1_300);
    d.now += 2 * S;
    let later = connect_all(&mut d, 2_000..2_100);
    assert!(back.contains_key(&gone) && later[&gone].len() > 10, "{:?}", later[&gone].len());
}

#[test]
fn seen_draining_binds_through_later_lists_until_listed_ready() {
    for settings in [free(), settings()] {
        let mut d = Driver::new(settings, 3);
        let one: BackendId = "10.0.0.1:7000".into();
        d.list(ListKind::Delta, vec![stated(&one, MemberState::Draining)]);
        assert!(!connect_all(&mut d, 1..60).contains_key(&one));
        d.list(ListKind::Delta, vec![stated(&one, MemberState::Gone)]);
        assert!(!connect_all(&mut d, 100..160).contains_key(&one), "called gone after it drained");
        let others = members(3).into_iter().filter(|m| m.backend != one).collect();
        d.list(ListKind::Full, others);
        d.now += 5 * S;
        assert!(!connect_all(&mut d, 200..260).contains_key(&one), "left out after it drained");
        d.list(ListKind::Full, members(3));
        assert!(connect_all(&mut d, 300..400).contains_key(&one));
    }
}

#[test]
fn ghosts_get_trials_only_and_a_right_list_is_followed_at_once() {
    let mut d = Driver::new(Settings { max_attempts: 6, ..free() }, 4);
    connect_all(&mut d, 1..10);
    let mut ghostly = members(4);
    ghostly.extend((0..3).map(|i| Member::ready(&format!("10.9.9.{i}:7000"))));
    d.list(ListKind::Full, ghostly);
    let (mut ghosts, mut held) = (0, 0);
    for id in 100..500 {
        let mut attempt = 0;
        let mut out = d.request(id);
        while let Some(backend) = sent(&out).filter(|b| b.starts_with("10.9.9")) {
            ghosts += 1;
            out = d.ended(id, attempt, Status::ConnectFailed, false);
            attempt += 1;
            assert_ne!(sent(&out), Some(backend));
        }
        if sent(&out).is_some() {
            d.established(id, attempt, MS);
        } else {
            // By chance all eight entries of a key are ghosts: it is held for the next trial.
            held += 1;
            assert!(!refused(&out));
            d.event(Event::ClientGone(id));
        }
        d.now += 10 * MS;
    }
    assert!(held <= 4, "{held}");
    assert!((3..=15).contains(&ghosts), "400 requests in 4 s, a few trials for each of three: {ghosts}");
    d.list(ListKind::Full, members(4));
    assert_eq!(connect_all(&mut d, 1_000..1_100).len(), 4);
}

#[test]
fn where_probes_are_allowed_a_new_name_is_asked_before_a_client_goes_there() {
    let mut d = Driver::new(Settings { may_probe: true, ..free() }, 3);
    let new: BackendId = "10.9.9.1:7000".into();
    let mut list = members(3);
    list.push(Member::ready(&new));
    d.list(ListKind::Full, list);
    let mut asked = 0;
    for id in 1..40 {
        let out = d.request(id);
        asked += probed(&out).len();
        assert_ne!(sent(&out).unwrap(), new, "asked, and meanwhile the client goes elsewhere");
        d.established(id, 0, MS);
    }
    assert_eq!(asked, 1, "one probe at a time");
    d.event(Event::Probed { backend: new.clone(), status: Status::Ok, report: Vec::new() });
    assert!(connect_all(&mut d, 100..160).contains_key(&new), "it answered");
}

/// A backend of four that fails as told, over `n` requests 10 ms apart: what it was sent.
fn failing(n: u64, fails: impl Fn(u64, Micros) -> bool) -> usize {
    let mut d = Driver::new(Settings { max_attempts: 6, ..settings() }, 4);
    let bad: BackendId = "10.0.0.2:7000".into();
    let start = d.now;
    let mut sends = 0;
    for id in 1..=n {
        let (mut out, mut attempt) = (d.request(id), 0);
        while let Some(backend) = sent(&out) {
            sends += usize::from(backend == bad);
            if backend != bad || !fails(id, d.now - start) {
                d.established(id, attempt, MS);
                d.ended(id, attempt, Status::Ok, true);
                break;
            }
            out = d.ended(id, attempt, Status::Error, false);
            attempt += 1;
        }
        d.now += 10 * MS;
    }
    sends
}

#[test]
fn a_backend_that_quickly_fails_a_share_attracts_no_work_by_looking_empty() {
    let well = failing(1_000, |_, _| false);
    let half = failing(1_000, |id, _| id % 2 == 0);
    assert!(half < well / 4, "half of them fail: {half} against {well}");
    let rare = failing(1_000, |id, _| id % 200 == 0);
    assert!(rare > well * 2 / 3, "one of two hundred fails: {rare} against {well}");
}

#[test]
fn a_backend_that_fails_by_turns_is_kept_out_over_its_turns_and_comes_back() {
    let well = failing(2_000, |_, _| false);
    // Bad for 2 s of each 4 s, for 12 s; well for the last 8 s.
    let turns = |until: Micros| move |_, t: Micros| t < until && t % (4 * S) < 2 * S;
    let by_turns = failing(1_200, turns(12 * S)) * 2_000 / 1_200;
    // Were a success to clear its failures, it would have a third of its share: all of it in each good turn.
    assert!(by_turns < well / 6, "{by_turns} against {well}");
    let back = failing(2_000, turns(12 * S)) - failing(1_200, turns(12 * S));
    assert!(back > well * 8 / 20 / 2, "at least half of its share in the 8 s after: {back} of {well}");
}

#[test]
fn an_error_does_not_make_a_warm_backend_cold_and_the_loss_of_all_connections_does() {
    let s = Settings {
        slow_start_duration: 20 * S,
        slow_start_min_share: 0.2,
        overload_window: S,
        proxies: 50,
        ..settings()
    };
    let share = |lost: bool| {
        let mut d = Driver::new(s.clone(), 4);
        let by = connect_all(&mut d, 1..60);
        let (one, ids) = by.iter().next().unwrap();
        if lost {
            ids.iter().for_each(|&id| drop(d.ended(id, 0, Status::Reset, true)));
        } else {
            // Out of reach for two attempts, while what stands there goes on.
            for id in 100..102 {
                let key = Some(ids[0]);
                let out = d.request_with(Request { id, key, mid_flow: true, ..Request::default() });
                assert!(sent(&out).is_some());
                d.ended(id, 0, Status::ConnectFailed, true);
            }
        }
        d.now += 35 * S;
        let met = connect_all(&mut d, 200..260);
        // The next success there tells which it was.
        d.now += 100 * MS;
        let after = connect_all(&mut d, 300..360);
        (met.contains_key(one), after.get(one).map_or(0, Vec::len))
    };
    let (out_of_reach, restarted) = (share(false), share(true));
    assert!(out_of_reach.0 && restarted.0, "both are tried again");
    assert!(restarted.1 + 5 < out_of_reach.1, "{restarted:?} against {out_of_reach:?}");
}

#[test]
fn a_fleet_that_fails_as_a_whole_is_not_shut_out() {
    let mut d = Driver::new(Settings { max_attempts: 1, ..settings() }, 4);
    for id in 1..40 {
        d.request(id);
        d.ended(id, 0, Status::ConnectFailed, true);
    }
    let sends = (100..140).filter(|&id| sent(&d.request(id)).is_some()).count();
    assert_eq!(sends, 40, "what fails everywhere says nothing of one backend");
}

#[test]
fn what_answers_this_relay_is_preferred_while_half_the_fleet_is_out_of_its_reach() {
    let mut d = Driver::new(Settings { max_attempts: 3, ..settings() }, 12);
    let bad = |b: &BackendId| b.trim_end_matches(":7000").ends_with(['0', '2', '4', '6', '8']);
    let (mut failures, mut unanswered) = (0, 0);
    let mut good: BTreeMap<BackendId, u32> = BTreeMap::new();
    for id in 1..600 {
        let (mut out, mut attempt) = (d.request(id), 0);
        while let Some(backend) = sent(&out) {
            if !bad(&backend) {
                *good.entry(backend).or_default() += 1;
                d.established(id, attempt, MS);
                break;
            }
            failures += 1;
            out = d.ended(id, attempt, Status::ConnectFailed, false);
            attempt += 1;
        }
        unanswered += usize::from(sent(&out).is_none());
        d.now += 10 * MS;
    }
    assert!(failures <= 60 && unanswered <= 30, "{failures} failures, {unanswered} unanswered of 600");
    let (most, least) = (good.values().max().unwrap(), good.values().min().unwrap());
    assert!(most < &(3 * least), "and those that answer are not crowded: {good:?}");
}

#[test]
fn live_weights_that_swing_a_little_move_no_key() {
    let mut d = Driver::new(Settings { sized_weights: true, live_weights: true, ..settings() }, 12);
    let before = first_entries(&mut d, 10_000);
    for k in 0..20_u32 {
        let mut list = members(12);
        for (n, member) in list.iter_mut().enumerate() {
            member.weight = 1.0 + f64::from((k * 7 + n as u32 * 5) % 9) / 100.0;
        }
        d.list(ListKind::Delta, list);
    }
    assert_eq!(first_entries(&mut d, 20_000), before);
}

#[test]
fn a_wrong_list_during_a_deploy_keeps_drains_and_loses_nobody_who_serves() {
    let mut d = Driver::new(free(), 8);
    let by = connect_all(&mut d, 1..100);
    let drained: BackendId = "10.0.0.0:7000".into();
    d.list(ListKind::Delta, vec![stated(&drained, MemberState::Draining)]);
    // Its successor and half of the rest: the other half is missing, and so is the drained one.
    let mut list = members(4);
    list.remove(0);
    let successor = Member { started: d.now, ..Member::ready("10.0.1.0:7000") };
    list.push(successor.clone());
    d.list(ListKind::Full, list);
    d.now += S;
    let met = connect_all(&mut d, 1_000..1_200);
    assert!(!met.contains_key(&drained));
    assert!(by.keys().filter(|b| **b != drained).all(|b| met.contains_key(b)), "{:?}", met.keys());
    d.now += 60 * S;
    let mut list = members(8);
    list.remove(0);
    list.push(successor.clone());
    d.list(ListKind::Full, list);
    assert!(connect_all(&mut d, 2_000..2_200).contains_key(&successor.backend));
}

#[test]
fn failed_probes_while_a_backend_flaps_leave_the_decision_to_our_own_traffic() {
    let mut d = Driver::new(Settings { may_probe: true, load_report: Some(0), ..settings() }, 4);
    let flaps: BackendId = "10.0.0.1:7000".into();
    let mut sends = BTreeMap::new();
    for id in 1..800 {
        let (mut out, mut attempt) = (d.request(id), 0);
        loop {
            for backend in probed(&out) {
                let report = Event::Probed { backend, status: Status::Error, report: Vec::new() };
                out.extend(d.event(report));
                out.retain(|a| !matches!(a, Action::Probe(_)));
            }
            let Some(backend) = sent(&out) else { break };
            *sends.entry(backend.clone()).or_insert(0) += 1;
            if backend != flaps || id % 200 < 100 {
                d.established(id, attempt, MS);
                break;
            }
            out = d.ended(id, attempt, Status::ConnectFailed, false);
            attempt += 1;
        }
        d.now += 10 * MS;
    }
    let others = sends.iter().filter(|(b, _)| **b != flaps).map(|(_, n)| *n).min().unwrap();
    assert!(sends[&flaps] < others, "it does not look empty for its failures: {sends:?}");
}

#[test]
fn a_cell_that_restarts_at_once_is_met_cold_before_the_list_tells() {
    let s = Settings {
        proxies: 50,
        slow_start_duration: 20 * S,
        slow_start_min_share: 0.2,
        overload_window: S,
        ..settings()
    };
    let mut d = Driver::new(s, 12);
    let by = connect_all(&mut d, 1..240);
    d.now += 10 * S;
    let struck: Vec<BackendId> = by.keys().take(4).cloned().collect();
    for id in struck.iter().flat_map(|b| &by[b]) {
        d.ended(*id, 0, Status::Reset, true);
    }
    // Past the slow spell that the lost connections look like, their clients come back in one wave.
    d.now += 35 * S;
    let mut met: BTreeMap<BackendId, u32> = BTreeMap::new();
    for id in 1_000..1_240 {
        let out = d.request_with(Request { id, key: Some(id), reconnecting: true, ..Request::default() });
        if let Some(backend) = sent(&out) {
            d.established(id, 0, MS);
            *met.entry(backend).or_default() += 1;
        }
        d.now += MS;
    }
    let cold: u32 = struck.iter().filter_map(|b| met.get(b)).sum();
    let warm: u32 = met.values().sum::<u32>() - cold;
    assert!(cold <= 20 && warm >= 200, "a third of the fleet, {cold} of 240 while it is cold: {met:?}");
}

#[test]
fn a_relay_that_starts_with_its_last_list_uses_all_of_it_at_once() {
    let mut d = Driver::new(Settings { ask_for_list: true, exclude_removed: false, ..settings() }, 12);
    let met = connect_all(&mut d, 1..200);
    assert_eq!(met.len(), 12, "nobody of the first list is unproven");
    assert!(met.values().all(|ids| ids.len() < 40), "and nobody is crowded");
}
