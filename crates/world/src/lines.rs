//! Reading and writing of lines, as the simulated parties do it.

use pierloom_host::{Host, Micros, TcpStream};
use std::io;
use std::rc::Rc;

/// Reads a connection line by line; keeps the bytes beyond the last complete line.
pub struct LineReader {
    /// The connection.
    pub stream: Rc<TcpStream>,
    buffer: Vec<u8>,
}

impl LineReader {
    /// Creates a reader of a connection from which nothing has been read.
    pub fn new(stream: TcpStream) -> Self {
        LineReader { stream: Rc::new(stream), buffer: Vec::new() }
    }

    /// Returns the next line without its line ending, or `None` at the end of the connection.
    ///
    /// The future is cancel safe: no bytes are lost if it is dropped early.
    pub async fn next_line(&mut self) -> Option<String> {
        loop {
            if let Some(line_end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=line_end).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_string());
            }
            let mut chunk = [0; 4096];
            self.stream.readable().await;
            match self.stream.try_read(&mut chunk) {
                Ok(0) => return None,
                Ok(read) => self.buffer.extend_from_slice(&chunk[..read]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
    }
}

/// Writes all bytes.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
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

/// Returns the value of the future, or `None` if the deadline `until` comes first.
pub async fn with_deadline<T>(host: &Host, until: Micros, future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        value = future => Some(value),
        () = host.sleep_until(until) => None,
    }
}
