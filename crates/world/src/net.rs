//! The simulated network: connections with delay, jitter, bounded windows, partial reads and writes, end of
//! stream, resets and partitions. It behaves as Linux's TCP does wherever the proxy can observe a difference:
//! bytes that arrived before a reset can still be read, closing a connection with unread bytes resets it, and
//! a partitioned machine sends nothing.

use crate::observer::Role;
use crate::rng::Rng;
use crate::sim::{Event, ProcessId, Sim, Sleep};
use pierloom_host::{
    Host, ListenerIo, Local, Machine, Micros, Signal, Signals, StreamIo, TcpListener, TcpStream,
};
use rand::Rng as _;
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

/// Linux's error number for a process without free descriptors.
const EMFILE: i32 = 24;
/// Probability with which `InjectedDefect::WakeLost` loses the registration for a wake-up.
const LOST_WAKE_PROBABILITY: f64 = 0.02;
/// Probability with which `InjectedDefect::ByteDoubled` under-reports a write.
const DOUBLED_BYTE_PROBABILITY: f64 = 0.01;
/// Delay that `InjectedDefect::TimerLate` adds to each timer.
const LATE_TIMER_DELAY_US: Micros = 1_500_000;

/// Properties of the links, drawn once for a run.
#[derive(Clone, Copy, Debug)]
pub struct LinkConditions {
    /// One-way delay within a zone; microseconds.
    pub same_zone_delay_us: Micros,
    /// One-way delay between zones; microseconds.
    pub cross_zone_delay_us: Micros,
    /// Each segment's delay is lengthened by a random fraction of it, up to this value.
    pub jitter: f64,
    /// Bytes that may be in transit to an end or unread there.
    pub window_bytes: usize,
    /// Share of reads and writes that transfer only part of the bytes they could.
    pub partial_transfer_share: f64,
    /// Share of resets that overtake segments sent before them; those segments are lost.
    pub overtaking_reset_share: f64,
}

/// A unit that a connection carries in one direction.
#[derive(Debug)]
pub enum Segment {
    /// Bytes of the stream.
    Bytes(Vec<u8>),
    /// The sender's end of stream.
    Fin,
    /// A reset.
    Reset,
}

#[derive(Default)]
struct End {
    process: ProcessId,
    receive_buffer: VecDeque<u8>,
    /// Segments in transit to this end, in order.
    in_transit: VecDeque<Segment>,
    /// Stream bytes in `in_transit`.
    in_transit_bytes: usize,
    /// When the latest segment in transit arrives.
    last_arrival_at: Micros,
    /// The peer's end of stream has arrived.
    peer_finished: bool,
    /// A reset has arrived.
    is_reset: bool,
    /// This side has sent its end of stream.
    write_finished: bool,
    /// This side has closed the connection.
    closed: bool,
    /// Closing sends a reset in place of an end of stream.
    reset_on_close: bool,
    read_wakers: Vec<Waker>,
    write_wakers: Vec<Waker>,
}

impl End {
    fn wake_reader(&mut self) {
        self.read_wakers.drain(..).for_each(Waker::wake);
    }

    fn wake_writer(&mut self) {
        self.write_wakers.drain(..).for_each(Waker::wake);
    }
}

struct Connection {
    ends: [End; 2],
    /// For each segment that waits until neither side is partitioned, the end (0 or 1) to which it must be
    /// delivered.
    blocked_arrivals: Vec<usize>,
}

struct Listener {
    process: ProcessId,
    backlog: usize,
    accept_queue: VecDeque<usize>,
    waker: Option<Waker>,
}

/// A process on the network.
pub struct Process {
    /// The process's name.
    pub name: String,
    zone: usize,
    /// Whether the process runs.
    pub alive: Cell<bool>,
    /// Whether the process's machine is partitioned from the network.
    partitioned: Cell<bool>,
    max_descriptors: usize,
    open_descriptors: Cell<usize>,
    /// Files that the process can read, by path.
    pub files: RefCell<BTreeMap<String, Vec<u8>>>,
    env_vars: BTreeMap<String, String>,
    signals: RefCell<BTreeMap<Signal, UnboundedSender<()>>>,
    injected_defect: Option<InjectedDefect>,
}

