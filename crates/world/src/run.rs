//! Plays a script: starts all parties on the virtual clock, brings the faults about, and asks the observer.

use crate::backend::{Backend, Degradation, SlowStart, capacity};
use crate::client::{Client, Outcome, ProxySelector};
use crate::discovery::{EndpointStore, Entry, Service};
use crate::lines::{Lines, within, write};
use crate::net::{InjectedDefect, LinkConditions, Net, ProcessOptions};
use crate::observer::{BackendState, Counts, Observer, Role, Rule, SlowStartRule, Trace, Violation};
use crate::rng::{Rng, stream};
use crate::script::{Fault, Script};
use crate::sim::{EPOCH, ProcessId, Sim};
use pierloom_host::{Host, Micros, Signal};
use pierloom_proxy::{Components, SignalHandlers, config};
use rand::Rng as _;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;

/// Names of the zones.
const ZONES: [&str; 3] = ["gent", "antwerpen", "luik"];
/// Mean life that turns a node's capacity into a rate of connections; seconds.
const LIFE: f64 = 15.0;
/// Where a proxy's config lies on its machine.
const CONFIG: &str = "/run/config.json";
/// After the last event of a run, what is under way has this long to end; microseconds.
const SETTLE: Micros = 12_000_000;
/// The front notices a planned stop after this; microseconds.
const STOP_SEEN: std::ops::Range<Micros> = 200_000..400_000;
/// It notices a dead proxy after this; microseconds.
const DEAD_SEEN: std::ops::Range<Micros> = 1_100_000..3_200_000;
/// Discovery tells of a process that died, of a machine that is silent, and of a new one after these.
const DEATH_TOLD: std::ops::Range<Micros> = 1_000_000..3_600_000;
/// Of a silent machine.
const SILENCE_TOLD: std::ops::Range<Micros> = 6_000_000..13_000_000;
/// Of one that came.
const START_TOLD: std::ops::Range<Micros> = 300_000..1_400_000;
/// The kill comes this long after the longest deadline, which counts as three seconds at most; microseconds.
const KILL_SLACK: Micros = 700_000;

/// Builds a proxy's parts from its config; the usual ones, or ones with a planted defect.
pub type ComponentFactory = Rc<dyn Fn(&config::Config) -> Result<Components, String>>;

/// What a run came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Broken rules.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// One hash of everything that crossed the sockets, with its times.
    pub digest: u64,
    /// What it held.
    pub counts: Counts,
    /// Polls of tasks, and events.
    pub work: (u64, u64),
    /// What came of each submitter.
    pub outcomes: Vec<Outcome>,
    /// Virtual time; microseconds.
    pub length: Micros,
    /// Everything that crossed the sockets, where it was asked for.
    #[serde(skip)]
    pub trace_lines: Vec<String>,
}

impl Report {
    /// Share of the time that usual submitters wanted in which they were served, times the share of lines that
    /// were answered in time.
    pub fn service(&self) -> f64 {
        service(&self.outcomes)
    }
}

/// Share of the time that usual submitters wanted in which they were served, times the share of lines that were
/// answered in time.
pub fn service(outcomes: &[Outcome]) -> f64 {
    let sum = |part: fn(&Outcome) -> f64| outcomes.iter().map(part).sum::<f64>();
    let (stood, wanted) = (sum(|o| o.stood as f64), sum(|o| o.wanted as f64));
    let (in_time, lines) = (sum(|o| f64::from(o.in_time)), sum(|o| f64::from(o.lines)));
    if wanted == 0.0 || lines == 0.0 { 0.0 } else { stood / wanted * in_time / lines }
}

/// How to play.
#[derive(Clone, Default)]
pub struct Options {
    /// What becomes of everything that crosses the sockets.
    pub trace: Trace,
    /// Builds the proxies; the usual way where there is none.
    pub build: Option<ComponentFactory>,
    /// Planted in the proxies' sockets and timers.
    pub injected_defect: Option<InjectedDefect>,
}

