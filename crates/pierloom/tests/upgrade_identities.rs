//! The identities of requests during an upgrade: the two processes count as one proxy, in which an identity is
//! active at most once.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses only a part of the harness
mod harness;

use harness::{Backend, Folder, HandoverPeer, Peer, Proxy, poll_until};
use std::net::SocketAddr;
use std::time::Duration;

/// Time in which a request is refused if its identity is active.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Starts a process that others can take over from.
fn start_old(folder: &Folder, backend: &Backend) -> Proxy {
    let (old, _) = Proxy::start_serving(folder, None, &[backend.entry("ready")]);
    old
}

/// Starts a process that takes over from the one at `address`, and waits until it serves.
fn start_new(folder: &Folder, address: SocketAddr, backend: &Backend) -> Proxy {
    let (new, _) = Proxy::start_serving(folder, Some(address), &[backend.entry("ready")]);
    new
}

/// Checks that a second request with the same identity fails and reaches no backend.
fn assert_copy_is_refused(proxy: &Proxy, key: &str, backend: &Backend) {
    assert_eq!(proxy.send_request(key).line(), "ERR\r\n", "a copy of {key}");
    assert!(backend.has_no_new_connection(), "a copy of {key} reached the backend");
}

/// Sends requests with this key until one is served: its identity is free.
fn establish_once_free(proxy: &Proxy, key: &str, backend: &Backend) -> (Peer, Peer) {
    poll_until(|| {
        let mut client = proxy.send_request(key);
        if client.line_within(REFUSAL_TIME).is_some() {
            return None;
        }
        let (mut at_backend, _) = backend.accept_first_line();
        at_backend.send("UP r1\r\n");
        assert_eq!(client.line(), "UP r1\r\n");
        Some((client, at_backend))
    })
    .expect("an identity that becomes free")
}

/// Sends the beginning of a request, and returns once the proxy has accepted the client.
fn send_incomplete_request(proxy: &Proxy, key: &str) -> Peer {
    let mut client = proxy.client();
    client.send("PING\r\n");
    assert_eq!(client.line(), "PONG\r\n");
    client.send(&format!("OPEN 0a{key} "));
    client
}

/// Sends the rest of a request.
fn complete_request(client: &mut Peer, key: &str) {
    client.send(&format!("{key} c=feed,d=4800\r\n"));
}

// Guards against a second copy of a request, which the new process of an upgrade served while the old one still
// held the first: one with an established connection, and one that waits for its backend.
#[test]
fn a_copy_of_a_request_that_the_predecessor_holds_is_refused() {
    let (folder, backend) = (Folder::new("copies"), Backend::new("n1"));
    let mut old = start_old(&folder, &backend);
    let (mut client, mut at_backend) = old.establish("a", &backend);
    let mut waiting = old.send_request("w");
    let (mut waiting_at_backend, _) = backend.accept_first_line();
    let new = start_new(&folder, old.address, &backend);
    assert_copy_is_refused(&new, "a", &backend);
    assert_copy_is_refused(&new, "w", &backend);
    old.signal("-TERM");
    assert_copy_is_refused(&new, "w", &backend);
    waiting_at_backend.send("UP r2\r\n");
    assert_eq!(waiting.line(), "UP r2\r\n");
    assert!(old.wait_for_exit().success());
    // The connections were handed over, and their identities with them.
    assert_copy_is_refused(&new, "a", &backend);
    assert_copy_is_refused(&new, "w", &backend);
    client.send("m\r\n");
    assert_eq!(at_backend.line(), "m\r\n");
    at_backend.send("m back\r\n");
    assert_eq!(client.line(), "m back\r\n");
    drop((client, at_backend));
    establish_once_free(&new, "a", &backend);
}

// Guards against an identity that the new process refuses for good: the request has ended at the old process, or
// the old process was killed.
#[test]
fn the_identity_of_a_request_that_ends_with_or_at_the_predecessor_is_free() {
    let (folder, backend) = (Folder::new("free"), Backend::new("n1"));
    let old = start_old(&folder, &backend);
    let (client, at_backend) = old.establish("a", &backend);
    let _second = old.establish("b", &backend);
    let new = start_new(&folder, old.address, &backend);
    assert_copy_is_refused(&new, "a", &backend);
    drop((client, at_backend));
    establish_once_free(&new, "a", &backend);
    assert_copy_is_refused(&new, "b", &backend);
    old.signal("-KILL");
    establish_once_free(&new, "b", &backend);
}