/// A defect injected into a process's sockets and timers, to verify that the observer detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedDefect {
    /// The process never notices a reset from the peer.
    ResetSwallowed,
    /// The end of stream that the process sends gets lost.
    EndSwallowed,
    /// One registration for a read wake-up in fifty gets lost.
    WakeLost,
    /// Connections are not closed when their streams are dropped.
    CloseLost,
    /// Timers fire 1.5 s late.
    TimerLate,
    /// One write in a hundred reports one byte less than it wrote.
    ByteDoubled,
}

/// A connect that waits until the partition of a process ends, and the waker of its task.
type BlockedConnect = (ProcessId, Waker);

/// The network and its processes.
pub struct Net {
    links: LinkConditions,
    rng: Rng,
    processes: Vec<Rc<Process>>,
    connections: Vec<Connection>,
    listeners: BTreeMap<SocketAddr, Listener>,
    /// The process that owns each address, so that a partitioned machine leaves connects unanswered.
    address_owners: BTreeMap<IpAddr, ProcessId>,
    blocked_connects: Vec<BlockedConnect>,
}

impl Net {
    /// A network without processes. All its random draws come from `rng`.
    pub fn new(links: LinkConditions, rng: Rng) -> Self {
        Net {
            links,
            rng,
            processes: Vec::new(),
            connections: Vec::new(),
            listeners: BTreeMap::new(),
            address_owners: BTreeMap::new(),
            blocked_connects: Vec::new(),
        }
    }

    fn link_delay(&mut self, from: ProcessId, to: ProcessId) -> Micros {
        let same_zone = self.processes[from].zone == self.processes[to].zone;
        let base = if same_zone { self.links.same_zone_delay_us } else { self.links.cross_zone_delay_us };
        base + (base as f64 * self.links.jitter * self.rng.random::<f64>()) as Micros
    }

    /// Whether the machine at either end is partitioned.
    fn is_partitioned(&self, connection: &Connection) -> bool {
        connection.ends.iter().any(|end| self.processes[end.process].partitioned.get())
    }

    /// The number of bytes that a read or write of up to `length` bytes transfers.
    fn partial_length(&mut self, length: usize) -> usize {
        if length > 1
            && self.links.partial_transfer_share > 0.0
            && self.rng.random_bool(self.links.partial_transfer_share)
        {
            self.rng.random_range(1..=length)
        } else {
            length
        }
    }

    /// Number of processes started so far, ended ones included.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Whether no process was started.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// The process with that number.
    pub fn process(&self, id: ProcessId) -> &Rc<Process> {
        &self.processes[id]
    }
}

/// Parameters of a new process.
pub struct ProcessOptions {
    /// The process's name.
    pub name: String,
    /// The zone of the process's machine.
    pub zone: usize,
    /// Maximum number of open descriptors.
    pub max_descriptors: usize,
    /// Addresses of the machine; it refuses connects to them where nothing listens.
    pub addresses: Vec<IpAddr>,
    /// Files that the process can read, by path.
    pub files: BTreeMap<String, Vec<u8>>,
    /// The process's environment variables.
    pub env_vars: BTreeMap<String, String>,
    /// A defect to inject into the process's sockets and timers.
    pub injected_defect: Option<InjectedDefect>,
}

impl ProcessOptions {
    /// A process with one address, no descriptor limit, no files and no defect.
    pub fn plain(name: &str, zone: usize, address: IpAddr) -> Self {
        ProcessOptions {
            name: name.into(),
            zone,
            max_descriptors: usize::MAX,
            addresses: vec![address],
            files: BTreeMap::new(),
            env_vars: BTreeMap::new(),
            injected_defect: None,
        }
    }
}

