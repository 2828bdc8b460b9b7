//! Model of a backend: cores, setup work, load by connection and group, slow start, connection limit, queue
//! and load reports.
//!
//! The model runs on a `Host`, so that it works on the virtual clock and on real sockets.

use crate::lines::{LineReader, write_all};
use crate::rng::Rng;
use crate::script::BackendSpec;
use pierloom_host::{Host, Micros, TcpListener, TcpStream};
use rand::Rng as _;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Load of an average connection, as LOAD lines state it; microseconds of work per second. About fourteen
/// such connections fill a reference core of a generated backend.
const MEAN_LOAD_US_PER_SECOND: f64 = 60_000.0;
/// Longest delay of a message, however overloaded the backend is.
const MAX_MESSAGE_DELAY_US: f64 = 3e6;
/// Share of the capacity beyond which message delays grow steeply.
const SATURATION_SHARE: f64 = 0.97;
/// The load of a connection changes after a random time between a quarter of this interval and all of it.
const LOAD_CHANGE_INTERVAL_US: Micros = 8_000_000;

/// Parameters of slow start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Share of the capacity at the start.
    pub min_share: f64,
    /// Duration of slow start.
    pub duration: Micros,
}

/// Injected degradation of a running backend.
pub struct Degradation {
    /// Factor by which the backend is slower.
    pub slowdown_factor: Cell<f64>,
    /// Share of the capacity that another program takes, in every other second.
    pub neighbour_share: Cell<f64>,
    /// Delay of the load reports.
    pub report_delay: Rc<Cell<Micros>>,
}

impl Degradation {
    /// Returns no degradation, apart from the shared delay of the load reports.
    pub fn none(report_delay: Rc<Cell<Micros>>) -> Rc<Self> {
        Rc::new(Degradation {
            slowdown_factor: Cell::new(1.0),
            neighbour_share: Cell::new(0.0),
            report_delay,
        })
    }
}

/// Load of one established connection.
struct EstablishedConnection {
    load: f64,
    group: String,
}

/// One backend process.
pub struct Backend {
    spec: BackendSpec,
    host: Host,
    slow_start: SlowStart,
    /// Time of the start, if the backend is subject to slow start.
    slow_start_since: Option<Micros>,
    degradation: Rc<Degradation>,
    rng: RefCell<Rng>,
    connections: RefCell<BTreeMap<u64, EstablishedConnection>>,
    next_connection_id: Cell<u64>,
    setups_in_progress: Cell<usize>,
    /// Time at which the setup work of all accepted requests is done.
    setup_free_at: Cell<Micros>,
    draining: Cell<bool>,
    drain_requested: Notify,
    /// Load reports with their times, the oldest first.
    reports: RefCell<Vec<(Micros, String)>>,
}

impl Backend {
    /// Creates a backend that has just started; it is subject to slow start if `slow_start_since` is given.
    pub fn new(
        spec: BackendSpec,
        host: Host,
        slow_start: SlowStart,
        slow_start_since: Option<Micros>,
        degradation: Rc<Degradation>,
        rng: Rng,
    ) -> Rc<Self> {
        Rc::new(Backend {
            spec,
            host,
            slow_start,
            slow_start_since,
            degradation,
            rng: RefCell::new(rng),
            connections: RefCell::default(),
            next_connection_id: Cell::new(0),
            setups_in_progress: Cell::new(0),
            setup_free_at: Cell::new(0),
            draining: Cell::new(false),
            drain_requested: Notify::new(),
            reports: RefCell::default(),
        })
    }

