//! Moves of clients while the backend's lines come in pieces: whenever the client is moved, MOVE comes between two
//! lines, and no client is cut off without it while its backend answers.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses only a part of the harness
mod harness;

use harness::{Backend, EVENT_TIMEOUT, Folder, Peer, Proxy, call_console};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Interval between two pieces of a backend's stream.
const PIECE_INTERVAL: Duration = Duration::from_millis(30);
/// Longer than the proxy waits for the rest of a line from a backend that sends nothing.
const SLOW_LINE_TIME: Duration = Duration::from_millis(2_600);
/// Longest line, without its line end.
const LONGEST_LINE: usize = 4_094;
/// Time after which a client that waits for the end of a line has no answer yet.
const SILENCE: Duration = Duration::from_millis(700);

/// A client and its backend, whose stream is a sequence of lines of this length.
struct Feed {
    client: Peer,
    at_backend: Peer,
    line_length: usize,
    /// Number of the next line that the backend completes.
    next: usize,
}

impl Feed {
    /// Establishes a connection on which the backend has sent the beginning of its first line.
    fn start(proxy: &Proxy, backend: &Backend, line_length: usize) -> Self {
        let (mut client, mut at_backend) = proxy.establish("k", backend);
        at_backend.send(&Feed::line(0, line_length)[..1]);
        assert_eq!(client.read(1), b"n");
        Feed { client, at_backend, line_length, next: 0 }
    }

    /// Line `number`, without its line end.
    fn line(number: usize, length: usize) -> String {
        format!("n{number:0>width$}", width = length - 1)
    }

    /// Sends pieces, each of which ends within a line, until the proxy closes the connection. Returns the lines
    /// that the client got, the first one without its first byte.
    fn run_until_closed(mut self) -> Vec<String> {
        let started_at = Instant::now();
        while started_at.elapsed() < EVENT_TIMEOUT {
            let rest = &Feed::line(self.next, self.line_length)[1..];
            let beginning = &Feed::line(self.next + 1, self.line_length)[..1];
            if !self.at_backend.send_if_open(&format!("{rest}\r\n{beginning}")) {
                break;
            }
            self.next += 1;
            thread::sleep(PIECE_INTERVAL);
        }
        let (received, is_reset) = self.client.read_to_end();
        assert!(!is_reset, "a reset may discard lines");
        received.split_inclusive("\r\n").map(str::to_string).collect()
    }

    /// Runs the feed, and checks that the client got whole lines in order, then MOVE and the end.
    fn assert_moved_between_lines(self, name: &str) {
        let length = self.line_length;
        let lines = self.run_until_closed();
        let (last, feed) = lines.split_last().expect("a line");
        assert_eq!(last, "MOVE\r\n", "{name}: after {} lines", feed.len());
        for (number, line) in feed.iter().enumerate() {
            let expected = Feed::line(number, length) + "\r\n";
            assert_eq!(*line, expected[usize::from(number == 0)..], "{name}: line {number}");
        }
    }
}

/// Starts a proxy with one backend.
fn start(name: &str) -> (Proxy, Backend) {
    let backend = Backend::new("n");
    (Proxy::start(name, &[&backend]), backend)
}

// Guards against clients that are cut off without MOVE because their backends' lines come in pieces that never end
// with a line, whatever moves them, and if a line does not fit into one read.
#[test]
fn clients_are_moved_between_lines_that_come_in_pieces() {
    type RequestMove = fn(&Proxy, SocketAddr, &Backend);
    let stop: RequestMove = |proxy, _, _| proxy.signal("-TERM");
    let drain: RequestMove = |proxy, _, backend| proxy.discovery.publish(&backend.entry("draining"));
    let maintain: RequestMove =
        |_, console, _| assert_eq!(call_console(console, "POST", "/label-servers/n/maint").0, 200);
    let moves =
        [("stop", stop, 100), ("drain", drain, 100), ("maint", maintain, 100), ("long", stop, LONGEST_LINE)];
    for (name, request_move, line_length) in moves {
        let backend = Backend::new("n");
        let entries = [backend.entry("ready")];
        let (proxy, console) =
            Proxy::start_with_console(&format!("move-{name}"), 1024, &entries, harness::SETTINGS);
        let feed = Feed::start(&proxy, &backend, line_length);
        request_move(&proxy, console, &backend);
        feed.assert_moved_between_lines(name);
    }
}