impl Sim {
    /// Starts a process and returns its number and its host.
    pub fn start(self: &Rc<Self>, options: ProcessOptions) -> (ProcessId, Host) {
        let mut net = self.net.borrow_mut();
        let id = net.processes.len();
        for address in &options.addresses {
            net.address_owners.insert(*address, id);
        }
        net.processes.push(Rc::new(Process {
            name: options.name,
            zone: options.zone,
            alive: Cell::new(true),
            partitioned: Cell::new(false),
            max_descriptors: options.max_descriptors,
            open_descriptors: Cell::new(0),
            files: RefCell::new(options.files),
            env_vars: options.env_vars,
            signals: RefCell::default(),
            injected_defect: options.injected_defect,
        }));
        let process = net.processes[id].clone();
        self.observer.borrow_mut().register_process(id, Role::Other, &process.name);
        (id, Host::of(SimMachine { sim: self.clone(), id, process }))
    }

    /// Ends a process at once: resets its connections, removes its listeners and drops its tasks.
    pub fn kill(self: &Rc<Self>, id: ProcessId) {
        let process = self.net.borrow().process(id).clone();
        if !process.alive.replace(false) {
            return;
        }
        self.observer.borrow_mut().killed(id);
        let open: Vec<(usize, usize)> = {
            let mut net = self.net.borrow_mut();
            net.listeners.retain(|_, listener| listener.process != id);
            let ends = net.connections.iter().enumerate();
            ends.flat_map(|(c, connection)| (0..2).map(move |e| (c, e, connection)))
                .filter(|&(_, e, connection)| connection.ends[e].process == id && !connection.ends[e].closed)
                .map(|(c, e, _)| (c, e))
                .collect()
        };
        for (connection, end) in open {
            self.close(connection, end, true);
        }
        self.drop_tasks(id);
    }

    /// Sends a signal to a process that handles it.
    pub fn signal(&self, id: ProcessId, which: Signal) {
        let net = self.net.borrow();
        if let Some(sender) = net.processes[id].signals.borrow().get(&which) {
            // Sending fails if the process has ended; it needs no signal then.
            let _ = sender.send(());
        }
    }

    /// Partitions a machine from the network: no segment reaches it or leaves it, and peers get no error.
    pub fn partition(&self, id: ProcessId) {
        self.net.borrow().processes[id].partitioned.set(true);
    }

    /// Ends a partition. Segments that it blocked arrive now. With `reset`, the machine's connections are
    /// reset.
    pub fn heal(self: &Rc<Self>, id: ProcessId, reset: bool) {
        let arrivals: Vec<(usize, usize)> = {
            let mut net = self.net.borrow_mut();
            net.processes[id].partitioned.set(false);
            let blocked_connects = std::mem::take(&mut net.blocked_connects);
            for (process, waker) in blocked_connects {
                if process == id { waker.wake() } else { net.blocked_connects.push((process, waker)) }
            }
            let mut arrivals = Vec::new();
            for (c, connection) in net.connections.iter_mut().enumerate() {
                if connection.ends.iter().any(|end| end.process == id) {
                    arrivals.extend(connection.blocked_arrivals.drain(..).map(|end| (c, end)));
                }
            }
            arrivals
        };
        if reset {
            let open: Vec<_> = {
                let net = self.net.borrow();
                let all = net.connections.iter().enumerate();
                all.filter(|(_, c)| {
                    c.ends.iter().any(|end| end.process == id) && c.ends.iter().all(|end| !end.closed)
                })
                .map(|(c, connection)| (c, usize::from(connection.ends[0].process != id)))
                .collect()
            };
            for (connection, end) in open {
                self.send(connection, end, Segment::Reset);
                let mut net = self.net.borrow_mut();
                let local = &mut net.connections[connection].ends[end];
                (local.is_reset, local.in_transit_bytes) = (true, 0);
                local.in_transit.clear();
                local.wake_reader();
                local.wake_writer();
            }
        }
        for (connection, end) in arrivals {
            self.schedule(self.now(), Event::Deliver(connection, end));
        }
    }

    /// Number of descriptors that a process has open.
    pub fn descriptor_count(&self, id: ProcessId) -> usize {
        self.net.borrow().processes[id].open_descriptors.get()
    }

    /// Creates a connection and returns its number; end 0 is the connecting side.
    fn create_connection(&self, from: ProcessId, to: ProcessId) -> usize {
        let mut net = self.net.borrow_mut();
        let end = |process| End { process, ..End::default() };
        net.connections.push(Connection { ends: [end(from), end(to)], blocked_arrivals: Vec::new() });
        let connection = net.connections.len() - 1;
        drop(net);
        self.observer.borrow_mut().opened(self.now(), connection, from, to);
        connection
    }

