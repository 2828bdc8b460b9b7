//! The real program as a process, among clients, backends and a machine list.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses its part
mod harness;

use harness::{
    Backend, Discovery, Peer, Proxy, SETTINGS, TEST_TIMEOUT, config_text, entry, http_response,
    program_command, write_config_file,
};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// An address where nothing listens any more.
fn closed() -> std::net::SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

#[test]
fn a_job_is_served_and_its_lines_pass_unchanged() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("served", &[&backend]);
    let mut client = proxy.client();
    client.send("PING\r\n");
    assert_eq!(client.line(), "PONG\r\n");
    client.send("OPEN 9b1f 7f3a zz=1,c=feed,d=2000,g=5c0f,again=1,new=x\r\n");
    let (mut at_backend, line) = backend.accept_open();
    // All but `d` is unchanged: it tells how long the proxy itself waits.
    let (before, rest) = line.split_once("d=").unwrap();
    let (wait, after) = rest.split_once(',').unwrap();
    assert_eq!((before, after), ("OPEN 9b1f 7f3a zz=1,c=feed,", "g=5c0f,again=1,new=x\r\n"));
    assert!((1..2000).contains(&wait.parse::<u32>().unwrap()), "{wait}");
    at_backend.send("UP r1\r\nLOAD 20");
    assert_eq!(client.line(), "UP r1\r\n");
    // Half a line is passed on at once too, and what is no text.
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
fn ends_and_resets_of_either_side_reach_the_other() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("ends", &[&backend]);
    let (client, mut at_backend) = proxy.connect("k1", &backend);
    client.shutdown_write();
    assert_eq!(at_backend.read_to_end(), (String::new(), false));
    let (client, mut at_backend) = proxy.connect("k2", &backend);
    client.reset();
    assert!(at_backend.read_to_end().1, "a reset");
    // Last, as the module spares a node that broke a connection.
    let (mut client, at_backend) = proxy.connect("k3", &backend);
    at_backend.reset();
    assert!(client.read_to_end().1, "a reset");
}

#[test]
fn first_lines_that_are_no_job_get_one_answer_and_reach_no_node() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("malformed", &[&backend]);
    let overlong = format!("OPEN 0a k c=feed,d=4800,x={}\r\n", "y".repeat(5000));
    let hundreds = "OPEN 0a k c=feed,d=4800\r\n".repeat(300);
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
        // Guard against requests that backends turn away: the module would take that for trouble there.
        "OPEN 0a k c=feeds,d=4800\r\n",
        "OPEN 0a k c=feed,d=-5\r\n",
        "OPEN 0a k c=feed,d=\r\n",
        "OPEN 0a k c=feed,d=4294967295\r\n",
        "OPEN  k c=feed,d=4800\r\n",
        "OPEN 0a k c=feed,d=4800\r\nm\r\n",
        &overlong,
        &hundreds,
    ] {
        let mut client = proxy.client();
        client.send(line);
        client.shutdown_write();
        assert_eq!(client.read_to_end().0, "ERR\r\n", "{line:?}");
    }
    let mut half = proxy.client();
    half.send("OPEN 0a k c=fe");
    half.shutdown_write();
    assert_eq!(half.read_to_end(), (String::new(), false));
    proxy.client().reset();
    assert!(backend.has_no_new_connection());
    // One that speaks while it should wait for its answer is none to serve either.
    let mut hasty = proxy.open("k");
    let (mut at_backend, _) = backend.accept_open();
    hasty.send("m\r\n");
    assert_eq!(hasty.line(), "ERR\r\n");
    assert_eq!(at_backend.read_to_end(), (String::new(), false));
    proxy.connect("k", &backend);
}

// Guards a job against another client that opens one under the same id: neither is served in its place, and
// the backend, which would turn it away, does not see it.
#[test]
fn an_id_that_is_open_already_gets_an_error_and_harms_nobody() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("same", &[&backend]);
    let (mut client, mut at_backend) = proxy.connect("k", &backend);
    let mut other = proxy.open("k");
    assert_eq!(other.line(), "ERR\r\n");
    assert_eq!(other.read_to_end(), (String::new(), false));
    client.send("m\r\n");
    assert_eq!(at_backend.line(), "m\r\n");
    assert!(backend.has_no_new_connection());
    at_backend.send("BYE\r\n");
    drop(at_backend);
    assert_eq!(client.read_to_end().0, "BYE\r\n");
}