// Guards against the same at a process that took the connection over within a line.
#[test]
fn a_successor_moves_clients_that_it_took_over_within_a_line() {
    let (folder, backend) = (Folder::new("move-handed"), Backend::new("n"));
    let entries = [backend.entry("ready")];
    let (mut old, _) = Proxy::start_serving(&folder, None, &entries);
    let feed = Feed::start(&old, &backend, 100);
    let (new, _) = Proxy::start_serving(&folder, Some(old.address), &entries);
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    new.signal("-TERM");
    feed.assert_moved_between_lines("taken over");
}

// Guards against a client that an old process holds until its end, and then cuts off, because its move waits for
// the end of a line: the new process can wait longer.
#[test]
fn a_move_that_waits_for_the_end_of_a_line_is_handed_over() {
    let (folder, backend) = (Folder::new("move-waits"), Backend::new("n"));
    let entries = [backend.entry("ready")];
    let (mut old, _) = Proxy::start_serving(&folder, None, &entries);
    let Feed { mut client, mut at_backend, .. } = Feed::start(&old, &backend, 100);
    old.discovery.publish(&backend.entry("draining"));
    assert_eq!(client.line_within(SILENCE), None, "the line has not ended");
    let (_new, _) = Proxy::start_serving(&folder, Some(old.address), &entries);
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    at_backend.send("rest\r\n");
    assert_eq!((client.line(), client.line()), ("rest\r\n".to_string(), "MOVE\r\n".to_string()));
}

// Guards against a planned stop that asks the same client to move again and again while it waits for the end of a
// line, and leaves all others to the last moment.
#[test]
fn a_client_that_waits_for_the_end_of_a_line_delays_no_other_move() {
    let (proxy, backend) = start("move-others");
    let Feed { client: mut waiting, at_backend: _silent, .. } = Feed::start(&proxy, &backend, 100);
    let mut others: Vec<(Peer, Peer)> = (0..3).map(|n| proxy.establish(&n.to_string(), &backend)).collect();
    proxy.signal("-TERM");
    for (client, _) in &mut others {
        assert_eq!(client.line(), "MOVE\r\n");
    }
    assert_eq!(waiting.line_within(PIECE_INTERVAL), None, "the others are moved before its wait ends");
}

// Guards against clients that are cut off without MOVE while a slow backend is still sending their line.
#[test]
fn a_line_that_a_slow_backend_takes_long_to_send_is_awaited() {
    let (proxy, backend) = start("move-slow");
    let mut feed = Feed::start(&proxy, &backend, 100);
    proxy.discovery.publish(&backend.entry("draining"));
    let started_at = Instant::now();
    while started_at.elapsed() < SLOW_LINE_TIME {
        assert!(feed.at_backend.send_if_open("0"), "cut off after {:?}", started_at.elapsed());
        thread::sleep(PIECE_INTERVAL);
    }
    feed.at_backend.send("\r\n");
    let line = feed.client.line();
    assert!(line.ends_with("0\r\n"), "{line:?}");
    assert_eq!(feed.client.line(), "MOVE\r\n");
}

// Guards against a client that is held for a backend that does not finish its line, or gets more than that
// backend has sent: the backend falls silent, ends or resets the connection within a line.
#[test]
fn a_line_that_its_backend_does_not_finish_ends_the_wait() {
    type End = fn(Peer) -> Option<Peer>;
    let ends: [(&str, End); 3] = [
        ("silent", |at_backend| Some(at_backend)),
        ("ended", |at_backend| {
            at_backend.shutdown_write();
            Some(at_backend)
        }),
        ("reset", |at_backend| {
            at_backend.reset();
            None
        }),
    ];
    for (name, end) in ends {
        let (proxy, backend) = start(&format!("move-{name}"));
        let Feed { mut client, at_backend, .. } = Feed::start(&proxy, &backend, 100);
        proxy.discovery.publish(&backend.entry("draining"));
        assert_eq!(client.line_within(SILENCE), None, "{name}: the line has not ended");
        let _at_backend = end(at_backend);
        let (received, is_reset) = client.read_to_end();
        assert_eq!((received.as_str(), is_reset), ("", name == "reset"), "{name}");
    }
}

// Guards against a client's line that reaches the backend in part before the move, with bytes that the client
// never sent: the other direction knows no MOVE.
#[test]
fn a_clients_line_that_is_not_finished_does_not_delay_its_move() {
    let (proxy, backend) = start("move-upwards");
    let (mut client, mut at_backend) = proxy.establish("k", &backend);
    client.send("half");
    assert_eq!(at_backend.read(4), b"half");
    proxy.signal("-TERM");
    assert_eq!(client.line(), "MOVE\r\n");
    assert_eq!(at_backend.read_to_end().0, "");
}
