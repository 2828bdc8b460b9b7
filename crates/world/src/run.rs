//! Runs a script in simulation: starts all processes on the virtual clock, injects the faults, and collects
//! the observer's findings.

use crate::backend::{Backend, Degradation, SlowStart, capacity};
use crate::client::{Client, Outcome, ProxySelector};
use crate::discovery::{DiscoveryService, EndpointEntry, EndpointStore};
use crate::lines::{LineReader, with_deadline, write_all};
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

/// Names of the zones, by zone number.
const ZONE_NAMES: [&str; 3] = ["gent", "antwerpen", "luik"];
/// Mean lifetime of a connection, which turns a backend's capacity into a rate of connections.
const MEAN_LIFETIME_SECONDS: f64 = 15.0;
/// Path of a proxy's config file on its machine.
const CONFIG_PATH: &str = "/run/config.json";
/// Time after the end of the script and of the last client, within which requests and connections in
/// progress must end and the proxies must become idle.
const SETTLE_TIME_US: Micros = 12_000_000;
/// Time until clients' proxy selection notices a planned stop of a proxy.
const STOP_DETECTION_US: std::ops::Range<Micros> = 200_000..400_000;
/// Time until clients' proxy selection notices a killed proxy.
const KILL_DETECTION_US: std::ops::Range<Micros> = 1_100_000..3_200_000;
/// Time until discovery reports a backend whose process died.
const CRASH_REPORT_DELAY_US: std::ops::Range<Micros> = 1_000_000..3_600_000;
/// Time until discovery reports a backend whose machine is partitioned.
const PARTITION_REPORT_DELAY_US: std::ops::Range<Micros> = 6_000_000..13_000_000;
/// Time until discovery reports a backend that started or is reachable again.
const START_REPORT_DELAY_US: std::ops::Range<Micros> = 300_000..1_400_000;
/// A stopping proxy is killed this long after the longest deadline, or after `MAX_STOP_DEADLINE_US` if that
/// is shorter.
const KILL_DELAY_AFTER_DEADLINE_US: Micros = 700_000;
/// Longest deadline that a planned stop waits for.
const MAX_STOP_DEADLINE_US: Micros = 3_000_000;

/// Builds a proxy's components from its config, either the real ones or ones with an injected defect.
pub type ComponentFactory = Rc<dyn Fn(&config::Config) -> Result<Components, String>>;

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Violations of the rules.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Hash of all network events and their times.
    pub digest: u64,
    /// Counts of connections, requests and events.
    pub counts: Counts,
    /// Numbers of task polls and of events.
    #[serde(rename = "work")]
    pub task_counts: (u64, u64),
    /// Outcome of each client, in the order of the script.
    pub outcomes: Vec<Outcome>,
    /// Virtual length of the run; microseconds.
    pub length: Micros,
    /// All network events as text, if the options ask for them.
    #[serde(skip)]
    pub trace_lines: Vec<String>,
}

impl Report {
    /// Quality of service for well-behaved clients; see `service_quality`.
    pub fn service_quality(&self) -> f64 {
        service_quality(&self.outcomes)
    }
}

/// Quality of service for well-behaved clients: the share of their wanted connection time in which they were
/// served, times the share of their lines that were answered in time.
pub fn service_quality(outcomes: &[Outcome]) -> f64 {
    let sum = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>();
    let (connected_time, wanted_time) = (sum(|o| o.connected_time as f64), sum(|o| o.wanted_time as f64));
    let (in_time, lines) = (sum(|o| f64::from(o.in_time)), sum(|o| f64::from(o.lines)));
    if wanted_time == 0.0 || lines == 0.0 { 0.0 } else { connected_time / wanted_time * in_time / lines }
}

/// Options of a run.
#[derive(Clone, Default)]
pub struct Options {
    /// What happens to the trace of network events.
    pub trace: Trace,
    /// Builds the proxies' components; `Components::from_config` if `None`.
    pub component_factory: Option<ComponentFactory>,
    /// Defect injected into the proxies' sockets and timers.
    pub injected_defect: Option<InjectedDefect>,
}

