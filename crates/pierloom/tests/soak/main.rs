//! Soak test: several real proxy processes, with faults and events that are drawn from a seed. The clients
//! and backends of the test look for requests that are lost, answered twice, cut off, sent to a draining
//! backend or sent after their client has left, and for a proxy that stops late, as the rules define them.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

mod backend;
mod client;
#[allow(dead_code)] // each test program uses only a part of the harness
#[path = "../harness/mod.rs"]
mod harness;
mod plan;

use backend::Backend;
use client::Run;
use harness::{Proxy, SETTINGS, entry};
use plan::{BackendTrouble, PlannedStop, Random, SYSCALL_FAULTS, SignalStep, SoakPlan};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Number of proxies in each run.
const PROXY_COUNT: usize = 3;
/// Number of backends in each run.
const BACKEND_COUNT: usize = 4;
/// Number of clients in each run, without those of a crowd.
const CLIENT_COUNT: usize = 12;
/// Duration of a run. A drain that a silent watch misses must be obeyed six seconds after discovery has it,
/// so a run with silent watches ends before that and does not check the drain.
const RUN_DURATION: Duration = Duration::from_millis(4_500);
/// The deadline of the request class in these runs.
const DEADLINE_MS: u64 = 900;
/// For this long after a drain is published, requests may still reach the backend.
const DRAIN_WINDOW: Duration = Duration::from_millis(1_000);
/// For this long after its client has left, a request may still reach a backend.
const REQUEST_AFTER_CLIENT_LEFT: Duration = Duration::from_millis(100);
/// Tolerance added to a time limit that is checked on real sockets.
const TIME_LIMIT_TOLERANCE: Duration = Duration::from_millis(50);
/// The earliest time after SIGTERM at which a process is killed.
const KILL_DELAY: Duration = Duration::from_millis(DEADLINE_MS + 700);
/// How long new clients still come to a proxy after its SIGTERM.
const NEW_CLIENTS_AFTER_SIGTERM: Duration = Duration::from_millis(300);

/// Seeds that CI runs. `PIERLOOM_SOAK_SEEDS` replaces them, as `FIRST..END`.
const SEEDS: std::ops::Range<u64> = 1..7;

/// Sends signals to the proxy, each at its time from now on, and returns when SIGTERM was sent.
fn send_signals(proxy: &Proxy, steps: &[SignalStep]) -> Option<Instant> {
    let started_at = Instant::now();
    let mut terminated_at = None;
    for step in steps {
        thread::sleep(step.at.saturating_sub(started_at.elapsed()));
        proxy.signal(step.signal);
        if step.signal == "-TERM" {
            terminated_at.get_or_insert_with(Instant::now);
        }
    }
    terminated_at
}

/// Stops one proxy as planned, and kills it at the earliest time at which it may be killed. Its clients use
/// their connections until then.
fn stop_proxy(run: &Run, proxy: &mut Proxy, stop: &PlannedStop) {
    let number = stop.proxy;
    // SIGTERM comes first, so that the kill counts from it.
    let terminated_at = send_signals(proxy, &stop.signals[..stop.signals_until_term]).unwrap();
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(NEW_CLIENTS_AFTER_SIGTERM.saturating_sub(terminated_at.elapsed()));
            run.without_new_clients[number].store(true, Ordering::Relaxed);
        });
        send_signals(proxy, &stop.signals[stop.signals_until_term..]);
    });
    match proxy.wait_or_kill(terminated_at + KILL_DELAY) {
        Some(status) if status.success() => {}
        Some(status) => run.report(format!("proxy {number} ended with {status:?} after SIGTERM")),
        None => run.report(format!("proxy {number} was killed {KILL_DELAY:?} after SIGTERM")),
    }
}

/// Stops all proxies that are to be stopped, at the same time.
fn stop_proxies(run: &Run, proxies: &mut [Proxy], stops: &[PlannedStop]) {
    thread::scope(|scope| {
        for (number, proxy) in proxies.iter_mut().enumerate() {
            if let Some(stop) = stops.iter().find(|stop| stop.proxy == number) {
                scope.spawn(move || stop_proxy(run, proxy, stop));
            }
        }
    });
}

