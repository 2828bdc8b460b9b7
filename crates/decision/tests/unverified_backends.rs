//! Tests of endpoints and probes that contradict what the proxy observes itself: one test for each kind of
//! contradiction.

mod common;
use common::*;
use pierloom_decision::*;
use std::collections::BTreeMap;

/// Settings with which only draining must be obeyed, without probes.
fn settings_without_removal() -> Settings {
    Settings { exclude_removed: false, ..settings() }
}

/// The backend, listed in this state.
fn member_in_state(backend: &BackendId, state: MemberState) -> Member {
    Member { state, ..Member::ready(backend) }
}

/// Establishes a connection for each of these requests; returns the requests by backend.
fn connect_all(d: &mut Driver, ids: std::ops::Range<u64>) -> BTreeMap<BackendId, Vec<u64>> {
    let mut ids_by_backend: BTreeMap<BackendId, Vec<u64>> = BTreeMap::new();
    ids.for_each(|id| ids_by_backend.entry(d.connect(id)).or_default().push(id));
    ids_by_backend
}

/// The backends that the actions probe.
fn probed(out: &[Action]) -> Vec<BackendId> {
    let probe = |a: &Action| if let Action::Probe(b) = a { Some(b.clone()) } else { None };
    out.iter().filter_map(probe).collect()
}

/// First table entries of a hundred keys: a request of a connection that is already established goes there.
fn first_entries(d: &mut Driver, first: u64) -> Vec<BackendId> {
    let mut first_entry = |key: u64| {
        let id = first + key;
        let out = d.request_with(Request { id, key: Some(key), mid_flow: true, ..Request::default() });
        d.established(id, 0, MS);
        sent(&out).unwrap()
    };
    (0..100).map(&mut first_entry).collect()
}

/// Guards against a wrong list that takes healthy backends out of use, and with them moves keys to other
/// backends.
#[test]
fn a_removed_backend_with_own_connections_stays_in_use_and_keys_keep_their_backends() {
    let mut d = Driver::new(settings_without_removal(), 12);
    let before = first_entries(&mut d, 1_000);
    // The list has lost three quarters of the backends.
    d.list(ListKind::Full, members(3));
    assert_eq!(first_entries(&mut d, 2_000), before);
    // If removal must be obeyed, the removed backends get nothing.
    let mut d = Driver::new(settings(), 12);
    connect_all(&mut d, 1..100);
    d.list(ListKind::Full, members(3));
    assert!(connect_all(&mut d, 1_000..1_060).len() <= 3);
}

/// Guards against requests that are lost at a backend that has left, and against a backend that stays unused
/// because of a wrong list although it serves requests.
#[test]
fn a_removed_backend_without_own_connections_gets_one_attempt_at_a_time() {
    let mut d = Driver::new(settings_without_removal(), 4);
    d.list(ListKind::Full, members(3));
    let removed: BackendId = "10.0.0.3:7000".into();
    let mut sends = 0;
    for id in 1..200 {
        // No event follows the attempts at the removed backend.
        if sent(&d.request(id)) == Some(removed.clone()) {
            sends += 1;
        } else {
            d.established(id, 0, MS);
        }
        d.now += 10 * MS;
    }
    assert!((1..=4).contains(&sends), "attempts with gaps of 0.5 to 1.5 s: {sends} in 2 s");
    // The backend answers, so that it counts as verified and gets its share of the keys again at once.
    d.now += 2 * S;
    let answering = connect_all(&mut d, 1_000..1_300);
    d.now += 2 * S;
    let later = connect_all(&mut d, 2_000..2_100);
    assert!(answering.contains_key(&removed) && later[&removed].len() > 10, "{:?}", later[&removed].len());
}

/// Guards against a draining backend that is used again because a later list reports it as gone, or no longer
/// has it.
#[test]
fn a_draining_backend_gets_nothing_new_until_the_list_reports_it_ready() {
    for settings in [settings_without_removal(), settings()] {
        let mut d = Driver::new(settings, 3);
        let draining: BackendId = "10.0.0.1:7000".into();
        d.list(ListKind::Delta, vec![member_in_state(&draining, MemberState::Draining)]);
        assert!(!connect_all(&mut d, 1..60).contains_key(&draining));
        d.list(ListKind::Delta, vec![member_in_state(&draining, MemberState::Gone)]);
        assert!(!connect_all(&mut d, 100..160).contains_key(&draining), "reported as gone after it drained");
        let others = members(3).into_iter().filter(|m| m.backend != draining).collect();
        d.list(ListKind::Full, others);
        d.now += 5 * S;
        assert!(!connect_all(&mut d, 200..260).contains_key(&draining), "missing in a list after it drained");
        d.list(ListKind::Full, members(3));
        assert!(connect_all(&mut d, 300..400).contains_key(&draining));
    }
}

