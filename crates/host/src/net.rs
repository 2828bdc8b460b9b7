//! TCP on any implementation of [`Machine`](crate::Machine), as the proxy uses it: readiness, partial
//! reads and writes, half-close and reset.

use crate::retry::{accept_with_retry, retry_immediately};
use socket2::SockRef;
use std::future::poll_fn;
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The kinds of readiness that a caller waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Data to read, the end of the stream or an error.
    pub read: bool,
    /// Space to write, or an error.
    pub write: bool,
}

/// A connection of a custom [`Machine`](crate::Machine). Its errors are those of the corresponding system
/// calls.
pub trait StreamIo {
    /// Ready when `try_read` would not block.
    fn poll_readable(&self, context: &mut Context<'_>) -> Poll<()>;
    /// Ready when `try_write` would not block.
    fn poll_writable(&self, context: &mut Context<'_>) -> Poll<()>;
    /// Reads the available data; 0 at the end of the stream.
    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes as many bytes as there is space for.
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize>;
    /// Closes the sending direction, as `shutdown(SHUT_WR)` does.
    fn finish(&self) -> io::Result<()>;
    /// Makes the following close send a reset.
    fn reset_on_close(&self);
}

/// A listening socket of a custom [`Machine`](crate::Machine).
pub trait ListenerIo {
    /// Accepts the next connection; returns it with its remote address.
    fn poll_accept(&self, context: &mut Context<'_>) -> Poll<io::Result<(TcpStream, SocketAddr)>>;
    /// The address that the socket listens on.
    fn address(&self) -> SocketAddr;
}

enum Stream {
    Os(tokio::net::TcpStream),
    Simulated(Box<dyn StreamIo>),
}

/// A TCP connection, which is closed when dropped.
pub struct TcpStream(Stream);

impl From<tokio::net::TcpStream> for TcpStream {
    fn from(stream: tokio::net::TcpStream) -> Self {
        TcpStream(Stream::Os(stream))
    }
}

impl TcpStream {
    /// Wraps a custom connection.
    pub fn from_io(io: impl StreamIo + 'static) -> Self {
        TcpStream(Stream::Simulated(Box::new(io)))
    }

    /// Waits for any of the requested kinds of readiness. An error is reported by the read or write that
    /// follows.
    pub async fn ready(&self, interest: Interest) {
        match &self.0 {
            Stream::Os(stream) => {
                let tokio_interest = match (interest.read, interest.write) {
                    (true, true) => tokio::io::Interest::READABLE | tokio::io::Interest::WRITABLE,
                    (true, false) => tokio::io::Interest::READABLE,
                    (false, true) => tokio::io::Interest::WRITABLE,
                    (false, false) => return std::future::pending().await,
                };
                // Guards against a peer that always has data: waiting for readiness alone never yields to
                // other tasks.
                tokio::task::coop::consume_budget().await;
                drop(stream.ready(tokio_interest).await);
            }
            Stream::Simulated(io) => {
                poll_fn(|context| {
                    let readable = interest.read && io.poll_readable(context).is_ready();
                    let writable = interest.write && io.poll_writable(context).is_ready();
                    if readable || writable { Poll::Ready(()) } else { Poll::Pending }
                })
                .await;
            }
        }
    }

    /// Waits for data to read, the end of the stream or an error.
    pub async fn readable(&self) {
        self.ready(Interest { read: true, write: false }).await;
    }

    /// Waits for space to write, or an error.
    pub async fn writable(&self) {
        self.ready(Interest { read: false, write: true }).await;
    }

    /// Reads the available data. Returns 0 at the end of the stream and `WouldBlock` if there is no data.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        match &self.0 {
            Stream::Os(stream) => retry_immediately(|| stream.try_read(buffer)),
            Stream::Simulated(io) => io.try_read(buffer),
        }
    }

    /// Reads like `try_read`, but always asks the operating system. `try_read` may answer `WouldBlock` without
    /// a system call, if the last poll of the runtime found nothing to read. It then misses what has arrived
    /// since that poll, which may be long ago if the process was paused.
    pub fn try_read_unpolled(&self, buffer: &mut [u8]) -> io::Result<usize> {
        match &self.0 {
            Stream::Os(stream) => retry_immediately(|| (&*SockRef::from(stream)).read(buffer)),
            Stream::Simulated(io) => io.try_read(buffer),
        }
    }

    /// Writes as many bytes as there is space for. Returns `WouldBlock` if there is no space.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match &self.0 {
            Stream::Os(stream) => retry_immediately(|| stream.try_write(bytes)),
            Stream::Simulated(io) => io.try_write(bytes),
        }
    }

    /// The file descriptor, to be passed to another process.
    pub(crate) fn descriptor(&self) -> io::Result<BorrowedFd<'_>> {
        match &self.0 {
            Stream::Os(stream) => Ok(stream.as_fd()),
            Stream::Simulated(_) => Err(io::ErrorKind::Unsupported.into()),
        }
    }

    /// Disables Nagle's algorithm, so that each write is sent without delay. A custom connection never delays
    /// a write. A connection on which this fails still works, with a higher latency.
    pub fn set_nodelay(&self) {
        if let Stream::Os(stream) = &self.0 {
            // A failure loses no data.
            let _ = retry_immediately(|| stream.set_nodelay(true));
        }
    }

    /// Closes the sending direction (half-close): the peer reads the end of the stream after all
    /// data that was written.
    pub fn finish(&self) -> io::Result<()> {
        match &self.0 {
            Stream::Os(stream) => retry_immediately(|| SockRef::from(stream).shutdown(Shutdown::Write)),
            Stream::Simulated(io) => io.finish(),
        }
    }

    /// Makes the following close send a reset: the peer reads an error in place of the end of the stream.
    pub fn reset_on_close(&self) {
        match &self.0 {
            // A failure means that the connection is closed already and cannot be reset.
            Stream::Os(stream) => {
                drop(retry_immediately(|| SockRef::from(stream).set_linger(Some(Duration::ZERO))))
            }
            Stream::Simulated(io) => io.reset_on_close(),
        }
    }
}

