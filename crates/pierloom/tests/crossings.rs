//! Two events that cross, each brought about in its bad order every time: docs/design/crossings.md lists them.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses its part
mod harness;

use harness::{Backend, Discovery, FullQueueBackend, Peer, Proxy, SETTINGS, TEST_TIMEOUT, poll_until};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// Settings under which a connection may come up late, and a client waits longer.
fn late() -> String {
    SETTINGS.replace("\"connect-timeout\":0.2", "\"connect-timeout\":9.0").replace("4.8", "30.0")
}

/// The wait that an opening tells, in milliseconds.
fn wait(line: &str) -> u64 {
    let told = line.trim_end().split_once("d=").expect(line).1;
    told.split(',').next().unwrap().parse().expect(line)
}

/// Opens a job whose client waits for half a minute.
fn open(proxy: &Proxy, key: &str) -> Peer {
    let mut peer = proxy.client();
    peer.send(&format!("OPEN 0a{key} {key} c=feed,d=30000\r\n"));
    peer
}

/// A proxy with one node, a connection that stands there, and a job whose claim waits for the node to be unplugged.
fn connecting(name: &str) -> (Proxy, FullQueueBackend, Peer, Peer, Peer) {
    let mut backend = FullQueueBackend::new("n");
    let proxy = Proxy::start_with(name, 1024, &[backend.entry("ready")], &late());
    let mut established = open(&proxy, "s");
    let mut at_backend = backend.accept();
    at_backend.line();
    at_backend.send("UP r\r\n");
    assert_eq!(established.line(), "UP r\r\n");
    backend.fill_queue();
    let waiting = open(&proxy, "w");
    (proxy, backend, established, at_backend, waiting)
}

#[test]
fn a_connection_that_comes_up_after_its_node_drains_carries_nothing() {
    let (proxy, mut backend, mut established, _at_backend, mut waiting) = connecting("late-drain");
    proxy.discovery.publish(&backend.entry("draining"));
    assert_eq!(established.line(), "MOVE\r\n", "the drain is known");
    let mut late = backend.accept_after_queue();
    assert_eq!(late.read_to_end(), (String::new(), false), "nothing was written there");
    // Nobody else is there to serve it.
    assert!(waiting.line().starts_with("BUSY"), "it never ran");
}

#[test]
fn a_connection_that_comes_up_as_its_submitter_leaves_carries_nothing() {
    let (proxy, mut backend, _established, _at_backend, waiting) = connecting("late-leave");
    // Both are there when it goes on: the client's end, and the connection that has come up.
    poll_until(|| proxy.is_connecting_to(backend.entry("ready")).then_some(())).expect("an attempt");
    proxy.suspend();
    drop(waiting);
    let mut late = backend.accept_after_queue();
    proxy.resume();
    assert_eq!(late.read_to_end(), (String::new(), false), "nothing was written there");
}

#[test]
fn a_late_connection_is_told_the_time_that_is_left_then() {
    let (_proxy, mut backend, _established, _at_backend, mut waiting) = connecting("late-wait");
    let since = Instant::now();
    std::thread::sleep(SECOND / 2);
    let mut late = backend.accept_after_queue();
    let line = late.line();
    // A third of half a minute, less what the connection took.
    let most = 10_000 - since.elapsed().min(SECOND / 2).as_millis() as u64;
    assert!(wait(&line) <= most, "{line}");
    late.send("UP r2\r\n");
    assert_eq!(waiting.line(), "UP r2\r\n");
}

// Guards against a refusal, which says that to try again is harmless, of a job that may have run and must not run
// twice. The module knows; the network code does not choose an answer.
#[test]
fn a_planned_stop_fails_what_may_have_run_and_refuses_what_did_not() {
    for (effect, answers) in
        [("once", "ERR"), ("by_key\",\"window\":9,\"group\":\"zone", "ERR"), ("repeatable", "BUSY")]
    {
        let settings = SETTINGS
            .replace("\"effect\":\"repeatable\",\"group\":\"all\"", &format!("\"effect\":\"{effect}\""));
        let backend = Backend::new("n");
        let mut proxy = Proxy::start_with("stop-once", 1024, &[backend.entry("ready")], &settings);
        let mut client = proxy.open("k");
        let (at_backend, _) = backend.accept_open();
        proxy.signal("-TERM");
        proxy.wait_until_stopping();
        at_backend.reset();
        let answer = client.line();
        assert!(answer.starts_with(answers), "{effect}: {answer:?}");
        assert!(proxy.wait_for_exit().success());
    }
}

// Guards against a client that rests, and whose words come in the moment in which it is sent away: it is told, its
// words are neither sent on nor make the close a reset, and the process ends when all have been told.
#[test]
fn whoever_rests_at_a_planned_stop_is_told_and_its_last_words_harm_nothing() {
    let backend = Backend::new("n");
    // With the longest wait of a second the kill may come 1.7 s after the signal, and nothing more is begun from 0.6 s
    // on: before any of these would have been heard for long enough.
    let settings = SETTINGS.replace("\"deadline\":4.8", "\"deadline\":1.0");
    let mut proxy = Proxy::start_with("stop-rest", 1024, &[backend.entry("ready")], &settings);
    let mut resting: Vec<Peer> = (0..20).map(|_| proxy.client()).collect();
    for (i, peer) in resting.iter_mut().enumerate() {
        if i % 2 == 0 {
            peer.send("PING\r\n");
            assert_eq!(peer.line(), "PONG\r\n");
        }
    }
    let told = Instant::now();
    proxy.signal("-TERM");
    for (i, peer) in resting.iter_mut().enumerate() {
        assert_eq!(peer.line(), "BUSY 1000\r\n");
        // More than is read at once, so that the rest lies there at a close that comes too early.
        peer.send(&format!("OPEN 0a{i} k{i} c=feed,d=900\r\n{}", "m\r\n".repeat(20_000)));
        peer.shutdown_write();
        assert_eq!(peer.read_to_end(), (String::new(), false));
    }
    assert!(proxy.wait_for_exit().success());
    assert!(told.elapsed() < Duration::from_millis(1_700), "{:?}", told.elapsed());
    assert!(backend.has_no_new_connection());
}

