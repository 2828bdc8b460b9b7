//! Owns the decision module, its clock and its deadlines: hands events in and actions out. Knows no front.

use crate::deadlines::Deadlines;
use crate::event_counts::{ActionTrigger, EventCounts};
use crate::metrics::{FinalAnswer, Gauges, Metrics};
use crate::relay::EstablishedConnection;
use crate::request_handler::HandoverRecord;
use pierloom_decision::{
    Action, AttemptResult, BackendId, Balancer, Event, LearnedState, Measurement, Micros, RequestId,
    Settings, Status,
};
use pierloom_host::Host;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, oneshot};

/// Notes of kind 2 come at most this often for each backend; microseconds.
const NOTE_GAP: Micros = 1_000_000;
/// They tell of delays over this part of the shortest message aim, and once of the return below it.
const NOTED_PART: u64 = 3;

/// What the module wants of a job.
#[derive(Debug)]
pub enum RequestCommand {
    /// Try that backend, and stop waiting at that time.
    Attempt { backend: BackendId, until: Micros },
    /// Answer: refused, with the time to stay away.
    Refuse(Option<Micros>),
    /// Answer: failed.
    Fail,
    /// Send the client away politely; before it is served, nothing.
    Move,
    /// Hand the connection on to the process after, once it stands.
    HandOver,
}

/// A connection on its way to the process after.
pub struct PendingHandover {
    pub connection: HandoverRecord,
    pub standing: EstablishedConnection,
    /// Told once the other holds it, or given it back.
    pub done: oneshot::Sender<Result<(), EstablishedConnection>>,
}

struct ActiveRequest {
    commands: UnboundedSender<RequestCommand>,
    standing: bool,
}

/// What was last noted of the delay at a backend.
#[derive(Default)]
struct LastDelayReport {
    at: Micros,
    slow: bool,
}

/// What decides: the decision module, or the module in a wrapper that an experiment supplies.
pub trait DecisionModule {
    /// Takes an event in and puts out what is to be done, as [`Balancer::handle`] does.
    fn handle_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);
    /// What it knows.
    fn balancer(&self) -> &Balancer;
}

impl DecisionModule for Balancer {
    fn handle_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.handle(now, event, out);
    }

    fn balancer(&self) -> &Balancer {
        self
    }
}

pub struct Core {
    pub host: Host,
    module: RefCell<Box<dyn DecisionModule>>,
    settings: Settings,
    pub deadlines: Deadlines,
    requests: RefCell<BTreeMap<RequestId, ActiveRequest>>,
    /// What tells each of them from the others, in its client's words.
    identities: RefCell<BTreeSet<String>>,
    next_request_id: Cell<RequestId>,
    addresses: RefCell<BTreeMap<BackendId, SocketAddr>>,
    list_requested: Notify,
    probes: UnboundedSender<BackendId>,
    noted: RefCell<BTreeMap<BackendId, LastDelayReport>>,
    event_counts: RefCell<EventCounts>,
    pub metrics: Metrics,
    /// The process after, once it has taken over.
    successor: RefCell<Option<UnboundedSender<PendingHandover>>>,
    /// Those beside the jobs who are owed a word, or the rest of one: being heard, or being told the last.
    shutdown_guards: Cell<usize>,
    /// Rung when nobody is owed anything any more.
    idle: Notify,
    /// Nothing more is begun.
    pub draining: Latch,
    /// The process is about to end: whatever a job is at, its client is owed a word now.
    pub terminating: Latch,
}

/// Something that happens once.
#[derive(Default)]
pub struct Latch {
    reached: Cell<bool>,
    rung: Notify,
}

impl Latch {
    pub fn set(&self) {
        self.reached.set(true);
        self.rung.notify_waiters();
    }

    /// Waits for it; at once where it has happened.
    pub async fn wait(&self) {
        while !self.reached.get() {
            self.rung.notified().await;
        }
    }
}

/// Somebody is owed a word until this is dropped.
pub struct ShutdownGuard(Rc<Core>);

impl Drop for ShutdownGuard {
    fn drop(&mut self) {
        self.0.shutdown_guards.set(self.0.shutdown_guards.get() - 1);
        self.0.ring_if_idle();
    }
}

