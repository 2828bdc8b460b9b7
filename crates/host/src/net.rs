//! TCP as the proxy uses it: readiness, partial reads and writes, half-close and reset, on any machine.

use crate::retry::{accept_with_retry, retry_immediately};
use socket2::SockRef;
use std::future::poll_fn;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What a connection is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Something to read, an end or an error.
    pub read: bool,
    /// Room to write, or an error.
    pub write: bool,
}

/// A connection that a machine other than the real one makes. Errors are those of the system's calls.
pub trait StreamIo {
    /// Ready when `try_read` would not block.
    fn poll_readable(&self, context: &mut Context<'_>) -> Poll<()>;
    /// Ready when `try_write` would not block.
    fn poll_writable(&self, context: &mut Context<'_>) -> Poll<()>;
    /// Reads what there is; 0 at the other side's end.
    fn try_read(&self, into: &mut [u8]) -> io::Result<usize>;
    /// Writes a part, as much as there is room for.
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize>;
    /// Ends the sending.
    fn finish(&self) -> io::Result<()>;
    /// Makes the close that follows a reset.
    fn reset_on_close(&self);
}

/// A listening socket that a machine other than the real one makes.
pub trait ListenerIo {
    /// The next connection and where it came from.
    fn poll_accept(&self, context: &mut Context<'_>) -> Poll<io::Result<(TcpStream, SocketAddr)>>;
    /// The address it listens on.
    fn address(&self) -> SocketAddr;
}

enum Stream {
    Os(tokio::net::TcpStream),
    Simulated(Box<dyn StreamIo>),
}

/// A TCP connection; it is closed when dropped.
pub struct TcpStream(Stream);

impl From<tokio::net::TcpStream> for TcpStream {
    fn from(stream: tokio::net::TcpStream) -> Self {
        TcpStream(Stream::Os(stream))
    }
}

impl TcpStream {
    /// A connection of another machine's.
    pub fn from_io(wire: impl StreamIo + 'static) -> Self {
        TcpStream(Stream::Simulated(Box::new(wire)))
    }

    /// Waits for any of these; an error shows at the read or write that follows.
    pub async fn ready(&self, interest: Interest) {
        match &self.0 {
            Stream::Os(stream) => {
                let wanted = match (interest.read, interest.write) {
                    (true, true) => tokio::io::Interest::READABLE | tokio::io::Interest::WRITABLE,
                    (true, false) => tokio::io::Interest::READABLE,
                    (false, true) => tokio::io::Interest::WRITABLE,
                    (false, false) => return std::future::pending().await,
                };
                // Guards against a peer that always has something: readiness alone never gives way to other tasks.
                tokio::task::coop::consume_budget().await;
                drop(stream.ready(wanted).await);
            }
            Stream::Simulated(wire) => {
                poll_fn(|context| {
                    let readable = interest.read && wire.poll_readable(context).is_ready();
                    let writable = interest.write && wire.poll_writable(context).is_ready();
                    if readable || writable { Poll::Ready(()) } else { Poll::Pending }
                })
                .await;
            }
        }
    }

    /// Waits until there is something to read, an end or an error.
    pub async fn readable(&self) {
        self.ready(Interest { read: true, write: false }).await;
    }

    /// Waits until there is room to write, or an error.
    pub async fn writable(&self) {
        self.ready(Interest { read: false, write: true }).await;
    }

    /// Reads what there is; 0 at the other side's end, `WouldBlock` if there is nothing.
    pub fn try_read(&self, into: &mut [u8]) -> io::Result<usize> {
        match &self.0 {
            Stream::Os(stream) => retry_immediately(|| stream.try_read(into)),
            Stream::Simulated(wire) => wire.try_read(into),
        }
    }

    /// Writes a part, as much as there is room for; `WouldBlock` if there is none.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match &self.0 {
            Stream::Os(stream) => retry_immediately(|| stream.try_write(bytes)),
            Stream::Simulated(wire) => wire.try_write(bytes),
        }
    }

    /// Its descriptor, to be given to another process.
    pub(crate) fn descriptor(&self) -> io::Result<BorrowedFd<'_>> {
        match &self.0 {
            Stream::Os(stream) => Ok(stream.as_fd()),
            Stream::Simulated(_) => Err(io::ErrorKind::Unsupported.into()),
        }
    }