struct World {
    script: Script,
    sim: Rc<Sim>,
    endpoint_store: Rc<EndpointStore>,
    service: RefCell<Option<Rc<Service>>>,
    discovery: Cell<ProcessId>,
    /// Where discovery is now: moves with each reload.
    place: Cell<u8>,
    degradations: Vec<Rc<Degradation>>,
    late: Rc<Cell<Micros>>,
    backends: RefCell<Vec<(ProcessId, Rc<Backend>)>>,
    truths: RefCell<Vec<BackendState>>,
    proxy_selector: Rc<ProxySelector>,
    rng: RefCell<Rng>,
    build: ComponentFactory,
    injected_defect: Option<InjectedDefect>,
    starts: Cell<u64>,
    ended: RefCell<Vec<bool>>,
}

fn proxy_address(index: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, index as u8 + 1)), 7070)
}

fn backend_address(index: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 1, 0, index as u8 + 1)), 7070)
}

fn discovery_address(place: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 2, 0, place + 1)), 8500)
}

/// What discovery says of an execute node at that address.
pub(crate) fn entry(
    script: &Script,
    index: usize,
    address: SocketAddr,
    status: &'static str,
    since: Option<Micros>,
) -> Entry {
    let spec = &script.backends[index];
    Entry {
        name: spec.name.clone(),
        address: address.to_string(),
        zone: ZONES[spec.zone].into(),
        status,
        weight: f64::from(spec.cores),
        since_ms: since.map_or(0, |at| at / 1_000),
    }
}

/// The config of a proxy as the platform writes it.
pub(crate) fn config_text(
    script: &Script,
    index: usize,
    seed: u64,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
) -> String {
    let (spec, contract) = (&script.proxies[index], &script.contract);
    let seconds = |ms: u64| ms as f64 / 1e3;
    let settings = serde_json::json!({
        "balancers": script.proxies.len(),
        "zone": ZONES[spec.zone], "zones": ZONES, "membership-mode": "ask", "weights": "nominal",
        "bounds": {"max-attempts": 4, "connect-timeout": 0.2, "retry-after": true, "max-retry-after": 2.0,
                   "may-probe": true},
        "classes": [{"name": "status-feed", "target": seconds(contract.target_ms),
                     "deadline": seconds(contract.deadline_ms), "effect": "repeatable", "group": "all"}],
        "contract": {"ask-within": 10.0, "cold": seconds(contract.cold_ms), "cold-from": contract.cold_from,
                     "fall": seconds(contract.fall_ms), "fall-multiple": contract.fall_multiple},
        "family-info": {"groups": true, "message-aim": [seconds(contract.message_ms)]},
        "feedback": {"columns": ["x0", "latency_ms", "eps", "util"], "how": "probe"},
        "penalties": {"cross-zone": 0.08},
    });
    let sockets = spec.told_descriptors.unwrap_or(spec.descriptors);
    format!(
        r#"{{"name":"p{index}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}","limits":{{"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
    )
}