impl Core {
    /// The core, and the probes that the module asks for.
    pub fn new(
        host: Host,
        settings: Settings,
        module: Box<dyn DecisionModule>,
        metrics: Metrics,
    ) -> (Rc<Self>, UnboundedReceiver<BackendId>) {
        let (probes, asked_probes) = unbounded_channel();
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
            noted: RefCell::default(),
            successor: RefCell::default(),
            shutdown_guards: Cell::new(0),
            idle: Notify::new(),
            draining: Latch::default(),
            terminating: Latch::default(),
        };
        (Rc::new(core), asked_probes)
    }

    pub fn now(&self) -> Micros {
        self.deadlines.now()
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Hands an event to the module and its actions to whom they concern.
    pub fn dispatch_event(&self, event: Event) {
        let (mut actions, now, trigger) = (Vec::new(), self.now(), ActionTrigger::from_event(&event));
        self.count_event(now, &event);
        self.module.borrow_mut().handle_event(now, event, &mut actions);
        actions.iter().for_each(|action| self.event_counts.borrow_mut().count_action(now, action, trigger));
        for action in actions {
            match action {
                Action::Send { id, backend, until } => {
                    self.send_command(id, RequestCommand::Attempt { backend, until })
                }
                Action::Refuse { id, retry_after } => {
                    self.send_command(id, RequestCommand::Refuse(retry_after))
                }
                Action::Fail(id) => self.send_command(id, RequestCommand::Fail),
                Action::Move(id) => self.send_command(id, RequestCommand::Move),
                // The probing task lives as long as the process.
                Action::Probe(backend) => drop(self.probes.send(backend)),
                Action::Subscribe => self.list_requested.notify_one(),
                Action::Timer(after, token) => self.deadlines.set(self.now() + after, token),
            }
        }
    }

    /// Enters an event in the ledger, after the line of the second that it closes, if any.
    fn count_event(&self, now: Micros, event: &Event) {
        let line = self.event_counts.borrow_mut().finish_second(now);
        if let Some(line) = line {
            tracing::info!(target: "ledger", "{line}");
        }
        self.event_counts.borrow_mut().count_event(now, event);
    }

    /// A job that left meanwhile needs no orders.
    pub fn send_command(&self, id: RequestId, order: RequestCommand) {
        if let Some(request) = self.requests.borrow().get(&id) {
            let _ = request.commands.send(order);
        }
    }

    /// Sweeps the deadlines, turn after turn.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            for token in self.deadlines.wait_due().await {
                self.dispatch_event(Event::Timer(token));
            }
        }
    }

    /// Forgets that the module asked for the machine list, as it was read meanwhile.
    pub fn clear_list_request(&self) {
        // Takes the permit, if there is one.
        pin!(self.list_requested.notified()).enable();
    }

    /// Waits until the module asks for the machine list.
    pub async fn list_requested(&self) {
        self.list_requested.notified().await;
    }

    pub fn set_address(&self, backend: BackendId, address: SocketAddr) {
        self.addresses.borrow_mut().insert(backend, address);
    }

    pub fn address(&self, backend: &BackendId) -> Option<SocketAddr> {
        self.addresses.borrow().get(backend).copied()
    }

    /// Reports how long a message took at a backend, as often as the module expects to hear of it.
    pub fn report_delay(&self, id: RequestId, backend: &BackendId, delay: Micros) {
        let aims = self.settings.classes.iter().map(|class| class.message_target);
        let Some(aim) = aims.filter(|&aim| aim > 0).min() else { return };
        let (now, slow) = (self.now(), delay > aim / NOTED_PART);
        {
            let mut noted = self.noted.borrow_mut();
            let last = noted.entry(backend.clone()).or_default();
            if !(slow || last.slow) || now < last.at + NOTE_GAP {
                return;
            }
            *last = LastDelayReport { at: now, slow };
        }
        self.dispatch_event(Event::Measured(id, Measurement::Delay(delay)));
    }

    /// There is a process after this one, which takes what is handed on, or (none) there is none any more.
    pub fn set_successor(&self, successor: Option<UnboundedSender<PendingHandover>>) {
        *self.successor.borrow_mut() = successor;
    }

    /// Whether connections can be handed on.
    pub fn has_successor(&self) -> bool {
        self.successor.borrow().is_some()
    }

    /// Hands a connection on; it is back where nobody took it.
    pub async fn hand_over_connection(
        &self,
        connection: HandoverRecord,
        standing: EstablishedConnection,
    ) -> Result<(), EstablishedConnection> {
        let (done, told) = oneshot::channel();
        let Some(successor) = self.successor.borrow().clone() else { return Err(standing) };
        match successor.send(PendingHandover { connection, standing, done }) {
            // Whoever takes it gives it back before it ends; a connection that a panic there lost is lost.
            Ok(()) => told.await.unwrap_or(Ok(())),
            Err(unsent) => Err(unsent.0.standing),
        }
    }

    /// The number of jobs.
    pub fn active_requests(&self) -> usize {
        self.requests.borrow().len()
    }

    /// The figures as staff read them, true of this moment.
    pub fn metrics_text(&self) -> String {
        let (listed, avoided) = self.module.borrow().balancer().backend_counts(self.now());
        self.metrics.encode(Gauges { active_requests: self.active_requests(), listed, avoided })
    }

    /// Whether a machine list ever named that backend, or staff withhold it.
    pub fn knows_backend(&self, backend: &str) -> bool {
        self.module.borrow().balancer().knows(backend)
    }

    /// The backends that staff withhold.
    pub fn backends_in_maintenance(&self) -> Vec<String> {
        self.module.borrow().balancer().backends_in_maintenance().map(str::to_string).collect()
    }

    /// What the module has learned.
    pub fn learned_state(&self) -> LearnedState {
        self.module.borrow().balancer().learned_state()
    }

    /// The jobs whose connections stand.
    pub fn established_requests(&self) -> Vec<RequestId> {
        self.requests.borrow().iter().filter(|(_, request)| request.standing).map(|(&id, _)| id).collect()
    }

    /// Whether the attempt of that job that is out may still be written to its backend.
    pub fn may_send_attempt(&self, id: RequestId) -> bool {
        self.module.borrow().balancer().may_send_attempt(self.now(), id)
    }

    /// Begins nothing more; the module answers whoever waits.
    pub fn stop(&self) {
        self.draining.set();
        self.dispatch_event(Event::Stopping);
    }

    /// Somebody is owed a word, and the process does not end before it is out, if it can help it.
    pub fn shutdown_guard(self: &Rc<Self>) -> ShutdownGuard {
        self.shutdown_guards.set(self.shutdown_guards.get() + 1);
        ShutdownGuard(self.clone())
    }

    /// Whether no job is left and nobody is owed a word.
    pub fn is_idle(&self) -> bool {
        self.requests.borrow().is_empty() && self.shutdown_guards.get() == 0
    }

    fn ring_if_idle(&self) {
        if self.is_idle() {
            self.idle.notify_waiters();
        }
    }

    /// Waits until that is so.
    pub async fn wait_until_idle(&self) {
        while !self.is_idle() {
            self.idle.notified().await;
        }
    }
}

