//! Several processes of the real program share a discovery service that is slow, refuses calls or stops
//! answering. No request may start at a backend once its drain must be obeyed, whether or not the drain
//! reached the proxy.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses a part of the harness
mod harness;

use harness::{Backend, Discovery, EVENT_TIMEOUT, Proxy, SETTINGS, http_response};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

/// A change must be obeyed this long after discovery has it, whether or not it reached the proxy.
const CHANGE_TAKES_EFFECT_AFTER: Duration = Duration::from_secs(6);

fn backends() -> [Backend; 2] {
    [Backend::new("n0"), Backend::new("n1")]
}

/// Starts three proxies that share one discovery service.
fn start_proxies(name: &str, discovery: &Discovery, backends: &[Backend]) -> Vec<Proxy> {
    (0..3).map(|i| Proxy::start_with_discovery(&format!("{name}{i}"), discovery.address, backends)).collect()
}

/// Waits until a change made at `changed_at` must be obeyed, and a little longer.
fn wait_until_change_takes_effect(changed_at: Instant) {
    thread::sleep(
        (CHANGE_TAKES_EFFECT_AFTER + Duration::from_millis(100)).saturating_sub(changed_at.elapsed()),
    );
}

// Guards against proxies that abandon calls while these wait in the queue at discovery. Discovery processes
// abandoned calls all the same, so that with enough proxies it only answers callers that have gone.
#[test]
fn a_call_queued_behind_others_at_discovery_is_not_abandoned() {
    let (backends, discovery) = (backends(), Discovery::new());
    discovery.set_queue_delay(Duration::from_secs(3));
    let proxies = start_proxies("queued", &discovery, &backends);
    let connections: Vec<_> = proxies.iter().map(|proxy| proxy.establish_at_any("k", &backends)).collect();
    let changed_at = Instant::now();
    backends.iter().for_each(|backend| discovery.publish(&backend.entry("draining")));
    for (mut client, _at_backend) in connections {
        assert_eq!(
            client.line_within(CHANGE_TAKES_EFFECT_AFTER.saturating_sub(changed_at.elapsed())).as_deref(),
            Some("MOVE\r\n")
        );
    }
}

// Guards against a lost change: what discovery answers to a call that the proxy has already replaced by
// another one counts as delivered.
#[test]
fn a_late_answer_to_a_replaced_call_is_applied() {
    let (backends, discovery) = (backends(), Discovery::new());
    let proxies = start_proxies("late", &discovery, &backends);
    let connections: Vec<_> = proxies.iter().map(|proxy| proxy.establish_at_any("k", &backends)).collect();
    let wait_for_calls =
        |n: usize| (0..n).for_each(|_| assert!(discovery.calls.recv_timeout(EVENT_TIMEOUT).is_ok()));
    wait_for_calls(3);
    discovery.stop_answering();
    backends.iter().for_each(|backend| discovery.publish(&backend.entry("draining")));
    // Each proxy calls again before its old call gets the missed change. The first new call is enough.
    wait_for_calls(1);
    discovery.answer_old_connections_only();
    for (mut client, _at_backend) in connections {
        assert_eq!(client.line(), "MOVE\r\n");
    }
}

// Guards against requests to a backend that drains while discovery refuses every call: the drain must be
// obeyed although it did not reach the proxies.
#[test]
fn no_request_starts_once_a_missed_change_may_take_effect() {
    let (backends, discovery) = (backends(), Discovery::new());
    discovery.fail_calls(u32::MAX);
    let proxies = start_proxies("refused", &discovery, &backends);
    let changed_at = Instant::now();
    backends.iter().for_each(|backend| discovery.publish(&backend.entry("draining")));
    wait_until_change_takes_effect(changed_at);
    for proxy in &proxies {
        assert!(
            proxy.send_request("k").line().starts_with("BUSY"),
            "the proxy must refuse, because a retry is harmless"
        );
    }
    assert!(backends.iter().all(Backend::has_no_new_connection));
    // Once discovery answers again, the proxies use the backend that is ready.
    discovery.publish(&backends[1].entry("ready"));
    discovery.fail_calls(0);
    for proxy in &proxies {
        let served = || {
            let mut client = proxy.send_request("k2");
            let answer = client.line_within(Duration::from_millis(50));
            answer.is_none_or(|line| !line.starts_with("BUSY")).then_some(client)
        };
        let mut client = harness::poll_until(served).expect("a request that reaches a backend");
        let (mut at_backend, _) = backends[1].accept_first_line();
        at_backend.send("UP r1\r\n");
        assert_eq!(client.line(), "UP r1\r\n");
    }
    assert!(backends[0].has_no_new_connection());
}