    /// Sends a segment from that end to the other.
    fn send(&self, connection: usize, end: usize, segment: Segment) {
        self.observer.borrow_mut().sent(self.now(), connection, end, &segment);
        let mut net = self.net.borrow_mut();
        let (from, to) = (
            net.connections[connection].ends[end].process,
            net.connections[connection].ends[1 - end].process,
        );
        let overtaking_share = net.links.overtaking_reset_share;
        let overtakes = matches!(segment, Segment::Reset)
            && overtaking_share > 0.0
            && net.rng.random_bool(overtaking_share);
        let at = self.now() + net.link_delay(from, to);
        let other = &mut net.connections[connection].ends[1 - end];
        if overtakes {
            (other.in_transit_bytes, other.last_arrival_at) = (0, 0);
            other.in_transit.clear();
        }
        if let Segment::Bytes(bytes) = &segment {
            other.in_transit_bytes += bytes.len();
        }
        other.in_transit.push_back(segment);
        // Segments arrive in order, whatever the jitter.
        other.last_arrival_at = at.max(other.last_arrival_at);
        let at = other.last_arrival_at;
        drop(net);
        self.schedule(at, Event::Deliver(connection, 1 - end));
    }

    /// Delivers the first segment in transit to that end.
    pub(crate) fn deliver(&self, connection: usize, end: usize) {
        let mut net = self.net.borrow_mut();
        if net.is_partitioned(&net.connections[connection]) {
            net.connections[connection].blocked_arrivals.push(end);
            return;
        }
        let local = &mut net.connections[connection].ends[end];
        // A reset may have overtaken the segment and discarded it.
        let Some(segment) = local.in_transit.pop_front() else { return };
        if let Segment::Bytes(bytes) = &segment {
            local.in_transit_bytes -= bytes.len();
        }
        if local.is_reset {
            return;
        }
        if local.closed {
            drop(net);
            // Bytes sent to a closed connection are answered with a reset.
            if matches!(segment, Segment::Bytes(_)) {
                self.send(connection, end, Segment::Reset);
            }
            return;
        }
        match &segment {
            Segment::Bytes(bytes) => local.receive_buffer.extend(bytes),
            Segment::Fin => local.peer_finished = true,
            Segment::Reset => {
                local.is_reset = true;
                local.wake_writer();
            }
        }
        local.wake_reader();
        drop(net);
        self.observer.borrow_mut().arrived(self.now(), connection, end, &segment);
    }

    fn close(&self, connection: usize, end: usize, reset: bool) {
        let mut net = self.net.borrow_mut();
        let local = &mut net.connections[connection].ends[end];
        if std::mem::replace(&mut local.closed, true) {
            return;
        }
        let final_segment = match local {
            End { is_reset: true, .. } => None,
            End { reset_on_close: true, .. } => Some(Segment::Reset),
            End { receive_buffer, .. } if reset || !receive_buffer.is_empty() => Some(Segment::Reset),
            End { write_finished: true, .. } => None,
            _ => Some(Segment::Fin),
        };
        local.receive_buffer.clear();
        let was_reset = local.is_reset;
        drop(net);
        if let Some(segment) = final_segment {
            self.send(connection, end, segment);
        }
        if was_reset {
            self.observer.borrow_mut().closed_after_reset(self.now(), connection, end);
        }
    }
}

/// An open descriptor of a process; dropping it releases it.
struct Descriptor(Rc<Process>);

impl Descriptor {
    fn acquire(process: &Rc<Process>) -> io::Result<Self> {
        if process.open_descriptors.get() >= process.max_descriptors {
            return Err(io::Error::from_raw_os_error(EMFILE));
        }
        process.open_descriptors.set(process.open_descriptors.get() + 1);
        Ok(Descriptor(process.clone()))
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.0.open_descriptors.set(self.0.open_descriptors.get() - 1);
    }
}

