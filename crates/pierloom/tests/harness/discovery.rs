//! A stand-in for the discovery service.

use super::{EVENT_TIMEOUT, Peer, poll_until};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A call that discovery received. Calls that only open a watch are left out.
pub struct DiscoveryCall {
    /// Number of the call's connection, in the order of acceptance.
    pub connection: usize,
    /// Index of the list from which the call watches; 0 for a snapshot.
    pub from_index: u64,
    /// When the call arrived, or left the queue after the queue delay.
    pub at: Instant,
}

#[derive(Default)]
struct DiscoveryState {
    index: u64,
    updates: VecDeque<(u64, String)>,
    failures: u32,
    /// Answers that are sent unchanged. The connection is closed after each.
    raw_answers: VecDeque<String>,
    /// Every answer holds the whole list, also one to a watch.
    answers_whole_lists: bool,
    /// Number of connections accepted so far.
    accepted: usize,
    /// Calls on connections below this number get no answer.
    unanswered_below: usize,
    /// Calls on connections below this number do not fail.
    not_failed_below: usize,
    /// How long the first call of each connection waits, as if behind calls of other proxies, even if the
    /// caller has left.
    queue_delay: Duration,
}

impl DiscoveryState {
    /// The state of a service whose list has index 1 and these entries.
    fn listing(entries: &[String]) -> Self {
        let updates = entries.iter().map(|entry| (1, entry.clone())).collect();
        DiscoveryState { index: 1, updates, ..DiscoveryState::default() }
    }

    /// Counts a new connection. Returns how long its first call waits.
    fn accept(&mut self, connection: usize) -> Duration {
        self.accepted = connection + 1;
        self.queue_delay
    }

    /// The newest entry of each backend, without those that are gone.
    fn whole_list(&self) -> Vec<&str> {
        let name = |entry: &str| entry.split("\"name\":\"").nth(1)?.split('"').next().map(String::from);
        let newest: BTreeMap<_, _> = self.updates.iter().map(|(_, entry)| (name(entry), &**entry)).collect();
        newest.into_values().filter(|entry| !entry.contains("\"status\":\"gone\"")).collect()
    }

    /// The entries that are newer than an index.
    fn changes_since(&self, from_index: u64) -> Vec<&str> {
        let newer = self.updates.iter().filter(|(index, _)| *index > from_index);
        newer.map(|(_, entry)| entry.as_str()).collect()
    }
}

/// A stand-in for the discovery service.
pub struct Discovery {
    /// Address of the service.
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    /// Calls received so far that the test has not taken.
    pub calls: Receiver<DiscoveryCall>,
}

impl Discovery {
    /// Starts a service at a free address. Its endpoint list has index 1 and no entries.
    pub fn new() -> Self {
        Discovery::listing(&[])
    }

    /// Starts a service at a free address. Its endpoint list has index 1 and these entries.
    pub fn listing(entries: &[String]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new((Mutex::new(DiscoveryState::listing(entries)), Condvar::new()));
        let (sender, calls) = channel();
        let shared = state.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let queue_delay = shared.0.lock().unwrap().accept(connection);
                let served = ServedConnection {
                    number: connection,
                    queue_delay,
                    peer: Peer::new(stream),
                    state: shared.clone(),
                    calls: sender.clone(),
                };
                thread::spawn(move || served.serve());
            }
        });
        Discovery { address, state, calls }
    }

    /// Publishes a change to all proxies that watch.
    pub fn publish(&self, entry: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.index += 1;
        let index = state.index;
        state.updates.push_back((index, entry.to_string()));
        self.state.1.notify_all();
    }

    /// Answers the waiting call with `text`, unchanged, and closes its connection.
    pub fn send_raw_answer(&self, text: String) {
        self.state.0.lock().unwrap().raw_answers.push_back(text);
        self.state.1.notify_all();
    }

    /// Sends no more answers on the connections accepted so far: calls there wait without end.
    pub fn stop_answering(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.unanswered_below = state.accepted;
    }

    /// Sends no answers on the connections below that number, whether or not they have been accepted.
    pub fn leave_unanswered_below(&self, first_answered: usize) {
        self.state.0.lock().unwrap().unanswered_below = first_answered;
    }

    /// Answers again on the connections that `stop_answering` silenced; calls on all others fail.
    pub fn answer_old_connections_only(&self) {
        let mut state = self.state.0.lock().unwrap();
        (state.not_failed_below, state.failures, state.unanswered_below) =
            (state.unanswered_below, u32::MAX, 0);
        self.state.1.notify_all();
    }

    /// Waits until a proxy connects.
    pub fn wait_until_connected(&self) {
        self.wait_for_connections(1);
    }

    /// Waits until that many connections have been made since the start.
    pub fn wait_for_connections(&self, count: usize) {
        poll_until(|| (self.state.0.lock().unwrap().accepted >= count).then_some(())).expect("a connection");
    }

    /// Delays the first call of each connection made from now on, as if calls of other proxies were queued
    /// before it.
    pub fn set_queue_delay(&self, queue_delay: Duration) {
        self.state.0.lock().unwrap().queue_delay = queue_delay;
    }

    /// Answers watches with the whole list too, in place of its changes.
    pub fn answer_whole_lists(&self) {
        self.state.0.lock().unwrap().answers_whole_lists = true;
    }

    /// Fails that many calls, the waiting one included.
    pub fn fail_calls(&self, calls: u32) {
        self.state.0.lock().unwrap().failures = calls;
        self.state.1.notify_all();
    }
}