/// A script in progress.
struct World {
    script: Script,
    sim: Rc<Sim>,
    endpoint_store: Rc<EndpointStore>,
    discovery_service: RefCell<Option<Rc<DiscoveryService>>>,
    discovery_process: Cell<ProcessId>,
    /// Index of discovery's current address; each reload moves discovery to the next one.
    discovery_index: Cell<u8>,
    degradations: Vec<Rc<Degradation>>,
    /// Delay of all backends' load reports, shared with their degradations.
    load_report_delay: Rc<Cell<Micros>>,
    backends: RefCell<Vec<(ProcessId, Rc<Backend>)>>,
    backend_states: RefCell<Vec<BackendState>>,
    proxy_selector: Rc<ProxySelector>,
    rng: RefCell<Rng>,
    component_factory: ComponentFactory,
    injected_defect: Option<InjectedDefect>,
    /// Number of proxy starts so far.
    proxy_starts: Cell<u64>,
    /// For each proxy, whether its process has ended.
    ended: RefCell<Vec<bool>>,
}

fn proxy_address(index: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, index as u8 + 1)), 7070)
}

fn backend_address(index: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 1, 0, index as u8 + 1)), 7070)
}

fn discovery_address(index: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 2, 0, index + 1)), 8500)
}

/// Discovery's entry for a backend at that address.
pub(crate) fn entry(
    script: &Script,
    index: usize,
    address: SocketAddr,
    status: &'static str,
    since: Option<Micros>,
) -> EndpointEntry {
    let spec = &script.backends[index];
    EndpointEntry {
        name: spec.name.clone(),
        address: address.to_string(),
        zone: ZONE_NAMES[spec.zone].into(),
        status,
        weight: f64::from(spec.cores),
        since_ms: since.map_or(0, |at| at / 1_000),
    }
}

/// Text of a proxy's config file.
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
        "zone": ZONE_NAMES[spec.zone], "zones": ZONE_NAMES, "membership-mode": "ask", "weights": "nominal",
        "bounds": {"max-attempts": 4, "connect-timeout": 0.2, "retry-after": true, "max-retry-after": 2.0,
                   "may-probe": true},
        "classes": [{"name": "status-feed", "target": seconds(contract.target_ms),
                     "deadline": seconds(contract.deadline_ms), "effect": "repeatable", "group": "all"}],
        "contract": {"ask-within": 10.0, "cold": seconds(contract.slow_start_ms),
                     "cold-from": contract.slow_start_min_share,
                     "fall": seconds(contract.overload_window_ms),
                     "fall-multiple": contract.overload_multiple},
        "family-info": {"groups": true, "message-aim": [seconds(contract.message_ms)]},
        "feedback": {"columns": ["x0", "latency_ms", "eps", "util"], "how": "probe"},
        "penalties": {"cross-zone": 0.08},
    });
    let sockets = spec.configured_descriptors.unwrap_or(spec.descriptors);
    format!(
        r#"{{"name":"p{index}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}","limits":{{"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
    )
}

/// Runs a script to its end.
pub fn run_script(script: &Script, options: &Options) -> Report {
    let links = LinkConditions {
        same_zone_delay_us: script.links.same_us,
        cross_zone_delay_us: script.links.cross_us,
        jitter: script.links.jitter,
        window_bytes: script.links.window,
        partial_transfer_share: script.links.partial,
        overtaking_reset_share: script.links.lossy,
    };
    let contract = &script.contract;
    let slow_start_rule = SlowStartRule {
        min_share: contract.slow_start_min_share,
        duration: contract.slow_start_ms * 1_000,
        overload_multiple: contract.overload_multiple,
        overload_window: contract.overload_window_ms * 1_000,
    };
    let names: Vec<String> = script.backends.iter().map(|backend| backend.name.clone()).collect();
    let observer = Observer::new(script.proxies.len(), &names, slow_start_rule, options.trace);
    let sim = Sim::new(script.order_seed, Net::new(links, stream(script.order_seed, "links")), observer);
    let entries = script.backends.iter().enumerate().map(|(i, backend)| EndpointEntry {
        name: backend.name.clone(),
        address: backend_address(i).to_string(),
        zone: ZONE_NAMES[backend.zone].into(),
        status: "ready",
        weight: f64::from(backend.cores),
        since_ms: 0,
    });
    let load_report_delay = Rc::new(Cell::new(0));
    let world = Rc::new(World {
        script: script.clone(),
        sim: sim.clone(),
        endpoint_store: EndpointStore::new(entries.collect()),
        discovery_service: RefCell::default(),
        discovery_process: Cell::new(0),
        discovery_index: Cell::new(0),
        degradations: names.iter().map(|_| Degradation::none(load_report_delay.clone())).collect(),
        load_report_delay,
        backends: RefCell::default(),
        backend_states: RefCell::new(vec![BackendState::default(); names.len()]),
        proxy_selector: Rc::default(),
        rng: RefCell::new(stream(script.order_seed, "director")),
        component_factory: options
            .component_factory
            .clone()
            .unwrap_or_else(|| Rc::new(Components::from_config)),
        injected_defect: options.injected_defect,
        proxy_starts: Cell::new(0),
        ended: RefCell::new(vec![false; script.proxies.len()]),
    });
    let panics_before = crate::panics::panic_count();
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
    script.faults.iter().for_each(|fault| world.clone().schedule_fault(fault));
    let end = EPOCH + script.length_ms * 1_000;
    let mut became_idle = sim.run_until(end);
    // All clients end by themselves. After that the proxies become idle and must hold nothing any more.
    let last_client_end_ms =
        clients.iter().map(|client| client.spec.at_ms + client.spec.life_ms).max().unwrap_or(0);
    let idle_at = (EPOCH + last_client_end_ms * 1_000).max(end) + SETTLE_TIME_US;
    became_idle = became_idle && sim.run_until(idle_at);
    if became_idle {
        world.check_leftovers();
        became_idle = world.stop_all(idle_at);
    }
    if !became_idle {
        let at = sim.now() - EPOCH;
        sim.observer
            .borrow_mut()
            .report_violation(Rule::Restless, format!("tasks never become idle within the instant {at} us"));
    }
    let panics = crate::panics::panic_count() - panics_before;
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
            task_counts: sim.task_counts(),
            outcomes: clients.iter().map(|client| client.outcome.borrow().clone()).collect(),
            length: sim.now() - EPOCH,
            trace_lines: observer.trace_lines.clone(),
        }
    };
    world.shut_down();
    crate::panics::set_simulating(false);
    report
}

