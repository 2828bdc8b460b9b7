//! Race conditions: each test brings about the unfavourable order of two events every time. The list is in
//! docs/design/crossings.md.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses only a part of the harness
mod harness;

use harness::{Backend, Discovery, EVENT_TIMEOUT, FullQueueBackend, Peer, Proxy, SETTINGS, poll_until};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// Settings that let a connection be established late and a client wait longer.
fn slow_connect_settings() -> String {
    SETTINGS.replace("\"connect-timeout\":0.2", "\"connect-timeout\":9.0").replace("4.8", "30.0")
}

/// The waiting time that a request line states, in milliseconds.
fn stated_wait_ms(line: &str) -> u64 {
    let options = line.trim_end().split_once("d=").expect(line).1;
    options.split(',').next().unwrap().parse().expect(line)
}

/// Sends a request with a deadline of 30 seconds.
fn send_request_with_long_deadline(proxy: &Proxy, key: &str) -> Peer {
    let mut peer = proxy.client();
    peer.send(&format!("OPEN 0a{key} {key} c=feed,d=30000\r\n"));
    peer
}

/// A proxy with one backend, an established connection to it, and a request whose attempt waits until the
/// backend's accept queue has been emptied.
fn start_with_waiting_attempt(name: &str) -> (Proxy, FullQueueBackend, Peer, Peer, Peer) {
    let mut backend = FullQueueBackend::new("n");
    let proxy = Proxy::start_with_settings(name, 1024, &[backend.entry("ready")], &slow_connect_settings());
    let mut established = send_request_with_long_deadline(&proxy, "s");
    let mut at_backend = backend.accept();
    at_backend.line();
    at_backend.send("UP r\r\n");
    assert_eq!(established.line(), "UP r\r\n");
    backend.fill_queue();
    let waiting = send_request_with_long_deadline(&proxy, "w");
    (proxy, backend, established, at_backend, waiting)
}

#[test]
fn a_connection_established_after_its_backend_drains_carries_no_request() {
    let (proxy, mut backend, mut established, _at_backend, mut waiting) =
        start_with_waiting_attempt("late-drain");
    proxy.discovery.publish(&backend.entry("draining"));
    assert_eq!(established.line(), "MOVE\r\n", "the proxy knows of the drain");
    let mut late_connection = backend.accept_after_queue();
    assert_eq!(
        late_connection.read_to_end(),
        (String::new(), false),
        "the proxy wrote nothing to the backend"
    );
    // No other backend can serve the request.
    assert!(waiting.line().starts_with("BUSY"), "the request never ran");
}

#[test]
fn a_connection_established_as_its_client_leaves_carries_no_request() {
    let (proxy, mut backend, _established, _at_backend, waiting) = start_with_waiting_attempt("late-leave");
    // When the proxy resumes, both events are ready: the client's end and the established connection.
    poll_until(|| proxy.is_connecting_to(backend.entry("ready")).then_some(())).expect("an attempt");
    proxy.suspend();
    drop(waiting);
    let mut late_connection = backend.accept_after_queue();
    proxy.resume();
    assert_eq!(
        late_connection.read_to_end(),
        (String::new(), false),
        "the proxy wrote nothing to the backend"
    );
}

#[test]
fn a_request_on_a_late_connection_states_the_remaining_waiting_time() {
    let (_proxy, mut backend, _established, _at_backend, mut waiting) =
        start_with_waiting_attempt("late-wait");
    let started_at = Instant::now();
    std::thread::sleep(SECOND / 2);
    let mut late_connection = backend.accept_after_queue();
    let line = late_connection.line();
    // The limit is a third of half a minute, less the time that the connection took.
    let max_wait_ms = 10_000 - started_at.elapsed().min(SECOND / 2).as_millis() as u64;
    assert!(stated_wait_ms(&line) <= max_wait_ms, "{line}");
    late_connection.send("UP r2\r\n");
    assert_eq!(waiting.line(), "UP r2\r\n");
}

