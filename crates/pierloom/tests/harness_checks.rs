//! Checks of the test harness itself: a fault in it looks like a fault of the program.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses only a part of the harness
mod harness;

use harness::{Peer, write_config_file};
use std::net::{TcpListener, TcpStream};

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
