//! The process is paused for a moment, as a busy or suspended machine does: what happened on its sockets
//! meanwhile counts when it goes on.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses only a part of the harness
mod harness;

use harness::{Backend, Peer, Proxy, SETTINGS};
use std::thread;
use std::time::Duration;

/// How long the process is paused. A request may be sent on until 0.1 s after its client has left.
const PAUSE: Duration = Duration::from_millis(400);
/// How long after the beginning of the pause the client leaves. The pause has begun by then.
const CLIENT_LEAVES_AFTER: Duration = Duration::from_millis(100);

/// Starts a proxy that pauses at each of these system calls. `call` is `NAME:delay_enter` for a pause before the
/// call, or `NAME:delay_exit` for one after it.
fn start_pausing_at(name: &str, call: &str, backend: &Backend) -> Proxy {
    let (traced, _) = call.split_once(':').unwrap();
    let inject = format!("inject={call}={}", PAUSE.as_micros());
    let tracing = ["-e", &format!("trace={traced}"), "-e", &inject];
    Proxy::start_traced(name, &tracing, &[backend.entry("ready")], SETTINGS)
}

/// Lets the client leave while the proxy is paused. Returns what the proxy then writes to the backend.
fn written_after_client_left(backend: &Backend, client: Peer) -> String {
    let mut at_backend = backend.accept();
    thread::sleep(CLIENT_LEAVES_AFTER);
    drop(client);
    at_backend.read_to_end().0
}

// Guards against a request that is sent to a backend long after its client has left, because the process was
// paused between the last poll of its sockets and the write.
#[test]
fn a_client_that_leaves_between_poll_and_write_has_its_request_sent_to_no_backend() {
    let backend = Backend::new("n");
    // The option is set on the connection to the backend, between the poll of the sockets and the write.
    let proxy = start_pausing_at("pause-write", "setsockopt:delay_enter", &backend);
    assert_eq!(written_after_client_left(&backend, proxy.send_request("k")), "");
}

// Guards against the same for a connection that is resumed at the backend that served it.
#[test]
fn a_client_that_leaves_between_poll_and_write_has_its_connection_resumed_at_no_backend() {
    let backend = Backend::new("n");
    let proxy = start_pausing_at("pause-resume", "setsockopt:delay_enter", &backend);
    let mut client = proxy.client();
    client.send("OPEN 0ak k c=feed,d=4800,at=n\r\n");
    assert_eq!(written_after_client_left(&backend, client), "");
}

// Guards against a connection that is opened for a client that has left while the process was paused between
// the last poll of its sockets and the start of the attempt.
#[test]
fn a_client_that_leaves_between_poll_and_attempt_has_no_connection_opened() {
    let backend = Backend::new("n");
    let proxy = start_pausing_at("pause-attempt", "recvfrom:delay_exit", &backend);
    let client = proxy.send_request("left");
    // The first pause is after the read of the request, and the second after the read that finds nothing more.
    thread::sleep(PAUSE + CLIENT_LEAVES_AFTER);
    drop(client);
    let _next_client = proxy.send_request("k");
    let (_at_backend, line) = backend.accept_first_line();
    assert!(line.starts_with("OPEN 0ak "), "{line:?} on the first connection");
}
