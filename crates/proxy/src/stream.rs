//! Reading and writing lines on a connection, independent of the protocol.

use crate::core::Core;
use pierloom_decision::Micros;
use pierloom_host::TcpStream;
use std::io;
use std::rc::Rc;

/// Longest line that clients and backends may send.
pub const MAX_LINE_BYTES: usize = 4096;
/// Once one side has ended its sending, the other side has this long to do so too.
pub const HALF_CLOSE_TIMEOUT_US: Micros = 800_000;

/// The first line of the received bytes, without its line ending.
pub fn first_line(received: &[u8]) -> &[u8] {
    let line = received.split(|&byte| byte == b'\n').next().unwrap_or_default();
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Writes all bytes, starting without a wait. Takes the stream by shared reference, so that another future
/// can read from it meanwhile.
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

/// Reads until `received` holds a whole line. The end of the stream before that, and a line longer than
/// [`MAX_LINE_BYTES`], are errors.
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

/// Waits for bytes and appends them to `received`, up to [`MAX_LINE_BYTES`] in all. Returns 0 at the end of
/// the stream.
pub async fn read_more(stream: &TcpStream, received: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; MAX_LINE_BYTES];
    let capacity = (MAX_LINE_BYTES - received.len()).max(1);
    loop {
        stream.readable().await;
        match stream.try_read(&mut chunk[..capacity]) {
            Ok(read) => {
                received.extend_from_slice(&chunk[..read]);
                return Ok(read);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
}

/// Sends the final answer, ends the sending and waits up to [`HALF_CLOSE_TIMEOUT_US`] for the other side to
/// end. A close with unread bytes would be a reset, which can discard the answer before the other side has
/// read it. The process waits for this before it exits.
pub async fn send_and_close(core: &Rc<Core>, stream: TcpStream, answer: &[u8]) {
    let _guard = core.shutdown_guard();
    let send_and_drain = async {
        write_all(&stream, answer).await?;
        stream.finish()?;
        let mut discarded = [0; MAX_LINE_BYTES];
        loop {
            stream.readable().await;
            match stream.try_read(&mut discarded) {
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err::<(), io::Error>(e),
            }
        }
    };
    tokio::select! {
        biased;
        // An error needs no handling: the connection is closed either way.
        _ = send_and_drain => {}
        () = core.deadlines.until(core.now() + HALF_CLOSE_TIMEOUT_US) => {}
    }
}
