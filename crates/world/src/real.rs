//! The same models on real loopback sockets and real time, to compare with the virtual clock. The proxies run in
//! this process on the real machine's host; a process is a set of tasks that end together.
#![allow(clippy::disallowed_methods)] // a machine of its own, whose tasks end together

use crate::backend::{Backend, Degradation, SlowStart};
use crate::client::{Client, Outcome, ProxySelector};
use crate::discovery::{EndpointStore, Entry, Service};
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

/// A process on the real machine: its tasks end together, and a file of its own stands for its config.
struct Process {
    os: Host,
    config: Vec<u8>,
    tasks: RefCell<Vec<AbortHandle>>,
    /// Signals would go to all processes of this world at once: none is ever sent.
    signals: RefCell<Vec<UnboundedSender<()>>>,
}

/// Ends a process.
#[derive(Clone)]
struct Kill(Rc<Process>);

impl Kill {
    fn kill(&self) {
        self.0.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }
}

struct Real(Rc<Process>);

/// A process with that config, and what ends it.
fn process(config: &str) -> (Host, Kill) {
    let config = config.as_bytes().to_vec();
    let process =
        Rc::new(Process { os: Host::os(), config, tasks: RefCell::default(), signals: RefCell::default() });
    (Host::of(Real(process.clone())), Kill(process))
}

impl Machine for Real {
    fn now(&self) -> Micros {
        self.0.os.now()
    }

    fn sleep_until(&self, at: Micros) -> Local<'static, ()> {
        let os = self.0.os.clone();
        Box::pin(async move { os.sleep_until(at).await })
    }

    fn spawn(&self, task: Local<'static, ()>) {
        self.0.tasks.borrow_mut().retain(|task| !task.is_finished());
        let running = spawn_local(task);
        self.0.tasks.borrow_mut().push(running.abort_handle());
    }

    fn connect(&self, to: SocketAddr) -> Local<'static, io::Result<TcpStream>> {
        let os = self.0.os.clone();
        Box::pin(async move { os.connect(to).await })
    }

    fn listen(&self, at: SocketAddr, backlog: i32, beside: bool) -> io::Result<TcpListener> {
        self.0.os.listen(at, backlog, beside)
    }

    fn signals(&self, _: Signal) -> io::Result<Signals> {
        let (sender, arrivals) = unbounded_channel();
        self.0.signals.borrow_mut().push(sender);
        Ok(Signals::from_channel(arrivals))
    }

    fn read_file(&self, _: &Path) -> io::Result<Vec<u8>> {
        Ok(self.0.config.clone())
    }

    fn env_var(&self, _: &str) -> Option<String> {
        None
    }

    fn reserve_descriptor(&self) -> Option<Box<dyn Any>> {
        self.0.os.reserve_descriptor()
    }
}

/// What a script came to on real sockets.
pub struct RealReport {
    /// What came of each submitter.
    pub outcomes: Vec<Outcome>,
}

/// A free loopback address: the listener that found it is closed again.
fn free(host: &Host) -> Result<SocketAddr, String> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Ok(host.listen(any, 1, false).map_err(|e| e.to_string())?.address())
}

/// Plays a script in real time. Of the faults it knows crashes, drains, slowness and late reports; with any
/// other it is refused, in one line.
pub fn play(script: &Script) -> Result<RealReport, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, run(script))
}

