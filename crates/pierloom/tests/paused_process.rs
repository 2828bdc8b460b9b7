//! The process is paused for a moment, as a busy or suspended machine does: what happened on its sockets
//! meanwhile counts when it goes on.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses only a part of the harness
mod harness;

use harness::{Backend, Peer, Proxy, SETTINGS, poll_until};
use std::thread;
use std::time::Duration;

/// How long the process is paused. A request may be sent on until 0.1 s after its client has left.
const PAUSE: Duration = Duration::from_millis(400);
/// How long after the beginning of the pause the client leaves. The pause has begun by then.
const CLIENT_LEAVES_AFTER: Duration = Duration::from_millis(100);

/// Starts a proxy that pauses at each of these system calls. `call` is `NAME:delay_enter` for a pause before the
/// call, or `NAME:delay_exit` for one after it.
fn start_pausing_at(name: &str, call: &str, backend: &Backend) -> Proxy {
    start_pausing_for(PAUSE, name, call, &[backend.entry("ready")], SETTINGS)
}

fn start_pausing_for(pause: Duration, name: &str, call: &str, entries: &[String], settings: &str) -> Proxy {
    let (traced, _) = call.split_once(':').unwrap();
    let inject = format!("inject={call}={}", pause.as_micros());
    let tracing = ["-e", &format!("trace={traced}"), "-e", &inject];
    Proxy::start_traced(name, &tracing, entries, settings)
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

// Guards against a connection to a backend that is opened, because of a timer, for a client that left while
// the process was suspended.
#[test]
fn a_client_that_left_during_a_suspension_has_no_connection_opened() {
    let backend = Backend::new("n");
    let settings = SETTINGS.replace("\"max-attempts\"", "\"may-probe\":true,\"max-attempts\"");
    let proxy = Proxy::start_with_settings("pause-timer", 1024, &[backend.entry("ready")], &settings);
    let waiting = proxy.send_request("a");
    let (_unanswered_probe, line) = backend.accept_first_line();
    assert_eq!(line, "STATS\r\n");
    proxy.suspend();
    drop(waiting);
    thread::sleep(PAUSE);
    proxy.resume();
    let _next_client = proxy.send_request("b");
    let (_at_backend, line) = backend.accept_first_line();
    assert!(!line.is_empty(), "the proxy opened a connection and sent nothing");
}

/// Longer than the time limit of an attempt under `SETTINGS`, which is a third of the client's waiting time.
const SUSPENSION_PAST_ATTEMPT_LIMIT: Duration = Duration::from_millis(1_700);

// Guards against timers that are handled before the sockets are polled when a suspended process resumes: an
// answer that arrived in time would be taken for missing, and the request would fail although it was served.
#[test]
fn an_answer_that_arrived_during_a_suspension_counts_before_the_time_limit_that_ended_in_it() {
    let backend = Backend::new("n");
    let settings = SETTINGS.replace("\"repeatable\",\"group\":\"all\"", "\"once\"");
    let proxy = Proxy::start_with_settings("pause-answer", 1024, &[backend.entry("ready")], &settings);
    let mut client = proxy.send_request("k");
    let (mut at_backend, _) = backend.accept_first_line();
    proxy.suspend();
    at_backend.send("UP r\r\n");
    thread::sleep(SUSPENSION_PAST_ATTEMPT_LIMIT);
    proxy.resume();
    assert_eq!(client.line(), "UP r\r\n");
}

/// Longer than a message may stay unanswered before the proxy moves its client.
const SUSPENSION_PAST_MESSAGE_LIMIT: Duration = Duration::from_millis(3_000);

// Guards against a move that discards an answer: the backend answered while the process was suspended, and the
// message counted as unanswered when the process resumed.
#[test]
fn a_message_that_was_answered_during_a_suspension_is_not_taken_for_unanswered() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    let proxy = Proxy::start("pause-message", &[&backends[0], &backends[1]]);
    let (mut client, mut at_backend) = proxy.establish_at_any("k", &backends);
    client.send("m\r\n");
    assert_eq!(at_backend.line(), "m\r\n");
    proxy.suspend();
    at_backend.send("m\r\n");
    thread::sleep(SUSPENSION_PAST_MESSAGE_LIMIT);
    proxy.resume();
    assert_eq!(client.line(), "m\r\n");
}

// Guards against the same where the process is paused right after it has sent the message on.
#[test]
fn a_message_that_was_answered_during_a_pause_after_its_write_is_not_taken_for_unanswered() {
    let backends = [Backend::new("n0"), Backend::new("n1")];
    let entries = backends.each_ref().map(|backend| backend.entry("ready"));
    // With a long deadline the answer to the request comes in time in spite of the pauses.
    let settings = SETTINGS.replace("\"deadline\":4.8", "\"deadline\":30.0");
    let proxy = start_pausing_for(
        SUSPENSION_PAST_MESSAGE_LIMIT,
        "pause-sent",
        "sendto:delay_exit",
        &entries,
        &settings,
    );
    let mut client = proxy.client();
    client.send("OPEN 0ak k c=feed,d=30000\r\n");
    let accept = || backends.iter().find_map(Backend::try_accept_first_line);
    let (mut at_backend, _) = poll_until(accept).expect("an attempt");
    at_backend.send("UP r\r\n");
    assert_eq!(client.line(), "UP r\r\n");
    client.send("m\r\n");
    assert_eq!(at_backend.line(), "m\r\n");
    at_backend.send("m\r\n");
    assert_eq!(client.line(), "m\r\n");
}
