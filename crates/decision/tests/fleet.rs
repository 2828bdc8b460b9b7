//! A hundred relays that share nothing and see few requests each: what they do to backends together.

mod common;
use common::*;
use pierloom_decision::*;
use std::collections::BTreeMap;

const RELAYS: usize = 100;

/// As on the grown fleet: reports of load and delay, no notes of delays.
fn many() -> Settings {
    let mut settings = settings();
    settings.classes[0].deadline = 4_800 * MS;
    Settings {
        relays: RELAYS as u32,
        max_attempts: 4,
        may_probe: true,
        load_report: Some(0),
        delay_report: Some(1),
        sized_weights: true,
        cold: 9 * S,
        cold_from: 0.3,
        fall_multiple: 4.0,
        fall: 1_500 * MS,
        ..settings
    }
}

/// What each backend reports: load and delay in milliseconds. Those that are not named are half full and quick.
type Reports = BTreeMap<BackendId, [f64; 2]>;

fn report(reports: &Reports, backend: &BackendId) -> Event {
    let report = reports.get(backend).unwrap_or(&[0.5, 8.0]).to_vec();
    Event::Probed { backend: backend.clone(), status: Status::Ok, report }
}

/// Answers all probes, at once, until none is asked for; everything else that was wanted.
fn answer(d: &mut Driver, mut out: Vec<Action>, reports: &Reports) -> Vec<Action> {
    let mut rest = Vec::new();
    while !out.is_empty() {
        for action in std::mem::take(&mut out) {
            match action {
                Action::Probe(backend) => out.extend(d.event(report(reports, &backend))),
                other => rest.push(other),
            }
        }
    }
    rest
}

/// Places a request and sets it up; its backend.
fn place(d: &mut Driver, id: RequestId, reports: &Reports) -> Option<BackendId> {
    let deadline = d.now + 4_800 * MS;
    let out = d.request_with(Request { id, key: Some(id * 977), deadline, ..Request::default() });
    let backend = sent(&answer(d, out, reports))?;
    d.established(id, 0, 20 * MS);
    Some(backend)
}

fn fleet(n: usize) -> Vec<Driver> {
    let relay = |seed| {
        let mut d = Driver { balancer: Balancer::new(many(), seed).unwrap(), now: 100 * S };
        d.list(ListKind::Full, members(n));
        d
    };
    (0..RELAYS as u64).map(relay).collect()
}

/// Guards against a cold backend left idle beside full ones: of many relays each has its part of the cold
/// budget, and most have no request to spend it on.
#[test]
fn relays_with_few_requests_fill_a_cold_backend_together() {
    let (mut relays, reports) = (fleet(8), Reports::new());
    let turn = |relays: &mut Vec<Driver>, k: u64| {
        let d = &mut relays[(k * 37 % RELAYS as u64) as usize];
        d.now = 100 * S + k * 200 * MS;
        place(d, k, &reports)
    };
    // Five a second over all for 40 s, then one backend is back from a restart.
    for k in 0..200 {
        turn(&mut relays, k);
    }
    let mut cold = members(8)[3].clone();
    cold.started = 140 * S;
    for d in &mut relays {
        d.now = 140 * S;
        d.list(ListKind::Delta, vec![cold.clone()]);
    }
    let sent = (200..245).filter(|&k| turn(&mut relays, k) == Some(cold.backend.clone())).count();
    // At half load it can surely take 1.25 a second while warm, 0.65 of that on the mean, and four times that
    // by the rule: 29 in these 9 s. While warm its part of the requests would be 6.
    assert!((4..=29).contains(&sent), "{sent} of 45 went to the cold backend");
}

/// Guards against the moves of a drain begun in the same instant: with one connection there each, rounds of
/// one in twenty spread nothing over the fleet.
#[test]
fn relays_do_not_empty_a_draining_backend_in_the_same_instant() {
    let (mut relays, reports) = (fleet(2), Reports::new());
    let mut draining = members(2)[0].clone();
    draining.state = MemberState::Draining;
    let (mut gaps, mut held) = (Vec::new(), 0);
    for (k, d) in relays.iter_mut().enumerate() {
        let placed = place(d, k as u64, &reports);
        d.now += S;
        let told = d.list(ListKind::Delta, vec![draining.clone()]);
        held += usize::from(placed == Some(draining.backend.clone()));
        gaps.extend(told.iter().filter_map(|action| match action {
            Action::Timer(gap, 3) => Some(*gap),
            _ => None,
        }));
    }
    assert!(held > 20 && gaps.len() == held, "{held} relays hold one there, {} begin", gaps.len());
    let most = (0..10).map(|k| gaps.iter().filter(|&&gap| gap / (100 * MS) == k).count()).max();
    assert!(most.is_some_and(|most| most <= held / 3), "{most:?} of {held} begin within a tenth of a second");
    assert!(gaps.iter().all(|&gap| gap <= S), "and all within a second");
}
