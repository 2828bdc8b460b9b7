//! Runs a script on real loopback sockets in real time, to compare the results with the virtual clock.
//! Proxies, backends and discovery run as groups of tasks within this OS process. Each group stands for one
//! process, and its tasks end together.
#![allow(clippy::disallowed_methods)] // implements a `Machine` whose tasks are aborted together

use crate::backend::{Backend, Degradation, SlowStart};
use crate::client::{Client, Outcome, ProxySelector};
use crate::discovery::{DiscoveryService, EndpointEntry, EndpointStore};
use crate::rng::stream;
use crate::run::{config_text, entry};
use crate::script::{Fault, Script};
use pierloom_host::{Host, Local, Machine, Micros, Signal, Signals, TcpListener, TcpStream};
use pierloom_proxy::{Components, SignalHandlers, config};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::{AbortHandle, LocalSet, spawn_local};

/// Time until discovery reports a restarted backend.
const RESTART_REPORT_DELAY_US: Micros = 500_000;
/// Time until discovery reports a crashed backend.
const CRASH_REPORT_DELAY_MS: u64 = 1_500;

/// A process on the real machine: tasks that end together, and the content of its config file.
struct Process {
    os_host: Host,
    config: Vec<u8>,
    tasks: RefCell<Vec<AbortHandle>>,
    /// Kept open but never used, as an OS signal would reach all processes of this run at once.
    signal_senders: RefCell<Vec<UnboundedSender<()>>>,
}

/// A handle that ends a process.
#[derive(Clone)]
struct KillHandle(Rc<Process>);

impl KillHandle {
    fn kill(&self) {
        self.0.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }
}

/// A process's view of the real machine.
struct RealMachine(Rc<Process>);

/// Creates a process with that config and returns its host and its kill handle.
fn process(config: &str) -> (Host, KillHandle) {
    let config = config.as_bytes().to_vec();
    let process = Rc::new(Process {
        os_host: Host::os(),
        config,
        tasks: RefCell::default(),
        signal_senders: RefCell::default(),
    });
    (Host::of(RealMachine(process.clone())), KillHandle(process))
}

impl Machine for RealMachine {
    fn now(&self) -> Micros {
        self.0.os_host.now()
    }

    fn sleep_until(&self, at: Micros) -> Local<'static, ()> {
        let os_host = self.0.os_host.clone();
        Box::pin(async move { os_host.sleep_until(at).await })
    }

    fn spawn(&self, task: Local<'static, ()>) {
        self.0.tasks.borrow_mut().retain(|task| !task.is_finished());
        let running = spawn_local(task);
        self.0.tasks.borrow_mut().push(running.abort_handle());
    }

    fn connect(&self, to: SocketAddr) -> Local<'static, io::Result<TcpStream>> {
        let os_host = self.0.os_host.clone();
        Box::pin(async move { os_host.connect(to).await })
    }

    fn listen(&self, at: SocketAddr, backlog: i32, reuse_port: bool) -> io::Result<TcpListener> {
        self.0.os_host.listen(at, backlog, reuse_port)
    }

    fn signals(&self, _: Signal) -> io::Result<Signals> {
        let (sender, arrivals) = unbounded_channel();
        self.0.signal_senders.borrow_mut().push(sender);
        Ok(Signals::from_channel(arrivals))
    }

    fn read_file(&self, _: &Path) -> io::Result<Vec<u8>> {
        Ok(self.0.config.clone())
    }

    fn env_var(&self, _: &str) -> Option<String> {
        None
    }

    fn reserve_descriptor(&self) -> Option<Box<dyn Any>> {
        self.0.os_host.reserve_descriptor()
    }
}

/// Result of a run on real sockets.
pub struct RealReport {
    /// Outcome of each client, in the order of the script.
    pub outcomes: Vec<Outcome>,
}

/// Finds a free loopback address by binding a listener to it and closing the listener again.
fn free_address(host: &Host) -> Result<SocketAddr, String> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Ok(host.listen(any, 1, false).map_err(|e| e.to_string())?.address())
}

/// Runs a script in real time. Supports the faults `Crash`, `Drain`, `Slow` and `LateReports`, and returns a
/// one-line error for any other.
pub fn run_script(script: &Script) -> Result<RealReport, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, run(script))
}

