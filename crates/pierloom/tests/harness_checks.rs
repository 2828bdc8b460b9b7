//! Checks of the test harness itself: a fault in it looks like a fault of the program.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses only a part of the harness
mod harness;

use harness::{Peer, write_config_file};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Time within which the end of a connection arrives that nothing delays.
const PROMPTLY: Duration = Duration::from_secs(5);

/// Both ends of a connection.
fn connected_peers() -> (Peer, Peer) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connecting = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (Peer::new(connecting), Peer::new(listener.accept().unwrap().0))
}

// Guards against a proxy that reads the config of another one, because copies of a test run at once. Copies in
// other processes differ in the process id, and calls within a process in a number.
#[test]
fn config_files_of_equal_name_are_separate() {
    let [first, second] = ["first", "second"].map(|text| write_config_file("equal", text));
    assert_eq!(std::fs::read_to_string(&first).unwrap(), "first");
    drop(second);
    assert!(first.exists());
    let folder = first.parent().unwrap().to_str().unwrap();
    assert!(folder.contains(&format!("equal-{}-", std::process::id())), "{folder}");
}

// Guards against a stand-in that panics when it ends its sending, because the proxy has closed the connection
// over what it did not read.
#[test]
fn a_peer_can_end_its_sending_after_the_other_side_has_reset_the_connection() {
    let (mut peer, other) = connected_peers();
    other.reset();
    assert!(peer.read_to_end().1, "a reset");
    peer.shutdown_write();
    assert_eq!(peer.next_line(), None);
}

// Guards against a client that has not left when the test goes on: a process that another test starts holds a
// copy of each descriptor until it executes its program. Here the test holds the copy.
#[test]
fn a_dropped_peer_ends_its_connection_while_a_copy_of_its_descriptor_is_open() {
    let (peer, mut other) = connected_peers();
    let _copy = peer.stream().try_clone().unwrap();
    drop(peer);
    assert_eq!(other.line_within(PROMPTLY).as_deref(), Some(""), "the end of the connection");
}

// Guards against the same for a reset.
#[test]
fn a_reset_takes_effect_while_a_copy_of_the_descriptor_is_open() {
    let (peer, mut other) = connected_peers();
    let _copy = peer.stream().try_clone().unwrap();
    peer.reset();
    other.stream().set_read_timeout(Some(PROMPTLY)).unwrap();
    assert!(other.read_to_end().1, "a reset");
}
