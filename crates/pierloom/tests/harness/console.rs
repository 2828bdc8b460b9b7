//! Calls to a proxy's console.

use super::{Peer, poll_until};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Calls a console. Returns the status and the body of the answer, and how long the call took.
pub fn call_console(console: SocketAddr, method: &str, path: &str) -> (u16, String, Duration) {
    let started_at = Instant::now();
    let mut peer = Peer::connect(console);
    peer.send(&format!("{method} {path} HTTP/1.1\r\nHost: staff\r\n\r\n"));
    let (answer, _) = peer.read_to_end();
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).expect(&answer);
    let body = answer.split_once("\r\n\r\n").expect(&answer).1;
    (status, body.to_string(), started_at.elapsed())
}

/// The value of a metric on a metrics page, by its full name with labels.
pub fn metric_value(page: &str, name: &str) -> u64 {
    let line = page.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no {name} in {page}")).parse().unwrap()
}

/// Polls the health check until it succeeds.
pub fn wait_until_healthy(console: SocketAddr) {
    poll_until(|| (call_console(console, "GET", "/healthcheck").0 == 200).then_some(()))
        .expect("a process that serves");
}
