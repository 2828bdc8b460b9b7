//! The real machine, on tokio.

use crate::retry::{retry_with_backoff, retry_with_backoff_blocking};
use crate::task::{OsSignal, Source};
use crate::{
    HandoverChannel, HandoverListener, Local, Machine, Micros, Signal, Signals, TcpListener, TcpStream,
};
use signal_hook::consts::{SIGHUP, SIGTERM};
use socket2::{Domain, Socket, Type};
use std::any::Any;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock is the Unix time at the start, carried on by one that never steps.
pub struct OsMachine {
    start: Micros,
    since: Instant,
}

impl OsMachine {
    pub fn new() -> Self {
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        OsMachine { start: start.as_micros() as Micros, since: Instant::now() }
    }
}

impl Machine for OsMachine {
    fn now(&self) -> Micros {
        self.start + self.since.elapsed().as_micros() as Micros
    }

    fn sleep_until(&self, at: Micros) -> Local<'static, ()> {
        Box::pin(tokio::time::sleep(Duration::from_micros(at.saturating_sub(self.now()))))
    }

    fn spawn(&self, task: Local<'static, ()>) {
        tokio::task::spawn_local(task);
    }

    fn connect(&self, to: SocketAddr) -> Local<'static, io::Result<TcpStream>> {
        let connect = async move || tokio::net::TcpStream::connect(to).await.map(TcpStream::from);
        Box::pin(retry_with_backoff(connect))
    }

    fn listen(&self, at: SocketAddr, backlog: i32, beside: bool) -> io::Result<TcpListener> {
        retry_with_backoff_blocking(|| {
            let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
            socket.set_reuse_address(true)?;
            if beside {
                socket.set_reuse_port(true)?;
            }
            socket.set_nonblocking(true)?;
            socket.bind(&at.into())?;
            socket.listen(backlog)?;
            TcpListener::os(tokio::net::TcpListener::from_std(socket.into())?)
        })
    }

    fn signals(&self, which: Signal) -> io::Result<Signals> {
        let number = match which {
            Signal::Hangup => SIGHUP,
            Signal::Terminate => SIGTERM,
        };
        let arrivals = retry_with_backoff_blocking(|| OsSignal::of(number))?;
        Ok(Signals(Source::Os(arrivals)))
    }

    fn read_file(&self, path: &Path) -> io::Result<Vec<u8>> {
        retry_with_backoff_blocking(|| std::fs::read(path))
    }

    fn write_file(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let beside = path.with_extension(std::process::id().to_string());
        let written = retry_with_backoff_blocking(|| {
            let mut file = std::fs::File::create(&beside)?;
            file.write_all(bytes)?;
            file.sync_all()?;
            std::fs::rename(&beside, path)
        });
        if written.is_err() {
            // A half-written file beside the good one is of no use to anybody.
            let _ = std::fs::remove_file(&beside);
        }
        written
    }

    fn listen_handover(&self, at: &Path) -> io::Result<HandoverListener> {
        HandoverListener::bind(at)
    }

    fn connect_handover<'a>(&self, at: &'a Path) -> Local<'a, io::Result<HandoverChannel>> {
        Box::pin(HandoverChannel::connect(at))
    }

    fn env_var(&self, name: &str) -> Option<String> {
        std::env::var(name).ok()
    }

    fn reserve_descriptor(&self) -> Option<Box<dyn Any>> {
        std::fs::File::open("/dev/null").ok().map(|file| Box::new(file) as Box<dyn Any>)
    }
}
