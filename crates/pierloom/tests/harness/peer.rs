//! One end of a TCP connection, as clients and backends of a test use it.

use super::EVENT_TIMEOUT;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// One end of a TCP connection, read line by line. Dropping it ends the connection at once.
pub struct Peer {
    reader: BufReader<TcpStream>,
}

impl Drop for Peer {
    /// Ends the sending. The close that follows does not suffice: a process that another test starts at this
    /// moment holds a copy of the descriptor until it executes its program.
    fn drop(&mut self) {
        // The other side may have ended the connection, and `reset` has.
        let _ = self.stream().shutdown(std::net::Shutdown::Write);
    }
}

impl Peer {
    /// Wraps a connection. A read or a write that takes longer than `EVENT_TIMEOUT` fails.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        stream.set_write_timeout(Some(EVENT_TIMEOUT)).unwrap();
        Peer { reader: BufReader::new(stream) }
    }

    /// Opens a connection to `address`.
    pub fn connect(address: SocketAddr) -> Self {
        Peer::new(TcpStream::connect_timeout(&address, EVENT_TIMEOUT).unwrap())
    }

    /// The underlying stream.
    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    /// Sends `text`, unchanged.
    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Reads the next line with its terminator; empty once the other side has closed.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        line
    }

    /// Reads the next line; `None` once the other side has closed or reset the connection, or stays silent.
    pub fn next_line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line).ok()?;
        (read > 0).then_some(line)
    }

    /// Sends `text`, unchanged, unless the other side has closed the connection. Returns whether it was sent.
    pub fn send_if_open(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Reads the next line, or describes how the connection ended instead.
    pub fn line_or_end(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => "closed with no answer".into(),
            Ok(_) => line,
            Err(e) => format!("{:?} with no answer", e.kind()),
        }
    }

    /// Reads the next line, if it arrives within `time`.
    pub fn line_within(&mut self, time: Duration) -> Option<String> {
        self.stream().set_read_timeout(Some(time)).unwrap();
        let mut line = String::new();
        let read = self.reader.read_line(&mut line);
        self.stream().set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        read.ok().map(|_| line)
    }

    /// Reads exactly this number of bytes.
    pub fn read(&mut self, bytes: usize) -> Vec<u8> {
        let mut all = vec![0; bytes];
        self.reader.read_exact(&mut all).unwrap();
        all
    }

    /// Reads until the connection ends. Returns the bytes received, and whether the connection was reset.
    pub fn read_to_end(&mut self) -> (String, bool) {
        let mut rest = Vec::new();
        let end = self.reader.read_to_end(&mut rest);
        let reset = match end {
            Ok(_) => false,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => true,
            Err(e) => panic!("neither an end nor a reset: {e}"),
        };
        (String::from_utf8(rest).unwrap(), reset)
    }

    /// Shuts down the write side of the connection. There is nothing to shut down once the other side has reset
    /// the connection.
    pub fn shutdown_write(&self) {
        match self.stream().shutdown(std::net::Shutdown::Write) {
            Err(error) if error.kind() == ErrorKind::NotConnected => {}
            result => result.unwrap(),
        }
    }

    /// Closes the connection with a TCP reset, even if another process holds a copy of its descriptor.
    pub fn reset(self) {
        rustix::net::connect_unspec(self.stream()).unwrap();
    }
}
