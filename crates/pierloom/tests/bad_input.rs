//! Spoilt words from all sides: each has one stated behaviour (docs/design/crossings.md), and harms nobody else.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses its part
mod world;

use std::time::Duration;
use world::{LONG, Node, Plugged, Proxy, SETTINGS, config_file, http, program, until};

/// Answers the next call with that list and waits for the call after it; its version.
fn told(proxy: &Proxy, body: &str) -> u64 {
    proxy.list.spoil(http(body, body.len()));
    proxy.list.calls.recv_timeout(LONG).unwrap().from
}

// Stated: what can be read of a list is taken as told, entry by entry, the later one of a name; an entry without an
// address keeps the one known; a lower version is where the next watch begins; figures out of all range are cut down.
#[test]
fn odd_lists_are_taken_as_far_as_they_tell() {
    let nodes = [Node::new("n0"), Node::new("n1")];
    let proxy = Proxy::start("odd-lists", &[&nodes[0]]);
    proxy.list.calls.recv_timeout(LONG).unwrap();
    let (ready, drains) = (nodes[0].entry("ready"), nodes[0].entry("draining"));
    // Indented, and one name twice.
    let body = format!(
        "{{\r\n  \"index\": 7,\n\t\"snapshot\": false,\n  \"endpoints\": [\n    {drains},\n    {ready}\n  ]\n}}\n"
    );
    assert_eq!(told(&proxy, &body), 7);
    proxy.connect("a", &nodes[0]);
    // No address, and a version that goes back.
    let bare = r#"{"name":"n0","status":"ready"}"#;
    assert_eq!(told(&proxy, &format!(r#"{{"index":3,"snapshot":false,"endpoints":[{bare}]}}"#)), 3);
    proxy.connect("b", &nodes[0]);
    // No address that was ever known, an address that is none, and figures that no machine has.
    let odd = ready
        .replace("\"since_ms\":0", "\"since_ms\":18446744073709551615")
        .replace("\"weight\":1.0", "\"weight\":1e308");
    let wrong = nodes[1].entry("ready").replace("127.0.0.1:", "nowhere:");
    let body = format!(
        r#"{{"index":4,"snapshot":true,"endpoints":[{odd},{wrong},{{"name":"n2","status":"ready"}}]}}"#
    );
    assert_eq!(told(&proxy, &body), 4);
    let body = format!(r#"{{"index":5,"snapshot":true,"endpoints":[{}]}}"#, nodes[1].entry("ready"));
    assert_eq!(told(&proxy, &body), 5);
    proxy.connect("c", &nodes[1]);
}

// Guards against a list that is thrown away for one entry: what it says of others who leave counts as told.
#[test]
fn an_entry_that_cannot_be_read_harms_no_other() {
    let nodes = [Node::new("n0"), Node::new("n1")];
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
        let proxy = Proxy::start(&format!("entry{i}"), &[&nodes[0], &nodes[1]]);
        let (mut client, _at_node) = proxy.connect_any("k", &nodes);
        proxy.list.calls.recv_timeout(LONG).unwrap();
        let leaving = nodes.each_ref().map(|node| node.entry("draining")).join(",");
        let changes = format!(r#"{{"index":9,"snapshot":false,"endpoints":[{odd},{leaving}]}}"#);
        proxy.list.spoil(http(&changes, changes.len()));
        assert_eq!(client.line(), "MOVE\r\n", "{odd}");
        // Whole, with the odd one for a node that is known: that one stays as it was, and the other one is used.
        let known = nodes[0].entry("vanished");
        let whole = format!(
            r#"{{"index":10,"snapshot":true,"endpoints":[{odd},{known},{}]}}"#,
            nodes[1].entry("ready")
        );
        proxy.list.spoil(http(&whole, whole.len()));
        assert_eq!(proxy.list.calls.recv_timeout(LONG).unwrap().from, 9);
        let served = || proxy.open("k2").line_within(Duration::from_millis(50)).is_none().then_some(());
        until(served).expect("an attempt");
        nodes[1].opened();
        assert!(nodes[0].untouched(), "{odd}");
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
        let (odd, sound) = (Node::new("n0"), Node::new("n1"));
        let proxy = Proxy::start(&format!("nonsense{i}"), &[&odd, &sound]);
        for n in 0..8 {
            let mut client = proxy.open(&format!("k{n}"));
            let said = world::until(|| {
                if let Some((at_odd, _)) = odd.try_opened() {
                    // It may be cut off in the middle.
                    let _ = std::io::Write::write_all(&mut at_odd.stream(), answer.as_bytes());
                    at_odd.end_sending();
                }
                sound.try_opened().map(|(mut at_sound, _)| {
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
    let node = Node::new("n");
    let proxy = Proxy::start("second", &[&node]);
    let mut client = proxy.open("k");
    let (mut at_node, _) = node.opened();
    at_node.send("UP r1\r\nUP r1\r\n");
    assert_eq!((client.line(), client.line()), ("UP r1\r\n".to_string(), "UP r1\r\n".to_string()));
    at_node.send("BUSY\r\n");
    assert_eq!(client.line(), "BUSY\r\n");
}

// Stated: clients that send much and go, or say half a line and rest, cost a place among those not heard yet, for a
// second and a half at most, and no memory.
#[test]
fn floods_of_words_from_clients_that_go_harm_nobody() {
    let node = Node::new("n");
    let proxy = Proxy::start_limited("floods", 128, 128, &[node.entry("ready")]);
    let flood = vec![b'x'; 300_000];
    for _ in 0..60 {
        let peer = proxy.client();
        peer.stream().set_write_timeout(Some(Duration::from_millis(20))).unwrap();
        // Nobody has to take in all of it.
        let _ = std::io::Write::write_all(&mut peer.stream(), &flood);
        peer.reset();
    }
    proxy.connect("k", &node);
    assert!(proxy.most_memory_kb() < 32 << 10);
}

// Stated: unknown settings are passed over, times beyond thirty years count as that, and what cannot be met is refused
// with the field's name.
#[test]
fn settings_out_of_range_are_met_or_refused_by_name() {
    let node = Node::new("n");
    let odd = SETTINGS
        .replace("\"deadline\":4.8", "\"deadline\":1e300,\"colour\":3")
        .replace("\"balancers\":1", "\"balancers\":1,\"more\":{}");
    let proxy = Proxy::start_with("odd-settings", 1024, &[node.entry("ready")], &odd);
    proxy.connect("k", &node);
    for (from, to, field) in [
        ("\"connect-timeout\":0.2", "\"connect-timeout\":-1", "connect_timeout"),
        ("\"deadline\":4.8", "\"deadline\":-4", "deadline"),
        ("\"target\":0.8,", "", "target"),
        ("\"effect\":\"repeatable\"", "\"effect\":\"twice\"", "effect"),
        ("\"max-attempts\":4", "\"max-attempts\":-4", "max-attempts"),
    ] {
        let settings = SETTINGS.replace(from, to);
        let path = config_file("odd-refused", &world::config(proxy.list.address, 1024, "", &settings));
        let output = program(&["check", path.to_str().unwrap()]).output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{field}: {said}");
        assert!(said.contains(field) && said.lines().count() == 1, "{field}: {said}");
    }
}

// Guards against a job that is sent on though its client left in the moment in which it came, or while it waited.
#[test]
fn a_submitter_that_has_gone_is_not_served() {
    let node = Plugged::new("n");
    let settings = SETTINGS.replace("\"max-attempts\"", "\"may-probe\":true,\"max-attempts\"");
    let proxy = Proxy::start_with("gone", 1024, &[node.entry("ready")], &settings);
    // Its whole life is there at once.
    proxy.halt();
    drop(proxy.open("a"));
    proxy.go_on();
    // One that waits for a probe, whose answer comes with the client's end.
    let waiting = proxy.open("b");
    let mut probe = node.accept();
    assert_eq!(probe.line(), "STATS\r\n");
    proxy.halt();
    drop(waiting);
    probe.send("PONG x0=0.4,svc_ms=11.5\r\n");
    proxy.go_on();
    let mut served = proxy.open("c");
    let mut at_node = node.accept();
    assert!(at_node.line().starts_with("OPEN 0ac "), "the first that is sent on");
    at_node.send("UP r\r\n");
    assert_eq!(served.line(), "UP r\r\n");
}