impl World {
    /// Draws a random time from a range.
    fn draw(&self, range: std::ops::Range<Micros>) -> Micros {
        self.rng.borrow_mut().random_range(range)
    }

    /// Schedules `action` for that time of the script.
    fn at(self: &Rc<Self>, ms: u64, action: impl FnOnce(&Rc<World>) + 'static) {
        let world = self.clone();
        self.sim.schedule_call(EPOCH + ms * 1_000, move || action(&world));
    }

    /// Schedules `action` after a delay.
    fn after(self: &Rc<Self>, delay: Micros, action: impl FnOnce(&Rc<World>) + 'static) {
        let world = self.clone();
        self.sim.schedule_call(self.sim.now() + delay, move || action(&world));
    }

    fn start_discovery(self: &Rc<Self>) {
        let address = discovery_address(self.discovery_index.get());
        let (id, host) = self.sim.start(ProcessOptions::plain("discovery", 0, address.ip()));
        self.sim.observer.borrow_mut().register_process(id, Role::Discovery, "discovery");
        self.discovery_process.set(id);
        let service = DiscoveryService::new(self.endpoint_store.clone(), host.clone());
        *self.discovery_service.borrow_mut() = Some(service.clone());
        if let Ok(listener) = host.listen(address, 64, false) {
            host.spawn(service.serve(listener));
        }
    }

    fn start_backend(self: &Rc<Self>, index: usize, slow_start_since: Option<Micros>) {
        let spec = &self.script.backends[index];
        let address = backend_address(index);
        let (id, host) = self.sim.start(ProcessOptions::plain(&spec.name, spec.zone, address.ip()));
        self.sim.observer.borrow_mut().register_process(id, Role::Backend(index), &spec.name);
        let contract = &self.script.contract;
        let slow_start =
            SlowStart { min_share: contract.slow_start_min_share, duration: contract.slow_start_ms * 1_000 };
        let rng = stream(self.script.order_seed, &format!("{} {}", spec.name, slow_start_since.unwrap_or(0)));
        let degradation = self.degradations[index].clone();
        let backend =
            Backend::new(spec.clone(), host.clone(), slow_start, slow_start_since, degradation, rng);
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
        self.update_backend_state(index, |state| {
            *state = BackendState {
                reachable: true,
                slow_start_since,
                connections_per_second: capacity(spec) / MEAN_LIFETIME_SECONDS,
            };
        });
    }

    /// Changes what the observer knows of a backend's state.
    fn update_backend_state(&self, index: usize, change: impl FnOnce(&mut BackendState)) {
        let mut states = self.backend_states.borrow_mut();
        change(&mut states[index]);
        self.sim.observer.borrow_mut().set_backend_state(index, states[index]);
    }

