//! Stand-in backends.

use super::{EVENT_TIMEOUT, Peer};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

/// A stand-in backend: a listener whose connections wait until the test accepts them.
pub struct Backend {
    /// Name of the backend in endpoint entries.
    pub name: &'static str,
    address: SocketAddr,
    accepted: Receiver<TcpStream>,
}

impl Backend {
    /// Starts a backend that listens at a free address.
    pub fn new(name: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, accepted) = channel();
        thread::spawn(move || listener.incoming().flatten().try_for_each(|stream| sender.send(stream)));
        Backend { name, address, accepted }
    }

    /// Accepts the next connection.
    pub fn accept(&self) -> Peer {
        Peer::new(self.accepted.recv_timeout(EVENT_TIMEOUT).expect("a connection"))
    }

    /// Accepts a connection and reads its first line.
    pub fn accept_first_line(&self) -> (Peer, String) {
        let mut peer = self.accept();
        let line = peer.line();
        (peer, line)
    }

    /// Accepts a connection and reads its first line, if a connection is waiting.
    pub fn try_accept_first_line(&self) -> Option<(Peer, String)> {
        let mut peer = Peer::new(self.accepted.try_recv().ok()?);
        let line = peer.line();
        Some((peer, line))
    }

    /// Whether no connection has arrived beyond those that the test accepted.
    pub fn has_no_new_connection(&self) -> bool {
        self.accepted.try_recv().is_err()
    }

    /// The endpoint entry of this backend, with this status.
    pub fn entry(&self, status: &str) -> String {
        entry(self.name, self.address, status)
    }

    /// Endpoint entries named `s-{i}` that all have the address of this backend.
    pub fn entries(&self, names: std::ops::Range<usize>, status: &str) -> Vec<String> {
        names.map(|i| entry(&format!("s-{i}"), self.address, status)).collect()
    }
}

/// A stand-in backend whose accept queue can be filled. The next connection is then established only after
/// the test empties the queue, when the kernel retransmits the SYN, within about a second.
pub struct FullQueueBackend {
    /// Name of the backend in endpoint entries.
    pub name: &'static str,
    listener: socket2::Socket,
    address: SocketAddr,
    queued: Vec<TcpStream>,
}

impl FullQueueBackend {
    /// Starts a backend that listens at a free address, with the shortest accept queue. An accept fails after
    /// `EVENT_TIMEOUT`.
    pub fn new(name: &'static str) -> Self {
        let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        listener.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        FullQueueBackend { name, listener, address, queued: Vec::new() }
    }

    /// Accepts the next connection.
    pub fn accept(&self) -> Peer {
        Peer::new(self.listener.accept().expect("a connection").0.into())
    }

    /// Fills the accept queue with connections of the test.
    pub fn fill_queue(&mut self) {
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(100)) {
            self.queued.push(stream);
        }
    }

    /// Accepts the connections that fill the queue, and returns the first one that the test did not make.
    pub fn accept_after_queue(&mut self) -> Peer {
        let made_by_test =
            |from: SocketAddr| self.queued.iter().any(|stream| stream.local_addr().unwrap() == from);
        loop {
            let (stream, from) = self.listener.accept().expect("a connection");
            if !made_by_test(from.as_socket().unwrap()) {
                return Peer::new(stream.into());
            }
        }
    }

    /// The endpoint entry of this backend, with this status.
    pub fn entry(&self, status: &str) -> String {
        entry(self.name, self.address, status)
    }
}

/// An endpoint entry as discovery reports it.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":0,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}