struct SimStream {
    sim: Rc<Sim>,
    connection: usize,
    end: usize,
    descriptor: Descriptor,
}

impl SimStream {
    /// Whether that defect is injected into the stream's process.
    fn has_defect(&self, injected_defect: InjectedDefect) -> bool {
        self.descriptor.0.injected_defect == Some(injected_defect)
    }

    /// Runs `action` with the network, the connection's number and the stream's end of it.
    fn with_net<T>(&self, action: impl FnOnce(&mut Net, usize, usize) -> T) -> T {
        action(&mut self.sim.net.borrow_mut(), self.connection, self.end)
    }
}

impl StreamIo for SimStream {
    fn poll_readable(&self, context: &mut Context<'_>) -> Poll<()> {
        self.with_net(|net, connection, end| {
            let lose_wake =
                self.has_defect(InjectedDefect::WakeLost) && net.rng.random_bool(LOST_WAKE_PROBABILITY);
            let local = &mut net.connections[connection].ends[end];
            let broken = local.is_reset && !self.has_defect(InjectedDefect::ResetSwallowed);
            if !local.receive_buffer.is_empty() || local.peer_finished || broken {
                return Poll::Ready(());
            }
            if !lose_wake && !local.read_wakers.iter().any(|waker| waker.will_wake(context.waker())) {
                local.read_wakers.push(context.waker().clone());
            }
            Poll::Pending
        })
    }

    fn poll_writable(&self, context: &mut Context<'_>) -> Poll<()> {
        self.with_net(|net, connection, end| {
            let window = net.links.window_bytes;
            let [first, second] = &mut net.connections[connection].ends;
            let (local, peer) = if end == 0 { (first, second) } else { (second, first) };
            if local.is_reset
                || local.write_finished
                || peer.receive_buffer.len() + peer.in_transit_bytes < window
            {
                return Poll::Ready(());
            }
            if !local.write_wakers.iter().any(|waker| waker.will_wake(context.waker())) {
                local.write_wakers.push(context.waker().clone());
            }
            Poll::Pending
        })
    }

    fn try_read(&self, into: &mut [u8]) -> io::Result<usize> {
        self.with_net(|net, connection, end| {
            let local = &net.connections[connection].ends[end];
            if local.receive_buffer.is_empty() {
                return match local {
                    End { is_reset: true, .. } if !self.has_defect(InjectedDefect::ResetSwallowed) => {
                        Err(io::ErrorKind::ConnectionReset.into())
                    }
                    End { peer_finished: true, .. } => Ok(0),
                    _ => Err(io::ErrorKind::WouldBlock.into()),
                };
            }
            let available = local.receive_buffer.len().min(into.len());
            let length = net.partial_length(available);
            let [first, second] = &mut net.connections[connection].ends;
            let (local, other) = if end == 0 { (first, second) } else { (second, first) };
            for (to, byte) in into.iter_mut().zip(local.receive_buffer.drain(..length)) {
                *to = byte;
            }
            other.wake_writer();
            Ok(length)
        })
    }

    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        let length = self.with_net(|net, connection, end| {
            let (local, peer) =
                (&net.connections[connection].ends[end], &net.connections[connection].ends[1 - end]);
            if local.is_reset || local.write_finished {
                return Err(io::Error::from(io::ErrorKind::BrokenPipe));
            }
            let window_space =
                net.links.window_bytes.saturating_sub(peer.receive_buffer.len() + peer.in_transit_bytes);
            if window_space == 0 {
                return Err(io::ErrorKind::WouldBlock.into());
            }
            Ok(net.partial_length(window_space.min(bytes.len())))
        })?;
        self.sim.send(self.connection, self.end, Segment::Bytes(bytes[..length].to_vec()));
        let under_report = length > 1
            && self.has_defect(InjectedDefect::ByteDoubled)
            && self.with_net(|net, _, _| net.rng.random_bool(DOUBLED_BYTE_PROBABILITY));
        Ok(length - usize::from(under_report))
    }

    fn finish(&self) -> io::Result<()> {
        let first_finish = self.with_net(|net, connection, end| {
            let local = &mut net.connections[connection].ends[end];
            if local.is_reset {
                return Err(io::Error::from(io::ErrorKind::NotConnected));
            }
            Ok(!std::mem::replace(&mut local.write_finished, true))
        })?;
        if first_finish && !self.has_defect(InjectedDefect::EndSwallowed) {
            self.sim.send(self.connection, self.end, Segment::Fin);
        }
        Ok(())
    }

    fn reset_on_close(&self) {
        self.with_net(|net, connection, end| net.connections[connection].ends[end].reset_on_close = true);
    }
}