/// Guards against a list with backends that do not exist: requests must not be sent there again and again.
#[test]
fn listed_backends_that_do_not_exist_get_few_attempts_and_a_correct_list_applies_at_once() {
    let mut d = Driver::new(Settings { max_attempts: 6, ..settings_without_removal() }, 4);
    connect_all(&mut d, 1..10);
    let mut wrong_list = members(4);
    wrong_list.extend((0..3).map(|i| Member::ready(&format!("10.9.9.{i}:7000"))));
    d.list(ListKind::Full, wrong_list);
    let (mut failed_attempts, mut held) = (0, 0);
    for id in 100..500 {
        let mut attempt = 0;
        let mut out = d.request(id);
        while let Some(backend) = sent(&out).filter(|b| b.starts_with("10.9.9")) {
            failed_attempts += 1;
            out = d.ended(id, attempt, Status::ConnectFailed, false);
            attempt += 1;
            assert_ne!(sent(&out), Some(backend));
        }
        if sent(&out).is_some() {
            d.established(id, attempt, MS);
        } else {
            // By chance none of the eight table entries of the key exists. The request is held until an
            // attempt at one of them is allowed again.
            held += 1;
            assert!(!refused(&out));
            d.event(Event::ClientGone(id));
        }
        d.now += 10 * MS;
    }
    assert!(held <= 4, "{held}");
    assert!(
        (3..=15).contains(&failed_attempts),
        "400 requests in 4 s, a few attempts at each of three backends: {failed_attempts}"
    );
    d.list(ListKind::Full, members(4));
    assert_eq!(connect_all(&mut d, 1_000..1_100).len(), 4);
}

/// Guards against a request that is lost at a backend that only the list reports.
#[test]
fn a_new_backend_is_probed_before_it_gets_a_request() {
    let mut d = Driver::new(Settings { may_probe: true, ..settings_without_removal() }, 3);
    let new: BackendId = "10.9.9.1:7000".into();
    let mut list = members(3);
    list.push(Member::ready(&new));
    d.list(ListKind::Full, list);
    let mut probes = 0;
    for id in 1..40 {
        let out = d.request(id);
        probes += probed(&out).len();
        assert_ne!(sent(&out).unwrap(), new, "during the probe, the request goes elsewhere");
        d.established(id, 0, MS);
    }
    assert_eq!(probes, 1, "one probe at a time");
    d.event(Event::Probed { backend: new.clone(), status: Status::Ok, report: Vec::new() });
    assert!(connect_all(&mut d, 100..160).contains_key(&new), "the new backend answered the probe");
}

