//! The virtual clock and the task scheduler. Everything runs on one thread, one event at a time. Events that
//! are due in the same instant, and tasks that are ready together, run in a random order drawn from the seed.

use crate::net::Net;
use crate::observer::Observer;
use crate::rng::{self, Rng};
use pierloom_host::{Local, Micros};
use rand::Rng as _;
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};

/// Start of the virtual clock; Unix time in microseconds. It is far from 0, which stands for "long ago",
/// so that no code takes a time near the start of a run for one long past.
pub const EPOCH: Micros = 1_700_000_000_000_000;
/// Polls within one instant after which a run counts as never idle.
const MAX_POLLS_PER_INSTANT: u32 = 200_000;

/// Number of a process, never reused within a run.
pub type ProcessId = usize;

type TaskKey = usize;

/// An event in the queue.
pub enum Event {
    /// Wakes a sleeping task.
    Wake(Waker),
    /// Runs a closure.
    Call(Box<dyn FnOnce()>),
    /// Delivers the first segment in transit on a connection (its number) to one of its ends (0 or 1).
    Deliver(usize, usize),
}

/// Position in the event queue: the time, a random order within the same time, and a unique number.
pub type EventKey = (Micros, u32, u64);

struct TaskWaker {
    key: TaskKey,
    /// Whether the task is in `ready` already.
    queued: AtomicBool,
    ready: Arc<Mutex<Vec<TaskKey>>>,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Ordering::Relaxed) {
            self.ready.lock().unwrap_or_else(PoisonError::into_inner).push(self.key);
        }
    }
}

struct Task {
    process: ProcessId,
    /// `None` while the task is polled.
    future: Option<Local<'static, ()>>,
    wake: Arc<TaskWaker>,
}

/// A simulation: the virtual clock, its event queue, the tasks, and the network.
pub struct Sim {
    now: Cell<Micros>,
    queue: RefCell<BTreeMap<EventKey, Event>>,
    next_event_number: Cell<u64>,
    /// Random order of events and tasks within one instant.
    order_rng: RefCell<Rng>,
    tasks: RefCell<Slab<Task>>,
    ready: Arc<Mutex<Vec<TaskKey>>>,
    /// The network between the processes.
    pub net: RefCell<Net>,
    /// Checks the rules against all network events.
    pub observer: RefCell<Observer>,
    poll_count: Cell<u64>,
    event_count: Cell<u64>,
}

impl Sim {
    /// A simulation without processes; `seed` determines the random order within an instant.
    pub fn new(seed: u64, net: Net, observer: Observer) -> Rc<Self> {
        Rc::new(Sim {
            now: Cell::new(EPOCH),
            queue: RefCell::default(),
            next_event_number: Cell::new(0),
            order_rng: RefCell::new(rng::stream(seed, "order")),
            tasks: RefCell::default(),
            ready: Arc::default(),
            net: RefCell::new(net),
            observer: RefCell::new(observer),
            poll_count: Cell::new(0),
            event_count: Cell::new(0),
        })
    }

    /// The virtual time.
    pub fn now(&self) -> Micros {
        self.now.get()
    }

    /// Numbers of task polls and of events so far.
    pub fn task_counts(&self) -> (u64, u64) {
        (self.poll_count.get(), self.event_count.get())
    }

    /// Schedules an event for that time, or for now if the time has passed.
    pub fn schedule(&self, at: Micros, event: Event) -> EventKey {
        let number = self.next_event_number.replace(self.next_event_number.get() + 1);
        let key = (at.max(self.now()), self.order_rng.borrow_mut().random(), number);
        self.queue.borrow_mut().insert(key, event);
        key
    }

    /// Schedules a closure for that time.
    pub fn schedule_call(&self, at: Micros, action: impl FnOnce() + 'static) {
        self.schedule(at, Event::Call(Box::new(action)));
    }

    /// A future that completes at that time.
    pub fn sleep_until(self: &Rc<Self>, at: Micros) -> Sleep {
        Sleep { sim: self.clone(), at, key: None }
    }

    /// Starts a task that belongs to that process.
    pub fn spawn(&self, process: ProcessId, future: Local<'static, ()>) {
        let mut tasks = self.tasks.borrow_mut();
        let entry = tasks.vacant_entry();
        let wake = TaskWaker { key: entry.key(), queued: AtomicBool::new(false), ready: self.ready.clone() };
        let wake = Arc::new(wake);
        entry.insert(Task { process, future: Some(future), wake: wake.clone() });
        wake.wake();
    }

