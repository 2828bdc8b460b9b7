//! All timers of the process in one structure, sorted by time.

use pierloom_decision::Micros;
use pierloom_host::Host;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;

enum Timer {
    /// A timer of the decision module, with its token.
    Module(u64),
    /// A waiting task, with its waker once it was polled.
    Task(Option<Waker>),
}

/// Pending timers, ordered by time, then by the order of their creation.
pub struct Deadlines {
    host: Host,
    entries: RefCell<BTreeMap<(Micros, u64), Timer>>,
    next_number: Cell<u64>,
    /// Notified when a new timer is due before all others.
    earlier_timer: Notify,
}

impl Deadlines {
    /// An empty set of timers on that machine's clock.
    pub fn new(host: Host) -> Self {
        Deadlines {
            host,
            entries: RefCell::default(),
            next_number: Cell::new(0),
            earlier_timer: Notify::new(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.host.now()
    }

    /// Adds a timer and returns its key.
    fn insert(&self, at: Micros, timer: Timer) -> (Micros, u64) {
        let key = (at, self.next_number.replace(self.next_number.get() + 1));
        let mut entries = self.entries.borrow_mut();
        if entries.first_key_value().is_none_or(|(first, _)| key < *first) {
            self.earlier_timer.notify_one();
        }
        entries.insert(key, timer);
        key
    }

    /// Sets a timer of the decision module.
    pub fn set(&self, at: Micros, token: u64) {
        self.insert(at, Timer::Module(token));
    }

    /// Returns a future that completes at that time.
    pub fn until(&self, at: Micros) -> Until<'_> {
        Until { deadlines: self, key: self.insert(at, Timer::Task(None)) }
    }

    /// Waits until a timer is due, then wakes the tasks whose timers are due and returns the tokens of the
    /// decision module's due timers.
    pub async fn wait_due(&self) -> Vec<u64> {
        loop {
            let first = self.entries.borrow().first_key_value().map(|(&(at, _), _)| at);
            let now = self.now();
            match first {
                Some(at) if at <= now => {
                    // What arrived before a time limit counts, even if the process was paused and has not
                    // polled its sockets since.
                    self.host.sockets_polled().await;
                    return self.take_due(now);
                }
                Some(at) => {
                    tokio::select! {
                        biased;
                        () = self.host.sleep_until(at) => {}
                        () = self.earlier_timer.notified() => {}
                    }
                }
                None => self.earlier_timer.notified().await,
            }
        }
    }

    /// Removes all due timers, wakes their tasks and returns the decision module's tokens.
    fn take_due(&self, now: Micros) -> Vec<u64> {
        let mut entries = self.entries.borrow_mut();
        let later = entries.split_off(&(now + 1, 0));
        let due = std::mem::replace(&mut *entries, later);
        drop(entries);
        let mut tokens = Vec::new();
        for timer in due.into_values() {
            match timer {
                Timer::Module(token) => tokens.push(token),
                Timer::Task(waker) => waker.into_iter().for_each(Waker::wake),
            }
        }
        tokens
    }
}

/// A future that completes at its time. Dropping it earlier removes its timer.
pub struct Until<'a> {
    deadlines: &'a Deadlines,
    key: (Micros, u64),
}

impl Future for Until<'_> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        match self.deadlines.entries.borrow_mut().get_mut(&self.key) {
            Some(Timer::Task(waker)) => {
                *waker = Some(context.waker().clone());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        }
    }
}

impl Drop for Until<'_> {
    fn drop(&mut self) {
        self.deadlines.entries.borrow_mut().remove(&self.key);
    }
}
