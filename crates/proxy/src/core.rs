//! Owns the decision module, its clock and its deadlines: hands events in and actions out. Knows no front.

use crate::deadlines::Deadlines;
use crate::figures::{Figures, Final, Now};
use crate::job::Connection;
use crate::ledger::{Cause, Ledger};
use crate::relay::Standing;
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
pub enum Order {
    /// Try that backend, and stop waiting at that time.
    Attempt { node: BackendId, until: Micros },
    /// Answer: refused, with the time to stay away.
    Refuse(Option<Micros>),
    /// Answer: failed.
    Fail,
    /// Send the client away politely; before it is served, nothing.
    Move,
    /// Hand the connection on to the process after, once it stands.
    HandOn,
}

/// A connection on its way to the process after.
pub struct HandedOn {
    pub connection: Connection,
    pub standing: Standing,
    /// Told once the other holds it, or given it back.
    pub done: oneshot::Sender<Result<(), Standing>>,
}

struct Entry {
    orders: UnboundedSender<Order>,
    standing: bool,
}

/// What was last noted of the delay at a backend.
#[derive(Default)]
struct Noted {
    at: Micros,
    slow: bool,
}

/// What decides: the decision module, or the module in a wrapper that an experiment supplies.
pub trait Decide {
    /// Takes an event in and puts out what is to be done, as [`Balancer::handle`] does.
    fn decide(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);
    /// What it knows.
    fn books(&self) -> &Balancer;
}

impl Decide for Balancer {
    fn decide(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.handle(now, event, out);
    }

    fn books(&self) -> &Balancer {
        self
    }
}

pub struct Core {
    pub host: Host,
    module: RefCell<Box<dyn Decide>>,
    settings: Settings,
    pub deadlines: Deadlines,
    jobs: RefCell<BTreeMap<RequestId, Entry>>,
    /// What tells each of them from the others, in its client's words.
    identities: RefCell<BTreeSet<String>>,
    next_job: Cell<RequestId>,
    addresses: RefCell<BTreeMap<BackendId, SocketAddr>>,
    asked: Notify,
    probes: UnboundedSender<BackendId>,
    noted: RefCell<BTreeMap<BackendId, Noted>>,
    ledger: RefCell<Ledger>,
    pub figures: Figures,
    /// The process after, once it has taken over.
    after: RefCell<Option<UnboundedSender<HandedOn>>>,
    /// Those beside the jobs who are owed a word, or the rest of one: being heard, or being told the last.
    owed: Cell<usize>,
    /// Rung when nobody is owed anything any more.
    idle: Notify,
    /// Nothing more is begun.
    pub stops: Moment,
    /// The process is about to end: whatever a job is at, its client is owed a word now.
    pub ends: Moment,
}

/// Something that happens once.
#[derive(Default)]
pub struct Moment {
    reached: Cell<bool>,
    rung: Notify,
}