/// Plays a script to its end.
pub fn play(script: &Script, options: &Options) -> Report {
    let links = LinkConditions {
        same_zone_delay: script.links.same_us,
        cross_zone_delay: script.links.cross_us,
        jitter: script.links.jitter,
        window: script.links.window,
        partial: script.links.partial,
        lossy: script.links.lossy,
    };
    let contract = &script.contract;
    let cold = SlowStartRule {
        from: contract.cold_from,
        warm: contract.cold_ms * 1_000,
        multiple: contract.fall_multiple,
        fall: contract.fall_ms * 1_000,
    };
    let names: Vec<String> = script.backends.iter().map(|backend| backend.name.clone()).collect();
    let observer = Observer::new(script.proxies.len(), &names, cold, options.trace);
    let sim = Sim::new(script.order, Net::new(links, stream(script.order, "links")), observer);
    let entries = script.backends.iter().enumerate().map(|(i, backend)| Entry {
        name: backend.name.clone(),
        address: backend_address(i).to_string(),
        zone: ZONES[backend.zone].into(),
        status: "ready",
        weight: f64::from(backend.cores),
        since_ms: 0,
    });
    let late = Rc::new(Cell::new(0));
    let world = Rc::new(World {
        script: script.clone(),
        sim: sim.clone(),
        endpoint_store: EndpointStore::new(entries.collect()),
        service: RefCell::default(),
        discovery: Cell::new(0),
        place: Cell::new(0),
        degradations: names.iter().map(|_| Degradation::none(late.clone())).collect(),
        late,
        backends: RefCell::default(),
        truths: RefCell::new(vec![BackendState::default(); names.len()]),
        proxy_selector: Rc::default(),
        rng: RefCell::new(stream(script.order, "director")),
        build: options.build.clone().unwrap_or_else(|| Rc::new(Components::from_config)),
        injected_defect: options.injected_defect,
        starts: Cell::new(0),
        ended: RefCell::new(vec![false; script.proxies.len()]),
    });
    let panics = crate::panics::panic_count();
    crate::panics::set_simulating(true);
    world.start_discovery();
    (0..names.len()).for_each(|index| world.start_backend(index, None));
    for index in 0..script.proxies.len() {
        world.proxy_selector.proxies.borrow_mut().push((
            script.proxies[index].zone,
            proxy_address(index),
            false,
        ));
        world.start_proxy(index);
    }
    let clients = world.start_clients();
    script.faults.iter().for_each(|fault| world.clone().plan(fault));
    let end = EPOCH + script.length_ms * 1_000;
    let mut rested = sim.run_until(end);
    // All submitters end by their own lives; then everything comes to rest, and nothing may be left.
    let lives = clients.iter().map(|s| s.spec.at_ms + s.spec.life_ms).max().unwrap_or(0);
    let quiet = (EPOCH + lives * 1_000).max(end) + SETTLE;
    rested = rested && sim.run_until(quiet);
    if rested {
        world.look_for_leftovers();
        rested = world.stop_all(quiet);
    }
    if !rested {
        let at = sim.now() - EPOCH;
        sim.observer
            .borrow_mut()
            .report_violation(Rule::Restless, format!("no rest within the instant {at} us"));
    }
    let panics = crate::panics::panic_count() - panics;
    if panics > 0 {
        sim.observer
            .borrow_mut()
            .report_violation(Rule::Panic, format!("{panics} panics: {}", crate::panics::last_message()));
    }
    let report = {
        let observer = sim.observer.borrow();
        Report {
            violations: observer.violations.clone(),
            digest: observer.digest(),
            counts: observer.counts,
            work: sim.work(),
            outcomes: clients.iter().map(|s| s.outcome.borrow().clone()).collect(),
            length: sim.now() - EPOCH,
            trace_lines: observer.trace_lines.clone(),
        }
    };
    world.take_down();
    crate::panics::set_simulating(false);
    report
}

impl World {
    fn draw(&self, range: std::ops::Range<Micros>) -> Micros {
        self.rng.borrow_mut().random_range(range)
    }

    /// Does something at that time of the script.
    fn at(self: &Rc<Self>, ms: u64, what: impl FnOnce(&Rc<World>) + 'static) {
        let world = self.clone();
        self.sim.call(EPOCH + ms * 1_000, move || what(&world));
    }

    /// Does something after that long.
    fn after(self: &Rc<Self>, span: Micros, what: impl FnOnce(&Rc<World>) + 'static) {
        let world = self.clone();
        self.sim.call(self.sim.now() + span, move || what(&world));
    }

    fn start_discovery(self: &Rc<Self>) {
        let address = discovery_address(self.place.get());
        let (id, host) = self.sim.start(ProcessOptions::plain("discovery", 0, address.ip()));
        self.sim.observer.borrow_mut().register_process(id, Role::Discovery, "discovery");
        self.discovery.set(id);
        let service = Service::new(self.endpoint_store.clone(), host.clone());
        *self.service.borrow_mut() = Some(service.clone());
        if let Ok(listener) = host.listen(address, 64, false) {
            host.spawn(service.serve(listener));
        }
    }