/// Answers a probe that is there, and with what stands behind it.
fn probed(backend: &Backend, proxy: &Proxy, key: &str, answer: &str) -> (Peer, Peer) {
    let client = proxy.open(key);
    let (mut probe, line) = backend.accept_open();
    assert_eq!(line, "STATS\r\n");
    probe.send(answer);
    (probe, client)
}

// Guards against a probe connection on which an answer came twice: each later probe would read the one before.
#[test]
fn a_probe_connection_with_an_answer_too_many_or_none_left_is_not_asked_again() {
    let backend = Backend::new("n");
    let settings = SETTINGS.replace("\"max-attempts\"", "\"may-probe\":true,\"max-attempts\"");
    let full = "PONG x0=1.4,svc_ms=400\r\n";
    for (i, late) in [Some(full), Some("PO"), None].into_iter().enumerate() {
        let proxy = Proxy::start_with(&format!("twice{i}"), 1024, &[backend.entry("ready")], &settings);
        let (mut probe, mut client) = probed(&backend, &proxy, "k", "PONG x0=0.4,svc_ms=11.5\r\n");
        let (mut at_backend, _) = backend.accept_open();
        at_backend.send("UP r\r\n");
        assert_eq!(client.line(), "UP r\r\n");
        match late {
            Some(late) => probe.send(late),
            None => probe.shutdown_write(),
        }
        // A report is good for a second; then the next one is asked for over a new connection.
        std::thread::sleep(SECOND + SECOND / 10);
        let (_probe, mut second) = probed(&backend, &proxy, "k2", "PONG x0=0.4,svc_ms=11.5\r\n");
        let (mut at_backend, _) = backend.accept_open();
        at_backend.send("UP r2\r\n");
        assert_eq!(second.line(), "UP r2\r\n");
        assert_eq!(probe.read_to_end().0, "", "nothing more is asked there");
    }
}

// Guards against a list that is pushed and never followed: nothing asks for it, and what the agent has binds.
#[test]
fn a_pushed_list_is_watched_from_the_start_and_again_soon_after_a_failure() {
    let settings = SETTINGS.replace("\"membership-mode\":\"ask\"", "\"membership-mode\":\"push\"");
    let backend = Backend::new("n");
    let proxies: Vec<_> = (0..3)
        .map(|i| Proxy::start_with(&format!("push{i}"), 1024, &[backend.entry("ready")], &settings))
        .collect();
    for (i, proxy) in proxies.iter().enumerate() {
        assert_eq!(proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap().from, 1);
        let (mut client, _at_backend) = proxy.connect(&format!("k{i}"), &backend);
        let failed = Instant::now();
        proxy.discovery.fail_calls(3);
        let calls: Vec<_> =
            (0..3).map(|_| proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap()).collect();
        assert!(calls.iter().all(|call| call.from == 1));
        assert!(calls[2].at - failed > SECOND / 5, "no hammering");
        assert!(calls[2].at - failed < 2 * SECOND);
        proxy.discovery.publish(&backend.entry("draining"));
        assert_eq!(client.line(), "MOVE\r\n");
    }
}

// Guards against an old answer that comes in after the new list: both are there when the process goes on.
#[test]
fn an_answer_of_the_old_discovery_is_not_entered_after_the_new_list() {
    let backend = Backend::new("n");
    let mut proxy = Proxy::start("old-answer", &[&backend]);
    assert_eq!(proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap().from, 1);
    let next = Discovery::new();
    next.publish(&backend.entry("ready"));
    proxy.suspend();
    proxy.discovery.publish(&backend.entry("draining"));
    let _old = proxy.reload_with_discovery(next);
    proxy.resume();
    assert_eq!(proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap().from, 0);
    // The watch after it shows that the new list is in force.
    assert_eq!(proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap().from, 2);
    proxy.connect("k", &backend);
}

// Guards against a list that is not followed any more because idle clients hold what descriptors there are.
#[test]
fn idle_submitters_do_not_keep_the_list_from_being_followed() {
    let backend = Backend::new("n");
    let proxy = Proxy::start_limited("idle-crowd", 128, 128, &[backend.entry("ready")]);
    let (mut established, _at_backend) = proxy.connect("s", &backend);
    proxy.discovery.fail_calls(6);
    let crowd: Vec<Peer> = (0..400).map(|_| proxy.client()).collect();
    let mut pinging = proxy.client();
    pinging.send("PING\r\n");
    assert_eq!(pinging.line(), "PONG\r\n");
    let (_submitter, _at) = proxy.connect("k", &backend);
    let told = Instant::now();
    proxy.discovery.publish(&backend.entry("draining"));
    assert_eq!(established.line(), "MOVE\r\n");
    assert!(told.elapsed() < 6 * SECOND, "{:?}", told.elapsed());
    drop(crowd);
}