// Guards against a refusal of a request that may have run and must not run twice: a refusal says that another
// try is harmless. The decision module knows which requests these are; the network code does not choose an
// answer.
#[test]
fn a_planned_stop_fails_requests_that_may_have_run_and_refuses_repeatable_ones() {
    for (effect, expected) in
        [("once", "ERR"), ("by_key\",\"window\":9,\"group\":\"zone", "ERR"), ("repeatable", "BUSY")]
    {
        let settings = SETTINGS
            .replace("\"effect\":\"repeatable\",\"group\":\"all\"", &format!("\"effect\":\"{effect}\""));
        let backend = Backend::new("n");
        let mut proxy = Proxy::start_with_settings("stop-once", 1024, &[backend.entry("ready")], &settings);
        let mut client = proxy.send_request("k");
        let (at_backend, _) = backend.accept_first_line();
        proxy.signal("-TERM");
        proxy.wait_until_stopping();
        at_backend.reset();
        let answer = client.line();
        assert!(answer.starts_with(expected), "{effect}: {answer:?}");
        assert!(proxy.wait_for_exit().success());
    }
}

// Guards against an idle client that sends a request at the moment when it is refused. The client gets its
// answer, its lines are not relayed and do not turn the close into a reset, and the process exits when all
// clients have their answers.
#[test]
fn idle_clients_at_a_planned_stop_are_refused_and_their_late_requests_cause_no_reset() {
    let backend = Backend::new("n");
    // With a deadline of one second the kill may come 1.7 s after the signal. The proxy starts nothing more
    // from 0.6 s on, which is before any of these clients has had its full time to send a request.
    let settings = SETTINGS.replace("\"deadline\":4.8", "\"deadline\":1.0");
    let mut proxy = Proxy::start_with_settings("stop-rest", 1024, &[backend.entry("ready")], &settings);
    let mut idle_clients: Vec<Peer> = (0..20).map(|_| proxy.client()).collect();
    for (i, peer) in idle_clients.iter_mut().enumerate() {
        if i % 2 == 0 {
            peer.send("PING\r\n");
            assert_eq!(peer.line(), "PONG\r\n");
        }
    }
    let signaled_at = Instant::now();
    proxy.signal("-TERM");
    for (i, peer) in idle_clients.iter_mut().enumerate() {
        assert_eq!(peer.line(), "BUSY 1000\r\n");
        // This is more than the proxy reads at once, so a close that comes too early leaves the rest unread.
        peer.send(&format!("OPEN 0a{i} k{i} c=feed,d=900\r\n{}", "m\r\n".repeat(20_000)));
        peer.shutdown_write();
        assert_eq!(peer.read_to_end(), (String::new(), false));
    }
    assert!(proxy.wait_for_exit().success());
    assert!(signaled_at.elapsed() < Duration::from_millis(1_700), "{:?}", signaled_at.elapsed());
    assert!(backend.has_no_new_connection());
}

/// Sends a request and answers the probe that it causes with `answer`. Returns the probe connection and the
/// client.
fn send_request_and_answer_probe(backend: &Backend, proxy: &Proxy, key: &str, answer: &str) -> (Peer, Peer) {
    let client = proxy.send_request(key);
    let (mut probe, line) = backend.accept_first_line();
    assert_eq!(line, "STATS\r\n");
    probe.send(answer);
    (probe, client)
}

