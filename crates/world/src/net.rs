//! The simulated network: connections with delay, jitter, bounded windows, partial reads and writes, ends, resets
//! and silence. Behaves as Linux's TCP does where the proxy can tell: what had come before a reset is still
//! read; a close with bytes unread is a reset; a machine that is cut off says nothing.

use crate::observer::Role;
use crate::rng::Rng;
use crate::sim::{Due, ProcessId, Sim, Sleep};
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

/// How links are; drawn for a run.
#[derive(Clone, Copy, Debug)]
pub struct LinkConditions {
    /// One way within a zone and between zones; microseconds.
    pub same: Micros,
    /// One way between zones; microseconds.
    pub cross: Micros,
    /// A delay is longer by up to this part of it, drawn for each segment.
    pub jitter: f64,
    /// Bytes that may be on their way to an end and unread there.
    pub window: usize,
    /// Share of reads and writes that take a part of what they could.
    pub partial: f64,
    /// Share of resets that overtake what was sent before them.
    pub lossy: f64,
}

/// What travels.
#[derive(Debug)]
pub enum Segment {
    /// Bytes of the stream.
    Bytes(Vec<u8>),
    /// The end of the sending.
    Fin,
    /// A reset.
    Reset,
}

#[derive(Default)]
struct End {
    process: ProcessId,
    inbox: VecDeque<u8>,
    /// On the way here, in order.
    coming: VecDeque<Segment>,
    /// Bytes of them.
    flight: usize,
    last_at: Micros,
    /// The other side's end is here.
    ended: bool,
    /// A reset is here.
    broken: bool,
    /// This side ended its sending.
    finished: bool,
    /// This side let go of the connection.
    closed: bool,
    reset_on_close: bool,
    reader: Vec<Waker>,
    writer: Vec<Waker>,
}

impl End {
    fn wake_reader(&mut self) {
        self.reader.drain(..).for_each(Waker::wake);
    }

    fn wake_writer(&mut self) {
        self.writer.drain(..).for_each(Waker::wake);
    }
}

struct Connection {
    ends: [End; 2],
    /// Arrivals that wait until neither side is cut off.
    held: Vec<usize>,
}

struct Listener {
    process: ProcessId,
    backlog: usize,
    pending: VecDeque<usize>,
    waker: Option<Waker>,
}

/// A process on the network.
pub struct Process {
    /// Its name.
    pub name: String,
    zone: usize,
    /// Whether it runs.
    pub alive: Cell<bool>,
    /// Whether its machine is cut off.
    silent: Cell<bool>,
    most_descriptors: usize,
    descriptors: Cell<usize>,
    /// Files that it can read, by path.
    pub files: RefCell<BTreeMap<String, Vec<u8>>>,
    variables: BTreeMap<String, String>,
    signals: RefCell<BTreeMap<Signal, UnboundedSender<()>>>,
    injected_defect: Option<InjectedDefect>,
}

/// A breakage of a process's sockets and timers, planted to see that the rules' observer finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedDefect {
    /// A reset from the other side is never noticed.
    ResetSwallowed,
    /// The end of the sending gets lost.
    EndSwallowed,
    /// One wake-up in fifty gets lost.
    WakeLost,
    /// Connections are not closed when they are let go.
    CloseLost,
    /// Timers come a second and a half late.
    TimerLate,
    /// One write in a hundred says that it took a byte less than it did.
    ByteDoubled,
}

/// A connect that waits for its machine to come back.
type Held = (ProcessId, Waker);

/// The network and its processes.
pub struct Net {
    links: LinkConditions,
    rng: Rng,
    processes: Vec<Rc<Process>>,
    connections: Vec<Connection>,
    listeners: BTreeMap<SocketAddr, Listener>,
    /// Which machine an address belongs to, so that one that is cut off refuses nothing.
    machines: BTreeMap<IpAddr, ProcessId>,
    waiting: Vec<Held>,
}

impl Net {
    /// A network of such links; its draws come from that stream.
    pub fn new(links: LinkConditions, rng: Rng) -> Self {
        Net {
            links,
            rng,
            processes: Vec::new(),
            connections: Vec::new(),
            listeners: BTreeMap::new(),
            machines: BTreeMap::new(),
            waiting: Vec::new(),
        }
    }

    fn delay(&mut self, from: ProcessId, to: ProcessId) -> Micros {
        let same = self.processes[from].zone == self.processes[to].zone;
        let base = if same { self.links.same } else { self.links.cross };
        base + (base as f64 * self.links.jitter * self.rng.random::<f64>()) as Micros
    }

