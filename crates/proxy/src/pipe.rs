//! One direction of a relay: a bounded buffer between two sockets that knows where lines end.

use crate::stream::MAX_LINE_BYTES;
use pierloom_host::TcpStream;
use serde::{Deserialize, Serialize};
use std::io;

/// Number of bytes kept of each line, enough to recognise the message.
const LINE_PREFIX_BYTES: usize = 64;

/// The bytes on their way from a source to a destination.
#[derive(Default, Deserialize, Serialize)]
pub struct Pipe {
    /// Bytes read and not written yet.
    pub buffer: Vec<u8>,
    /// Whether the source has ended its sending.
    pub ended: bool,
    /// Whether the end was passed on to the destination.
    pub passed_end: bool,
    /// Whether the destination has received a part of a line and not its end. `None` before the first write, and
    /// if a process of an earlier version has written last.
    #[serde(rename = "mid_line", default)]
    destination_mid_line: Option<bool>,
}

impl Pipe {
    /// A pipe that has not written these bytes yet, nor any before.
    pub fn starting_with(buffer: Vec<u8>) -> Self {
        Pipe { buffer, destination_mid_line: Some(false), ..Pipe::default() }
    }

    /// Sets whether the destination has received a part of a line, unless that is known.
    pub fn assume_destination_mid_line(&mut self, mid_line: bool) {
        self.destination_mid_line.get_or_insert(mid_line);
    }

    /// Reads once if the buffer is empty, and returns the number of bytes read.
    pub fn read(&mut self, from: &TcpStream) -> io::Result<usize> {
        if self.ended || !self.buffer.is_empty() {
            return Ok(0);
        }
        let mut chunk = [0; MAX_LINE_BYTES];
        match from.try_read(&mut chunk) {
            Ok(0) => self.ended = true,
            Ok(read) => self.buffer.extend_from_slice(&chunk[..read]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        Ok(self.buffer.len())
    }

    /// Writes the buffered bytes as far as the socket takes them, then passes the end on.
    pub fn write(&mut self, to: &TcpStream) -> io::Result<()> {
        while !self.buffer.is_empty() {
            match to.try_write(&self.buffer) {
                Ok(written) => self.remove_written(written),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        if self.ended && !self.passed_end {
            self.passed_end = true;
            // The destination may be gone already. Reading from it in the other direction detects that.
            let _ = to.finish();
        }
        Ok(())
    }

    fn remove_written(&mut self, written: usize) {
        if let Some(last) = self.buffer.drain(..written).next_back() {
            self.destination_mid_line = Some(last != b'\n');
        }
    }

    /// Appends a line that is the last one for the destination, behind the last whole line in the buffer. The part
    /// of a line behind that is dropped. Returns false if the destination has received a part of a line whose end
    /// has not arrived.
    pub fn append_last_line(&mut self, line: &[u8]) -> bool {
        let Some(boundary) = self.last_line_boundary() else { return false };
        self.buffer.truncate(boundary);
        self.buffer.extend_from_slice(line);
        true
    }

    /// The number of buffered bytes before the last place between two lines.
    fn last_line_boundary(&self) -> Option<usize> {
        match self.buffer.iter().rposition(|&byte| byte == b'\n') {
            Some(line_end) => Some(line_end + 1),
            None => (self.destination_mid_line == Some(false)).then_some(0),
        }
    }
}

/// Splits the relayed bytes into lines, and keeps the beginning of each line.
#[derive(Default, Deserialize, Serialize)]
pub struct LineSplitter {
    /// The beginning of the current line.
    #[serde(rename = "head")]
    prefix: Vec<u8>,
    /// Whether a part of the current line has passed.
    #[serde(rename = "within")]
    in_line: bool,
}

impl LineSplitter {
    /// Whether the bytes so far end within a line.
    pub fn in_line(&self) -> bool {
        self.in_line
    }

    /// Calls `line` with the beginning of each line that ends within these bytes.
    pub fn feed(&mut self, bytes: &[u8], mut line: impl FnMut(&[u8])) {
        for &byte in bytes {
            if byte == b'\n' {
                line(self.prefix.strip_suffix(b"\r").unwrap_or(&self.prefix));
                self.prefix.clear();
                self.in_line = false;
            } else {
                self.in_line = true;
                if self.prefix.len() < LINE_PREFIX_BYTES {
                    self.prefix.push(byte);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