/// Polls again after a transient failure of a system call in `poll`.
fn poll_with_retry<T>(mut poll: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    let polled = retry_immediately(|| match poll() {
        Poll::Ready(result) => result.map(Poll::Ready),
        Poll::Pending => Ok(Poll::Pending),
    });
    match polled {
        Ok(Poll::Ready(value)) => Poll::Ready(Ok(value)),
        Ok(Poll::Pending) => Poll::Pending,
        Err(error) => Poll::Ready(Err(error)),
    }
}

impl AsyncRead for TcpStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut self.get_mut().0 {
            Stream::Os(stream) => poll_with_retry(|| Pin::new(&mut *stream).poll_read(context, buffer)),
            Stream::Simulated(io) => loop {
                ready!(io.poll_readable(context));
                match io.try_read(buffer.initialize_unfilled()) {
                    Ok(read) => {
                        buffer.advance(read);
                        return Poll::Ready(Ok(()));
                    }
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(error) => return Poll::Ready(Err(error)),
                }
            },
        }
    }
}

impl AsyncWrite for TcpStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        match &mut self.get_mut().0 {
            Stream::Os(stream) => poll_with_retry(|| Pin::new(&mut *stream).poll_write(context, bytes)),
            Stream::Simulated(io) => loop {
                ready!(io.poll_writable(context));
                match io.try_write(bytes) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
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
            Stream::Os(stream) => poll_with_retry(|| Pin::new(&mut *stream).poll_shutdown(context)),
            Stream::Simulated(io) => Poll::Ready(io.finish()),
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
    pub(crate) fn from_tokio(listener: tokio::net::TcpListener) -> io::Result<Self> {
        let address = listener.local_addr()?;
        Ok(TcpListener(Listener::Os(listener, address)))
    }

    /// Wraps a custom listening socket.
    pub fn from_io(io: impl ListenerIo + 'static) -> Self {
        TcpListener(Listener::Simulated(Box::new(io)))
    }

    /// Accepts the next connection; returns it with its remote address. A connection that failed before it
    /// was accepted is skipped. This method is cancel safe.
    pub async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        match &self.0 {
            Listener::Os(listener, _) => {
                let (stream, remote_address) = accept_with_retry(async || listener.accept().await).await?;
                Ok((stream.into(), remote_address))
            }
            Listener::Simulated(io) => poll_fn(|context| io.poll_accept(context)).await,
        }
    }

    /// The file descriptor, to be passed to another process.
    pub(crate) fn descriptor(&self) -> io::Result<BorrowedFd<'_>> {
        match &self.0 {
            Listener::Os(listener, _) => Ok(listener.as_fd()),
            Listener::Simulated(_) => Err(io::ErrorKind::Unsupported.into()),
        }
    }

    /// The address that the socket listens on.
    pub fn address(&self) -> SocketAddr {
        match &self.0 {
            Listener::Os(_, address) => *address,
            Listener::Simulated(io) => io.address(),
        }
    }
}