impl Drop for SimStream {
    fn drop(&mut self) {
        if self.has_defect(InjectedDefect::CloseLost) {
            return;
        }
        self.sim.close(self.connection, self.end, false);
    }
}

struct SimListener {
    sim: Rc<Sim>,
    process: Rc<Process>,
    address: SocketAddr,
    _descriptor: Descriptor,
}

impl ListenerIo for SimListener {
    fn poll_accept(&self, context: &mut Context<'_>) -> Poll<io::Result<(TcpStream, SocketAddr)>> {
        let mut net = self.sim.net.borrow_mut();
        let Some(listener) = net.listeners.get_mut(&self.address) else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        if listener.accept_queue.is_empty() {
            listener.waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        let descriptor = match Descriptor::acquire(&self.process) {
            Ok(descriptor) => descriptor,
            Err(e) => return Poll::Ready(Err(e)),
        };
        let connection = listener.accept_queue.pop_front().unwrap_or_default();
        let stream = SimStream { sim: self.sim.clone(), connection, end: 1, descriptor };
        Poll::Ready(Ok((TcpStream::from_io(stream), self.address)))
    }

    fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for SimListener {
    fn drop(&mut self) {
        let pending = {
            let mut net = self.sim.net.borrow_mut();
            net.listeners.remove(&self.address).map(|listener| listener.accept_queue).unwrap_or_default()
        };
        pending.into_iter().for_each(|connection| self.sim.close(connection, 1, true));
    }
}

/// The simulated machine as one process sees it.
struct SimMachine {
    sim: Rc<Sim>,
    id: ProcessId,
    process: Rc<Process>,
}

/// A connect in progress. Dropping it early leaves nothing open.
struct Connecting {
    sim: Rc<Sim>,
    from: ProcessId,
    to: SocketAddr,
    descriptor: Option<Descriptor>,
    stage: Stage,
}

/// Stages of a connect.
enum Stage {
    /// The connect is in transit to the server.
    Outbound(Sleep),
    /// No machine answers the connect.
    Unanswered,
    /// The answer, a connection or a refusal, is in transit to the client.
    Returning(Sleep, Option<SimStream>),
}

impl Connecting {
    /// The connect reaches the server, which accepts it, refuses it or leaves it unanswered.
    fn reach_server(&mut self, context: &mut Context<'_>) -> Stage {
        let now = self.sim.now();
        let machine = self.sim.net.borrow().address_owners.get(&self.to.ip()).copied();
        let Some(machine) = machine else { return Stage::Unanswered };
        let mut net = self.sim.net.borrow_mut();
        if net.processes[machine].partitioned.get() || net.processes[self.from].partitioned.get() {
            let blocked = if net.processes[machine].partitioned.get() { machine } else { self.from };
            net.blocked_connects.push((blocked, context.waker().clone()));
            return Stage::Unanswered;
        }
        let returns_at = now + net.link_delay(machine, self.from);
        let listener = net.listeners.get(&self.to).map(|l| (l.process, l.accept_queue.len() < l.backlog));
        let Some((process, backlog_has_space)) = listener else {
            return Stage::Returning(self.sim.sleep_until(returns_at), None);
        };
        if !backlog_has_space {
            return Stage::Unanswered;
        }
        drop(net);
        let connection = self.sim.create_connection(self.from, process);
        if let Some(listener) = self.sim.net.borrow_mut().listeners.get_mut(&self.to) {
            listener.accept_queue.push_back(connection);
            listener.waker.take().into_iter().for_each(Waker::wake);
        }
        let stream = self.descriptor.take().map(|descriptor| SimStream {
            sim: self.sim.clone(),
            connection,
            end: 0,
            descriptor,
        });
        Stage::Returning(self.sim.sleep_until(returns_at), stream)
    }
}

impl std::future::Future for Connecting {
    type Output = io::Result<TcpStream>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        loop {
            match &mut self.stage {
                Stage::Outbound(sleep) => {
                    std::task::ready!(Pin::new(sleep).poll(context));
                    self.stage = self.reach_server(context);
                    if matches!(self.stage, Stage::Unanswered) {
                        return Poll::Pending;
                    }
                }
                // When a partition ends, the connect is polled again and fails with a reset: the server
                // does not know the connect.
                Stage::Unanswered => {
                    let net = self.sim.net.borrow();
                    let machine = net.address_owners.get(&self.to.ip());
                    let reachable = machine.is_some_and(|&m| !net.processes[m].partitioned.get());
                    return match reachable && !net.processes[self.from].partitioned.get() {
                        true => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
                        false => Poll::Pending,
                    };
                }
                Stage::Returning(sleep, stream) => {
                    std::task::ready!(Pin::new(sleep).poll(context));
                    let connected = stream.take().map(TcpStream::from_io);
                    return Poll::Ready(connected.ok_or_else(|| io::ErrorKind::ConnectionRefused.into()));
                }
            }
        }
    }
}

impl Machine for SimMachine {
    fn now(&self) -> Micros {
        self.sim.now()
    }

