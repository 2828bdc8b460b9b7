//! Panics of this thread, counted: a run must bring none, wherever it was caught.

use std::cell::{Cell, RefCell};
use std::sync::Once;

thread_local! {
    static PLAYING: Cell<bool> = const { Cell::new(false) };
    static SEEN: Cell<u64> = const { Cell::new(0) };
    static LAST: RefCell<String> = const { RefCell::new(String::new()) };
}

/// Number of panics on this thread since the first call in the process.
pub fn panic_count() -> u64 {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let before = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            SEEN.with(|seen| seen.set(seen.get() + 1));
            LAST.with(|last| *last.borrow_mut() = info.to_string().replace('\n', " "));
            // A run reports its own; those of others are printed as ever.
            if !PLAYING.with(Cell::get) {
                before(info);
            }
        }));
    });
    SEEN.with(Cell::get)
}

/// Says that a run begins on this thread, or ends: its panics are counted and not printed.
pub fn set_simulating(now: bool) {
    PLAYING.with(|playing| playing.set(now));
}

/// What the last of them said.
pub fn last_message() -> String {
    LAST.with(|last| last.borrow().clone())
}
