//! Several processes of the real program round a machine list that is slow, refuses or falls silent: no request begins
//! at a node that was announced as leaving once that binds, whether or not it came.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses its part
mod harness;

use harness::{Backend, Discovery, Proxy, SETTINGS, TEST_TIMEOUT, http_response};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

/// When a change binds, whether it was told or not.
const BINDS: Duration = Duration::from_secs(6);

fn backends() -> [Backend; 2] {
    [Backend::new("n0"), Backend::new("n1")]
}

fn start_proxies(name: &str, discovery: &Discovery, backends: &[Backend]) -> Vec<Proxy> {
    (0..3).map(|i| Proxy::start_with_discovery(&format!("{name}{i}"), discovery.address, backends)).collect()
}

/// Waits until a change that was made then binds, and a little longer.
fn until_binding(made: Instant) {
    thread::sleep((BINDS + Duration::from_millis(100)).saturating_sub(made.elapsed()));
}

// Guards against calls that are given up while they wait their turn, which discovery works through all the same: with
// enough proxies it then answers nobody who is still there.
#[test]
fn a_call_that_waits_its_turn_behind_others_is_not_given_up() {
    let (backends, discovery) = (backends(), Discovery::new());
    discovery.set_queue_delay(Duration::from_secs(3));
    let proxies = start_proxies("turn", &discovery, &backends);
    let connections: Vec<_> = proxies.iter().map(|proxy| proxy.connect_any("k", &backends)).collect();
    let made = Instant::now();
    backends.iter().for_each(|backend| discovery.publish(&backend.entry("draining")));
    for (mut client, _at_backend) in connections {
        assert_eq!(client.line_within(BINDS.saturating_sub(made.elapsed())).as_deref(), Some("MOVE\r\n"));
    }
}

// Guards against what discovery writes on a call that another one has replaced: it counts as told.
#[test]
fn what_comes_on_a_call_that_was_late_is_entered() {
    let (backends, discovery) = (backends(), Discovery::new());
    let proxies = start_proxies("late", &discovery, &backends);
    let connections: Vec<_> = proxies.iter().map(|proxy| proxy.connect_any("k", &backends)).collect();
    let calls = |n: usize| (0..n).for_each(|_| assert!(discovery.calls.recv_timeout(TEST_TIMEOUT).is_ok()));
    calls(3);
    discovery.stop_answering();
    backends.iter().for_each(|backend| discovery.publish(&backend.entry("draining")));
    // Each has called anew by then, and is answered what it missed; the first of them is enough to go on.
    calls(1);
    discovery.answer_old_connections();
    for (mut client, _at_backend) in connections {
        assert_eq!(client.line(), "MOVE\r\n");
    }
}

// Guards against requests to a node that left while discovery refused every call: what it would have told binds.
#[test]
fn nothing_begins_where_what_was_not_told_may_bind() {
    let (backends, discovery) = (backends(), Discovery::new());
    discovery.fail_calls(u32::MAX);
    let proxies = start_proxies("refused", &discovery, &backends);
    let made = Instant::now();
    backends.iter().for_each(|backend| discovery.publish(&backend.entry("draining")));
    until_binding(made);
    for proxy in &proxies {
        assert!(proxy.open("k").line().starts_with("BUSY"), "refused, as another try is harmless");
    }
    assert!(backends.iter().all(Backend::has_no_new_connection));
    // Once it is told again, whoever is ready is used.
    discovery.publish(&backends[1].entry("ready"));
    discovery.fail_calls(0);
    for proxy in &proxies {
        let served = || {
            let mut client = proxy.open("k2");
            let answer = client.line_within(Duration::from_millis(50));
            answer.is_none_or(|line| !line.starts_with("BUSY")).then_some(client)
        };
        let mut client = harness::poll_until(served).expect("a request that is sent on");
        let (mut at_backend, _) = backends[1].accept_open();
        at_backend.send("UP r1\r\n");
        assert_eq!(client.line(), "UP r1\r\n");
    }
    assert!(backends[0].has_no_new_connection());
}

// Guards against what the discovery before still writes while the new one has not answered.
#[test]
fn a_reload_does_not_lose_what_the_old_discovery_tells_meanwhile() {
    let (backends, old) = (backends(), Discovery::new());
    let mut proxies = start_proxies("moved", &old, &backends);
    let connections: Vec<_> = proxies.iter().map(|proxy| proxy.connect_any("k", &backends)).collect();
    (0..3).for_each(|_| assert!(old.calls.recv_timeout(TEST_TIMEOUT).is_ok()));
    for proxy in &mut proxies {
        let new = Discovery::new();
        new.set_queue_delay(Duration::from_secs(3));
        new.publish(&backends[0].entry("ready"));
        proxy.reload_with_discovery(new);
    }
    proxies.iter().for_each(|proxy| proxy.discovery.wait_until_connected());
    let made = Instant::now();
    backends.iter().for_each(|backend| old.publish(&backend.entry("draining")));
    for (mut client, _at_backend) in connections {
        let before_the_new_one = Duration::from_secs(2).saturating_sub(made.elapsed());
        assert_eq!(client.line_within(before_the_new_one).as_deref(), Some("MOVE\r\n"));
    }
}

// Guards against bounds on the length of a list, and against lists that take long to enter while requests come.
#[test]
fn a_thousand_that_leave_at_once_get_nothing_more() {
    let (leaving, stays) = (Backend::new("leaving"), Backend::new("stays"));
    let mut entries = leaving.entries(0..1023, "ready");
    entries.push(stays.entry("ready"));
    let proxy = Proxy::start_with("thousand", 1024, &entries, SETTINGS);
    proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap();
    for (index, whole) in [(7, false), (8, true)] {
        let mut told = leaving.entries(0..1023, "draining");
        told.push(stays.entry("ready"));
        let body = format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, told.join(","));
        let since = Instant::now();
        proxy.discovery.send_raw_answer(http_response(&body, body.len()));
        assert_eq!(proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap().from, index);
        // The grace is a second by default; this is the unoptimised program on a machine that does other things too.
        assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
        for i in 0..50 {
            let mut client = proxy.open(&format!("{index}{i}"));
            let (mut at_backend, _) = stays.accept_open();
            at_backend.send("UP r1\r\n");
            assert_eq!(client.line(), "UP r1\r\n");
        }
        assert!(leaving.has_no_new_connection());
    }
    assert!(proxy.peak_memory_kb() < 32 << 10, "{} kB", proxy.peak_memory_kb());
}

// Guards against a fleet that serves nobody while discovery is not there at all: that binds nobody.
#[test]
fn a_discovery_that_is_not_there_stops_nobody() {
    let backends = backends();
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let since = Instant::now();
    let proxies: Vec<Proxy> =
        (0..3).map(|i| Proxy::start_with_discovery(&format!("down{i}"), nobody, &backends)).collect();
    until_binding(since + Duration::from_secs(1));
    for proxy in &proxies {
        proxy.connect_any("k", &backends);
    }
}