// Guards against clients that keep their connection and never open a job: each is owed a word within three
// seconds, and all of them together must leave room for those that do.
#[test]
fn silent_submitters_are_sent_away_soon_and_starve_nobody() {
    let backend = Backend::new("n");
    let proxy = Proxy::start_limited("silence", 128, 128, &[backend.entry("ready")]);
    let start = Instant::now();
    let crowd: Vec<Peer> = (0..300)
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
    let (mut client, mut at_backend) = proxy.connect("k", &backend);
    for mut peer in crowd {
        let said = peer.read_to_end().0;
        let told = said.strip_prefix("PONG\r\n").unwrap_or(&said);
        assert!(["ERR\r\n", "BUSY 1000\r\n"].contains(&told), "{said:?}");
    }
    assert!(start.elapsed() < 3 * SECOND, "{:?}", start.elapsed());
    client.send("m\r\n");
    assert_eq!(at_backend.line(), "m\r\n");
}

// Guards against a client that sends without end, at full speed: its words are not kept, and it is told.
#[test]
fn a_line_without_end_is_answered_and_costs_no_memory() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("endless", &[&backend]);
    let mut client = proxy.client();
    let mut stream = client.stream().try_clone().unwrap();
    let writer = std::thread::spawn(move || {
        let part = vec![b'x'; 1 << 20];
        // Refused at some point, as nobody is to take in all of it.
        (0..60).try_for_each(|_| std::io::Write::write_all(&mut stream, &part)).is_ok()
    });
    assert_eq!(client.line(), "ERR\r\n");
    writer.join().unwrap();
    assert!(proxy.peak_memory_kb() < 32 << 10);
    proxy.connect("k", &backend);
}

#[test]
fn what_a_claim_comes_to_decides_what_follows() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    let mut entries: Vec<String> = backends.iter().map(|backend| backend.entry("ready")).collect();
    entries.push(entry("n2", closed(), "ready"));
    let answers = ["BUSY\r\n", "ERR\r\n", "MOVE\r\n", "what\r\n", ""];
    for (i, answer) in answers.iter().enumerate() {
        // A new proxy each time: one that has seen failures spares these nodes.
        let proxy = Proxy::start_with(&format!("claims{i}"), 1024, &entries, SETTINGS);
        let mut client = proxy.open(&format!("k{i}"));
        // Each claim is closed before the next; the last thing the client hears is one refusal.
        let (mut claims, mut answered) = (0, None);
        while answered.is_none() && claims < 4 {
            let taken = backends.iter().find_map(|backend| backend.try_accept_open());
            match taken {
                Some((mut at_backend, line)) => {
                    assert!(line.starts_with(&format!("OPEN 0ak{i} k{i} ")));
                    at_backend.send(answer);
                    at_backend.shutdown_write();
                    at_backend.read_to_end();
                    claims += 1;
                }
                None => answered = client.line_within(Duration::from_millis(5)),
            }
        }
        let answered = answered.unwrap_or_else(|| client.line());
        assert!(claims > 0 && answered.starts_with("BUSY "), "{answer:?}: {claims} claims, {answered:?}");
        assert_eq!(client.read_to_end(), (String::new(), false));
    }
}

#[test]
fn a_silent_node_is_given_up_in_time_for_an_answer() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    let proxy = Proxy::start("late", &[&backends[0], &backends[1]]);
    let mut client = proxy.client();
    let sent = Instant::now();
    client.send("OPEN 0a k c=feed,d=1500\r\n");
    let mut open: Vec<(Peer, String)> = Vec::new();
    let answer = loop {
        if let Some(claim) = backends.iter().find_map(|backend| backend.try_accept_open()) {
            // The claim before is closed by now.
            if let Some((before, _)) = open.last_mut() {
                assert_eq!(before.read_to_end(), (String::new(), false));
            }
            open.push(claim);
        }
        if let Some(answer) = client.line_within(Duration::from_millis(5)) {
            break answer;
        }
    };
    assert!(sent.elapsed() < Duration::from_millis(1500), "{:?}", sent.elapsed());
    assert!(answer.starts_with("BUSY ") || answer == "ERR\r\n", "{answer:?}");
    assert!(!open.is_empty());
    assert_eq!(client.read_to_end(), (String::new(), false));
}