async fn run(script: &Script) -> Result<RealReport, String> {
    let director = Host::os();
    let late = Rc::new(Cell::new(0));
    let addresses: Vec<SocketAddr> =
        script.backends.iter().map(|_| free(&director)).collect::<Result<_, _>>()?;
    let entries = addresses.iter().enumerate();
    let entries = entries.map(|(i, address)| entry(script, i, *address, "ready", None)).collect();
    let endpoint_store = EndpointStore::new(entries);
    let (host, _discovery) = process("");
    let listener = host.listen(free(&host)?, 64, false).map_err(|e| e.to_string())?;
    let discovery = listener.address();
    host.spawn(Service::new(endpoint_store.clone(), host.clone()).serve(listener));
    let degradations: Vec<_> = script.backends.iter().map(|_| Degradation::none(late.clone())).collect();
    let start = {
        let (script, degradations, addresses) = (script.clone(), degradations.clone(), addresses.clone());
        move |index: usize, since: Option<Micros>| -> Option<(Kill, Rc<Backend>)> {
            let (host, kill) = process("");
            let slow_start =
                SlowStart { from: script.contract.cold_from, time: script.contract.cold_ms * 1_000 };
            let rng = stream(
                script.order,
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
    let backends: Vec<_> = (0..script.backends.len()).map(|i| RefCell::new(start(i, None))).collect();
    let backends = Rc::new(backends);
    let proxy_selector = Rc::new(ProxySelector::default());
    let mut proxies = Vec::new();
    for (index, spec) in script.proxies.iter().enumerate() {
        let address = free(&director)?;
        let (host, kill) =
            process(&config_text(script, index, spec.seed, address, discovery, &endpoint_store.snapshot()));
        let config = config::read(&host, Path::new("config"))?;
        let parts = Components::from_config(&config)?;
        let handlers = SignalHandlers::install(&host)?;
        let machine = host.clone();
        host.spawn(async move {
            // It ends with the run.
            let _ = pierloom_proxy::run(machine, handlers, config, parts).await;
        });
        proxy_selector.proxies.borrow_mut().push((spec.zone, address, true));
        proxies.push(kill);
    }
    let begin = director.now() + 300_000;
    let at = |ms: u64, what: Box<dyn FnOnce()>| {
        let host = director.clone();
        director.spawn(async move {
            host.sleep_until(begin + ms * 1_000).await;
            what();
        });
    };
    for fault in &script.faults {
        let place = |name: &str| script.backends.iter().position(|backend| backend.name == name).unwrap_or(0);
        match fault.clone() {
            Fault::Crash { node: backend, at_ms, until_ms } => {
                let index = place(&backend);
                stop(&at, at_ms, index, &backends);
                let gone = entry(script, index, addresses[index], "gone", None);
                let tells = endpoint_store.clone();
                at(at_ms + 1_500, Box::new(move || tells.publish(gone)));
                back(
                    &at,
                    until_ms,
                    index,
                    &backends,
                    &start,
                    (script, addresses[index], &endpoint_store),
                    &director,
                );
            }
            Fault::Drain { node: backend, at_ms, stop_ms, until_ms } => {
                let index = place(&backend);
                let told = entry(script, index, addresses[index], "draining", None);
                let (tells, all) = (endpoint_store.clone(), backends.clone());
                at(
                    at_ms,
                    Box::new(move || {
                        all[index].borrow().iter().for_each(|(_, backend)| backend.drain());
                        tells.publish(told);
                    }),
                );
                stop(&at, stop_ms, index, &backends);
                let gone = entry(script, index, addresses[index], "gone", None);
                let tells = endpoint_store.clone();
                at(stop_ms, Box::new(move || tells.publish(gone)));
                back(
                    &at,
                    until_ms,
                    index,
                    &backends,
                    &start,
                    (script, addresses[index], &endpoint_store),
                    &director,
                );
            }
            Fault::Slow { node: backend, at_ms, until_ms, factor } => {
                let (one, two) =
                    (degradations[place(&backend)].clone(), degradations[place(&backend)].clone());
                at(at_ms, Box::new(move || one.slow.set(factor)));
                at(until_ms, Box::new(move || two.slow.set(1.0)));
            }
            Fault::LateReports { at_ms, until_ms, by_ms } => {
                let (one, two) = (late.clone(), late.clone());
                at(at_ms, Box::new(move || one.set(by_ms * 1_000)));
                at(until_ms, Box::new(move || two.set(0)));
            }
            other => return Err(format!("not on real sockets: {other:?}")),
        }
    }
    let mut lives = Vec::new();
    let mut clients = Vec::new();
    for (index, spec) in script.clients.iter().enumerate() {
        let client = Rc::new(Client {
            spec: spec.clone(),
            index,
            host: director.clone(),
            proxy_selector: proxy_selector.clone(),
            rng: RefCell::new(stream(script.order, &format!("submitter {}", spec.key))),
            deadline_ms: script.contract.deadline_ms,
            aim: script.contract.message_ms * 1_000,
            outcome: RefCell::default(),
            tries: Cell::new(0),
        });
        clients.push(client.clone());
        let host = director.clone();
        lives.push(director.spawn(async move {
            host.sleep_until(begin + client.spec.at_ms * 1_000).await;
            client.live().await;
        }));
    }
    for life in lives {
        life.await;
    }
    proxies.iter().for_each(Kill::kill);
    backends.iter().for_each(|backend| backend.borrow().iter().for_each(|(kill, _)| kill.kill()));
    Ok(RealReport { outcomes: clients.iter().map(|s| s.outcome.borrow().clone()).collect() })
}

type Backends = Rc<Vec<RefCell<Option<(Kill, Rc<Backend>)>>>>;

/// An execute node's process ends at that time.
fn stop(at: &impl Fn(u64, Box<dyn FnOnce()>), ms: u64, index: usize, backends: &Backends) {
    let backends = backends.clone();
    at(
        ms,
        Box::new(move || backends[index].borrow_mut().take().into_iter().for_each(|(kill, _)| kill.kill())),
    );
}

/// It comes back cold under its name, and discovery tells of it a little later.
fn back(
    at: &impl Fn(u64, Box<dyn FnOnce()>),
    ms: Option<u64>,
    index: usize,
    backends: &Backends,
    start: &(impl Fn(usize, Option<Micros>) -> Option<(Kill, Rc<Backend>)> + Clone + 'static),
    (script, address, endpoint_store): (&Script, SocketAddr, &Rc<EndpointStore>),
    host: &Host,
) {
    let Some(ms) = ms else { return };
    let (backends, start, host, endpoint_store, script) =
        (backends.clone(), start.clone(), host.clone(), endpoint_store.clone(), script.clone());
    at(
        ms,
        Box::new(move || {
            let now = host.now();
            *backends[index].borrow_mut() = start(index, Some(now));
            let told: Entry = entry(&script, index, address, "ready", Some(now));
            let later = host.clone();
            host.spawn(async move {
                later.sleep_until(now + 500_000).await;
                endpoint_store.publish(told);
            });
        }),
    );
}
