//! Runs the decision module: owns its clock and its timers, passes events to it and carries out its actions.
//! Independent of the protocol towards clients and backends.

use crate::deadlines::Deadlines;
use crate::event_counts::{ActionTrigger, EventCounts};
use crate::handover::PendingHandover;
use crate::identities::Identities;
use crate::metrics::{FinalAnswer, Gauges, Metrics};
use crate::relay::EstablishedConnection;
use crate::request_handler::HandoverRecord;
use pierloom_decision::{
    Action, AttemptResult, BackendId, Balancer, Event, LearnedState, Measurement, Micros, RequestId,
    Settings, Status,
};
use pierloom_host::{Host, TcpStream};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, oneshot};

/// Shortest interval between two reported delays ([`Measurement::Delay`]) of one backend.
const DELAY_REPORT_INTERVAL_US: Micros = 1_000_000;
/// A delay above the shortest message target divided by this is slow. Slow delays are reported, and the first
/// delay after them that is not slow.
const SLOW_DELAY_DIVISOR: u64 = 3;

/// A command to the task that serves a request, from the decision module or from the shutdown.
#[derive(Debug)]
pub enum RequestCommand {
    /// Start an attempt at that backend, and stop waiting for it at that time.
    Attempt { backend: BackendId, until: Micros },
    /// Send the final answer "refused", with the time after which the client may retry.
    Refuse(Option<Micros>),
    /// Send the final answer "failed".
    Fail,
    /// Ask the client to reconnect elsewhere. Ignored until the connection is established.
    Move,
    /// Hand the established connection over to the successor process. Ignored until it is established.
    HandOver,
}

struct ActiveRequest {
    commands: UnboundedSender<RequestCommand>,
    established: bool,
    /// Number of attempts started.
    attempts: u32,
    /// The attempt whose end the decision module has not been told yet.
    attempt: Option<AttemptInProgress>,
}

impl ActiveRequest {
    fn new(commands: UnboundedSender<RequestCommand>) -> Self {
        ActiveRequest { commands, established: false, attempts: 0, attempt: None }
    }

    /// Starts an attempt, unless one is in progress already.
    fn start_attempt(&mut self, started_at: Micros, is_handled: bool) -> bool {
        if self.attempt.is_some() {
            return false;
        }
        self.attempt = Some(AttemptInProgress { number: self.attempts, started_at, is_handled });
        self.attempts += 1;
        true
    }
}

/// An attempt from the moment in which the decision module counts it. Its end is reported however its request
/// ends, also if the task of the request never learns of it.
#[derive(Clone, Copy)]
struct AttemptInProgress {
    /// Number of the attempt, from 0.
    number: u32,
    started_at: Micros,
    /// Whether the task of the request knows of the attempt. Nothing is sent before that.
    is_handled: bool,
}

impl AttemptInProgress {
    /// The status of an attempt that ends because its request does.
    fn status_at_request_end(&self) -> Status {
        if self.is_handled { Status::Cancelled } else { Status::NotSent }
    }
}

/// The last reported delay of a backend.
#[derive(Default)]
struct LastDelayReport {
    at: Micros,
    slow: bool,
}

/// The decision module, or a wrapper around it that an experiment supplies.
pub trait DecisionModule {
    /// Handles an event and appends the resulting actions, as [`Balancer::handle`] does.
    fn handle_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>);
    /// The balancer, for reading its state.
    fn balancer(&self) -> &Balancer;
}

impl DecisionModule for Balancer {
    fn handle_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.handle(now, event, actions);
    }

    fn balancer(&self) -> &Balancer {
        self
    }
}