impl Moment {
    pub fn reach(&self) {
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
pub struct Owed(Rc<Core>);

impl Drop for Owed {
    fn drop(&mut self) {
        self.0.owed.set(self.0.owed.get() - 1);
        self.0.ring_if_idle();
    }
}

impl Core {
    /// The core, and the probes that the module asks for.
    pub fn new(
        host: Host,
        settings: Settings,
        module: Box<dyn Decide>,
        figures: Figures,
    ) -> (Rc<Self>, UnboundedReceiver<BackendId>) {
        let (probes, asked_probes) = unbounded_channel();
        let core = Core {
            module: RefCell::new(module),
            ledger: RefCell::new(Ledger::new(&settings, host.now())),
            figures,
            settings,
            deadlines: Deadlines::new(host.clone()),
            host,
            jobs: RefCell::default(),
            identities: RefCell::default(),
            next_job: Cell::new(1),
            addresses: RefCell::default(),
            asked: Notify::new(),
            probes,
            noted: RefCell::default(),
            after: RefCell::default(),
            owed: Cell::new(0),
            idle: Notify::new(),
            stops: Moment::default(),
            ends: Moment::default(),
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
    pub fn tell(&self, event: Event) {
        let (mut actions, now, cause) = (Vec::new(), self.now(), Cause::of(&event));
        self.book(now, &event);
        self.module.borrow_mut().decide(now, event, &mut actions);
        actions.iter().for_each(|action| self.ledger.borrow_mut().wanted(now, action, cause));
        for action in actions {
            match action {
                Action::Send { id, backend, until } => {
                    self.order(id, Order::Attempt { node: backend, until })
                }
                Action::Refuse { id, retry_after } => self.order(id, Order::Refuse(retry_after)),
                Action::Fail(id) => self.order(id, Order::Fail),
                Action::Move(id) => self.order(id, Order::Move),
                // The probing task lives as long as the process.
                Action::Probe(node) => drop(self.probes.send(node)),
                Action::Subscribe => self.asked.notify_one(),
                Action::Timer(after, token) => self.deadlines.set(self.now() + after, token),
            }
        }
    }

    /// Enters an event in the ledger, after the line of the second that it closes, if any.
    fn book(&self, now: Micros, event: &Event) {
        let line = self.ledger.borrow_mut().turn(now);
        if let Some(line) = line {
            tracing::info!(target: "ledger", "{line}");
        }
        self.ledger.borrow_mut().told(now, event);
    }

    /// A job that left meanwhile needs no orders.
    pub fn order(&self, id: RequestId, order: Order) {
        if let Some(job) = self.jobs.borrow().get(&id) {
            let _ = job.orders.send(order);
        }
    }

    /// Sweeps the deadlines, turn after turn.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            for token in self.deadlines.sweep().await {
                self.tell(Event::Timer(token));
            }
        }
    }

    /// Forgets that the module asked for the machine list, as it was read meanwhile.
    pub fn forget_asked(&self) {
        // Takes the permit, if there is one.
        pin!(self.asked.notified()).enable();
    }

    /// Waits until the module asks for the machine list.
    pub async fn asked(&self) {
        self.asked.notified().await;
    }

    pub fn set_address(&self, node: BackendId, address: SocketAddr) {
        self.addresses.borrow_mut().insert(node, address);
    }

    pub fn address(&self, node: &BackendId) -> Option<SocketAddr> {
        self.addresses.borrow().get(node).copied()
    }

    /// Reports how long a message took at a backend, as often as the module expects to hear of it.
    pub fn note_delay(&self, id: RequestId, node: &BackendId, delay: Micros) {
        let aims = self.settings.classes.iter().map(|class| class.message_target);
        let Some(aim) = aims.filter(|&aim| aim > 0).min() else { return };
        let (now, slow) = (self.now(), delay > aim / NOTED_PART);
        {
            let mut noted = self.noted.borrow_mut();
            let last = noted.entry(node.clone()).or_default();
            if !(slow || last.slow) || now < last.at + NOTE_GAP {
                return;
            }
            *last = Noted { at: now, slow };
        }
        self.tell(Event::Measured(id, Measurement::Delay(delay)));
    }

    /// There is a process after this one, which takes what is handed on, or (none) there is none any more.
    pub fn set_after(&self, after: Option<UnboundedSender<HandedOn>>) {
        *self.after.borrow_mut() = after;
    }

    /// Whether connections can be handed on.
    pub fn has_after(&self) -> bool {
        self.after.borrow().is_some()
    }

    /// Hands a connection on; it is back where nobody took it.
    pub async fn hand_on(&self, connection: Connection, standing: Standing) -> Result<(), Standing> {
        let (done, told) = oneshot::channel();
        let Some(after) = self.after.borrow().clone() else { return Err(standing) };
        match after.send(HandedOn { connection, standing, done }) {
            // Whoever takes it gives it back before it ends; a connection that a panic there lost is lost.
            Ok(()) => told.await.unwrap_or(Ok(())),
            Err(unsent) => Err(unsent.0.standing),
        }
    }

    /// The number of jobs.
    pub fn jobs(&self) -> usize {
        self.jobs.borrow().len()
    }

    /// The figures as staff read them, true of this moment.
    pub fn figures_text(&self) -> String {
        let (listed, avoided) = self.module.borrow().books().backend_counts(self.now());
        self.figures.text(Now { jobs: self.jobs(), listed, avoided })
    }

    /// Whether a machine list ever named that backend, or staff withhold it.
    pub fn knows(&self, node: &str) -> bool {
        self.module.borrow().books().knows(node)
    }

    /// The backends that staff withhold.
    pub fn withheld(&self) -> Vec<String> {
        self.module.borrow().books().backends_in_maintenance().map(str::to_string).collect()
    }

    /// What the module has learned.
    pub fn learned_state(&self) -> LearnedState {
        self.module.borrow().books().learned_state()
    }

    /// The jobs whose connections stand.
    pub fn standing(&self) -> Vec<RequestId> {
        self.jobs.borrow().iter().filter(|(_, job)| job.standing).map(|(&id, _)| id).collect()
    }

    /// Whether the attempt of that job that is out may still be written to its backend.
    pub fn may_send_attempt(&self, id: RequestId) -> bool {
        self.module.borrow().books().may_send_attempt(self.now(), id)
    }

    /// Begins nothing more; the module answers whoever waits.
    pub fn stop(&self) {
        self.stops.reach();
        self.tell(Event::Stopping);
    }

    /// Somebody is owed a word, and the process does not end before it is out, if it can help it.
    pub fn owe(self: &Rc<Self>) -> Owed {
        self.owed.set(self.owed.get() + 1);
        Owed(self.clone())
    }

    /// Whether no job is left and nobody is owed a word.
    pub fn is_idle(&self) -> bool {
        self.jobs.borrow().is_empty() && self.owed.get() == 0
    }

    fn ring_if_idle(&self) {
        if self.is_idle() {
            self.idle.notify_waiters();
        }
    }

    /// Waits until that is so.
    pub async fn idle(&self) {
        while !self.is_idle() {
            self.idle.notified().await;
        }
    }
}

/// A job's place at the core. Leaving it, however the job ends, settles what the module still expects.
pub struct Seat {
    core: Rc<Core>,
    pub id: RequestId,
    class: usize,
    pub identity: String,
    pub orders: UnboundedReceiver<Order>,
    /// Number of attempts begun.
    attempts: u32,
    /// When the attempt that is out began.
    out: Option<Micros>,
    /// Whether the final answer was given.
    answered: bool,
}

impl Seat {
    /// A place for that job of that class, unless it is here already.
    pub fn take(core: &Rc<Core>, identity: &str, class: usize) -> Option<Self> {
        if !core.identities.borrow_mut().insert(identity.to_string()) {
            return None;
        }
        let id = core.next_job.replace(core.next_job.get() + 1);
        let (sender, orders) = unbounded_channel();
        core.jobs.borrow_mut().insert(id, Entry { orders: sender, standing: false });
        let (core, identity) = (core.clone(), identity.to_string());
        Some(Seat { core, id, class, identity, orders, attempts: 0, out: None, answered: false })
    }

