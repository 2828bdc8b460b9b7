//! System calls that fail for a moment, in the ways that Linux documents. No request may be lost, refused or
//! failed because of such a failure. The real program runs under `strace`, which makes chosen calls fail
//! instead of passing them to the kernel.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses a part of the harness
mod harness;

use harness::{Peer, Proxy, SETTINGS, entry};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Number of requests sent under each failure.
const REQUEST_COUNT: usize = 30;

/// Starts a backend that answers each request with `UP`, and each line after it with the line `m`.
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
    // The proxy may close or reset the connection at any point.
    while peer.next_line().is_some() && peer.send_if_open(&answer) {
        answer = "m\r\n".into();
    }
}

/// Sends one request after another to a proxy whose system calls named in `calls` fail with `error`: the call
/// number `first`, and then each `step`-th call. Describes the answer to each request that is not served.
fn failed_requests(name: &str, calls: &str, error: &str, first: usize, step: usize) -> Vec<String> {
    let entries = [entry("n", echoing_backend(), "ready")];
    let inject = format!("inject={calls}:error={error}:when={first}+{step}");
    let proxy =
        Proxy::start_traced(name, &["-e", &format!("trace={calls}"), "-e", &inject], &entries, SETTINGS);
    let request = |i: usize| {
        let mut client = proxy.send_request(&format!("k{i}"));
        let answer = client.line_or_end();
        if answer != "UP r\r\n" {
            return Some(format!("{calls} {error} {first}+{step}, request {i}: {answer:?}"));
        }
        client.send("m\r\n");
        let echoed = client.line_or_end();
        (echoed != "m\r\n").then(|| format!("{calls} {error} {first}+{step}, message {i}: {echoed:?}"))
    };
    (0..REQUEST_COUNT).filter_map(request).collect()
}

/// Checks that all requests are served when every second call fails, and when every fifth call fails.
fn assert_all_served(name: &str, calls: &str, errors: &[&str]) {
    let mut failures = Vec::new();
    for error in errors {
        for (first, step) in [(9, 2), (10, 5)] {
            failures.extend(failed_requests(&format!("calls-{name}"), calls, error, first, step));
        }
    }
    assert!(failures.is_empty(), "{} not served: {failures:#?}", failures.len());
}

// Guards against requests that are lost or refused because a read or a write on a socket is interrupted.
#[test]
fn interrupted_reads_and_writes_lose_no_request() {
    assert_all_served("read", "recvfrom", &["EINTR"]);
    assert_all_served("write", "sendto,writev", &["EINTR"]);
}

// Guards against requests that are lost or refused because accepting a connection or setting a socket option
// fails for a moment.
#[test]
fn transient_failures_of_accept_and_setsockopt_refuse_no_request() {
    assert_all_served("accept", "accept4", &["EINTR", "ECONNABORTED", "ENFILE", "ENOBUFS"]);
    assert_all_served("option", "setsockopt", &["ENOBUFS", "EINTR"]);
}

// Guards against requests that are lost or refused because opening or connecting a socket to a backend fails
// for a moment.
#[test]
fn transient_failures_of_socket_and_connect_refuse_no_request() {
    assert_all_served("socket", "socket", &["ENFILE", "ENOBUFS"]);
    assert_all_served("connect", "connect", &["EINTR", "EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS"]);
}

// Guards against a signal that kills the process, or is lost, because the system calls by which the signal
// wakes the process fail.
#[test]
fn signals_are_handled_while_reads_and_writes_are_interrupted() {
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
