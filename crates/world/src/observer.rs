//! Checks the rules of a run from outside the proxies.
//!
//! The observer sees the bytes, ends and resets on the network and the true state of the simulated parties.
//! It never reads the state of a proxy.

use crate::net::Segment;
use crate::sim::{EPOCH, ProcessId};
use pierloom_host::Micros;
use serde::Deserialize;
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::Xxh3;

/// Tolerance added to each time limit.
const TIME_LIMIT_TOLERANCE_US: Micros = 50_000;
/// A proxy may start attempts at a backend for this long after discovery reported the backend as draining or
/// gone.
const DRAIN_WINDOW_US: Micros = 1_000_000;
/// Longest delay of a line between its arrival at a proxy and its departure.
const MAX_LINE_DELAY_US: Micros = 1_000_000;
/// Longest delay before a proxy passes on the end of a stream.
const MAX_END_DELAY_US: Micros = 1_000_000;
/// A proxy moves a connection within this time after a line that the backend has not answered.
const MAX_SILENCE_US: Micros = 7_000_000;
/// Longest time between a discovery response and the next call of the watch.
const MAX_WATCH_GAP_US: Micros = 200_000;
/// Longest time between two discovery calls of a proxy, whatever the result of the first.
///
/// It covers the longest hold of ten seconds, the time that a proxy may wait beyond it, and its longest
/// pause.
const MAX_CALL_INTERVAL_US: Micros = 18_000_000;
/// Most discovery calls of a proxy in a second, not counting one call for each change.
const MAX_CALLS_PER_SECOND: usize = 12;
/// A proxy sends an error to a misbehaving client, or closes its connection, within this time.
const MISBEHAVIOR_DEADLINE_US: Micros = 3_000_000;
/// Interval of the checks for missing events.
const OVERDUE_CHECK_INTERVAL_US: Micros = 250_000;
/// Number of network events that are kept to show what preceded a violation.
const MAX_RECENT_EVENTS: usize = 4_000;
/// Number of preceding events that a violation shows.
const MAX_SHOWN_EVENTS: usize = 14;
/// Number of leading bytes that are kept of each segment.
const PAYLOAD_PREFIX_BYTES: usize = 48;

/// What the observer does with each network event, apart from checking it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trace {
    /// Does not record the event.
    #[default]
    None,
    /// Prints the event.
    Print,
    /// Appends the event as text to `trace_lines`.
    Keep,
}

/// The part that a process plays in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A proxy, with its index in the script.
    Proxy(usize),
    /// A backend, with its index in the script.
    Backend(usize),
    /// A client.
    Client {
        /// Index in the script.
        index: usize,
        /// The client breaks the protocol and must receive an error or a close.
        misbehaving: bool,
        /// The client reads with pauses, so that lines to the client may be delayed.
        slow_reader: bool,
    },
    /// The discovery service.
    Discovery,
    /// Any other process.
    Other,
}

/// A rule that the observer checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request gets no final answer by its deadline, or its connection ends before the answer.
    Unanswered,
    /// A proxy sends a second answer line after a final answer.
    AnsweredTwice,
    /// Two attempts of one request are in progress at the same time.
    TwoClaims,
    /// A proxy starts an attempt later than the drain window after discovery reported the backend as draining
    /// or gone.
    DrainWindow,
    /// A backend in slow start receives more requests within the overload window than its overload multiple
    /// allows.
    ColdOverrun,
    /// A proxy sends an UP line that no backend sent, sends a backend a first line that no client sent, or
    /// serves a misbehaving client.
    MadeUp,
    /// Bytes are changed on an established connection.
    Changed,
    /// A proxy closes an established connection without MOVE although the backend is reachable and has not
    /// ended it.
    Cut,
    /// A proxy relays a line too late or not at all.
    HeldBack,
    /// The end of a stream is not passed on in time.
    EndKept,
    /// A proxy does not move a connection whose backend has sent no line back for too long.
    SilentKept,
    /// A proxy makes its next discovery call too late.
    WatchGap,
    /// A proxy calls discovery too often.
    Hammering,
    /// A misbehaving client gets neither an error nor a close in time.
    BadUnanswered,
    /// Tasks, descriptors or connections remain at the end of a run.
    LeftOver,
    /// A panic occurs on the thread of the run.
    Panic,
    /// A proxy exits without a stop request, or does not exit in time after one.
    Exit,
    /// The run never comes to rest within one instant of virtual time.
    Restless,
}

/// A violation of a rule.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Violation {
    /// Rule that was broken.
    pub rule: Rule,
    /// Time since the start of the run.
    pub at: Micros,
    /// Description of the violation and the names of the parties.
    #[serde(rename = "what")]
    pub description: String,
    /// Last network events between the parties, as text.
    #[serde(rename = "led_to")]
    pub preceding_events: Vec<String>,
}

/// Counts of a run.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Counts {
    /// Connections opened.
    pub connections: u64,
    /// Requests whose complete request line reached a proxy.
    #[serde(rename = "jobs")]
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Attempts sent to backends.
    #[serde(rename = "claims")]
    pub attempts: u64,
    /// MOVE lines that proxies sent of their own accord.
    pub moves: u64,
    /// Network events: connections opened; bytes, ends and resets sent or arrived.
    #[serde(rename = "crossings")]
    pub network_events: u64,
}

/// Stage of a network event.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Opened,
    Sent,
    Arrived,
}

/// One event on the simulated network.
struct NetworkEvent {
    at: Micros,
    connection: usize,
    /// End of the connection that caused the event: 0 for the one that connected, 1 for the one that
    /// accepted.
    end: usize,
    phase: Phase,
    payload: Payload,
}

/// Content of a network event.
#[derive(Clone, Copy)]
enum Payload {
    /// Number of bytes, and the first of them.
    Bytes(usize, [u8; PAYLOAD_PREFIX_BYTES]),
    Fin,
    Reset,
    None,
}

/// Bytes that a proxy has received on one side and not yet sent on the other.
#[derive(Default)]
struct BytesInTransit {
    /// Received chunks with the time of their arrival.
    chunks: VecDeque<(Micros, VecDeque<u8>)>,
    /// The last byte sent ended a line.
    at_line_start: bool,
}

impl BytesInTransit {
    fn push(&mut self, at: Micros, bytes: &[u8]) {
        self.chunks.push_back((at, bytes.iter().copied().collect()));
    }

