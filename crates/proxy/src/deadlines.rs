//! All deadlines in one structure, sorted by time; what is due is taken out each turn.

use pierloom_decision::Micros;
use pierloom_host::Host;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;

enum Due {
    /// A timer that the module set.
    Module(u64),
    /// A task that waits.
    Task(Option<Waker>),
}

/// Deadlines by (time, number).
pub struct Deadlines {
    host: Host,
    entries: RefCell<BTreeMap<(Micros, u64), Due>>,
    next: Cell<u64>,
    /// Rung when a new deadline comes before all others.
    sooner: Notify,
}

impl Deadlines {
    pub fn new(host: Host) -> Self {
        Deadlines { host, entries: RefCell::default(), next: Cell::new(0), sooner: Notify::new() }
    }

    pub fn now(&self) -> Micros {
        self.host.now()
    }

    fn enter(&self, at: Micros, due: Due) -> (Micros, u64) {
        let key = (at, self.next.replace(self.next.get() + 1));
        let mut entries = self.entries.borrow_mut();
        if entries.first_key_value().is_none_or(|(first, _)| key < *first) {
            self.sooner.notify_one();
        }
        entries.insert(key, due);
        key
    }

    /// Sets a timer of the module's.
    pub fn set(&self, at: Micros, token: u64) {
        self.enter(at, Due::Module(token));
    }

    /// Waits until that time.
    pub fn until(&self, at: Micros) -> Until<'_> {
        Until { deadlines: self, key: self.enter(at, Due::Task(None)) }
    }

    /// Waits until something is due, wakes the tasks that it concerns and returns the module's tokens.
    pub async fn wait_due(&self) -> Vec<u64> {
        loop {
            let first = self.entries.borrow().first_key_value().map(|(&(at, _), _)| at);
            let now = self.now();
            match first {
                Some(at) if at <= now => return self.take_due(now),
                Some(at) => {
                    tokio::select! {
                        biased;
                        () = self.host.sleep_until(at) => {}
                        () = self.sooner.notified() => {}
                    }
                }
                None => self.sooner.notified().await,
            }
        }
    }

    fn take_due(&self, now: Micros) -> Vec<u64> {
        let mut entries = self.entries.borrow_mut();
        let later = entries.split_off(&(now + 1, 0));
        let due = std::mem::replace(&mut *entries, later);
        drop(entries);
        let mut tokens = Vec::new();
        for due in due.into_values() {
            match due {
                Due::Module(token) => tokens.push(token),
                Due::Task(waker) => waker.into_iter().for_each(Waker::wake),
            }
        }
        tokens
    }
}

/// Ends at its time; dropped before, it leaves no entry behind.
pub struct Until<'a> {
    deadlines: &'a Deadlines,
    key: (Micros, u64),
}

impl Future for Until<'_> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        match self.deadlines.entries.borrow_mut().get_mut(&self.key) {
            Some(Due::Task(waker)) => {
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
