//! Pending connections: those of which nothing whole was heard yet, bounded, so that those who say nothing keep nobody out.

use crate::core::Core;
use pierloom_decision::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// One is not sent away sooner than this for the next: its words may be on the way; microseconds.
const LEAST_HEARING: Micros = 20_000;

/// Connections not heard yet. Where they are too many, the one that has been there longest makes room for the next.
pub struct PendingConnections {
    most: usize,
    next: Cell<u64>,
    /// Since when each is there, and what rings when its place is wanted.
    there: RefCell<BTreeMap<u64, (Micros, Rc<Notify>)>>,
    /// Rung when one has left.
    left: Notify,
}

impl PendingConnections {
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(PendingConnections {
            most,
            next: Cell::new(0),
            there: RefCell::default(),
            left: Notify::new(),
        })
    }

    /// Waits for a place.
    pub async fn acquire_slot(self: &Rc<Self>, core: &Core) -> PendingSlot {
        while self.there.borrow().len() >= self.most {
            let longest = self.there.borrow().values().next().cloned();
            let Some((since, wanted)) = longest else { continue };
            tokio::select! {
                biased;
                () = self.left.notified() => continue,
                () = core.deadlines.until(since + LEAST_HEARING) => {}
            }
            wanted.notify_one();
            self.left.notified().await;
        }
        let (number, wanted) = (self.next.replace(self.next.get() + 1), Rc::new(Notify::new()));
        self.there.borrow_mut().insert(number, (core.now(), wanted.clone()));
        PendingSlot { pending: self.clone(), number, wanted }
    }
}

/// A place in the pending, free again when this is dropped.
pub struct PendingSlot {
    pending: Rc<PendingConnections>,
    number: u64,
    wanted: Rc<Notify>,
}

impl PendingSlot {
    /// Waits until the place is wanted for another.
    pub async fn evicted(&self) {
        self.wanted.notified().await;
    }
}

impl Drop for PendingSlot {
    fn drop(&mut self) {
        self.pending.there.borrow_mut().remove(&self.number);
        self.pending.left.notify_one();
    }
}