// Guards against a lost change: the previous discovery service still reports it while the new one has not
// answered.
#[test]
fn a_reload_applies_what_the_old_discovery_reports_until_the_new_one_answers() {
    let (backends, old) = (backends(), Discovery::new());
    let mut proxies = start_proxies("moved", &old, &backends);
    let connections: Vec<_> = proxies.iter().map(|proxy| proxy.establish_at_any("k", &backends)).collect();
    (0..3).for_each(|_| assert!(old.calls.recv_timeout(EVENT_TIMEOUT).is_ok()));
    for proxy in &mut proxies {
        let new = Discovery::new();
        new.set_queue_delay(Duration::from_secs(3));
        new.publish(&backends[0].entry("ready"));
        proxy.reload_with_discovery(new);
    }
    proxies.iter().for_each(|proxy| proxy.discovery.wait_until_connected());
    let changed_at = Instant::now();
    backends.iter().for_each(|backend| old.publish(&backend.entry("draining")));
    for (mut client, _at_backend) in connections {
        let time_before_new_answers = Duration::from_secs(2).saturating_sub(changed_at.elapsed());
        assert_eq!(client.line_within(time_before_new_answers).as_deref(), Some("MOVE\r\n"));
    }
}

// Guards against a limit on the number of endpoints, and against endpoint lists that take long to apply while
// requests arrive.
#[test]
fn a_thousand_backends_that_drain_at_once_get_no_new_request() {
    let (draining, ready) = (Backend::new("leaving"), Backend::new("stays"));
    let mut entries = draining.entries(0..1023, "ready");
    entries.push(ready.entry("ready"));
    let proxy = Proxy::start_with_settings("thousand", 1024, &entries, SETTINGS);
    proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap();
    for (index, is_snapshot) in [(7, false), (8, true)] {
        let mut changes = draining.entries(0..1023, "draining");
        changes.push(ready.entry("ready"));
        let body =
            format!(r#"{{"index":{index},"snapshot":{is_snapshot},"endpoints":[{}]}}"#, changes.join(","));
        let started_at = Instant::now();
        proxy.discovery.send_raw_answer(http_response(&body, body.len()));
        assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, index);
        // The list must be applied within the drain window, which is one second by default. The time
        // may be longer in an unoptimised build on a busy machine.
        assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
        for i in 0..50 {
            let mut client = proxy.send_request(&format!("{index}{i}"));
            let (mut at_backend, _) = ready.accept_first_line();
            at_backend.send("UP r1\r\n");
            assert_eq!(client.line(), "UP r1\r\n");
        }
        assert!(draining.has_no_new_connection());
    }
    assert!(proxy.peak_memory_kb() < 32 << 10, "{} kB", proxy.peak_memory_kb());
}

// Guards against proxies that all stop serving while discovery is unreachable: an unreachable discovery
// service obliges no proxy to refuse requests.
#[test]
fn an_unreachable_discovery_stops_no_request() {
    let backends = backends();
    let unused_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let started_at = Instant::now();
    let proxies: Vec<Proxy> =
        (0..3).map(|i| Proxy::start_with_discovery(&format!("down{i}"), unused_address, &backends)).collect();
    wait_until_change_takes_effect(started_at + Duration::from_secs(1));
    for proxy in &proxies {
        proxy.establish_at_any("k", &backends);
    }
}