/// Sends `n` requests, one every 10 ms, to four backends, one of which fails at these requests and times.
/// Returns the number of attempts at that backend.
fn count_sent_to_failing(n: u64, fails: impl Fn(u64, Micros) -> bool) -> usize {
    let mut d = Driver::new(Settings { max_attempts: 6, ..settings() }, 4);
    let failing: BackendId = "10.0.0.2:7000".into();
    let start = d.now;
    let mut sends = 0;
    for id in 1..=n {
        let (mut out, mut attempt) = (d.request(id), 0);
        while let Some(backend) = sent(&out) {
            sends += usize::from(backend == failing);
            if backend != failing || !fails(id, d.now - start) {
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

/// Guards against a backend that attracts requests because it fails them quickly, and so has few connections.
#[test]
fn a_backend_that_fails_a_share_of_its_requests_quickly_does_not_count_as_idle() {
    let healthy = count_sent_to_failing(1_000, |_, _| false);
    let half = count_sent_to_failing(1_000, |id, _| id % 2 == 0);
    assert!(half < healthy / 4, "half of the requests fail: {half} instead of {healthy}");
    let rare = count_sent_to_failing(1_000, |id, _| id % 200 == 0);
    assert!(rare > healthy * 2 / 3, "one of two hundred requests fails: {rare} instead of {healthy}");
}

/// Guards against a backend that fails for some seconds at a time and gets its full share in between, and
/// against a backend that stays unused after that.
#[test]
fn a_flapping_backend_is_avoided_and_used_again_when_it_stays_healthy() {
    let healthy = count_sent_to_failing(2_000, |_, _| false);
    // The backend fails in 2 s of each 4 s, for 12 s. In the last 8 s it is healthy.
    let flaps = |until: Micros| move |_, t: Micros| t < until && t % (4 * S) < 2 * S;
    let flapping = count_sent_to_failing(1_200, flaps(12 * S)) * 2_000 / 1_200;
    // If a success cleared all failures, the backend would get a third of its share: all of it in each
    // healthy period.
    assert!(flapping < healthy / 6, "{flapping} instead of {healthy}");
    let recovered = count_sent_to_failing(2_000, flaps(12 * S)) - count_sent_to_failing(1_200, flaps(12 * S));
    assert!(
        recovered > healthy * 8 / 20 / 2,
        "at least half of its share in the 8 s after: {recovered} of {healthy}"
    );
}

/// Guards against overload of a backend that restarted before the list reports it, and against slow start of
/// a backend that only could not be reached.
#[test]
fn slow_start_begins_after_the_loss_of_all_connections_and_not_after_an_error() {
    let s = Settings {
        slow_start_duration: 20 * S,
        slow_start_min_share: 0.2,
        overload_window: S,
        proxies: 50,
        ..settings()
    };
    let sent_after = |all_lost: bool| {
        let mut d = Driver::new(s.clone(), 4);
        let ids_by_backend = connect_all(&mut d, 1..60);
        let (backend, ids) = ids_by_backend.iter().next().unwrap();
        if all_lost {
            ids.iter().for_each(|&id| drop(d.ended(id, 0, Status::Reset, true)));
        } else {
            // The backend cannot be reached by two attempts, while its established connections continue.
            for id in 100..102 {
                let key = Some(ids[0]);
                let out = d.request_with(Request { id, key, mid_flow: true, ..Request::default() });
                assert!(sent(&out).is_some());
                d.ended(id, 0, Status::ConnectFailed, true);
            }
        }
        d.now += 35 * S;
        let next = connect_all(&mut d, 200..260);
        // The next success at the backend decides whether it counts as restarted.
        d.now += 100 * MS;
        let after = connect_all(&mut d, 300..360);
        (next.contains_key(backend), after.get(backend).map_or(0, Vec::len))
    };
    let (unreachable, restarted) = (sent_after(false), sent_after(true));
    assert!(unreachable.0 && restarted.0, "both backends are tried again");
    assert!(restarted.1 + 5 < unreachable.1, "{restarted:?} after a restart, {unreachable:?} after errors");
}

/// Guards against requests that are refused without an attempt because all backends failed lately.
#[test]
fn failures_at_all_backends_do_not_stop_attempts() {
    let mut d = Driver::new(Settings { max_attempts: 1, ..settings() }, 4);
    for id in 1..40 {
        d.request(id);
        d.ended(id, 0, Status::ConnectFailed, true);
    }
    let sends = (100..140).filter(|&id| sent(&d.request(id)).is_some()).count();
    assert_eq!(sends, 40, "failures at all backends exclude none of them");
}

/// Guards against many failed attempts while this proxy cannot reach half of the backends that are listed as
/// ready.
#[test]
fn backends_that_answer_are_preferred_while_half_cannot_be_reached() {
    let mut d = Driver::new(Settings { max_attempts: 3, ..settings() }, 12);
    let is_unreachable = |b: &BackendId| b.trim_end_matches(":7000").ends_with(['0', '2', '4', '6', '8']);
    let (mut failures, mut unanswered) = (0, 0);
    let mut connections: BTreeMap<BackendId, u32> = BTreeMap::new();
    for id in 1..600 {
        let (mut out, mut attempt) = (d.request(id), 0);
        while let Some(backend) = sent(&out) {
            if !is_unreachable(&backend) {
                *connections.entry(backend).or_default() += 1;
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
    let (most, least) = (connections.values().max().unwrap(), connections.values().min().unwrap());
    assert!(most < &(3 * least), "the backends that answer share the connections: {connections:?}");
}

/// Guards against keys that move to other backends with each small change of the weights.
#[test]
fn small_changes_of_live_weights_move_no_key() {
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

/// Guards against a wrong list during a deployment: the backends that it lacks must stay in use, and the
/// draining backend must get nothing new.
#[test]
fn a_wrong_list_during_a_deployment_neither_ends_a_drain_nor_removes_a_healthy_backend() {
    let mut d = Driver::new(settings_without_removal(), 8);
    let ids_by_backend = connect_all(&mut d, 1..100);
    let draining: BackendId = "10.0.0.0:7000".into();
    d.list(ListKind::Delta, vec![member_in_state(&draining, MemberState::Draining)]);
    // The list has the successor of the draining backend and half of the others. The draining backend and the
    // other half are missing.
    let mut list = members(4);
    list.remove(0);
    let successor = Member { started: d.now, ..Member::ready("10.0.1.0:7000") };
    list.push(successor.clone());
    d.list(ListKind::Full, list);
    d.now += S;
    let used = connect_all(&mut d, 1_000..1_200);
    assert!(!used.contains_key(&draining));
    assert!(
        ids_by_backend.keys().filter(|b| **b != draining).all(|b| used.contains_key(b)),
        "{:?}",
        used.keys()
    );
    d.now += 60 * S;
    let mut list = members(8);
    list.remove(0);
    list.push(successor.clone());
    d.list(ListKind::Full, list);
    assert!(connect_all(&mut d, 2_000..2_200).contains_key(&successor.backend));
}

/// Guards against a flapping backend that gets more requests than others because its failures make it look
/// idle, while probes show nothing.
#[test]
fn when_probes_fail_a_flapping_backend_is_judged_by_own_requests() {
    let mut d = Driver::new(Settings { may_probe: true, load_report: Some(0), ..settings() }, 4);
    let flapping: BackendId = "10.0.0.1:7000".into();
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
            if backend != flapping || id % 200 < 100 {
                d.established(id, attempt, MS);
                break;
            }
            out = d.ended(id, attempt, Status::ConnectFailed, false);
            attempt += 1;
        }
        d.now += 10 * MS;
    }
    let others = sends.iter().filter(|(b, _)| **b != flapping).map(|(_, n)| *n).min().unwrap();
    assert!(sends[&flapping] < others, "failures do not count as spare capacity: {sends:?}");
}

/// Guards against overload of the backends of a cell that restart at once: all their clients reconnect
/// together before the list reports the restart.
#[test]
fn backends_that_restart_together_are_in_slow_start_before_the_list_reports_it() {
    let s = Settings {
        proxies: 50,
        slow_start_duration: 20 * S,
        slow_start_min_share: 0.2,
        overload_window: S,
        ..settings()
    };
    let mut d = Driver::new(s, 12);
    let ids_by_backend = connect_all(&mut d, 1..240);
    d.now += 10 * S;
    let restarted: Vec<BackendId> = ids_by_backend.keys().take(4).cloned().collect();
    for id in restarted.iter().flat_map(|b| &ids_by_backend[b]) {
        d.ended(*id, 0, Status::Reset, true);
    }
    // The lost connections make the backends count as slow for a while. After that, all clients reconnect at
    // once.
    d.now += 35 * S;
    let mut counts: BTreeMap<BackendId, u32> = BTreeMap::new();
    for id in 1_000..1_240 {
        let out = d.request_with(Request { id, key: Some(id), reconnecting: true, ..Request::default() });
        if let Some(backend) = sent(&out) {
            d.established(id, 0, MS);
            *counts.entry(backend).or_default() += 1;
        }
        d.now += MS;
    }
    let in_slow_start: u32 = restarted.iter().filter_map(|b| counts.get(b)).sum();
    let ramped_up: u32 = counts.values().sum::<u32>() - in_slow_start;
    assert!(
        in_slow_start <= 20 && ramped_up >= 200,
        "a third of the backends is in slow start and gets {in_slow_start} of 240: {counts:?}"
    );
}

/// Guards against a start after which the backends of the stored list count as unverified and are avoided.
#[test]
fn a_new_proxy_uses_all_backends_of_its_first_list_at_once() {
    let mut d = Driver::new(Settings { ask_for_list: true, exclude_removed: false, ..settings() }, 12);
    let used = connect_all(&mut d, 1..200);
    assert_eq!(used.len(), 12, "all backends of the first list count as verified");
    assert!(used.values().all(|ids| ids.len() < 40), "the backends share the connections");
}