    /// Sends each write at once; a machine of another kind always does. A connection that cannot be told to serves all
    /// the same, if later.
    pub fn set_nodelay(&self) {
        if let Stream::Os(stream) = &self.0 {
            // Nothing is lost over it.
            let _ = retry_immediately(|| stream.set_nodelay(true));
        }
    }

    /// Ends the sending: the other side reads an end after all that was written.
    pub fn finish(&self) -> io::Result<()> {
        match &self.0 {
            Stream::Os(stream) => retry_immediately(|| SockRef::from(stream).shutdown(Shutdown::Write)),
            Stream::Simulated(wire) => wire.finish(),
        }
    }

    /// Makes the close that follows a reset: the other side reads an error in place of an end.
    pub fn reset_on_close(&self) {
        match &self.0 {
            // One that is closed already is none that could be reset.
            Stream::Os(stream) => {
                drop(retry_immediately(|| SockRef::from(stream).set_linger(Some(Duration::ZERO))))
            }
            Stream::Simulated(wire) => wire.reset_on_close(),
        }
    }
}

/// Polls again where a call of the poll's failed for a moment.
fn uninterrupted<T>(mut poll: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    let polled = retry_immediately(|| match poll() {
        Poll::Ready(done) => done.map(Poll::Ready),
        Poll::Pending => Ok(Poll::Pending),
    });
    match polled {
        Ok(Poll::Ready(done)) => Poll::Ready(Ok(done)),
        Ok(Poll::Pending) => Poll::Pending,
        Err(error) => Poll::Ready(Err(error)),
    }
}

impl AsyncRead for TcpStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut self.get_mut().0 {
            Stream::Os(stream) => uninterrupted(|| Pin::new(&mut *stream).poll_read(context, into)),
            Stream::Simulated(wire) => loop {
                ready!(wire.poll_readable(context));
                match wire.try_read(into.initialize_unfilled()) {
                    Ok(read) => {
                        into.advance(read);
                        return Poll::Ready(Ok(()));
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(e) => return Poll::Ready(Err(e)),
                }
            },
        }
    }
}

impl AsyncWrite for TcpStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        match &mut self.get_mut().0 {
            Stream::Os(stream) => uninterrupted(|| Pin::new(&mut *stream).poll_write(context, bytes)),
            Stream::Simulated(wire) => loop {
                ready!(wire.poll_writable(context));
                match wire.try_write(bytes) {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    written => return Poll::Ready(written),
                }
            },
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.get_mut().0 {
            Stream::Os(stream) => uninterrupted(|| Pin::new(&mut *stream).poll_shutdown(context)),
            Stream::Simulated(wire) => Poll::Ready(wire.finish()),
        }
    }
}

enum Listener {
    Os(tokio::net::TcpListener, SocketAddr),
    Simulated(Box<dyn ListenerIo>),
}

/// A listening socket.
pub struct TcpListener(Listener);

impl TcpListener {
    pub(crate) fn os(listener: tokio::net::TcpListener) -> io::Result<Self> {
        let address = listener.local_addr()?;
        Ok(TcpListener(Listener::Os(listener, address)))
    }

    /// A listening socket of another machine's.
    pub fn from_io(listening: impl ListenerIo + 'static) -> Self {
        TcpListener(Listener::Simulated(Box::new(listening)))
    }

    /// The next connection and where it came from; one that failed before it was taken in is passed over. Nothing is
    /// lost when this is dropped before its end.
    pub async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        match &self.0 {
            Listener::Os(listener, _) => {
                let (stream, from) = accept_with_retry(async || listener.accept().await).await?;
                Ok((stream.into(), from))
            }
            Listener::Simulated(listening) => poll_fn(|context| listening.poll_accept(context)).await,
        }
    }

    /// Its descriptor, to be given to another process.
    pub(crate) fn descriptor(&self) -> io::Result<BorrowedFd<'_>> {
        match &self.0 {
            Listener::Os(listener, _) => Ok(listener.as_fd()),
            Listener::Simulated(_) => Err(io::ErrorKind::Unsupported.into()),
        }
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        match &self.0 {
            Listener::Os(_, address) => *address,
            Listener::Simulated(listening) => listening.address(),
        }
    }
}