/// The state that all tasks of the proxy share.
pub struct Core {
    /// The machine that the proxy runs on.
    pub host: Host,
    module: RefCell<Box<dyn DecisionModule>>,
    settings: Settings,
    /// All timers of the process.
    pub deadlines: Deadlines,
    requests: RefCell<BTreeMap<RequestId, ActiveRequest>>,
    /// The identities of all active requests, as their clients sent them.
    pub identities: RefCell<Identities>,
    next_request_id: Cell<RequestId>,
    addresses: RefCell<BTreeMap<BackendId, SocketAddr>>,
    list_requested: Notify,
    probes: UnboundedSender<BackendId>,
    last_delay_reports: RefCell<BTreeMap<BackendId, LastDelayReport>>,
    event_counts: RefCell<EventCounts>,
    /// The metrics that operators read.
    pub metrics: Metrics,
    /// The channel to the successor process, once that process has taken over.
    successor: RefCell<Option<UnboundedSender<PendingHandover>>>,
    /// Number of clients without an active request that still await an answer or the rest of one: the proxy
    /// is reading their request or sending their final answer.
    shutdown_guard_count: Cell<usize>,
    /// Notified when no client awaits an answer any more.
    idle: Notify,
    /// Set when the shutdown has begun: the proxy starts no more attempts.
    pub stopping: Latch,
    /// Set when the process is about to exit. Every client then gets its final answer, whatever the state of
    /// its request.
    pub terminating: Latch,
}

/// A flag that is set once and can be awaited.
#[derive(Default)]
pub struct Latch {
    is_set: Cell<bool>,
    notify: Notify,
}

impl Latch {
    /// Sets the flag and wakes all tasks that wait for it.
    pub fn set(&self) {
        self.is_set.set(true);
        self.notify.notify_waiters();
    }

    /// Waits until the flag is set; returns at once if it already is.
    pub async fn wait(&self) {
        while !self.is_set.get() {
            self.notify.notified().await;
        }
    }
}

/// Delays the exit of the process until dropped: a client awaits an answer or the rest of one.
pub struct ShutdownGuard(Rc<Core>);

impl Drop for ShutdownGuard {
    fn drop(&mut self) {
        self.0.shutdown_guard_count.set(self.0.shutdown_guard_count.get() - 1);
        self.0.notify_if_idle();
    }
}

impl Core {
    /// Returns the core, and the channel of backends that the decision module wants probed.
    pub fn new(
        host: Host,
        settings: Settings,
        module: Box<dyn DecisionModule>,
        metrics: Metrics,
    ) -> (Rc<Self>, UnboundedReceiver<BackendId>) {
        let (probes, requested_probes) = unbounded_channel();
        let core = Core {
            module: RefCell::new(module),
            event_counts: RefCell::new(EventCounts::new(&settings, host.now())),
            metrics,
            settings,
            deadlines: Deadlines::new(host.clone()),
            host,
            requests: RefCell::default(),
            identities: RefCell::default(),
            next_request_id: Cell::new(1),
            addresses: RefCell::default(),
            list_requested: Notify::new(),
            probes,
            last_delay_reports: RefCell::default(),
            successor: RefCell::default(),
            shutdown_guard_count: Cell::new(0),
            idle: Notify::new(),
            stopping: Latch::default(),
            terminating: Latch::default(),
        };
        (Rc::new(core), requested_probes)
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.deadlines.now()
    }

    /// The settings of the decision module.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Passes an event to the decision module and carries out the resulting actions.
    pub fn dispatch_event(&self, event: Event) {
        let (mut actions, now, trigger) = (Vec::new(), self.now(), ActionTrigger::from_event(&event));
        self.count_event(now, &event);
        self.module.borrow_mut().handle_event(now, event, &mut actions);
        actions.iter().for_each(|action| self.event_counts.borrow_mut().count_action(now, action, trigger));
        for action in actions {
            match action {
                Action::Send { id, backend, until } => self.start_attempt(id, backend, until),
                Action::Refuse { id, retry_after } => {
                    self.send_command(id, RequestCommand::Refuse(retry_after))
                }
                Action::Fail(id) => self.send_command(id, RequestCommand::Fail),
                Action::Move(id) => self.send_command(id, RequestCommand::Move),
                // Cannot fail: the probing task runs as long as the process.
                Action::Probe(backend) => drop(self.probes.send(backend)),
                Action::Subscribe => self.list_requested.notify_one(),
                Action::Timer(after, token) => self.deadlines.set(self.now() + after, token),
            }
        }
    }

    /// Counts an event. Before that, logs the counts of the previous second if it has just ended.
    fn count_event(&self, now: Micros, event: &Event) {
        let line = self.event_counts.borrow_mut().finish_second(now);
        if let Some(line) = line {
            tracing::info!(target: "ledger", "{line}");
        }
        self.event_counts.borrow_mut().count_event(now, event);
    }