    fn entry(&self, index: usize, status: &'static str, since: Option<Micros>) -> EndpointEntry {
        entry(&self.script, index, backend_address(index), status, since)
    }

    fn config(&self, index: usize) -> String {
        // Each start of a proxy gets its own seed.
        let seed = self.script.proxies[index]
            .seed
            .wrapping_add(self.proxy_starts.replace(self.proxy_starts.get() + 1));
        let discovery = discovery_address(self.discovery_index.get());
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
        options.max_descriptors = spec.descriptors;
        options.injected_defect = self.injected_defect;
        options.files.insert(CONFIG_PATH.into(), self.config(index).into_bytes());
        let (id, host) = self.sim.start(options);
        self.sim.observer.borrow_mut().register_process(id, Role::Proxy(index), &name);
        self.ended.borrow_mut()[index] = false;
        let config = config::read(&host, Path::new(CONFIG_PATH));
        let components = config.and_then(|config| {
            Ok((SignalHandlers::install(&host)?, (self.component_factory)(&config)?, config))
        });
        let world = self.clone();
        let machine = host.clone();
        host.spawn(async move {
            let result = match components {
                Ok((handlers, components, config)) => {
                    pierloom_proxy::run(machine, handlers, config, components).await
                }
                Err(error) => Err(error),
            };
            world.after(0, move |world| world.proxy_ended(index, id, result));
        });
        let world = self.clone();
        self.after(0, move |_| world.enable_when_answering(index, address));
    }

    /// Lets clients select a proxy once it answers a PING.
    fn enable_when_answering(self: &Rc<Self>, index: usize, address: SocketAddr) {
        let (_, host) =
            self.sim.start(ProcessOptions::plain("front", 0, IpAddr::V4(Ipv4Addr::new(10, 3, 0, 1))));
        let (world, machine) = (self.clone(), host.clone());
        host.spawn(async move {
            for _ in 0..100 {
                let ping = async {
                    let mut lines = LineReader::new(machine.connect(address).await.ok()?);
                    write_all(&lines.stream, b"PING\r\n").await.ok()?;
                    lines.next_line().await
                };
                let answer = with_deadline(&machine, machine.now() + 1_000_000, ping).await.flatten();
                if answer.as_deref() == Some("PONG") {
                    world.proxy_selector.proxies.borrow_mut()[index].2 = true;
                    return;
                }
                machine.sleep_until(machine.now() + 100_000).await;
            }
        });
    }

