//! Tests of the real program as a process, with stand-ins for its clients, its backends and discovery.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses only a part of the harness
mod harness;

use harness::{
    Backend, Discovery, EVENT_TIMEOUT, Peer, Proxy, SETTINGS, config_text, entry, http_response,
    program_command, run_to_end, write_config_file,
};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// An address where nothing listens any more.
fn closed_address() -> std::net::SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

#[test]
fn a_request_is_served_and_its_lines_are_relayed_unchanged() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("served", &[&backend]);
    let mut client = proxy.client();
    client.send("PING\r\n");
    assert_eq!(client.line(), "PONG\r\n");
    client.send("OPEN 9b1f 7f3a zz=1,c=feed,d=2000,g=5c0f,again=1,new=x\r\n");
    let (mut at_backend, line) = backend.accept_first_line();
    // Only `d` differs: its value is how long the proxy itself waits.
    let (before, rest) = line.split_once("d=").unwrap();
    let (wait_ms, after) = rest.split_once(',').unwrap();
    assert_eq!((before, after), ("OPEN 9b1f 7f3a zz=1,c=feed,", "g=5c0f,again=1,new=x\r\n"));
    assert!((1..2000).contains(&wait_ms.parse::<u32>().unwrap()), "{wait_ms}");
    at_backend.send("UP r1\r\nLOAD 20");
    assert_eq!(client.line(), "UP r1\r\n");
    // An incomplete line is relayed at once, and so are bytes that are not text.
    assert_eq!(client.read(7), b"LOAD 20");
    let long = "x".repeat(200_000);
    at_backend.send(&format!("00.5\r\n{long}\u{1}\r\n"));
    assert_eq!(client.line(), "00.5\r\n");
    assert_eq!(client.line(), format!("{long}\u{1}\r\n"));
    client.send(&format!("{long}\r\nm 2\r\n"));
    assert_eq!(at_backend.line(), format!("{long}\r\n"));
    assert_eq!(at_backend.line(), "m 2\r\n");
    at_backend.send("BYE\r\n");
    drop(at_backend);
    assert_eq!(client.read_to_end(), ("BYE\r\n".into(), false));
}

#[test]
fn ends_and_resets_of_either_side_are_relayed_to_the_other() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("ends", &[&backend]);
    let (client, mut at_backend) = proxy.establish("k1", &backend);
    client.shutdown_write();
    assert_eq!(at_backend.read_to_end(), (String::new(), false));
    let (client, mut at_backend) = proxy.establish("k2", &backend);
    client.reset();
    assert!(at_backend.read_to_end().1, "a reset");
    // This case is last because the decision module avoids a backend that broke a connection.
    let (mut client, at_backend) = proxy.establish("k3", &backend);
    at_backend.reset();
    assert!(client.read_to_end().1, "a reset");
}

#[test]
fn malformed_first_lines_get_one_err_and_reach_no_backend() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("malformed", &[&backend]);
    let overlong = format!("OPEN 0a k c=feed,d=4800,x={}\r\n", "y".repeat(5000));
    let many_requests = "OPEN 0a k c=feed,d=4800\r\n".repeat(300);
    for line in [
        "\r\n",
        "OPEN\r\n",
        "OPEN 0a k\r\n",
        "OPEN 0a k c=feed\r\n",
        "OPEN 0a k c=feed,d=x\r\n",
        "OPEN 0a k c=feed,d=4800,d=1\r\n",
        "OPEN 0a k c=feed,d=99999999999999999999\r\n",
        "OPEN 0a k c=feed,,d=4800\r\n",
        "OPEN 0a  k c=feed,d=4800\r\n",
        "OPEN 0a k c=feed,d=4800\n",
        "OPEN \u{e9} k c=feed,d=4800\r\n",
        "GET / HTTP/1.1\r\n",
        // Backends would reject these requests, and the decision module would count that as their failures.
        "OPEN 0a k c=feeds,d=4800\r\n",
        "OPEN 0a k c=feed,d=-5\r\n",
        "OPEN 0a k c=feed,d=\r\n",
        "OPEN 0a k c=feed,d=4294967295\r\n",
        "OPEN  k c=feed,d=4800\r\n",
        "OPEN 0a k c=feed,d=4800\r\nm\r\n",
        &overlong,
        &many_requests,
    ] {
        let mut client = proxy.client();
        client.send(line);
        client.shutdown_write();
        assert_eq!(client.read_to_end().0, "ERR\r\n", "{line:?}");
    }
    let mut incomplete = proxy.client();
    incomplete.send("OPEN 0a k c=fe");
    incomplete.shutdown_write();
    assert_eq!(incomplete.read_to_end(), (String::new(), false));
    proxy.client().reset();
    assert!(backend.has_no_new_connection());
    // A client that sends more before its answer gets an error too, and its attempt is closed.
    let mut early_sender = proxy.send_request("k");
    let (mut at_backend, _) = backend.accept_first_line();
    early_sender.send("m\r\n");
    assert_eq!(early_sender.line(), "ERR\r\n");
    assert_eq!(at_backend.read_to_end(), (String::new(), false));
    proxy.establish("k", &backend);
}