    fn cut(&self, connection: &Connection) -> bool {
        connection.ends.iter().any(|end| self.processes[end.process].silent.get())
    }

    /// A part of that many bytes, or all of them.
    fn part(&mut self, all: usize) -> usize {
        if all > 1 && self.links.partial > 0.0 && self.rng.random_bool(self.links.partial) {
            self.rng.random_range(1..=all)
        } else {
            all
        }
    }

    /// Number of processes that were ever started.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// The process of that number.
    pub fn process(&self, id: ProcessId) -> &Rc<Process> {
        &self.processes[id]
    }
}

/// What a process starts with.
pub struct ProcessOptions {
    /// Its name.
    pub name: String,
    /// The zone its machine stands in.
    pub zone: usize,
    /// Descriptors that it may hold.
    pub descriptors: usize,
    /// Addresses that its machine answers for even if nothing listens there.
    pub addresses: Vec<IpAddr>,
    /// Files that it can read, by path.
    pub files: BTreeMap<String, Vec<u8>>,
    /// Its variables.
    pub variables: BTreeMap<String, String>,
    /// A planted breakage.
    pub injected_defect: Option<InjectedDefect>,
}

impl ProcessOptions {
    /// A process with nothing special about it.
    pub fn plain(name: &str, zone: usize, address: IpAddr) -> Self {
        ProcessOptions {
            name: name.into(),
            zone,
            descriptors: usize::MAX,
            addresses: vec![address],
            files: BTreeMap::new(),
            variables: BTreeMap::new(),
            injected_defect: None,
        }
    }
}

impl Sim {
    /// Starts a process; its number and its host.
    pub fn start(self: &Rc<Self>, options: ProcessOptions) -> (ProcessId, Host) {
        let mut net = self.net.borrow_mut();
        let id = net.processes.len();
        for address in &options.addresses {
            net.machines.insert(*address, id);
        }
        net.processes.push(Rc::new(Process {
            name: options.name,
            zone: options.zone,
            alive: Cell::new(true),
            silent: Cell::new(false),
            most_descriptors: options.descriptors,
            descriptors: Cell::new(0),
            files: RefCell::new(options.files),
            variables: options.variables,
            signals: RefCell::default(),
            injected_defect: options.injected_defect,
        }));
        let process = net.processes[id].clone();
        self.observer.borrow_mut().register_process(id, Role::Other, &process.name);
        (id, Host::of(SimMachine { sim: self.clone(), id, process }))
    }