    /// Accepts connections for as long as the process runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let backend = self.clone();
                    self.host.spawn(async move { backend.handle_connection(stream).await });
                }
                Err(_) => self.host.sleep_until(self.host.now() + 10_000).await,
            }
        }
    }

    /// Refuses new requests from now on and keeps the established connections. Sends MOVE on them if the
    /// script says so.
    pub fn drain(&self) {
        self.draining.set(true);
        if self.spec.sends_move_on_drain {
            self.drain_requested.notify_waiters();
        }
    }

    /// Returns the share of its full speed that the backend has now.
    fn current_speed_share(&self) -> f64 {
        let now = self.host.now();
        let age = self.slow_start_since.map_or(self.slow_start.duration, |since| now.saturating_sub(since));
        let ramp_progress = (age as f64 / self.slow_start.duration as f64).min(1.0);
        let slow_start_share = self.slow_start.min_share + (1.0 - self.slow_start.min_share) * ramp_progress;
        let neighbour_active = (now / 1_000_000).is_multiple_of(2);
        let neighbour_share = if neighbour_active { self.degradation.neighbour_share.get() } else { 0.0 };
        slow_start_share * (1.0 - neighbour_share) / self.degradation.slowdown_factor.get()
    }

    /// Returns the load of all connections and groups as a share of the current capacity.
    fn utilization(&self) -> f64 {
        let connections = self.connections.borrow();
        let groups: std::collections::BTreeSet<&str> =
            connections.values().map(|connection| connection.group.as_str()).collect();
        let total_load =
            connections.values().map(|connection| connection.load).sum::<f64>() + groups.len() as f64;
        total_load / capacity(&self.spec) / self.current_speed_share()
    }

    /// Returns the delay of a message.
    fn message_delay(&self) -> Micros {
        let (utilization, work_us) =
            (self.utilization(), self.spec.message_ms * 1e3 / self.spec.speed / self.current_speed_share());
        let delay_us = work_us / (1.0 - utilization.min(SATURATION_SHARE))
            + (utilization - SATURATION_SHARE).max(0.0) * 1e6;
        let noise = 0.8 + 0.4 * self.rng.borrow_mut().random::<f64>();
        (delay_us * noise).min(MAX_MESSAGE_DELAY_US) as Micros
    }

    /// Returns the newest load report that is old enough to be visible, after adding a report if one is due.
    fn load_report(&self) -> String {
        let now = self.host.now();
        let mut reports = self.reports.borrow_mut();
        if reports.last().is_none_or(|(at, _)| at + self.spec.report_ms * 1_000 <= now) {
            let noise_factor = 1.0 + self.spec.noise * (self.rng.borrow_mut().random::<f64>() * 2.0 - 1.0);
            let (utilization, work_ms) = (
                self.utilization() * noise_factor,
                self.spec.message_ms / self.spec.speed / self.current_speed_share(),
            );
            let text =
                format!("x0={utilization:.4},latency_ms={work_ms:.2},eps=0,util={:.3}", utilization.min(1.0));
            reports.push((now, text));
        }
        let visible_until = now.saturating_sub(self.degradation.report_delay.get());
        let newest_visible = reports.iter().rposition(|(at, _)| *at <= visible_until).unwrap_or(0);
        reports.drain(..newest_visible);
        reports[0].1.clone()
    }

    /// Answers probes, and handles the first request on a connection.
    async fn handle_connection(self: Rc<Self>, stream: TcpStream) {
        let mut lines = LineReader::new(stream);
        while let Some(line) = lines.next_line().await {
            let answer = match line.as_str() {
                "PING" => "PONG\r\n".to_string(),
                "STATS" => format!("PONG {}\r\n", self.load_report()),
                _ => match parse_request(&line) {
                    Some((group, timeout)) => return self.handle_request(lines, group, timeout).await,
                    None => "ERR\r\n".to_string(),
                },
            };
            if write_all(&lines.stream, answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Sets up a connection and serves it, or refuses the request.
    async fn handle_request(self: Rc<Self>, mut lines: LineReader, group: String, timeout: Micros) {
        let now = self.host.now();
        let at_capacity = self.setups_in_progress.get() >= self.spec.queue
            || self.connections.borrow().len() >= self.spec.max_connections;
        if at_capacity || self.draining.get() {
            let text = format!("BUSY {}\r\n", self.load_report());
            // A client that has left meanwhile needs no answer.
            let _ = write_all(&lines.stream, text.as_bytes()).await;
            return;
        }
        let work_us = self.spec.setup_ms * 1e3
            / f64::from(self.spec.cores)
            / self.spec.speed
            / self.current_speed_share();
        let ready_at = self.setup_free_at.get().max(now) + work_us as Micros;
        self.setup_free_at.set(ready_at);
        self.setups_in_progress.set(self.setups_in_progress.get() + 1);
        self.host.sleep_until(ready_at).await;
        self.setups_in_progress.set(self.setups_in_progress.get() - 1);
        if self.host.now() > now + timeout || self.draining.get() {
            let _ = write_all(&lines.stream, b"BUSY\r\n").await;
            return;
        }
        let connection_id = self.next_connection_id.replace(self.next_connection_id.get() + 1);
        let load = 0.4 + 1.2 * self.rng.borrow_mut().random::<f64>();
        self.connections.borrow_mut().insert(connection_id, EstablishedConnection { load, group });
        let slot = ConnectionSlot { backend: self.clone(), connection_id };
        if write_all(&lines.stream, format!("UP r{connection_id}\r\n").as_bytes()).await.is_ok() {
            self.serve_lines(&mut lines, connection_id).await;
        }
        drop(slot);
    }

    /// Answers each line after its delay, reports changes of the load, and sends MOVE on a drain.
    async fn serve_lines(&self, lines: &mut LineReader, connection_id: u64) {
        let stream = lines.stream.clone();
        let mut next_load_change_at = self.host.now()
            + self.rng.borrow_mut().random_range(LOAD_CHANGE_INTERVAL_US / 4..LOAD_CHANGE_INTERVAL_US);
        let mut message_count = 0;
        loop {
            tokio::select! {
                biased;
                line = lines.next_line() => {
                    if line.is_none() {
                        return;
                    }
                    self.host.sleep_until(self.host.now() + self.message_delay()).await;
                    message_count += 1;
                    if write_all(&stream, format!("NEWS {connection_id}-{message_count}\r\n").as_bytes())
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
                () = self.host.sleep_until(next_load_change_at) => {
                    let load = 0.3 + 1.4 * self.rng.borrow_mut().random::<f64>();
                    if let Some(connection) = self.connections.borrow_mut().get_mut(&connection_id) {
                        connection.load = load;
                    }
                    next_load_change_at = self.host.now()
                        + self
                            .rng
                            .borrow_mut()
                            .random_range(LOAD_CHANGE_INTERVAL_US / 4..LOAD_CHANGE_INTERVAL_US);
                    let text = format!("LOAD {:.0}\r\n", load * MEAN_LOAD_US_PER_SECOND);
                    if write_all(&stream, text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                () = self.drain_requested.notified() => {
                    // Spreads the moves over a short time; the end of the connection follows the MOVE.
                    let wait = self.rng.borrow_mut().random_range(0..800_000);
                    self.host.sleep_until(self.host.now() + wait).await;
                    let _ = write_all(&stream, b"MOVE\r\n").await;
                    return;
                }
            }
        }
    }
}

/// Returns the number of connections of average load that fill a backend.
pub fn capacity(spec: &BackendSpec) -> f64 {
    f64::from(spec.cores) * spec.speed * spec.connections_per_core
}

/// Slot of an established connection; dropping it frees the slot, however the connection ends.
struct ConnectionSlot {
    backend: Rc<Backend>,
    connection_id: u64,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.backend.connections.borrow_mut().remove(&self.connection_id);
    }
}

/// Returns the group and the timeout of a request line, or `None` if the line is invalid.
fn parse_request(line: &str) -> Option<(String, Micros)> {
    let mut words = line.strip_prefix("OPEN ")?.split(' ');
    let fields = words.nth(2)?;
    let field = |name: &str| fields.split(',').find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
    Some((field("g").unwrap_or("-").to_string(), field("d")?.parse::<u64>().ok()? * 1_000))
}
