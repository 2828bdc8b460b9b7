//! Spoilt words from all sides: each has one stated behaviour (docs/design/crossings.md), and harms nobody else.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses its part
mod harness;

use harness::{
    Backend, FullQueueBackend, Proxy, SETTINGS, TEST_TIMEOUT, http_response, poll_until, program_command,
    write_config_file,
};
use std::time::Duration;

/// Answers the next call with that list and waits for the call after it; its version.
fn told(proxy: &Proxy, body: &str) -> u64 {
    proxy.discovery.send_raw_answer(http_response(body, body.len()));
    proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap().from
}

// Stated: what can be read of a list is taken as told, entry by entry, the later one of a name; an entry without an
// address keeps the one known; a lower version is where the next watch begins; figures out of all range are cut down.
#[test]
fn odd_lists_are_taken_as_far_as_they_tell() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    let proxy = Proxy::start("odd-lists", &[&backends[0]]);
    proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap();
    let (ready, drains) = (backends[0].entry("ready"), backends[0].entry("draining"));
    // Indented, and one name twice.
    let body = format!(
        "{{\r\n  \"index\": 7,\n\t\"snapshot\": false,\n  \"endpoints\": [\n    {drains},\n    {ready}\n  ]\n}}\n"
    );
    assert_eq!(told(&proxy, &body), 7);
    proxy.connect("a", &backends[0]);
    // No address, and a version that goes back.
    let bare = r#"{"name":"n0","status":"ready"}"#;
    assert_eq!(told(&proxy, &format!(r#"{{"index":3,"snapshot":false,"endpoints":[{bare}]}}"#)), 3);
    proxy.connect("b", &backends[0]);
    // No address that was ever known, an address that is none, and figures that no machine has.
    let odd = ready
        .replace("\"since_ms\":0", "\"since_ms\":18446744073709551615")
        .replace("\"weight\":1.0", "\"weight\":1e308");
    let wrong = backends[1].entry("ready").replace("127.0.0.1:", "nowhere:");
    let body = format!(
        r#"{{"index":4,"snapshot":true,"endpoints":[{odd},{wrong},{{"name":"n2","status":"ready"}}]}}"#
    );
    assert_eq!(told(&proxy, &body), 4);
    let body = format!(r#"{{"index":5,"snapshot":true,"endpoints":[{}]}}"#, backends[1].entry("ready"));
    assert_eq!(told(&proxy, &body), 5);
    proxy.connect("c", &backends[1]);
}

// Guards against a list that is thrown away for one entry: what it says of others who leave counts as told.
#[test]
fn an_entry_that_cannot_be_read_harms_no_other() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    for (i, odd) in [
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
        let (mut client, _at_backend) = proxy.connect_any("k", &backends);
        proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap();
        let leaving = backends.each_ref().map(|backend| backend.entry("draining")).join(",");
        let changes = format!(r#"{{"index":9,"snapshot":false,"endpoints":[{odd},{leaving}]}}"#);
        proxy.discovery.send_raw_answer(http_response(&changes, changes.len()));
        assert_eq!(client.line(), "MOVE\r\n", "{odd}");
        // Whole, with the odd one for a node that is known: that one stays as it was, and the other one is used.
        let known = backends[0].entry("vanished");
        let whole = format!(
            r#"{{"index":10,"snapshot":true,"endpoints":[{odd},{known},{}]}}"#,
            backends[1].entry("ready")
        );
        proxy.discovery.send_raw_answer(http_response(&whole, whole.len()));
        assert_eq!(proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap().from, 9);
        let served = || proxy.open("k2").line_within(Duration::from_millis(50)).is_none().then_some(());
        poll_until(served).expect("an attempt");
        backends[1].accept_open();
        assert!(backends[0].has_no_new_connection(), "{odd}");
    }
}

// Stated: an answer that is cut, longer than a line may be, no line of the protocol, or says two things counts as a
// broken or failed attempt; what came behind the last word of a failed one is dropped with its connection.
#[test]
fn a_node_that_answers_nonsense_costs_one_attempt_and_nobody_else() {
    let endless = "U".repeat(100_000);
    for (i, answer) in ["UP r", &endless, "BUSY\r\nBUSY\r\n", "\r\n", "UPR r\r\n", "\u{7f}\u{0}\r\nUP r\r\n"]
        .iter()
        .enumerate()
    {
        let (odd, sound) = (Backend::new("n0"), Backend::new("n1"));
        let proxy = Proxy::start(&format!("nonsense{i}"), &[&odd, &sound]);
        for n in 0..8 {
            let mut client = proxy.open(&format!("k{n}"));
            let said = harness::poll_until(|| {
                if let Some((at_odd, _)) = odd.try_accept_open() {
                    // It may be cut off in the middle.
                    let _ = std::io::Write::write_all(&mut at_odd.stream(), answer.as_bytes());
                    at_odd.shutdown_write();
                }
                sound.try_accept_open().map(|(mut at_sound, _)| {
                    at_sound.send("UP r1\r\n");
                    at_sound
                })
            });
            assert!(said.is_some(), "{answer:.20?}: request {n} is tried at the sound one");
            assert_eq!(client.line(), "UP r1\r\n");
        }
    }
}

// Stated: after the answer that brings it up, whatever a node says is passed on unchanged, a second answer too.
#[test]
fn a_second_answer_behind_the_first_is_passed_on() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("second", &[&backend]);
    let mut client = proxy.open("k");
    let (mut at_backend, _) = backend.accept_open();
    at_backend.send("UP r1\r\nUP r1\r\n");
    assert_eq!((client.line(), client.line()), ("UP r1\r\n".to_string(), "UP r1\r\n".to_string()));
    at_backend.send("BUSY\r\n");
    assert_eq!(client.line(), "BUSY\r\n");
}

// Stated: clients that send much and go, or say half a line and rest, cost a place among those not heard yet, for a
// second and a half at most, and no memory.
#[test]
fn floods_of_words_from_clients_that_go_harm_nobody() {
    let backend = Backend::new("n");
    let proxy = Proxy::start_limited("floods", 128, 128, &[backend.entry("ready")]);
    let flood = vec![b'x'; 300_000];
    for _ in 0..60 {
        let peer = proxy.client();
        peer.stream().set_write_timeout(Some(Duration::from_millis(20))).unwrap();
        // Nobody has to take in all of it.
        let _ = std::io::Write::write_all(&mut peer.stream(), &flood);
        peer.reset();
    }
    proxy.connect("k", &backend);
    assert!(proxy.peak_memory_kb() < 32 << 10);
}

// Stated: unknown settings are passed over, times beyond thirty years count as that, and what cannot be met is refused
// with the field's name.
#[test]
fn settings_out_of_range_are_met_or_refused_by_name() {
    let backend = Backend::new("n");
    let odd = SETTINGS
        .replace("\"deadline\":4.8", "\"deadline\":1e300,\"colour\":3")
        .replace("\"balancers\":1", "\"balancers\":1,\"more\":{}");
    let proxy = Proxy::start_with("odd-settings", 1024, &[backend.entry("ready")], &odd);
    proxy.connect("k", &backend);
    for (from, to, field) in [
        ("\"connect-timeout\":0.2", "\"connect-timeout\":-1", "connect_timeout"),
        ("\"deadline\":4.8", "\"deadline\":-4", "deadline"),
        ("\"target\":0.8,", "", "target"),
        ("\"effect\":\"repeatable\"", "\"effect\":\"twice\"", "effect"),
        ("\"max-attempts\":4", "\"max-attempts\":-4", "max-attempts"),
    ] {
        let settings = SETTINGS.replace(from, to);
        let path = write_config_file(
            "odd-refused",
            &harness::config_text(proxy.discovery.address, 1024, "", &settings),
        );
        let output = program_command(&["check", path.to_str().unwrap()]).output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{field}: {said}");
        assert!(said.contains(field) && said.lines().count() == 1, "{field}: {said}");
    }
}

// Guards against a job that is sent on though its client left in the moment in which it came, or while it waited.
#[test]
fn a_submitter_that_has_gone_is_not_served() {
    let backend = FullQueueBackend::new("n");
    let settings = SETTINGS.replace("\"max-attempts\"", "\"may-probe\":true,\"max-attempts\"");
    let proxy = Proxy::start_with("gone", 1024, &[backend.entry("ready")], &settings);
    // Its whole life is there at once.
    proxy.suspend();
    drop(proxy.open("a"));
    proxy.resume();
    // One that waits for a probe, whose answer comes with the client's end.
    let waiting = proxy.open("b");
    let mut probe = backend.accept();
    assert_eq!(probe.line(), "STATS\r\n");
    proxy.suspend();
    drop(waiting);
    probe.send("PONG x0=0.4,svc_ms=11.5\r\n");
    proxy.resume();
    let mut served = proxy.open("c");
    let mut at_backend = backend.accept();
    assert!(at_backend.line().starts_with("OPEN 0ac "), "the first that is sent on");
    at_backend.send("UP r\r\n");
    assert_eq!(served.line(), "UP r\r\n");
}