    fn proxy_ended(self: &Rc<Self>, index: usize, id: ProcessId, result: Result<(), String>) {
        if self.sim.observer.borrow().process_of(index) != id || self.ended.borrow()[index] {
            return;
        }
        if let Err(error) = result {
            self.sim.observer.borrow_mut().report_violation(Rule::Exit, format!("proxy {index}: {error}"));
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
        let detected_after = self.draw(STOP_DETECTION_US);
        self.after(detected_after, move |world| world.proxy_selector.proxies.borrow_mut()[index].2 = false);
        let max_deadline = (self.script.contract.deadline_ms * 1_000).min(MAX_STOP_DEADLINE_US);
        self.after(max_deadline + KILL_DELAY_AFTER_DEADLINE_US, move |world| {
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
        let detected_after = self.draw(KILL_DETECTION_US);
        self.after(detected_after, move |world| {
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
            let role = Role::Client {
                index,
                misbehaving: spec.misbehavior.is_some(),
                slow_reader: spec.read_interval_ms.is_some(),
            };
            self.sim.observer.borrow_mut().register_process(id, role, &name);
            let client = Rc::new(Client {
                spec: spec.clone(),
                index,
                host: host.clone(),
                proxy_selector: self.proxy_selector.clone(),
                // The stream depends on the client's key alone, so removing other clients does not change it.
                rng: RefCell::new(stream(self.script.order_seed, &format!("submitter {}", spec.key))),
                deadline_ms: self.script.contract.deadline_ms,
                message_target: self.script.contract.message_ms * 1_000,
                outcome: RefCell::default(),
                attempt_count: Cell::new(0),
            });
            let running = client.clone();
            self.at(spec.at_ms, move |_| drop(host.spawn(running.run())));
            clients.push(client);
        }
        clients
    }

    fn backend_index(&self, name: &str) -> usize {
        self.script.backends.iter().position(|backend| backend.name == name).unwrap_or_default()
    }

    /// Kills a backend's process. With `publish`, discovery reports the backend as gone after a delay.
    /// Without it, the caller updates discovery.
    fn stop_backend(self: &Rc<Self>, index: usize, publish: bool) {
        let id = self.backends.borrow()[index].0;
        self.update_backend_state(index, |state| state.reachable = false);
        self.sim.kill(id);
        if publish {
            let report_delay = self.draw(CRASH_REPORT_DELAY_US);
            self.after(report_delay, move |world| {
                // A backend that has restarted by then must not be reported as gone.
                if world.backends.borrow()[index].0 == id {
                    world.endpoint_store.publish(world.entry(index, "gone", None));
                }
            });
        }
    }

    /// Restarts a backend under its name, in slow start; discovery reports it after a delay.
    fn restart_backend(self: &Rc<Self>, index: usize) {
        let now = self.sim.now();
        self.start_backend(index, Some(now));
        let id = self.backends.borrow()[index].0;
        let report_delay = self.draw(START_REPORT_DELAY_US);
        self.after(report_delay, move |world| {
            if world.backends.borrow()[index].0 == id {
                world.endpoint_store.publish(world.entry(index, "ready", Some(now)));
            }
        });
    }

    /// Schedules a fault.
    fn schedule_fault(self: Rc<Self>, fault: &Fault) {
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
                    world.update_backend_state(index, |state| state.reachable = false);
                    world.sim.partition(id);
                    let report_delay = world.draw(PARTITION_REPORT_DELAY_US);
                    world.after(report_delay, move |world| {
                        if !world.backend_states.borrow()[index].reachable {
                            world.endpoint_store.publish(world.entry(index, "gone", None));
                        }
                    });
                });
                self.at(until_ms, move |world| {
                    let id = world.backends.borrow()[index].0;
                    world.sim.heal(id, reset);
                    world.update_backend_state(index, |state| state.reachable = true);
                    let report_delay = world.draw(START_REPORT_DELAY_US);
                    let since = world.backend_states.borrow()[index].slow_start_since;
                    world.after(report_delay, move |world| {
                        world.endpoint_store.publish(world.entry(index, "ready", since))
                    });
                });
            }
            Fault::Slow { node: backend, at_ms, until_ms, factor } => {
                let index = self.backend_index(&backend);
                self.at(at_ms, move |world| world.degradations[index].slowdown_factor.set(factor));
                self.at(until_ms, move |world| world.degradations[index].slowdown_factor.set(1.0));
            }
            Fault::Neighbour { node: backend, at_ms, until_ms, share } => {
                let index = self.backend_index(&backend);
                self.at(at_ms, move |world| world.degradations[index].neighbour_share.set(share));
                self.at(until_ms, move |world| world.degradations[index].neighbour_share.set(0.0));
            }
            Fault::LateReports { at_ms, until_ms, by_ms } => {
                self.at(at_ms, move |world| world.load_report_delay.set(by_ms * 1_000));
                self.at(until_ms, move |world| world.load_report_delay.set(0));
            }
            Fault::DiscoveryLate { at_ms, until_ms, by_ms } => {
                self.at(at_ms, move |world| world.endpoint_store.response_delay.set(by_ms * 1_000));
                self.at(until_ms, move |world| world.endpoint_store.response_delay.set(0));
            }
            Fault::DiscoveryFails { at_ms, until_ms } => {
                self.at(at_ms, move |world| world.endpoint_store.failing.set(true));
                self.at(until_ms, move |world| world.endpoint_store.failing.set(false));
            }
            Fault::DiscoveryCut { at_ms, until_ms } => {
                self.at(at_ms, move |world| world.sim.partition(world.discovery_process.get()));
                self.at(until_ms, move |world| world.sim.heal(world.discovery_process.get(), true));
            }
            Fault::DiscoveryDown { at_ms, until_ms } => {
                self.at(at_ms, move |world| world.sim.kill(world.discovery_process.get()));
                self.at(until_ms, move |world| world.start_discovery());
            }
            Fault::Reload { at_ms } => self.at(at_ms, World::reload),
            Fault::BadReload { proxy, at_ms } => self.at(at_ms, move |world| {
                let id = world.sim.observer.borrow().process_of(proxy);
                let process = world.sim.net.borrow().process(id).clone();
                let valid_config =
                    process.files.borrow_mut().insert(CONFIG_PATH.into(), b"{\"name\":".to_vec());
                world.sim.signal(id, Signal::Hangup);
                world.after(300_000, move |_| {
                    valid_config.into_iter().for_each(|valid_config| {
                        drop(process.files.borrow_mut().insert(CONFIG_PATH.into(), valid_config))
                    });
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

    /// Moves discovery to another address and makes all running proxies reload their configs.
    fn reload(self: &Rc<Self>) {
        self.discovery_index.set(self.discovery_index.get() + 1);
        if let Some(old_service) = self.discovery_service.borrow_mut().take() {
            old_service.move_away();
        }
        self.start_discovery();
        for index in 0..self.script.proxies.len() {
            if self.ended.borrow()[index] {
                continue;
            }
            let id = self.sim.observer.borrow().process_of(index);
            let process = self.sim.net.borrow().process(id).clone();
            process.files.borrow_mut().insert(CONFIG_PATH.into(), self.config(index).into_bytes());
            self.sim.observer.borrow_mut().reload_requested(index);
            self.sim.signal(id, Signal::Hangup);
        }
    }

    /// Checks that each idle proxy holds no client connection, and no more tasks and descriptors than a proxy
    /// without clients.
    fn check_leftovers(&self) {
        for index in 0..self.script.proxies.len() {
            if self.ended.borrow()[index] {
                continue;
            }
            let id = self.sim.observer.borrow().process_of(index);
            let held_connections = self.sim.observer.borrow().unclosed_connection_count(index);
            let (tasks, descriptors) = (self.sim.task_count(id), self.sim.descriptor_count(id));
            // Listener, reserved descriptor, discovery, and for each backend one kept probe connection and
            // one that is being opened.
            let max_descriptors = 4 + 2 * self.script.backends.len();
            // The proxy itself, six permanent tasks, the connection to discovery, and probes in progress.
            let max_tasks = 10 + self.script.backends.len();
            let mut observer = self.sim.observer.borrow_mut();
            if held_connections > 0 {
                observer.report_violation(
                    Rule::LeftOver,
                    format!("proxy {index} holds {held_connections} connections of clients that left"),
                );
            }
            if descriptors > max_descriptors {
                observer.report_violation(
                    Rule::LeftOver,
                    format!("proxy {index} holds {descriptors} descriptors when idle"),
                );
            }
            if tasks > max_tasks {
                observer
                    .report_violation(Rule::LeftOver, format!("proxy {index} has {tasks} tasks when idle"));
            }
        }
    }

    /// Stops all proxies with SIGTERM and checks that they exit before the kill is due, as no requests are
    /// left. Returns false if tasks never become idle.
    fn stop_all(self: &Rc<Self>, now: Micros) -> bool {
        for index in 0..self.script.proxies.len() {
            self.stop_proxy(index);
        }
        let max_deadline = (self.script.contract.deadline_ms * 1_000).min(MAX_STOP_DEADLINE_US);
        // A request that was never released keeps a proxy running until shortly before the kill.
        let became_idle = self.sim.run_until(now + max_deadline + KILL_DELAY_AFTER_DEADLINE_US - 400_000);
        for index in 0..self.script.proxies.len() {
            if !self.ended.borrow()[index] {
                let violation = format!("proxy {index} waits for requests that do not exist");
                self.sim.observer.borrow_mut().report_violation(Rule::LeftOver, violation);
            }
        }
        became_idle && self.sim.run_until(now + max_deadline + KILL_DELAY_AFTER_DEADLINE_US + 100_000)
    }

    /// Ends all processes and discards all events, so that no reference cycle keeps this world alive.
    fn shut_down(&self) {
        let count = self.sim.process_count();
        (0..count).for_each(|id| self.sim.kill(id));
        self.sim.discard_events();
        self.backends.borrow_mut().clear();
        self.discovery_service.borrow_mut().take();
    }
}

/// A simulation with one process, for tests that need only a virtual clock and a host.
pub fn single_process(seed: u64) -> (Rc<Sim>, Host) {
    let links = LinkConditions {
        same_zone_delay_us: 100,
        cross_zone_delay_us: 1_000,
        jitter: 0.0,
        window_bytes: 65_536,
        partial_transfer_share: 0.0,
        overtaking_reset_share: 0.0,
    };
    let slow_start_rule = SlowStartRule {
        min_share: 0.3,
        duration: 9_000_000,
        overload_multiple: 4.0,
        overload_window: 1_500_000,
    };
    let observer = Observer::new(0, &[], slow_start_rule, Trace::None);
    let sim = Sim::new(seed, Net::new(links, stream(seed, "links")), observer);
    let (_, host) = sim.start(ProcessOptions::plain("alone", 0, IpAddr::V4(Ipv4Addr::new(10, 9, 0, 1))));
    (sim, host)
}