// Guards against a probe connection on which one answer came twice: each later probe would read the answer to
// the probe before it.
#[test]
fn a_probe_connection_with_an_extra_answer_or_an_end_is_not_reused() {
    let backend = Backend::new("n");
    let settings = SETTINGS.replace("\"max-attempts\"", "\"may-probe\":true,\"max-attempts\"");
    let full_report = "PONG x0=1.4,svc_ms=400\r\n";
    for (i, extra) in [Some(full_report), Some("PO"), None].into_iter().enumerate() {
        let proxy =
            Proxy::start_with_settings(&format!("twice{i}"), 1024, &[backend.entry("ready")], &settings);
        let (mut probe, mut client) =
            send_request_and_answer_probe(&backend, &proxy, "k", "PONG x0=0.4,svc_ms=11.5\r\n");
        let (mut at_backend, _) = backend.accept_first_line();
        at_backend.send("UP r\r\n");
        assert_eq!(client.line(), "UP r\r\n");
        match extra {
            Some(extra) => probe.send(extra),
            None => probe.shutdown_write(),
        }
        // A load report is valid for a second. Then the proxy asks for the next one over a new connection.
        std::thread::sleep(SECOND + SECOND / 10);
        let (_probe, mut second) =
            send_request_and_answer_probe(&backend, &proxy, "k2", "PONG x0=0.4,svc_ms=11.5\r\n");
        let (mut at_backend, _) = backend.accept_first_line();
        at_backend.send("UP r2\r\n");
        assert_eq!(second.line(), "UP r2\r\n");
        assert_eq!(probe.read_to_end().0, "", "no further probe on the old connection");
    }
}

// Guards against a pushed endpoint list that the proxy never watches. In push mode the decision module does
// not ask for the list, yet what discovery has must be obeyed.
#[test]
fn a_pushed_endpoint_list_is_watched_from_the_start_and_again_soon_after_failures() {
    let settings = SETTINGS.replace("\"membership-mode\":\"ask\"", "\"membership-mode\":\"push\"");
    let backend = Backend::new("n");
    let proxies: Vec<_> = (0..3)
        .map(|i| Proxy::start_with_settings(&format!("push{i}"), 1024, &[backend.entry("ready")], &settings))
        .collect();
    for (i, proxy) in proxies.iter().enumerate() {
        assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 1);
        let (mut client, _at_backend) = proxy.establish(&format!("k{i}"), &backend);
        let failed_at = Instant::now();
        proxy.discovery.fail_calls(3);
        let calls: Vec<_> =
            (0..3).map(|_| proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap()).collect();
        assert!(calls.iter().all(|call| call.from_index == 1));
        assert!(calls[2].at - failed_at > SECOND / 5, "failed calls are not retried at once");
        assert!(calls[2].at - failed_at < 2 * SECOND);
        proxy.discovery.publish(&backend.entry("draining"));
        assert_eq!(client.line(), "MOVE\r\n");
    }
}

// Guards against an answer of the old discovery that takes effect after the endpoint list of the new one. The
// answer and the reload are both ready when the process resumes.
#[test]
fn an_answer_of_the_old_discovery_is_ignored_after_a_reload() {
    let backend = Backend::new("n");
    let mut proxy = Proxy::start("old-answer", &[&backend]);
    assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 1);
    let next = Discovery::new();
    next.publish(&backend.entry("ready"));
    proxy.suspend();
    proxy.discovery.publish(&backend.entry("draining"));
    let _old = proxy.reload_with_discovery(next);
    proxy.resume();
    assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 0);
    // The watch that follows shows that the new list is in effect.
    assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 2);
    proxy.establish("k", &backend);
}

// Guards against an endpoint list that is no longer watched because idle clients hold all descriptors.
#[test]
fn idle_clients_do_not_keep_the_proxy_from_watching_the_endpoint_list() {
    let backend = Backend::new("n");
    let proxy = Proxy::start_limited("idle-clients", 128, 128, &[backend.entry("ready")]);
    let (mut established, _at_backend) = proxy.establish("s", &backend);
    proxy.discovery.fail_calls(6);
    let idle_clients: Vec<Peer> = (0..400).map(|_| proxy.client()).collect();
    let mut pinging = proxy.client();
    pinging.send("PING\r\n");
    assert_eq!(pinging.line(), "PONG\r\n");
    let (_other_client, _other_at_backend) = proxy.establish("k", &backend);
    let published_at = Instant::now();
    proxy.discovery.publish(&backend.entry("draining"));
    assert_eq!(established.line(), "MOVE\r\n");
    assert!(published_at.elapsed() < 6 * SECOND, "{:?}", published_at.elapsed());
    drop(idle_clients);
}