async fn run(script: &Script) -> Result<RealReport, String> {
    let os_host = Host::os();
    let load_report_delay = Rc::new(Cell::new(0));
    let addresses: Vec<SocketAddr> =
        script.backends.iter().map(|_| free_address(&os_host)).collect::<Result<_, _>>()?;
    let numbered_addresses = addresses.iter().enumerate();
    let entries =
        numbered_addresses.map(|(index, address)| entry(script, index, *address, "ready", None)).collect();
    let endpoint_store = EndpointStore::new(entries);
    let (host, _discovery) = process("");
    let listener = host.listen(free_address(&host)?, 64, false).map_err(|e| e.to_string())?;
    let discovery = listener.address();
    host.spawn(DiscoveryService::new(endpoint_store.clone(), host.clone()).serve(listener));
    let degradations: Vec<_> =
        script.backends.iter().map(|_| Degradation::none(load_report_delay.clone())).collect();
    let start_backend = {
        let (script, degradations, addresses) = (script.clone(), degradations.clone(), addresses.clone());
        move |index: usize, since: Option<Micros>| -> Option<(KillHandle, Rc<Backend>)> {
            let (host, kill) = process("");
            let slow_start = SlowStart {
                min_share: script.contract.slow_start_min_share,
                duration: script.contract.slow_start_ms * 1_000,
            };
            let rng = stream(
                script.order_seed,
                &format!("{} {}", script.backends[index].name, u64::from(since.is_some())),
            );
            let backend = Backend::new(
                script.backends[index].clone(),
                host.clone(),
                slow_start,
                since,
                degradations[index].clone(),
                rng,
            );
            let listener = host.listen(addresses[index], 1024, false).ok()?;
            host.spawn(backend.clone().serve(listener));
            Some((kill, backend))
        }
    };
    let backends: Vec<_> =
        (0..script.backends.len()).map(|index| RefCell::new(start_backend(index, None))).collect();
    let backends = Rc::new(backends);
    let proxy_selector = Rc::new(ProxySelector::default());
    let mut proxies = Vec::new();
    for (index, spec) in script.proxies.iter().enumerate() {
        let address = free_address(&os_host)?;
        let (host, kill) =
            process(&config_text(script, index, spec.seed, address, discovery, &endpoint_store.snapshot()));
        let config = config::read(&host, Path::new("config"))?;
        let components = Components::from_config(&config)?;
        let handlers = SignalHandlers::install(&host)?;
        let machine = host.clone();
        host.spawn(async move {
            // The result is ignored: the proxy runs until it is killed at the end of the run.
            let _ = pierloom_proxy::run(machine, handlers, config, components).await;
        });
        proxy_selector.proxies.borrow_mut().push((spec.zone, address, true));
        proxies.push(kill);
    }
    let start_time = os_host.now() + 300_000;
    let schedule = |ms: u64, action: Box<dyn FnOnce()>| {
        let host = os_host.clone();
        os_host.spawn(async move {
            host.sleep_until(start_time + ms * 1_000).await;
            action();
        });
    };
    for fault in &script.faults {
        let backend_index =
            |name: &str| script.backends.iter().position(|backend| backend.name == name).unwrap_or(0);
        match fault.clone() {
            Fault::Crash { node: backend, at_ms, until_ms } => {
                let index = backend_index(&backend);
                schedule_stop(&schedule, at_ms, index, &backends);
                let gone = entry(script, index, addresses[index], "gone", None);
                let store = endpoint_store.clone();
                schedule(at_ms + CRASH_REPORT_DELAY_MS, Box::new(move || store.publish(gone)));
                schedule_restart(
                    &schedule,
                    until_ms,
                    index,
                    &backends,
                    &start_backend,
                    (script, addresses[index], &endpoint_store),
                    &os_host,
                );
            }
            Fault::Drain { node: backend, at_ms, stop_ms, until_ms } => {
                let index = backend_index(&backend);
                let draining = entry(script, index, addresses[index], "draining", None);
                let (store, all_backends) = (endpoint_store.clone(), backends.clone());
                schedule(
                    at_ms,
                    Box::new(move || {
                        all_backends[index].borrow().iter().for_each(|(_, backend)| backend.drain());
                        store.publish(draining);
                    }),
                );
                schedule_stop(&schedule, stop_ms, index, &backends);
                let gone = entry(script, index, addresses[index], "gone", None);
                let store = endpoint_store.clone();
                schedule(stop_ms, Box::new(move || store.publish(gone)));
                schedule_restart(
                    &schedule,
                    until_ms,
                    index,
                    &backends,
                    &start_backend,
                    (script, addresses[index], &endpoint_store),
                    &os_host,
                );
            }
            Fault::Slow { node: backend, at_ms, until_ms, factor } => {
                let (at_start, at_end) = (
                    degradations[backend_index(&backend)].clone(),
                    degradations[backend_index(&backend)].clone(),
                );
                schedule(at_ms, Box::new(move || at_start.slowdown_factor.set(factor)));
                schedule(until_ms, Box::new(move || at_end.slowdown_factor.set(1.0)));
            }
            Fault::LateReports { at_ms, until_ms, by_ms } => {
                let (at_start, at_end) = (load_report_delay.clone(), load_report_delay.clone());
                schedule(at_ms, Box::new(move || at_start.set(by_ms * 1_000)));
                schedule(until_ms, Box::new(move || at_end.set(0)));
            }
            other => return Err(format!("fault is not supported on real sockets: {other:?}")),
        }
    }
    let mut client_tasks = Vec::new();
    let mut clients = Vec::new();
    for (index, spec) in script.clients.iter().enumerate() {
        let client = Rc::new(Client {
            spec: spec.clone(),
            index,
            host: os_host.clone(),
            proxy_selector: proxy_selector.clone(),
            rng: RefCell::new(stream(script.order_seed, &format!("submitter {}", spec.key))),
            deadline_ms: script.contract.deadline_ms,
            message_target: script.contract.message_ms * 1_000,
            outcome: RefCell::default(),
            attempt_count: Cell::new(0),
        });
        clients.push(client.clone());
        let host = os_host.clone();
        client_tasks.push(os_host.spawn(async move {
            host.sleep_until(start_time + client.spec.at_ms * 1_000).await;
            client.run().await;
        }));
    }
    for task in client_tasks {
        task.await;
    }
    proxies.iter().for_each(KillHandle::kill);
    backends.iter().for_each(|backend| backend.borrow().iter().for_each(|(kill, _)| kill.kill()));
    Ok(RealReport { outcomes: clients.iter().map(|client| client.outcome.borrow().clone()).collect() })
}