#[test]
fn a_submitter_that_leaves_takes_its_claim_along() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("leaves", &[&backend]);
    let mut client = proxy.client();
    // The claim by itself would last a third of this.
    client.send("OPEN 0a k c=feed,d=40000\r\n");
    let (mut at_backend, _) = backend.accept_open();
    let left = Instant::now();
    drop(client);
    assert_eq!(at_backend.read_to_end(), (String::new(), false));
    assert!(left.elapsed() < 10 * SECOND, "{:?}", left.elapsed());
}

#[test]
fn a_connection_that_stood_before_goes_to_its_node_and_is_moved_like_others() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    let proxy = Proxy::start("stood", &[&backends[0], &backends[1]]);
    let mut connections = Vec::new();
    for i in 0..4 {
        let mut client = proxy.client();
        client.send(&format!("OPEN 0a{i} k{i} c=feed,d=4800,at=n1\r\n"));
        let (mut at_backend, line) = backends[1].accept_open();
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
    let proxy = Proxy::start("between", &[&backend]);
    let (mut client, mut at_backend) = proxy.connect("k", &backend);
    let (mut other, _at_backend) = proxy.connect("k2", &backend);
    at_backend.send("half ");
    assert_eq!(client.read(5), b"half ");
    proxy.discovery.publish(&backend.entry("draining"));
    // The other one is moved in the same second; by then this one's move is wanted too, or soon will be.
    assert_eq!(other.line(), "MOVE\r\n");
    at_backend.send("a line\r\n");
    assert_eq!(client.line(), "a line\r\n");
    assert_eq!(client.line(), "MOVE\r\n");
}

#[test]
fn a_node_that_answers_nothing_loses_its_submitters_by_a_move() {
    let backend = Backend::new("n");
    // Without a message aim no note tells of delays; silence is told all the same.
    let settings = SETTINGS.replace("[0.06]", "[null]");
    let proxy = Proxy::start_with("silent", 1024, &[backend.entry("ready")], &settings);
    let (mut client, _at_backend) = proxy.connect("k", &backend);
    let sent = Instant::now();
    client.send("M\r\n");
    assert_eq!(client.line(), "MOVE\r\n");
    assert!(sent.elapsed() < 7 * SECOND, "{:?}", sent.elapsed());
}

#[test]
fn the_watch_goes_on_over_one_connection_and_failures_do_not_hammer() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("watch", &[&backend]);
    let first = proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!((first.connection, first.from), (0, 1));
    let told = Instant::now();
    proxy.discovery.publish(&backend.entry("ready"));
    let second = proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!((second.connection, second.from), (0, 2));
    // 200 ms is the rule; a slow machine of this test may take a part of them.
    assert!(second.at - told < Duration::from_millis(200));
    let failed = Instant::now();
    proxy.discovery.fail_calls(6);
    let calls: Vec<_> = (0..6).map(|_| proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap()).collect();
    assert!(calls.iter().all(|call| call.from == 2));
    assert!(calls[5].at - failed > Duration::from_millis(50), "the gaps grow with each failure");
    // The watch is up again: what is told then arrives.
    let (mut client, _at_backend) = proxy.connect("k", &backend);
    proxy.discovery.publish(&backend.entry("draining"));
    assert_eq!(client.line(), "MOVE\r\n");
}

