//! Counts the panics of the current thread. A run must cause no panic, not even one that is caught.

use std::cell::{Cell, RefCell};
use std::sync::Once;

thread_local! {
    static SIMULATING: Cell<bool> = const { Cell::new(false) };
    static PANIC_COUNT: Cell<u64> = const { Cell::new(0) };
    static LAST_MESSAGE: RefCell<String> = const { RefCell::new(String::new()) };
}

/// Returns the number of panics on this thread since the first call in the process.
pub fn panic_count() -> u64 {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let previous_hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            PANIC_COUNT.with(|count| count.set(count.get() + 1));
            LAST_MESSAGE.with(|message| *message.borrow_mut() = info.to_string().replace('\n', " "));
            // A run reports its own panics; all others are printed as usual.
            if !SIMULATING.with(Cell::get) {
                previous_hook(info);
            }
        }));
    });
    PANIC_COUNT.with(Cell::get)
}

/// Marks the beginning or the end of a run on this thread. Panics during a run are counted, not printed.
pub fn set_simulating(simulating: bool) {
    SIMULATING.with(|flag| flag.set(simulating));
}

/// Returns the message of the last panic on this thread.
pub fn last_message() -> String {
    LAST_MESSAGE.with(|message| message.borrow().clone())
}