// Guards against a second request, from another client, with an id in use that is served in place of the
// first, or that reaches the backend, which would reject it.
#[test]
fn a_request_with_an_id_in_use_gets_err_and_the_first_one_continues() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("same", &[&backend]);
    let (mut client, mut at_backend) = proxy.establish("k", &backend);
    let mut other = proxy.send_request("k");
    assert_eq!(other.line(), "ERR\r\n");
    assert_eq!(other.read_to_end(), (String::new(), false));
    client.send("m\r\n");
    assert_eq!(at_backend.line(), "m\r\n");
    assert!(backend.has_no_new_connection());
    at_backend.send("BYE\r\n");
    drop(at_backend);
    assert_eq!(client.read_to_end().0, "BYE\r\n");
}

// Guards against clients that keep their connection open and never send a request. Each must get an answer
// within three seconds, and all of them together must leave descriptors for clients that do send a request.
#[test]
fn clients_without_a_request_are_refused_within_three_seconds_and_block_no_others() {
    let backend = Backend::new("n");
    let proxy = Proxy::start_limited("silence", 128, 128, &[backend.entry("ready")]);
    let started_at = Instant::now();
    let idle_clients: Vec<Peer> = (0..300)
        .map(|i| {
            let mut peer = proxy.client();
            match i % 3 {
                0 => peer.send("PING\r\n"),
                1 => peer.send("OPEN 0a k c="),
                _ => {}
            }
            peer
        })
        .collect();
    let (mut client, mut at_backend) = proxy.establish("k", &backend);
    for mut peer in idle_clients {
        let received = peer.read_to_end().0;
        let answer = received.strip_prefix("PONG\r\n").unwrap_or(&received);
        assert!(["ERR\r\n", "BUSY 1000\r\n"].contains(&answer), "{received:?}");
    }
    assert!(started_at.elapsed() < 3 * SECOND, "{:?}", started_at.elapsed());
    client.send("m\r\n");
    assert_eq!(at_backend.line(), "m\r\n");
}

// Guards against a client that sends a line without end, at full speed. The proxy must not keep what it
// receives, and must answer with an error.
#[test]
fn an_endless_line_gets_err_and_uses_little_memory() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("endless", &[&backend]);
    let mut client = proxy.client();
    let mut stream = client.stream().try_clone().unwrap();
    let writer = std::thread::spawn(move || {
        let block = vec![b'x'; 1 << 20];
        // Writing may fail at some point, because the proxy does not have to read all of it.
        (0..60).try_for_each(|_| std::io::Write::write_all(&mut stream, &block)).is_ok()
    });
    assert_eq!(client.line(), "ERR\r\n");
    writer.join().unwrap();
    assert!(proxy.peak_memory_kb() < 32 << 10);
    proxy.establish("k", &backend);
}

