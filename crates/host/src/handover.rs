//! The handover between two processes on one machine. Messages and sockets pass between the processes through
//! a Unix socket in a directory that both share.

use crate::retry::{accept_with_retry, retry_immediately, retry_with_backoff};
use crate::{TcpListener, TcpStream};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, Shutdown, recvmsg, sendmsg, shutdown,
};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::path::Path;
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};

/// The longest message.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// Size of the buffer of one read.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// The most sockets that are passed with one message.
const MAX_SOCKETS_PER_MESSAGE: usize = 2;

/// A Unix socket on which a process waits for the process that takes over from it.
pub struct HandoverListener(UnixListener);

impl HandoverListener {
    /// Listens at `path` and replaces any earlier listener there.
    pub(crate) fn bind(path: &Path) -> io::Result<Self> {
        let temporary_path = path.with_extension(std::process::id().to_string());
        // An earlier process with the same id may have left its socket behind.
        let _ = std::fs::remove_file(&temporary_path);
        let listener = UnixListener::bind(&temporary_path)?;
        std::fs::rename(&temporary_path, path)?;
        Ok(HandoverListener(listener))
    }

    /// Accepts the next process that connects. This method is cancel safe.
    pub async fn accept(&self) -> io::Result<HandoverChannel> {
        let (stream, _) = accept_with_retry(async || self.0.accept().await).await?;
        Ok(HandoverChannel::from_stream(stream))
    }
}

/// A socket that is passed along with a message.
pub enum PassedSocket<'a> {
    /// A listening socket.
    Listener(&'a TcpListener),
    /// A connection.
    Stream(&'a TcpStream),
}

impl PassedSocket<'_> {
    fn descriptor(&self) -> io::Result<BorrowedFd<'_>> {
        match self {
            PassedSocket::Listener(listener) => listener.descriptor(),
            PassedSocket::Stream(stream) => stream.descriptor(),
        }
    }
}

/// A connection to a peer process. Each message is a line, and sockets may be passed with it.
pub struct HandoverChannel {
    stream: UnixStream,
    /// Bytes that were received and not yet returned as messages.
    received: RefCell<Vec<u8>>,
    /// Sockets that were received and not yet taken.
    sockets: RefCell<VecDeque<OwnedFd>>,
}

impl HandoverChannel {
    fn from_stream(stream: UnixStream) -> Self {
        HandoverChannel { stream, received: RefCell::default(), sockets: RefCell::default() }
    }

    /// Connects to the process that listens at `path`.
    pub(crate) async fn connect(path: &Path) -> io::Result<Self> {
        Ok(HandoverChannel::from_stream(retry_with_backoff(async || UnixStream::connect(path).await).await?))
    }

    /// Sends a message, which contains no newline, along with at most two sockets. The sockets stay open in
    /// this process too.
    pub async fn send(&self, message: &[u8], sockets: &[PassedSocket<'_>]) -> io::Result<()> {
        let descriptors: Vec<BorrowedFd<'_>> =
            sockets.iter().map(PassedSocket::descriptor).collect::<io::Result<_>>()?;
        let first_write = self.stream.async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS_PER_MESSAGE))];
            let mut rights = SendAncillaryBuffer::new(&mut space);
            if !descriptors.is_empty() && !rights.push(SendAncillaryMessage::ScmRights(&descriptors)) {
                return Err(ErrorKind::InvalidInput.into());
            }
            let buffers = [IoSlice::new(message)];
            retry_immediately(|| Ok(sendmsg(&self.stream, &buffers, &mut rights, SendFlags::NOSIGNAL)?))
        });
        let written = first_write.await?;
        for mut remaining in [&message[written..], b"\n"] {
            while !remaining.is_empty() {
                self.stream.writable().await?;
                match retry_immediately(|| self.stream.try_write(remaining)) {
                    Ok(written) => remaining = &remaining[written..],
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
            }
        }
        Ok(())
    }

    /// Ends the sending: the other process receives the end after what was sent before. Receiving goes on.
    pub fn end_sending(&self) {
        // An error means that the connection has ended.
        let _ = shutdown(&self.stream, Shutdown::Write);
    }

    /// Receives the next message, or an error once the other process has ended. This method is cancel safe.
    pub async fn receive(&self) -> io::Result<Vec<u8>> {
        let mut searched = 0;
        loop {
            {
                let mut received = self.received.borrow_mut();
                if let Some(end) = received[searched..].iter().position(|&byte| byte == b'\n') {
                    let mut message: Vec<u8> = received.drain(..=searched + end).collect();
                    message.pop();
                    return Ok(message);
                }
                searched = received.len();
                if searched > MAX_MESSAGE_BYTES {
                    return Err(ErrorKind::InvalidData.into());
                }
            }
            // No await lies between the read and the storing of the bytes and sockets, so that cancellation
            // loses none.
            let read_result = self.stream.async_io(Interest::READABLE, || {
                let mut space =
                    [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS_PER_MESSAGE))];
                let mut rights = RecvAncillaryBuffer::new(&mut space);
                let mut buffer = [0; READ_BUFFER_BYTES];
                let read = retry_immediately(|| {
                    let buffers = &mut [IoSliceMut::new(&mut buffer)];
                    Ok(recvmsg(&self.stream, buffers, &mut rights, RecvFlags::CMSG_CLOEXEC)?.bytes)
                })?;
                for ancillary in rights.drain() {
                    if let RecvAncillaryMessage::ScmRights(sockets) = ancillary {
                        self.sockets.borrow_mut().extend(sockets);
                    }
                }
                self.received.borrow_mut().extend_from_slice(&buffer[..read]);
                Ok(read)
            });
            if read_result.await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn next_socket(&self) -> io::Result<OwnedFd> {
        self.sockets.borrow_mut().pop_front().ok_or_else(|| ErrorKind::InvalidData.into())
    }

    /// Takes the next socket that was passed with a message, a listening socket.
    pub fn receive_listener(&self) -> io::Result<TcpListener> {
        let listener = std::net::TcpListener::from(self.next_socket()?);
        listener.set_nonblocking(true)?;
        TcpListener::from_tokio(tokio::net::TcpListener::from_std(listener)?)
    }

    /// Takes the next socket that was passed with a message, a connection.
    pub fn receive_stream(&self) -> io::Result<TcpStream> {
        let stream = std::net::TcpStream::from(self.next_socket()?);
        stream.set_nonblocking(true)?;
        Ok(tokio::net::TcpStream::from_std(stream)?.into())
    }
}