// Guards against requests to a node that drains where the watch that would tell of it has fallen silent: a change binds
// six seconds after discovery had it, whether it came or not.
#[test]
fn a_watch_that_falls_silent_is_opened_anew_before_what_it_missed_binds() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    let proxies: Vec<Proxy> =
        (0..3).map(|i| Proxy::start(&format!("mute{i}"), &[&backends[0], &backends[1]])).collect();
    let connections: Vec<_> = proxies.iter().map(|proxy| proxy.connect_any("k", &backends)).collect();
    for proxy in &proxies {
        assert_eq!(proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap().from, 1);
        proxy.discovery.stop_answering();
        backends.iter().for_each(|backend| proxy.discovery.publish(&backend.entry("draining")));
    }
    let told = Instant::now();
    for ((mut client, _at_backend), proxy) in connections.into_iter().zip(&proxies) {
        // The next call misses nothing that was told in between.
        assert_eq!(proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap().from, 1);
        assert_eq!(client.line(), "MOVE\r\n");
    }
    assert!(told.elapsed() < 6 * SECOND, "{:?}", told.elapsed());
}

// Guards against a fleet emptied by a list that is wrong: all would be given up at once.
#[test]
fn a_spoilt_machine_list_leaves_the_last_good_one_in_force() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("spoilt", &[&backend]);
    let (mut client, _at_backend) = proxy.connect("k", &backend);
    proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap();
    let gone = format!(r#"{{"index":9,"snapshot":true,"endpoints":[{}"#, backend.entry("gone"));
    let huge = format!(r#"{{"index":9,"snapshot":true,"endpoints":[],"more":"{}"}}"#, "x".repeat(5 << 20));
    for (body, missing) in [
        (r#"{"index":9,"snapshot":true,"endpoints":[]}"#, 0),
        (&format!("{gone}]}}").replace("gone", "vanished"), 0),
        (&gone, 0),
        (&format!("{gone}]}}"), 7),
        (&huge, 0),
    ] {
        proxy.discovery.send_raw_answer(http_response(body, body.len() + missing));
        // The next call shows that the answer was dealt with; it watches from the last good version.
        assert_eq!(proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap().from, 1);
        proxy.connect("k2", &backend);
    }
    proxy.discovery.publish(&backend.entry("draining"));
    assert_eq!(client.line(), "MOVE\r\n");
}

#[test]
fn a_planned_stop_answers_newcomers_and_moves_everyone_in_time() {
    let backend = Backend::new("n");
    let mut proxy = Proxy::start("stop", &[&backend]);
    let mut connections: Vec<_> = (0..12).map(|i| proxy.connect(&format!("k{i}"), &backend)).collect();
    let told = Instant::now();
    proxy.signal("-TERM");
    let mut unanswered = proxy.open("late");
    let _silent_claim = backend.accept_open();
    connections.push(proxy.connect("new", &backend));
    let mut times = Vec::new();
    for (client, _) in &mut connections {
        assert_eq!(client.line(), "MOVE\r\n");
        assert_eq!(client.read_to_end(), (String::new(), false));
        times.push(told.elapsed());
    }
    let answer = unanswered.line();
    assert!(answer.starts_with("BUSY") || answer == "ERR\r\n", "{answer:?}");
    assert!(proxy.wait_for_exit().success());
    assert!(told.elapsed() < Duration::from_millis(3700), "{:?}", told.elapsed());
    assert!(*times.last().unwrap() - times[0] > SECOND, "in a spread: {times:?}");
}

// Guards against SIGHUP ending the process, and against a proxy that stays with a discovery which is gone.
#[test]
fn a_reload_turns_to_another_machine_list_and_keeps_everyone() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    let mut proxy = Proxy::start("reload", &[&backends[0]]);
    let (mut client, mut at_backend) = proxy.connect("k", &backends[0]);
    assert_eq!(proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap().from, 1);
    proxy.reload("{\"name\":");
    assert!(proxy.next_log_line().contains("the old config stays"));
    for round in 0..2 {
        let discovery = Discovery::new();
        discovery.publish(&backends[0].entry("ready"));
        discovery.publish(&backends[1].entry("ready"));
        let old = proxy.reload_with_discovery(discovery);
        assert!(proxy.next_log_line().contains(&proxy.discovery.address.to_string()));
        // The whole list first, then a watch from there on the same connection.
        let calls: Vec<_> =
            (0..2).map(|_| proxy.discovery.calls.recv_timeout(TEST_TIMEOUT).unwrap()).collect();
        assert_eq!(
            calls.iter().map(|call| (call.connection, call.from)).collect::<Vec<_>>(),
            [(0, 0), (0, 3)]
        );
        assert!(old.calls.try_recv().is_err(), "the old one hears no more");
        client.send(&format!("m {round}\r\n"));
        assert_eq!(at_backend.line(), format!("m {round}\r\n"));
    }
    proxy.discovery.publish(&backends[0].entry("draining"));
    assert_eq!(client.line(), "MOVE\r\n");
    proxy.connect("k2", &backends[1]);
    // The same config again changes nothing, and a planned stop works as before.
    proxy.signal("-HUP");
    proxy.signal("-TERM");
    assert!(proxy.wait_for_exit().success());
    assert!(proxy.discovery.calls.try_iter().all(|call| call.from > 0));
}

// Guards against a proxy that stays with a discovery which is gone, as its config was not all there at SIGHUP.
#[test]
fn a_config_still_being_written_at_a_reload_is_taken_up_once_it_is_whole() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("slow-write", &[&backend]);
    let next = Discovery::new();
    next.publish(&backend.entry("ready"));
    proxy.reload("{\"name\":");
    assert!(proxy.next_log_line().contains("the old config stays"));
    proxy.write_config(&next);
    assert!(proxy.next_log_line().contains(&next.address.to_string()), "one complaint, then the new one");
    assert_eq!(next.calls.recv_timeout(TEST_TIMEOUT).unwrap().from, 0);
}