    /// Ends a process at once: its connections are reset, its listeners go, its tasks end.
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
            // A process that has ended needs none.
            let _ = sender.send(());
        }
    }

    /// Cuts a machine off: nothing arrives there or from there, and nothing is said of it.
    pub fn partition(&self, id: ProcessId) {
        self.net.borrow().processes[id].silent.set(true);
    }

    /// Puts it back on the network; what was on the way arrives now, or its connections break.
    pub fn heal(self: &Rc<Self>, id: ProcessId, reset: bool) {
        let arrivals: Vec<(usize, usize)> = {
            let mut net = self.net.borrow_mut();
            net.processes[id].silent.set(false);
            let waiting = std::mem::take(&mut net.waiting);
            for (process, waker) in waiting {
                if process == id { waker.wake() } else { net.waiting.push((process, waker)) }
            }
            let mut arrivals = Vec::new();
            for (c, connection) in net.connections.iter_mut().enumerate() {
                if connection.ends.iter().any(|end| end.process == id) {
                    arrivals.extend(connection.held.drain(..).map(|end| (c, end)));
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
                let lost = &mut net.connections[connection].ends[end];
                (lost.broken, lost.flight) = (true, 0);
                lost.coming.clear();
                lost.wake_reader();
                lost.wake_writer();
            }
        }
        for (connection, end) in arrivals {
            self.at(self.now(), Due::Deliver(connection, end));
        }
    }

    /// Descriptors that a process holds.
    pub fn descriptors_of(&self, id: ProcessId) -> usize {
        self.net.borrow().processes[id].descriptors.get()
    }

    fn connected(&self, from: ProcessId, to: ProcessId) -> usize {
        let mut net = self.net.borrow_mut();
        let end = |process| End { process, ..End::default() };
        net.connections.push(Connection { ends: [end(from), end(to)], held: Vec::new() });
        let connection = net.connections.len() - 1;
        drop(net);
        self.observer.borrow_mut().opened(self.now(), connection, from, to);
        connection
    }

    /// Puts something on the way from that end to the other.
    fn send(&self, connection: usize, end: usize, segment: Segment) {
        self.observer.borrow_mut().sent(self.now(), connection, end, &segment);
        let mut net = self.net.borrow_mut();
        let (from, to) = (
            net.connections[connection].ends[end].process,
            net.connections[connection].ends[1 - end].process,
        );
        let lossy = net.links.lossy;
        let overtakes = matches!(segment, Segment::Reset) && lossy > 0.0 && net.rng.random_bool(lossy);
        let at = self.now() + net.delay(from, to);
        let other = &mut net.connections[connection].ends[1 - end];
        if overtakes {
            (other.flight, other.last_at) = (0, 0);
            other.coming.clear();
        }
        if let Segment::Bytes(bytes) = &segment {
            other.flight += bytes.len();
        }
        other.coming.push_back(segment);
        // In order, whatever the jitter.
        other.last_at = at.max(other.last_at);
        let at = other.last_at;
        drop(net);
        self.at(at, Due::Deliver(connection, 1 - end));
    }

    /// What is first on the way to that end arrives.
    pub(crate) fn deliver(&self, connection: usize, end: usize) {
        let mut net = self.net.borrow_mut();
        if net.cut(&net.connections[connection]) {
            net.connections[connection].held.push(end);
            return;
        }
        let here = &mut net.connections[connection].ends[end];
        // A reset may have overtaken it.
        let Some(segment) = here.coming.pop_front() else { return };
        if let Segment::Bytes(bytes) = &segment {
            here.flight -= bytes.len();
        }
        if here.broken {
            return;
        }
        if here.closed {
            drop(net);
            // Whoever sends to a closed connection is told so.
            if matches!(segment, Segment::Bytes(_)) {
                self.send(connection, end, Segment::Reset);
            }
            return;
        }
        match &segment {
            Segment::Bytes(bytes) => here.inbox.extend(bytes),
            Segment::Fin => here.ended = true,
            Segment::Reset => {
                here.broken = true;
                here.wake_writer();
            }
        }
        here.wake_reader();
        drop(net);
        self.observer.borrow_mut().arrived(self.now(), connection, end, &segment);
    }

    fn close(&self, connection: usize, end: usize, reset: bool) {
        let mut net = self.net.borrow_mut();
        let here = &mut net.connections[connection].ends[end];
        if std::mem::replace(&mut here.closed, true) {
            return;
        }
        let last = match here {
            End { broken: true, .. } => None,
            End { reset_on_close: true, .. } => Some(Segment::Reset),
            End { inbox, .. } if reset || !inbox.is_empty() => Some(Segment::Reset),
            End { finished: true, .. } => None,
            _ => Some(Segment::Fin),
        };
        here.inbox.clear();
        let unsaid = here.broken;
        drop(net);
        if let Some(segment) = last {
            self.send(connection, end, segment);
        }
        if unsaid {
            self.observer.borrow_mut().closed(self.now(), connection, end);
        }
    }
}

/// A descriptor that a process holds.
struct Descriptor(Rc<Process>);

impl Descriptor {
    fn take(process: &Rc<Process>) -> io::Result<Self> {
        if process.descriptors.get() >= process.most_descriptors {
            return Err(io::Error::from_raw_os_error(24)); // EMFILE
        }
        process.descriptors.set(process.descriptors.get() + 1);
        Ok(Descriptor(process.clone()))
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.0.descriptors.set(self.0.descriptors.get() - 1);
    }
}

struct SimStream {
    sim: Rc<Sim>,
    connection: usize,
    end: usize,
    descriptor: Descriptor,
}

impl SimStream {
    /// Whether that is planted in its process.
    fn has_defect(&self, injected_defect: InjectedDefect) -> bool {
        self.descriptor.0.injected_defect == Some(injected_defect)
    }

    fn with<T>(&self, what: impl FnOnce(&mut Net, usize, usize) -> T) -> T {
        what(&mut self.sim.net.borrow_mut(), self.connection, self.end)
    }
}