#[test]
fn a_request_whose_attempts_all_fail_gets_one_busy() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    let mut entries: Vec<String> = backends.iter().map(|backend| backend.entry("ready")).collect();
    entries.push(entry("n2", closed_address(), "ready"));
    let answers = ["BUSY\r\n", "ERR\r\n", "MOVE\r\n", "what\r\n", ""];
    for (i, answer) in answers.iter().enumerate() {
        // Each answer is tried with a new proxy: a proxy that has seen failures avoids these backends.
        let proxy = Proxy::start_with_settings(&format!("attempts{i}"), 1024, &entries, SETTINGS);
        let mut client = proxy.send_request(&format!("k{i}"));
        // Each attempt is closed before the next one. The client's last line is a single refusal.
        let (mut attempts, mut final_answer) = (0, None);
        while final_answer.is_none() && attempts < 4 {
            let attempt = backends.iter().find_map(|backend| backend.try_accept_first_line());
            match attempt {
                Some((mut at_backend, line)) => {
                    assert!(line.starts_with(&format!("OPEN 0ak{i} k{i} ")));
                    at_backend.send(answer);
                    at_backend.shutdown_write();
                    at_backend.read_to_end();
                    attempts += 1;
                }
                None => final_answer = client.line_within(Duration::from_millis(5)),
            }
        }
        let final_answer = final_answer.unwrap_or_else(|| client.line());
        assert!(
            attempts > 0 && final_answer.starts_with("BUSY "),
            "{answer:?}: {attempts} attempts, {final_answer:?}"
        );
        assert_eq!(client.read_to_end(), (String::new(), false));
    }
}

#[test]
fn a_request_at_silent_backends_is_answered_before_its_deadline() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    let proxy = Proxy::start("late", &[&backends[0], &backends[1]]);
    let mut client = proxy.client();
    let sent_at = Instant::now();
    client.send("OPEN 0a k c=feed,d=1500\r\n");
    let mut attempts: Vec<(Peer, String)> = Vec::new();
    let answer = loop {
        if let Some(attempt) = backends.iter().find_map(|backend| backend.try_accept_first_line()) {
            // The previous attempt is closed by now.
            if let Some((previous, _)) = attempts.last_mut() {
                assert_eq!(previous.read_to_end(), (String::new(), false));
            }
            attempts.push(attempt);
        }
        if let Some(answer) = client.line_within(Duration::from_millis(5)) {
            break answer;
        }
    };
    assert!(sent_at.elapsed() < Duration::from_millis(1500), "{:?}", sent_at.elapsed());
    assert!(answer.starts_with("BUSY ") || answer == "ERR\r\n", "{answer:?}");
    assert!(!attempts.is_empty());
    assert_eq!(client.read_to_end(), (String::new(), false));
}

#[test]
fn the_attempt_of_a_client_that_leaves_is_closed() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("leaves", &[&backend]);
    let mut client = proxy.client();
    // Without the client's end the attempt would last a third of this time.
    client.send("OPEN 0a k c=feed,d=40000\r\n");
    let (mut at_backend, _) = backend.accept_first_line();
    let left_at = Instant::now();
    drop(client);
    assert_eq!(at_backend.read_to_end(), (String::new(), false));
    assert!(left_at.elapsed() < 10 * SECOND, "{:?}", left_at.elapsed());
}

#[test]
fn a_resumed_connection_goes_to_its_backend_and_is_moved_when_the_backend_drains() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    let proxy = Proxy::start("resumed", &[&backends[0], &backends[1]]);
    let mut connections = Vec::new();
    for i in 0..4 {
        let mut client = proxy.client();
        client.send(&format!("OPEN 0a{i} k{i} c=feed,d=4800,at=n1\r\n"));
        let (mut at_backend, line) = backends[1].accept_first_line();
        assert!(line.ends_with(",at=n1\r\n"), "{line}");
        at_backend.send("UP r\r\n");
        assert_eq!(client.line(), "UP r\r\n");
        connections.push((client, at_backend));
    }
    proxy.discovery.publish(&backends[1].entry("draining"));
    for (mut client, mut at_backend) in connections {
        assert_eq!(client.line(), "MOVE\r\n");
        assert_eq!(client.read_to_end(), (String::new(), false));
        at_backend.read_to_end();
    }
    assert!(backends[0].has_no_new_connection());
}

