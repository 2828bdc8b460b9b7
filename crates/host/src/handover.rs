//! Two processes of one machine beside each other: sockets and words pass between them, through a socket
//! in a folder that both share.

use crate::retry::{accept_with_retry, retry_immediately, retry_with_backoff};
use crate::{TcpListener, TcpStream};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::path::Path;
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};

/// The longest word; bytes.
const MOST: usize = 8 << 20;
/// What is read at once; bytes.
const PART: usize = 16 << 10;
/// The most sockets that go with one word.
const SOCKETS: usize = 2;

/// Where a process waits for the one that is to take over.
pub struct HandoverListener(UnixListener);

impl HandoverListener {
    /// Offers at that path, in place of whoever did before.
    pub(crate) fn bind(path: &Path) -> io::Result<Self> {
        let beside = path.with_extension(std::process::id().to_string());
        // One may be left over of a process of that number.
        let _ = std::fs::remove_file(&beside);
        let listener = UnixListener::bind(&beside)?;
        std::fs::rename(&beside, path)?;
        Ok(HandoverListener(listener))
    }

    /// The next process that asks. Nothing is lost when this is dropped before its end.
    pub async fn accept(&self) -> io::Result<HandoverChannel> {
        let (stream, _) = accept_with_retry(async || self.0.accept().await).await?;
        Ok(HandoverChannel::of(stream))
    }
}

/// What passes beside a word.
pub enum PassedSocket<'a> {
    /// One that listens.
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

/// A connection to the process beside this one. Words are lines; sockets may go with them.
pub struct HandoverChannel {
    stream: UnixStream,
    heard: RefCell<Vec<u8>>,
    sockets: RefCell<VecDeque<OwnedFd>>,
}

impl HandoverChannel {
    fn of(stream: UnixStream) -> Self {
        HandoverChannel { stream, heard: RefCell::default(), sockets: RefCell::default() }
    }

    /// Asks whoever offers at that path.
    pub(crate) async fn connect(path: &Path) -> io::Result<Self> {
        Ok(HandoverChannel::of(retry_with_backoff(async || UnixStream::connect(path).await).await?))
    }

    /// Says a word, which holds no end of line, with two sockets at most. They stay open here too.
    pub async fn send(&self, word: &[u8], sockets: &[PassedSocket<'_>]) -> io::Result<()> {
        let descriptors: Vec<BorrowedFd<'_>> =
            sockets.iter().map(PassedSocket::descriptor).collect::<io::Result<_>>()?;
        let first = self.stream.async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(SOCKETS))];
            let mut rights = SendAncillaryBuffer::new(&mut space);
            if !descriptors.is_empty() && !rights.push(SendAncillaryMessage::ScmRights(&descriptors)) {
                return Err(ErrorKind::InvalidInput.into());
            }
            let words = [IoSlice::new(word)];
            retry_immediately(|| Ok(sendmsg(&self.stream, &words, &mut rights, SendFlags::NOSIGNAL)?))
        });
        let written = first.await?;
        for mut part in [&word[written..], b"\n"] {
            while !part.is_empty() {
                self.stream.writable().await?;
                match retry_immediately(|| self.stream.try_write(part)) {
                    Ok(written) => part = &part[written..],
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(e) => return Err(e),
                }
            }
        }
        Ok(())
    }

    /// The next word; an error once the other process has ended. Nothing is lost when this is dropped before its end.
    pub async fn receive(&self) -> io::Result<Vec<u8>> {
        let mut searched = 0;
        loop {
            {
                let mut heard = self.heard.borrow_mut();
                if let Some(end) = heard[searched..].iter().position(|&byte| byte == b'\n') {
                    let mut word: Vec<u8> = heard.drain(..=searched + end).collect();
                    word.pop();
                    return Ok(word);
                }
                searched = heard.len();
                if searched > MOST {
                    return Err(ErrorKind::InvalidData.into());
                }
            }
            // No await lies between the read and the entry of what it brought.
            let read = self.stream.async_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(SOCKETS))];
                let mut rights = RecvAncillaryBuffer::new(&mut space);
                let mut part = [0; PART];
                let read = retry_immediately(|| {
                    let into = &mut [IoSliceMut::new(&mut part)];
                    Ok(recvmsg(&self.stream, into, &mut rights, RecvFlags::CMSG_CLOEXEC)?.bytes)
                })?;
                for message in rights.drain() {
                    if let RecvAncillaryMessage::ScmRights(sockets) = message {
                        self.sockets.borrow_mut().extend(sockets);
                    }
                }
                self.heard.borrow_mut().extend_from_slice(&part[..read]);
                Ok(read)
            });
            if read.await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn next_socket(&self) -> io::Result<OwnedFd> {
        self.sockets.borrow_mut().pop_front().ok_or_else(|| ErrorKind::InvalidData.into())
    }

    /// The next socket that came with a word, which listens.
    pub fn receive_listener(&self) -> io::Result<TcpListener> {
        let listener = std::net::TcpListener::from(self.next_socket()?);
        listener.set_nonblocking(true)?;
        TcpListener::os(tokio::net::TcpListener::from_std(listener)?)
    }

    /// The next socket that came with a word, a connection.
    pub fn receive_stream(&self) -> io::Result<TcpStream> {
        let stream = std::net::TcpStream::from(self.next_socket()?);
        stream.set_nonblocking(true)?;
        Ok(tokio::net::TcpStream::from_std(stream)?.into())
    }
}