impl StreamIo for SimStream {
    fn poll_readable(&self, context: &mut Context<'_>) -> Poll<()> {
        self.with(|net, connection, end| {
            let lost = self.has_defect(InjectedDefect::WakeLost) && net.rng.random_bool(0.02);
            let here = &mut net.connections[connection].ends[end];
            let broken = here.broken && !self.has_defect(InjectedDefect::ResetSwallowed);
            if !here.inbox.is_empty() || here.ended || broken {
                return Poll::Ready(());
            }
            if !lost && !here.reader.iter().any(|waker| waker.will_wake(context.waker())) {
                here.reader.push(context.waker().clone());
            }
            Poll::Pending
        })
    }

    fn poll_writable(&self, context: &mut Context<'_>) -> Poll<()> {
        self.with(|net, connection, end| {
            let window = net.links.window;
            let [first, second] = &mut net.connections[connection].ends;
            let (here, there) = if end == 0 { (first, second) } else { (second, first) };
            if here.broken || here.finished || there.inbox.len() + there.flight < window {
                return Poll::Ready(());
            }
            if !here.writer.iter().any(|waker| waker.will_wake(context.waker())) {
                here.writer.push(context.waker().clone());
            }
            Poll::Pending
        })
    }

    fn try_read(&self, into: &mut [u8]) -> io::Result<usize> {
        self.with(|net, connection, end| {
            let here = &net.connections[connection].ends[end];
            if here.inbox.is_empty() {
                return match here {
                    End { broken: true, .. } if !self.has_defect(InjectedDefect::ResetSwallowed) => {
                        Err(io::ErrorKind::ConnectionReset.into())
                    }
                    End { ended: true, .. } => Ok(0),
                    _ => Err(io::ErrorKind::WouldBlock.into()),
                };
            }
            let there = here.inbox.len().min(into.len());
            let part = net.part(there);
            let [first, second] = &mut net.connections[connection].ends;
            let (here, other) = if end == 0 { (first, second) } else { (second, first) };
            for (to, byte) in into.iter_mut().zip(here.inbox.drain(..part)) {
                *to = byte;
            }
            other.wake_writer();
            Ok(part)
        })
    }

    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        let part = self.with(|net, connection, end| {
            let (here, there) =
                (&net.connections[connection].ends[end], &net.connections[connection].ends[1 - end]);
            if here.broken || here.finished {
                return Err(io::Error::from(io::ErrorKind::BrokenPipe));
            }
            let room = net.links.window.saturating_sub(there.inbox.len() + there.flight);
            if room == 0 {
                return Err(io::ErrorKind::WouldBlock.into());
            }
            Ok(net.part(room.min(bytes.len())))
        })?;
        self.sim.send(self.connection, self.end, Segment::Bytes(bytes[..part].to_vec()));
        let less = part > 1
            && self.has_defect(InjectedDefect::ByteDoubled)
            && self.with(|net, _, _| net.rng.random_bool(0.01));
        Ok(part - usize::from(less))
    }

    fn finish(&self) -> io::Result<()> {
        let new = self.with(|net, connection, end| {
            let here = &mut net.connections[connection].ends[end];
            if here.broken {
                return Err(io::Error::from(io::ErrorKind::NotConnected));
            }
            Ok(!std::mem::replace(&mut here.finished, true))
        })?;
        if new && !self.has_defect(InjectedDefect::EndSwallowed) {
            self.sim.send(self.connection, self.end, Segment::Fin);
        }
        Ok(())
    }

    fn reset_on_close(&self) {
        self.with(|net, connection, end| net.connections[connection].ends[end].reset_on_close = true);
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
        if listener.pending.is_empty() {
            listener.waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        let descriptor = match Descriptor::take(&self.process) {
            Ok(descriptor) => descriptor,
            Err(e) => return Poll::Ready(Err(e)),
        };
        let connection = listener.pending.pop_front().unwrap_or_default();
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
            net.listeners.remove(&self.address).map(|listener| listener.pending).unwrap_or_default()
        };
        pending.into_iter().for_each(|connection| self.sim.close(connection, 1, true));
    }
}

/// One process's view of the world.
struct SimMachine {
    sim: Rc<Sim>,
    id: ProcessId,
    process: Rc<Process>,
}

/// A connect on its way: dropped early, it leaves nothing open.
struct Connecting {
    sim: Rc<Sim>,
    from: ProcessId,
    to: SocketAddr,
    descriptor: Option<Descriptor>,
    stage: Stage,
}

enum Stage {
    /// Until it is there.
    Going(Sleep),
    /// Nobody answers there.
    Lost,
    /// The answer is on its way back: a connection or a refusal.
    Coming(Sleep, Option<SimStream>),
}

