//! The implementation of [`Machine`] by the operating system and tokio.

use crate::retry::{retry_with_backoff, retry_with_backoff_blocking};
use crate::task::{OsSignal, SignalSource};
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

/// The operating system's implementation of [`Machine`]. Its clock is the Unix time at which it was created,
/// advanced by a monotonic clock.
pub struct OsMachine {
    started_at_unix: Micros,
    started_at_monotonic: Instant,
}

impl OsMachine {
    /// Starts the clock at the current Unix time.
    pub fn new() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        OsMachine { started_at_unix: unix_time.as_micros() as Micros, started_at_monotonic: Instant::now() }
    }
}

impl Machine for OsMachine {
    fn now(&self) -> Micros {
        self.started_at_unix + self.started_at_monotonic.elapsed().as_micros() as Micros
    }

    fn sleep_until(&self, at: Micros) -> Local<'static, ()> {
        Box::pin(tokio::time::sleep(Duration::from_micros(at.saturating_sub(self.now()))))
    }

    fn sockets_polled(&self) -> Local<'static, ()> {
        // The runtime resumes a task that yields only after it has polled the sockets.
        Box::pin(tokio::task::yield_now())
    }

    fn spawn(&self, task: Local<'static, ()>) {
        tokio::task::spawn_local(task);
    }

    fn connect(&self, address: SocketAddr) -> Local<'static, io::Result<TcpStream>> {
        let connect = async move || tokio::net::TcpStream::connect(address).await.map(TcpStream::from);
        Box::pin(retry_with_backoff(connect))
    }

    fn listen(&self, address: SocketAddr, backlog: i32, reuse_port: bool) -> io::Result<TcpListener> {
        retry_with_backoff_blocking(|| {
            let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
            socket.set_reuse_address(true)?;
            if reuse_port {
                socket.set_reuse_port(true)?;
            }
            socket.set_nonblocking(true)?;
            socket.bind(&address.into())?;
            socket.listen(backlog)?;
            TcpListener::from_tokio(tokio::net::TcpListener::from_std(socket.into())?)
        })
    }

    fn signals(&self, signal: Signal) -> io::Result<Signals> {
        let number = match signal {
            Signal::Hangup => SIGHUP,
            Signal::Terminate => SIGTERM,
        };
        let os_signal = retry_with_backoff_blocking(|| OsSignal::register(number))?;
        Ok(Signals(SignalSource::Os(os_signal)))
    }

    fn read_file(&self, path: &Path) -> io::Result<Vec<u8>> {
        retry_with_backoff_blocking(|| std::fs::read(path))
    }

    fn write_file(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let temporary_path = path.with_extension(std::process::id().to_string());
        let result = retry_with_backoff_blocking(|| {
            let mut file = std::fs::File::create(&temporary_path)?;
            file.write_all(bytes)?;
            file.sync_all()?;
            std::fs::rename(&temporary_path, path)
        });
        if result.is_err() {
            // An incomplete temporary file is of no use.
            let _ = std::fs::remove_file(&temporary_path);
        }
        result
    }

    fn listen_handover(&self, path: &Path) -> io::Result<HandoverListener> {
        HandoverListener::bind(path)
    }

    fn connect_handover<'a>(&self, path: &'a Path) -> Local<'a, io::Result<HandoverChannel>> {
        Box::pin(HandoverChannel::connect(path))
    }

    fn env_var(&self, name: &str) -> Option<String> {
        std::env::var(name).ok()
    }

    fn reserve_descriptor(&self) -> Option<Box<dyn Any>> {
        std::fs::File::open("/dev/null").ok().map(|file| Box::new(file) as Box<dyn Any>)
    }
}
