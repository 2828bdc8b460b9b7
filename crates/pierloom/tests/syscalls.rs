//! System calls that fail for a moment, in the ways that Linux documents: no request is lost, refused or failed over
//! one. The real program runs under `strace`, which makes chosen calls of a kind fail in place of the system.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses its part
mod harness;

use harness::{Peer, Proxy, SETTINGS, entry};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Requests that are made under each failure.
const REQUESTS: usize = 30;

/// Answers every opening with `UP` and every line after it with that line, on as many connections as come.
fn echoing_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || echo(stream));
        }
    });
    address
}

fn echo(stream: TcpStream) {
    let mut peer = Peer::new(stream);
    let mut answer = "UP r\r\n".to_string();
    while !peer.line().is_empty() {
        peer.send(&answer);
        answer = "m\r\n".into();
    }
}

/// Makes one request after another at a proxy under whose calls those named fail, the first at its `first` use and then
/// each `step`-th; what each client was told in place of being served.
fn not_served(name: &str, calls: &str, error: &str, first: usize, step: usize) -> Vec<String> {
    let entries = [entry("n", echoing_backend(), "ready")];
    let inject = format!("inject={calls}:error={error}:when={first}+{step}");
    let proxy =
        Proxy::start_traced(name, &["-e", &format!("trace={calls}"), "-e", &inject], &entries, SETTINGS);
    let request = |i: usize| {
        let mut client = proxy.open(&format!("k{i}"));
        let answer = client.answer();
        if answer != "UP r\r\n" {
            return Some(format!("{calls} {error} {first}+{step}, request {i}: {answer:?}"));
        }
        client.send("m\r\n");
        let echoed = client.answer();
        (echoed != "m\r\n").then(|| format!("{calls} {error} {first}+{step}, message {i}: {echoed:?}"))
    };
    (0..REQUESTS).filter_map(request).collect()
}

/// Expects that all are served, whichever uses of the calls fail: every second one, and two of five.
fn assert_all_served(name: &str, calls: &str, errors: &[&str]) {
    let mut odd = Vec::new();
    for error in errors {
        for (first, step) in [(9, 2), (10, 5)] {
            odd.extend(not_served(&format!("calls-{name}"), calls, error, first, step));
        }
    }
    assert!(odd.is_empty(), "{} not served: {odd:#?}", odd.len());
}

#[test]
fn reads_and_writes_that_are_interrupted_lose_nobody() {
    assert_all_served("read", "recvfrom", &["EINTR"]);
    assert_all_served("write", "sendto,writev", &["EINTR"]);
}

#[test]
fn accepts_and_options_that_fail_for_a_moment_refuse_nobody() {
    assert_all_served("accept", "accept4", &["EINTR", "ECONNABORTED", "ENFILE", "ENOBUFS"]);
    assert_all_served("option", "setsockopt", &["ENOBUFS", "EINTR"]);
}

#[test]
fn sockets_and_connects_that_fail_for_a_moment_refuse_nobody() {
    assert_all_served("socket", "socket", &["ENFILE", "ENOBUFS"]);
    assert_all_served("connect", "connect", &["EINTR", "EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS"]);
}

// Guards against a signal that ends the process, or is lost, since the calls by which it wakes the process fail.
#[test]
fn signals_are_heeded_though_reads_and_writes_are_interrupted() {
    let entries = [entry("n", echoing_backend(), "ready")];
    for (first, step) in [(49, 2), (50, 2), (49, 5)] {
        let calls = "recvfrom,sendto,read,write";
        let inject = format!("inject={calls}:error=EINTR:when={first}+{step}");
        let tracing = ["-e", &format!("trace={calls}"), "-e", &inject];
        let mut proxy = Proxy::start_traced("calls-signal", &tracing, &entries, SETTINGS);
        for _ in 0..5 {
            proxy.signal("-HUP");
            thread::sleep(std::time::Duration::from_millis(20));
        }
        proxy.signal("-TERM");
        let status = proxy.wait_for_exit();
        assert!(status.success(), "{calls} {first}+{step}: {status:?}");
    }
}
