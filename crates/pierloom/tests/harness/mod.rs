//! Test harness: starts the real program and stands in for its clients, its backends and discovery.
//! Tests wait for events, with time limits far beyond what a passing run needs.

#![allow(unused_imports)] // each test program uses only a part of the harness

mod backend;
mod config;
mod console;
mod discovery;
mod handover;
mod kernel_socket;
mod peer;
mod process;
mod proxy;

pub use backend::{Backend, FullQueueBackend, entry};
pub use config::{ConfigFile, SETTINGS, config_text, write_config_file};
pub use console::{call_console, metric_value, wait_until_healthy};
pub use discovery::{Discovery, DiscoveryCall, http_response};
pub use handover::{Folder, HandoverPeer};
pub use peer::Peer;
pub use process::{
    open_pipe_for_writing, program_command, run_to_end, send_signal, strace_command, wait_for_exit,
};
pub use proxy::Proxy;

use std::thread;
use std::time::{Duration, Instant};

/// Longest time that a test waits for an event. A wait that takes longer fails the test.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls `condition` until it returns a value; `None` after `EVENT_TIMEOUT`.
pub fn poll_until<T>(condition: impl Fn() -> Option<T>) -> Option<T> {
    let started_at = Instant::now();
    while started_at.elapsed() < EVENT_TIMEOUT {
        if let Some(value) = condition() {
            return Some(value);
        }
        thread::sleep(Duration::from_millis(2));
    }
    None
}