    fn sleep_until(&self, at: Micros) -> Local<'static, ()> {
        let delay = if self.process.injected_defect == Some(InjectedDefect::TimerLate) {
            LATE_TIMER_DELAY_US
        } else {
            0
        };
        Box::pin(self.sim.sleep_until(at + delay))
    }

    fn spawn(&self, task: Local<'static, ()>) {
        // A process that has ended starts no task, even if a value that it drops spawns one.
        if self.process.alive.get() {
            self.sim.spawn(self.id, task);
        }
    }

    fn connect(&self, to: SocketAddr) -> Local<'static, io::Result<TcpStream>> {
        let descriptor = match Descriptor::acquire(&self.process) {
            Ok(descriptor) => Some(descriptor),
            Err(e) => return Box::pin(std::future::ready(Err(e))),
        };
        let arrives_at = {
            let mut net = self.sim.net.borrow_mut();
            let machine = net.address_owners.get(&to.ip()).copied().unwrap_or(self.id);
            self.sim.observer.borrow_mut().connecting(self.id, machine);
            self.sim.now() + net.link_delay(self.id, machine)
        };
        let stage = Stage::Outbound(self.sim.sleep_until(arrives_at));
        Box::pin(Connecting { sim: self.sim.clone(), from: self.id, to, descriptor, stage })
    }

    fn listen(&self, at: SocketAddr, backlog: i32, _: bool) -> io::Result<TcpListener> {
        let descriptor = Descriptor::acquire(&self.process)?;
        let mut net = self.sim.net.borrow_mut();
        if net.listeners.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        net.address_owners.insert(at.ip(), self.id);
        let listener = Listener {
            process: self.id,
            backlog: backlog.max(1) as usize,
            accept_queue: VecDeque::new(),
            waker: None,
        };
        net.listeners.insert(at, listener);
        let (sim, process) = (self.sim.clone(), self.process.clone());
        Ok(TcpListener::from_io(SimListener { sim, process, address: at, _descriptor: descriptor }))
    }

    fn signals(&self, which: Signal) -> io::Result<Signals> {
        let (sender, arrivals) = unbounded_channel();
        self.process.signals.borrow_mut().insert(which, sender);
        Ok(Signals::from_channel(arrivals))
    }

    fn read_file(&self, path: &Path) -> io::Result<Vec<u8>> {
        let files = self.process.files.borrow();
        files.get(&path.display().to_string()).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn env_var(&self, name: &str) -> Option<String> {
        self.process.env_vars.get(name).cloned()
    }

    fn reserve_descriptor(&self) -> Option<Box<dyn Any>> {
        Descriptor::acquire(&self.process).ok().map(|descriptor| Box::new(descriptor) as Box<dyn Any>)
    }
}