    /// Starts an attempt that the decision module counts from now on, and sends the command for it.
    fn start_attempt(&self, id: RequestId, backend: BackendId, until: Micros) {
        let now = self.now();
        let mut requests = self.requests.borrow_mut();
        // The decision module starts attempts only of requests whose end it has not been told.
        let Some(request) = requests.get_mut(&id) else {
            return tracing::error!(target: "job", "request {id}: an attempt after its end");
        };
        if request.start_attempt(now, false) {
            let _ = request.commands.send(RequestCommand::Attempt { backend, until });
        }
    }

    /// Sends a command to a request. A request that has ended meanwhile needs no command.
    pub fn send_command(&self, id: RequestId, command: RequestCommand) {
        if let Some(request) = self.requests.borrow().get(&id) {
            let _ = request.commands.send(command);
        }
    }

    /// Runs the timers: passes each due timer of the decision module to it, and wakes the tasks that wait.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            for token in self.deadlines.wait_due().await {
                self.dispatch_event(Event::Timer(token));
            }
        }
    }

    /// Clears the decision module's request for the endpoint list: the proxy has read the list meanwhile.
    pub fn clear_list_request(&self) {
        // Consumes the stored permit, if there is one.
        pin!(self.list_requested.notified()).enable();
    }

    /// Waits until the decision module asks for the endpoint list.
    pub async fn list_requested(&self) {
        self.list_requested.notified().await;
    }

    /// Sets the address of a backend as discovery reported it.
    pub fn set_address(&self, backend: BackendId, address: SocketAddr) {
        self.addresses.borrow_mut().insert(backend, address);
    }

    /// The address of a backend, if discovery reported one.
    pub fn address(&self, backend: &BackendId) -> Option<SocketAddr> {
        self.addresses.borrow().get(backend).copied()
    }

    /// Reports to the decision module how long a message took at a backend, at most once an interval and only
    /// while the backend is slow or has just recovered.
    pub fn report_delay(&self, id: RequestId, backend: &BackendId, delay: Micros) {
        let targets = self.settings.classes.iter().map(|class| class.message_target);
        let Some(shortest) = targets.filter(|&target| target > 0).min() else { return };
        let (now, slow) = (self.now(), delay > shortest / SLOW_DELAY_DIVISOR);
        {
            let mut last_reports = self.last_delay_reports.borrow_mut();
            let last = last_reports.entry(backend.clone()).or_default();
            if !(slow || last.slow) || now < last.at + DELAY_REPORT_INTERVAL_US {
                return;
            }
            *last = LastDelayReport { at: now, slow };
        }
        self.dispatch_event(Event::Measured(id, Measurement::Delay(delay)));
    }

    /// Sets the channel to the successor process, which takes over connections. `None`: there is none any
    /// more.
    pub fn set_successor(&self, successor: Option<UnboundedSender<PendingHandover>>) {
        *self.successor.borrow_mut() = successor;
    }

    /// Whether a successor process can take over connections.
    pub fn has_successor(&self) -> bool {
        self.successor.borrow().is_some()
    }

    /// Hands a connection over to the successor process. Returns the connection where no successor took it.
    pub async fn hand_over_connection(
        &self,
        record: HandoverRecord,
        connection: EstablishedConnection,
    ) -> Result<(), EstablishedConnection> {
        let (done, outcome) = oneshot::channel();
        let Some(successor) = self.successor.borrow().clone() else { return Err(connection) };
        let connection = Box::new(connection);
        if let Err(unsent) = successor.send(PendingHandover::Connection { record, connection, done }) {
            unsent.0.finish(false);
        }
        // The handover task returns what was not accepted before it ends. A panic in that task loses it.
        outcome.await.unwrap_or(Ok(()))
    }

    /// Hands a client over to the successor process, with its request line. Returns the client where no successor
    /// took it.
    pub async fn hand_over_client(&self, request_line: String, client: TcpStream) -> Result<(), TcpStream> {
        let (done, outcome) = oneshot::channel();
        let Some(successor) = self.successor.borrow().clone() else { return Err(client) };
        if let Err(unsent) = successor.send(PendingHandover::Client { request_line, client, done }) {
            unsent.0.finish(false);
        }
        outcome.await.unwrap_or(Ok(()))
    }

    /// Whether the successor process serves all new requests, as it alone reserves identities.
    pub fn successor_serves_requests(&self) -> bool {
        self.identities.borrow().are_shared()
    }

    /// The number of active requests.
    pub fn active_requests(&self) -> usize {
        self.requests.borrow().len()
    }

    /// The current metrics in the text format that operators read.
    pub fn metrics_text(&self) -> String {
        let (listed, avoided) = self.module.borrow().balancer().backend_counts(self.now());
        self.metrics.encode(Gauges { active_requests: self.active_requests(), listed, avoided })
    }

    /// Whether an endpoint list ever named that backend, or operators put it into maintenance.
    pub fn knows_backend(&self, backend: &str) -> bool {
        self.module.borrow().balancer().knows(backend)
    }

    /// The backends that operators put into maintenance.
    pub fn backends_in_maintenance(&self) -> Vec<String> {
        self.module.borrow().balancer().backends_in_maintenance().map(str::to_string).collect()
    }

    /// What the decision module has learned about the backends.
    pub fn learned_state(&self) -> LearnedState {
        self.module.borrow().balancer().learned_state()
    }

    /// The requests whose connections are established.
    pub fn established_requests(&self) -> Vec<RequestId> {
        self.requests.borrow().iter().filter(|(_, request)| request.established).map(|(&id, _)| id).collect()
    }

    /// Whether the request's attempt in progress may still be written to its backend.
    pub fn may_send_attempt(&self, id: RequestId) -> bool {
        self.module.borrow().balancer().may_send_attempt(self.now(), id)
    }

    /// Begins the shutdown: no more attempts start, and the decision module answers every request that waits.
    pub fn begin_shutdown(&self) {
        self.stopping.set();
        self.dispatch_event(Event::Stopping);
    }

    /// A guard for a client that awaits an answer: the process tries not to exit before the guard is dropped.
    pub fn shutdown_guard(self: &Rc<Self>) -> ShutdownGuard {
        self.shutdown_guard_count.set(self.shutdown_guard_count.get() + 1);
        ShutdownGuard(self.clone())
    }

    /// Whether no request is active and no client awaits an answer.
    pub fn is_idle(&self) -> bool {
        self.requests.borrow().is_empty() && self.shutdown_guard_count.get() == 0
    }

    fn notify_if_idle(&self) {
        if self.is_idle() {
            self.idle.notify_waiters();
        }
    }

    /// Waits until no request is active and no client awaits an answer.
    pub async fn wait_until_idle(&self) {
        while !self.is_idle() {
            self.idle.notified().await;
        }
    }
}