#[test]
fn probes_ask_for_the_load_on_one_connection() {
    let backend = Backend::new("n");
    let settings = SETTINGS.replace("\"max-attempts\"", "\"may-probe\":true,\"max-attempts\"");
    let proxy = Proxy::start_with("probes", 1024, &[backend.entry("ready")], &settings);
    let _submitter = proxy.open("k");
    let (mut probe, line) = backend.accept_open();
    assert_eq!(line, "STATS\r\n");
    probe.send("PONG x0=0.4,svc_ms=11.5\r\n");
    let (_at_backend, line) = backend.accept_open();
    assert!(line.starts_with("OPEN "), "{line}");
    // A report is good for a second; the next job's probe comes over the connection that is there.
    std::thread::sleep(SECOND);
    let mut next = proxy.open("k2");
    assert_eq!(probe.line(), "STATS\r\n");
    probe.send("PONG x0=1.4,svc_ms=400\r\n");
    assert!(next.line().starts_with("BUSY "), "a full backend gets nothing");
}

#[test]
fn too_many_submitters_are_refused_and_the_rest_are_served() {
    let backend = Backend::new("n");
    // Room for two jobs beside the descriptors that are kept.
    let proxy = Proxy::start_with("limits", 60, &[backend.entry("ready")], SETTINGS);
    let mut connections: Vec<_> = (0..2).map(|i| proxy.connect(&format!("k{i}"), &backend)).collect();
    let mut third = proxy.open("k3");
    assert_eq!(third.line(), "BUSY 1000\r\n");
    assert_eq!(third.read_to_end(), (String::new(), false));
    let (mut client, mut at_backend) = connections.pop().unwrap();
    at_backend.send("BYE\r\n");
    at_backend.shutdown_write();
    assert_eq!(client.read_to_end().0, "BYE\r\n");
    drop((client, at_backend));
    // The place is free once the task has ended, a moment after the end was passed on.
    let start = Instant::now();
    while start.elapsed() < TEST_TIMEOUT {
        let mut next = proxy.open("k4");
        if let Some(line) = next.line_within(Duration::from_millis(50)) {
            assert_eq!(line, "BUSY 1000\r\n");
        } else {
            return backend.accept_open().0.send("UP r\r\n");
        }
    }
    panic!("the place is never free");
}

#[test]
fn a_proxy_out_of_descriptors_survives_and_serves_again() {
    let backend = Backend::new("n");
    // The config promises far more than the process is given.
    let proxy = Proxy::start_limited("descriptors", 24, 1024, &[backend.entry("ready")]);
    let crowd: Vec<Peer> = (0..40).map(|_| proxy.client()).collect();
    // Some of them were let in just to be told.
    let told = crowd.into_iter().filter_map(|mut peer| peer.line_within(Duration::from_millis(100)));
    assert!(told.into_iter().any(|line| line == "BUSY 1000\r\n"));
    proxy.connect("k", &backend);
}