#[test]
fn a_move_waits_for_the_end_of_a_line() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("mid-line", &[&backend]);
    let (mut client, mut at_backend) = proxy.establish("k", &backend);
    let (mut other, _at_backend) = proxy.establish("k2", &backend);
    at_backend.send("half ");
    assert_eq!(client.read(5), b"half ");
    proxy.discovery.publish(&backend.entry("draining"));
    // The other client is moved in the same second. By then the proxy wants to move this client too, or soon
    // will.
    assert_eq!(other.line(), "MOVE\r\n");
    at_backend.send("a line\r\n");
    assert_eq!(client.line(), "a line\r\n");
    assert_eq!(client.line(), "MOVE\r\n");
}

#[test]
fn a_client_whose_backend_stops_answering_is_moved() {
    let backend = Backend::new("n");
    // Without a message target the proxy reports no message delays to the decision module, but it still
    // reports messages without an answer.
    let settings = SETTINGS.replace("[0.06]", "[null]");
    let proxy = Proxy::start_with_settings("silent", 1024, &[backend.entry("ready")], &settings);
    let (mut client, _at_backend) = proxy.establish("k", &backend);
    let sent_at = Instant::now();
    client.send("M\r\n");
    assert_eq!(client.line(), "MOVE\r\n");
    assert!(sent_at.elapsed() < 7 * SECOND, "{:?}", sent_at.elapsed());
}

#[test]
fn the_watch_stays_on_one_connection_and_failed_calls_are_retried_after_growing_delays() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("watch", &[&backend]);
    let first = proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap();
    assert_eq!((first.connection, first.from_index), (0, 1));
    let published_at = Instant::now();
    proxy.discovery.publish(&backend.entry("ready"));
    let second = proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap();
    assert_eq!((second.connection, second.from_index), (0, 2));
    // The rule allows 200 ms between two calls; a slow test machine may use up a part of them.
    assert!(second.at - published_at < Duration::from_millis(200));
    let failed_at = Instant::now();
    proxy.discovery.fail_calls(6);
    let calls: Vec<_> = (0..6).map(|_| proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap()).collect();
    assert!(calls.iter().all(|call| call.from_index == 2));
    assert!(calls[5].at - failed_at > Duration::from_millis(50), "the delay grows with each failure");
    // The watch is open again: the next change arrives.
    let (mut client, _at_backend) = proxy.establish("k", &backend);
    proxy.discovery.publish(&backend.entry("draining"));
    assert_eq!(client.line(), "MOVE\r\n");
}

// Guards against requests to a draining backend when the watch that would report the drain has gone silent. A
// change must be obeyed six seconds after discovery had it, whether the proxy received it or not.
#[test]
fn a_silent_watch_is_reopened_before_missed_changes_must_be_obeyed() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    let proxies: Vec<Proxy> =
        (0..3).map(|i| Proxy::start(&format!("silent-watch{i}"), &[&backends[0], &backends[1]])).collect();
    let connections: Vec<_> = proxies.iter().map(|proxy| proxy.establish_at_any("k", &backends)).collect();
    for proxy in &proxies {
        assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 1);
        proxy.discovery.stop_answering();
        backends.iter().for_each(|backend| proxy.discovery.publish(&backend.entry("draining")));
    }
    let published_at = Instant::now();
    for ((mut client, _at_backend), proxy) in connections.into_iter().zip(&proxies) {
        // The next call misses no change that was published in between.
        assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 1);
        assert_eq!(client.line(), "MOVE\r\n");
    }
    assert!(published_at.elapsed() < 6 * SECOND, "{:?}", published_at.elapsed());
}

