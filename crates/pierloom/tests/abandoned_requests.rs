//! Requests whose clients leave before they are answered, and what the proxy then still serves.

#![allow(clippy::disallowed_types, clippy::disallowed_methods)] // peers of the real program, on real sockets

#[allow(dead_code)] // each test program uses only a part of the harness
mod harness;

use harness::{Backend, EVENT_TIMEOUT, Proxy, poll_until};
use std::time::{Duration, Instant};

/// How often the test looks for attempts at the backends.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Sends a request, answers each of its attempts with `answer`, and returns the line that the client gets.
fn request_answered_with(proxy: &Proxy, key: &str, backends: &[Backend], answer: &str) -> String {
    let mut client = proxy.send_request(key);
    let mut attempts = Vec::new();
    let started_at = Instant::now();
    while started_at.elapsed() < EVENT_TIMEOUT {
        for (mut attempt, _) in backends.iter().filter_map(Backend::try_accept_first_line) {
            attempt.send_if_open(answer);
            attempts.push(attempt);
        }
        if let Some(line) = client.line_within(POLL_INTERVAL) {
            return line;
        }
    }
    panic!("the client gets no answer");
}

// Guards against a proxy that refuses everything for good: the attempt of a client that left with its request
// stayed counted as a setup in progress, and no other setup may start beside it once setups fail everywhere.
#[test]
fn a_client_that_leaves_with_its_request_does_not_stop_all_later_setups() {
    let backends = [Backend::new("n0"), Backend::new("n1"), Backend::new("n2")];
    let proxy = Proxy::start("abandoned", &backends.each_ref());
    proxy.suspend();
    // When the process goes on, it finds the client's end together with the request.
    drop(proxy.send_request("left"));
    proxy.resume();
    // The keys differ, so that all backends are tried.
    for key in ["a", "b", "c", "d", "e", "f"] {
        let answer = request_answered_with(&proxy, key, &backends, "ERR\r\n");
        assert!(answer.starts_with("BUSY"), "{answer}");
    }
    let served = || {
        let answer = request_answered_with(&proxy, "later", &backends, "UP r1\r\n");
        answer.starts_with("UP").then_some(())
    };
    poll_until(served).expect("a request that is served once the backends serve again");
}