    /// Removes the next byte if it equals `byte`; returns whether it does.
    fn take_next(&mut self, byte: u8) -> bool {
        let Some((_, chunk)) = self.chunks.front_mut() else { return false };
        if chunk.front() != Some(&byte) {
            return false;
        }
        chunk.pop_front();
        if chunk.is_empty() {
            self.chunks.pop_front();
        }
        self.at_line_start = byte == b'\n';
        true
    }

    /// Arrival time of the oldest byte, if a complete line is waiting.
    fn oldest_line_at(&self) -> Option<Micros> {
        let has_line = self.chunks.iter().any(|(_, bytes)| bytes.contains(&b'\n'));
        self.chunks.front().map(|(at, _)| *at).filter(|_| has_line)
    }
}

/// State of a connection from a client to a proxy.
#[derive(Default)]
struct ClientConnection {
    proxy: usize,
    misbehaving: bool,
    slow_reader: bool,
    opened_at: Micros,
    /// Bytes received before the request line is complete.
    received: Vec<u8>,
    /// Time of the client's last send.
    sent_at: Micros,
    /// Request id, time at which the request line was complete at the proxy, and deadline of the answer.
    request: Option<(String, Micros, Micros)>,
    request_line: Vec<u8>,
    /// Start of an answer line that the proxy has not completed yet.
    partial_answer: Vec<u8>,
    answer_count: u32,
    established: bool,
    moved: bool,
    /// Number of bytes sent of the proxy's own MOVE line; the line's length plus one after a `Rule::Changed`
    /// violation for other bytes.
    move_bytes_sent: usize,
    /// Time at which the client's end of stream or reset arrived at the proxy.
    client_ended_at: Option<Micros>,
    /// Time at which the proxy ended the connection.
    proxy_ended_at: Option<Micros>,
    /// Connection of the latest attempt.
    attempt: Option<usize>,
    /// Bytes from the client to the backend.
    upstream_bytes: BytesInTransit,
    /// Bytes from the backend to the client.
    downstream_bytes: BytesInTransit,
    /// Send time of each line to the backend that no line from the backend has answered yet.
    unanswered_lines: VecDeque<Micros>,
}

/// State of a connection from a proxy to a backend.
#[derive(Default)]
struct BackendConnection {
    proxy: usize,
    backend: usize,
    first_line: Vec<u8>,
    first_line_complete: bool,
    request_id: Option<String>,
    client_connection: Option<usize>,
    /// Time at which the backend's end of stream or reset arrived at the proxy.
    backend_ended_at: Option<Micros>,
    /// The proxy ended its side of the connection.
    proxy_ended: bool,
    /// Bytes from the backend; only the last few once the connection is established.
    received: Vec<u8>,
    /// The backend's last line was BYE or MOVE.
    end_announced: bool,
}

/// State of a connection from a proxy to discovery.
#[derive(Default)]
struct DiscoveryConnection {
    proxy: usize,
    request: Vec<u8>,
    response: Vec<u8>,
    /// The call in progress asks for a snapshot.
    wants_snapshot: bool,
    /// Number of the call in progress, counted per proxy.
    number: u64,
}

enum ConnectionKind {
    Client(ClientConnection),
    Backend(BackendConnection),
    Discovery(DiscoveryConnection),
    Other,
}

/// One connection between two processes.
struct Connection {
    from: ProcessId,
    to: ProcessId,
    kind: ConnectionKind,
}

/// Observed state of a proxy.
#[derive(Default)]
struct Proxy {
    process: ProcessId,
    running: bool,
    /// Time of the stop request.
    stop_requested_at: Option<Micros>,
    /// Time at which discovery reported each backend to the proxy as draining or gone.
    removal_reported_at: BTreeMap<usize, Micros>,
    /// Start time of each backend, as discovery reported it to the proxy.
    reported_starts: BTreeMap<usize, Micros>,
    /// Time of the last discovery response, while the next call is due.
    watch_answered_at: Option<Micros>,
    /// Number of discovery calls so far.
    call_count: u64,
    /// Time of the last discovery call or connection attempt to discovery, or of the start of the proxy.
    last_call_at: Micros,
    /// Times of the discovery calls of the last second.
    recent_calls: VecDeque<Micros>,
    /// Times of the discovery responses of the last second that reported changes.
    recent_changes: VecDeque<Micros>,
    /// Connection of the latest attempt of each request.
    attempts: BTreeMap<String, usize>,
    /// Client connection of each request.
    requests: BTreeMap<String, usize>,
}

/// True state of a backend.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendState {
    /// The backend runs and is reachable.
    pub reachable: bool,
    /// Time of the start, if the backend started with slow start.
    pub slow_start_since: Option<Micros>,
    /// New connections per second whose load reaches the backend's capacity after slow start.
    pub connections_per_second: f64,
}

/// Parameters of the rule on backends in slow start (`Rule::ColdOverrun`).
#[derive(Clone, Copy, Debug)]
pub struct SlowStartRule {
    /// Share of the capacity at the start.
    pub min_share: f64,
    /// Duration of slow start.
    pub duration: Micros,
    /// A backend overloads beyond this multiple of its current capacity...
    pub overload_multiple: f64,
    /// ...over this time.
    pub overload_window: Micros,
}

/// Observed state of a backend.
#[derive(Default)]
struct Backend {
    state: BackendState,
    /// Requests that reached the backend in slow start: time, and whether discovery had reported the
    /// backend's start to the proxy.
    recent_requests: VecDeque<(Micros, bool)>,
}

/// Checks the rules during a run.
pub struct Observer {
    slow_start_rule: SlowStartRule,
    roles: Vec<(Role, String)>,
    connections: Vec<Connection>,
    /// Connections of clients and attempts that are not ended, except those already reported.
    open_connections: Vec<usize>,
    proxies: Vec<Proxy>,
    backends: Vec<Backend>,
    backend_indices: BTreeMap<String, usize>,
    recent_events: VecDeque<NetworkEvent>,
    digest: Xxh3,
    next_check_at: Micros,
    now: Micros,
    trace: Trace,
    /// All network events as text, with `Trace::Keep`.
    pub trace_lines: Vec<String>,
    /// Violations in order of time; at most `MAX_VIOLATIONS`.
    pub violations: Vec<Violation>,
    /// Counts of the run.
    pub counts: Counts,
}

/// Most violations that a run keeps.
const MAX_VIOLATIONS: usize = 20;