impl Connecting {
    /// It is there: accepted, refused, or lost.
    fn arrive(&mut self, context: &mut Context<'_>) -> Stage {
        let now = self.sim.now();
        let machine = self.sim.net.borrow().machines.get(&self.to.ip()).copied();
        let Some(machine) = machine else { return Stage::Lost };
        let mut net = self.sim.net.borrow_mut();
        if net.processes[machine].silent.get() || net.processes[self.from].silent.get() {
            let blocked = if net.processes[machine].silent.get() { machine } else { self.from };
            net.waiting.push((blocked, context.waker().clone()));
            return Stage::Lost;
        }
        let back = now + net.delay(machine, self.from);
        let listener = net.listeners.get(&self.to).map(|l| (l.process, l.pending.len() < l.backlog));
        let Some((process, room)) = listener else { return Stage::Coming(self.sim.sleep(back), None) };
        if !room {
            return Stage::Lost;
        }
        drop(net);
        let connection = self.sim.connected(self.from, process);
        if let Some(listener) = self.sim.net.borrow_mut().listeners.get_mut(&self.to) {
            listener.pending.push_back(connection);
            listener.waker.take().into_iter().for_each(Waker::wake);
        }
        let stream = self.descriptor.take().map(|descriptor| SimStream {
            sim: self.sim.clone(),
            connection,
            end: 0,
            descriptor,
        });
        Stage::Coming(self.sim.sleep(back), stream)
    }
}

impl std::future::Future for Connecting {
    type Output = io::Result<TcpStream>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        loop {
            match &mut self.stage {
                Stage::Going(sleep) => {
                    std::task::ready!(Pin::new(sleep).poll(context));
                    self.stage = self.arrive(context);
                    if matches!(self.stage, Stage::Lost) {
                        return Poll::Pending;
                    }
                }
                // Polled again because the machine is back: what it knows nothing of it resets.
                Stage::Lost => {
                    let net = self.sim.net.borrow();
                    let machine = net.machines.get(&self.to.ip());
                    let back = machine.is_some_and(|&m| !net.processes[m].silent.get());
                    return match back && !net.processes[self.from].silent.get() {
                        true => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
                        false => Poll::Pending,
                    };
                }
                Stage::Coming(sleep, stream) => {
                    std::task::ready!(Pin::new(sleep).poll(context));
                    let made = stream.take().map(TcpStream::from_io);
                    return Poll::Ready(made.ok_or_else(|| io::ErrorKind::ConnectionRefused.into()));
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
        let late =
            if self.process.injected_defect == Some(InjectedDefect::TimerLate) { 1_500_000 } else { 0 };
        Box::pin(self.sim.sleep(at + late))
    }

    fn spawn(&self, task: Local<'static, ()>) {
        // A process that has ended runs nothing more, whatever its last drops ask for.
        if self.process.alive.get() {
            self.sim.spawn(self.id, task);
        }
    }

    fn connect(&self, to: SocketAddr) -> Local<'static, io::Result<TcpStream>> {
        let descriptor = match Descriptor::take(&self.process) {
            Ok(descriptor) => Some(descriptor),
            Err(e) => return Box::pin(std::future::ready(Err(e))),
        };
        let there = {
            let mut net = self.sim.net.borrow_mut();
            let machine = net.machines.get(&to.ip()).copied().unwrap_or(self.id);
            self.sim.observer.borrow_mut().connecting(self.id, machine);
            self.sim.now() + net.delay(self.id, machine)
        };
        let stage = Stage::Going(self.sim.sleep(there));
        Box::pin(Connecting { sim: self.sim.clone(), from: self.id, to, descriptor, stage })
    }

    fn listen(&self, at: SocketAddr, backlog: i32, _: bool) -> io::Result<TcpListener> {
        let descriptor = Descriptor::take(&self.process)?;
        let mut net = self.sim.net.borrow_mut();
        if net.listeners.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        net.machines.insert(at.ip(), self.id);
        let listener = Listener {
            process: self.id,
            backlog: backlog.max(1) as usize,
            pending: VecDeque::new(),
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
        self.process.variables.get(name).cloned()
    }

    fn reserve_descriptor(&self) -> Option<Box<dyn Any>> {
        Descriptor::take(&self.process).ok().map(|descriptor| Box::new(descriptor) as Box<dyn Any>)
    }
}
