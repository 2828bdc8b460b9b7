//! The service of the machine list: HTTP/1.1, one call at a time, watches, failures. It tells what it was told
//! of execute nodes, late.

use crate::lines::{Lines, write};
use pierloom_host::{Host, Micros, TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Work of one call; microseconds.
const CALL: Micros = 2_000;
/// A call that would wait longer than this for its turn fails; microseconds.
const TURN: Micros = 3_000_000;
/// An old address closes its connections this long after the move; microseconds.
const MOVED: Micros = 1_500_000;

/// What the list says of one execute node.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Its zone's name.
    pub zone: String,
    /// ready, draining or gone.
    pub status: &'static str,
    /// Its weight.
    pub weight: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub since_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"m","group":0,"status":"{}","weight":{},"since_ms":{}}}"#,
            self.name, self.address, self.zone, self.status, self.weight, self.since_ms
        )
    }
}

/// The list and its history. It outlives the service's process.
pub struct EndpointStore {
    entries: RefCell<Vec<Entry>>,
    history: RefCell<Vec<(u64, Entry)>>,
    index: Cell<u64>,
    /// Rung at each change. Whoever waits is woken in order: a watch channel would wake in an order of its own.
    changed: Notify,
    /// Calls answered 503.
    pub failing: Cell<bool>,
    /// Each call takes this much longer; microseconds.
    pub late: Cell<Micros>,
    free_at: Cell<Micros>,
}

impl EndpointStore {
    /// A list of version 1.
    pub fn new(entries: Vec<Entry>) -> Rc<Self> {
        Rc::new(EndpointStore {
            entries: RefCell::new(entries),
            history: RefCell::default(),
            index: Cell::new(1),
            changed: Notify::new(),
            failing: Cell::new(false),
            late: Cell::new(0),
            free_at: Cell::new(0),
        })
    }

    /// Enters a change and tells whoever watches.
    pub fn publish(&self, entry: Entry) {
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

    /// The whole list as JSON.
    pub fn snapshot(&self) -> String {
        let entries: Vec<String> = self.entries.borrow().iter().map(Entry::json).collect();
        format!(r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#, self.index.get(), entries.join(","))
    }

    fn since(&self, from: u64) -> String {
        let history = self.history.borrow();
        let news = history.iter().filter(|(index, _)| *index > from).map(|(_, entry)| entry.json());
        let news: Vec<String> = news.collect();
        format!(r#"{{"index":{},"snapshot":false,"endpoints":[{}]}}"#, self.index.get(), news.join(","))
    }
}

/// One address that the list is served at.
pub struct Service {
    endpoint_store: Rc<EndpointStore>,
    host: Host,
    moved: Notify,
    closed: Cell<bool>,
}

impl Service {
    /// Serves that list.
    pub fn new(endpoint_store: Rc<EndpointStore>, host: Host) -> Rc<Self> {
        Rc::new(Service { endpoint_store, host, moved: Notify::new(), closed: Cell::new(false) })
    }

    /// Takes no new connection from here on, and closes the open ones a little later.
    pub fn move_away(&self) {
        self.closed.set(true);
        self.moved.notify_waiters();
    }

    /// Accepts until the address moves away.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        while !self.closed.get() {
            tokio::select! {
                biased;
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        let service = self.clone();
                        self.host.spawn(async move { service.hear(stream).await });
                    }
                }
                () = self.moved.notified() => {}
            }
        }
    }

    async fn hear(self: Rc<Self>, stream: TcpStream) {
        let moved = async {
            self.moved.notified().await;
            self.host.sleep_until(self.host.now() + MOVED).await;
        };
        tokio::select! {
            biased;
            () = self.calls(stream) => {}
            () = moved => {}
        }
    }

    async fn calls(&self, stream: TcpStream) {
        let mut lines = Lines::new(stream);
        while let Some(request) = lines.next().await {
            while lines.next().await.is_some_and(|header| !header.is_empty()) {}
            let body = self.answer(&request).await;
            let text = match body {
                Some(body) => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
                None => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".into(),
            };
            if write(&lines.stream, text.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, request: &str) -> Option<String> {
        let number = |name: &str| -> Option<u64> {
            let rest = request.split(name).nth(1)?;
            rest.split(['&', ' ']).next()?.parse().ok()
        };
        let now = self.host.now();
        let turn = self.endpoint_store.free_at.get().max(now);
        if turn > now + TURN {
            return None;
        }
        let done = turn + CALL + self.endpoint_store.late.get();
        self.endpoint_store.free_at.set(done);
        self.host.sleep_until(done).await;
        if self.endpoint_store.failing.get() {
            return None;
        }
        let Some(from) = number("from=") else { return Some(self.endpoint_store.snapshot()) };
        let hold = number("hold_ms=").unwrap_or(0).min(60_000) * 1_000;
        let newer = async {
            while self.endpoint_store.index.get() <= from {
                self.endpoint_store.changed.notified().await;
            }
        };
        let until = self.host.now() + hold;
        tokio::select! {
            biased;
            () = newer => {}
            () = self.host.sleep_until(until) => {}
        }
        if self.endpoint_store.failing.get() { None } else { Some(self.endpoint_store.since(from)) }
    }
}