    fn start_backend(self: &Rc<Self>, index: usize, cold_since: Option<Micros>) {
        let spec = &self.script.backends[index];
        let address = backend_address(index);
        let (id, host) = self.sim.start(ProcessOptions::plain(&spec.name, spec.zone, address.ip()));
        self.sim.observer.borrow_mut().register_process(id, Role::Backend(index), &spec.name);
        let contract = &self.script.contract;
        let slow_start = SlowStart { from: contract.cold_from, time: contract.cold_ms * 1_000 };
        let rng = stream(self.script.order, &format!("{} {}", spec.name, cold_since.unwrap_or(0)));
        let degradation = self.degradations[index].clone();
        let backend = Backend::new(spec.clone(), host.clone(), slow_start, cold_since, degradation, rng);
        if let Ok(listener) = host.listen(address, 1024, false) {
            host.spawn(backend.clone().serve(listener));
        }
        let mut backends = self.backends.borrow_mut();
        if index < backends.len() {
            backends[index] = (id, backend)
        } else {
            backends.push((id, backend))
        }
        drop(backends);
        self.truth(index, |truth| {
            *truth = BackendState { answers: true, cold_since, rate: capacity(spec) / LIFE };
        });
    }

    fn truth(&self, index: usize, change: impl FnOnce(&mut BackendState)) {
        let mut truths = self.truths.borrow_mut();
        change(&mut truths[index]);
        self.sim.observer.borrow_mut().backend(index, truths[index]);
    }

    fn entry(&self, index: usize, status: &'static str, since: Option<Micros>) -> Entry {
        entry(&self.script, index, backend_address(index), status, since)
    }

    fn config(&self, index: usize) -> String {
        // A start of its own draws numbers of its own.
        let seed = self.script.proxies[index].seed.wrapping_add(self.starts.replace(self.starts.get() + 1));
        let discovery = discovery_address(self.place.get());
        config_text(
            &self.script,
            index,
            seed,
            proxy_address(index),
            discovery,
            &self.endpoint_store.snapshot(),
        )
    }

    fn start_proxy(self: &Rc<Self>, index: usize) {
        let (spec, name) = (&self.script.proxies[index], format!("p{index}"));
        let address = proxy_address(index);
        let mut options = ProcessOptions::plain(&name, spec.zone, address.ip());
        options.descriptors = spec.descriptors;
        options.injected_defect = self.injected_defect;
        options.files.insert(CONFIG.into(), self.config(index).into_bytes());
        let (id, host) = self.sim.start(options);
        self.sim.observer.borrow_mut().register_process(id, Role::Proxy(index), &name);
        self.ended.borrow_mut()[index] = false;
        let read = config::read(&host, Path::new(CONFIG));
        let parts =
            read.and_then(|config| Ok((SignalHandlers::install(&host)?, (self.build)(&config)?, config)));
        let world = self.clone();
        let machine = host.clone();
        host.spawn(async move {
            let ended = match parts {
                Ok((handlers, parts, config)) => pierloom_proxy::run(machine, handlers, config, parts).await,
                Err(fault) => Err(fault),
            };
            world.after(0, move |world| world.proxy_ended(index, id, ended));
        });
        let world = self.clone();
        self.after(0, move |_| world.let_in(index, address));
    }

    /// The front takes a proxy in once it has answered.
    fn let_in(self: &Rc<Self>, index: usize, address: SocketAddr) {
        let (_, host) =
            self.sim.start(ProcessOptions::plain("front", 0, IpAddr::V4(Ipv4Addr::new(10, 3, 0, 1))));
        let (world, machine) = (self.clone(), host.clone());
        host.spawn(async move {
            for _ in 0..100 {
                let asked = async {
                    let mut lines = Lines::new(machine.connect(address).await.ok()?);
                    write(&lines.stream, b"PING\r\n").await.ok()?;
                    lines.next().await
                };
                let answer = within(&machine, machine.now() + 1_000_000, asked).await.flatten();
                if answer.as_deref() == Some("PONG") {
                    world.proxy_selector.proxies.borrow_mut()[index].2 = true;
                    return;
                }
                machine.sleep_until(machine.now() + 100_000).await;
            }
        });
    }

    fn proxy_ended(self: &Rc<Self>, index: usize, id: ProcessId, ended: Result<(), String>) {
        if self.sim.observer.borrow().process_of(index) != id || self.ended.borrow()[index] {
            return;
        }
        if let Err(fault) = ended {
            self.sim.observer.borrow_mut().report_violation(Rule::Exit, format!("proxy {index}: {fault}"));
        }
        self.sim.observer.borrow_mut().exited(index);
        self.ended.borrow_mut()[index] = true;
        self.sim.kill(id);
    }