impl Observer {
    /// Creates an observer for `proxies` proxies and for the named backends.
    pub fn new(proxies: usize, backends: &[String], slow_start_rule: SlowStartRule, trace: Trace) -> Self {
        Observer {
            slow_start_rule,
            roles: Vec::new(),
            connections: Vec::new(),
            open_connections: Vec::new(),
            proxies: (0..proxies).map(|_| Proxy::default()).collect(),
            backends: backends.iter().map(|_| Backend::default()).collect(),
            backend_indices: backends.iter().cloned().enumerate().map(|(i, name)| (name, i)).collect(),
            recent_events: VecDeque::new(),
            digest: Xxh3::new(),
            next_check_at: EPOCH + OVERDUE_CHECK_INTERVAL_US,
            now: EPOCH,
            trace,
            trace_lines: Vec::new(),
            violations: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Returns a hash of all network events so far and of their times.
    pub fn digest(&self) -> u64 {
        self.digest.digest()
    }

    /// Registers the role and the name of a process.
    pub fn register_process(&mut self, process: ProcessId, role: Role, name: &str) {
        self.roles.resize(self.roles.len().max(process + 1), (Role::Other, String::new()));
        self.roles[process] = (role, name.to_string());
        if let Role::Proxy(i) = role {
            self.proxies[i] = Proxy { process, running: true, last_call_at: self.now, ..Proxy::default() };
        }
    }

    /// Sets the true state of a backend from now on.
    pub fn set_backend_state(&mut self, index: usize, state: BackendState) {
        if state.slow_start_since != self.backends[index].state.slow_start_since {
            self.backends[index].recent_requests.clear();
        }
        self.backends[index].state = state;
    }

    /// Records that SIGTERM is sent to a proxy.
    pub fn stop_requested(&mut self, proxy: usize) {
        self.proxies[proxy].stop_requested_at = Some(self.now);
    }

    /// Records that SIGHUP is sent to a proxy and that its discovery service moves, which ends the watch
    /// there.
    pub fn reload_requested(&mut self, proxy: usize) {
        self.proxies[proxy].watch_answered_at = None;
    }

    /// Records that a proxy exited by itself; checks that it has moved its connections and answered its
    /// requests.
    pub fn exited(&mut self, proxy: usize) {
        if self.proxies[proxy].stop_requested_at.is_none() {
            self.record_violation(Rule::Exit, None, format!("proxy {proxy} exited without a stop request"));
        }
        self.check_abandoned_connections(proxy, "exited");
    }

    /// Records that a proxy is killed because it did not exit in time after a stop request.
    pub fn exit_overdue(&mut self, proxy: usize) {
        self.record_violation(
            Rule::Exit,
            None,
            format!("proxy {proxy} is still running when it is killed after its stop request"),
        );
        self.check_abandoned_connections(proxy, "was killed after its stop request");
    }

    /// Reports connections that a proxy left without MOVE and requests that it left without an answer.
    fn check_abandoned_connections(&mut self, proxy: usize, reason: &str) {
        let open_connections: Vec<usize> = self.open_connections.clone();
        for connection in open_connections {
            let ConnectionKind::Client(client) = &self.connections[connection].kind else { continue };
            // A slow reader may not have read its MOVE yet.
            if client.proxy != proxy
                || client.misbehaving
                || client.slow_reader
                || client.client_ended_at.is_some()
                || client.proxy_ended_at.is_some()
            {
                continue;
            }
            let attempt = client.attempt.and_then(|attempt| self.backend_connection(attempt));
            let backend_ended = attempt.is_some_and(|attempt| {
                attempt.backend_ended_at.is_some() || !self.backends[attempt.backend].state.reachable
            });
            if client.established && !client.moved && !backend_ended {
                self.record_violation(
                    Rule::Cut,
                    Some(connection),
                    format!("proxy {proxy} {reason} while it held a connection"),
                );
            } else if client.request.is_some() && client.answer_count == 0 {
                self.record_violation(
                    Rule::Unanswered,
                    Some(connection),
                    format!("proxy {proxy} {reason} before it answered a request"),
                );
            }
        }
    }

    /// Records that a process is killed; the consequences are not violations of that process.
    pub fn killed(&mut self, process: ProcessId) {
        if let Role::Proxy(i) = self.roles[process].0 {
            self.proxies[i].running = false;
            let connections = &self.connections;
            self.open_connections.retain(|&index| {
                let connection = &connections[index];
                connection.from != process && connection.to != process
            });
        }
    }

    /// Records a violation that was found elsewhere.
    pub fn report_violation(&mut self, rule: Rule, description: String) {
        self.record_violation(rule, None, description);
    }

    fn record_violation(&mut self, rule: Rule, connection: Option<usize>, description: String) {
        if self.violations.len() >= MAX_VIOLATIONS {
            return;
        }
        let parties = connection.map(|c| {
            let partner = match &self.connections[c].kind {
                ConnectionKind::Client(client) => client.attempt,
                ConnectionKind::Backend(attempt) => attempt.client_connection,
                _ => None,
            };
            (c, partner)
        });
        let concerns_parties = |event: &&NetworkEvent| {
            parties.is_none_or(|(c, partner)| event.connection == c || Some(event.connection) == partner)
        };
        let mut preceding_events: Vec<String> = self
            .recent_events
            .iter()
            .rev()
            .filter(concerns_parties)
            .take(MAX_SHOWN_EVENTS)
            .map(|event| self.format_event(event))
            .collect();
        preceding_events.reverse();
        let ends = connection.map_or(String::new(), |c| {
            let connection = &self.connections[c];
            format!(" [{} - {}]", self.roles[connection.from].1, self.roles[connection.to].1)
        });
        self.violations.push(Violation {
            rule,
            at: self.now - EPOCH,
            description: description + &ends,
            preceding_events,
        });
    }

    /// Formats a network event as a trace line.
    fn format_event(&self, event: &NetworkEvent) -> String {
        let connection = &self.connections[event.connection];
        let names = [&self.roles[connection.from].1, &self.roles[connection.to].1];
        let (by, other) = match event.phase {
            Phase::Arrived => (names[1 - event.end], names[event.end]),
            _ => (names[event.end], names[1 - event.end]),
        };
        let phase = match event.phase {
            Phase::Opened => "opens to",
            Phase::Sent => "sends to",
            Phase::Arrived => "reaches",
        };
        let payload = match event.payload {
            Payload::Bytes(length, prefix) => {
                format!(
                    "{length} bytes {:?}",
                    String::from_utf8_lossy(&prefix[..length.min(PAYLOAD_PREFIX_BYTES)])
                )
            }
            Payload::Fin => "its end".into(),
            Payload::Reset => "a reset".into(),
            Payload::None => String::new(),
        };
        let at = (event.at - EPOCH) as f64 / 1e6;
        format!("{at:.6} #{} {by} {phase} {other} {payload}", event.connection)
    }

    /// Adds a network event to the digest, to the trace and to the recent events.
    fn record_event(&mut self, connection: usize, end: usize, phase: Phase, segment: Option<&Segment>) {
        self.counts.network_events += 1;
        let payload = match segment {
            Some(Segment::Bytes(bytes)) => {
                let mut prefix = [0; PAYLOAD_PREFIX_BYTES];
                let prefix_length = bytes.len().min(PAYLOAD_PREFIX_BYTES);
                prefix[..prefix_length].copy_from_slice(&bytes[..prefix_length]);
                self.digest.update(bytes);
                Payload::Bytes(bytes.len(), prefix)
            }
            Some(Segment::Fin) => Payload::Fin,
            Some(Segment::Reset) => Payload::Reset,
            None => Payload::None,
        };
        let payload_code = match payload {
            Payload::Bytes(length, _) => length as u64 * 8,
            Payload::Fin => 1,
            Payload::Reset => 2,
            Payload::None => 3,
        };
        let fields = [self.now, connection as u64, end as u64 * 3 + phase as u64, payload_code];
        fields.into_iter().for_each(|field| self.digest.update(&field.to_le_bytes()));
        let event = NetworkEvent { at: self.now, connection, end, phase, payload };
        match self.trace {
            Trace::None => {}
            Trace::Print => println!("{}", self.format_event(&event)),
            Trace::Keep => {
                let text = self.format_event(&event);
                self.trace_lines.push(text);
            }
        }
        if self.recent_events.len() == MAX_RECENT_EVENTS {
            self.recent_events.pop_front();
        }
        self.recent_events.push_back(event);
    }

    /// Advances the clock and makes the periodic checks that become due.
    pub fn advance_to(&mut self, to: Micros) {
        while self.next_check_at <= to {
            self.now = self.next_check_at;
            self.next_check_at += OVERDUE_CHECK_INTERVAL_US;
            self.check_overdue_events();
        }
        self.now = to;
    }

    /// Records that a process tries to connect to a machine, whatever the result.
    pub fn connecting(&mut self, from: ProcessId, machine: ProcessId) {
        if let (Role::Proxy(proxy), Role::Discovery) = (self.roles[from].0, self.roles[machine].0) {
            self.proxies[proxy].last_call_at = self.now;
        }
    }

    /// Records that a connection is opened.
    pub fn opened(&mut self, now: Micros, connection: usize, from: ProcessId, to: ProcessId) {
        self.now = now;
        self.counts.connections += 1;
        let kind = match (self.roles[from].0, self.roles[to].0) {
            (Role::Client { misbehaving, slow_reader, .. }, Role::Proxy(proxy)) => {
                ConnectionKind::Client(ClientConnection {
                    proxy,
                    misbehaving,
                    slow_reader,
                    opened_at: now,
                    ..ClientConnection::default()
                })
            }
            (Role::Proxy(proxy), Role::Backend(backend)) => {
                ConnectionKind::Backend(BackendConnection { proxy, backend, ..BackendConnection::default() })
            }
            (Role::Proxy(proxy), Role::Discovery) => {
                ConnectionKind::Discovery(DiscoveryConnection { proxy, ..DiscoveryConnection::default() })
            }
            _ => ConnectionKind::Other,
        };
        if matches!(kind, ConnectionKind::Client(_) | ConnectionKind::Backend(_)) {
            self.open_connections.push(connection);
        }
        self.connections.push(Connection { from, to, kind });
        self.record_event(connection, 0, Phase::Opened, None);
    }

    /// Records that an end of a connection sends a segment.
    pub fn sent(&mut self, now: Micros, connection: usize, end: usize, segment: &Segment) {
        self.now = now;
        self.record_event(connection, end, Phase::Sent, Some(segment));
        match (&mut self.connections[connection].kind, end) {
            (ConnectionKind::Client(client), 0) => client.sent_at = now,
            (ConnectionKind::Client(_), _) => self.handle_segment_to_client(connection, segment),
            (ConnectionKind::Backend(_), 0) => self.handle_segment_to_backend(connection, segment),
            (ConnectionKind::Discovery(_), 0) => self.handle_discovery_call(connection, segment),
            _ => {}
        }
    }

    /// Records that an end closes a connection that was reset. Such a close sends no segment; other closes
    /// are seen by their segments.
    pub fn closed_after_reset(&mut self, now: Micros, connection: usize, end: usize) {
        match (&mut self.connections[connection].kind, end) {
            (ConnectionKind::Client(client), 1) => drop(client.proxy_ended_at.get_or_insert(now)),
            (ConnectionKind::Backend(attempt), 0) => attempt.proxy_ended = true,
            _ => {}
        }
    }

    /// Records that a segment arrives at an end of a connection.
    pub fn arrived(&mut self, now: Micros, connection: usize, end: usize, segment: &Segment) {
        self.now = now;
        self.record_event(connection, end, Phase::Arrived, Some(segment));
        match (&self.connections[connection].kind, end) {
            (ConnectionKind::Client(_), 1) => self.handle_segment_from_client(connection, segment),
            (ConnectionKind::Backend(_), 0) => self.handle_segment_from_backend(connection, segment),
            (ConnectionKind::Backend(_), 1) => self.check_slow_start_limit(connection, segment),
            (ConnectionKind::Discovery(_), 0) => self.handle_discovery_response(connection, segment),
            _ => {}
        }
    }

    fn client_connection(&mut self, connection: usize) -> Option<&mut ClientConnection> {
        match self.connections.get_mut(connection).map(|connection| &mut connection.kind) {
            Some(ConnectionKind::Client(client)) => Some(client),
            _ => None,
        }
    }

    fn backend_connection(&self, connection: usize) -> Option<&BackendConnection> {
        match self.connections.get(connection).map(|connection| &connection.kind) {
            Some(ConnectionKind::Backend(attempt)) => Some(attempt),
            _ => None,
        }
    }

    fn backend_connection_mut(&mut self, connection: usize) -> Option<&mut BackendConnection> {
        match self.connections.get_mut(connection).map(|connection| &mut connection.kind) {
            Some(ConnectionKind::Backend(attempt)) => Some(attempt),
            _ => None,
        }
    }

    /// Handles a segment from a client that arrives at a proxy.
    fn handle_segment_from_client(&mut self, connection: usize, segment: &Segment) {
        let now = self.now;
        let Some(client) = self.client_connection(connection) else { return };
        let Segment::Bytes(bytes) = segment else {
            client.client_ended_at.get_or_insert(now);
            return;
        };
        if client.request.is_some() {
            if client.established || client.attempt.is_some() {
                client.upstream_bytes.push(now, bytes);
            }
            return;
        }
        // A misbehaving client has no valid request, and may send megabytes.
        if client.misbehaving {
            return;
        }
        client.received.extend_from_slice(bytes);
        while let Some(line_end) = client.received.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = client.received.drain(..=line_end).collect();
            let Some(text) = std::str::from_utf8(&line).ok().filter(|text| text.starts_with("OPEN ")) else {
                continue;
            };
            let mut words = text.split_whitespace();
            let id = words.nth(1).unwrap_or_default().to_string();
            let fields = words.nth(1).unwrap_or_default();
            let timeout_ms =
                fields.split(',').find_map(|field| field.strip_prefix("d=")?.parse::<u64>().ok());
            let due = client.sent_at + timeout_ms.unwrap_or(0) * 1_000;
            client.request = Some((id.clone(), now, due));
            client.request_line = line;
            let proxy = client.proxy;
            self.proxies[proxy].requests.insert(id, connection);
            self.counts.requests += 1;
            break;
        }
    }

    /// Handles a segment that a proxy sends to a client.
    fn handle_segment_to_client(&mut self, connection: usize, segment: &Segment) {
        let now = self.now;
        let Some(client) = self.client_connection(connection) else { return };
        let proxy = client.proxy;
        let Segment::Bytes(bytes) = segment else {
            if client.proxy_ended_at.replace(now).is_none() {
                self.check_client_connection_end(connection, matches!(segment, Segment::Reset));
            }
            return;
        };
        if client.misbehaving || client.request.is_none() {
            // PONG, or an error for a connection without a request.
            if client.misbehaving && bytes.starts_with(b"UP ") {
                self.record_violation(
                    Rule::MadeUp,
                    Some(connection),
                    "a misbehaving client is served".into(),
                );
            } else if let Some(client) = self.client_connection(connection) {
                client.answer_count += 1;
            }
            return;
        }
        for &byte in bytes {
            let Some(client) = self.client_connection(connection) else { return };
            if client.established {
                self.check_downstream_byte(connection, byte);
                continue;
            }
            client.partial_answer.push(byte);
            if byte != b'\n' {
                continue;
            }
            let line = std::mem::take(&mut client.partial_answer);
            client.answer_count += 1;
            let (answer_count, due, request) = (
                client.answer_count,
                client.request.as_ref().map_or(0, |request| request.2),
                client.request.clone(),
            );
            let established = line.starts_with(b"UP ");
            client.established = established;
            let client_ended = client.client_ended_at.is_some();
            if answer_count > 1 {
                let text = String::from_utf8_lossy(&line).trim_end().to_string();
                self.record_violation(
                    Rule::AnsweredTwice,
                    Some(connection),
                    format!("{text:?} after a final answer"),
                );
            }
            if now > due + TIME_LIMIT_TOLERANCE_US && !client_ended {
                self.record_violation(
                    Rule::Unanswered,
                    Some(connection),
                    format!("answered {} us late", now - due),
                );
            }
            match line.split(|&b| b == b' ' || b == b'\r').next() {
                Some(b"UP") => self.counts.served += 1,
                Some(b"BUSY") => self.counts.refused += 1,
                _ => self.counts.failed += 1,
            }
            if established {
                let attempt =
                    request.and_then(|request| self.proxies[proxy].attempts.get(&request.0).copied());
                let received = attempt
                    .and_then(|attempt| self.backend_connection(attempt))
                    .map(|attempt| attempt.received.clone());
                if !received.as_ref().is_some_and(|received| received.starts_with(&line)) {
                    self.record_violation(
                        Rule::MadeUp,
                        Some(connection),
                        "an UP that no backend sent".into(),
                    );
                }
                let remaining = received
                    .map_or(Vec::new(), |received| received[line.len().min(received.len())..].to_vec());
                if let Some(attempt) = attempt.and_then(|attempt| self.backend_connection_mut(attempt)) {
                    attempt.client_connection = Some(connection);
                }
                if let Some(client) = self.client_connection(connection) {
                    client.attempt = attempt;
                    client.downstream_bytes.at_line_start = true;
                    if !remaining.is_empty() {
                        client.downstream_bytes.push(now, &remaining);
                    }
                }
            }
        }
    }

    /// Checks a byte to the client on an established connection: it is the next byte from the backend, or
    /// belongs to a MOVE line of the proxy.
    fn check_downstream_byte(&mut self, connection: usize, byte: u8) {
        const MOVE: &[u8] = b"MOVE\r\n";
        let now = self.now;
        let Some(client) = self.client_connection(connection) else { return };
        let received_at = client.downstream_bytes.chunks.front().map(|(at, _)| *at);
        if client.move_bytes_sent == 0 && client.downstream_bytes.take_next(byte) {
            if byte == b'\n' {
                client.unanswered_lines.pop_front();
                let slow_reader = client.slow_reader;
                if !slow_reader
                    && received_at.is_some_and(|at| now > at + MAX_LINE_DELAY_US + TIME_LIMIT_TOLERANCE_US)
                {
                    self.record_violation(
                        Rule::HeldBack,
                        Some(connection),
                        "a line from the backend was relayed late".into(),
                    );
                }
            }
            return;
        }
        if MOVE.get(client.move_bytes_sent) == Some(&byte)
            && (client.move_bytes_sent > 0 || client.downstream_bytes.at_line_start)
        {
            client.move_bytes_sent += 1;
            if client.move_bytes_sent == MOVE.len() {
                client.moved = true;
                self.counts.moves += 1;
            }
            return;
        }
        let within_line = client.move_bytes_sent > 0 || !client.downstream_bytes.at_line_start;
        let description = if byte == b'M' && within_line {
            "a MOVE within a line"
        } else {
            "bytes that the backend did not send"
        };
        client.move_bytes_sent = MOVE.len() + 1;
        self.record_violation(Rule::Changed, Some(connection), format!("{description} sent to the client"));
    }

    /// Checks that the proxy may end a client connection.
    fn check_client_connection_end(&mut self, connection: usize, reset: bool) {
        let Some(client) = self.client_connection(connection) else { return };
        let (established, request, answer_count, moved, client_ended) = (
            client.established,
            client.request.is_some(),
            client.answer_count,
            client.moved,
            client.client_ended_at.is_some(),
        );
        let (proxy, misbehaving, partial_bytes) =
            (client.proxy, client.misbehaving, client.partial_answer.len());
        if misbehaving || client_ended || !self.proxies[proxy].running {
            return;
        }
        if request && answer_count == 0 {
            let how = if reset { "reset" } else { "ended" };
            self.record_violation(
                Rule::Unanswered,
                Some(connection),
                format!("{how} without a final answer, after {partial_bytes} bytes of it"),
            );
        } else if established && !moved {
            let attempt = self.client_connection(connection).and_then(|client| client.attempt);
            let attempt = attempt.and_then(|attempt| self.backend_connection(attempt));
            let backend_ended = attempt.is_none_or(|attempt| {
                attempt.backend_ended_at.is_some()
                    || attempt.end_announced
                    || !self.backends[attempt.backend].state.reachable
            });
            if !backend_ended {
                self.record_violation(Rule::Cut, Some(connection), "cut off without MOVE".into());
            }
        }
    }

    /// Handles a segment that a proxy sends to a backend.
    fn handle_segment_to_backend(&mut self, connection: usize, segment: &Segment) {
        let now = self.now;
        let Some(attempt) = self.backend_connection_mut(connection) else { return };
        let (proxy, backend) = (attempt.proxy, attempt.backend);
        let Segment::Bytes(bytes) = segment else {
            attempt.proxy_ended = true;
            let request_id = attempt.request_id.clone();
            if let Some(request_id) = request_id
                && self.proxies[proxy].attempts.get(&request_id) == Some(&connection)
            {
                let client_connection =
                    self.backend_connection(connection).and_then(|attempt| attempt.client_connection);
                if client_connection.is_none() {
                    self.proxies[proxy].attempts.remove(&request_id);
                }
            }
            return;
        };
        if attempt.first_line_complete {
            self.check_upstream_bytes(connection, bytes);
            return;
        }
        let starts_line = attempt.first_line.is_empty();
        attempt.first_line.extend_from_slice(bytes);
        let Some(line_end) = attempt.first_line.iter().position(|&byte| byte == b'\n') else {
            if starts_line {
                self.check_drain_window(proxy, backend, connection, now);
            }
            return;
        };
        attempt.first_line_complete = true;
        let rest = attempt.first_line.split_off(line_end + 1);
        let first_line = attempt.first_line.clone();
        if starts_line {
            self.check_drain_window(proxy, backend, connection, now);
        }
        let Some(text) = std::str::from_utf8(&first_line).ok().filter(|text| text.starts_with("OPEN "))
        else {
            return;
        };
        let request_id = text.split(' ').nth(1).unwrap_or_default().to_string();
        self.counts.attempts += 1;
        let previous = self.proxies[proxy].attempts.insert(request_id.clone(), connection);
        let previous_in_progress = previous
            .and_then(|previous| self.backend_connection(previous))
            .is_some_and(|previous| !previous.proxy_ended && previous.backend_ended_at.is_none());
        if previous_in_progress {
            self.record_violation(
                Rule::TwoClaims,
                Some(connection),
                format!("a second attempt of request {request_id} is in progress"),
            );
        }
        let request = self.proxies[proxy].requests.get(&request_id).copied();
        let client_line = request
            .and_then(|request| self.client_connection(request))
            .map(|client| client.request_line.clone());
        if client_line.is_none_or(|client_line| without_timeout(&client_line) != without_timeout(&first_line))
        {
            self.record_violation(Rule::MadeUp, Some(connection), "a first line that no client sent".into());
        }
        if let Some(attempt) = self.backend_connection_mut(connection) {
            attempt.request_id = Some(request_id);
        }
        if let Some(client) = request.and_then(|request| self.client_connection(request)) {
            client.attempt = Some(connection);
        }
        if !rest.is_empty() {
            self.check_upstream_bytes(connection, &rest);
        }
    }

    /// Checks that a new attempt is not later than the drain window of its backend.
    fn check_drain_window(&mut self, proxy: usize, backend: usize, connection: usize, now: Micros) {
        let is_request =
            self.backend_connection(connection).is_some_and(|attempt| attempt.first_line.starts_with(b"O"));
        let reported_at = self.proxies[proxy].removal_reported_at.get(&backend).copied();
        if let Some(reported_at) = reported_at
            .filter(|reported_at| is_request && now > reported_at + DRAIN_WINDOW_US + TIME_LIMIT_TOLERANCE_US)
        {
            let late = now - reported_at;
            self.record_violation(
                Rule::DrainWindow,
                Some(connection),
                format!("an attempt {late} us after discovery reported the backend as draining or gone"),
            );
        }
    }

    /// Checks bytes to the backend on an established connection.
    fn check_upstream_bytes(&mut self, connection: usize, bytes: &[u8]) {
        let now = self.now;
        let Some(client_connection) =
            self.backend_connection(connection).and_then(|attempt| attempt.client_connection)
        else {
            return;
        };
        let Some(client) = self.client_connection(client_connection) else { return };
        let mut late = false;
        for &byte in bytes {
            let received_at = client.upstream_bytes.chunks.front().map(|(at, _)| *at);
            if !client.upstream_bytes.take_next(byte) {
                self.record_violation(
                    Rule::Changed,
                    Some(connection),
                    "bytes that the client did not send, sent to the backend".into(),
                );
                return;
            }
            if byte == b'\n' {
                client.unanswered_lines.push_back(now);
                late |= received_at.is_some_and(|at| now > at + MAX_LINE_DELAY_US + TIME_LIMIT_TOLERANCE_US);
            }
        }
        if late {
            self.record_violation(
                Rule::HeldBack,
                Some(connection),
                "a line from the client was relayed late".into(),
            );
        }
    }

    /// Handles a segment from a backend that arrives at a proxy.
    fn handle_segment_from_backend(&mut self, connection: usize, segment: &Segment) {
        let now = self.now;
        let Some(attempt) = self.backend_connection_mut(connection) else { return };
        let Segment::Bytes(bytes) = segment else {
            attempt.backend_ended_at.get_or_insert(now);
            return;
        };
        let tail = attempt.received.len().saturating_sub(8);
        match attempt.client_connection {
            Some(client_connection) => {
                let recent = [&attempt.received[tail..], bytes.as_slice()].concat();
                attempt.end_announced |=
                    [&b"BYE\r\n"[..], b"MOVE\r\n"].iter().any(|end| recent.ends_with(end));
                // Keeps just enough to recognize a final line that continues in the next segment.
                attempt.received = recent[recent.len().saturating_sub(8)..].to_vec();
                if let Some(client) = self.client_connection(client_connection) {
                    client.downstream_bytes.push(now, bytes);
                }
            }
            None => attempt.received.extend_from_slice(bytes),
        }
    }

    /// Checks the limit of a backend in slow start; it counts complete requests that arrive at the backend.
    fn check_slow_start_limit(&mut self, connection: usize, segment: &Segment) {
        let Segment::Bytes(bytes) = segment else { return };
        let now = self.now;
        let Some(attempt) = self.backend_connection(connection) else { return };
        // Counts the segment that completes the request line. Later segments, on an established connection,
        // are not requests.
        if attempt.client_connection.is_some() || attempt.request_id.is_none() || !bytes.contains(&b'\n') {
            return;
        }
        let (proxy, backend) = (attempt.proxy, attempt.backend);
        let Some(since) = self.backends[backend].state.slow_start_since else { return };
        let rule = self.slow_start_rule;
        let age = now.saturating_sub(since);
        if age >= rule.duration {
            return;
        }
        let start_reported =
            self.proxies[proxy].reported_starts.get(&backend).is_some_and(|&start| start >= since);
        let recent_requests = &mut self.backends[backend].recent_requests;
        recent_requests.push_back((now, start_reported));
        while recent_requests.front().is_some_and(|(at, _)| at + rule.overload_window < now) {
            recent_requests.pop_front();
        }
        let capacity_share = rule.min_share + (1.0 - rule.min_share) * age as f64 / rule.duration as f64;
        let budget = rule.overload_multiple
            * self.backends[backend].state.connections_per_second
            * capacity_share
            * rule.overload_window as f64
            / 1e6;
        let count = self.backends[backend].recent_requests.len();
        let informed_count = self.backends[backend]
            .recent_requests
            .iter()
            .filter(|(_, start_reported)| *start_reported)
            .count();
        // Tolerance for random variation: a random count of that mean exceeds the limit about once in a
        // thousand.
        let limit = budget + 3.0 * budget.sqrt() + 2.0;
        if count as f64 > limit && informed_count * 3 >= count * 2 {
            let what = format!(
                "{count} requests within the overload window, where the overload multiple allows {budget:.1}"
            );
            self.record_violation(Rule::ColdOverrun, Some(connection), what);
        }
    }

    /// Handles bytes that a proxy sends to discovery.
    fn handle_discovery_call(&mut self, connection: usize, segment: &Segment) {
        let now = self.now;
        let Segment::Bytes(bytes) = segment else { return };
        let ConnectionKind::Discovery(call) = &mut self.connections[connection].kind else { return };
        let starts_call = call.request.is_empty();
        call.request.extend_from_slice(bytes);
        if call.request.ends_with(b"\r\n\r\n") {
            let request = String::from_utf8_lossy(&std::mem::take(&mut call.request)).into_owned();
            call.wants_snapshot = !request.contains("from=");
        }
        // A call counts from its first byte, since the rest may wait for buffer space.
        if !starts_call {
            return;
        }
        let index = call.proxy;
        let proxy = &mut self.proxies[index];
        proxy.call_count += 1;
        call.number = proxy.call_count;
        let answered_at = proxy.watch_answered_at.take();
        for times in [&mut proxy.recent_calls, &mut proxy.recent_changes] {
            while times.front().is_some_and(|at| at + 1_000_000 < now) {
                times.pop_front();
            }
        }
        proxy.recent_calls.push_back(now);
        proxy.last_call_at = now;
        let (calls, changes) = (proxy.recent_calls.len(), proxy.recent_changes.len());
        if answered_at.is_some_and(|at| now > at + MAX_WATCH_GAP_US + TIME_LIMIT_TOLERANCE_US) {
            let late = now - answered_at.unwrap_or(now);
            self.record_violation(
                Rule::WatchGap,
                Some(connection),
                format!("the next discovery call came after {late} us"),
            );
        }
        if calls > MAX_CALLS_PER_SECOND + changes {
            self.record_violation(
                Rule::Hammering,
                Some(connection),
                format!("{calls} discovery calls in a second"),
            );
        }
    }

    /// Handles bytes from discovery that arrive at a proxy. A complete response counts as received by the
    /// proxy.
    fn handle_discovery_response(&mut self, connection: usize, segment: &Segment) {
        let now = self.now;
        let Segment::Bytes(bytes) = segment else { return };
        let ConnectionKind::Discovery(call) = &mut self.connections[connection].kind else { return };
        call.response.extend_from_slice(bytes);
        let Some(head_end) = call.response.windows(4).position(|part| part == b"\r\n\r\n") else { return };
        let head = String::from_utf8_lossy(&call.response[..head_end]).to_lowercase();
        let length =
            head.split("content-length:").nth(1).and_then(|rest| rest.trim_start().split("\r\n").next());
        let length: usize = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
        if call.response.len() < head_end + 4 + length {
            return;
        }
        let (succeeded, index, wants_snapshot) =
            (head.starts_with("http/1.1 200"), call.proxy, call.wants_snapshot);
        let number = call.number;
        let body = call.response.split_off(head_end + 4);
        call.response.clear();
        if !succeeded {
            return;
        }
        let Ok(response) = serde_json::from_slice::<EndpointsResponse>(&body[..length]) else {
            return;
        };
        let proxy = &mut self.proxies[index];
        // If a later call is in progress, that call continues the watch; the next call is due after its
        // response.
        if number == proxy.call_count {
            proxy.watch_answered_at = Some(now);
        }
        if !response.endpoints.is_empty() {
            proxy.recent_changes.push_back(now);
        }
        if wants_snapshot || response.snapshot {
            for (name, &backend) in &self.backend_indices {
                if !response.endpoints.iter().any(|endpoint| endpoint.name == *name) {
                    proxy.removal_reported_at.entry(backend).or_insert(now);
                }
            }
        }
        for endpoint in &response.endpoints {
            let Some(&backend) = self.backend_indices.get(&endpoint.name) else { continue };
            if endpoint.status == "ready" {
                proxy.removal_reported_at.remove(&backend);
                proxy.reported_starts.insert(backend, endpoint.since_ms * 1_000);
            } else {
                proxy.removal_reported_at.entry(backend).or_insert(now);
            }
        }
    }

    /// Reports events that should have happened by now and did not.
    fn check_overdue_events(&mut self) {
        let now = self.now;
        let mut found: Vec<(Rule, usize, &str)> = Vec::new();
        let (connections, backends) = (&mut self.connections, &self.backends);
        self.open_connections.retain(|&index| {
            let connection = &connections[index];
            match &connection.kind {
                ConnectionKind::Client(client) => client.proxy_ended_at.is_none(),
                ConnectionKind::Backend(attempt) => !attempt.proxy_ended,
                _ => false,
            }
        });
        for &connection in &self.open_connections {
            match &connections[connection].kind {
                ConnectionKind::Client(client) => {
                    let attempt = client.attempt.and_then(|attempt| match &connections[attempt].kind {
                        ConnectionKind::Backend(attempt) => Some(attempt),
                        _ => None,
                    });
                    if client
                        .client_ended_at
                        .is_some_and(|at| now > at + MAX_END_DELAY_US + TIME_LIMIT_TOLERANCE_US)
                    {
                        // The proxy ends the attempt's connection too; it may end the client's connection a
                        // moment later.
                        if attempt.is_some_and(|attempt| {
                            client.established && !attempt.proxy_ended && attempt.backend_ended_at.is_none()
                        }) {
                            found.push((
                                Rule::EndKept,
                                connection,
                                "the client's end of stream is not passed on",
                            ));
                        }
                    } else if client.client_ended_at.is_none() {
                        let due = client.request.as_ref().map(|request| request.2);
                        if client.answer_count == 0
                            && due.is_some_and(|due| now > due + TIME_LIMIT_TOLERANCE_US)
                        {
                            found.push((Rule::Unanswered, connection, "no answer by the deadline"));
                        }
                        if client.misbehaving
                            && client.answer_count == 0
                            && now > client.opened_at + MISBEHAVIOR_DEADLINE_US + TIME_LIMIT_TOLERANCE_US
                        {
                            found.push((Rule::BadUnanswered, connection, "neither an error nor a close"));
                        }
                        let backend_ended_at = attempt.and_then(|attempt| attempt.backend_ended_at);
                        if client.established
                            && backend_ended_at
                                .is_some_and(|at| now > at + MAX_END_DELAY_US + TIME_LIMIT_TOLERANCE_US)
                            && !client.slow_reader
                        {
                            found.push((
                                Rule::EndKept,
                                connection,
                                "the backend's end of stream is not passed on",
                            ));
                        }
                        let line_overdue = client
                            .downstream_bytes
                            .oldest_line_at()
                            .is_some_and(|at| now > at + MAX_LINE_DELAY_US + TIME_LIMIT_TOLERANCE_US);
                        if client.established && line_overdue && !client.slow_reader && !client.moved {
                            found.push((Rule::HeldBack, connection, "a line from the backend is held back"));
                        }
                        let line_overdue = client
                            .upstream_bytes
                            .oldest_line_at()
                            .is_some_and(|at| now > at + MAX_LINE_DELAY_US + TIME_LIMIT_TOLERANCE_US);
                        let backend_answers =
                            attempt.is_some_and(|attempt| backends[attempt.backend].state.reachable);
                        if client.established && line_overdue && backend_answers && backend_ended_at.is_none()
                        {
                            found.push((Rule::HeldBack, connection, "a line from the client is held back"));
                        }
                        let silent = client
                            .unanswered_lines
                            .front()
                            .is_some_and(|&at| now > at + MAX_SILENCE_US + TIME_LIMIT_TOLERANCE_US);
                        if client.established
                            && silent
                            && !client.moved
                            && !client.slow_reader
                            && backend_ended_at.is_none()
                        {
                            found.push((Rule::SilentKept, connection, "no line came back for seven seconds"));
                        }
                    }
                }
                ConnectionKind::Backend(_) | ConnectionKind::Discovery(_) | ConnectionKind::Other => {}
            }
        }
        for (rule, connection, what) in found {
            self.record_violation(rule, Some(connection), what.to_string());
            // Reports each connection once.
            self.open_connections.retain(|&c| c != connection);
        }
        for index in 0..self.proxies.len() {
            let proxy = &mut self.proxies[index];
            let late = proxy
                .watch_answered_at
                .is_some_and(|at| now > at + MAX_WATCH_GAP_US + TIME_LIMIT_TOLERANCE_US);
            if late && proxy.running && proxy.stop_requested_at.is_none() {
                proxy.watch_answered_at = None;
                self.record_violation(
                    Rule::WatchGap,
                    None,
                    format!("proxy {index} does not renew its discovery watch"),
                );
            }
            let proxy = &mut self.proxies[index];
            if now > proxy.last_call_at + MAX_CALL_INTERVAL_US + TIME_LIMIT_TOLERANCE_US
                && proxy.running
                && proxy.stop_requested_at.is_none()
            {
                proxy.last_call_at = now;
                self.record_violation(
                    Rule::WatchGap,
                    None,
                    format!("proxy {index} has not called discovery for too long"),
                );
            }
        }
    }

    /// Returns the number of connections that a proxy still holds although their clients have ended them.
    pub fn unclosed_connection_count(&self, proxy: usize) -> usize {
        let is_held = |connection: &&usize| match &self.connections[**connection].kind {
            ConnectionKind::Client(client) => {
                client.proxy == proxy && client.proxy_ended_at.is_none() && client.client_ended_at.is_some()
            }
            _ => false,
        };
        self.open_connections.iter().filter(is_held).count()
    }

    /// Returns the current process of a proxy.
    pub fn process_of(&self, proxy: usize) -> ProcessId {
        self.proxies[proxy].process
    }
}

/// Splits a request line into fields, without the timeout field, which the proxy may change.
fn without_timeout(line: &[u8]) -> Vec<&[u8]> {
    let parts = line.split(|&byte| byte == b',' || byte == b' ');
    parts.filter(|part| !part.starts_with(b"d=")).collect()
}

/// Response of discovery.
#[derive(Deserialize)]
struct EndpointsResponse {
    #[serde(default)]
    snapshot: bool,
    #[serde(default)]
    endpoints: Vec<EndpointStatus>,
}

/// A backend in a response of discovery.
#[derive(Deserialize)]
struct EndpointStatus {
    name: String,
    status: String,
    #[serde(default)]
    since_ms: u64,
}