/// The settings of the proxies.
fn settings() -> String {
    SETTINGS.replace("\"deadline\":4.8", &format!("\"deadline\":{}", DEADLINE_MS as f64 / 1e3))
}

/// Runs one seed. Returns the violations, and how many requests were served.
fn run_seed(seed: u64) -> (Vec<String>, usize) {
    let plan = SoakPlan::draw(&mut Random::new(seed));
    let backends: Vec<Arc<Backend>> = (0..BACKEND_COUNT).map(|_| Backend::start()).collect();
    let entry_of = |i: usize, status| entry(&format!("s-{i}"), backends[i].address, status);
    let entries: Vec<String> = (0..BACKEND_COUNT).map(|i| entry_of(i, "ready")).collect();
    let start_proxy =
        |fault: &usize| Proxy::start_traced("soak", SYSCALL_FAULTS[*fault], &entries, &settings());
    let mut proxies: Vec<Proxy> = plan.syscall_faults.iter().map(start_proxy).collect();
    let run = Arc::new(Run::new(proxies.iter().map(|proxy| proxy.address).collect()));
    let mut clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|number| {
            let (run, mut random) = (run.clone(), Random::new(seed << 8 | number as u64));
            thread::spawn(move || run.run_client(number, &mut random))
        })
        .collect();
    let started_at = Instant::now();
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(started_at.elapsed()));
    wait_until(plan.drain_at);
    if plan.silent_watches {
        proxies.iter().for_each(|proxy| proxy.discovery.stop_answering());
    }
    proxies.iter().for_each(|proxy| proxy.discovery.publish(&entry_of(plan.draining, "draining")));
    let published_at = Instant::now();
    let troubled = &backends[plan.troubled_backend];
    match plan.backend_trouble {
        Some(BackendTrouble::Closes) => troubled.closes.store(true, Ordering::Relaxed),
        Some(BackendTrouble::Hangs) => troubled.hangs.store(true, Ordering::Relaxed),
        None => {}
    }
    send_signals(&proxies[plan.suspended], &plan.suspension);
    if let Some(crowd) = plan.crowd {
        let (run, mut random) = (run.clone(), Random::new(!seed));
        clients.push(thread::spawn(move || run.run_crowd(&crowd, &mut random)));
    }
    stop_proxies(&run, &mut proxies, &plan.stops);
    wait_until(RUN_DURATION);
    run.finished.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let late_requests =
        backends[plan.draining].requests_after(published_at + DRAIN_WINDOW + TIME_LIMIT_TOLERANCE);
    if !plan.silent_watches && late_requests > 0 {
        run.report(format!("{late_requests} requests at a backend that had been reported as draining"));
    }
    for backend in &backends {
        run.check_requests_of_clients_that_left(backend);
    }
    run.result()
}

// Guards against lost requests and broken rules under faults that come together: signals in series, stops up
// to the kill, clients that leave or use their connections to the end, and crowds.
#[test]
fn random_runs_lose_no_request_and_break_no_rule() {
    let seeds_text = std::env::var("PIERLOOM_SOAK_SEEDS").ok();
    let range = seeds_text.as_deref().and_then(|text| text.split_once(".."));
    let seeds = range.map_or(SEEDS, |(first, end)| first.parse().unwrap()..end.parse().unwrap());
    let mut failures = Vec::new();
    for seed in seeds.clone() {
        let (violations, served) = run_seed(seed);
        println!("seed {seed}: {served} served, {} violations", violations.len());
        if !violations.is_empty() || served < CLIENT_COUNT {
            failures.push(format!("seed {seed}: {served} served, {violations:#?}"));
        }
    }
    assert!(
        failures.is_empty(),
        "{} of {} seeds: {}",
        failures.len(),
        seeds.end - seeds.start,
        failures.join("\n")
    );
}
