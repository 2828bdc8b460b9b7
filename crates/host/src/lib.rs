#![forbid(unsafe_code)]
#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // wraps what the lint disallows in the proxy
//! The interface between the proxy and the machine it runs on: clock, timers, TCP, signals, files,
//! environment variables, descriptors, tasks and the handover between processes. [`Host::os`] is the
//! implementation by the operating system and tokio. A custom implementation of [`Machine`], such as a
//! simulation on a virtual clock, runs the same network code.
//!
//! Everything in this crate is for one thread: handles are `Rc`s, tasks are local, and nothing is `Send`.

mod handover;
mod net;
mod os;
pub mod retry;
mod task;

pub use handover::{HandoverChannel, HandoverListener, PassedSocket};
pub use net::{Interest, ListenerIo, StreamIo, TcpListener, TcpStream};
pub use task::{Signals, TaskEnd, TaskHandle};

use std::any::Any;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;

/// A point in time (Unix time) or a span of time, in microseconds.
pub type Micros = u64;

/// A boxed future that is not `Send`: it stays on the thread that created it.
pub type Local<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A signal that the process handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Signal {
    /// SIGHUP: the config file was replaced.
    Hangup,
    /// SIGTERM: a planned shutdown.
    Terminate,
}

/// The system interface that a process runs on. [`Host::os`] implements it by the operating system, and a
/// custom implementation is passed to [`Host::of`].
pub trait Machine {
    /// Returns the Unix time in microseconds, on a clock that never steps back.
    fn now(&self) -> Micros;
    /// Completes at the time `at` or soon after it.
    fn sleep_until(&self, at: Micros) -> Local<'static, ()>;
    /// Completes once the sockets were polled after this call and the tasks that wait for them were woken. The
    /// default implementation completes at once, for a machine whose sockets wake their tasks immediately.
    fn sockets_polled(&self) -> Local<'static, ()> {
        Box::pin(std::future::ready(()))
    }
    /// Runs a task concurrently with all others. The task ends with the process at the latest.
    fn spawn(&self, task: Local<'static, ()>);
    /// Connects to `address`. The future leaves nothing open when it is dropped early.
    fn connect(&self, address: SocketAddr) -> Local<'static, io::Result<TcpStream>>;
    /// Listens on `address`. At most `backlog` connections wait to be accepted. With `reuse_port` other
    /// sockets with the same option may listen on the same address.
    fn listen(&self, address: SocketAddr, backlog: i32, reuse_port: bool) -> io::Result<TcpListener>;
    /// Handles a signal from now on, in place of its default action. Returns the stream of its arrivals.
    fn signals(&self, signal: Signal) -> io::Result<Signals>;
    /// Reads a whole file.
    fn read_file(&self, path: &Path) -> io::Result<Vec<u8>>;
    /// Replaces a file atomically: a reader finds all of the new content or all of the old.
    /// The default implementation returns [`io::ErrorKind::Unsupported`].
    fn write_file(&self, _path: &Path, _bytes: &[u8]) -> io::Result<()> {
        Err(io::ErrorKind::Unsupported.into())
    }
    /// Listens at `path` for the process that takes over, and replaces any earlier listener there.
    /// The default implementation returns [`io::ErrorKind::Unsupported`].
    fn listen_handover(&self, _path: &Path) -> io::Result<HandoverListener> {
        Err(io::ErrorKind::Unsupported.into())
    }
    /// Connects to the process that listens at `path` for its successor.
    /// The default implementation returns [`io::ErrorKind::Unsupported`].
    fn connect_handover<'a>(&self, _path: &'a Path) -> Local<'a, io::Result<HandoverChannel>> {
        Box::pin(std::future::ready(Err(io::ErrorKind::Unsupported.into())))
    }
    /// Returns an environment variable of the process.
    fn env_var(&self, name: &str) -> Option<String>;
    /// Occupies a file descriptor until the returned value is dropped; `None` if the process has no
    /// descriptor left.
    fn reserve_descriptor(&self) -> Option<Box<dyn Any>>;
}

/// A handle to an implementation of [`Machine`]; clones share that implementation.
#[derive(Clone)]
pub struct Host(Rc<dyn Machine>);

impl Host {
    /// The operating system. The asynchronous methods must run in a tokio `LocalSet` with I/O and time
    /// enabled.
    pub fn os() -> Self {
        Host(Rc::new(os::OsMachine::new()))
    }

    /// A custom implementation of [`Machine`].
    pub fn of(machine: impl Machine + 'static) -> Self {
        Host(Rc::new(machine))
    }

    /// Returns the Unix time in microseconds.
    pub fn now(&self) -> Micros {
        self.0.now()
    }

    /// Completes at the time `at` or soon after it.
    pub async fn sleep_until(&self, at: Micros) {
        self.0.sleep_until(at).await;
    }

    /// Completes once the sockets were polled after this call and the tasks that wait for them were woken.
    pub async fn sockets_polled(&self) {
        self.0.sockets_polled().await;
    }

    /// Runs a task concurrently with all others. A panic ends that task and no other.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) -> TaskHandle {
        let (task, handle) = task::catch_panics(task);
        self.0.spawn(Box::pin(task));
        handle
    }

    /// Connects to `address`.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        self.0.connect(address).await
    }

    /// Listens on `address`. At most `backlog` connections wait to be accepted. With `reuse_port` other
    /// sockets with the same option may listen on the same address.
    pub fn listen(&self, address: SocketAddr, backlog: i32, reuse_port: bool) -> io::Result<TcpListener> {
        self.0.listen(address, backlog, reuse_port)
    }

    /// Handles a signal from now on, in place of its default action. Returns the stream of its arrivals.
    pub fn signals(&self, signal: Signal) -> io::Result<Signals> {
        self.0.signals(signal)
    }

    /// Reads a whole file.
    pub fn read_file(&self, path: &Path) -> io::Result<Vec<u8>> {
        self.0.read_file(path)
    }

    /// Replaces a file atomically: a reader finds all of the new content or all of the old.
    pub fn write_file(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.0.write_file(path, bytes)
    }

    /// Listens at `path` for the process that takes over, and replaces any earlier listener there.
    pub fn listen_handover(&self, path: &Path) -> io::Result<HandoverListener> {
        self.0.listen_handover(path)
    }

    /// Connects to the process that listens at `path` for its successor.
    pub async fn connect_handover(&self, path: &Path) -> io::Result<HandoverChannel> {
        self.0.connect_handover(path).await
    }

    /// Returns an environment variable of the process.
    pub fn env_var(&self, name: &str) -> Option<String> {
        self.0.env_var(name)
    }

    /// Occupies a file descriptor until the returned value is dropped; `None` if the process has no
    /// descriptor left.
    pub fn reserve_descriptor(&self) -> Option<Box<dyn Any>> {
        self.0.reserve_descriptor()
    }
}