    fn stop_proxy(self: &Rc<Self>, index: usize) {
        let id = self.sim.observer.borrow().process_of(index);
        if self.ended.borrow()[index] {
            return;
        }
        self.sim.observer.borrow_mut().stop_requested(index);
        self.sim.signal(id, Signal::Terminate);
        let seen = self.draw(STOP_SEEN);
        self.after(seen, move |world| world.proxy_selector.proxies.borrow_mut()[index].2 = false);
        let longest = (self.script.contract.deadline_ms * 1_000).min(3_000_000);
        self.after(longest + KILL_SLACK, move |world| {
            if world.sim.observer.borrow().process_of(index) == id && !world.ended.borrow()[index] {
                world.sim.observer.borrow_mut().exit_overdue(index);
                world.kill_proxy(index);
            }
        });
    }

    fn kill_proxy(self: &Rc<Self>, index: usize) {
        let id = self.sim.observer.borrow().process_of(index);
        self.ended.borrow_mut()[index] = true;
        self.sim.kill(id);
        let seen = self.draw(DEAD_SEEN);
        self.after(seen, move |world| {
            if world.ended.borrow()[index] {
                world.proxy_selector.proxies.borrow_mut()[index].2 = false;
            }
        });
    }

    fn start_clients(self: &Rc<Self>) -> Vec<Rc<Client>> {
        let mut clients = Vec::new();
        for (index, spec) in self.script.clients.iter().enumerate() {
            let address = IpAddr::V4(Ipv4Addr::new(10, 4, (index >> 8) as u8, index as u8));
            let name = format!("submitter {index}");
            let (id, host) = self.sim.start(ProcessOptions::plain(&name, spec.zone, address));
            let role = Role::Client { index, bad: spec.bad.is_some(), slow: spec.reads_ms.is_some() };
            self.sim.observer.borrow_mut().register_process(id, role, &name);
            let client = Rc::new(Client {
                spec: spec.clone(),
                index,
                host: host.clone(),
                proxy_selector: self.proxy_selector.clone(),
                // By its key, so that leaving others out of the script changes nothing here.
                rng: RefCell::new(stream(self.script.order, &format!("submitter {}", spec.key))),
                deadline_ms: self.script.contract.deadline_ms,
                aim: self.script.contract.message_ms * 1_000,
                outcome: RefCell::default(),
                tries: Cell::new(0),
            });
            let lives = client.clone();
            self.at(spec.at_ms, move |_| drop(host.spawn(lives.live())));
            clients.push(client);
        }
        clients
    }

    fn backend_index(&self, name: &str) -> usize {
        self.script.backends.iter().position(|backend| backend.name == name).unwrap_or_default()
    }

    /// The process of an execute node ends; discovery tells of it later, unless it did before.
    fn stop_backend(self: &Rc<Self>, index: usize, tell: bool) {
        let id = self.backends.borrow()[index].0;
        self.truth(index, |truth| truth.answers = false);
        self.sim.kill(id);
        if tell {
            let later = self.draw(DEATH_TOLD);
            self.after(later, move |world| {
                // It may be back by then, which was told already.
                if world.backends.borrow()[index].0 == id {
                    world.endpoint_store.publish(world.entry(index, "gone", None));
                }
            });
        }
    }

    /// It comes back cold under its name.
    fn restart_backend(self: &Rc<Self>, index: usize) {
        let now = self.sim.now();
        self.start_backend(index, Some(now));
        let id = self.backends.borrow()[index].0;
        let later = self.draw(START_TOLD);
        self.after(later, move |world| {
            if world.backends.borrow()[index].0 == id {
                world.endpoint_store.publish(world.entry(index, "ready", Some(now)));
            }
        });
    }