/// For each backend of the script, its process unless that has ended.
type Backends = Rc<Vec<RefCell<Option<(KillHandle, Rc<Backend>)>>>>;

/// Schedules the end of a backend's process.
fn schedule_stop(schedule: &impl Fn(u64, Box<dyn FnOnce()>), ms: u64, index: usize, backends: &Backends) {
    let backends = backends.clone();
    schedule(
        ms,
        Box::new(move || backends[index].borrow_mut().take().into_iter().for_each(|(kill, _)| kill.kill())),
    );
}

/// Schedules the restart of a backend under its name, in slow start; discovery reports it 0.5 s later.
fn schedule_restart(
    schedule: &impl Fn(u64, Box<dyn FnOnce()>),
    ms: Option<u64>,
    index: usize,
    backends: &Backends,
    start_backend: &(impl Fn(usize, Option<Micros>) -> Option<(KillHandle, Rc<Backend>)> + Clone + 'static),
    (script, address, endpoint_store): (&Script, SocketAddr, &Rc<EndpointStore>),
    host: &Host,
) {
    let Some(ms) = ms else { return };
    let (backends, start_backend, host, endpoint_store, script) =
        (backends.clone(), start_backend.clone(), host.clone(), endpoint_store.clone(), script.clone());
    schedule(
        ms,
        Box::new(move || {
            let now = host.now();
            *backends[index].borrow_mut() = start_backend(index, Some(now));
            let ready: EndpointEntry = entry(&script, index, address, "ready", Some(now));
            let timer_host = host.clone();
            host.spawn(async move {
                timer_host.sleep_until(now + RESTART_REPORT_DELAY_US).await;
                endpoint_store.publish(ready);
            });
        }),
    );
}