// Guards against copies in both processes where a client was accepted before the takeover and sends its request
// after it, before or after the other copy.
#[test]
fn a_request_completed_after_the_takeover_is_compared_with_those_of_the_successor() {
    let (folder, backend) = (Folder::new("accepted"), Backend::new("n1"));
    let mut old = start_old(&folder, &backend);
    let mut second_copy = send_incomplete_request(&old, "a");
    let mut first_copy = send_incomplete_request(&old, "b");
    let new = start_new(&folder, old.address, &backend);
    let _connection = new.establish("a", &backend);
    complete_request(&mut second_copy, "a");
    assert_eq!(second_copy.line(), "ERR\r\n");
    complete_request(&mut first_copy, "b");
    let (mut at_backend, line) = backend.accept_first_line();
    assert!(line.starts_with("OPEN 0ab b c=feed,"), "{line}");
    assert_copy_is_refused(&new, "b", &backend);
    at_backend.send("UP r1\r\n");
    assert_eq!(first_copy.line(), "UP r1\r\n");
    // The successor serves the request: the end of the predecessor changes nothing.
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    at_backend.send("more\r\n");
    assert_eq!(first_copy.line(), "more\r\n");
}

// Guards against clients without an answer whose successor refuses them, or dies while it takes them on. A
// predecessor that goes on alone serves them itself.
#[test]
fn a_client_that_no_successor_takes_is_answered_by_the_predecessor() {
    let (folder, backend) = (Folder::new("returned"), Backend::new("n1"));
    let old = start_old(&folder, &backend);
    let _connection = old.establish("a", &backend);
    let [mut refused, mut kept, mut copy] = ["b", "c", "a"].map(|key| send_incomplete_request(&old, key));
    let mut successor = HandoverPeer::connect(&folder.file("pierloom-p0.sock")).unwrap();
    assert!(successor.message().contains("\"ids\":[\"0aa\"]"));
    successor.send("\"taken\"\n\"ids_wanted\"\n");
    while successor.message() != "{\"ids\":[\"0aa\"]}\n" {}
    complete_request(&mut refused, "b");
    assert_eq!(successor.message_after("jobs"), "{\"client\":\"OPEN 0ab b c=feed,d=4800\"}\n");
    successor.send("{\"holds\":false}\n");
    assert!(refused.line().starts_with("BUSY"));
    complete_request(&mut kept, "c");
    assert_eq!(successor.message_after("jobs"), "{\"client\":\"OPEN 0ac c c=feed,d=4800\"}\n");
    drop(successor);
    let (mut at_backend, _) = backend.accept_first_line();
    at_backend.send("UP r1\r\n");
    assert_eq!(kept.line(), "UP r1\r\n");
    complete_request(&mut copy, "a");
    assert_eq!(copy.line(), "ERR\r\n");
}

// Guards against a handover that ends at a message unknown to a successor of an earlier version: the
// predecessor sends it nothing about identities, and serves the clients that it has accepted.
#[test]
fn a_successor_that_asks_for_no_identities_is_sent_none() {
    let (folder, backend) = (Folder::new("earlier"), Backend::new("n1"));
    let old = start_old(&folder, &backend);
    let mut client = send_incomplete_request(&old, "a");
    let mut successor = HandoverPeer::connect(&folder.file("pierloom-p0.sock")).unwrap();
    successor.message();
    successor.send("\"taken\"\n");
    while !successor.message().contains("released") {}
    complete_request(&mut client, "a");
    let (mut at_backend, _) = backend.accept_first_line();
    at_backend.send("UP r1\r\n");
    assert_eq!(client.line(), "UP r1\r\n");
    drop((client, at_backend));
    old.signal("-TERM");
    let rest = successor.remaining_messages();
    assert!(!rest.contains("id_free") && !rest.contains("client"), "{rest}");
}
