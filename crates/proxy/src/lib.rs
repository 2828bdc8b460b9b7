#![forbid(unsafe_code)]
//! The network code around the decision module: sockets, deadlines and records of requests, no decisions. All
//! access to the operating system goes through [`pierloom_host::Host`], so that the proxy runs on any clock
//! and any network.

mod attempt;
pub mod config;
mod console;
mod core;
mod deadlines;
mod event_counts;
mod handover;
mod identities;
mod listener;
mod metrics;
mod pending;
mod pipe;
mod probe;
pub mod protocol;
mod relay;
mod reload;
mod request_handler;
mod shutdown;
mod source;
mod stream;
mod supervisor;
mod upgrade;

pub use self::core::DecisionModule;

use self::config::{Config, ErrorMessage};
use self::console::Console;
use self::core::Core;
use self::listener::Listener;
use self::metrics::Metrics;
use self::protocol::{Protocol, lines::LineProtocol};
use self::shutdown::ShutdownRequest;
use self::source::discovery;
use self::source::endpoints::{Endpoints, apply_endpoints};
use self::source::service::DiscoveryService;
use self::supervisor::Supervisor;
use self::upgrade::{Takeover, Upgrades};
use pierloom_decision::{Balancer, Event, ListKind};
use pierloom_host::{Host, Signal, Signals};
use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::watch;

/// The exchangeable components of a proxy.
pub struct Components {
    /// Makes all decisions on placement and admission.
    pub module: Box<dyn DecisionModule>,
    /// The protocol towards clients and backends.
    pub protocol: Rc<dyn Protocol>,
}

impl Components {
    /// Builds the decision module and the platform's line protocol from a config.
    pub fn from_config(config: &Config) -> Result<Self, ErrorMessage> {
        let module = Balancer::new(config.settings.clone(), config.seed).map_err(|e| e.to_string())?;
        let protocol = LineProtocol::new(config.names.clone(), &config.settings);
        Ok(Components { module: Box::new(module), protocol: Rc::new(protocol) })
    }
}

/// The signals that a proxy handles.
pub struct SignalHandlers {
    hangups: Signals,
    terminations: Signals,
}

impl SignalHandlers {
    /// Installs the handlers. This must come before anything else, as a signal without a handler ends the
    /// process. A signal that arrives before [`run`] is handled there.
    pub fn install(host: &Host) -> Result<Self, ErrorMessage> {
        let signals = |which| host.signals(which).map_err(|e| format!("signals: {e}"));
        Ok(SignalHandlers { hangups: signals(Signal::Hangup)?, terminations: signals(Signal::Terminate)? })
    }
}

/// Runs the proxy on `host` until its shutdown is complete. If a task that the proxy depends on has panicked
/// and cannot be started again, the proxy shuts down as for SIGTERM and returns an error.
pub async fn run(
    host: Host,
    handlers: SignalHandlers,
    config: Config,
    components: Components,
) -> Result<(), ErrorMessage> {
    let Components { module, protocol } = components;
    let names = config.names;
    let metrics = Metrics::new(names.class_names()).map_err(|e| format!("metrics: {e}"))?;
    let (core, probes) = Core::new(host.clone(), config.settings, module, metrics);
    let SignalHandlers { hangups, terminations } = handlers;
    let mut supervisor = Supervisor::new(&host);
    let shutdown_request = Rc::new(ShutdownRequest::new());
    supervisor.spawn(
        "SIGTERM handling",
        shutdown::request_on_sigterm(core.clone(), terminations, shutdown_request.clone()),
    );
    names.warnings.iter().for_each(|warning| tracing::warn!(target: "config", "{warning}"));
    supervisor.spawn_restartable("timers", {
        let core = core.clone();
        move || core.clone().run_timers()
    });
    let upgrades = Upgrades::new(core.clone(), protocol.clone(), &config.name, config.console.is_some());
    let takeover = supervisor.supervise(upgrades.take_over()).await.map_err(|e| e.to_string())?;
    let (initial_endpoints, from_index) = match &takeover {
        Some(Takeover { endpoints, .. }) => (endpoints.snapshot(), endpoints.index_at(config.discovery)),
        None => {
            let index = config.initial_endpoints.index();
            (config.initial_endpoints, Some(index))
        }
    };
    let endpoints = Rc::new(RefCell::new(Endpoints::default()));
    apply_endpoints(&core, &names, &endpoints, initial_endpoints, ListKind::Full);
    endpoints.borrow_mut().set_index_source(from_index.map(|_| config.discovery));
    let from_index = Cell::new(from_index);
    let (discovery_sender, discovery_services) = watch::channel(DiscoveryService::first(config.discovery));
    supervisor
        .spawn("SIGHUP handling", reload::on_sighup(core.clone(), hangups, config.source, discovery_sender));
    supervisor.spawn_restartable("endpoint list", {
        let (core, names, endpoints) = (core.clone(), names.clone(), endpoints.clone());
        move || {
            discovery::watch(
                core.clone(),
                names.clone(),
                endpoints.clone(),
                discovery_services.clone(),
                from_index.take(),
            )
        }
    });
    supervisor.spawn("probes", probe::serve(core.clone(), protocol.clone(), probes));
    let reserved_descriptors = config.console.map_or(0, |_| console::max_connections(config.max_descriptors));
    let (tcp_listener, predecessor) = match takeover {
        Some(takeover) => {
            core.dispatch_event(Event::LearnedState(Box::new(takeover.learned_state)));
            (takeover.listener, Some(takeover.predecessor))
        }
        None => (Listener::bind(&host, config.listen, config.console.is_some())?, None),
    };
    let listener = Rc::new(Listener::new(&host, tcp_listener, config.max_descriptors, reserved_descriptors));
    tracing::info!(target: "proxy", "{} listening on {}", config.name, listener.address());
    if let Some(address) = config.console {
        let console = Rc::new(Console::bind(&host, address, config.max_descriptors)?);
        tracing::info!(target: "console", "{} serves operators on {}", config.name, console.address());
        let (core, upgrades) = (core.clone(), upgrades.clone());
        supervisor
            .spawn_restartable("console", move || console.clone().serve(core.clone(), upgrades.clone()));
    }
    if predecessor.is_some() {
        // Only one of the two processes accepts clients at a time.
        listener.pause_accepting();
    }
    // The listener accepts new clients until the process ends.
    supervisor.spawn_restartable("listener", {
        let (core, listener) = (core.clone(), listener.clone());
        move || listener.clone().serve(core.clone(), protocol.clone())
    });
    supervisor.spawn("upgrades", upgrades.serve(listener.clone(), endpoints, predecessor));
    let mut shutdown = pin!(shutdown::on_request(core.clone(), shutdown_request.clone()));
    let Err(failure) = supervisor.supervise(shutdown.as_mut()).await else { return Ok(()) };
    tracing::error!(target: "proxy", "{failure}; the proxy shuts down");
    shutdown_request.request(core.now());
    // A second failure ends the process at once.
    let _ = supervisor.supervise(shutdown).await;
    Err(failure.to_string())
}