/// A connection of a proxy to the service.
struct ServedConnection {
    number: usize,
    queue_delay: Duration,
    peer: Peer,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    calls: Sender<DiscoveryCall>,
}

impl ServedConnection {
    /// Answers one call after another, until the proxy closes the connection, which it may do at any point.
    fn serve(mut self) {
        let mut is_first_call = true;
        while let Some(head) = self.read_head() {
            let from = head.split("from=").nth(1).and_then(|rest| rest.split('&').next());
            let from_index = from.map_or(0, |from| from.parse().unwrap());
            let may_wait = !head.contains("hold_ms=0 ");
            // Only the first call of a connection is queued; later ones continue its watch.
            if std::mem::take(&mut is_first_call) {
                thread::sleep(self.queue_delay);
            }
            if !self.answer(from_index, may_wait) {
                return;
            }
        }
    }

    /// Reads the head of a call, and returns its first line.
    fn read_head(&mut self) -> Option<String> {
        let head = self.peer.next_line()?;
        while self.peer.next_line().is_some_and(|line| !line.trim().is_empty()) {}
        Some(head)
    }

    /// Answers a call. Returns whether the connection goes on.
    fn answer(&mut self, from_index: u64, may_wait: bool) -> bool {
        // A call that may not wait and finds nothing new only opens a watch.
        if !may_wait && self.is_current(from_index) {
            let body = format!(r#"{{"index":{from_index},"snapshot":false,"endpoints":[]}}"#);
            return self.peer.send_if_open(&http_response(&body, body.len()));
        }
        let call = DiscoveryCall { connection: self.number, from_index, at: Instant::now() };
        if self.calls.send(call).is_err() {
            return false;
        }
        let (text, closes) = next_answer(&self.state, from_index, self.number);
        // The proxy may have closed the connection before it read all of a raw answer.
        self.peer.send_if_open(&text) && !closes
    }

    /// Whether the caller has the newest list, and would be answered in the normal way.
    fn is_current(&self, from_index: u64) -> bool {
        let state = self.state.0.lock().unwrap();
        let answers_normally = state.failures == 0 && state.raw_answers.is_empty();
        self.number >= state.unanswered_below && answers_normally && state.index == from_index
    }
}

/// Waits for the next answer to a call. Returns its text, and whether the connection closes after it.
fn next_answer(
    shared: &(Mutex<DiscoveryState>, Condvar),
    from_index: u64,
    connection: usize,
) -> (String, bool) {
    let fails = |state: &DiscoveryState| state.failures > 0 && connection >= state.not_failed_below;
    let must_wait = |state: &mut DiscoveryState| {
        connection < state.unanswered_below
            || state.index <= from_index && !fails(state) && state.raw_answers.is_empty()
    };
    let mut state =
        shared.1.wait_timeout_while(shared.0.lock().unwrap(), EVENT_TIMEOUT, must_wait).unwrap().0;
    if fails(&state) {
        state.failures -= 1;
        return ("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".into(), false);
    }
    if let Some(text) = state.raw_answers.pop_front() {
        return (text, true);
    }
    let (index, is_snapshot) = (state.index, from_index == 0 || state.answers_whole_lists);
    let entries = if is_snapshot { state.whole_list() } else { state.changes_since(from_index) };
    let entries = entries.join(",");
    let body = format!(r#"{{"index":{index},"snapshot":{is_snapshot},"endpoints":[{entries}]}}"#);
    (http_response(&body, body.len()), false)
}

/// An HTTP response with this body and this `Content-Length`, which may differ from the actual length.
pub fn http_response(body: &str, length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}