/// A request's registration with the core. However the request ends, dropping the handle sends the events
/// that the decision module still expects.
pub struct RequestHandle {
    core: Rc<Core>,
    /// The request's id in the decision module.
    pub id: RequestId,
    class: usize,
    /// The client's identifier of the request, as the client sent it.
    pub identity: String,
    /// The commands for this request.
    pub commands: UnboundedReceiver<RequestCommand>,
    /// Whether the final answer is known, or the decision module expects none.
    answered: bool,
}

impl RequestHandle {
    /// Registers a request of that class. `None` if a request with that identity is active already, in this
    /// process or in its predecessor.
    pub fn register(core: &Rc<Core>, identity: &str, class: usize) -> Option<Self> {
        core.identities.borrow_mut().reserve(identity).then(|| Self::create(core, identity, class))
    }

    /// Registers a request that the predecessor hands over. `None` if a request with that identity is active in
    /// this process.
    pub fn adopt(core: &Rc<Core>, identity: &str, class: usize) -> Option<Self> {
        core.identities.borrow_mut().adopt(identity).then(|| Self::create(core, identity, class))
    }

    /// Creates the handle of a request whose identity is reserved.
    fn create(core: &Rc<Core>, identity: &str, class: usize) -> Self {
        let id = core.next_request_id.replace(core.next_request_id.get() + 1);
        let (sender, commands) = unbounded_channel();
        core.requests.borrow_mut().insert(id, ActiveRequest::new(sender));
        let (core, identity) = (core.clone(), identity.to_string());
        RequestHandle { core, id, class, identity, commands, answered: false }
    }

