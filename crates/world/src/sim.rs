//! The virtual clock and its tasks. One thread, one event at a time: what falls due in the same instant, and
//! tasks that are ready together, run in an order that the seed draws.

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

/// Where the virtual clock starts: a Unix time, so that nothing takes it for "long ago"; microseconds.
pub const EPOCH: Micros = 1_700_000_000_000_000;
/// Polls within one instant after which the world is deemed never to come to rest.
const RESTLESS: u32 = 200_000;

/// Number of a process; never reused within a run.
pub type ProcessId = usize;

type TaskKey = usize;

/// What happens at a time.
pub enum Due {
    /// Somebody who slept wakes up.
    Wake(Waker),
    /// Something is done.
    Call(Box<dyn FnOnce()>),
    /// What is first on the way to that end of that connection arrives there.
    Deliver(usize, usize),
}

/// A place in the queue: time, the seed's order within it, and a number that tells entries apart.
pub type Key = (Micros, u32, u64);

struct TaskWake {
    key: TaskKey,
    queued: AtomicBool,
    ready: Arc<Mutex<Vec<TaskKey>>>,
}

impl Wake for TaskWake {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Ordering::Relaxed) {
            self.ready.lock().unwrap_or_else(PoisonError::into_inner).push(self.key);
        }
    }
}

struct Running {
    process: ProcessId,
    /// Taken out while it is polled.
    future: Option<Local<'static, ()>>,
    wake: Arc<TaskWake>,
}

/// One simulated world.
pub struct Sim {
    now: Cell<Micros>,
    queue: RefCell<BTreeMap<Key, Due>>,
    next: Cell<u64>,
    order: RefCell<Rng>,
    tasks: RefCell<Slab<Running>>,
    ready: Arc<Mutex<Vec<TaskKey>>>,
    /// The network between the processes.
    pub net: RefCell<Net>,
    /// Who watches what crosses it.
    pub observer: RefCell<Observer>,
    polls: Cell<u64>,
    events: Cell<u64>,
}

impl Sim {
    /// An empty world whose order within instants is drawn from that seed.
    pub fn new(seed: u64, net: Net, observer: Observer) -> Rc<Self> {
        Rc::new(Sim {
            now: Cell::new(EPOCH),
            queue: RefCell::default(),
            next: Cell::new(0),
            order: RefCell::new(rng::stream(seed, "order")),
            tasks: RefCell::default(),
            ready: Arc::default(),
            net: RefCell::new(net),
            observer: RefCell::new(observer),
            polls: Cell::new(0),
            events: Cell::new(0),
        })
    }

    /// The virtual time.
    pub fn now(&self) -> Micros {
        self.now.get()
    }

    /// Polls and events so far.
    pub fn work(&self) -> (u64, u64) {
        (self.polls.get(), self.events.get())
    }

    /// Has that happen at that time, or now if it has passed.
    pub fn at(&self, at: Micros, due: Due) -> Key {
        let number = self.next.replace(self.next.get() + 1);
        let key = (at.max(self.now()), self.order.borrow_mut().random(), number);
        self.queue.borrow_mut().insert(key, due);
        key
    }

    /// Has something done at that time.
    pub fn call(&self, at: Micros, what: impl FnOnce() + 'static) {
        self.at(at, Due::Call(Box::new(what)));
    }

    /// A sleep until that time.
    pub fn sleep(self: &Rc<Self>, at: Micros) -> Sleep {
        Sleep { sim: self.clone(), at, key: None }
    }

    /// Runs a task that belongs to that process.
    pub fn spawn(&self, process: ProcessId, future: Local<'static, ()>) {
        let mut tasks = self.tasks.borrow_mut();
        let entry = tasks.vacant_entry();
        let wake = TaskWake { key: entry.key(), queued: AtomicBool::new(false), ready: self.ready.clone() };
        let wake = Arc::new(wake);
        entry.insert(Running { process, future: Some(future), wake: wake.clone() });
        wake.wake();
    }

    /// Number of that process's tasks.
    pub fn tasks_of(&self, process: ProcessId) -> usize {
        self.tasks.borrow().iter().filter(|(_, task)| task.process == process).count()
    }

    /// Ends all tasks of a process at once, as a kill does. Never called from within one of them.
    pub fn drop_tasks(&self, process: ProcessId) {
        let keys: Vec<_> =
            self.tasks.borrow().iter().filter(|(_, t)| t.process == process).map(|(key, _)| key).collect();
        for key in keys {
            // A future's drop may reach back into this world: nothing is borrowed then.
            let future = self.tasks.borrow_mut().get_mut(key).and_then(|task| task.future.take());
            drop(future);
            self.tasks.borrow_mut().try_remove(key);
        }
    }

    /// Number of processes that were ever started.
    pub fn processes(&self) -> usize {
        self.net.borrow().len()
    }

    /// Forgets what is still to happen.
    pub fn clear(&self) {
        let queue = std::mem::take(&mut *self.queue.borrow_mut());
        drop(queue);
    }

    /// Runs until that time; false if the world would not come to rest within one instant.
    pub fn run_until(&self, end: Micros) -> bool {
        let mut polls = 0;
        loop {
            while let Some(key) = self.pick() {
                self.poll(key);
                polls += 1;
                if polls > RESTLESS {
                    return false;
                }
            }
            let first = self.queue.borrow().first_key_value().map(|(key, _)| *key);
            match first.filter(|(at, ..)| *at <= end) {
                None => {
                    self.advance(end);
                    return true;
                }
                Some((at, ..)) => {
                    if at > self.now() {
                        polls = 0;
                        self.advance(at);
                    }
                    let due = self.queue.borrow_mut().pop_first();
                    self.events.set(self.events.get() + 1);
                    match due {
                        Some((_, Due::Wake(waker))) => waker.wake(),
                        Some((_, Due::Call(what))) => what(),
                        Some((_, Due::Deliver(connection, end))) => self.deliver(connection, end),
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

    /// One of the tasks that are ready, as the seed draws.
    fn pick(&self) -> Option<TaskKey> {
        let mut ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        match ready.len() {
            0 => None,
            1 => ready.pop(),
            n => {
                let i = self.order.borrow_mut().random_range(0..n);
                Some(ready.swap_remove(i))
            }
        }
    }

    fn poll(&self, key: TaskKey) {
        let taken = self.tasks.borrow_mut().get_mut(key).and_then(|task| {
            task.wake.queued.store(false, Ordering::Relaxed);
            Some((task.future.take()?, task.wake.clone()))
        });
        // It ended meanwhile, or the key is another task's now, which is then polled once more than needed.
        let Some((mut future, wake)) = taken else { return };
        self.polls.set(self.polls.get() + 1);
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

/// A sleep; dropped before its time, it leaves nothing in the queue.
pub struct Sleep {
    sim: Rc<Sim>,
    at: Micros,
    key: Option<Key>,
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
                self.sim.queue.borrow_mut().insert(key, Due::Wake(waker));
            }
            None => self.key = Some(self.sim.at(self.at, Due::Wake(waker))),
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