// Guards against an invalid endpoint list that empties the list of backends: the proxy would give up all of
// them at once.
#[test]
fn an_invalid_endpoint_list_leaves_the_last_valid_one_in_effect() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("invalid-list", &[&backend]);
    let (mut client, _at_backend) = proxy.establish("k", &backend);
    proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap();
    let gone = format!(r#"{{"index":9,"snapshot":true,"endpoints":[{}"#, backend.entry("gone"));
    let oversized =
        format!(r#"{{"index":9,"snapshot":true,"endpoints":[],"more":"{}"}}"#, "x".repeat(5 << 20));
    for (body, missing_bytes) in [
        (r#"{"index":9,"snapshot":true,"endpoints":[]}"#, 0),
        (&format!("{gone}]}}").replace("gone", "vanished"), 0),
        (&gone, 0),
        (&format!("{gone}]}}"), 7),
        (&oversized, 0),
    ] {
        proxy.discovery.send_raw_answer(http_response(body, body.len() + missing_bytes));
        // The next call shows that the answer was processed; it watches from the last valid index.
        assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 1);
        proxy.establish("k2", &backend);
    }
    proxy.discovery.publish(&backend.entry("draining"));
    assert_eq!(client.line(), "MOVE\r\n");
}

#[test]
fn a_planned_stop_answers_new_requests_and_moves_all_clients_in_time() {
    let backend = Backend::new("n");
    let mut proxy = Proxy::start("stop", &[&backend]);
    let mut connections: Vec<_> = (0..12).map(|i| proxy.establish(&format!("k{i}"), &backend)).collect();
    let signaled_at = Instant::now();
    proxy.signal("-TERM");
    let mut unanswered = proxy.send_request("late");
    let _silent_attempt = backend.accept_first_line();
    connections.push(proxy.establish("new", &backend));
    let mut move_times = Vec::new();
    for (client, _) in &mut connections {
        assert_eq!(client.line(), "MOVE\r\n");
        assert_eq!(client.read_to_end(), (String::new(), false));
        move_times.push(signaled_at.elapsed());
    }
    let answer = unanswered.line();
    assert!(answer.starts_with("BUSY") || answer == "ERR\r\n", "{answer:?}");
    assert!(proxy.wait_for_exit().success());
    assert!(signaled_at.elapsed() < Duration::from_millis(3700), "{:?}", signaled_at.elapsed());
    assert!(
        *move_times.last().unwrap() - move_times[0] > SECOND,
        "the moves are spread over time: {move_times:?}"
    );
}

// Guards against a SIGHUP that ends the process, and against a proxy that keeps using a discovery service
// that is gone.
#[test]
fn a_reload_switches_to_another_discovery_and_keeps_all_connections() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    let mut proxy = Proxy::start("reload", &[&backends[0]]);
    let (mut client, mut at_backend) = proxy.establish("k", &backends[0]);
    assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 1);
    proxy.reload("{\"name\":");
    assert!(proxy.next_log_line().contains("the old config stays"));
    for round in 0..2 {
        let discovery = Discovery::new();
        discovery.publish(&backends[0].entry("ready"));
        discovery.publish(&backends[1].entry("ready"));
        let old = proxy.reload_with_discovery(discovery);
        assert!(proxy.next_log_line().contains(&proxy.discovery.address.to_string()));
        // The proxy first asks for a snapshot, then watches from the snapshot's index on the same connection.
        let calls: Vec<_> =
            (0..2).map(|_| proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap()).collect();
        assert_eq!(
            calls.iter().map(|call| (call.connection, call.from_index)).collect::<Vec<_>>(),
            [(0, 0), (0, 3)]
        );
        assert!(old.calls.try_recv().is_err(), "the old discovery receives no more calls");
        client.send(&format!("m {round}\r\n"));
        assert_eq!(at_backend.line(), format!("m {round}\r\n"));
    }
    proxy.discovery.publish(&backends[0].entry("draining"));
    assert_eq!(client.line(), "MOVE\r\n");
    proxy.establish("k2", &backends[1]);
    // A reload of the same config changes nothing, and a planned stop works as before.
    proxy.signal("-HUP");
    proxy.signal("-TERM");
    assert!(proxy.wait_for_exit().success());
    assert!(proxy.discovery.calls.try_iter().all(|call| call.from_index > 0));
}

