//! Reads that ask the operating system, whatever the last poll of the runtime found.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // the other side of the connection

use pierloom_host::Host;
use std::io::{ErrorKind, Write};
use std::net::TcpListener;

/// Runs a task on a runtime as the proxy uses it.
fn run(task: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, task);
}

// Guards against a decision by what the last poll found: bytes and ends that have arrived since then count.
#[test]
fn an_unpolled_read_finds_what_arrived_after_the_last_poll() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = Host::os().connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut peer, _) = listener.accept().unwrap();
        let would_block =
            |read: std::io::Result<usize>| read.is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        let buffer = &mut [0; 8];
        assert!(would_block(stream.try_read_unpolled(buffer)), "nothing has arrived");
        assert!(would_block(stream.try_read(buffer)));
        // Nothing is polled from here on.
        peer.write_all(b"late").unwrap();
        assert!(would_block(stream.try_read(buffer)), "the runtime has not polled");
        assert_eq!(stream.try_read_unpolled(buffer).unwrap(), 4);
        assert_eq!(&buffer[..4], b"late");
        drop(peer);
        assert_eq!(stream.try_read_unpolled(buffer).unwrap(), 0, "the end of the stream");
    });
}
