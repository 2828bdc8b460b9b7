//! Pending connections: those from which no complete request has arrived yet. Their number is bounded, so
//! that silent connections keep no client out.

use crate::core::Core;
use pierloom_decision::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// A pending connection is evicted for the next no sooner than this, as its request may be on the way.
const MIN_PENDING_TIME_US: Micros = 20_000;

/// The set of pending connections. At capacity, the oldest one is evicted to make room for the next.
pub struct PendingConnections {
    capacity: usize,
    next_id: Cell<u64>,
    /// For each connection, the time since when it is pending, and the notification of its eviction.
    slots: RefCell<BTreeMap<u64, (Micros, Rc<Notify>)>>,
    /// Notified when a slot becomes free.
    slot_released: Notify,
}

impl PendingConnections {
    /// A set of at most `capacity` connections.
    pub fn new(capacity: usize) -> Rc<Self> {
        Rc::new(PendingConnections {
            capacity,
            next_id: Cell::new(0),
            slots: RefCell::default(),
            slot_released: Notify::new(),
        })
    }

    /// Waits for a free slot, and evicts the oldest connection where there is none.
    pub async fn acquire_slot(self: &Rc<Self>, core: &Core) -> PendingSlot {
        while self.slots.borrow().len() >= self.capacity {
            let oldest = self.slots.borrow().values().next().cloned();
            let Some((since, eviction)) = oldest else { continue };
            tokio::select! {
                biased;
                () = self.slot_released.notified() => continue,
                () = core.deadlines.until(since + MIN_PENDING_TIME_US) => {}
            }
            eviction.notify_one();
            self.slot_released.notified().await;
        }
        let (id, eviction) = (self.next_id.replace(self.next_id.get() + 1), Rc::new(Notify::new()));
        self.slots.borrow_mut().insert(id, (core.now(), eviction.clone()));
        PendingSlot { pending: self.clone(), id, eviction }
    }
}

/// A slot among the pending connections; dropping it makes the slot free again.
pub struct PendingSlot {
    pending: Rc<PendingConnections>,
    id: u64,
    eviction: Rc<Notify>,
}

impl PendingSlot {
    /// Waits until the slot is needed for another connection.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }
}

impl Drop for PendingSlot {
    fn drop(&mut self) {
        self.pending.slots.borrow_mut().remove(&self.id);
        self.pending.slot_released.notify_one();
    }
}
