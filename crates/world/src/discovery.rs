//! Model of the discovery service: HTTP/1.1, one call at a time, with watches and failures.
//!
//! The service reports the state of backends as published to it, with a delay.

use crate::lines::{LineReader, write_all};
use pierloom_host::{Host, Micros, TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Time that the service works on a call.
const CALL_DURATION_US: Micros = 2_000;
/// A call that would wait longer than this in the queue fails.
const MAX_QUEUE_TIME_US: Micros = 3_000_000;
/// An old address closes its connections this long after the service has moved.
const CLOSE_AFTER_MOVE_US: Micros = 1_500_000;

/// One backend in the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Name of the backend.
    pub name: String,
    /// Address of the backend.
    pub address: String,
    /// Name of the zone.
    pub zone: String,
    /// `ready`, `draining` or `gone`.
    pub status: &'static str,
    /// Weight of the backend.
    pub weight: f64,
    /// Time of the last start, in Unix milliseconds; 0 means long ago.
    pub since_ms: u64,
}

impl EndpointEntry {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"m","group":0,"status":"{}","weight":{},"since_ms":{}}}"#,
            self.name, self.address, self.zone, self.status, self.weight, self.since_ms
        )
    }
}

/// The endpoint list and its history. The store outlives the process of the service.
pub struct EndpointStore {
    entries: RefCell<Vec<EndpointEntry>>,
    history: RefCell<Vec<(u64, EndpointEntry)>>,
    /// Version of the list.
    index: Cell<u64>,
    /// Notified at each change. `Notify` wakes waiting calls in order; a watch channel has an order of its
    /// own.
    changed: Notify,
    /// Calls fail with status 503.
    pub failing: Cell<bool>,
    /// Extra time that each call takes.
    pub response_delay: Cell<Micros>,
    /// Time at which all accepted calls are done.
    queue_free_at: Cell<Micros>,
}

impl EndpointStore {
    /// Creates a store with version 1 of the list.
    pub fn new(entries: Vec<EndpointEntry>) -> Rc<Self> {
        Rc::new(EndpointStore {
            entries: RefCell::new(entries),
            history: RefCell::default(),
            index: Cell::new(1),
            changed: Notify::new(),
            failing: Cell::new(false),
            response_delay: Cell::new(0),
            queue_free_at: Cell::new(0),
        })
    }

    /// Records a change and notifies the waiting calls.
    pub fn publish(&self, entry: EndpointEntry) {
        let index = self.index.get() + 1;
        {
            let mut entries = self.entries.borrow_mut();
            entries.retain(|other| other.name != entry.name);
            if entry.status != "gone" {
                entries.push(entry.clone());
            }
        }
        self.history.borrow_mut().push((index, entry));
        self.index.set(index);
        self.changed.notify_waiters();
    }

    /// Returns the complete list as JSON.
    pub fn snapshot(&self) -> String {
        let entries: Vec<String> = self.entries.borrow().iter().map(EndpointEntry::json).collect();
        format!(r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#, self.index.get(), entries.join(","))
    }

    /// Returns the changes after version `from` as JSON.
    fn delta(&self, from: u64) -> String {
        let history = self.history.borrow();
        let changes = history.iter().filter(|(index, _)| *index > from).map(|(_, entry)| entry.json());
        let changes: Vec<String> = changes.collect();
        format!(r#"{{"index":{},"snapshot":false,"endpoints":[{}]}}"#, self.index.get(), changes.join(","))
    }
}

/// The discovery service at one address.
pub struct DiscoveryService {
    endpoint_store: Rc<EndpointStore>,
    host: Host,
    moved: Notify,
    /// The service has moved to another address.
    closed: Cell<bool>,
}

impl DiscoveryService {
    /// Creates a service that serves the list of a store.
    pub fn new(endpoint_store: Rc<EndpointStore>, host: Host) -> Rc<Self> {
        Rc::new(DiscoveryService { endpoint_store, host, moved: Notify::new(), closed: Cell::new(false) })
    }

    /// Stops accepting connections, and closes the open ones after a delay.
    pub fn move_away(&self) {
        self.closed.set(true);
        self.moved.notify_waiters();
    }

    /// Accepts connections until the service moves to another address.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        while !self.closed.get() {
            tokio::select! {
                biased;
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        let service = self.clone();
                        self.host.spawn(async move { service.handle_connection(stream).await });
                    }
                }
                () = self.moved.notified() => {}
            }
        }
    }

    async fn handle_connection(self: Rc<Self>, stream: TcpStream) {
        let moved = async {
            self.moved.notified().await;
            self.host.sleep_until(self.host.now() + CLOSE_AFTER_MOVE_US).await;
        };
        tokio::select! {
            biased;
            () = self.serve_calls(stream) => {}
            () = moved => {}
        }
    }

    async fn serve_calls(&self, stream: TcpStream) {
        let mut lines = LineReader::new(stream);
        while let Some(request) = lines.next_line().await {
            while lines.next_line().await.is_some_and(|header| !header.is_empty()) {}
            let body = self.response_body(&request).await;
            let text = match body {
                Some(body) => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
                None => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".into(),
            };
            if write_all(&lines.stream, text.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Returns the body of the response to a request line, or `None` if the call fails.
    async fn response_body(&self, request: &str) -> Option<String> {
        let parameter = |name: &str| -> Option<u64> {
            let value = request.split(name).nth(1)?;
            value.split(['&', ' ']).next()?.parse().ok()
        };
        let now = self.host.now();
        let start_at = self.endpoint_store.queue_free_at.get().max(now);
        if start_at > now + MAX_QUEUE_TIME_US {
            return None;
        }
        let done_at = start_at + CALL_DURATION_US + self.endpoint_store.response_delay.get();
        self.endpoint_store.queue_free_at.set(done_at);
        self.host.sleep_until(done_at).await;
        if self.endpoint_store.failing.get() {
            return None;
        }
        let Some(from) = parameter("from=") else { return Some(self.endpoint_store.snapshot()) };
        let hold = parameter("hold_ms=").unwrap_or(0).min(60_000) * 1_000;
        let newer_entries = async {
            while self.endpoint_store.index.get() <= from {
                self.endpoint_store.changed.notified().await;
            }
        };
        let until = self.host.now() + hold;
        tokio::select! {
            biased;
            () = newer_entries => {}
            () = self.host.sleep_until(until) => {}
        }
        if self.endpoint_store.failing.get() { None } else { Some(self.endpoint_store.delta(from)) }
    }
}
