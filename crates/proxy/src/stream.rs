//! Reading and writing lines on a connection, below whatever protocol the lines are of.

use crate::core::Core;
use pierloom_decision::Micros;
use pierloom_host::TcpStream;
use std::io;
use std::rc::Rc;

/// Longest line that any side sends; bytes.
pub const MAX_LINE_BYTES: usize = 4096;
/// Once one side has ended, the other has this long to end too; microseconds.
pub const HALF_CLOSE_TIMEOUT_US: Micros = 800_000;

/// The first line of what was received, without its end.
pub fn first_line(received: &[u8]) -> &[u8] {
    let line = received.split(|&byte| byte == b'\n').next().unwrap_or_default();
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Writes everything, the first of it at once; a stream shared for reading needs no mutable borrow.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.writable().await,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Reads on until a whole line is there. An end before it, or a line that is too long, is an error.
pub async fn read_line(stream: &TcpStream, mut received: Vec<u8>) -> io::Result<Vec<u8>> {
    while !received.contains(&b'\n') {
        if received.len() >= MAX_LINE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if read_more(stream, &mut received).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(received)
}

/// Reads what there is, up to a line's length in all; 0 at the end.
pub async fn read_more(stream: &TcpStream, received: &mut Vec<u8>) -> io::Result<usize> {
    let mut part = [0; MAX_LINE_BYTES];
    let room = (MAX_LINE_BYTES - received.len()).max(1);
    loop {
        stream.readable().await;
        match stream.try_read(&mut part[..room]) {
            Ok(read) => {
                received.extend_from_slice(&part[..read]);
                return Ok(read);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
}

/// Sends the last words, ends the sending and waits a little for the other side to end: a close with bytes
/// unread would be a reset, and could take the words back. The process waits for it before it ends.
pub async fn send_and_close(core: &Rc<Core>, stream: TcpStream, words: &[u8]) {
    let _owed = core.shutdown_guard();
    let goodbye = async {
        write_all(&stream, words).await?;
        stream.finish()?;
        let mut rest = [0; MAX_LINE_BYTES];
        loop {
            stream.readable().await;
            match stream.try_read(&mut rest) {
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err::<(), io::Error>(e),
            }
        }
    };
    tokio::select! {
        biased;
        // Whether it was heard to the end changes nothing here.
        _ = goodbye => {}
        () = core.deadlines.until(core.now() + HALF_CLOSE_TIMEOUT_US) => {}
    }
}
