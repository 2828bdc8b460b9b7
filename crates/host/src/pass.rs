//! Two processes of one machine beside each other: a listening socket and words pass between them, through a socket
//! in a folder that both share.

use crate::TcpListener;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::cell::RefCell;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::path::Path;
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};

/// The longest word; bytes.
const MOST: usize = 8 << 20;
/// What is read at once; bytes.
const PART: usize = 16 << 10;
/// Goes with the listening socket: a descriptor passes only beside a byte.
const BESIDE: [u8; 1] = *b"L";

/// Where a process waits for the one that is to take over.
pub struct Offers(UnixListener);

impl Offers {
    /// Offers at that path, in place of whoever did before.
    pub(crate) fn at(path: &Path) -> io::Result<Self> {
        let beside = path.with_extension(std::process::id().to_string());
        // One may be left over of a process of that number.
        let _ = std::fs::remove_file(&beside);
        let listener = UnixListener::bind(&beside)?;
        std::fs::rename(&beside, path)?;
        Ok(Offers(listener))
    }

    /// The next process that asks. Nothing is lost when this is dropped before its end.
    pub async fn next(&self) -> io::Result<Pass> {
        let (stream, _) = self.0.accept().await?;
        Ok(Pass { stream, heard: RefCell::default() })
    }
}

/// A connection to the process beside this one. Words are lines.
pub struct Pass {
    stream: UnixStream,
    heard: RefCell<Vec<u8>>,
}

impl Pass {
    /// Asks whoever offers at that path.
    pub(crate) async fn to(path: &Path) -> io::Result<Self> {
        Ok(Pass { stream: UnixStream::connect(path).await?, heard: RefCell::default() })
    }

    /// Gives a listening socket; it stays open here too. It comes before all words.
    pub async fn give(&self, listener: &TcpListener) -> io::Result<()> {
        let socket = [listener.descriptor()?];
        let sent = self.stream.async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut rights = SendAncillaryBuffer::new(&mut space);
            rights.push(SendAncillaryMessage::ScmRights(&socket));
            Ok(sendmsg(&self.stream, &[IoSlice::new(&BESIDE)], &mut rights, SendFlags::NOSIGNAL)?)
        });
        sent.await.map(drop)
    }

    /// Takes the listening socket that the other gives.
    pub async fn take(&self) -> io::Result<TcpListener> {
        let taken = self.stream.async_io(Interest::READABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut rights = RecvAncillaryBuffer::new(&mut space);
            let mut beside = [0; BESIDE.len()];
            let into = &mut [IoSliceMut::new(&mut beside)];
            recvmsg(&self.stream, into, &mut rights, RecvFlags::CMSG_CLOEXEC)?;
            let sockets = rights.drain().filter_map(|message| match message {
                RecvAncillaryMessage::ScmRights(mut sockets) => sockets.next(),
                _ => None,
            });
            Ok(sockets.last())
        });
        let socket = taken.await?.ok_or(ErrorKind::UnexpectedEof)?;
        let listener = std::net::TcpListener::from(socket);
        listener.set_nonblocking(true)?;
        TcpListener::os(tokio::net::TcpListener::from_std(listener)?)
    }

    /// Says a word, which holds no end of line.
    pub async fn say(&self, word: &[u8]) -> io::Result<()> {
        for mut part in [word, b"\n"] {
            while !part.is_empty() {
                self.stream.writable().await?;
                match self.stream.try_write(part) {
                    Ok(written) => part = &part[written..],
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(e) => return Err(e),
                }
            }
        }
        Ok(())
    }

    /// The next word; an error once the other process has ended. Nothing is lost when this is dropped before its end.
    pub async fn hear(&self) -> io::Result<Vec<u8>> {
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
            self.stream.readable().await?;
            let mut part = [0; PART];
            match self.stream.try_read(&mut part) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(read) => self.heard.borrow_mut().extend_from_slice(&part[..read]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }
}