    /// The class of its request.
    pub fn class(&self) -> usize {
        self.class
    }

    /// An attempt begins.
    pub fn begin(&mut self) {
        self.attempts += 1;
        self.out = Some(self.core.now());
    }

    /// The attempt's connection stands.
    pub fn stand(&mut self) {
        let sent = self.out.unwrap_or_else(|| self.core.now());
        let latency = self.core.now() - sent;
        self.hold();
        self.core.tell(Event::Established { id: self.id, attempt: self.attempts - 1, latency });
    }

    /// The connection stands already, came from the process before, and was counted there.
    pub fn adopted(&mut self) {
        self.settle();
        self.mark_standing();
    }

    /// Its load, as the module last heard of it; microseconds of work a second.
    pub fn load(&self) -> Option<f64> {
        self.core.module.borrow().books().load_of(self.id)
    }

    /// The connection stands already, and the module was told so.
    pub fn hold(&mut self) {
        self.answered(Final::Served);
        self.mark_standing();
    }

    fn mark_standing(&self) {
        if let Some(job) = self.core.jobs.borrow_mut().get_mut(&self.id) {
            job.standing = true;
        }
    }

    /// The attempt that is out has ended.
    pub fn end(&mut self, status: Status) {
        let Some(sent) = self.out.take() else { return };
        if let Some(job) = self.core.jobs.borrow_mut().get_mut(&self.id) {
            job.standing = false;
        }
        let (now, closed) = (self.core.now(), self.answered);
        let attempt = self.attempts - 1;
        let ended = AttemptResult { id: self.id, attempt, status, latency: now - sent, closed };
        self.core.tell(Event::AttemptEnded(ended));
    }

    /// The final answer, which is the module's, is known.
    pub fn answered(&mut self, answer: Final) {
        self.answered = true;
        self.core.figures.ended(self.class, answer);
    }

    /// The module is owed nothing for this job.
    pub fn settle(&mut self) {
        self.answered = true;
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.core.jobs.borrow_mut().remove(&self.id);
        self.core.identities.borrow_mut().remove(&self.identity);
        self.core.ring_if_idle();
        let settle = AssertUnwindSafe(|| {
            if !std::mem::replace(&mut self.answered, true) {
                self.core.tell(Event::ClientGone(self.id));
            }
            self.end(Status::Cancelled);
        });
        // A panic that unwinds this job must meet no second one here, which would end the process.
        if catch_unwind(settle).is_err() {
            tracing::error!(target: "job", "{}: a panic while it was settled", self.id);
        }
    }
}
