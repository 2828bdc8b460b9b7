//! Invalid input from clients, backends, discovery and the config. Each case has one specified behaviour
//! (docs/design/crossings.md) and affects no other connection.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses only a part of the harness
mod harness;

use harness::{
    Backend, EVENT_TIMEOUT, FullQueueBackend, Proxy, SETTINGS, http_response, poll_until, program_command,
    run_to_end, write_config_file,
};
use std::time::Duration;

/// Answers the next call with this endpoint list and waits for the call after it. Returns the index that the
/// later call watches from.
fn index_after_answer(proxy: &Proxy, body: &str) -> u64 {
    proxy.discovery.send_raw_answer(http_response(body, body.len()));
    proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index
}

// Specified: the proxy uses each valid entry of an endpoint list; of two entries with one name, the later
// one. An entry without an address keeps the known address. The next watch starts at the index of the list,
// even if that is lower than before. Values out of range are clamped.
#[test]
fn partly_invalid_endpoint_lists_are_used_as_far_as_they_are_valid() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    let proxy = Proxy::start("odd-lists", &[&backends[0]]);
    proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap();
    let (ready, drain) = (backends[0].entry("ready"), backends[0].entry("draining"));
    // The JSON is indented, and one name stands twice.
    let body = format!(
        "{{\r\n  \"index\": 7,\n\t\"snapshot\": false,\n  \"endpoints\": [\n    {drain},\n    {ready}\n  ]\n}}\n"
    );
    assert_eq!(index_after_answer(&proxy, &body), 7);
    proxy.establish("a", &backends[0]);
    // The entry has no address, and the index goes back.
    let no_address = r#"{"name":"n0","status":"ready"}"#;
    assert_eq!(
        index_after_answer(&proxy, &format!(r#"{{"index":3,"snapshot":false,"endpoints":[{no_address}]}}"#)),
        3
    );
    proxy.establish("b", &backends[0]);
    // One entry has no address and none is known, one has an invalid address, and one has impossible values.
    let extreme = ready
        .replace("\"since_ms\":0", "\"since_ms\":18446744073709551615")
        .replace("\"weight\":1.0", "\"weight\":1e308");
    let nowhere = backends[1].entry("ready").replace("127.0.0.1:", "nowhere:");
    let body = format!(
        r#"{{"index":4,"snapshot":true,"endpoints":[{extreme},{nowhere},{{"name":"n2","status":"ready"}}]}}"#
    );
    assert_eq!(index_after_answer(&proxy, &body), 4);
    let body = format!(r#"{{"index":5,"snapshot":true,"endpoints":[{}]}}"#, backends[1].entry("ready"));
    assert_eq!(index_after_answer(&proxy, &body), 5);
    proxy.establish("c", &backends[1]);
}

// Guards against an endpoint list that is discarded because of one invalid entry: drains of other backends in
// the same list must be obeyed.
#[test]
fn an_invalid_endpoint_entry_leaves_the_other_entries_in_effect() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    for (i, invalid) in [
        r#"{"name":7,"status":"ready"}"#,
        r#"{"name":"x","status":"vanished"}"#,
        r#"{"name":"x","address":"127.0.0.1:1","status":"ready","since_ms":-1}"#,
        "null",
        "[[]]",
    ]
    .iter()
    .enumerate()
    {
        let proxy = Proxy::start(&format!("entry{i}"), &[&backends[0], &backends[1]]);
        let (mut client, _at_backend) = proxy.establish_at_any("k", &backends);
        proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap();
        let draining = backends.each_ref().map(|backend| backend.entry("draining")).join(",");
        let delta = format!(r#"{{"index":9,"snapshot":false,"endpoints":[{invalid},{draining}]}}"#);
        proxy.discovery.send_raw_answer(http_response(&delta, delta.len()));
        assert_eq!(client.line(), "MOVE\r\n", "{invalid}");
        // The snapshot has an invalid entry for a known backend. That backend stays as it was, and the other
        // one is used.
        let invalid_known = backends[0].entry("vanished");
        let snapshot = format!(
            r#"{{"index":10,"snapshot":true,"endpoints":[{invalid},{invalid_known},{}]}}"#,
            backends[1].entry("ready")
        );
        proxy.discovery.send_raw_answer(http_response(&snapshot, snapshot.len()));
        assert_eq!(proxy.discovery.calls.recv_timeout(EVENT_TIMEOUT).unwrap().from_index, 9);
        let served =
            || proxy.send_request("k2").line_within(Duration::from_millis(50)).is_none().then_some(());
        poll_until(served).expect("an attempt");
        backends[1].accept_first_line();
        assert!(backends[0].has_no_new_connection(), "{invalid}");
    }
}

// Specified: an answer that is cut off, longer than the line limit, not a line of the protocol, or followed
// by a second answer counts as a broken or failed attempt. What follows the final answer of a failed attempt
// is dropped with its connection.
#[test]
fn an_invalid_answer_of_a_backend_fails_one_attempt_and_the_request_is_served() {
    let endless = "U".repeat(100_000);
    for (i, answer) in ["UP r", &endless, "BUSY\r\nBUSY\r\n", "\r\n", "UPR r\r\n", "\u{7f}\u{0}\r\nUP r\r\n"]
        .iter()
        .enumerate()
    {
        let (invalid_backend, healthy_backend) = (Backend::new("n0"), Backend::new("n1"));
        let proxy = Proxy::start(&format!("nonsense{i}"), &[&invalid_backend, &healthy_backend]);
        for n in 0..8 {
            let mut client = proxy.send_request(&format!("k{n}"));
            let established = harness::poll_until(|| {
                if let Some((at_invalid, _)) = invalid_backend.try_accept_first_line() {
                    // The proxy may close the connection before the answer is complete.
                    let _ = std::io::Write::write_all(&mut at_invalid.stream(), answer.as_bytes());
                    at_invalid.shutdown_write();
                }
                healthy_backend.try_accept_first_line().map(|(mut at_healthy, _)| {
                    at_healthy.send("UP r1\r\n");
                    at_healthy
                })
            });
            assert!(established.is_some(), "{answer:.20?}: request {n} is tried at the healthy backend");
            assert_eq!(client.line(), "UP r1\r\n");
        }
    }
}

// Specified: after the answer that establishes the connection, the proxy relays all lines of the backend
// unchanged, a second answer too.
#[test]
fn a_second_answer_after_up_is_relayed_unchanged() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("second", &[&backend]);
    let mut client = proxy.send_request("k");
    let (mut at_backend, _) = backend.accept_first_line();
    at_backend.send("UP r1\r\nUP r1\r\n");
    assert_eq!((client.line(), client.line()), ("UP r1\r\n".to_string(), "UP r1\r\n".to_string()));
    at_backend.send("BUSY\r\n");
    assert_eq!(client.line(), "BUSY\r\n");
}

// Specified: a client that sends much data and leaves, or that sends half a line and stays idle, occupies one
// of the slots for connections without a request for 1.5 seconds at most, and uses no memory. The test has
// clients send much data and reset their connections. Then another client must still be served, and the peak
// memory of the proxy must be under 32 MiB.
#[test]
fn clients_that_flood_and_reset_use_little_memory_and_block_no_others() {
    let backend = Backend::new("n");
    let proxy = Proxy::start_limited("floods", 128, 128, &[backend.entry("ready")]);
    let flood = vec![b'x'; 300_000];
    for _ in 0..60 {
        let peer = proxy.client();
        peer.stream().set_write_timeout(Some(Duration::from_millis(20))).unwrap();
        // The proxy does not have to read all of it.
        let _ = std::io::Write::write_all(&mut peer.stream(), &flood);
        peer.reset();
    }
    proxy.establish("k", &backend);
    assert!(proxy.peak_memory_kb() < 32 << 10);
}

// Specified: unknown settings are ignored, times beyond thirty years count as thirty years, and settings that
// the proxy cannot obey are rejected with the name of the field.
#[test]
fn settings_out_of_range_are_clamped_or_rejected_with_the_field_name() {
    let backend = Backend::new("n");
    let unusual = SETTINGS
        .replace("\"deadline\":4.8", "\"deadline\":1e300,\"colour\":3")
        .replace("\"balancers\":1", "\"balancers\":1,\"more\":{}");
    let proxy = Proxy::start_with_settings("unusual-settings", 1024, &[backend.entry("ready")], &unusual);
    proxy.establish("k", &backend);
    for (valid, invalid, field) in [
        ("\"connect-timeout\":0.2", "\"connect-timeout\":-1", "connect_timeout"),
        ("\"deadline\":4.8", "\"deadline\":-4", "deadline"),
        ("\"target\":0.8,", "", "target"),
        ("\"effect\":\"repeatable\"", "\"effect\":\"twice\"", "effect"),
        ("\"max-attempts\":4", "\"max-attempts\":-4", "max-attempts"),
    ] {
        let settings = SETTINGS.replace(valid, invalid);
        let path = write_config_file(
            "unusual-refused",
            &harness::config_text(proxy.discovery.address, 1024, "", &settings),
        );
        let output = run_to_end(&mut program_command(&["check", path.to_str().unwrap()]));
        let error_text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{field}: {error_text}");
        assert!(error_text.contains(field) && error_text.lines().count() == 1, "{field}: {error_text}");
    }
}

// Guards against a request that is sent to a backend although its client left just as the request arrived, or
// while the request waited.
#[test]
fn a_request_whose_client_has_left_reaches_no_backend() {
    let backend = FullQueueBackend::new("n");
    let settings = SETTINGS.replace("\"max-attempts\"", "\"may-probe\":true,\"max-attempts\"");
    let proxy = Proxy::start_with_settings("gone", 1024, &[backend.entry("ready")], &settings);
    // When the proxy resumes, the client's connection, request and end are ready at the same time.
    proxy.suspend();
    drop(proxy.send_request("a"));
    proxy.resume();
    // This request waits for a probe whose answer arrives together with the client's end.
    let waiting = proxy.send_request("b");
    let mut probe = backend.accept();
    assert_eq!(probe.line(), "STATS\r\n");
    proxy.suspend();
    drop(waiting);
    probe.send("PONG x0=0.4,svc_ms=11.5\r\n");
    proxy.resume();
    let mut served = proxy.send_request("c");
    let mut at_backend = backend.accept();
    assert!(at_backend.line().starts_with("OPEN 0ac "), "the first request that reaches the backend");
    at_backend.send("UP r\r\n");
    assert_eq!(served.line(), "UP r\r\n");
}