    /// The class of the request.
    pub fn class(&self) -> usize {
        self.class
    }

    /// Changes the state of this request that the core keeps.
    fn update<T>(&self, update: impl FnOnce(&mut ActiveRequest) -> T) -> Option<T> {
        self.core.requests.borrow_mut().get_mut(&self.id).map(update)
    }

    /// Records that the task of the request knows of its attempt, and is about to make it.
    pub fn handle_attempt(&mut self) {
        self.update(|request| {
            if let Some(attempt) = &mut request.attempt {
                attempt.is_handled = true;
            }
        });
    }

    /// Records the attempt of a connection that was established elsewhere, which the decision module did not
    /// start.
    pub fn start_resumed_attempt(&mut self) {
        let now = self.core.now();
        self.update(|request| request.start_attempt(now, true));
    }

    /// Records that the attempt's connection is established, and reports it to the decision module.
    pub fn report_established(&mut self) {
        self.record_established();
        let Some(attempt) = self.update(|request| request.attempt).flatten() else { return };
        let latency = self.core.now() - attempt.started_at;
        self.core.dispatch_event(Event::Established { id: self.id, attempt: attempt.number, latency });
    }

    /// Records an established connection that the predecessor process handed over. That process counted its
    /// answer.
    pub fn record_adopted(&mut self) {
        self.mark_answered();
        self.set_established();
    }

    /// The request's load as last reported to the decision module, in microseconds of work a second.
    pub fn load(&self) -> Option<f64> {
        self.core.module.borrow().balancer().load_of(self.id)
    }

    /// Records that the connection is established, without an event to the decision module.
    pub fn record_established(&mut self) {
        self.record_answer(FinalAnswer::Served);
        self.set_established();
    }

    fn set_established(&self) {
        self.update(|request| request.established = true);
    }

    /// Ends the attempt in progress, if there is one, and reports its result to the decision module.
    pub fn end_attempt(&mut self, status: Status) {
        let ended = self.update(|request| {
            request.established = false;
            request.attempt.take()
        });
        if let Some(attempt) = ended.flatten() {
            self.report_attempt_end(attempt, status);
        }
    }

    fn report_attempt_end(&self, attempt: AttemptInProgress, status: Status) {
        self.core.dispatch_event(Event::AttemptEnded(AttemptResult {
            id: self.id,
            attempt: attempt.number,
            status,
            latency: self.core.now() - attempt.started_at,
            closed: self.answered,
        }));
    }

    /// Records and counts the final answer, which the decision module knows as well.
    pub fn record_answer(&mut self, answer: FinalAnswer) {
        self.answered = true;
        self.core.metrics.count_answer(self.class, answer);
    }

    /// Marks the request as answered, without counting an answer. The decision module expects none for it.
    pub fn mark_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        let request = self.core.requests.borrow_mut().remove(&self.id);
        self.core.identities.borrow_mut().release(&self.identity);
        self.core.notify_if_idle();
        if !std::mem::replace(&mut self.answered, true) {
            self.report_despite_panic(|| self.core.dispatch_event(Event::ClientGone(self.id)));
        }
        if let Some(attempt) = request.and_then(|request| request.attempt) {
            self.report_despite_panic(|| self.report_attempt_end(attempt, attempt.status_at_request_end()));
        }
        self.report_despite_panic(|| self.check_forgotten());
    }
}

impl RequestHandle {
    /// Checks that the decision module waits for nothing more of this request. What it waited for would count
    /// as in progress for ever.
    fn check_forgotten(&self) {
        let is_held = self.core.module.borrow().balancer().holds_request(self.id);
        if is_held {
            tracing::error!(target: "job", "request {}: the decision module still holds it", self.id);
        }
        debug_assert!(!is_held, "the decision module still holds request {}", self.id);
    }

    /// Reports the end of the request. A second panic while a first one unwinds the task of the request would
    /// abort the process.
    fn report_despite_panic(&self, report: impl FnOnce()) {
        if catch_unwind(AssertUnwindSafe(report)).is_err() {
            tracing::error!(target: "job", "request {}: panic while its handle was dropped", self.id);
        }
    }
}
