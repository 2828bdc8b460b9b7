//! The same models on real loopback sockets and real time, to compare with the virtual clock. The proxies run in
//! this process on the real machine's host; a process is a set of tasks that end together.
#![allow(clippy::disallowed_methods)] // a machine of its own, whose tasks end together

use crate::discovery::{Book, Entry, Service};
use crate::node::{Node, Warming, Weather};
use crate::rng::stream;
use crate::run::{config_text, entry};
use crate::script::{Fault, Script};
use crate::submitter::{Front, Outcome, Submitter};
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
        script.nodes.iter().map(|_| free(&director)).collect::<Result<_, _>>()?;
    let entries = addresses.iter().enumerate();
    let entries = entries.map(|(i, address)| entry(script, i, *address, "ready", None)).collect();
    let book = Book::new(entries);
    let (host, _discovery) = process("");
    let listener = host.listen(free(&host)?, 64, false).map_err(|e| e.to_string())?;
    let discovery = listener.address();
    host.spawn(Service::new(book.clone(), host.clone()).serve(listener));
    let weather: Vec<_> = script.nodes.iter().map(|_| Weather::fair(late.clone())).collect();
    let start = {
        let (script, weather, addresses) = (script.clone(), weather.clone(), addresses.clone());
        move |index: usize, since: Option<Micros>| -> Option<(Kill, Rc<Node>)> {
            let (host, kill) = process("");
            let warming = Warming { from: script.contract.cold_from, time: script.contract.cold_ms * 1_000 };
            let rng =
                stream(script.order, &format!("{} {}", script.nodes[index].name, u64::from(since.is_some())));
            let node = Node::new(
                script.nodes[index].clone(),
                host.clone(),
                warming,
                since,
                weather[index].clone(),
                rng,
            );
            let listener = host.listen(addresses[index], 1024, false).ok()?;
            host.spawn(node.clone().serve(listener));
            Some((kill, node))
        }
    };
    let nodes: Vec<_> = (0..script.nodes.len()).map(|i| RefCell::new(start(i, None))).collect();
    let nodes = Rc::new(nodes);
    let front = Rc::new(Front::default());
    let mut proxies = Vec::new();
    for (index, spec) in script.proxies.iter().enumerate() {
        let address = free(&director)?;
        let (host, kill) = process(&config_text(script, index, spec.seed, address, discovery, &book.whole()));
        let config = config::read(&host, Path::new("config"))?;
        let parts = Components::from_config(&config)?;
        let handlers = SignalHandlers::install(&host)?;
        let machine = host.clone();
        host.spawn(async move {
            // It ends with the run.
            let _ = pierloom_proxy::run(machine, handlers, config, parts).await;
        });
        front.proxies.borrow_mut().push((spec.zone, address, true));
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
        let place = |name: &str| script.nodes.iter().position(|node| node.name == name).unwrap_or(0);
        match fault.clone() {
            Fault::Crash { node, at_ms, until_ms } => {
                let index = place(&node);
                stop(&at, at_ms, index, &nodes);
                let gone = entry(script, index, addresses[index], "gone", None);
                let tells = book.clone();
                at(at_ms + 1_500, Box::new(move || tells.tell(gone)));
                back(&at, until_ms, index, &nodes, &start, (script, addresses[index], &book), &director);
            }
            Fault::Drain { node, at_ms, stop_ms, until_ms } => {
                let index = place(&node);
                let told = entry(script, index, addresses[index], "draining", None);
                let (tells, all) = (book.clone(), nodes.clone());
                at(
                    at_ms,
                    Box::new(move || {
                        all[index].borrow().iter().for_each(|(_, node)| node.drain());
                        tells.tell(told);
                    }),
                );
                stop(&at, stop_ms, index, &nodes);
                let gone = entry(script, index, addresses[index], "gone", None);
                let tells = book.clone();
                at(stop_ms, Box::new(move || tells.tell(gone)));
                back(&at, until_ms, index, &nodes, &start, (script, addresses[index], &book), &director);
            }
            Fault::Slow { node, at_ms, until_ms, factor } => {
                let (one, two) = (weather[place(&node)].clone(), weather[place(&node)].clone());
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
    let mut submitters = Vec::new();
    for (index, spec) in script.submitters.iter().enumerate() {
        let submitter = Rc::new(Submitter {
            spec: spec.clone(),
            index,
            host: director.clone(),
            front: front.clone(),
            rng: RefCell::new(stream(script.order, &format!("submitter {}", spec.key))),
            deadline_ms: script.contract.deadline_ms,
            aim: script.contract.message_ms * 1_000,
            outcome: RefCell::default(),
            tries: Cell::new(0),
        });
        submitters.push(submitter.clone());
        let host = director.clone();
        lives.push(director.spawn(async move {
            host.sleep_until(begin + submitter.spec.at_ms * 1_000).await;
            submitter.live().await;
        }));
    }
    for life in lives {
        life.await;
    }
    proxies.iter().for_each(Kill::kill);
    nodes.iter().for_each(|node| node.borrow().iter().for_each(|(kill, _)| kill.kill()));
    Ok(RealReport { outcomes: submitters.iter().map(|s| s.outcome.borrow().clone()).collect() })
}

type Nodes = Rc<Vec<RefCell<Option<(Kill, Rc<Node>)>>>>;

/// An execute node's process ends at that time.
fn stop(at: &impl Fn(u64, Box<dyn FnOnce()>), ms: u64, index: usize, nodes: &Nodes) {
    let nodes = nodes.clone();
    at(ms, Box::new(move || nodes[index].borrow_mut().take().into_iter().for_each(|(kill, _)| kill.kill())));
}

/// It comes back cold under its name, and discovery tells of it a little later.
fn back(
    at: &impl Fn(u64, Box<dyn FnOnce()>),
    ms: Option<u64>,
    index: usize,
    nodes: &Nodes,
    start: &(impl Fn(usize, Option<Micros>) -> Option<(Kill, Rc<Node>)> + Clone + 'static),
    (script, address, book): (&Script, SocketAddr, &Rc<Book>),
    host: &Host,
) {
    let Some(ms) = ms else { return };
    let (nodes, start, host, book, script) =
        (nodes.clone(), start.clone(), host.clone(), book.clone(), script.clone());
    at(
        ms,
        Box::new(move || {
            let now = host.now();
            *nodes[index].borrow_mut() = start(index, Some(now));
            let told: Entry = entry(&script, index, address, "ready", Some(now));
            let later = host.clone();
            host.spawn(async move {
                later.sleep_until(now + 500_000).await;
                book.tell(told);
            });
        }),
    );
}
