//! An execute node: cores, set-up work, load by connection and group, cold start, cap, queue and reports. It runs
//! over a host, so that the same model serves on the virtual clock and on real sockets.

use crate::lines::{Lines, write};
use crate::rng::Rng;
use crate::script::BackendSpec;
use pierloom_host::{Host, Micros, TcpListener, TcpStream};
use rand::Rng as _;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// A mean connection's load; microseconds of work a second, for a core that fourteen or so fill.
const MEAN_LOAD: f64 = 60_000.0;
/// A message waits no longer than this, however full the node; microseconds.
const LONGEST_DELAY: f64 = 3e6;
/// Part of its capacity beyond which an execute node has no quick message any more.
const FULL: f64 = 0.97;
/// Its mean time between changes of a connection's load; microseconds.
const CHANGE: Micros = 8_000_000;

/// How a cold start goes.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Share of its capacity at the start.
    pub from: f64,
    /// Warm after this; microseconds.
    pub time: Micros,
}

/// What befalls all execute nodes or one of them while it runs.
pub struct Degradation {
    /// This many times slower.
    pub slow: Cell<f64>,
    /// Share that another program takes, on and off by the second.
    pub neighbour: Cell<f64>,
    /// Reports come this much later; microseconds.
    pub late: Rc<Cell<Micros>>,
}

impl Degradation {
    /// Nothing out of the ordinary, with reports that are late as that says.
    pub fn none(late: Rc<Cell<Micros>>) -> Rc<Self> {
        Rc::new(Degradation { slow: Cell::new(1.0), neighbour: Cell::new(0.0), late })
    }
}

struct Held {
    load: f64,
    group: String,
}

/// One execute node's process.
pub struct Backend {
    spec: BackendSpec,
    host: Host,
    slow_start: SlowStart,
    /// When it started, if cold.
    cold_since: Option<Micros>,
    degradation: Rc<Degradation>,
    rng: RefCell<Rng>,
    held: RefCell<BTreeMap<u64, Held>>,
    next: Cell<u64>,
    queued: Cell<usize>,
    free_at: Cell<Micros>,
    draining: Cell<bool>,
    leave: Notify,
    reports: RefCell<Vec<(Micros, String)>>,
}

impl Backend {
    /// An execute node that has just started, cold if a time says so.
    pub fn new(
        spec: BackendSpec,
        host: Host,
        slow_start: SlowStart,
        cold_since: Option<Micros>,
        degradation: Rc<Degradation>,
        rng: Rng,
    ) -> Rc<Self> {
        Rc::new(Backend {
            spec,
            host,
            slow_start,
            cold_since,
            degradation,
            rng: RefCell::new(rng),
            held: RefCell::default(),
            next: Cell::new(0),
            queued: Cell::new(0),
            free_at: Cell::new(0),
            draining: Cell::new(false),
            leave: Notify::new(),
            reports: RefCell::default(),
        })
    }

