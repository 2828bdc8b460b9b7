//! The proxy after a panic of a task that it depends on.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // a machine with faults, on the real clock

use pierloom_host::{
    HandoverListener, Host, Local, Machine, Micros, Signal, Signals, TcpListener, TcpStream,
};
use pierloom_proxy::{Components, SignalHandlers, config};
use std::any::Any;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

const CONFIG: &str = r#"{"name":"p0","listen":"127.0.0.1:0","console":"127.0.0.1:0","discovery":"127.0.0.1:1",
 "seed":"a7","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"index":1,"snapshot":true,"endpoints":[]},"settings":{"balancers":1,"zone":"a","zones":["a"],
 "membership-mode":"ask","weights":"nominal",
 "bounds":{"max-attempts":4,"connect-timeout":0.2,"retry-after":true,"max-retry-after":2.0},
 "classes":[{"name":"feed","target":0.8,"deadline":4.8,"effect":"repeatable","group":"all"}],
 "feedback":{"columns":["x0","svc_ms"],"how":"probe"},
 "family-info":{"groups":true,"message-aim":[0.06]}}}"#;

/// The call at which a task of the proxy panics.
#[derive(Clone, Copy, PartialEq)]
enum PanickingCall {
    /// Made by the task that hands over to a successor, which cannot be started again.
    ListenHandover,
    /// Made by the task that runs the timers, which is started again.
    SleepUntil,
    /// Made by a reload of the config.
    SecondConfigRead,
}

/// The operating system, with a fault and a config in memory. Signals arrive only for a fault at a reload:
/// SIGHUP and SIGTERM.
struct FaultyMachine {
    os: Host,
    panicking_call: PanickingCall,
    configs_read: Cell<usize>,
}

impl Machine for FaultyMachine {
    fn now(&self) -> Micros {
        self.os.now()
    }

    fn sleep_until(&self, at: Micros) -> Local<'static, ()> {
        assert!(self.panicking_call != PanickingCall::SleepUntil, "injected");
        let host = self.os.clone();
        Box::pin(async move { host.sleep_until(at).await })
    }

    fn spawn(&self, task: Local<'static, ()>) {
        tokio::task::spawn_local(task);
    }

    fn connect(&self, address: SocketAddr) -> Local<'static, io::Result<TcpStream>> {
        let host = self.os.clone();
        Box::pin(async move { host.connect(address).await })
    }

    fn listen(&self, address: SocketAddr, backlog: i32, reuse_port: bool) -> io::Result<TcpListener> {
        self.os.listen(address, backlog, reuse_port)
    }

    fn signals(&self, _signal: Signal) -> io::Result<Signals> {
        let (sender, arrivals) = unbounded_channel();
        if self.panicking_call == PanickingCall::SecondConfigRead {
            sender.send(()).unwrap();
        }
        Ok(Signals::from_channel(arrivals))
    }

    fn read_file(&self, path: &Path) -> io::Result<Vec<u8>> {
        if path != Path::new("config") {
            return Err(io::ErrorKind::NotFound.into());
        }
        let configs_read = self.configs_read.replace(self.configs_read.get() + 1);
        assert!(self.panicking_call != PanickingCall::SecondConfigRead || configs_read == 0, "injected");
        Ok(CONFIG.into())
    }

    fn listen_handover(&self, _path: &Path) -> io::Result<HandoverListener> {
        assert!(self.panicking_call != PanickingCall::ListenHandover, "injected");
        Err(io::ErrorKind::Unsupported.into())
    }

    fn env_var(&self, name: &str) -> Option<String> {
        (name == "TMPDIR").then(|| "/nonexistent".into())
    }

    fn reserve_descriptor(&self) -> Option<Box<dyn Any>> {
        None
    }
}

/// Runs a proxy on a machine with that fault until the proxy ends by itself.
fn run_with_fault(call: PanickingCall) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let host = Host::of(FaultyMachine { os: Host::os(), panicking_call: call, configs_read: Cell::new(0) });
    let config = config::read(&host, Path::new("config")).unwrap();
    let components = Components::from_config(&config).unwrap();
    let handlers = SignalHandlers::install(&host).unwrap();
    LocalSet::new().block_on(&runtime, async {
        let proxy = pierloom_proxy::run(host, handlers, config, components);
        tokio::time::timeout(Duration::from_secs(30), proxy).await.expect("an end of the proxy")
    })
}

// Guards against a proxy that goes on for good without a task that cannot be started again.
#[test]
fn a_panic_of_a_task_that_cannot_be_restarted_ends_the_proxy_with_an_error() {
    assert_eq!(run_with_fault(PanickingCall::ListenHandover), Err("upgrades: ended by a panic".into()));
}

// Guards against a config that ends all proxies that read it again at SIGHUP.
#[test]
fn a_panic_of_a_reload_ends_no_proxy() {
    assert_eq!(run_with_fault(PanickingCall::SecondConfigRead), Ok(()));
}

/// A log whose lines cannot be written.
struct PanickingLog;

impl Subscriber for PanickingLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        *metadata.level() == tracing::Level::ERROR
    }

    fn event(&self, _event: &Event<'_>) {
        panic!("the supervisor cannot log")
    }

    fn new_span(&self, _span: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _span: &Id, _values: &Record<'_>) {}
    fn record_follows_from(&self, _span: &Id, _follows: &Id) {}
    fn enter(&self, _span: &Id) {}
    fn exit(&self, _span: &Id) {}
}

// Guards against a supervisor that panics unnoticed: its tasks were not started again, and the proxy went on
// without timers, in which no shutdown ends.
#[test]
#[should_panic(expected = "the supervisor cannot log")]
fn a_panic_of_the_supervisor_ends_the_proxy() {
    let _ = tracing::subscriber::with_default(PanickingLog, || run_with_fault(PanickingCall::SleepUntil));
}