/// A job's place at the core. Leaving it, however the job ends, settles what the module still expects.
pub struct RequestHandle {
    core: Rc<Core>,
    pub id: RequestId,
    class: usize,
    pub identity: String,
    pub commands: UnboundedReceiver<RequestCommand>,
    /// Number of attempts begun.
    attempts: u32,
    /// When the attempt that is out began.
    out: Option<Micros>,
    /// Whether the final answer was given.
    answered: bool,
}

impl RequestHandle {
    /// A place for that job of that class, unless it is here already.
    pub fn register(core: &Rc<Core>, identity: &str, class: usize) -> Option<Self> {
        if !core.identities.borrow_mut().insert(identity.to_string()) {
            return None;
        }
        let id = core.next_request_id.replace(core.next_request_id.get() + 1);
        let (sender, commands) = unbounded_channel();
        core.requests.borrow_mut().insert(id, ActiveRequest { commands: sender, standing: false });
        let (core, identity) = (core.clone(), identity.to_string());
        Some(RequestHandle { core, id, class, identity, commands, attempts: 0, out: None, answered: false })
    }

    /// The class of its request.
    pub fn class(&self) -> usize {
        self.class
    }

    /// An attempt begins.
    pub fn start_attempt(&mut self) {
        self.attempts += 1;
        self.out = Some(self.core.now());
    }

    /// The attempt's connection stands.
    pub fn report_established(&mut self) {
        let sent = self.out.unwrap_or_else(|| self.core.now());
        let latency = self.core.now() - sent;
        self.record_established();
        self.core.dispatch_event(Event::Established { id: self.id, attempt: self.attempts - 1, latency });
    }

    /// The connection stands already, came from the process before, and was counted there.
    pub fn record_adopted(&mut self) {
        self.mark_answered();
        self.set_established();
    }

    /// Its load, as the module last heard of it; microseconds of work a second.
    pub fn load(&self) -> Option<f64> {
        self.core.module.borrow().balancer().load_of(self.id)
    }

    /// The connection stands already, and the module was told so.
    pub fn record_established(&mut self) {
        self.record_answer(FinalAnswer::Served);
        self.set_established();
    }

    fn set_established(&self) {
        if let Some(request) = self.core.requests.borrow_mut().get_mut(&self.id) {
            request.standing = true;
        }
    }

    /// The attempt that is out has ended.
    pub fn end_attempt(&mut self, status: Status) {
        let Some(sent) = self.out.take() else { return };
        if let Some(request) = self.core.requests.borrow_mut().get_mut(&self.id) {
            request.standing = false;
        }
        let (now, closed) = (self.core.now(), self.answered);
        let attempt = self.attempts - 1;
        let ended = AttemptResult { id: self.id, attempt, status, latency: now - sent, closed };
        self.core.dispatch_event(Event::AttemptEnded(ended));
    }

    /// The final answer, which is the module's, is known.
    pub fn record_answer(&mut self, answer: FinalAnswer) {
        self.answered = true;
        self.core.metrics.count_answer(self.class, answer);
    }

    /// The module is owed nothing for this job.
    pub fn mark_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.core.requests.borrow_mut().remove(&self.id);
        self.core.identities.borrow_mut().remove(&self.identity);
        self.core.ring_if_idle();
        let settle = AssertUnwindSafe(|| {
            if !std::mem::replace(&mut self.answered, true) {
                self.core.dispatch_event(Event::ClientGone(self.id));
            }
            self.end_attempt(Status::Cancelled);
        });
        // A panic that unwinds this job must meet no second one here, which would end the process.
        if catch_unwind(settle).is_err() {
            tracing::error!(target: "job", "{}: a panic while it was settled", self.id);
        }
    }
}