    /// Serves for as long as its process lives.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let backend = self.clone();
                    self.host.spawn(async move { backend.hear(stream).await });
                }
                Err(_) => self.host.sleep_until(self.host.now() + 10_000).await,
            }
        }
    }

    /// It finishes what it has and takes nothing new; some ask their clients to leave.
    pub fn drain(&self) {
        self.draining.set(true);
        if self.spec.sends_away {
            self.leave.notify_waiters();
        }
    }

    /// Part of its speed that it has now.
    fn vigour(&self) -> f64 {
        let now = self.host.now();
        let age = self.cold_since.map_or(self.slow_start.time, |since| now.saturating_sub(since));
        let warm = (age as f64 / self.slow_start.time as f64).min(1.0);
        let cold = self.slow_start.from + (1.0 - self.slow_start.from) * warm;
        let on = (now / 1_000_000).is_multiple_of(2);
        let taken = if on { self.degradation.neighbour.get() } else { 0.0 };
        cold * (1.0 - taken) / self.degradation.slow.get()
    }

    /// Load asked of it over what it can do.
    fn load(&self) -> f64 {
        let held = self.held.borrow();
        let groups: std::collections::BTreeSet<&str> =
            held.values().map(|held| held.group.as_str()).collect();
        let asked = held.values().map(|held| held.load).sum::<f64>() + groups.len() as f64;
        asked / capacity(&self.spec) / self.vigour()
    }

    /// How long a message takes.
    fn delay(&self) -> Micros {
        let (load, work) = (self.load(), self.spec.message_ms * 1e3 / self.spec.speed / self.vigour());
        let waits = work / (1.0 - load.min(FULL)) + (load - FULL).max(0.0) * 1e6;
        let noise = 0.8 + 0.4 * self.rng.borrow_mut().random::<f64>();
        (waits * noise).min(LONGEST_DELAY) as Micros
    }

    /// The report of a while ago, made anew now and then.
    fn report(&self) -> String {
        let now = self.host.now();
        let mut reports = self.reports.borrow_mut();
        if reports.last().is_none_or(|(at, _)| at + self.spec.report_ms * 1_000 <= now) {
            let off = 1.0 + self.spec.noise * (self.rng.borrow_mut().random::<f64>() * 2.0 - 1.0);
            let (load, work) = (self.load() * off, self.spec.message_ms / self.spec.speed / self.vigour());
            let text = format!("x0={load:.4},latency_ms={work:.2},eps=0,util={:.3}", load.min(1.0));
            reports.push((now, text));
        }
        let seen = now.saturating_sub(self.degradation.late.get());
        let known = reports.iter().rposition(|(at, _)| *at <= seen).unwrap_or(0);
        reports.drain(..known);
        reports[0].1.clone()
    }

    async fn hear(self: Rc<Self>, stream: TcpStream) {
        let mut lines = Lines::new(stream);
        while let Some(line) = lines.next().await {
            let answer = match line.as_str() {
                "PING" => "PONG\r\n".to_string(),
                "STATS" => format!("PONG {}\r\n", self.report()),
                _ => match opening(&line) {
                    Some((group, wait)) => return self.open(lines, group, wait).await,
                    None => "ERR\r\n".to_string(),
                },
            };
            if write(&lines.stream, answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn open(self: Rc<Self>, mut lines: Lines, group: String, wait: Micros) {
        let now = self.host.now();
        let full = self.queued.get() >= self.spec.queue || self.held.borrow().len() >= self.spec.cap;
        if full || self.draining.get() {
            let words = format!("BUSY {}\r\n", self.report());
            // Whoever has left meanwhile needs no answer.
            let _ = write(&lines.stream, words.as_bytes()).await;
            return;
        }
        let work = self.spec.setup_ms * 1e3 / f64::from(self.spec.cores) / self.spec.speed / self.vigour();
        let ready = self.free_at.get().max(now) + work as Micros;
        self.free_at.set(ready);
        self.queued.set(self.queued.get() + 1);
        self.host.sleep_until(ready).await;
        self.queued.set(self.queued.get() - 1);
        if self.host.now() > now + wait || self.draining.get() {
            let _ = write(&lines.stream, b"BUSY\r\n").await;
            return;
        }
        let number = self.next.replace(self.next.get() + 1);
        let load = 0.4 + 1.2 * self.rng.borrow_mut().random::<f64>();
        self.held.borrow_mut().insert(number, Held { load, group });
        let place = Place { backend: self.clone(), number };
        if write(&lines.stream, format!("UP r{number}\r\n").as_bytes()).await.is_ok() {
            self.serve_lines(&mut lines, number).await;
        }
        drop(place);
    }

    /// Answers each line after its delay, tells the load when it changes, and leaves when told.
    async fn serve_lines(&self, lines: &mut Lines, number: u64) {
        let stream = lines.stream.clone();
        let mut change = self.host.now() + self.rng.borrow_mut().random_range(CHANGE / 4..CHANGE);
        let mut news = 0;
        loop {
            tokio::select! {
                biased;
                line = lines.next() => {
                    if line.is_none() {
                        return;
                    }
                    self.host.sleep_until(self.host.now() + self.delay()).await;
                    news += 1;
                    if write(&stream, format!("NEWS {number}-{news}\r\n").as_bytes()).await.is_err() {
                        return;
                    }
                }
                () = self.host.sleep_until(change) => {
                    let load = 0.3 + 1.4 * self.rng.borrow_mut().random::<f64>();
                    if let Some(held) = self.held.borrow_mut().get_mut(&number) {
                        held.load = load;
                    }
                    change = self.host.now() + self.rng.borrow_mut().random_range(CHANGE / 4..CHANGE);
                    let words = format!("LOAD {:.0}\r\n", load * MEAN_LOAD);
                    if write(&stream, words.as_bytes()).await.is_err() {
                        return;
                    }
                }
                () = self.leave.notified() => {
                    // Spread a little, and politely: the end of the connection follows.
                    let wait = self.rng.borrow_mut().random_range(0..800_000);
                    self.host.sleep_until(self.host.now() + wait).await;
                    let _ = write(&stream, b"MOVE\r\n").await;
                    return;
                }
            }
        }
    }
}

/// Connections of mean load that fill an execute node.
pub fn capacity(spec: &BackendSpec) -> f64 {
    f64::from(spec.cores) * spec.speed * spec.per_core
}

/// A connection's place, free again however it ends.
struct Place {
    backend: Rc<Backend>,
    number: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.backend.held.borrow_mut().remove(&self.number);
    }
}

/// The group and the wait of an opening; none where it is not understood.
fn opening(line: &str) -> Option<(String, Micros)> {
    let mut words = line.strip_prefix("OPEN ")?.split(' ');
    let fields = words.nth(2)?;
    let field = |name: &str| fields.split(',').find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
    Some((field("g").unwrap_or("-").to_string(), field("d")?.parse::<u64>().ok()? * 1_000))
}