// Guards against a proxy that keeps using a discovery service that is gone, because its config file was
// incomplete at SIGHUP.
#[test]
fn a_config_that_is_incomplete_at_a_reload_takes_effect_once_it_is_complete() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("slow-write", &[&backend]);
    let next = Discovery::new();
    next.publish(&backend.entry("ready"));
    proxy.reload("{\"name\":");
    assert!(proxy.next_log_line().contains("the old config stays"));
    proxy.replace_discovery_in_config(&next);
    assert!(
        proxy.next_log_line().contains(&next.address.to_string()),
        "one error message, then the new discovery"
    );
    assert_eq!(next.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 0);
}

#[test]
fn probes_reuse_one_connection_and_a_backend_at_capacity_gets_no_request() {
    let backend = Backend::new("n");
    let settings = SETTINGS.replace("\"max-attempts\"", "\"may-probe\":true,\"max-attempts\"");
    let proxy = Proxy::start_with_settings("probes", 1024, &[backend.entry("ready")], &settings);
    let _client = proxy.send_request("k");
    let (mut probe, line) = backend.accept_first_line();
    assert_eq!(line, "STATS\r\n");
    probe.send("PONG x0=0.4,svc_ms=11.5\r\n");
    let (_at_backend, line) = backend.accept_first_line();
    assert!(line.starts_with("OPEN "), "{line}");
    // A load report is valid for a second. The probe for the next request reuses the existing connection.
    std::thread::sleep(SECOND);
    let mut next = proxy.send_request("k2");
    assert_eq!(probe.line(), "STATS\r\n");
    probe.send("PONG x0=1.4,svc_ms=400\r\n");
    assert!(next.line().starts_with("BUSY "), "a backend at capacity gets no request");
}

#[test]
fn clients_beyond_the_limit_are_refused_until_a_slot_is_free() {
    let backend = Backend::new("n");
    // The limit leaves descriptors for two requests beside the reserved ones.
    let proxy = Proxy::start_with_settings("limits", 60, &[backend.entry("ready")], SETTINGS);
    let mut connections: Vec<_> = (0..2).map(|i| proxy.establish(&format!("k{i}"), &backend)).collect();
    let mut third = proxy.send_request("k3");
    assert_eq!(third.line(), "BUSY 1000\r\n");
    assert_eq!(third.read_to_end(), (String::new(), false));
    let (mut client, mut at_backend) = connections.pop().unwrap();
    at_backend.send("BYE\r\n");
    at_backend.shutdown_write();
    assert_eq!(client.read_to_end().0, "BYE\r\n");
    drop((client, at_backend));
    // The slot is free once the task of the request has ended, a moment after the end was relayed.
    let started_at = Instant::now();
    while started_at.elapsed() < EVENT_TIMEOUT {
        let mut next = proxy.send_request("k4");
        if let Some(line) = next.line_within(Duration::from_millis(50)) {
            assert_eq!(line, "BUSY 1000\r\n");
        } else {
            return backend.accept_first_line().0.send("UP r\r\n");
        }
    }
    panic!("the slot is never free");
}

#[test]
fn a_proxy_out_of_descriptors_refuses_clients_and_serves_again() {
    let backend = Backend::new("n");
    // The config names far more descriptors than the process may open.
    let proxy = Proxy::start_limited("descriptors", 24, 1024, &[backend.entry("ready")]);
    let idle_clients: Vec<Peer> = (0..40).map(|_| proxy.client()).collect();
    // Some of the clients were accepted only to be refused.
    let lines = idle_clients.into_iter().filter_map(|mut peer| peer.line_within(Duration::from_millis(100)));
    assert!(lines.into_iter().any(|line| line == "BUSY 1000\r\n"));
    proxy.establish("k", &backend);
}