#[test]
fn a_job_served_before_it_was_up_is_not_tried_again() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("bye", &[&backend]);
    let mut client = proxy.open("k");
    let (mut at_backend, _) = backend.accept_open();
    at_backend.send("BYE\r\n");
    assert_eq!(client.read_to_end(), ("BYE\r\n".into(), false));
    assert!(backend.has_no_new_connection());
}

#[test]
fn a_bad_config_is_one_plain_line_and_code_2() {
    let good = config_text(closed(), 1024, "", SETTINGS);
    let bad = [
        ("{", "config"),
        (&good.replace("00000000000000a7", "seven"), "seed"),
        (&good.replace("\"max-attempts\":4", "\"max-attempts\":0"), "max_attempts"),
        (&good.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""), "listen"),
        (&good.replace("\"classes\"", "\"glasses\""), "classes"),
    ];
    for (i, (text, names)) in bad.iter().enumerate() {
        let path = write_config_file(&format!("bad{i}"), text);
        for arguments in [vec!["serve"], vec!["check", path.to_str().unwrap()]] {
            let output = program_command(&arguments).env("LB_CONFIG", &path).output().unwrap();
            let said = String::from_utf8(output.stderr).unwrap();
            assert_eq!(output.status.code(), Some(2), "{said}");
            assert!(said.lines().count() == 1 && said.contains(names), "{said}");
        }
    }
    let path = write_config_file("good", &good);
    let output = program_command(&["check", path.to_str().unwrap()]).output().unwrap();
    assert!(output.status.success() && output.stdout.starts_with(b"good"));
    assert_eq!(program_command(&["serve"]).output().unwrap().status.code(), Some(2), "no config at all");
    assert!(program_command(&["version"]).output().unwrap().stdout.starts_with(b"pierloom 0."));
}

#[test]
fn settings_of_our_own_that_cannot_be_used_name_file_line_and_key() {
    let path = write_config_file("own-settings", "[log]\nformat = \"text\"\nlines_per_second = 0\n");
    let named = path.to_str().unwrap();
    let check = || program_command(&["check", "--settings", named]).output().unwrap();
    let cases = [
        ("[log]\nlines_per_second = 0\n", "line 2: log.lines_per_second: "),
        ("[log]\n\nformat = \"xml\"\n", "line 3: log.format: "),
        ("\n[log]\nlevels = \"info\"\n", "line 3: log.levels: "),
        ("[log\n", "line 1: "),
    ];
    for (text, said) in cases {
        std::fs::write(&path, text).unwrap();
        let output = check();
        let complaint = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{text}: {complaint}");
        assert_eq!(complaint.lines().count(), 1, "{complaint}");
        assert!(complaint.contains(named) && complaint.contains(said), "{complaint}");
    }
    std::fs::write(&path, include_str!("../../../deploy/pierloom.toml")).unwrap();
    assert_eq!(check().status.code(), Some(0));
}

/// Guards against a connection that is never without something to pass on, and keeps the thread from all others.
#[test]
fn a_submitter_that_floods_delays_nobody() {
    let backend = Backend::new("n");
    let proxy = Proxy::start("flood", &[&backend]);
    let (floods, at_backend) = proxy.connect("f", &backend);
    std::thread::spawn(move || {
        let (mut at_backend, mut part) = (at_backend.stream().try_clone().unwrap(), vec![0; 1 << 18]);
        while std::io::Read::read(&mut at_backend, &mut part).is_ok_and(|read| read > 0) {}
    });
    std::thread::spawn(move || {
        let block = b"a message\r\n".repeat(20_000);
        while std::io::Write::write_all(&mut floods.stream(), &block).is_ok() {}
    });
    for n in 0..100 {
        let since = Instant::now();
        let mut other = proxy.client();
        other.send("PING\r\n");
        assert_eq!(other.line(), "PONG\r\n");
        assert!(since.elapsed() < SECOND, "{n}: {:?}", since.elapsed());
    }
}
