#![forbid(unsafe_code)]
#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // the one place where these belong
//! The one seam between the proxy and the machine it runs on: clock, timers, TCP, signals, the config file,
//! variables, descriptors and tasks. [`Host::os`] is the real machine, on tokio. Whoever implements [`Machine`]
//! provides another one, such as a simulated machine on a virtual clock, and the same network code runs there.
//!
//! Everything here is for one thread: handles are `Rc`s, tasks are local, and nothing is `Send`.

mod handover;
mod net;
mod os;
pub mod retry;
mod task;

pub use handover::{HandoverChannel, HandoverListener, PassedSocket};
pub use net::{Interest, ListenerIo, StreamIo, TcpListener, TcpStream};
pub use task::{Signals, Task, TaskEnd};

use std::any::Any;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;

/// A point in time (Unix time) or a span of time, in microseconds.
pub type Micros = u64;

/// A future of a machine's, on its one thread.
pub type Local<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A signal that the process handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Signal {
    /// SIGHUP: the config was replaced.
    Hangup,
    /// SIGTERM: stop as planned.
    Terminate,
}

/// What a machine provides to one process on it.
pub trait Machine {
    /// Unix time on a clock that never steps back; microseconds.
    fn now(&self) -> Micros;
    /// Ends at that time or soon after it.
    fn sleep_until(&self, at: Micros) -> Local<'static, ()>;
    /// Runs a task beside all others. It ends with the process at the latest.
    fn spawn(&self, task: Local<'static, ()>);
    /// Connects to that address. Dropped before its end, it leaves nothing open.
    fn connect(&self, to: SocketAddr) -> Local<'static, io::Result<TcpStream>>;
    /// Listens there, with so many connections that may wait to be accepted; beside others that share the address
    /// alike, where that is wanted.
    fn listen(&self, at: SocketAddr, backlog: i32, beside: bool) -> io::Result<TcpListener>;
    /// Takes over the handling of a signal.
    fn signals(&self, which: Signal) -> io::Result<Signals>;
    /// Reads a file whole.
    fn read_file(&self, path: &Path) -> io::Result<Vec<u8>>;
    /// Writes a file whole: whoever reads it finds all of it, or all of what was there before.
    fn write_file(&self, _path: &Path, _bytes: &[u8]) -> io::Result<()> {
        Err(io::ErrorKind::Unsupported.into())
    }
    /// Offers the process that is to take over a connection at that path, in place of whoever did before.
    fn listen_handover(&self, _at: &Path) -> io::Result<HandoverListener> {
        Err(io::ErrorKind::Unsupported.into())
    }
    /// Asks whoever offers at that path.
    fn connect_handover<'a>(&self, _at: &'a Path) -> Local<'a, io::Result<HandoverChannel>> {
        Box::pin(std::future::ready(Err(io::ErrorKind::Unsupported.into())))
    }
    /// A variable of the process's environment.
    fn env_var(&self, name: &str) -> Option<String>;
    /// Holds a descriptor until it is dropped; none if the process has none left.
    fn reserve_descriptor(&self) -> Option<Box<dyn Any>>;
}

/// A handle on the machine; clones share it.
#[derive(Clone)]
pub struct Host(Rc<dyn Machine>);

impl Host {
    /// The real machine. Whatever is asynchronous needs a tokio `LocalSet` with I/O and time round it.
    pub fn os() -> Self {
        Host(Rc::new(os::Os::new()))
    }

    /// A machine of the caller's.
    pub fn of(machine: impl Machine + 'static) -> Self {
        Host(Rc::new(machine))
    }

    /// Unix time; microseconds.
    pub fn now(&self) -> Micros {
        self.0.now()
    }

    /// Ends at that time or soon after it.
    pub async fn sleep_until(&self, at: Micros) {
        self.0.sleep_until(at).await;
    }

    /// Runs a task beside all others; a panic ends that task and no other.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Task {
        let (task, handle) = task::catch_panics(task);
        self.0.spawn(Box::pin(task));
        handle
    }

    /// Connects to that address.
    pub async fn connect(&self, to: SocketAddr) -> io::Result<TcpStream> {
        self.0.connect(to).await
    }

    /// Listens there, with so many connections that may wait to be accepted; beside others that share the address
    /// alike, where that is wanted.
    pub fn listen(&self, at: SocketAddr, backlog: i32, beside: bool) -> io::Result<TcpListener> {
        self.0.listen(at, backlog, beside)
    }

    /// Takes over the handling of a signal.
    pub fn signals(&self, which: Signal) -> io::Result<Signals> {
        self.0.signals(which)
    }

    /// Reads a file whole.
    pub fn read_file(&self, path: &Path) -> io::Result<Vec<u8>> {
        self.0.read_file(path)
    }

    /// Writes a file whole: whoever reads it finds all of it, or all of what was there before.
    pub fn write_file(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.0.write_file(path, bytes)
    }

    /// Offers the process that is to take over a connection at that path, in place of whoever did before.
    pub fn listen_handover(&self, at: &Path) -> io::Result<HandoverListener> {
        self.0.listen_handover(at)
    }

    /// Asks whoever offers at that path.
    pub async fn connect_handover(&self, at: &Path) -> io::Result<HandoverChannel> {
        self.0.connect_handover(at).await
    }

    /// A variable of the process's environment.
    pub fn env_var(&self, name: &str) -> Option<String> {
        self.0.env_var(name)
    }

    /// Holds a descriptor until it is dropped; none if the process has none left.
    pub fn reserve_descriptor(&self) -> Option<Box<dyn Any>> {
        self.0.reserve_descriptor()
    }
}
