#![forbid(unsafe_code)]
//! The real proxy round the decision module: sockets, deadlines and bookkeeping, no decisions. It reaches its
//! machine through [`pierloom_host::Host`] alone, so that it runs on any clock and any network.

mod attempt;
pub mod config;
mod console;
mod core;
mod deadlines;
mod event_counts;
mod listener;
mod metrics;
mod pending;
mod probe;
pub mod protocol;
mod relay;
mod reload;
mod request_handler;
mod shutdown;
mod source;
mod stream;
mod upgrade;

pub use self::core::DecisionModule;

use self::config::{Config, ErrorMessage};
use self::console::Console;
use self::core::Core;
use self::listener::Listener;
use self::metrics::Metrics;
use self::protocol::{Protocol, lines::LineProtocol};
use self::source::discovery::{self, Endpoints};
use self::upgrade::Upgrades;
use pierloom_decision::{Balancer, Event, ListKind};
use pierloom_host::{Host, Signal, Signals, TaskEnd};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use tokio::sync::watch;

/// What a proxy is made of beside its network code.
pub struct Components {
    /// What decides.
    pub module: Box<dyn DecisionModule>,
    /// The protocol towards clients and backends.
    pub protocol: Rc<dyn Protocol>,
}

impl Components {
    /// The decision module and the platform's line protocol, for that config.
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
    /// To be installed before anything else: a signal without its handler ends the process. One that comes before
    /// [`run`] is heeded there.
    pub fn install(host: &Host) -> Result<Self, ErrorMessage> {
        let signals = |which| host.signals(which).map_err(|e| format!("signals: {e}"));
        Ok(SignalHandlers { hangups: signals(Signal::Hangup)?, terminations: signals(Signal::Terminate)? })
    }
}

/// Runs the proxy on that machine until it has stopped as planned.
pub async fn run(
    host: Host,
    handlers: SignalHandlers,
    config: Config,
    parts: Components,
) -> Result<(), ErrorMessage> {
    let Components { module, protocol } = parts;
    let names = config.names;
    let metrics = Metrics::new(names.class_names()).map_err(|e| format!("figures: {e}"))?;
    let (core, probes) = Core::new(host.clone(), config.settings, module, metrics);
    let SignalHandlers { hangups, terminations } = handlers;
    let terminated = shutdown::watch_sigterm(&core, terminations);
    names.warnings.iter().for_each(|doubt| tracing::warn!(target: "config", "{doubt}"));
    keep_up(&host, "sweep", {
        let core = core.clone();
        move || core.clone().run_timers()
    });
    let upgrades = Upgrades::new(core.clone(), protocol.clone(), &config.name, config.console.is_some());
    let inherited = upgrades.take_over().await;
    let list =
        inherited.as_ref().map_or(config.initial_endpoints, |inherited| inherited.endpoints.snapshot());
    let roster = Rc::new(RefCell::new(Endpoints::default()));
    let known = Cell::new(Some(list.index()));
    discovery::apply_endpoints(&core, &names, &roster, list, ListKind::Full);
    let (discovery_moves, address) = watch::channel(config.discovery);
    host.spawn(reload::on_sighup(core.clone(), hangups, config.source, discovery_moves));
    keep_up(&host, "machine list", {
        let (core, names, roster) = (core.clone(), names.clone(), roster.clone());
        move || discovery::watch(core.clone(), names.clone(), roster.clone(), address.clone(), known.take())
    });
    host.spawn(probe::serve(core.clone(), protocol.clone(), probes));
    let reserved = config.console.map_or(0, |_| console::max_connections(config.max_descriptors));
    let (socket, before) = match inherited {
        Some(inherited) => {
            core.dispatch_event(Event::LearnedState(Box::new(inherited.learned_state)));
            (inherited.listener, Some((inherited.channel, inherited.active_requests)))
        }
        None => (Listener::bind(&host, config.listen, config.console.is_some())?, None),
    };
    let listener = Rc::new(Listener::new(&host, socket, config.max_descriptors, reserved));
    tracing::info!(target: "proxy", "{} listening on {}", config.name, listener.address());
    if let Some(address) = config.console {
        let console = Rc::new(Console::bind(&host, address, config.max_descriptors)?);
        tracing::info!(target: "console", "{} listens to staff on {}", config.name, console.address());
        let (core, upgrades) = (core.clone(), upgrades.clone());
        keep_up(&host, "console", move || console.clone().serve(core.clone(), upgrades.clone()));
    }
    // Ends with the process: new clients are taken in until then.
    keep_up(&host, "listener", {
        let (core, listener) = (core.clone(), listener.clone());
        move || listener.clone().serve(core.clone(), protocol.clone())
    });
    host.spawn(upgrades.serve(listener.clone(), roster, before));
    shutdown::on_sigterm(core, terminated).await;
    Ok(())
}

/// Runs a task that the proxy cannot do without; a panic in it ends that turn of it and no more.
fn keep_up<F: Future<Output = ()> + 'static>(
    host: &Host,
    what: &'static str,
    start: impl Fn() -> F + 'static,
) {
    let machine = host.clone();
    host.spawn(async move {
        while machine.spawn(start()).await == TaskEnd::Aborted {
            tracing::error!(target: "proxy", "{what}: started again after a panic");
        }
    });
}
