//! Lines on a connection, as the parties of a world read and write them.

use pierloom_host::{Host, Micros, TcpStream};
use std::io;
use std::rc::Rc;

/// A connection and what was read of it beyond the last whole line.
pub struct Lines {
    /// The connection.
    pub stream: Rc<TcpStream>,
    buffer: Vec<u8>,
}

impl Lines {
    /// Nothing is read yet.
    pub fn new(stream: TcpStream) -> Self {
        Lines { stream: Rc::new(stream), buffer: Vec::new() }
    }

    /// The next line without its end; none at the end of the connection. Dropped early, it loses nothing.
    pub async fn next(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_string());
            }
            let mut part = [0; 4096];
            self.stream.readable().await;
            match self.stream.try_read(&mut part) {
                Ok(0) => return None,
                Ok(read) => self.buffer.extend_from_slice(&part[..read]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
    }
}

/// Writes everything.
pub async fn write(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await;
        match stream.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// That, unless the time comes first.
pub async fn within<T>(host: &Host, until: Micros, what: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        value = what => Some(value),
        () = host.sleep_until(until) => None,
    }
}