    fn plan(self: Rc<Self>, fault: &Fault) {
        match fault.clone() {
            Fault::Crash { node: backend, at_ms, until_ms } => {
                let index = self.backend_index(&backend);
                self.at(at_ms, move |world| world.stop_backend(index, true));
                if let Some(until) = until_ms {
                    self.at(until, move |world| world.restart_backend(index));
                }
            }
            Fault::Drain { node: backend, at_ms, stop_ms, until_ms } => {
                let index = self.backend_index(&backend);
                self.at(at_ms, move |world| {
                    let backend = world.backends.borrow()[index].1.clone();
                    backend.drain();
                    world.endpoint_store.publish(world.entry(index, "draining", None));
                });
                self.at(stop_ms, move |world| {
                    world.stop_backend(index, false);
                    world.endpoint_store.publish(world.entry(index, "gone", None));
                });
                if let Some(until) = until_ms {
                    self.at(until, move |world| world.restart_backend(index));
                }
            }
            Fault::Silence { node: backend, at_ms, until_ms, reset } => {
                let index = self.backend_index(&backend);
                self.at(at_ms, move |world| {
                    let id = world.backends.borrow()[index].0;
                    world.truth(index, |truth| truth.answers = false);
                    world.sim.partition(id);
                    let later = world.draw(SILENCE_TOLD);
                    world.after(later, move |world| {
                        if !world.truths.borrow()[index].answers {
                            world.endpoint_store.publish(world.entry(index, "gone", None));
                        }
                    });
                });
                self.at(until_ms, move |world| {
                    let id = world.backends.borrow()[index].0;
                    world.sim.heal(id, reset);
                    world.truth(index, |truth| truth.answers = true);
                    let later = world.draw(START_TOLD);
                    let since = world.truths.borrow()[index].cold_since;
                    world.after(later, move |world| {
                        world.endpoint_store.publish(world.entry(index, "ready", since))
                    });
                });
            }
            Fault::Slow { node: backend, at_ms, until_ms, factor } => {
                let index = self.backend_index(&backend);
                self.at(at_ms, move |world| world.degradations[index].slow.set(factor));
                self.at(until_ms, move |world| world.degradations[index].slow.set(1.0));
            }
            Fault::Neighbour { node: backend, at_ms, until_ms, share } => {
                let index = self.backend_index(&backend);
                self.at(at_ms, move |world| world.degradations[index].neighbour.set(share));
                self.at(until_ms, move |world| world.degradations[index].neighbour.set(0.0));
            }
            Fault::LateReports { at_ms, until_ms, by_ms } => {
                self.at(at_ms, move |world| world.late.set(by_ms * 1_000));
                self.at(until_ms, move |world| world.late.set(0));
            }
            Fault::DiscoveryLate { at_ms, until_ms, by_ms } => {
                self.at(at_ms, move |world| world.endpoint_store.late.set(by_ms * 1_000));
                self.at(until_ms, move |world| world.endpoint_store.late.set(0));
            }
            Fault::DiscoveryFails { at_ms, until_ms } => {
                self.at(at_ms, move |world| world.endpoint_store.failing.set(true));
                self.at(until_ms, move |world| world.endpoint_store.failing.set(false));
            }
            Fault::DiscoveryCut { at_ms, until_ms } => {
                self.at(at_ms, move |world| world.sim.partition(world.discovery.get()));
                self.at(until_ms, move |world| world.sim.heal(world.discovery.get(), true));
            }
            Fault::DiscoveryDown { at_ms, until_ms } => {
                self.at(at_ms, move |world| world.sim.kill(world.discovery.get()));
                self.at(until_ms, move |world| world.start_discovery());
            }
            Fault::Reload { at_ms } => self.at(at_ms, World::reload),
            Fault::BadReload { proxy, at_ms } => self.at(at_ms, move |world| {
                let id = world.sim.observer.borrow().process_of(proxy);
                let process = world.sim.net.borrow().process(id).clone();
                let good = process.files.borrow_mut().insert(CONFIG.into(), b"{\"name\":".to_vec());
                world.sim.signal(id, Signal::Hangup);
                world.after(300_000, move |_| {
                    good.into_iter()
                        .for_each(|good| drop(process.files.borrow_mut().insert(CONFIG.into(), good)));
                });
            }),
            Fault::Restart { proxy, at_ms, until_ms } => {
                self.at(at_ms, move |world| world.stop_proxy(proxy));
                self.at(until_ms, move |world| world.start_proxy(proxy));
            }
            Fault::Kill { proxy, at_ms, until_ms } => {
                self.at(at_ms, move |world| world.kill_proxy(proxy));
                self.at(until_ms, move |world| world.start_proxy(proxy));
            }
        }
    }