#[test]
fn a_request_answered_with_bye_before_up_is_not_retried() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("bye", &[&backend]);
    let mut client = proxy.send_request("k");
    let (mut at_backend, _) = backend.accept_first_line();
    at_backend.send("BYE\r\n");
    assert_eq!(client.read_to_end(), ("BYE\r\n".into(), false));
    assert!(backend.has_no_new_connection());
}

#[test]
fn an_invalid_config_gives_one_error_line_and_exit_code_2() {
    let valid = config_text(closed_address(), 1024, "", SETTINGS);
    let invalid = [
        ("{", "config"),
        (&valid.replace("00000000000000a7", "seven"), "seed"),
        (&valid.replace("\"max-attempts\":4", "\"max-attempts\":0"), "max_attempts"),
        (&valid.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""), "listen"),
        (&valid.replace("\"classes\"", "\"glasses\""), "classes"),
    ];
    for (i, (text, field)) in invalid.iter().enumerate() {
        let path = write_config_file(&format!("invalid{i}"), text);
        for arguments in [vec!["serve"], vec!["check", path.to_str().unwrap()]] {
            let output = run_to_end(program_command(&arguments).env("LB_CONFIG", &path));
            let error_text = String::from_utf8(output.stderr).unwrap();
            assert_eq!(output.status.code(), Some(2), "{error_text}");
            assert!(error_text.lines().count() == 1 && error_text.contains(field), "{error_text}");
        }
    }
    let path = write_config_file("good", &valid);
    let output = run_to_end(&mut program_command(&["check", path.to_str().unwrap()]));
    assert!(output.status.success() && output.stdout.starts_with(b"good"));
    assert_eq!(run_to_end(&mut program_command(&["serve"])).status.code(), Some(2), "no config at all");
    assert!(run_to_end(&mut program_command(&["version"])).stdout.starts_with(b"pierloom 0."));
}

#[test]
fn invalid_program_settings_give_one_error_line_with_file_line_and_key() {
    let path = write_config_file("own-settings", "[log]\nformat = \"text\"\nlines_per_second = 0\n");
    let path_text = path.to_str().unwrap();
    let check = || run_to_end(&mut program_command(&["check", "--settings", path_text]));
    let cases = [
        ("[log]\nlines_per_second = 0\n", "line 2: log.lines_per_second: "),
        ("[log]\n\nformat = \"xml\"\n", "line 3: log.format: "),
        ("\n[log]\nlevels = \"info\"\n", "line 3: log.levels: "),
        ("[log\n", "line 1: "),
    ];
    for (text, expected) in cases {
        std::fs::write(&path, text).unwrap();
        let output = check();
        let error_text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{text}: {error_text}");
        assert_eq!(error_text.lines().count(), 1, "{error_text}");
        assert!(error_text.contains(path_text) && error_text.contains(expected), "{error_text}");
    }
    std::fs::write(&path, include_str!("../../../deploy/pierloom.toml")).unwrap();
    assert_eq!(check().status.code(), Some(0));
}

// Guards against a connection that always has data to relay, and so keeps the thread from all others.
#[test]
fn a_client_that_floods_does_not_delay_others() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("flood", &[&backend]);
    let (flooding_client, at_backend) = proxy.establish("f", &backend);
    std::thread::spawn(move || {
        let (mut at_backend, mut buffer) = (at_backend.stream().try_clone().unwrap(), vec![0; 1 << 18]);
        while std::io::Read::read(&mut at_backend, &mut buffer).is_ok_and(|read| read > 0) {}
    });
    std::thread::spawn(move || {
        let block = b"a message\r\n".repeat(20_000);
        while std::io::Write::write_all(&mut flooding_client.stream(), &block).is_ok() {}
    });
    for n in 0..100 {
        let started_at = Instant::now();
        let mut other = proxy.client();
        other.send("PING\r\n");
        assert_eq!(other.line(), "PONG\r\n");
        assert!(started_at.elapsed() < SECOND, "{n}: {:?}", started_at.elapsed());
    }
}