    /// Number of tasks of that process.
    pub fn task_count(&self, process: ProcessId) -> usize {
        self.tasks.borrow().iter().filter(|(_, task)| task.process == process).count()
    }

    /// Drops all tasks of a process at once, as a kill does. Must not be called from within one of them.
    pub fn drop_tasks(&self, process: ProcessId) {
        let keys: Vec<_> =
            self.tasks.borrow().iter().filter(|(_, t)| t.process == process).map(|(key, _)| key).collect();
        for key in keys {
            // Dropping a future may call back into this simulation, so no cell may be borrowed meanwhile.
            let future = self.tasks.borrow_mut().get_mut(key).and_then(|task| task.future.take());
            drop(future);
            self.tasks.borrow_mut().try_remove(key);
        }
    }

    /// Number of processes started so far, ended ones included.
    pub fn process_count(&self) -> usize {
        self.net.borrow().len()
    }

    /// Discards all events that are still due.
    pub fn discard_events(&self) {
        let queue = std::mem::take(&mut *self.queue.borrow_mut());
        drop(queue);
    }

    /// Runs until that time. Returns false if tasks never become idle within one instant.
    pub fn run_until(&self, end: Micros) -> bool {
        let mut polls = 0;
        loop {
            while let Some(key) = self.pick_ready_task() {
                self.poll_task(key);
                polls += 1;
                if polls > MAX_POLLS_PER_INSTANT {
                    return false;
                }
            }
            let next_key = self.queue.borrow().first_key_value().map(|(key, _)| *key);
            match next_key.filter(|(at, ..)| *at <= end) {
                None => {
                    self.advance(end);
                    return true;
                }
                Some((at, ..)) => {
                    if at > self.now() {
                        polls = 0;
                        self.advance(at);
                    }
                    let event = self.queue.borrow_mut().pop_first();
                    self.event_count.set(self.event_count.get() + 1);
                    match event {
                        Some((_, Event::Wake(waker))) => waker.wake(),
                        Some((_, Event::Call(action))) => action(),
                        Some((_, Event::Deliver(connection, end))) => self.deliver(connection, end),
                        None => {}
                    }
                }
            }
        }
    }

    fn advance(&self, to: Micros) {
        self.observer.borrow_mut().advance_to(to);
        self.now.set(to);
    }

    /// Removes a random one of the ready tasks.
    fn pick_ready_task(&self) -> Option<TaskKey> {
        let mut ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        match ready.len() {
            0 => None,
            1 => ready.pop(),
            ready_count => {
                let i = self.order_rng.borrow_mut().random_range(0..ready_count);
                Some(ready.swap_remove(i))
            }
        }
    }

    fn poll_task(&self, key: TaskKey) {
        let taken = self.tasks.borrow_mut().get_mut(key).and_then(|task| {
            task.wake.queued.store(false, Ordering::Relaxed);
            Some((task.future.take()?, task.wake.clone()))
        });
        // The task may have ended meanwhile. If another task has its key now, that task is polled once more
        // than needed.
        let Some((mut future, wake)) = taken else { return };
        self.poll_count.set(self.poll_count.get() + 1);
        let waker = Waker::from(wake);
        let polled = future.as_mut().poll(&mut Context::from_waker(&waker));
        let mut tasks = self.tasks.borrow_mut();
        match polled {
            Poll::Pending if tasks.contains(key) => tasks[key].future = Some(future),
            _ => {
                tasks.try_remove(key);
                drop(tasks);
                drop(future);
            }
        }
    }
}

/// A future that completes at a virtual time. Dropping it early removes its event from the queue.
pub struct Sleep {
    sim: Rc<Sim>,
    at: Micros,
    /// The event in the queue, once the future has been polled.
    key: Option<EventKey>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.sim.now() >= self.at {
            return Poll::Ready(());
        }
        let waker = context.waker().clone();
        match self.key {
            Some(key) => {
                self.sim.queue.borrow_mut().insert(key, Event::Wake(waker));
            }
            None => self.key = Some(self.sim.schedule(self.at, Event::Wake(waker))),
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.sim.queue.borrow_mut().remove(&key);
        }
    }
}