    /// Discovery moves to another address, and all proxies are told by their configs.
    fn reload(self: &Rc<Self>) {
        self.place.set(self.place.get() + 1);
        if let Some(old) = self.service.borrow_mut().take() {
            old.move_away();
        }
        self.start_discovery();
        for index in 0..self.script.proxies.len() {
            if self.ended.borrow()[index] {
                continue;
            }
            let id = self.sim.observer.borrow().process_of(index);
            let process = self.sim.net.borrow().process(id).clone();
            process.files.borrow_mut().insert(CONFIG.into(), self.config(index).into_bytes());
            self.sim.observer.borrow_mut().reload_requested(index);
            self.sim.signal(id, Signal::Hangup);
        }
    }

    /// At rest, a proxy holds what it held before the first submitter came, and no connection of one.
    fn look_for_leftovers(&self) {
        for index in 0..self.script.proxies.len() {
            if self.ended.borrow()[index] {
                continue;
            }
            let id = self.sim.observer.borrow().process_of(index);
            let held = self.sim.observer.borrow().still_held(index);
            let (tasks, descriptors) = (self.sim.tasks_of(id), self.sim.descriptors_of(id));
            // Listener, spare, discovery, one kept connection for probes of each execute node and one on its way.
            let most = 4 + 2 * self.script.backends.len();
            // The proxy itself, six tasks that last, the connection to discovery, and probes on their way.
            let most_tasks = 10 + self.script.backends.len();
            let mut observer = self.sim.observer.borrow_mut();
            if held > 0 {
                observer.report_violation(
                    Rule::LeftOver,
                    format!("proxy {index} holds {held} connections of the departed"),
                );
            }
            if descriptors > most {
                observer.report_violation(
                    Rule::LeftOver,
                    format!("proxy {index} holds {descriptors} descriptors at rest"),
                );
            }
            if tasks > most_tasks {
                observer.report_violation(Rule::LeftOver, format!("proxy {index} has {tasks} tasks at rest"));
            }
        }
    }

    /// Stops every proxy as planned; one that has nothing left to do ends before the last moment.
    fn stop_all(self: &Rc<Self>, now: Micros) -> bool {
        for index in 0..self.script.proxies.len() {
            self.stop_proxy(index);
        }
        let longest = (self.script.contract.deadline_ms * 1_000).min(3_000_000);
        // A seat that nobody left keeps a proxy until shortly before the kill.
        let rested = self.sim.run_until(now + longest + KILL_SLACK - 400_000);
        for index in 0..self.script.proxies.len() {
            if !self.ended.borrow()[index] {
                let what = format!("proxy {index} waits for jobs that are not there");
                self.sim.observer.borrow_mut().report_violation(Rule::LeftOver, what);
            }
        }
        rested && self.sim.run_until(now + longest + KILL_SLACK + 100_000)
    }

    /// Ends all processes, so that nothing keeps this world alive.
    fn take_down(&self) {
        let all = self.sim.processes();
        (0..all).for_each(|id| self.sim.kill(id));
        self.sim.clear();
        self.backends.borrow_mut().clear();
        self.service.borrow_mut().take();
    }
}

/// The host of a world of its own, to try something small on a virtual clock.
pub fn single_process(seed: u64) -> (Rc<Sim>, Host) {
    let links = LinkConditions {
        same_zone_delay: 100,
        cross_zone_delay: 1_000,
        jitter: 0.0,
        window: 65_536,
        partial: 0.0,
        lossy: 0.0,
    };
    let cold = SlowStartRule { from: 0.3, warm: 9_000_000, multiple: 4.0, fall: 1_500_000 };
    let observer = Observer::new(0, &[], cold, Trace::None);
    let sim = Sim::new(seed, Net::new(links, stream(seed, "links")), observer);
    let (_, host) = sim.start(ProcessOptions::plain("alone", 0, IpAddr::V4(Ipv4Addr::new(10, 9, 0, 1))));
    (sim, host)
}
